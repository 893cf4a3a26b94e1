package server

import (
	"math"
	"sync"
	"time"
)

// clock returns Unix seconds that never step: it reads the system clock once at the start and advances
// monotonically from there. arrival translates timestamps that routers took from the system clock.
type clock struct {
	// read returns the system clock in Unix seconds, which may be set at any time, and the monotonic seconds
	// since the start. Both come from one reading: a pause between two readings would look like a clock step.
	read   func() (wall, steady float64)
	origin float64 // system clock minus monotonic seconds, at the start

	mu      sync.Mutex
	offsets [maxOffsets]float64 // how far this clock was ahead of the system clock, latest first
}

const (
	// maxOffsets bounds the remembered settings of the system clock. RPCs stamped before the latest step may
	// still be unread. The last entry stays 0, for routers that never see the step.
	maxOffsets = 3
	// stepThreshold, in seconds, is the change of offset that counts as a step of the system clock. Slewing
	// changes the rate by less than 0.1 %.
	stepThreshold = 0.05
	// slewThreshold, in seconds, is the smallest change of offset that is taken over, so that RPCs with equal
	// timestamps get equal arrival times.
	slewThreshold = 0.001
	// futureTolerance, in seconds, is how far in the future an arrival may lie: timestamps are whole
	// milliseconds, and the clocks are read one after another.
	futureTolerance = 0.05
)

func systemClock() *clock {
	start := time.Now()
	return newClock(func() (wall, steady float64) {
		t := time.Now()
		return float64(t.UnixNano()) / 1e9, t.Sub(start).Seconds()
	})
}

func newClock(read func() (wall, steady float64)) *clock {
	wall, steady := read()
	return &clock{read: read, origin: wall - steady}
}

// now returns the time in Unix seconds. It never steps.
func (c *clock) now() float64 {
	_, steady := c.read()
	return c.origin + steady
}

// arrival returns the current time and, on the same clock, when an RPC arrived whose timestamp is in system
// time and whose client waits for ttl seconds from then. The timestamp is translated by the current offset.
// If the result lies in the future or the ttl has passed, the first earlier offset that gives a plausible
// time is used instead.
func (c *clock) arrival(timestamp, ttl float64) (now, arrivedAt float64) {
	wall, steady := c.read()
	now = c.origin + steady
	offsets := c.observe(now - wall)
	for _, offset := range offsets {
		if arrivedAt = timestamp + offset; arrivedAt <= now+futureTolerance && now-arrivedAt <= ttl {
			return now, arrivedAt
		}
	}
	return now, timestamp + offsets[0]
}

// observe records how far this clock is ahead of the system clock and returns the known offsets.
func (c *clock) observe(offset float64) [maxOffsets]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	change := math.Abs(offset - c.offsets[0])
	if change > stepThreshold {
		copy(c.offsets[1:maxOffsets-1], c.offsets[:]) // the last entry stays 0
	}
	if change > slewThreshold {
		c.offsets[0] = offset
	}
	return c.offsets
}

// maxDuration is a century: two of them still fit into a time.Duration.
const maxDuration = 100 * 365 * 24 * time.Hour

// seconds converts seconds to a Duration. Negative values and NaN become 0; the result is at most
// maxDuration.
func seconds(s float64) time.Duration {
	switch {
	case !(s > 0):
		return 0
	case s >= maxDuration.Seconds():
		return maxDuration
	}
	return time.Duration(s * float64(time.Second))
}
