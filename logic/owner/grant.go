package owner

import (
	"fmt"
	"math"
	"slices"
)

// Lease is how parts of a limited quota are granted: seconds, and Drift as a share. A grant is requested, and the
// requester counts it from when it asked: so whoever answered it while it owned the role knows when it is over at the latest,
// and so does the next owner, who never saw it.
type Lease struct {
	Length   float64 // for which a grant lasts
	Tail     float64 // for which what was begun under a grant may go on past its end
	Drift    float64 // by which two clocks may drift apart, as a share
	Disabled Rule    // rules that are left out, to show that their loss is noticed: none in service
}

func (l Lease) enabled(r Rule) bool { return l.Disabled&r == 0 }

// Expiry is after how long, on any clock, nothing is left of a grant that was asked for before.
func (l Lease) Expiry() float64 {
	if !l.enabled(Tails) {
		return l.Length * (1 + l.Drift)
	}
	return (l.Length + l.Tail) * (1 + l.Drift)
}

// Request asks for a grant. It is put to the owner under one term: nobody else may answer it.
type Request struct {
	Role   string
	From   Incarnation
	Number uint64  // of this requester's requests, rising
	Term   uint64  // of the owner that is asked
	Holds  int     // what its grant still lets it begin, as it asks
	Uses   int     // what is under way with it, which may be more
	Left   float64 // how long its grant still lasts, in seconds
	Wants  int
}

// Answer is a grant, of nothing too.
type Answer struct {
	Role   string
	To     Incarnation
	Number uint64 // of the request
	Term   uint64
	Grants int
}

// Requester is one process's part in requesting grants.
type Requester struct {
	lease     Lease
	self      Incarnation
	role      string
	knownTerm uint64 // the highest term heard of
	number    uint64
	asked     float64
	holds     int
	until     float64
	term      uint64 // under which it holds
}

// NewRequester returns a requester that holds nothing.
func NewRequester(self Incarnation, role string, lease Lease) *Requester {
	return &Requester{lease: lease, self: self, role: role}
}

// ObserveTerm takes in that there is an owner under a term; false if a higher one is known.
func (a *Requester) ObserveTerm(term uint64) bool {
	if term < a.knownTerm {
		return false
	}
	a.knownTerm = term
	return true
}

// KnownTerm is the highest term heard of, 0 for none.
func (a *Requester) KnownTerm() uint64 { return a.knownTerm }

// Request makes a new request, and voids whatever may still come in answer to one before. Uses is what is under way.
func (a *Requester) Request(wants, uses int, now float64) Request {
	a.number++
	a.asked = now
	holds, left := a.Holds(now)
	return Request{Role: a.role, From: a.self, Number: a.number, Term: a.knownTerm, Holds: holds, Uses: uses, Left: left, Wants: wants}
}

// HandleAnswer takes an answer in, and tells whether it counts.
func (a *Requester) HandleAnswer(m Answer, now float64) bool {
	if m.Role != a.role || m.To != a.self || m.Number != a.number && a.lease.enabled(Current) || m.Number > a.number {
		return false
	}
	from := a.asked
	if !a.lease.enabled(FromRequest) {
		from = now
	}
	until := from + a.lease.Length
	if now >= until {
		return false // it took too long
	}
	a.holds, a.until, a.term = m.Grants, until, m.Term
	return true
}

// Holds is what it may begin under now, in all, and for how long, in seconds. Whoever acts on it later than that has to look
// again.
func (a *Requester) Holds(now float64) (n int, left float64) {
	if now >= a.until {
		return 0, 0
	}
	return a.holds, a.until - now
}

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
	return g.lease.Tail
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
