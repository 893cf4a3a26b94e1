package logic

import (
	"slices"

	"valveglade/rpc"
)

// Tokens, and the memory of tokens and RPCs.

// takeOver replaces a queued RPC by a retry of it: the caller has most likely given up on the first.
func (m *Module) takeOver(i, earlier int) {
	e, w := &m.rpcs[earlier], &m.rpcs[i]
	m.dropKey(e) // its entry passes to the retry
	m.remember(i)
	m.do.PushBack(earlier, true, m.advice(0))
	arrival, asked := e.arrival, e.asked
	m.move(earlier, absent)
	w.arrival, w.asked = min(w.arrival, arrival), min(w.asked, asked)
}

// remember keeps the token of a queued RPC until its window has passed, so that two queued tries are
// recognised as one.
func (m *Module) remember(i int) {
	w := &m.rpcs[i]
	method := &m.Methods[w.method]
	if w.reads && m.keyKB()+m.Machine.EntryKB < 0.75*m.room() { // the rest is for work
		// Until it should have been answered, and while its answer is fresh after that.
		w.key = m.now + min(method.Target, w.due-m.now, 60) + m.Machine.Fresh
		m.keys = append(m.keys, w.key)
		m.do.Remember(i, w.key-m.now)
	} else if method.Kind == rpc.Tokened {
		w.key = m.now + method.Window + tick // the window counts from its arrival, which was before
		m.keys = append(m.keys, w.key)
		m.do.Remember(i, w.key-m.now)
	}
}

func (m *Module) dropKey(w *work) {
	if k := slices.Index(m.keys, w.key); k >= 0 {
		m.keys = slices.Delete(m.keys, k, k+1)
	}
	w.key = 0
}

// forget drops the token of an RPC that will never run.
func (m *Module) forget(i int) {
	if w := &m.rpcs[i]; w.key > 0 {
		m.do.Forget(i)
		m.dropKey(w)
	}
}

// memory is what queued and started RPCs and remembered tokens need. room leaves a twentieth for rounding of
// the settings.
func (m *Module) memory() float64 { return m.kb + m.keyKB() }
func (m *Module) keyKB() float64  { return float64(len(m.keys)) * m.Machine.EntryKB }
func (m *Module) room() float64   { return 0.95 * m.Machine.MemoryKB }
