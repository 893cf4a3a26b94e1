package gate

import (
	"context"
	"fmt"

	"valveglade/rpc"
)

// A repeat takes the place of a held try, waits for one that runs, gets the kept result of one that ran, and
// runs again only after the window.
func Example_repeats() {
	s := open(1, 1000)
	s.arrive("busy", read, "")
	s.arrive("a1", write, "t")
	s.arrive("a2", write, "t")
	s.report("busy", rpc.OK, "")
	s.arrive("a3", write, "t")
	s.arrive("a4", write, "t")
	s.gone("a4")
	s.report("a2", rpc.OK, "done")
	s.arrive("a5", write, "t")
	s.pass(10.1)
	s.arrive("a6", write, "t")
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

// A failed run is never run again; one that is proven not to have started is forgotten.
func Example_failed() {
	s := open(1, 1000)
	s.arrive("a1", write, "t")
	s.arrive("a2", write, "t")
	s.report("a1", rpc.Error, "")
	s.arrive("a3", write, "t")
	s.arrive("b1", write, "u")
	s.gone("b1")
	s.report("b1", rpc.NotStarted, "")
	s.arrive("b2", write, "u")
	// Output:
	//  0.00 a1: run
	//  0.00 a1: aborted
	//  0.00 a2: aborted
	//  0.00 a3: aborted
	//  0.00 b1: run
	//  0.00 b2: run
}

// The outcome of a tokened RPC whose caller has left is kept for the repeat.
func Example_kept() {
	s := open(1, 1000)
	s.arrive("a1", write, "t")
	s.gone("a1")
	s.arrive("a2", write, "t")
	s.report("a1", rpc.OK, "done")
	// Output:
	//  0.00 a1: run
	//  0.00 a2: ok "done"
}

// Past the room for results the oldest is dropped; its repeat is aborted, and not run.
func Example_room() {
	s := open(2, 8)
	for _, name := range []string{"a", "b"} {
		s.arrive(name, write, name)
		s.report(name, rpc.OK, "12345")
	}
	s.arrive("a2", write, "a")
	s.arrive("b2", write, "b")
	// Output:
	//  0.00 a: run
	//  0.00 a: ok "12345"
	//  0.00 b: run
	//  0.00 b: ok "12345"
	//  0.00 a2: aborted
	//  0.00 b2: ok "12345"
}

// Tokens of refused RPCs leave no trace behind one that is remembered.
func Example_refused() {
	s := open(1, 1000)
	s.arrive("a", write, "a")
	for k := range 1000 {
		s.ids["b"], _ = s.Arrive(s.now, write, 0, s.now, s.now+4, 20, false, "b", fmt.Sprint(k), nil, "b")
		s.CallerGone(s.now, s.ids["b"])
	}
	fmt.Println(len(s.tokens.entries), len(s.tokens.expiry) == 1, len(s.slots))
	// Output:
	//  0.00 a: run
	// 1 true 2
}

// The window counts from recv: a repeat that came to the machine in time is known however late it is read, and
// one of a try whose recv lies ahead of the clock for as much longer.
func Example_window() {
	s := open(2, 1000)
	s.arrive("a1", write, "t")
	s.report("a1", rpc.OK, "done")
	s.came("b1", write, s.now+3, "u", "body")
	s.pass(12)
	s.came("a2", write, s.now-2.5, "t", "body")
	s.arrive("b2", write, "u")
	s.report("b1", rpc.OK, "too")
	// Output:
	//  0.00 a1: run
	//  0.00 a1: ok "done"
	//  0.00 b1: run
	//  3.98 b1: aborted
	// 12.00 a2: ok "done"
	// 12.00 b2: ok "too"
}

// A token with another body: once the kernel has proved one body genuine, the other is not taken, and never gets
// the kept result. Before that the later waits, and runs only if the kernel knew nothing of the earlier; so the
// genuine RPC and its repeats are served whichever came first. Guards against clients that send what they saw.
func Example_bodies() {
	s := open(1, 1000)
	s.came("a1", write, s.now, "t", "body")
	s.came("bad1", write, s.now, "t", "other")
	s.report("a1", rpc.OK, "done")
	s.came("bad2", write, s.now, "t", "other")
	s.came("a2", write, s.now, "t", "body")
	s.came("bad3", write, s.now, "u", "other")
	s.came("b1", write, s.now, "u", "body")
	s.came("b2", write, s.now, "u", "body")
	s.report("bad3", rpc.NotStarted, "")
	s.report("b1", rpc.OK, "too")
	s.arrive("busy", read, "")
	s.came("bad4", write, s.now, "v", "other") // held
	s.came("c1", write, s.now, "v", "body")
	s.gone("bad4")
	s.report("busy", rpc.OK, "")
	s.report("c1", rpc.OK, "three")
	fmt.Println(len(s.uids), len(s.tokens.entries))
	// Output:
	//  0.00 a1: run
	//  0.00 a1: ok "done"
	//  0.00 bad1: aborted
	//  0.00 bad2: not taken
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

// A process that was stopped for longer than a window, with a repeat unread that came within it: whichever is first when it goes
// on, the look at the time or the reader, the repeat does not run. Once it has been reading for a while the token is free.
func Example_stopped() {
	for _, lookFirst := range []bool{true, false} {
		s := open(2, 1000)
		s.arrive("a1", write, "t")
		s.pass(0.1)
		s.report("a1", rpc.OK, "done")
		s.now += 30 // stopped
		if lookFirst {
			s.pass(0.1)
		}
		s.came("a2", write, s.now-25, "t", "body")
		s.pass(unread + 0.1)
		s.arrive("b1", write, "t")
		fmt.Println(len(s.tokens.entries), len(s.tokens.expiry))
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

// A window shorter than a run: its repeats wait for the outcome, also those past the window and those that follow for
// longer than tokens are kept, and none runs beside it. Then the token is free.
func Example_shortWindow() {
	s := openTold(2, 1000, func(c *rpc.Settings) { c.Methods[write].Window, c.Methods[write].Deadline = 1, 20 })
	send := func(name string) {
		s.ids[name], _ = s.Arrive(s.now, write, 0, s.now, s.now+20, 20, false, name, "t", []byte("body"), name)
		s.say()
	}
	send("a1")
	s.pass(0.5)
	send("a2")
	s.pass(1)
	send("a3")
	s.pass(unread + 1)
	send("a4")
	s.report("a1", rpc.OK, "done")
	s.pass(0.1)
	fmt.Println(len(s.tokens.entries), len(s.tokens.expiry), s.tokens.results.Len(), s.tokens.bytes)
	send("b1")
	s.pass(1)
	// Output:
	//  0.00 a1: run
	//  7.50 a1: ok "done"
	//  7.50 a2: ok "done"
	//  7.50 a3: ok "done"
	//  7.50 a4: ok "done"
	// 0 0 0 0
	//  7.60 b1: run
}

// One method's window is a day, another's a second: tokens of the second go after theirs, however many of the first came
// before them.
func Example_windowsApart() {
	s := openTold(2, 1000, func(c *rpc.Settings) {
		c.Methods = append(c.Methods, c.Methods[write])
		c.Methods[write].Window = 86400
		c.Methods[write+1].Window = 1
		c.Machine.EntryKB = 0.01
	})
	s.arrive("day", write, "day")
	s.report("day", rpc.OK, "1")
	for k := range 100 {
		s.ids["x"], _ = s.Arrive(s.now, write+1, 0, s.now, s.now+4, 20, false, "x", fmt.Sprint(k), nil, "x")
		s.Report(s.now, s.ids["x"], rpc.OK, 0.1, []byte("result"))
	}
	none, stop := context.WithCancel(context.Background())
	stop()
	for job, err := s.NextJob(none); err == nil; job, err = s.NextJob(none) {
		_ = job
	}
	s.pass(unread + 2)
	fmt.Println(len(s.tokens.entries), s.tokens.bytes)
	s.arrive("day again", write, "day")
	// Output:
	//  0.00 day: run
	//  0.00 day: ok "1"
	// 1 1
	//  7.00 day again: ok "1"
}

// Two methods number their tokens each on its own: the same token under both is two RPCs, and each has its own result.
func Example_tokensOfTwoMethods() {
	s := openTold(2, 1000, func(c *rpc.Settings) { c.Methods = append(c.Methods, c.Methods[write]) })
	s.arrive("a1", write, "t")
	s.arrive("b1", write+1, "t")
	s.report("a1", rpc.OK, "of a")
	s.report("b1", rpc.OK, "of b")
	s.arrive("b2", write+1, "t")
	s.arrive("a2", write, "t")
	// Output:
	//  0.00 a1: run
	//  0.00 b1: run
	//  0.00 a1: ok "of a"
	//  0.00 b1: ok "of b"
	//  0.00 b2: ok "of b"
	//  0.00 a2: ok "of a"
}

// Where no results are kept at all, those that waited for one get it all the same, and later repeats are aborted, not run.
func Example_keepNothing() {
	s := open(1, 0)
	s.arrive("a1", write, "t")
	s.arrive("a2", write, "t")
	s.report("a1", rpc.OK, "done")
	s.arrive("a3", write, "t")
	fmt.Println(s.tokens.bytes, s.tokens.results.Len())
	// Output:
	//  0.00 a1: run
	//  0.00 a1: ok "done"
	//  0.00 a2: ok "done"
	//  0.00 a3: aborted
	// 0 0
}

// A window of days and tokens that cost the machine nothing, or next to it: the process's own memory bounds them. Past that
// tokened RPCs are pushed back, others run.
func Example_tokensBound() {
	for _, memory := range []float64{0, 4000, 1e12} {
		for _, entry := range []float64{0, 1e-9} {
			s := openTold(2, 0, func(c *rpc.Settings) {
				c.Methods[write].Window = 30 * 86400
				c.Machine.EntryKB, c.Machine.MemoryKB = entry, memory
			})
			did := map[Action]int{}
			none, stop := context.WithCancel(context.Background())
			stop()
			for k := range 2 * leastTokens {
				id, _ := s.Arrive(s.now, write, 0, s.now, s.now+4, 20, false, "x", fmt.Sprint(k), nil, "x")
				s.Report(s.now, id, rpc.OK, 0.01, nil)
				s.now += 0.1
				for job, err := s.NextJob(none); err == nil; job, err = s.NextJob(none) {
					did[job.Action]++
				}
			}
			fmt.Println(memory, entry, did[Run] == len(s.tokens.entries), did[Run] > leastTokens*9/10, did[Run] <= leastTokens+1,
				did[Serve] == did[Run], did[Run]+did[PushBack] == 2*leastTokens)
			s.arrive("read", read, "")
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

// A window is over and the token comes again, but what it came with within the window is read only now: this neither takes
// the place of the later one, nor runs once that is given up or was told apart by the kernel.
func Example_readLate() {
	s := openTold(1, 1000, func(c *rpc.Settings) { c.Methods[write].Window = 1 })
	s.arrive("a1", write, "t")
	s.report("a1", rpc.OK, "first")
	s.pass(1.5)
	s.arrive("busy", read, "")
	s.arrive("b1", write, "t") // held
	s.came("a2", write, s.now-1, "t", "body")
	s.gone("b1")
	s.came("a3", write, s.now-0.6, "t", "body")
	s.report("busy", rpc.OK, "")
	s.arrive("b2", write, "t")
	s.came("a4", write, s.now-1, "t", "body")
	s.report("b2", rpc.NotStarted, "")
	s.came("a5", write, s.now-1, "t", "body")
	s.arrive("b3", write, "t")
	s.report("b3", rpc.OK, "second")
	s.came("a6", write, s.now-1, "t", "body")
	s.arrive("b4", write, "t")
	fmt.Println(len(s.tokens.expiry), s.tokens.bytes)
	s.pass(1 + unread + 0.1)
	fmt.Println(len(s.tokens.expiry), len(s.tokens.entries), s.tokens.bytes)
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

// A try whose recv lies years ahead of the clock keeps its token for its window and maxAhead, and no longer.
func Example_farAhead() {
	s := open(1, 1000)
	s.came("a", write, s.now+1e9, "t", "body")
	s.report("a", rpc.OK, "done")
	s.pass(11 + maxAhead + unread)
	fmt.Println(len(s.tokens.entries))
	// Output:
	//  0.00 a: run
	//  0.00 a: ok "done"
	// 0
}
