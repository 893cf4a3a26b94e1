// Package share decides who may run how much of what the whole fleet may only run so much of at once: something behind all app
// servers that bears no more. A Leaseholder is one app server's part: it requests permits, and starts nothing without a permit. An Allocator is the
// part of the role's owner: it shares out what it may grant, weighted by criticality, and lets no one starve. What is granted
// is counted by owner.Requester and owner.Grantor, so that the sum holds through every change of the allocator. Nothing here does I/O,
// reads a clock or knows an address; fleet/ drives it.
package share

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"valveglade/logic/owner"
)

// Config is what an installation sets of one share, the same at all app servers.
type Config struct {
	Name            string
	Limit           int     // RPCs at once over the whole fleet; the most, where it is found
	MinLimit        int     // the lowest limit, where it is found; 0 where the limit is set
	Target          float64 // where it is found: how long a run takes while what is behind is well, in seconds
	Methods         []int
	Reserved        int      // permits that each of some app servers has without asking
	ReservedMembers []string // their names
	Lease           owner.Lease
}

// Check tells what is wrong with them.
func (t Config) Check() error {
	least := t.Limit
	if t.MinLimit > 0 {
		least = t.MinLimit
	}
	switch {
	case t.Limit < 1 || t.MinLimit < 0 || t.MinLimit > t.Limit:
		return fmt.Errorf("a limit of %d, at least %d, is none", t.Limit, t.MinLimit)
	case t.Reserved*len(t.ReservedMembers) > least:
		return fmt.Errorf("%d members with %d reserved are more than the %d that there are", len(t.ReservedMembers), t.Reserved, least)
	}
	return nil
}

// totalReserved is the number of permits that are reserved, whoever is there.
func (t Config) totalReserved() int { return t.Reserved * len(t.ReservedMembers) }

// reservedFor is the number of permits that one app server has without a request.
func (t Config) reservedFor(name string) int {
	if slices.Contains(t.ReservedMembers, name) {
		return t.Reserved
	}
	return 0
}

// Request is a leaseholder's request, with what it reports of itself.
type Request struct {
	owner.Request
	Criticality float64 // criticality of one of what runs and waits, on the mean
	RunTime     float64 // seconds that runs took, on the mean, since the last request; 0 for none
}

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

// Wait takes in that an RPC of a criticality waits, or with -1 no longer does.
func (h *Leaseholder) Wait(n int, criticality float64, now float64) {
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

// Allocator shares out permits under one term.
type Allocator struct {
	*owner.Grantor
	config      Config
	limit       float64 // as found, or as set
	demands     map[owner.Incarnation]*demand
	allocatedAt float64 // when the allocation was last computed
	allocation  map[owner.Incarnation]int
	adjustedAt  float64 // when the limit was last moved
	sum, n      float64 // of what runs took since then, by how many app servers told
	took        float64 // of late
	used        int
}

// demand is what a holder last asked for.
type demand struct {
	wants, uses int
	criticality float64
	heard       float64
	dry         float64 // since when it wants and has none, 0 if it has
}

// NewAllocator begins as the role is acquired.
func NewAllocator(role string, term uint64, t Config, now float64) *Allocator {
	k := &Allocator{config: t, limit: float64(t.Limit), demands: map[owner.Incarnation]*demand{}, allocatedAt: math.Inf(-1), adjustedAt: now}
	if t.MinLimit > 0 {
		k.limit = float64(t.MinLimit)
	}
	k.Grantor = owner.NewGrantor(role, term, k.pool(), now, t.Lease)
	return k
}

// pool is the number of permits that there are to grant.
func (k *Allocator) pool() int { return int(k.limit) - k.config.totalReserved() }

// Limit is how many may run at once over the whole fleet, as set or found.
func (k *Allocator) Limit() int { return int(k.limit) }

// UpdateLimits takes over another limit; what is granted stays granted until it is over.
func (k *Allocator) UpdateLimits(t Config) {
	k.config.Limit, k.config.MinLimit, k.config.Target = t.Limit, t.MinLimit, t.Target
	if k.limit = min(k.limit, float64(t.Limit)); t.MinLimit == 0 {
		k.limit = float64(t.Limit)
	}
	k.SetTotal(k.pool())
}

// HandleRequest answers a request, if it is to be answered. The owner's lease has to be checked after the request came, at the same
// reading of the clock.
func (k *Allocator) HandleRequest(q Request, now float64) (owner.Answer, bool) {
	if !k.Grantor.HandleRequest(q.Request, now) {
		return owner.Answer{}, false
	}
	d := k.demands[q.From]
	if d == nil {
		d = &demand{}
		k.demands[q.From] = d
		k.allocatedAt = math.Inf(-1)
	}
	if criticality := min(max(q.Criticality, minCriticality), maxCriticality); d.criticality == 0 {
		d.criticality = criticality
	} else {
		d.criticality += (criticality - d.criticality) / 16 // a few RPCs say little of what comes
	}
	d.wants, d.uses, d.heard = q.Wants, q.Uses, now
	if q.RunTime > 0 {
		k.sum += q.RunTime
		k.n++
	}
	k.adjustLimit(now)
	if now >= k.allocatedAt+allocateEvery {
		k.allocate(now)
	}
	n := k.allocation[q.From]
	if n >= 3 && q.Holds == n+1 && d.wants > n {
		n++ // one more or less is not worth a move, in which it serves nobody
	}
	a := k.Grant(q.Request, n, now)
	if a.Grants > 0 || d.wants == 0 {
		d.dry = 0
	} else if d.dry == 0 {
		d.dry = now
	}
	return a, true
}

// allocateEvery is how often it is computed anew who is to have what: often for who asks, seldom for hundreds.
const allocateEvery = 0.04

// What one app server's criticality counts at the least and at the most of another's, so that none is as good as nothing.
const minCriticality, maxCriticality = 0.01, 1000

// demandExpiry is for how long after its last request a holder counts: some requests may be lost.
const demandExpiry = 1.5

// allocate computes a fair allocation: everybody the same, by criticality, but for what it does not want; what is left over then
// stands ready with all alike, where the next RPC needs it.
func (k *Allocator) allocate(now float64) {
	k.allocatedAt = now
	var all []owner.Incarnation
	wanted := 0
	k.used = 0
	for incarnation, d := range k.demands {
		if now > d.heard+demandExpiry {
			delete(k.demands, incarnation)
			continue
		}
		all = append(all, incarnation)
		wanted += d.wants
		k.used += d.uses
	}
	slices.SortFunc(all, func(a, b owner.Incarnation) int { return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.ID, b.ID)) })
	k.allocation = make(map[owner.Incarnation]int, len(all))
	pool := max(k.pool(), 0)
	if wanted <= pool {
		for n, incarnation := range all {
			rest := pool - wanted
			head := rest / len(all)
			if n < rest%len(all) {
				head++
			}
			k.allocation[incarnation] = k.demands[incarnation].wants + head
		}
		return
	}
	// The level up to which each is filled, for one of its criticality: found by halving.
	low, high := 0.0, float64(pool)+1
	for _, incarnation := range all {
		high = max(high, (float64(pool)+1)/k.demands[incarnation].criticality)
	}
	at := func(incarnation owner.Incarnation, level float64) int {
		return min(k.demands[incarnation].wants, int(level*k.demands[incarnation].criticality))
	}
	for range 60 {
		level, sum := (low+high)/2, 0
		for _, incarnation := range all {
			sum += at(incarnation, level)
		}
		if sum <= pool {
			low = level
		} else {
			high = level
		}
	}
	left := pool
	for _, incarnation := range all {
		k.allocation[incarnation] = at(incarnation, low)
		left -= k.allocation[incarnation]
	}
	// Parts of a permit go to whom they are nearest to a whole one, and in turn: who has none gains on the others with time.
	due := func(incarnation owner.Incarnation) float64 {
		d := k.demands[incarnation]
		part := low*d.criticality - math.Floor(low*d.criticality)
		if d.dry > 0 {
			part += (now - d.dry) / starvationTime
		} else if held := k.Held(incarnation); held > at(incarnation, low) {
			part++ // it has one: moving it, nobody uses it for a while
		}
		return part
	}
	slices.SortStableFunc(all, func(a, b owner.Incarnation) int { return cmp.Compare(due(b), due(a)) })
	for _, incarnation := range all {
		if left == 0 {
			break
		}
		if k.allocation[incarnation] < k.demands[incarnation].wants {
			k.allocation[incarnation]++
			left--
		}
	}
}

// starvationTime is after how long somebody who has none comes before one that has a permit more than its part.
const starvationTime = 0.5

// durationWeight is what the last runs weigh against those before: the length of runs differs by itself, and a cut for that is for nothing.
const durationWeight = 0.3

// adjustEvery is how often the limit is moved, where it is found: a change is to show in what runs take before the next.
const adjustEvery = 0.25

// adjustLimit moves the limit by the rule of the pool: it grows by adding while it is used and runs take no longer than they should,
// and is cut by how far they overshoot, at most by half.
func (k *Allocator) adjustLimit(now float64) {
	const alpha, beta = 0.02, 0.5
	if k.config.MinLimit == 0 || now < k.adjustedAt+max(adjustEvery, 2*k.config.Target) || k.n == 0 {
		return
	}
	if k.took == 0 {
		k.took = k.sum / k.n
	}
	k.took += (k.sum/k.n - k.took) * durationWeight
	took := k.took
	k.adjustedAt, k.sum, k.n = now, 0, 0
	switch t := k.config.Target; {
	case took > t:
		k.limit *= max(1-beta*(took-t)/t, 0.5)
	case float64(k.used+k.config.totalReserved()) >= 0.8*math.Floor(k.limit):
		k.limit += max(alpha*k.limit, 1)
	}
	k.limit = min(max(k.limit, float64(k.config.MinLimit)), float64(k.config.Limit))
	k.SetTotal(k.pool())
}
