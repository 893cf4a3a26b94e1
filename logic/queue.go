package logic

import "valveglade/rpc"

// Load shedding, and early termination of RPCs whose answers would be late.

// shed rejects one RPC while the delay exceeds the threshold, and as many as needed while memory runs
// short. It picks the RPC with the lowest criticality divided by the recent share of its method's RPCs that
// were ok in time, so that no method starves; among equals it is the last to arrive.
//
// RPCs that wait for a limit shared by several app servers form a queue of their own with the same
// threshold: their delay says nothing about the cores, and is no reason to reject RPCs without that limit.
func (m *Module) shed(i int) {
	limit := 0
	if m.rpcs[i].state == queued && m.awaitsSharedLimit(i) {
		limit = m.rpcs[i].sharedLimit
	}
	for overThreshold := m.oldestAge(limit) > m.delayThreshold; len(m.queue) > 0 &&
		(overThreshold || m.memoryUsed() > m.memoryLimit()); overThreshold = false {
		lowest := m.queue[len(m.queue)-1]
		if m.rpcs[i].state == queued {
			lowest = i
		}
		for _, j := range m.queue {
			if m.value(j) < m.value(lowest) && (!overThreshold || m.rpcs[j].sharedLimit == limit) {
				lowest = j
			}
		}
		m.reject(lowest, m.fleetOverloaded())
	}
}

// value ranks queued RPCs for shedding; the lowest is rejected first.
func (m *Module) value(i int) float64 {
	// The share is at least one in ten: below that, all methods are equally starved.
	req := &m.rpcs[i]
	stats, worth := &m.methodStats[req.method],
		m.tenantWorth(req.tenant)*float64(1+req.followers)*m.Methods[req.method].Criticality
	return worth / max((stats.ok+1)/(stats.arrivals+1), 0.1)
}

// fleetOverloaded reports whether so many RPCs are rejected here that another app server would most likely
// reject them too. Callers are then asked not to try the next one, as reading RPCs only to reject them
// takes cores. The limit is three in ten: one in ten is worse with slow servers, five in ten under
// overload. Where callers mark retries, as large a share of the arrivals must be retries too: if this app
// server alone is weak, callers should go on to others. Without marks the two cases cannot be told apart,
// which could harm such an app server.
func (m *Module) fleetOverloaded() bool {
	return m.rejections > 0.3*(m.arrivals+4) && (!m.Clients.MarksRetry || m.retries > 0.3*m.arrivals)
}

// queueDelay is d_m: the age of the oldest queued RPC that waits for the cores, including its readDelay.
func (m *Module) queueDelay() float64 { return max(m.oldestAge(0), 0) }

// oldestAge is the age of the oldest queued RPC that waits for a shared limit, 0 standing for the cores. It
// is -1 if no RPC waits for that limit.
func (m *Module) oldestAge(limit int) float64 {
	for _, i := range m.queue {
		if m.rpcs[i].sharedLimit == limit {
			return m.now - m.rpcs[i].arrival
		}
	}
	return -1
}

// fullValueUntil is the time until which an answer has its full value.
func (m *Module) fullValueUntil(req *request) float64 {
	return min(max(req.firstAttempt+m.Methods[req.method].Target, req.wantedUntil), req.deadline)
}

// wouldBeLate reports whether the answer of a queued RPC would be late even if it were started now. While
// half the cores are idle such an RPC is started all the same, so that run times stay current and recovery
// is noticed.
func (m *Module) wouldBeLate(req *request) bool {
	until, stats := m.fullValueUntil(req), &m.methodStats[req.method]
	busy := req.sharedLimit > 0 || m.count[running]+m.count[orphaned] >= (m.Machine.Cores+1)/2
	if busy && stats.giveUps >= 4 {
		until = min(until, req.arrival+stats.giveUpAge)
	}
	return m.now > until || busy && m.now+runMargin*stats.runTimes.median() > until
}

// runMargin is the multiple of the median run time that an RPC is expected to take. About two runs in three
// end within it. 1 and 2 are worse under overload in two of three deployments.
const runMargin = 1.5

// giveUp answers an RPC whose result is no longer useful, and stops its work if possible.
func (m *Module) giveUp(i int) {
	req := &m.rpcs[i]
	switch {
	case req.state == queued:
		// Another app server may be faster, unless more than half of the target time has passed.
		m.reject(i, m.fleetOverloaded() || m.now-req.firstAttempt > m.Methods[req.method].Target/2)
		return
	case req.state != following && m.Methods[req.method].Kind == rpc.Idempotent:
		m.actions.PushBack(i, true, m.retryAfter(req.sharedLimit))
	default:
		m.actions.Abort(i)
	}
	m.abandon(i)
}

// reject pushes back a queued RPC, which has not been started. If final is set, the caller is asked not to
// try another app server.
func (m *Module) reject(i int, final bool) {
	m.rejections++
	if !final {
		m.rejectionAge += (m.now - m.rpcs[i].firstAttempt - m.rejectionAge) / 16
	}
	m.forgetToken(i)
	m.actions.PushBack(i, final, m.retryAfter(m.rpcs[i].sharedLimit))
	m.move(i, absent)
}

// abandon ends the work of an RPC whose answer nobody waits for any more.
func (m *Module) abandon(i int) {
	req := &m.rpcs[i]
	switch req.state {
	case queued, following:
		m.forgetToken(i)
		m.move(i, absent)
	case running:
		// The run takes at least this long. Leaving it out would bias the measurement to quick runs.
		m.methodStats[req.method].runTimes.add(m.now - req.runStarted)
		m.move(i, orphaned)
		// A tokened RPC runs on: a retry may ask for its outcome and could not run again.
		if m.Machine.Preemption.CanStop() && m.Methods[req.method].Kind != rpc.Tokened && req.followers == 0 {
			m.actions.Stop(i)
		}
	case paused, calling:
		if req.state == calling {
			m.recordCall(req, rpc.TimedOut)
		}
		m.move(i, closing)
	}
}

// retryAfter is the retry-after delay in seconds, after which the queueing delay should be back at its
// target.
func (m *Module) retryAfter(limit int) float64 {
	switch {
	case !m.Ceilings.RetryAfter:
		return 0
	case m.draining:
		return m.Ceilings.MaxRetryAfter
	}
	return min(max(m.oldestAge(limit)-m.targetDelay, 0), m.Ceilings.MaxRetryAfter)
}

// expire answers RPCs whose deadline is over or would be missed. Work that can have no value any more is
// stopped where that is possible and other work waits for the cores.
func (m *Module) expire() {
	for i := range m.rpcs {
		req := &m.rpcs[i]
		worthless := req.state.pending() && m.now > m.fullValueUntil(req) && m.Methods[req.method].LateShare == 0
		if req.state.pending() && (m.now > req.deadline || req.state == queued && m.wouldBeLate(req) ||
			worthless && (req.state == paused || req.state == calling || req.state == running &&
				m.oldestAge(0) >= 0 && m.Machine.Preemption.CanStop())) {
			m.giveUp(i)
		}
	}
}
