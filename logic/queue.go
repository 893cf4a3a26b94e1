package logic

import "valveglade/rpc"

// Refusal of queued RPCs, and the end of RPCs that would be late.

// shed refuses one RPC while the delay passes the threshold, and as many as it takes while memory runs short.
// The choice is by criticality over the share of its method that was recently ok, so that no method
// starves; among equals it is the one that arrived last.
//
// RPCs that wait for a limit common to several app servers form a queue of their own, with the same
// threshold: it tells nothing about the cores, and is no reason to refuse RPCs without that limit.
func (m *Module) shed(i int) {
	line := 0
	if m.rpcs[i].state == queued && m.lacks(i) {
		line = m.rpcs[i].short
	}
	for over := m.oldest(line) > m.threshold; len(m.queue) > 0 && (over || m.memory() > m.room()); over = false {
		least := m.queue[len(m.queue)-1]
		if m.rpcs[i].state == queued {
			least = i
		}
		for _, j := range m.queue {
			if m.value(j) < m.value(least) && (!over || m.rpcs[j].short == line) {
				least = j
			}
		}
		m.refuse(least, m.swamped())
	}
}

func (m *Module) value(i int) float64 {
	// Below one in ten all methods are starved alike.
	w := &m.rpcs[i]
	r, worth := &m.records[w.method], m.worth(w.tenant)*float64(1+w.leads)*m.Methods[w.method].Criticality
	return worth / max((r.ok+1)/(r.asked+1), 0.1)
}

// swamped reports whether so many are refused that another app server would most likely refuse too. Then
// callers are asked not to try the next one: reading RPCs that are refused at once takes the cores. Three in
// ten: one in ten costs slow days, five in ten overload days. Where retries are marked, as many of them must
// arrive too: if this app server alone is weak, callers should go on to others; unmarked, that could harm it.
func (m *Module) swamped() bool {
	return m.refused > 0.3*(m.arrived+4) && (!m.Clients.MarksRetry || m.further > 0.3*m.arrived)
}

// delay is d_m: the age of the oldest queued RPC that waits for the cores, reading wait included.
func (m *Module) delay() float64 { return max(m.oldest(0), 0) }

// oldest is the age of the oldest queued RPC that waits for a limit, 0 for the cores; -1 if none does.
func (m *Module) oldest(short int) float64 {
	for _, i := range m.queue {
		if m.rpcs[i].short == short {
			return m.now - m.rpcs[i].arrival
		}
	}
	return -1
}

// goodUntil is the time until which an answer has its full value.
func (m *Module) goodUntil(w *work) float64 {
	return min(max(w.asked+m.Methods[w.method].Target, w.wanted), w.due)
}

// hopeless reports whether a queued RPC would be late even if it were started now. While half the cores are
// idle it is started all the same, so that run times stay current and recovery is noticed.
func (m *Module) hopeless(w *work) bool {
	until, r := m.goodUntil(w), &m.records[w.method]
	busy := w.short > 0 || m.count[running]+m.count[orphaned] >= (m.Machine.Cores+1)/2
	if busy && r.givenUp >= 4 {
		until = min(until, w.arrival+r.patience)
	}
	return m.now > until || busy && m.now+runMargin*r.late.median() > until
}

// runMargin: about two runs in three end within one and a half times the median. The median alone, or twice
// the median, is worse on overload days on two deployments of three.
const runMargin = 1.5

// giveUp answers an RPC that is of no more use, at once, and stops its work if it can.
func (m *Module) giveUp(i int) {
	w := &m.rpcs[i]
	switch {
	case w.state == queued:
		// Another app server may be quicker, unless most of the time is gone.
		m.refuse(i, m.swamped() || m.now-w.asked > m.Methods[w.method].Target/2)
		return
	case w.state != following && m.Methods[w.method].Kind == rpc.Idempotent:
		m.do.PushBack(i, true, m.advice(w.short))
	default:
		m.do.Abort(i)
	}
	m.unwind(i)
}

// refuse pushes back a queued RPC. It has not been started.
func (m *Module) refuse(i int, last bool) {
	m.refused++
	if !last {
		m.walked += (m.now - m.rpcs[i].asked - m.walked) / 16
	}
	m.forget(i)
	m.do.PushBack(i, last, m.advice(m.rpcs[i].short))
	m.move(i, absent)
}

// unwind releases an RPC that nobody waits for any more.
func (m *Module) unwind(i int) {
	w := &m.rpcs[i]
	switch w.state {
	case queued, following:
		m.forget(i)
		m.move(i, absent)
	case running:
		// It took at least this long; else only quick runs would be measured, and slowness be missed.
		m.records[w.method].late.add(m.now - w.began)
		m.move(i, orphaned)
		// A tokened RPC runs on: its repeat may ask for the outcome, and could not be run again.
		if m.Machine.Preemption.Stops() && m.Methods[w.method].Kind != rpc.Tokened && w.leads == 0 {
			m.do.Stop(i)
		}
	case paused, calling:
		if w.state == calling {
			m.called(w, rpc.TimedOut)
		}
		m.move(i, closing)
	}
}

// advice is the time in seconds after which the delay should be back at its target.
func (m *Module) advice(short int) float64 {
	switch {
	case !m.Ceilings.RetryAfter:
		return 0
	case m.leaving:
		return m.Ceilings.MaxRetryAfter
	}
	return min(max(m.oldest(short)-m.dt, 0), m.Ceilings.MaxRetryAfter)
}

// sweep answers RPCs that are out of time. Work that has lost its value is stopped where it can be and other
// work waits for the cores.
func (m *Module) sweep() {
	for i := range m.rpcs {
		w := &m.rpcs[i]
		lost := w.state.owed() && m.now > m.goodUntil(w) && m.Methods[w.method].LateShare == 0
		if w.state.owed() && (m.now > w.due || w.state == queued && m.hopeless(w) ||
			lost && (w.state == paused || w.state == calling || w.state == running &&
				m.oldest(0) >= 0 && m.Machine.Preemption.Stops())) {
			m.giveUp(i)
		}
	}
}
