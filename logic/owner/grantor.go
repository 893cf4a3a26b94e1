package owner

import (
	"fmt"
	"math"
	"slices"
)

// Grantor grants permits of a quota for the owner of a role under one term. It grants only permits known to
// be free. Until all grants of former owners have expired, these are the permits that holders have reported
// to it since its term began; it may move them between holders.
type Grantor struct {
	lease         Lease
	role          string
	term          uint64
	total         int
	reportedTotal int     // sum of the permits in the first request of each holder
	settledAt     float64 // when all grants of former owners have expired
	ledger        map[Incarnation]*holding
}

// holding is the upper bound on the permits of one holder.
type holding struct {
	lastRequest   uint64  // number of its last request
	reported      int     // permits that it had at its last request
	reportedUntil float64 // when these have expired
	granted       int     // permits granted in answer to its last request
	grantedUntil  float64 // when these have expired
	wants         int
	uses          int
	lastRequestAt float64
}

// NewGrantor returns a grantor for a term that starts now. The former owner's lease must have expired.
func NewGrantor(role string, term uint64, total int, now float64, lease Lease) *Grantor {
	g := &Grantor{lease: lease, role: role, term: term, total: total, settledAt: now + lease.Expiry(),
		ledger: map[Incarnation]*holding{}}
	if !lease.enabled(WaitForFormerGrants) {
		g.settledAt = now
	}
	return g
}

// Held returns the permits last granted to a holder or, since a new request has come, reported by it.
func (g *Grantor) Held(incarnation Incarnation) int {
	h := g.ledger[incarnation]
	if h == nil {
		return 0
	}
	return max(h.granted, h.reported)
}

// Clone returns an independent copy, for tests that explore all sequences of events.
func (g *Grantor) Clone() *Grantor {
	c := *g
	c.ledger = map[Incarnation]*holding{}
	for incarnation, h := range g.ledger {
		copied := *h
		c.ledger[incarnation] = &copied
	}
	return &c
}

// String returns the complete state as text, for the same tests.
func (g *Grantor) String() string {
	text := fmt.Sprint(g.term, g.total, g.reportedTotal, g.settledAt)
	for _, h := range g.Holders(math.Inf(-1)) {
		text += fmt.Sprint(h.Incarnation, *g.ledger[h.Incarnation])
	}
	return text
}

// Term returns the term under which it grants.
func (g *Grantor) Term() uint64 { return g.term }

// Settled reports whether all grants of former owners have expired.
func (g *Grantor) Settled(now float64) bool { return now >= g.settledAt }

// SetTotal changes the quota. Permits already granted stay valid until they expire.
func (g *Grantor) SetTotal(total int) { g.total = total }

// maxHeld returns the most permits that a holder may have now.
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

// Available returns how many permits one holder could be granted now, including those that it has.
func (g *Grantor) Available(to Incarnation, now float64) int {
	n := g.total
	if !g.Settled(now) {
		n = min(n, g.reportedTotal)
	}
	for incarnation, h := range g.ledger {
		if incarnation != to {
			n -= h.maxHeld(now)
		}
	}
	return max(n, 0)
}

// maxHolders limits the holders in the ledger; a fleet is smaller.
const maxHolders = 1024

// HandleRequest records a request and reports whether it has to be answered. Requests to the owner of another
// term are ignored, and so are those older than the requester's last one, whose answer the requester would
// ignore.
func (g *Grantor) HandleRequest(request Request, now float64) bool {
	if request.Role != g.role || request.Term != g.term && g.lease.enabled(TermMatch) {
		return false
	}
	h := g.ledger[request.From]
	if h == nil {
		if g.dropExpired(now); len(g.ledger) >= maxHolders {
			return false
		}
		h = &holding{}
		g.ledger[request.From] = h
		g.reportedTotal += request.Holds
	} else if request.Number <= h.lastRequest {
		return false
	}
	// The requester ignores answers to earlier requests from now on: it has what this request reports.
	h.lastRequest, h.wants, h.uses, h.lastRequestAt = request.Number, request.Wants, request.Uses, now
	h.reported, h.reportedUntil = max(request.Holds, request.Uses),
		now+(request.Left+g.gracePeriod())*(1+g.lease.Drift)
	h.granted, h.grantedUntil = 0, 0
	return true
}

func (g *Grantor) gracePeriod() float64 {
	if !g.lease.enabled(GracePeriods) {
		return 0
	}
	return g.lease.Grace
}

// Grant answers a request that HandleRequest accepted. It grants n permits, or fewer if fewer are free. The
// caller has to check the owner's lease after the request arrived and before the call, at the clock reading
// that it passes as now; the answer may then be sent at any later time.
func (g *Grantor) Grant(request Request, n int, now float64) Answer {
	h := g.ledger[request.From]
	h.granted = max(0, min(n, g.Available(request.From, now)))
	h.grantedUntil = now + g.lease.Expiry()
	return Answer{Role: g.role, To: request.From, Number: request.Number, Term: g.term, Grants: h.granted}
}

// dropExpired removes holders whose permits have expired. While grants of former owners may exist all holders
// are kept, as the permits of each may be added to reportedTotal only once.
func (g *Grantor) dropExpired(now float64) {
	if !g.Settled(now) {
		return
	}
	for incarnation, h := range g.ledger {
		if h.maxHeld(now) == 0 && now > h.lastRequestAt+g.lease.Expiry() {
			delete(g.ledger, incarnation)
		}
	}
}

// HolderStatus is the owner's view of one holder.
type HolderStatus struct {
	Incarnation
	MaxHeld      int // upper bound of the permits that it may have
	Granted      int
	Wanted       int
	InUse        int
	Left         float64 // until its permits have expired, in seconds
	SinceRequest float64 // time since its last request, in seconds
}

// Holders lists the holders, sorted by name.
func (g *Grantor) Holders(now float64) []HolderStatus {
	g.dropExpired(now)
	var all []HolderStatus
	for incarnation, h := range g.ledger {
		all = append(all, HolderStatus{incarnation, h.maxHeld(now), h.granted, h.wants, h.uses,
			max(h.reportedUntil, h.grantedUntil) - now, now - h.lastRequestAt})
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
