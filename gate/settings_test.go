package gate

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"valveglade/rpc"
)

// figures that settings are drawn from: nothing, next to nothing, the usual, and as much as a configuration may say.
var figures = []float64{0, 1e-9, 0.001, 0.03, 0.5, 1, 3, 60, 7200, 1e15}

func drawn[T any](r *rand.Rand, from ...T) T { return from[r.IntN(len(from))] }

// drawSettings draws a deployment; what the configuration refuses is not among it.
func drawSettings(r *rand.Rand) rpc.Settings {
	figure := func() float64 { return drawn(r, figures...) }
	var s rpc.Settings
	for range 1 + r.IntN(4) {
		m := rpc.Method{Kind: drawn(r, rpc.Idempotent, rpc.Tokened, rpc.NonIdempotent), Target: figure(), Deadline: figure(),
			Window: figure(), Criticality: figure(), LateShare: drawn(r, 0, 0.2)}
		if m.Window == 0 {
			m.Window = 3
		}
		s.Methods = append(s.Methods, m)
	}
	s.Machine = rpc.Machine{Callers: drawn(r, 0, 1, 3, math.MaxInt32), Cores: drawn(r, 0, 1, 2, 64, math.MaxInt32),
		Gauges: drawn(r, nil, []string{"on_cores"}, []string{"x", "on_cores", "y"}), KeepAlive: figure(), EntryKB: figure(),
		MemoryKB: drawn(r, 0, 1e-9, 100, 4000, 1e15), RunFactor: figure(),
		Preemption: drawn(r, "", rpc.Unstoppable, rpc.Discards, rpc.Freezes), Signal: drawn(r, "", "none", rpc.Floor, rpc.Allowance, rpc.Weight)}
	s.Rules = rpc.Rules{Crowd: figure(), Grace: figure(), ColdAt: drawn(r, 0, 0.2, 1, 3), WarmIn: figure(), CrowdSpan: figure()}
	s.Clients.MarksRetry = drawn(r, true, false)
	s.Ceilings.RetryAfter, s.Ceilings.MaxRetryAfter = drawn(r, true, false), figure()
	return s
}

// played is one RPC of a trial.
type played struct {
	name    string
	id      ID
	method  int
	token   string
	recv    float64
	due     float64
	answers int
	gone    bool
	ran     bool
}

// trial drives a gate under drawn settings and judges what it does.
type trial struct {
	*testing.T
	*Gate[*played]
	r        *rand.Rand
	settings rpc.Settings
	now      float64
	rpcs     []*played
	runs     []*played            // that have not ended
	ran      map[string][]float64 // by token, the recv of tries that were run
}

func (p *trial) wrong(why string, about *played) {
	p.Fatalf("%s: %s, at %.3f; %+v", about.name, why, p.now, p.settings)
}

// deadline of an RPC where its caller does not tell; +Inf where the settings do not either.
func (p *trial) deadline(method int) float64 {
	if d := p.settings.Methods[method].Deadline; d > 0 {
		return d
	}
	return math.Inf(1)
}

func (p *trial) arrive() {
	method := p.r.IntN(len(p.settings.Methods))
	recv := p.now - drawn(p.r, 0, 0, 0, 0.01, 0.5, 90, -5)
	token := ""
	if p.settings.Methods[method].Kind == rpc.Tokened {
		token = fmt.Sprintf("%d of %d", p.r.IntN(4), method)
		recv = min(max(recv, p.now-unread+1), p.now) // none lies unread for as long as tokens are kept for that
	}
	a := &played{name: fmt.Sprintf("%016x", len(p.rpcs)), method: method, token: token, recv: recv}
	due, arrival := 0.0, min(recv, p.now)
	a.due = arrival + p.deadline(method)
	if p.r.IntN(2) == 0 {
		due = arrival + min(drawn(p.r, 0.001, 0.03, 1, 60, 7200, 1e15), p.deadline(method))
		a.due = due
	}
	a.due = max(a.due, p.now)
	var ok bool
	if a.id, ok = p.Arrive(p.now, method, p.r.IntN(3), recv, due, drawn(p.r, 0.001, 20, 1999), p.r.IntN(4) == 0, a.name, a.token,
		[]byte("body"), a); !ok {
		p.wrong("not taken", a)
	}
	p.rpcs = append(p.rpcs, a)
	p.judge()
}

// judge takes what there is to do.
func (p *trial) judge() {
	none, stop := context.WithCancel(context.Background())
	stop()
	for {
		job, err := p.Pick(none)
		if err != nil {
			break
		}
		a := job.For
		switch job.Do {
		case Run:
			p.run(a)
		case Pause:
			if was := p.settings.Machine.Preemption; was == "" || was == rpc.Unstoppable {
				p.wrong("paused where nothing may be", a)
			}
		case PushBack:
			if a.ran && p.settings.Methods[a.method].Kind != rpc.Idempotent {
				p.wrong("pushed back once run", a)
			}
			if !(job.After >= 0 && job.After <= p.settings.Ceilings.MaxRetryAfter) {
				p.wrong(fmt.Sprint("advice of ", job.After), a)
			}
			a.answers++
		default:
			a.answers++
		}
		if a.answers > 1 {
			p.wrong("answered twice", a)
		}
	}
	for _, a := range p.rpcs {
		if a.answers == 0 && !a.gone && p.now > a.due+0.13 {
			p.wrong("no answer by its due time", a)
		}
	}
	if v := p.Credit(); math.IsNaN(v) || math.IsInf(v, 0) {
		p.Fatalf("credit %g at %.3f; %+v", v, p.now, p.settings)
	}
	if v := p.Idle(); math.IsNaN(v) || v < 0 {
		p.Fatalf("idle time %g; %+v", v, p.settings)
	}
}

func (p *trial) run(a *played) {
	if a.ran {
		p.wrong("run twice", a)
	}
	for _, earlier := range p.ran[a.token] {
		if a.token != "" && a.recv <= earlier+p.settings.Methods[a.method].Window {
			p.wrong("run again within its window", a)
		}
	}
	p.ran[a.token] = append(p.ran[a.token], a.recv)
	a.ran = true
	p.runs = append(p.runs, a)
}

func (p *trial) end() {
	if len(p.runs) == 0 {
		return
	}
	k := p.r.IntN(len(p.runs))
	a := p.runs[k]
	p.runs = append(p.runs[:k], p.runs[k+1:]...)
	how := drawn(p.r, rpc.OK, rpc.OK, rpc.OK, rpc.Error, rpc.Cancelled)
	p.Report(p.now, a.id, how, drawn(p.r, 0, 0.01, 3, 1e15), []byte("result"))
	p.judge()
}

// play has things happen by chance, and time go on as the gate asks.
func (p *trial) play(steps int) {
	for range steps {
		switch p.r.IntN(6) {
		case 0, 1:
			p.arrive()
		case 2:
			p.end()
		case 3:
			if len(p.rpcs) > 0 && p.r.IntN(3) == 0 {
				a := p.rpcs[p.r.IntN(len(p.rpcs))]
				a.gone = true
				p.Gone(p.now, a.id)
				p.judge()
			}
		}
		after := p.Tick(p.now, drawn(p.r, nil, []float64{}, []float64{0, 1e15, 0}, []float64{3, 3, 3}))
		if !(after > 0 && after < 1) {
			p.Fatalf("to come again after %g; %+v", after, p.settings)
		}
		p.judge()
		p.now += after
	}
}

// Under whatever settings the configuration lets through, nothing is divided by zero, overflows or hangs, and the rules hold.
func TestDrawnSettings(t *testing.T) {
	const trials, steps = 1000, 120
	for seed := range uint64(trials) {
		r := rand.New(rand.NewPCG(seed, 42))
		settings := drawSettings(r)
		p := &trial{T: t, Gate: New[*played](1e9, settings, 1000), r: r, settings: settings, now: 1e9, ran: map[string][]float64{}}
		p.Boot(p.now, p.now-drawn(r, 0, 3, 1e9), drawn(r, true, false))
		p.play(steps)
		stop := p.now + drawn(r, 0, 0.05, 3, 1e15)
		p.Leave(p.now, stop)
		p.judge()
		p.play(steps)
		if t.Failed() {
			t.Fatal("seed", seed)
		}
	}
}

// A token is used anew past its window, and a try that came within the window is read only then: it gets what the run of its window
// gave, and neither takes the place of the later one nor runs, also once the later one has been refused.
func Example_replaced() {
	for _, refused := range []bool{false, true} {
		s := openTold(1, 1000, func(c *rpc.Settings) { c.Methods[write].Window = 1 })
		s.arrive("a1", write, "t")
		s.report("a1", rpc.OK, "done")
		s.arrive("busy", read, "")
		s.pass(1.2)
		s.arrive("b1", write, "t")
		if refused {
			s.gone("b1")
		}
		s.came("a2", write, s.now-0.5, "t", "body")
		s.report("busy", rpc.OK, "")
		if !refused {
			s.report("b1", rpc.OK, "anew")
		}
		s.arrive("b2", write, "t")
		s.pass(unread + 3)
		fmt.Println(len(s.tokens.entries), len(s.tokens.expiry), s.tokens.bytes)
	}
	// Output:
	//  0.00 a1: run
	//  0.00 a1: ok "done"
	//  0.00 busy: run
	//  1.20 a2: ok "done"
	//  1.20 busy: ok ""
	//  1.20 b1: run
	//  1.20 b1: ok "anew"
	//  1.20 b2: ok "anew"
	// 0 0 0
	//  0.00 a1: run
	//  0.00 a1: ok "done"
	//  0.00 busy: run
	//  1.20 a2: ok "done"
	//  1.20 busy: ok ""
	//  1.20 b2: run
	//  5.10 b2: aborted
	// 1 0 0
}
