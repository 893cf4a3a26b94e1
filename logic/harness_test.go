package logic_test

import (
	"fmt"

	"valveglade/logic"
	"valveglade/rpc"
)

// desk plays an app server to a module and prints what the module decides.
type desk struct {
	m       *logic.Module
	now     float64
	cores   float64 // what the gauge of what needs a core reads
	further bool    // arrivals are marked as further tries
	credits bool    // print the credit too
	credit  float64 // said last
	shown   string  // the credit printed last
	quiet   bool    // print nothing
	reaps   bool    // print when idle connections are closed, and nothing else
	short   int     // method that a common limit keeps from starting, plus one; 0 for none
	onStart func(i int)
}

const (
	read  = iota // idempotent, criticality 1
	write        // tokened, criticality 3
	page         // non-idempotent, criticality 4, may call below
)

// open starts a module with two cores and two callers; change may be nil.
func open(change func(c *rpc.Settings)) *desk {
	c := rpc.Settings{
		Methods: []rpc.Method{
			{Kind: rpc.Idempotent, Target: 1.2, Deadline: 4, Criticality: 1},
			{Kind: rpc.Tokened, Target: 2.4, Deadline: 8, Window: 10, Criticality: 3, LateShare: 0.2},
			{Kind: rpc.NonIdempotent, Target: 2.4, Deadline: 8, Criticality: 4},
		},
		Machine: rpc.Machine{Below: "one_for_all", Callers: 2, Calls: []bool{false, false, true}, CallsOut: 1,
			CallsSpan: 5, Linger: 0.2, Cores: 2, Gauges: []string{"heap_share", "on_cores"}, EntryKB: 10, KeepAlive: 30,
			MemoryKB: 4000, RunFactor: 4, Preemption: rpc.Freezes, Signal: rpc.Allowance},
		Rules: rpc.Rules{Crowd: 5, Grace: 1, ColdAt: 0.2, WarmIn: 10},
	}
	c.Ceilings.RetryAfter, c.Ceilings.MaxRetryAfter = true, 1
	if change != nil {
		change(&c)
	}
	d := &desk{now: 100, cores: 2}
	d.m = logic.New(d.now, c, d)
	return d
}

func (d *desk) arrive(i, method int)         { d.arriveAs(i, method, 0, 0, rpc.None) }
func (d *desk) repeat(i, method, of int)     { d.arriveAs(i, method, 0, 0, of) }
func (d *desk) ended(i int, how rpc.Outcome) { d.m.Ended(d.now, i, how, 0.3) }
func (d *desk) say(format string, args ...any) {
	if !d.reaps && !d.quiet {
		fmt.Printf("%6.2f "+format+"\n", append([]any{d.now - 100}, args...)...)
	}
}

func (d *desk) arriveAs(i, method, from int, lay float64, repeats int) {
	d.m.Arrive(d.now, i, method, from, 0, lay, d.further, true, 0, 20, repeats)
}

// pass lets time go by, a look at a time.
func (d *desk) pass(seconds float64) {
	for end := d.now + seconds - 1e-9; d.now < end; {
		d.now += 0.02
		d.m.Tick(d.now, []float64{0, d.cores})
	}
}

func (d *desk) Short(method int) int {
	if method+1 == d.short {
		return 1
	}
	return 0
}
func (d *desk) Start(i int) {
	d.say("start %d", i)
	if d.onStart != nil {
		d.onStart(i)
	}
}
func (d *desk) Stop(i int)                { d.say("stop %d", i) }
func (d *desk) Call(i int, p float64)     { d.say("call %d, patience %.2f", i, p) }
func (d *desk) Skip(i int)                { d.say("skip %d's call", i) }
func (d *desk) Abort(i int)               { d.say("abort %d", i) }
func (d *desk) Remember(i int, s float64) { d.say("remember %d for %.2f", i, s) }
func (d *desk) Forget(i int)              { d.say("forget %d", i) }
func (d *desk) Follow(i int)              { d.say("follow %d", i) }
func (d *desk) Health(good bool)          { d.say("health %v", good) }
func (d *desk) Log(text string)           { d.say("log %s", text) }
func (d *desk) Wake(float64)              {}
func (d *desk) Release(int)               {}
func (d *desk) Reap(idle float64) {
	if d.reaps {
		fmt.Printf("%6.2f close idle connections after %.2f\n", d.now-100, idle)
	}
}
func (d *desk) Publish(v float64) {
	d.credit = v
	if shown := fmt.Sprintf("credit %.1f", v); d.credits && shown != d.shown {
		d.shown = shown
		d.say("%s", shown)
	}
}
func (d *desk) PushBack(i int, last bool, after float64) {
	d.say("push back %d, last %v, after %.2f", i, last, after)
}
