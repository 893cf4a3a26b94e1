package rig

import "time"

// Preemption is how a kernel handles PREEMPT, as the settings name it.
type Preemption string

const (
	PreemptNone    Preemption = "none"    // PREEMPT is not allowed
	PreemptDiscard Preemption = "discard" // the run ends, and its work is lost
	PreemptFreeze  Preemption = "freeze"  // the run is paused until RESCHED or until its request is over
)

// KernelConfig holds the settings of a deployment that concern its kernel.
type KernelConfig struct {
	Cores      int
	Methods    []string // methods that may be run; nil allows any
	Preemption Preemption
	// Gauges are the names in ownStats, in their order. Nil rejects SYSINFO; empty but not nil answers it without values.
	Gauges []string
	// Memory is the memory that may be booked; the zero value is no limit.
	Memory BookedMemory
	// Overload limits how many runs may be on the cores; the zero value is no limit.
	Overload OverloadLimit
	Cold     ColdStart
	Seed     uint64   // for all random draws of the kernel
	Backend  *Backend // called by runs; nil for none
}

// BookedMemory is the memory limit of the settings. Each request books its own amount while it is held, and RunFactor
// times that amount while it runs or is paused. The zero value is no limit.
type BookedMemory struct {
	KB        float64
	RunFactor float64
}

// OverloadLimit limits the number of runs on the cores, as the mean over Window: Factor times the number of cores at
// full speed, falling to one run for each core at speed zero. The zero value is no limit.
type OverloadLimit struct {
	Factor float64       // overloadFactor in the settings
	Window time.Duration // fallS in the settings
}

// plainKernel returns the settings of most experiments: PREEMPT discards, SYSINFO is answered without values.
func plainKernel(cores int) KernelConfig {
	return KernelConfig{Cores: cores, Preemption: PreemptDiscard, Gauges: []string{}}
}
