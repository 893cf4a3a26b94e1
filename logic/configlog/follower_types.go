package configlog

// FollowerConfig is what an installation sets. Times are in seconds.
type FollowerConfig struct {
	Name           string
	Services       []string // what the app server serves
	All            bool     // every service, in place of Services: a distributor's
	Distributors   []string
	BytesPerSecond float64
	StaleAfter     float64 // age from which Status says stale
	SilentAfter    float64 // without a message the connection is closed
	BackoffMin     float64
	BackoffMax     float64
	Seed           uint64 // another one at each start: subscriptions are numbered from it
	MaxLookups     int    // that may wait for a reply
	Disabled       Rule   // none in service
}

// FollowerState is how far a follower has come. One function changes it.
type FollowerState uint8

// The states of a follower.
const (
	FollowerDisconnected FollowerState = iota // waits before it connects again, or for the connection
	FollowerSubscribing                       // connected, and waits for the welcome
	FollowerSnapshot                          // takes the parts of a snapshot
	FollowerFollowing
)

var followerStates = [...]string{"disconnected", "subscribing", "snapshot", "following"}

func (s FollowerState) String() string { return followerStates[s] }

// Counts tells what was applied, and how many messages were refused, by why; none of those was applied.
type Counts struct {
	Applied   uint64 // entries
	Snapshots uint64 // that replaced the table

	Gaps, Duplicates, Reordered, Stale, StaleTerms, Malformed uint64

	Connects, Disconnects uint64
}

// Status tells where a follower is.
type Status struct {
	Version     Version
	Age         float64 // seconds since it was last known to be as new as the leader; +Inf if it never was
	Stale       bool
	Distributor string
	State       FollowerState
	Counts      Counts
}

// Action is what a follower has its caller do: one of Connect, Send, Close, Apply, Stage, Discard, Replace, Invalidate,
// StatusChanged, LookupDone. They are carried out in order.
type Action interface{ action() }

// Connect opens a connection; Connected or Disconnected tells the follower how that went.
type Connect struct{ Distributor string }

// Send sends a message to the distributor.
type Send struct{ Message StreamMessage }

// Close ends the connection, or the attempt; Disconnected is not told.
type Close struct{ Reason CloseReason }

// Apply changes the table by entries, in order; the table is of Version after it. Without entries only the version is new.
type Apply struct {
	Entries []Entry
	Version Version
}

// Stage keeps records of a snapshot beside the table; First drops what was staged before.
type Stage struct {
	Records []Change
	First   bool
}

// Discard drops what is staged.
type Discard struct{}

// Replace has what is staged take the table's place, whole.
type Replace struct{ Version Version }

// Invalidate tells that an entry is missing below the table's version: a file of it is not to be continued from at a start. The
// table serves on until a snapshot replaces it.
type Invalidate struct{}

// StatusChanged tells of a new state or of a change of staleness.
type StatusChanged struct{ Status Status }

// LookupDone is the outcome of a lookup.
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
