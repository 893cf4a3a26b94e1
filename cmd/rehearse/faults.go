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

// faultFlags holds the flags of the faults experiment.
type faultFlags struct {
	first          int    // index of the first trial within the seed
	trials         int    // number of trials; 0 selects the default for the run's length
	parallel       int    // number of trials that run in parallel
	replays        int    // maximum number of trials for reducing one failing trial
	onlyCase       string // the only case to run, or @ and the name of a file that holds it
	injectedFaults bool   // run the injected faults instead
}

// seedsPerRun is the number of trial seeds reserved for each seed of a run, so that runs share no trials.
const seedsPerRun = 1_000_000

// Number of trials in a run of default, long and short length, and maximum number of failing trials that are reduced.
const (
	faultTrials      = 100
	faultTrialsLong  = 300
	faultTrialsShort = 4
	maxReducedTrials = 6
)

// register adds the flags to cmd.
func (f *faultFlags) register(cmd *cobra.Command) {
	cmd.Flags().IntVar(&f.trials, "trials", 0, "number of fault trials, with consecutive seeds")
	cmd.Flags().IntVar(&f.first, "first", 0, "index of the first fault trial, counted from 0")
	cmd.Flags().IntVar(&f.parallel, "aside", 2, "number of fault trials that run in parallel")
	cmd.Flags().IntVar(&f.replays, "replays", 24, "maximum number of trials for reducing a failing fault trial")
	cmd.Flags().StringVar(&f.onlyCase, "only", "", "run only this fault case, as a failing trial prints it, or @FILE")
	cmd.Flags().BoolVar(&f.injectedFaults, "planted", false,
		"run programs with injected faults and report the time until each is found")
}

// runFaults searches for faults with trials whose settings and fault schedules are drawn from the seed.
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

// runGivenCase runs one case that is given as text, or as @ and a file name.
func (run *experimentRun) runGivenCase(text string) error {
	if name, ok := strings.CutPrefix(text, "@"); ok {
		read, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		text = string(read)
	}
	c, err := drawn.ParseCase(text)
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

// trialTotals collects the results of all trials of a run.
type trialTotals struct {
	mu           sync.Mutex
	results      []*trialResult
	failed       []*trialResult
	setupErrors  []error
	inconclusive int // trials that were inconclusive in each repeat
}

// runTrials runs the given number of trials in parallel and returns those with violations.
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

// runTrialSeed runs the trial of a seed and adds its result to totals.
func (run *experimentRun) runTrialSeed(seed uint64, totals *trialTotals) {
	result, err := run.runTrialWithRepeats(drawn.Draw(seed))
	totals.mu.Lock()
	defer totals.mu.Unlock()
	if err != nil {
		totals.setupErrors = append(totals.setupErrors, err)
		run.printNote("trial %d could not be set up: %v", seed, err)
		return
	}
	totals.results = append(totals.results, result)
	switch {
	case result.inconclusive():
		totals.inconclusive++
		result.print(run)
	case len(result.violations) > 0:
		totals.failed = append(totals.failed, result)
		result.print(run)
	}
}

// maxInconclusiveShare is the maximum share of trials that may stay inconclusive because the machine is busy.
const maxInconclusiveShare = 0.1

// maxTrialRepeats is the maximum number of repeats of an inconclusive trial.
const maxTrialRepeats = 2

// runTrialWithRepeats runs a case, and repeats it up to maxTrialRepeats times while its result is inconclusive.
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
		run.printNote("repeating seed %d: a process waited %v for a core; %.200s", c.Seed,
			result.coreWait.Round(time.Millisecond), firstLine)
	}
}

// reportTrials reports the figures of all trials.
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
	run.atMost("trials.undecided", float64(totals.inconclusive), maxInconclusiveShare*float64(len(totals.results)))
	run.exactly("trials.failed", float64(len(totals.failed)), 0)
}

// reduceTrial reduces a failing trial to a smaller case that fails in the same way, and prints the command that runs it.
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
	run.printNote("trial %d reduced in %.0f s: %s", failed.testCase.Seed, time.Since(startedAt).Seconds(), lastFailed.violations[0])
	run.printNote("  rehearse run faults --only '%s'", strings.ReplaceAll(smallest.String(), "'", `'\''`))
}

// errTrialSetup is wrapped by errors of the setup of a trial.
var errTrialSetup = errors.New("the trial could not be set up")

// print prints the case of a trial and its violations, at most two of each violation class.
func (r *trialResult) print(run *experimentRun) {
	var faults []string
	for _, f := range r.testCase.Faults {
		faults = append(faults, fmt.Sprintf("%s n%d %.1f", f.Kind, f.Server+1, f.At))
	}
	run.printNote("seed %d: %d app servers, %d methods, %d keys; %s", r.testCase.Seed, r.testCase.Servers,
		len(r.testCase.Settings.Methods), len(r.testCase.Settings.Keys), strings.Join(faults, ", "))
	shown := map[string]int{}
	for _, v := range r.violations {
		if shown[violationClass(v)]++; shown[violationClass(v)] <= 2 {
			run.printNote("  %.400s", strings.ReplaceAll(v, "\n", "\n#     "))
		}
	}
	for class, n := range shown {
		if n > 2 {
			run.printNote("  %d violations of this class: %.60s", n, class)
		}
	}
}
