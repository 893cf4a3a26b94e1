package gate

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"valveglade/rpc"
)

// drawnSettings draws a deployment of everything that the settings may say.
func drawnSettings(r *rand.Rand) rpc.Settings {
	one := func(values ...float64) float64 { return values[r.IntN(len(values))] }
	span := func() float64 { return math.Pow(10, r.Float64()*7-3) } // a millisecond to three hours
	c := rpc.Settings{}
	kinds := []rpc.Kind{rpc.Idempotent, rpc.Tokened, rpc.NonIdempotent}
	if r.IntN(3) == 0 {
		kinds = kinds[r.IntN(3):][:1]
	}
	for range 1 + r.IntN(6) {
		m := rpc.Method{Kind: kinds[r.IntN(len(kinds))], Target: span(), Window: one(0, 0.001, span(), 1e6),
			Criticality: one(0, 0.1, 1, 3), LateShare: one(0, 0.2, 1)}
		m.Deadline = one(0, m.Target, m.Target*3, m.Target*100)
		if r.IntN(10) == 0 {
			m.Target = 0
		}
		c.Methods = append(c.Methods, m)
	}
	c.Machine = rpc.Machine{Callers: r.IntN(50), Cores: r.IntN(17), EntryKB: one(0, 0.001, 1, 27.8, 1e4),
		MemoryKB: one(0, 50, 2000, 13164, 1e9), RunFactor: one(0, 1, 4, 50), KeepAlive: one(0, 0.01, 30), ResultTTL: one(0, 2),
		Cold:       r.IntN(2) == 0,
		Preemption: []rpc.Preemption{"", rpc.NoPreemption, rpc.DiscardOnStop, rpc.FreezeOnStop}[r.IntN(4)],
		Signal:     []rpc.Signal{"", "none", rpc.Floor, rpc.Allowance, rpc.Weight}[r.IntN(5)],
		Gauges:     [][]string{nil, {"on_cores"}, {"core_use", "on_cores"}, {"heap_share"}}[r.IntN(4)]}
	c.Machine.Downstream = []string{"", "none", "one_for_all", "tier"}[r.IntN(4)]
	c.Machine.MaxDownstreamCalls, c.Machine.DownstreamCallWindow, c.Machine.Linger = one(0, 0.3, 5), one(0, 0.1, 5), one(0, 0.2)
	for range r.IntN(8) {
		c.Machine.CallsDownstream = append(c.Machine.CallsDownstream, r.IntN(2) == 0)
		c.Machine.SkipWorth = append(c.Machine.SkipWorth, one(0, 0.5))
	}
	for range r.IntN(3) {
		c.Tenants = append(c.Tenants, rpc.Tenant{Quota: one(0, 1, 1e6)})
	}
	c.Replicas, c.OverShareWorth = r.IntN(20), one(0, 0.1)
	c.Rules = rpc.Rules{OverloadFactor: one(0, 1, 5, 100), DrainGrace: one(0, 0.05, 2.5), StartCapacity: one(0, 0.2, 1), RampTime: one(0, 0.01, 18, 1e4),
		OverloadWindow: one(0, 0.1, 1.5, 100)}
	c.Clients.MarksRetry = r.IntN(2) == 0
	c.Ceilings.RetryAfter, c.Ceilings.MaxRetryAfter = r.IntN(2) == 0, one(0, 1, 60)
	return c
}

// try is one RPC as the drawn clients sent it, and what has come of it.
type try struct {
	name           string
	id             ID
	method         int
	kb             float64
	token          string
	came           float64 // to the machine; this and what follows by the true time
	read, answerBy float64
	ran            bool
	proven         bool // it never ran, the kernel has said
	over           bool // the kernel has told its end
	gone           bool
	bad            bool // no router sent it: its token is another RPC\'s, and the kernel knows nothing of its body
	answers        int
}

// drawn plays drawn clients and a drawn kernel to a gate, and judges what it does.
type drawn struct {
	*testing.T
	*Gate[*try]
	r       *rand.Rand
	c       rpc.Settings
	now     float64
	tries   []*try
	running []*try
	owed    []*try
	results map[string]bool
	left    float64 // when the notice came, 0 before
	tick    float64 // when the next is due
}

func (d *drawn) fault(t *try, what string) {
	d.Errorf("%8.3f %s of %s method: %s", d.now, t.name, d.c.Methods[t.method].Kind, what)
}

// arrive sends a new RPC or a further try.
func (d *drawn) arrive() {
	t := &try{read: d.now, kb: 1 + d.r.Float64()*100, name: fmt.Sprintf("%016x", len(d.tries)), method: d.r.IntN(len(d.c.Methods))}
	if d.c.Methods[t.method].Kind == rpc.Tokened {
		t.token = fmt.Sprint(d.r.IntN(1 + len(d.tries)/4))
	}
	body := "body " + t.token
	if t.bad = t.token != "" && d.r.IntN(10) == 0; t.bad {
		body = "another"
	}
	lay := []float64{0, 0.001, 0.02, 1, -0.5}[d.r.IntN(5)] * d.r.Float64() // below 0, recv lies ahead of the clock
	t.came = d.now - lay
	due := 0.0
	deadline := d.c.Methods[t.method].Deadline
	if deadline == 0 {
		deadline = math.Inf(1)
	}
	waits := deadline
	if d.r.IntN(3) > 0 {
		waits = []float64{0.001, 0.05, 1, 10, 4000}[d.r.IntN(5)]
		due = d.now - max(lay, 0) + waits
	}
	t.answerBy = max(d.now, min(t.came, d.now)+waits)
	var taken bool
	t.id, taken = d.Arrive(d.now, t.method, d.r.IntN(20), d.now-lay, due, t.kb, d.r.IntN(4) == 0, t.name, t.token,
		[]byte(body), t)
	if !taken {
		if !t.bad {
			d.fault(t, "not taken")
		}
		return
	}
	d.tries = append(d.tries, t)
	d.owed = append(d.owed, t)
}

// end has the kernel tell the end of a run.
func (d *drawn) end(k int) {
	t := d.running[k]
	d.running[k] = d.running[len(d.running)-1]
	d.running = d.running[:len(d.running)-1]
	t.over = true
	how := []rpc.Outcome{rpc.OK, rpc.OK, rpc.OK, rpc.Error, rpc.NotStarted, rpc.Cancelled}[d.r.IntN(6)]
	if t.bad {
		how = rpc.NotStarted
	}
	t.proven = how == rpc.NotStarted
	result := []byte(nil)
	if how == rpc.OK {
		result = []byte(fmt.Sprintf("%d %s of %s", t.method, t.token, t.name))
		d.results[string(result)] = true
	}
	d.Report(d.now, t.id, how, 0.1, result)
}

// begun judges that a run may begin.
func (d *drawn) begun(t *try) {
	if t.ran {
		d.fault(t, "run twice")
	}
	if t.answers > 0 || t.gone {
		d.fault(t, "run, and over")
	}
	if d.left > 0 && min(t.came, t.read) > d.left+d.c.Rules.DrainGrace {
		d.fault(t, "run past the grace")
	}
	for _, other := range d.tries {
		if t.token != "" && other != t && other.method == t.method && other.token == t.token && other.ran && !other.proven && !other.bad && !t.bad &&
			(!other.over || t.came <= other.came+d.c.Methods[t.method].Window) {
			d.fault(t, fmt.Sprintf("came %.4f, run within the window %g of %s, came %.4f, over %v, proven %v", t.came, d.c.Methods[t.method].Window, other.name, other.came, other.over, other.proven))
		}
	}
	t.ran = true
	d.running = append(d.running, t)
}

// pick takes what there is to do and judges it.
func (d *drawn) pick() {
	none, stop := context.WithCancel(context.Background())
	stop()
	for job, err := d.NextJob(none); err == nil; job, err = d.NextJob(none) {
		t := job.Request
		switch job.Action {
		case Run:
			d.begun(t)
			continue
		case Pause:
			if !d.c.Machine.Preemption.CanStop() || t.answers == 0 && !t.gone || t.token != "" {
				d.fault(t, "stopped")
			}
			continue
		case PushBack:
			if t.ran && d.c.Methods[t.method].Kind != rpc.Idempotent {
				d.fault(t, "pushed back and run")
			}
		case Serve:
			var method int
			var token, of string
			fmt.Sscanf(string(job.Result), "%d %s of %s", &method, &token, &of)
			own := fmt.Sprintf("%d %s of %s", t.method, t.token, t.name)
			if t.bad || !d.results[string(job.Result)] || string(job.Result) != own && (t.token == "" || method != t.method || token != t.token) {
				d.fault(t, "served with "+string(job.Result))
			}
		}
		if t.answers++; t.answers > 1 || t.gone {
			d.fault(t, "answered again, or though its caller is gone")
		}
	}
	d.memory()
	if v := d.Credit(); math.IsNaN(v) || math.IsInf(v, 0) {
		d.Errorf("credit %g", v)
	}
}

// memory judges that what is held, and what runs by its factor, fits.
func (d *drawn) memory() {
	sum := 0.0
	for _, t := range d.owed {
		if !t.ran && t.answers == 0 && !t.gone {
			sum += t.kb
		}
	}
	for _, t := range d.running {
		sum += t.kb * max(d.c.Machine.RunFactor, 1)
	}
	if limit := d.c.Machine.MemoryKB; limit > 0 && sum > limit {
		d.Errorf("%8.3f memory %.1f of %g", d.now, sum, limit)
	}
}

// overdue judges that what is due has been answered; the gate is looked at fifty times a second.
func (d *drawn) overdue(until float64) {
	kept := d.owed[:0]
	for _, t := range d.owed {
		switch {
		case t.answers > 0 || t.gone:
		case d.now > min(t.answerBy, until)+0.045:
			d.fault(t, fmt.Sprintf("not answered by %.3f", min(t.answerBy, until)))
		default:
			kept = append(kept, t)
		}
	}
	d.owed = kept
}

func (d *drawn) step() {
	d.now += d.r.ExpFloat64() * 0.005
	if d.r.IntN(2000) == 0 {
		d.now += 10 * d.r.Float64() // it stood still
	}
	for ; d.tick <= d.now; d.tick = max(d.tick+0.02, d.now+0.001) {
		var gauges []float64
		for range d.r.IntN(4) {
			gauges = append(gauges, []float64{0, 1, 30, 1e9}[d.r.IntN(4)])
		}
		d.Tick(d.now, gauges)
		d.pick()
	}
	switch d.r.IntN(8) {
	case 0, 1, 2:
		d.arrive()
	case 3, 4:
		if len(d.running) > 0 {
			d.end(d.r.IntN(len(d.running)))
		}
	case 5:
		if len(d.tries) > 0 && d.r.IntN(4) == 0 {
			if t := d.tries[len(d.tries)-1-d.r.IntN(min(len(d.tries), 20))]; t.answers == 0 {
				t.gone = true
				d.CallerGone(d.now, t.id)
			}
		}
	case 6:
		if d.r.IntN(20) == 0 {
			d.SetResultLimit(d.r.IntN(1000))
		}
	}
	d.pick()
}

func (d *drawn) play() {
	d.SetBootTime(d.now, d.now-d.r.Float64()*10, d.r.IntN(2) == 0)
	for range 2000 {
		d.step()
		d.overdue(math.Inf(1))
		if d.Failed() {
			return
		}
	}
	d.left = d.now
	stop := d.now + 0.6 + 3*d.r.Float64()
	d.Drain(d.now, stop)
	d.pick()
	for d.now < stop+0.1 && !d.Failed() {
		d.step()
		d.overdue(stop - 0.2) // what is read past that is answered as well, but not judged
	}
}

// Drawn settings, clients and kernels: each RPC gets its one answer in time, with a result of its own, nothing runs twice
// within a window, nothing that ran is pushed back, nothing past the grace runs, and nothing is stopped without leave.
func TestDrawn(t *testing.T) {
	for seed := range uint64(150) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 42))
			d := &drawn{T: t, r: r, c: drawnSettings(r), now: 1e6, results: map[string]bool{}}
			d.tick = d.now
			d.Gate = New[*try](d.now, d.c, r.IntN(2000))
			d.play()
		})
	}
}
