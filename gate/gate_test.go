package gate

import (
	"context"
	"fmt"

	"valveglade/rpc"
)

// Methods of the test settings.
const (
	read  = iota // idempotent
	write        // tokened
)

// harness acts as the network code of a gate. It prints the jobs that NextJob returns, and identifies RPCs by name.
type harness struct {
	*Gate[string]
	now float64
	ids map[string]ID
}

func newHarness(cores, resultLimit int) *harness {
	return newHarnessWith(cores, resultLimit, func(*rpc.Settings) {})
}

func newHarnessWith(cores, resultLimit int, change func(settings *rpc.Settings)) *harness {
	settings := rpc.Settings{
		Methods: []rpc.Method{
			{Kind: rpc.Idempotent, Target: 1.2, Deadline: 4, Criticality: 1},
			{Kind: rpc.Tokened, Target: 2.4, Deadline: 8, Window: 10, Criticality: 3, LateShare: 0.2},
		},
		Machine: rpc.Machine{Callers: 2, Cores: cores, EntryKB: 10, MemoryKB: 4000, RunFactor: 4, KeepAlive: 30,
			Preemption: rpc.FreezeOnStop, Signal: rpc.Allowance},
		Rules: rpc.Rules{OverloadFactor: 5, DrainGrace: 1},
	}
	change(&settings)
	return &harness{Gate: New[string](100, settings, resultLimit), now: 100, ids: map[string]ID{}}
}

func (h *harness) arrive(name string, method int, token string) {
	h.arriveAt(name, method, h.now, token, "body")
}

func (h *harness) arriveAt(name string, method int, arrivedAt float64, token, body string) {
	var ok bool
	if h.ids[name], ok = h.Arrive(h.now, method, 0, arrivedAt, h.now+4, 20, false, name, token, []byte(body), name); !ok {
		fmt.Printf("%5.2f %s: rejected\n", h.now-100, name)
	}
	h.printJobs()
}

func (h *harness) report(name string, outcome rpc.Outcome, result string) {
	h.Report(h.now, h.ids[name], outcome, 0.3, []byte(result))
	h.printJobs()
}

func (h *harness) callerGone(name string) {
	h.CallerGone(h.now, h.ids[name])
	h.printJobs()
}

func (h *harness) advance(seconds float64) {
	for end := h.now + seconds - 1e-9; h.now < end; {
		h.now += h.Tick(h.now+0.02, nil)
		h.printJobs()
	}
}

// printJobs prints the jobs that are ready.
func (h *harness) printJobs() {
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	for {
		job, err := h.NextJob(cancelled)
		if err != nil {
			return
		}
		fmt.Printf("%5.2f %s: ", h.now-100, job.Request)
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

// An RPC gets a single reply, in whatever order its outcome, the end of its caller and a second outcome arrive.
func Example_singleReply() {
	h := newHarness(2, 1000)
	h.arrive("a", read, "")
	h.report("a", rpc.OK, "1")
	h.report("a", rpc.OK, "again")
	h.arrive("b", read, "")
	h.callerGone("b")
	h.report("b", rpc.Cancelled, "")
	h.arrive("c", read, "")
	h.report("c", rpc.Error, "")
	h.callerGone("c")
	h.arrive("d", read, "")
	h.callerGone("a") // the index of a now belongs to d
	h.report("d", rpc.NotStarted, "")
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

// An RPC with the uid of a pending one is rejected; once that one has ended, the uid is free again.
func Example_uids() {
	h := newHarness(1, 1000)
	h.arrive("a", read, "")
	h.arrive("a", read, "")
	h.ids["a"] = ID{0, 1}
	h.report("a", rpc.OK, "1")
	h.arrive("a", read, "")
	// Output:
	//  0.00 a: run
	//  0.00 a: rejected
	//  0.00 a: ok "1"
	//  0.00 a: run
}

// Routers come back under new numbers again and again. The table stays bounded, a number in use keeps its index, and
// the others do not share one record, which would multiply the credit.
func Example_callerNumbers() {
	h := newHarness(2, 1000)
	send := func(callerNumber int) ID {
		id, _ := h.Arrive(h.now, read, callerNumber, h.now, h.now+4, 20, false, fmt.Sprint(callerNumber), "", nil, "")
		h.now += 0.001
		return id
	}
	busy := send(7)
	for number := 100; number < 100+3*maxCallers; number++ {
		h.Report(h.now, send(number), rpc.OK, 0.1, nil)
	}
	h.Report(h.now, send(100), rpc.OK, 0.1, nil)
	fmt.Println(len(h.callerIndexes), len(h.callerRecords), h.callerRecords[h.callerIndexes[7]],
		h.callerRecords[h.callerIndexes[100]].pending)
	h.Report(h.now, busy, rpc.OK, 0.1, nil)
	fmt.Println(h.callerRecords[h.callerIndexes[7]].pending)
	// Output:
	// 1024 1024 {7 1 100} 0
	// 0
}

// While draining, every RPC is answered before the stop, including a repeat whose outcome is still to come.
func Example_drain() {
	h := newHarness(1, 1000)
	h.arrive("a1", write, "t")
	h.arrive("a2", write, "t")
	h.arrive("b", read, "")
	h.Drain(h.now, h.now+1.5)
	h.printJobs()
	fmt.Println("healthy", h.Healthy(), "credit", h.Credit())
	h.advance(1.1)
	fmt.Println("credit", h.Credit())
	h.arrive("late", read, "")
	h.report("a1", rpc.OK, "done")
	// Output:
	//  0.00 a1: run
	// healthy false credit 0.03125
	//  0.98 a1: aborted
	//  0.98 a2: aborted
	//  0.98 b: pushed back
	// credit 0
	//  1.10 late: pushed back
}

// The kernel reports when the machine came up. A module without RPCs starts at that time; one with RPCs continues, and
// knows from then on that the machine is cold. Only the first report counts, as a new kernel link repeats it.
func Example_bootTime() {
	h := newHarness(2, 1000)
	fmt.Println("booted", h.Booted(), "credit", h.Credit())
	h.SetBootTime(h.now, 99, true)
	h.arrive("a", read, "")
	h.SetBootTime(h.now, 100, true)
	h.report("a", rpc.OK, "1")
	fmt.Println("booted", h.Booted(), "credit", h.Credit())

	early := newHarnessWith(2, 1000, func(settings *rpc.Settings) {
		settings.Rules.StartCapacity, settings.Rules.RampTime, settings.Machine.Cores = 0.25, 100, 8
	})
	early.arrive("b", read, "")
	fmt.Println("credit", early.Credit())
	early.SetBootTime(early.now, 99.9, true)
	fmt.Println("credit", early.Credit())
	early.SetBootTime(early.now, 0, false)
	early.advance(1)
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

// NextJob returns a job that is decided while it waits.
func Example_nextJob() {
	h := newHarness(1, 1000)
	picked := make(chan Job[string])
	go func() {
		job, _ := h.NextJob(context.Background())
		picked <- job
	}()
	h.Arrive(h.now, read, 0, h.now, h.now+4, 20, false, "a", "", nil, "a")
	fmt.Println((<-picked).Request)
	// Output: a
}

// fakePermits limits the concurrent runs of read, method 0, and prints each end of a run. Runs of write, method 1, are
// not counted.
type fakePermits struct {
	limit   int // on concurrent runs of read
	running int // runs of read
	waiting int
}

func (p *fakePermits) BlockingLimit(method int) int {
	if method == read && p.running >= p.limit {
		return 1
	}
	return 0
}

func (p *fakePermits) AddWaiting(method, n int, criticality float64) { p.waiting += n }
func (p *fakePermits) RunStarted(method int, criticality float64)    { p.running += 1 - method }
func (p *fakePermits) RunEnded(method int, criticality, took float64) {
	p.running -= 1 - method
	fmt.Printf("      ended after %.2f; %d run, %d wait\n", took, p.running, p.waiting)
}

// No RPC starts without a permit. The permit is held until the run ends, even if the caller is gone, and is returned
// once.
func Example_permits() {
	h := newHarness(4, 1000)
	p := &fakePermits{limit: 1}
	h.SetPermits(p)
	h.arrive("a", read, "")
	h.arrive("b", read, "")
	h.arrive("c", write, "t")
	h.callerGone("a") // the run continues until the kernel has stopped it
	h.advance(0.02)
	h.report("a", rpc.Cancelled, "")
	h.advance(0.02)
	h.report("b", rpc.NotStarted, "")
	h.report("c", rpc.OK, "1")
	fmt.Printf("%d run, %d wait\n", p.running, p.waiting)
	// Output:
	//  0.00 a: run
	//  0.00 c: run
	//  0.00 a: pause
	//       ended after 0.30; 0 run, 1 wait
	//  0.02 b: run
	//       ended after 0.00; 0 run, 0 wait
	//  0.04 b: aborted
	//       ended after 0.30; 0 run, 0 wait
	//  0.04 c: ok "1"
	// 0 run, 0 wait
}

// Runs are stopped only if the settings give a way to stop them; without one the kernel allows no such command.
func Example_preemption() {
	for _, preemption := range []rpc.Preemption{"", rpc.NoPreemption, rpc.DiscardOnStop, rpc.FreezeOnStop} {
		h := newHarnessWith(1, 1000, func(settings *rpc.Settings) { settings.Machine.Preemption = preemption })
		fmt.Printf("%q\n", preemption)
		h.arrive("a", read, "")
		h.arrive("b", read, "")
		h.advance(1.3) // the latency target of a is over, b waits
		h.callerGone("a")
		h.arrive("c", write, "t")
		h.callerGone("c")
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
