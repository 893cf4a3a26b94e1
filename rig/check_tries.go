package rig

import (
	"time"

	"valveglade/rpc"
)

// TrySent records a try whose last byte is about to be written to an app server. due is the deadline that the try carries.
func (c *Checker) TrySent(server string, conn *proxiedConnection, seq int32, id string, due time.Time, isRetry bool) {
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
	// Times on the wire are rounded to a millisecond. The slack covers the time that this process may be descheduled between the
	// caller's reading of the clock and this one.
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
		c.addViolation(5, "%s sent with sequence number %d, which is in use", id, seq)
	}
	c.openTry(conn, seq, c.newTryState(server, id, now, due))
}

// openTry records that the reply with a sequence number is pending on a connection. The caller holds c.mu.
func (c *Checker) openTry(conn *proxiedConnection, seq int32, t *tryState) {
	if c.tries[conn] == nil {
		c.tries[conn] = map[int32]*tryState{}
	}
	c.tries[conn][seq] = t
}

// newTryState returns the state of a try that is sent now. The caller holds c.mu.
func (c *Checker) newTryState(server, id string, now, due time.Time) *tryState {
	process := c.server(server)
	return &tryState{id: id, server: server, sentAt: now, due: due, excused: process.killed, mayBeLate: process.paused}
}

// TryInterrupted records that the caller of a try has canceled it, which excuses its reply.
func (c *Checker) TryInterrupted(conn *proxiedConnection, seq int32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.tries[conn][seq]; t != nil {
		t.excused = true
	}
}

// ReplyReceived records the reply to a try as the app server sent it. noRetry and retryAfter are those of a pushback.
func (c *Checker) ReplyReceived(conn *proxiedConnection, seq int32, outcome rpc.Outcome, noRetry bool, retryAfter time.Duration) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tries[conn][seq]
	switch {
	case t == nil:
		c.addViolation(1, "a reply with sequence number %d, which no request has used", seq)
		return
	case t.replied:
		c.addViolation(2, "two replies to %s", t.id)
		return
	}
	t.replied = true
	if t.sent != nil {
		c.server(t.server).requests.addReply(now, now.Sub(t.sentAt), outcome == rpc.OK)
	}
	if now.After(c.replyDueBy(t).Add(c.slack)) && !t.excused && !conn.callerNotReading() {
		c.counts["late.answers"]++
		c.addViolation(1, "%s got its reply from %s %v after its deadline", t.id, t.server, now.Sub(t.due))
	}
	r, process := c.rpcs[t.id], c.server(t.server)
	if r == nil || outcome != rpc.PushedBack {
		return
	}
	c.counts["pushed_back"]++
	r.noRetry = r.noRetry || noRetry
	if until := now.Add(retryAfter - c.slack/10); retryAfter > 0 && until.After(r.retryAfter) {
		r.retryAfter = until
	}
	if startedAt, ran := process.runStarts[t.id]; ran && r.kind != rpc.Idempotent && startedAt.After(t.sentAt) {
		c.addViolation(2, "%s pushed back by %s, where it had been run", t.id, t.server)
	}
}

// TryNotWritten records that the last byte of a try could not be written because its connection had been reset. The app server
// has never read the try.
func (c *Checker) TryNotWritten(conn *proxiedConnection, seq int32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.tries[conn][seq]; t != nil && !t.settled() {
		t.excused = true
		c.counts["turned.away"]++
	}
}

// ConnectionEnded records the end of a connection. If the caller or the rig ended it (notByServer), its pending replies are
// excused; if the app server ended it, they are lost, on a new connection too.
func (c *Checker) ConnectionEnded(conn *proxiedConnection, notByServer bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Only this connection's tries: a scan of all tries delayed the rig while many connections ended, so that its own delay
	// was taken for late replies of the app server.
	for _, t := range c.tries[conn] {
		if t.settled() {
			continue
		}
		t.excused = true
		switch {
		case notByServer || conn.callerNotReading() || c.server(t.server).killed:
		case c.crossedClose(t):
			c.counts["crossed"]++
			c.crossedTries[t.id] = t
		default:
			c.counts["unanswered"]++
			c.addViolation(1, "%s lost: %s ended the connection without a reply", t.id, t.server)
		}
	}
	delete(c.tries, conn)
	if conn.countingLog != nil {
		conn.countingLog.connections--
		conn.countingLog = nil
	}
}

// Finish records a violation for each try whose deadline has passed without a reply.
func (c *Checker) Finish() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, tries := range c.tries {
		for _, t := range tries {
			if !t.settled() && !conn.callerNotReading() && now.After(c.replyDueBy(t).Add(c.slack)) {
				c.counts["unanswered"]++
				c.addViolation(1, "%s never answered by %s", t.id, t.server)
				t.excused = true
			}
		}
	}
	c.reportLostCrossed()
}

// replyDueBy returns the time by which the reply to a try is due. A paused process cannot reply; once it has
// continued, its replies may be late by resumeGracePeriod. The caller holds c.mu.
func (c *Checker) replyDueBy(t *tryState) time.Time {
	process := c.server(t.server)
	switch {
	case !t.mayBeLate:
		return t.due
	case process.paused:
		return time.Now()
	case process.resumedAt.After(t.due):
		return process.resumedAt.Add(resumeGracePeriod)
	}
	return t.due.Add(resumeGracePeriod)
}

// resumeGracePeriod is the additional time for the replies of a paused process, counted from their due time or from when the
// process continues, whichever is later.
const resumeGracePeriod = time.Second
