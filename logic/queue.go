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
	if m.rpcs[i].state == queued && m.awaitsSharedLimit(i) {
		line = m.rpcs[i].sharedLimit
	}
	for over := m.oldestAge(line) > m.delayThreshold; len(m.queue) > 0 && (over || m.memoryUsed() > m.memoryLimit()); over = false {
		least := m.queue[len(m.queue)-1]
		if m.rpcs[i].state == queued {
			least = i
		}
		for _, j := range m.queue {
			if m.value(j) < m.value(least) && (!over || m.rpcs[j].sharedLimit == line) {
				least = j
			}
		}
		m.reject(least, m.fleetOverloaded())
	}
}

func (m *Module) value(i int) float64 {
	// Below one in ten all methods are starved alike.
	w := &m.rpcs[i]
	r, worth := &m.methodStats[w.method], m.tenantWorth(w.tenant)*float64(1+w.followers)*m.Methods[w.method].Criticality
	return worth / max((r.ok+1)/(r.arrivals+1), 0.1)
}

// fleetOverloaded reports whether so many are refused that another app server would most likely refuse too. Then
// callers are asked not to try the next one: reading RPCs that are refused at once takes the cores. Three in
// ten: one in ten costs slow days, five in ten overload days. Where retries are marked, as many of them must
// arrive too: if this app server alone is weak, callers should go on to others; unmarked, that could harm it.
func (m *Module) fleetOverloaded() bool {
	return m.rejections > 0.3*(m.arrivals+4) && (!m.Clients.MarksRetry || m.retries > 0.3*m.arrivals)
}

// queueDelay is d_m: the age of the oldest queued RPC that waits for the cores, reading wait included.
func (m *Module) queueDelay() float64 { return max(m.oldestAge(0), 0) }

// oldestAge is the age of the oldestAge queued RPC that waits for a limit, 0 for the cores; -1 if none does.
func (m *Module) oldestAge(short int) float64 {
	for _, i := range m.queue {
		if m.rpcs[i].sharedLimit == short {
			return m.now - m.rpcs[i].arrival
		}
	}
	return -1
}

// fullValueUntil is the time until which an answer has its full value.
func (m *Module) fullValueUntil(w *request) float64 {
	return min(max(w.firstAttempt+m.Methods[w.method].Target, w.wantedUntil), w.deadline)
}

// wouldBeLate reports whether a queued RPC would be late even if it were started now. While half the cores are
// idle it is started all the same, so that run times stay current and recovery is noticed.
func (m *Module) wouldBeLate(w *request) bool {
	until, r := m.fullValueUntil(w), &m.methodStats[w.method]
	busy := w.sharedLimit > 0 || m.count[running]+m.count[orphaned] >= (m.Machine.Cores+1)/2
	if busy && r.giveUps >= 4 {
		until = min(until, w.arrival+r.giveUpAge)
	}
	return m.now > until || busy && m.now+runMargin*r.runTimes.median() > until
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
		m.reject(i, m.fleetOverloaded() || m.now-w.firstAttempt > m.Methods[w.method].Target/2)
		return
	case w.state != following && m.Methods[w.method].Kind == rpc.Idempotent:
		m.actions.PushBack(i, true, m.retryAfter(w.sharedLimit))
	default:
		m.actions.Abort(i)
	}
	m.abandon(i)
}

// reject pushes back a queued RPC. It has not been started.
func (m *Module) reject(i int, last bool) {
	m.rejections++
	if !last {
		m.rejectionAge += (m.now - m.rpcs[i].firstAttempt - m.rejectionAge) / 16
	}
	m.forgetToken(i)
	m.actions.PushBack(i, last, m.retryAfter(m.rpcs[i].sharedLimit))
	m.move(i, absent)
}

// abandon releases an RPC that nobody waits for any more.
func (m *Module) abandon(i int) {
	w := &m.rpcs[i]
	switch w.state {
	case queued, following:
		m.forgetToken(i)
		m.move(i, absent)
	case running:
		// It took at least this long; else only quick runs would be measured, and slowness be missed.
		m.methodStats[w.method].runTimes.add(m.now - w.runStarted)
		m.move(i, orphaned)
		// A tokened RPC runs on: its repeat may ask for the outcome, and could not be run again.
		if m.Machine.Preemption.Stops() && m.Methods[w.method].Kind != rpc.Tokened && w.followers == 0 {
			m.actions.Stop(i)
		}
	case paused, calling:
		if w.state == calling {
			m.recordCall(w, rpc.TimedOut)
		}
		m.move(i, closing)
	}
}

// retryAfter is the time in seconds after which the delay should be back at its target.
func (m *Module) retryAfter(short int) float64 {
	switch {
	case !m.Ceilings.RetryAfter:
		return 0
	case m.draining:
		return m.Ceilings.MaxRetryAfter
	}
	return min(max(m.oldestAge(short)-m.targetDelay, 0), m.Ceilings.MaxRetryAfter)
}

// expire answers RPCs that are out of time. Work that has lost its value is stopped where it can be and other
// work waits for the cores.
func (m *Module) expire() {
	for i := range m.rpcs {
		w := &m.rpcs[i]
		lost := w.state.pending() && m.now > m.fullValueUntil(w) && m.Methods[w.method].LateShare == 0
		if w.state.pending() && (m.now > w.deadline || w.state == queued && m.wouldBeLate(w) ||
			lost && (w.state == paused || w.state == calling || w.state == running &&
				m.oldestAge(0) >= 0 && m.Machine.Preemption.Stops())) {
			m.giveUp(i)
		}
	}
}
