package share

import (
	"cmp"
	"math"
	"slices"

	"valveglade/logic/owner"
)

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
