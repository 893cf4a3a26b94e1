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

// frameLoad is an open-loop load: it sends RPCs at a rate over many open connections, whatever the outcome of earlier ones, and
// measures the latency of each. It only writes frames as a router does, and has no other behaviour of a router.
type frameLoad struct {
	address string
	checker *rig.Checker // observes each RPC; may be nil
	routes  int          // number of methods that are called
	prefix  string       // of the names of RPCs
	conns   []*frameConn

	mu         sync.Mutex
	sent       int
	latencies  []float64 // in seconds, of RPCs served since the last takeLatencies
	pushedBack int       // RPCs that the admission of the app server pushed back
	failed     int       // RPCs that ended in any other way
	failure    error     // the first failure
	pending    sync.WaitGroup
}

// frameConn is one connection of a frameLoad.
type frameConn struct {
	net.Conn
	load   *frameLoad
	caller int // number of the caller

	mu       sync.Mutex
	sequence int32
	sentAt   map[int32]time.Time // send times of RPCs without a reply; nil once the connection has ended
	ready    chan struct{}       // closed by the reply to the health check
}

var (
	errNotServed      = errors.New("RPC was not served")
	errPushedBack     = errors.New("RPC was pushed back")
	errConnectionLost = errors.New("connection ended before the reply")
)

const (
	maxParallelConnects = 64
	connectTimeout      = 10 * time.Second
	replyTimeout        = 20 * time.Second
	rpcDeadline         = 2 * time.Second // sent to the app server; the load waits longer for replies
)

// newFrameLoad returns a load without connections.
func newFrameLoad(address string, checker *rig.Checker, routes int, prefix string) *frameLoad {
	return &frameLoad{address: address, checker: checker, routes: routes, prefix: prefix}
}

// connect opens connections until there are count of them, each with a health check, as the app server closes connections that
// send nothing.
func (l *frameLoad) connect(count int) error {
	first := len(l.conns)
	l.conns = append(l.conns, make([]*frameConn, max(count-first, 0))...)
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

// open opens connection k and waits for the reply to its health check.
func (l *frameLoad) open(k int) error {
	conn, err := net.DialTimeout("tcp", l.address, connectTimeout)
	if err != nil {
		return err
	}
	c := &frameConn{Conn: conn, load: l, caller: k, sentAt: map[int32]time.Time{}, ready: make(chan struct{}), sequence: 1}
	l.conns[k] = c
	go c.readReplies()
	if _, err := conn.Write(thrift.Check(nil, 1)); err != nil {
		return err
	}
	select {
	case <-c.ready:
		return nil
	case <-time.After(connectTimeout):
		return fmt.Errorf("reply to the health check: %w", errTimeout)
	}
}

// close closes all connections.
func (l *frameLoad) close() {
	for _, c := range l.conns {
		if c != nil {
			c.Close()
		}
	}
}

// executeOnEach executes one RPC on each connection, a hundred at a time, and discards the latencies.
func (l *frameLoad) executeOnEach() error {
	const batchSize = 100
	for batch := range slices.Chunk(l.conns, batchSize) {
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

// run sends RPCs at the given mean rate per second for the duration, over random connections and to random routes. It waits for
// the replies and returns the latencies in seconds.
func (l *frameLoad) run(rate float64, duration time.Duration, seed uint64) ([]float64, error) {
	random := rand.New(rand.NewPCG(seed, uint64(rate)))
	start, offset := time.Now(), 0.0
	for {
		offset += random.ExpFloat64() / rate
		if offset >= duration.Seconds() {
			break
		}
		time.Sleep(time.Until(start.Add(time.Duration(offset * float64(time.Second)))))
		l.conns[random.IntN(len(l.conns))].send(random.IntN(l.routes))
	}
	if err := l.wait(); err != nil {
		return nil, err
	}
	return l.takeLatencies(), nil
}

// wait waits until every RPC sent so far has an outcome, and returns an error if one failed.
func (l *frameLoad) wait() error {
	done := make(chan struct{})
	go func() {
		l.pending.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(replyTimeout):
		return fmt.Errorf("replies to RPCs: %w", errTimeout)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failed > 0 {
		return fmt.Errorf("%d of %d RPCs failed, the first with: %w", l.failed, l.sent, l.failure)
	}
	return nil
}

// takeLatencies returns the latencies collected since the last call.
func (l *frameLoad) takeLatencies() []float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	latencies := l.latencies
	l.latencies = nil
	return latencies
}

// nextName returns the name of the next RPC.
func (l *frameLoad) nextName() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
	return fmt.Sprintf("%s-%d", l.prefix, l.sent)
}

// recordOutcome records the outcome of one RPC.
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

// send writes one RPC. It also records an outcome if the connection has ended or the write fails.
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
	frame := thrift.Execute(nil, c.sequence, routeName(route), fmt.Sprintf("%016x", rand.Uint64()), c.caller,
		float64(now.UnixMilli())/1000, rpcDeadline.Seconds(), 1, 0.5, false, "", "", rig.EncodeBody(id, 0))
	c.sentAt[c.sequence] = time.Now()
	if _, err := c.Write(frame); err != nil {
		delete(c.sentAt, c.sequence)
		c.load.recordOutcome(0, err)
	}
}

// readReplies handles replies until the connection ends.
func (c *frameConn) readReplies() {
	rig.ReadReplies(c, c)
	c.failPending()
}

// failPending closes the connection and fails all RPCs that wait for a reply on it.
func (c *frameConn) failPending() {
	c.Close()
	c.mu.Lock()
	pending := len(c.sentAt)
	c.sentAt = nil
	c.mu.Unlock()
	for range pending {
		c.load.recordOutcome(0, errConnectionLost)
	}
}

// finish records the reply to an RPC, unless that already has an outcome.
func (c *frameConn) finish(sequence int32, failure error) {
	now := time.Now()
	c.mu.Lock()
	sentAt, pending := c.sentAt[sequence]
	delete(c.sentAt, sequence)
	c.mu.Unlock()
	if pending {
		c.load.recordOutcome(now.Sub(sentAt), failure)
	}
}

// Served, PushedBack, Aborted, Checked and Draining handle the replies of the app server.
func (c *frameConn) Served(sequence int32, _ []byte, _ float64) { c.finish(sequence, nil) }
func (c *frameConn) PushedBack(sequence int32, _ bool, _, _ float64) {
	c.finish(sequence, errPushedBack)
}
func (c *frameConn) Aborted(sequence int32, reason string, _ float64) {
	c.finish(sequence, fmt.Errorf("%w: aborted %s", errNotServed, reason))
}
func (c *frameConn) Checked(int32, bool, float64) { close(c.ready) }
func (c *frameConn) Draining()                    { /* the load closes its connections itself */ }
