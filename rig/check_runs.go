package rig

import (
	"time"

	"valveglade/rpc"
)

// RunStarted records that a kernel has started to run an RPC.
func (c *Checker) RunStarted(server, id string) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	r, s := c.rpcs[id], c.server(server)
	if r == nil {
		c.addViolation(1, "%s ran %q, which no caller requested", server, id)
		return
	}
	c.counts["runs"]++
	r.runs++
	r.ran = true
	s.runStarts[id] = now
	if r.runs > 1 && r.kind != rpc.Idempotent {
		c.counts["double.runs"]++
		c.addViolation(2, "%s (%s) run a second time, at %s", id, r.kind, server)
	}
	if s.noticeAt.IsZero() {
		return
	}
	// The rule applies to the arrival time of the RPC, not to the start of its run.
	arrived := time.Time{}
	for _, tries := range c.tries {
		for _, t := range tries {
			if t.server == server && t.id == id && t.sentAt.After(arrived) {
				arrived = t.sentAt
			}
		}
	}
	if arrived.After(s.noticeAt.Add(s.grace + c.slack)) {
		c.addViolation(3, "%s arrived at %s %v after its notice and was run", id, server, arrived.Sub(s.noticeAt))
	}
}

// resolveCommand returns what a kernel runs for a command; ok is false if no client has sent this RPC to the process.
func (c *Checker) resolveCommand(server, call, method string, body []byte) (order runRequest, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.settings == nil {
		id, work, ok := DecodeBody(body)
		return runRequest{entry: CatalogEntry{RPC: id, Work: work}}, ok
	}
	l := c.server(server).requests
	s := l.find(call, method, body)
	if s == nil {
		c.addViolation(1, "%s commanded its kernel to run what no client has sent it: %s", server,
			l.describeMismatch(call, method, body))
		return runRequest{}, false
	}
	return runRequest{entry: s.entry, sent: s, requestOver: s.settled()}, true
}

// knowsCall reports whether a client has sent an RPC with this id to the process. Without CheckServers it is always true.
func (c *Checker) knowsCall(server, call string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.settings == nil || len(c.server(server).requests.byCall[call]) > 0
}

// requestSettled reports whether the request of a run has its reply or needs none any more.
func (c *Checker) requestSettled(order runRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return order.sent != nil && order.sent.settled()
}

// recordRunStart records the start of a run.
func (c *Checker) recordRunStart(server string, order runRequest) {
	if order.sent == nil {
		c.RunStarted(server, order.entry.RPC)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["runs"]++
	process := c.server(server)
	if !process.noticeAt.IsZero() && order.sent.sentAt.After(process.noticeAt.Add(process.grace+c.slack)) {
		c.addViolation(3, "%s arrived at %s %v after its notice and was run", order.sent, server,
			order.sent.sentAt.Sub(process.noticeAt))
	}
	c.verifyRun(server, process.requests, order.sent)
	if r := c.rpcs[order.entry.RPC]; r != nil {
		r.ran = true
	}
	order.sent.lastRunAt, order.sent.running = time.Now(), true
	process.requests.active[order.sent] = struct{}{}
	process.runStarts[order.sent.id] = order.sent.lastRunAt
}

// verifyRun records a violation if an RPC has a second effect: a non-idempotent RPC at any time, a tokened one within its
// window, which starts with the arrival of the try that ran. The caller holds c.mu.
func (c *Checker) verifyRun(server string, l *requestLog, s *sentTry) {
	m := c.settings.Methods[s.method]
	if m.Kind == rpc.Idempotent {
		return
	}
	if !s.lastRunAt.IsZero() {
		c.counts["double.runs"]++
		c.addViolation(2, "%s (%s) run a second time, at %s", s, m.Kind, server)
		return
	}
	if m.Kind != rpc.Tokened {
		return
	}
	for _, other := range l.siblings(s) {
		if until := other.arrivedAt.Add(m.Window); !other.lastRunAt.IsZero() && s.sentAt.Add(c.slack).Before(until) {
			c.counts["double.runs"]++
			c.addViolation(2, "%s run at %s, where %s of the same token was run, %v before the end of its window", s, server,
				other, until.Sub(s.sentAt))
			return
		}
	}
}

// recordResult records the result of a run.
func (c *Checker) recordResult(order runRequest, result []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if order.sent != nil {
		order.sent.results = append(order.sent.results, result)
	}
}

// recordRunEnd records the end of a run.
func (c *Checker) recordRunEnd(order runRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if order.sent != nil {
		order.sent.running = false
	}
}

// bookedKB returns the memory that all requests of an app server book now, in KB.
func (c *Checker) bookedKB(server string, runFactor float64) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.server(server).requests.bookedKB(time.Now(), runFactor)
}

// load returns the present load of an app server.
func (c *Checker) load(server string) serverLoad {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.server(server).requests.load(time.Now())
}

// connectionOpened counts a connection to an app server until ConnectionEnded is called.
func (c *Checker) connectionOpened(f *proxiedConnection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f.countingLog = c.server(f.FaultProxy.serverName).requests
	f.countingLog.connections++
}
