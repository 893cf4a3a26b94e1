package main

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"valveglade/rig"
	"valveglade/rig/drawn"
	"valveglade/rpc"
)

// Figures of a trial.
const (
	checkTolerance    = 500 * time.Millisecond // past what the rules name: several trials and other work share the machine
	restDuration      = 700 * time.Millisecond // in which an app server without work is watched
	maxRestCPUShare   = 0.2                    // of a core, at most, that it takes then
	maxHealthCheckGap = 3 * time.Second        // at most, between answers to health checks
	readyTimeout      = 10 * time.Second       // from a restart to the first good health check
	faultFreeTime     = 1500 * time.Millisecond
)

// trialResult is what a trial came to.
type trialResult struct {
	testCase        drawn.Case
	violations      []string
	restarts, ready int
	tries, runs     int
	repeats         int           // how often it was played again
	coreWait        time.Duration // the longest that a process waited for a core, within a second
}

// timingViolation is in violations that a machine may cause which is late itself.
var timingViolation = regexp.MustCompile(`after its (deadline|stop)|answers nobody|never answered|closed the connection over it`)

// coreWaitLimit is how long a process may wait for a core, within a second, before violations about time show nothing.
const coreWaitLimit = 200 * time.Millisecond

// inconclusive tells whether the violations show nothing but that the machine was busy.
func (r *trialResult) inconclusive() bool {
	return r.coreWait > coreWaitLimit && len(r.violations) > 0 &&
		!slices.ContainsFunc(r.violations, func(v string) bool { return !timingViolation.MatchString(v) })
}

// class is by what a failing trial is known again when less is in it.
func (r *trialResult) class() string { return violationClass(r.violations[0]) }

func (r *trialResult) hasClass(class string) bool {
	return slices.ContainsFunc(r.violations, func(v string) bool { return violationClass(v) == class })
}

// variableParts are what differs between two violations of one kind.
var variableParts = regexp.MustCompile(`"(?:[^"\\]|\\.)*"|\b[0-9a-f]{16}\b|n\d+[-\w]*|[-+]?\d[\d.:]*(?:e[-+]?\d+)?(?:ns|µs|ms|m|s)?\w*`)

func violationClass(violation string) string {
	class, _, _ := strings.Cut(violation, "\n")
	if _, reason, found := strings.Cut(violation, "valveglade: "); found { // why a process ended
		class += reason
	}
	return variableParts.ReplaceAllString(class, "_")
}

// trial is one under way.
type trial struct {
	run        *experimentRun
	testCase   drawn.Case
	decoded    drawn.Told
	check      *rig.Checker
	catalog    *rig.Catalog
	roster     *rig.Roster
	directory  string
	servers    []*trialServer
	startedAt  time.Time
	rosterDown atomic.Bool

	mu     sync.Mutex
	result trialResult
}

// runTrial plays one case.
func (run *experimentRun) runTrial(c drawn.Case) (*trialResult, error) {
	t := &trial{run: run, testCase: c, result: trialResult{testCase: c}}
	if err := t.prepare(); err != nil {
		return nil, fmt.Errorf("%w: %w", errTrialSetup, err)
	}
	defer t.tearDown()
	ctx, stopWatchers := context.WithCancel(context.Background())
	var watchers sync.WaitGroup
	watchers.Go(func() { t.measureLateness(ctx) })
	t.startServers()
	for _, s := range t.servers {
		watchers.Go(func() { s.watch(ctx) })
	}
	t.runLoadAndFaults()
	t.checkServersAtRest()
	t.stopServers()
	stopWatchers()
	watchers.Wait()
	t.collectViolations()
	return &t.result, nil
}

// violate takes note of a broken rule.
func (t *trial) violate(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.result.violations = append(t.result.violations, fmt.Sprintf(format, args...))
}

func (t *trial) prepare() (err error) {
	if t.decoded, err = t.testCase.Settings.Told(); err != nil {
		return err
	}
	if t.directory, err = os.MkdirTemp("", "faults"); err != nil {
		return err
	}
	t.check = rig.NewChecker(checkTolerance)
	t.check.ResendCrossed()
	t.catalog = rig.NewCatalog()
	t.check.Judge(t.checkerTerms())
	if t.roster, err = rig.NewRoster(); err != nil {
		return err
	}
	var names []string
	for k := range t.testCase.Servers {
		names = append(names, serverName(k))
	}
	t.roster.CheckReports(t.check, names...)
	for k := range t.testCase.Servers {
		s, err := t.newServer(k)
		if err != nil {
			return err
		}
		t.servers = append(t.servers, s)
	}
	return nil
}

// checkerTerms are what app servers are judged by.
func (t *trial) checkerTerms() rig.Terms {
	terms := rig.Terms{Methods: map[string]rig.MethodTerms{}, Catalog: t.catalog}
	for _, m := range t.methods() {
		terms.Methods[m.Name] = rig.MethodTerms{Kind: rpc.Kind(m.Effect), Deadline: m.deadline, Window: m.window}
	}
	return terms
}

// kernelConfig is the stand-in of the settings.
func (t *trial) kernelConfig(number int) rig.KernelConfig {
	domain, rules := t.decoded.Settings.Domain, t.decoded.Settings.Rules
	config := rig.KernelConfig{Cores: max(int(domain.NCores), 1), Preemption: rig.Preemption(cmp.Or(domain.Preemption, string(rig.PreemptNone))),
		Gauges: domain.OwnStats, Memory: rig.BookedMemory{KB: domain.MemoryKB, RunFactor: domain.RunFactor},
		Crowding: rig.Crowding{Factor: rules.OverloadFactor, Window: secondsToDuration(rules.FallS)}, Seed: t.testCase.Seed + uint64(number)<<32,
		Cold: rig.ColdStart{Capacity: rules.StartCapacity, Ramp: secondsToDuration(rules.RampTimeS), Window: secondsToDuration(rules.FallS)}}
	for _, m := range t.testCase.Settings.Methods {
		config.Methods = append(config.Methods, m.Name)
	}
	return config
}

// tearDown ends what is left of a trial.
func (t *trial) tearDown() {
	for _, s := range t.servers {
		s.close()
	}
	t.roster.Close()
	os.RemoveAll(t.directory)
}

// startServers has all processes begin together, with what is late from their startServers on.
func (t *trial) startServers() {
	t.startedAt = time.Now()
	for _, s := range t.servers {
		for _, f := range t.testCase.Faults {
			if f.Server == s.number && f.Kind == drawn.KernelLate {
				s.delayKernel(f)
			}
		}
	}
	for _, s := range t.servers {
		s.launch()
	}
}

// runLoadAndFaults has the load and the faults go on side by side, each in its time.
func (t *trial) runLoadAndFaults() {
	ctx, stop := context.WithCancel(context.Background())
	var loads sync.WaitGroup
	for _, s := range t.servers {
		loads.Go(func() { s.generateLoad(ctx) })
	}
	var faults sync.WaitGroup
	for _, f := range t.testCase.Faults {
		faults.Go(func() {
			time.Sleep(time.Until(t.startedAt.Add(secondsToDuration(f.At))))
			t.servers[f.Server].applyFault(f)
		})
	}
	time.Sleep(time.Until(t.startedAt.Add(secondsToDuration(t.testCase.Seconds))))
	faults.Wait()
	time.Sleep(t.run.scaled(faultFreeTime)) // without a fault
	stop()
	loads.Wait()
}

// latenessInterval is between two looks of the witness.
const latenessInterval = 10 * time.Millisecond

// measureLateness notes how late this process itself is.
func (t *trial) measureLateness(ctx context.Context) {
	for ctx.Err() == nil {
		startedAt := time.Now()
		time.Sleep(latenessInterval)
		t.recordCoreWait(time.Since(startedAt) - latenessInterval)
	}
}

// recordCoreWait takes note of a wait for a core.
func (t *trial) recordCoreWait(wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.result.coreWait = max(t.result.coreWait, wait)
}

// checkServersAtRest watches the app servers without load.
func (t *trial) checkServersAtRest() {
	var checks sync.WaitGroup
	for _, s := range t.servers {
		checks.Go(s.checkAtRest)
	}
	checks.Wait()
}

// stopServers tells all app servers to leave and waits for their ends.
func (t *trial) stopServers() {
	var stops sync.WaitGroup
	for _, s := range t.servers {
		stops.Go(s.stop)
	}
	stops.Wait()
}

// collectViolations gathers what the checker and the logs say.
func (t *trial) collectViolations() {
	for _, s := range t.servers {
		s.checkLogAndLoad()
	}
	t.check.Finish()
	for _, v := range t.check.Violations() {
		if v.Rule != callersRule {
			t.violate("%s%s", v, t.logBeforeExit(v.What))
		}
	}
	t.result.tries, t.result.runs = t.check.Count("tries"), t.check.Count("runs")
}

// logBeforeExit is what a process said before it ended by itself, if that is what the violation tells.
func (t *trial) logBeforeExit(violation string) string {
	name, message, _ := strings.Cut(violation, " ")
	for _, s := range t.servers {
		if s.program.Name == name && strings.HasPrefix(message, "ended") {
			return "\n" + s.logTail()
		}
	}
	return ""
}

// callersRule is the checker's number for what callers, not app servers, may not do.
const callersRule = 5

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
