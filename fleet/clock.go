package fleet

import (
	"time"

	"golang.org/x/sys/unix"
)

var epoch = time.Now()

// clock is a monotonic clock in seconds that goes on while the machine is suspended: the usual one stands still then, and an
// owner that slept through its lease would believe in it.
func clock() float64 {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		return time.Since(epoch).Seconds()
	}
	return float64(at.Sec) + float64(at.Nsec)/1e9
}
