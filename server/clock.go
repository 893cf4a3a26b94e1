package server

import (
	"math"
	"sync"
	"time"
)

// clock is the app server's time: Unix seconds as of its start, which then go on steadily whatever is done to the system's clock.
// What others have marked with the system's time is translated to it, see arrival.
type clock struct {
	// read gives the system's clock in Unix seconds, which may be set at any time, and the seconds since the start, whatever is done to
	// that clock. It reads both at once: a pause between them would look as if the clock had been set.
	read   func() (wall, steady float64)
	origin float64 // the system's clock at the start

	mu      sync.Mutex
	offsets [maxOffsets]float64 // how far this clock was ahead of the system's, the present lead first
}

const (
	// maxOffsets is how many settings of the system's clock are told apart. RPCs marked before the last one are still to be read; the
	// first lead, which is none, stands for routers that do not see the system's clock being set at all.
	maxOffsets = 3
	// stepThreshold is by how much the system's clock has to be off for it to have been set: a clock that is steered gains or loses less
	// than a thousandth.
	stepThreshold = 0.05
	// slewThreshold is by how much a clock that is slewThreshold may be off before that counts: RPCs marked alike are to come alike.
	slewThreshold = 0.001
	// futureTolerance is how far ahead of the clock an RPC may have come: marks are whole milliseconds, and clocks are read one after another.
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

// now is the time in Unix seconds. It never steps.
func (c *clock) now() float64 {
	_, steady := c.read()
	return c.origin + steady
}

// arrival gives the time and, on the same clock, when an RPC came that is marked with the system's time and is waited for ttl seconds
// from then. The mark counts by the system's clock as it is set now. Where that makes no sense, as the RPC would come from the future
// or be past its end, it counts by one of the earlier settings if by that it makes sense.
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

// observe takes note of how far this clock is ahead of the system's.
func (c *clock) observe(offset float64) [maxOffsets]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	change := math.Abs(offset - c.offsets[0])
	if change > stepThreshold {
		copy(c.offsets[1:maxOffsets-1], c.offsets[:]) // the last one stays: none
	}
	if change > slewThreshold {
		c.offsets[0] = offset
	}
	return c.offsets
}

// maxDuration is as long as anything is waited for: a century, which is half of what can be added to a time.
const maxDuration = 100 * 365 * 24 * time.Hour

// seconds converts a number of seconds of any size: below 0 and what is no number are 0, and nothing is longer than longest.
func seconds(s float64) time.Duration {
	switch {
	case !(s > 0):
		return 0
	case s >= maxDuration.Seconds():
		return maxDuration
	}
	return time.Duration(s * float64(time.Second))
}
