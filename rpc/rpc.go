// Package rpc defines the types that the admission module shares with the code around it: the settings it is started
// with, how runs and calls end, and the actions it can take.
package rpc

// Kind tells whether an RPC may run more than once.
type Kind string

const (
	Idempotent    Kind = "retryable" // may run again
	Tokened       Kind = "dedup"     // a retry is recognised by its token
	NonIdempotent Kind = "fragile"   // must never run twice
)

// Outcome is how a run or a call to the downstream service ended.
type Outcome uint16

const (
	OK             Outcome = 200
	Error          Outcome = 500
	PushedBack     Outcome = 503 // proves that it never ran
	TimedOut       Outcome = 504
	Unreachable    Outcome = 502 // proves that it never ran
	ConnectionLost Outcome = 598 // the connection was lost; it may have run
	Cancelled      Outcome = 499 // the run was stopped
	NotStarted     Outcome = 410 // proves that it never ran
)

// NeverRan reports whether the outcome proves that nothing was run.
func (o Outcome) NeverRan() bool { return o == PushedBack || o == Unreachable || o == NotStarted }

// Preemption is the effect of stopping a running RPC.
type Preemption string

const (
	NoPreemption  Preemption = "none"    // a running RPC cannot be stopped
	DiscardOnStop Preemption = "discard" // the work is discarded
	FreezeOnStop  Preemption = "freeze"  // the work is frozen
)

// CanStop reports whether a running RPC may be stopped. An empty setting allows no stops.
func (p Preemption) CanStop() bool { return p == DiscardOnStop || p == FreezeOnStop }

// Signal is the meaning that callers give to the value passed to Actions.Publish.
type Signal string

const (
	Floor     Signal = "floor"     // the share of pending RPCs that the credit pool does not cover
	Allowance Signal = "allowance" // the credit of each caller, in RPCs
	Weight    Signal = "weight"    // the share of pending RPCs that the credit pool covers
)

// Method holds the settings of one RPC method. Times are in seconds.
type Method struct {
	Kind        Kind
	Target      float64 // latency target
	Deadline    float64 // how long callers wait, 0 if unbounded
	Window      float64 // how long a token is remembered
	Criticality float64
	LateShare   float64 // share of the criticality that a reply past the latency target still has
}

// Settings describes the deployment that an app server is started with.
type Settings struct {
	Methods        []Method
	Machine        Machine
	Rules          Rules
	Tenants        []Tenant
	OverShareWorth float64 // criticality factor of an RPC beyond its tenant's share
	Replicas       int     // number of replicas of this app server
	Clients        struct {
		MarksRetry bool // callers mark their retries
	}
	Ceilings struct {
		RetryAfter    bool    // callers honour a retry-after delay
		MaxRetryAfter float64 // longest such delay in seconds
	}
}

// Tenant is one of the tenants that share the fleet.
type Tenant struct {
	Quota float64 // RPCs per second over the whole fleet
}

// Machine describes the app server itself and the downstream service that it calls. Times are in seconds.
type Machine struct {
	Downstream           string     // kind of downstream service: none, one_for_all or tier
	Callers              int        // expected number of callers
	CallsDownstream      []bool     // by method: whether its RPCs may call the downstream service
	SkipWorth            []float64  // by method: share of the criticality kept without the downstream call
	MaxDownstreamCalls   float64    // concurrent downstream calls; a fraction holds as a mean over the window
	DownstreamCallWindow float64    // window over which that fraction is averaged
	Linger               float64    // how long an abandoned downstream call still counts
	Cold                 bool       // the machine has just started
	Cores                int        // processor cores
	Gauges               []string   // names of the gauges passed at each tick
	KeepAlive            float64    // longest idle time of a connection, 0 if unbounded
	EntryKB              float64    // memory per remembered token
	ResultTTL            float64    // how long the result of an idempotent RPC stays usable for repeats
	MemoryKB             float64    // memory for RPCs and tokens
	RunFactor            float64    // memory of a running RPC, as a multiple of its size
	Preemption           Preemption // effect of stopping a running RPC
	Signal               Signal     // meaning of the published value
}

// Rules holds the parameters of the rules that every app server follows.
type Rules struct {
	OverloadFactor float64 // concurrent RPCs per core that a warm app server survives
	DrainGrace     float64 // seconds after the shutdown notice during which arriving RPCs may still run
	StartCapacity  float64 // share of the full capacity right after a cold start
	RampTime       float64 // seconds from a cold start to full capacity
	// OverloadWindow is the time in seconds over which overload is measured.
	OverloadWindow float64
}

// Values for an arrival that repeats no pending RPC.
const (
	RepeatsNone     = -1 // it repeats no RPC
	RepeatsReleased = -2 // it repeats an RPC that has been released
)

// Actions is everything that the module can do. RPCs are identified by small indices, which may be reused for other
// RPCs after Release.
type Actions interface {
	// BlockingLimit returns the number, from 1, of the limit shared by several app servers that currently keeps RPCs
	// of a method from being started, or 0 if none does.
	BlockingLimit(method int) int
	// Start runs an RPC.
	Start(i int)
	// Stop stops a running RPC.
	Stop(i int)
	// Call sends the downstream call of an RPC with a timeout in seconds.
	Call(i int, timeout float64)
	// Skip continues an RPC without the downstream call that it waits for.
	Skip(i int)
	// PushBack answers that an RPC never ran. noRetry tells the caller to try no other app server; retryAfter is the
	// delay in seconds before it may retry, 0 for none.
	PushBack(i int, noRetry bool, retryAfter float64)
	// Abort answers an RPC without saying whether it ran.
	Abort(i int)
	// Remember keeps the token of an RPC for ttl seconds.
	Remember(i int, ttl float64)
	// Forget drops the token of an RPC that will never run.
	Forget(i int)
	// Follow ends an RPC with the outcome of the RPC that it repeats.
	Follow(i int)
	// Publish sets the value that goes out with every reply; Signal defines its meaning.
	Publish(value float64)
	// Reap sets the idle time in seconds after which connections are closed.
	Reap(idle float64)
	// Health sets the answer to health checks.
	Health(healthy bool)
	// Wake sets the delay in seconds until the next tick.
	Wake(after float64)
	// Log writes a message to the log.
	Log(text string)
	// Release frees the index of an RPC.
	Release(i int)
}
