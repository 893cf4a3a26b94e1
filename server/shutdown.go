package server

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"go.uber.org/zap"

	"valveglade/internal/readbuffer"
	"valveglade/internal/thrift"
)

// phase is the progress of a connection's shutdown. It only advances, and only enterPhase changes it.
type phase uint8

const (
	phaseServing  phase = iota // input is processed
	phaseDraining              // the router has been asked to send nothing more; input is still processed
	phaseClosing               // shut as soon as no reply is pending and nothing is unread
	phaseEnding                // nothing more runs; input is rejected, and pending replies are still written
	phaseShut                  // all replies are written and the write side is shut; input is discarded
)

const (
	// lingerTimeout is how long the input of a shut connection is read before it is closed, and how long its
	// last replies may take to be written. A router resends an RPC that crosses the shutdown within 50 ms;
	// four times that covers a descheduled process. Without the delay, closing over unread bytes would cause
	// a reset, which loses the last replies.
	lingerTimeout = 200 * time.Millisecond
	// maxLingerBytes bounds the input read meanwhile: a router that sends more than a connection may carry at
	// once has not crossed the shutdown but ignores it.
	maxLingerBytes = 64 << 10
	// partialTimeout is how long a closing connection waits for the rest of a message. A router that has
	// begun to write finishes within some milliseconds; a message that is complete only after the shutdown
	// has crossed it is sent again.
	partialTimeout = 50 * time.Millisecond
	// finalReadTimeout bounds the wait for the reader's rejectUnread in shutDownNow: the rest of
	// lingerTimeout is for writing the replies that it produces.
	finalReadTimeout = lingerTimeout / 4
)

// expiredDeadline, as a read deadline, wakes a blocked reader.
var expiredDeadline = time.Unix(1, 0)

// enterPhase advances the connection to a phase and wakes the goroutines that wait on it. The caller holds
// c.mu.
func (c *conn) enterPhase(to phase) {
	if to <= c.phase {
		return
	}
	c.phase = to
	now := time.Now()
	switch to {
	case phaseClosing:
		c.closingAt = now
	case phaseEnding:
		c.endingAt = now
		notify(c.repliesTaken)
		c.SetReadDeadline(expiredDeadline)
		c.SetWriteDeadline(now.Add(lingerTimeout)) // for a router that does not read its replies
	case phaseShut:
		close(c.writeShut)
		if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
			halfCloser.CloseWrite()
		}
		c.SetReadDeadline(now.Add(lingerTimeout))
	}
}

// advanceShutdown takes the next step of a shutdown in progress once nothing more is to be written. The
// caller holds c.mu.
func (c *conn) advanceShutdown() {
	switch {
	case c.phase == phaseClosing && c.isIdle():
		c.deadlineNeedsReset = true
		c.SetReadDeadline(expiredDeadline) // only the reader knows whether input is unread
	case c.phase == phaseEnding &&
		(c.writerEnded || c.finalReadDone && len(c.openCalls) == 0 && len(c.replies) == 0 && !c.writing):
		c.enterPhase(phaseShut)
	}
}

// shutDown starts the graceful close of the connection: received RPCs are processed, pending replies are
// written, the write side is shut, input that crosses the shutdown is discarded, and then the descriptor is
// closed.
func (c *conn) shutDown() { c.shutDownFrom(phaseClosing) }

// shutDownNow is like shutDown, but rejects the input that is buffered or unread instead of processing it. The
// connection waits at most finalReadTimeout for a reader that is not scheduled.
func (c *conn) shutDownNow() {
	c.shutDownFrom(phaseEnding)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.finalReadDone && c.phase == phaseEnding && time.Since(c.endingAt) > finalReadTimeout {
		c.finalReadDone = true
		c.advanceShutdown()
	}
}

// shutDownFrom enters a phase and takes the next step of the shutdown.
func (c *conn) shutDownFrom(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enterPhase(p)
	c.advanceShutdown()
}

// evict shuts an idle connection down to free its descriptor, without waiting for input that crosses the
// shutdown. It reports whether the connection is idle. RPCs that are still unread are answered first.
func (c *conn) evict() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isIdle() {
		return false
	}
	c.evicted = true
	c.enterPhase(phaseClosing)
	c.advanceShutdown()
	if c.phase == phaseShut {
		c.SetReadDeadline(expiredDeadline)
	}
	return true
}

// errConnShut is returned by fill when it has shut the connection.
var errConnShut = errors.New("shut")

// fill reads more input. It shuts an idle closing connection here, after a non-blocking read has found
// nothing unread. Otherwise the shutdown could discard an RPC that arrived long before, as when this process
// was descheduled: a router resends an RPC only if it crosses the shutdown within an instant.
func (c *conn) fill(in *readbuffer.Buffer) error {
	if !c.readyToShut() { // it has also set the read deadline where that was needed
		return in.Fill(c)
	}
	if err := in.Fill(nonBlockingReader{c.Conn}); !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enterPhase(phaseShut)
	return errConnShut
}

// readyToShut reports whether the connection is to be shut now, provided nothing is unread; if not, it bounds
// the next read. Only the reader makes an idle connection busy, so the result holds until the reader has
// checked.
func (c *conn) readyToShut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	deadline := c.messageDeadline
	switch {
	case c.phase >= phaseEnding:
		return false
	case c.phase == phaseClosing && c.isIdle():
		if partialDeadline := c.closingAt.Add(c.partialTimeout); deadline.IsZero() || partialDeadline.Before(deadline) {
			deadline = partialDeadline
		}
		if !c.partial || c.evicted || time.Until(deadline) <= timerSlack {
			return true
		}
	case !c.deadlineNeedsReset:
		return false
	}
	c.deadlineNeedsReset = deadline != c.messageDeadline
	c.SetReadDeadline(deadline)
	return false
}

// nonBlockingReader reads what has arrived on a connection without waiting for more. It returns
// os.ErrDeadlineExceeded if there is nothing.
type nonBlockingReader struct{ net.Conn }

func (r nonBlockingReader) Read(b []byte) (n int, err error) {
	sysConn, ok := r.Conn.(syscall.Conn)
	if !ok { // not backed by a system socket
		r.SetReadDeadline(time.Now().Add(timerSlack))
		return r.Conn.Read(b)
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return 0, err
	}
	var readErr error
	if err := raw.Control(func(fd uintptr) {
		for readErr = syscall.EINTR; readErr == syscall.EINTR; {
			n, readErr = syscall.Read(int(fd), b)
		}
	}); err != nil {
		return 0, err
	}
	switch {
	case readErr == syscall.EAGAIN:
		return 0, os.ErrDeadlineExceeded
	case readErr != nil:
		return 0, readErr
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// fail ends a connection that has received invalid input. Its open RPCs are aborted, as its client can no
// longer be trusted.
func (c *conn) fail(err error) {
	c.limitedLog.Warn("connection closed", zap.Stringer("router", c.RemoteAddr()), zap.Error(err))
	c.mu.Lock()
	calls := c.openCalls
	c.openCalls, c.reading = map[int32]*call{}, false
	for seq := range calls {
		c.queue(func(out []byte, load float64) []byte { return thrift.Aborted(out, seq, load) })
	}
	c.enterPhase(phaseEnding)
	c.mu.Unlock()
	c.abandon(calls)
}

// rejectUnread rejects what is buffered or unread on a connection that processes no more input. If the input
// cannot be parsed, nothing after it can be either.
func (c *conn) rejectUnread(in *readbuffer.Buffer, readable bool) {
	c.mu.Lock()
	shouldReject := readable && c.phase == phaseEnding && !c.finalReadDone
	c.mu.Unlock()
	defer func() { // also if rejecting panics
		c.mu.Lock()
		defer c.mu.Unlock()
		c.finalReadDone, c.reading = true, false
		c.advanceShutdown()
	}()
	if shouldReject {
		c.rejecter().rejectAll(in, c.Conn)
	}
}

// rejecter returns a rejecter that replies on the connection.
func (c *conn) rejecter() rejecter {
	return rejecter{Server: c.Server, seqs: &c.seqTracker, send: c.send, interrupt: c.Interrupt}
}

// abandon tells the gate that nobody waits any more for RPCs that were open.
func (c *conn) abandon(calls map[int32]*call) {
	for _, pending := range calls {
		c.requestBytes.Add(-pending.size())
		c.gate.CallerGone(c.clock.now(), pending.id)
	}
}

// isEnding reports whether the connection processes no more input.
func (c *conn) isEnding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase >= phaseEnding
}

// boundNextWrite sets the deadline of the next write.
func (c *conn) boundNextWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase < phaseEnding { // otherwise enterPhase has set the deadline
		c.SetWriteDeadline(time.Now().Add(writeTimeout))
	}
}

// discardInput reads and discards the input of a shut connection until its end, maxLingerBytes or the read
// deadline. It waits until the connection is shut.
func (c *conn) discardInput() {
	c.mu.Lock()
	endedByRouter, evicted := c.phase < phaseEnding, c.evicted
	c.mu.Unlock()
	if endedByRouter { // the router has closed the connection
		return
	}
	<-c.writeShut // bounded by the write deadline of phaseEnding
	if evicted {  // the descriptor is needed at once
		return
	}
	buf := make([]byte, 4<<10)
	for size := 0; size < maxLingerBytes; {
		n, err := c.Read(buf)
		if err != nil {
			return
		}
		size += n
	}
}
