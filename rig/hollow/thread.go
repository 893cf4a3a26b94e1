package hollow

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// threadClock reads the CPU time of one thread.
type threadClock struct{ path string }

// lockThread locks the calling goroutine to its thread until the caller unlocks it, and returns the clock of that thread.
func lockThread() threadClock {
	runtime.LockOSThread()
	return threadClock{fmt.Sprintf("/proc/self/task/%d/schedstat", syscall.Gettid())}
}

// cpuTime returns the CPU time that the thread has used so far, 0 if it cannot be read.
func (t threadClock) cpuTime() time.Duration {
	text, err := os.ReadFile(t.path)
	if err != nil {
		return 0
	}
	words := strings.Fields(string(text))
	if len(words) == 0 {
		return 0
	}
	nanoseconds, err := strconv.ParseInt(words[0], 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(nanoseconds)
}
