// Package logic holds every decision of an app server: what it takes, in which order, what it turns away.
//
// A caller makes one Module for each app server with New and tells it what happens: Arrive, Ended, NeedsCall,
// Called, CallerGone, Leave and Tick, each with the time in seconds. The module answers at once by calling
// rpc.Actions, where its interface is defined. It runs in one goroutine and keeps no globals.
//
// The ordinary path is Breakwater's, see docs/design.md: the pool of credit follows the oldest queued RPC's
// delay, every answer carries the credit, and arrivals are refused while that delay passes the threshold.
package logic

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"valveglade/rpc"
)

// Module decides for one app server.
type Module struct {
	rpc.Settings
	actions                            rpc.Actions
	now, started                       float64
	shutdownNotice, drainDeadline      float64 // when the notice came, +Inf before, and when all is answered
	rpcs                               []request
	count                              [stateCount]int
	queue, callQueue                   []int // queued RPCs, oldest first; paused ones, longest waiting first
	rpcKB                              float64
	tokenExpiries, lingerEnds          []float64 // ends of remembered tokens, and of abandoned calls
	callers                            []callerState
	methodStats                        []methodStats
	tenantRPCs                         []float64 // RPCs of each over the last ten seconds or so
	arrivals, rejections               float64   // of late
	retries, rejectionAge              float64   // of late; how old what is refused has been
	targetDelay, delayThreshold        float64   // d_t, and the delay past which arrivals are refused
	creditPool, credit, publishedValue float64
	creditExhausted, stuck, draining   bool // some caller had its full credit out since the last update
	lastUpdate, lastDecay              float64
	idleGaps                           histogram    // for which callers have nothing here between two RPCs
	idleTimeout                        float64      // idle connections are closed after it, 0 for never
	okRuns, okRunSeconds               float64      // runs that ended ok of late, and their seconds
	overThresholdSince                 float64      // since when the delay has stood past the threshold, 0 if it does not
	excessArrivals, excessUpdated      float64      // arrivals past what is done meanwhile, as of when
	newestFirst                        bool         // the queue has stood full for a while
	runLimit                           float64      // of RPCs on the cores
	overheadCores                      float64      // what else needs a core, of late: reading, new connections
	coresGauge                         int          // where that gauge stands, -1 if there is none
	callLimit, nextExtraCall           float64      // calls at a time; when the next past the whole share may start
	extraCalls                         [][2]float64 // from when until when calls past the whole share were out, of late
	callTimes                          histogram
	bestCallMedian, lastProgress       float64 // the best median of late; when a run last ended well, or the first one began
}

// tickInterval is the time between looks at dues, gauges and the pool: 50 a second cost next to nothing. deadlineMargin is
// kept before a due time: two looks, should one be late. Targets under minTarget cannot be steered by them.
const tickInterval, deadlineMargin, minTarget = 0.02, 2 * tickInterval, 6 * tickInterval

// New starts the module of an app server that has just come up. What the config lacks, or has at zero, gets
// the mildest meaning that keeps the rules.
func New(now float64, c rpc.Settings, do rpc.Actions) *Module {
	m := &Module{Settings: c, actions: do, now: now, started: now, lastUpdate: now, lastDecay: now, shutdownNotice: math.Inf(1)}
	m.Machine.Cores, m.Machine.RunFactor = max(c.Machine.Cores, 1), max(c.Machine.RunFactor, 1)
	m.Rules.Crowd, m.Rules.CrowdSpan = max(c.Rules.Crowd, 1), min(cmp.Or(max(c.Rules.CrowdSpan, 0), 1), 10)
	m.Machine.CallsOut = cmp.Or(max(c.Machine.CallsOut, 0), 1)
	m.Machine.MemoryKB = cmp.Or(max(c.Machine.MemoryKB, 0), math.MaxFloat64) // finite: sums stay numbers
	if c.Machine.Below != "one_for_all" {
		m.Machine.CallsOut = math.Inf(1) // no share is set for a tier of app servers
	}
	m.callLimit, m.bestCallMedian = m.cores(), math.Inf(1)
	m.coresGauge = slices.Index(c.Machine.Gauges, "on_cores")
	m.methodStats = make([]methodStats, len(c.Methods))
	m.tenantRPCs = make([]float64, len(c.Tenants))
	m.Methods = slices.Clone(c.Methods)
	tightest := 60.0 // should no method have a latency target
	for k := range m.Methods {
		method := &m.Methods[k]
		method.Deadline = cmp.Or(max(method.Deadline, 0), math.Inf(1))
		method.Target = max(cmp.Or(max(method.Target, 0), method.Deadline), minTarget)
		tightest = min(tightest, method.Target)
	}
	m.targetDelay, m.delayThreshold = tightest/6, tightest/3 // a quarter made the incidents worse, an eighth the overload days
	m.runLimit, m.publishedValue = m.cores(), math.NaN()     // the design's default; nothing yet
	m.creditPool = m.runLimit * float64(max(c.Machine.Callers, 1)) * m.warmUpFactor()
	for range 16 {
		m.idleGaps.add(3) // till more is known: all callers are new at first, so that few look like many
	}
	do.Health(true)
	m.publish()
	do.Wake(tickInterval)
	return m
}

// Boot takes note of when the machine came up, +Inf while it has not, and whether cold. What was believed
// before of what it can bear does not count any more.
func (m *Module) Boot(now, at float64, cold bool) {
	m.now, m.started, m.Machine.Cold = now, at, cold
	m.runLimit = min(m.cores(), m.maxStarted())
	m.creditPool = m.runLimit * float64(max(m.Machine.Callers, 1)) * m.warmUpFactor()
	m.publish()
}

// Arrive takes note of an RPC that has been read. further marks a further try, where callers mark them; reads
// one that only reads, of a known subject; due is 0 where callers do not tell how long they wait; repeats is
// the RPC that this repeats, rpc.None or rpc.Gone.
func (m *Module) Arrive(now float64, i, method, from, tenant int, lay float64, further, reads bool,
	due, kb float64, repeats int) {
	m.now = now
	m.rpcs = append(m.rpcs, make([]request, max(i+1-len(m.rpcs), 0))...)
	never := callerState{lastArrival: math.Inf(-1), idleSince: math.Inf(-1)}
	m.callers = append(m.callers, slices.Repeat([]callerState{never}, max(from+1-len(m.callers), 0))...)
	if method >= len(m.Methods) { // nothing is known of it, so nothing may be run
		m.actions.Abort(i)
		m.actions.Release(i)
		return
	}
	w := &m.rpcs[i]
	*w = request{method: method, caller: from, tenant: tenant, arrival: now - lay, firstAttempt: now - lay, deadline: due,
		sizeKB: kb, shareable: reads && m.Machine.Fresh > 0 && m.Methods[method].Kind == rpc.Idempotent}
	if tenant < len(m.tenantRPCs) {
		m.tenantRPCs[tenant]++
	}
	if further {
		w.firstAttempt -= m.rejectionAge
		m.retries++
	}
	if w.deadlineSent = due > 0; !w.deadlineSent {
		w.deadline = w.arrival + m.Methods[method].Deadline
	}
	w.deadline -= min(deadlineMargin, (w.deadline-now)/2)
	if m.draining {
		w.deadline = min(w.deadline, m.drainDeadline)
	}
	m.callers[from].lastArrival = now
	if m.callers[from].outstanding == 0 {
		m.idleGaps.add(now - m.callers[from].idleSince)
	}
	m.methodStats[method].arrivals++
	m.arrivals, m.excessArrivals = m.arrivals+1, m.excessArrivals+1
	m.move(i, queued)
	m.creditExhausted = m.creditExhausted || float64(m.callers[from].outstanding) >= m.credit
	pastGrace := m.draining && w.arrival > m.shutdownNotice+m.Rules.Grace // rule 3: it is not run
	switch {
	case repeats != rpc.None && (pastGrace || now > w.deadline || !w.shareable && m.memoryUsed() > m.memoryLimit()):
		m.actions.Abort(i) // the RPC that it repeats may have been run, so this is no refusal
		m.move(i, absent)
	case repeats >= 0 && m.rpcs[repeats].state == queued && !w.shareable:
		m.takeOver(i, repeats)
	case repeats != rpc.None && m.memoryUsed() <= m.memoryLimit():
		m.actions.Follow(i) // a token that was run, or is not known any more, is never run again
		if repeats >= 0 {   // whose answer is wanted the more
			m.rpcs[repeats].followers++
			m.rpcs[repeats].wantedUntil = max(m.rpcs[repeats].wantedUntil, m.fullValueUntil(w))
		}
		m.move(i, following)
	case pastGrace, now > w.deadline, m.wouldBeLate(w), w.sizeKB*m.Machine.RunFactor > m.memoryLimit(),
		m.Methods[method].Kind == rpc.Tokened && m.tokenKB() > m.memoryLimit()/2: // the other half is for work
		m.giveUp(i)
	default:
		m.rememberToken(i)
		if m.overheadCores < m.cores() { // else what reading takes is missing for runs
			m.startQueued() // what can be started is not refused, however long it lay unread
		}
		m.shed(i)
	}
	m.startQueued()
}

// Ended takes note of the end of a run, or of an RPC that followed another.
func (m *Module) Ended(now float64, i int, how rpc.Outcome, took float64) {
	m.now = now
	w := &m.rpcs[i]
	if w.state == absent || w.state == queued {
		return
	}
	if how.NeverRan() {
		m.forgetToken(i)
		if w.state == following { // what it repeats never ran, so it may itself
			m.rememberToken(i)
			m.move(i, queued)
			m.startQueued()
			return
		}
	}
	if w.state == calling {
		m.recordCall(w, rpc.TimedOut)
	}
	if how == rpc.OK && w.state == running {
		r := &m.methodStats[w.method]
		if now-w.arrival > 1.2*r.giveUpAge {
			r.giveUps = 0 // so they wait longer
		}
		r.runTimes.add(took)
		m.okRuns, m.okRunSeconds, m.lastProgress = m.okRuns+1, m.okRunSeconds+max(min(took, 60), now-w.runStarted)*m.warmUpFactor(), now
		if now <= w.firstAttempt+m.Methods[w.method].Target {
			m.methodStats[w.method].ok++
		}
	}
	if w.state.pending() && how != rpc.OK && how != rpc.Error {
		m.actions.Abort(i) // it was stopped with its answer still owed
	}
	m.move(i, absent)
	m.startCalls()
	m.startQueued()
}

// CallerGone takes note that nobody awaits an RPC any more.
func (m *Module) CallerGone(now float64, i int) {
	m.now = now
	if w := &m.rpcs[i]; w.state.pending() && !w.deadlineSent {
		// Within a fifth it is the same habit; another age starts the count afresh. Who says how long it waits has
		// no other patience: one that takes back hundreds at once would have all others' RPCs turned away.
		r, age := &m.methodStats[w.method], now-w.arrival
		if math.Abs(age-r.giveUpAge) > 0.2*r.giveUpAge {
			r.giveUpAge, r.giveUps = age, 0
		}
		r.giveUps++
	}
	m.abandon(i)
	m.startQueued()
}

// Leave takes note that the process will be stopped at the given time. All is answered half a second before,
// should the cores stand still for a moment then.
func (m *Module) Leave(now, at float64) {
	m.now = now
	m.draining, m.shutdownNotice, m.drainDeadline = true, min(m.shutdownNotice, now), max(now, at-0.5)-deadlineMargin
	for i := range m.rpcs {
		m.rpcs[i].deadline = min(m.rpcs[i].deadline, m.drainDeadline)
	}
	m.actions.Health(false)
	m.publish()
	m.actions.Log(fmt.Sprintf("leaving: %d queued, %d running", len(m.queue), m.count[running]))
	m.expire()
}

// Tick looks at the gauges, the dues and the pool.
func (m *Module) Tick(now float64, gauges []float64) {
	m.now = now
	m.tokenExpiries = slices.DeleteFunc(m.tokenExpiries, func(end float64) bool { return end <= now })
	if now-m.lastDecay > halfLife {
		m.decay()
	}
	m.expire()
	m.adjustRunLimit(gauges)
	if now-m.lastUpdate >= min(m.targetDelay, 1) { // a round trip is about as long as the delay that is steered
		m.updatePool()
		m.checkHealth()
		m.updateIdleTimeout()
	}
	m.startCalls()
	m.startQueued()
	m.actions.Wake(tickInterval)
}
