package rig

import (
	"sync"
	"time"
)

// Backend stands in for a service that all app servers call and that bears only so much at once. Kernels tell it of the runs of some
// methods. A killed app server's runs go on there until their work is done.
type Backend struct {
	methods map[string]bool

	mu    sync.Mutex
	limit int // of runs at once
	now   int
	by    map[string]int // of each app server
	most  int            // above the limit, at any moment
	runs  int            // that have begun
	bears int            // above so many everything takes longer; 0 for none
	area  float64        // runs at once over time, since it was last asked
	from  time.Time
	last  time.Time
}

// NewBackend counts runs of some methods against a limit.
func NewBackend(limit int, methods ...string) *Backend {
	b := &Backend{limit: limit, methods: map[string]bool{}, by: map[string]int{}, from: time.Now(), last: time.Now()}
	for _, m := range methods {
		b.methods[m] = true
	}
	return b
}

// counts tells whether runs of a method reach it.
func (b *Backend) counts(method string) bool { return b != nil && b.methods[method] }

func (b *Backend) add(server string, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pass()
	b.now += n
	b.by[server] += n
	b.runs += max(n, 0)
	b.most = max(b.most, b.now-b.limit)
}

func (b *Backend) pass() {
	now := time.Now()
	b.area += float64(b.now) * now.Sub(b.last).Seconds()
	b.last = now
}

// SetLimit changes it, and begins to count anew what passes it.
func (b *Backend) SetLimit(limit int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit, b.most = limit, b.now-limit
}

// SetCapacity has everything take longer past so many runs at once, as many times as there are more.
func (b *Backend) SetCapacity(runs int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bears = runs
}

// slower is how many times as long everything takes now.
func (b *Backend) slower() float64 {
	if b == nil {
		return 1
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bears == 0 {
		return 1
	}
	return max(1, float64(b.now)/float64(b.bears))
}

// MaxExcess is by how many runs the limit was passed at the most; 0 if never.
func (b *Backend) MaxExcess() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(b.most, 0)
}

// StartedRuns is how many have begun.
func (b *Backend) StartedRuns() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs
}

// RunningCount is how many run, in all and of one app server.
func (b *Backend) RunningCount(server string) (all, one int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.now, b.by[server]
}

// MeanRunning is how many have run at once on the mean, since it was last asked.
func (b *Backend) MeanRunning() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pass()
	used := b.area / max(b.last.Sub(b.from).Seconds(), 1e-9)
	b.area, b.from = 0, b.last
	return used
}
