package owner

// Lease is how parts of a limited quota are granted: seconds, and Drift as a share. A grant is requested, and the
// requester counts it from when it asked: so whoever answered it while it owned the role knows when it is over at the latest,
// and so does the next owner, who never saw it.
type Lease struct {
	Length   float64 // for which a grant lasts
	Grace    float64 // for which what was begun under a grant may go on past its end
	Drift    float64 // by which two clocks may drift apart, as a share
	Disabled Rule    // rules that are left out, to show that their loss is noticed: none in service
}

func (l Lease) enabled(r Rule) bool { return l.Disabled&r == 0 }

// Expiry is after how long, on any clock, nothing is left of a grant that was asked for before.
func (l Lease) Expiry() float64 {
	if !l.enabled(Tails) {
		return l.Length * (1 + l.Drift)
	}
	return (l.Length + l.Grace) * (1 + l.Drift)
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
