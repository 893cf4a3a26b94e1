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

// call is one received RPC.
type call struct {
	conn   *conn
	seq    int32   // sequence number on the connection
	id     gate.ID // accessed only by the connection's reader
	method int     // index in the config's methods
	uid    string
	body   []byte
}

// size returns the approximate memory of the RPC in bytes.
func (k *call) size() int64 { return int64(callSize + len(k.body)) }

// respond queues the reply to the RPC, whose result has resultBytes bytes. It does nothing if the RPC is no
// longer open on the connection.
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

// conn is the connection of one router.
type conn struct {
	*Server
	net.Conn

	mu                 sync.Mutex
	openCalls          map[int32]*call // read, but no reply queued yet
	replies            []reply         // queued for the writer
	spareReplies       []reply         // written; its memory is reused
	reading            bool            // a frame is being processed
	writing            bool            // replies are being written
	replyBytes         int64           // bytes of results that are queued or being written
	released           bool            // release has run: nobody waits for replies any more
	writerEnded        bool            // the writer has returned
	phase              phase           // changed only by enterPhase
	partial            bool            // the buffer holds part of a message
	messageDeadline    time.Time       // when the message that has begun must be complete; zero for no limit
	deadlineNeedsReset bool            // the read deadline is not messageDeadline; readyToShut has to set it
	evicted            bool            // the descriptor is needed for another connection
	receivedMessage    bool            // at least one complete message has arrived
	lastUsed           time.Time       // last frame in either direction
	drainSentAt        time.Time       // when the router was asked to close the connection; zero before
	closingAt          time.Time       // when phaseClosing began
	endingAt           time.Time       // when phaseEnding began
	finalReadDone      bool            // rejectUnread has finished, or its time is up
	closeOnce          sync.Once       // guards Close
	wake               chan struct{}   // notified when a reply is queued
	repliesTaken       chan struct{}   // notified when the writer has taken the queued replies, or nothing more is read
	writeShut          chan struct{}   // closed once the write side is shut
	descriptorClosed   chan struct{}   // closed once the descriptor is closed
	seqTracker                         // sequence numbers of the connection's RPCs; accessed only by the reader
	protocolError      error           // ends the connection; accessed only by the reader
	// unusableRPCs counts the RPCs that were unreadable, or unknown to the kernel, since the kernel last knew
	// one; see recordKernelVerdict.
	unusableRPCs atomic.Int32
}

const (
	// maxOpenCalls bounds the RPCs that are open or whose reply is unwritten: 32, and as many again that
	// cross interrupts.
	maxOpenCalls = 64
	// maxUnusableRPCs is how many consecutive unusable RPCs close the connection, so that their sender has to
	// reconnect.
	maxUnusableRPCs = 8
	// timerSlack is how early a timer may fire, as clocks are read one after another.
	timerSlack = time.Millisecond
	// writeTimeout is how long a router may take to read its replies before the connection is closed.
	writeTimeout = 10 * time.Second
	// messageTimeout is how long a message may take to arrive completely: half of the time within which a
	// client must get a reply.
	messageTimeout = 1500 * time.Millisecond
	// writeSize is the number of bytes from which gathered replies are written.
	writeSize = 16 << 10
	// callSize approximates the memory of an RPC without its body.
	callSize = 1 << 10
)

// serve starts the reader and the writer of the connection. They run until it ends.
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

// idleConn is a snapshot of a connection, taken to decide whether it can be closed.
type idleConn struct {
	*conn
	since       time.Time     // last frame, or start of the incomplete message
	midMessage  bool          // part of a message has arrived
	hasReceived bool          // at least one complete message has arrived
	halfClosed  bool          // the write side is shut; the rest of the input is discarded
	evicting    bool          // it is already being evicted
	sinceDrain  time.Duration // time since the router was asked to close; 0 if it was not
}

// idleSnapshot returns the state of the connection and whether it is idle.
func (c *conn) idleSnapshot() (q idleConn, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q = idleConn{conn: c, since: c.lastUsed, midMessage: c.partial, hasReceived: c.receivedMessage,
		halfClosed: c.phase == phaseShut, evicting: c.evicted}
	if c.partial && !c.messageDeadline.IsZero() {
		q.since = c.messageDeadline.Add(-messageTimeout)
	}
	if !c.drainSentAt.IsZero() {
		q.sinceDrain = time.Since(c.drainSentAt)
	}
	return q, c.isIdle()
}

// isIdle reports whether no RPC is open, no reply waits, and nothing is read or written. The caller holds
// c.mu.
func (c *conn) isIdle() bool {
	return len(c.openCalls) == 0 && len(c.replies) == 0 && !c.reading && !c.writing
}

// drain asks the router to send nothing more on this connection and to close it. An RPC that crosses this
// message is handled as usual.
func (c *conn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseServing {
		c.enterPhase(phaseDraining)
		c.drainSentAt = time.Now()
		c.queue(func(out []byte, _ float64) []byte { return thrift.Draining(out) })
	}
}

// Close closes the descriptor. Concurrent calls return only after it is closed: net.Conn's Close would return
// at once, and the connection's slot would be free before its descriptor is.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { c.Conn.Close() })
	return nil
}

// release tells the gate that nobody waits for the connection's open RPCs, closes the connection and removes
// it from the server.
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
	c.Close() // before the slot is free; with unread input this is a reset
	c.Server.mu.Lock()
	delete(c.conns, c)
	c.Server.mu.Unlock()
	close(c.descriptorClosed)
	notify(c.connEnded)
}
