// Package claim decides which app server may run a token, once for the whole fleet. Tokens fall into slots. Each slot has an
// assignment: an owner that is asked, and a backup that has to have a claim before the owner grants it. Assignments follow each other
// under terms that rise, given out by the owner of a role of the fleet; a new owner has all claims of the assignments before its own,
// and has fenced their members, before its own first grant. Table is one process's part in all slots. Nothing here does I/O, reads a clock or
// knows an address.
//
// Why no claim is lost when an assignment ends: a grant needs both members of the assignment, under its term. A member that has been asked for
// its claims under a later term takes no part in the assignment any more: it is fenced. So one of the two is enough, whichever still
// answers: what the other one may still grant, this one had recorded before. Where neither answers, nothing unknown is
// run until the assignment's lease to grant is over, and then for the longest window.
package claim

import (
	"cmp"

	"valveglade/logic/owner"
)

// Term orders assignments: by the term of the role's owner that gave them out, and by its own sequence.
type Term struct{ Leader, Sequence uint64 }

// Less reports whether t comes before u.
func (t Term) Less(u Term) bool {
	return cmp.Or(cmp.Compare(t.Leader, u.Leader), cmp.Compare(t.Sequence, u.Sequence)) < 0
}

// Assignment is who has a slot, under a term.
type Assignment struct {
	Term          Term
	Owner, Backup owner.Incarnation
}

func (p Assignment) has(who owner.Incarnation) bool { return p.Owner == who || p.Backup == who }

// Claim is what is known of a token.
type Claim struct {
	Digest uint64            // of the body
	Runner owner.Incarnation // who may run it
	Done   bool              // it has ended well, and its runner has the result
	Until  float64           // after which it is forgotten: on the clock of whoever has it, and as a span in messages
}

// MessageKind is the kind of a message.
type MessageKind uint8

// The messages between claimers, owners and backups.
const (
	Request        MessageKind = iota // claimer to owner: may I run it?
	Granted                           // the claim is granted: run it
	AlreadyClaimed                    // no: it was claimed by the one named in Claim
	BodyMismatch                      // no: another body has this token
	Unknown                           // not known, and not to be run yet: Remaining says for how long
	StaleTerm                         // a later term is known: ask its owner
	Finished                          // the run has ended well, or was never begun
	Replicate                         // owner to backup: record this claim
	Replicated                        // backup to owner: recorded
	Collect                           // new owner to a member of an earlier assignment: fence yourself, and send your claims
	Collected                         // its answer
	Transfer                          // new owner to its backup: all claims
	Transferred                       // its answer
)

// Message goes between two processes, about one slot.
type Message struct {
	Kind      MessageKind
	Slot      int
	From, To  owner.Incarnation
	Term      Term // of the assignment that it is about; of Collect and Collected the new one
	Of        Term // of Collect and Collected: the assignment that is ended
	Token     string
	Number    uint64 // of a request, for its answer
	Claim     Claim
	Remaining float64 // of Unknown: in seconds
	Complete  bool    // of Collected: it has all claims of that assignment; else that one never served, and never will
	Claims    map[string]Claim
}

// Rules are those that can be left out, to show that their loss is noticed: none in service.
type Rules struct {
	BackupFirst bool // that the backup has recorded a claim before it is granted
	Fencing     bool // that whoever gave its claims away takes no part any more
	Window      bool // that what nobody can tell is waited out
	Term        bool // that a backup checks the term before it records
	Lag         bool // that whoever asks after a window's end may have come before it
}

// Timing is what an installation sets, in seconds.
type Timing struct {
	Window   float64 // the longest for which a token may come again
	Lag      float64 // the longest from an RPC's coming until nobody heeds an answer for it any more: the longest deadline
	Drift    float64 // by which two clocks may drift apart, as a share
	Disabled Rules
}
