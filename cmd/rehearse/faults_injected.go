package main

import (
	"slices"
	"strings"
	"time"

	"valveglade/rig/drawn"
)

// injectedFault is a fault that is injected into the program to check that the search finds it.
type injectedFault struct {
	name      string // argument of the sub-command planted
	violation string // substring of the violation that the fault causes
}

var injectedFaults = []injectedFault{
	{injectOtherBody, "was served by"},
	{injectSecondRun, "of the same token was run"},
	{injectLostReply, "lost:"},
	{injectIdleSpin, "the processor at rest"},
	{injectIgnoredStop, "did not end by itself"},
}

// foundIn reports whether a trial found the fault.
func (fault injectedFault) foundIn(r *trialResult) bool {
	return slices.ContainsFunc(r.violations, func(v string) bool { return strings.Contains(v, fault.violation) })
}

// injectedFaultTimeout limits the search for one injected fault.
const injectedFaultTimeout = 60 * time.Second

// injectionCase returns a case without faults or unusual settings, so that all violations come from the injected fault.
func injectionCase(seed uint64) drawn.Case {
	c := drawn.Case{Seed: seed, Servers: 3, Seconds: 3, Load: drawn.Load{Rate: 40, Routers: 2, RepeatShare: 0.2}}
	for _, effect := range []string{"retryable", "dedup", "fragile"} {
		m := drawn.PlainMethod()
		m.Name, m.Kind = "look "+effect, effect
		c.Settings.Methods = append(c.Settings.Methods, m)
	}
	return c
}

// runInjectedFaults searches for faults in programs with one injected fault each, and in a control program that is started in
// the same way but has none.
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

// runInjectedFault runs the case of a seed with a program that has the named fault.
func (run *experimentRun) runInjectedFault(name string, seed uint64) (*trialResult, error) {
	faultyRun := &experimentRun{Seed: seed, Program: run.ownBinary(), rehearseBinary: run.rehearseBinary,
		Logs: run.Logs, output: run.output, programArgs: []string{"planted", name}}
	if name == injectNothing {
		return faultyRun.runTrialWithRepeats(injectionCase(seed))
	}
	return faultyRun.runTrial(injectionCase(seed)) // no repeats: the injected fault may itself keep the process waiting for a core
}
