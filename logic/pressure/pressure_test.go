package pressure

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// harness drives a monitor with a simulated clock and load. RPCs arrive at fixed rates, and those admitted
// succeed.
type harness struct {
	*Monitor
	now       float64
	arrived   []uint64  // total by method
	succeeded []uint64  // total by method
	rates     []float64 // arrivals per second by method
}

func newHarness(change func(c *Config)) *harness {
	config := Defaults()
	config.Criticality = []float64{1, 5, 30}
	config.MaxRetryAfter = 2
	if change != nil {
		change(&config)
	}
	h := &harness{arrived: make([]uint64, 3), succeeded: make([]uint64, 3), rates: []float64{650, 150, 200}}
	h.Monitor = New(0, config)
	return h
}

// advance lets time pass with a reading every 50 ms and prints changes of level.
func (h *harness) advance(seconds float64, readingAt func(now float64) Reading) {
	for end := h.now + seconds; h.now < end-1e-9; {
		h.now += 0.05
		for k, rate := range h.rates {
			n := rate * 0.05
			h.arrived[k] += uint64(n)
			h.succeeded[k] += uint64(n * h.AdmitShare(k))
		}
		from := h.Level()
		if h.Update(h.now, readingAt(h.now), h.arrived, h.succeeded) {
			fmt.Printf("%6.2f %s from %s by %s\n", h.now, h.Level(), from, h.Causes())
		}
	}
}

// constant returns a constant reading in which only the given signals are known, as pairs of signal and
// value.
func constant(pairs ...float64) func(float64) Reading {
	return func(float64) Reading {
		r := Unknown()
		for k := 0; k < len(pairs); k += 2 {
			r[Signal(pairs[k])] = pairs[k+1]
		}
		return r
	}
}

// The level rises after two consecutive bad readings and falls by one after two seconds of better ones. A
// single bad reading does not raise it.
func Example_levels() {
	h := newHarness(nil)
	calm := constant(float64(LoopDelay), 0.001)
	h.advance(1, calm)
	h.advance(0.05, constant(float64(LoopDelay), 5)) // the machine was paused
	h.advance(1, calm)
	h.advance(0.3, constant(float64(LoopDelay), 0.03))
	h.advance(0.3, constant(float64(LoopDelay), 0.1))
	h.advance(0.3, constant(float64(Scheduler), 0.3, float64(Memory), 0.2))
	fmt.Printf("%+v\n", h.Effects())
	h.advance(20, calm)
	fmt.Printf("%+v\n", h.Effects() == Effects{CreditFactor: 1, Accept: true,
		MaxFrameBytes: math.MaxInt, ResultFactor: 1, Healthy: true})
	// Output:
	//   2.15 pressed from calm by loop
	//   2.45 strained from pressed by loop
	//   2.75 shut from strained by scheduler
	// {MaxTurn:4 CreditFactor:0 Accept:false MaxFrameBytes:1200 ResultFactor:0.1 Healthy:false RetryAfter:1}
	//   5.00 strained from shut by scheduler
	//   7.05 pressed from strained by scheduler
	//   9.05 wary from pressed by scheduler
	//  11.05 calm from wary by scheduler
	// true
}

// RPCs of the lowest criticality are refused first, a method that is otherwise refused keeps a minimal share,
// and the most critical method is the last to be cut.
func Example_order() {
	h := newHarness(nil)
	overload := constant(float64(ReadDelay), 0.06, float64(LoopDelay), 0.03)
	h.advance(0.5, overload)
	show := func() {
		fmt.Printf("admitted: %.2f %.2f %.2f\n", h.AdmitShare(0), h.AdmitShare(1), h.AdmitShare(2))
	}
	show()
	h.advance(1, overload)
	show()
	h.advance(1, overload)
	show()
	h.advance(1, overload)
	show()
	// Output:
	//   0.10 pressed from calm by loop unread
	// admitted: 0.05 0.79 1.00
	// admitted: 0.05 0.05 0.24
	// admitted: 0.05 0.05 0.24
	// admitted: 0.05 0.05 0.24
}

// A jump of callers' clocks, with no other signal high, raises the level to Wary only, at which no RPC is
// refused.
func Example_clocks() {
	h := newHarness(nil)
	h.advance(3, constant(float64(ReadDelay), 3600, float64(LoopDelay), 0.001, float64(CPU), 0.2))
	fmt.Println(h.Level(), h.AdmitShare(0))
	var l ReadDelayEstimator
	fmt.Println(l.Update(0, 10, 10, false), l.Update(1, 10.5, 10, false), l.Update(2, -35000, 10, true),
		l.Update(3, -35000, 10, false))
	fmt.Println(l.Update(4, math.NaN(), 10, false), l.Update(5, 0, 0, false))
	// Output:
	//   0.10 wary from calm by unread
	// wary 1
	// 0 0.050000000000000044 NaN 0
	// NaN NaN
}

// Steady growth of memory is forecast as a leak. A load that comes and goes, or a process that has warmed up,
// is not.
func Example_leak() {
	short := func(c *Config) { c.GrowthWindow, c.Forecast = 12, 60 }
	h := newHarness(short)
	memory := func(usage func(now float64) float64) func(float64) Reading {
		return func(now float64) Reading {
			r := Unknown()
			r[Memory] = usage(now)
			return r
		}
	}
	h.advance(30, memory(func(t float64) float64 { return 0.3 + 0.2*math.Abs(math.Sin(t/2)) }))
	h = newHarness(short)
	h.advance(30, memory(func(t float64) float64 { return 0.4 * (1 - math.Exp(-t)) }))
	h = newHarness(short)
	h.advance(40, memory(func(t float64) float64 { return 0.2 + 0.01*t + 0.02*math.Abs(math.Sin(9*t)) }))
	fmt.Printf("%.0f s left, and %.0f\n", h.TimeToMemoryLimit(), (0.8-0.01*40)/0.01)
	h.advance(50, memory(func(t float64) float64 { return min(0.2+0.01*t, 0.98) }))
	fmt.Println(h.AdmitShare(0), h.AdmitShare(2))
	// Output:
	//  23.35 wary from calm by leak
	// 42 s left, and 40
	//  55.10 pressed from wary by memory
	//  65.10 strained from pressed by memory
	//  72.60 shut from strained by memory
	// 0 0
}

// An unknown or invalid value of one signal is ignored and does not hide the other signals.
func TestInvalidValues(t *testing.T) {
	for _, invalid := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1} {
		for k := range Signals {
			h := newHarness(nil)
			h.advance(1, constant(float64(k), invalid))
			if h.Level() != Calm {
				t.Errorf("%v of %g: %v", k, invalid, h.Level())
			}
			readingAt := func(float64) Reading {
				r := Unknown()
				r[LoopDelay], r[Scheduler] = 0.03, 0.03
				if k != LoopDelay {
					r[k] = invalid
				} else {
					r[LoopDelay] = invalid
				}
				return r
			}
			other := newHarness(nil)
			for range 10 {
				other.now += 0.05
				other.Update(other.now, readingAt(other.now), other.arrived, other.succeeded)
			}
			if other.Level() != Pressed {
				t.Errorf("%v of %g hides the others: %v", k, invalid, other.Level())
			}
		}
	}
}

// A signal that oscillates around a threshold does not make the level flap: each fall that proves too early
// doubles the time until the next.
func TestNoFlappingAtThreshold(t *testing.T) {
	h := newHarness(func(c *Config) { c.Criticality = []float64{1, 5, 30} })
	changes := 0
	for k := range 120 * 20 {
		h.now += 0.05
		r := Unknown()
		r[LoopDelay] = 0.019 + 0.002*math.Sin(float64(k)/40) // stays near the threshold for seconds
		if h.Update(h.now, r, h.arrived, h.succeeded) {
			changes++
		}
	}
	if changes > 6 {
		t.Errorf("%d changes of level in two minutes", changes)
	}
}

// With arbitrary readings, and a clock that may be set back, the level falls by one at a time, admitted
// shares stay within [0, 1], no method starves below Shut while memory allows any RPC, and the level returns
// to Calm in the end.
func TestAnyReading(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(nil)
		value := rapid.SampledFrom([]float64{math.NaN(), -1, 0, 0.01, 0.03, 0.1, 0.5, 0.8, 0.97, 2, 1e9,
			math.Inf(1)})
		t.Repeat(map[string]func(*rapid.T){
			"read": func(t *rapid.T) {
				r := Unknown()
				for k := range Signals {
					r[k] = value.Draw(t, k.String())
				}
				h.now += rapid.SampledFrom([]float64{-5, 0, 0.05, 0.05, 1}).Draw(t, "passed")
				for k := range h.arrived {
					h.arrived[k] += uint64(rapid.IntRange(0, 50).Draw(t, "asked"))
				}
				from := h.Level()
				h.Update(h.now, r, h.arrived, h.succeeded)
				if h.Level() < from && h.Level() != from-1 {
					t.Fatalf("from %v to %v", from, h.Level())
				}
			},
			"": func(t *rapid.T) {
				for k := range h.arrived {
					if a := h.AdmitShare(k); !(a >= 0 && a <= 1) ||
						h.Level() < Shut && h.memoryShare > 0 && a < minMethodShare {
						t.Fatalf("admitted share %g of method %d at %v", a, k, h.Level())
					}
				}
				e := h.Effects()
				if !(e.CreditFactor >= 0 && e.CreditFactor <= 1) || e.RetryAfter < 0 || e.RetryAfter > 2 ||
					(h.Level() == Shut) == e.Healthy {
					t.Fatalf("%v: %+v", h.Level(), e)
				}
			},
		})
		for range 4000 {
			h.now = h.updatedAt + 0.05
			r := Unknown()
			r[LoopDelay], r[Memory] = 0, 0.1
			h.Update(h.now, r, h.arrived, h.succeeded)
		}
		if h.Level() != Calm || h.AdmitShare(0) != 1 {
			t.Fatalf("%v after minutes of calm, admitted share %g", h.Level(), h.AdmitShare(0))
		}
	})
}
