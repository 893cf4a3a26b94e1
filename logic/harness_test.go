package logic_test

import (
	"fmt"

	"valveglade/logic"
	"valveglade/rpc"
)

// harness drives a module by hand and prints the actions that the module takes.
type harness struct {
	m             *logic.Module
	now           float64
	onCores       float64 // value of the on_cores gauge
	markRetries   bool    // arrivals are marked as retries
	printCredit   bool
	credit        float64 // last published value
	printedCredit string
	quiet         bool // print nothing

	onlyIdleTimeouts bool // print only when idle connections are closed
	limitedMethod    int  // method that a shared limit keeps from starting, plus one; 0 for none
	onStart          func(i int)
}

const (
	read  = iota // idempotent, criticality 1
	write        // tokened, criticality 3
	page         // non-idempotent, criticality 4, may call a dependency
)

// newHarness starts a module with two cores and two callers. change, which may be nil, adjusts its
// settings.
func newHarness(change func(settings *rpc.Settings)) *harness {
	settings := rpc.Settings{
		Methods: []rpc.Method{
			{Kind: rpc.Idempotent, Target: 1.2, Deadline: 4, Criticality: 1},
			{Kind: rpc.Tokened, Target: 2.4, Deadline: 8, Window: 10, Criticality: 3, LateShare: 0.2},
			{Kind: rpc.NonIdempotent, Target: 2.4, Deadline: 8, Criticality: 4},
		},
		Machine: rpc.Machine{Downstream: "one_for_all", Callers: 2, CallsDownstream: []bool{false, false, true},
			MaxDownstreamCalls: 1, DownstreamCallWindow: 5, Linger: 0.2, Cores: 2,
			Gauges:  []string{"heap_share", "on_cores"},
			EntryKB: 10, KeepAlive: 30,
			MemoryKB: 4000, RunFactor: 4, Preemption: rpc.FreezeOnStop, Signal: rpc.Allowance},
		Rules: rpc.Rules{OverloadFactor: 5, DrainGrace: 1, StartCapacity: 0.2, RampTime: 10},
	}
	settings.Ceilings.RetryAfter, settings.Ceilings.MaxRetryAfter = true, 1
	if change != nil {
		change(&settings)
	}
	h := &harness{now: 100, onCores: 2}
	h.m = logic.New(h.now, settings, h)
	return h
}

func (h *harness) arrive(i, method int)           { h.arriveFrom(i, method, 0, 0, rpc.RepeatsNone) }
func (h *harness) arriveRepeat(i, method, of int) { h.arriveFrom(i, method, 0, 0, of) }
func (h *harness) end(i int, outcome rpc.Outcome) { h.m.Ended(h.now, i, outcome, 0.3) }
func (h *harness) printEvent(format string, args ...any) {
	if !h.onlyIdleTimeouts && !h.quiet {
		fmt.Printf("%6.2f "+format+"\n", append([]any{h.now - 100}, args...)...)
	}
}

func (h *harness) arriveFrom(i, method, caller int, readDelay float64, repeatOf int) {
	h.m.Arrive(h.now, i, method, caller, 0, readDelay, h.markRetries, true, 0, 20, repeatOf)
}

// advance lets time pass, one tick every 20 ms.
func (h *harness) advance(seconds float64) {
	for end := h.now + seconds - 1e-9; h.now < end; {
		h.now += 0.02
		h.m.Tick(h.now, []float64{0, h.onCores})
	}
}

func (h *harness) BlockingLimit(method int) int {
	if method+1 == h.limitedMethod {
		return 1
	}
	return 0
}
func (h *harness) Start(i int) {
	h.printEvent("start %d", i)
	if h.onStart != nil {
		h.onStart(i)
	}
}
func (h *harness) Stop(i int)                  { h.printEvent("stop %d", i) }
func (h *harness) Call(i int, timeout float64) { h.printEvent("call %d, timeout %.2f", i, timeout) }
func (h *harness) Skip(i int)                  { h.printEvent("skip %d's call", i) }
func (h *harness) Abort(i int)                 { h.printEvent("abort %d", i) }
func (h *harness) Remember(i int, ttl float64) { h.printEvent("remember %d for %.2f", i, ttl) }
func (h *harness) Forget(i int)                { h.printEvent("forget %d", i) }
func (h *harness) Follow(i int)                { h.printEvent("follow %d", i) }
func (h *harness) Health(healthy bool)         { h.printEvent("health %v", healthy) }
func (h *harness) Log(text string)             { h.printEvent("log %s", text) }
func (h *harness) Wake(float64)                {}
func (h *harness) Release(int)                 {}
func (h *harness) Reap(idle float64) {
	if h.onlyIdleTimeouts {
		fmt.Printf("%6.2f close idle connections after %.2f\n", h.now-100, idle)
	}
}
func (h *harness) Publish(value float64) {
	h.credit = value
	if text := fmt.Sprintf("credit %.1f", value); h.printCredit && text != h.printedCredit {
		h.printedCredit = text
		h.printEvent("%s", text)
	}
}
func (h *harness) PushBack(i int, last bool, after float64) {
	h.printEvent("push back %d, last %v, after %.2f", i, last, after)
}
