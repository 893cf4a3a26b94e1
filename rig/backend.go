package rig

import (
	"sync"
	"time"
)

// Backend stands in for a service that all app servers call and that bears only so much at once. Kernels tell it of the runs of some
// methods. A killed app server's runs go on there until their work is done.
type Backend struct {
	methods map[string]bool

	mu              sync.Mutex
	limit           int // of runs at once
	running         int
	runningByServer map[string]int // of each app server
	maxExcess       int            // above the limit, at any moment
	startedRuns     int            // that have begun
	capacity        int            // above so many everything takes longer; 0 for none
	runSeconds      float64        // runs at once over time, since it was last asked
	measuredSince   time.Time
	updatedAt       time.Time
}

// NewBackend counts runs of some methods against a limit.
func NewBackend(limit int, methods ...string) *Backend {
	b := &Backend{limit: limit, methods: map[string]bool{}, runningByServer: map[string]int{}, measuredSince: time.Now(), updatedAt: time.Now()}
	for _, m := range methods {
		b.methods[m] = true
	}
	return b
}

// countsMethod tells whether runs of a method reach it.
func (b *Backend) countsMethod(method string) bool { return b != nil && b.methods[method] }

func (b *Backend) add(server string, change int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.accumulate()
	b.running += change
	b.runningByServer[server] += change
	b.startedRuns += max(change, 0)
	b.maxExcess = max(b.maxExcess, b.running-b.limit)
}

func (b *Backend) accumulate() {
	now := time.Now()
	b.runSeconds += float64(b.running) * now.Sub(b.updatedAt).Seconds()
	b.updatedAt = now
}

// SetLimit changes it, and begins to count anew what passes it.
func (b *Backend) SetLimit(limit int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit, b.maxExcess = limit, b.running-limit
}

// SetCapacity has everything take longer past so many runs at once, as many times as there are more.
func (b *Backend) SetCapacity(runs int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.capacity = runs
}

// slowdown is how many times as long everything takes now.
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

// MaxExcess is by how many runs the limit was passed at the most; 0 if never.
func (b *Backend) MaxExcess() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(b.maxExcess, 0)
}

// StartedRuns is how many have begun.
func (b *Backend) StartedRuns() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.startedRuns
}

// RunningCount is how many run, in all and of one app server.
func (b *Backend) RunningCount(server string) (total, ofServer int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running, b.runningByServer[server]
}

// MeanRunning is how many have run at once on the mean, since it was last asked.
func (b *Backend) MeanRunning() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.accumulate()
	used := b.runSeconds / max(b.updatedAt.Sub(b.measuredSince).Seconds(), 1e-9)
	b.runSeconds, b.measuredSince = 0, b.updatedAt
	return used
}
