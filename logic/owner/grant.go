package owner

// Lease is the configuration of grants from a limited quota. The requester counts the duration of a grant
// from the moment of its request. So the owner that granted it knows when it has expired at the latest, and
// so does the next owner, which did not see it.
type Lease struct {
	Length   float64 // how long a grant lasts, in seconds
	Grace    float64 // how long work begun under a grant may continue after the grant expires, in seconds
	Drift    float64 // the largest relative drift between two clocks
	Disabled Rule    // rules that tests disable to show that each is needed: none in service
}

func (l Lease) enabled(rule Rule) bool { return l.Disabled&rule == 0 }

// Expiry returns how long after now, on any clock, all grants requested before now and the work under them
// have ended.
func (l Lease) Expiry() float64 {
	if !l.enabled(GracePeriods) {
		return l.Length * (1 + l.Drift)
	}
	return (l.Length + l.Grace) * (1 + l.Drift)
}

// Request asks the owner of one term for a grant. An owner of another term may not answer it.
type Request struct {
	Role   string
	From   Incarnation
	Number uint64  // rises with each request of a requester
	Term   uint64  // of the owner to which it is sent
	Holds  int     // permits that the current grant still allows to use at the time of the request
	Uses   int     // permits in use, which may be more than Holds
	Left   float64 // how long the current grant still lasts, in seconds
	Wants  int     // permits requested
}

// Answer is the answer to a request. It grants permits, or none.
type Answer struct {
	Role   string
	To     Incarnation
	Number uint64 // of the request
	Term   uint64
	Grants int
}
