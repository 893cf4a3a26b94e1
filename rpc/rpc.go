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
	OK          Outcome = 200
	Error       Outcome = 500
	PushedBack  Outcome = 503 // proves that it never ran
	TimedOut    Outcome = 504
	Unreachable Outcome = 502 // proves that it never ran
	Cut         Outcome = 598
	Cancelled   Outcome = 499
	Moot        Outcome = 410 // proves that it never ran
)

// NeverRan tells whether the outcome proves that nothing was run.
func (o Outcome) NeverRan() bool { return o == PushedBack || o == Unreachable || o == Moot }

// Preemption says what stopping a running RPC does.
type Preemption string

const (
	Unstoppable Preemption = "none"
	Discards    Preemption = "discard"
	Freezes     Preemption = "freeze"
)

// Stops tells whether a running RPC may be stopped. Left out, the word names no way to do it.
func (p Preemption) Stops() bool { return p == Discards || p == Freezes }

// Signal says what callers make of the published value.
type Signal string

const (
	Floor     Signal = "floor"
	Allowance Signal = "allowance"
	Weight    Signal = "weight"
)

// Method is one method of RPC.
type Method struct {
	Kind        Kind    `json:"idempotency"`
	Target      float64 `json:"onTimeS"`
	Deadline    float64 `json:"deadlineS"`
	Window      float64 `json:"windowS"`
	Criticality float64 `json:"worth"`
	LateShare   float64 `json:"lateWorth"`
}

// Settings is the deployment that an app server is started with.
type Settings struct {
	Methods        []Method `json:"profiles"`
	Machine        Machine  `json:"domain"`
	Rules          Rules    `json:"rules"`
	Tenants        []Tenant `json:"accounts"`
	OverShareWorth float64  `json:"overShareWorth"` // of an RPC past its tenant's share
	Replicas       int      `json:"replicasOfMe"`
	Clients        struct {
		MarksRetry bool `json:"marksRetry"`
	} `json:"clients"`
	Ceilings struct {
		RetryAfter    bool    `json:"retryAfter"`
		MaxRetryAfter float64 `json:"maxRetryAfterS"`
	} `json:"ceilings"`
}

// Tenant is one of those that share the fleet.
type Tenant struct {
	Quota float64 `json:"quotaRps"` // RPCs a second over the whole fleet
}

// Machine is the app server itself and what it calls.
type Machine struct {
	Below      string     `json:"below"`
	Callers    int        `json:"callers"`
	Calls      []bool     `json:"callsByClass"`
	SkipWorth  []float64  `json:"classSkipWorth"`
	CallsOut   float64    `json:"callsOut"`
	CallsSpan  float64    `json:"shareSpanS"`
	Linger     float64    `json:"lingerS"`
	Cold       bool       `json:"justStarted"`
	Cores      int        `json:"nCores"`
	Gauges     []string   `json:"ownStats"`
	KeepAlive  float64    `json:"keepaliveMaxS"`
	EntryKB    float64    `json:"entryKb"`
	Fresh      float64    `json:"freshS"`
	MemoryKB   float64    `json:"memoryKb"`
	RunFactor  float64    `json:"runFactor"`
	Preemption Preemption `json:"preemption"`
	Signal     Signal     `json:"signal"`
}

// Rules are the figures of the rules that each app server keeps.
type Rules struct {
	Crowd  float64 `json:"overloadFactor"`
	Grace  float64 `json:"stopSendingWithinS"`
	ColdAt float64 `json:"startCapacity"`
	WarmIn float64 `json:"rampTimeS"`
	// CrowdSpan is the time in seconds over which a crowd counts.
	CrowdSpan float64 `json:"fallS"`
}

// What an arrival may repeat, besides an RPC that is still in hand.
const (
	None = -1 // it repeats nothing
	Gone = -2 // it repeats one that has been let go
)

// Actions is all that the module can do. RPCs are named by small indices;
// after Release an index may come back for another RPC.
type Actions interface {
	// Short tells which limit common to several app servers, from 1, keeps RPCs of a method from being started now; 0 if none.
	Short(method int) int
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
