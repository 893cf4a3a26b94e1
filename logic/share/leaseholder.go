package share

import (
	"math"

	"valveglade/logic/owner"
)

// Leaseholder is one app server's part in one share.
type Leaseholder struct {
	config       Config
	requester    *owner.Requester
	reserved     int
	reservedFrom float64 // when the reserved permits may be used: whatever an earlier incarnation began under them is over then
	running      int
	waiting      int
	criticality  float64 // of all that runs and waits
	tookSum      float64
	tookN        int
	area         float64 // of what runs and waits, over time, since the last request
	counted      float64 // up to when
	began        float64 // since when
	mean         float64 // of what ran and waited, of late
	most         int     // of it, since the last request
	asked        float64
	answered     bool
	due          float64
}

// requestEvery is how often a leaseholder makes a request while it wants something: demand is followed within some of them. requestSoon is
// how soon it may make the next one when it has no permit.
// requestIdle is how often one does that wants nothing: what stands ready with it may be needed elsewhere.
const requestEvery, requestSoon, requestIdle = 0.1, 0.02, 0.3

// NewLeaseholder begins with nothing running.
func NewLeaseholder(self owner.Incarnation, role string, t Config, now float64) *Leaseholder {
	return &Leaseholder{config: t, requester: owner.NewRequester(self, role, t.Lease), reserved: t.reservedFor(self.Name), reservedFrom: now + t.Lease.Expiry(), answered: true, due: now, counted: now, began: now}
}

// Allowed is how many may run now.
func (h *Leaseholder) Allowed(now float64) int {
	n, _ := h.requester.Holds(now)
	if now >= h.reservedFrom {
		n += h.reserved
	}
	return n
}

// CanStart reports whether one more may start.
func (h *Leaseholder) CanStart(now float64) bool { return h.running < h.Allowed(now) }

// AddWaiting takes in that an RPC of a criticality waits, or with -1 no longer does.
func (h *Leaseholder) AddWaiting(n int, criticality float64, now float64) {
	h.count(now)
	h.waiting += n
	h.criticality += float64(n) * criticality
	if n > 0 && !h.CanStart(now) { // it is missed: not at the next turn, at once
		h.due = min(h.due, max(now, h.asked+requestSoon))
	}
}

// count adds up what runs and waits until now.
func (h *Leaseholder) count(now float64) {
	h.area += float64(h.running+h.waiting) * (now - h.counted)
	h.most = max(h.most, h.running+h.waiting)
	h.counted = now
}

// Started takes in that one has started, of those that waited.
func (h *Leaseholder) Started(criticality, now float64) {
	h.count(now)
	h.running++
	h.criticality += criticality
}

// Finished takes in that one has ended, after so many seconds; 0 where it never ran.
func (h *Leaseholder) Finished(criticality, took, now float64) {
	h.count(now)
	h.running--
	if h.criticality -= criticality; h.running+h.waiting == 0 {
		h.criticality = 0 // what adding and taking away has left
	}
	if took > 0 {
		h.tookSum += took
		h.tookN++
	}
}

// wants is what it would have, beyond its reserved permits: what ran and waited on the mean, over about the last two tenths of a second.
// The most of that time would be more than it needs, and less is left for who needs it; but more than there has been since the
// last request is a crowd that has gone.
func (h *Leaseholder) wants(now float64) int {
	h.count(now)
	if span := now - h.began; span > 0 {
		h.mean += (h.area/span - h.mean) * (1 - math.Exp(-span/smooth))
	}
	want := min(int(math.Ceil(h.mean-wholeFrom)), h.most)
	h.area, h.began, h.most = 0, now, h.running+h.waiting
	return max(want-h.reserved, 0)
}

// smooth is over how many seconds what is wanted is smoothed: some runs' length. wholeFrom is the part of a permit that is not
// asked for: less than it makes others wait for longer than it serves.
const smooth, wholeFrom = 0.15, 0.2

// ObserveTerm takes in that there is an allocator under a term: one that is new gets a request at once. False if a later one is known.
func (h *Leaseholder) ObserveTerm(term uint64, now float64) bool {
	if term > h.requester.KnownTerm() {
		h.due, h.answered = now, true
	}
	return h.requester.ObserveTerm(term)
}

// uses is what runs beyond the reserved permits.
func (h *Leaseholder) uses(now float64) int {
	n := h.running
	if now >= h.reservedFrom {
		n -= h.reserved
	}
	return max(n, 0)
}

// Tick returns the request that is due, if one is. While one is on its way no other voids it, until it must be lost.
func (h *Leaseholder) Tick(now float64) (Request, bool) {
	if now < h.due || h.requester.KnownTerm() == 0 || !h.answered && now < h.asked+h.config.Lease.Length/4 {
		return Request{}, false
	}
	want := h.wants(now)
	h.due = now + requestEvery
	if h.waiting > 0 && !h.CanStart(now) {
		h.due = now + requestEvery/2
	}
	if want == 0 && h.running+h.waiting == 0 {
		h.due = now + requestIdle
	}
	h.asked, h.answered = now, false
	q := Request{Request: h.requester.Request(want, h.uses(now), now), Criticality: 1}
	if n := h.running + h.waiting; n > 0 {
		q.Criticality = h.criticality / float64(n)
	}
	if h.tookN > 0 {
		q.RunTime = h.tookSum / float64(h.tookN)
		h.tookSum, h.tookN = 0, 0
	}
	return q, true
}

// HandleAnswer takes an answer in. What it cuts is for others only once the allocator has heard that the answer came: so it makes another request.
func (h *Leaseholder) HandleAnswer(a owner.Answer, now float64) bool {
	before, _ := h.requester.Holds(now)
	ok := h.requester.HandleAnswer(a, now)
	if h.answered = h.answered || ok; ok && a.Grants < before {
		h.due = min(h.due, max(now, h.asked+requestSoon))
	}
	return ok
}

// LeaseStatus is the state of a leaseholder, for operators.
type LeaseStatus struct {
	Running, Waiting, Reserved, Granted int
	Left                                float64 // of the grant, in seconds
	Term                                uint64  // of the allocator that it knows, 0 for none
}

// Status returns it.
func (h *Leaseholder) Status(now float64) LeaseStatus {
	n, left := h.requester.Holds(now)
	return LeaseStatus{h.running, h.waiting, h.reserved, n, left, h.requester.KnownTerm()}
}
