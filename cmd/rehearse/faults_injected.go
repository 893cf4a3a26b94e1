package main

import (
	"slices"
	"strings"
	"time"

	"valveglade/rig/drawn"
)

// plantedFault is a mistake that the search has to find, and by which violation.
type injectedFault struct {
	name      string // of the sub-command planted
	violation string // part of the violation's text
}

var injectedFaults = []injectedFault{
	{injectOtherBody, "was served by"},
	{injectSecondRun, "of the same token was run"},
	{injectLostReply, "lost:"},
	{injectIdleSpin, "the processor at rest"},
	{injectIgnoredStop, "did not end by itself"},
}

// in reports whether it was found in a trial.
func (fault injectedFault) foundIn(r *trialResult) bool {
	return slices.ContainsFunc(r.violations, func(v string) bool { return strings.Contains(v, fault.violation) })
}

// plantedWithin bounds the search for one of them.
const injectedFaultTimeout = 60 * time.Second

// plantedCase is a case without anything uncommon: whatever is found in it was planted.
func injectionCase(seed uint64) drawn.Case {
	c := drawn.Case{Seed: seed, Servers: 3, Seconds: 3, Load: drawn.Load{Rate: 40, Routers: 2, Repeats: 0.2}}
	for _, effect := range []string{"retryable", "dedup", "fragile"} {
		m := drawn.PlainMethod()
		m.Name, m.Effect = "look "+effect, effect
		c.Settings.Methods = append(c.Settings.Methods, m)
	}
	return c
}

// runInjectedFaults searches for faults in programs in which one is planted, and in one with none, started the same way.
func (run *experimentRun) runInjectedFaults() error {
	control, err := run.runInjectedFault(injectNothing, run.Seed)
	if err != nil {
		return err
	}
	if len(control.violations) > 0 {
		control.print(run)
	}
	run.exactly("planted.nothing.violations", float64(len(control.violations)), 0)
	for _, fault := range injectedFaults {
		startedAt := time.Now()
		found := false
		for seed := run.Seed; !found && time.Since(startedAt) < injectedFaultTimeout; seed++ {
			result, err := run.runInjectedFault(fault.name, seed)
			if err != nil {
				return err
			}
			found = fault.foundIn(result)
		}
		took := time.Since(startedAt).Seconds()
		if !found {
			took = 2 * injectedFaultTimeout.Seconds()
		}
		run.atMost("planted."+fault.name+".found.s", took, injectedFaultTimeout.Seconds())
	}
	return nil
}

// runInjectedFault plays the plain case with a program in which something is planted.
func (run *experimentRun) runInjectedFault(name string, seed uint64) (*trialResult, error) {
	faultyRun := &experimentRun{Seed: seed, Program: run.self(), rehearseBinary: run.rehearseBinary, Logs: run.Logs, output: run.output, programArgs: []string{"planted", name}}
	if name == injectNothing {
		return faultyRun.runTrialWithRepeats(injectionCase(seed))
	}
	return faultyRun.runTrial(injectionCase(seed)) // what is planted may keep its own process from a core
}
