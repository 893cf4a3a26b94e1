package rig

import (
	"bytes"
	"slices"
	"time"

	"valveglade/rpc"
)

// observeRequest records a message of a client whose last byte is about to be written to an app server; err is the error of
// parsing it. It returns whether a reply to the message is due.
func (c *Checker) observeRequest(conn *proxiedConnection, message request, err error) (replyDue bool) {
	switch {
	case err == nil && message.kind == messageOneway && message.name == "interrupt":
		c.TryInterrupted(conn, message.target)
	case err == nil && message.kind == messageCall && message.name == "execute":
		return c.observeRPC(conn, message)
	case message.kind == messageCall: // a health check or an unknown call: a reply is allowed and not checked
		c.mu.Lock()
		defer c.mu.Unlock()
		conn.allowExtraReply(message.seq)
	}
	return false
}

// observeRPC records an RPC on its way to an app server. It returns whether a reply is due.
func (c *Checker) observeRPC(conn *proxiedConnection, message request) (replyDue bool) {
	now := time.Now()
	if c.checksServers() {
		return c.observeCheckedRPC(conn, message, now)
	}
	id, work, ok := DecodeBody(message.body)
	if !ok {
		return false
	}
	if conn.arrivals != nil {
		conn.arrivals.Add(now, work)
	}
	ttl, _ := message.ttl()
	c.TrySent(conn.FaultProxy.serverName, conn, message.seq, id, message.receivedAt(now).Add(ttl), message.fields["again"] == "1")
	return true
}

// checksServers reports whether CheckServers has been called.
func (c *Checker) checksServers() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.settings != nil
}

// observeCheckedRPC adds an RPC to the request log of its app server. It returns whether a reply is due.
func (c *Checker) observeCheckedRPC(conn *proxiedConnection, message request, now time.Time) (replyDue bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sent := &sentTry{call: message.fields["call"], method: message.fields["op"], token: message.fields["dedupe"],
		body: slices.Clone(message.body), arrivedAt: message.receivedAt(now), heapKB: message.heapKB()}
	sent.entry = c.settings.Catalog.Lookup(sent.call, sent.body)
	if conn.arrivals != nil {
		conn.arrivals.Add(now, sent.entry.Work)
	}
	ttl, hasTTL := message.ttl()
	if !hasTTL {
		ttl = c.settings.deadline(sent.method)
	}
	due := sent.arrivedAt.Add(ttl)
	if due.Before(now) { // a reply is never due before the request has been read
		due = now
	}
	sent.tryState = c.newTryState(conn.FaultProxy.serverName, sent.entry.RPC, now, due)
	sent.tryState.sent = sent
	c.server(conn.FaultProxy.serverName).requests.add(sent)
	c.counts["tries"]++
	delete(c.crossedTries, sent.id)
	if conn.endedByServer.Load() { // the app server reads nothing any more
		sent.excused = true
		return false
	}
	if earlier := c.tries[conn][message.seq]; earlier != nil && !earlier.settled() {
		// With the sequence number in use, a reply cannot be matched to one of the two requests.
		conn.allowExtraReply(message.seq)
		sent.excused = true
		return false
	}
	c.openTry(conn, message.seq, sent.tryState)
	return true
}

// observeReply records a message of an app server; err is the error of parsing it.
func (c *Checker) observeReply(conn *proxiedConnection, message reply, err error) {
	if err != nil {
		c.reportViolation(1, "%s sent a message that no router can read: %v", conn.FaultProxy.serverName, err)
		return
	}
	if message.kind == replyDraining || c.consumeExtraReply(conn, message) {
		return
	}
	switch message.kind {
	case replyServed:
		c.verifyServedResult(conn, message)
		c.ReplyReceived(conn, message.seq, rpc.OK, false, 0)
	case replyPushedBack:
		c.verifyPushback(conn, message)
		c.ReplyReceived(conn, message.seq, rpc.PushedBack, message.noRetry, message.retryAfter)
	case replyAborted:
		c.ReplyReceived(conn, message.seq, rpc.Error, false, 0)
	case replyChecked:
		c.reportViolation(1, "%s answered a health check with sequence number %d, which was not sent",
			conn.FaultProxy.serverName, message.seq)
	}
}

// consumeExtraReply uses up one allowed extra reply and reports whether there was one. An extra reply is allowed to a message
// that needs none, and for a sequence number that its client used twice.
func (c *Checker) consumeExtraReply(conn *proxiedConnection, message reply) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.tries[conn][message.seq]; t != nil && !t.replied {
		return false
	}
	if conn.optionalReplies[message.seq] == 0 {
		return false
	}
	conn.optionalReplies[message.seq]--
	return true
}

// verifyServedResult records a violation if no run at this app server produced the result for the RPC or another try of it.
func (c *Checker) verifyServedResult(conn *proxiedConnection, message reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tries[conn][message.seq]
	if t == nil || t.sent == nil || t.replied {
		return
	}
	requests := c.server(t.server).requests
	for _, other := range requests.siblings(t.sent) {
		if slices.ContainsFunc(other.results, func(result []byte) bool { return bytes.Equal(result, message.body) }) {
			return
		}
	}
	c.addViolation(1, "%s was served by %s with a result that no run of it produced there: %.60q", t.sent, t.server, message.body)
}

// verifyPushback records a violation if an RPC was pushed back although it had been run: a pushback promises that the request
// had no effect. A run of another try counts only if it is older than the slack, because the pushback may have been on its way.
func (c *Checker) verifyPushback(conn *proxiedConnection, message reply) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tries[conn][message.seq]
	if t == nil || t.sent == nil || t.replied || c.settings.Methods[t.sent.method].Kind == rpc.Idempotent {
		return
	}
	for _, other := range c.server(t.server).requests.siblings(t.sent) {
		switch {
		case other.lastRunAt.IsZero():
		case other == t.sent,
			now.Sub(other.lastRunAt) > c.slack && t.sentAt.Before(other.arrivedAt.Add(c.settings.Methods[other.method].Window)):
			c.addViolation(2, "%s pushed back by %s, where %s had been run", t.sent, t.server, other)
			return
		}
	}
}

// allowExtraReply allows one more reply with a sequence number. The caller holds the checker's lock.
func (conn *proxiedConnection) allowExtraReply(seq int32) {
	if conn.optionalReplies == nil {
		conn.optionalReplies = map[int32]int{}
	}
	conn.optionalReplies[seq]++
}
