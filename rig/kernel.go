package rig

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Kernel stands in for the process that owns the cores: it takes commands on its link and carries out runs, each of
// which lasts as long as its work says, longer while more run than there are cores.
type Kernel struct {
	config  KernelConfig
	address string
	server  string // whose kernel it is, for the checker
	check   *Checker

	faults atomic.Pointer[LinkFaults]

	mu       sync.Mutex
	listener net.Listener
	link     *kernelLink   // nil while there is none
	accepted uint64        // connections so far
	linkedAt time.Time     // when BOOTED was last said
	withheld chan struct{} // closed when links may be answered again; nil while they are
	cutNext  bool          // the next notice breaks the link in its middle
	notices  []string      // numbered from 1
	chance   *rand.Rand    // of notices

	runs    map[string]*run
	slow    float64 // how much longer everything takes
	hung    bool
	looked  time.Time
	timer   *time.Timer
	closed  bool
	began   time.Time
	cold    bool // it has been restarted, and there is a cold start
	usage   coreUsage
	crowded bool // so many runs that it broke the rule, which is said once

	fullSince time.Time // when more memory began to be booked than there is, the zero time if there is enough
	overran   bool      // that broke the rule, which is said once
}

// NewKernel listens on a free port. It stops runs on PREEMPT and has no gauges.
func NewKernel(server string, cores int, check *Checker) (*Kernel, error) {
	return NewConfiguredKernel(server, plainKernel(cores), check)
}

// NewConfiguredKernel listens on a free port, for a deployment's settings.
func NewConfiguredKernel(server string, config KernelConfig, check *Checker) (*Kernel, error) {
	listener, err := listenApart()
	if err != nil {
		return nil, err
	}
	k := &Kernel{config: config, address: listener.Addr().String(), listener: listener, server: server, check: check,
		runs: map[string]*run{}, slow: 1, looked: time.Now(), began: time.Now(), chance: rand.New(rand.NewPCG(config.Seed, 0))}
	k.faults.Store(&LinkFaults{})
	k.timer = time.AfterFunc(time.Hour, k.turn)
	go k.serve(listener)
	return k, nil
}

// Address is where app servers find it.
func (k *Kernel) Address() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.address
}

// Slow makes all work take so many times as long.
func (k *Kernel) Slow(times float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pass()
	k.slow = times
	k.set()
}

// Hang stops all work, or lets it go on.
func (k *Kernel) Hang(hung bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pass()
	k.hung = hung
	for _, r := range k.runs {
		if r.stopped && !hung {
			k.preempt(r)
		}
	}
	k.set()
}

// Restart forgets all runs and notices, as with the app server's own restart.
func (k *Kernel) Restart() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pass()
	for _, r := range k.runs {
		if r.backend { // nobody takes it back there
			time.AfterFunc(time.Duration(max(r.left, 0)/max(k.rate(), 0.01)*float64(time.Second)), func() { k.config.Backend.add(k.server, -1) })
		}
	}
	k.runs, k.notices = map[string]*run{}, nil
	k.looked, k.began = time.Now(), time.Now()
	k.usage, k.crowded = coreUsage{}, false
	k.fullSince, k.overran = time.Time{}, false
	k.cold = k.config.Cold.Ramp > 0
	k.dropLink()
}

// Boot has the cold start begin now, if there is one.
func (k *Kernel) Boot() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.cold {
		k.looked, k.began = time.Now(), time.Now()
	}
}

// Began is when it started.
func (k *Kernel) Began() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.began
}

// warming tells whether it is cold and has not yet its full speed.
func (k *Kernel) warming() bool { return k.cold && time.Since(k.began) < k.config.Cold.Ramp }

// warmth is the share of its full speed that it has now.
func (k *Kernel) warmth() float64 {
	if !k.warming() {
		return 1
	}
	return k.config.Cold.Warmth(time.Since(k.began))
}

// Close ends it.
func (k *Kernel) Close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.listener.Close()
	if k.withheld != nil {
		close(k.withheld)
		k.withheld = nil
	}
	k.closed = true
	k.timer.Stop()
	k.dropLink()
}

// violate tells the checker of what the app server did.
func (k *Kernel) violate(rule int, format string, args ...any) {
	k.check.reportViolation(rule, "%s: %s", k.server, fmt.Sprintf(format, args...))
}
