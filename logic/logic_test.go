package logic_test

import (
	"fmt"

	"valveglade/logic"
	"valveglade/rpc"
)

// RPCs start oldest first within the run limit. Past the delay threshold the RPC with the lowest value is
// rejected, whether it has just arrived or is queued.
func Example_threshold() {
	h := newHarness(nil)
	for i := range 4 {
		h.arrive(i, read)
	}
	h.advance(0.42)
	h.arrive(4, read)
	h.arrive(5, page)
	h.end(0, rpc.OK)
	// Output:
	//   0.00 health true
	//   0.00 start 0
	//   0.00 start 1
	//   0.42 push back 4, last false, after 0.22
	//   0.42 push back 2, last false, after 0.22
	//   0.42 start 3
}

// The credit grows while a caller has its full credit outstanding, is cut when the delay grows, and
// recovers.
func Example_credit() {
	h := newHarness(nil)
	h.printCredit = true
	h.arriveFrom(0, read, 0, 0, rpc.RepeatsNone)
	h.arriveFrom(1, read, 1, 0, rpc.RepeatsNone)
	h.advance(0.3)
	for i := 2; i < 5; i++ {
		h.arriveFrom(i, read, 0, 0, rpc.RepeatsNone)
	}
	h.advance(0.5)
	for i := range 5 {
		h.end(i, rpc.OK)
	}
	for i := 5; i < 12; i++ {
		h.arriveFrom(i, read, 0, 0, rpc.RepeatsNone)
		h.advance(0.2)
		h.end(i, rpc.OK)
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

// Once the queue has been over its threshold for long, the newest RPC is started first.
func Example_newestFirst() {
	h := newHarness(func(c *rpc.Settings) { c.Methods[page].Target = 7 })
	for i := range 6 {
		h.arrive(i, page)
	}
	h.advance(1.8)
	h.end(0, rpc.OK)
	// Output:
	//   0.00 health true
	//   0.00 start 0
	//   0.00 start 1
	//   1.76 log queue full for a while: true, 4 queued
	//   1.80 start 5
}

// After many rejections callers are asked not to try further app servers.
func Example_fleetOverloaded() {
	h := newHarness(nil)
	for i := range 4 {
		h.arrive(i, page)
	}
	h.advance(0.5)
	for i := 4; i < 10; i++ {
		h.arrive(i, read)
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

// A tokened RPC runs once: a retry replaces the RPC if that is queued, and follows it if it has started, is
// ok or was answered.
func Example_tokened() {
	h := newHarness(func(c *rpc.Settings) { c.Machine.Cores = 1 })
	h.arrive(0, page)
	h.arrive(1, write)
	h.arriveRepeat(2, write, 1)
	h.end(0, rpc.OK)
	h.arriveRepeat(3, write, 2)
	h.m.CallerGone(h.now, 2)
	h.end(2, rpc.Cancelled)
	h.end(3, rpc.OK)
	h.arriveRepeat(4, write, rpc.RepeatsReleased)
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

// The token of an RPC that will never run is forgotten and its memory freed.
func Example_tokenForgotten() {
	h := newHarness(func(c *rpc.Settings) { c.Machine.Cores = 1 })
	h.arrive(0, page)
	h.arrive(1, write)
	h.m.CallerGone(h.now, 1)
	// Output:
	//   0.00 health true
	//   0.00 start 0
	//   0.00 remember 1 for 10.02
	//   0.00 forget 1
}

// Work is stuck: every RPC is still answered in time, one that has started is pushed back only if it is
// idempotent, and cores that become free are used.
func Example_stuckWork() {
	h := newHarness(nil)
	h.arrive(0, read)
	h.arrive(1, page)
	h.arrive(2, read)
	h.arrive(3, page)
	h.advance(8.1)
	h.end(0, rpc.Cancelled)
	h.end(1, rpc.Cancelled)
	h.arrive(4, read)
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

// Work that cannot be stopped keeps its core after its RPC has been answered by its deadline, and the
// number of started RPCs stays within the limit.
func Example_unstoppable() {
	h := newHarness(func(c *rpc.Settings) { c.Machine.Preemption = rpc.NoPreemption })
	h.arrive(0, read)
	h.arrive(1, page)
	h.m.CallerGone(h.now, 0)
	h.arrive(2, page)
	h.advance(8)
	h.end(1, rpc.OK)
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

// The call of a non-idempotent RPC is retried only if it never ran. An abandoned call counts in the share
// for the linger time.
func Example_calls() {
	h := newHarness(nil)
	h.arrive(0, page)
	h.arrive(1, page)
	h.m.NeedsCall(h.now, 0)
	h.m.NeedsCall(h.now, 1)
	h.m.Called(h.now, 0, rpc.PushedBack)
	h.advance(0.1)
	h.m.Called(h.now, 1, rpc.TimedOut)
	h.advance(0.3)
	// Output:
	//   0.00 health true
	//   0.00 start 0
	//   0.00 start 1
	//   0.00 call 0, timeout 2.40
	//   0.00 call 1, timeout 2.40
	//   0.10 abort 1
	//   0.32 call 0, timeout 2.08
}

// An unresponsive dependency leaves cores to the methods that do not call it, and the number of RPCs that
// wait for it is bounded.
func Example_silentDependency() {
	h := newHarness(nil)
	for i := range 4 {
		h.arrive(i, page)
		h.m.NeedsCall(h.now, i)
	}
	h.arrive(4, read)
	h.advance(2.42)
	// Output:
	//   0.00 health true
	//   0.00 start 0
	//   0.00 call 0, timeout 2.40
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

// After the shutdown notice the credit drops to 0 once the grace is over, and not before, as RPCs that
// arrive until then are run. Those that arrive later are not, a retry of an RPC that ran is not pushed
// back, and all are answered before the stop.
func Example_leave() {
	h := newHarness(nil)
	h.printCredit = true
	h.arrive(0, write)
	h.arrive(1, page)
	h.m.Leave(h.now, h.now+3)
	h.advance(1.1)
	h.arrive(2, read)
	h.arriveRepeat(3, write, 0)
	h.advance(1.5)
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

// An RPC waits while there is no memory for it beside the others. One that can never fit is rejected at
// once.
func Example_memory() {
	h := newHarness(func(c *rpc.Settings) { c.Machine.MemoryKB = 200 })
	h.arrive(0, read)
	h.arrive(1, read)
	h.arrive(2, read)
	h.m.Arrive(h.now, 3, read, 0, 0, 0, false, false, 0, 60, rpc.RepeatsNone)
	h.end(0, rpc.OK)
	// Output:
	//   0.00 health true
	//   0.00 start 0
	//   0.00 start 1
	//   0.00 push back 3, last false, after 0.00
	//   0.00 start 2
}

// A cold app server starts fewer RPCs; the limit rises as it warms up.
func Example_cold() {
	h := newHarness(func(c *rpc.Settings) {
		c.Machine.Cold, c.Machine.Cores, c.Rules.OverloadFactor, c.Rules.StartCapacity = true, 4, 2, 0
	})
	for i := range 5 {
		h.arrive(i, page)
	}
	h.onCores = 1
	h.advance(2)
	// Output:
	//   0.00 health true
	//   0.00 start 0
	//   0.00 start 1
	//   0.00 start 2
	//   1.12 start 3
	//   1.76 log queue full for a while: true, 1 queued
}

// With hundreds of callers that send one RPC each, idle connections are closed at once. While a burst of
// new ones takes the cores they are kept, as a full table holds the burst off. Callers that return keep
// their connections.
func Example_idleConnections() {
	for _, callers := range []int{160, 2} {
		h := newHarness(nil)
		h.onlyIdleTimeouts = true
		for i := range 160 {
			h.arriveFrom(i%2, page, i%callers, 0, rpc.RepeatsNone)
			h.advance(0.1)
			h.end(i%2, rpc.OK)
		}
		h.onCores = 30
		h.advance(1)
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

// Where retries are marked, many rejections alone do not show that other app servers are full: callers are
// asked to stop only while many arrivals are retries. The age of a retry includes the average age at which
// RPCs are rejected here, so it is given up sooner.
func Example_markedRetries() {
	h := newHarness(func(c *rpc.Settings) { c.Clients.MarksRetry = true })
	for i := range 4 {
		h.arrive(i, page)
	}
	h.advance(0.5)
	for i := 4; i < 10; i++ {
		h.arrive(i, read)
	}
	h.markRetries = true
	for i := 10; i < 16; i++ {
		h.arrive(i, read)
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

// A caller that sends deadlines and cancels many RPCs at once does not change the give-up age; if it did,
// the last two RPCs would be pushed back although there is time. A retry of an RPC that turns out never to
// have run is run itself.
func Example_cancelledWithDeadline() {
	h := newHarness(nil)
	arrive := func(i int) { h.m.Arrive(h.now, i, read, 0, 0, 0, false, false, h.now+3, 20, rpc.RepeatsNone) }
	for i := range 5 {
		arrive(i)
		h.m.CallerGone(h.now, i)
		h.end(i, rpc.Cancelled)
	}
	arrive(5)
	h.arrive(6, write)
	arrive(7)
	h.arriveRepeat(8, write, 6)
	h.advance(0.1)
	h.end(5, rpc.OK)
	h.end(6, rpc.NotStarted)
	h.end(8, rpc.NotStarted)
	h.end(7, rpc.OK)
	h.end(8, rpc.OK)
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

// Callers that send one RPC each give up at the same age: RPCs that cannot be done by then are pushed back.
func Example_giveUpAge() {
	h := newHarness(nil)
	for i := range 4 {
		h.arriveFrom(i, page, i, 0, rpc.RepeatsNone)
		h.advance(0.8)
		h.m.CallerGone(h.now, i)
		h.end(i, rpc.Cancelled)
	}
	h.arriveFrom(4, page, 4, 0, rpc.RepeatsNone)
	h.arriveFrom(5, page, 5, 0, rpc.RepeatsNone)
	h.arriveFrom(6, page, 6, 0, rpc.RepeatsNone)
	h.advance(0.1)
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

// RPCs that wait for a disk leave cores idle: the run limit grows at once, up to twice the cores.
func Example_idleCores() {
	h := newHarness(nil)
	for i := range 6 {
		h.arrive(i, page)
	}
	h.onCores = 1
	h.advance(0.3)
	// Output:
	//   0.00 health true
	//   0.00 start 0
	//   0.00 start 1
	//   0.12 start 2
	//   0.22 start 3
}

// The signals that are shares publish how much of the open RPCs the pool covers, whenever that changes.
func Example_signals() {
	for _, signal := range []rpc.Signal{rpc.Weight, rpc.Floor, "none"} {
		h := newHarness(func(c *rpc.Settings) { c.Machine.Signal = signal })
		h.printCredit = true
		for i := range 6 {
			h.arriveFrom(i, page, i, 0, rpc.RepeatsNone)
		}
		h.advance(0.9)
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

// Incomplete settings keep the rules: none at all, and a deadline shorter than the latency target.
func Example_incompleteSettings() {
	h := newHarness(func(c *rpc.Settings) { *c = rpc.Settings{} })
	h.arrive(0, read)
	h.advance(0.1)
	h = newHarness(func(c *rpc.Settings) { c.Machine.Cores, c.Methods[read].Deadline = 1, 0.5 })
	h.arrive(0, read)
	h.arrive(1, read)
	h.advance(0.6)
	// Output:
	//   0.00 health true
	//   0.00 abort 0
	//   0.00 health true
	//   0.00 start 0
	//   0.48 push back 0, last true, after 0.28
	//   0.48 stop 0
	//   0.48 push back 1, last false, after 0.28
}

// A dependency that slows down gets fewer calls at a time, and more once it is fast again.
func Example_overloadedDependency() {
	h := newHarness(func(c *rpc.Settings) { c.Machine.MaxDownstreamCalls = 4 })
	h.arrive(0, page)
	h.arrive(1, page)
	for _, took := range []float64{0.1, 0.6, 0.1, 0.1} {
		h.m.NeedsCall(h.now, 0)
		h.m.NeedsCall(h.now, 1)
		h.now += took
		h.m.Called(h.now, 0, rpc.OK)
		h.m.Called(h.now, 1, rpc.OK)
	}
	// Output:
	//   0.00 health true
	//   0.00 start 0
	//   0.00 start 1
	//   0.00 call 0, timeout 2.40
	//   0.00 call 1, timeout 2.40
	//   0.10 call 0, timeout 2.30
	//   0.10 call 1, timeout 2.30
	//   0.70 call 0, timeout 1.70
	//   0.80 call 1, timeout 1.60
	//   0.80 call 0, timeout 1.60
	//   0.80 call 1, timeout 1.60
}

// The fraction of a share beyond a whole number is used too: now and then one more call, with a shorter
// timeout.
func Example_shareFraction() {
	h := newHarness(func(c *rpc.Settings) { c.Machine.MaxDownstreamCalls = 1.25 })
	h.arrive(0, page)
	h.arrive(1, page)
	h.m.NeedsCall(h.now, 0)
	h.m.NeedsCall(h.now, 1)
	h.now += 0.1
	h.m.Called(h.now, 1, rpc.OK)
	h.m.NeedsCall(h.now, 1)
	h.advance(0.4)
	// Output:
	//   0.00 health true
	//   0.00 start 0
	//   0.00 start 1
	//   0.00 call 0, timeout 2.40
	//   0.00 call 1, timeout 1.05
	//   0.42 call 1, timeout 0.95
}

// RPCs that wait for a limit shared by several app servers form a queue of their own. Others are started
// before them, their delay says nothing about the cores and, past the threshold, the one with the lowest
// value among them is rejected. Once the limit allows it, the RPC starts at the next tick.
func Example_sharedLimit() {
	h := newHarness(nil)
	h.limitedMethod = read + 1
	h.arrive(0, read)
	h.arrive(1, write)
	h.end(1, rpc.OK)
	h.advance(0.42)
	h.arrive(2, write) // not rejected, though an RPC has been queued past the threshold
	h.arrive(3, read)  // rejected, as that RPC waits for the same limit
	h.end(2, rpc.OK)
	h.limitedMethod = 0
	h.advance(0.02)
	// Output:
	//   0.00 health true
	//   0.00 remember 1 for 10.02
	//   0.00 start 1
	//   0.42 remember 2 for 10.02
	//   0.42 start 2
	//   0.42 push back 3, last false, after 0.22
	//   0.44 start 0
}

// Reads of one subject share an answer where the settings allow it: a read that arrives while another is
// queued or runs, or just after, follows it. A read with followers is not stopped when its own caller goes,
// and is kept before one without followers. Where answers may not be shared, nothing is remembered.
func Example_sharedReads() {
	h := newHarness(func(c *rpc.Settings) { c.Machine.ResultTTL, c.Machine.Cores = 1, 1 })
	h.arrive(0, read)
	h.arriveRepeat(1, read, 0)
	h.m.CallerGone(h.now, 0)
	h.arrive(2, read)
	h.arriveRepeat(3, read, 2)
	h.arrive(4, read)
	h.advance(0.5)
	h.arriveRepeat(5, read, 2)
	h.arrive(6, page)
	h.end(0, rpc.OK)
	h.end(1, rpc.OK)
	h.arriveRepeat(7, read, rpc.RepeatsReleased)
	fmt.Println("not shared:")
	h = newHarness(nil)
	h.arrive(0, read)
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

// An RPC whose answer keeps a part of its value without its call skips a call that cannot end in time or
// has failed for good. Other RPCs wait for their calls, or are given up.
func Example_skippedCalls() {
	h := newHarness(func(c *rpc.Settings) {
		c.Machine.SkipWorth, c.Machine.CallsDownstream, c.Machine.MaxDownstreamCalls =
			[]float64{0, 0, 0.5}, []bool{true, false, true}, 9
	})
	for i := range 4 {
		h.arrive(i%2, page)
		h.m.NeedsCall(h.now, i%2)
		h.advance(0.2)
		h.m.Called(h.now, i%2, rpc.OK)
		h.end(i%2, rpc.OK)
	}
	h.arrive(2, page)
	h.arrive(3, read)
	h.advance(1.06)
	h.m.NeedsCall(h.now, 3)
	h.advance(1.1)
	h.m.NeedsCall(h.now, 2)
	h.end(2, rpc.OK)
	h.arrive(4, page)
	h.m.NeedsCall(h.now, 4)
	h.m.Called(h.now, 4, rpc.Error)
	// Output:
	//   0.00 health true
	//   0.00 start 0
	//   0.00 call 0, timeout 2.40
	//   0.20 start 1
	//   0.20 call 1, timeout 2.40
	//   0.40 start 0
	//   0.40 call 0, timeout 2.40
	//   0.60 start 1
	//   0.60 call 1, timeout 2.40
	//   0.80 start 2
	//   0.80 start 3
	//   1.86 call 3, timeout 0.14
	//   2.02 push back 3, last true, after 0.00
	//   2.96 skip 2's call
	//   2.96 start 4
	//   2.96 call 4, timeout 2.40
	//   2.96 skip 4's call
}

// meter is a harness that measures for how long calls are open.
type meter struct {
	*harness
	calls    [][2]float64 // start and end of each call
	open     map[int]int  // index in calls by RPC
	started  []int
	answered []int // their runs have still to end

	timeout float64 // of the last call; at most one is open
}

func (m *meter) Start(i int)                       { m.started = append(m.started, i) }
func (m *meter) PushBack(i int, _ bool, _ float64) { m.answered = append(m.answered, i) }

func (m *meter) Call(i int, timeout float64) {
	m.open[i] = len(m.calls)
	m.calls = append(m.calls, [2]float64{m.now, m.now + timeout + 0.2})
	m.timeout = timeout
}

// With a share below one, demand for all of it and calls of all lengths, the use in any interval of
// DownstreamCallWindow must stay within the share, wherever the interval begins, and most of the share must
// be used. Spacing calls by their mean alone exceeds it.
func Example_shareOverIntervals() {
	const share = 0.5
	h := &meter{harness: &harness{now: 100, onlyIdleTimeouts: true}, open: map[int]int{}}
	c := rpc.Settings{Methods: []rpc.Method{{Kind: rpc.Idempotent, Target: 60, Deadline: 90, Criticality: 1}},
		Machine: rpc.Machine{Downstream: "one_for_all", CallsDownstream: []bool{true}, MaxDownstreamCalls: share,
			DownstreamCallWindow: 5, Linger: 0.2, Cores: 4, MemoryKB: 1e6, RunFactor: 1, Signal: rpc.Allowance}}
	h.m = logic.New(h.now, c, h)
	next := 0
	for k := range 6000 {
		if k%10 == 0 { // more than the share allows
			h.arriveFrom(next, 0, 0, 0, rpc.RepeatsNone)
			next++
		}
		for _, i := range h.answered {
			h.end(i, rpc.Cancelled)
		}
		h.answered = nil
		for len(h.started) > 0 {
			i := h.started[0]
			h.started = h.started[1:]
			h.m.NeedsCall(h.now, i)
		}
		for i, at := range h.open {
			switch took := h.now - h.calls[at][0]; {
			case took >= 0.1+0.1*float64(i*7%13):
				h.calls[at][1] = h.now
				delete(h.open, i)
				h.m.Called(h.now, i, rpc.OK)
				h.end(i, rpc.OK)
			case took >= h.timeout-1e-9:
				h.calls[at][1] = h.now + 0.2
				delete(h.open, i)
				h.m.Called(h.now, i, rpc.TimedOut)
			}
		}
		h.advance(0.02)
	}
	highest, total := 0.0, 0.0
	for _, first := range h.calls {
		used := 0.0
		for _, call := range h.calls {
			used += max(min(call[1], first[0]+5)-max(call[0], first[0]), 0)
		}
		highest = max(highest, used/5)
		total += min(first[1], h.now) - first[0]
	}
	fmt.Println("within the share:", highest <= share+1e-6, "most of it used:", total/(h.now-100) > 0.8*share)
	// Output:
	// within the share: true most of it used: true
}

// RPCs of a tenant past its share of the quota are rejected first, even if others arrived later. Within
// their shares all tenants are equal.
func Example_tenants() {
	h := newHarness(func(c *rpc.Settings) {
		c.Tenants, c.Replicas, c.OverShareWorth = []rpc.Tenant{{Quota: 1}, {Quota: 1}}, 10, 0.1
		c.Machine.Cores = 1
	})
	arrive := func(i, tenant int) {
		h.m.Arrive(h.now, i, read, 0, tenant, 0, false, false, 0, 20, rpc.RepeatsNone)
	}
	arrive(0, 1)
	for i := range 6 {
		arrive(1+i, 0)
	}
	h.advance(0.5)
	arrive(7, 1)
	// Output:
	//   0.00 health true
	//   0.00 start 0
	//   0.50 push back 1, last false, after 0.30
}

// Followers take memory too, and wait as long as the RPC that they follow. Once there is none left, a read
// is rejected or another one is rejected for it, and a retry of a tokened RPC is aborted, as the first try
// may have run.
func Example_followersFillMemory() {
	h := newHarness(func(c *rpc.Settings) {
		c.Machine.ResultTTL, c.Machine.Cores, c.Machine.MemoryKB = 1, 1, 200
	})
	h.arrive(0, read)
	for i := range 6 {
		h.arriveRepeat(1+i, read, 0)
	}
	h = newHarness(func(c *rpc.Settings) { c.Machine.Cores, c.Machine.MemoryKB = 1, 200 })
	h.arrive(0, write)
	for i := range 6 {
		h.arriveRepeat(1+i, write, 0)
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

// A layer below that fails calls at once is not fast: only successful calls count as call times, so that a
// call that would end too late is still skipped.
func Example_fastFailingCalls() {
	h := newHarness(func(c *rpc.Settings) {
		c.Machine.SkipWorth, c.Machine.MaxDownstreamCalls = []float64{0, 0, 0.5}, 9
	})
	for range 4 {
		h.arrive(0, page)
		h.m.NeedsCall(h.now, 0)
		h.advance(0.2)
		h.m.Called(h.now, 0, rpc.OK)
		h.end(0, rpc.OK)
	}
	h.arrive(1, page)
	h.onlyIdleTimeouts = true // nothing printed
	for range 12 {
		h.arrive(0, page)
		h.m.NeedsCall(h.now, 0)
		h.advance(0.02)
		h.m.Called(h.now, 0, rpc.Error)
		h.end(0, rpc.OK)
	}
	h.advance(1.9)
	h.onlyIdleTimeouts = false
	h.m.NeedsCall(h.now, 1)
	// Output:
	//   0.00 health true
	//   0.00 start 0
	//   0.00 call 0, timeout 2.40
	//   0.20 start 0
	//   0.20 call 0, timeout 2.40
	//   0.40 start 0
	//   0.40 call 0, timeout 2.40
	//   0.60 start 0
	//   0.60 call 0, timeout 2.40
	//   0.80 start 1
	//   2.94 skip 1's call
}

// An app server has just joined a growing fleet cold, and callers connect to it as the list of servers
// spreads. The credit of each caller follows the warm-up and the number of callers, and so does the run
// limit.
func Example_growingColdFleet() {
	h := newHarness(func(c *rpc.Settings) {
		c.Machine.Cold, c.Machine.Cores, c.Rules.OverloadFactor, c.Rules.StartCapacity,
			c.Rules.RampTime = true, 4, 2, 0, 4
	})
	h.printCredit = true
	for i := range 5 {
		h.arriveFrom(i, page, i, 0, rpc.RepeatsNone)
	}
	h.advance(0.5)
	for i := range 5 {
		h.end(i, rpc.OK)
	}
	h.advance(4)
	for i := range 5 {
		h.arriveFrom(5+i, page, i, 0, rpc.RepeatsNone)
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

// Callers send no deadlines and never give up: the deadline of the method, counted from the arrival,
// applies to queued and running RPCs.
func Example_noDeadlineSent() {
	h := newHarness(func(c *rpc.Settings) { c.Machine.Cores, c.Methods[read].LateShare = 1, 0.2 })
	h.arrive(0, read)
	h.arrive(1, write)
	h.advance(9)
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

// Once remembered tokens take half of the memory, the next tokened RPC is rejected, as the other half is
// for RPCs. Reads go on, and so do tokened RPCs once a window has passed.
func Example_tokensFillMemory() {
	h := newHarness(func(c *rpc.Settings) { c.Machine.MemoryKB, c.Methods[write].Window = 200, 1 })
	h.onlyIdleTimeouts = true // print nothing for the first ten
	for range 10 {
		h.arrive(0, write)
		h.end(0, rpc.OK)
	}
	h.onlyIdleTimeouts = false
	h.arrive(0, write)
	h.arrive(0, read)
	h.advance(1.1)
	h.arrive(1, write)
	// Output:
	//   0.00 health true
	//   0.00 push back 0, last false, after 0.00
	//   0.00 start 0
	//   1.10 remember 1 for 1.02
	//   1.10 start 1
}
