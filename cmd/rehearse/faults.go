package main

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"valveglade/rig/drawn"
)

// faultFlags are those of the search for faults.
type faultFlags struct {
	first          int    // of the trials of a seed
	trials         int    // 0 for as many as the form has
	parallel       int    // trials side by side
	replays        int    // at most, to cut one failing trial down
	onlyCase       string // a case to play, or @ and a file of one
	injectedFaults bool   // play the planted faults instead
}

// seedsPerRun is how many seeds of trials each seed of a run has.
const seedsPerRun = 1_000_000

// Trials in a run of each form, and how many failing ones are cut down.
const (
	faultTrials      = 100
	faultTrialsLong  = 300
	faultTrialsShort = 4
	maxReducedTrials = 6
)

func (f *faultFlags) register(cmd *cobra.Command) {
	cmd.Flags().IntVar(&f.trials, "trials", 0, "trials of faults, whose seeds follow one another")
	cmd.Flags().IntVar(&f.first, "first", 0, "the first of the trials of faults, counted from 0")
	cmd.Flags().IntVar(&f.parallel, "aside", 2, "trials of faults that are played side by side")
	cmd.Flags().IntVar(&f.replays, "replays", 24, "trials at most to cut a failing one of faults down")
	cmd.Flags().StringVar(&f.onlyCase, "only", "", "play this case of faults alone, as a failing trial prints it, or @FILE")
	cmd.Flags().BoolVar(&f.injectedFaults, "planted", false, "play faults that are planted in the program, and show how soon each is found")
}

// playFaults searches for faults: trials under settings and schedules that are drawn from the seed.
func runFaults(run *experimentRun) error {
	switch {
	case run.faults.onlyCase != "":
		return run.runGivenCase(run.faults.onlyCase)
	case run.faults.injectedFaults:
		return run.runInjectedFaults()
	}
	trials := run.faults.trials
	switch {
	case trials > 0:
	case run.shortForm:
		trials = faultTrialsShort
	case run.Long:
		trials = faultTrialsLong
	default:
		trials = faultTrials
	}
	failed := run.runTrials(trials)
	for _, r := range failed[:min(len(failed), maxReducedTrials)] {
		run.reduceTrial(r)
	}
	return nil
}

// runGivenCase plays one case that is given.
func (run *experimentRun) runGivenCase(text string) error {
	if name, ok := strings.CutPrefix(text, "@"); ok {
		read, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		text = string(read)
	}
	c, err := drawn.Read(text)
	if err != nil {
		return err
	}
	result, err := run.runTrialWithRepeats(c)
	if err != nil {
		return err
	}
	result.print(run)
	run.exactly("violations", float64(len(result.violations)), 0)
	if len(result.violations) > 0 && run.faults.replays > 0 {
		run.reduceTrial(result)
	}
	return nil
}

// trialTotals sums what the trials of a run came to.
type trialTotals struct {
	mu          sync.Mutex
	results     []*trialResult
	failed      []*trialResult
	setupErrors []error
	undecided   int // failed by time alone on a machine that was late each time
}

// runTrials plays trials side by side and returns those with violations.
func (run *experimentRun) runTrials(trials int) []*trialResult {
	var totals trialTotals
	seeds := make(chan uint64)
	var workers sync.WaitGroup
	for range max(run.faults.parallel, 1) {
		workers.Go(func() {
			for seed := range seeds {
				run.runTrialSeed(seed, &totals)
			}
		})
	}
	for k := range trials {
		seeds <- run.Seed*seedsPerRun + uint64(run.faults.first+k)
	}
	close(seeds)
	workers.Wait()
	run.reportTrials(&totals)
	return totals.failed
}

func (run *experimentRun) runTrialSeed(seed uint64, totals *trialTotals) {
	result, err := run.runTrialWithRepeats(drawn.Draw(seed))
	totals.mu.Lock()
	defer totals.mu.Unlock()
	if err != nil {
		totals.setupErrors = append(totals.setupErrors, err)
		run.printNote("trial %d could not be played: %v", seed, err)
		return
	}
	totals.results = append(totals.results, result)
	switch {
	case result.inconclusive():
		totals.undecided++
		result.print(run)
	case len(result.violations) > 0:
		totals.failed = append(totals.failed, result)
		result.print(run)
	}
}

// maxUndecidedShare is the share of trials about which a busy machine may leave nothing said.
const maxUndecidedShare = 0.1

// maxTrialRepeats bounds how often a trial is played again.
const maxTrialRepeats = 2

// runTrialWithRepeats plays a case, and once more where its violations are about time alone and the machine kept an app server or this
// process from its core.
func (run *experimentRun) runTrialWithRepeats(c drawn.Case) (*trialResult, error) {
	for repeats := 0; ; repeats++ {
		result, err := run.runTrial(c)
		if err != nil {
			return nil, err
		}
		if result.repeats = repeats; repeats == maxTrialRepeats || !result.inconclusive() {
			return result, nil
		}
		firstLine, _, _ := strings.Cut(result.violations[0], "\n")
		run.printNote("seed %d is played again: the machine was late by %v; %.200s", c.Seed, result.coreWait.Round(time.Millisecond), firstLine)
	}
}

// reportTrials gives the figures of all trials.
func (run *experimentRun) reportTrials(totals *trialTotals) {
	restarts, ready, tries, runs, repeats, kinds := 0, 0, 0, 0, 0, map[drawn.FaultKind]int{}
	for _, result := range totals.results {
		restarts, ready = restarts+result.restarts, ready+result.ready
		tries, runs, repeats = tries+result.tries, runs+result.runs, repeats+result.repeats
		for _, f := range result.testCase.Faults {
			kinds[f.Kind]++
		}
	}
	run.report("trials", float64(len(totals.results)))
	run.report("trials.again", float64(repeats))
	run.report("tries", float64(tries))
	run.report("runs", float64(runs))
	for _, kind := range drawn.Kinds() {
		run.report("faults."+string(kind), float64(kinds[kind]))
	}
	run.report("restarts", float64(restarts))
	if restarts > 0 {
		run.atLeast("ready.within.10s", float64(ready)/float64(restarts), 0.9)
	}
	run.exactly("trials.not.played", float64(len(totals.setupErrors)), 0)
	run.atMost("trials.undecided", float64(totals.undecided), maxUndecidedShare*float64(len(totals.results)))
	run.exactly("trials.failed", float64(len(totals.failed)), 0)
}

// reduceTrial cuts a failing trial down and prints what is left, so that it can be played again and become a test.
func (run *experimentRun) reduceTrial(failed *trialResult) {
	startedAt := time.Now()
	class := failed.class()
	lastFailed := failed
	smallest := drawn.Reduce(failed.testCase, run.faults.replays, func(c drawn.Case) bool {
		result, err := run.runTrial(c)
		if err != nil || !result.hasClass(class) {
			return false
		}
		lastFailed = result
		return true
	})
	run.printNote("trial %d cut down in %.0f s: %s", failed.testCase.Seed, time.Since(startedAt).Seconds(), lastFailed.violations[0])
	run.printNote("  rehearse run faults --only '%s'", strings.ReplaceAll(smallest.String(), "'", `'\''`))
}

// errTrialSetup is wrapped by what kept a trial from being played.
var errTrialSetup = errors.New("the trial could not be set up")

// print prints a failing trial.
func (r *trialResult) print(run *experimentRun) {
	var faults []string
	for _, f := range r.testCase.Faults {
		faults = append(faults, fmt.Sprintf("%s n%d %.1f", f.Kind, f.Server+1, f.At))
	}
	run.printNote("seed %d: %d app servers, %d methods, %d keys; %s", r.testCase.Seed, r.testCase.Servers, len(r.testCase.Settings.Methods), len(r.testCase.Settings.Keys),
		strings.Join(faults, ", "))
	shown := map[string]int{}
	for _, v := range r.violations {
		if shown[violationClass(v)]++; shown[violationClass(v)] <= 2 {
			run.printNote("  %.400s", strings.ReplaceAll(v, "\n", "\n#     "))
		}
	}
	for class, n := range shown {
		if n > 2 {
			run.printNote("  %d times in all: %.60s", n, class)
		}
	}
}
