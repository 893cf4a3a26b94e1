// Package attempt decides for a caller of app servers: where an RPC goes, how many may be out there, whether,
// when and where one is tried again, and when a lost app server is called on again.
//
// A Desk is told what happens, each time with the time in seconds, and leaves what is to be done in Orders. It
// has no clock, no goroutine and no sockets; the client package carries it. It never orders a try of what may
// have run, unless the RPC is idempotent or its token guards it at the app server that had it.
package attempt

// Reach is how far the furthest try of an RPC had come.
type Reach uint8

const (
	NeverSent  Reach = iota // no byte of it left
	PushedBack              // sent, and refused: it never ran
	Sent                    // sent, and nothing tells what came of it
	Ran                     // an app server said that it ran, or may have
)

func (r Reach) String() string { return [...]string{"never sent", "pushed back", "sent", "ran"}[r] }

// Cause is why an RPC ended.
type Cause uint8

const (
	Served   Cause = iota + 1
	Refused        // pushed back, and not to be tried again in time
	Aborted        // the app server gave it up
	Lost           // the connection ended under it
	Late           // its deadline came
	Canceled       // its caller gave it up
	Crowded        // too many wait, and it is among the least worthy
	NoServer       // no app server can be reached before its deadline
	Closed         // the client was closed
)

func (c Cause) String() string {
	return [...]string{"", "ok", "pushed back", "aborted", "connection lost", "deadline passed", "canceled",
		"too many wait", "no app server in reach", "client closed"}[c]
}

// End is the one outcome of an RPC.
type End struct {
	Cause  Cause
	Reach  Reach
	Tries  int
	Server int     // of the last try, -1 if there was none
	Again  bool    // whether the caller may ask for it again without the risk of a second effect
	After  float64 // not before that many seconds; 0 where nothing was said
}

// ID names an RPC in hand. An index comes back for another RPC, its life never does.
type ID struct {
	Index int
	Life  uint32
}

// Do is what is to be done.
type Do uint8

const (
	Send      Do = iota + 1 // write the RPC to the connection
	Interrupt               // tell the app server that nobody waits for this try
	Dial                    // open a connection
	Hang                    // close a connection
	Check                   // write a health check
	Finish                  // tell the caller
	Tell                    // an app server's standing has changed
)

// Order is one thing to do; what does not belong to its kind is zero.
type Order struct {
	Do       Do
	RPC      ID
	Try      int // its number, from 1
	Conn     int
	Server   int
	Again    bool    // with Send: a further try
	Deadline float64 // with Send
	End      End     // with Finish
	Change   Change  // with Tell
}

// Change is what has become of an app server.
type Change uint8

const (
	LeftOut Change = iota + 1 // it failed too often
	LetBack                   // it serves again
	Unmet                     // it cannot be reached
	Met                       // it can again
)

func (c Change) String() string {
	return [...]string{"", "left out", "let back", "not reached", "reached again"}[c]
}

// Terms are the tuned values of a Desk. Zero values get the defaults of New.
type Terms struct {
	Seed      uint64
	Share     float64 // further tries for each first one: 0.1. Below 0 there are none
	Hedge     float64 // seconds after which an idempotent RPC is sent a second time, 0 for never
	Waiting   int     // RPCs that may wait for room: 1024
	Near      int     // app servers to be connected to at once: 8
	Dialing   int     // connects in progress: 4
	Conns     int     // connections to one app server: 4
	First     float64 // first span of reconnects: 0.5
	Most      float64 // longest span of reconnects: 8
	Start     float64 // span of the very first connects, for many that start together: 0
	Idle      float64 // seconds until an idle connection is left: 20
	Period    float64 // seconds between health checks: 5. Below 0 there are none
	Remembers bool    // app servers know their tokens again after a restart
}

// Fixed by the protocol.
const (
	MostOpen = 32   // RPCs open on one connection
	Crossing = 0.05 // a close that an RPC can have crossed
)

const (
	firstCredit = 2.0 // RPCs out at an app server that has said nothing of late: one, and one to compare it with
	creditFor   = 1.0 // seconds for which credit is believed: the platform's own routers do the same
	// checkedWithin is how many seconds an app server that has not said its credit may take to answer a health check.
	checkedWithin = 0.5
	// leastDraw is how many seconds the fraction of a credit stays drawn at the least: an app server that has just come up
	// learns what it can do from the tries that it gets.
	leastDraw = 0.05
	// coldTook is how many seconds a try is taken to take until one was ok at a process, which may be cold.
	coldTook  = 0.25
	mostAway  = 60.0 // seconds of advice to stay away that are believed
	firstRest = 0.05 // span before a further try where no advice was given, doubling with each
	mostRest  = 1.0
	silence   = 5.0 // seconds without a word, with RPCs out, after which a connection is given up
	learn     = 0.1 // weight of a new measurement
)

// Counts are totals since the start.
type Counts struct {
	Asked, Tries, Further, Hedges, Refused, Lost, Served, Dials, DialsFailed, Excluded, Denied uint64
}
