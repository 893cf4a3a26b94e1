// Package view decides who is in the fleet, and with which certainty. It is told what gossip and the data path say of other
// app servers, and how late this process itself has been; it answers with views: ordered lists with a version and a
// digest, the same on all members that have converged. It never does I/O, reads no clock, and knows an address only as a
// word. member/ drives it; whoever needs to know the fleet reads the views that come out.
package view

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"math/bits"
	"slices"
	"strings"
)

// Incarnation tells one process under a name from another: Number rises from one to the next, Nonce sets apart two that
// started alike.
type Incarnation struct {
	Number uint64 // milliseconds of Unix time at the start, or one more than any incarnation known under that name
	Nonce  uint32
}

// MaxIncarnation bounds what is believed of a number: past it nobody could be newer. It lies in the year 287396.
const MaxIncarnation = 1 << 53

// Before reports whether l came before m.
func (l Incarnation) Before(m Incarnation) bool {
	return l.Number < m.Number || l.Number == m.Number && l.Nonce < m.Nonce
}

// State is what a member says of itself.
type State uint8

// The states of a member, in the order in which it takes them.
const (
	Joining State = iota // it has met nobody yet
	Cold                 // it is in the fleet, and not at full strength
	Serving
	Leaving // it has had its notice
	Left
)

var stateNames = [...]string{"joining", "cold", "serving", "leaving", "left"}

func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// Load is a digest of how much a member has to do, in steps of half an octave: see Band.
type Load struct {
	Open   uint8 // RPCs in hand
	Credit uint8 // what it tells callers
	Level  uint8 // of pressure, as logic/pressure counts
}

// Entry is all that is known of one member.
type Entry struct {
	Name        string
	Incarnation Incarnation
	Address     string // where its fleet packets go
	Zone        string
	State       State
	Unhealthy   bool  // its work is stuck, as it reports itself
	Proto       uint8 // the protocol it speaks
	Load        Load  // not part of the digest
	Unreachable bool  // work sent there fails, as seen from here; not part of the digest
}

// alike reports whether two entries are one in a view's digest.
func (e Entry) alike(o Entry) bool {
	e.Load, e.Unreachable, o.Load, o.Unreachable = Load{}, false, Load{}, false
	return e == o
}

// Certainty is how far a view can be relied on.
type Certainty uint8

// The certainties, in the order in which they can be relied on.
const (
	Converged   Certainty = iota // nothing is under way, and those asked last see the same
	Converging                   // something is under way, or others see something else, or this process was late itself
	Partitioned                  // less than half is left of the last healthy view
	Alone                        // no other member is known
	Superseded                   // a later process has this one's name
)

var certaintyNames = [...]string{"converged", "converging", "partitioned", "alone", "superseded"}

func (c Certainty) String() string { return certaintyNames[c] }

// View is who is in the fleet, as seen from one member at one time. It is never changed once published.
type View struct {
	Version     uint64
	Digest      uint64
	Certainty   Certainty
	Members     []Entry // ordered by name, this process's own among them: never empty
	LastHealthy []Entry // the last healthy view while this one is partitioned, nil otherwise
	Changes     []Change
}

// Change is one step from the view before to this one.
type Change struct {
	Name string
	What string // came, went, changed, restarted
	Why  string // the cause in a few words
}

// Find gives the member of that name, nil if there is none.
func (v *View) Find(name string) *Entry {
	k, ok := slices.BinarySearchFunc(v.Members, name, func(e Entry, n string) int { return strings.Compare(e.Name, n) })
	if !ok {
		return nil
	}
	return &v.Members[k]
}

// digest is the same for the same members, whoever counts.
func digest(members []Entry) uint64 {
	h := fnv.New64a()
	var b [8]byte
	number := func(n uint64) {
		binary.LittleEndian.PutUint64(b[:], n)
		h.Write(b[:])
	}
	text := func(s string) {
		number(uint64(len(s)))
		h.Write([]byte(s))
	}
	for _, e := range members {
		text(e.Name)
		number(e.Incarnation.Number)
		number(uint64(e.Incarnation.Nonce))
		text(e.Address)
		text(e.Zone)
		unhealthy := uint64(0)
		if e.Unhealthy {
			unhealthy = 1
		}
		number(uint64(e.State) | unhealthy<<8 | uint64(e.Proto)<<16)
	}
	return h.Sum64()
}

func byName(a, b Entry) int { return cmp.Compare(a.Name, b.Name) }

// Band puts a number into steps of half an octave, so that a load that hardly moves costs no message: 0 for none, 61 for
// a thousand million and more.
func Band(n int) uint8 {
	n = min(max(n, 0), 1<<30)
	return uint8(bits.Len64(uint64(n) * uint64(n)))
}
