// Package quorum decides whether a set of voters forms a quorum: a majority of each list of voters. There is
// one list, or two while the voters are being changed. A quorum of both lists shares a voter with each quorum
// of the former list and with each quorum of the next one.
package quorum

import (
	"math/bits"
	"slices"
)

// Set is a set of voters. Bit k stands for voter number k.
type Set uint32

// With returns the set with one more voter.
func (s Set) With(voter int) Set { return s | 1<<voter }

// Has reports whether a voter is in the set.
func (s Set) Has(voter int) bool { return s&(1<<voter) != 0 }

// Voters holds the voters of all lists, each with a number.
type Voters struct {
	names []string // by number
	lists []Set
}

// New numbers the voters of the lists in the order of their first mention.
func New(lists [][]string) Voters {
	var voters Voters
	for _, list := range lists {
		var set Set
		for _, name := range list {
			number := slices.Index(voters.names, name)
			if number < 0 {
				number = len(voters.names)
				voters.names = append(voters.names, name)
			}
			set = set.With(number)
		}
		voters.lists = append(voters.lists, set)
	}
	return voters
}

// Names returns the voters of all lists, each once, by number. The slice must not be modified.
func (v Voters) Names() []string { return v.names }

// Number returns the number of a voter, or -1 if the name is no voter.
func (v Voters) Number(name string) int { return slices.Index(v.names, name) }

// Lists returns the sets that each need a majority. The slice must not be modified.
func (v Voters) Lists() []Set { return v.lists }

// Majority reports whether a set holds a majority of each list. Without any list, no set does.
func (v Voters) Majority(set Set) bool {
	for _, list := range v.lists {
		if bits.OnesCount32(uint32(set&list)) <= bits.OnesCount32(uint32(list))/2 {
			return false
		}
	}
	return len(v.lists) > 0
}
