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

// read processes frames until the connection ends. The end of the connection is not an error.
func (c *conn) read(in *readbuffer.Buffer) error {
	c.boundNextRead(messageTimeout) // a new connection that sends nothing counts as incomplete too
	framesSinceYield := 0           // RPCs since the last runtime.Gosched
	overdue := false                // the message was incomplete at its deadline
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
				overdue = c.handleReadTimeout()
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
		in.Discard(size)
		c.mu.Lock()
		c.reading = false
		c.mu.Unlock()
		if framesSinceYield++; framesSinceYield >= c.monitor.effects.Load().MaxTurn && framesSinceYield > 1 {
			framesSinceYield = 0
			runtime.Gosched()
		}
	}
}

// decode processes a frame, or rejects it if the connection has too many open RPCs.
func (c *conn) decode(frame []byte, full bool) error {
	if full {
		return thrift.Decode(frame, c.rejecter())
	}
	previousSeq := c.lastSeq
	err := errors.Join(thrift.Decode(frame, c), c.protocolError)
	if currentSeq := c.lastSeq; currentSeq > previousSeq {
		c.lastSeq = previousSeq
		c.advanceTo(currentSeq)
	}
	return err
}

var (
	errPartialMessage  = errors.New("half a message, or none")
	errTooManyUnusable = errors.New("too many RPCs that cannot be run")
)

// isRejectable reports whether the messages after the one that ended a connection can be parsed, and so
// rejected.
func isRejectable(err error) bool {
	duplicate := (*duplicateSeqError)(nil)
	return errors.Is(err, errTooManyUnusable) || errors.As(err, &duplicate)
}

// boundNextRead sets how long the next message may take; 0 means no limit. From phaseEnding on, enterPhase
// has set the deadline and this one does not apply.
func (c *conn) boundNextRead(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.messageDeadline = time.Time{}
	if timeout > 0 {
		c.messageDeadline = time.Now().Add(timeout)
	}
	if c.phase < phaseEnding {
		c.deadlineNeedsReset = false
		c.SetReadDeadline(c.messageDeadline)
	}
}

// handleReadTimeout handles the expiry of the read deadline. It returns false if there is no message deadline or if it
// lies more than timerSlack ahead, as when the read deadline was only set to wake the reader. Otherwise it returns true,
// and an idle connection starts closing. A busy connection first answers the RPCs that it has read: its message deadline
// is set to a tenth of messageTimeout (150 ms) from now, after which the reader calls this again. The number of
// extensions is not limited. They end when the message is complete, or when the open RPCs are answered and the replies
// written: no further RPC is read meanwhile, and a router that does not read its replies is disconnected after
// writeTimeout.
func (c *conn) handleReadTimeout() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.messageDeadline.IsZero() || time.Until(c.messageDeadline) > timerSlack {
		return false // woken early
	}
	if c.isIdle() {
		c.enterPhase(phaseClosing)
	} else {
		c.messageDeadline = time.Now().Add(messageTimeout / 10)
		c.deadlineNeedsReset = true // the expired read deadline stays set; readyToShut replaces it before the next read
	}
	return true
}

// setPartial records whether the buffer holds part of a message.
func (c *conn) setPartial(partial bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partial = partial
}

// beginFrame marks that a frame is being processed. It returns whether the connection is ending, and whether
// it has as many open RPCs as it may have, so that the frame is rejected. While too many replies wait to be
// written it first waits for the writer: under overload, callers give up and retry faster than the writer is
// scheduled.
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

// repliesBackedUp reports whether the reader has to wait for the writer. The caller holds c.mu.
func (c *conn) repliesBackedUp() bool {
	if len(c.openCalls) < maxOpenCalls {
		return len(c.openCalls)+len(c.replies) >= maxOpenCalls
	}
	return len(c.replies) >= maxOpenCalls
}

// discardLarge rejects an RPC that is incomplete in the buffer and larger than currently admitted, and
// discards its bytes. It reports whether it did. If the RPC does not arrive completely, nothing after it can
// be parsed.
func (c *conn) discardLarge(in *readbuffer.Buffer) (done bool, err error) {
	size := thrift.Length(in.Bytes())
	if size <= c.monitor.effects.Load().MaxFrameBytes || size > thrift.MaxFrame {
		return false, nil
	}
	header, complete := thrift.Peek(in.Bytes()[4:])
	method, known := c.methods[string(header.Method)]
	if !complete || !known || c.tokened(method) && len(header.Token) == 0 || header.Seq <= c.lastSeq {
		return false, nil // read it as usual and let it fail there
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
	if _, arrivedAt := c.clock.arrival(header.Recv, c.longestWait(method, math.Inf(1))); !c.shed(header.Seq, method,
		header.Token, arrivedAt, size) {
		return false, nil
	}
	c.monitor.recordArrival(method, 0)
	c.advanceTo(header.Seq)
	c.boundNextRead(messageTimeout)
	for remaining := size; ; {
		n := min(remaining, len(in.Bytes()))
		in.Discard(n)
		if remaining -= n; remaining == 0 {
			return true, nil
		}
		if err := in.Fill(c); err != nil {
			return true, errPartialMessage
		}
	}
}
