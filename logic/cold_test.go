package logic_test

import (
	"cmp"
	"math"
	"math/rand/v2"
	"testing"

	"valveglade/rpc"
)

// A cold app server cannot know which of its 40 callers will send, and each may: the credit of all of them
// together must stay within 2*sqrt(N)+2, N being the runs that end within Rules.OverloadWindow, whichever
// callers have been active. Once warm, each caller has a credit of at least 1 again.
func TestColdCreditSum(t *testing.T) {
	const callers, window, took = 40, 1.5, 0.3
	h := newHarness(func(c *rpc.Settings) {
		c.Machine.Cold, c.Machine.Callers, c.Machine.Cores = true, callers, 4
		c.Rules.OverloadWindow, c.Rules.StartCapacity, c.Rules.RampTime = window, 0.2, 10
	})
	h.quiet = true
	bound := 2*math.Sqrt(4*window/took) + 2
	largest := 0.0
	for i := range 60 {
		h.arriveFrom(i%4, read, i%3, 0, rpc.RepeatsNone) // three of the forty callers are active
		h.advance(0.1)
		largest = max(largest, h.credit*callers)
		h.m.Ended(h.now, i%4, rpc.OK, took)
	}
	if largest > bound || largest < 2 {
		t.Errorf("the credit of all callers is %.1f, at most %.1f can be withstood", largest, bound)
	}
	h.advance(5)
	if h.credit < 1 {
		t.Errorf("credit %g once warm", h.credit)
	}
}

// Implausible run times, negative or huge, must not distort the credit for long.
func TestColdImplausibleRunTimes(t *testing.T) {
	for _, took := range []float64{-1e9, 1e300, 0} {
		h := newHarness(func(c *rpc.Settings) {
			c.Machine.Cold, c.Rules.RampTime, c.Rules.OverloadWindow = true, 1000, 1.5
		})
		h.quiet = true
		for i := range 40 {
			h.arriveFrom(i%4, read, 0, 0, rpc.RepeatsNone)
			h.advance(0.02)
			h.m.Ended(h.now, i%4, rpc.OK, took)
		}
		h.advance(120)
		if !(h.credit > 0.1 && h.credit < 10) {
			t.Errorf("credit %g after runs with a reported time of %g s", h.credit, took)
		}
	}
}

// coldStart is one cold start under more demand than the server can serve.
type coldStart struct {
	callers       int // actual number of callers
	configured    int // number of callers in the settings
	cores         int
	first         float64 // requests of mean work that the server can serve in the first window
	window        float64 // fallS of the config, Rules.OverloadWindow
	startCapacity float64 // startCapacity of the config
	rampTime      float64 // rampTimeS of the config
	target        float64
	eager         bool // callers draw the fraction of their credit for each RPC, not once per run time
}

// meanWork is the mean work of an RPC in core seconds.
func (c coldStart) meanWork() float64 {
	return float64(c.cores) * c.warmUpFactor(0) * c.window / c.first
}

// warmUpFactor is the fraction of the full speed at the given age.
func (c coldStart) warmUpFactor(age float64) float64 {
	if c.rampTime <= 0 {
		return 1
	}
	return min(1, c.startCapacity+(1-c.startCapacity)*max(age, 0)/c.rampTime)
}

// arrivalLimit is the most requests of mean work that the server withstands in the window that ends at
// the given age.
func (c coldStart) arrivalLimit(age float64) float64 {
	const steps, smallCount = 20, 30
	n := 0.0
	for k := range steps {
		n += c.warmUpFactor(age-c.window*(float64(k)+0.5)/steps) / steps *
			float64(c.cores) * c.window / c.meanWork()
	}
	if n < smallCount {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// creditCaller sends RPCs as its last received credit allows, the fraction at random.
type creditCaller struct {
	credit      float64
	outstanding int
	drawAt      float64 // when the fraction of the credit is drawn again
	drawn       bool    // the last draw allows one more RPC
	took        float64 // how long its last RPC took
}

// run simulates the cold start. It returns the worst ratio of arrivals to their limit, and the share of the
// possible work in the second half of the warm-up that was done.
func (c coldStart) run(seed uint64) (ratio, done float64) {
	rng := rand.New(rand.NewPCG(seed, 47))
	work := c.meanWork()
	settings := rpc.Settings{
		Methods: []rpc.Method{{Kind: rpc.Idempotent, Target: c.target, Deadline: 2 * c.target, Criticality: 1}},
		Machine: rpc.Machine{Cores: c.cores, Callers: c.configured, Cold: true,
			Signal: rpc.Allowance, RunFactor: 1, Preemption: rpc.FreezeOnStop},
		Rules: rpc.Rules{OverloadFactor: 5, DrainGrace: 1, StartCapacity: c.startCapacity, RampTime: c.rampTime,
			OverloadWindow: c.window}}
	s := newFakeServer(settings, rng)
	s.runTime = func(*request) float64 {
		return work * (0.5 + rng.Float64()) / c.warmUpFactor(s.now-s.startTime)
	}
	callers := make([]creditCaller, c.callers)
	var arrivals []float64
	var send func(k int)
	s.onAnswer = func(r *request) {
		k := r.caller
		s.after(0.0005, func() { // the answer carries the credit at the time of its write
			callers[k].outstanding--
			callers[k].credit = s.credit
			callers[k].took = max(s.now-r.read, 0.05)
			send(k)
		})
	}
	send = func(k int) {
		caller := &callers[k]
		whole, fraction := math.Modf(caller.credit)
		if caller.outstanding == int(whole) && (c.eager || s.now >= caller.drawAt) {
			caller.drawn, caller.drawAt = rng.Float64() < fraction, s.now+caller.took
		}
		for caller.outstanding < int(whole) || caller.outstanding == int(whole) && caller.drawn {
			if caller.outstanding == int(whole) {
				caller.drawn = false
			}
			caller.outstanding++
			arrivals = append(arrivals, s.now-s.startTime)
			timeLeft := 2 * c.target * rng.Float64() // an RPC that waited at its caller has less time left
			s.arrive(0, k, 0, 0.0005, s.now+timeLeft, 1)
		}
	}
	duration := max(c.rampTime, c.window)
	var sendAtRandom func(k int)
	sendAtRandom = func(k int) {
		send(k)
		s.after(rng.ExpFloat64()*work*float64(c.callers)/float64(c.cores)/3, func() { sendAtRandom(k) })
	}
	for k := range callers {
		callers[k].credit, callers[k].took = s.credit, 0.25 // received with a health check
		s.after(rng.Float64()*0.1, func() { sendAtRandom(k) })
	}
	s.advance(duration / 2)
	before := s.served
	s.advance(duration / 2)
	possible := 0.0
	for age := duration / 2; age < duration; age += 0.001 {
		possible += 0.001 * c.warmUpFactor(age) * float64(c.cores) / work
	}
	windowStart := 0
	for k, at := range arrivals {
		for arrivals[windowStart] <= at-c.window {
			windowStart++
		}
		if at <= duration {
			ratio = max(ratio, float64(k-windowStart+1)/c.arrivalLimit(at))
		}
	}
	return ratio, float64(s.served-before) / possible
}

// During warm-up a server must get no more arrivals in any interval than it withstands, for any number of
// callers and any amount of work per RPC. Verbose runs also log the share of the possible work that was
// done.
func TestColdArrivalLimit(t *testing.T) {
	for _, callers := range []int{1, 3, 8, 24} {
		for _, first := range []float64{1, 4, 15, 29, 60, 150, 400} {
			for shape, c := range map[string]coldStart{
				"plain": {}, "eager": {eager: true}, "short ramp": {rampTime: 0.3},
				"no ramp": {rampTime: -1}, "long ramp": {rampTime: 20},
				"full capacity": {startCapacity: 1}, "tight target": {target: 0.3},
				"one of many":          {configured: 3 * callers},
				"more than configured": {configured: (callers + 2) / 3},
			} {
				c.callers, c.first, c.window, c.cores = callers, first, 1.5, 2
				c.configured, c.startCapacity = cmp.Or(c.configured, callers), cmp.Or(c.startCapacity, 0.2)
				c.rampTime = cmp.Or(c.rampTime, 8)
				c.target = max(cmp.Or(c.target, 2), 4*c.meanWork()/c.startCapacity)
				for seed := range uint64(1) {
					ratio, done := c.run(seed)
					if ratio > 1 {
						t.Errorf("%d callers, %s, N %g: %.2f times the arrival limit", callers, shape, first, ratio)
					}
					if testing.Verbose() {
						t.Logf("%d callers, %s, N %g: ratio %.2f, done %.2f", callers, shape, first, ratio, done)
					}
				}
			}
		}
	}
}
