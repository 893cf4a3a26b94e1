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

// threadClock tells the processor time of one thread.
type threadClock struct{ path string }

// lockThread binds the calling goroutine to its thread, for the rest of its life, and gives that thread's clock.
func lockThread() threadClock {
	runtime.LockOSThread()
	return threadClock{fmt.Sprintf("/proc/self/task/%d/schedstat", syscall.Gettid())}
}

// spent is the thread's processor time so far, 0 if it cannot be read.
func (t threadClock) spent() time.Duration {
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
