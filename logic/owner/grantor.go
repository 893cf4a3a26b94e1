package owner

import (
	"fmt"
	"math"
	"slices"
)

// Grantor is an owner's part under one term. Of the whole it grants what is proved free: until all that former owners may have
// granted is over, that is what holders have told it, since it began, that they hold; it may be moved among them.
type Grantor struct {
	lease     Lease
	role      string
	term      uint64
	total     int
	confirmed int     // what holders reported at first
	settled   float64 // when nothing is left of former owners' grants
	ledger    map[Incarnation]*holding
}

// holding is what one holder may have, at the most.
type holding struct {
	number        uint64 // of its last request
	reported      int    // what it had as it made the request, and until when that may last
	reportedUntil float64
	granted       int // what it was answered, and until when that may last
	grantedUntil  float64
	wants         int
	uses          int
	heard         float64
}

// NewGrantor begins as the role is acquired: not before the former owner's lease is over.
func NewGrantor(role string, term uint64, total int, now float64, lease Lease) *Grantor {
	g := &Grantor{lease: lease, role: role, term: term, total: total, settled: now + lease.Expiry(), ledger: map[Incarnation]*holding{}}
	if !lease.enabled(Settled) {
		g.settled = now
	}
	return g
}

// Held is what a holder was last answered, or told, whichever came last.
func (g *Grantor) Held(incarnation Incarnation) int {
	h := g.ledger[incarnation]
	if h == nil {
		return 0
	}
	return max(h.granted, h.reported)
}

// Clone is for those who walk through all that can happen: nothing that is done to one is done to the other.
func (g *Grantor) Clone() *Grantor {
	c := *g
	c.ledger = map[Incarnation]*holding{}
	for incarnation, h := range g.ledger {
		one := *h
		c.ledger[incarnation] = &one
	}
	return &c
}

// String tells all of it, for the same purpose.
func (g *Grantor) String() string {
	all := fmt.Sprint(g.term, g.total, g.confirmed, g.settled)
	for _, h := range g.Holders(math.Inf(-1)) {
		all += fmt.Sprint(h.Incarnation, *g.ledger[h.Incarnation])
	}
	return all
}

// Term is the one that it grants under.
func (g *Grantor) Term() uint64 { return g.term }

// Settled tells whether nothing is left of what former owners granted.
func (g *Grantor) Settled(now float64) bool { return now >= g.settled }

// SetTotal changes what there is to grant; what has been granted stays granted until it is over.
func (g *Grantor) SetTotal(total int) { g.total = total }

// maxHeld is what a holder may have now at the most.
func (h *holding) maxHeld(now float64) int {
	n := 0
	if now < h.reportedUntil {
		n = h.reported
	}
	if now < h.grantedUntil {
		n = max(n, h.granted)
	}
	return n
}

// Available is what could be granted now to one holder, what it has among it.
func (g *Grantor) Available(to Incarnation, now float64) int {
	n := g.total
	if !g.Settled(now) {
		n = min(n, g.confirmed)
	}
	for incarnation, h := range g.ledger {
		if incarnation != to {
			n -= h.maxHeld(now)
		}
	}
	return max(n, 0)
}

// maxHolders is how many holders are known at once; a fleet is smaller.
const maxHolders = 1024

// HandleRequest takes a request in, and tells whether it is to be answered: not one that was put to another owner, nor one that is
// older than another of the same requester's, for which no answer would count.
func (g *Grantor) HandleRequest(q Request, now float64) bool {
	if q.Role != g.role || q.Term != g.term && g.lease.enabled(Addressed) {
		return false
	}
	h := g.ledger[q.From]
	if h == nil {
		if g.dropExpired(now); len(g.ledger) >= maxHolders {
			return false
		}
		h = &holding{}
		g.ledger[q.From] = h
		g.confirmed += q.Holds
	} else if q.Number <= h.number {
		return false
	}
	// Of all answers before this request none counts any more: what it says is what it has.
	h.number, h.wants, h.uses, h.heard = q.Number, q.Wants, q.Uses, now
	h.reported, h.reportedUntil = max(q.Holds, q.Uses), now+(q.Left+g.tail())*(1+g.lease.Drift)
	h.granted, h.grantedUntil = 0, 0
	return true
}

func (g *Grantor) tail() float64 {
	if !g.lease.enabled(Tails) {
		return 0
	}
	return g.lease.Grace
}

// Grant answers a request that was taken in: n at the most, less where that is not free. The owner's lease has to be checked
// after the request came and before this is called, at the same reading of the clock; what comes of it may then leave
// however late.
func (g *Grantor) Grant(q Request, n int, now float64) Answer {
	h := g.ledger[q.From]
	h.granted = max(0, min(n, g.Available(q.From, now)))
	h.grantedUntil = now + g.lease.Expiry()
	return Answer{Role: g.role, To: q.From, Number: q.Number, Term: g.term, Grants: h.granted}
}

// dropExpired drops holders of whom nothing is left. Until it is settled all stay, as what they told counts once.
func (g *Grantor) dropExpired(now float64) {
	if !g.Settled(now) {
		return
	}
	for incarnation, h := range g.ledger {
		if h.maxHeld(now) == 0 && now > h.heard+g.lease.Expiry() {
			delete(g.ledger, incarnation)
		}
	}
}

// HolderStatus is one holder as the owner sees it.
type HolderStatus struct {
	Incarnation
	MaxHeld      int // at the most
	Granted      int
	Wanted       int
	InUse        int
	Left         float64 // until nothing is left of what it had, in seconds
	SinceRequest float64 // how long ago it last asked, in seconds
}

// Holders lists them by name.
func (g *Grantor) Holders(now float64) []HolderStatus {
	g.dropExpired(now)
	var all []HolderStatus
	for incarnation, h := range g.ledger {
		all = append(all, HolderStatus{incarnation, h.maxHeld(now), h.granted, h.wants, h.uses, max(h.reportedUntil, h.grantedUntil) - now, now - h.heard})
	}
	slices.SortFunc(all, func(a, b HolderStatus) int {
		if a.Name != b.Name {
			if a.Name < b.Name {
				return -1
			}
			return 1
		}
		return int(int64(a.ID>>1) - int64(b.ID>>1))
	})
	return all
}
