package rig

import "time"

// resendWindow is the protocol's figure: a request that crosses the close of a connection within it is sent again, once,
// on a new connection.
const resendWindow = 50 * time.Millisecond

// maxResendWindow is that on a busy machine. It does not grow with what else is allowed for lateness: what has been read is lost.
const maxResendWindow = resendWindow + 150*time.Millisecond

// ExpectResendAfterClose tells the checker that the callers keep to that: an RPC that crossed a close is lost only if it is not sent
// again. Without it each RPC on a connection that its app server ends is lost.
func (c *Checker) ExpectResendAfterClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crossedTries = map[string]*tryState{}
}

// crossedClose reports whether a try was written as its app server closed the connection: an app server may close any
// connection that has no open request. A request that has been run there was open. Called under the lock.
func (c *Checker) crossedClose(t *tryState) bool {
	_, ran := c.server(t.server).runStarts[t.id]
	if t.sent != nil {
		ran = !t.sent.lastRunAt.IsZero()
	}
	return c.crossedTries != nil && !ran && time.Since(t.sentAt) <= resendWindow+min(c.slack, maxResendWindow-resendWindow)
}

// reportLostCrossed finds what crossed a close and was not sent again, although there was time. Called under the lock.
func (c *Checker) reportLostCrossed() {
	for id, t := range c.crossedTries {
		if t.due.Sub(t.sentAt) > 2*(resendWindow+c.slack) {
			c.counts["unanswered"]++
			c.addViolation(1, "%s lost: %s closed the connection over it, and it was not sent again", id, t.server)
		}
		delete(c.crossedTries, id)
	}
}
