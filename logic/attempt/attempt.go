// Package attempt implements the decisions of a client of app servers: which app server receives an RPC, how
// many RPCs may be in flight there, whether, when and where a failed RPC is retried, and when to reconnect.
//
// A Dispatcher takes events, each with the time in seconds, and appends the resulting work to Actions. It has
// no clock, goroutines or sockets; package client provides those. An RPC that may have run is retried only if
// it is idempotent, or if it carries a token and goes to the same app server process, which recognizes the
// token.
package attempt

// Progress is the furthest stage that any try of an RPC reached.
type Progress uint8

const (
	NeverSent  Progress = iota // no byte was written
	PushedBack                 // sent and rejected: it did not run
	Sent                       // sent, outcome unknown
	Ran                        // an app server reported that it ran or may have run
)

func (p Progress) String() string { return [...]string{"never sent", "pushed back", "sent", "ran"}[p] }

// Cause is the reason why an RPC or one of its tries ended.
type Cause uint8

const (
	Served    Cause = iota + 1
	Refused         // pushed back; of a whole RPC: without time for a retry before its deadline
	Aborted         // the app server gave it up; it may have run
	Lost            // the connection ended while it was in flight
	Late            // its deadline passed
	Canceled        // its caller canceled it
	QueueFull       // the queue was full, and it was the last in it by criticality and arrival
	NoServer        // no app server can be reached before its deadline
	Closed          // the client was closed
)

func (c Cause) String() string {
	return [...]string{"", "ok", "pushed back", "aborted", "connection lost", "deadline passed", "canceled",
		"queue full", "no app server reachable", "client closed"}[c]
}

// Outcome is the final result of an RPC; each RPC has exactly one.
type Outcome struct {
	Cause       Cause
	Progress    Progress
	Tries       int
	Server      int     // index of the app server of the last try, -1 if there was none
	SafeToRetry bool    // the caller may submit it again without the risk of a second effect
	RetryAfter  float64 // seconds to wait before submitting it again; 0 if none were given
}

// ID identifies an open RPC. An index is reused for later RPCs, each with another generation.
type ID struct {
	Index      int
	Generation uint32
}

// ActionKind is the kind of work that an Action asks for.
type ActionKind uint8

const (
	Send         ActionKind = iota + 1 // write the RPC to the connection
	Interrupt                          // interrupt a try at the app server: its RPC no longer needs it
	Dial                               // open a connection
	Disconnect                         // close a connection
	CheckHealth                        // write a health check
	Finish                             // return the outcome to the caller
	ReportServer                       // log a change in the state of an app server
)

// Action is one piece of work for the user of a Dispatcher. Fields that its kind does not use are zero.
type Action struct {
	Kind     ActionKind
	RPC      ID
	Try      int     // number of the try, from 1
	Conn     int     // index of the connection
	Server   int     // index of the app server
	Retry    bool    // with Send: a retry of what was sent before, or a hedge
	Deadline float64 // with Send
	Outcome  Outcome // with Finish
	Change   Change  // with ReportServer
}

// Change is a change in the state of an app server.
type Change uint8

const (
	Excluded    Change = iota + 1 // it failed too often and receives no RPCs for a time
	Readmitted                    // it receives RPCs again
	Unreachable                   // several connects in a row failed
	Reachable                     // it answered after being unreachable
)

func (c Change) String() string {
	return [...]string{"", "left out", "let back", "not reached", "reached again"}[c]
}

// Config holds the settings of a Dispatcher. New replaces zero values by the defaults given after the colons.
type Config struct {
	Seed          uint64
	RetryShare    float64 // retries allowed for each first try: 0.1; no retries if negative
	HedgeAfter    float64 // seconds in flight after which an idempotent RPC is hedged: 0, never
	MaxWaiting    int     // RPCs that may be queued: 1024
	MaxServers    int     // app servers in use at once: 8
	MaxDials      int     // connects in progress at once: 4
	MaxConns      int     // connections for RPCs to one app server: 4
	FirstBackoff  float64 // seconds over which the first reconnect is spread: 0.5
	MaxBackoff    float64 // maximum seconds over which a reconnect is spread: 8
	StartSpread   float64 // seconds over which first connects are spread when many clients start at once: 0
	IdleTimeout   float64 // seconds until an idle connection is closed: 20
	CheckPeriod   float64 // mean seconds between health checks: 5; no health checks if negative
	TokensPersist bool    // app servers keep their tokens over a restart
}

// Limits fixed by the protocol.
const (
	MaxOpen = 32 // RPCs in flight on one connection

	// CrossingWindow is the time in seconds within which an RPC can have crossed the close of an idle
	// connection.
	CrossingWindow = 0.05
)

const (
	// defaultCredit is the number of RPCs in flight allowed at an app server without a recent credit: one,
	// and a second to compare it with.
	defaultCredit = 2.0
	// creditLifetime is how long a reported credit is used, in seconds, as in the platform's own routers.
	creditLifetime = 1.0
	// firstCheckTimeout is how long, in seconds, RPCs wait for a health check to return the first credit.
	firstCheckTimeout = 0.5
	// minRedrawDelay is the minimum time in seconds between two draws on the fraction of a credit. It is
	// short, as an app server that has just started learns its capacity from the tries that it receives.
	minRedrawDelay = 0.05
	// coldDuration is the assumed duration in seconds of a try at a process that has served none yet and may
	// be cold.
	coldDuration = 0.25
	// maxRetryAfter limits the retry-after delay of an app server, in seconds.
	maxRetryAfter = 60.0
	// firstRetryDelay is the range in seconds of the jittered delay before a first retry without a
	// retry-after delay. It doubles with each try, up to maxRetryDelay.
	firstRetryDelay = 0.05
	maxRetryDelay   = 1.0
	// silenceTimeout is the time in seconds after which a connection with RPCs in flight is closed if it
	// receives nothing.
	silenceTimeout = 5.0
	// averageWeight is the weight of a new measurement in a moving average.
	averageWeight = 0.1
)

// Counts are totals since the start.
type Counts struct {
	Submitted     uint64 // RPCs submitted
	Tries         uint64 // tries sent, first ones and retries
	Retries       uint64 // retries of what was sent before, hedges included
	Hedges        uint64 // second tries of RPCs that were still in flight
	Refused       uint64 // tries pushed back
	Lost          uint64 // connections that ended with RPCs in flight or by a protocol error
	Served        uint64 // RPCs that ended ok
	Dials         uint64 // connects started
	DialsFailed   uint64 // connects failed
	Exclusions    uint64 // exclusions of app servers
	RetriesDenied uint64 // retries that the budget did not allow
}
