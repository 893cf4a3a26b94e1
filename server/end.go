package server

import (
	"errors"
	"syscall"
	"time"

	"go.uber.org/zap"

	"valveglade/internal/thrift"
)

// phase is how far a connection has come on its way to its end. It only goes on, and only move changes it.
type phase uint8

const (
	serving phase = iota // what comes is taken in
	leaving              // the router has been asked to send nothing more; what comes all the same is taken in
	ending               // nothing more is taken in, what is owed is still written
	shut                 // all has been written and our side is shut; what comes is read and thrown away
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
)

// move takes the connection on to a phase, and wakes whoever waits on it; called under the lock.
func (c *conn) move(to phase) {
	if to <= c.phase {
		return
	}
	c.phase = to
	now := time.Now()
	switch to {
	case ending:
		signal(c.taken)
		c.SetReadDeadline(now)
		c.SetWriteDeadline(now.Add(linger)) // for who does not read its answers
	case shut:
		if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
			half.CloseWrite()
		}
		c.SetReadDeadline(now.Add(linger))
	}
}

// settle shuts an ending connection once nothing more is to be written; called under the lock.
func (c *conn) settle() {
	if c.phase == ending && (c.mute || len(c.open) == 0 && len(c.replies) == 0 && !c.writing) {
		c.move(shut)
	}
}

// end is the one way in which the app server ends a connection: nothing more is taken in, what is owed is written, our
// side is shut, what crosses that is read and thrown away, and then the descriptor is given back.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.move(ending)
	c.settle()
}

// endAtRest is end unless something has just come; it tells whether the connection ends. What is not taken in any more the
// router sends again, on a new connection; what is taken in must be answered here.
func (c *conn) endAtRest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rests() {
		c.move(ending)
		c.settle()
	}
	return c.phase >= ending
}

// endNow is endAtRest where the descriptor is wanted: it is given back at once, and only what has come by then is read.
func (c *conn) endNow() bool {
	if !c.endAtRest() {
		return false
	}
	go func() { // a close may wait for whoever uses the descriptor, and locks are held that accepting needs
		c.discard()
		c.Close()
		close(c.gone)
	}()
	return true
}

// discard throws away what has come and lies unread, without waiting for more.
func (c *conn) discard() {
	open, ok := c.Conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := open.SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(fd uintptr) {
		buf := make([]byte, 4<<10)
		for size := 0; size < lingerSize; {
			n, err := syscall.Read(int(fd), buf)
			if n <= 0 || err != nil {
				return
			}
			size += n
		}
	})
}

// fail ends a connection on which came what no router sends. What else was open on it is aborted, as its client cannot be
// believed any more; the RPC whose number came twice gets no answer, which would be one to both.
func (c *conn) fail(err error) {
	c.door.Warn("connection closed", zap.Stringer("router", c.RemoteAddr()), zap.Error(err))
	c.mu.Lock()
	open := c.open
	c.open, c.reading = map[int32]*call{}, false
	twice := (*usedTwice)(nil)
	errors.As(err, &twice)
	for seq := range open {
		if twice != nil && twice.seq == seq {
			continue
		}
		c.queue(func(out []byte, load float64) []byte { return thrift.Aborted(out, seq, load) })
	}
	c.move(ending)
	c.settle()
	c.mu.Unlock()
	c.giveUp(open)
}

// giveUp tells the gate that nobody waits any more for RPCs that were open.
func (c *conn) giveUp(open map[int32]*call) {
	for _, k := range open {
		c.held.Add(-k.size())
		c.gate.Gone(clock(), k.id)
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
		c.SetWriteDeadline(time.Now().Add(stuck))
	}
}

// readOn reads an ended connection to its end, within bounds, and takes nothing in.
func (c *conn) readOn() {
	c.mu.Lock()
	if c.phase < ending { // the router has ended it
		c.mu.Unlock()
		return
	}
	if c.phase == ending {
		c.SetReadDeadline(time.Time{}) // till all is written, which has a bound of its own
	}
	c.mu.Unlock()
	buf := make([]byte, 4<<10)
	for size := 0; size < lingerSize; {
		n, err := c.Read(buf)
		if err != nil {
			return
		}
		size += n
	}
}
