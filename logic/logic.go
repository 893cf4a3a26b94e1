// Package logic makes the decisions of an app server: which RPCs it admits, in which order it runs them and
// which it rejects.
//
// A user creates one Module per app server with New and reports events to it with Arrive, Ended, NeedsCall,
// Called, CallerGone, Leave and Tick, each with the time in seconds. The module reacts before it returns by
// calling methods of rpc.Actions. It must be used from one goroutine and has no global state.
//
// The main mechanism is Breakwater's, see docs/design.md: the credit pool follows the age of the oldest
// queued RPC, every answer carries the caller's credit, and arrivals are rejected while that age exceeds a
// threshold.
package logic

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"valveglade/rpc"
)

// Module makes the admission and scheduling decisions of one app server.
//
// Counts described as "recent" decay exponentially with the half-life halfLife. Times are in seconds.
type Module struct {
	rpc.Settings
	actions        rpc.Actions
	now            float64   // time of the current event
	started        float64   // when the app server came up
	shutdownNotice float64   // when the shutdown notice came, +Inf before
	drainDeadline  float64   // when draining, the time by which every RPC is answered
	rpcs           []request // by index
	count          [stateCount]int
	queue          []int     // queued RPCs, oldest first
	callQueue      []int     // paused RPCs, longest waiting first
	rpcKB          float64   // memory of all open RPCs
	tokenExpiries  []float64 // when each remembered token expires
	lingerEnds     []float64 // when the dependency drops each abandoned call
	callers        []callerState
	methodStats    []methodStats
	tenantRPCs     []float64 // RPCs of each tenant over about the last ten seconds
	arrivals       float64   // recent arrivals
	rejections     float64   // recent rejections
	retries        float64   // recent arrivals that were marked as retries
	rejectionAge   float64   // moving average of an RPC's age when it is rejected
	targetDelay    float64   // d_t, the queueing delay that the credit pool is steered to
	delayThreshold float64   // queueing delay past which arrivals are rejected
	creditPool     float64   // total credit of all callers
	credit         float64   // credit of each caller
	publishedValue float64   // last value passed to Publish, NaN before the first

	// creditExhausted is set when a caller has had its full credit outstanding since the last update.
	creditExhausted bool
	stuck           bool // work is stuck; reported to health checks
	draining        bool // the shutdown notice has come
	lastUpdate      float64
	lastDecay       float64
	idleGaps        histogram // how long callers have nothing open here between two RPCs
	idleTimeout     float64   // idle connections are closed after it, 0 for never
	okRuns          float64   // recent successful runs
	okRunSeconds    float64   // their total run time

	overThresholdSince float64 // since when the delay has exceeded the threshold, 0 if it does not
	excessArrivals     float64 // arrivals beyond the RPCs completed meanwhile, as of excessUpdated
	excessUpdated      float64
	newestFirst        bool    // the delay has exceeded the threshold for long; the newest RPC is started first
	runLimit           float64 // RPCs that may run on the cores at a time
	overheadCores      float64 // moving average of the cores taken by other work: reading, new connections
	coresGauge         int     // index of the on_cores gauge, -1 if there is none
	callLimit          float64 // calls to dependencies at a time
	nextExtraCall      float64 // when the next call beyond the whole part of the share may start

	// extraCalls are the intervals [start, end] of recent calls beyond the whole part of the share.
	extraCalls     [][2]float64
	callTimes      histogram
	bestCallMedian float64 // lowest recent median call time
	lastProgress   float64 // when a run last ended successfully, or a run was first started on idle cores
}

const (
	// tickInterval is the time in seconds between checks of deadlines, gauges and the pool. 50 checks a
	// second cost next to nothing.
	tickInterval = 0.02

	// deadlineMargin is the time in seconds by which RPCs are answered before their deadline: two ticks, as
	// one may be late.
	deadlineMargin = 2 * tickInterval

	// minTarget is the lowest latency target in seconds that ticks of this length can enforce.
	minTarget = 6 * tickInterval
)

// New returns the module of an app server that has just come up. Settings that are missing or zero get the
// least restrictive value that still keeps the rules.
func New(now float64, settings rpc.Settings, actions rpc.Actions) *Module {
	m := &Module{Settings: settings, actions: actions, now: now, started: now, lastUpdate: now, lastDecay: now,
		shutdownNotice: math.Inf(1)}
	m.Machine.Cores, m.Machine.RunFactor = max(settings.Machine.Cores, 1), max(settings.Machine.RunFactor, 1)
	m.Rules.OverloadFactor, m.Rules.OverloadWindow = max(settings.Rules.OverloadFactor, 1),
		min(cmp.Or(max(settings.Rules.OverloadWindow, 0), 1), 10)
	m.Machine.MaxDownstreamCalls = cmp.Or(max(settings.Machine.MaxDownstreamCalls, 0), 1)
	// Without a limit the memory is finite all the same, so that sums do not become NaN.
	m.Machine.MemoryKB = cmp.Or(max(settings.Machine.MemoryKB, 0), math.MaxFloat64)
	if settings.Machine.Downstream != "one_for_all" {
		m.Machine.MaxDownstreamCalls = math.Inf(1) // calls to a tier of app servers have no share
	}
	m.callLimit, m.bestCallMedian = m.cores(), math.Inf(1)
	m.coresGauge = slices.Index(settings.Machine.Gauges, "on_cores")
	m.methodStats = make([]methodStats, len(settings.Methods))
	m.tenantRPCs = make([]float64, len(settings.Tenants))
	m.Methods = slices.Clone(settings.Methods)
	tightest := 60.0 // used if no method has a latency target
	for k := range m.Methods {
		method := &m.Methods[k]
		method.Deadline = cmp.Or(max(method.Deadline, 0), math.Inf(1))
		method.Target = max(cmp.Or(max(method.Target, 0), method.Deadline), minTarget)
		tightest = min(tightest, method.Target)
	}
	// A d_t of a quarter of the latency target is worse in incidents, one of an eighth is worse in overload.
	m.targetDelay, m.delayThreshold = tightest/6, tightest/3
	m.runLimit, m.publishedValue = m.cores(), math.NaN()
	m.creditPool = m.runLimit * float64(max(settings.Machine.Callers, 1)) * m.warmUpFactor()
	for range 16 {
		m.idleGaps.add(3) // initial samples: at first every caller is new, so that a few look like many
	}
	actions.Health(true)
	m.publish()
	actions.Wake(tickInterval)
	return m
}

// Boot records when the machine came up, +Inf while it has not, and whether it warms up slowly. It resets
// the limit and the pool, as earlier estimates of its capacity no longer apply.
func (m *Module) Boot(now, started float64, cold bool) {
	m.now, m.started, m.Machine.Cold = now, started, cold
	m.runLimit = min(m.cores(), m.maxStarted())
	m.creditPool = m.runLimit * float64(max(m.Machine.Callers, 1)) * m.warmUpFactor()
	m.publish()
}

// Arrive records that RPC i has been read. readDelay is the time between its arrival at the machine and the
// read. isRetry is set for a retry, where callers mark retries; readOnly for an RPC that only reads a known
// subject. deadline is 0 where callers do not send one. repeatOf is the RPC that this one repeats,
// rpc.RepeatsNone or rpc.RepeatsReleased.
func (m *Module) Arrive(now float64, i, method, caller, tenant int, readDelay float64,
	isRetry, readOnly bool, deadline, sizeKB float64, repeatOf int) {
	m.now = now
	m.rpcs = append(m.rpcs, make([]request, max(i+1-len(m.rpcs), 0))...)
	unseen := callerState{lastArrival: math.Inf(-1), idleSince: math.Inf(-1)}
	m.callers = append(m.callers, slices.Repeat([]callerState{unseen}, max(caller+1-len(m.callers), 0))...)
	if method >= len(m.Methods) { // unknown method: must not be run
		m.actions.Abort(i)
		m.actions.Release(i)
		return
	}
	req := &m.rpcs[i]
	*req = request{method: method, caller: caller, tenant: tenant, arrival: now - readDelay,
		firstAttempt: now - readDelay, deadline: deadline, sizeKB: sizeKB,
		shareable: readOnly && m.Machine.ResultTTL > 0 && m.Methods[method].Kind == rpc.Idempotent}
	if tenant < len(m.tenantRPCs) {
		m.tenantRPCs[tenant]++
	}
	if isRetry {
		req.firstAttempt -= m.rejectionAge
		m.retries++
	}
	if req.deadlineSent = deadline > 0; !req.deadlineSent {
		req.deadline = req.arrival + m.Methods[method].Deadline
	}
	req.deadline -= min(deadlineMargin, (req.deadline-now)/2)
	if m.draining {
		req.deadline = min(req.deadline, m.drainDeadline)
	}
	m.callers[caller].lastArrival = now
	if m.callers[caller].outstanding == 0 {
		m.idleGaps.add(now - m.callers[caller].idleSince)
	}
	m.methodStats[method].arrivals++
	m.arrivals, m.excessArrivals = m.arrivals+1, m.excessArrivals+1
	m.move(i, queued)
	m.creditExhausted = m.creditExhausted || float64(m.callers[caller].outstanding) >= m.credit
	pastGrace := m.draining && req.arrival > m.shutdownNotice+m.Rules.DrainGrace // must not be run
	switch {
	case repeatOf != rpc.RepeatsNone && (pastGrace || now > req.deadline ||
		!req.shareable && m.memoryUsed() > m.memoryLimit()):
		m.actions.Abort(i) // the repeated RPC may have run, so this one is aborted, not pushed back
		m.move(i, absent)
	case repeatOf >= 0 && m.rpcs[repeatOf].state == queued && !req.shareable:
		m.replaceQueued(i, repeatOf)
	case repeatOf != rpc.RepeatsNone && m.memoryUsed() <= m.memoryLimit():
		m.actions.Follow(i) // a token that has run, or whose outcome is no longer known, never runs again
		if repeatOf >= 0 {  // its answer now serves one more RPC
			m.rpcs[repeatOf].followers++
			m.rpcs[repeatOf].wantedUntil = max(m.rpcs[repeatOf].wantedUntil, m.fullValueUntil(req))
		}
		m.move(i, following)
	case pastGrace, now > req.deadline, m.wouldBeLate(req), req.sizeKB*m.Machine.RunFactor > m.memoryLimit(),
		// Tokens take at most half of the memory, the rest is for RPCs.
		m.Methods[method].Kind == rpc.Tokened && m.tokenKB() > m.memoryLimit()/2:
		m.giveUp(i)
	default:
		m.rememberToken(i)
		if m.overheadCores < m.cores() { // else reading takes the cores that runs need
			m.startQueued() // an RPC that can start now is not rejected, whatever its read delay
		}
		m.shed(i)
	}
	m.startQueued()
}

// Ended records the end of a run, or of an RPC that followed another. runTime is in seconds.
func (m *Module) Ended(now float64, i int, outcome rpc.Outcome, runTime float64) {
	m.now = now
	req := &m.rpcs[i]
	if req.state == absent || req.state == queued {
		return
	}
	if outcome.NeverRan() {
		m.forgetToken(i)
		if req.state == following { // the RPC that it repeats never ran, so this one may run
			m.rememberToken(i)
			m.move(i, queued)
			m.startQueued()
			return
		}
	}
	if req.state == calling {
		m.recordCall(req, rpc.TimedOut)
	}
	if outcome == rpc.OK && req.state == running {
		stats := &m.methodStats[req.method]
		if now-req.arrival > 1.2*stats.giveUpAge {
			stats.giveUps = 0 // callers have waited longer than the estimate
		}
		stats.runTimes.add(runTime)
		m.okRuns, m.okRunSeconds, m.lastProgress = m.okRuns+1,
			m.okRunSeconds+max(min(runTime, 60), now-req.runStarted)*m.warmUpFactor(), now
		if now <= req.firstAttempt+m.Methods[req.method].Target {
			m.methodStats[req.method].ok++
		}
	}
	if req.state.pending() && outcome != rpc.OK && outcome != rpc.Error {
		m.actions.Abort(i) // stopped while its reply was pending
	}
	m.move(i, absent)
	m.startCalls()
	m.startQueued()
}

// CallerGone records that the caller no longer waits for an RPC, and learns at which age callers give up.
func (m *Module) CallerGone(now float64, i int) {
	m.now = now
	if req := &m.rpcs[i]; req.state.pending() && !req.deadlineSent {
		// An age within 20% of the estimate confirms it, another age starts a new one. RPCs whose caller
		// sent a deadline do not count: a caller that cancels hundreds of them at once would otherwise get the
		// RPCs of all other callers rejected.
		stats, age := &m.methodStats[req.method], now-req.arrival
		if math.Abs(age-stats.giveUpAge) > 0.2*stats.giveUpAge {
			stats.giveUpAge, stats.giveUps = age, 0
		}
		stats.giveUps++
	}
	m.abandon(i)
	m.startQueued()
}

// Leave records the shutdown notice: the process is stopped at the given time. All RPCs are answered half a
// second earlier, in case the process is paused just before the stop.
func (m *Module) Leave(now, stop float64) {
	m.now = now
	m.draining, m.shutdownNotice, m.drainDeadline = true, min(m.shutdownNotice, now),
		max(now, stop-0.5)-deadlineMargin
	for i := range m.rpcs {
		m.rpcs[i].deadline = min(m.rpcs[i].deadline, m.drainDeadline)
	}
	m.actions.Health(false)
	m.publish()
	m.actions.Log(fmt.Sprintf("leaving: %d queued, %d running", len(m.queue), m.count[running]))
	m.expire()
}

// Tick checks the gauges, the deadlines and the pool. gauges are the current values of Machine.Gauges.
func (m *Module) Tick(now float64, gauges []float64) {
	m.now = now
	m.tokenExpiries = slices.DeleteFunc(m.tokenExpiries, func(end float64) bool { return end <= now })
	if now-m.lastDecay > halfLife {
		m.decay()
	}
	m.expire()
	m.adjustRunLimit(gauges)
	if now-m.lastUpdate >= min(m.targetDelay, 1) { // a round trip takes about as long as the target delay
		m.updatePool()
		m.checkHealth()
		m.updateIdleTimeout()
	}
	m.startCalls()
	m.startQueued()
	m.actions.Wake(tickInterval)
}
