package configlog

// ReplicaConfig is the configuration of a replica. Times are in seconds.
type ReplicaConfig struct {
	Name           string
	Voters         [][]string // one list, or two during a membership change: a quorum is a majority of each
	KeepEntries    int        // committed entries kept in memory, up to a quarter more
	MaxOpen        int        // limit of uncommitted proposals
	MessageBytes   int        // limit of the entries in one message, by Entry.Size
	MaxInFlight    int        // limit of unacknowledged messages with entries to one voter
	ResendAfter    float64    // time without a response after which a message is sent again
	HeartbeatEvery float64
	Disabled       Rule // none in production
}

// Stored is the state that a replica reads from its disk at start.
type Stored struct {
	Promised      uint64            // messages of leaders of lower terms are rejected
	Base          Version           // version that Entries follow
	LastOfService map[string]uint64 // index of the last entry of each service at Base
	Entries       []Entry
	Commit        uint64 // commit index of the table on disk; at least Base.Index
}

// Persist must be on the disk before the messages of the same Ready are sent. Its fields are applied in
// order.
type Persist struct {
	Promised     uint64  // 0 if unchanged
	Reset        bool    // all entries are removed, and the log continues after Base
	Base         Version // only with Reset
	TruncateFrom uint64  // entries from this index on are removed; 0 for none
	Entries      []Entry // to append
}

// IsEmpty reports whether there is nothing to write.
func (p Persist) IsEmpty() bool {
	return p.Promised == 0 && !p.Reset && p.TruncateFrom == 0 && len(p.Entries) == 0
}

// Result is the outcome of a proposal: committed as Version, or an error. After ErrOutcomeUnknown the
// change may still be committed.
type Result struct {
	ID      uint64
	Version Version
	Err     error
}

// ReplicaReady is the work for the caller, in this order: write Persist, send Messages, apply Committed,
// report Results. All of it is done before the replica is called again. If writing fails, the rest must
// not be done, and the replica must be discarded and reopened from the disk.
//
// NeedSnapshot is set when the leader, or the voter that a new leader fetches from, no longer keeps the
// entries that are missing in this log. CompactedUpTo is set when entries have been removed from memory:
// those up to it may be removed from the disk once the table there has them.
type ReplicaReady struct {
	Persist       Persist
	Messages      []Envelope
	Committed     []Entry // in log order, each once since the start
	Results       []Result
	NeedSnapshot  Version // if not zero: install a snapshot at this version or later
	StaleTerm     uint64  // if not zero: a higher term is known, the caller must give up the leader role
	CompactedUpTo Version // if not zero: last entry that may be removed from the disk
}

// ReplicaState is the role of a replica, and the progress of a new leader. Only setState changes it.
type ReplicaState uint8

// The states of a replica.
const (
	ReplicaFollower  ReplicaState = iota
	ReplicaPreparing              // new leader, waits for the promises of a majority
	ReplicaFetching               // new leader, fetches the entries that it lacks
	ReplicaLeader                 // leader, accepts proposals
)

// ReplicaStatus is a snapshot of the state of a replica.
type ReplicaStatus struct {
	State     ReplicaState
	Term      uint64 // highest promised term; of a leader, its own
	Last      Version
	Committed Version
	Base      Version
	Open      int     // uncommitted proposals
	Age       float64 // seconds since it was last known to have all committed entries; +Inf for never
}
