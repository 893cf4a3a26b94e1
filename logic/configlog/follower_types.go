package configlog

// FollowerConfig is the configuration of a follower. Times are in seconds.
type FollowerConfig struct {
	Name           string
	Services       []string // services of the app server
	All            bool     // all services instead of Services; set in a distributor
	Distributors   []string
	BytesPerSecond float64 // requested of the distributor; 0 for its own limit
	StaleAfter     float64 // age above which Status reports Stale
	SilentAfter    float64 // time without a message after which the connection is closed
	BackoffMin     float64 // delay before the first retry of a connection; doubles with each failure
	BackoffMax     float64 // upper limit of the retry delay
	Seed           uint64  // different at each start, as subscription numbers and the jitter derive from it
	MaxLookups     int     // limit of lookups without a reply
	Disabled       Rule    // none in production
}

// FollowerState is the progress of a connection and its subscription. Only setState changes it.
type FollowerState uint8

// The states of a follower.
const (
	FollowerDisconnected FollowerState = iota // waits for the retry delay, or for the connection
	FollowerSubscribing                       // connected, waits for the Welcome
	FollowerSnapshot                          // receives the parts of a snapshot
	FollowerFollowing                         // receives deltas and heartbeats
)

var followerStates = [...]string{"disconnected", "subscribing", "snapshot", "following"}

func (s FollowerState) String() string { return followerStates[s] }

// Counts counts what was applied, and the rejected messages by reason. Rejected messages are never
// applied.
type Counts struct {
	Applied   uint64 // entries
	Snapshots uint64 // snapshots that replaced the table

	Gaps       uint64 // messages or entries after a missing one
	Duplicates uint64 // messages and lookup replies received before
	Reordered  uint64 // messages that arrived after they were reported as a gap
	Stale      uint64 // messages of an earlier subscription, and entries at or below the version
	StaleTerms uint64 // messages of a distributor that follows a stale leader
	Malformed  uint64 // messages that violate the protocol

	Connects    uint64 // attempts to connect
	Disconnects uint64 // connections that ended, and failed attempts
}

// Status is a snapshot of the state of a follower.
type Status struct {
	Version     Version
	Age         float64 // seconds since it was last known to be up to date; +Inf for never
	Stale       bool
	Distributor string
	State       FollowerState
	Counts      Counts
}

// Action is an instruction to the caller: one of Connect, Send, Close, Apply, Stage, Discard, Replace,
// Invalidate, StatusChanged, LookupDone. Actions are carried out in order.
type Action interface{ action() }

// Connect opens a connection. The caller reports the outcome by Connected or Disconnected.
type Connect struct{ Distributor string }

// Send sends a message to the distributor.
type Send struct{ Message StreamMessage }

// Close closes the connection or cancels the attempt. The caller does not report it by Disconnected.
type Close struct{ Reason CloseReason }

// Apply applies entries to the table, in order, after which the table is at Version. Without entries only
// the version changes.
type Apply struct {
	Entries []Entry
	Version Version
}

// Stage keeps records of a snapshot beside the table. First is set in the first part: records staged
// before are removed.
type Stage struct {
	Records []Change
	First   bool
}

// Discard removes the staged records.
type Discard struct{}

// Replace replaces the whole table by the staged records.
type Replace struct{ Version Version }

// Invalidate reports that an entry below the table's version may be missing: after a restart the follower
// must not resume from a file of this table. The table stays in use until a snapshot replaces it.
type Invalidate struct{}

// StatusChanged reports a change of the state, or of Stale.
type StatusChanged struct{ Status Status }

// LookupDone is the outcome of the lookup with the same ID.
type LookupDone struct {
	ID    uint64
	Reply LookupReply
	Err   error
}

func (Connect) action()       {}
func (Send) action()          {}
func (Close) action()         {}
func (Apply) action()         {}
func (Stage) action()         {}
func (Discard) action()       {}
func (Replace) action()       {}
func (Invalidate) action()    {}
func (StatusChanged) action() {}
func (LookupDone) action()    {}
