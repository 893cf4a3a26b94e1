package pressure

import "math"

// growth looks for a leak: memory whose floor rises steadily. The lowest reading of each of a few stretches is kept, as
// memory that a collector gives back goes up and down.
type growth struct {
	floors [stretches]float64
	n      int
	began  float64
	low    float64
}

const (
	stretches = 12
	// steady is how much of the rise must be left when the steps are added without their sign: a load that comes and
	// goes rises and falls.
	steady = 0.7
	// lasting is the share of the rise that the later half must have: what warms up slows down.
	lasting = 0.35
	// slight growth, over the whole span, is none: 2% of the limit in two minutes is half a day's way, and what a
	// process takes while it warms up is more.
	slight = 0.02
)

// forecast gives how many times sooner than the configured forecast the limit is reached, 0 if nothing grows.
func (w *Monitor) forecast(now, memory float64) float64 {
	g := &w.growth
	if w.Forecast <= 0 || w.GrowthWindow <= 0 {
		return 0
	}
	if memory >= 0 {
		if g.low == 0 {
			g.low, g.began = memory, now
		}
		g.low = min(g.low, memory)
		if now-g.began >= w.GrowthWindow/stretches {
			copy(g.floors[:], g.floors[1:])
			g.floors[stretches-1] = g.low
			g.n = min(g.n+1, stretches)
			g.low, g.began = memory, now
		}
	}
	if g.n < stretches {
		return 0
	}
	seen := g.floors[:]
	rise, steps := seen[len(seen)-1]-seen[0], 0.0
	for k := 1; k < len(seen); k++ {
		steps += math.Abs(seen[k] - seen[k-1])
	}
	share := float64(len(seen)-1) / stretches
	late := seen[len(seen)-1] - seen[len(seen)/2]
	if rise < slight*share || rise < steady*steps || late < lasting*rise {
		return 0
	}
	left := (1 - seen[len(seen)-1]) / rise * share * w.GrowthWindow
	if left <= 0 {
		return math.MaxFloat64
	}
	return w.Forecast / left
}

// TimeToMemoryLimit is how many seconds are left until the memory limit if it goes on growing so, +Inf if it does not grow.
func (w *Monitor) TimeToMemoryLimit() float64 {
	if times := w.lastSeen[Leak]; times > 0 {
		return w.Forecast / times
	}
	return math.Inf(1)
}
