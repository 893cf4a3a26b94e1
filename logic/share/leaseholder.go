package share

import (
	"math"

	"valveglade/logic/owner"
)

// Leaseholder is one app server's part in one share.
type Leaseholder struct {
	config    Config
	requester *owner.Requester
	reserved  int
	// when the reserved permits may be used: all runs that an earlier incarnation started with them have ended
	reservedFrom   float64
	running        int
	waiting        int
	criticality    float64 // sum over the running and waiting RPCs
	runTimeSum     float64 // of the runs that ended since the last request, in seconds
	runTimeCount   int     // number of these runs
	demandIntegral float64 // running and waiting RPCs, integrated over the time since the last request
	countedAt      float64 // the time up to which demandIntegral is summed
	intervalStart  float64 // the time of the last request, from which demandIntegral is summed
	meanDemand     float64 // moving average of the running and waiting RPCs
	peakDemand     int     // the most RPCs running and waiting since the last request
	requestedAt    float64
	answered       bool // no request is waiting for its answer
	nextRequestAt  float64
}

// How often a leaseholder sends requests, in seconds.
const (
	requestInterval     = 0.1  // while it wants permits: demand is followed within a few requests
	minRequestInterval  = 0.02 // the shortest, when an RPC waits for a permit
	idleRequestInterval = 0.3  // while it wants none: its surplus permits may be needed elsewhere
)

// NewLeaseholder returns a leaseholder with no runs and no grant.
func NewLeaseholder(self owner.Incarnation, role string, config Config, now float64) *Leaseholder {
	return &Leaseholder{config: config, requester: owner.NewRequester(self, role, config.Lease),
		reserved: config.reservedFor(self.Name), reservedFrom: now + config.Lease.Expiry(), answered: true,
		nextRequestAt: now, countedAt: now, intervalStart: now}
}

// Allowed returns how many RPCs may run now.
func (h *Leaseholder) Allowed(now float64) int {
	n, _ := h.requester.Holds(now)
	if now >= h.reservedFrom {
		n += h.reserved
	}
	return n
}

// CanStart reports whether one more RPC may start.
func (h *Leaseholder) CanStart(now float64) bool { return h.running < h.Allowed(now) }

// AddWaiting records that n more RPCs of a criticality wait; n is -1 for one that no longer does.
func (h *Leaseholder) AddWaiting(n int, criticality float64, now float64) {
	h.count(now)
	h.waiting += n
	h.criticality += float64(n) * criticality
	if n > 0 && !h.CanStart(now) { // a permit is missing: requests one before the next regular request
		h.nextRequestAt = min(h.nextRequestAt, max(now, h.requestedAt+minRequestInterval))
	}
}

// count updates the demand statistics up to now. It has to be called before running or waiting change.
func (h *Leaseholder) count(now float64) {
	h.demandIntegral += float64(h.running+h.waiting) * (now - h.countedAt)
	h.peakDemand = max(h.peakDemand, h.running+h.waiting)
	h.countedAt = now
}

// Started records that a run has started.
func (h *Leaseholder) Started(criticality, now float64) {
	h.count(now)
	h.running++
	h.criticality += criticality
}

// Finished records that a run has ended after runTime seconds; runTime is 0 if it never ran.
func (h *Leaseholder) Finished(criticality, runTime, now float64) {
	h.count(now)
	h.running--
	if h.criticality -= criticality; h.running+h.waiting == 0 {
		h.criticality = 0 // discards accumulated rounding errors
	}
	if runTime > 0 {
		h.runTimeSum += runTime
		h.runTimeCount++
	}
}

// wants returns how many permits it wants beyond the reserved ones: the moving average of the running and
// waiting RPCs. Their peak would be more than is needed, at the cost of other holders. The result is capped
// by the peak since the last request, so that a burst that has ended is not counted.
func (h *Leaseholder) wants(now float64) int {
	h.count(now)
	if interval := now - h.intervalStart; interval > 0 {
		h.meanDemand += (h.demandIntegral/interval - h.meanDemand) * (1 - math.Exp(-interval/demandTimeConstant))
	}
	demand := min(int(math.Ceil(h.meanDemand-ignoredFraction)), h.peakDemand)
	h.demandIntegral, h.intervalStart, h.peakDemand = 0, now, h.running+h.waiting
	return max(demand-h.reserved, 0)
}

// How demand is smoothed.
const (
	demandTimeConstant = 0.15 // of the moving average, in seconds: about the length of some runs
	ignoredFraction    = 0.2  // of a permit, not requested: others would wait for it longer than it is used
)

// ObserveTerm records that an allocator has the role under a term; a new allocator gets a request at once. It
// returns false if a later term is known.
func (h *Leaseholder) ObserveTerm(term uint64, now float64) bool {
	if term > h.requester.KnownTerm() {
		h.nextRequestAt, h.answered = now, true
	}
	return h.requester.ObserveTerm(term)
}

// uses returns how many RPCs run beyond the reserved permits.
func (h *Leaseholder) uses(now float64) int {
	n := h.running
	if now >= h.reservedFrom {
		n -= h.reserved
	}
	return max(n, 0)
}

// Tick returns a request if one is due. A new request would void one whose answer is pending, so none is sent
// until that answer arrives or a quarter of the lease has passed, after which it counts as lost.
func (h *Leaseholder) Tick(now float64) (Request, bool) {
	if now < h.nextRequestAt || h.requester.KnownTerm() == 0 ||
		!h.answered && now < h.requestedAt+h.config.Lease.Length/4 {
		return Request{}, false
	}
	demand := h.wants(now)
	h.nextRequestAt = now + requestInterval
	if h.waiting > 0 && !h.CanStart(now) {
		h.nextRequestAt = now + requestInterval/2
	}
	if demand == 0 && h.running+h.waiting == 0 {
		h.nextRequestAt = now + idleRequestInterval
	}
	h.requestedAt, h.answered = now, false
	request := Request{Request: h.requester.Request(demand, h.uses(now), now), Criticality: 1}
	if n := h.running + h.waiting; n > 0 {
		request.Criticality = h.criticality / float64(n)
	}
	if h.runTimeCount > 0 {
		request.RunTime = h.runTimeSum / float64(h.runTimeCount)
		h.runTimeSum, h.runTimeCount = 0, 0
	}
	return request, true
}

// HandleAnswer handles an answer, and reports whether it was accepted. If the answer reduces the grant,
// another request follows soon: the allocator can grant the returned permits to others only once a request
// reports the reduction.
func (h *Leaseholder) HandleAnswer(answer owner.Answer, now float64) bool {
	before, _ := h.requester.Holds(now)
	accepted := h.requester.HandleAnswer(answer, now)
	if h.answered = h.answered || accepted; accepted && answer.Grants < before {
		h.nextRequestAt = min(h.nextRequestAt, max(now, h.requestedAt+minRequestInterval))
	}
	return accepted
}

// LeaseStatus is the state of a leaseholder as shown to operators.
type LeaseStatus struct {
	Running  int     // RPCs
	Waiting  int     // RPCs
	Reserved int     // permits
	Granted  int     // permits
	Left     float64 // of the grant, in seconds
	Term     uint64  // the highest known term of the role; 0 if none is known
}

// Status returns the state of the leaseholder.
func (h *Leaseholder) Status(now float64) LeaseStatus {
	n, left := h.requester.Holds(now)
	return LeaseStatus{h.running, h.waiting, h.reserved, n, left, h.requester.KnownTerm()}
}
