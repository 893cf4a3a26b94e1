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

// Parameters of a trial.
const (
	checkTolerance    = 500 * time.Millisecond  // checker's tolerance for times, as trials share the machine with other work
	restDuration      = 700 * time.Millisecond  // how long an app server without work is observed
	maxRestCPUShare   = 0.2                     // maximum share of a core that an app server without work uses
	maxHealthCheckGap = 3 * time.Second         // maximum time between two answers to health checks
	readyTimeout      = 10 * time.Second        // maximum time from a restart to the first successful health check
	faultFreeTime     = 1500 * time.Millisecond // load without faults at the end of a trial
)

// trialResult is the result of a trial.
type trialResult struct {
	testCase        drawn.Case
	violations      []string
	restarts, ready int           // restarts of processes, and those of them that were ready within readyTimeout
	tries, runs     int           // tries that routers sent, and runs of the kernels
	repeats         int           // how often the trial was repeated because it was inconclusive
	coreWait        time.Duration // longest time that a process waited for a core within one second
}

// timingViolation matches violations that may be caused by an overloaded machine alone.
var timingViolation = regexp.MustCompile(
	`after its (deadline|stop)|answered no health check|never answered|closed the connection over it`)

// coreWaitLimit is the time that a process may wait for a core within one second before timing violations are
// inconclusive.
const coreWaitLimit = 200 * time.Millisecond

// inconclusive reports whether the machine was busy, as defined by coreWaitLimit, and all violations are about timing.
func (r *trialResult) inconclusive() bool {
	return r.coreWait > coreWaitLimit && len(r.violations) > 0 &&
		!slices.ContainsFunc(r.violations, func(v string) bool { return !timingViolation.MatchString(v) })
}

// class returns the class of the first violation. A reduced case has to fail with the same class.
func (r *trialResult) class() string { return violationClass(r.violations[0]) }

// hasClass reports whether one of the violations is of the class.
func (r *trialResult) hasClass(class string) bool {
	return slices.ContainsFunc(r.violations, func(v string) bool { return violationClass(v) == class })
}

// variableParts matches the parts in which two violations of one class differ.
var variableParts = regexp.MustCompile(
	`"(?:[^"\\]|\\.)*"|\b[0-9a-f]{16}\b|n\d+[-\w]*|[-+]?\d[\d.:]*(?:e[-+]?\d+)?(?:ns|µs|ms|m|s)?\w*`)

// violationClass returns the first line of a violation with the variable parts replaced. If a process ended, the reason that
// it logged is included.
func violationClass(violation string) string {
	class, _, _ := strings.Cut(violation, "\n")
	if _, reason, found := strings.Cut(violation, "valveglade: "); found { // why the process ended
		class += reason
	}
	return variableParts.ReplaceAllString(class, "_")
}

// trial is a running trial.
type trial struct {
	run        *experimentRun
	testCase   drawn.Case
	decoded    drawn.ParsedConfig
	checker    *rig.Checker
	catalog    *rig.Catalog
	roster     *rig.Roster
	directory  string
	servers    []*trialServer
	startedAt  time.Time
	rosterDown atomic.Bool

	mu     sync.Mutex
	result trialResult
}

// runTrial runs one case and returns its result, or an error that wraps errTrialSetup.
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

// violate records a violation of a rule.
func (t *trial) violate(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.result.violations = append(t.result.violations, fmt.Sprintf(format, args...))
}

// prepare creates the stand-ins and the app servers, and starts no process.
func (t *trial) prepare() (err error) {
	if t.decoded, err = t.testCase.Settings.ParsedConfig(); err != nil {
		return err
	}
	if t.directory, err = os.MkdirTemp("", "faults"); err != nil {
		return err
	}
	t.checker = rig.NewChecker(checkTolerance)
	t.checker.ExpectResendAfterClose()
	t.catalog = rig.NewCatalog()
	t.checker.CheckServers(t.checkerSettings())
	if t.roster, err = rig.NewRoster(); err != nil {
		return err
	}
	var names []string
	for k := range t.testCase.Servers {
		names = append(names, serverName(k))
	}
	t.roster.CheckReports(t.checker, names...)
	for k := range t.testCase.Servers {
		s, err := t.newServer(k)
		if err != nil {
			return err
		}
		t.servers = append(t.servers, s)
	}
	return nil
}

// checkerSettings returns the settings against which the checker checks app servers.
func (t *trial) checkerSettings() rig.ServerSettings {
	settings := rig.ServerSettings{Methods: map[string]rig.MethodSettings{}, Catalog: t.catalog}
	for _, m := range t.methods() {
		settings.Methods[m.Name] = rig.MethodSettings{Kind: rpc.Kind(m.Kind), Deadline: m.deadline, Window: m.window}
	}
	return settings
}

// kernelConfig returns the configuration of an app server's simulated kernel, derived from the settings of the case.
func (t *trial) kernelConfig(number int) rig.KernelConfig {
	domain, rules := t.decoded.Settings.Domain, t.decoded.Settings.Rules
	config := rig.KernelConfig{Cores: max(int(domain.NCores), 1),
		Preemption: rig.Preemption(cmp.Or(domain.Preemption, string(rig.PreemptNone))),
		Gauges:     domain.OwnStats, Memory: rig.BookedMemory{KB: domain.MemoryKB, RunFactor: domain.RunFactor},
		Overload: rig.OverloadLimit{Factor: rules.OverloadFactor, Window: secondsToDuration(rules.FallS)},
		Seed:     t.testCase.Seed + uint64(number)<<32,
		Cold: rig.ColdStart{Capacity: rules.StartCapacity, Ramp: secondsToDuration(rules.RampTimeS),
			Window: secondsToDuration(rules.FallS)}}
	for _, m := range t.testCase.Settings.Methods {
		config.Methods = append(config.Methods, m.Name)
	}
	return config
}

// tearDown ends all processes and stand-ins of the trial and removes its directory.
func (t *trial) tearDown() {
	for _, s := range t.servers {
		s.close()
	}
	t.roster.Close()
	os.RemoveAll(t.directory)
}

// startServers starts all processes together, with the faults that apply from their start.
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

// runLoadAndFaults runs the load and, at their times, the faults concurrently. The load ends faultFreeTime after the last fault.
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
	time.Sleep(t.run.scaled(faultFreeTime))
	stop()
	loads.Wait()
}

// latenessInterval is the length of the sleeps that measureLateness measures.
const latenessInterval = 10 * time.Millisecond

// measureLateness records how late this process wakes up from sleeps, until ctx ends.
func (t *trial) measureLateness(ctx context.Context) {
	for ctx.Err() == nil {
		startedAt := time.Now()
		time.Sleep(latenessInterval)
		t.recordCoreWait(time.Since(startedAt) - latenessInterval)
	}
}

// recordCoreWait records a wait for a core.
func (t *trial) recordCoreWait(wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.result.coreWait = max(t.result.coreWait, wait)
}

// checkServersAtRest checks all app servers without load, concurrently.
func (t *trial) checkServersAtRest() {
	var checks sync.WaitGroup
	for _, s := range t.servers {
		checks.Go(s.checkAtRest)
	}
	checks.Wait()
}

// stopServers shuts all app servers down and waits until they have ended.
func (t *trial) stopServers() {
	var stops sync.WaitGroup
	for _, s := range t.servers {
		stops.Go(s.stop)
	}
	stops.Wait()
}

// collectViolations collects the violations of the checker, the logs and the load.
func (t *trial) collectViolations() {
	for _, s := range t.servers {
		s.checkLogAndLoad()
	}
	t.checker.Finish()
	for _, v := range t.checker.Violations() {
		if v.Rule != callersRule {
			t.violate("%s%s", v, t.logBeforeExit(v.Description))
		}
	}
	t.result.tries, t.result.runs = t.checker.Count("tries"), t.checker.Count("runs")
}

// logBeforeExit returns the last log lines of a process if the violation says that the process ended by itself, else "".
func (t *trial) logBeforeExit(violation string) string {
	name, message, _ := strings.Cut(violation, " ")
	for _, s := range t.servers {
		if s.program.Name == name && strings.HasPrefix(message, "ended") {
			return "\n" + s.logTail()
		}
	}
	return ""
}

// callersRule is the number of the checker's rule for callers. Trials ignore it: it says nothing about app servers.
const callersRule = 5

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
