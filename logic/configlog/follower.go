package configlog

// FollowerConfig is what an installation sets. Times are in seconds.
type FollowerConfig struct {
	Name           string
	Services       []string
	All            bool
	Distributors   []string
	BytesPerSecond float64
	StaleAfter     float64 // age from which Status says stale
	SilentAfter    float64 // without a message the connection is closed
	BackoffMin     float64
	BackoffMax     float64
	Seed           uint64
	MaxLookups     int  // that may wait for a reply
	Without        Rule // none in service
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

// Counts tells how many messages were refused, by why; none of them was applied.
type Counts struct {
	Applied                                                   uint64 // entries
	Snapshots                                                 uint64 // replaced
	Gaps, Duplicates, Reordered, Stale, StaleTerms, Malformed uint64
	Connects, Disconnects                                     uint64
}

// Status tells where a follower is.
type Status struct {
	Version     Version
	Age         float64 // seconds since it was last known to be as new as the leader
	Stale       bool
	Distributor string
	State       FollowerState
	Counts      Counts
}

// Action is what a follower has its caller do: one of Connect, Send, Close, Apply, Stage, Discard, Replace, StatusChanged,
// LookupDone. They are carried out in order.
type Action interface{ action() }

// Connect opens a connection; Connected or Disconnected tells the follower how that went.
type Connect struct{ Distributor string }

// Send sends a message to the distributor.
type Send struct{ Message StreamMessage }

// Close ends the connection; Disconnected need not be told.
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
func (StatusChanged) action() {}
func (LookupDone) action()    {}

// Follower is an app server's part, and that of a distributor that is no voter: it keeps one subscription.
type Follower struct {
}

// NewFollower begins with a table of a version, which has all of its services; with the zero Version it takes a snapshot first.
func NewFollower(cfg FollowerConfig, version Version, now float64) *Follower { return &Follower{} }

// SetDistributors takes another list.
func (f *Follower) SetDistributors(names []string, now float64) {}

// SetServices wants other services: the table has to come whole again, unless none is new.
func (f *Follower) SetServices(services []string, now float64) {}

// Connected tells that the connection asked for is there.
func (f *Follower) Connected(now float64) {}

// Disconnected tells that the connection has ended, or could not be had.
func (f *Follower) Disconnected(now float64) {}

// Step takes a message of the distributor. An error tells why it was refused; it was not applied then.
func (f *Follower) Step(message StreamMessage, now float64) error { return nil }

// Lookup asks for a record on demand; LookupDone has the outcome under the id.
func (f *Follower) Lookup(id uint64, kind Kind, name string, now float64) error { return nil }

// Tick does what is due.
func (f *Follower) Tick(now float64) {}

// Status tells where the follower is.
func (f *Follower) Status(now float64) Status { return Status{} }

// Ready empties what there is to do, in order.
func (f *Follower) Ready() []Action { return nil }
