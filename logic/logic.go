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
	do                   rpc.Actions
	now, started         float64
	noticed, stop        float64 // when the notice came, +Inf before, and when all is answered
	rpcs                 []work
	count                [states]int
	queue, waiting       []int // queued RPCs, oldest first; paused ones, longest waiting first
	kb                   float64
	keys, lingers        []float64 // ends of remembered tokens, and of abandoned calls
	callers              []caller
	records              []record
	tenants              []float64 // RPCs of each over the last ten seconds or so
	arrived, refused     float64   // of late
	further, walked      float64   // of late; how old what is refused has been
	dt, threshold        float64   // d_t, and the delay past which arrivals are refused
	pool, credit, said   float64
	full, stuck, leaving bool // some caller had its full credit out since the last update
	updated, halved      float64
	gaps                 hist         // for which callers have nothing here between two RPCs
	reap                 float64      // idle connections are closed after it, 0 for never
	ran, ranFor          float64      // runs that ended ok of late, and their seconds
	over                 float64      // since when the delay has stood past the threshold, 0 if it does not
	excess, excessAt     float64      // arrivals past what is done meanwhile, as of when
	newest               bool         // the queue has stood full for a while
	limit                float64      // of RPCs on the cores
	overhead             float64      // what else needs a core, of late: reading, new connections
	gauge                int          // where that gauge stands, -1 if there is none
	callLimit, nextCall  float64      // calls at a time; when the next past the whole share may start
	extras               [][2]float64 // from when until when calls past the whole share were out, of late
	callTook             hist
	callBest, well       float64 // the best median of late; when a run last ended well, or the first one began
}

// tick is the time between looks at dues, gauges and the pool: 50 a second cost next to nothing. margin is
// kept before a due time: two looks, should one be late. Targets under leastTarget cannot be steered by them.
const tick, margin, leastTarget = 0.02, 2 * tick, 6 * tick

// New starts the module of an app server that has just come up. What the config lacks, or has at zero, gets
// the mildest meaning that keeps the rules.
func New(now float64, c rpc.Settings, do rpc.Actions) *Module {
	m := &Module{Settings: c, do: do, now: now, started: now, updated: now, halved: now, noticed: math.Inf(1)}
	m.Machine.Cores, m.Machine.RunFactor = max(c.Machine.Cores, 1), max(c.Machine.RunFactor, 1)
	m.Rules.Crowd, m.Rules.CrowdSpan = max(c.Rules.Crowd, 1), min(cmp.Or(max(c.Rules.CrowdSpan, 0), 1), 10)
	m.Machine.CallsOut = cmp.Or(max(c.Machine.CallsOut, 0), 1)
	m.Machine.MemoryKB = cmp.Or(max(c.Machine.MemoryKB, 0), math.MaxFloat64) // finite: sums stay numbers
	if c.Machine.Below != "one_for_all" {
		m.Machine.CallsOut = math.Inf(1) // no share is set for a tier of app servers
	}
	m.callLimit, m.callBest = m.cores(), math.Inf(1)
	m.gauge = slices.Index(c.Machine.Gauges, "on_cores")
	m.records = make([]record, len(c.Methods))
	m.tenants = make([]float64, len(c.Tenants))
	m.Methods = slices.Clone(c.Methods)
	tightest := 60.0 // should no method have a latency target
	for k := range m.Methods {
		method := &m.Methods[k]
		method.Deadline = cmp.Or(max(method.Deadline, 0), math.Inf(1))
		method.Target = max(cmp.Or(max(method.Target, 0), method.Deadline), leastTarget)
		tightest = min(tightest, method.Target)
	}
	m.dt, m.threshold = tightest/6, tightest/3 // a quarter made the incidents worse, an eighth the overload days
	m.limit, m.said = m.cores(), math.NaN()    // the design's default; nothing yet
	m.pool = m.limit * float64(max(c.Machine.Callers, 1)) * m.warmth()
	for range 16 {
		m.gaps.add(3) // till more is known: all callers are new at first, so that few look like many
	}
	do.Health(true)
	m.publish()
	do.Wake(tick)
	return m
}

// Boot takes note of when the machine came up, +Inf while it has not, and whether cold. What was believed
// before of what it can bear does not count any more.
func (m *Module) Boot(now, at float64, cold bool) {
	m.now, m.started, m.Machine.Cold = now, at, cold
	m.limit = min(m.cores(), m.survivable())
	m.pool = m.limit * float64(max(m.Machine.Callers, 1)) * m.warmth()
	m.publish()
}

// Arrive takes note of an RPC that has been read. further marks a further try, where callers mark them; reads
// one that only reads, of a known subject; due is 0 where callers do not tell how long they wait; repeats is
// the RPC that this repeats, rpc.None or rpc.Gone.
func (m *Module) Arrive(now float64, i, method, from, tenant int, lay float64, further, reads bool,
	due, kb float64, repeats int) {
	m.now = now
	m.rpcs = append(m.rpcs, make([]work, max(i+1-len(m.rpcs), 0))...)
	never := caller{heard: math.Inf(-1), idle: math.Inf(-1)}
	m.callers = append(m.callers, slices.Repeat([]caller{never}, max(from+1-len(m.callers), 0))...)
	if method >= len(m.Methods) { // nothing is known of it, so nothing may be run
		m.do.Abort(i)
		m.do.Release(i)
		return
	}
	w := &m.rpcs[i]
	*w = work{method: method, caller: from, tenant: tenant, arrival: now - lay, asked: now - lay, due: due,
		kb: kb, reads: reads && m.Machine.Fresh > 0 && m.Methods[method].Kind == rpc.Idempotent}
	if tenant < len(m.tenants) {
		m.tenants[tenant]++
	}
	if further {
		w.asked -= m.walked
		m.further++
	}
	if w.told = due > 0; !w.told {
		w.due = w.arrival + m.Methods[method].Deadline
	}
	w.due -= min(margin, (w.due-now)/2)
	if m.leaving {
		w.due = min(w.due, m.stop)
	}
	m.callers[from].heard = now
	if m.callers[from].out == 0 {
		m.gaps.add(now - m.callers[from].idle)
	}
	m.records[method].asked++
	m.arrived, m.excess = m.arrived+1, m.excess+1
	m.move(i, queued)
	m.full = m.full || float64(m.callers[from].out) >= m.credit
	pastGrace := m.leaving && w.arrival > m.noticed+m.Rules.Grace // rule 3: it is not run
	switch {
	case repeats != rpc.None && (pastGrace || now > w.due || !w.reads && m.memory() > m.room()):
		m.do.Abort(i) // the RPC that it repeats may have been run, so this is no refusal
		m.move(i, absent)
	case repeats >= 0 && m.rpcs[repeats].state == queued && !w.reads:
		m.takeOver(i, repeats)
	case repeats != rpc.None && m.memory() <= m.room():
		m.do.Follow(i)    // a token that was run, or is not known any more, is never run again
		if repeats >= 0 { // whose answer is wanted the more
			m.rpcs[repeats].leads++
			m.rpcs[repeats].wanted = max(m.rpcs[repeats].wanted, m.goodUntil(w))
		}
		m.move(i, following)
	case pastGrace, now > w.due, m.hopeless(w), w.kb*m.Machine.RunFactor > m.room(),
		m.Methods[method].Kind == rpc.Tokened && m.keyKB() > m.room()/2: // the other half is for work
		m.giveUp(i)
	default:
		m.remember(i)
		if m.overhead < m.cores() { // else what reading takes is missing for runs
			m.pump() // what can be started is not refused, however long it lay unread
		}
		m.shed(i)
	}
	m.pump()
}

// Ended takes note of the end of a run, or of an RPC that followed another.
func (m *Module) Ended(now float64, i int, how rpc.Outcome, took float64) {
	m.now = now
	w := &m.rpcs[i]
	if w.state == absent || w.state == queued {
		return
	}
	if how.NeverRan() {
		m.forget(i)
		if w.state == following { // what it repeats never ran, so it may itself
			m.remember(i)
			m.move(i, queued)
			m.pump()
			return
		}
	}
	if w.state == calling {
		m.called(w, rpc.TimedOut)
	}
	if how == rpc.OK && w.state == running {
		r := &m.records[w.method]
		if now-w.arrival > 1.2*r.patience {
			r.givenUp = 0 // so they wait longer
		}
		r.late.add(took)
		m.ran, m.ranFor, m.well = m.ran+1, m.ranFor+max(min(took, 60), now-w.began)*m.warmth(), now
		if now <= w.asked+m.Methods[w.method].Target {
			m.records[w.method].ok++
		}
	}
	if w.state.owed() && how != rpc.OK && how != rpc.Error {
		m.do.Abort(i) // it was stopped with its answer still owed
	}
	m.move(i, absent)
	m.place()
	m.pump()
}

// CallerGone takes note that nobody awaits an RPC any more.
func (m *Module) CallerGone(now float64, i int) {
	m.now = now
	if w := &m.rpcs[i]; w.state.owed() && !w.told {
		// Within a fifth it is the same habit; another age starts the count afresh. Who says how long it waits has
		// no other patience: one that takes back hundreds at once would have all others' RPCs turned away.
		r, age := &m.records[w.method], now-w.arrival
		if math.Abs(age-r.patience) > 0.2*r.patience {
			r.patience, r.givenUp = age, 0
		}
		r.givenUp++
	}
	m.unwind(i)
	m.pump()
}

// Leave takes note that the process will be stopped at the given time. All is answered half a second before,
// should the cores stand still for a moment then.
func (m *Module) Leave(now, at float64) {
	m.now = now
	m.leaving, m.noticed, m.stop = true, min(m.noticed, now), max(now, at-0.5)-margin
	for i := range m.rpcs {
		m.rpcs[i].due = min(m.rpcs[i].due, m.stop)
	}
	m.do.Health(false)
	m.publish()
	m.do.Log(fmt.Sprintf("leaving: %d queued, %d running", len(m.queue), m.count[running]))
	m.sweep()
}

// Tick looks at the gauges, the dues and the pool.
func (m *Module) Tick(now float64, gauges []float64) {
	m.now = now
	m.keys = slices.DeleteFunc(m.keys, func(end float64) bool { return end <= now })
	if now-m.halved > span {
		m.halve()
	}
	m.sweep()
	m.adjust(gauges)
	if now-m.updated >= min(m.dt, 1) { // a round trip is about as long as the delay that is steered
		m.update()
		m.checkHealth()
		m.tidy()
	}
	m.place()
	m.pump()
	m.do.Wake(tick)
}
