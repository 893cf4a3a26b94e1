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

// phase is how far a connection has come on its way to its end. It only goes on, and only move changes it.
type phase uint8

const (
	phaseServing  phase = iota // what comes is taken in
	phaseDraining              // the router has been asked to send nothing more; what comes all the same is taken in
	phaseClosing               // it is shut as soon as nothing is owed on it and nothing lies unread
	phaseEnding                // nothing more runs; what has come is refused, and what is owed is still written
	phaseShut                  // all has been written and our side is shut; what comes is read and thrown away
)

const (
	// lingerTimeout is how long a shut connection is read on before it is closed, and how long its last answers may take to be
	// written. A router sends an RPC that crosses the shutdown again if it does so within 50 ms; four times that leaves room
	// for a process that is off its core. Without it the close is one over unread bytes, so a reset, which takes along what
	// was written last.
	lingerTimeout = 200 * time.Millisecond
	// maxLingerBytes is how much is read meanwhile: who sends more than a connection may carry at once has not crossed a
	// shutdown, but sends without looking.
	maxLingerBytes = 64 << 10
	// partialTimeout is how long a closing connection waits for the rest of a message: what a router has begun to write is there
	// within some milliseconds, and what is whole only after the shutdown has crossed it and is sent again.
	partialTimeout = 50 * time.Millisecond
	// finalReadTimeout is how long a connection whose time is up waits for its reader's last look: the rest of linger is for what the look finds
	// to be written.
	finalReadTimeout = lingerTimeout / 4
)

// expiredDeadline is a deadline that wakes whoever reads.
var expiredDeadline = time.Unix(1, 0)

// enterPhase takes the connection on to a phase, and wakes whoever waits on it; called under the lock.
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
		c.SetWriteDeadline(now.Add(lingerTimeout)) // for who does not read its answers
	case phaseShut:
		close(c.writeShut)
		if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
			halfCloser.CloseWrite()
		}
		c.SetReadDeadline(now.Add(lingerTimeout))
	}
}

// advanceShutdown takes a connection that is on its way out on, once nothing more is to be written; called under the lock.
func (c *conn) advanceShutdown() {
	switch {
	case c.phase == phaseClosing && c.isIdle():
		c.wakeDeadlineSet = true
		c.SetReadDeadline(expiredDeadline) // the reader alone knows what lies unread
	case c.phase == phaseEnding && (c.writerEnded || c.finalReadDone && len(c.openCalls) == 0 && len(c.replies) == 0 && !c.writing):
		c.enterPhase(phaseShut)
	}
}

// shutDown is the one way in which the app server ends a connection: what has come by then is taken in, what is owed is written,
// our side is shut, what crosses that is read and thrown away, and then the descriptor is given back.
func (c *conn) shutDown() { c.shutDownFrom(phaseClosing) }

// shutDownNow is end where the time is up: what has come is refused. Guards against a reader that does not come to its turn: the
// connection does not wait for it longer than lookFor.
func (c *conn) shutDownNow() {
	c.shutDownFrom(phaseEnding)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.finalReadDone && c.phase == phaseEnding && time.Since(c.endingAt) > finalReadTimeout {
		c.finalReadDone = true
		c.advanceShutdown()
	}
}

func (c *conn) shutDownFrom(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enterPhase(p)
	c.advanceShutdown()
}

// evict is end for a resting connection whose descriptor is wanted: it is given back without waiting for what crosses. It
// tells whether the connection rests. If something lies unread after all, that is answered first.
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

// errConnShut tells the reader that it has shut its connection.
var errConnShut = errors.New("shut")

// fill reads what comes next. A closing connection on which nothing is owed is shut here, once a last look has found
// nothing unread. Guards against a shutdown over an RPC that has lain unread for long, as it does while this process is off
// its core: its router sends again only what crosses within an instant.
func (c *conn) fill(in *readbuffer.Buffer) error {
	if !c.readyToShut() {
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

// readyToShut tells whether the connection is shut now, if nothing lies unread; else it bounds the next read. Only the reader
// makes a resting connection busy, so this holds until it has looked.
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
	case !c.wakeDeadlineSet:
		return false
	}
	c.wakeDeadlineSet = deadline != c.messageDeadline
	c.SetReadDeadline(deadline)
	return false
}

// nonBlockingReader reads what has come on a connection, without waiting for more; os.ErrDeadlineExceeded if there is nothing.
type nonBlockingReader struct{ net.Conn }

func (u nonBlockingReader) Read(b []byte) (n int, err error) {
	sysConn, ok := u.Conn.(syscall.Conn)
	if !ok { // none of the system's
		u.SetReadDeadline(time.Now().Add(timerSlack))
		return u.Conn.Read(b)
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

// fail ends a connection on which came what no router sends. What is open on it is aborted, as its client cannot be believed any
// more.
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

// rejectUnread answers what has been read, or lies unread, on a connection that takes nothing in any more. Where what came cannot be made
// sense of, nothing behind it can.
func (c *conn) rejectUnread(in *readbuffer.Buffer, readable bool) {
	c.mu.Lock()
	shouldReject := readable && c.phase == phaseEnding && !c.finalReadDone
	c.mu.Unlock()
	defer func() { // whatever becomes of the look
		c.mu.Lock()
		defer c.mu.Unlock()
		c.finalReadDone, c.reading = true, false
		c.advanceShutdown()
	}()
	if shouldReject {
		c.rejecter().rejectAll(in, c.Conn)
	}
}

// rejecter answers for the connection what it takes in no more.
func (c *conn) rejecter() rejecter {
	return rejecter{Server: c.Server, seqs: &c.seqTracker, send: c.send, interrupt: c.Interrupt}
}

// abandon tells the gate that nobody waits any more for RPCs that were open.
func (c *conn) abandon(calls map[int32]*call) {
	for _, pending := range calls {
		c.requestBytes.Add(-pending.size())
		c.gate.Gone(c.clock.now(), pending.id)
	}
}

// isEnding tells whether nothing more is taken in.
func (c *conn) isEnding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase >= phaseEnding
}

// boundNextWrite bounds the next write.
func (c *conn) boundNextWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase < phaseEnding { // else move has set the bound
		c.SetWriteDeadline(time.Now().Add(writeTimeout))
	}
}

// discardInput reads a shut connection to its end, within bounds, and takes nothing in. Before it is shut, nothing more is read.
func (c *conn) discardInput() {
	c.mu.Lock()
	endedByRouter, evicted := c.phase < phaseEnding, c.evicted
	c.mu.Unlock()
	if endedByRouter { // the router has ended it
		return
	}
	<-c.writeShut // a connection that ends has a bound for its last write
	if evicted {  // there is no time
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
