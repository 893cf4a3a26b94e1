package logic

import (
	"math"
	"slices"

	"valveglade/rpc"
)

// Calls to dependencies that several app servers share.

// NeedsCall records that a running RPC waits to make a call.
func (m *Module) NeedsCall(now float64, i int) {
	m.now = now
	switch w := &m.rpcs[i]; w.state {
	case running:
		w.tries, w.dialed = 0, m.now
		m.move(i, paused)
	case orphaned:
		m.move(i, closing)
	}
	m.place()
	m.pump()
}

// place starts calls, longest waiting first, within this app server's share of what the dependency survives,
// abandoned calls included. Its fraction holds as a mean over every span: one call more at times,
// with a timeout that the span can bear should it not be answered.
func (m *Module) place() {
	m.lingers = slices.DeleteFunc(m.lingers, func(end float64) bool { return end <= m.now })
	whole, part := math.Modf(m.Machine.CallsOut)
	// An RPC that cannot have its call in time goes without, and so does one that delays others by waiting,
	// while the layer below is slow or for a share of it.
	crowded := m.delay() > m.dt && (m.slow() && m.off() >= m.waits() || part > 0 && len(m.waiting) > 1)
	for _, i := range slices.Clone(m.waiting) {
		w := &m.rpcs[i]
		if m.skips(w) > 0 && (crowded || m.goodUntil(w)-m.now < runMargin*m.callTook.median()) {
			m.goWithout(i)
		}
	}
	for len(m.waiting) > 0 {
		out := float64(m.count[calling] + len(m.lingers) + 1)
		extra := out > whole
		room := part*m.Machine.CallsSpan - m.beyond() - m.Machine.Linger
		short := out > whole+1 || m.now < m.nextCall || room < max(runMargin*m.callTook.median(), margin)
		if out > m.callLimit || extra && short {
			return
		}
		i := m.waiting[0]
		w := &m.rpcs[i]
		left := m.goodUntil(w) - m.now
		if left <= 0 {
			m.giveUp(i)
			continue
		}
		if w.extra = extra; extra {
			left = min(left, room)
			m.extras = append(m.extras, [2]float64{m.now, m.now + left + m.Machine.Linger})
		}
		w.tries++
		w.dialed = m.now
		m.do.Call(i, left)
		m.move(i, calling)
	}
}

// off is the number of RPCs at a call or waiting for one; waits bounds it: one a core while the layer below
// is slow, so that a silent one leaves the other methods memory and cores; three otherwise, as calls may take
// as long as the rest of the work.
func (m *Module) off() int { return m.count[paused] + m.count[calling] + m.count[closing] }
func (m *Module) waits() int {
	if m.slow() || len(m.waiting) > 0 {
		return m.Machine.Cores
	}
	return 3 * m.Machine.Cores
}

// slow reports whether calls take three times the best median, by those that have ended or one in flight; it
// is true until some have ended.
func (m *Module) slow() bool {
	long := m.now - 3*m.callBest
	return math.IsInf(m.callBest, 1) || m.callTook.median() > 3*m.callBest ||
		slices.ContainsFunc(m.rpcs, func(w work) bool { return w.state == calling && w.dialed < long })
}

// skips is the share of its value that a method's answer keeps without a call.
func (m *Module) skips(w *work) float64 {
	if w.method < len(m.Machine.SkipWorth) {
		return m.Machine.SkipWorth[w.method]
	}
	return 0
}

// goWithout continues an RPC without its call where its answer still has a value, or gives it up.
func (m *Module) goWithout(i int) {
	w := &m.rpcs[i]
	if m.skips(w) == 0 || m.now > w.due || m.now > m.goodUntil(w) && m.Methods[w.method].LateShare == 0 {
		m.giveUp(i)
		return
	}
	m.do.Skip(i)
	m.move(i, running)
}

// beyond is the time in the last span with a call past the whole share open, +Inf while one is. Gaps that
// hold a mean leave more to spans that begin with a call; with a slow dependency the whole fleet does that.
func (m *Module) beyond() (sum float64) {
	begin := m.now - m.Machine.CallsSpan
	m.extras = slices.DeleteFunc(m.extras, func(e [2]float64) bool { return e[1] <= begin })
	for _, e := range m.extras {
		if e[1] > m.now {
			return math.Inf(1)
		}
		sum += e[1] - max(e[0], begin)
	}
	return sum
}

// called adapts to the layer below: calls that take three times the best median, or are abandoned, cut the
// calls at a time, others let them grow. The share is what it survives, not where it works well: overloaded,
// it slows down and all callers wait. A twentieth and a tenth give about three calls at a time while one in
// twenty is that long; harder cuts starved the methods that call.
func (m *Module) called(w *work, how rpc.Outcome) {
	took, abandoned := m.now-w.dialed, how == rpc.TimedOut
	if abandoned { // it stays open at the dependency for a while
		took += m.Machine.Linger
		m.lingers = append(m.lingers, m.now+m.Machine.Linger)
	} else if how == rpc.OK { // a call that fails at once does not show the dependency's speed
		m.callTook.add(took)
	}
	if median := m.callTook.median(); median > 0 {
		m.callBest = min(m.callBest, median)
	}
	if abandoned || took > 3*m.callBest {
		m.callLimit = max(0.95*m.callLimit, 1)
	} else {
		most := m.cores()
		if math.IsInf(m.Machine.CallsOut, 1) { // a tier, which decides for itself
			most *= 3
		}
		m.callLimit = min(m.callLimit+0.1, most)
	}
	if w.extra {
		w.extra = false
		m.extras = append(m.extras[:max(len(m.extras)-1, 0)], [2]float64{w.dialed, w.dialed + took})
		_, part := math.Modf(m.Machine.CallsOut)
		m.nextCall = m.now + took*(1/part-1) // evenly, else the first of a span leave nothing for the last
	}
}

// Called records how a call ended. Quick retries do not outlast most faults, so three tries are the most;
// a call that may have taken effect is retried only for an idempotent RPC.
func (m *Module) Called(now float64, i int, how rpc.Outcome) {
	m.now = now
	if w := &m.rpcs[i]; w.state == calling {
		m.move(i, paused)
		m.called(w, how)
		again := how.NeverRan() || m.Methods[w.method].Kind == rpc.Idempotent
		if how == rpc.OK {
			m.move(i, running)
		} else if !again || w.tries >= 3 {
			m.goWithout(i)
		}
	}
	m.place()
	m.pump()
}
