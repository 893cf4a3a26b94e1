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
	trialSlack = 500 * time.Millisecond // past what the rules name: several trials and other work share the machine
	trialRest  = 700 * time.Millisecond // in which an app server without work is watched
	trialIdle  = 0.2                    // of a core, at most, that it takes then
	trialMute  = 3 * time.Second        // at most, between answers to health checks
	trialReady = 10 * time.Second       // from a restart to the first good health check
	trialLast  = 1500 * time.Millisecond
)

// trialResult is what a trial came to.
type trialResult struct {
	drawn           drawn.Case
	violations      []string
	restarts, ready int
	tries, runs     int
	again           int           // how often it was played again
	waited          time.Duration // the longest that a process waited for a core, within a second
}

// aboutTime is in violations that a machine may cause which is late itself.
var aboutTime = regexp.MustCompile(`after its (deadline|stop)|answers nobody|never answered|closed the connection over it`)

// mostWaited is how long a process may wait for a core, within a second, before violations about time show nothing.
const mostWaited = 200 * time.Millisecond

// starved tells whether the violations show nothing but that the machine was busy.
func (r *trialResult) starved() bool {
	return r.waited > mostWaited && len(r.violations) > 0 &&
		!slices.ContainsFunc(r.violations, func(v string) bool { return !aboutTime.MatchString(v) })
}

// class is by what a failing trial is known again when less is in it.
func (r *trialResult) class() string { return classOf(r.violations[0]) }

func (r *trialResult) has(class string) bool {
	return slices.ContainsFunc(r.violations, func(v string) bool { return classOf(v) == class })
}

// particulars are what differs between two violations of one kind.
var particulars = regexp.MustCompile(`"(?:[^"\\]|\\.)*"|\b[0-9a-f]{16}\b|n\d+[-\w]*|[-+]?\d[\d.:]*(?:e[-+]?\d+)?(?:ns|µs|ms|m|s)?\w*`)

func classOf(violation string) string {
	first, _, _ := strings.Cut(violation, "\n")
	if _, last, found := strings.Cut(violation, "valveglade: "); found { // why a process ended
		first += last
	}
	return particulars.ReplaceAllString(first, "_")
}

// trial is one under way.
type trial struct {
	p          *experimentRun
	drawn      drawn.Case
	told       drawn.ParsedConfig
	check      *rig.Checker
	catalog    *rig.Catalog
	roster     *rig.Roster
	folder     string
	servers    []*trialServer
	began      time.Time
	rosterDown atomic.Bool

	mu     sync.Mutex
	result trialResult
}

// trial plays one case.
func (p *experimentRun) trial(c drawn.Case) (*trialResult, error) {
	t := &trial{p: p, drawn: c, result: trialResult{drawn: c}}
	if err := t.prepare(); err != nil {
		return nil, fmt.Errorf("%w: %w", errNoTrial, err)
	}
	defer t.clear()
	ctx, over := context.WithCancel(context.Background())
	var watching sync.WaitGroup
	watching.Go(func() { t.witness(ctx) })
	t.start()
	for _, s := range t.servers {
		watching.Go(func() { s.watch(ctx) })
	}
	t.play()
	t.rest()
	t.stop()
	over()
	watching.Wait()
	t.judge()
	return &t.result, nil
}

// violate takes note of a broken rule.
func (t *trial) violate(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.result.violations = append(t.result.violations, fmt.Sprintf(format, args...))
}

func (t *trial) prepare() (err error) {
	if t.told, err = t.drawn.Settings.ParsedConfig(); err != nil {
		return err
	}
	if t.folder, err = os.MkdirTemp("", "faults"); err != nil {
		return err
	}
	t.check = rig.NewChecker(trialSlack)
	t.check.ExpectResendAfterClose()
	t.catalog = rig.NewCatalog()
	t.check.CheckServers(t.terms())
	if t.roster, err = rig.NewRoster(); err != nil {
		return err
	}
	var names []string
	for k := range t.drawn.Servers {
		names = append(names, serverName(k))
	}
	t.roster.CheckReports(t.check, names...)
	for k := range t.drawn.Servers {
		s, err := t.newServer(k)
		if err != nil {
			return err
		}
		t.servers = append(t.servers, s)
	}
	return nil
}

// terms are what app servers are judged by.
func (t *trial) terms() rig.ServerSettings {
	terms := rig.ServerSettings{Methods: map[string]rig.MethodSettings{}, Catalog: t.catalog}
	for _, m := range t.methods() {
		terms.Methods[m.Name] = rig.MethodSettings{Kind: rpc.Kind(m.Effect), Deadline: m.deadline, Window: m.window}
	}
	return terms
}

// kernel is the stand-in of the settings.
func (t *trial) kernel(number int) rig.KernelConfig {
	domain, rules := t.told.Settings.Domain, t.told.Settings.Rules
	config := rig.KernelConfig{Cores: max(int(domain.NCores), 1), Preemption: rig.Preemption(cmp.Or(domain.Preemption, string(rig.PreemptNone))),
		Gauges: domain.OwnStats, Memory: rig.BookedMemory{KB: domain.MemoryKB, RunFactor: domain.RunFactor},
		Overload: rig.OverloadLimit{Factor: rules.OverloadFactor, Window: seconds64(rules.FallS)}, Seed: t.drawn.Seed + uint64(number)<<32,
		Cold: rig.ColdStart{Capacity: rules.StartCapacity, Ramp: seconds64(rules.RampTimeS), Window: seconds64(rules.FallS)}}
	for _, m := range t.drawn.Settings.Methods {
		config.Methods = append(config.Methods, m.Name)
	}
	return config
}

// clear ends what is left of a trial.
func (t *trial) clear() {
	for _, s := range t.servers {
		s.clear()
	}
	t.roster.Close()
	os.RemoveAll(t.folder)
}

// start has all processes begin together, with what is late from their start on.
func (t *trial) start() {
	t.began = time.Now()
	for _, s := range t.servers {
		for _, f := range t.drawn.Faults {
			if f.Server == s.number && f.Kind == drawn.KernelLate {
				s.withhold(f)
			}
		}
	}
	for _, s := range t.servers {
		s.launch()
	}
}

// play has the load and the faults go on side by side, each in its time.
func (t *trial) play() {
	ctx, stop := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for _, s := range t.servers {
		all.Go(func() { s.load(ctx) })
	}
	var faults sync.WaitGroup
	for _, f := range t.drawn.Faults {
		faults.Go(func() {
			time.Sleep(time.Until(t.began.Add(seconds64(f.At))))
			t.servers[f.Server].inflict(f)
		})
	}
	time.Sleep(time.Until(t.began.Add(seconds64(t.drawn.Seconds))))
	faults.Wait()
	time.Sleep(t.p.scaled(trialLast)) // without a fault
	stop()
	all.Wait()
}

// witnessEvery is between two looks of the witness.
const witnessEvery = 10 * time.Millisecond

// witness notes how late this process itself is.
func (t *trial) witness(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		time.Sleep(witnessEvery)
		t.noteWait(time.Since(began) - witnessEvery)
	}
}

// noteWait takes note of a wait for a core.
func (t *trial) noteWait(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.result.waited = max(t.result.waited, d)
}

// rest watches the app servers without load.
func (t *trial) rest() {
	var all sync.WaitGroup
	for _, s := range t.servers {
		all.Go(s.rest)
	}
	all.Wait()
}

// stop tells all app servers to leave and waits for their ends.
func (t *trial) stop() {
	var all sync.WaitGroup
	for _, s := range t.servers {
		all.Go(s.stop)
	}
	all.Wait()
}

// judge gathers what the checker and the logs say.
func (t *trial) judge() {
	for _, s := range t.servers {
		s.judge()
	}
	t.check.Finish()
	for _, v := range t.check.Violations() {
		if v.Rule != callersRule {
			t.violate("%s%s", v, t.endWords(v.Description))
		}
	}
	t.result.tries, t.result.runs = t.check.Count("tries"), t.check.Count("runs")
}

// endWords is what a process said before it ended by itself, if that is what the violation tells.
func (t *trial) endWords(violation string) string {
	name, rest, _ := strings.Cut(violation, " ")
	for _, s := range t.servers {
		if s.program.Name == name && strings.HasPrefix(rest, "ended") {
			return "\n" + s.lastWords()
		}
	}
	return ""
}

// callersRule is the checker's number for what callers, not app servers, may not do.
const callersRule = 5

func seconds64(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
