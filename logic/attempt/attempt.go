// Package attempt decides for a caller of app servers: where an RPC goes, how many may be out there, whether,
// when and where one is tried again, and when a lost app server is called on again.
//
// A Dispatcher takes events, each with the time in seconds, and appends what is to be done to Actions. It has no
// clock, no goroutine and no sockets: those are the client package's. It never sends a further try of what may
// have run, unless the RPC is idempotent or its token guards it at the app server that had it.
package attempt

// Progress is how far the furthest try of an RPC had come.
type Progress uint8

const (
	NeverSent  Progress = iota // no byte of it left
	PushedBack                 // sent, and refused: it never ran
	Sent                       // sent, and its outcome is unknown
	Ran                        // an app server said that it ran, or may have
)

func (r Progress) String() string { return [...]string{"never sent", "pushed back", "sent", "ran"}[r] }

// Cause is why an RPC ended.
type Cause uint8

const (
	Served    Cause = iota + 1
	Refused         // pushed back, and not to be tried again in time
	Aborted         // the app server gave it up
	Lost            // the connection ended under it
	Late            // its deadline came
	Canceled        // its caller gave it up
	QueueFull       // too many wait, and it is among the least worthy
	NoServer        // no app server can be reached before its deadline
	Closed          // the client was closed
)

func (c Cause) String() string {
	return [...]string{"", "ok", "pushed back", "aborted", "connection lost", "deadline passed", "canceled",
		"too many wait", "no app server in reach", "client closed"}[c]
}

// Outcome is the one outcome of an RPC.
type Outcome struct {
	Cause       Cause
	Progress    Progress
	Tries       int
	Server      int     // of the last try, -1 if there was none
	SafeToRetry bool    // whether the caller may ask for it again without the risk of a second effect
	RetryAfter  float64 // not before that many seconds; 0 where nothing was said
}

// ID identifies an open RPC. An index is used again for another RPC, with another generation.
type ID struct {
	Index      int
	Generation uint32
}

// ActionKind is what an action does.
type ActionKind uint8

const (
	Send         ActionKind = iota + 1 // write the RPC to the connection
	Interrupt                          // interrupt this try at the app server: nobody waits for it
	Dial                               // open a connection
	Disconnect                         // close a connection
	CheckHealth                        // write a health check
	Finish                             // return the outcome to the caller
	ReportServer                       // log that an app server's condition has changed
)

// Action is one thing that the caller of a Dispatcher has to do. Fields that its kind does not use are zero.
type Action struct {
	Kind     ActionKind
	RPC      ID
	Try      int // its number, from 1
	Conn     int
	Server   int
	Retry    bool    // with Send: a further try
	Deadline float64 // with Send
	Outcome  Outcome // with Finish
	Change   Change  // with ReportServer
}

// Change is a change in the condition of an app server.
type Change uint8

const (
	Excluded    Change = iota + 1 // it failed too often
	Readmitted                    // it serves again
	Unreachable                   // it cannot be reached
	Reachable                     // it can again
)

func (c Change) String() string {
	return [...]string{"", "left out", "let back", "not reached", "reached again"}[c]
}

// Config holds the tuned values of a Dispatcher. Zero values get the defaults of New.
type Config struct {
	Seed          uint64
	RetryShare    float64 // retries for each first try: 0.1; none if below 0
	HedgeAfter    float64 // seconds after which an idempotent RPC is sent a second time, 0 for never
	MaxWaiting    int     // RPCs that may be queued: 1024
	MaxServers    int     // app servers connected to at once: 8
	MaxDials      int     // connects in progress: 4
	MaxConns      int     // connections to one app server: 4
	FirstBackoff  float64 // seconds over which the first reconnect is spread: 0.5
	MaxBackoff    float64 // most seconds over which a reconnect is spread: 8
	StartSpread   float64 // seconds over which the first connects are spread, for clients that start together: 0
	IdleTimeout   float64 // seconds until an idle connection is closed: 20
	CheckPeriod   float64 // seconds between health checks: 5; none if below 0
	TokensPersist bool    // app servers keep their tokens over a restart
}

// Fixed by the protocol.
const (
	MaxOpen        = 32   // RPCs open on one connection
	CrossingWindow = 0.05 // a close that an RPC can have crossed
)

const (
	defaultCredit  = 2.0 // RPCs out at an app server that has reported no credit lately: one, and one to compare it with
	creditLifetime = 1.0 // seconds for which credit is believed: the platform's own routers do the same
	// firstCheckTimeout is how many seconds an app server that has not reported its credit may take to answer a health check.
	firstCheckTimeout = 0.5
	// minRedrawDelay is the least time in seconds between two draws on the fraction of a credit: an app server that has just come up
	// learns what it can do from the tries that it gets.
	minRedrawDelay = 0.05
	// coldDuration is the assumed duration in seconds of a try at a process that has not served one yet and may be cold.
	coldDuration    = 0.25
	maxRetryAfter   = 60.0 // the longest advice to stay away that is followed, in seconds
	firstRetryDelay = 0.05 // seconds before a retry where no advice was given, doubling with each
	maxRetryDelay   = 1.0
	silenceTimeout  = 5.0 // seconds without an answer, with RPCs open, after which a connection is closed
	averageWeight   = 0.1 // weight of a new measurement
)

// Counts are totals since the start.
type Counts struct {
	Submitted, Tries, Retries, Hedges, Refused, Lost, Served, Dials, DialsFailed, Excluded, RetriesDenied uint64
}
