package drawn

import (
	"math/rand/v2"
	"slices"
)

// FaultKind names what is done to an app server or its surroundings.
type FaultKind string

// The faults. Those with a length are undone after Fault.For seconds.
const (
	Kill                  FaultKind = "kill"          // outright, and started again under its name after For
	Pause                 FaultKind = "pause"         // SIGSTOP, and SIGCONT after For
	Terminate             FaultKind = "terminate"     // SIGTERM, and started again under its name once it has ended; with Size 1 SIGHUP on the way, with 2 SIGTERM again
	Reload                FaultKind = "reload"        // SIGHUP with the same file
	ReloadMoved           FaultKind = "reload-moved"  // SIGHUP with a file that names another kernel address
	ReloadFaulty          FaultKind = "reload-faulty" // SIGHUP with a file that no page allows, one of four by Size
	RosterSilent          FaultKind = "roster-silent" // of all app servers
	KernelLate            FaultKind = "kernel-late"   // from the start of the process on: links are taken, and BOOTED is held back
	KernelDown            FaultKind = "kernel-down"   // the link is closed, and connects are refused
	KernelHung            FaultKind = "kernel-hung"   // all work stands still
	KernelSlow            FaultKind = "kernel-slow"   // work takes Size times as long
	LinkCut               FaultKind = "link-cut"      // broken in the middle of a line
	LinkReset             FaultKind = "link-reset"
	LinkCutLosingCommands FaultKind = "link-lossy"     // cut together with the commands of the last 50 ms
	LinkDelayed           FaultKind = "link-late"      // everything on the link comes Size ms late
	LinkFragmented        FaultKind = "link-pieces"    // notices come in pieces
	LinkDuplicated        FaultKind = "link-doubled"   // notices come twice, with remarks between them
	RouterNotReading      FaultKind = "router-deaf"    // routers do not read
	RouterReset           FaultKind = "router-reset"   // routers reset their connections
	RouterClose           FaultKind = "router-close"   // routers close their connections
	Burst                 FaultKind = "burst"          // Size RPCs at once
	MisbehavingRouter     FaultKind = "rude-router"    // a router that uses numbers, ids and tokens twice
	SilentClients         FaultKind = "silent-clients" // connections without work, Size parts in a hundred of the limit
	BadClients            FaultKind = "bad-clients"    // Size of them at once
	LogFull               FaultKind = "log-full"       // nobody reads the log any more, and its pipe is full; for good where For is 0
)

// Fault is one of the schedule.
type Fault struct {
	At     float64   `json:"at"` // seconds from the start of the processes
	Kind   FaultKind `json:"kind"`
	Server int       `json:"server"`
	For    float64   `json:"for,omitempty"` // seconds
	Size   int       `json:"size,omitempty"`
}

// Kinds are all kinds of faults, in a fixed order.
func Kinds() []FaultKind {
	var all []FaultKind
	for _, form := range faultVariants {
		if !slices.Contains(all, form.kind) {
			all = append(all, form.kind)
		}
	}
	return all
}

// faultVariant says which sizes a fault may have, and for how long it may last.
type faultVariant struct {
	kind        FaultKind
	sizes       []int
	maxDuration float64
	atStartOnly bool
}

var faultVariants = []faultVariant{
	{Kill, nil, 0.5, false}, {Kill, nil, 0.05, false}, {Pause, nil, 1.5, false}, {Terminate, nil, 0, false}, {Terminate, []int{0, 1, 2}, 0, false},
	{Reload, nil, 0, false}, {ReloadMoved, nil, 0, false}, {ReloadFaulty, []int{0, 1, 2, 3}, 0, false}, {RosterSilent, nil, 3, false},
	{KernelLate, nil, 3, true}, {KernelDown, nil, 1, false}, {KernelHung, nil, 1, false}, {KernelSlow, []int{3, 20}, 2, false},
	{LinkCut, nil, 0, false}, {LinkCut, nil, 0, false}, {LinkCutLosingCommands, nil, 0, false}, {LinkCutLosingCommands, nil, 0, false}, {LinkReset, nil, 0, false},
	{LinkDelayed, []int{5, 50, 300}, 2, false}, {LinkFragmented, nil, 2, false}, {LinkDuplicated, nil, 3, false},
	{RouterNotReading, nil, 2, false}, {RouterReset, nil, 0, false}, {RouterClose, nil, 0, false}, {Burst, []int{40, 200}, 0, false}, {MisbehavingRouter, nil, 2, false},
	{SilentClients, []int{50, 100, 130}, 3, false}, {BadClients, []int{1, 4, 20}, 3, false}, {LogFull, nil, 0, false}, {LogFull, nil, 5, false},
}

func drawFault(chance *rand.Rand, c Case) Fault {
	form := pick(chance, faultVariants)
	f := Fault{Kind: form.kind, Server: chance.IntN(c.Servers), At: c.Seconds * 0.9 * chance.Float64()}
	if form.atStartOnly || chance.IntN(6) == 0 {
		f.At = 0
	}
	if form.maxDuration > 0 {
		f.For = form.maxDuration * (0.1 + 0.9*chance.Float64())
	}
	if form.sizes != nil {
		f.Size = pick(chance, form.sizes)
	}
	f.At, f.For = float64(int(f.At*1000))/1000, float64(int(f.For*1000))/1000
	return f
}

// sortFaults sorts a schedule and leaves out what a fault before it rules out: only one fault at a time that starts or ends
// the process of an app server, and a late kernel once.
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
		if !slices.ContainsFunc(kept, func(g Fault) bool {
			return g.Server == f.Server && g.Kind == f.Kind && f.At < g.At+g.For
		}) {
			kept = append(kept, f)
		}
	}
	return kept
}
