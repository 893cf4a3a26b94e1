package main

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"valveglade/rig"
)

// Bounds of the restart experiment.
const (
	restartSockets          = 128                     // limits.sockets of each app server
	restartExcess           = 16                      // idle clients over limits.sockets
	restartReadyTimeout     = 10 * time.Second        // from the start of a process, or from the return of a late kernel
	restartReconnectTimeout = 3 * time.Second         // for a link or report after the other side's return
	restartIdleClients      = restartSockets * 5 / 4  // idle clients of each app server: some are between two connections
	restartFloodFactor      = 2                       // times as many idle clients at the app server that is flooded
	restartIdlePause        = 500 * time.Millisecond  // between an idle client's connections
	restartFloodPause       = 200 * time.Millisecond  // between those of a flood
	restartRate             = 15.0                    // RPCs per second of each caller
	restartDeadline         = time.Second             // of an RPC
	restartRetryDelay       = 10 * time.Millisecond   // between a caller's tries
	restartLateKernelShare  = 0.3                     // of kernels that are late
	restartFullTable        = restartSockets * 9 / 10 // descriptors from which a table counts as full
)

// restartFleet is the fleet under test with its callers and idle clients.
type restartFleet struct {
	*rig.Fleet
	check     *rig.Checker
	calls     *callLog
	load      sync.WaitGroup
	stop      context.CancelFunc
	idle      []*rig.IdleClients
	killCount atomic.Int64 // changes before and after each kill
}

// runRestart fills the descriptors of app servers with idle clients while the roster is down, breaks their kernel links,
// kills all of them and starts them again, some before their kernels are there.
func runRestart(p *experimentRun) error {
	count := 20
	if p.shortForm {
		count = 6
	}
	f, err := p.newRestartFleet(count)
	if err != nil {
		return err
	}
	defer f.close()
	before := f.awaitDescriptors()
	f.startLoad(p.Seed)
	time.Sleep(p.scaled(time.Second))

	f.Roster.Down()
	p.startIdle(f)
	p.awaitFullTables(f)
	full := startDescriptorSampler(f)
	steady := f.measureWindow("full", func() { time.Sleep(p.scaled(6 * time.Second)) })
	p.runKernelOutage(f)
	outcomes := []callWindow{steady}
	after, err := p.restartAllServers(f)
	if err != nil {
		return err
	}
	outcomes = append(outcomes, after)
	full.close(p)
	for _, o := range outcomes {
		p.judgeAnswered(f, o)
	}
	f.stopIdle()
	f.stopLoad()
	p.judgeDescriptorsLeftOver(f, before)
	var violations violationLog
	violations.collect(f.check)
	for _, name := range []string{"turned.away", "crossed"} {
		p.report(name, float64(f.check.Count(name)))
	}
	violations.report(p)
	return nil
}

func (p *experimentRun) newRestartFleet(count int) (*restartFleet, error) {
	site := tillSite(4, 30)
	site.Sockets = restartSockets
	check := rig.NewChecker(rigSlack)
	check.ResendCrossed()
	fleet, err := rig.NewFleet(p.Program, count, site, check)
	if err != nil {
		return nil, err
	}
	return &restartFleet{Fleet: fleet, check: check, calls: newCallLog()}, nil
}

func (f *restartFleet) close() {
	f.stopIdle()
	f.stopLoad()
	f.Fleet.Close()
}

// awaitDescriptors counts those of each process once its kernel link and its reports are there.
func (f *restartFleet) awaitDescriptors() []int {
	for end := time.Now().Add(restartReadyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if !slices.ContainsFunc(f.Programs, func(s *rig.Program) bool {
			_, heard := f.Roster.FirstHeard(s.Name)
			return !heard || s.Kernel.LinkedAt().IsZero()
		}) {
			break
		}
	}
	return f.countDescriptors()
}

func (f *restartFleet) countDescriptors() []int {
	var all []int
	for _, s := range f.Programs {
		all = append(all, s.Process.Descriptors())
	}
	return all
}

// startLoad gives each app server two callers: one keeps its connection, one connects for each RPC.
func (f *restartFleet) startLoad(seed uint64) {
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	for k, s := range f.Programs {
		for j := range 2 {
			caller := &retryingCaller{source: 2*k + j + 1, address: f.Nets[k].Address(), connectPerCall: j == 1, killCount: &f.killCount}
			f.load.Go(func() {
				defer caller.Close()
				f.runLoad(ctx, s.Name, caller, seed+uint64(2*k+j)<<32)
			})
		}
	}
}

func (f *restartFleet) runLoad(ctx context.Context, server string, caller *retryingCaller, seed uint64) {
	load := rig.Load{Seed: seed, Length: time.Hour, Prefix: fmt.Sprintf("%s-%d-", server, caller.source),
		Shares: till(0.004, restartDeadline), Rate: func(float64) float64 { return restartRate }}
	load.Run(ctx, f.check, recordingCaller{caller, f.calls, server})
}

func (f *restartFleet) stopLoad() {
	if f.stop != nil {
		f.stop()
	}
	f.load.Wait()
}

// startIdle has idle clients hold the tables of all app servers, and flood one that is drawn from the seed: there new ones
// arrive faster than those before them count as silent.
func (p *experimentRun) startIdle(f *restartFleet) {
	flooded := rand.New(rand.NewPCG(p.Seed, 3)).IntN(len(f.Programs))
	p.printNote("%s is flooded", f.Programs[flooded].Name)
	for k, s := range f.Programs {
		clients, pause := restartIdleClients, restartIdlePause
		if k == flooded {
			clients, pause = restartFloodFactor*restartIdleClients, restartFloodPause
		}
		f.idle = append(f.idle, rig.NewIdleClients(s.Address, clients, pause, p.Seed+uint64(k)<<32))
	}
}

func (f *restartFleet) stopIdle() {
	for _, clients := range f.idle {
		clients.Close()
	}
	f.idle = nil
}

// awaitFullTables waits until each table of descriptors is full.
func (p *experimentRun) awaitFullTables(f *restartFleet) {
	began := time.Now()
	for time.Since(began) < 5*time.Second {
		if slices.Min(f.countDescriptors()) >= restartFullTable {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	p.atMost("full.after.s", time.Since(began).Seconds(), 4.9)
}

// runKernelOutage ends all kernel links, has reconnects refused for a while, and measures how long after the kernels'
// return the links stand again.
func (p *experimentRun) runKernelOutage(f *restartFleet) {
	for _, s := range f.Programs {
		s.Kernel.Down()
	}
	f.measureWindow("kernel.out", func() { time.Sleep(p.scaled(2 * time.Second)) }).report(p)
	returned := time.Now()
	for _, s := range f.Programs {
		if err := s.Kernel.Return(); err != nil {
			f.check.Failed("%v", err)
		}
	}
	worst := 0.0
	for _, s := range f.Programs {
		worst = max(worst, secondsAfter(awaitTime(2*restartReconnectTimeout, s.Kernel.LinkedAt), returned))
	}
	p.atMost("kernel.back.max.s", worst, restartReconnectTimeout.Seconds())
}

// lateKernel is how one kernel is late for the restart of its app server.
type lateKernel struct {
	server          *rig.Program
	delay           time.Duration
	withholdsBooted bool // its link is accepted and BOOTED held back; else connections are refused
}

// drawLateKernels chooses the late kernels; the last one is later than a process may take to be ready.
func (p *experimentRun) drawLateKernels(f *restartFleet) []lateKernel {
	chance := rand.New(rand.NewPCG(p.Seed, 7))
	count := max(2, int(restartLateKernelShare*float64(len(f.Programs))))
	var late []lateKernel
	for k, at := range chance.Perm(len(f.Programs))[:count] {
		by := time.Duration((0.5 + 5.5*chance.Float64()) * float64(time.Second))
		if k == count-1 {
			by = restartReadyTimeout + time.Second
		}
		late = append(late, lateKernel{f.Programs[at], p.scaled(by), k%2 == 0})
	}
	return late
}

// start makes the kernel late, before its app server is killed.
func (l lateKernel) start() {
	if l.withholdsBooted {
		l.server.Kernel.Withhold()
	} else {
		l.server.Kernel.Down()
	}
}

func (l lateKernel) end(check *rig.Checker) {
	if l.withholdsBooted {
		l.server.Kernel.Release()
	} else if err := l.server.Kernel.Return(); err != nil {
		check.Failed("%v", err)
	}
}

// restartAllServers kills all processes at once, starts them again, and judges when each is ready.
func (p *experimentRun) restartAllServers(f *restartFleet) (callWindow, error) {
	late := p.drawLateKernels(f)
	for _, l := range late {
		l.start()
	}
	errs := make([]error, len(f.Programs))
	var restarts sync.WaitGroup
	f.killCount.Add(1)
	began := time.Now()
	for k, s := range f.Programs {
		restarts.Go(func() {
			s.Kill()
			f.killCount.Add(1) // for what was asked for after the first count and before the kill
			errs[k] = s.Start()
		})
	}
	var returns sync.WaitGroup
	judgedFrom := map[string]time.Time{}
	for _, l := range late {
		word := "refuses"
		if l.withholdsBooted {
			word = "accepts and withholds BOOTED"
		}
		p.printNote("kernel of %s %s for %.1f s", l.server.Name, word, l.delay.Seconds())
		if l.delay > p.scaled(restartReadyTimeout) {
			judgedFrom[l.server.Name] = began.Add(l.delay)
			p.printNote("%s is judged from its kernel's return", l.server.Name)
		}
		returns.Go(func() {
			time.Sleep(time.Until(began.Add(l.delay)))
			l.end(f.check)
		})
	}
	restarts.Wait()
	if err := errors.Join(errs...); err != nil {
		return callWindow{}, err
	}
	time.Sleep(time.Until(began.Add(p.scaled(4 * time.Second))))
	returned := time.Now()
	if err := f.Roster.Return(); err != nil {
		return callWindow{}, err
	}
	returns.Wait()
	p.judgeReadiness(f, began, returned, judgedFrom, late)
	return f.measureWindow("restarted", func() { time.Sleep(p.scaled(6 * time.Second)) }), nil
}

// judgeReadiness waits for each app server and judges the times. One is ready when its kernel link stands, the roster has
// heard of it and it has served an RPC since its start.
func (p *experimentRun) judgeReadiness(f *restartFleet, began, rosterBack time.Time, judgedFrom map[string]time.Time, late []lateKernel) {
	inTime, rosterWorst, linkWorst, slowest := 0, 0.0, 0.0, ""
	var took []float64
	for _, s := range f.Programs {
		linked := awaitTime(restartReadyTimeout, s.Kernel.LinkedAt)
		heard := awaitTime(restartReadyTimeout, func() time.Time { at, _ := f.Roster.FirstHeard(s.Name); return at })
		served := awaitTime(restartReadyTimeout, func() time.Time { return f.calls.firstServed(s.Name, began) })
		from := began
		if at, ok := judgedFrom[s.Name]; ok {
			from = at
		}
		ready := max(secondsAfter(linked, from), secondsAfter(heard, from), secondsAfter(served, from))
		if ready <= restartReadyTimeout.Seconds() {
			inTime++
		} else {
			p.printNote("%s: link after %.2f s, roster %.2f s, first RPC served %.2f s", s.Name, secondsAfter(linked, from), secondsAfter(heard, from),
				secondsAfter(served, from))
		}
		took = append(took, ready)
		reportable := rosterBack
		for _, l := range late {
			if l.server == s {
				linkWorst = max(linkWorst, secondsAfter(linked, began.Add(l.delay)))
				reportable = laterOf(reportable, began.Add(l.delay))
			}
		}
		if back := secondsAfter(heard, reportable); back > rosterWorst {
			rosterWorst, slowest = back, s.Name
		}
	}
	p.atLeast("ready.within.10s", float64(inTime)/float64(len(f.Programs)), 0.9)
	p.report("ready.median.s", quantile(took, 0.5))
	p.report("ready.max.s", slices.Max(took))
	p.atMost("kernel.late.back.max.s", linkWorst, restartReconnectTimeout.Seconds())
	p.atMost("roster.back.max.s", rosterWorst, restartReconnectTimeout.Seconds())
	p.printNote("last on the roster: %s", slowest)
}

// judgeAnswered judges the RPCs of one window.
func (p *experimentRun) judgeAnswered(f *restartFleet, w callWindow) {
	p.atLeast("answered."+w.name, w.answeredShare(), 0.99)
	w.report(p)
	if len(w.failures) > 0 {
		p.printNote("unanswered while %s: %s", w.name, strings.Join(w.failures[:min(len(w.failures), 5)], "; "))
	}
}

// judgeDescriptorsLeftOver judges the descriptors once all clients have left.
func (p *experimentRun) judgeDescriptorsLeftOver(f *restartFleet, before []int) {
	over := math.MaxInt
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end) && over > 0; time.Sleep(50 * time.Millisecond) {
		over = math.MinInt
		for k, n := range f.countDescriptors() {
			over = max(over, n-before[k])
		}
	}
	p.report("descriptors.before", float64(slices.Max(before)))
	p.atMost("descriptors.left.over", float64(over), 0)
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// secondsAfter is how long after from something happened; +Inf if it never did.
func secondsAfter(at, from time.Time) float64 {
	if at.IsZero() {
		return math.Inf(1)
	}
	return at.Sub(from).Seconds()
}

// awaitTime polls a time until it is set; zero if it is not within the span.
func awaitTime(within time.Duration, read func() time.Time) time.Time {
	for end := time.Now().Add(within); ; time.Sleep(10 * time.Millisecond) {
		if at := read(); !at.IsZero() || time.Now().After(end) {
			return at
		}
	}
}
