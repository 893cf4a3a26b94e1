package logic_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"

	"valveglade/logic"
	"valveglade/rpc"
)

// answerSlack is the time in seconds past its due time in which an answer still counts: the platform's on sockets.
const answerSlack = 0.05

// longestLay is for how many seconds at most an RPC lies at a machine before it is read.
const longestLay = 0.5

// phase is where an RPC of a machine stands.
type phase uint8

const (
	phaseHeld phase = iota
	phaseFollowing
	phaseRunning // on the cores
	phaseStalled // off the cores, waits for the module to place its call
	phaseCalling
	phaseReleased
)

// request is one RPC at a machine.
type request struct {
	method, caller       int
	phase                phase
	arrival, read, due   float64
	began                float64 // of its run, or of its wait for another's
	kb                   float64
	token                int // 0 for none
	entry                *keyEntry
	started, answered    bool
	gone, stopped, ended bool
	calls                int // that its run still needs
}

func (r *request) owed() bool { return !r.answered && !r.gone }

// keyEntry is one entry of a machine's token table.
type keyEntry struct {
	runner    int
	request   *request // the runner, as its index comes back for another
	until     float64
	begun     bool
	kept      bool
	forgotten bool
	followers []int
}

// pending is something that happens at a machine later.
type pending struct {
	at    float64
	order int
	do    func()
}

type pendings []pending

func (p pendings) Len() int { return len(p) }
func (p pendings) Less(a, b int) bool {
	return cmp.Or(cmp.Compare(p[a].at, p[b].at), cmp.Compare(p[a].order, p[b].order)) < 0
}
func (p pendings) Swap(a, b int) { p[a], p[b] = p[b], p[a] }
func (p *pendings) Push(x any)   { *p = append(*p, x.(pending)) }
func (p *pendings) Pop() any {
	last := (*p)[len(*p)-1]
	*p = (*p)[:len(*p)-1]
	return last
}

// machine stands in for an app server whose runs end when they are drawn to. It checks each action of the module
// against the rules and keeps the first few violations.
type machine struct {
	settings rpc.Settings
	module   *logic.Module
	chance   *rand.Rand
	now      float64
	began    float64
	later    pendings
	orders   int

	requests []*request // by index
	spare    []int
	tokens   map[int]*keyEntry
	lastRun  map[int]float64 // by token, arrival of the try that ran last
	finished []int           // followers whose outcome is there
	noticed  float64         // +Inf before the notice

	runTime func(r *request) float64 // +Inf for one that never ends
	gauges  func() []float64
	onRun   func(i int, r *request)
	onEnd   func(r *request) // an RPC has its answer

	credit                    float64
	health                    bool
	wake                      float64
	served, refused, aborted  int
	logs, healthChanges, says int
	violations                []string
}

func newMachine(settings rpc.Settings, chance *rand.Rand) *machine {
	m := &machine{settings: settings, chance: chance, now: 1000, began: 1000, tokens: map[int]*keyEntry{},
		lastRun: map[int]float64{}, noticed: math.Inf(1), credit: math.NaN()}
	m.runTime = func(*request) float64 { return 0.01 }
	m.gauges = func() []float64 { return nil }
	m.module = logic.New(m.now, settings, m)
	m.tickAfter(m.wake)
	return m
}

func (m *machine) violate(format string, args ...any) {
	if len(m.violations) < 5 {
		m.violations = append(m.violations, fmt.Sprintf("%.3f: ", m.now-m.began)+fmt.Sprintf(format, args...))
	}
}

// after has something done so many seconds from now.
func (m *machine) after(seconds float64, do func()) {
	if !math.IsInf(seconds, 1) {
		m.orders++
		heap.Push(&m.later, pending{m.now + seconds, m.orders, do})
	}
}

func (m *machine) tickAfter(seconds float64) {
	m.after(seconds+0.01*m.chance.Float64(), func() {
		gauges := m.gauges()
		m.call(func() { m.module.Tick(m.now, gauges) })
		m.tickAfter(m.wake)
	})
}

// pass lets time go by.
func (m *machine) pass(seconds float64) {
	end := m.now + seconds
	for len(m.later) > 0 && m.later[0].at <= end {
		next := heap.Pop(&m.later).(pending)
		m.now = max(m.now, next.at)
		next.do()
	}
	m.now = end
}

// call tells the module something, then of what its actions brought about at once, and checks what must hold.
func (m *machine) call(tell func()) {
	tell()
	for len(m.finished) > 0 {
		i := m.finished[0]
		m.finished = m.finished[1:]
		if r := m.requests[i]; r.phase == phaseFollowing {
			m.settleFollower(i, r)
		}
	}
	m.check()
}

// settleFollower tells the module how the RPC that another followed has ended.
func (m *machine) settleFollower(i int, r *request) {
	entry := r.entry
	switch {
	case entry.forgotten && m.tokens[r.token] != nil: // it never ran, another does
		r.entry = m.tokens[r.token]
		m.settleFollower(i, r)
	case entry.forgotten:
		r.phase = phaseHeld
		m.module.Ended(m.now, i, rpc.Moot, 0)
	case entry.kept:
		m.answer(i)
		m.served++
		m.end(i, rpc.OK)
	case entry.begun && !m.holds(entry):
		m.answer(i)
		m.end(i, rpc.Error)
	default:
		entry.followers = append(entry.followers, i)
	}
}

func (m *machine) holds(entry *keyEntry) bool {
	return entry.request.phase != phaseReleased && !entry.request.ended
}

// end tells the module that a run, or an RPC that followed, has ended.
func (m *machine) end(i int, how rpc.Outcome) {
	r := m.requests[i]
	r.ended = true
	m.module.Ended(m.now, i, how, m.now-r.began)
}

// check looks at memory, cores and dues.
func (m *machine) check() {
	kb, on := 0.0, 0
	for i, r := range m.requests {
		switch r.phase {
		case phaseHeld, phaseFollowing:
			kb += r.kb
		case phaseRunning:
			on++
			fallthrough
		case phaseStalled, phaseCalling:
			kb += r.kb * m.settings.Machine.RunFactor
		}
		if r.phase != phaseReleased && r.owed() && m.now > max(r.due, r.read)+answerSlack {
			m.violate("RPC %d of method %d was due %.3f s ago and has no answer", i, r.method, m.now-r.due)
			r.answered = true // told once
		}
	}
	for token, entry := range m.tokens {
		switch {
		case entry.until+longestLay < m.now:
			delete(m.tokens, token)
		case entry.until > m.now:
			kb += m.settings.Machine.EntryKB
		}
	}
	if most := m.settings.Machine.MemoryKB; most > 0 && kb > most {
		m.violate("%g KB of %g are taken", kb, most)
	}
	if most := m.survivable(); float64(on) > most {
		m.violate("%d RPCs are on cores that survive %.1f", on, most)
	}
}

func (m *machine) survivable() float64 {
	rules, cores := m.settings.Rules, float64(max(m.settings.Machine.Cores, 1))
	warmth := 1.0
	if m.settings.Machine.Cold && rules.WarmIn > 0 {
		warmth = min(1, rules.ColdAt+(1-rules.ColdAt)*(m.now-m.began)/rules.WarmIn)
	}
	return max(1, cores*(1+(max(rules.Crowd, 1)-1)*warmth))
}

// arrive has an RPC read that reached the machine lay seconds ago. due is 0 where its caller does not tell it.
func (m *machine) arrive(method, caller, token int, lay, due, kb float64) int {
	i := len(m.requests)
	if n := len(m.spare); n > 0 {
		i = m.spare[n-1]
		m.spare = m.spare[:n-1]
		m.requests[i] = nil
	} else {
		m.requests = append(m.requests, nil)
	}
	r := &request{method: method, caller: caller, arrival: m.now - lay, read: m.now, due: due, kb: kb}
	if due == 0 {
		r.due = math.Inf(1)
		if d := m.settings.Methods[method].Deadline; d > 0 {
			r.due = r.arrival + d
		}
	}
	if m.settings.Machine.Fresh > 0 || m.settings.Methods[method].Kind == rpc.Tokened {
		r.token = method*1000 + token // a token belongs to its method
	}
	m.requests[i] = r
	repeats := rpc.None
	if entry := m.tokens[r.token]; r.token != 0 && entry != nil && entry.until > r.arrival {
		r.entry = entry
		if repeats = rpc.Gone; m.holds(entry) {
			repeats = entry.runner
		}
	}
	reads := m.settings.Methods[method].Kind == rpc.Idempotent
	m.call(func() { m.module.Arrive(m.now, i, method, caller, 0, lay, false, reads, due, kb, repeats) })
	return i
}

// leaveCaller has the caller of an RPC go, if it still waits.
func (m *machine) leaveCaller(i int, r *request) {
	if m.requests[i] == r && r.phase != phaseReleased && r.owed() {
		r.gone = true
		m.call(func() { m.module.CallerGone(m.now, i) })
	}
}

// leave gives notice that the process is stopped so many seconds from now.
func (m *machine) leave(seconds float64) {
	m.noticed = m.now
	stop := m.now + seconds
	for _, r := range m.requests {
		r.due = min(r.due, stop)
	}
	m.call(func() { m.module.Leave(m.now, stop) })
}

func (m *machine) answer(i int) {
	r := m.requests[i]
	if r.phase == phaseReleased || r.answered {
		m.violate("RPC %d is answered twice", i)
	}
	r.answered = true
	if m.onEnd != nil {
		m.onEnd(r)
	}
}

// runOver is the end of a run.
func (m *machine) runOver(i int, r *request) {
	if m.requests[i] != r || r.phase != phaseRunning || r.ended {
		return
	}
	if r.calls > 0 && r.owed() {
		r.calls--
		r.phase = phaseStalled
		m.call(func() { m.module.NeedsCall(m.now, i) })
		return
	}
	how := rpc.OK
	switch {
	case r.stopped:
		how = rpc.Cancelled
	case r.owed():
		m.answer(i)
		m.served++
	}
	m.keep(i, r, how)
	m.call(func() { m.end(i, how) })
}

// keep notes in the token table how a run has ended.
func (m *machine) keep(i int, r *request, how rpc.Outcome) {
	if entry := r.entry; entry != nil && entry.request == r {
		entry.kept = how == rpc.OK
		m.finished = append(m.finished, entry.followers...)
		entry.followers = nil
	}
}

func (m *machine) Start(i int) {
	r := m.requests[i]
	if r.phase != phaseHeld || r.started || !r.owed() {
		m.violate("RPC %d is started in phase %d", i, r.phase)
	}
	if r.arrival > m.noticed+m.settings.Rules.Grace {
		m.violate("RPC %d came %.3f s after the notice and is started", i, r.arrival-m.noticed)
	}
	method := m.settings.Methods[r.method]
	if method.Kind == rpc.Tokened && r.token != 0 {
		if last, ran := m.lastRun[r.token]; ran && r.arrival >= last && r.arrival <= last+method.Window {
			m.violate("token %d runs a second time, %.3f s after the first, window %g", r.token, r.arrival-last, method.Window)
		}
		m.lastRun[r.token] = r.arrival
	}
	if entry := r.entry; entry != nil && entry.request == r {
		entry.begun = true
	}
	r.started, r.phase, r.began = true, phaseRunning, m.now
	if m.onRun != nil {
		m.onRun(i, r)
	}
	m.after(m.runTime(r), func() { m.runOver(i, r) })
}

func (m *machine) Stop(i int) {
	r := m.requests[i]
	if m.settings.Machine.Preemption == rpc.Unstoppable || m.settings.Machine.Preemption == "" {
		m.violate("RPC %d is stopped where nothing can be", i)
	}
	r.stopped = true
	m.after(0.0005, func() { m.runOver(i, r) })
}

func (m *machine) Call(i int, patience float64) {
	r := m.requests[i]
	if r.phase != phaseStalled || math.IsNaN(patience) || patience <= 0 {
		m.violate("RPC %d calls in phase %d with patience %g", i, r.phase, patience)
	}
	r.phase = phaseCalling
	took, how := m.chance.ExpFloat64()*0.02, rpc.OK
	if m.chance.IntN(5) == 0 {
		took = math.Inf(1)
	}
	if took >= patience {
		took, how = patience+pick(m.chance, 0, 0.03, 3)*m.chance.Float64(), rpc.TimedOut // the word of it may come late
	}
	m.after(took, func() {
		if m.requests[i] != r || r.phase != phaseCalling {
			return
		}
		if !r.owed() {
			m.keep(i, r, rpc.Cancelled)
			m.call(func() { m.end(i, rpc.Cancelled) })
			return
		}
		r.phase = phaseStalled
		if how == rpc.OK {
			r.phase = phaseRunning
			m.after(m.runTime(r), func() { m.runOver(i, r) })
		}
		m.call(func() { m.module.Called(m.now, i, how) })
	})
}

func (m *machine) Skip(i int) {
	r := m.requests[i]
	if r.phase != phaseStalled {
		m.violate("RPC %d skips a call in phase %d", i, r.phase)
	}
	r.phase = phaseRunning
	m.after(m.runTime(r), func() { m.runOver(i, r) })
}

func (m *machine) PushBack(i int, _ bool, after float64) {
	r := m.requests[i]
	if kind := m.settings.Methods[r.method].Kind; r.started && kind != rpc.Idempotent {
		m.violate("RPC %d is %s, has been started and is pushed back", i, kind)
	}
	if math.IsNaN(after) || after < 0 || after > m.settings.Ceilings.MaxRetryAfter {
		m.violate("advice to stay away for %g s", after)
	}
	m.answer(i)
	m.refused++
	m.closeStalled(i, r)
}

func (m *machine) Abort(i int) {
	m.answer(i)
	m.aborted++
	m.closeStalled(i, m.requests[i])
}

// closeStalled winds up an RPC that is answered while it waits for a call.
func (m *machine) closeStalled(i int, r *request) {
	if r.phase == phaseStalled {
		m.after(0, func() {
			if m.requests[i] == r && !r.ended && r.phase == phaseStalled {
				m.keep(i, r, rpc.Cancelled)
				m.call(func() { m.end(i, rpc.Cancelled) })
			}
		})
	}
}

func (m *machine) Remember(i int, span float64) {
	r := m.requests[i]
	if math.IsNaN(span) || math.IsInf(span, 0) || span < 0 {
		m.violate("RPC %d is remembered for %g s", i, span)
	}
	if r.token == 0 {
		return
	}
	entry := &keyEntry{runner: i, request: r, until: m.now + span}
	if old := m.tokens[r.token]; old != nil && !old.begun {
		entry.followers, old.followers = old.followers, nil
		for _, k := range entry.followers {
			m.requests[k].entry = entry
		}
	}
	r.entry, m.tokens[r.token] = entry, entry
}

func (m *machine) Forget(i int) {
	r := m.requests[i]
	if entry := r.entry; entry != nil && entry.request == r {
		if entry.begun && m.settings.Methods[r.method].Kind == rpc.Tokened {
			m.violate("token %d has been run and is forgotten", r.token)
		}
		entry.forgotten = true
		m.finished = append(m.finished, entry.followers...)
		if m.tokens[r.token] == entry {
			delete(m.tokens, r.token)
		}
	}
}

func (m *machine) Follow(i int) {
	r := m.requests[i]
	if r.phase != phaseHeld {
		m.violate("RPC %d follows in phase %d", i, r.phase)
	}
	r.phase, r.began = phaseFollowing, m.now
	entry := r.entry
	if entry.kept || entry.begun && !m.holds(entry) {
		m.finished = append(m.finished, i)
		return
	}
	entry.followers = append(entry.followers, i)
}

func (m *machine) Release(i int) {
	r := m.requests[i]
	if r.phase == phaseReleased {
		m.violate("RPC %d is released twice", i)
	}
	if r.owed() {
		m.violate("RPC %d is released and has no answer", i)
	}
	if r.phase == phaseRunning && !r.ended {
		m.violate("RPC %d is released while it runs", i)
	}
	r.phase = phaseReleased
	m.spare = append(m.spare, i)
}

func (m *machine) Publish(value float64) {
	if math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
		m.violate("a credit of %g is published", value)
	}
	m.credit = value
	m.says++
}

func (m *machine) Wake(after float64) {
	if !(after > 0 && after <= 1) {
		m.violate("the next tick is wanted in %g s", after)
		after = 0.02
	}
	m.wake = after
}

func (m *machine) Reap(idle float64) {
	if !(idle > 0 && idle <= m.settings.Machine.KeepAlive) {
		m.violate("idle connections are closed after %g s of %g", idle, m.settings.Machine.KeepAlive)
	}
}

func (m *machine) Health(good bool) {
	m.health = good
	m.healthChanges++
}

func (m *machine) Short(int) int { return 0 }
func (m *machine) Log(string)    { m.logs++ }
