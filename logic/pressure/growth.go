package pressure

import "math"

// growthTracker detects a memory leak: memory whose minimum rises steadily. It keeps the lowest reading of
// each of the last segments of the window, as memory under a garbage collector goes up and down.
type growthTracker struct {
	floors       [segments]float64 // lowest reading of each segment, oldest first
	filled       int               // number of segments recorded so far
	segmentStart float64
	lowest       float64 // lowest reading of the current segment
}

const (
	segments = 12
	// minMonotonicShare is the least ratio of the total rise to the sum of the absolute changes between
	// segments. A load that comes and goes both rises and falls, and stays below it.
	minMonotonicShare = 0.7
	// minLateShare is the least share of the rise that the later half must have. Growth during a warm-up
	// slows down, and stays below it.
	minLateShare = 0.35
	// minGrowth is the least rise over the whole window that counts. 2% of the limit in two minutes, the
	// default window, takes more than an hour and a half to reach the limit, and a process that warms up
	// grows by more.
	minGrowth = 0.02
)

// leakFactor returns the configured forecast divided by the time left to the memory limit, or 0 without
// steady growth.
func (m *Monitor) leakFactor(now, memory float64) float64 {
	g := &m.growth
	if m.Forecast <= 0 || m.GrowthWindow <= 0 {
		return 0
	}
	if memory >= 0 {
		if g.lowest == 0 {
			g.lowest, g.segmentStart = memory, now
		}
		g.lowest = min(g.lowest, memory)
		if now-g.segmentStart >= m.GrowthWindow/segments {
			copy(g.floors[:], g.floors[1:])
			g.floors[segments-1] = g.lowest
			g.filled = min(g.filled+1, segments)
			g.lowest, g.segmentStart = memory, now
		}
	}
	if g.filled < segments {
		return 0
	}
	floors := g.floors[:]
	rise, variation := floors[len(floors)-1]-floors[0], 0.0
	for k := 1; k < len(floors); k++ {
		variation += math.Abs(floors[k] - floors[k-1])
	}
	share := float64(len(floors)-1) / segments
	lateRise := floors[len(floors)-1] - floors[len(floors)/2]
	if rise < minGrowth*share || rise < minMonotonicShare*variation || lateRise < minLateShare*rise {
		return 0
	}
	secondsLeft := (1 - floors[len(floors)-1]) / rise * share * m.GrowthWindow
	if secondsLeft <= 0 {
		return math.MaxFloat64
	}
	return m.Forecast / secondsLeft
}

// TimeToMemoryLimit returns the seconds left until memory reaches its limit if it keeps growing, or +Inf if
// it does not grow.
func (m *Monitor) TimeToMemoryLimit() float64 {
	if factor := m.current[Leak]; factor > 0 {
		return m.Forecast / factor
	}
	return math.Inf(1)
}
