// Package logic holds every decision of an app server: what it takes, in which order, what it turns away.
//
// A caller makes one Module for each app server with New and tells it what happens: Arrive, Ended,
// NeedsCall, Called, CallerGone, Leave and Tick, each with the time in seconds. The module answers at once
// by calling rpc.Actions, where its interface is defined. It runs in one goroutine and keeps no globals.
//
// The ordinary path is Breakwater's, see docs/design.md: the pool of credit follows the oldest held RPC's
// delay, every answer carries the credit, and arrivals are refused while that delay passes the mark.
package logic

import (
	"fmt"
	"math"
	"slices"

	"valveglade/rpc"
)

// state is where an RPC stands; only move changes it.
type state uint8

const (
	absent    state = iota // not in hand
	held                   // read, not started
	following              // waits for the outcome of the RPC that it repeats
	running                // started, an answer is owed
	stalled                // started, off the cores until it may place its call
	calling                // started, off the cores until its call ends
	adrift                 // no answer is owed any more, its work is still on the cores
	closing                // no answer is owed any more, its call is being wound up
	states
)

func (s state) owed() bool { return s >= held && s <= calling }

// work is one RPC in hand.
type work struct {
	state                 state
	method, caller, tries int     // tries of the call in need
	arrival, asked        float64 // here, and its first try, as far as can be told
	due, kb               float64
	began, dialed         float64 // when it was started, and its call placed
	extra, told           bool    // its call is past the whole part of the share; its caller told its due
	key                   float64 // until when its token is remembered, 0 if it is not
}

// caller is when one caller last sent something and last had all its answers, and its unanswered RPCs here.
type caller struct {
	heard, idle float64
	out         int
}

// record is what has been seen of a method of late: run times, arrivals, ok in time, and the age at which its
// RPCs have been given up on, how many times running.
type record struct {
	late      hist
	asked, ok float64
	patience  float64
	givenUp   int
}

// Module decides for one app server.
type Module struct {
	rpc.Charter
	do                  rpc.Actions
	now, started        float64
	rpcs                []work
	count               [states]int
	hold, waiting       []int // held RPCs, oldest first; stalled ones, longest waiting first
	kb                  float64
	keys, lingers       []float64 // ends of remembered tokens, and of abandoned calls
	callers             []caller
	records             []record
	halved              float64
	arrived, refused    float64 // of late
	further             float64
	walked              float64 // how old what is refused has been, which others read as further tries
	dt, mark            float64 // d_t, and the delay past which arrivals are refused
	pool, credit, said  float64
	full                bool // some caller had its full credit out since the last update
	updated             float64
	gaps                hist    // for which callers have nothing here between two RPCs
	reap                float64 // idle connections are closed after it, 0 for never
	over                float64 // since when the delay has stood past the mark, 0 if it does not
	newest              bool    // the hold has stood full for a while
	limit               float64 // of RPCs on the cores
	beside              float64 // what else needs a core, of late: reading, new connections
	gauge               int     // where that gauge stands, -1 if there is none
	callLimit, nextCall float64 // calls at a time; when the next past the whole share may start
	callTook            hist
	callBest            float64 // the best median of late
	well                float64 // when a run last ended well, or the first one began
	hung                bool
	leaving             bool
	noticed, stop       float64
}

// tick is the time between looks at dues, gauges and the pool: far below any latency target, and 50 a
// second cost next to nothing. margin is kept before a due time: two looks, should one be late.
const tick, margin = 0.02, 2 * 0.02

// New starts the module of an app server that has just come up. What the charter lacks, or has at zero,
// gets the mildest meaning that keeps the rules.
func New(now float64, c rpc.Charter, do rpc.Actions) *Module {
	m := &Module{Charter: c, do: do, now: now, started: now, updated: now, halved: now}
	m.Machine.Cores = max(c.Machine.Cores, 1)
	m.Machine.RunFactor = max(c.Machine.RunFactor, 1)
	m.Rules.Crowd = max(c.Rules.Crowd, 1)
	if c.Machine.MemoryKB <= 0 {
		m.Machine.MemoryKB = math.Inf(1)
	}
	if c.Machine.Below != "one_for_all" {
		m.Machine.CallsOut = math.Inf(1) // no share is set for a tier of app servers
	} else if c.Machine.CallsOut <= 0 {
		m.Machine.CallsOut = 1
	}
	m.callLimit, m.callBest = m.cores(), math.Inf(1)
	m.gauge = slices.Index(c.Machine.Gauges, "on_cores")
	m.records = make([]record, len(c.Methods))
	m.Methods = slices.Clone(c.Methods)
	tightest := 60.0 // should no method have a latency target
	for k := range m.Methods {
		method := &m.Methods[k]
		if method.Deadline <= 0 {
			method.Deadline = math.Inf(1)
		}
		if method.Target <= 0 {
			method.Target = method.Deadline
		}
		tightest = min(tightest, method.Target)
	}
	m.dt = tightest / 6                     // a quarter made the incidents worse, an eighth the overload days
	m.mark = 2 * m.dt                       // the design's default
	m.limit, m.said = m.cores(), math.NaN() // the design's default; nothing yet
	m.pool = m.limit * float64(max(c.Machine.Callers, 1)) * m.warmth()
	for range 16 {
		m.gaps.add(3) // till more is known: all callers are new at first, so that few look like many
	}
	do.Health(true)
	m.publish()
	do.Wake(tick)
	return m
}

func (m *Module) cores() float64 { return float64(m.Machine.Cores) }

// warmth is the share of its speed that an app server has at the least while it comes up, 1 once warm.
func (m *Module) warmth() float64 {
	if !m.Machine.Cold || m.Rules.WarmIn <= 0 {
		return 1
	}
	return min(1, m.Rules.ColdAt+(1-m.Rules.ColdAt)*(m.now-m.started)/m.Rules.WarmIn)
}

// Arrive takes note of an RPC that has been read. further marks a further try, where callers mark them; due
// is 0 where they do not tell how long they wait; repeats is the RPC that this repeats, rpc.None or rpc.Gone.
func (m *Module) Arrive(now float64, i, method, from int, lay float64, further bool, due, kb float64,
	repeats int) {
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
	*w = work{method: method, caller: from, arrival: now - lay, asked: now - lay, due: due, kb: kb}
	if further {
		w.asked -= m.walked
		m.further++
	}
	if w.told = due > 0; !w.told {
		w.due = w.arrival + m.Methods[method].Deadline
	}
	if m.leaving {
		w.due = min(w.due, m.stop)
	}
	m.callers[from].heard = now
	if m.callers[from].out == 0 {
		m.gaps.add(now - m.callers[from].idle)
	}
	m.records[method].asked++
	m.arrived++
	m.move(i, held)
	m.full = m.full || float64(m.callers[from].out) >= m.credit
	pastGrace := m.leaving && w.arrival > m.noticed+m.Rules.Grace // rule 3: it is not run
	switch {
	case repeats != rpc.None && (pastGrace || now > w.due-margin):
		m.do.Abort(i) // the RPC that it repeats may have been run, so this is no refusal
		m.move(i, absent)
	case repeats >= 0 && m.rpcs[repeats].state == held:
		m.takeOver(i, repeats)
	case repeats != rpc.None:
		m.do.Follow(i) // a token that was run, or is not known any more, is never run again
		m.move(i, following)
	case pastGrace, now > w.due-margin, m.hopeless(w), w.kb*m.Machine.RunFactor > m.room(),
		m.Methods[method].Kind == rpc.Tokened && m.keyKB() > m.room()/2: // the other half is for work
		m.giveUp(i)
	default:
		m.remember(i)
		m.shed(i)
	}
	m.pump()
}

// takeOver puts a further try in the place of a held one: the caller has most likely given up on the
// earlier.
func (m *Module) takeOver(i, earlier int) {
	e, w := &m.rpcs[earlier], &m.rpcs[i]
	m.dropKey(e) // its entry goes over to the further try
	m.remember(i)
	m.do.PushBack(earlier, true, m.advice())
	arrival, asked := e.arrival, e.asked
	m.move(earlier, absent)
	w.arrival, w.asked = min(w.arrival, arrival), min(w.asked, asked)
}

// remember keeps the token of a held RPC, so that two held tries are known for one, until its window has
// passed.
func (m *Module) remember(i int) {
	w := &m.rpcs[i]
	if method := &m.Methods[w.method]; method.Kind == rpc.Tokened {
		w.key = m.now + method.Window + tick // the window counts from its arrival, which was before
		m.keys = append(m.keys, w.key)
		m.do.Remember(i, w.key-m.now)
	}
}

func (m *Module) dropKey(w *work) {
	if k := slices.Index(m.keys, w.key); k >= 0 {
		m.keys = slices.Delete(m.keys, k, k+1)
	}
	w.key = 0
}

// forget drops the token of an RPC that will never run.
func (m *Module) forget(i int) {
	if w := &m.rpcs[i]; w.key > 0 {
		m.do.Forget(i)
		m.dropKey(w)
	}
}

// shed refuses one RPC while the delay passes the mark, and as many as it takes while memory runs short.
// Which one goes by criticality over the share of its method that has lately been ok, so that no method
// starves; among equals it is the one that has just come.
func (m *Module) shed(i int) {
	for over := m.delay() > m.mark; len(m.hold) > 0 && (over || m.memory() > m.room()); over = false {
		least := m.hold[len(m.hold)-1]
		if m.rpcs[i].state == held {
			least = i
		}
		for _, j := range m.hold {
			if m.value(j) < m.value(least) {
				least = j
			}
		}
		m.refuse(least, m.swamped())
	}
}

func (m *Module) value(i int) float64 {
	// Below one in ten all methods are starved alike.
	method := m.rpcs[i].method
	r := &m.records[method]
	return m.Methods[method].Criticality / max((r.ok+1)/(r.asked+1), 0.1)
}

// swamped tells whether so many are turned away that another app server would most likely do the same. Then
// callers are asked not to go on through their lists: reading what comes straight back takes the cores. Three
// in ten: one in ten costs slow days, five in ten overload days. Where further tries are marked, as many of
// them must come too, as one that is weak alone should let callers go on; elsewhere it could harm that one.
func (m *Module) swamped() bool {
	return m.refused > 0.3*(m.arrived+4) && (!m.Clients.MarksRetry || m.further > 0.3*m.arrived)
}

// delay is d_m: the age of the oldest held RPC, reading wait included.
func (m *Module) delay() float64 {
	if len(m.hold) == 0 {
		return 0
	}
	return m.now - m.rpcs[m.hold[0]].arrival
}

// memory is what held and started RPCs and remembered tokens need. room leaves a twentieth for what is
// rounded on the way here.
func (m *Module) memory() float64 { return m.kb + m.keyKB() }
func (m *Module) keyKB() float64  { return float64(len(m.keys)) * m.Machine.EntryKB }
func (m *Module) room() float64   { return 0.95 * m.Machine.MemoryKB }

// survivable is how many started RPCs the cores can have at once without harm, fewer while cold. A tenth is
// left for work that comes back from its calls.
func (m *Module) survivable() float64 {
	return max(1, 0.9*m.cores()*(1+(m.Rules.Crowd-1)*m.warmth()))
}

// pump starts held RPCs while the limits leave room: oldest first, newest first once the hold has stood
// full for a while.
func (m *Module) pump() {
	for k := 0; k < len(m.hold); {
		on := m.count[running] + m.count[adrift]
		off := m.count[stalled] + m.count[calling] + m.count[closing]
		if float64(on+1) > m.limit || float64(on+off+1) > m.survivable() {
			return
		}
		i := m.hold[k]
		if m.newest {
			i = m.hold[len(m.hold)-1-k]
		}
		w := &m.rpcs[i]
		calls := w.method < len(m.Machine.Calls) && m.Machine.Calls[w.method]
		switch {
		case m.hopeless(w):
			m.giveUp(i)
		case m.memory()+w.kb*(m.Machine.RunFactor-1) > m.room(), calls && off >= waitsPerCore*m.Machine.Cores:
			k++
		default:
			w.began = m.now
			if on == 0 {
				m.well = m.now
			}
			m.do.Start(i)
			m.move(i, running)
		}
	}
}

// waitsPerCore bounds the RPCs that wait on calls, so that a silent dependency leaves the methods without
// calls their memory and their cores. One a core is many times what calls take while the dependency is
// well.
const waitsPerCore = 1

// goodUntil is when an answer stops being worth its full criticality.
func (m *Module) goodUntil(w *work) float64 {
	return min(w.asked+m.Methods[w.method].Target, w.due-margin)
}

// hopeless tells whether a held RPC would come too late even if it were started now. While half the cores
// are free of RPCs it is tried all the same, so that run times stay fresh and recovery is seen.
func (m *Module) hopeless(w *work) bool {
	until := m.goodUntil(w)
	if r := &m.records[w.method]; r.givenUp >= 4 {
		until = min(until, w.arrival+r.patience)
	}
	return m.now > until || m.count[running]+m.count[adrift] >= (m.Machine.Cores+1)/2 &&
		m.now+runMargin*m.records[w.method].late.median() > until
}

// runMargin: about two runs in three end within one and a half times the median. The median alone, or twice
// it, serves overload days worse on two deployments of three.
const runMargin = 1.5

// giveUp answers an RPC that can no longer be of use, at once, and takes its work off the cores if it can.
func (m *Module) giveUp(i int) {
	w := &m.rpcs[i]
	switch {
	case w.state == held:
		// Another app server may be quicker, unless most of the time is gone.
		m.refuse(i, m.swamped() || m.now-w.asked > m.Methods[w.method].Target/2)
		return
	case w.state != following && m.Methods[w.method].Kind == rpc.Idempotent:
		m.do.PushBack(i, true, m.advice())
	default:
		m.do.Abort(i)
	}
	m.unwind(i)
}

// refuse pushes back a held RPC, which has not been started.
func (m *Module) refuse(i int, last bool) {
	m.refused++
	if !last {
		m.walked += (m.now - m.rpcs[i].asked - m.walked) / 16
	}
	m.forget(i)
	m.do.PushBack(i, last, m.advice())
	m.move(i, absent)
}

// unwind lets go of an RPC that nobody awaits any more.
func (m *Module) unwind(i int) {
	w := &m.rpcs[i]
	switch w.state {
	case held, following:
		m.forget(i)
		m.move(i, absent)
	case running:
		// It took at least so long: else only the quick would be measured, and a slow spell not be seen.
		m.records[w.method].late.add(m.now - w.began)
		m.move(i, adrift)
		// A tokened RPC runs on: its repeat may ask for the outcome, and could not be run again.
		if m.Machine.Preemption != rpc.Unstoppable && m.Methods[w.method].Kind != rpc.Tokened {
			m.do.Stop(i)
		}
	case stalled, calling:
		if w.state == calling {
			m.called(w, true)
		}
		m.move(i, closing)
	}
}

// advice is when to come back: when the delay should be back at its target.
func (m *Module) advice() float64 {
	switch {
	case !m.Ceilings.RetryAfter:
		return 0
	case m.leaving:
		return m.Ceilings.MaxRetryAfter
	}
	return min(max(m.delay()-m.dt, 0), m.Ceilings.MaxRetryAfter)
}

// move makes every change of state and keeps the counts and lists that hang on it.
func (m *Module) move(i int, to state) {
	w := &m.rpcs[i]
	from := w.state
	m.count[from]--
	m.count[to]++
	m.kb += w.kb * (m.weight(to) - m.weight(from))
	if from.owed() && !to.owed() {
		if m.callers[w.caller].out--; m.callers[w.caller].out == 0 {
			m.callers[w.caller].idle = m.now
		}
	}
	w.state = to
	switch from {
	case absent:
		m.callers[w.caller].out++
	case held:
		k := slices.Index(m.hold, i)
		m.hold = slices.Delete(m.hold, k, k+1)
	case stalled:
		k := slices.Index(m.waiting, i)
		m.waiting = slices.Delete(m.waiting, k, k+1)
	}
	switch to {
	case held:
		k := len(m.hold)
		for k > 0 && m.rpcs[m.hold[k-1]].arrival > w.arrival {
			k--
		}
		m.hold = slices.Insert(m.hold, k, i)
	case stalled:
		m.waiting = append(m.waiting, i)
	case absent:
		m.do.Release(i)
	}
}

// weight is how many times its held size an RPC takes.
func (m *Module) weight(s state) float64 {
	switch s {
	case absent:
		return 0
	case held, following:
		return 1
	}
	return m.Machine.RunFactor
}

// Ended takes note of the end of a run, or of an RPC that followed another.
func (m *Module) Ended(now float64, i int, how rpc.Outcome, took float64) {
	m.now = now
	w := &m.rpcs[i]
	if w.state == absent || w.state == held {
		return
	}
	if how.NeverRan() {
		m.forget(i)
		if w.state == following { // what it repeats never ran, so it may itself
			m.remember(i)
			m.move(i, held)
			m.pump()
			return
		}
	}
	if w.state == calling {
		m.called(w, true)
	}
	if how == rpc.OK && w.state == running {
		r := &m.records[w.method]
		if now-w.arrival > 1.2*r.patience {
			r.givenUp = 0 // so they wait longer
		}
		r.late.add(took)
		m.well = now
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

// NeedsCall takes note that a running RPC waits to place a call.
func (m *Module) NeedsCall(now float64, i int) {
	m.now = now
	switch w := &m.rpcs[i]; w.state {
	case running:
		w.tries = 0
		m.move(i, stalled)
	case adrift:
		m.move(i, closing)
	}
	m.place()
	m.pump()
}

// place starts calls, longest waiting first, within this app server's share of what the dependency survives,
// abandoned calls included. What the share is past a whole number is kept as a mean: one call more at times,
// with gaps between, and with a patience that the span can bear should it stay silent.
func (m *Module) place() {
	m.lingers = slices.DeleteFunc(m.lingers, func(end float64) bool { return end <= m.now })
	whole, part := math.Modf(m.Machine.CallsOut)
	for len(m.waiting) > 0 {
		out := float64(m.count[calling] + len(m.lingers) + 1)
		extra := out > whole
		if out > m.callLimit || extra && (out > whole+1 || part == 0 || m.now < m.nextCall) {
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
			left = min(left, max(part*m.Machine.CallsSpan-m.Machine.Linger, margin))
			m.nextCall = math.Inf(1) // until this one has ended
		}
		w.tries++
		w.dialed = m.now
		m.do.Call(i, left)
		m.move(i, calling)
	}
}

// called follows the layer below: calls that take three times the best median, or are abandoned, cut the
// calls at a time, others let them grow. The share is what it survives, not where it works well: crowded, it
// slows down and everybody waits. A twentieth and a tenth give about three calls at a time while one in
// twenty is that long; harder cuts starved the methods that call.
func (m *Module) called(w *work, abandoned bool) {
	took := m.now - w.dialed
	if abandoned { // it stays in the dependency's hands for a while
		took += m.Machine.Linger
		m.lingers = append(m.lingers, m.now+m.Machine.Linger)
	} else {
		m.callTook.add(took)
	}
	if median := m.callTook.median(); median > 0 {
		m.callBest = min(m.callBest, median)
	}
	if abandoned || took > 3*m.callBest {
		m.callLimit = max(0.95*m.callLimit, 1)
	} else {
		m.callLimit = min(m.callLimit+0.1, m.cores())
	}
	if _, part := math.Modf(m.Machine.CallsOut); w.extra {
		w.extra = false
		m.nextCall = m.now + took*(1/part-1)
	}
}

// Called takes note of how a call ended. Quick repeats do not outlast most troubles, so three tries are
// all; a call that may have taken effect is repeated only for an idempotent RPC.
func (m *Module) Called(now float64, i int, how rpc.Outcome) {
	m.now = now
	if w := &m.rpcs[i]; w.state == calling {
		m.move(i, stalled)
		m.called(w, how == rpc.TimedOut)
		again := how.NeverRan() || m.Methods[w.method].Kind == rpc.Idempotent
		if how == rpc.OK {
			m.move(i, running)
		} else if !again || w.tries >= 3 {
			m.giveUp(i)
		}
	}
	m.place()
	m.pump()
}

// Leave takes note that the process will be stopped at the given time. All is answered half a second
// before, should the cores stand still for a moment then.
func (m *Module) Leave(now, at float64) {
	m.now = now
	m.leaving, m.noticed, m.stop = true, now, max(now, at-0.5)
	for i := range m.rpcs {
		m.rpcs[i].due = min(m.rpcs[i].due, m.stop)
	}
	m.do.Health(false)
	m.publish()
	m.do.Log(fmt.Sprintf("leaving: %d held, %d running", len(m.hold), m.count[running]))
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
	if now-m.updated >= m.dt { // a round trip is about as long as the delay that is steered
		m.update()
		m.checkHealth()
		m.tidy()
	}
	m.place()
	m.pump()
	m.do.Wake(tick)
}

// What is measured counts half after a span, so that a trouble is soon learnt and forgotten.
const span = 2.0

func (m *Module) halve() {
	m.halved = m.now
	m.callTook.halve()
	m.callBest *= 1.02 // forgotten over minutes
	m.arrived, m.refused, m.further = m.arrived/2, m.refused/2, m.further/2
	for k := range m.records {
		r := &m.records[k]
		r.asked, r.ok = r.asked/2, r.ok/2
		r.late.halve()
	}
}

// update is the design's: additive growth below d_t unless no caller has its full credit out, a cut by the
// overshoot, at most half, above.
func (m *Module) update() {
	const alpha, beta = 0.01, 0.5 // the design's defaults
	m.updated = m.now
	d, heard := m.delay(), m.heard()
	if d > m.dt {
		m.pool *= max(1-beta*(d-m.dt)/m.dt, 0.5)
	} else if m.full {
		m.pool += max(alpha*heard, 1)
	}
	// What runs at once, and half as much held for the gaps, is bearable whatever the delay says: below
	// that callers decline RPCs while cores idle. Once the limit costs an overload day 0.03, three times it
	// more.
	m.pool = max(m.pool, 1.5*m.limit)
	m.full = false
	m.publish()
	if d <= m.mark {
		m.over = 0
	} else if m.over == 0 {
		m.over = m.now
	}
	if newest := m.over > 0 && m.now-m.over > fullFor*m.dt; newest != m.newest {
		m.newest = newest
		m.do.Log(fmt.Sprintf("hold full for a while: %v, %d held", newest, len(m.hold)))
	}
}

// fullFor is how many d_t the delay stands past the mark before the newest start first: one latency target.
const fullFor = 6

// heard counts the callers heard within a second; before any, it is those that there were at start.
func (m *Module) heard() float64 {
	n := 0
	for _, c := range m.callers {
		if m.now-c.heard <= 1 {
			n++
		}
	}
	if n == 0 {
		n = max(m.Machine.Callers, 1)
	}
	return float64(n)
}

// publish says the free credit, which goes out with every answer, in the terms of the site's signal: as it
// is, or as the share of what is in hand that the pool covers. One that leaves wants nothing past the grace.
func (m *Module) publish() {
	inHand := float64(m.count[held] + m.count[running] + m.count[stalled] + m.count[calling])
	cover := min(1, m.pool/max(inHand, 1))
	m.credit = max(1, math.Ceil(m.pool/m.heard()))
	if m.leaving && m.now >= min(m.noticed+m.Rules.Grace, m.stop) {
		m.credit, cover = 0, 0
	}
	value, heeded := map[rpc.Signal]float64{rpc.Allowance: m.credit, rpc.Weight: cover,
		rpc.Floor: 1 - cover}[m.Machine.Signal]
	if heeded && value != m.said {
		m.said = value
		m.do.Publish(value)
	}
}

// checkHealth says so to health checks while cores are taken and nothing has ended well for two of the
// tightest latency targets: work that hangs, while reading goes on and draws in more. A fleet that hangs as
// a whole loses nothing by an empty list. It could harm where most RPCs take longer; the first to end well
// takes it back.
func (m *Module) checkHealth() {
	hung := m.count[running]+m.count[adrift] > 0 && m.now-m.well > 12*m.dt
	if hung != m.hung && !m.leaving {
		m.hung = hung
		m.do.Health(!hung)
		m.do.Log(fmt.Sprintf("work hangs: %v", hung))
	}
}

// tidy closes connections that have been idle for so long that keeping them costs more than the next one that
// their caller opens. Guards against a table that many callers fill, each with one RPC in minutes: those with
// work find no room, and a full table takes the cores. While connecting and reading ask for six times the
// cores it keeps them: then a full table holds a storm of tries off. It could harm where opening is dear.
func (m *Module) tidy() {
	const worthIdle = 12.0 // seconds that a new one costs: 8 and 20 lose on a quiet or on full-size days
	best, reap, kept, left := math.Inf(1), 0.0, 0.0, m.gaps.sum
	for k, n := range m.gaps.bins[:len(m.gaps.bins)-1] {
		after := 0.02 * math.Pow(1.5, float64(k))
		left -= n
		kept += n * after
		if cost := left*(worthIdle+after) + kept; cost < best {
			best, reap = cost, after
		}
	}
	if m.gaps.sum > 128 {
		m.gaps.halve()
	}
	if m.beside > 6*m.cores() {
		reap = m.Machine.KeepAlive
	}
	if m.Machine.KeepAlive > 0 && reap != m.reap {
		m.reap = reap
		m.do.Reap(min(reap, m.Machine.KeepAlive))
	}
}

// adjust follows the cores: the limit grows fast while some idle and work waits, and falls back to one RPC a
// core, as more would only slow each other.
func (m *Module) adjust(gauges []float64) {
	on := float64(m.count[running] + m.count[adrift])
	if m.gauge >= 0 && m.gauge < len(gauges) {
		on = gauges[m.gauge]
	}
	rise := on - float64(m.count[running]+m.count[adrift]) - m.beside
	m.beside += max(rise, 0.1*rise) * tick // up within a second, down over ten
	if len(m.hold) > 0 {
		m.limit += max(m.cores()-on, 0) * gain * tick
	}
	m.limit += (m.cores() - m.limit) * fade * tick
	m.limit = max(1, min(m.limit, 2*m.cores(), m.survivable())) // 3 a core gains nothing
}

// gain fills an idle core within a tenth of a second; fade is over the time that a few RPCs take.
const gain, fade = 10, 0.2

// sweep answers what has run out of time. Work that has lost its worth is taken off the cores where it can be
// and other work waits for them.
func (m *Module) sweep() {
	for i := range m.rpcs {
		w := &m.rpcs[i]
		lost := w.state.owed() && m.now > m.goodUntil(w) && m.Methods[w.method].LateShare == 0
		if w.state.owed() && (m.now > w.due-margin || w.state == held && m.hopeless(w) ||
			lost && (w.state == stalled || w.state == calling || w.state == running &&
				len(m.hold) > 0 && m.Machine.Preemption != rpc.Unstoppable)) {
			m.giveUp(i)
		}
	}
}

// hist counts times in a few coarse bins, each half as long again as the one before, from 20 ms to 30 s.
type hist struct {
	bins [20]float64
	sum  float64
}

func (h *hist) add(t float64) {
	k := int(math.Ceil(math.Log(min(max(t, 0.02), 60)/0.02) / math.Log(1.5)))
	h.bins[min(k, len(h.bins)-1)]++
	h.sum++
}

func (h *hist) halve() {
	for k := range h.bins {
		h.bins[k] /= 2
	}
	h.sum /= 2
}

// median is 0 while too little is known, so that no lasting judgement hangs on old figures.
func (h *hist) median() float64 {
	sum := 0.0
	for k, n := range h.bins {
		if sum += n; h.sum >= 2 && sum >= h.sum/2 {
			return 0.02 * math.Pow(1.5, float64(k)-0.5)
		}
	}
	return 0
}
