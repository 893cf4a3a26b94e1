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
	serving  phase = iota // what comes is taken in
	draining              // the router has been asked to send nothing more; what comes all the same is taken in
	closing               // it is shut as soon as nothing is owed on it and nothing lies unread
	ending                // nothing more runs; what has come is refused, and what is owed is still written
	shut                  // all has been written and our side is shut; what comes is read and thrown away
)

const (
	// linger is how long a shut connection is read on before it is closed, and how long its last answers may take to be
	// written. A router sends an RPC that crosses the shutdown again if it does so within 50 ms; four times that leaves room
	// for a process that is off its core. Without it the close is one over unread bytes, so a reset, which takes along what
	// was written last.
	linger = 200 * time.Millisecond
	// lingerSize is how much is read meanwhile: who sends more than a connection may carry at once has not crossed a
	// shutdown, but sends without looking.
	lingerSize = 64 << 10
	// halfFor is how long a closing connection waits for the rest of a message: what a router has begun to write is there
	// within some milliseconds, and what is whole only after the shutdown has crossed it and is sent again.
	halfFor = 50 * time.Millisecond
	// lookFor is how long a connection whose time is up waits for its reader's last look: the rest of linger is for what the look finds
	// to be written.
	lookFor = linger / 4
)

// past is a deadline that wakes whoever reads.
var past = time.Unix(1, 0)

// move takes the connection on to a phase, and wakes whoever waits on it; called under the lock.
func (c *conn) move(to phase) {
	if to <= c.phase {
		return
	}
	c.phase = to
	now := time.Now()
	switch to {
	case closing:
		c.lastAt = now
	case ending:
		c.endedAt = now
		signal(c.taken)
		c.SetReadDeadline(past)
		c.SetWriteDeadline(now.Add(linger)) // for who does not read its answers
	case shut:
		close(c.shutDown)
		if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
			half.CloseWrite()
		}
		c.SetReadDeadline(now.Add(linger))
	}
}

// settle takes a connection that is on its way out on, once nothing more is to be written; called under the lock.
func (c *conn) settle() {
	switch {
	case c.phase == closing && c.rests():
		c.woken = true
		c.SetReadDeadline(past) // the reader alone knows what lies unread
	case c.phase == ending && (c.writerEnded || c.looked && len(c.open) == 0 && len(c.replies) == 0 && !c.writing):
		c.move(shut)
	}
}

// end is the one way in which the app server ends a connection: what has come by then is taken in, what is owed is written,
// our side is shut, what crosses that is read and thrown away, and then the descriptor is given back.
func (c *conn) end() { c.endIn(closing) }

// cutShort is end where the time is up: what has come is refused. Guards against a reader that does not come to its turn: the
// connection does not wait for it longer than lookFor.
func (c *conn) cutShort() {
	c.endIn(ending)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.looked && c.phase == ending && time.Since(c.endedAt) > lookFor {
		c.looked = true
		c.settle()
	}
}

func (c *conn) endIn(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.move(p)
	c.settle()
}

// evict is end for a resting connection whose descriptor is wanted: it is given back without waiting for what crosses. It
// tells whether the connection rests. If something lies unread after all, that is answered first.
func (c *conn) evict() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.rests() {
		return false
	}
	c.evicted = true
	c.move(closing)
	c.settle()
	if c.phase == shut {
		c.SetReadDeadline(past)
	}
	return true
}

// errShut tells the reader that it has shut its connection.
var errShut = errors.New("shut")

// fill reads what comes next. A closing connection on which nothing is owed is shut here, once a last look has found
// nothing unread. Guards against a shutdown over an RPC that has lain unread for long, as it does while this process is off
// its core: its router sends again only what crosses within an instant.
func (c *conn) fill(in *readbuffer.Buffer) error {
	if !c.closes() {
		return in.Fill(c)
	}
	if err := in.Fill(unread{c.Conn}); !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.move(shut)
	return errShut
}

// closes tells whether the connection is shut now, if nothing lies unread; else it bounds the next read. Only the reader
// makes a resting connection busy, so this holds until it has looked.
func (c *conn) closes() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	by := c.due
	switch {
	case c.phase >= ending:
		return false
	case c.phase == closing && c.rests():
		if half := c.lastAt.Add(c.half); by.IsZero() || half.Before(by) {
			by = half
		}
		if !c.partial || c.evicted || time.Until(by) <= timerSlack {
			return true
		}
	case !c.woken:
		return false
	}
	c.woken = by != c.due
	c.SetReadDeadline(by)
	return false
}

// unread reads what has come on a connection, without waiting for more; os.ErrDeadlineExceeded if there is nothing.
type unread struct{ net.Conn }

func (u unread) Read(b []byte) (n int, err error) {
	open, ok := u.Conn.(syscall.Conn)
	if !ok { // none of the system's
		u.SetReadDeadline(time.Now().Add(timerSlack))
		return u.Conn.Read(b)
	}
	raw, err := open.SyscallConn()
	if err != nil {
		return 0, err
	}
	var failed error
	if err := raw.Control(func(fd uintptr) {
		for failed = syscall.EINTR; failed == syscall.EINTR; {
			n, failed = syscall.Read(int(fd), b)
		}
	}); err != nil {
		return 0, err
	}
	switch {
	case failed == syscall.EAGAIN:
		return 0, os.ErrDeadlineExceeded
	case failed != nil:
		return 0, failed
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// fail ends a connection on which came what no router sends. What is open on it is aborted, as its client cannot be believed any
// more.
func (c *conn) fail(err error) {
	c.limited.Warn("connection closed", zap.Stringer("router", c.RemoteAddr()), zap.Error(err))
	c.mu.Lock()
	open := c.open
	c.open, c.reading = map[int32]*call{}, false
	for seq := range open {
		c.queue(func(out []byte, load float64) []byte { return thrift.Aborted(out, seq, load) })
	}
	c.move(ending)
	c.mu.Unlock()
	c.giveUp(open)
}

// lastLook answers what has been read, or lies unread, on a connection that takes nothing in any more. Where what came cannot be made
// sense of, nothing behind it can.
func (c *conn) lastLook(in *readbuffer.Buffer, readable bool) {
	c.mu.Lock()
	look := readable && c.phase == ending && !c.looked
	c.mu.Unlock()
	defer func() { // whatever becomes of the look
		c.mu.Lock()
		defer c.mu.Unlock()
		c.looked, c.reading = true, false
		c.settle()
	}()
	if look {
		c.refuser().refuse(in, c.Conn)
	}
}

// refuser answers for the connection what it takes in no more.
func (c *conn) refuser() refuser {
	return refuser{Server: c.Server, numbers: &c.numbers, say: c.say, interrupt: c.Interrupt}
}

// giveUp tells the gate that nobody waits any more for RPCs that were open.
func (c *conn) giveUp(open map[int32]*call) {
	for _, k := range open {
		c.held.Add(-k.size())
		c.gate.CallerGone(c.clock.now(), k.id)
	}
}

// ends tells whether nothing more is taken in.
func (c *conn) ends() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase >= ending
}

// writeBy bounds the next write.
func (c *conn) writeBy() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase < ending { // else move has set the bound
		c.SetWriteDeadline(time.Now().Add(writeTimeout))
	}
}

// readOn reads a shut connection to its end, within bounds, and takes nothing in. Before it is shut, nothing more is read.
func (c *conn) readOn() {
	c.mu.Lock()
	gone, evicted := c.phase < ending, c.evicted
	c.mu.Unlock()
	if gone { // the router has ended it
		return
	}
	<-c.shutDown // a connection that ends has a bound for its last write
	if evicted { // there is no time
		return
	}
	buf := make([]byte, 4<<10)
	for size := 0; size < lingerSize; {
		n, err := c.Read(buf)
		if err != nil {
			return
		}
		size += n
	}
}
