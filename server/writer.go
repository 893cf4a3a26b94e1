package server

import (
	"context"
	"errors"
	"os"
	"time"
)

// reply writes one message behind others, with the credit of that moment.
type reply func(out []byte, load float64) []byte

// send leaves a reply that no RPC waits for to the connection's writer.
func (c *conn) send(r reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue(r)
}

// queue is called under the lock, so that a connection with an answer to write never looks idle.
func (c *conn) queue(r reply) {
	if c.phase == phaseShut {
		return // nothing can be written any more
	}
	c.replies = append(c.replies, r)
	notify(c.wake)
}

// write sends replies, several at once where they are ready, with the credit of that moment.
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
			} else if err != nil { // it has left
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
