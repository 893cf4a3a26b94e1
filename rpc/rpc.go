// Package rpc is the vocabulary that the decision module shares with whatever
// carries it: what is told at start, how work ends, and what can be done.
package rpc

// Kind says whether an RPC may run again.
type Kind string

const (
	Idempotent    Kind = "retryable" // may run again
	Tokened       Kind = "dedup"     // a repeat is known by its token
	NonIdempotent Kind = "fragile"   // must never run twice
)

// Outcome is how a run or a call ended.
type Outcome uint16

const (
	OK             Outcome = 200
	Error          Outcome = 500
	PushedBack     Outcome = 503 // proves that it never ran
	TimedOut       Outcome = 504
	Unreachable    Outcome = 502 // proves that it never ran
	ConnectionLost Outcome = 598
	Cancelled      Outcome = 499
	NotStarted     Outcome = 410 // proves that it never ran
)

// NeverRan tells whether the outcome proves that nothing was run.
func (o Outcome) NeverRan() bool { return o == PushedBack || o == Unreachable || o == NotStarted }

// Preemption says what stopping a running RPC does.
type Preemption string

const (
	NoPreemption  Preemption = "none"
	DiscardOnStop Preemption = "discard"
	FreezeOnStop  Preemption = "freeze"
)

// CanStop tells whether a running RPC may be stopped. Left out, the word names no way to do it.
func (p Preemption) CanStop() bool { return p == DiscardOnStop || p == FreezeOnStop }

// Signal says what callers make of the published value.
type Signal string

const (
	Floor     Signal = "floor"
	Allowance Signal = "allowance"
	Weight    Signal = "weight"
)

// Method is one method of RPC.
type Method struct {
	Kind        Kind
	Target      float64
	Deadline    float64
	Window      float64
	Criticality float64
	LateShare   float64
}

// Settings is the deployment that an app server is started with.
type Settings struct {
	Methods        []Method
	Machine        Machine
	Rules          Rules
	Tenants        []Tenant
	OverShareWorth float64 // of an RPC past its tenant's share
	Replicas       int
	Clients        struct {
		MarksRetry bool
	}
	Ceilings struct {
		RetryAfter    bool
		MaxRetryAfter float64
	}
}

// Tenant is one of those that share the fleet.
type Tenant struct {
	Quota float64 // RPCs a second over the whole fleet
}

// Machine is the app server itself and what it calls.
type Machine struct {
	Downstream           string
	Callers              int
	CallsDownstream      []bool
	SkipWorth            []float64
	MaxDownstreamCalls   float64
	DownstreamCallWindow float64
	Linger               float64
	Cold                 bool
	Cores                int
	Gauges               []string
	KeepAlive            float64
	EntryKB              float64
	ResultTTL            float64
	MemoryKB             float64
	RunFactor            float64
	Preemption           Preemption
	Signal               Signal
}

// Rules are the figures of the rules that each app server keeps.
type Rules struct {
	OverloadFactor float64
	DrainGrace     float64
	StartCapacity  float64
	RampTime       float64
	// OverloadWindow is the time in seconds over which a crowd counts.
	OverloadWindow float64
}

// What an arrival may repeat, besides an RPC that is still in hand.
const (
	RepeatsNone     = -1 // it repeats nothing
	RepeatsReleased = -2 // it repeats one that has been let go
)

// Actions is all that the module can do. RPCs are named by small indices;
// after Release an index may come back for another RPC.
type Actions interface {
	// BlockingLimit tells which limit common to several app servers, from 1, keeps RPCs of a method from being started now; 0 if none.
	BlockingLimit(method int) int
	Start(i int)
	Stop(i int)
	Call(i int, patience float64)
	// Skip lets an RPC go on without the call that it waits for.
	Skip(i int)
	PushBack(i int, last bool, after float64)
	Abort(i int)
	Remember(i int, span float64)
	Forget(i int)
	Follow(i int)
	Publish(value float64)
	Reap(idle float64)
	Health(good bool)
	Wake(after float64)
	Log(text string)
	Release(i int)
}
