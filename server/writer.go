package server

import (
	"context"
	"errors"
	"os"
	"time"
)

// reply appends an encoded message, with the credit at the time of writing, to out.
type reply func(out []byte, load float64) []byte

// send queues a reply that belongs to no open RPC.
func (c *conn) send(r reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue(r)
}

// queue passes a reply to the writer. The caller holds c.mu, so a connection with a reply to write never
// looks idle.
func (c *conn) queue(r reply) {
	if c.phase == phaseShut {
		return // the write side is shut
	}
	c.replies = append(c.replies, r)
	notify(c.wake)
}

// write sends queued replies, several per write where possible, each with the credit at the time of writing.
func (c *conn) write(ctx context.Context) error {
	defer func() {
		c.mu.Lock()
		c.writerEnded = true
		c.advanceShutdown()
		c.mu.Unlock()
		notify(c.repliesTaken)
	}()
	var out []byte
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.wake:
		}
		c.mu.Lock()
		replies := c.replies
		c.replies, c.spareReplies = c.spareReplies[:0], nil
		c.writing = true
		replyBytes := c.replyBytes
		c.mu.Unlock()
		notify(c.repliesTaken)
		for rest := replies; len(rest) > 0; {
			load := c.credit()
			for out = out[:0]; len(rest) > 0 && len(out) < writeSize; rest = rest[1:] {
				out = rest[0](out, load)
			}
			c.boundNextWrite()
			if _, err := c.Write(out); errors.Is(err, os.ErrDeadlineExceeded) {
				return errors.New("the router does not read its answers")
			} else if err != nil { // the router has closed the connection
				c.Close()
				return nil
			}
		}
		clear(replies)
		c.mu.Lock()
		c.spareReplies, c.writing, c.lastUsed = replies, false, time.Now()
		if !c.released {
			c.replyBytes -= replyBytes
			c.monitor.replyBytes.Add(-replyBytes)
		}
		c.advanceShutdown()
		c.mu.Unlock()
	}
}
