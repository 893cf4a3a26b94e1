package pressure

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// stage plays a watch by hand; asked RPCs come at given rates, and what is let in is ok.
type stage struct {
	*Monitor
	now       float64
	asked, ok []uint64
	rates     []float64
}

func newStage(change func(t *Config)) *stage {
	t := Defaults()
	t.Criticality = []float64{1, 5, 30}
	t.MaxRetryAfter = 2
	if change != nil {
		change(&t)
	}
	s := &stage{asked: make([]uint64, 3), ok: make([]uint64, 3), rates: []float64{650, 150, 200}}
	s.Monitor = New(0, t)
	return s
}

// pass lets time pass with readings of one kind, every 50 ms, and prints changes of level.
func (s *stage) pass(seconds float64, r func(t float64) Reading) {
	for end := s.now + seconds; s.now < end-1e-9; {
		s.now += 0.05
		for k, rate := range s.rates {
			n := rate * 0.05
			s.asked[k] += uint64(n)
			s.ok[k] += uint64(n * s.AdmitShare(k))
		}
		from := s.Level()
		if s.Update(s.now, r(s.now), s.asked, s.ok) {
			fmt.Printf("%6.2f %s from %s by %s\n", s.now, s.Level(), from, s.Causes())
		}
	}
}

// with is a reading of some signals alone.
func with(pairs ...float64) func(float64) Reading {
	return func(float64) Reading {
		r := Unknown()
		for k := 0; k < len(pairs); k += 2 {
			r[Signal(pairs[k])] = pairs[k+1]
		}
		return r
	}
}

// Up within two readings, down by one after two seconds of better ones each; one bad reading is none.
func Example_levels() {
	s := newStage(nil)
	calm := with(float64(LoopDelay), 0.001)
	s.pass(1, calm)
	s.pass(0.05, with(float64(LoopDelay), 5)) // a pause of the machine
	s.pass(1, calm)
	s.pass(0.3, with(float64(LoopDelay), 0.03))
	s.pass(0.3, with(float64(LoopDelay), 0.1))
	s.pass(0.3, with(float64(Scheduler), 0.3, float64(Memory), 0.2))
	fmt.Printf("%+v\n", s.Effects())
	s.pass(20, calm)
	fmt.Printf("%+v\n", s.Effects() == Effects{CreditFactor: 1, Accept: true, MaxFrameBytes: math.MaxInt, ResultFactor: 1, Healthy: true})
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

// The least worthy go first, a method that is refused whole keeps a trickle, and the most critical is the last to be cut.
func Example_order() {
	s := newStage(nil)
	over := with(float64(ReadDelay), 0.06, float64(LoopDelay), 0.03)
	s.pass(0.5, over)
	show := func() { fmt.Printf("let in: %.2f %.2f %.2f\n", s.AdmitShare(0), s.AdmitShare(1), s.AdmitShare(2)) }
	show()
	s.pass(1, over)
	show()
	s.pass(1, over)
	show()
	s.pass(1, over)
	show()
	// Output:
	//   0.10 pressed from calm by loop unread
	// let in: 0.05 0.79 1.00
	// let in: 0.05 0.05 0.24
	// let in: 0.05 0.05 0.24
	// let in: 0.05 0.05 0.24
}

// Callers' clocks that jump, with nothing else slow, make wary and no more: nobody is refused for them.
func Example_clocks() {
	s := newStage(nil)
	s.pass(3, with(float64(ReadDelay), 3600, float64(LoopDelay), 0.001, float64(CPU), 0.2))
	fmt.Println(s.Level(), s.AdmitShare(0))
	var l ReadDelayEstimator
	fmt.Println(l.Update(0, 10, 10, false), l.Update(1, 10.5, 10, false), l.Update(2, -35000, 10, true), l.Update(3, -35000, 10, false))
	fmt.Println(l.Update(4, math.NaN(), 10, false), l.Update(5, 0, 0, false))
	// Output:
	//   0.10 wary from calm by unread
	// wary 1
	// 0 0.050000000000000044 NaN 0
	// NaN NaN
}

// Memory that grows steadily is foreseen; a load that comes and goes, and a process that has warmed up, are not.
func Example_leak() {
	short := func(t *Config) { t.GrowthWindow, t.Forecast = 12, 60 }
	s := newStage(short)
	memory := func(f func(t float64) float64) func(float64) Reading {
		return func(t float64) Reading {
			r := Unknown()
			r[Memory] = f(t)
			return r
		}
	}
	s.pass(30, memory(func(t float64) float64 { return 0.3 + 0.2*math.Abs(math.Sin(t/2)) }))
	s = newStage(short)
	s.pass(30, memory(func(t float64) float64 { return 0.4 * (1 - math.Exp(-t)) }))
	s = newStage(short)
	s.pass(40, memory(func(t float64) float64 { return 0.2 + 0.01*t + 0.02*math.Abs(math.Sin(9*t)) }))
	fmt.Printf("%.0f s left, and %.0f\n", s.TimeToMemoryLimit(), (0.8-0.01*40)/0.01)
	s.pass(50, memory(func(t float64) float64 { return min(0.2+0.01*t, 0.98) }))
	fmt.Println(s.AdmitShare(0), s.AdmitShare(2))
	// Output:
	//  23.35 wary from calm by leak
	// 42 s left, and 40
	//  55.10 pressed from wary by memory
	//  65.10 strained from pressed by memory
	//  72.60 shut from strained by memory
	// 0 0
}

// A signal that is lost or makes no sense counts for nothing, and takes nothing with it.
func TestNonsense(t *testing.T) {
	for _, bad := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1} {
		for k := range Signals {
			s := newStage(nil)
			s.pass(1, with(float64(k), bad))
			if s.Level() != Calm {
				t.Errorf("%v of %g: %v", k, bad, s.Level())
			}
			r := func(float64) Reading {
				r := Unknown()
				r[LoopDelay], r[Scheduler] = 0.03, 0.03
				if k != LoopDelay {
					r[k] = bad
				} else {
					r[LoopDelay] = bad
				}
				return r
			}
			w := newStage(nil)
			for range 10 {
				w.now += 0.05
				w.Update(w.now, r(w.now), w.asked, w.ok)
			}
			if w.Level() != Pressed {
				t.Errorf("%v of %g hides the others: %v", k, bad, w.Level())
			}
		}
	}
}

// A load at the very edge does not flap: each fall that proved too early makes the next take twice as long.
func TestEdge(t *testing.T) {
	s := newStage(func(t *Config) { t.Criticality = []float64{1, 5, 30} })
	changes := 0
	for k := range 120 * 20 {
		s.now += 0.05
		r := Unknown()
		r[LoopDelay] = 0.019 + 0.002*math.Sin(float64(k)/40) // seconds near the threshold
		if s.Update(s.now, r, s.asked, s.ok) {
			changes++
		}
	}
	if changes > 6 {
		t.Errorf("%d changes of level in two minutes", changes)
	}
}

// Whatever is read, in whatever order, with the clock set back at will: the level moves up by what two readings agree on
// and down one at a time, shares stay shares, no method starves short of Shut, and all is well in the end.
func TestAnyReading(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStage(nil)
		value := rapid.SampledFrom([]float64{math.NaN(), -1, 0, 0.01, 0.03, 0.1, 0.5, 0.8, 0.97, 2, 1e9, math.Inf(1)})
		t.Repeat(map[string]func(*rapid.T){
			"read": func(t *rapid.T) {
				r := Unknown()
				for k := range Signals {
					r[k] = value.Draw(t, k.String())
				}
				s.now += rapid.SampledFrom([]float64{-5, 0, 0.05, 0.05, 1}).Draw(t, "passed")
				for k := range s.asked {
					s.asked[k] += uint64(rapid.IntRange(0, 50).Draw(t, "asked"))
				}
				from := s.Level()
				s.Update(s.now, r, s.asked, s.ok)
				if s.Level() < from && s.Level() != from-1 {
					t.Fatalf("from %v to %v", from, s.Level())
				}
			},
			"": func(t *rapid.T) {
				for k := range s.asked {
					if a := s.AdmitShare(k); !(a >= 0 && a <= 1) || s.Level() < Shut && s.space > 0 && a < trickle {
						t.Fatalf("method %d is let in by %g at %v", k, a, s.Level())
					}
				}
				e := s.Effects()
				if !(e.CreditFactor >= 0 && e.CreditFactor <= 1) || e.RetryAfter < 0 || e.RetryAfter > 2 || (s.Level() == Shut) == e.Healthy {
					t.Fatalf("%v: %+v", s.Level(), e)
				}
			},
		})
		for range 4000 {
			s.now = s.read + 0.05
			r := Unknown()
			r[LoopDelay], r[Memory] = 0, 0.1
			s.Update(s.now, r, s.asked, s.ok)
		}
		if s.Level() != Calm || s.AdmitShare(0) != 1 {
			t.Fatalf("%v after minutes of calm, %g let in", s.Level(), s.AdmitShare(0))
		}
	})
}
