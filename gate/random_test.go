package gate

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"valveglade/rpc"
)

// randomSettings returns random settings that cover every field.
func randomSettings(random *rand.Rand) rpc.Settings {
	oneOf := func(values ...float64) float64 { return values[random.IntN(len(values))] }
	duration := func() float64 { return math.Pow(10, random.Float64()*7-3) } // a millisecond to three hours
	settings := rpc.Settings{}
	kinds := []rpc.Kind{rpc.Idempotent, rpc.Tokened, rpc.NonIdempotent}
	if random.IntN(3) == 0 {
		kinds = kinds[random.IntN(3):][:1]
	}
	for range 1 + random.IntN(6) {
		m := rpc.Method{Kind: kinds[random.IntN(len(kinds))], Target: duration(), Window: oneOf(0, 0.001, duration(), 1e6),
			Criticality: oneOf(0, 0.1, 1, 3), LateShare: oneOf(0, 0.2, 1)}
		m.Deadline = oneOf(0, m.Target, m.Target*3, m.Target*100)
		if random.IntN(10) == 0 {
			m.Target = 0
		}
		settings.Methods = append(settings.Methods, m)
	}
	settings.Machine = rpc.Machine{Callers: random.IntN(50), Cores: random.IntN(17),
		EntryKB: oneOf(0, 0.001, 1, 27.8, 1e4), MemoryKB: oneOf(0, 50, 2000, 13164, 1e9),
		RunFactor: oneOf(0, 1, 4, 50), KeepAlive: oneOf(0, 0.01, 30), ResultTTL: oneOf(0, 2),
		Cold:       random.IntN(2) == 0,
		Preemption: []rpc.Preemption{"", rpc.NoPreemption, rpc.DiscardOnStop, rpc.FreezeOnStop}[random.IntN(4)],
		Signal:     []rpc.Signal{"", "none", rpc.Floor, rpc.Allowance, rpc.Weight}[random.IntN(5)],
		Gauges:     [][]string{nil, {"on_cores"}, {"core_use", "on_cores"}, {"heap_share"}}[random.IntN(4)]}
	settings.Machine.Downstream = []string{"", "none", "one_for_all", "tier"}[random.IntN(4)]
	settings.Machine.MaxDownstreamCalls, settings.Machine.DownstreamCallWindow, settings.Machine.Linger =
		oneOf(0, 0.3, 5), oneOf(0, 0.1, 5), oneOf(0, 0.2)
	for range random.IntN(8) {
		settings.Machine.CallsDownstream = append(settings.Machine.CallsDownstream, random.IntN(2) == 0)
		settings.Machine.SkipWorth = append(settings.Machine.SkipWorth, oneOf(0, 0.5))
	}
	for range random.IntN(3) {
		settings.Tenants = append(settings.Tenants, rpc.Tenant{Quota: oneOf(0, 1, 1e6)})
	}
	settings.Replicas, settings.OverShareWorth = random.IntN(20), oneOf(0, 0.1)
	settings.Rules = rpc.Rules{OverloadFactor: oneOf(0, 1, 5, 100), DrainGrace: oneOf(0, 0.05, 2.5),
		StartCapacity: oneOf(0, 0.2, 1), RampTime: oneOf(0, 0.01, 18, 1e4), OverloadWindow: oneOf(0, 0.1, 1.5, 100)}
	settings.Clients.MarksRetry = random.IntN(2) == 0
	settings.Ceilings.RetryAfter, settings.Ceilings.MaxRetryAfter = random.IntN(2) == 0, oneOf(0, 1, 60)
	return settings
}

// attempt is one RPC of the simulated clients, and what has happened to it.
type attempt struct {
	name          string
	id            ID
	method        int
	sizeKB        float64
	token         string
	arrivedAt     float64 // at the machine; this and the following times are true times
	readAt        float64
	replyDeadline float64
	started       bool
	provenNotRun  bool // the kernel has reported that it never ran
	ended         bool // the kernel has reported its end
	callerGone    bool
	forged        bool // not from a router: its token belongs to another RPC, and the kernel does not know its body
	replies       int
}

// simulation drives a gate with random clients and a random kernel, and checks what it does.
type simulation struct {
	*testing.T
	*Gate[*attempt]
	random     *rand.Rand
	settings   rpc.Settings
	now        float64
	attempts   []*attempt
	running    []*attempt
	unanswered []*attempt
	results    map[string]bool
	drainStart float64 // time of the shutdown notice, 0 before
	nextTick   float64
}

func (s *simulation) violation(a *attempt, description string) {
	s.Errorf("%8.3f %s of %s method: %s", s.now, a.name, s.settings.Methods[a.method].Kind, description)
}

// arrive sends a new RPC or a retry.
func (s *simulation) arrive() {
	a := &attempt{readAt: s.now, sizeKB: 1 + s.random.Float64()*100, name: fmt.Sprintf("%016x", len(s.attempts)),
		method: s.random.IntN(len(s.settings.Methods))}
	if s.settings.Methods[a.method].Kind == rpc.Tokened {
		a.token = fmt.Sprint(s.random.IntN(1 + len(s.attempts)/4))
	}
	body := "body " + a.token
	if a.forged = a.token != "" && s.random.IntN(10) == 0; a.forged {
		body = "another"
	}
	// With a negative read delay, the arrival time lies ahead of the clock.
	readDelay := []float64{0, 0.001, 0.02, 1, -0.5}[s.random.IntN(5)] * s.random.Float64()
	a.arrivedAt = s.now - readDelay
	callerDeadline := 0.0
	methodDeadline := s.settings.Methods[a.method].Deadline
	if methodDeadline == 0 {
		methodDeadline = math.Inf(1)
	}
	timeout := methodDeadline
	if s.random.IntN(3) > 0 {
		timeout = []float64{0.001, 0.05, 1, 10, 4000}[s.random.IntN(5)]
		callerDeadline = s.now - max(readDelay, 0) + timeout
	}
	a.replyDeadline = max(s.now, min(a.arrivedAt, s.now)+timeout)
	var accepted bool
	a.id, accepted = s.Arrive(s.now, a.method, s.random.IntN(20), s.now-readDelay, callerDeadline, a.sizeKB,
		s.random.IntN(4) == 0, a.name, a.token, []byte(body), a)
	if !accepted {
		if !a.forged {
			s.violation(a, "rejected")
		}
		return
	}
	s.attempts = append(s.attempts, a)
	s.unanswered = append(s.unanswered, a)
}

// endRun lets the kernel report the end of a run.
func (s *simulation) endRun(k int) {
	a := s.running[k]
	s.running[k] = s.running[len(s.running)-1]
	s.running = s.running[:len(s.running)-1]
	a.ended = true
	outcome := []rpc.Outcome{rpc.OK, rpc.OK, rpc.OK, rpc.Error, rpc.NotStarted, rpc.Cancelled}[s.random.IntN(6)]
	if a.forged {
		outcome = rpc.NotStarted
	}
	a.provenNotRun = outcome == rpc.NotStarted
	result := []byte(nil)
	if outcome == rpc.OK {
		result = []byte(fmt.Sprintf("%d %s of %s", a.method, a.token, a.name))
		s.results[string(result)] = true
	}
	s.Report(s.now, a.id, outcome, 0.1, result)
}

// start checks that an attempt may run, and starts it.
func (s *simulation) start(a *attempt) {
	if a.started {
		s.violation(a, "run twice")
	}
	if a.replies > 0 || a.callerGone {
		s.violation(a, "run after its reply or its caller's end")
	}
	if s.drainStart > 0 && min(a.arrivedAt, a.readAt) > s.drainStart+s.settings.Rules.DrainGrace {
		s.violation(a, "run past the grace period")
	}
	for _, other := range s.attempts {
		if a.token != "" && other != a && other.method == a.method && other.token == a.token && other.started &&
			!other.provenNotRun && !other.forged && !a.forged &&
			(!other.ended || a.arrivedAt <= other.arrivedAt+s.settings.Methods[a.method].Window) {
			s.violation(a, fmt.Sprintf("arrived %.4f, run within the window %g of %s, arrived %.4f, ended %v, never ran %v",
				a.arrivedAt, s.settings.Methods[a.method].Window, other.name, other.arrivedAt, other.ended,
				other.provenNotRun))
		}
	}
	a.started = true
	s.running = append(s.running, a)
}

// doJobs takes the jobs that are ready and checks them.
func (s *simulation) doJobs() {
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	for job, err := s.NextJob(cancelled); err == nil; job, err = s.NextJob(cancelled) {
		a := job.Request
		switch job.Action {
		case Run:
			s.start(a)
			continue
		case Pause:
			if !s.settings.Machine.Preemption.CanStop() || a.replies == 0 && !a.callerGone || a.token != "" {
				s.violation(a, "stopped")
			}
			continue
		case PushBack:
			if a.started && s.settings.Methods[a.method].Kind != rpc.Idempotent {
				s.violation(a, "pushed back after its start")
			}
		case Serve:
			var method int
			var token, name string
			fmt.Sscanf(string(job.Result), "%d %s of %s", &method, &token, &name)
			ownResult := fmt.Sprintf("%d %s of %s", a.method, a.token, a.name)
			if a.forged || !s.results[string(job.Result)] ||
				string(job.Result) != ownResult && (a.token == "" || method != a.method || token != a.token) {
				s.violation(a, "served with "+string(job.Result))
			}
		}
		if a.replies++; a.replies > 1 || a.callerGone {
			s.violation(a, "answered twice, or after its caller's end")
		}
	}
	s.checkMemory()
	if v := s.Credit(); math.IsNaN(v) || math.IsInf(v, 0) {
		s.Errorf("credit %g", v)
	}
}

// checkMemory checks that queued RPCs, and running ones times the run factor, fit into memory.
func (s *simulation) checkMemory() {
	sum := 0.0
	for _, a := range s.unanswered {
		if !a.started && a.replies == 0 && !a.callerGone {
			sum += a.sizeKB
		}
	}
	for _, a := range s.running {
		sum += a.sizeKB * max(s.settings.Machine.RunFactor, 1)
	}
	if limit := s.settings.Machine.MemoryKB; limit > 0 && sum > limit {
		s.Errorf("%8.3f memory %.1f of %g", s.now, sum, limit)
	}
}

// checkDeadlines checks that replies come in time. The tolerance covers the ticks, which come fifty times a second.
func (s *simulation) checkDeadlines(until float64) {
	kept := s.unanswered[:0]
	for _, a := range s.unanswered {
		switch {
		case a.replies > 0 || a.callerGone:
		case s.now > min(a.replyDeadline, until)+0.045:
			s.violation(a, fmt.Sprintf("not answered by %.3f", min(a.replyDeadline, until)))
		default:
			kept = append(kept, a)
		}
	}
	s.unanswered = kept
}

func (s *simulation) step() {
	s.now += s.random.ExpFloat64() * 0.005
	if s.random.IntN(2000) == 0 {
		s.now += 10 * s.random.Float64() // the process was paused
	}
	for ; s.nextTick <= s.now; s.nextTick = max(s.nextTick+0.02, s.now+0.001) {
		var gauges []float64
		for range s.random.IntN(4) {
			gauges = append(gauges, []float64{0, 1, 30, 1e9}[s.random.IntN(4)])
		}
		s.Tick(s.now, gauges)
		s.doJobs()
	}
	switch s.random.IntN(8) {
	case 0, 1, 2:
		s.arrive()
	case 3, 4:
		if len(s.running) > 0 {
			s.endRun(s.random.IntN(len(s.running)))
		}
	case 5:
		if len(s.attempts) > 0 && s.random.IntN(4) == 0 {
			if a := s.attempts[len(s.attempts)-1-s.random.IntN(min(len(s.attempts), 20))]; a.replies == 0 {
				a.callerGone = true
				s.CallerGone(s.now, a.id)
			}
		}
	case 6:
		if s.random.IntN(20) == 0 {
			s.SetResultLimit(s.random.IntN(1000))
		}
	}
	s.doJobs()
}

func (s *simulation) run() {
	s.SetBootTime(s.now, s.now-s.random.Float64()*10, s.random.IntN(2) == 0)
	for range 2000 {
		s.step()
		s.checkDeadlines(math.Inf(1))
		if s.Failed() {
			return
		}
	}
	s.drainStart = s.now
	stop := s.now + 0.6 + 3*s.random.Float64()
	s.Drain(s.now, stop)
	s.doJobs()
	for s.now < stop+0.1 && !s.Failed() {
		s.step()
		s.checkDeadlines(stop - 0.2) // RPCs read later are answered as well, but not checked
	}
}

// With random settings, clients and kernels, each RPC gets a single reply in time with its own result, no RPC runs
// twice within a window, none that ran is pushed back, none past the grace period runs, and none is stopped without
// permission.
func TestRandomWorkload(t *testing.T) {
	for seed := range uint64(150) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 42))
			s := &simulation{T: t, random: random, settings: randomSettings(random), now: 1e6, results: map[string]bool{}}
			s.nextTick = s.now
			s.Gate = New[*attempt](s.now, s.settings, random.IntN(2000))
			s.run()
		})
	}
}
