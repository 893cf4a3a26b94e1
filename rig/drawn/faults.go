package drawn

import (
	"math/rand/v2"
	"slices"
)

// FaultKind is the kind of a fault that is injected into an app server or its environment.
type FaultKind string

// The kinds of faults. For and Size are the fields of Fault; a fault with a duration ends after For seconds.
const (
	Kill                  FaultKind = "kill"           // SIGKILL, and a restart under the same name after For
	Pause                 FaultKind = "pause"          // SIGSTOP, and SIGCONT after For
	Terminate             FaultKind = "terminate"      // SIGTERM, then a restart; Size 1 adds SIGHUP, 2 SIGTERM
	Reload                FaultKind = "reload"         // SIGHUP with the same file
	ReloadMoved           FaultKind = "reload-moved"   // SIGHUP with a file that names another kernel address
	ReloadFaulty          FaultKind = "reload-faulty"  // SIGHUP with one of four invalid files, by Size
	RosterSilent          FaultKind = "roster-silent"  // the roster that all app servers use is down
	KernelLate            FaultKind = "kernel-late"    // from the start of the process: links are accepted, BOOTED is withheld
	KernelDown            FaultKind = "kernel-down"    // the link is closed, and new connections are refused
	KernelHung            FaultKind = "kernel-hung"    // no work makes progress
	KernelSlow            FaultKind = "kernel-slow"    // work takes Size times as long
	LinkCut               FaultKind = "link-cut"       // closed in the middle of a line
	LinkReset             FaultKind = "link-reset"     // the connection of the link is reset
	LinkCutLosingCommands FaultKind = "link-lossy"     // closed, losing the commands of the last 50 ms
	LinkDelayed           FaultKind = "link-late"      // everything on the link is delayed by Size ms
	LinkFragmented        FaultKind = "link-pieces"    // notices arrive in fragments
	LinkDuplicated        FaultKind = "link-doubled"   // notices arrive twice, with remarks between them
	RouterNotReading      FaultKind = "router-deaf"    // routers do not read
	RouterReset           FaultKind = "router-reset"   // routers reset their connections
	RouterClose           FaultKind = "router-close"   // routers close their connections
	Burst                 FaultKind = "burst"          // Size RPCs at once
	MisbehavingRouter     FaultKind = "rude-router"    // a router that reuses sequence numbers, ids and tokens
	SilentClients         FaultKind = "silent-clients" // idle connections, as many as Size percent of the limit
	BadClients            FaultKind = "bad-clients"    // Size misbehaving clients at once
	LogFull               FaultKind = "log-full"       // the log pipe is full and not read; permanently where For is 0
)

// Fault is one fault of a schedule.
type Fault struct {
	At     float64   `json:"at"` // seconds from the start of the processes
	Kind   FaultKind `json:"kind"`
	Server int       `json:"server"`
	For    float64   `json:"for,omitempty"` // duration in seconds
	Size   int       `json:"size,omitempty"`
}

// Kinds returns all kinds of faults in a fixed order.
func Kinds() []FaultKind {
	var all []FaultKind
	for _, variant := range faultVariants {
		if !slices.Contains(all, variant.kind) {
			all = append(all, variant.kind)
		}
	}
	return all
}

// faultVariant defines the sizes and the maximum duration, in seconds, from which a fault of one kind is drawn.
type faultVariant struct {
	kind        FaultKind
	sizes       []int
	maxDuration float64
	atStartOnly bool
}

// faultVariants are drawn with equal probability, so that a repeated entry doubles the weight of its fault.
var faultVariants = []faultVariant{
	{Kill, nil, 0.5, false}, {Kill, nil, 0.05, false}, {Pause, nil, 1.5, false}, {Terminate, nil, 0, false},
	{Terminate, []int{0, 1, 2}, 0, false},
	{Reload, nil, 0, false}, {ReloadMoved, nil, 0, false}, {ReloadFaulty, []int{0, 1, 2, 3}, 0, false},
	{RosterSilent, nil, 3, false},
	{KernelLate, nil, 3, true}, {KernelDown, nil, 1, false}, {KernelHung, nil, 1, false}, {KernelSlow, []int{3, 20}, 2, false},
	{LinkCut, nil, 0, false}, {LinkCut, nil, 0, false}, {LinkCutLosingCommands, nil, 0, false},
	{LinkCutLosingCommands, nil, 0, false},
	{LinkReset, nil, 0, false},
	{LinkDelayed, []int{5, 50, 300}, 2, false}, {LinkFragmented, nil, 2, false}, {LinkDuplicated, nil, 3, false},
	{RouterNotReading, nil, 2, false}, {RouterReset, nil, 0, false}, {RouterClose, nil, 0, false},
	{Burst, []int{40, 200}, 0, false}, {MisbehavingRouter, nil, 2, false},
	{SilentClients, []int{50, 100, 130}, 3, false}, {BadClients, []int{1, 4, 20}, 3, false},
	{LogFull, nil, 0, false}, {LogFull, nil, 5, false},
}

// drawFault draws one fault of a case, with times rounded down to whole milliseconds.
func drawFault(rng *rand.Rand, c Case) Fault {
	variant := pick(rng, faultVariants)
	f := Fault{Kind: variant.kind, Server: rng.IntN(c.Servers), At: c.Seconds * 0.9 * rng.Float64()}
	if variant.atStartOnly || rng.IntN(6) == 0 {
		f.At = 0
	}
	if variant.maxDuration > 0 {
		f.For = variant.maxDuration * (0.1 + 0.9*rng.Float64())
	}
	if variant.sizes != nil {
		f.Size = pick(rng, variant.sizes)
	}
	f.At, f.For = float64(int(f.At*1000))/1000, float64(int(f.For*1000))/1000
	return f
}

// sortFaults sorts a schedule by time and drops each fault that begins while one of the same kind at the same app server lasts.
func sortFaults(all []Fault) []Fault {
	slices.SortStableFunc(all, func(a, b Fault) int {
		switch {
		case a.At < b.At:
			return -1
		case a.At > b.At:
			return 1
		}
		return 0
	})
	var kept []Fault
	for _, f := range all {
		if !slices.ContainsFunc(kept, func(earlier Fault) bool {
			return earlier.Server == f.Server && earlier.Kind == f.Kind && f.At < earlier.At+earlier.For
		}) {
			kept = append(kept, f)
		}
	}
	return kept
}
