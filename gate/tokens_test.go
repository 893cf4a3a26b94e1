package gate

import (
	"context"
	"fmt"

	"valveglade/rpc"
)

// A repeat replaces a queued attempt, waits for one that runs, and gets the kept result of one that ran. It runs again
// only after the window.
func Example_repeats() {
	h := newHarness(1, 1000)
	h.arrive("busy", read, "")
	h.arrive("a1", write, "t")
	h.arrive("a2", write, "t")
	h.report("busy", rpc.OK, "")
	h.arrive("a3", write, "t")
	h.arrive("a4", write, "t")
	h.callerGone("a4")
	h.report("a2", rpc.OK, "done")
	h.arrive("a5", write, "t")
	h.advance(10.1)
	h.arrive("a6", write, "t")
	// Output:
	//  0.00 busy: run
	//  0.00 a1: pushed back
	//  0.00 busy: ok ""
	//  0.00 a2: run
	//  0.00 a2: ok "done"
	//  0.00 a3: ok "done"
	//  0.00 a5: ok "done"
	// 10.10 a6: run
}

// A failed RPC never runs again. One that is proven not to have started is forgotten.
func Example_failed() {
	h := newHarness(1, 1000)
	h.arrive("a1", write, "t")
	h.arrive("a2", write, "t")
	h.report("a1", rpc.Error, "")
	h.arrive("a3", write, "t")
	h.arrive("b1", write, "u")
	h.callerGone("b1")
	h.report("b1", rpc.NotStarted, "")
	h.arrive("b2", write, "u")
	// Output:
	//  0.00 a1: run
	//  0.00 a1: aborted
	//  0.00 a2: aborted
	//  0.00 a3: aborted
	//  0.00 b1: run
	//  0.00 b2: run
}

// The result of a tokened RPC whose caller is gone is kept for a repeat.
func Example_kept() {
	h := newHarness(1, 1000)
	h.arrive("a1", write, "t")
	h.callerGone("a1")
	h.arrive("a2", write, "t")
	h.report("a1", rpc.OK, "done")
	// Output:
	//  0.00 a1: run
	//  0.00 a2: ok "done"
}

// Beyond the limit on results the oldest one is dropped. A repeat of its RPC is aborted and does not run.
func Example_resultLimit() {
	h := newHarness(2, 8)
	for _, name := range []string{"a", "b"} {
		h.arrive(name, write, name)
		h.report(name, rpc.OK, "12345")
	}
	h.arrive("a2", write, "a")
	h.arrive("b2", write, "b")
	// Output:
	//  0.00 a: run
	//  0.00 a: ok "12345"
	//  0.00 b: run
	//  0.00 b: ok "12345"
	//  0.00 a2: aborted
	//  0.00 b2: ok "12345"
}

// Tokens of refused RPCs do not stay in the table.
func Example_refused() {
	h := newHarness(1, 1000)
	h.arrive("a", write, "a")
	for k := range 1000 {
		h.ids["b"], _ = h.Arrive(h.now, write, 0, h.now, h.now+4, 20, false, "b", fmt.Sprint(k), nil, "b")
		h.CallerGone(h.now, h.ids["b"])
	}
	fmt.Println(len(h.tokens.entries), len(h.tokens.expiry) == 1, len(h.slots))
	// Output:
	//  0.00 a: run
	// 1 true 2
}

// The window counts from the arrival at the machine. A repeat that arrived in time is recognised however late it is
// read. If the arrival time of the first attempt lies ahead of the clock, the window is longer by as much.
func Example_window() {
	h := newHarness(2, 1000)
	h.arrive("a1", write, "t")
	h.report("a1", rpc.OK, "done")
	h.arriveAt("b1", write, h.now+3, "u", "body")
	h.advance(12)
	h.arriveAt("a2", write, h.now-2.5, "t", "body")
	h.arrive("b2", write, "u")
	h.report("b1", rpc.OK, "too")
	// Output:
	//  0.00 a1: run
	//  0.00 a1: ok "done"
	//  0.00 b1: run
	//  3.98 b1: aborted
	// 12.00 a2: ok "done"
	// 12.00 b2: ok "too"
}

// Guards against clients that send a token they have seen with another body. Once the kernel has accepted one body as
// genuine, the other is rejected and never gets the kept result. Before that the later RPC waits, and runs only if the
// kernel did not know the earlier one, so the genuine RPC and its repeats are served in any order of arrival.
func Example_bodies() {
	h := newHarness(1, 1000)
	h.arriveAt("a1", write, h.now, "t", "body")
	h.arriveAt("bad1", write, h.now, "t", "other")
	h.report("a1", rpc.OK, "done")
	h.arriveAt("bad2", write, h.now, "t", "other")
	h.arriveAt("a2", write, h.now, "t", "body")
	h.arriveAt("bad3", write, h.now, "u", "other")
	h.arriveAt("b1", write, h.now, "u", "body")
	h.arriveAt("b2", write, h.now, "u", "body")
	h.report("bad3", rpc.NotStarted, "")
	h.report("b1", rpc.OK, "too")
	h.arrive("busy", read, "")
	h.arriveAt("bad4", write, h.now, "v", "other") // queued
	h.arriveAt("c1", write, h.now, "v", "body")
	h.callerGone("bad4")
	h.report("busy", rpc.OK, "")
	h.report("c1", rpc.OK, "three")
	fmt.Println(len(h.uids), len(h.tokens.entries))
	// Output:
	//  0.00 a1: run
	//  0.00 a1: ok "done"
	//  0.00 bad1: aborted
	//  0.00 bad2: rejected
	//  0.00 a2: ok "done"
	//  0.00 bad3: run
	//  0.00 bad3: aborted
	//  0.00 b1: run
	//  0.00 b1: ok "too"
	//  0.00 b2: ok "too"
	//  0.00 busy: run
	//  0.00 busy: ok ""
	//  0.00 c1: run
	//  0.00 c1: ok "three"
	// 0 3
}

// The process is paused for longer than a window, with an unread repeat that arrived within it. Whether the tick or the
// read comes first afterwards, the repeat does not run. After some time of reading the token is free again.
func Example_pausedProcess() {
	for _, tickFirst := range []bool{true, false} {
		h := newHarness(2, 1000)
		h.arrive("a1", write, "t")
		h.advance(0.1)
		h.report("a1", rpc.OK, "done")
		h.now += 30 // paused
		if tickFirst {
			h.advance(0.1)
		}
		h.arriveAt("a2", write, h.now-25, "t", "body")
		h.advance(maxReadDelay + 0.1)
		h.arrive("b1", write, "t")
		fmt.Println(len(h.tokens.entries), len(h.tokens.expiry))
	}
	// Output:
	//  0.00 a1: run
	//  0.10 a1: ok "done"
	// 30.20 a2: ok "done"
	// 35.30 b1: run
	// 1 1
	//  0.00 a1: run
	//  0.10 a1: ok "done"
	// 30.10 a2: ok "done"
	// 35.20 b1: run
	// 1 1
}

// With a window shorter than a run, repeats wait for the outcome, even after the window and for longer than tokens are
// kept, and none runs concurrently. Then the token is free again.
func Example_shortWindow() {
	h := newHarnessWith(2, 1000, func(settings *rpc.Settings) {
		settings.Methods[write].Window, settings.Methods[write].Deadline = 1, 20
	})
	send := func(name string) {
		h.ids[name], _ = h.Arrive(h.now, write, 0, h.now, h.now+20, 20, false, name, "t", []byte("body"), name)
		h.printJobs()
	}
	send("a1")
	h.advance(0.5)
	send("a2")
	h.advance(1)
	send("a3")
	h.advance(maxReadDelay + 1)
	send("a4")
	h.report("a1", rpc.OK, "done")
	h.advance(0.1)
	fmt.Println(len(h.tokens.entries), len(h.tokens.expiry), h.tokens.results.Len(), h.tokens.bytes)
	send("b1")
	h.advance(1)
	// Output:
	//  0.00 a1: run
	//  7.50 a1: ok "done"
	//  7.50 a2: ok "done"
	//  7.50 a3: ok "done"
	//  7.50 a4: ok "done"
	// 0 0 0 0
	//  7.60 b1: run
}

// One method has a window of a day, another of a second. Tokens of the second expire after theirs, also behind earlier
// tokens of the first.
func Example_windowsApart() {
	h := newHarnessWith(2, 1000, func(settings *rpc.Settings) {
		settings.Methods = append(settings.Methods, settings.Methods[write])
		settings.Methods[write].Window = 86400
		settings.Methods[write+1].Window = 1
		settings.Machine.EntryKB = 0.01
	})
	h.arrive("day", write, "day")
	h.report("day", rpc.OK, "1")
	for k := range 100 {
		h.ids["x"], _ = h.Arrive(h.now, write+1, 0, h.now, h.now+4, 20, false, "x", fmt.Sprint(k), nil, "x")
		h.Report(h.now, h.ids["x"], rpc.OK, 0.1, []byte("result"))
	}
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	for job, err := h.NextJob(cancelled); err == nil; job, err = h.NextJob(cancelled) {
		_ = job
	}
	h.advance(maxReadDelay + 2)
	fmt.Println(len(h.tokens.entries), h.tokens.bytes)
	h.arrive("day again", write, "day")
	// Output:
	//  0.00 day: run
	//  0.00 day: ok "1"
	// 1 1
	//  7.00 day again: ok "1"
}

// Each method has its own tokens: the same token under two methods means two RPCs, each with its own result.
func Example_tokensOfTwoMethods() {
	h := newHarnessWith(2, 1000, func(settings *rpc.Settings) {
		settings.Methods = append(settings.Methods, settings.Methods[write])
	})
	h.arrive("a1", write, "t")
	h.arrive("b1", write+1, "t")
	h.report("a1", rpc.OK, "of a")
	h.report("b1", rpc.OK, "of b")
	h.arrive("b2", write+1, "t")
	h.arrive("a2", write, "t")
	// Output:
	//  0.00 a1: run
	//  0.00 b1: run
	//  0.00 a1: ok "of a"
	//  0.00 b1: ok "of b"
	//  0.00 b2: ok "of b"
	//  0.00 a2: ok "of a"
}

// Without memory for results, waiting repeats still get the result, and later repeats are aborted and do not run.
func Example_noKeptResults() {
	h := newHarness(1, 0)
	h.arrive("a1", write, "t")
	h.arrive("a2", write, "t")
	h.report("a1", rpc.OK, "done")
	h.arrive("a3", write, "t")
	fmt.Println(h.tokens.bytes, h.tokens.results.Len())
	// Output:
	//  0.00 a1: run
	//  0.00 a1: ok "done"
	//  0.00 a2: ok "done"
	//  0.00 a3: aborted
	// 0 0
}

// With a window of days and tokens that cost the machine no or hardly any memory, the process's own memory bounds their
// number. Beyond it tokened RPCs are pushed back and others run.
func Example_tokenLimit() {
	for _, memory := range []float64{0, 4000, 1e12} {
		for _, entry := range []float64{0, 1e-9} {
			h := newHarnessWith(2, 0, func(settings *rpc.Settings) {
				settings.Methods[write].Window = 30 * 86400
				settings.Machine.EntryKB, settings.Machine.MemoryKB = entry, memory
			})
			count := map[Action]int{}
			cancelled, cancel := context.WithCancel(context.Background())
			cancel()
			for k := range 2 * minTokens {
				id, _ := h.Arrive(h.now, write, 0, h.now, h.now+4, 20, false, "x", fmt.Sprint(k), nil, "x")
				h.Report(h.now, id, rpc.OK, 0.01, nil)
				h.now += 0.1
				for job, err := h.NextJob(cancelled); err == nil; job, err = h.NextJob(cancelled) {
					count[job.Action]++
				}
			}
			fmt.Println(memory, entry, count[Run] == len(h.tokens.entries), count[Run] > minTokens*9/10,
				count[Run] <= minTokens+1, count[Serve] == count[Run], count[Run]+count[PushBack] == 2*minTokens)
			h.arrive("read", read, "")
		}
	}
	// Output:
	// 0 0 true true true true true
	// 204.80 read: run
	// 0 1e-09 true true true true true
	// 204.80 read: run
	// 4000 0 true true true true true
	// 204.80 read: run
	// 4000 1e-09 true true true true true
	// 204.80 read: run
	// 1e+12 0 true true true true true
	// 204.80 read: run
	// 1e+12 1e-09 true true true true true
	// 204.80 read: run
}

// A token is used again after its window, and then a repeat that arrived within the window is read. It neither replaces
// the later RPC, nor runs once that one is abandoned or found not genuine by the kernel.
func Example_readLate() {
	h := newHarnessWith(1, 1000, func(settings *rpc.Settings) { settings.Methods[write].Window = 1 })
	h.arrive("a1", write, "t")
	h.report("a1", rpc.OK, "first")
	h.advance(1.5)
	h.arrive("busy", read, "")
	h.arrive("b1", write, "t") // queued
	h.arriveAt("a2", write, h.now-1, "t", "body")
	h.callerGone("b1")
	h.arriveAt("a3", write, h.now-0.6, "t", "body")
	h.report("busy", rpc.OK, "")
	h.arrive("b2", write, "t")
	h.arriveAt("a4", write, h.now-1, "t", "body")
	h.report("b2", rpc.NotStarted, "")
	h.arriveAt("a5", write, h.now-1, "t", "body")
	h.arrive("b3", write, "t")
	h.report("b3", rpc.OK, "second")
	h.arriveAt("a6", write, h.now-1, "t", "body")
	h.arrive("b4", write, "t")
	fmt.Println(len(h.tokens.expiry), h.tokens.bytes)
	h.advance(1 + maxReadDelay + 0.1)
	fmt.Println(len(h.tokens.expiry), len(h.tokens.entries), h.tokens.bytes)
	// Output:
	//  0.00 a1: run
	//  0.00 a1: ok "first"
	//  1.50 busy: run
	//  1.50 a2: ok "first"
	//  1.50 a3: ok "first"
	//  1.50 busy: ok ""
	//  1.50 b2: run
	//  1.50 a4: ok "first"
	//  1.50 b2: aborted
	//  1.50 a5: ok "first"
	//  1.50 b3: run
	//  1.50 b3: ok "second"
	//  1.50 a6: ok "first"
	//  1.50 b4: ok "second"
	// 2 11
	// 0 0 0
}

// An attempt whose arrival time lies years ahead of the clock keeps its token for its window and maxClockSkew only.
func Example_clockSkew() {
	h := newHarness(1, 1000)
	h.arriveAt("a", write, h.now+1e9, "t", "body")
	h.report("a", rpc.OK, "done")
	h.advance(11 + maxClockSkew + maxReadDelay)
	fmt.Println(len(h.tokens.entries))
	// Output:
	//  0.00 a: run
	//  0.00 a: ok "done"
	// 0
}
