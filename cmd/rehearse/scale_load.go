package main

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"valveglade/internal/thrift"
	"valveglade/rig"
	"valveglade/rpc"
)

// frameLoad sends RPCs at a rate over many open connections, whatever becomes of those sent before, and takes the time of
// each. It writes the frames as a router does, and no more.
type frameLoad struct {
	address string
	checker   *rig.Checker // told of each RPC, nil for none
	routes  int          // methods that are called
	prefix  string       // of the RPCs' names
	conns   []*frameConn

	mu        sync.Mutex
	sent      int
	latencies []float64 // seconds, of what was served since the last reset
	pushedBack   int       // RPCs that were pushed back: the app server's own admission
	failed    int       // RPCs that had no proper answer
	failure   error     // of the first of them
	pending   sync.WaitGroup
}

// frameConn is one of its connections.
type frameConn struct {
	net.Conn
	load   *frameLoad
	caller int // the caller's number

	mu    sync.Mutex
	sequence   int32
	sentAt map[int32]time.Time // of RPCs that are not answered yet; nil once the connection has ended
	ready chan struct{}       // closed with the answer to the health check
}

var (
	errNotServed      = errors.New("an RPC was not served")
	errPushedBack     = errors.New("an RPC was pushed back")
	errConnectionLost = errors.New("a connection has ended")
)

const (
	maxParallelConnects  = 64
	connectTimeout = 10 * time.Second
	replyTimeout  = 20 * time.Second
	rpcDeadline    = 2 * time.Second // told to the app server; answers are waited for longer
)

func newFrameLoad(address string, check *rig.Checker, routes int, prefix string) *frameLoad {
	return &frameLoad{address: address, checker: check, routes: routes, prefix: prefix}
}

// connect opens connections until there are n, each with a health check: the app server closes those that say nothing.
func (l *frameLoad) connect(n int) error {
	first := len(l.conns)
	l.conns = append(l.conns, make([]*frameConn, max(n-first, 0))...)
	slots := make(chan int, len(l.conns)-first)
	for k := first; k < len(l.conns); k++ {
		slots <- k
	}
	close(slots)
	return runConcurrently(maxParallelConnects, func() error {
		for k := range slots {
			if err := l.open(k); err != nil {
				return err
			}
		}
		return nil
	})
}

// open makes connection k.
func (l *frameLoad) open(k int) error {
	nc, err := net.DialTimeout("tcp", l.address, connectTimeout)
	if err != nil {
		return err
	}
	c := &frameConn{Conn: nc, load: l, caller: k, sentAt: map[int32]time.Time{}, ready: make(chan struct{}), sequence: 1}
	l.conns[k] = c
	go c.readReplies()
	if _, err := nc.Write(thrift.Check(nil, 1)); err != nil {
		return err
	}
	select {
	case <-c.ready:
		return nil
	case <-time.After(connectTimeout):
		return fmt.Errorf("health check: %w", errTimeout)
	}
}

func (l *frameLoad) close() {
	for _, c := range l.conns {
		if c != nil {
			c.Close()
		}
	}
}

// executeOnEach has one RPC served on each connection, a hundred at a time.
func (l *frameLoad) executeOnEach() error {
	const atOnce = 100
	for batch := range slices.Chunk(l.conns, atOnce) {
		for k, c := range batch {
			c.send(k % l.routes)
		}
		if err := l.wait(); err != nil {
			return err
		}
	}
	l.takeLatencies()
	return nil
}

// run sends so many RPCs a second for a time, over connections and to routes by chance, waits for the answers, and gives
// how long they took.
func (l *frameLoad) run(rate float64, length time.Duration, seed uint64) ([]float64, error) {
	chance := rand.New(rand.NewPCG(seed, uint64(rate)))
	begin, at := time.Now(), 0.0
	for {
		at += chance.ExpFloat64() / rate
		if at >= length.Seconds() {
			break
		}
		time.Sleep(time.Until(begin.Add(time.Duration(at * float64(time.Second)))))
		l.conns[chance.IntN(len(l.conns))].send(chance.IntN(l.routes))
	}
	if err := l.wait(); err != nil {
		return nil, err
	}
	return l.takeLatencies(), nil
}

// wait waits until all that was sent has an outcome.
func (l *frameLoad) wait() error {
	done := make(chan struct{})
	go func() {
		l.pending.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(replyTimeout):
		return fmt.Errorf("answers: %w", errTimeout)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failed > 0 {
		return fmt.Errorf("%d of %d: %w", l.failed, l.sent, l.failure)
	}
	return nil
}

// takeLatencies gives the latencies so far and begins anew.
func (l *frameLoad) takeLatencies() []float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := l.latencies
	l.latencies = nil
	return all
}

// nextName gives the next RPC's.
func (l *frameLoad) nextName() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
	return fmt.Sprintf("%s-%d", l.prefix, l.sent)
}

// recordOutcome takes in the outcome of an RPC.
func (l *frameLoad) recordOutcome(latency time.Duration, failure error) {
	l.mu.Lock()
	switch {
	case failure == nil:
		l.latencies = append(l.latencies, latency.Seconds())
	case errors.Is(failure, errPushedBack):
		l.pushedBack++
	default:
		l.failed++
		l.failure = cmp.Or(l.failure, failure)
	}
	l.mu.Unlock()
	l.pending.Done()
}

// send writes one RPC.
func (c *frameConn) send(route int) {
	id := c.load.nextName()
	if c.load.checker != nil {
		c.load.checker.RegisterRPC(id, rpc.Idempotent, time.Now().Add(rpcDeadline))
	}
	c.load.pending.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sentAt == nil {
		c.load.recordOutcome(0, errConnectionLost)
		return
	}
	c.sequence++
	now := time.Now()
	frame := thrift.Execute(nil, c.sequence, routeName(route), fmt.Sprintf("%016x", rand.Uint64()), c.caller, float64(now.UnixMilli())/1000, rpcDeadline.Seconds(),
		1, 0.5, false, "", "", rig.EncodeBody(id, 0))
	c.sentAt[c.sequence] = time.Now()
	if _, err := c.Write(frame); err != nil {
		delete(c.sentAt, c.sequence)
		c.load.recordOutcome(0, err)
	}
}

// readReplies takes in answers until the connection ends.
func (c *frameConn) readReplies() {
	rig.ReadReplies(c, c)
	c.failPending()
}

// failPending ends the connection and all that waits on it.
func (c *frameConn) failPending() {
	c.Close()
	c.mu.Lock()
	waiting := len(c.sentAt)
	c.sentAt = nil
	c.mu.Unlock()
	for range waiting {
		c.load.recordOutcome(0, errConnectionLost)
	}
}

// finish takes in the answer to an RPC.
func (c *frameConn) finish(seq int32, failure error) {
	now := time.Now()
	c.mu.Lock()
	began, waits := c.sentAt[seq]
	delete(c.sentAt, seq)
	c.mu.Unlock()
	if waits {
		c.load.recordOutcome(now.Sub(began), failure)
	}
}

// Served, PushedBack, Aborted, Checked and Draining are what the app server says.
func (c *frameConn) Served(seq int32, _ []byte, _ float64) { c.finish(seq, nil) }
func (c *frameConn) PushedBack(seq int32, _ bool, _, _ float64) {
	c.finish(seq, errPushedBack)
}
func (c *frameConn) Aborted(seq int32, why string, _ float64) {
	c.finish(seq, fmt.Errorf("%w: aborted %s", errNotServed, why))
}
func (c *frameConn) Checked(int32, bool, float64) { close(c.ready) }
func (c *frameConn) Draining()                    { /* a scale run closes its connections itself */ }
