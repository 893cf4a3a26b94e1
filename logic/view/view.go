// Package view determines the members of the fleet, and how certain that is. Its inputs are what gossip and
// the data path report about other app servers, and how late this process itself has been. Its outputs are
// views: ordered lists of members with a version and a digest, equal on all members that have converged. It
// is a pure state machine: it does no I/O, reads no clock, and treats addresses as opaque strings. Package
// member drives it.
package view

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"math/bits"
	"slices"
	"strings"
)

// Incarnation identifies one process among those with the same name: Number increases from one to the next,
// Nonce distinguishes two with the same Number.
type Incarnation struct {
	Number uint64 // Unix milliseconds at the start, or one more than any incarnation known of the name
	Nonce  uint32
}

// MaxIncarnation is the exclusive upper bound of accepted numbers, above which no newer incarnation would be
// possible. In milliseconds of Unix time it lies in the year 287396.
const MaxIncarnation = 1 << 53

// Before reports whether i is older than other.
func (i Incarnation) Before(other Incarnation) bool {
	return i.Number < other.Number || i.Number == other.Number && i.Nonce < other.Nonce
}

// State is the state that a member reports of itself.
type State uint8

// The states of a member, in the order in which it passes through them.
const (
	Joining State = iota // it has found no other member yet
	Cold                 // it is in the fleet, not at full capacity yet
	Serving
	Leaving // it is draining after its shutdown notice
	Left
)

var stateNames = [...]string{"joining", "cold", "serving", "leaving", "left"}

func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// Load is a coarse summary of a member's load. Open and Credit are in steps of half an octave, see Band.
type Load struct {
	Open   uint8 // open RPCs
	Credit uint8 // credit that it grants callers
	Level  uint8 // pressure level, as in logic/pressure
}

// Entry describes one member.
type Entry struct {
	Name        string
	Incarnation Incarnation
	Address     string // address of its fleet socket
	Zone        string
	State       State
	Unhealthy   bool  // its work is stuck, as it reports itself
	Proto       uint8 // version of the fleet protocol
	Load        Load  // not part of the digest
	Unreachable bool  // RPCs sent there fail, as observed here; not part of the digest
}

// sameDigest reports whether two entries contribute equally to a view's digest.
func (e Entry) sameDigest(other Entry) bool {
	e.Load, e.Unreachable, other.Load, other.Unreachable = Load{}, false, Load{}, false
	return e == other
}

// Certainty is how far a view can be relied on.
type Certainty uint8

// The certainties, from the most to the least reliable.
const (
	Converged   Certainty = iota // no change is pending, and the peers probed last have the same digest
	Converging                   // a change is pending, a peer's digest differs, or this process was late
	Partitioned                  // less than half of the last healthy view is left
	Alone                        // no other member is known
	Superseded                   // a later process has this one's name
)

var certaintyNames = [...]string{"converged", "converging", "partitioned", "alone", "superseded"}

func (c Certainty) String() string { return certaintyNames[c] }

// View is the fleet as seen by one member at one time. It is immutable once published.
type View struct {
	Version     uint64
	Digest      uint64
	Certainty   Certainty
	Members     []Entry // ordered by name; includes this process's own entry, so it is never empty
	LastHealthy []Entry // members of the last healthy view while this one is partitioned, nil otherwise
	Changes     []Change
}

// Change is one difference between the previous view and this one.
type Change struct {
	Name string
	What string // one of came, went, changed, restarted
	Why  string // the cause in a few words
}

// Find returns the member with that name, or nil.
func (v *View) Find(name string) *Entry {
	k, ok := slices.BinarySearchFunc(v.Members, name,
		func(e Entry, n string) int { return strings.Compare(e.Name, n) })
	if !ok {
		return nil
	}
	return &v.Members[k]
}

// digest hashes the members; equal lists have equal digests on all processes.
func digest(members []Entry) uint64 {
	h := fnv.New64a()
	var buffer [8]byte
	writeNumber := func(n uint64) {
		binary.LittleEndian.PutUint64(buffer[:], n)
		h.Write(buffer[:])
	}
	writeText := func(s string) {
		writeNumber(uint64(len(s)))
		h.Write([]byte(s))
	}
	for _, e := range members {
		writeText(e.Name)
		writeNumber(e.Incarnation.Number)
		writeNumber(uint64(e.Incarnation.Nonce))
		writeText(e.Address)
		writeText(e.Zone)
		unhealthy := uint64(0)
		if e.Unhealthy {
			unhealthy = 1
		}
		writeNumber(uint64(e.State) | unhealthy<<8 | uint64(e.Proto)<<16)
	}
	return h.Sum64()
}

func byName(a, b Entry) int { return cmp.Compare(a.Name, b.Name) }

// Band rounds a number to steps of half an octave, so that a small change of load costs no message: 0 for
// none, 61 for 1<<30 and more.
func Band(n int) uint8 {
	n = min(max(n, 0), 1<<30)
	return uint8(bits.Len64(uint64(n) * uint64(n)))
}
