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
	restartSockets   = 128                     // limits.sockets of each app server
	restartExcess    = 16                      // idle clients over limits.sockets
	restartReady     = 10 * time.Second        // from the start of a process, or from the return of a late kernel
	restartBack      = 3 * time.Second         // for a link or report after the other side's return
	restartClients   = restartSockets * 5 / 4  // idle clients of each app server: some are between two connections
	restartFlood     = 2                       // times as many idle clients at the app server that is flooded
	restartPause     = 500 * time.Millisecond  // between an idle client's connections
	restartFastPause = 200 * time.Millisecond  // between those of a flood
	restartRate      = 15.0                    // RPCs per second of each caller
	restartDeadline  = time.Second             // of an RPC
	restartRetry     = 10 * time.Millisecond   // between a caller's tries
	restartLateShare = 0.3                     // of kernels that are late
	restartFull      = restartSockets * 9 / 10 // descriptors from which a table counts as full
)

// restartFleet is the fleet under test with its callers and idle clients.
type restartFleet struct {
	*rig.Fleet
	check *rig.Checker
	calls *callLog
	load  sync.WaitGroup
	stop  context.CancelFunc
	idle  []*rig.IdleClients
	kills atomic.Int64 // changes before and after each kill
}

// playRestart fills the descriptors of app servers with idle clients while the roster is down, breaks their kernel links,
// kills all of them and starts them again, some before their kernels are there.
func playRestart(p *play) error {
	count := 20
	if p.brief {
		count = 6
	}
	f, err := p.newRestartFleet(count)
	if err != nil {
		return err
	}
	defer f.close()
	before := f.descriptors()
	f.startLoad(p.Seed)
	time.Sleep(p.span(time.Second))

	f.Roster.Down()
	p.startIdle(f)
	p.restartFill(f)
	full := newTableWatch(f)
	steady := f.window("full", func() { time.Sleep(p.span(6 * time.Second)) })
	p.restartKernelOutage(f)
	outcomes := []callWindow{steady}
	after, err := p.restartAll(f)
	if err != nil {
		return err
	}
	outcomes = append(outcomes, after)
	full.close(p)
	for _, o := range outcomes {
		p.restartAnswered(f, o)
	}
	f.stopIdle()
	f.stopLoad()
	p.restartLeftOver(f, before)
	var violations violationLog
	violations.collect(f.check)
	for _, name := range []string{"turned.away", "crossed"} {
		p.inform(name, float64(f.check.Count(name)))
	}
	violations.report(p)
	return nil
}

func (p *play) newRestartFleet(count int) (*restartFleet, error) {
	site := tillSite(4, 30)
	site.Sockets = restartSockets
	check := rig.NewChecker(rigSlack)
	check.ExpectResendAfterClose()
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

// descriptors counts those of each process once its kernel link and its reports are there.
func (f *restartFleet) descriptors() []int {
	for end := time.Now().Add(restartReady); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if !slices.ContainsFunc(f.Programs, func(s *rig.Program) bool {
			_, heard := f.Roster.FirstHeard(s.Name)
			return !heard || s.Kernel.LinkedAt().IsZero()
		}) {
			break
		}
	}
	return f.count()
}

func (f *restartFleet) count() []int {
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
			caller := &retryingCaller{source: 2*k + j + 1, address: f.Nets[k].Address(), fresh: j == 1, kills: &f.kills}
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
func (p *play) startIdle(f *restartFleet) {
	flooded := rand.New(rand.NewPCG(p.Seed, 3)).IntN(len(f.Programs))
	p.say("%s is flooded", f.Programs[flooded].Name)
	for k, s := range f.Programs {
		clients, pause := restartClients, restartPause
		if k == flooded {
			clients, pause = restartFlood*restartClients, restartFastPause
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

// restartFill waits until each table of descriptors is full.
func (p *play) restartFill(f *restartFleet) {
	began := time.Now()
	for time.Since(began) < 5*time.Second {
		if slices.Min(f.count()) >= restartFull {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	p.atMost("full.after.s", time.Since(began).Seconds(), 4.9)
}

// restartKernelOutage ends all kernel links, has reconnects refused for a while, and measures how long after the kernels'
// return the links stand again.
func (p *play) restartKernelOutage(f *restartFleet) {
	for _, s := range f.Programs {
		s.Kernel.TakeDown()
	}
	f.window("kernel.out", func() { time.Sleep(p.span(2 * time.Second)) }).inform(p)
	returned := time.Now()
	for _, s := range f.Programs {
		if err := s.Kernel.BringUp(); err != nil {
			f.check.RigFailed("%v", err)
		}
	}
	worst := 0.0
	for _, s := range f.Programs {
		worst = max(worst, seconds(untilSet(2*restartBack, s.Kernel.LinkedAt), returned))
	}
	p.atMost("kernel.back.max.s", worst, restartBack.Seconds())
}

// lateKernel is how one kernel is late for the restart of its app server.
type lateKernel struct {
	server   *rig.Program
	by       time.Duration
	withheld bool // its link is accepted and BOOTED held back; else connections are refused
}

// drawLate chooses the late kernels; the last one is later than a process may take to be ready.
func (p *play) drawLate(f *restartFleet) []lateKernel {
	chance := rand.New(rand.NewPCG(p.Seed, 7))
	count := max(2, int(restartLateShare*float64(len(f.Programs))))
	var late []lateKernel
	for k, at := range chance.Perm(len(f.Programs))[:count] {
		by := time.Duration((0.5 + 5.5*chance.Float64()) * float64(time.Second))
		if k == count-1 {
			by = restartReady + time.Second
		}
		late = append(late, lateKernel{f.Programs[at], p.span(by), k%2 == 0})
	}
	return late
}

// start makes the kernel late, before its app server is killed.
func (l lateKernel) start() {
	if l.withheld {
		l.server.Kernel.WithholdNotices()
	} else {
		l.server.Kernel.TakeDown()
	}
}

func (l lateKernel) end(check *rig.Checker) {
	if l.withheld {
		l.server.Kernel.ReleaseNotices()
	} else if err := l.server.Kernel.BringUp(); err != nil {
		check.RigFailed("%v", err)
	}
}

// restartAll kills all processes at once, starts them again, and judges when each is ready.
func (p *play) restartAll(f *restartFleet) (callWindow, error) {
	late := p.drawLate(f)
	for _, l := range late {
		l.start()
	}
	errs := make([]error, len(f.Programs))
	var restarts sync.WaitGroup
	f.kills.Add(1)
	began := time.Now()
	for k, s := range f.Programs {
		restarts.Go(func() {
			s.Kill()
			f.kills.Add(1) // for what was asked for after the first count and before the kill
			errs[k] = s.Start()
		})
	}
	var returns sync.WaitGroup
	judgedFrom := map[string]time.Time{}
	for _, l := range late {
		word := "refuses"
		if l.withheld {
			word = "accepts and withholds BOOTED"
		}
		p.say("kernel of %s %s for %.1f s", l.server.Name, word, l.by.Seconds())
		if l.by > p.span(restartReady) {
			judgedFrom[l.server.Name] = began.Add(l.by)
			p.say("%s is judged from its kernel's return", l.server.Name)
		}
		returns.Go(func() {
			time.Sleep(time.Until(began.Add(l.by)))
			l.end(f.check)
		})
	}
	restarts.Wait()
	if err := errors.Join(errs...); err != nil {
		return callWindow{}, err
	}
	time.Sleep(time.Until(began.Add(p.span(4 * time.Second))))
	returned := time.Now()
	if err := f.Roster.Return(); err != nil {
		return callWindow{}, err
	}
	returns.Wait()
	p.restartReady(f, began, returned, judgedFrom, late)
	return f.window("restarted", func() { time.Sleep(p.span(6 * time.Second)) }), nil
}

// restartReady waits for each app server and judges the times. One is ready when its kernel link stands, the roster has
// heard of it and it has served an RPC since its start.
func (p *play) restartReady(f *restartFleet, began, rosterBack time.Time, judgedFrom map[string]time.Time, late []lateKernel) {
	inTime, rosterWorst, linkWorst, slowest := 0, 0.0, 0.0, ""
	var took []float64
	for _, s := range f.Programs {
		linked := untilSet(restartReady, s.Kernel.LinkedAt)
		heard := untilSet(restartReady, func() time.Time { at, _ := f.Roster.FirstHeard(s.Name); return at })
		served := untilSet(restartReady, func() time.Time { return f.calls.firstServed(s.Name, began) })
		from := began
		if at, ok := judgedFrom[s.Name]; ok {
			from = at
		}
		ready := max(seconds(linked, from), seconds(heard, from), seconds(served, from))
		if ready <= restartReady.Seconds() {
			inTime++
		} else {
			p.say("%s: link after %.2f s, roster %.2f s, first RPC served %.2f s", s.Name, seconds(linked, from), seconds(heard, from),
				seconds(served, from))
		}
		took = append(took, ready)
		reportable := rosterBack
		for _, l := range late {
			if l.server == s {
				linkWorst = max(linkWorst, seconds(linked, began.Add(l.by)))
				reportable = latest(reportable, began.Add(l.by))
			}
		}
		if back := seconds(heard, reportable); back > rosterWorst {
			rosterWorst, slowest = back, s.Name
		}
	}
	p.atLeast("ready.within.10s", float64(inTime)/float64(len(f.Programs)), 0.9)
	p.inform("ready.median.s", quantile(took, 0.5))
	p.inform("ready.max.s", slices.Max(took))
	p.atMost("kernel.late.back.max.s", linkWorst, restartBack.Seconds())
	p.atMost("roster.back.max.s", rosterWorst, restartBack.Seconds())
	p.say("last on the roster: %s", slowest)
}

// restartAnswered judges the RPCs of one window.
func (p *play) restartAnswered(f *restartFleet, w callWindow) {
	p.atLeast("answered."+w.name, w.answeredShare(), 0.99)
	w.inform(p)
	if len(w.failures) > 0 {
		p.say("unanswered while %s: %s", w.name, strings.Join(w.failures[:min(len(w.failures), 5)], "; "))
	}
}

// restartLeftOver judges the descriptors once all clients have left.
func (p *play) restartLeftOver(f *restartFleet, before []int) {
	over := math.MaxInt
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end) && over > 0; time.Sleep(50 * time.Millisecond) {
		over = math.MinInt
		for k, n := range f.count() {
			over = max(over, n-before[k])
		}
	}
	p.inform("descriptors.before", float64(slices.Max(before)))
	p.atMost("descriptors.left.over", float64(over), 0)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// seconds is how long after from something happened; +Inf if it never did.
func seconds(at, from time.Time) float64 {
	if at.IsZero() {
		return math.Inf(1)
	}
	return at.Sub(from).Seconds()
}

// untilSet polls a time until it is set; zero if it is not within the span.
func untilSet(within time.Duration, read func() time.Time) time.Time {
	for end := time.Now().Add(within); ; time.Sleep(10 * time.Millisecond) {
		if at := read(); !at.IsZero() || time.Now().After(end) {
			return at
		}
	}
}
