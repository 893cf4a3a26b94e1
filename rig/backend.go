package rig

import (
	"sync"
	"time"
)

// Backend simulates a service with limited concurrency that all app servers call. Kernels report to it the runs of the methods
// that reach it. The runs of a killed app server continue at the backend until their work is done. It is safe for concurrent use.
type Backend struct {
	methods map[string]bool

	mu              sync.Mutex
	limit           int // maximum of concurrent runs
	running         int
	runningByServer map[string]int // by the name of the app server
	maxExcess       int            // largest number of runs above the limit
	startedRuns     int            // runs started so far
	capacity        int            // concurrent runs above which all runs slow down; 0 for unlimited
	runSeconds      float64        // integral of running over time since measuredSince, up to updatedAt
	measuredSince   time.Time
	updatedAt       time.Time
}

// NewBackend returns a backend that counts the runs of the given methods against a limit of concurrent runs.
func NewBackend(limit int, methods ...string) *Backend {
	b := &Backend{limit: limit, methods: map[string]bool{}, runningByServer: map[string]int{},
		measuredSince: time.Now(), updatedAt: time.Now()}
	for _, m := range methods {
		b.methods[m] = true
	}
	return b
}

// countsMethod reports whether runs of a method reach the backend; false for a nil backend.
func (b *Backend) countsMethod(method string) bool { return b != nil && b.methods[method] }

// add changes the number of concurrent runs of an app server; an increase also counts as started runs.
func (b *Backend) add(server string, change int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.accumulate()
	b.running += change
	b.runningByServer[server] += change
	b.startedRuns += max(change, 0)
	b.maxExcess = max(b.maxExcess, b.running-b.limit)
}

// accumulate brings runSeconds up to date. The caller holds b.mu.
func (b *Backend) accumulate() {
	now := time.Now()
	b.runSeconds += float64(b.running) * now.Sub(b.updatedAt).Seconds()
	b.updatedAt = now
}

// SetLimit changes the limit of concurrent runs; MaxExcess then counts from this moment.
func (b *Backend) SetLimit(limit int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit, b.maxExcess = limit, b.running-limit
}

// SetCapacity sets the number of concurrent runs above which all runs slow down, by the ratio of the concurrent runs to it; 0
// means that they never slow down.
func (b *Backend) SetCapacity(runs int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.capacity = runs
}

// slowdown returns the factor by which runs take longer now; 1 for a nil backend.
func (b *Backend) slowdown() float64 {
	if b == nil {
		return 1
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.capacity == 0 {
		return 1
	}
	return max(1, float64(b.running)/float64(b.capacity))
}

// MaxExcess returns the largest number of runs above the limit since SetLimit was last called or, if never, since the backend was
// created; 0 if the limit was never exceeded.
func (b *Backend) MaxExcess() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(b.maxExcess, 0)
}

// StartedRuns returns the number of runs started so far.
func (b *Backend) StartedRuns() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.startedRuns
}

// RunningCount returns the numbers of concurrent runs of all app servers and of the given one.
func (b *Backend) RunningCount(server string) (total, ofServer int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running, b.runningByServer[server]
}

// MeanRunning returns the mean number of concurrent runs since the previous call, or since the backend was created.
func (b *Backend) MeanRunning() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.accumulate()
	mean := b.runSeconds / max(b.updatedAt.Sub(b.measuredSince).Seconds(), 1e-9)
	b.runSeconds, b.measuredSince = 0, b.updatedAt
	return mean
}
