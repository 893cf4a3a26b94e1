package owner

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
