package gate

import (
	"context"
	"fmt"

	"valveglade/rpc"
)

const (
	read = iota
	write
)

// street plays the network to a gate: it prints what Pick gives, and knows RPCs by name.
type street struct {
	*Gate[string]
	now float64
	ids map[string]ID
}

func open(cores, keep int) *street { return openTold(cores, keep, func(*rpc.Settings) {}) }

func openTold(cores, keep int, change func(c *rpc.Settings)) *street {
	c := rpc.Settings{
		Methods: []rpc.Method{
			{Kind: rpc.Idempotent, Target: 1.2, Deadline: 4, Criticality: 1},
			{Kind: rpc.Tokened, Target: 2.4, Deadline: 8, Window: 10, Criticality: 3, LateShare: 0.2},
		},
		Machine: rpc.Machine{Callers: 2, Cores: cores, EntryKB: 10, MemoryKB: 4000, RunFactor: 4, KeepAlive: 30,
			Preemption: rpc.Freezes, Signal: rpc.Allowance},
		Rules: rpc.Rules{Crowd: 5, Grace: 1},
	}
	change(&c)
	return &street{Gate: New[string](100, c, keep), now: 100, ids: map[string]ID{}}
}

func (s *street) arrive(name string, method int, token string) {
	s.came(name, method, s.now, token, "body")
}

func (s *street) came(name string, method int, recv float64, token, body string) {
	var ok bool
	if s.ids[name], ok = s.Arrive(s.now, method, 0, recv, s.now+4, 20, false, name, token, []byte(body), name); !ok {
		fmt.Printf("%5.2f %s: not taken\n", s.now-100, name)
	}
	s.say()
}

func (s *street) report(name string, how rpc.Outcome, result string) {
	s.Report(s.now, s.ids[name], how, 0.3, []byte(result))
	s.say()
}

func (s *street) gone(name string) {
	s.Gone(s.now, s.ids[name])
	s.say()
}

func (s *street) pass(t float64) {
	for end := s.now + t - 1e-9; s.now < end; {
		s.now += s.Tick(s.now+0.02, nil)
		s.say()
	}
}

// say prints what there is to do by now.
func (s *street) say() {
	none, stop := context.WithCancel(context.Background())
	stop()
	for {
		job, err := s.Pick(none)
		if err != nil {
			return
		}
		fmt.Printf("%5.2f %s: ", s.now-100, job.For)
		switch job.Do {
		case Run:
			fmt.Println("run")
		case Pause:
			fmt.Println("pause")
		case Serve:
			fmt.Printf("ok %q\n", job.Result)
		case PushBack:
			fmt.Println("pushed back")
		case Abort:
			fmt.Println("aborted")
		}
	}
}

// One answer, whichever of an outcome, the caller's end and a further outcome comes first.
func Example_life() {
	s := open(2, 1000)
	s.arrive("a", read, "")
	s.report("a", rpc.OK, "1")
	s.report("a", rpc.OK, "again")
	s.arrive("b", read, "")
	s.gone("b")
	s.report("b", rpc.Cancelled, "")
	s.arrive("c", read, "")
	s.report("c", rpc.Error, "")
	s.gone("c")
	s.arrive("d", read, "")
	s.gone("a") // a's index is d's by now
	s.report("d", rpc.Moot, "")
	// Output:
	//  0.00 a: run
	//  0.00 a: ok "1"
	//  0.00 b: run
	//  0.00 b: pause
	//  0.00 c: run
	//  0.00 c: aborted
	//  0.00 d: run
	//  0.00 d: aborted
}

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
	s.report("b1", rpc.Moot, "")
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
		s.Gone(s.now, s.ids["b"])
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
	s.report("bad3", rpc.Moot, "")
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

// An RPC under the name of one in hand is not taken; once that is over the name is free.
func Example_names() {
	s := open(1, 1000)
	s.arrive("a", read, "")
	s.arrive("a", read, "")
	s.ids["a"] = ID{0, 1}
	s.report("a", rpc.OK, "1")
	s.arrive("a", read, "")
	// Output:
	//  0.00 a: run
	//  0.00 a: not taken
	//  0.00 a: ok "1"
	//  0.00 a: run
}

// Routers that come back under new numbers for ever: the table stays bounded, a number that is in use keeps its
// index, and the rest are not counted as one, which would make the credit many times what it should be.
func Example_numbers() {
	s := open(2, 1000)
	send := func(src int) ID {
		id, _ := s.Arrive(s.now, read, src, s.now, s.now+4, 20, false, fmt.Sprint(src), "", nil, "")
		s.now += 0.001
		return id
	}
	busy := send(7)
	for src := 100; src < 100+3*maxCallers; src++ {
		s.Report(s.now, send(src), rpc.OK, 0.1, nil)
	}
	s.Report(s.now, send(100), rpc.OK, 0.1, nil)
	fmt.Println(len(s.callers), len(s.known), s.known[s.callers[7]], s.known[s.callers[100]].out)
	s.Report(s.now, busy, rpc.OK, 0.1, nil)
	fmt.Println(s.known[s.callers[7]].out)
	// Output:
	// 1024 1024 {7 1 100} 0
	// 0
}

// Leaving: all is answered before the stop, also a repeat whose outcome has not come.
func Example_leave() {
	s := open(1, 1000)
	s.arrive("a1", write, "t")
	s.arrive("a2", write, "t")
	s.arrive("b", read, "")
	s.Leave(s.now, s.now+1.5)
	s.say()
	fmt.Println("healthy", s.Healthy(), "credit", s.Credit())
	s.pass(1.1)
	fmt.Println("credit", s.Credit())
	s.arrive("late", read, "")
	s.report("a1", rpc.OK, "done")
	// Output:
	//  0.00 a1: run
	// healthy false credit 0.03125
	//  0.98 a1: aborted
	//  0.98 a2: aborted
	//  0.98 b: pushed back
	// credit 0
	//  1.10 late: pushed back
}

// The kernel says when it came up: a module that has read nothing starts then; one that has goes on, and knows from then on
// that the machine is cold. Only the first word counts: a link that is made anew tells the same again.
func Example_boot() {
	s := open(2, 1000)
	fmt.Println("booted", s.Booted(), "credit", s.Credit())
	s.Boot(s.now, 99, true)
	s.arrive("a", read, "")
	s.Boot(s.now, 100, true)
	s.report("a", rpc.OK, "1")
	fmt.Println("booted", s.Booted(), "credit", s.Credit())

	early := openTold(2, 1000, func(c *rpc.Settings) { c.Rules.ColdAt, c.Rules.WarmIn, c.Machine.Cores = 0.25, 100, 8 })
	early.arrive("b", read, "")
	fmt.Println("credit", early.Credit())
	early.Boot(early.now, 99.9, true)
	fmt.Println("credit", early.Credit())
	early.Boot(early.now, 0, false)
	early.pass(1)
	early.report("b", rpc.OK, "1")
	fmt.Printf("credit %.2f\n", early.Credit())
	// Output:
	// booted false credit 0.5
	//  0.00 a: run
	//  0.00 a: ok "1"
	// booted true credit 0.5
	//  0.00 b: run
	// credit 0.5
	// credit 0.5
	//  1.00 b: ok "1"
	// credit 1.17
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

// Pick gives what is decided while it waits.
func Example_pick() {
	s := open(1, 1000)
	picked := make(chan Job[string])
	go func() {
		job, _ := s.Pick(context.Background())
		picked <- job
	}()
	s.Arrive(s.now, read, 0, s.now, s.now+4, 20, false, "a", "", nil, "a")
	fmt.Println((<-picked).For)
	// Output: a
}

// permits lets some RPCs of the first method run at once, and says what it is told.
type permits struct{ most, running, waiting int }

func (p *permits) Short(method int) int {
	if method == read && p.running >= p.most {
		return 1
	}
	return 0
}

func (p *permits) Waits(method, n int, criticality float64) { p.waiting += n }
func (p *permits) Began(method int, criticality float64)    { p.running += 1 - method }
func (p *permits) Over(method int, criticality, took float64) {
	p.running -= 1 - method
	fmt.Printf("      over after %.2f; %d run, %d wait\n", took, p.running, p.waiting)
}

// Nothing starts without a permit, which is kept to the end of the run, whoever still waits for it; each is given back once.
func Example_permits() {
	s := open(4, 1000)
	p := &permits{most: 1}
	s.Under(p)
	s.arrive("a", read, "")
	s.arrive("b", read, "")
	s.arrive("c", write, "t")
	s.gone("a") // it goes on until the kernel has stopped it
	s.pass(0.02)
	s.report("a", rpc.Cancelled, "")
	s.pass(0.02)
	s.report("b", rpc.Moot, "")
	s.report("c", rpc.OK, "1")
	fmt.Printf("%d run, %d wait\n", p.running, p.waiting)
	// Output:
	//  0.00 a: run
	//  0.00 c: run
	//  0.00 a: pause
	//       over after 0.30; 0 run, 1 wait
	//  0.02 b: run
	//       over after 0.00; 0 run, 0 wait
	//  0.04 b: aborted
	//       over after 0.30; 0 run, 0 wait
	//  0.04 c: ok "1"
	// 0 run, 0 wait
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
	for job, err := s.Pick(none); err == nil; job, err = s.Pick(none) {
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

// Runs are stopped only where the settings name a way to stop them: a site that names none allows no such command.
func Example_preemption() {
	for _, way := range []rpc.Preemption{"", rpc.Unstoppable, rpc.Discards, rpc.Freezes} {
		s := openTold(1, 1000, func(c *rpc.Settings) { c.Machine.Preemption = way })
		fmt.Printf("%q\n", way)
		s.arrive("a", read, "")
		s.arrive("b", read, "")
		s.pass(1.3) // a has lost its worth, b waits
		s.gone("a")
		s.arrive("c", write, "t")
		s.gone("c")
	}
	// Output:
	// ""
	//  0.00 a: run
	//  1.22 b: pushed back
	// "none"
	//  0.00 a: run
	//  1.22 b: pushed back
	// "discard"
	//  0.00 a: run
	//  1.22 a: pushed back
	//  1.22 a: pause
	//  1.22 b: pushed back
	// "freeze"
	//  0.00 a: run
	//  1.22 a: pushed back
	//  1.22 a: pause
	//  1.22 b: pushed back
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
			did := map[Do]int{}
			none, stop := context.WithCancel(context.Background())
			stop()
			for k := range 2 * leastTokens {
				id, _ := s.Arrive(s.now, write, 0, s.now, s.now+4, 20, false, "x", fmt.Sprint(k), nil, "x")
				s.Report(s.now, id, rpc.OK, 0.01, nil)
				s.now += 0.1
				for job, err := s.Pick(none); err == nil; job, err = s.Pick(none) {
					did[job.Do]++
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
