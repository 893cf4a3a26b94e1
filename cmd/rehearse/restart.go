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
	restartReadyTimeout     = 10 * time.Second        // from the start of a process, or from the end of a late kernel's delay
	restartReconnectTimeout = 3 * time.Second         // for a kernel link or a report to the roster after the other side's return
	restartIdleClients      = restartSockets * 5 / 4  // idle clients of each app server: some are between two connections
	restartFloodFactor      = 2                       // multiple of restartIdleClients at the flooded app server
	restartIdlePause        = 500 * time.Millisecond  // between an idle client's connections
	restartFloodPause       = 200 * time.Millisecond  // between an idle client's connections in a flood
	restartRate             = 15.0                    // RPCs per second of each caller
	restartDeadline         = time.Second             // of each RPC
	restartRetryDelay       = 10 * time.Millisecond   // between a caller's tries
	restartLateKernelShare  = 0.3                     // share of kernels that are late
	restartFullTable        = restartSockets * 9 / 10 // descriptors from which a descriptor table counts as full
)

// restartFleet is the fleet under test with its callers and idle clients.
type restartFleet struct {
	*rig.Fleet
	checker   *rig.Checker
	calls     *callLog
	load      sync.WaitGroup
	stop      context.CancelFunc
	idle      []*rig.IdleClients
	killCount atomic.Int64 // incremented before and after each kill
}

// runRestart is the experiment on restarts: idle clients fill the descriptors of all app servers while the roster is down, the
// kernel links fail, and all app servers are killed and started again, some before their kernels are available.
func runRestart(run *experimentRun) error {
	count := 20
	if run.shortForm {
		count = 6
	}
	f, err := run.newRestartFleet(count)
	if err != nil {
		return err
	}
	defer f.close()
	before := f.awaitDescriptors()
	f.startLoad(run.Seed)
	time.Sleep(run.scaled(time.Second))

	f.Roster.Stop()
	run.startIdle(f)
	run.awaitFullTables(f)
	sampler := startDescriptorSampler(f)
	fullWindow := f.measureWindow("full", func() { time.Sleep(run.scaled(6 * time.Second)) })
	run.runKernelOutage(f)
	windows := []callWindow{fullWindow}
	restartedWindow, err := run.restartAllServers(f)
	if err != nil {
		return err
	}
	windows = append(windows, restartedWindow)
	sampler.close(run)
	for _, w := range windows {
		run.checkAnswered(f, w)
	}
	f.stopIdle()
	f.stopLoad()
	run.checkDescriptorsLeftOver(f, before)
	var violations violationLog
	violations.collect(f.checker)
	for _, name := range []string{"turned.away", "crossed"} {
		run.report(name, float64(f.checker.Count(name)))
	}
	violations.report(run)
	return nil
}

// newRestartFleet starts count app servers. The caller must close the fleet.
func (run *experimentRun) newRestartFleet(count int) (*restartFleet, error) {
	site := pressureMixSite(4, 30)
	site.Sockets = restartSockets
	checker := rig.NewChecker(clusterSlack)
	checker.ExpectResendAfterClose()
	fleet, err := rig.NewFleet(run.Program, count, site, checker)
	if err != nil {
		return nil, err
	}
	return &restartFleet{Fleet: fleet, checker: checker, calls: newCallLog()}, nil
}

func (f *restartFleet) close() {
	f.stopIdle()
	f.stopLoad()
	f.Fleet.Close()
}

// awaitDescriptors returns the descriptor count of each process once the kernel link of each is up and the roster has its
// report, or after restartReadyTimeout.
func (f *restartFleet) awaitDescriptors() []int {
	for end := time.Now().Add(restartReadyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if !slices.ContainsFunc(f.Programs, func(s *rig.Program) bool {
			_, reported := f.Roster.FirstReported(s.Name)
			return !reported || s.Kernel.LinkedAt().IsZero()
		}) {
			break
		}
	}
	return f.countDescriptors()
}

// countDescriptors returns the current descriptor count of each process.
func (f *restartFleet) countDescriptors() []int {
	var counts []int
	for _, s := range f.Programs {
		counts = append(counts, s.Process.Descriptors())
	}
	return counts
}

// startLoad starts two callers for each app server: one keeps its connection, the other connects for each RPC.
func (f *restartFleet) startLoad(seed uint64) {
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	for k, s := range f.Programs {
		for j := range 2 {
			caller := &retryingCaller{source: 2*k + j + 1, address: f.Proxies[k].Address(), connectPerCall: j == 1,
				killCount: &f.killCount}
			f.load.Go(func() {
				defer caller.Close()
				f.runLoad(ctx, s.Name, caller, seed+uint64(2*k+j)<<32)
			})
		}
	}
}

func (f *restartFleet) runLoad(ctx context.Context, server string, caller *retryingCaller, seed uint64) {
	load := rig.Load{Seed: seed, Duration: time.Hour, Prefix: fmt.Sprintf("%s-%d-", server, caller.source),
		Shares: pressureMix(0.004, restartDeadline), Rate: func(float64) float64 { return restartRate }}
	load.Run(ctx, f.checker, recordingCaller{caller, f.calls, server})
}

func (f *restartFleet) stopLoad() {
	if f.stop != nil {
		f.stop()
	}
	f.load.Wait()
}

// startIdle starts idle clients that fill the descriptors of all app servers, and flood one that is drawn from the seed: there
// new connections arrive before earlier ones count as silent.
func (run *experimentRun) startIdle(f *restartFleet) {
	flooded := rand.New(rand.NewPCG(run.Seed, 3)).IntN(len(f.Programs))
	run.printNote("%s is flooded", f.Programs[flooded].Name)
	for k, s := range f.Programs {
		clients, pause := restartIdleClients, restartIdlePause
		if k == flooded {
			clients, pause = restartFloodFactor*restartIdleClients, restartFloodPause
		}
		f.idle = append(f.idle, rig.NewIdleClients(s.Address, clients, pause, run.Seed+uint64(k)<<32))
	}
}

func (f *restartFleet) stopIdle() {
	for _, clients := range f.idle {
		clients.Close()
	}
	f.idle = nil
}

// awaitFullTables waits until the descriptor table of each app server is full, and checks how long that took.
func (run *experimentRun) awaitFullTables(f *restartFleet) {
	began := time.Now()
	for time.Since(began) < 5*time.Second {
		if slices.Min(f.countDescriptors()) >= restartFullTable {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	run.atMost("full.after.s", time.Since(began).Seconds(), 4.9)
}

// runKernelOutage ends all kernel links, refuses reconnects for a while, and checks how long after the kernels' return the
// links are up again.
func (run *experimentRun) runKernelOutage(f *restartFleet) {
	for _, s := range f.Programs {
		s.Kernel.TakeDown()
	}
	f.measureWindow("kernel.out", func() { time.Sleep(run.scaled(2 * time.Second)) }).report(run)
	returned := time.Now()
	for _, s := range f.Programs {
		if err := s.Kernel.BringUp(); err != nil {
			f.checker.RigFailed("%v", err)
		}
	}
	maxDelay := 0.0
	for _, s := range f.Programs {
		maxDelay = max(maxDelay, secondsAfter(awaitTime(2*restartReconnectTimeout, s.Kernel.LinkedAt), returned))
	}
	run.atMost("kernel.back.max.s", maxDelay, restartReconnectTimeout.Seconds())
}

// lateKernel is a kernel that becomes available only some time after the restart of its app server.
type lateKernel struct {
	server          *rig.Program
	delay           time.Duration
	withholdsBooted bool // whether the kernel accepts the link and withholds BOOTED; else it refuses connections
}

// drawLateKernels draws the late kernels. The last one is later than restartReadyTimeout.
func (run *experimentRun) drawLateKernels(f *restartFleet) []lateKernel {
	random := rand.New(rand.NewPCG(run.Seed, 7))
	count := max(2, int(restartLateKernelShare*float64(len(f.Programs))))
	var lateKernels []lateKernel
	for k, index := range random.Perm(len(f.Programs))[:count] {
		delay := time.Duration((0.5 + 5.5*random.Float64()) * float64(time.Second))
		if k == count-1 {
			delay = restartReadyTimeout + time.Second
		}
		lateKernels = append(lateKernels, lateKernel{f.Programs[index], run.scaled(delay), k%2 == 0})
	}
	return lateKernels
}

// start makes the kernel unavailable, before its app server is killed.
func (l lateKernel) start() {
	if l.withholdsBooted {
		l.server.Kernel.WithholdNotices()
	} else {
		l.server.Kernel.TakeDown()
	}
}

// end makes the kernel available again.
func (l lateKernel) end(checker *rig.Checker) {
	if l.withholdsBooted {
		l.server.Kernel.ReleaseNotices()
	} else if err := l.server.Kernel.BringUp(); err != nil {
		checker.RigFailed("%v", err)
	}
}

// restartAllServers kills all processes at once, starts them again, and checks when each is ready. It returns the results of
// the RPCs after the restart.
func (run *experimentRun) restartAllServers(f *restartFleet) (callWindow, error) {
	lateKernels := run.drawLateKernels(f)
	for _, l := range lateKernels {
		l.start()
	}
	errs := make([]error, len(f.Programs))
	var restarts sync.WaitGroup
	f.killCount.Add(1)
	began := time.Now()
	for k, s := range f.Programs {
		restarts.Go(func() {
			s.Kill()
			f.killCount.Add(1) // covers the RPCs that began after the first increment and before the kill
			errs[k] = s.Start()
		})
	}
	var returns sync.WaitGroup
	readyTimeFrom := map[string]time.Time{}
	for _, l := range lateKernels {
		mode := "refuses"
		if l.withholdsBooted {
			mode = "accepts and withholds BOOTED"
		}
		run.printNote("kernel of %s %s for %.1f s", l.server.Name, mode, l.delay.Seconds())
		if l.delay > run.scaled(restartReadyTimeout) {
			readyTimeFrom[l.server.Name] = began.Add(l.delay)
			run.printNote("%s: time to readiness counts from its kernel's return", l.server.Name)
		}
		returns.Go(func() {
			time.Sleep(time.Until(began.Add(l.delay)))
			l.end(f.checker)
		})
	}
	restarts.Wait()
	if err := errors.Join(errs...); err != nil {
		return callWindow{}, err
	}
	time.Sleep(time.Until(began.Add(run.scaled(4 * time.Second))))
	returned := time.Now()
	if err := f.Roster.Restart(); err != nil {
		return callWindow{}, err
	}
	returns.Wait()
	run.checkReadiness(f, began, returned, readyTimeFrom, lateKernels)
	return f.measureWindow("restarted", func() { time.Sleep(run.scaled(6 * time.Second)) }), nil
}

// checkReadiness waits until the app servers are ready and checks the times. An app server is ready when its kernel link is up,
// the roster has received its report, and it has served an RPC since began. readyTimeFrom holds the start of the time to
// readiness where it is not began, by app server.
func (run *experimentRun) checkReadiness(f *restartFleet, began, rosterReturned time.Time, readyTimeFrom map[string]time.Time,
	lateKernels []lateKernel) {
	readyInTime, maxRosterDelay, maxLinkDelay, lastReported := 0, 0.0, 0.0, ""
	var readyTimes []float64
	for _, program := range f.Programs {
		linked := awaitTime(restartReadyTimeout, program.Kernel.LinkedAt)
		reported := awaitTime(restartReadyTimeout, func() time.Time { at, _ := f.Roster.FirstReported(program.Name); return at })
		served := awaitTime(restartReadyTimeout, func() time.Time { return f.calls.firstServed(program.Name, began) })
		from := began
		if at, ok := readyTimeFrom[program.Name]; ok {
			from = at
		}
		ready := max(secondsAfter(linked, from), secondsAfter(reported, from), secondsAfter(served, from))
		if ready <= restartReadyTimeout.Seconds() {
			readyInTime++
		} else {
			run.printNote("%s: link after %.2f s, roster %.2f s, first RPC served %.2f s", program.Name, secondsAfter(linked, from),
				secondsAfter(reported, from), secondsAfter(served, from))
		}
		readyTimes = append(readyTimes, ready)
		reportableFrom := rosterReturned
		for _, l := range lateKernels {
			if l.server == program {
				maxLinkDelay = max(maxLinkDelay, secondsAfter(linked, began.Add(l.delay)))
				reportableFrom = laterOf(reportableFrom, began.Add(l.delay))
			}
		}
		if delay := secondsAfter(reported, reportableFrom); delay > maxRosterDelay {
			maxRosterDelay, lastReported = delay, program.Name
		}
	}
	run.atLeast("ready.within.10s", float64(readyInTime)/float64(len(f.Programs)), 0.9)
	run.report("ready.median.s", quantile(readyTimes, 0.5))
	run.report("ready.max.s", slices.Max(readyTimes))
	run.atMost("kernel.late.back.max.s", maxLinkDelay, restartReconnectTimeout.Seconds())
	run.atMost("roster.back.max.s", maxRosterDelay, restartReconnectTimeout.Seconds())
	run.printNote("last on the roster: %s", lastReported)
}

// checkAnswered checks the share of the window's RPCs that got a reply.
func (run *experimentRun) checkAnswered(f *restartFleet, w callWindow) {
	run.atLeast("answered."+w.name, w.answeredShare(), 0.99)
	w.report(run)
	if len(w.failures) > 0 {
		run.printNote("unanswered while %s: %s", w.name, strings.Join(w.failures[:min(len(w.failures), 5)], "; "))
	}
}

// checkDescriptorsLeftOver checks that the descriptor counts fall to those of before once all clients have disconnected.
func (run *experimentRun) checkDescriptorsLeftOver(f *restartFleet, before []int) {
	maxExcess := math.MaxInt
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end) && maxExcess > 0; time.Sleep(50 * time.Millisecond) {
		maxExcess = math.MinInt
		for k, n := range f.countDescriptors() {
			maxExcess = max(maxExcess, n-before[k])
		}
	}
	run.report("descriptors.before", float64(slices.Max(before)))
	run.atMost("descriptors.left.over", float64(maxExcess), 0)
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// secondsAfter returns the seconds between from and at, or +Inf if at is zero.
func secondsAfter(at, from time.Time) float64 {
	if at.IsZero() {
		return math.Inf(1)
	}
	return at.Sub(from).Seconds()
}

// awaitTime polls read until it returns a time other than zero, and returns the zero time if that takes longer
// than within.
func awaitTime(within time.Duration, read func() time.Time) time.Time {
	for end := time.Now().Add(within); ; time.Sleep(10 * time.Millisecond) {
		if at := read(); !at.IsZero() || time.Now().After(end) {
			return at
		}
	}
}
