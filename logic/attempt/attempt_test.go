package attempt

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"valveglade/rpc"
)

// harness drives a dispatcher by hand and prints its actions.
type harness struct {
	*Dispatcher
	now float64
}

func newHarness(t Config, servers ...string) *harness {
	t.Seed = 7
	s := &harness{now: 100}
	s.Dispatcher = New(s.now, t)
	s.SetServers(s.now, servers)
	return s
}

// flush prints the actions since the last one.
func (s *harness) flush() {
	for _, o := range s.Actions {
		switch o.Kind {
		case Send:
			again := ""
			if o.Retry {
				again = " again"
			}
			fmt.Printf("%6.2f send %d.%d to %s%s\n", s.now-100, o.RPC.Index, o.Try, s.ServerName(o.Server), again)
		case Interrupt:
			fmt.Printf("%6.2f interrupt %d.%d\n", s.now-100, o.RPC.Index, o.Try)
		case Dial:
			fmt.Printf("%6.2f dial %s\n", s.now-100, s.ServerName(o.Server))
		case Disconnect:
			fmt.Printf("%6.2f hang %s\n", s.now-100, s.ServerName(o.Server))
		case CheckHealth:
			fmt.Printf("%6.2f check %s\n", s.now-100, s.ServerName(o.Server))
		case ReportServer:
			fmt.Printf("%6.2f %s %s\n", s.now-100, s.ServerName(o.Server), o.Change)
		case Finish:
			fmt.Printf("%6.2f end %d: %s, %s, %d tries, again %v", s.now-100, o.RPC.Index, o.Outcome.Cause, o.Outcome.Progress,
				o.Outcome.Tries, o.Outcome.SafeToRetry)
			if o.Outcome.RetryAfter > 0 {
				fmt.Printf(" after %.2f", o.Outcome.RetryAfter)
			}
			fmt.Println()
		}
	}
	s.Actions = s.Actions[:0]
}

// until lets time pass, tick by tick.
func (s *harness) until(t float64) {
	for s.NextTick() < 100+t {
		s.now = max(s.now, s.NextTick())
		s.Tick(s.now)
		s.flush()
	}
	s.now = 100 + t
	s.Tick(s.now)
	s.flush()
}

// meet lets all dials succeed.
func (s *harness) meet() {
	for k := range s.conns {
		if s.conns[k].state == dialing {
			s.Connected(s.now, k)
		}
	}
	s.flush()
}

// meetQuietly lets all dials succeed and has health checks answered.
func (s *harness) meetQuietly(credit float64) {
	for k := 0; k < len(s.conns); k++ {
		if s.conns[k].state == dialing {
			s.Connected(s.now, k)
		}
		if s.conns[k].state == established && s.conns[k].checkPending {
			s.Checked(s.now, k, true, credit)
		}
	}
}

// checked has the health checks that are out answered.
func (s *harness) checked(credit float64) {
	s.meetQuietly(credit)
	s.flush()
}

func (s *harness) ask(kind rpc.Kind, criticality, within float64) ID {
	id := s.Submit(s.now, 0, kind, criticality, s.now+within)
	s.flush()
	return id
}

func (s *harness) answer(id ID, try int, how Cause, last bool, after, credit float64) {
	s.Answered(s.now, id, try, how, last, after, credit)
	s.flush()
}

// What waits goes out by criticality, then in order, as credit allows; a refusal rests for its time, one that
// forbids further tries ends the RPC.
func Example_credit() {
	s := newHarness(Config{CheckPeriod: -1}, "a:1")
	first := s.ask(rpc.Idempotent, 0.5, 10)
	low := s.ask(rpc.Idempotent, 0.1, 10)
	high := s.ask(rpc.Idempotent, 0.9, 10)
	s.meet()
	s.answer(high, 1, Served, false, 0, 2)
	s.answer(first, 1, Refused, false, 0.4, 2)
	s.until(0.3)
	s.until(1)
	s.answer(low, 1, Refused, true, 0.2, 2)
	s.answer(first, 2, Served, false, 0, 2)
	// Output:
	//   0.00 dial a:1
	//   0.00 send 2.1 to a:1
	//   0.00 send 0.1 to a:1
	//   0.00 end 2: ok, ran, 1 tries, again false
	//   0.00 send 1.1 to a:1
	//   0.40 send 0.2 to a:1 again
	//   1.00 end 1: pushed back, pushed back, 1 tries, again false after 0.20
	//   1.00 end 0: ok, ran, 2 tries, again false
}

// A refusal whose time would pass the deadline, or that leaves no time to be served, is told at once.
func Example_tooLate() {
	s := newHarness(Config{CheckPeriod: -1}, "a:1")
	s.meet()
	one := s.ask(rpc.Idempotent, 0, 10)
	s.now += 0.2
	s.answer(one, 1, Served, false, 0, 5)
	two := s.ask(rpc.Idempotent, 0, 1)
	s.answer(two, 1, Refused, false, 0.95, 5)
	s.ask(rpc.Idempotent, 0, 0.5) // the app server is to be left alone for longer than this one has
	s.until(1.2)
	s.ask(rpc.Idempotent, 0, -1)
	// Output:
	//   0.00 dial a:1
	//   0.00 send 0.1 to a:1
	//   0.20 end 0: ok, ran, 1 tries, again false
	//   0.20 send 0.1 to a:1
	//   0.20 end 0: pushed back, pushed back, 1 tries, again true after 0.95
	//   0.20 end 0: pushed back, never sent, 0 tries, again true after 0.95
	//   1.20 end 0: deadline passed, never sent, 0 tries, again true
}

// An app server dies holding one of each kind: only the idempotent one goes on, elsewhere. Health checks keep
// a second connection, by which the tokened one could tell that its app server is the same process; here that
// is gone too.
func Example_death() {
	s := newHarness(Config{MaxServers: 1}, "a:1")
	s.meet()
	s.meet()
	s.checked(9)
	s.ask(rpc.Idempotent, 0, 10)
	s.ask(rpc.Tokened, 0, 10)
	s.ask(rpc.NonIdempotent, 0, 10)
	s.now += 0.1
	s.Dropped(s.now, 1, false) // the check's
	s.Dropped(s.now, 0, false)
	s.flush()
	s.until(0.5)
	s.meet()
	s.meet()
	s.checked(9)
	s.until(1)
	// Output:
	// 0.00 dial a:1
	//   0.00 dial a:1
	//   0.00 check a:1
	//   0.00 send 0.1 to a:1
	//   0.00 send 1.1 to a:1
	//   0.00 send 2.1 to a:1
	//   0.10 end 1: connection lost, sent, 1 tries, again false
	//   0.10 end 2: connection lost, sent, 1 tries, again false
	//   0.27 dial a:1
	//   0.50 dial a:1
	//   0.50 check a:1
	//   0.50 send 0.2 to a:1 again
}

// A connection is reset and the app server lives: the tokened RPC is tried again there, and nowhere else.
func Example_reset() {
	s := newHarness(Config{RetryShare: 1}, "a:1", "b:1")
	s.meet()
	s.meet()
	s.checked(9)
	id := s.ask(rpc.Tokened, 0, 10)
	at := s.requests[id.Index].server
	for k := range s.conns {
		if s.conns[k].inFlight > 0 {
			s.now += 0.2
			s.Dropped(s.now, k, false)
		}
	}
	s.flush()
	s.until(0.6)
	s.meet()
	fmt.Println("there again:", s.requests[id.Index].server == at, s.requests[id.Index].pinned)
	// Output:
	// 0.00 dial b:1
	//   0.00 dial a:1
	//   0.00 dial b:1
	//   0.00 dial a:1
	//   0.00 check b:1
	//   0.00 check a:1
	//   0.00 send 0.1 to a:1
	//   0.25 dial a:1
	//   0.60 send 0.2 to a:1 again
	// there again: true true
}

// One of four fails every RPC: it is left out, tried with one RPC after a while, and let back gently.
func Example_leftOut() {
	s := newHarness(Config{CheckPeriod: -1, RetryShare: -1}, "a:1", "b:1", "c:1", "d:1")
	s.Actions = nil
	s.meet()
	bad, sentBad, back := 0, 0, 0.0
	for range 1200 {
		s.now += 0.01
		s.Tick(s.now)
		id := s.Submit(s.now, 0, rpc.Idempotent, 0, s.now+1)
		for _, o := range s.Actions {
			if o.Kind == ReportServer {
				fmt.Printf("%s %s\n", s.ServerName(o.Server), o.Change)
				if o.Change == Readmitted {
					back = s.now
				}
			}
		}
		s.Actions = s.Actions[:0]
		if !s.isOpen(id) {
			continue
		}
		how := Served
		if s.requests[id.Index].server == bad {
			sentBad++
			if s.now < 102 {
				how = Aborted
			}
		}
		s.Answered(s.now, id, 1, how, false, 0, 3)
	}
	fmt.Println("back after a while:", back > 102 && back < 106, "and used again:", sentBad > 100)
	// Output:
	// a:1 excluded
	// a:1 readmitted
	// back after a while: true and used again: true
}

// An empty list changes nothing; a shorter one ends what is no longer named once it is empty.
func Example_list() {
	s := newHarness(Config{CheckPeriod: -1}, "a:1", "b:1")
	s.meet()
	fmt.Println(s.SetServers(s.now, nil))
	id := s.ask(rpc.Idempotent, 0, 10)
	other := map[string]string{"a:1": "b:1", "b:1": "a:1"}[s.ServerName(s.requests[id.Index].server)]
	s.SetServers(s.now, []string{other})
	s.flush()
	s.ask(rpc.Idempotent, 0, 10)
	s.answer(id, 1, Served, false, 0, 9)
	// Output:
	//   0.00 dial b:1
	//   0.00 dial a:1
	// false
	//   0.00 send 0.1 to a:1
	//   0.00 send 1.1 to b:1
	//   0.00 hang a:1
	//   0.00 end 0: ok, ran, 1 tries, again false
}

// A second try goes elsewhere once the first has been out for long; the answer that comes first counts, the
// other try is taken back.
func Example_hedge() {
	s := newHarness(Config{CheckPeriod: -1, HedgeAfter: 0.1}, "a:1", "b:1")
	s.meet()
	id := s.ask(rpc.Idempotent, 0, 10)
	s.ask(rpc.Tokened, 0, 10)
	s.until(0.2)
	s.answer(id, 2, Served, false, 0, 9)
	// Output:
	//   0.00 dial b:1
	//   0.00 dial a:1
	//   0.00 send 0.1 to a:1
	//   0.00 send 1.1 to b:1
	//   0.10 send 0.2 to b:1 again
	//   0.20 interrupt 0.1
	//   0.20 end 0: ok, ran, 2 tries, again false
}

// A budget that is not spent in a long outage is not there after it.
func TestBudget(t *testing.T) {
	b := Budget{Share: 0.1}
	for k := range 2000 { // a hundred a second
		b.Earn(float64(k) / 100)
	}
	if left := b.Available(20); left < 50 || left > 100 {
		t.Errorf("%g tries saved after 20 s of 100 RPCs a second: at most a tenth of the span's", left)
	}
	if left := b.Available(80); left > 1.5 {
		t.Errorf("%g tries left after a minute of nothing", left)
	}
}

// Reconnects that fail together come back apart, and none is put off past the bound.
func TestSpread(t *testing.T) {
	in := make([]int, 80)
	for seed := range uint64(1000) {
		c := NewRandom(seed)
		for failed := range 12 {
			x := c.Backoff(0.5, 8, failed)
			if x < 0 || x >= min(8, 0.5*math.Pow(2, float64(failed))) {
				t.Fatalf("a span of %g after %d failures", x, failed)
			}
			if failed == 11 {
				in[int(x*10)]++
			}
		}
	}
	if most := slices.Max(in); most > 50 {
		t.Errorf("%d of 1000 in one tenth of a second", most)
	}
}
