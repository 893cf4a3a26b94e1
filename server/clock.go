package server

import "time"

// clock is the app server's time.
type clock struct {
	read func() time.Time // the system's, unless a test has another
}

func systemClock() clock { return clock{read: time.Now} }

// now is the time in Unix seconds.
func (c *clock) now() float64 { return float64(c.read().UnixNano()) / 1e9 }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
