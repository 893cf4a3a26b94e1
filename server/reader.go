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
	c.boundNextRead(messageTimeout) // silence from the start is half a message too
	framesSinceYield := 0           // RPCs since others last had theirs
	overdue := false                // what has come of a message was not whole in time
	for timeLimited := true; ; {
		frame, size, err := thrift.Frame(in.Bytes())
		if err != nil {
			return err
		}
		if size == 0 {
			framesSinceYield = 0
			if done, err := c.discardLarge(in); err != nil {
				return err
			} else if done {
				timeLimited = false
				c.boundNextRead(0)
				continue
			}
			if !timeLimited && len(in.Bytes()) > 0 {
				timeLimited = true
				c.boundNextRead(messageTimeout)
			}
			c.setPartial(len(in.Bytes()) > 0)
			switch err := c.fill(in); {
			case err == nil:
			case errors.Is(err, readbuffer.ErrFull):
				return err
			case errors.Is(err, errConnShut) && overdue:
				return errPartialMessage
			case !errors.Is(err, os.ErrDeadlineExceeded) || c.isEnding():
				return nil
			default:
				overdue = c.handleOverdue()
			}
			continue
		}
		if timeLimited {
			timeLimited = false
			c.boundNextRead(0)
		}
		overdue = false
		ending, full := c.beginFrame()
		if ending {
			return nil
		}
		if c.unusableRPCs.Load() >= maxUnusableRPCs {
			return errTooManyUnusable
		}
		if err := c.decode(frame, full); err != nil {
			return err
		}
		in.Take(size)
		c.mu.Lock()
		c.reading = false
		c.mu.Unlock()
		if framesSinceYield++; framesSinceYield >= c.monitor.effects.Load().Turn && framesSinceYield > 1 {
			framesSinceYield = 0
			runtime.Gosched()
		}
	}
}

// decode takes in a frame, or refuses it where the connection is full.
func (c *conn) decode(frame []byte, full bool) error {
	if full {
		return thrift.Decode(frame, c.rejecter())
	}
	before := c.lastSeq
	err := errors.Join(thrift.Decode(frame, c), c.protocolError)
	if now := c.lastSeq; now > before {
		c.lastSeq = before
		c.advanceTo(now)
	}
	return err
}

var (
	errPartialMessage  = errors.New("half a message, or none")
	errTooManyUnusable = errors.New("too many RPCs that cannot be run")
)

// isRejectable reports whether the messages behind the one that ended a connection can be read, and so refused.
func isRejectable(err error) bool {
	twice := (*duplicateSeqError)(nil)
	return errors.Is(err, errTooManyUnusable) || errors.As(err, &twice)
}

// boundNextRead bounds how long the next bytes may take, 0 for as long as it likes. Once nothing more is taken in, move has set
// the bound, and the reader's own come too late.
func (c *conn) boundNextRead(within time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.messageDeadline = time.Time{}
	if within > 0 {
		c.messageDeadline = time.Now().Add(within)
	}
	if c.phase < phaseEnding {
		c.wakeDeadlineSet = false
		c.SetReadDeadline(c.messageDeadline)
	}
}

// handleOverdue tells whether a message should have been whole by now. Then the connection closes; what has been read is answered
// first.
func (c *conn) handleOverdue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.messageDeadline.IsZero() || time.Until(c.messageDeadline) > timerSlack {
		return false // only woken
	}
	if c.isIdle() {
		c.enterPhase(phaseClosing)
	} else {
		c.messageDeadline = time.Now().Add(messageTimeout / 10)
		c.wakeDeadlineSet = true
	}
	return true
}

// setPartial takes note whether a part of a message lies in the buffer.
func (c *conn) setPartial(part bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partial = part
}

// beginFrame marks that a frame is being taken in; full tells that it is one more than the connection may have open, and is refused. While
// too many answers wait to be written it waits for the writer first: under overload callers give up and ask anew faster than it comes
// to its turn.
func (c *conn) beginFrame() (ending, full bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.phase < phaseEnding && !c.writerEnded && c.repliesBackedUp() {
		c.mu.Unlock()
		<-c.repliesTaken
		c.mu.Lock()
	}
	if c.phase >= phaseEnding {
		return true, false
	}
	c.lastUsed, c.reading, c.receivedMessage = time.Now(), true, true
	return false, len(c.openCalls) >= maxOpenCalls
}

// repliesBackedUp is called under the lock.
func (c *conn) repliesBackedUp() bool {
	if len(c.openCalls) < maxOpenCalls {
		return len(c.openCalls)+len(c.replies) >= maxOpenCalls
	}
	return len(c.replies) >= maxOpenCalls
}

// discardLarge refuses an RPC that is not all there, if it is larger than what is read now, and throws away what comes of it.
// It tells whether it did. Behind an RPC that did not come whole nothing can be read any more.
func (c *conn) discardLarge(in *readbuffer.Buffer) (done bool, err error) {
	size := thrift.Length(in.Bytes())
	if size <= c.monitor.effects.Load().Largest || size > thrift.MaxFrame {
		return false, nil
	}
	header, complete := thrift.Peek(in.Bytes()[4:])
	method, known := c.methods[string(header.Method)]
	if !complete || !known || c.tokened(method) && len(header.Token) == 0 || header.Seq <= c.lastSeq {
		return false, nil // read it then, and let it end as it would
	}
	c.mu.Lock()
	busy := c.phase >= phaseEnding || len(c.openCalls)+len(c.replies) >= maxOpenCalls
	if !busy {
		c.reading, c.lastUsed, c.receivedMessage = true, time.Now(), true
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
	if _, arrivedAt := c.clock.arrival(header.Recv, c.longestWait(method, math.Inf(1))); !c.shed(header.Seq, method, header.Token, arrivedAt, size) {
		return false, nil
	}
	c.monitor.recordArrival(method, 0)
	c.advanceTo(header.Seq)
	c.boundNextRead(messageTimeout)
	for remaining := size; ; {
		n := min(remaining, len(in.Bytes()))
		in.Take(n)
		if remaining -= n; remaining == 0 {
			return true, nil
		}
		if err := in.Fill(c); err != nil {
			return true, errPartialMessage
		}
	}
}
