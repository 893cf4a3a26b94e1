package rig

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"valveglade/internal/readbuffer"
	"valveglade/internal/thrift"
)

// Router simulates a router of the platform for one app server: many RPCs on a connection, new connections on demand. It
// ignores credit and never retries, so that a load reaches the app server unchanged and the effect of its limits is visible.
type Router struct {
	address string
	source  int

	mu    sync.Mutex
	conns []*routerConn
}

// routerConn is one connection of a router.
type routerConn struct {
	net.Conn
	writeMu  sync.Mutex // held while a message is written; guards seq
	seq      int32
	mu       sync.Mutex
	pending  map[int32]chan routerOutcome
	reserved int // places reserved for RPCs that are not written yet
	retired  bool
}

// routerOutcome is the outcome of one RPC.
type routerOutcome struct {
	result []byte
	err    error
}

// ErrPushedBack means that the RPC was not run, ErrAborted that it may have been run, and ErrLost that the connection ended
// before a reply.
var (
	ErrPushedBack = errors.New("pushed back")
	ErrAborted    = errors.New("aborted")
	ErrLost       = errors.New("connection lost")
)

// maxPendingPerConnection is the protocol's limit of pending RPCs on a connection.
const maxPendingPerConnection = 32

// NewRouter returns a router of the app server at address; source is its id in RPCs. The caller must Close it.
func NewRouter(source int, address string) *Router { return &Router{address: address, source: source} }

// Call sends one RPC and waits for its outcome. ctx must have a deadline.
func (r *Router) Call(ctx context.Context, method, token string, criticality float64, body []byte) ([]byte, error) {
	c, err := r.reserveConnection(ctx)
	if err != nil {
		return nil, err
	}
	deadline, _ := ctx.Deadline()
	done := make(chan routerOutcome, 1)
	c.writeMu.Lock()
	if ctx.Err() != nil { // waiting for the connection took until the deadline
		c.writeMu.Unlock()
		c.release()
		return nil, ctx.Err()
	}
	c.seq++ // sequence numbers increase in the order of writing
	seq := c.seq
	c.mu.Lock()
	c.reserved--
	c.pending[seq] = done
	c.mu.Unlock()
	frame := thrift.Execute(nil, seq, method, fmt.Sprintf("%016x", rand.Uint64()), r.source,
		float64(time.Now().UnixMilli())/1000, time.Until(deadline).Seconds(), 1, min(criticality, 0.9999), false, token, "", body)
	_, err = c.Write(frame)
	c.writeMu.Unlock()
	if err != nil {
		c.retire() // replies already received are still read; the reader detects the end
	}
	select {
	case outcome := <-done:
		return outcome.result, outcome.err
	case <-ctx.Done():
		c.mu.Lock()
		delete(c.pending, seq)
		c.mu.Unlock()
		c.writeMu.Lock()
		c.seq++
		c.Write(thrift.Interrupt(nil, c.seq, seq))
		c.writeMu.Unlock()
		return nil, ctx.Err()
	}
}

// release gives up a reserved place.
func (c *routerConn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reserved--
}

// reserveConnection reserves a place for one RPC on an existing or a new connection.
func (r *Router) reserveConnection(ctx context.Context) (*routerConn, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k := 0; k < len(r.conns); k++ {
		c := r.conns[k]
		c.mu.Lock()
		unusable, hasRoom := c.retired, len(c.pending)+c.reserved < maxPendingPerConnection
		if !unusable && hasRoom {
			c.reserved++
		}
		c.mu.Unlock()
		switch {
		case unusable:
			r.conns = append(r.conns[:k], r.conns[k+1:]...)
			k--
		case hasRoom:
			return c, nil
		}
	}
	netConn, err := (&net.Dialer{}).DialContext(ctx, "tcp", r.address)
	if err != nil {
		return nil, err
	}
	c := &routerConn{Conn: netConn, pending: map[int32]chan routerOutcome{}, reserved: 1}
	r.conns = append(r.conns, c)
	go c.read()
	return c, nil
}

// read delivers the replies until the connection ends.
func (c *routerConn) read() {
	ReadReplies(c, c)
	c.failPending()
}

// ReadReplies passes each reply on a connection to the handler. It returns once the connection has ended or has carried an
// unreadable reply.
func ReadReplies(conn io.Reader, handler thrift.ReplyHandler) {
	input := readbuffer.New(thrift.MaxFrame + 4)
	for {
		frame, size, err := thrift.Frame(input.Bytes())
		if err == nil && size == 0 {
			err = input.Fill(conn)
		}
		if err == nil && size > 0 {
			err = thrift.DecodeAnswer(frame, handler)
			input.Discard(size)
		}
		if err != nil {
			return
		}
	}
}

// retire stops new RPCs on the connection.
func (c *routerConn) retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retired = true
}

// failPending closes the connection and ends all pending RPCs with ErrLost.
func (c *routerConn) failPending() {
	c.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retired = true
	for seq, done := range c.pending {
		done <- routerOutcome{err: ErrLost}
		delete(c.pending, seq)
	}
}

// finish delivers the outcome of an RPC, unless its caller no longer waits for it.
func (c *routerConn) finish(seq int32, outcome routerOutcome) {
	c.mu.Lock()
	done := c.pending[seq]
	delete(c.pending, seq)
	c.mu.Unlock()
	if done != nil {
		done <- outcome
	}
}

// Served and the four methods that follow implement thrift.ReplyHandler.
func (c *routerConn) Served(seq int32, result []byte, _ float64) {
	c.finish(seq, routerOutcome{result: append([]byte(nil), result...)})
}
func (c *routerConn) PushedBack(seq int32, _ bool, _, _ float64) {
	c.finish(seq, routerOutcome{err: ErrPushedBack})
}
func (c *routerConn) Aborted(seq int32, _ string, _ float64) {
	c.finish(seq, routerOutcome{err: ErrAborted})
}
func (c *routerConn) Checked(int32, bool, float64) {}
func (c *routerConn) Draining()                    { c.retire() }

// Close closes all connections.
func (r *Router) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		c.Close()
	}
	return nil
}
