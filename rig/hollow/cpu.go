// Package hollow measures parts of the program at scales that are too large for separate processes: the view's state machine
// alone, real members among simulated ones, elected roles and quotas over in-memory queues, and many subscribers to the
// configuration in one process.
package hollow

import (
	"runtime"
	"syscall"
	"time"
)

// ProcessCPUTime returns the user and system CPU time that all threads of this process have used.
func ProcessCPUTime() time.Duration {
	var usage syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// HeapBytes returns the size in bytes of the allocated heap objects after a garbage collection.
func HeapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
