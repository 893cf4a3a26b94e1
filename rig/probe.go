package rig

import (
	"net"
	"sync"
	"time"

	"valveglade/internal/readbuffer"
	"valveglade/internal/thrift"
)

// HealthProbe sends health checks to one app server continuously, on connections of its own that it renews regularly.
type HealthProbe struct {
	address string
	stop    chan struct{}
	group   sync.WaitGroup

	mu           sync.Mutex
	lastReplyAt  time.Time // of the last reply since Restart, healthy or not
	healthyAt    time.Time // of the first healthy reply since Restart
	ignoreBefore time.Time // replies to checks sent before it are ignored; set by NewHealthProbe and Restart
}

// Interval between two checks, timeout of each reply, and checks per connection.
const (
	probeInterval       = 100 * time.Millisecond
	probeTimeout        = time.Second
	probesPerConnection = 5
)

// NewHealthProbe starts a probe of the app server at address. The caller must Close it.
func NewHealthProbe(address string) *HealthProbe {
	p := &HealthProbe{address: address, stop: make(chan struct{}), ignoreBefore: time.Now()}
	p.group.Go(p.run)
	return p
}

// Restart discards the replies so far, because the process is restarted.
func (p *HealthProbe) Restart() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ignoreBefore, p.lastReplyAt, p.healthyAt = time.Now(), time.Time{}, time.Time{}
}

// LastReplyAt returns when the last reply came; the zero time if none has come since Restart.
func (p *HealthProbe) LastReplyAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastReplyAt
}

// HealthyAt returns when the first healthy reply since Restart came; the zero time if none has.
func (p *HealthProbe) HealthyAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.healthyAt
}

// Close stops the probe and waits for it.
func (p *HealthProbe) Close() {
	close(p.stop)
	p.group.Wait()
}

// run sends health checks on one connection after another until the probe is stopped.
func (p *HealthProbe) run() {
	for {
		p.probeConnection()
		if !p.wait() {
			return
		}
	}
}

// wait sleeps for the probe interval and returns false if the probe is stopped.
func (p *HealthProbe) wait() bool {
	select {
	case <-p.stop:
		return false
	case <-time.After(probeInterval):
		return true
	}
}

// probeConnection sends a few health checks on one connection.
func (p *HealthProbe) probeConnection() {
	conn, err := net.DialTimeout("tcp", p.address, probeTimeout)
	if err != nil {
		return
	}
	defer conn.Close()
	input := readbuffer.New(thrift.MaxFrame + 4)
	for seq := range int32(probesPerConnection) {
		sentAt := time.Now()
		conn.SetDeadline(sentAt.Add(probeTimeout))
		if _, err := conn.Write(CheckFrame(seq + 1)); err != nil {
			return
		}
		reply := probeReply{}
		for !reply.received {
			frame, size, err := thrift.Frame(input.Bytes())
			switch {
			case err == nil && size == 0:
				err = input.Fill(conn)
			case err == nil:
				err = thrift.DecodeAnswer(frame, &reply)
				input.Discard(size)
			}
			if err != nil {
				return
			}
		}
		p.recordReply(sentAt, reply.healthy)
		if !p.wait() {
			return
		}
	}
}

// recordReply notes when the app server last replied and when it first replied that it is healthy since the last Restart, if any.
// It ignores the reply to a check that was sent before the last Restart, which may have come from the previous process.
func (p *HealthProbe) recordReply(sentAt time.Time, healthy bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if sentAt.Before(p.ignoreBefore) {
		return
	}
	p.lastReplyAt = time.Now()
	if healthy && p.healthyAt.IsZero() {
		p.healthyAt = p.lastReplyAt
	}
}

// probeReply implements thrift.ReplyHandler and stores the reply to a health check.
type probeReply struct{ received, healthy bool }

func (r *probeReply) Served(int32, []byte, float64)            {}
func (r *probeReply) PushedBack(int32, bool, float64, float64) {}
func (r *probeReply) Aborted(int32, string, float64)           { r.received = true }
func (r *probeReply) Checked(_ int32, healthy bool, _ float64) { r.received, r.healthy = true, healthy }
func (r *probeReply) Draining()                                {}
