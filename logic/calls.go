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
		w.callTries, w.callStarted = 0, m.now
		m.move(i, paused)
	case orphaned:
		m.move(i, closing)
	}
	m.startCalls()
	m.startQueued()
}

// startCalls starts calls, longest waiting first, within this app server's share of what the dependency survives,
// abandoned calls included. Its fraction holds as a mean over every span: one call more at times,
// with a timeout that the span can bear should it not be answered.
func (m *Module) startCalls() {
	m.lingerEnds = slices.DeleteFunc(m.lingerEnds, func(end float64) bool { return end <= m.now })
	whole, part := math.Modf(m.Machine.CallsOut)
	// An RPC that cannot have its call in time goes without, and so does one that delays others by waiting,
	// while the layer below is slow or for a share of it.
	crowded := m.queueDelay() > m.targetDelay && (m.dependencySlow() && m.offCores() >= m.maxOffCores() || part > 0 && len(m.callQueue) > 1)
	for _, i := range slices.Clone(m.callQueue) {
		w := &m.rpcs[i]
		if m.valueWithoutCall(w) > 0 && (crowded || m.fullValueUntil(w)-m.now < runMargin*m.callTimes.median()) {
			m.skipCall(i)
		}
	}
	for len(m.callQueue) > 0 {
		out := float64(m.count[calling] + len(m.lingerEnds) + 1)
		extra := out > whole
		room := part*m.Machine.CallsSpan - m.extraCallTime() - m.Machine.Linger
		short := out > whole+1 || m.now < m.nextExtraCall || room < max(runMargin*m.callTimes.median(), deadlineMargin)
		if out > m.callLimit || extra && short {
			return
		}
		i := m.callQueue[0]
		w := &m.rpcs[i]
		left := m.fullValueUntil(w) - m.now
		if left <= 0 {
			m.giveUp(i)
			continue
		}
		if w.extraCall = extra; extra {
			left = min(left, room)
			m.extraCalls = append(m.extraCalls, [2]float64{m.now, m.now + left + m.Machine.Linger})
		}
		w.callTries++
		w.callStarted = m.now
		m.actions.Call(i, left)
		m.move(i, calling)
	}
}

// offCores is the number of RPCs at a call or waiting for one; waits bounds it: one a core while the layer below
// is slow, so that a silent one leaves the other methods memory and cores; three otherwise, as calls may take
// as long as the rest of the work.
func (m *Module) offCores() int { return m.count[paused] + m.count[calling] + m.count[closing] }
func (m *Module) maxOffCores() int {
	if m.dependencySlow() || len(m.callQueue) > 0 {
		return m.Machine.Cores
	}
	return 3 * m.Machine.Cores
}

// dependencySlow reports whether calls take three times the best median, by those that have ended or one in flight; it
// is true until some have ended.
func (m *Module) dependencySlow() bool {
	long := m.now - 3*m.bestCallMedian
	return math.IsInf(m.bestCallMedian, 1) || m.callTimes.median() > 3*m.bestCallMedian ||
		slices.ContainsFunc(m.rpcs, func(w request) bool { return w.state == calling && w.callStarted < long })
}

// valueWithoutCall is the share of its value that a method's answer keeps without a call.
func (m *Module) valueWithoutCall(w *request) float64 {
	if w.method < len(m.Machine.SkipWorth) {
		return m.Machine.SkipWorth[w.method]
	}
	return 0
}

// skipCall continues an RPC without its call where its answer still has a value, or gives it up.
func (m *Module) skipCall(i int) {
	w := &m.rpcs[i]
	if m.valueWithoutCall(w) == 0 || m.now > w.deadline || m.now > m.fullValueUntil(w) && m.Methods[w.method].LateShare == 0 {
		m.giveUp(i)
		return
	}
	m.actions.Skip(i)
	m.move(i, running)
}

// extraCallTime is the time in the last span with a call past the whole share open, +Inf while one is. Gaps that
// hold a mean leave more to spans that begin with a call; with a slow dependency the whole fleet does that.
func (m *Module) extraCallTime() (sum float64) {
	begin := m.now - m.Machine.CallsSpan
	m.extraCalls = slices.DeleteFunc(m.extraCalls, func(e [2]float64) bool { return e[1] <= begin })
	for _, e := range m.extraCalls {
		if e[1] > m.now {
			return math.Inf(1)
		}
		sum += e[1] - max(e[0], begin)
	}
	return sum
}

// recordCall adapts to the layer below: calls that take three times the best median, or are abandoned, cut the
// calls at a time, others let them grow. The share is what it survives, not where it works well: overloaded,
// it slows down and all callers wait. A twentieth and a tenth give about three calls at a time while one in
// twenty is that long; harder cuts starved the methods that call.
func (m *Module) recordCall(w *request, how rpc.Outcome) {
	took, abandoned := m.now-w.callStarted, how == rpc.TimedOut
	if abandoned { // it stays open at the dependency for a while
		took += m.Machine.Linger
		m.lingerEnds = append(m.lingerEnds, m.now+m.Machine.Linger)
	} else if how == rpc.OK { // a call that fails at once does not show the dependency's speed
		m.callTimes.add(took)
	}
	if median := m.callTimes.median(); median > 0 {
		m.bestCallMedian = min(m.bestCallMedian, median)
	}
	if abandoned || took > 3*m.bestCallMedian {
		m.callLimit = max(0.95*m.callLimit, 1)
	} else {
		most := m.cores()
		if math.IsInf(m.Machine.CallsOut, 1) { // a tier, which decides for itself
			most *= 3
		}
		m.callLimit = min(m.callLimit+0.1, most)
	}
	if w.extraCall {
		w.extraCall = false
		m.extraCalls = append(m.extraCalls[:max(len(m.extraCalls)-1, 0)], [2]float64{w.callStarted, w.callStarted + took})
		_, part := math.Modf(m.Machine.CallsOut)
		m.nextExtraCall = m.now + took*(1/part-1) // evenly, else the first of a span leave nothing for the last
	}
}

// Called records how a call ended. Quick retries do not outlast most faults, so three tries are the most;
// a call that may have taken effect is retried only for an idempotent RPC.
func (m *Module) Called(now float64, i int, how rpc.Outcome) {
	m.now = now
	if w := &m.rpcs[i]; w.state == calling {
		m.move(i, paused)
		m.recordCall(w, how)
		again := how.NeverRan() || m.Methods[w.method].Kind == rpc.Idempotent
		if how == rpc.OK {
			m.move(i, running)
		} else if !again || w.callTries >= 3 {
			m.skipCall(i)
		}
	}
	m.startCalls()
	m.startQueued()
}
