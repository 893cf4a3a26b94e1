package fleet

import (
	"time"

	"golang.org/x/sys/unix"
)

// epoch is when this process started, and the origin of clock where the kernel lacks CLOCK_BOOTTIME.
var epoch = time.Now()

// clock returns a monotonic clock in seconds that keeps running while the machine is suspended. Go's
// monotonic clock stops during a suspend, so an owner that was suspended past the end of its lease would still
// consider it valid.
func clock() float64 {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(epoch).Seconds()
	}
	return float64(ts.Sec) + float64(ts.Nsec)/1e9
}
