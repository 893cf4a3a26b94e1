package rig

import (
	"time"

	"valveglade/rpc"
)

// TrySent tells of an RPC whose last byte has been written to an app server.
func (c *Checker) TrySent(server string, conn *flow, seq int32, id string, due time.Time, again bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["tries"]++
	r := c.rpcs[id]
	if r == nil {
		return
	}
	delete(c.crossedTries, id)
	if r.tries++; r.tries > 1 {
		c.counts["further"]++
	}
	switch {
	case r.noRetry, now.Before(r.retryAfter):
		c.counts["refused.retried"]++
		c.addViolation(5, "%s tried again at %s, %v before it was allowed to", id, server, time.Until(r.retryAfter))
	}
	// A millisecond is what the wire's figures are rounded to; the slack is for this process, which may be off its
	// core between the caller's look at the clock and this one.
	if now.After(r.deadline.Add(c.slack)) {
		c.counts["late.sent"]++
		c.addViolation(5, "%s sent %v after its deadline", id, now.Sub(r.deadline))
	}
	if due.After(r.deadline.Add(2*time.Millisecond + c.slack/5)) {
		c.addViolation(5, "%s sent with a deadline %v later than its own", id, due.Sub(r.deadline))
	}
	if r.kind == rpc.NonIdempotent && r.sent {
		c.addViolation(5, "%s is non-idempotent and was sent twice", id)
	}
	r.sent = true
	if c.tries[conn][seq] != nil {
		c.addViolation(5, "%s sent under number %d, which is in use", id, seq)
	}
	c.openTry(conn, seq, c.newTried(server, id, now, due))
}

// openTry has an answer to a number owed on a connection. Called under the lock.
func (c *Checker) openTry(conn *flow, seq int32, t *tryState) {
	if c.tries[conn] == nil {
		c.tries[conn] = map[int32]*tryState{}
	}
	c.tries[conn][seq] = t
}

// newTried is called under the lock.
func (c *Checker) newTried(server, id string, now, due time.Time) *tryState {
	s := c.server(server)
	return &tryState{id: id, server: server, sentAt: now, due: due, excused: s.killed, mayBeLate: s.paused}
}

// TryInterrupted tells that the caller of a try waits no longer.
func (c *Checker) TryInterrupted(conn *flow, seq int32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.tries[conn][seq]; t != nil {
		t.excused = true
	}
}

// ReplyReceived tells of an answer to a try, as it came from the app server.
func (c *Checker) ReplyReceived(conn *flow, seq int32, how rpc.Outcome, last bool, after time.Duration) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tries[conn][seq]
	switch {
	case t == nil:
		c.addViolation(1, "an answer to number %d, which was not asked", seq)
		return
	case t.replied:
		c.addViolation(2, "two answers to %s", t.id)
		return
	}
	t.replied = true
	if t.sent != nil {
		c.server(t.server).requests.addReply(now, now.Sub(t.sentAt), how == rpc.OK)
	}
	if now.After(c.replyDueBy(t).Add(c.slack)) && !t.excused && !conn.callerUnread() {
		c.counts["late.answers"]++
		c.addViolation(1, "%s answered by %s %v after its deadline", t.id, t.server, now.Sub(t.due))
	}
	r, s := c.rpcs[t.id], c.server(t.server)
	if r == nil || how != rpc.PushedBack {
		return
	}
	c.counts["pushed_back"]++
	r.noRetry = r.noRetry || last
	if until := now.Add(after - c.slack/10); after > 0 && until.After(r.retryAfter) {
		r.retryAfter = until
	}
	if at, ran := s.runStarts[t.id]; ran && r.kind != rpc.Idempotent && at.After(t.sentAt) {
		c.addViolation(2, "%s pushed back by %s, where it had been run", t.id, t.server)
	}
}

// TryNotWritten tells that the last byte of a try could not be written, as its connection was reset before: it was never read.
func (c *Checker) TryNotWritten(conn *flow, seq int32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.tries[conn][seq]; t != nil && !t.settled() {
		t.excused = true
		c.counts["turned.away"]++
	}
}

// ConnectionEnded tells that a connection is over: by the caller's doing, or ours, what was open on it is excused. What its app server
// ends is lost, on a new connection too.
func (c *Checker) ConnectionEnded(conn *flow, ours bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Only this connection's: looking through all tries held the rig up while many connections ended, and its own
	// lateness looked like the app server's.
	for _, t := range c.tries[conn] {
		if t.settled() {
			continue
		}
		t.excused = true
		switch {
		case ours || conn.callerUnread() || c.server(t.server).killed:
		case c.crossedClose(t):
			c.counts["crossed"]++
			c.crossedTries[t.id] = t
		default:
			c.counts["unanswered"]++
			c.addViolation(1, "%s lost: %s ended the connection without an answer", t.id, t.server)
		}
	}
	delete(c.tries, conn)
	if conn.counted != nil {
		conn.counted.connections--
		conn.counted = nil
	}
}

// Finish looks at what is still open: tries whose deadline has passed without an answer.
func (c *Checker) Finish() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, tries := range c.tries {
		for _, t := range tries {
			if !t.settled() && !conn.callerUnread() && now.After(c.replyDueBy(t).Add(c.slack)) {
				c.counts["unanswered"]++
				c.addViolation(1, "%s never answered by %s", t.id, t.server)
				t.excused = true
			}
		}
	}
	c.reportLostCrossed()
}

// replyDueBy is when the answer of a try has to be there. While its process is stopped it cannot answer; as soon as it goes on,
// it has to. Called under the lock.
func (c *Checker) replyDueBy(t *tryState) time.Time {
	s := c.server(t.server)
	switch {
	case !t.mayBeLate:
		return t.due
	case s.paused:
		return time.Now()
	case s.resumedAt.After(t.due):
		return s.resumedAt.Add(resumeGracePeriod)
	}
	return t.due.Add(resumeGracePeriod)
}

// resumeGracePeriod is what a process that was stopped is given to catch up.
const resumeGracePeriod = time.Second
