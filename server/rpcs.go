package server

import (
	"go.uber.org/zap"

	"valveglade/internal/thrift"
)

// Execute takes in one RPC.
func (c *conn) Execute(seq int32, op, uid []byte, src int, recv, ttl, heap float64, again bool, dedupe, body []byte) {
	if c.out(seq) {
		return
	}
	now := clock()
	method, known := c.methods[string(op)]
	tokened := known && c.tokened(method)
	switch {
	case !known:
		c.unreadable(seq, "op")
		return
	case tokened && len(dedupe) == 0:
		c.unreadable(seq, "dedupe")
		return
	case recv < now-offClock || recv > now+offClock:
		c.unreadable(seq, "recv")
		return
	case ttl > offClock:
		c.unreadable(seq, "ttl")
		return
	}
	if c.config.Load().Rules.MayCall(method) {
		c.refuseUnserved(seq)
		return
	}
	if c.press.on.Load() {
		c.press.came(method, now-recv)
		if c.turnsAway(seq, method, dedupe, recv, len(body)) {
			return
		}
	}
	k := &call{conn: c, seq: seq, method: method, uid: string(uid), body: append([]byte(nil), body...)}
	if c.held.Add(k.size()) > int64(c.config.Load().Memory/heldShare) {
		c.held.Add(-k.size())
		c.unreadable(seq, "no memory for it")
		return
	}
	token := ""
	if tokened {
		token = string(dedupe)
	}
	c.mu.Lock()
	c.open[seq] = k
	c.mu.Unlock()
	var ok bool
	if k.id, ok = c.gate.Arrive(now, method, src, recv, max(min(recv, now)+ttl, 1), heap, again, k.uid, token, body,
		k); !ok {
		c.mu.Lock()
		delete(c.open, seq)
		c.mu.Unlock()
		c.held.Add(-k.size())
		c.unreadable(seq, "call or dedupe of another RPC")
	}
}

// turnsAway refuses an RPC that the process cannot bear now, at once and beside the gate, which never hears of it. What
// has begun is not refused: a repeat of it goes to the gate.
func (c *conn) turnsAway(seq int32, method int, token []byte, recv float64, size int) bool {
	e := c.press.effects.Load()
	if size <= e.Largest && c.press.lets(method) || len(token) > 0 && c.gate.Knows(method, string(token), recv) {
		return false
	}
	c.press.refused.Add(1)
	c.say(func(out []byte, load float64) []byte { return thrift.PushedBack(out, seq, false, e.After, load) })
	return true
}

// refuseUnserved answers an RPC of a method that may call the layer below, which no app server of this build can. Such a
// method never runs, so no try of the RPC has been run either.
func (c *conn) refuseUnserved(seq int32) {
	after := c.config.Load().Rules.LongestAdvice()
	c.say(func(out []byte, load float64) []byte { return thrift.PushedBack(out, seq, true, after, load) })
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

// offClock: an arrival or a deadline further off than an hour is a mistake, and so is no use to the module.
const offClock = 3600.0

// usedTwice is a number that two RPCs of one connection came under.
type usedTwice struct{ seq int32 }

func (e *usedTwice) Error() string { return "sequence number used before" }

// out ends a connection whose RPCs' numbers do not rise: to answer one of two with the same number would be to
// answer both.
func (c *conn) out(seq int32) bool {
	if seq > c.last {
		c.last = seq
		return false
	}
	c.protocolError = &usedTwice{seq}
	return true
}

// Unreadable answers what cannot be run.
func (c *conn) Unreadable(seq int32, why string) {
	if !c.out(seq) {
		c.unreadable(seq, why)
	}
}

func (c *conn) unreadable(seq int32, why string) {
	c.limited.Warn("RPC unreadable", zap.Stringer("router", c.RemoteAddr()), zap.String("field", why))
	c.say(func(out []byte, load float64) []byte { return thrift.Aborted(out, seq, load) })
	c.odd.Add(1)
}

// Interrupt tells that nobody waits for an RPC any more.
func (c *conn) Interrupt(target int32) {
	c.mu.Lock()
	k := c.open[target]
	delete(c.open, target)
	c.settle()
	c.mu.Unlock()
	if k != nil {
		c.giveUp(map[int32]*call{target: k})
	}
}

// Check answers a health check.
func (c *conn) Check(seq int32) {
	c.say(func(out []byte, load float64) []byte { return thrift.Checked(out, seq, c.healthy(), load) })
}

// Unknown answers a call of a method that there is not.
func (c *conn) Unknown(seq int32, method string) {
	c.say(func(out []byte, _ float64) []byte { return thrift.Unknown(out, seq, method) })
}
