package logic_test

import (
	"cmp"
	"math"
	"math/rand/v2"
	"testing"

	"valveglade/rpc"
)

// A cold app server does not know which of its 40 callers will come, and each may: what all are told together stays
// within 2*sqrt(N)+2, N being the runs that end within the settings' span, whoever has been heard. Once warm it is the
// pool again, with at least 1 for each.
func TestColdCreditSum(t *testing.T) {
	const callers, span, took = 40, 1.5, 0.3
	d := open(func(c *rpc.Settings) {
		c.Machine.Cold, c.Machine.Callers, c.Machine.Cores = true, callers, 4
		c.Rules.CrowdSpan, c.Rules.ColdAt, c.Rules.WarmIn = span, 0.2, 10
	})
	d.quiet = true
	bound := 2*math.Sqrt(4*span/took) + 2
	largest := 0.0
	for i := range 60 {
		d.arriveAs(i%4, read, i%3, 0, rpc.None) // three of the forty have been heard
		d.pass(0.1)
		largest = max(largest, d.credit*callers)
		d.m.Ended(d.now, i%4, rpc.OK, took)
	}
	if largest > bound || largest < 2 {
		t.Errorf("%.1f are told to all callers together, %.1f at the most are borne", largest, bound)
	}
	d.pass(5)
	if d.credit < 1 {
		t.Errorf("credit %g once warm", d.credit)
	}
}

// Runs whose time is told as less than nothing, or as ages, are not believed: the credit is soon what it would be.
func TestColdRunTimesOdd(t *testing.T) {
	for _, took := range []float64{-1e9, 1e300, 0} {
		d := open(func(c *rpc.Settings) { c.Machine.Cold, c.Rules.WarmIn, c.Rules.CrowdSpan = true, 1000, 1.5 })
		d.quiet = true
		for i := range 40 {
			d.arriveAs(i%4, read, 0, 0, rpc.None)
			d.pass(0.02)
			d.m.Ended(d.now, i%4, rpc.OK, took)
		}
		d.pass(120)
		if !(d.credit > 0.1 && d.credit < 10) {
			t.Errorf("credit %g after runs told to take %g s", d.credit, took)
		}
	}
}

// coldTrial is one cold start under more demand than it can bear.
type coldTrial struct {
	callers, told int // that there are, and that the settings say there are
	cores         int
	first         float64 // requests of mean work within the first span
	span          float64 // fallS
	coldAt        float64 // startCapacity
	warmIn        float64 // rampTimeS
	target        float64
	eager         bool // callers draw the fraction of their credit for each RPC, not once for the time that one takes
}

// work is the mean work of an RPC in seconds on a core.
func (c coldTrial) work() float64 { return float64(c.cores) * c.warmth(0) * c.span / c.first }

func (c coldTrial) warmth(age float64) float64 {
	if c.warmIn <= 0 {
		return 1
	}
	return min(1, c.coldAt+(1-c.coldAt)*max(age, 0)/c.warmIn)
}

// budget is the most requests of mean work that are borne in the span that ends at some age.
func (c coldTrial) budget(age float64) float64 {
	const steps, few = 20, 30
	n := 0.0
	for k := range steps {
		n += c.warmth(age-c.span*(float64(k)+0.5)/steps) / steps * float64(c.cores) * c.span / c.work()
	}
	if n < few {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// heedingCaller goes by the credit that it was told last, and draws its fraction.
type heedingCaller struct {
	credit float64
	out    int
	drawAt float64
	drawn  bool
	took   float64
}

// run plays the trial; it returns the worst ratio of arrivals to the budget, and the share of what the cores could do from
// the middle of the slow start to its end that was done.
func (c coldTrial) run(seed uint64) (ratio, done float64) {
	chance := rand.New(rand.NewPCG(seed, 47))
	work := c.work()
	settings := rpc.Settings{Methods: []rpc.Method{{Kind: rpc.Idempotent, Target: c.target, Deadline: 2 * c.target, Criticality: 1}},
		Machine: rpc.Machine{Cores: c.cores, Callers: c.told, Cold: true, Signal: rpc.Allowance, RunFactor: 1, Preemption: rpc.Freezes},
		Rules:   rpc.Rules{Crowd: 5, Grace: 1, ColdAt: c.coldAt, WarmIn: c.warmIn, CrowdSpan: c.span}}
	m := newMachine(settings, chance)
	m.runTime = func(*request) float64 { return work * (0.5 + chance.Float64()) / c.warmth(m.now-m.began) }
	callers := make([]heedingCaller, c.callers)
	var arrivals []float64
	var send func(k int)
	m.onEnd = func(r *request) {
		k := r.caller
		m.after(0.0005, func() { // the answer carries the credit of the moment in which it is written
			callers[k].out--
			callers[k].credit = m.credit
			callers[k].took = max(m.now-r.read, 0.05)
			send(k)
		})
	}
	send = func(k int) {
		caller := &callers[k]
		whole, part := math.Modf(caller.credit)
		if caller.out == int(whole) && (c.eager || m.now >= caller.drawAt) {
			caller.drawn, caller.drawAt = chance.Float64() < part, m.now+caller.took
		}
		for caller.out < int(whole) || caller.out == int(whole) && caller.drawn {
			if caller.out == int(whole) {
				caller.drawn = false
			}
			caller.out++
			arrivals = append(arrivals, m.now-m.began)
			left := 2 * c.target * chance.Float64() // what waited at its caller has the less time left
			m.arrive(0, k, 0, 0.0005, m.now+left, 1)
		}
	}
	length := max(c.warmIn, c.span)
	var offer func(k int)
	offer = func(k int) {
		send(k)
		m.after(chance.ExpFloat64()*work*float64(c.callers)/float64(c.cores)/3, func() { offer(k) })
	}
	for k := range callers {
		callers[k].credit, callers[k].took = m.credit, 0.25 // a health check has told it
		m.after(chance.Float64()*0.1, func() { offer(k) })
	}
	m.pass(length / 2)
	before := m.served
	m.pass(length / 2)
	able := 0.0
	for age := length / 2; age < length; age += 0.001 {
		able += 0.001 * c.warmth(age) * float64(c.cores) / work
	}
	begin := 0
	for k, at := range arrivals {
		for arrivals[begin] <= at-c.span {
			begin++
		}
		if at <= length {
			ratio = max(ratio, float64(k-begin+1)/c.budget(at))
		}
	}
	return ratio, float64(m.served-before) / able
}

// Whatever the callers are and however much one does, a machine that comes up slowly gets no more than the budget of the
// platform within any span, and is not left idle by it.
func TestColdBudget(t *testing.T) {
	for _, callers := range []int{1, 3, 8, 24} {
		for _, first := range []float64{1, 4, 15, 29, 60, 150, 400} {
			for shape, c := range map[string]coldTrial{
				"plain": {}, "eager": {eager: true}, "short ramp": {warmIn: 0.3}, "no ramp": {warmIn: -1}, "long ramp": {warmIn: 20},
				"full capacity": {coldAt: 1}, "tight target": {target: 0.3}, "one of many": {told: 3 * callers},
				"more than told": {told: (callers + 2) / 3},
			} {
				c.callers, c.first, c.span, c.cores = callers, first, 1.5, 2
				c.told, c.coldAt = cmp.Or(c.told, callers), cmp.Or(c.coldAt, 0.2)
				c.warmIn = cmp.Or(c.warmIn, 8)
				c.target = max(cmp.Or(c.target, 2), 4*c.work()/c.coldAt)
				for seed := range uint64(1) {
					ratio, done := c.run(seed)
					if ratio > 1 {
						t.Errorf("%d callers, %s, N %g: %.2f times the budget", callers, shape, first, ratio)
					}
					if testing.Verbose() {
						t.Logf("%d callers, %s, N %g: ratio %.2f, done %.2f", callers, shape, first, ratio, done)
					}
				}
			}
		}
	}
}
