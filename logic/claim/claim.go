// Package claim decides which app server may run a token, once for the whole fleet. Each token maps to a
// slot. Each slot has an assignment: an owner that grants claims, and a backup that must record a claim
// before the owner grants it. Assignments of a slot follow each other under rising terms and are issued by
// the owner of a fleet role. Before its first grant, a new slot owner has fenced the members of the earlier
// assignments and collected their claims. Table is one process's part in all slots. The package does no I/O,
// reads no clock and knows no addresses.
//
// Why no claim is lost when an assignment ends: a grant needs both members of the assignment, under its term.
// A member that was asked for its claims under a later term is fenced and takes no further part in the
// assignment. So the answer of one member is enough: whatever the other could still grant had to be recorded
// by this one first. If neither answers, unknown tokens are rejected until the assignment's lease has
// expired, and then for the longest window.
package claim

import (
	"cmp"

	"valveglade/logic/owner"
)

// Term orders assignments: by the term of the role owner that issued them, then by that owner's sequence
// number.
type Term struct{ Leader, Sequence uint64 }

// Less reports whether t comes before u.
func (t Term) Less(u Term) bool {
	return cmp.Or(cmp.Compare(t.Leader, u.Leader), cmp.Compare(t.Sequence, u.Sequence)) < 0
}

// Assignment names the owner and the backup of a slot under a term.
type Assignment struct {
	Term          Term
	Owner, Backup owner.Incarnation
}

func (a Assignment) has(member owner.Incarnation) bool {
	return a.Owner == member || a.Backup == member
}

// Claim is the record of which process may run a token.
type Claim struct {
	Digest uint64            // of the body
	Runner owner.Incarnation // the process that may run it
	Done   bool              // the run succeeded, and its runner has the result
	Until  float64           // expiry, on the clock of the process that stores it; in messages a duration
}

// MessageKind is the kind of a message.
type MessageKind uint8

// The messages between claimers, owners and backups.
const (
	Request        MessageKind = iota // claimer to owner: requests the claim of a token
	Granted                           // the claim is granted: the claimer may run the token
	AlreadyClaimed                    // rejected: the runner named in Claim has claimed it
	BodyMismatch                      // rejected: the token was claimed with another body
	Unknown                           // rejected: an unknown claim may exist for up to Remaining
	StaleTerm                         // rejected: a later term is known, and its owner has to decide
	Finished                          // claimer to owner: the run succeeded (Done), or never started
	Replicate                         // owner to backup: record this claim
	Replicated                        // backup to owner: recorded
	Collect                           // new owner to an earlier member: fence yourself, send your claims
	Collected                         // answers Collect
	Transfer                          // new owner to its backup: all claims
	Transferred                       // answers Transfer
)

// Message is sent between two processes, about one slot.
type Message struct {
	Kind      MessageKind
	Slot      int
	From, To  owner.Incarnation
	Term      Term // the assignment concerned; the new one in Collect and Collected
	EndedTerm Term // of Collect and Collected: the assignment that has ended
	Token     string
	Number    uint64 // of a request, repeated in its answer
	Claim     Claim
	// of Unknown, Collected and Transfer: how long unknown tokens are still rejected, in seconds
	Remaining float64
	Complete  bool // of Collected: the sender has all claims up to the end of that assignment
	Claims    map[string]Claim
}

// Rules selects the rules that are disabled. Tests disable them one by one to show that each is needed.
type Rules struct {
	BackupFirst bool // a claim is granted only after the backup has recorded it
	Fencing     bool // a member that has sent its claims takes no further part in the assignment
	Window      bool // after an assignment whose claims are lost, unknown tokens are rejected for a window
	Term        bool // a backup checks the term before it records a claim
	// a request handled after the end of a window may belong to an RPC that arrived within it
	Lag bool
}

// Timing is the configuration of an installation, in seconds.
type Timing struct {
	Window float64 // the longest time within which a token may be repeated
	// the longest time from an RPC's arrival until its answer is ignored: the longest deadline
	Lag      float64
	Drift    float64 // the largest relative drift between two clocks
	Disabled Rules
}
