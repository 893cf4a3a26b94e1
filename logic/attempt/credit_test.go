package attempt

import (
	"math"
	"slices"
	"testing"

	"valveglade/rpc"
)

// An app server that may be cold is asked by a health check before anything is sent to it, and again once it
// may be another process.
func Example_asksFirst() {
	s := newHarness(Config{}, "a:1")
	first := s.ask(rpc.Idempotent, 0, 10)
	s.meet()
	s.meet()
	s.checked(1)
	s.answer(first, 1, Served, false, 0, 1)
	s.Dropped(s.now, 0, false)
	s.Dropped(s.now, 1, false)
	s.ask(rpc.Idempotent, 0, 10)
	s.until(1)
	s.meet()
	s.meet()
	s.checked(1)
	// Output:
	// 0.00 dial a:1
	//   0.00 dial a:1
	//   0.00 check a:1
	//   0.00 send 0.1 to a:1
	//   0.00 end 0: ok, ran, 1 tries, again false
	//   0.00 dial a:1
	//   1.00 dial a:1
	//   1.00 check a:1
	//   1.00 send 0.1 to a:1
}

// Two dozen clients with more to send than a cold app server bears, none of which knows of the others: it
// lets each have a fraction out, and by what all send together no second brings more than the tries that end
// in it and the sum of the fractions allow, but for chance.
func TestFractionsSum(t *testing.T) {
	const clients, share, took, seconds = 24, 4.0, 0.5, 20
	dispatchers := make([]*harness, clients)
	for k := range dispatchers {
		dispatchers[k] = &harness{Dispatcher: New(100, Config{Seed: uint64(k + 1)}), now: 100}
		dispatchers[k].SetServers(100, []string{"cold:1"})
	}
	type out struct {
		dispatcher int
		order      Action
		ends       float64
	}
	var open []out
	arrivals := make([]int, seconds)
	for step := range seconds * 100 {
		now := 100 + float64(step)/100
		for k, d := range dispatchers {
			d.now = now
			if step%10 == 0 {
				d.Submit(now, 0, rpc.Idempotent, 0, now+2)
			}
			d.Tick(now)
			d.meetQuietly(share / clients)
			for _, o := range d.Actions {
				if o.Kind == Send {
					arrivals[step/100]++
					open = append(open, out{k, o, now + took})
				}
			}
			d.Actions = d.Actions[:0]
		}
		open = slices.DeleteFunc(open, func(o out) bool {
			if o.ends > now {
				return false
			}
			dispatchers[o.dispatcher].Answered(now, o.order.RPC, o.order.Try, Served, false, 0, share/clients)
			return true
		})
	}
	// As many as share are out on the mean, and each ends after took.
	mean := share / took
	if most := float64(slices.Max(arrivals)); most > mean+2*math.Sqrt(mean)+2 {
		t.Errorf("%.0f tries in one second, %.0f on the mean are allowed: %v", most, mean, arrivals)
	}
	if all := slices.Sorted(slices.Values(arrivals)); all[seconds/2] < 3 {
		t.Errorf("%d tries in the middle second: the fraction lets out next to nothing", all[seconds/2])
	}
}
