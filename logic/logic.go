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
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math"
	"slices"

	"valveglade/rpc"
)

// state is where an RPC stands; only move changes it.
type state uint8

const (
	absent    state = iota // not in hand
	held                   // read, not started
	running                // started, an answer is owed
	stalled                // started, off the cores until it may place its call
	calling                // started, off the cores until its call ends
	following              // waits for the outcome of the RPC that it repeats
	adrift                 // no answer is owed any more, its work is still on the cores
	closing                // no answer is owed any more, its call is being wound up
	states
)

// work is one RPC in hand.
type work struct {
	state            state
	method, caller   int
	arrival, due, kb float64
	key              float64 // until when its token is remembered, 0 if it is not
	tries            int     // calls placed for the need in hand
	began            float64 // when it was started
}

// caller is one caller as this app server knows it.
type caller struct {
	heard float64 // when it last sent something
	out   int     // its RPCs in hand here that are not answered
}

// Module decides for one app server.
type Module struct {
	do       rpc.Actions
	c        rpc.Charter
	now      float64
	started  float64
	seed     uint64
	draws    uint64
	rpcs     []work
	count    [states]int
	hold     []int // held RPCs, oldest first
	waiting  []int // stalled RPCs, longest waiting first
	kb       float64
	keys     []float64 // ends of remembered tokens
	callers  []caller
	runs     []hist // run times of late, by method
	usual    []hist // run times over a longer span, by method
	looks    int    // halvings of the former
	served   []float64
	asked    []float64
	arrived  float64 // arrivals and refusals of late
	refused  float64
	decayed  float64
	target   float64 // d_t
	mark     float64
	pool     float64
	credit   float64
	full     bool // some caller had its full credit out since the last update
	updated  float64
	readWait float64 // reading wait of the last arrivals
	readAt   float64
	refusing float64 // since when arrivals are refused without a break, 0 if they are not
	limit    float64 // of RPCs on the cores
	use      float64 // of the cores, of late
	gauge    int     // where the gauge stands, -1 if there is none
	lingers  []float64
	meter    meter
	slow     bool // a slow spell has been seen, and maybe said
	leaving  bool
	noticed  float64
	stop     float64
}

// New starts the module of an app server that has just come up.
func New(now float64, seed uint64, c rpc.Charter, do rpc.Actions) *Module {
	// A charter that lacks a figure gets the mildest meaning that keeps the rules.
	c.Machine.Cores = max(c.Machine.Cores, 1)
	c.Machine.RunFactor = max(c.Machine.RunFactor, 1)
	if c.Machine.MemoryKB <= 0 {
		c.Machine.MemoryKB = math.Inf(1)
	}
	c.Rules.Crowd = max(c.Rules.Crowd, 1)
	m := &Module{do: do, c: c, now: now, seed: seed, started: now, updated: now, decayed: now}
	m.gauge = slices.Index(c.Machine.Gauges, "core_use")
	m.runs, m.usual = make([]hist, len(c.Methods)), make([]hist, len(c.Methods))
	m.served, m.asked = make([]float64, len(c.Methods)), make([]float64, len(c.Methods))
	tightest := math.Inf(1)
	for _, method := range c.Methods {
		if method.Target > 0 {
			tightest = min(tightest, method.Target)
		}
	}
	if math.IsInf(tightest, 1) {
		tightest = 1
	}
	m.target = tightest / 6 // d_t; a quarter made the incidents worse, an eighth the overload days
	m.mark = 2 * m.target   // the design's default
	m.limit = float64(c.Machine.Cores)
	m.pool = m.limit * float64(max(c.Machine.Callers, 1))
	m.meter = meter{span: max(c.Machine.CallsSpan, 1), at: now}
	m.meter.slot = int(now / m.meter.span * 10)
	m.credit = -1 // nothing said yet
	do.Health(true)
	m.publish()
	do.Wake(tick)
	return m
}

// tick is the time between looks at dues, gauges and the pool: far below any latency target, and 50 a second
// cost next to nothing.
const tick = 0.02

// Arrive takes note of an RPC that has been read. due is 0 where callers do not tell how long they wait.
func (m *Module) Arrive(now float64, i, method, from int, lay, due, kb float64, repeats int) {
	m.now = now
	for len(m.rpcs) <= i {
		m.rpcs = append(m.rpcs, work{})
	}
	for len(m.callers) <= from {
		m.callers = append(m.callers, caller{heard: -1})
	}
	if method >= len(m.c.Methods) { // nothing is known of it, so nothing may be run
		m.do.PushBack(i, false, 0)
		m.do.Release(i)
		return
	}
	w := &m.rpcs[i]
	*w = work{method: method, caller: from, arrival: now - lay, due: due, kb: kb}
	if due <= 0 {
		w.due = w.arrival + m.c.Methods[method].Deadline
	}
	if m.leaving {
		w.due = min(w.due, m.stop)
	}
	m.callers[from].heard = now
	m.readWait, m.readAt = lay, now
	m.asked[method]++
	m.arrived++
	m.move(i, held)
	if float64(m.callers[from].out) >= m.credit {
		m.full = true
	}
	pastGrace := m.leaving && w.arrival > m.noticed+m.c.Rules.Grace // rule 3: it is not run
	switch {
	case repeats != rpc.None && (pastGrace || now > w.due-margin):
		m.do.Abort(i) // the RPC that it repeats may have been run, so this is no refusal
		m.move(i, absent)
	case repeats != rpc.None && !m.takeOver(i, repeats):
		m.do.Follow(i)
		m.move(i, following)
	case repeats != rpc.None:
	case pastGrace, w.kb*m.c.Machine.RunFactor > m.room():
		m.giveUp(i)
	case m.c.Methods[method].Kind == rpc.Tokened && m.keyKB() > m.room()/2:
		m.giveUp(i) // remembered tokens leave the other half for work
	case now > w.due-margin, m.hopeless(w):
		m.giveUp(i)
	default:
		m.remember(i)
		m.shed(i)
	}
	m.pump()
}

// takeOver puts a further try in the place of the one it repeats, where that has not been started: the
// caller has most likely given up on the earlier try. A token that was run, or that is not known any more, is
// never run again; such a try follows the one that ran.
func (m *Module) takeOver(i, earlier int) bool {
	if earlier < 0 || m.rpcs[earlier].state != held {
		return false
	}
	e, w := &m.rpcs[earlier], &m.rpcs[i]
	w.arrival = min(w.arrival, e.arrival)
	m.forgetCount(e)
	m.remember(i)
	m.do.PushBack(earlier, true, m.advice())
	m.move(earlier, absent)
	return true
}

// remember keeps the token of a held RPC until no repeat of it can be owed the same effect any more.
func (m *Module) remember(i int) {
	w := &m.rpcs[i]
	if method := m.c.Methods[w.method]; method.Kind == rpc.Tokened && w.key == 0 {
		w.key = m.now + method.Window + tick // from now: its window starts when it came, which was before
		m.keys = append(m.keys, w.key)
		m.do.Remember(i, w.key-m.now)
	}
}

// forget drops the token of an RPC that will never run.
func (m *Module) forget(i int) {
	if w := &m.rpcs[i]; w.key > 0 {
		m.do.Forget(i)
		m.forgetCount(w)
	}
}

func (m *Module) forgetCount(w *work) {
	if k := slices.Index(m.keys, w.key); k >= 0 {
		m.keys = slices.Delete(m.keys, k, k+1)
	}
	w.key = 0
}

// shed refuses somebody while the design's mark is passed or memory runs short. Who it is goes by
// criticality over what has lately been served of the method, so that no method starves; among equals it is
// the one that has just come.
func (m *Module) shed(i int) {
	over := m.delay() > m.mark
	if over && m.refusing == 0 {
		m.refusing = m.now
	}
	if !over {
		m.refusing = 0
	}
	for over || m.memory() > m.room() {
		least := i
		if m.rpcs[i].state != held {
			least = m.hold[0]
		}
		for _, j := range m.hold {
			if m.value(j) < m.value(least) {
				least = j
			}
		}
		m.refuse(least, m.swamped())
		over = false
		if len(m.hold) == 0 {
			return
		}
	}
}

// swamped tells whether so many are turned away that another app server would most likely do the same. Then
// callers are asked not to go on through their lists: reading what comes straight back takes the cores.
func (m *Module) swamped() bool { return m.refused > 0.3*(m.arrived+4) && !m.ailing() }

// ailing tells whether work takes twice as long as it used to here. Overload alone does not do that, as the
// cores are kept from being crowded; so the trouble is this app server's own and others may well have room.
func (m *Module) ailing() bool { return m.slowness() > 2 }

func (m *Module) slowness() float64 {
	late, usual := 0.0, 0.0
	for k := range m.runs {
		if r, u := m.runs[k].quantile(0.5), m.usual[k].quantile(0.5); r > 0 && u > 0 {
			late += m.runs[k].sum * r
			usual += m.runs[k].sum * u
		}
	}
	return late / max(usual, 1e-9)
}

func (m *Module) timed(method int, took float64) {
	m.runs[method].add(took)
	m.usual[method].add(took)
}

// usualSpan is how many spans of what is measured of late make up what is usual: half a minute, longer than
// most slow spells, so that they stand out.
const usualSpan = 16

func (m *Module) value(i int) float64 {
	// One in ten served is as low as a method's share is told apart; below that all are starved alike.
	method := m.rpcs[i].method
	return m.c.Methods[method].Criticality / max((m.served[method]+1)/(m.asked[method]+1), 0.1)
}

// delay is d_m: the age of the oldest held RPC, reading wait included. While nothing is held it is the reading
// wait of the latest arrival.
func (m *Module) delay() float64 {
	d := 0.0
	if m.now-m.readAt < m.target {
		d = m.readWait
	}
	if len(m.hold) > 0 {
		d = max(d, m.now-m.rpcs[m.hold[0]].arrival)
	}
	return d
}

// memory is what held and running RPCs and remembered tokens need.
func (m *Module) memory() float64 { return m.kb + m.keyKB() }

func (m *Module) keyKB() float64 { return float64(len(m.keys)) * m.c.Machine.EntryKB }

// room leaves a twentieth for what is rounded on the way here and for what else lives in the process.
func (m *Module) room() float64 { return 0.95 * m.c.Machine.MemoryKB }

// survivable is how many started RPCs the cores can have at once without harm, fewer while cold. A tenth is
// left for what the smoothing of the rule's mean does not show.
func (m *Module) survivable() float64 {
	share := 1.0
	if m.c.Machine.Cold && m.c.Rules.WarmIn > 0 {
		share = min(1, m.c.Rules.ColdAt+(1-m.c.Rules.ColdAt)*(m.now-m.started)/m.c.Rules.WarmIn)
	}
	return max(1, 0.9*float64(m.c.Machine.Cores)*(1+(m.c.Rules.Crowd-1)*share))
}

// pump starts held RPCs while the limits leave room: oldest first, and newest first once the hold has stood
// full for a while.
func (m *Module) pump() {
	newest := m.refusing > 0 && m.now-m.refusing > patience*m.target
	for k := 0; k < len(m.hold); {
		started := m.count[running] + m.count[adrift]
		off := m.count[stalled] + m.count[calling] + m.count[closing]
		if float64(started+1) > math.Floor(m.limit) || float64(started+off+1) > m.survivable() {
			return
		}
		at := k
		if newest {
			at = len(m.hold) - 1 - k
		}
		i := m.hold[at]
		w := &m.rpcs[i]
		switch {
		case m.hopeless(w):
			m.giveUp(i)
		case m.memory()+w.kb*(m.c.Machine.RunFactor-1) > m.room(),
			m.calls(w.method) && off >= waitsPerCore*m.c.Machine.Cores:
			k++
		default:
			w.began = m.now
			m.do.Start(i)
			m.move(i, running)
		}
	}
}

// patience is how many d_t the hold stands full before the newest goes first: a full latency target.
const patience = 4

// waitsPerCore bounds the RPCs that wait on calls. They hold memory and come back to the cores by themselves.
const waitsPerCore = 1

func (m *Module) calls(method int) bool {
	return method < len(m.c.Machine.Calls) && m.c.Machine.Calls[method]
}

// goodUntil is when an answer stops being worth anything to the caller.
func (m *Module) goodUntil(w *work) float64 {
	return min(w.arrival+m.c.Methods[w.method].Target, w.due-margin)
}

// margin is kept before a due time: two looks, should one be late.
const margin = 2 * tick

// hopeless tells whether a held RPC would come too late even if it were started now.
// With idle cores it is tried all the same, so that the run times stay fresh and recovery is seen.
func (m *Module) hopeless(w *work) bool {
	if m.now > m.goodUntil(w) {
		return true
	}
	return m.count[running]+m.count[adrift] >= m.c.Machine.Cores/2 && m.now+m.runs[w.method].quantile(0.5) > m.goodUntil(w)
}

// giveUp answers an RPC that can no longer be of use, at once, and takes its work off the cores if it can.
func (m *Module) giveUp(i int) {
	w := &m.rpcs[i]
	switch w.state {
	case held:
		// Another app server may be quicker, unless most of the time is gone.
		m.refuse(i, m.swamped() || m.now-w.arrival > m.c.Methods[w.method].Target/2)
	case following:
		m.do.Abort(i)
		m.move(i, absent)
	case running, stalled, calling:
		if m.c.Methods[w.method].Kind == rpc.Idempotent {
			m.do.PushBack(i, true, m.advice())
		} else {
			m.do.Abort(i)
		}
		m.unwind(i)
	}
}

// unwind lets go of the work of an RPC that nobody awaits. A tokened one runs on: its repeat may ask for the
// outcome, and could not be run again.
func (m *Module) unwind(i int) {
	w := &m.rpcs[i]
	// It took at least so long: without this only the quick would be measured, and a slow spell not be seen.
	m.timed(w.method, m.now-w.began)
	if w.state == stalled || w.state == calling {
		m.move(i, closing)
		return
	}
	m.halt(w, i)
	m.move(i, adrift)
}

func (m *Module) halt(w *work, i int) {
	if m.c.Machine.Preemption != rpc.Unstoppable && m.c.Methods[w.method].Kind != rpc.Tokened {
		m.do.Stop(i)
	}
}

// refuse pushes back a held RPC that has not been started.
func (m *Module) refuse(i int, last bool) {
	m.refused++
	m.forget(i)
	m.do.PushBack(i, last, m.advice())
	m.move(i, absent)
}

// advice is when to come back: when the delay should be back at its target.
func (m *Module) advice() float64 {
	switch {
	case !m.c.Ceilings.RetryAfter:
		return 0
	case m.leaving:
		return m.c.Ceilings.MaxRetryAfter
	}
	return min(max(m.delay()-m.target, 0), m.c.Ceilings.MaxRetryAfter)
}

// move makes every change of state and keeps the counts that hang on it.
func (m *Module) move(i int, to state) {
	w := &m.rpcs[i]
	from := w.state
	if from == to {
		return
	}
	m.count[from]--
	m.count[to]++
	m.kb += w.kb * (m.weight(to) - m.weight(from))
	m.callers[w.caller].out += owed(to) - owed(from)
	w.state = to
	switch from {
	case held:
		k := slices.Index(m.hold, i)
		m.hold = slices.Delete(m.hold, k, k+1)
	case stalled:
		k := slices.Index(m.waiting, i)
		m.waiting = slices.Delete(m.waiting, k, k+1)
	case calling:
		if to != running { // an abandoned call stays in the dependency's hands for a while
			m.lingers = append(m.lingers, m.now+m.c.Machine.Linger)
		}
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

func (m *Module) weight(s state) float64 {
	switch s {
	case absent:
		return 0
	case held, following:
		return 1
	}
	return m.c.Machine.RunFactor
}

func owed(s state) int {
	switch s {
	case held, running, stalled, calling, following:
		return 1
	}
	return 0
}

// Ended takes note of the end of a run, or of an RPC that followed another.
func (m *Module) Ended(now float64, i int, how rpc.Outcome, took float64) {
	m.now = now
	w := &m.rpcs[i]
	if w.state == absent || w.state == held {
		return
	}
	if how == rpc.OK && w.state == running {
		m.timed(w.method, took)
		if now <= w.arrival+m.c.Methods[w.method].Target {
			m.served[w.method]++
		}
	}
	if how != rpc.OK && how != rpc.Error && owed(w.state) > 0 && w.state != following {
		m.do.Abort(i) // it was stopped with its answer still owed
	}
	m.move(i, absent)
	m.pump()
}

// CallerGone takes note that nobody awaits an RPC any more.
func (m *Module) CallerGone(now float64, i int) {
	m.now = now
	switch m.rpcs[i].state {
	case held:
		m.forget(i)
		m.move(i, absent)
	case following:
		m.move(i, absent)
	case running, stalled, calling:
		m.unwind(i)
	}
	m.pump()
}

// NeedsCall takes note that a running RPC waits to place a call.
func (m *Module) NeedsCall(now float64, i int) {
	m.now = now
	if w := &m.rpcs[i]; w.state == running {
		w.tries = 0
		m.move(i, stalled)
	} else if w.state == adrift {
		m.move(i, closing)
	}
	m.place()
	m.pump()
}

// place starts calls, longest waiting first, within this app server's share of what the dependency survives.
// The share is a mean that counts abandoned calls too; one below 1 is kept by leaving gaps.
func (m *Module) place() {
	m.lingers = slices.DeleteFunc(m.lingers, func(end float64) bool { return end <= m.now })
	out := m.count[calling] + len(m.lingers)
	m.meter.note(m.now, float64(out))
	share := m.c.Machine.CallsOut
	for len(m.waiting) > 0 {
		if m.c.Machine.Below == "one_for_all" && (float64(out+1) > max(1, share) || m.meter.mean() > callShare*share) {
			return
		}
		i := m.waiting[0]
		w := &m.rpcs[i]
		left := m.goodUntil(w) - m.now
		if left <= 0 {
			m.giveUp(i)
			continue
		}
		w.tries++
		m.do.Call(i, left)
		m.move(i, calling)
		out++
		m.meter.note(m.now, float64(out))
	}
}

// callShare of the survivable mean is used: calls in hand go on after the meter has been read.
const callShare = 0.8

// Called takes note of how a call ended. One that may have taken effect is repeated only for idempotent RPCs.
func (m *Module) Called(now float64, i int, how rpc.Outcome, took float64) {
	m.now = now
	if w := &m.rpcs[i]; w.state == calling {
		again := how.NeverRan() || m.c.Methods[w.method].Kind == rpc.Idempotent
		switch {
		case how == rpc.OK:
			m.move(i, running)
		case again && w.tries < callTries && now < m.goodUntil(w):
			m.move(i, stalled)
		default:
			m.move(i, stalled)
			m.do.Abort(i)
			m.move(i, closing)
		}
	}
	m.place()
	m.pump()
}

// callTries: a call that failed three times running meets a trouble that outlasts quick repeats.
const callTries = 3

// Leave takes note that the process will be stopped at the given time.
func (m *Module) Leave(now, at float64) {
	m.now = now
	m.leaving, m.noticed = true, now
	// All is answered well before the stop, should the cores stand still for a moment.
	m.stop = max(now, at-0.5)
	for i := range m.rpcs {
		m.rpcs[i].due = min(m.rpcs[i].due, m.stop)
	}
	m.do.Health(false)
	m.publish()
	m.do.Log(fmt.Sprintf("leaving: %d held, %d started", len(m.hold), m.count[running]+m.count[stalled]+m.count[calling]))
	m.sweep()
}

// Tick looks at the gauges, the dues and the pool.
func (m *Module) Tick(now float64, gauges []float64) {
	m.now = now
	m.keys = slices.DeleteFunc(m.keys, func(end float64) bool { return end <= now })
	if now-m.decayed > memorySpan {
		m.decayed = now
		m.looks++
		m.arrived, m.refused = m.arrived/2, m.refused/2
		for k := range m.runs {
			m.runs[k].halve()
			if m.looks%usualSpan == 0 {
				m.usual[k].halve()
			}
			m.served[k] /= 2
			m.asked[k] /= 2
		}
	}
	m.sweep()
	m.adjust(gauges)
	if now-m.updated >= m.target { // a round trip is about as long as the delay that is steered
		m.updated = now
		m.update()
	}
	m.place()
	m.pump()
	m.do.Wake(tick)
}

// memorySpan: what was measured counts half after this long, so that a trouble is soon learnt and forgotten.
const memorySpan = 2.0

// update is the design's: additive growth below d_t, a cut by the overshoot, at most half, above.
func (m *Module) update() {
	const alpha, beta = 0.01, 0.5 // the design's defaults
	heard := 0
	for _, c := range m.callers {
		if c.out > 0 || m.now-c.heard <= 1 {
			heard++
		}
	}
	d := m.delay()
	if d > m.target {
		m.pool *= max(1-beta*(d-m.target)/m.target, 0.5)
	} else if m.full {
		step := max(alpha*float64(heard), 1)
		if len(m.hold) == 0 && m.use < idle {
			step = max(step, float64(heard))
		}
		m.pool += step
	}
	// What runs at once, and half as much held for the gaps, is bearable whatever the delay says: below that
	// callers decline RPCs while cores idle. Once the limit costs an overload day 0.03, three times it 0.05 to 0.1.
	m.pool = max(m.pool, 1.5*m.limit)
	m.full = false
	m.checkHealth()
	m.publish()
}

// checkHealth says so to health checks while work takes three times what is usual; at twice, overload days lose
// by it. A fleet that is slow as a whole must not empty the list, so only every second app server speaks up, by
// a draw for each spell. One that is avoided runs little, forgets its slow runs and is well again.
func (m *Module) checkHealth() {
	slow := m.slowness() > 3
	if slow && !m.slow && !m.leaving && m.chance() < 0.5 {
		m.do.Health(false)
		m.do.Log(fmt.Sprintf("slow: work takes %.1f times the usual, health says so", m.slowness()))
	}
	if !slow && m.slow && !m.leaving {
		m.do.Health(true)
		m.do.Log("slow: over")
	}
	m.slow = slow
}

// chance draws a number from 0 to 1.
func (m *Module) chance() float64 {
	m.draws++
	var b [16]byte
	binary.BigEndian.PutUint64(b[:], m.draws)
	binary.BigEndian.PutUint64(b[8:], m.seed)
	h := fnv.New64a()
	h.Write(b[:])
	return float64(h.Sum64()>>11) / (1 << 53)
}

// idle is the use of the cores under which a caller that is out of credit is the bottleneck. Then the step is a
// whole credit for each caller: a hot caller stays capped otherwise, while the others' credits lie unused.
const idle = 0.9

// publish says the free credit, which goes out with every answer, in the terms of the site's signal.
func (m *Module) publish() {
	heard := 0
	for _, c := range m.callers {
		if m.now-c.heard <= 1 {
			heard++
		}
	}
	if heard == 0 {
		heard = max(m.c.Machine.Callers, 1)
	}
	credit := max(1, math.Ceil(m.pool/float64(heard)))
	if m.leaving {
		credit = 0 // nothing more is wanted here
	}
	if credit == m.credit {
		return
	}
	m.credit = credit
	spare := 1.0 // how much of what is in hand the pool covers
	if inHand := m.count[held] + m.count[running] + m.count[stalled] + m.count[calling]; inHand > 0 {
		spare = min(1, m.pool/float64(inHand))
	}
	if m.leaving {
		spare = 0
	}
	switch m.c.Machine.Signal {
	case rpc.Allowance:
		m.do.Publish(credit)
	case rpc.Weight:
		m.do.Publish(spare)
	case rpc.Floor:
		m.do.Publish(0.9 * (1 - spare))
	}
}

// adjust follows the cores: the limit grows while they idle and work waits, and shrinks while they do not idle at
// all, which more RPCs on them would only slow.
func (m *Module) adjust(gauges []float64) {
	cores := float64(m.c.Machine.Cores)
	m.use = min(float64(m.count[running]+m.count[adrift])/cores, 1)
	if m.gauge >= 0 && m.gauge < len(gauges) {
		m.use = gauges[m.gauge]
	}
	if m.use > busy || len(m.hold) > 0 {
		m.limit += cores * (busy - m.use) * gain * tick
	}
	m.limit = min(max(m.limit, cores), 2*cores, m.survivable())
}

// busy is the use of the cores that the limit aims at: with disk waits, more never quite comes about.
// gain is how many times the gap is added in a second, a few times the half second over which use is measured.
const busy, gain = 0.97, 2

// sweep answers what has run out of time.
func (m *Module) sweep() {
	again := m.now-m.updated >= m.target
	for i := range m.rpcs {
		w := &m.rpcs[i]
		switch {
		case w.state == adrift && again:
			m.halt(w, i) // a stop has no effect while the cores stand still
		case owed(w.state) == 0:
		case m.now > w.due-margin:
			m.giveUp(i)
		case w.state == held && m.hopeless(w):
			m.giveUp(i)
		case w.state == running && len(m.hold) > 0 && m.now > m.goodUntil(w) &&
			m.c.Methods[w.method].LateShare == 0 && m.c.Machine.Preemption != rpc.Unstoppable:
			m.giveUp(i)
		}
	}
}

// hist counts times in a few coarse bins, each half as long again as the one before, from 20 ms to 9 s.
type hist struct {
	bins [16]float64
	sum  float64
}

func (h *hist) add(t float64) {
	k := int(math.Ceil(math.Log(max(t, 0.02)/0.02) / math.Log(1.5)))
	h.bins[min(k, len(h.bins)-1)]++
	h.sum++
}

func (h *hist) halve() {
	for k := range h.bins {
		h.bins[k] /= 2
	}
	h.sum /= 2
}

// quantile is 0 while too little is known, so that no lasting judgement hangs on old figures.
func (h *hist) quantile(q float64) float64 {
	if h.sum < 2 {
		return 0
	}
	sum := 0.0
	for k, n := range h.bins {
		if sum += n; sum >= q*h.sum {
			return 0.02 * math.Pow(1.5, float64(k)-0.5)
		}
	}
	return 0
}

// meter is the mean of a number over a span, in tenths of the span.
type meter struct {
	span, at, level float64
	sums            [11]float64
	slot            int
}

func (t *meter) note(now, level float64) {
	for t.at < now {
		end := min(now, float64(t.slot+1)*t.span/10)
		if end <= t.at {
			end = now
		}
		t.sums[t.slot%len(t.sums)] += t.level * (end - t.at)
		t.at = end
		if t.at >= float64(t.slot+1)*t.span/10 {
			t.slot++
			t.sums[t.slot%len(t.sums)] = 0
		}
	}
	t.level = level
}

func (t *meter) mean() float64 {
	sum := 0.0
	for _, s := range t.sums {
		sum += s
	}
	return sum / t.span
}
