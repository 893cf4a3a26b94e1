package logic_test

import (
	"fmt"

	"valveglade/logic"
	"valveglade/rpc"
)

// The ordinary path: oldest first within the running limit; past the threshold the least is refused, whether it has
// just come or is queued.
func Example_threshold() {
	d := open(nil)
	for i := range 4 {
		d.arrive(i, read)
	}
	d.pass(0.42)
	d.arrive(4, read)
	d.arrive(5, page)
	d.ended(0, rpc.OK)
	// Output:
	//   0.00 health true
	//   0.00 start 0
	//   0.00 start 1
	//   0.42 push back 4, last false, after 0.22
	//   0.42 push back 2, last false, after 0.22
	//   0.42 start 3
}

// The credit grows while a caller has its full credit out, is cut with the delay, and comes back.
func Example_credit() {
	d := open(nil)
	d.credits = true
	d.arriveAs(0, read, 0, 0, rpc.None)
	d.arriveAs(1, read, 1, 0, rpc.None)
	d.pass(0.3)
	for i := 2; i < 5; i++ {
		d.arriveAs(i, read, 0, 0, rpc.None)
	}
	d.pass(0.5)
	for i := range 5 {
		d.ended(i, rpc.OK)
	}
	for i := 5; i < 12; i++ {
		d.arriveAs(i, read, 0, 0, rpc.None)
		d.pass(0.2)
		d.ended(i, rpc.OK)
	}
	// Output:
	//   0.00 health true
	//   0.00 start 0
	//   0.00 start 1
	//   0.44 credit 3.0
	//   0.66 credit 2.0
	//   0.80 start 2
	//   0.80 start 3
	//   0.80 start 4
	//   0.80 start 5
	//   1.00 start 6
	//   1.10 credit 4.0
	//   1.20 start 7
	//   1.40 start 8
	//   1.60 start 9
	//   1.80 start 10
	//   2.00 start 11
}

// Once the queue has stood full for a while the newest goes first.
func Example_newestFirst() {
	d := open(func(c *rpc.Settings) { c.Methods[page].Target = 7 })
	for i := range 6 {
		d.arrive(i, page)
	}
	d.pass(1.8)
	d.ended(0, rpc.OK)
	// Output:
	//   0.00 health true
	//   0.00 start 0
	//   0.00 start 1
	//   1.76 log queue full for a while: true, 4 queued
	//   1.80 start 5
}

// Many refusals: callers are asked not to go on through their lists.
func Example_swamped() {
	d := open(nil)
	for i := range 4 {
		d.arrive(i, page)
	}
	d.pass(0.5)
	for i := 4; i < 10; i++ {
		d.arrive(i, read)
	}
	// Output:
	//   0.00 health true
	//   0.00 start 0
	//   0.00 start 1
	//   0.50 push back 4, last false, after 0.30
	//   0.50 push back 5, last false, after 0.30
	//   0.50 push back 6, last false, after 0.30
	//   0.50 push back 7, last false, after 0.30
	//   0.50 push back 8, last true, after 0.30
	//   0.50 push back 9, last true, after 0.30
}

// A tokened RPC runs once: a further try takes the place of one that is queued, and follows one that has started,
// is ok or was answered.
func Example_tokened() {
	d := open(func(c *rpc.Settings) { c.Machine.Cores = 1 })
	d.arrive(0, page)
	d.arrive(1, write)
	d.repeat(2, write, 1)
	d.ended(0, rpc.OK)
	d.repeat(3, write, 2)
	d.m.CallerGone(d.now, 2)
	d.ended(2, rpc.Cancelled)
	d.ended(3, rpc.OK)
	d.repeat(4, write, rpc.Gone)
	// Output:
	//   0.00 health true
	//   0.00 start 0
	//   0.00 remember 1 for 10.02
	//   0.00 remember 2 for 10.02
	//   0.00 push back 1, last true, after 0.00
	//   0.00 start 2
	//   0.00 follow 3
	//   0.00 follow 4
}

// A token of an RPC that will never run is forgotten, with its memory.
func Example_tokenForgotten() {
	d := open(func(c *rpc.Settings) { c.Machine.Cores = 1 })
	d.arrive(0, page)
	d.arrive(1, write)
	d.m.CallerGone(d.now, 1)
	// Output:
	//   0.00 health true
	//   0.00 start 0
	//   0.00 remember 1 for 10.02
	//   0.00 forget 1
}

// Work that hangs: every RPC is answered in time all the same, what was run is refused only if it is idempotent,
// and cores that come back are used.
func Example_hang() {
	d := open(nil)
	d.arrive(0, read)
	d.arrive(1, page)
	d.arrive(2, read)
	d.arrive(3, page)
	d.pass(8.1)
	d.ended(0, rpc.Cancelled)
	d.ended(1, rpc.Cancelled)
	d.arrive(4, read)
	// Output:
	//   0.00 health true
	//   0.00 start 0
	//   0.00 start 1
	//   1.22 push back 0, last true, after 1.00
	//   1.22 stop 0
	//   1.22 push back 2, last true, after 1.00
	//   1.76 log queue full for a while: true, 1 queued
	//   2.42 abort 1
	//   2.42 stop 1
	//   2.42 push back 3, last true, after 1.00
	//   2.42 log queue full for a while: false, 0 queued
	//   2.42 health false
	//   2.42 log work hangs: true
	//   8.10 start 4
}

// Work that cannot be stopped keeps its place, answered by its due time, and the crowd stays within the limit.
func Example_unstoppable() {
	d := open(func(c *rpc.Settings) { c.Machine.Preemption = rpc.Unstoppable })
	d.arrive(0, read)
	d.arrive(1, page)
	d.m.CallerGone(d.now, 0)
	d.arrive(2, page)
	d.pass(8)
	d.ended(1, rpc.OK)
	// Output:
	//   0.00 health true
	//   0.00 start 0
	//   0.00 start 1
	//   1.76 log queue full for a while: true, 1 queued
	//   2.42 push back 2, last true, after 1.00
	//   2.42 log queue full for a while: false, 0 queued
	//   2.42 health false
	//   2.42 log work hangs: true
	//   7.98 abort 1
}

// A non-idempotent RPC's call is repeated only if it never ran; an abandoned one keeps its share for a while.
func Example_calls() {
	d := open(nil)
	d.arrive(0, page)
	d.arrive(1, page)
	d.m.NeedsCall(d.now, 0)
	d.m.NeedsCall(d.now, 1)
	d.m.Called(d.now, 0, rpc.PushedBack)
	d.pass(0.1)
	d.m.Called(d.now, 1, rpc.TimedOut)
	d.pass(0.3)
	// Output:
	//   0.00 health true
	//   0.00 start 0
	//   0.00 start 1
	//   0.00 call 0, patience 2.40
	//   0.00 call 1, patience 2.40
	//   0.10 abort 1
	//   0.32 call 0, patience 2.08
}

// A silent dependency leaves room for the methods that do not call, and a bounded crowd that waits.
func Example_silentDependency() {
	d := open(nil)
	for i := range 4 {
		d.arrive(i, page)
		d.m.NeedsCall(d.now, i)
	}
	d.arrive(4, read)
	d.pass(2.42)
	// Output:
	//   0.00 health true
	//   0.00 start 0
	//   0.00 call 0, patience 2.40
	//   0.00 start 1
	//   0.00 start 4
	//   1.22 push back 4, last true, after 1.00
	//   1.22 stop 4
	//   1.76 log queue full for a while: true, 2 queued
	//   2.42 abort 0
	//   2.42 abort 1
	//   2.42 push back 2, last true, after 1.00
	//   2.42 push back 3, last true, after 1.00
	//   2.42 log queue full for a while: false, 0 queued
	//   2.42 health false
	//   2.42 log work hangs: true
}

// The notice: callers are told to stay away once the grace is over, and not before, as what comes until then is
// run; what came past it is not, a repeat of what ran is not refused, and all is answered before the stop.
func Example_leave() {
	d := open(nil)
	d.credits = true
	d.arrive(0, write)
	d.arrive(1, page)
	d.m.Leave(d.now, d.now+3)
	d.pass(1.1)
	d.arrive(2, read)
	d.repeat(3, write, 0)
	d.pass(1.5)
	// Output:
	//   0.00 health true
	//   0.00 remember 0 for 10.02
	//   0.00 start 0
	//   0.00 start 1
	//   0.00 health false
	//   0.00 credit 4.0
	//   0.00 log leaving: 0 queued, 2 running
	//   0.22 credit 5.0
	//   1.10 credit 0.0
	//   1.10 push back 2, last false, after 1.00
	//   1.10 abort 3
	//   2.48 abort 0
	//   2.48 abort 1
	//   2.48 stop 1
}

// Memory: what does not fit beside the rest waits; what never fits is refused at once.
func Example_memory() {
	d := open(func(c *rpc.Settings) { c.Machine.MemoryKB = 200 })
	d.arrive(0, read)
	d.arrive(1, read)
	d.arrive(2, read)
	d.m.Arrive(d.now, 3, read, 0, 0, 0, false, false, 0, 60, rpc.None)
	d.ended(0, rpc.OK)
	// Output:
	//   0.00 health true
	//   0.00 start 0
	//   0.00 start 1
	//   0.00 push back 3, last false, after 0.00
	//   0.00 start 2
}

// A cold app server takes less: the survivable crowd rises with its warmth.
func Example_cold() {
	d := open(func(c *rpc.Settings) { c.Machine.Cold, c.Machine.Cores, c.Rules.Crowd, c.Rules.ColdAt = true, 4, 2, 0 })
	for i := range 5 {
		d.arrive(i, page)
	}
	d.cores = 1
	d.pass(2)
	// Output:
	//   0.00 health true
	//   0.00 start 0
	//   0.00 start 1
	//   0.00 start 2
	//   1.12 start 3
	//   1.76 log queue full for a while: true, 1 queued
}

// Hundreds of callers with one RPC each: idle connections are closed at once. While a storm of new ones takes the
// cores they are kept, as a full table holds it off. Callers that come back keep theirs.
func Example_connections() {
	for _, callers := range []int{160, 2} {
		d := open(nil)
		d.reaps = true
		for i := range 160 {
			d.arriveAs(i%2, page, i%callers, 0, rpc.None)
			d.pass(0.1)
			d.ended(i%2, rpc.OK)
		}
		d.cores = 30
		d.pass(1)
	}
	// Output:
	//   0.00 health true
	//   0.22 close idle connections after 3.89
	//   3.52 close idle connections after 0.02
	//  16.50 close idle connections after 30.00
	//   0.00 health true
	//   0.22 close idle connections after 3.89
	//  16.50 close idle connections after 30.00
}

// Where tries are marked, many refusals alone do not say that others are full: callers are asked not to go on only
// while many arrivals are further tries. Those count as old as what is refused here, and are given up sooner.
func Example_furtherTries() {
	d := open(func(c *rpc.Settings) { c.Clients.MarksRetry = true })
	for i := range 4 {
		d.arrive(i, page)
	}
	d.pass(0.5)
	for i := 4; i < 10; i++ {
		d.arrive(i, read)
	}
	d.further = true
	for i := 10; i < 16; i++ {
		d.arrive(i, read)
	}
	// Output:
	//   0.00 health true
	//   0.00 start 0
	//   0.00 start 1
	//   0.50 push back 4, last false, after 0.30
	//   0.50 push back 5, last false, after 0.30
	//   0.50 push back 6, last false, after 0.30
	//   0.50 push back 7, last false, after 0.30
	//   0.50 push back 8, last false, after 0.30
	//   0.50 push back 9, last false, after 0.30
	//   0.50 push back 10, last false, after 0.30
	//   0.50 push back 11, last false, after 0.30
	//   0.50 push back 12, last false, after 0.30
	//   0.50 push back 13, last false, after 0.30
	//   0.50 push back 14, last true, after 0.30
	//   0.50 push back 15, last true, after 0.30
}

// A caller that says how long it waits and takes back many at once teaches no patience: with it the last two would
// be pushed back though there is time. What repeats an RPC that turns out never to have run is run itself.
func Example_takenBack() {
	d := open(nil)
	tell := func(i int) { d.m.Arrive(d.now, i, read, 0, 0, 0, false, false, d.now+3, 20, rpc.None) }
	for i := range 5 {
		tell(i)
		d.m.CallerGone(d.now, i)
		d.ended(i, rpc.Cancelled)
	}
	tell(5)
	d.arrive(6, write)
	tell(7)
	d.repeat(8, write, 6)
	d.pass(0.1)
	d.ended(5, rpc.OK)
	d.ended(6, rpc.Moot)
	d.ended(8, rpc.Moot)
	d.ended(7, rpc.OK)
	d.ended(8, rpc.OK)
	// Output:
	//   0.00 health true
	//   0.00 start 0
	//   0.00 stop 0
	//   0.00 start 1
	//   0.00 stop 1
	//   0.00 start 2
	//   0.00 stop 2
	//   0.00 start 3
	//   0.00 stop 3
	//   0.00 start 4
	//   0.00 stop 4
	//   0.00 start 5
	//   0.00 remember 6 for 10.02
	//   0.00 start 6
	//   0.00 follow 8
	//   0.10 start 7
	//   0.10 forget 6
	//   0.10 abort 6
	//   0.10 remember 8 for 10.02
	//   0.10 start 8
}

// Callers that each come once give up at one age: what cannot be done by then is pushed back.
func Example_patience() {
	d := open(nil)
	for i := range 4 {
		d.arriveAs(i, page, i, 0, rpc.None)
		d.pass(0.8)
		d.m.CallerGone(d.now, i)
		d.ended(i, rpc.Cancelled)
	}
	d.arriveAs(4, page, 4, 0, rpc.None)
	d.arriveAs(5, page, 5, 0, rpc.None)
	d.arriveAs(6, page, 6, 0, rpc.None)
	d.pass(0.1)
	// Output:
	//   0.00 health true
	//   0.00 start 0
	//   0.80 stop 0
	//   0.80 start 1
	//   1.60 stop 1
	//   1.60 start 2
	//   2.40 stop 2
	//   2.40 start 3
	//   3.20 stop 3
	//   3.20 start 4
	//   3.20 push back 5, last false, after 0.00
	//   3.20 push back 6, last false, after 0.00
}

// RPCs that wait for a disk leave cores idle: the limit grows at once, and no further than twice the cores.
func Example_idleCores() {
	d := open(nil)
	for i := range 6 {
		d.arrive(i, page)
	}
	d.cores = 1
	d.pass(0.3)
	// Output:
	//   0.00 health true
	//   0.00 start 0
	//   0.00 start 1
	//   0.12 start 2
	//   0.22 start 3
}

// The signals by share say how much of what is in hand the pool covers, whenever that changes.
func Example_signals() {
	for _, signal := range []rpc.Signal{rpc.Weight, rpc.Floor, "none"} {
		d := open(func(c *rpc.Settings) { c.Machine.Signal = signal })
		d.credits = true
		for i := range 6 {
			d.arriveAs(i, page, i, 0, rpc.None)
		}
		d.pass(0.9)
	}
	// Output:
	//   0.00 health true
	//   0.00 start 0
	//   0.00 start 1
	//   0.22 credit 0.6
	//   0.44 credit 0.5
	//   0.00 health true
	//   0.00 start 0
	//   0.00 start 1
	//   0.22 credit 0.4
	//   0.44 credit 0.5
	//   0.00 health true
	//   0.00 start 0
	//   0.00 start 1
}

// Odd settings keep the rules: no figures at all, and a deadline shorter than the latency target.
func Example_odd() {
	d := open(func(c *rpc.Settings) { *c = rpc.Settings{} })
	d.arrive(0, read)
	d.pass(0.1)
	d = open(func(c *rpc.Settings) { c.Machine.Cores, c.Methods[read].Deadline = 1, 0.5 })
	d.arrive(0, read)
	d.arrive(1, read)
	d.pass(0.6)
	// Output:
	//   0.00 health true
	//   0.00 abort 0
	//   0.00 health true
	//   0.00 start 0
	//   0.48 push back 0, last true, after 0.28
	//   0.48 stop 0
	//   0.48 push back 1, last false, after 0.28
}

// A dependency that slows down gets fewer calls at a time, and more once it is well.
func Example_crowdedDependency() {
	d := open(func(c *rpc.Settings) { c.Machine.CallsOut = 4 })
	d.arrive(0, page)
	d.arrive(1, page)
	for _, took := range []float64{0.1, 0.6, 0.1, 0.1} {
		d.m.NeedsCall(d.now, 0)
		d.m.NeedsCall(d.now, 1)
		d.now += took
		d.m.Called(d.now, 0, rpc.OK)
		d.m.Called(d.now, 1, rpc.OK)
	}
	// Output:
	//   0.00 health true
	//   0.00 start 0
	//   0.00 start 1
	//   0.00 call 0, patience 2.40
	//   0.00 call 1, patience 2.40
	//   0.10 call 0, patience 2.30
	//   0.10 call 1, patience 2.30
	//   0.70 call 0, patience 1.70
	//   0.80 call 1, patience 1.60
	//   0.80 call 0, patience 1.60
	//   0.80 call 1, patience 1.60
}

// The fraction of a share past a whole number is used too: one call more at times, shorter in patience.
func Example_shareFraction() {
	d := open(func(c *rpc.Settings) { c.Machine.CallsOut = 1.25 })
	d.arrive(0, page)
	d.arrive(1, page)
	d.m.NeedsCall(d.now, 0)
	d.m.NeedsCall(d.now, 1)
	d.now += 0.1
	d.m.Called(d.now, 1, rpc.OK)
	d.m.NeedsCall(d.now, 1)
	d.pass(0.4)
	// Output:
	//   0.00 health true
	//   0.00 start 0
	//   0.00 start 1
	//   0.00 call 0, patience 2.40
	//   0.00 call 1, patience 1.05
	//   0.42 call 1, patience 0.95
}

// A limit common to several app servers is a queue of its own: what waits for it is passed by others, says nothing of the cores
// and, past the threshold, has its own least worthy refused; once there is a permit it starts at the next look.
func Example_commonLimit() {
	d := open(nil)
	d.short = read + 1
	d.arrive(0, read)
	d.arrive(1, write)
	d.ended(1, rpc.OK)
	d.pass(0.42)
	d.arrive(2, write) // not refused, though an RPC has been queued past the threshold
	d.arrive(3, read)  // refused, as that waits for the same limit
	d.ended(2, rpc.OK)
	d.short = 0
	d.pass(0.02)
	// Output:
	//   0.00 health true
	//   0.00 remember 1 for 10.02
	//   0.00 start 1
	//   0.42 remember 2 for 10.02
	//   0.42 start 2
	//   0.42 push back 3, last false, after 0.22
	//   0.44 start 0
}

// Reads of one subject share an answer where the settings allow: what comes while one is queued or runs, or just after, follows
// it. One that others wait for is not taken off the cores for its own caller's sake, and is kept before one that nobody else
// waits for. Where answers may not be shared nothing is remembered.
func Example_sharedReads() {
	d := open(func(c *rpc.Settings) { c.Machine.Fresh, c.Machine.Cores = 1, 1 })
	d.arrive(0, read)
	d.repeat(1, read, 0)
	d.m.CallerGone(d.now, 0)
	d.arrive(2, read)
	d.repeat(3, read, 2)
	d.arrive(4, read)
	d.pass(0.5)
	d.repeat(5, read, 2)
	d.arrive(6, page)
	d.ended(0, rpc.OK)
	d.ended(1, rpc.OK)
	d.repeat(7, read, rpc.Gone)
	fmt.Println("not shared:")
	d = open(nil)
	d.arrive(0, read)
	// Output:
	//   0.00 health true
	//   0.00 remember 0 for 2.20
	//   0.00 start 0
	//   0.00 follow 1
	//   0.00 remember 2 for 2.20
	//   0.00 follow 3
	//   0.00 remember 4 for 2.20
	//   0.50 follow 5
	//   0.50 forget 4
	//   0.50 push back 4, last false, after 0.30
	//   0.50 start 2
	//   0.50 follow 7
	// not shared:
	//   0.00 health true
	//   0.00 start 0
}

// An answer that keeps a part of its worth without a call goes without one that cannot come in time, or that failed for good;
// others wait for theirs, or are given up.
func Example_leftOut() {
	d := open(func(c *rpc.Settings) {
		c.Machine.SkipWorth, c.Machine.Calls, c.Machine.CallsOut = []float64{0, 0, 0.5}, []bool{true, false, true}, 9
	})
	for i := range 4 {
		d.arrive(i%2, page)
		d.m.NeedsCall(d.now, i%2)
		d.pass(0.2)
		d.m.Called(d.now, i%2, rpc.OK)
		d.ended(i%2, rpc.OK)
	}
	d.arrive(2, page)
	d.arrive(3, read)
	d.pass(1.06)
	d.m.NeedsCall(d.now, 3)
	d.pass(1.1)
	d.m.NeedsCall(d.now, 2)
	d.ended(2, rpc.OK)
	d.arrive(4, page)
	d.m.NeedsCall(d.now, 4)
	d.m.Called(d.now, 4, rpc.Error)
	// Output:
	//   0.00 health true
	//   0.00 start 0
	//   0.00 call 0, patience 2.40
	//   0.20 start 1
	//   0.20 call 1, patience 2.40
	//   0.40 start 0
	//   0.40 call 0, patience 2.40
	//   0.60 start 1
	//   0.60 call 1, patience 2.40
	//   0.80 start 2
	//   0.80 start 3
	//   1.86 call 3, patience 0.14
	//   2.02 push back 3, last true, after 0.00
	//   2.96 skip 2's call
	//   2.96 start 4
	//   2.96 call 4, patience 2.40
	//   2.96 skip 4's call
}

// meter follows for how long calls are out.
type meter struct {
	*desk
	outs    [][2]float64
	ids     map[int]int
	started []int
	over    []int // answered; their runs have still to end

	patience float64 // of the last call; no two are out
}

func (m *meter) Start(i int)                       { m.started = append(m.started, i) }
func (m *meter) PushBack(i int, _ bool, _ float64) { m.over = append(m.over, i) }

func (m *meter) Call(i int, patience float64) {
	m.ids[i] = len(m.outs)
	m.outs = append(m.outs, [2]float64{m.now, m.now + patience + 0.2})
	m.patience = patience
}

// A share below one, all of it wanted, calls of all lengths: over no span is more of it used than it is, wherever the span begins;
// and most of it is. Gaps that keep the mean alone pass it.
func Example_shareOverSpan() {
	const share = 0.5
	d := &meter{desk: &desk{now: 100, reaps: true}, ids: map[int]int{}}
	c := rpc.Settings{Methods: []rpc.Method{{Kind: rpc.Idempotent, Target: 60, Deadline: 90, Criticality: 1}},
		Machine: rpc.Machine{Below: "one_for_all", Calls: []bool{true}, CallsOut: share, CallsSpan: 5, Linger: 0.2, Cores: 4,
			MemoryKB: 1e6, RunFactor: 1, Signal: rpc.Allowance}}
	d.m = logic.New(d.now, c, d)
	next := 0
	for k := range 6000 {
		if k%10 == 0 { // more than the share bears
			d.arriveAs(next, 0, 0, 0, rpc.None)
			next++
		}
		for _, i := range d.over {
			d.ended(i, rpc.Cancelled)
		}
		d.over = nil
		for len(d.started) > 0 {
			i := d.started[0]
			d.started = d.started[1:]
			d.m.NeedsCall(d.now, i)
		}
		for i, at := range d.ids {
			switch took := d.now - d.outs[at][0]; {
			case took >= 0.1+0.1*float64(i*7%13):
				d.outs[at][1] = d.now
				delete(d.ids, i)
				d.m.Called(d.now, i, rpc.OK)
				d.ended(i, rpc.OK)
			case took >= d.patience-1e-9:
				d.outs[at][1] = d.now + 0.2
				delete(d.ids, i)
				d.m.Called(d.now, i, rpc.TimedOut)
			}
		}
		d.pass(0.02)
	}
	most, all := 0.0, 0.0
	for _, from := range d.outs {
		used := 0.0
		for _, o := range d.outs {
			used += max(min(o[1], from[0]+5)-max(o[0], from[0]), 0)
		}
		most = max(most, used/5)
		all += min(from[1], d.now) - from[0]
	}
	fmt.Println("within the share:", most <= share+1e-6, "most of it used:", all/(d.now-100) > 0.8*share)
	// Output:
	// within the share: true most of it used: true
}

// Tenants: the one past its share goes first, whichever came last; within their shares all are alike.
func Example_tenants() {
	d := open(func(c *rpc.Settings) {
		c.Tenants, c.Replicas, c.OverShareWorth = []rpc.Tenant{{Quota: 1}, {Quota: 1}}, 10, 0.1
		c.Machine.Cores = 1
	})
	tell := func(i, tenant int) { d.m.Arrive(d.now, i, read, 0, tenant, 0, false, false, 0, 20, rpc.None) }
	tell(0, 1)
	for i := range 6 {
		tell(1+i, 0)
	}
	d.pass(0.5)
	tell(7, 1)
	// Output:
	//   0.00 health true
	//   0.00 start 0
	//   0.50 push back 1, last false, after 0.30
}

// What follows takes memory too, and waits as long as what it follows: once there is none left a read is refused or has another
// make room, and the repeat of a token is aborted, as what it repeats may have run.
func Example_followersFill() {
	d := open(func(c *rpc.Settings) { c.Machine.Fresh, c.Machine.Cores, c.Machine.MemoryKB = 1, 1, 200 })
	d.arrive(0, read)
	for i := range 6 {
		d.repeat(1+i, read, 0)
	}
	d = open(func(c *rpc.Settings) { c.Machine.Cores, c.Machine.MemoryKB = 1, 200 })
	d.arrive(0, write)
	for i := range 6 {
		d.repeat(1+i, write, 0)
	}
	// Output:
	//   0.00 health true
	//   0.00 remember 0 for 2.20
	//   0.00 start 0
	//   0.00 follow 1
	//   0.00 follow 2
	//   0.00 follow 3
	//   0.00 follow 4
	//   0.00 follow 5
	//   0.00 remember 6 for 2.20
	//   0.00 forget 6
	//   0.00 push back 6, last false, after 0.00
	//   0.00 health true
	//   0.00 remember 0 for 10.02
	//   0.00 start 0
	//   0.00 follow 1
	//   0.00 follow 2
	//   0.00 follow 3
	//   0.00 follow 4
	//   0.00 follow 5
	//   0.00 abort 6
}

// A layer below that fails calls at once is not quick: what its calls take is known from those that end well alone, so that one
// which would come too late is still left out.
func Example_fastFailing() {
	d := open(func(c *rpc.Settings) { c.Machine.SkipWorth, c.Machine.CallsOut = []float64{0, 0, 0.5}, 9 })
	for range 4 {
		d.arrive(0, page)
		d.m.NeedsCall(d.now, 0)
		d.pass(0.2)
		d.m.Called(d.now, 0, rpc.OK)
		d.ended(0, rpc.OK)
	}
	d.arrive(1, page)
	d.reaps = true // nothing printed
	for range 12 {
		d.arrive(0, page)
		d.m.NeedsCall(d.now, 0)
		d.pass(0.02)
		d.m.Called(d.now, 0, rpc.Error)
		d.ended(0, rpc.OK)
	}
	d.pass(1.9)
	d.reaps = false
	d.m.NeedsCall(d.now, 1)
	// Output:
	//   0.00 health true
	//   0.00 start 0
	//   0.00 call 0, patience 2.40
	//   0.20 start 0
	//   0.20 call 0, patience 2.40
	//   0.40 start 0
	//   0.40 call 0, patience 2.40
	//   0.60 start 0
	//   0.60 call 0, patience 2.40
	//   0.80 start 1
	//   2.94 skip 1's call
}

// A fleet that grows: this one has just come up cold, and callers move to it as its list spreads. What each is told to have out
// here follows its warmth and their number, and so does what runs at once.
func Example_growsCold() {
	d := open(func(c *rpc.Settings) {
		c.Machine.Cold, c.Machine.Cores, c.Rules.Crowd, c.Rules.ColdAt, c.Rules.WarmIn = true, 4, 2, 0, 4
	})
	d.credits = true
	for i := range 5 {
		d.arriveAs(i, page, i, 0, rpc.None)
	}
	d.pass(0.5)
	for i := range 5 {
		d.ended(i, rpc.OK)
	}
	d.pass(4)
	for i := range 5 {
		d.arriveAs(5+i, page, i, 0, rpc.None)
	}
	// Output:
	// 0.00 health true
	//   0.00 start 0
	//   0.00 credit 0.1
	//   0.00 start 1
	//   0.00 credit 0.0
	//   0.00 start 2
	//   0.46 start 3
	//   0.50 start 4
	//   0.50 credit 0.1
	//   0.58 credit 0.2
	//   0.60 credit 0.3
	//   0.62 credit 0.4
	//   0.66 credit 0.5
	//   0.68 credit 0.6
	//   0.70 credit 0.7
	//   0.72 credit 0.8
	//   0.74 credit 0.9
	//   0.80 credit 1.0
	//   1.02 credit 2.5
	//   1.08 credit 2.6
	//   1.30 credit 2.7
	//   1.56 credit 2.8
	//   1.90 credit 2.9
	//   2.02 credit 2.4
	//   2.36 credit 2.5
	//   4.18 credit 4.0
	//   4.50 start 5
	//   4.50 start 6
	//   4.50 start 7
	//   4.50 start 8
}

// Callers that never say how long they wait, and are never heard to give up: the deadline after arrival decides, for what is held
// and what runs.
func Example_untold() {
	d := open(func(c *rpc.Settings) { c.Machine.Cores, c.Methods[read].LateShare = 1, 0.2 })
	d.arrive(0, read)
	d.arrive(1, write)
	d.pass(9)
	// Output:
	//   0.00 health true
	//   0.00 start 0
	//   0.00 remember 1 for 10.02
	//   1.76 log queue full for a while: true, 1 queued
	//   2.42 forget 1
	//   2.42 push back 1, last true, after 1.00
	//   2.42 log queue full for a while: false, 0 queued
	//   2.42 health false
	//   2.42 log work hangs: true
	//   3.98 push back 0, last true, after 0.00
	//   3.98 stop 0
}

// Remembered tokens take half of the memory: the next tokened RPC is refused, as the other half is for work; reads go on, and
// once a window has passed so do tokened RPCs.
func Example_tokensFill() {
	d := open(func(c *rpc.Settings) { c.Machine.MemoryKB, c.Methods[write].Window = 200, 1 })
	d.reaps = true // of the first ten nothing is printed
	for range 10 {
		d.arrive(0, write)
		d.ended(0, rpc.OK)
	}
	d.reaps = false
	d.arrive(0, write)
	d.arrive(0, read)
	d.pass(1.1)
	d.arrive(1, write)
	// Output:
	//   0.00 health true
	//   0.00 push back 0, last false, after 0.00
	//   0.00 start 0
	//   1.10 remember 1 for 1.02
	//   1.10 start 1
}
