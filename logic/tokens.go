package logic

import (
	"slices"

	"valveglade/rpc"
)

// Tokens, and the memory of tokens and RPCs.

// takeOver replaces a queued RPC by a retry of it: the caller has most likely given up on the first.
func (m *Module) takeOver(i, earlier int) {
	e, w := &m.rpcs[earlier], &m.rpcs[i]
	m.dropToken(e) // its entry passes to the retry
	m.rememberToken(i)
	m.actions.PushBack(earlier, true, m.retryAfter(0))
	arrival, asked := e.arrival, e.firstAttempt
	m.move(earlier, absent)
	w.arrival, w.firstAttempt = min(w.arrival, arrival), min(w.firstAttempt, asked)
}

// rememberToken keeps the token of a queued RPC until its window has passed, so that two queued tries are
// recognised as one.
func (m *Module) rememberToken(i int) {
	w := &m.rpcs[i]
	method := &m.Methods[w.method]
	if w.shareable && m.tokenKB()+m.Machine.EntryKB < 0.75*m.memoryLimit() { // the rest is for work
		// Until it should have been answered, and while its answer is fresh after that.
		w.tokenExpiry = m.now + min(method.Target, w.deadline-m.now, 60) + m.Machine.Fresh
		m.tokenExpiries = append(m.tokenExpiries, w.tokenExpiry)
		m.actions.Remember(i, w.tokenExpiry-m.now)
	} else if method.Kind == rpc.Tokened {
		w.tokenExpiry = m.now + method.Window + tickInterval // the window counts from its arrival, which was before
		m.tokenExpiries = append(m.tokenExpiries, w.tokenExpiry)
		m.actions.Remember(i, w.tokenExpiry-m.now)
	}
}

func (m *Module) dropToken(w *request) {
	if k := slices.Index(m.tokenExpiries, w.tokenExpiry); k >= 0 {
		m.tokenExpiries = slices.Delete(m.tokenExpiries, k, k+1)
	}
	w.tokenExpiry = 0
}

// forgetToken drops the token of an RPC that will never run.
func (m *Module) forgetToken(i int) {
	if w := &m.rpcs[i]; w.tokenExpiry > 0 {
		m.actions.Forget(i)
		m.dropToken(w)
	}
}

// memoryUsed is what queued and started RPCs and remembered tokens need. room leaves a twentieth for rounding of
// the settings.
func (m *Module) memoryUsed() float64  { return m.rpcKB + m.tokenKB() }
func (m *Module) tokenKB() float64     { return float64(len(m.tokenExpiries)) * m.Machine.EntryKB }
func (m *Module) memoryLimit() float64 { return 0.95 * m.Machine.MemoryKB }
