// Package configlog orders the changes of the configuration and brings them to the app servers: each change is one entry of
// one replicated log, written under the term of the log's leader.
//
// A Replica is a voter's copy of the log, and the leader's work on it. A Feed is the part of a distributor that serves
// subscribers from the committed entries. A Follower is the part of an app server that keeps one subscription and applies
// what comes over it. None of them does I/O, reads a clock or starts a goroutine: time is passed in as seconds on any clock
// that only rises, and each machine is emptied with Ready after every call. The leader is chosen elsewhere (logic/owner): one
// leader at most for each term, and terms only rise.
package configlog

import "cmp"

// Version names an entry of the log: the term of the leader that wrote it, and its place. The zero Version is before the first.
type Version struct {
	Term  uint64
	Index uint64
}

// Compare orders versions by term, then by index; committed entries are in this order.
func (v Version) Compare(w Version) int {
	if c := cmp.Compare(v.Term, w.Term); c != 0 {
		return c
	}
	return cmp.Compare(v.Index, w.Index)
}

// Change is one change of the configuration, encoded and validated by the caller. Service is the group that it belongs to. The
// first entry of a term has neither: it changes nothing.
type Change struct {
	Service string
	Payload []byte
}

// IsEmpty reports whether this is the first entry of a term, which changes nothing.
func (c Change) IsEmpty() bool { return c.Service == "" && len(c.Payload) == 0 }

// Entry is one place of the log.
type Entry struct {
	Version
	Previous uint64 // index of the entry before this one of the same service; 0 for none, and for the first entry of a term
	Change
}

// entryOverhead is what an entry takes in a message beside its service and payload: three numbers and two lengths.
const entryOverhead = 3*8 + 2*4

// Size is what the entry counts as in a message, in bytes.
func (e Entry) Size() int { return entryOverhead + len(e.Service) + len(e.Payload) }

// Rule is a set of rules that can be left out, to show in tests that their loss is noticed: none in service.
type Rule uint16

// The rules whose loss the walks in the tests find.
const (
	CommitOwnTerm     Rule = 1 << iota // a majority commits an entry of the leader's own term, and all before it
	PromiseAtRecovery                  // a voter that answered a new leader takes nothing from older ones
	MostUpToDate                       // a new leader takes the log whose last entry has the highest term, then index
	ServiceChain                       // a follower checks the index of the entry before of the same service
	StreamSequence                     // a follower checks the sequence of its stream
	WholeSnapshot                      // a follower replaces its table only with a whole snapshot
	TermAtResume                       // a feed resumes only where the term at that index is the subscriber's
)

func (disabled Rule) enabled(rule Rule) bool { return disabled&rule == 0 }
