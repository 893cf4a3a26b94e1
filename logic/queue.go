package logic

import "valveglade/rpc"

// What is queued, what is refused of it, and what is given up.

// shed refuses one RPC while the delay passes the threshold, and as many as it takes while memory runs short.
// Which one goes by criticality over the share of its method that has lately been ok, so that no method
// starves; among equals it is the one that has just come.
//
// What waits for a limit common to several app servers is a queue of its own, with the same threshold: it
// says nothing of the cores, and is no reason to refuse what does not need that limit.
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

// swamped tells whether so many are turned away that another app server would most likely do the same. Then
// callers are asked not to go on through their lists: reading what comes straight back takes the cores. Three
// in ten: one in ten costs slow days, five in ten overload days. Where further tries are marked, as many of
// them must come too, as one that is weak alone should let callers go on; elsewhere it could harm that one.
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

// goodUntil is when an answer stops being worth its full criticality.
func (m *Module) goodUntil(w *work) float64 {
	return min(max(w.asked+m.Methods[w.method].Target, w.wanted), w.due)
}

// hopeless tells whether a queued RPC would come too late even if it were started now. While half the cores
// are free of RPCs it is tried all the same, so that run times stay fresh and recovery is seen.
func (m *Module) hopeless(w *work) bool {
	until := m.goodUntil(w)
	if r := &m.records[w.method]; r.givenUp >= 4 {
		until = min(until, w.arrival+r.patience)
	}
	return m.now > until || (w.short > 0 || m.count[running]+m.count[orphaned] >= (m.Machine.Cores+1)/2) &&
		m.now+runMargin*m.records[w.method].late.median() > until
}

// runMargin: about two runs in three end within one and a half times the median. The median alone, or twice
// it, serves overload days worse on two deployments of three.
const runMargin = 1.5

// giveUp answers an RPC that can no longer be of use, at once, and takes its work off the cores if it can.
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

// refuse pushes back a queued RPC, which has not been started.
func (m *Module) refuse(i int, last bool) {
	m.refused++
	if !last {
		m.walked += (m.now - m.rpcs[i].asked - m.walked) / 16
	}
	m.forget(i)
	m.do.PushBack(i, last, m.advice(m.rpcs[i].short))
	m.move(i, absent)
}

// unwind lets go of an RPC that nobody awaits any more.
func (m *Module) unwind(i int) {
	w := &m.rpcs[i]
	switch w.state {
	case queued, following:
		m.forget(i)
		m.move(i, absent)
	case running:
		// It took at least so long: else only the quick would be measured, and a slow spell not be seen.
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

// advice is when to come back: when the delay should be back at its target.
func (m *Module) advice(short int) float64 {
	switch {
	case !m.Ceilings.RetryAfter:
		return 0
	case m.leaving:
		return m.Ceilings.MaxRetryAfter
	}
	return min(max(m.oldest(short)-m.dt, 0), m.Ceilings.MaxRetryAfter)
}

// sweep answers what has run out of time. Work that has lost its worth is taken off the cores where it can be
// and other work waits for them.
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
