package server

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"valveglade/gate"
	"valveglade/internal/readbuffer"
	"valveglade/internal/thrift"
)

// call is one RPC as it came.
type call struct {
	conn   *conn
	seq    int32
	id     gate.ID // known to the connection's reader alone
	method int
	uid    string
	body   []byte
}

func (k *call) size() int64 { return int64(callSize + len(k.body)) }

// respond takes the RPC's respond, with a result of so many bytes, to its connection, unless nobody there waits for it any
// more.
func (k *call) respond(resultBytes int, r reply) {
	c := k.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.openCalls[k.seq] == k {
		delete(c.openCalls, k.seq)
		c.requestBytes.Add(-k.size())
		c.replyBytes += int64(resultBytes)
		c.monitor.replyBytes.Add(int64(resultBytes))
		c.queue(r)
	}
}

// conn is one connection of a router.
type conn struct {
	*Server
	net.Conn

	mu               sync.Mutex
	openCalls        map[int32]*call // read, no answer written
	replies          []reply
	spareReplies     []reply
	reading          bool      // a frame is being taken in
	writing          bool      // an answer is on its way out
	replyBytes       int64     // bytes of results that wait to be written, or are being written
	released         bool      // nobody is there any more
	writerEnded      bool      // the writer has ended
	phase            phase     // changed by move alone
	partial          bool      // the router is in the middle of a message
	messageDeadline  time.Time // when what has come of a message must be whole, zero for never
	wakeDeadlineSet  bool      // the read deadline is not due, but wakes the reader
	evicted          bool      // its descriptor is wanted
	receivedMessage  bool      // a whole message has come
	lastUsed         time.Time // last frame either way
	drainSentAt      time.Time // when the router was asked to leave, zero before
	closingAt        time.Time // when it began to close
	endingAt         time.Time // when nothing more was taken in
	finalReadDone    bool      // the reader has had its last look, see lastLook
	closeOnce        sync.Once // see Close
	wake             chan struct{}
	repliesTaken     chan struct{} // holds one when the writer has taken up what waited, or nothing more is taken in
	writeShut        chan struct{} // closed once our side is shut
	descriptorClosed chan struct{} // closed once the descriptor has been given back
	seqTracker                     // of its RPCs; the reader's own
	protocolError    error         // what ends the connection; the reader's own
	unusableRPCs     atomic.Int32  // RPCs of no usual router since the kernel last knew one, see judge
}

const (
	maxOpenCalls    = 64                      // RPCs open or with an unwritten answer: 32, and what crosses interrupts
	maxUnusableRPCs = 8                       // RPCs of no usual router running, before whoever sends them has to connect again
	timerSlack      = time.Millisecond        // a timer may be early by, as clocks are read one after another
	writeTimeout    = 10 * time.Second        // a router that does not read for so long has lost its answers
	messageTimeout  = 1500 * time.Millisecond // for a message to come whole: half of what a client has to be told within
	writeSize       = 16 << 10                // answers gathered for one write
	callSize        = 1 << 10                 // what an RPC takes beside its body, about
)

// serve reads and writes until the connection ends.
func (c *conn) serve(ctx context.Context) {
	connCtx, cancel := context.WithCancel(ctx)
	context.AfterFunc(connCtx, func() { c.Close() })
	c.group.Go(func() error {
		if err := c.recoverPanic(func() error { return c.write(connCtx) }); err != nil {
			c.limitedLog.Warn("connection cut off", zap.Stringer("router", c.RemoteAddr()), zap.Error(err))
			cancel()
		}
		return nil
	})
	c.group.Go(func() error {
		defer c.release()
		defer cancel()
		in := readbuffer.New(thrift.MaxFrame + 4)
		err := c.recoverPanic(func() error { return c.read(in) })
		if err != nil && c.recoverPanic(func() error {
			c.fail(err)
			return nil
		}) != nil {
			cancel()
		}
		c.recoverPanic(func() error {
			c.rejectUnread(in, err == nil || isRejectable(err))
			return nil
		})
		c.discardInput()
		return nil
	})
}

// idleConn is what there is to know of a connection on which nothing is going on.
type idleConn struct {
	*conn
	since       time.Time // of its last frame, or of the message that it is in the middle of
	midMessage  bool      // of a message has come
	hasReceived bool      // a whole message ever came
	halfClosed  bool      // it has been ended, and is read on
	evicting    bool      // its descriptor is to come back already
	sinceDrain  time.Duration
}

// idleSnapshot tells what there is to know of the connection, if it is idle.
func (c *conn) idleSnapshot() (q idleConn, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q = idleConn{conn: c, since: c.lastUsed, midMessage: c.partial, hasReceived: c.receivedMessage, halfClosed: c.phase == phaseShut, evicting: c.evicted}
	if c.partial && !c.messageDeadline.IsZero() {
		q.since = c.messageDeadline.Add(-messageTimeout)
	}
	if !c.drainSentAt.IsZero() {
		q.sinceDrain = time.Since(c.drainSentAt)
	}
	return q, c.isIdle()
}

// isIdle is called under the lock.
func (c *conn) isIdle() bool {
	return len(c.openCalls) == 0 && len(c.replies) == 0 && !c.reading && !c.writing
}

// drain asks the router to send nothing more here and to close. An RPC that crosses this is answered as any
// other.
func (c *conn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseServing {
		c.enterPhase(phaseDraining)
		c.drainSentAt = time.Now()
		c.queue(func(out []byte, _ float64) []byte { return thrift.Draining(out) })
	}
}

// Close gives the descriptor back. Also when another goroutine has begun to close it returns only then: the connection's own
// Close would return at once, and its place would be free before its descriptor is.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { c.Conn.Close() })
	return nil
}

// release tells the gate that nobody waits for what the connection carried.
func (c *conn) release() {
	c.mu.Lock()
	calls := c.openCalls
	c.openCalls, c.released = nil, true
	c.monitor.replyBytes.Add(-c.replyBytes)
	c.mu.Unlock()
	c.recoverPanic(func() error {
		c.abandon(calls)
		return nil
	})
	c.Close() // before its place is free; over what was never read it is a reset
	c.Server.mu.Lock()
	delete(c.conns, c)
	c.Server.mu.Unlock()
	close(c.descriptorClosed)
	notify(c.connEnded)
}
