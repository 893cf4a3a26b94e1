package server

import (
	"math"

	"go.uber.org/zap"

	"valveglade/internal/thrift"
)

// Execute takes in one RPC.
func (c *conn) Execute(seq int32, op, uid []byte, src int, recv, ttl, heap float64, retry bool, dedupe, body []byte) {
	if c.isDuplicate(seq) {
		return
	}
	method, known := c.methods[string(op)]
	tokened := known && c.tokened(method)
	switch {
	case !known:
		c.unreadable(seq, "op")
		return
	case tokened && len(dedupe) == 0:
		c.unreadable(seq, "dedupe")
		return
	}
	if c.config.Load().Rules.MayCall(method) {
		c.pushBack(seq, true) // no app server of this build can call, so no try of it has run either
		return
	}
	now, recv := c.clock.arrival(recv, c.longestWait(method, ttl))
	if c.monitor.enabled.Load() {
		c.monitor.recordArrival(method, min(max(now-recv, 0), maxReadDelay))
		if c.shed(seq, method, dedupe, recv, len(body)) {
			return
		}
	}
	token := ""
	if tokened {
		token = string(dedupe)
	}
	pending := &call{conn: c, seq: seq, method: method, uid: string(uid), body: append([]byte(nil), body...)}
	if c.requestBytes.Add(pending.size()) > int64(c.config.Load().Memory/requestMemoryShare) {
		c.requestBytes.Add(-pending.size())
		c.rejectForMemory(seq, method, token, recv)
		return
	}
	c.mu.Lock()
	c.openCalls[seq] = pending
	c.mu.Unlock()
	var ok bool
	if pending.id, ok = c.gate.Arrive(now, method, src, recv, c.clientDeadline(method, now, recv, ttl), heap, retry, pending.uid, token, body,
		pending); !ok {
		c.mu.Lock()
		delete(c.openCalls, seq)
		c.mu.Unlock()
		c.requestBytes.Add(-pending.size())
		c.unreadable(seq, "call or dedupe of another RPC")
	}
}

// shed refuses an RPC that the process cannot bear now, at once and beside the gate, which never hears of it. What
// has begun is not refused: a repeat of it goes to the gate.
func (c *conn) shed(seq int32, method int, token []byte, recv float64, size int) bool {
	effects := c.monitor.effects.Load()
	if size <= effects.Largest && c.monitor.admits(method) || c.tokened(method) && len(token) > 0 && c.gate.Knows(method, string(token), recv) {
		return false
	}
	c.monitor.rejected.Add(1)
	c.send(func(out []byte, load float64) []byte { return thrift.PushedBack(out, seq, false, effects.After, load) })
	return true
}

// rejectForMemory answers an RPC for which there is no room: it has not run, unless it repeats one that may have.
func (c *conn) rejectForMemory(seq int32, method int, token string, recv float64) {
	c.limitedLog.Warn("no memory for an RPC", zap.Stringer("router", c.RemoteAddr()))
	if token != "" && c.gate.Knows(method, token, recv) {
		c.send(func(out []byte, load float64) []byte { return thrift.Aborted(out, seq, load) })
		return
	}
	c.pushBack(seq, false)
}

// pushBack answers an RPC that never ran, with the longest advice that callers heed; last asks that no other app server be tried.
func (c *conn) pushBack(seq int32, last bool) {
	after := c.config.Load().Rules.LongestAdvice()
	c.send(func(out []byte, load float64) []byte { return thrift.PushedBack(out, seq, last, after, load) })
}

// logUnserved names each method whose RPCs are all refused.
func (s *Server) logUnserved() {
	c := s.config.Load()
	for method, name := range c.Methods {
		if c.Rules.MayCall(method) {
			s.log.Warn("method not served, as it may call the layer below", zap.String("method", name),
				zap.String("below", c.Rules.Machine.Below))
		}
	}
}

// maxReadDelay is the longest time in seconds that one RPC counts as having lain unread: recv is its client's word, and one
// client's alone is not to put the process under pressure.
const maxReadDelay = 5.0

// defaultClientWait is how long in seconds a client counts as waiting where neither its router nor the settings tell.
const defaultClientWait = 3600.0

// clientDeadline is when an RPC's client gives up, 0 where its router does not tell: then the module goes by the method's deadline. No
// client waits longer than that, whatever the router says.
func (c *conn) clientDeadline(method int, now, recv, ttl float64) float64 {
	wait := c.longestWait(method, ttl)
	switch ttlKnown := !math.IsInf(ttl, 1); {
	case !ttlKnown && math.IsInf(wait, 1):
		wait = defaultClientWait
	case !ttlKnown:
		return 0
	}
	const minDeadline = 1 // a router that tells of a time long ago has told all the same
	return max(min(recv, now)+wait, minDeadline)
}

// duplicateSeqError is a number that two RPCs of one connection came under.
type duplicateSeqError struct{ seq int32 }

func (e *duplicateSeqError) Error() string { return "sequence number used before" }

// isDuplicate ends a connection whose RPCs' numbers do not rise: to answer one of two with the same number would be to
// answer both.
func (c *conn) isDuplicate(seq int32) bool {
	if seq > c.lastSeq {
		c.lastSeq = seq
		return false
	}
	c.protocolError = &duplicateSeqError{seq}
	return true
}

// Unreadable answers what cannot be run.
func (c *conn) Unreadable(seq int32, why string) {
	if !c.isDuplicate(seq) {
		c.unreadable(seq, why)
	}
}

func (c *conn) unreadable(seq int32, why string) {
	c.limitedLog.Warn("RPC unreadable", zap.Stringer("router", c.RemoteAddr()), zap.String("field", why))
	c.send(func(out []byte, load float64) []byte { return thrift.Aborted(out, seq, load) })
	c.unusableRPCs.Add(1)
}

// recordKernelVerdict takes note of the kernel's word on an RPC of this connection: of what a client had not sent it knows nothing. One that it
// does know shows a usual router, whose odd RPCs count afresh: its connection may live for as long as it likes.
func (c *conn) recordKernelVerdict(known bool) {
	if known {
		c.unusableRPCs.Store(0)
	} else {
		c.unusableRPCs.Add(1)
	}
}

// Interrupt tells that nobody waits for an RPC any more.
func (c *conn) Interrupt(target int32) {
	c.mu.Lock()
	pending := c.openCalls[target]
	delete(c.openCalls, target)
	c.advanceShutdown()
	c.mu.Unlock()
	if pending != nil {
		c.abandon(map[int32]*call{target: pending})
	}
}

// Check answers a health check.
func (c *conn) Check(seq int32) {
	c.send(func(out []byte, load float64) []byte { return thrift.Checked(out, seq, c.healthy(), load) })
}

// Unknown answers a call of a method that there is not.
func (c *conn) Unknown(seq int32, method string) {
	c.send(func(out []byte, _ float64) []byte { return thrift.Unknown(out, seq, method) })
}
