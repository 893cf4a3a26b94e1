package attempt

import (
	"math"
	"slices"
	"testing"

	"valveglade/rpc"
)

// A process that may be cold gets a health check before the first RPC; after all connections have ended the
// next process does too.
func Example_checkBeforeFirstTry() {
	h := newHarness(Config{}, "a:1")
	first := h.submit(rpc.Idempotent, 0, 10)
	h.acceptDials()
	h.acceptDials()
	h.answerChecks(1)
	h.answer(first, 1, Served, false, 0, 1)
	h.Dropped(h.now, 0, false)
	h.Dropped(h.now, 1, false)
	h.submit(rpc.Idempotent, 0, 10)
	h.advanceTo(1)
	h.acceptDials()
	h.acceptDials()
	h.answerChecks(1)
	// Output:
	// 0.00 dial a:1
	//   0.00 dial a:1
	//   0.00 check a:1
	//   0.00 send 0.1 to a:1
	//   0.00 finish 0: ok, ran, 1 tries, safe to retry false
	//   0.00 dial a:1
	//   1.00 dial a:1
	//   1.00 check a:1
	//   1.00 send 0.1 to a:1
}

// 24 clients that do not know of each other have more to send than a cold app server can serve. It grants
// each a fraction of a credit. In no second may they send more than the sum of these fractions allows, with a
// margin for chance.
func TestCreditFractionsAddUp(t *testing.T) {
	const (
		clients  = 24
		share    = 4.0 // credit of the app server, divided among the clients
		duration = 0.5 // seconds that each try takes
		seconds  = 20  // length of the run
	)
	dispatchers := make([]*harness, clients)
	for index := range dispatchers {
		dispatchers[index] = &harness{Dispatcher: New(100, Config{Seed: uint64(index + 1)}), now: 100}
		dispatchers[index].SetServers(100, []string{"cold:1"})
	}
	type pendingTry struct {
		dispatcher int
		sentAction Action
		ends       float64
	}
	var inFlight []pendingTry
	arrivals := make([]int, seconds)
	for step := range seconds * 100 {
		now := 100 + float64(step)/100
		for index, h := range dispatchers {
			h.now = now
			if step%10 == 0 {
				h.Submit(now, 0, rpc.Idempotent, 0, now+2)
			}
			h.Tick(now)
			h.connectAndCheck(share / clients)
			for _, entry := range h.Actions {
				if entry.Kind == Send {
					arrivals[step/100]++
					inFlight = append(inFlight, pendingTry{index, entry, now + duration})
				}
			}
			h.Actions = h.Actions[:0]
		}
		inFlight = slices.DeleteFunc(inFlight, func(entry pendingTry) bool {
			if entry.ends > now {
				return false
			}
			dispatchers[entry.dispatcher].Answered(now, entry.sentAction.RPC, entry.sentAction.Try, Served,
				false, 0, share/clients)
			return true
		})
	}
	// share tries are in flight on average, and each takes duration.
	mean := share / duration
	if maximum := float64(slices.Max(arrivals)); maximum > mean+2*math.Sqrt(mean)+2 {
		t.Errorf("%.0f tries in one second, an average of %.0f is allowed: %v", maximum, mean, arrivals)
	}
	if sorted := slices.Sorted(slices.Values(arrivals)); sorted[seconds/2] < 3 {
		t.Errorf("%d tries in the median second, want at least 3", sorted[seconds/2])
	}
}
