package rig

import "time"

// Preemption is what a kernel does on PREEMPT, in the words of the settings.
type Preemption string

const (
	PreemptNone    Preemption = "none"    // PREEMPT is not allowed
	PreemptDiscard Preemption = "discard" // the run ends, and its work is lost
	PreemptFreeze  Preemption = "freeze"  // the run is paused until RESCHED, or until its request is over
)

// KernelConfig is what the settings of a deployment say of its kernel.
type KernelConfig struct {
	Cores      int
	Methods    []string // nil allows any
	Preemption Preemption
	// Gauges are the names of ownStats in their order. Nil refuses SYSINFO; empty but not nil answers it without figures.
	Gauges []string
	// Memory is what may be booked, nothing for no limit.
	Memory BookedMemory
	// Overload is how many runs the cores bear, nothing for any number.
	Overload OverloadLimit
	Cold     ColdStart
	Seed     uint64   // of everything that is left to chance
	Backend  *Backend // what runs reach, nil for nothing
}

// BookedMemory is the memory of the settings: each request books its own figure while it is held, and so many times that
// while it runs or is paused. The zero value is no limit.
type BookedMemory struct {
	KB        float64
	RunFactor float64
}

// OverloadLimit is how many runs may be on the cores at once: so many times the cores at full speed, one each at no speed at all,
// in the mean over a window. The zero value is no limit.
type OverloadLimit struct {
	Factor float64       // overloadFactor
	Window time.Duration // fallS
}

// plainKernel is what most experiments have: PREEMPT discards, SYSINFO is answered without figures.
func plainKernel(cores int) KernelConfig {
	return KernelConfig{Cores: cores, Preemption: PreemptDiscard, Gauges: []string{}}
}
