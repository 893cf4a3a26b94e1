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
			Preemption: rpc.FreezeOnStop, Signal: rpc.Allowance},
		Rules: rpc.Rules{OverloadFactor: 5, DrainGrace: 1},
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
	s.CallerGone(s.now, s.ids[name])
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
		job, err := s.NextJob(none)
		if err != nil {
			return
		}
		fmt.Printf("%5.2f %s: ", s.now-100, job.Request)
		switch job.Action {
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
	s.report("d", rpc.NotStarted, "")
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
	s.Drain(s.now, s.now+1.5)
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
	s.SetBootTime(s.now, 99, true)
	s.arrive("a", read, "")
	s.SetBootTime(s.now, 100, true)
	s.report("a", rpc.OK, "1")
	fmt.Println("booted", s.Booted(), "credit", s.Credit())

	early := openTold(2, 1000, func(c *rpc.Settings) { c.Rules.StartCapacity, c.Rules.RampTime, c.Machine.Cores = 0.25, 100, 8 })
	early.arrive("b", read, "")
	fmt.Println("credit", early.Credit())
	early.SetBootTime(early.now, 99.9, true)
	fmt.Println("credit", early.Credit())
	early.SetBootTime(early.now, 0, false)
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

// Pick gives what is decided while it waits.
func Example_pick() {
	s := open(1, 1000)
	picked := make(chan Job[string])
	go func() {
		job, _ := s.NextJob(context.Background())
		picked <- job
	}()
	s.Arrive(s.now, read, 0, s.now, s.now+4, 20, false, "a", "", nil, "a")
	fmt.Println((<-picked).Request)
	// Output: a
}

// permits lets some RPCs of the first method run at once, and says what it is told.
type permits struct{ most, running, waiting int }

func (p *permits) BlockingLimit(method int) int {
	if method == read && p.running >= p.most {
		return 1
	}
	return 0
}

func (p *permits) AddWaiting(method, n int, criticality float64) { p.waiting += n }
func (p *permits) RunStarted(method int, criticality float64)    { p.running += 1 - method }
func (p *permits) RunEnded(method int, criticality, took float64) {
	p.running -= 1 - method
	fmt.Printf("      over after %.2f; %d run, %d wait\n", took, p.running, p.waiting)
}

// Nothing starts without a permit, which is kept to the end of the run, whoever still waits for it; each is given back once.
func Example_permits() {
	s := open(4, 1000)
	p := &permits{most: 1}
	s.SetPermits(p)
	s.arrive("a", read, "")
	s.arrive("b", read, "")
	s.arrive("c", write, "t")
	s.gone("a") // it goes on until the kernel has stopped it
	s.pass(0.02)
	s.report("a", rpc.Cancelled, "")
	s.pass(0.02)
	s.report("b", rpc.NotStarted, "")
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

// Runs are stopped only where the settings name a way to stop them: a site that names none allows no such command.
func Example_preemption() {
	for _, way := range []rpc.Preemption{"", rpc.NoPreemption, rpc.DiscardOnStop, rpc.FreezeOnStop} {
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
