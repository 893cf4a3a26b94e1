// Package configlog is a replicated log of configuration changes and its distribution to the app servers.
// Each change is one log entry, written under the term of the log's leader.
//
// A Replica is a voter's copy of the log and, on the leader, replicates it. A Feed is the part of a
// distributor that serves subscribers from the committed entries. A Follower is the part of an app server
// that keeps one subscription and applies the changes that it receives. All three are pure state machines:
// they do no I/O, read no clock and start no goroutine. Time is passed in as seconds on any monotonic
// clock, and the output of each machine is collected with Ready after every call. Leader election is
// elsewhere (logic/owner): there is at most one leader per term, and terms only increase.
package configlog

import "cmp"

// Version identifies an entry of the log by the term of the leader that wrote it and its index. The zero
// Version is before the first entry.
type Version struct {
	Term  uint64
	Index uint64
}

// Compare orders versions by term, then by index. Committed entries are in this order.
func (v Version) Compare(w Version) int {
	if c := cmp.Compare(v.Term, w.Term); c != 0 {
		return c
	}
	return cmp.Compare(v.Index, w.Index)
}

// Change is one change of the configuration, encoded and validated by the caller. Service is the service
// that it belongs to. The first entry of a term has neither service nor payload and changes nothing.
type Change struct {
	Service string
	Payload []byte
}

// IsEmpty reports whether c is the change of the first entry of a term, which changes nothing.
func (c Change) IsEmpty() bool { return c.Service == "" && len(c.Payload) == 0 }

// Entry is one entry of the log.
type Entry struct {
	Version
	Previous uint64 // index of the previous entry of this service; 0 for none, and if Service is empty
	Change
}

// entryOverhead is the size of an entry in a message without its service and payload, in bytes: three
// numbers and two lengths.
const entryOverhead = 3*8 + 2*4

// Size returns the size of the entry in a message, in bytes.
func (e Entry) Size() int { return entryOverhead + len(e.Service) + len(e.Payload) }

// Rule is a set of protocol rules that tests disable, to show that a missing rule is detected. In
// production no rule is disabled.
type Rule uint16

// The rules that the state-space exploration in the tests can disable.
const (
	CommitOwnTerm     Rule = 1 << iota // a majority commits only an entry of the own term, and all before it
	PromiseAtRecovery                  // a voter that promised a term to a new leader rejects lower terms
	MostUpToDate                       // a new leader adopts the log with the highest last Version
	ServiceChain                       // a follower checks Previous of each entry
	StreamSequence                     // a follower checks the sequence numbers of its stream
	WholeSnapshot                      // a follower replaces its table only with a complete snapshot
	TermAtResume                       // a feed resumes only from a Version of its own log
)

func (disabled Rule) enabled(rule Rule) bool { return disabled&rule == 0 }
