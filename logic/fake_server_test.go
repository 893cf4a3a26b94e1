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

// answerTolerance is the time in seconds past its deadline in which an answer on a socket still counts.
const answerTolerance = 0.05

// maxReadDelay is the longest time in seconds between the arrival of an RPC and its read.
const maxReadDelay = 0.5

// phase is the state of an RPC in a fakeServer.
type phase uint8

const (
	phaseQueued phase = iota
	phaseFollowing
	phaseRunning // on the cores
	phasePaused  // off the cores, waits for the module to start its call
	phaseCalling
	phaseReleased
)

// request is one RPC of a fakeServer.
type request struct {
	method    int
	caller    int
	phase     phase
	arrival   float64
	read      float64
	deadline  float64
	waitStart float64 // when its run began, or its wait for the run that it follows
	kb        float64
	token     int // 0 for none
	entry     *tokenEntry
	started   bool
	answered  bool
	gone      bool // its caller no longer waits
	stopped   bool
	ended     bool
	calls     int // that its run still needs
}

func (r *request) pending() bool { return !r.answered && !r.gone }

// tokenEntry is one entry of a fakeServer's token table.
type tokenEntry struct {
	runner    int
	request   *request // the runner, as its index is reused
	expiry    float64
	started   bool
	succeeded bool // the result is kept for followers
	forgotten bool
	followers []int
}

// event is an action that a fakeServer takes at a later time.
type event struct {
	at       float64
	sequence int // orders events of the same time
	action   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(a, b int) bool {
	return cmp.Or(cmp.Compare(q[a].at, q[b].at), cmp.Compare(q[a].sequence, q[b].sequence)) < 0
}
func (q eventQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// fakeServer is a fake app server with simulated time and random run times. It checks each action of the
// module against the rules and keeps the first few violations.
type fakeServer struct {
	settings   rpc.Settings
	module     *logic.Module
	rng        *rand.Rand
	now        float64
	startTime  float64
	events     eventQueue
	eventCount int

	requests       []*request // by index
	freeIndices    []int
	tokens         map[int]*tokenEntry
	lastRun        map[int]float64 // by token, arrival of the try that ran last
	settled        []int           // followers whose outcome is known
	shutdownNotice float64         // +Inf before the notice

	runTime  func(r *request) float64 // +Inf for a run that never ends
	gauges   func() []float64
	onRun    func(i int, r *request)
	onAnswer func(r *request)

	credit        float64
	health        bool
	nextTick      float64 // seconds until the next tick that the module asked for
	served        int
	rejected      int
	aborted       int
	logs          int
	healthChanges int
	published     int // number of calls of Publish
	violations    []string
}

func newFakeServer(settings rpc.Settings, rng *rand.Rand) *fakeServer {
	s := &fakeServer{settings: settings, rng: rng, now: 1000, startTime: 1000, tokens: map[int]*tokenEntry{},
		lastRun: map[int]float64{}, shutdownNotice: math.Inf(1), credit: math.NaN()}
	s.runTime = func(*request) float64 { return 0.01 }
	s.gauges = func() []float64 { return nil }
	s.module = logic.New(s.now, settings, s)
	s.scheduleTick(s.nextTick)
	return s
}

func (s *fakeServer) addViolation(format string, args ...any) {
	if len(s.violations) < 5 {
		s.violations = append(s.violations, fmt.Sprintf("%.3f: ", s.now-s.startTime)+fmt.Sprintf(format, args...))
	}
}

// after schedules an action for the given number of seconds from now.
func (s *fakeServer) after(seconds float64, action func()) {
	if !math.IsInf(seconds, 1) {
		s.eventCount++
		heap.Push(&s.events, event{s.now + seconds, s.eventCount, action})
	}
}

func (s *fakeServer) scheduleTick(seconds float64) {
	s.after(seconds+0.01*s.rng.Float64(), func() {
		gauges := s.gauges()
		s.notify(func() { s.module.Tick(s.now, gauges) })
		s.scheduleTick(s.nextTick)
	})
}

// advance lets time pass and takes the actions that fall due.
func (s *fakeServer) advance(seconds float64) {
	end := s.now + seconds
	for len(s.events) > 0 && s.events[0].at <= end {
		next := heap.Pop(&s.events).(event)
		s.now = max(s.now, next.at)
		next.action()
	}
	s.now = end
}

// notify reports an event to the module, then the outcomes of RPCs that follow others and were settled by
// the event, and checks the invariants.
func (s *fakeServer) notify(event func()) {
	event()
	for len(s.settled) > 0 {
		i := s.settled[0]
		s.settled = s.settled[1:]
		if r := s.requests[i]; r.phase == phaseFollowing {
			s.settleFollower(i, r)
		}
	}
	s.check()
}

// settleFollower ends RPC i, a follower, with the outcome of the RPC that it follows.
func (s *fakeServer) settleFollower(i int, r *request) {
	entry := r.entry
	switch {
	case entry.forgotten && s.tokens[r.token] != nil: // it never ran, but another RPC with its token does
		r.entry = s.tokens[r.token]
		s.settleFollower(i, r)
	case entry.forgotten:
		r.phase = phaseQueued
		s.module.Ended(s.now, i, rpc.NotStarted, 0)
	case entry.succeeded:
		s.answer(i)
		s.served++
		s.end(i, rpc.OK)
	case entry.started && !s.isOpen(entry):
		s.answer(i)
		s.end(i, rpc.Error)
	default:
		entry.followers = append(entry.followers, i)
	}
}

func (s *fakeServer) isOpen(entry *tokenEntry) bool {
	return entry.request.phase != phaseReleased && !entry.request.ended
}

// end reports to the module the end of a run, or of an RPC that followed.
func (s *fakeServer) end(i int, outcome rpc.Outcome) {
	r := s.requests[i]
	r.ended = true
	s.module.Ended(s.now, i, outcome, s.now-r.waitStart)
}

// check verifies the bounds on memory and cores, and the deadlines.
func (s *fakeServer) check() {
	kb, onCores := 0.0, 0
	for i, r := range s.requests {
		switch r.phase {
		case phaseQueued, phaseFollowing:
			kb += r.kb
		case phaseRunning:
			onCores++
			fallthrough
		case phasePaused, phaseCalling:
			kb += r.kb * s.settings.Machine.RunFactor
		}
		if r.phase != phaseReleased && r.pending() && s.now > max(r.deadline, r.read)+answerTolerance {
			s.addViolation("RPC %d of method %d is %.3f s past its deadline and has no answer",
				i, r.method, s.now-r.deadline)
			r.answered = true // reported once
		}
	}
	for token, entry := range s.tokens {
		switch {
		case entry.expiry+maxReadDelay < s.now:
			delete(s.tokens, token)
		case entry.expiry > s.now:
			kb += s.settings.Machine.EntryKB
		}
	}
	if limit := s.settings.Machine.MemoryKB; limit > 0 && kb > limit {
		s.addViolation("%g KB of %g are taken", kb, limit)
	}
	if limit := s.maxRunning(); float64(onCores) > limit {
		s.addViolation("%d RPCs are on cores that withstand %.1f", onCores, limit)
	}
}

// maxRunning is the number of RPCs that the cores withstand at once.
func (s *fakeServer) maxRunning() float64 {
	rules, cores := s.settings.Rules, float64(max(s.settings.Machine.Cores, 1))
	warmUpFactor := 1.0
	if s.settings.Machine.Cold && rules.RampTime > 0 {
		warmUpFactor = min(1, rules.StartCapacity+(1-rules.StartCapacity)*(s.now-s.startTime)/rules.RampTime)
	}
	return max(1, cores*(1+(max(rules.OverloadFactor, 1)-1)*warmUpFactor))
}

// arrive reads an RPC that reached the server readDelay seconds ago. deadline is 0 where its caller does
// not send one.
func (s *fakeServer) arrive(method, caller, token int, readDelay, deadline, kb float64) int {
	i := len(s.requests)
	if n := len(s.freeIndices); n > 0 {
		i = s.freeIndices[n-1]
		s.freeIndices = s.freeIndices[:n-1]
		s.requests[i] = nil
	} else {
		s.requests = append(s.requests, nil)
	}
	r := &request{method: method, caller: caller, arrival: s.now - readDelay, read: s.now,
		deadline: deadline, kb: kb}
	if deadline == 0 {
		r.deadline = math.Inf(1)
		if d := s.settings.Methods[method].Deadline; d > 0 {
			r.deadline = r.arrival + d
		}
	}
	if s.settings.Machine.ResultTTL > 0 || s.settings.Methods[method].Kind == rpc.Tokened {
		r.token = method*1000 + token // a token belongs to its method
	}
	s.requests[i] = r
	repeatOf := rpc.RepeatsNone
	if entry := s.tokens[r.token]; r.token != 0 && entry != nil && entry.expiry > r.arrival {
		r.entry = entry
		if repeatOf = rpc.RepeatsReleased; s.isOpen(entry) {
			repeatOf = entry.runner
		}
	}
	readOnly := s.settings.Methods[method].Kind == rpc.Idempotent
	s.notify(func() {
		s.module.Arrive(s.now, i, method, caller, 0, readDelay, false, readOnly, deadline, kb, repeatOf)
	})
	return i
}

// callerGone lets the caller of an RPC go, if it still waits.
func (s *fakeServer) callerGone(i int, r *request) {
	if s.requests[i] == r && r.phase != phaseReleased && r.pending() {
		r.gone = true
		s.notify(func() { s.module.CallerGone(s.now, i) })
	}
}

// leave sends the shutdown notice: the process is stopped in the given number of seconds.
func (s *fakeServer) leave(seconds float64) {
	s.shutdownNotice = s.now
	stop := s.now + seconds
	for _, r := range s.requests {
		r.deadline = min(r.deadline, stop)
	}
	s.notify(func() { s.module.Leave(s.now, stop) })
}

func (s *fakeServer) answer(i int) {
	r := s.requests[i]
	if r.phase == phaseReleased || r.answered {
		s.addViolation("RPC %d is answered twice", i)
	}
	r.answered = true
	if s.onAnswer != nil {
		s.onAnswer(r)
	}
}

// runEnded handles the end of a run, or of a part of it that ends with a call.
func (s *fakeServer) runEnded(i int, r *request) {
	if s.requests[i] != r || r.phase != phaseRunning || r.ended {
		return
	}
	if r.calls > 0 && r.pending() {
		r.calls--
		r.phase = phasePaused
		s.notify(func() { s.module.NeedsCall(s.now, i) })
		return
	}
	outcome := rpc.OK
	switch {
	case r.stopped:
		outcome = rpc.Cancelled
	case r.pending():
		s.answer(i)
		s.served++
	}
	s.recordOutcome(i, r, outcome)
	s.notify(func() { s.end(i, outcome) })
}

// recordOutcome records in the token table how a run has ended.
func (s *fakeServer) recordOutcome(i int, r *request, outcome rpc.Outcome) {
	if entry := r.entry; entry != nil && entry.request == r {
		entry.succeeded = outcome == rpc.OK
		s.settled = append(s.settled, entry.followers...)
		entry.followers = nil
	}
}

func (s *fakeServer) Start(i int) {
	r := s.requests[i]
	if r.phase != phaseQueued || r.started || !r.pending() {
		s.addViolation("RPC %d is started in phase %d", i, r.phase)
	}
	if r.arrival > s.shutdownNotice+s.settings.Rules.DrainGrace {
		s.addViolation("RPC %d arrived %.3f s after the shutdown notice and is started",
			i, r.arrival-s.shutdownNotice)
	}
	method := s.settings.Methods[r.method]
	if method.Kind == rpc.Tokened && r.token != 0 {
		if last, ran := s.lastRun[r.token]; ran && r.arrival >= last && r.arrival <= last+method.Window {
			s.addViolation("token %d runs a second time, %.3f s after the first, window %g",
				r.token, r.arrival-last, method.Window)
		}
		s.lastRun[r.token] = r.arrival
	}
	if entry := r.entry; entry != nil && entry.request == r {
		entry.started = true
	}
	r.started, r.phase, r.waitStart = true, phaseRunning, s.now
	if s.onRun != nil {
		s.onRun(i, r)
	}
	s.after(s.runTime(r), func() { s.runEnded(i, r) })
}

func (s *fakeServer) Stop(i int) {
	r := s.requests[i]
	if s.settings.Machine.Preemption == rpc.NoPreemption || s.settings.Machine.Preemption == "" {
		s.addViolation("RPC %d is stopped without preemption", i)
	}
	r.stopped = true
	s.after(0.0005, func() { s.runEnded(i, r) })
}

func (s *fakeServer) Call(i int, timeout float64) {
	r := s.requests[i]
	if r.phase != phasePaused || math.IsNaN(timeout) || timeout <= 0 {
		s.addViolation("RPC %d calls in phase %d with timeout %g", i, r.phase, timeout)
	}
	r.phase = phaseCalling
	took, outcome := s.rng.ExpFloat64()*0.02, rpc.OK
	if s.rng.IntN(5) == 0 {
		took = math.Inf(1)
	}
	if took >= timeout {
		// The timeout may be reported late.
		took, outcome = timeout+pick(s.rng, 0, 0.03, 3)*s.rng.Float64(), rpc.TimedOut
	}
	s.after(took, func() {
		if s.requests[i] != r || r.phase != phaseCalling {
			return
		}
		if !r.pending() {
			s.recordOutcome(i, r, rpc.Cancelled)
			s.notify(func() { s.end(i, rpc.Cancelled) })
			return
		}
		r.phase = phasePaused
		if outcome == rpc.OK {
			r.phase = phaseRunning
			s.after(s.runTime(r), func() { s.runEnded(i, r) })
		}
		s.notify(func() { s.module.Called(s.now, i, outcome) })
	})
}

func (s *fakeServer) Skip(i int) {
	r := s.requests[i]
	if r.phase != phasePaused {
		s.addViolation("RPC %d skips a call in phase %d", i, r.phase)
	}
	r.phase = phaseRunning
	s.after(s.runTime(r), func() { s.runEnded(i, r) })
}

func (s *fakeServer) PushBack(i int, _ bool, after float64) {
	r := s.requests[i]
	if kind := s.settings.Methods[r.method].Kind; r.started && kind != rpc.Idempotent {
		s.addViolation("RPC %d is %s, has been started and is pushed back", i, kind)
	}
	if math.IsNaN(after) || after < 0 || after > s.settings.Ceilings.MaxRetryAfter {
		s.addViolation("retry-after delay of %g s", after)
	}
	s.answer(i)
	s.rejected++
	s.endPaused(i, r)
}

func (s *fakeServer) Abort(i int) {
	s.answer(i)
	s.aborted++
	s.endPaused(i, s.requests[i])
}

// endPaused ends an RPC that was answered while it waited for a call.
func (s *fakeServer) endPaused(i int, r *request) {
	if r.phase == phasePaused {
		s.after(0, func() {
			if s.requests[i] == r && !r.ended && r.phase == phasePaused {
				s.recordOutcome(i, r, rpc.Cancelled)
				s.notify(func() { s.end(i, rpc.Cancelled) })
			}
		})
	}
}

func (s *fakeServer) Remember(i int, ttl float64) {
	r := s.requests[i]
	if math.IsNaN(ttl) || math.IsInf(ttl, 0) || ttl < 0 {
		s.addViolation("RPC %d is remembered for %g s", i, ttl)
	}
	if r.token == 0 {
		return
	}
	entry := &tokenEntry{runner: i, request: r, expiry: s.now + ttl}
	if old := s.tokens[r.token]; old != nil && !old.started {
		entry.followers, old.followers = old.followers, nil
		for _, k := range entry.followers {
			s.requests[k].entry = entry
		}
	}
	r.entry, s.tokens[r.token] = entry, entry
}

func (s *fakeServer) Forget(i int) {
	r := s.requests[i]
	if entry := r.entry; entry != nil && entry.request == r {
		if entry.started && s.settings.Methods[r.method].Kind == rpc.Tokened {
			s.addViolation("token %d has been run and is forgotten", r.token)
		}
		entry.forgotten = true
		s.settled = append(s.settled, entry.followers...)
		if s.tokens[r.token] == entry {
			delete(s.tokens, r.token)
		}
	}
}

func (s *fakeServer) Follow(i int) {
	r := s.requests[i]
	if r.phase != phaseQueued {
		s.addViolation("RPC %d follows another in phase %d", i, r.phase)
	}
	r.phase, r.waitStart = phaseFollowing, s.now
	entry := r.entry
	if entry.succeeded || entry.started && !s.isOpen(entry) {
		s.settled = append(s.settled, i)
		return
	}
	entry.followers = append(entry.followers, i)
}

func (s *fakeServer) Release(i int) {
	r := s.requests[i]
	if r.phase == phaseReleased {
		s.addViolation("RPC %d is released twice", i)
	}
	if r.pending() {
		s.addViolation("RPC %d is released and has no answer", i)
	}
	if r.phase == phaseRunning && !r.ended {
		s.addViolation("RPC %d is released while it runs", i)
	}
	r.phase = phaseReleased
	s.freeIndices = append(s.freeIndices, i)
}

func (s *fakeServer) Publish(value float64) {
	if math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
		s.addViolation("a credit of %g is published", value)
	}
	s.credit = value
	s.published++
}

func (s *fakeServer) Wake(after float64) {
	if !(after > 0 && after <= 1) {
		s.addViolation("the next tick is requested in %g s", after)
		after = 0.02
	}
	s.nextTick = after
}

func (s *fakeServer) Reap(idle float64) {
	if !(idle > 0 && idle <= s.settings.Machine.KeepAlive) {
		s.addViolation("idle connections are closed after %g s of %g", idle, s.settings.Machine.KeepAlive)
	}
}

func (s *fakeServer) Health(healthy bool) {
	s.health = healthy
	s.healthChanges++
}

func (s *fakeServer) BlockingLimit(int) int { return 0 }
func (s *fakeServer) Log(string)            { s.logs++ }
