package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"valveglade/rig/drawn"
)

// maxParallelTrials limits the trials that tests run in parallel.
const maxParallelTrials = 6

// trialSlots holds an entry for each running trial.
var trialSlots = make(chan struct{}, maxParallelTrials)

// runCase runs one case with the program.
func runCase(t *testing.T, c drawn.Case) *trialResult {
	t.Helper()
	trialSlots <- struct{}{}
	defer func() { <-trialSlots }()
	var out bytes.Buffer
	run := &experimentRun{Seed: c.Seed, Program: programBinary, rehearseBinary: rehearseBinary, shortForm: true, output: &out}
	result, err := run.runTrialWithRepeats(c)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// TestFaultCases guards against the return of faults that the search has found: it runs each reduced case again.
func TestFaultCases(t *testing.T) {
	names, err := filepath.Glob("testdata/faults/*.json")
	if err != nil || len(names) == 0 {
		t.Fatal("no cases", err)
	}
	for _, name := range names {
		t.Run(strings.TrimSuffix(filepath.Base(name), ".json"), func(t *testing.T) {
			t.Parallel()
			text, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			c, err := drawn.ParseCase(string(text))
			if err != nil {
				t.Fatal(err)
			}
			for _, v := range runCase(t, c).violations {
				t.Errorf("%.500s", v)
			}
		})
	}
}

// TestFaults runs a few cases of the search with fixed seeds, and checks them against the rules.
func TestFaults(t *testing.T) {
	for seed := range uint64(faultTrialsShort) {
		c := drawn.Draw(seed)
		t.Run("", func(t *testing.T) {
			t.Parallel()
			for _, v := range runCase(t, c).violations {
				t.Errorf("%.500s", v)
			}
			if t.Failed() {
				t.Logf("rehearse run faults --only '%s'", c)
			}
		})
	}
}

// TestFaultsInjected guards against a checker that misses faults: the search must find each injected fault, and no violation
// in a program without one.
func TestFaultsInjected(t *testing.T) {
	for _, fault := range append([]injectedFault{{name: injectNothing}}, injectedFaults...) {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			trialSlots <- struct{}{}
			defer func() { <-trialSlots }()
			run := &experimentRun{Seed: 1, Program: programBinary, rehearseBinary: rehearseBinary,
				shortForm: true, output: &bytes.Buffer{}}
			result, err := run.runInjectedFault(fault.name, run.Seed)
			if err != nil {
				t.Fatal(err)
			}
			if fault.name == injectNothing {
				for _, v := range result.violations {
					t.Errorf("%.500s", v)
				}
			} else if !fault.foundIn(result) {
				t.Errorf("not found: %.500q", result.violations)
			}
		})
	}
}
