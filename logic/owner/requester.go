package owner

// Requester requests grants for one process and keeps track of the current one.
type Requester struct {
	lease       Lease
	self        Incarnation
	role        string
	knownTerm   uint64  // the highest known term of an owner; 0 if none is known
	number      uint64  // of the last request
	requestedAt float64 // when the last request was made
	granted     int     // permits of the current grant
	grantEnd    float64 // when the current grant expires
	grantTerm   uint64  // term of the current grant
}

// NewRequester returns a requester that holds nothing.
func NewRequester(self Incarnation, role string, lease Lease) *Requester {
	return &Requester{lease: lease, self: self, role: role}
}

// ObserveTerm records that an owner exists under a term. It returns false if a higher term is known.
func (r *Requester) ObserveTerm(term uint64) bool {
	if term < r.knownTerm {
		return false
	}
	r.knownTerm = term
	return true
}

// KnownTerm returns the highest known term, or 0 if none is known.
func (r *Requester) KnownTerm() uint64 { return r.knownTerm }

// Request returns a new request. Answers to earlier requests are ignored from then on. Uses is the number of
// permits in use.
func (r *Requester) Request(wants, uses int, now float64) Request {
	r.number++
	r.requestedAt = now
	holds, left := r.Holds(now)
	return Request{Role: r.role, From: r.self, Number: r.number, Term: r.knownTerm, Holds: holds,
		Uses: uses, Left: left, Wants: wants}
}

// HandleAnswer handles an answer and reports whether it was accepted.
func (r *Requester) HandleAnswer(answer Answer, now float64) bool {
	if answer.Role != r.role || answer.To != r.self ||
		answer.Number != r.number && r.lease.enabled(LatestRequestOnly) || answer.Number > r.number {
		return false
	}
	start := r.requestedAt
	if !r.lease.enabled(FromRequest) {
		start = now
	}
	end := start + r.lease.Length
	if now >= end {
		return false // the grant has expired already
	}
	r.granted, r.grantEnd, r.grantTerm = answer.Grants, end, answer.Term
	return true
}

// Holds returns how many permits may be in use now for new work, and for how long, in seconds. The caller has
// to call it again after that time.
func (r *Requester) Holds(now float64) (n int, left float64) {
	if now >= r.grantEnd {
		return 0, 0
	}
	return r.granted, r.grantEnd - now
}
