package attempt

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"valveglade/rpc"
)

// harness drives a Dispatcher with a simulated clock that starts at 100 s, and prints its actions.
type harness struct {
	*Dispatcher
	now float64
}

func newHarness(config Config, servers ...string) *harness {
	config.Seed = 7
	h := &harness{now: 100}
	h.Dispatcher = New(h.now, config)
	h.SetServers(h.now, servers)
	return h
}

// printActions prints and removes the pending actions.
func (h *harness) printActions() {
	for _, action := range h.Actions {
		switch action.Kind {
		case Send:
			retry := ""
			if action.Retry {
				retry = " retry"
			}
			fmt.Printf("%6.2f send %d.%d to %s%s\n", h.now-100, action.RPC.Index, action.Try,
				h.ServerName(action.Server), retry)
		case Interrupt:
			fmt.Printf("%6.2f interrupt %d.%d\n", h.now-100, action.RPC.Index, action.Try)
		case Dial:
			fmt.Printf("%6.2f dial %s\n", h.now-100, h.ServerName(action.Server))
		case Disconnect:
			fmt.Printf("%6.2f disconnect %s\n", h.now-100, h.ServerName(action.Server))
		case CheckHealth:
			fmt.Printf("%6.2f check %s\n", h.now-100, h.ServerName(action.Server))
		case ReportServer:
			fmt.Printf("%6.2f %s %s\n", h.now-100, h.ServerName(action.Server), action.Change)
		case Finish:
			fmt.Printf("%6.2f finish %d: %s, %s, %d tries, safe to retry %v", h.now-100,
				action.RPC.Index, action.Outcome.Cause, action.Outcome.Progress, action.Outcome.Tries,
				action.Outcome.SafeToRetry)
			if action.Outcome.RetryAfter > 0 {
				fmt.Printf(", retry after %.2f", action.Outcome.RetryAfter)
			}
			fmt.Println()
		}
	}
	h.Actions = h.Actions[:0]
}

// advanceTo advances the clock to a number of seconds after the start, with a Tick whenever one is due.
func (h *harness) advanceTo(seconds float64) {
	for h.NextTick() < 100+seconds {
		h.now = max(h.now, h.NextTick())
		h.Tick(h.now)
		h.printActions()
	}
	h.now = 100 + seconds
	h.Tick(h.now)
	h.printActions()
}

// acceptDials completes all connects in progress.
func (h *harness) acceptDials() {
	for connIndex := range h.conns {
		if h.conns[connIndex].state == dialing {
			h.Connected(h.now, connIndex)
		}
	}
	h.printActions()
}

// connectAndCheck completes all connects in progress and answers the pending health checks, without printing.
func (h *harness) connectAndCheck(credit float64) {
	for connIndex := 0; connIndex < len(h.conns); connIndex++ {
		if h.conns[connIndex].state == dialing {
			h.Connected(h.now, connIndex)
		}
		if h.conns[connIndex].state == connected && h.conns[connIndex].checkPending {
			h.Checked(h.now, connIndex, true, credit)
		}
	}
}

// answerChecks is connectAndCheck followed by printActions.
func (h *harness) answerChecks(credit float64) {
	h.connectAndCheck(credit)
	h.printActions()
}

func (h *harness) submit(kind rpc.Kind, criticality, timeout float64) ID {
	id := h.Submit(h.now, 0, kind, criticality, h.now+timeout)
	h.printActions()
	return id
}

func (h *harness) answer(id ID, try int, result Cause, noRetry bool, retryAfter, credit float64) {
	h.Answered(h.now, id, try, result, noRetry, retryAfter, credit)
	h.printActions()
}

// Queued RPCs are sent by criticality and then in order of arrival, as far as the credit allows. A
// pushed-back RPC waits out its retry-after delay; one whose answer forbids retries finishes.
func Example_credit() {
	h := newHarness(Config{CheckPeriod: -1}, "a:1")
	first := h.submit(rpc.Idempotent, 0.5, 10)
	low := h.submit(rpc.Idempotent, 0.1, 10)
	high := h.submit(rpc.Idempotent, 0.9, 10)
	h.acceptDials()
	h.answer(high, 1, Served, false, 0, 2)
	h.answer(first, 1, Refused, false, 0.4, 2)
	h.advanceTo(0.3)
	h.advanceTo(1)
	h.answer(low, 1, Refused, true, 0.2, 2)
	h.answer(first, 2, Served, false, 0, 2)
	// Output:
	//   0.00 dial a:1
	//   0.00 send 2.1 to a:1
	//   0.00 send 0.1 to a:1
	//   0.00 finish 2: ok, ran, 1 tries, safe to retry false
	//   0.00 send 1.1 to a:1
	//   0.40 send 0.2 to a:1 retry
	//   1.00 finish 1: pushed back, pushed back, 1 tries, safe to retry false, retry after 0.20
	//   1.00 finish 0: ok, ran, 2 tries, safe to retry false
}

// An RPC finishes at once if its retry-after delay ends after its deadline, or leaves no time for a retry.
func Example_deadlineTooClose() {
	h := newHarness(Config{CheckPeriod: -1}, "a:1")
	h.acceptDials()
	first := h.submit(rpc.Idempotent, 0, 10)
	h.now += 0.2
	h.answer(first, 1, Served, false, 0, 5)
	second := h.submit(rpc.Idempotent, 0, 1)
	h.answer(second, 1, Refused, false, 0.95, 5)
	h.submit(rpc.Idempotent, 0, 0.5) // the deadline is before the end of the retry-after delay
	h.advanceTo(1.2)
	h.submit(rpc.Idempotent, 0, -1)
	// Output:
	//   0.00 dial a:1
	//   0.00 send 0.1 to a:1
	//   0.20 finish 0: ok, ran, 1 tries, safe to retry false
	//   0.20 send 0.1 to a:1
	//   0.20 finish 0: pushed back, pushed back, 1 tries, safe to retry true, retry after 0.95
	//   0.20 finish 0: pushed back, never sent, 0 tries, safe to retry true, retry after 0.95
	//   1.20 finish 0: deadline passed, never sent, 0 tries, safe to retry true
}

// An app server ends with one RPC of each kind in flight. Only the idempotent one is retried. The connection
// for health checks would show a tokened RPC that the process is still the same; here it has ended too.
func Example_serverDeath() {
	h := newHarness(Config{MaxServers: 1}, "a:1")
	h.acceptDials()
	h.acceptDials()
	h.answerChecks(9)
	h.submit(rpc.Idempotent, 0, 10)
	h.submit(rpc.Tokened, 0, 10)
	h.submit(rpc.NonIdempotent, 0, 10)
	h.now += 0.1
	h.Dropped(h.now, 1, false) // the connection for health checks
	h.Dropped(h.now, 0, false)
	h.printActions()
	h.advanceTo(0.5)
	h.acceptDials()
	h.acceptDials()
	h.answerChecks(9)
	h.advanceTo(1)
	// Output:
	// 0.00 dial a:1
	//   0.00 dial a:1
	//   0.00 check a:1
	//   0.00 send 0.1 to a:1
	//   0.00 send 1.1 to a:1
	//   0.00 send 2.1 to a:1
	//   0.10 finish 1: connection lost, sent, 1 tries, safe to retry false
	//   0.10 finish 2: connection lost, sent, 1 tries, safe to retry false
	//   0.27 dial a:1
	//   0.50 dial a:1
	//   0.50 check a:1
	//   0.50 send 0.2 to a:1 retry
}

// A connection is reset while its app server keeps running: the tokened RPC is retried there, and nowhere
// else.
func Example_connectionReset() {
	h := newHarness(Config{RetryShare: 1}, "a:1", "b:1")
	h.acceptDials()
	h.acceptDials()
	h.answerChecks(9)
	id := h.submit(rpc.Tokened, 0, 10)
	serverIndex := h.requests[id.Index].server
	for connIndex := range h.conns {
		if h.conns[connIndex].openTries > 0 {
			h.now += 0.2
			h.Dropped(h.now, connIndex, false)
		}
	}
	h.printActions()
	h.advanceTo(0.6)
	h.acceptDials()
	fmt.Println("retried at the same app server:", h.requests[id.Index].server == serverIndex,
		h.requests[id.Index].pinned)
	// Output:
	// 0.00 dial b:1
	//   0.00 dial a:1
	//   0.00 dial b:1
	//   0.00 dial a:1
	//   0.00 check b:1
	//   0.00 check a:1
	//   0.00 send 0.1 to a:1
	//   0.25 dial a:1
	//   0.60 send 0.2 to a:1 retry
	// retried at the same app server: true true
}

// One of four app servers fails every RPC: it is excluded, probed with one RPC after a while, and readmitted
// with a share that ramps up.
func Example_exclusion() {
	h := newHarness(Config{CheckPeriod: -1, RetryShare: -1}, "a:1", "b:1", "c:1", "d:1")
	h.Actions = nil
	h.acceptDials()
	failing, sentFailing, readmittedAt := 0, 0, 0.0
	for range 1200 {
		h.now += 0.01
		h.Tick(h.now)
		id := h.Submit(h.now, 0, rpc.Idempotent, 0, h.now+1)
		for _, action := range h.Actions {
			if action.Kind == ReportServer {
				fmt.Printf("%s %s\n", h.ServerName(action.Server), action.Change)
				if action.Change == Readmitted {
					readmittedAt = h.now
				}
			}
		}
		h.Actions = h.Actions[:0]
		if !h.isOpen(id) {
			continue
		}
		result := Served
		if h.requests[id.Index].server == failing {
			sentFailing++
			if h.now < 102 {
				result = Aborted
			}
		}
		h.Answered(h.now, id, 1, result, false, 0, 3)
	}
	fmt.Println("readmitted after a while:", readmittedAt > 102 && readmittedAt < 106,
		"and used again:", sentFailing > 100)
	// Output:
	// a:1 left out
	// a:1 let back
	// readmitted after a while: true and used again: true
}

// An empty list is ignored. After a shorter list, an app server that it lacks is disconnected once no RPC is
// in flight there.
func Example_serverList() {
	h := newHarness(Config{CheckPeriod: -1}, "a:1", "b:1")
	h.acceptDials()
	fmt.Println(h.SetServers(h.now, nil))
	id := h.submit(rpc.Idempotent, 0, 10)
	other := map[string]string{"a:1": "b:1", "b:1": "a:1"}[h.ServerName(h.requests[id.Index].server)]
	h.SetServers(h.now, []string{other})
	h.printActions()
	h.submit(rpc.Idempotent, 0, 10)
	h.answer(id, 1, Served, false, 0, 9)
	// Output:
	//   0.00 dial b:1
	//   0.00 dial a:1
	// false
	//   0.00 send 0.1 to a:1
	//   0.00 send 1.1 to b:1
	//   0.00 disconnect a:1
	//   0.00 finish 0: ok, ran, 1 tries, safe to retry false
}

// A second try goes to another app server after HedgeAfter; the first answer counts, and the other try is
// interrupted.
func Example_hedge() {
	h := newHarness(Config{CheckPeriod: -1, HedgeAfter: 0.1}, "a:1", "b:1")
	h.acceptDials()
	id := h.submit(rpc.Idempotent, 0, 10)
	h.submit(rpc.Tokened, 0, 10)
	h.advanceTo(0.2)
	h.answer(id, 2, Served, false, 0, 9)
	// Output:
	//   0.00 dial b:1
	//   0.00 dial a:1
	//   0.00 send 0.1 to a:1
	//   0.00 send 1.1 to b:1
	//   0.10 send 0.2 to b:1 retry
	//   0.20 interrupt 0.1
	//   0.20 finish 0: ok, ran, 2 tries, safe to retry false
}

// The retry budget earned before a long outage has expired at its end.
func TestBudget(t *testing.T) {
	b := Budget{Share: 0.1}
	for second := range 2000 { // 100 a second
		b.Earn(float64(second) / 100)
	}
	if left := b.Available(20); left < 50 || left > 100 {
		t.Errorf("%g retries available after 20 s of 100 RPCs a second, want 50 to 100", left)
	}
	if left := b.Available(80); left > 1.5 {
		t.Errorf("%g retries available after a minute without RPCs, want at most 1.5", left)
	}
}

// Reconnects of clients that failed together are spread in time, and none is delayed beyond the maximum.
func TestSpread(t *testing.T) {
	histogram := make([]int, 80)
	for seed := range uint64(1000) {
		random := NewRandom(seed)
		for failures := range 12 {
			delay := random.Backoff(0.5, 8, failures)
			if delay < 0 || delay >= min(8, 0.5*math.Pow(2, float64(failures))) {
				t.Fatalf("delay of %g s after %d failures is out of range", delay, failures)
			}
			if failures == 11 {
				histogram[int(delay*10)]++
			}
		}
	}
	if maximum := slices.Max(histogram); maximum > 50 {
		t.Errorf("%d of 1000 reconnects in one tenth of a second, want at most 50", maximum)
	}
}
