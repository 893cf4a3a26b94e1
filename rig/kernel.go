package rig

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Kernel is a stand-in for the process that owns the cores. It accepts commands on its link and executes runs. A run
// takes as long as its work, and longer while there are more runs than cores.
type Kernel struct {
	config  KernelConfig
	address string
	server  string // name of the app server in violations
	checker *Checker

	faults atomic.Pointer[LinkFaults]

	mu                sync.Mutex
	listener          net.Listener
	link              *kernelLink   // nil without a link
	acceptedCount     uint64        // number of connections accepted so far
	linkedAt          time.Time     // when BOOTED was last sent
	withheld          chan struct{} // closed when links may be answered again; nil if they are answered
	breakInNextNotice bool          // break the link in the middle of the next notice
	notices           []string      // sent so far, numbered from 1; expired ones are empty
	rng               *rand.Rand    // for faults of notices

	runs             map[string]*run
	slowdown         float64 // factor by which runs take longer
	hung             bool
	accountedAt      time.Time
	timer            *time.Timer
	closed           bool
	startedAt        time.Time
	hasColdStart     bool // restarted, and the settings have a cold start
	usage            coreUsage
	overloadReported bool // the overload violation has been reported, which is done once

	overbookedSince     time.Time // since when more memory is booked than there is; zero if there is enough
	overbookingReported bool      // the memory violation has been reported, which is done once
}

// NewKernel returns a kernel that listens on a free port. It discards runs on PREEMPT and has no gauges.
func NewKernel(server string, cores int, checker *Checker) (*Kernel, error) {
	return NewConfiguredKernel(server, plainKernel(cores), checker)
}

// NewConfiguredKernel returns a kernel with a deployment's settings that listens on a free port.
func NewConfiguredKernel(server string, config KernelConfig, checker *Checker) (*Kernel, error) {
	listener, err := listenOnRandomLoopback()
	if err != nil {
		return nil, err
	}
	k := &Kernel{config: config, address: listener.Addr().String(), listener: listener, server: server, checker: checker,
		runs: map[string]*run{}, slowdown: 1, accountedAt: time.Now(), startedAt: time.Now(),
		rng: rand.New(rand.NewPCG(config.Seed, 0))}
	k.faults.Store(&LinkFaults{})
	k.timer = time.AfterFunc(time.Hour, k.handleTimer)
	go k.serve(listener)
	return k, nil
}

// Address returns the address at which app servers reach the kernel.
func (k *Kernel) Address() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.address
}

// SetSlowdown makes all runs take factor times as long.
func (k *Kernel) SetSlowdown(factor float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.accountWork()
	k.slowdown = factor
	k.scheduleTimer()
}

// SetHung stops all runs, or resumes them. Preemptions requested meanwhile take effect on resumption.
func (k *Kernel) SetHung(hung bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.accountWork()
	k.hung = hung
	for _, r := range k.runs {
		if r.preemptRequested && !hung {
			k.preempt(r)
		}
	}
	k.scheduleTimer()
}

// Restart discards all runs and notices and closes the link, as a restart of the app server does.
func (k *Kernel) Restart() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.accountWork()
	for _, r := range k.runs {
		if r.onBackend { // the killed run goes on at the backend until its work is done
			time.AfterFunc(time.Duration(max(r.workLeft, 0)/max(k.runRate(), 0.01)*float64(time.Second)),
				func() { k.config.Backend.add(k.server, -1) })
		}
	}
	k.runs, k.notices = map[string]*run{}, nil
	k.accountedAt, k.startedAt = time.Now(), time.Now()
	k.usage, k.overloadReported = coreUsage{}, false
	k.overbookedSince, k.overbookingReported = time.Time{}, false
	k.hasColdStart = k.config.Cold.Ramp > 0
	k.dropLink()
}

// BeginColdStart begins the cold start now, if the kernel has been restarted and the settings have one.
func (k *Kernel) BeginColdStart() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.hasColdStart {
		k.accountedAt, k.startedAt = time.Now(), time.Now()
	}
}

// StartedAt returns when the kernel started or last restarted, or when its cold start began, whichever is later.
func (k *Kernel) StartedAt() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.startedAt
}

// inColdStart reports whether a cold start is in progress, before the kernel has its full speed.
func (k *Kernel) inColdStart() bool {
	return k.hasColdStart && time.Since(k.startedAt) < k.config.Cold.Ramp
}

// speedShare returns the kernel's current share of its full speed.
func (k *Kernel) speedShare() float64 {
	if !k.inColdStart() {
		return 1
	}
	return k.config.Cold.SpeedShare(time.Since(k.startedAt))
}

// Close stops the kernel: its listener, its link and its timer.
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

// reportViolation reports a violation by the app server to the checker.
func (k *Kernel) reportViolation(rule int, format string, args ...any) {
	k.checker.reportViolation(rule, "%s: %s", k.server, fmt.Sprintf(format, args...))
}
