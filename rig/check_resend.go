package rig

import "time"

// resendWindow is the protocol's limit for sending a request again: a request that was written at most this long before the
// close of its connection is sent once more, on a new connection.
const resendWindow = 50 * time.Millisecond

// maxResendWindow is the resend window allowed on a busy machine. It is independent of the checker's slack, because a wider
// window would also excuse requests that were read before the close and are lost.
const maxResendWindow = resendWindow + 150*time.Millisecond

// ExpectResendAfterClose tells the checker that callers resend requests that crossed the close of a connection: such an RPC is
// lost only if it is not sent again. Otherwise every pending RPC on a connection that its app server closes is lost.
func (c *Checker) ExpectResendAfterClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crossedTries = map[string]*tryState{}
}

// crossedClose reports whether a try was written while its app server closed the connection, which an app server may do with
// any connection that has no open request. A request that has been run there was open. The caller holds c.mu.
func (c *Checker) crossedClose(t *tryState) bool {
	_, wasRun := c.server(t.server).runStarts[t.id]
	if t.sent != nil {
		wasRun = !t.sent.lastRunAt.IsZero()
	}
	return c.crossedTries != nil && !wasRun && time.Since(t.sentAt) <= resendWindow+min(c.slack, maxResendWindow-resendWindow)
}

// reportLostCrossed records a violation for each try that crossed a close and was not sent again although there was time. The
// caller holds c.mu.
func (c *Checker) reportLostCrossed() {
	for id, t := range c.crossedTries {
		if t.due.Sub(t.sentAt) > 2*(resendWindow+c.slack) {
			c.counts["unanswered"]++
			c.addViolation(1, "%s lost: %s closed the connection over it, and it was not sent again", id, t.server)
		}
		delete(c.crossedTries, id)
	}
}
