package share

import (
	"cmp"
	"math"
	"slices"

	"valveglade/logic/owner"
)

// Allocator divides the permits among the app servers under one term of the role.
type Allocator struct {
	*owner.Grantor
	config       Config
	limit        float64 // the current limit: adaptive, or as configured
	demands      map[owner.Incarnation]*demand
	allocatedAt  float64                   // when the allocation was last computed
	allocation   map[owner.Incarnation]int // permits by holder
	adjustedAt   float64                   // when the limit was last adjusted
	runTimeSum   float64                   // sum of the mean run times that app servers reported since then
	runTimeCount float64                   // number of these reports
	meanRunTime  float64                   // moving average of the run times, in seconds; 0 at first
	inUse        int                       // reported permits in use, at the last allocation
}

// demand is a holder's last request.
type demand struct {
	wants         int // permits that it wants
	uses          int // permits in use, which may be more than it holds
	criticality   float64
	lastRequestAt float64
	starvedSince  float64 // since when it wants permits and holds none; 0 if it holds some
}

// NewAllocator returns an allocator for a term that starts now, as the role is acquired.
func NewAllocator(role string, term uint64, config Config, now float64) *Allocator {
	a := &Allocator{config: config, limit: float64(config.Limit), demands: map[owner.Incarnation]*demand{},
		allocatedAt: math.Inf(-1), adjustedAt: now}
	if config.MinLimit > 0 {
		a.limit = float64(config.MinLimit)
	}
	a.Grantor = owner.NewGrantor(role, term, a.pool(), now, config.Lease)
	return a
}

// pool is the number of permits that can be granted: the limit without the reserved ones.
func (a *Allocator) pool() int { return int(a.limit) - a.config.totalReserved() }

// Limit is how many RPCs may run at once over the whole fleet.
func (a *Allocator) Limit() int { return int(a.limit) }

// UpdateLimits applies changed limits; permits already granted stay valid until they expire.
func (a *Allocator) UpdateLimits(config Config) {
	a.config.Limit, a.config.MinLimit, a.config.Target = config.Limit, config.MinLimit, config.Target
	if a.limit = min(a.limit, float64(config.Limit)); config.MinLimit == 0 {
		a.limit = float64(config.Limit)
	}
	a.SetTotal(a.pool())
}

// HandleRequest answers a request; it returns false if the request has to be ignored. The caller has to check
// the owner's lease after the request arrived, at the clock reading that it passes as now.
func (a *Allocator) HandleRequest(request Request, now float64) (owner.Answer, bool) {
	if !a.Grantor.HandleRequest(request.Request, now) {
		return owner.Answer{}, false
	}
	d := a.demands[request.From]
	if d == nil {
		d = &demand{}
		a.demands[request.From] = d
		a.allocatedAt = math.Inf(-1)
	}
	if criticality := min(max(request.Criticality, minCriticality), maxCriticality); d.criticality == 0 {
		d.criticality = criticality
	} else {
		d.criticality += (criticality - d.criticality) / 16 // smoothed, as a few RPCs predict little
	}
	d.wants, d.uses, d.lastRequestAt = request.Wants, request.Uses, now
	if request.RunTime > 0 {
		a.runTimeSum += request.RunTime
		a.runTimeCount++
	}
	a.adjustLimit(now)
	if now >= a.allocatedAt+allocateInterval {
		a.allocate(now)
	}
	permits := a.allocation[request.From]
	if permits >= 3 && request.Holds == permits+1 && d.wants > permits {
		permits++ // moving a single permit is not worth the time in which it is unused
	}
	answer := a.Grant(request.Request, permits, now)
	if answer.Grants > 0 || d.wants == 0 {
		d.starvedSince = 0
	} else if d.starvedSince == 0 {
		d.starvedSince = now
	}
	return answer, true
}

// allocateInterval is the shortest time between two computations of the allocation, in seconds: short against
// the interval of a holder's requests, and long enough that the requests of hundreds of holders share a
// computation.
const allocateInterval = 0.04

// The bounds of the criticality by which an app server is weighted, so that no weight is negligible.
const (
	minCriticality = 0.01
	maxCriticality = 1000
)

// demandExpiry is how long after its last request a holder counts, in seconds: some requests may be lost.
const demandExpiry = 1.5

// allocate computes a weighted fair allocation: equal shares by criticality, up to what each holder wants. If
// all demand is met, the surplus is spread evenly, so that the next RPC finds a permit at its app server.
func (a *Allocator) allocate(now float64) {
	a.allocatedAt = now
	var holders []owner.Incarnation
	wanted := 0
	a.inUse = 0
	for incarnation, d := range a.demands {
		if now > d.lastRequestAt+demandExpiry {
			delete(a.demands, incarnation)
			continue
		}
		holders = append(holders, incarnation)
		wanted += d.wants
		a.inUse += d.uses
	}
	slices.SortFunc(holders, func(x, y owner.Incarnation) int {
		return cmp.Or(cmp.Compare(x.Name, y.Name), cmp.Compare(x.ID, y.ID))
	})
	a.allocation = make(map[owner.Incarnation]int, len(holders))
	pool := max(a.pool(), 0)
	if wanted <= pool {
		for i, incarnation := range holders {
			surplus := pool - wanted
			extra := surplus / len(holders)
			if i < surplus%len(holders) {
				extra++
			}
			a.allocation[incarnation] = a.demands[incarnation].wants + extra
		}
		return
	}
	// Water filling: finds by bisection the level per unit of criticality up to which each demand is met.
	low, high := 0.0, float64(pool)+1
	for _, incarnation := range holders {
		high = max(high, (float64(pool)+1)/a.demands[incarnation].criticality)
	}
	filledTo := func(incarnation owner.Incarnation, level float64) int {
		return min(a.demands[incarnation].wants, int(level*a.demands[incarnation].criticality))
	}
	for range 60 {
		level, sum := (low+high)/2, 0
		for _, incarnation := range holders {
			sum += filledTo(incarnation, level)
		}
		if sum <= pool {
			low = level
		} else {
			high = level
		}
	}
	remaining := pool
	for _, incarnation := range holders {
		a.allocation[incarnation] = filledTo(incarnation, low)
		remaining -= a.allocation[incarnation]
	}
	// The remaining permits go to the holders with the largest fractional shares. A holder without permits
	// gains priority with time, so that all get their turn.
	priority := func(incarnation owner.Incarnation) float64 {
		d := a.demands[incarnation]
		score := low*d.criticality - math.Floor(low*d.criticality)
		if d.starvedSince > 0 {
			score += (now - d.starvedSince) / starvationTime
		} else if held := a.Held(incarnation); held > filledTo(incarnation, low) {
			score++ // it holds the permit already, and moving it leaves it unused for a while
		}
		return score
	}
	slices.SortStableFunc(holders, func(x, y owner.Incarnation) int {
		return cmp.Compare(priority(y),
			priority(x))
	})
	for _, incarnation := range holders {
		if remaining == 0 {
			break
		}
		if a.allocation[incarnation] < a.demands[incarnation].wants {
			a.allocation[incarnation]++
			remaining--
		}
	}
}

// starvationTime is after how many seconds without a permit a holder takes precedence over one that holds a
// permit more than its share.
const starvationTime = 0.5

// runTimeWeight is the weight of the latest run times in the moving average: run times vary by themselves,
// and the limit should not be cut for that.
const runTimeWeight = 0.3

// adjustInterval is the shortest time between two adjustments of an adaptive limit, in seconds: an adjustment
// has to show in the run times before the next one.
const adjustInterval = 0.25

// adjustLimit adapts the limit by the rule of the credit pool: it grows additively while it is used and runs
// stay within the target, and shrinks in proportion to the overshoot otherwise, by half at most.
func (a *Allocator) adjustLimit(now float64) {
	const alpha, beta = 0.02, 0.5
	if a.config.MinLimit == 0 || now < a.adjustedAt+max(adjustInterval, 2*a.config.Target) ||
		a.runTimeCount == 0 {
		return
	}
	if a.meanRunTime == 0 {
		a.meanRunTime = a.runTimeSum / a.runTimeCount
	}
	a.meanRunTime += (a.runTimeSum/a.runTimeCount - a.meanRunTime) * runTimeWeight
	meanRunTime := a.meanRunTime
	a.adjustedAt, a.runTimeSum, a.runTimeCount = now, 0, 0
	switch target := a.config.Target; {
	case meanRunTime > target:
		a.limit *= max(1-beta*(meanRunTime-target)/target, 0.5)
	case float64(a.inUse+a.config.totalReserved()) >= 0.8*math.Floor(a.limit):
		a.limit += max(alpha*a.limit, 1)
	}
	a.limit = min(max(a.limit, float64(a.config.MinLimit)), float64(a.config.Limit))
	a.SetTotal(a.pool())
}
