package rig

import (
	"time"

	"valveglade/rpc"
)

// RunStarted records that the kernel of an app server has started to run an RPC.
func (c *Checker) RunStarted(server, id string) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	r, process := c.rpcs[id], c.server(server)
	if r == nil {
		c.addViolation(1, "%s ran %q, which no caller requested", server, id)
		return
	}
	c.counts["runs"]++
	r.runs++
	r.ran = true
	process.runStarts[id] = now
	if r.runs > 1 && r.kind != rpc.Idempotent {
		c.counts["double.runs"]++
		c.addViolation(2, "%s (%s) run a second time, at %s", id, r.kind, server)
	}
	if process.shutdownRequestedAt.IsZero() {
		return
	}
	// The rule applies to the arrival time of the RPC, not to the start of its run.
	arrivedAt := time.Time{}
	for _, tries := range c.tries {
		for _, t := range tries {
			if t.server == server && t.id == id && t.sentAt.After(arrivedAt) {
				arrivedAt = t.sentAt
			}
		}
	}
	if arrivedAt.After(process.shutdownRequestedAt.Add(process.gracePeriod + c.slack)) {
		c.addViolation(3, "%s arrived at %s %v after the request to shut down and was run", id, server,
			arrivedAt.Sub(process.shutdownRequestedAt))
	}
}

// resolveCommand returns the run that an app server commands its kernel to start; ok is false if no client has sent this RPC to
// the process.
func (c *Checker) resolveCommand(server, call, method string, body []byte) (request runRequest, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.settings == nil {
		id, work, ok := DecodeBody(body)
		return runRequest{entry: CatalogEntry{RPC: id, Work: work}}, ok
	}
	requests := c.server(server).requests
	sent := requests.find(call, method, body)
	if sent == nil {
		c.addViolation(1, "%s commanded its kernel to run an RPC that no client has sent it: %s", server,
			requests.describeMismatch(call, method, body))
		return runRequest{}, false
	}
	return runRequest{entry: sent.entry, sent: sent, requestOver: sent.settled()}, true
}

// knowsCall reports whether a client has sent an RPC with this id to the process. Without CheckServers it is always true.
func (c *Checker) knowsCall(server, call string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.settings == nil || len(c.server(server).requests.byCall[call]) > 0
}

// requestSettled reports whether the request of a run has its reply or needs none.
func (c *Checker) requestSettled(request runRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return request.sent != nil && request.sent.settled()
}

// recordRunStart records the start of a run and checks that the RPC may be run.
func (c *Checker) recordRunStart(server string, request runRequest) {
	if request.sent == nil {
		c.RunStarted(server, request.entry.RPC)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["runs"]++
	process := c.server(server)
	if !process.shutdownRequestedAt.IsZero() &&
		request.sent.sentAt.After(process.shutdownRequestedAt.Add(process.gracePeriod+c.slack)) {
		c.addViolation(3, "%s arrived at %s %v after the request to shut down and was run", request.sent, server,
			request.sent.sentAt.Sub(process.shutdownRequestedAt))
	}
	c.verifyRun(server, process.requests, request.sent)
	if r := c.rpcs[request.entry.RPC]; r != nil {
		r.ran = true
	}
	request.sent.lastRunAt, request.sent.running = time.Now(), true
	process.requests.active[request.sent] = struct{}{}
	process.runStarts[request.sent.id] = request.sent.lastRunAt
}

// verifyRun records a violation if an RPC has a second effect: a non-idempotent RPC at any time, a tokened one within its
// window, which starts with the arrival of the try that ran. The caller holds c.mu.
func (c *Checker) verifyRun(server string, requests *requestLog, sent *sentTry) {
	method := c.settings.Methods[sent.method]
	if method.Kind == rpc.Idempotent {
		return
	}
	if !sent.lastRunAt.IsZero() {
		c.counts["double.runs"]++
		c.addViolation(2, "%s (%s) run a second time, at %s", sent, method.Kind, server)
		return
	}
	if method.Kind != rpc.Tokened {
		return
	}
	for _, other := range requests.siblings(sent) {
		if until := other.arrivedAt.Add(method.Window); !other.lastRunAt.IsZero() && sent.sentAt.Add(c.slack).Before(until) {
			c.counts["double.runs"]++
			c.addViolation(2, "%s run at %s, where %s of the same token was run, %v before the end of its window", sent, server,
				other, until.Sub(sent.sentAt))
			return
		}
	}
}

// recordResult records the result of a run.
func (c *Checker) recordResult(request runRequest, result []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if request.sent != nil {
		request.sent.results = append(request.sent.results, result)
	}
}

// recordRunEnd records the end of a run.
func (c *Checker) recordRunEnd(request runRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if request.sent != nil {
		request.sent.running = false
	}
}

// bookedKB returns the memory that all requests of an app server book now, in KB. A running request counts runFactor times its
// memory.
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

// connectionOpened counts a connection as open until ConnectionEnded is called.
func (c *Checker) connectionOpened(conn *proxiedConnection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.countingLog = c.server(conn.FaultProxy.serverName).requests
	conn.countingLog.connections++
}
