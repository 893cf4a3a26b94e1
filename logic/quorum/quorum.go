// Package quorum tells whether a set of voters decides: a majority of each list of voters. There is one list, or two while the
// voters are changed, so that whoever knows the former list alone, or the next alone, shares a voter with it.
package quorum

import (
	"math/bits"
	"slices"
)

// Set is a set of voters: bit k stands for the voter of number k.
type Set uint32

// With gives the set with one voter more.
func (s Set) With(voter int) Set { return s | 1<<voter }

// Has reports whether a voter is in it.
func (s Set) Has(voter int) bool { return s&(1<<voter) != 0 }

// Voters are those of all lists, each with a number.
type Voters struct {
	names []string
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

// Names are the voters of all lists, each once, by number. The caller leaves them as they are.
func (v Voters) Names() []string { return v.names }

// Number is a voter's, or -1 for somebody else.
func (v Voters) Number(name string) int { return slices.Index(v.names, name) }

// Lists are the sets that need a majority each. The caller leaves them as they are.
func (v Voters) Lists() []Set { return v.lists }

// Majority reports whether a set holds a majority of each list.
func (v Voters) Majority(set Set) bool {
	for _, list := range v.lists {
		if bits.OnesCount32(uint32(set&list)) <= bits.OnesCount32(uint32(list))/2 {
			return false
		}
	}
	return len(v.lists) > 0
}
