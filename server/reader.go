package server

import (
	"errors"
	"math"
	"os"
	"runtime"
	"time"

	"valveglade/internal/readbuffer"
	"valveglade/internal/thrift"
)

// read takes frames until the connection ends; the end of the connection is no error.
func (c *conn) read(in *readbuffer.Buffer) error {
	c.readBy(messageTimeout) // silence from the start is half a message too
	turn := 0                // RPCs since others last had theirs
	late := false            // what has come of a message was not whole in time
	for timed := true; ; {
		frame, size, err := thrift.Frame(in.Bytes())
		if err != nil {
			return err
		}
		if size == 0 {
			turn = 0
			if done, err := c.passOver(in); err != nil {
				return err
			} else if done {
				timed = false
				c.readBy(0)
				continue
			}
			if !timed && len(in.Bytes()) > 0 {
				timed = true
				c.readBy(messageTimeout)
			}
			c.inPart(len(in.Bytes()) > 0)
			switch err := c.fill(in); {
			case err == nil:
			case errors.Is(err, readbuffer.ErrFull):
				return err
			case errors.Is(err, errShut) && late:
				return errHalf
			case !errors.Is(err, os.ErrDeadlineExceeded) || c.ends():
				return nil
			default:
				late = c.overdue()
			}
			continue
		}
		if timed {
			timed = false
			c.readBy(0)
		}
		late = false
		ends, full := c.takeIn()
		if ends {
			return nil
		}
		if c.odd.Load() >= mostOdd {
			return errTooManyOdd
		}
		if err := c.decode(frame, full); err != nil {
			return err
		}
		in.Take(size)
		c.mu.Lock()
		c.reading = false
		c.mu.Unlock()
		if turn++; turn >= c.press.effects.Load().MaxTurn && turn > 1 {
			turn = 0
			runtime.Gosched()
		}
	}
}

// decode takes in a frame, or refuses it where the connection is full.
func (c *conn) decode(frame []byte, full bool) error {
	if full {
		return thrift.Decode(frame, c.refuser())
	}
	before := c.last
	err := errors.Join(thrift.Decode(frame, c), c.protocolError)
	if now := c.last; now > before {
		c.last = before
		c.rise(now)
	}
	return err
}

var (
	errHalf       = errors.New("half a message, or none")
	errTooManyOdd = errors.New("too many RPCs that cannot be run")
)

// isRefusable reports whether the messages behind the one that ended a connection can be read, and so refused.
func isRefusable(err error) bool {
	twice := (*usedTwice)(nil)
	return errors.Is(err, errTooManyOdd) || errors.As(err, &twice)
}

// readBy bounds how long the next bytes may take, 0 for as long as it likes. Once nothing more is taken in, move has set
// the bound, and the reader's own come too late.
func (c *conn) readBy(within time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.due = time.Time{}
	if within > 0 {
		c.due = time.Now().Add(within)
	}
	if c.phase < ending {
		c.woken = false
		c.SetReadDeadline(c.due)
	}
}

// overdue tells whether a message should have been whole by now. Then the connection closes; what has been read is answered
// first.
func (c *conn) overdue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.due.IsZero() || time.Until(c.due) > timerSlack {
		return false // only woken
	}
	if c.rests() {
		c.move(closing)
	} else {
		c.due = time.Now().Add(messageTimeout / 10)
		c.woken = true
	}
	return true
}

// inPart takes note whether a part of a message lies in the buffer.
func (c *conn) inPart(part bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partial = part
}

// takeIn marks that a frame is being taken in; full tells that it is one more than the connection may have open, and is refused. While
// too many answers wait to be written it waits for the writer first: under overload callers give up and ask anew faster than it comes
// to its turn.
func (c *conn) takeIn() (ends, full bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.phase < ending && !c.writerEnded && c.answersWait() {
		c.mu.Unlock()
		<-c.taken
		c.mu.Lock()
	}
	if c.phase >= ending {
		return true, false
	}
	c.used, c.reading, c.known = time.Now(), true, true
	return false, len(c.open) >= mostOpen
}

// answersWait is called under the lock.
func (c *conn) answersWait() bool {
	if len(c.open) < mostOpen {
		return len(c.open)+len(c.replies) >= mostOpen
	}
	return len(c.replies) >= mostOpen
}

// passOver refuses an RPC that is not all there, if it is larger than what is read now, and throws away what comes of it.
// It tells whether it did. Behind an RPC that did not come whole nothing can be read any more.
func (c *conn) passOver(in *readbuffer.Buffer) (done bool, err error) {
	size := thrift.Length(in.Bytes())
	if size <= c.press.effects.Load().MaxFrameBytes || size > thrift.MaxFrame {
		return false, nil
	}
	k, there := thrift.Peek(in.Bytes()[4:])
	method, known := c.methods[string(k.Method)]
	if !there || !known || c.tokened(method) && len(k.Token) == 0 || k.Seq <= c.last {
		return false, nil // read it then, and let it end as it would
	}
	c.mu.Lock()
	busy := c.phase >= ending || len(c.open)+len(c.replies) >= mostOpen
	if !busy {
		c.reading, c.used, c.known = true, time.Now(), true
	}
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		c.reading = false
		c.mu.Unlock()
	}()
	if busy {
		return false, nil
	}
	if _, came := c.clock.arrival(k.Recv, c.longestWait(method, math.Inf(1))); !c.turnsAway(k.Seq, method, k.Token, came, size) {
		return false, nil
	}
	c.press.came(method, 0)
	c.rise(k.Seq)
	c.readBy(messageTimeout)
	for rest := size; ; {
		n := min(rest, len(in.Bytes()))
		in.Take(n)
		if rest -= n; rest == 0 {
			return true, nil
		}
		if err := in.Fill(c); err != nil {
			return true, errHalf
		}
	}
}
