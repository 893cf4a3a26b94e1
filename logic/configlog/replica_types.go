package configlog

// ReplicaConfig is what an installation sets. Times are in seconds.
type ReplicaConfig struct {
	Name           string
	Voters         [][]string // one list, or two while they are changed: a majority of each is needed
	KeepEntries    int        // committed entries kept in memory
	MaxOpen        int        // proposals that may wait for their commit
	MessageBytes   int        // of entries in one message, by Entry.Size
	MaxInFlight    int        // messages with entries on their way to one voter
	ResendAfter    float64
	HeartbeatEvery float64
	Disabled       Rule // none in service
}

// Stored is what a replica finds on its disk at a start.
type Stored struct {
	Promised      uint64            // nothing is taken from leaders of lower terms
	Base          Version           // entries follow this one
	LastOfService map[string]uint64 // at Base: the index of the last entry of each service
	Entries       []Entry
	Commit        uint64 // at least Base.Index; what is committed by the table on disk
}

// Persist is what has to be on the disk before the messages of the same Ready leave. Its parts are carried out in order.
type Persist struct {
	Promised     uint64  // 0 where unchanged
	Reset        bool    // all entries are dropped, and Base is where the log goes on from
	Base         Version // of Reset
	TruncateFrom uint64  // entries from this index on are dropped; 0 for none
	Entries      []Entry // to be appended
}

// IsEmpty reports whether there is nothing to write.
func (p Persist) IsEmpty() bool {
	return p.Promised == 0 && !p.Reset && p.TruncateFrom == 0 && len(p.Entries) == 0
}

// Result is the outcome of a proposal: committed under Version, or an error. ErrOutcomeUnknown means that it may yet be committed.
type Result struct {
	ID      uint64
	Version Version
	Err     error
}

// ReplicaReady is what there is to do, in this order: write Persist, send Messages, apply Committed, tell Results. All of it is done
// before the replica is called again. Where writing fails nothing else of it is done, and the replica is dropped and opened again.
type ReplicaReady struct {
	Persist       Persist
	Messages      []Envelope
	Committed     []Entry // in the order of the log, each once since the start
	Results       []Result
	NeedSnapshot  Version // not zero: the log goes on too far above what is here, install a snapshot of at least this version
	StaleTerm     uint64  // not zero: a term above the one led under is known, so the role is to be given up
	CompactedUpTo Version // not zero: entries up to this one are not needed on the disk, once the table there has them
}

// ReplicaState is how far a replica has come. One function changes it.
type ReplicaState uint8

// The states of a replica.
const (
	ReplicaFollower  ReplicaState = iota
	ReplicaPreparing              // leads, and waits for the promises of a majority
	ReplicaFetching               // leads, and fetches what it lacks
	ReplicaLeader                 // leads, and takes proposals
)

// ReplicaStatus tells where a replica is.
type ReplicaStatus struct {
	State     ReplicaState
	Term      uint64 // promised, or led under
	Last      Version
	Committed Version
	Base      Version
	Open      int
	Age       float64 // seconds since this replica was last known to have all that is committed; +Inf if it was not since its start
}
