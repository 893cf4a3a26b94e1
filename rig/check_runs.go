package rig

import (
	"time"

	"valveglade/rpc"
)

// RunStarted tells that a kernel has begun to run an RPC.
func (c *Checker) RunStarted(server, id string) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	r, s := c.rpcs[id], c.server(server)
	if r == nil {
		c.addViolation(1, "%s ran %q, which nobody asked for", server, id)
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
	// The rule counts when the RPC came, not when it starts.
	came := time.Time{}
	for _, tries := range c.tries {
		for _, t := range tries {
			if t.server == server && t.id == id && t.sentAt.After(came) {
				came = t.sentAt
			}
		}
	}
	if came.After(s.noticeAt.Add(s.grace + c.slack)) {
		c.addViolation(3, "%s came to %s %v after its notice and was run", id, server, came.Sub(s.noticeAt))
	}
}

// resolveCommand is what a kernel is to run on a command; ok is false where no client has sent that to this process.
func (c *Checker) resolveCommand(server, call, method string, body []byte) (o workOrder, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.settings == nil {
		id, work, ok := DecodeBody(body)
		return workOrder{entry: CatalogEntry{RPC: id, Work: work}}, ok
	}
	l := c.server(server).requests
	s := l.find(call, method, body)
	if s == nil {
		c.addViolation(1, "%s asks its kernel to run what no client has sent it: %s", server, l.describeMismatch(call, method, body))
		return workOrder{}, false
	}
	return workOrder{entry: s.entry, sent: s, over: s.settled()}, true
}

// knowsCall reports whether a client has sent an RPC of this id to this process. Without Judge nobody knows, and all are.
func (c *Checker) knowsCall(server, call string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.settings == nil || len(c.server(server).requests.byCall[call]) > 0
}

// requestSettled reports whether the request of a run has been answered or given up.
func (c *Checker) requestSettled(o workOrder) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return o.sent != nil && o.sent.settled()
}

// recordRunStart tells that a run has recordRunStart.
func (c *Checker) recordRunStart(server string, o workOrder) {
	if o.sent == nil {
		c.RunStarted(server, o.entry.RPC)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["runs"]++
	p := c.server(server)
	if !p.noticeAt.IsZero() && o.sent.sentAt.After(p.noticeAt.Add(p.grace+c.slack)) {
		c.addViolation(3, "%s came to %s %v after its notice and was run", o.sent, server, o.sent.sentAt.Sub(p.noticeAt))
	}
	c.verifyRun(server, p.requests, o.sent)
	if r := c.rpcs[o.entry.RPC]; r != nil {
		r.ran = true
	}
	o.sent.lastRunAt, o.sent.running = time.Now(), true
	p.requests.active[o.sent] = struct{}{}
	p.runStarts[o.sent.id] = o.sent.lastRunAt
}

// verifyRun finds a second effect: of a non-idempotent RPC ever, of a tokened one within the window that counts from the
// arrival of the try that ran. Called under the lock.
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
			c.addViolation(2, "%s run at %s, where %s of the same token was run, %v before the end of its window", s, server, other, until.Sub(s.sentAt))
			return
		}
	}
}

// recordResult tells of the result of a run.
func (c *Checker) recordResult(o workOrder, result []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o.sent != nil {
		o.sent.results = append(o.sent.results, result)
	}
}

// recordRunEnd tells that a run is over.
func (c *Checker) recordRunEnd(o workOrder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o.sent != nil {
		o.sent.running = false
	}
}

// bookedKB is the memory that all requests of an app server book now.
func (c *Checker) bookedKB(server string, runFactor float64) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.server(server).requests.bookedKB(time.Now(), runFactor)
}

// load is what an app server has to do.
func (c *Checker) load(server string) serverLoad {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.server(server).requests.load(time.Now())
}

// connectionOpened counts a connection to an app server, until it has ended.
func (c *Checker) connectionOpened(f *flow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f.counted = c.server(f.Net.server).requests
	f.counted.connections++
}
