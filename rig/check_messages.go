package rig

import (
	"bytes"
	"slices"
	"time"

	"valveglade/rpc"
)

// observeRequest tells of a message of a router, as its last byte is about to be written to an app server; err says that it cannot be
// read. It returns whether an answer is owed.
func (c *Checker) observeRequest(conn *flow, q request, err error) (owed bool) {
	switch {
	case err == nil && q.kind == messageOneway && q.name == "interrupt":
		c.TryInterrupted(conn, q.target)
	case err == nil && q.kind == messageCall && q.name == "execute":
		return c.observeRPC(conn, q)
	case q.kind == messageCall: // a health check, or what no router sends: an answer does no harm, and is not judged
		c.mu.Lock()
		defer c.mu.Unlock()
		conn.allowExtraReply(q.seq)
	}
	return false
}

// observeRPC tells of an RPC on its way to an app server.
func (c *Checker) observeRPC(conn *flow, q request) (owed bool) {
	now := time.Now()
	if c.checksServers() {
		return c.observeCheckedRPC(conn, q, now)
	}
	id, work, ok := DecodeBody(q.body)
	if !ok {
		return false
	}
	if conn.arrivals != nil {
		conn.arrivals.Add(now, work)
	}
	ttl, _ := q.ttl()
	c.TrySent(conn.Net.server, conn, q.seq, id, q.recv(now).Add(ttl), q.fields["again"] == "1")
	return true
}

// checksServers reports whether Judge has been called.
func (c *Checker) checksServers() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.settings != nil
}

// observeCheckedRPC enters an RPC into the ledger of its app server.
func (c *Checker) observeCheckedRPC(conn *flow, q request, now time.Time) (owed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &sentTry{call: q.fields["call"], method: q.fields["op"], token: q.fields["dedupe"], body: slices.Clone(q.body),
		arrivedAt: q.recv(now), heapKB: q.heap()}
	s.entry = c.settings.Catalog.Lookup(s.call, s.body)
	if conn.arrivals != nil {
		conn.arrivals.Add(now, s.entry.Work)
	}
	ttl, told := q.ttl()
	if !told {
		ttl = c.settings.deadline(s.method)
	}
	due := s.arrivedAt.Add(ttl)
	if due.Before(now) { // in no case earlier than the reading of the request
		due = now
	}
	s.tryState = c.newTried(conn.Net.server, s.entry.RPC, now, due)
	s.tryState.sent = s
	c.server(conn.Net.server).requests.add(s)
	c.counts["tries"]++
	delete(c.crossedTries, s.id)
	if conn.ended.Load() { // nothing is read any more
		s.excused = true
		return false
	}
	if before := c.tries[conn][q.seq]; before != nil && !before.settled() {
		// Its number is in use: which of the two an answer is for cannot be told.
		conn.allowExtraReply(q.seq)
		s.excused = true
		return false
	}
	c.openTry(conn, q.seq, s.tryState)
	return true
}

// observeReply tells of a message of an app server; err says that it cannot be read.
func (c *Checker) observeReply(conn *flow, a reply, err error) {
	if err != nil {
		c.reportViolation(1, "%s says what no router can read: %v", conn.Net.server, err)
		return
	}
	if a.kind == replyDraining || c.consumeExtraReply(conn, a) {
		return
	}
	switch a.kind {
	case replyServed:
		c.verifyServedResult(conn, a)
		c.ReplyReceived(conn, a.seq, rpc.OK, false, 0)
	case replyPushedBack:
		c.verifyPushback(conn, a)
		c.ReplyReceived(conn, a.seq, rpc.PushedBack, a.last, a.after)
	case replyAborted:
		c.ReplyReceived(conn, a.seq, rpc.Error, false, 0)
	case replyChecked:
		c.reportViolation(1, "%s answers a health check under number %d, which was not asked", conn.Net.server, a.seq)
	}
}

// consumeExtraReply reports whether a message may be answered that owes no answer, or one more under a number that its client has used
// twice.
func (c *Checker) consumeExtraReply(conn *flow, a reply) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.tries[conn][a.seq]; t != nil && !t.replied {
		return false
	}
	if conn.spare[a.seq] == 0 {
		return false
	}
	conn.spare[a.seq]--
	return true
}

// verifyServedResult finds a result that no run at this app server made for the RPC, or for another try of it.
func (c *Checker) verifyServedResult(conn *flow, a reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tries[conn][a.seq]
	if t == nil || t.sent == nil || t.replied {
		return
	}
	l := c.server(t.server).requests
	for _, s := range l.siblings(t.sent) {
		if slices.ContainsFunc(s.results, func(r []byte) bool { return bytes.Equal(r, a.body) }) {
			return
		}
	}
	c.addViolation(1, "%s was served by %s with what no run of it made there: %.60q", t.sent, t.server, a.body)
}

// verifyPushback finds a refusal of what has been run: it promises that nothing has come of the request. Another try of it has
// to have been run for a moment already, as a refusal takes a moment to get here.
func (c *Checker) verifyPushback(conn *flow, a reply) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tries[conn][a.seq]
	if t == nil || t.sent == nil || t.replied || c.settings.Methods[t.sent.method].Kind == rpc.Idempotent {
		return
	}
	for _, s := range c.server(t.server).requests.siblings(t.sent) {
		switch {
		case s.lastRunAt.IsZero():
		case s == t.sent, now.Sub(s.lastRunAt) > c.slack && t.sentAt.Before(s.arrivedAt.Add(c.settings.Methods[s.method].Window)):
			c.addViolation(2, "%s pushed back by %s, where %s had been run", t.sent, t.server, s)
			return
		}
	}
}

// allowExtraReply allows one more answer under a number. Called under the checker's lock.
func (f *flow) allowExtraReply(seq int32) {
	if f.spare == nil {
		f.spare = map[int32]int{}
	}
	f.spare[seq]++
}
