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
	switch req := &m.rpcs[i]; req.state {
	case running:
		req.callTries, req.callStarted = 0, m.now
		m.move(i, paused)
	case orphaned:
		m.move(i, closing)
	}
	m.startCalls()
	m.startQueued()
}

// startCalls starts calls, longest waiting first, within this app server's share of the calls that the
// dependency withstands; abandoned calls that are still open there count too. The fraction of the share
// beyond a whole number holds as a mean over every interval of rpc.Machine.DownstreamCallWindow: now and
// then one extra call is started, with a timeout that keeps the mean even if the call is never answered.
func (m *Module) startCalls() {
	m.lingerEnds = slices.DeleteFunc(m.lingerEnds, func(end float64) bool { return end <= m.now })
	wholeCalls, fraction := math.Modf(m.Machine.MaxDownstreamCalls)
	// An RPC whose call cannot finish in time skips the call. So does one that delays others by waiting, while
	// the layer below is slow or its share has a fractional part.
	congested := m.queueDelay() > m.targetDelay &&
		(m.dependencySlow() && m.offCores() >= m.maxOffCores() || fraction > 0 && len(m.callQueue) > 1)
	for _, i := range slices.Clone(m.callQueue) {
		req := &m.rpcs[i]
		if m.valueWithoutCall(req) > 0 &&
			(congested || m.fullValueUntil(req)-m.now < runMargin*m.callTimes.median()) {
			m.skipCall(i)
		}
	}
	for len(m.callQueue) > 0 {
		calls := float64(m.count[calling] + len(m.lingerEnds) + 1)
		isExtra := calls > wholeCalls
		extraTime := fraction*m.Machine.DownstreamCallWindow - m.extraCallTime() - m.Machine.Linger
		mustWait := calls > wholeCalls+1 || m.now < m.nextExtraCall ||
			extraTime < max(runMargin*m.callTimes.median(), deadlineMargin)
		if calls > m.callLimit || isExtra && mustWait {
			return
		}
		i := m.callQueue[0]
		req := &m.rpcs[i]
		timeout := m.fullValueUntil(req) - m.now
		if timeout <= 0 {
			m.giveUp(i)
			continue
		}
		if req.extraCall = isExtra; isExtra {
			timeout = min(timeout, extraTime)
			m.extraCalls = append(m.extraCalls, [2]float64{m.now, m.now + timeout + m.Machine.Linger})
		}
		req.callTries++
		req.callStarted = m.now
		m.actions.Call(i, timeout)
		m.move(i, calling)
	}
}

// offCores is the number of RPCs that are at a call or wait for one. maxOffCores bounds it: one per core
// while the layer below is slow, so that an unresponsive one leaves memory and cores to the other methods;
// otherwise three per core, as calls may take as long as the rest of the work.
func (m *Module) offCores() int { return m.count[paused] + m.count[calling] + m.count[closing] }
func (m *Module) maxOffCores() int {
	if m.dependencySlow() || len(m.callQueue) > 0 {
		return m.Machine.Cores
	}
	return 3 * m.Machine.Cores
}

// dependencySlow reports whether calls take three times the best median, judged by ended calls and by those
// in flight. It is true until some calls have ended.
func (m *Module) dependencySlow() bool {
	slowBefore := m.now - 3*m.bestCallMedian
	return math.IsInf(m.bestCallMedian, 1) || m.callTimes.median() > 3*m.bestCallMedian ||
		slices.ContainsFunc(m.rpcs, func(req request) bool {
			return req.state == calling && req.callStarted < slowBefore
		})
}

// valueWithoutCall is the share of its value that an RPC's answer keeps without its call.
func (m *Module) valueWithoutCall(req *request) float64 {
	if req.method < len(m.Machine.SkipWorth) {
		return m.Machine.SkipWorth[req.method]
	}
	return 0
}

// skipCall continues an RPC without its call if its answer still has a value, and gives it up otherwise.
func (m *Module) skipCall(i int) {
	req := &m.rpcs[i]
	if m.valueWithoutCall(req) == 0 || m.now > req.deadline ||
		m.now > m.fullValueUntil(req) && m.Methods[req.method].LateShare == 0 {
		m.giveUp(i)
		return
	}
	m.actions.Skip(i)
	m.move(i, running)
}

// extraCallTime is the time in the last rpc.Machine.DownstreamCallWindow during which a call beyond the
// whole part of the share was open, +Inf while one is. Spacing calls by the mean alone would let an interval
// that begins with a call exceed the share, and with a slow dependency the whole fleet would do so at once.
func (m *Module) extraCallTime() (sum float64) {
	windowStart := m.now - m.Machine.DownstreamCallWindow
	m.extraCalls = slices.DeleteFunc(m.extraCalls, func(call [2]float64) bool { return call[1] <= windowStart })
	for _, call := range m.extraCalls {
		if call[1] > m.now {
			return math.Inf(1)
		}
		sum += call[1] - max(call[0], windowStart)
	}
	return sum
}

// recordCall records the end of a call and adapts the number of calls at a time to the layer below: calls
// that take three times the best median, or are abandoned, lower the limit, others raise it. The share
// alone is not a good limit: the dependency withstands that many calls, but it slows down under them and all
// callers wait. Lowering the limit by a twentieth and raising it by a tenth of a call gives about three calls
// at a time while one call in twenty is that slow; larger cuts starved the methods that call.
func (m *Module) recordCall(req *request, outcome rpc.Outcome) {
	took, abandoned := m.now-req.callStarted, outcome == rpc.TimedOut
	if abandoned { // it stays open at the dependency for the linger time
		took += m.Machine.Linger
		m.lingerEnds = append(m.lingerEnds, m.now+m.Machine.Linger)
	} else if outcome == rpc.OK { // a call that fails at once says nothing about the dependency's speed
		m.callTimes.add(took)
	}
	if median := m.callTimes.median(); median > 0 {
		m.bestCallMedian = min(m.bestCallMedian, median)
	}
	if abandoned || took > 3*m.bestCallMedian {
		m.callLimit = max(0.95*m.callLimit, 1)
	} else {
		maxCalls := m.cores()
		if math.IsInf(m.Machine.MaxDownstreamCalls, 1) { // a tier of app servers does its own admission control
			maxCalls *= 3
		}
		m.callLimit = min(m.callLimit+0.1, maxCalls)
	}
	if req.extraCall {
		req.extraCall = false
		m.extraCalls = append(m.extraCalls[:max(len(m.extraCalls)-1, 0)],
			[2]float64{req.callStarted, req.callStarted + took})
		_, fraction := math.Modf(m.Machine.MaxDownstreamCalls)
		// Extra calls are spaced evenly, else the first ones in an interval leave nothing for the last.
		m.nextExtraCall = m.now + took*(1/fraction-1)
	}
}

// Called records how a call ended. Most faults outlast quick retries, so an RPC's call has at most three
// tries. A call that may have taken effect is retried only for an idempotent RPC.
func (m *Module) Called(now float64, i int, outcome rpc.Outcome) {
	m.now = now
	if req := &m.rpcs[i]; req.state == calling {
		m.move(i, paused)
		m.recordCall(req, outcome)
		retryable := outcome.NeverRan() || m.Methods[req.method].Kind == rpc.Idempotent
		if outcome == rpc.OK {
			m.move(i, running)
		} else if !retryable || req.callTries >= 3 {
			m.skipCall(i)
		}
	}
	m.startCalls()
	m.startQueued()
}
