package server

import "time"

// clock is the app server's time.
type clock struct {
	wall   func() float64 // the system's clock, in Unix seconds; it may be set at any time
	steady func() float64 // seconds since the start, whatever is done to the system's clock
}

func systemClock() clock {
	start := time.Now()
	return clock{
		wall:   func() float64 { return float64(time.Now().UnixNano()) / 1e9 },
		steady: func() float64 { return time.Since(start).Seconds() },
	}
}

// now is the time in Unix seconds.
func (c *clock) now() float64 { return c.wall() }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
