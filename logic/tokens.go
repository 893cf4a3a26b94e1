package logic

import (
	"slices"

	"valveglade/rpc"
)

// Idempotency tokens, and the memory taken by tokens and RPCs.

// replaceQueued replaces a queued RPC by a retry of it, as the caller has most likely given up on the
// first.
func (m *Module) replaceQueued(i, oldIndex int) {
	old, req := &m.rpcs[oldIndex], &m.rpcs[i]
	m.dropToken(old) // the retry takes over its entry
	m.rememberToken(i)
	m.actions.PushBack(oldIndex, true, m.retryAfter(0))
	arrival, firstAttempt := old.arrival, old.firstAttempt
	m.move(oldIndex, absent)
	req.arrival, req.firstAttempt = min(req.arrival, arrival), min(req.firstAttempt, firstAttempt)
}

// rememberToken keeps the token of a queued RPC until its window has passed, so that a retry of it is
// recognised.
func (m *Module) rememberToken(i int) {
	req := &m.rpcs[i]
	method := &m.Methods[req.method]
	if req.shareable && m.tokenKB()+m.Machine.EntryKB < 0.75*m.memoryLimit() { // the rest is for RPCs
		// Until it should be answered, and then as long as its answer is fresh.
		req.tokenExpiry = m.now + min(method.Target, req.deadline-m.now, 60) + m.Machine.ResultTTL
		m.tokenExpiries = append(m.tokenExpiries, req.tokenExpiry)
		m.actions.Remember(i, req.tokenExpiry-m.now)
	} else if method.Kind == rpc.Tokened {
		// The window counts from its arrival, which was earlier.
		req.tokenExpiry = m.now + method.Window + tickInterval
		m.tokenExpiries = append(m.tokenExpiries, req.tokenExpiry)
		m.actions.Remember(i, req.tokenExpiry-m.now)
	}
}

func (m *Module) dropToken(req *request) {
	if k := slices.Index(m.tokenExpiries, req.tokenExpiry); k >= 0 {
		m.tokenExpiries = slices.Delete(m.tokenExpiries, k, k+1)
	}
	req.tokenExpiry = 0
}

// forgetToken drops the token of an RPC that will never run.
func (m *Module) forgetToken(i int) {
	if req := &m.rpcs[i]; req.tokenExpiry > 0 {
		m.actions.Forget(i)
		m.dropToken(req)
	}
}

// memoryUsed is the memory taken by open RPCs and remembered tokens. memoryLimit leaves a twentieth for
// rounding in the settings.
func (m *Module) memoryUsed() float64  { return m.rpcKB + m.tokenKB() }
func (m *Module) tokenKB() float64     { return float64(len(m.tokenExpiries)) * m.Machine.EntryKB }
func (m *Module) memoryLimit() float64 { return 0.95 * m.Machine.MemoryKB }
