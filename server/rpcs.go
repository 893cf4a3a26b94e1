package server

import (
	"math"

	"go.uber.org/zap"

	"valveglade/internal/thrift"
)

// Execute processes one RPC.
func (c *conn) Execute(seq int32, op, uid []byte, src int, recv, ttl, heap float64, retry bool, dedupe, body []byte) {
	if c.rejectDuplicate(seq) {
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
	if c.config.Load().Rules.MayCallDownstream(method) {
		c.pushBack(seq, true) // no app server of this build can make calls, so no attempt of it has run either
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
	if pending.id, ok = c.gate.Arrive(now, method, src, recv, c.clientDeadline(method, now, recv, ttl), heap,
		retry, pending.uid, token, body, pending); !ok {
		c.mu.Lock()
		delete(c.openCalls, seq)
		c.mu.Unlock()
		c.requestBytes.Add(-pending.size())
		c.unreadable(seq, "call or dedupe of another RPC")
	}
}

// shed rejects an RPC under pressure, without the gate, and reports whether it did. A retry of an RPC that
// has begun is not rejected but goes to the gate.
func (c *conn) shed(seq int32, method int, token []byte, recv float64, size int) bool {
	effects := c.monitor.effects.Load()
	if size <= effects.MaxFrameBytes && c.monitor.admits(method) ||
		c.tokened(method) && len(token) > 0 && c.gate.IsRepeat(method, string(token), recv) {
		return false
	}
	c.monitor.rejected.Add(1)
	c.send(func(out []byte, load float64) []byte {
		return thrift.PushedBack(out, seq, false, effects.RetryAfter, load)
	})
	return true
}

// rejectForMemory rejects an RPC that does not fit into memory: pushed back as never run, or aborted if
// another attempt of it may have run.
func (c *conn) rejectForMemory(seq int32, method int, token string, recv float64) {
	c.limitedLog.Warn("no memory for an RPC", zap.Stringer("router", c.RemoteAddr()))
	if token != "" && c.gate.IsRepeat(method, token, recv) {
		c.send(func(out []byte, load float64) []byte { return thrift.Aborted(out, seq, load) })
		return
	}
	c.pushBack(seq, false)
}

// pushBack rejects an RPC that never ran, with the longest retry-after delay that callers observe. noRetry asks
// callers to try no other app server.
func (c *conn) pushBack(seq int32, noRetry bool) {
	after := c.config.Load().Rules.MaxRetryAfter()
	c.send(func(out []byte, load float64) []byte { return thrift.PushedBack(out, seq, noRetry, after, load) })
}

// logUnserved logs each method whose RPCs are all rejected because it may call the layer below.
func (s *Server) logUnserved() {
	c := s.config.Load()
	for method, name := range c.Methods {
		if c.Rules.MayCallDownstream(method) {
			s.log.Warn("method not served, as it may call the layer below", zap.String("method", name),
				zap.String("below", c.Rules.Machine.Downstream))
		}
	}
}

// maxReadDelay, in seconds, caps the read delay counted for one RPC: recv comes from the client, and a single
// client must not be able to put the process under pressure.
const maxReadDelay = 5.0

// defaultClientWait, in seconds, is how long a client is assumed to wait if neither its router nor the
// settings specify it.
const defaultClientWait = 3600.0

// clientDeadline returns when an RPC's client gives up, or 0 if its router does not specify it: the gate then
// uses the method's deadline. No client is assumed to wait longer than that deadline.
func (c *conn) clientDeadline(method int, now, recv, ttl float64) float64 {
	wait := c.longestWait(method, ttl)
	switch ttlKnown := !math.IsInf(ttl, 1); {
	case !ttlKnown && math.IsInf(wait, 1):
		wait = defaultClientWait
	case !ttlKnown:
		return 0
	}
	const minDeadline = 1 // keeps a specified deadline in the distant past apart from 0
	return max(min(recv, now)+wait, minDeadline)
}

// duplicateSeqError reports a sequence number that two RPCs of one connection used.
type duplicateSeqError struct{ seq int32 }

func (e *duplicateSeqError) Error() string { return "sequence number used before" }

// rejectDuplicate records a sequence number. If the number does not rise it ends the connection and returns true:
// a reply to one of two RPCs with the same number would answer both.
func (c *conn) rejectDuplicate(seq int32) bool {
	if seq > c.lastSeq {
		c.lastSeq = seq
		return false
	}
	c.protocolError = &duplicateSeqError{seq}
	return true
}

// Unreadable aborts an RPC that cannot be run.
func (c *conn) Unreadable(seq int32, field string) {
	if !c.rejectDuplicate(seq) {
		c.unreadable(seq, field)
	}
}

// unreadable aborts an RPC that cannot be run and logs its invalid field.
func (c *conn) unreadable(seq int32, field string) {
	c.limitedLog.Warn("RPC unreadable", zap.Stringer("router", c.RemoteAddr()), zap.String("field", field))
	c.send(func(out []byte, load float64) []byte { return thrift.Aborted(out, seq, load) })
	c.unusableRPCs.Add(1)
}

// recordKernelVerdict counts RPCs of this connection that the kernel does not know because no client has sent
// them. One that it knows shows a working router and resets the count, so that its connection may live
// indefinitely.
func (c *conn) recordKernelVerdict(known bool) {
	if known {
		c.unusableRPCs.Store(0)
	} else {
		c.unusableRPCs.Add(1)
	}
}

// Interrupt drops an RPC that nobody waits for any more.
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

// Unknown answers a call of an unknown method.
func (c *conn) Unknown(seq int32, method string) {
	c.send(func(out []byte, _ float64) []byte { return thrift.Unknown(out, seq, method) })
}
