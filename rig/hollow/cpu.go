// Package hollow measures parts of the program at sizes that whole processes do not reach: the view's machine alone, members
// amid a stand-in for the rest of the fleet, and elected roles and quotas between in-memory queues.
package hollow

import (
	"runtime"
	"syscall"
	"time"
)

// ProcessCPUTime is the processor time that this process has taken, on all its threads.
func ProcessCPUTime() time.Duration {
	var usage syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// HeapBytes is what is reachable on the heap, after a collection.
func HeapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
