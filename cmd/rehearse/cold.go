package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"valveglade/client"
	"valveglade/rig"
)

// coldClients is how many client processes there are, none of which knows of the others.
const coldClients = 24

// coldServers is how many app servers there are; at least coldLeast of them restart cold.
const coldServers, coldLeast = 4, 3

// coldRecovery is how long after the ramp service may take to be back.
const coldRecovery = 3 * time.Second

// coldPlan is one cold restart, drawn from the seed.
type coldPlan struct {
	start    rig.ColdStart
	cores    int
	work     float64 // seconds on a core, on the mean
	deadline time.Duration
	cold     int     // how many app servers restart
	rate     float64 // RPCs a second, of all clients together
	warm     time.Duration
	outage   time.Duration
}

// length is the whole plan's.
func (c coldPlan) length() time.Duration {
	return c.warm + c.outage + c.start.Ramp + coldRecovery + time.Second
}

// drawColdPlan draws all that the settings may vary in.
func drawColdPlan(seed uint64, brief bool) coldPlan {
	draw := rand.New(rand.NewPCG(seed, 23))
	between := func(from, to float64) float64 { return from + (to-from)*draw.Float64() }
	seconds := func(from, to float64) time.Duration { return time.Duration(between(from, to) * float64(time.Second)) }
	c := coldPlan{
		start: rig.ColdStart{Capacity: between(0.15, 0.35), Ramp: seconds(5, 7), Window: seconds(1, 2)},
		cores: 1 + draw.IntN(3), work: between(0.008, 0.03), cold: coldLeast + draw.IntN(coldServers-coldLeast+1),
		warm: 2 * time.Second, outage: seconds(0.3, 1.5)}
	c.deadline = time.Duration(between(40, 60) * c.work * float64(time.Second))
	c.rate = between(0.5, 0.65) * coldServers * float64(c.cores) / c.work
	if brief {
		c.start.Ramp /= 2
	}
	return c
}

func (c coldPlan) site() rig.Site {
	site := shopSite(c.deadline)
	site.Cores, site.Callers, site.Cold = c.cores, coldClients, c.start
	return site
}

// coldSide is one kind of client against a fleet of its own.
type coldSide struct {
	peak  rig.Peak // the worst app server's
	back  float64  // seconds from the boot until service was back
	end   float64  // share of the RPCs after the ramp and the recovery that were ok
	out   rig.Outcome
	check *rig.Checker
}

// playCold is the rehearsal of cold app servers under the sum of what all clients send.
func playCold(p *play) error {
	plan := drawColdPlan(p.Seed, p.brief)
	p.say("%d of %d app servers restart at %.2f of their speed, warm after %.1f s, window %.2f s", plan.cold, coldServers,
		plan.start.Capacity, plan.start.Ramp.Seconds(), plan.start.Window.Seconds())
	p.say("%d cores, %.1f ms of work, deadline %v, %.0f RPCs a second from %d processes", plan.cores, plan.work*1000,
		plan.deadline.Round(time.Millisecond), plan.rate, coldClients)
	careful, err := p.coldSide(plan, "careful")
	if err != nil {
		return err
	}
	naive, err := p.coldSide(plan, "naive")
	if err != nil {
		return err
	}
	limit := (plan.start.Ramp + coldRecovery).Seconds()
	p.atMost("cold.ratio", careful.peak.ByWork, 1)
	p.inform("cold.ratio.by.count", careful.peak.ByCount)
	p.inform("cold.ratio.at.s", careful.peak.Age.Seconds())
	p.atMost("service.back.s", careful.back, limit)
	p.atLeast("service.after.recovery", careful.end, backShare)
	p.inform("ok.share", float64(careful.out.OK)/float64(careful.out.Asked))
	p.inform("tries.per.rpc", float64(careful.check.Count("tries"))/float64(careful.out.Asked))
	p.inform("pushed.back.share", float64(careful.check.Count("pushed_back"))/float64(careful.out.Asked))
	p.atLeast("naive.cold.ratio", naive.peak.ByWork, aboveOne)
	p.inform("naive.cold.ratio.by.count", naive.peak.ByCount)
	p.inform("naive.service.back.s", naive.back)
	p.inform("naive.ok.share", float64(naive.out.OK)/float64(naive.out.Asked))
	for _, name := range []string{"refused.retried", "late.sent", "double.runs", "unanswered"} {
		p.exactly(name, float64(careful.check.Count(name)), 0)
	}
	violations := careful.check.Violations()
	p.exactly("breaches", float64(len(violations)), 0)
	for _, b := range violations[:min(len(violations), 10)] {
		p.say("%s", b)
	}
	return nil
}

// aboveOne is the least that shows that a baseline overloads cold app servers.
const aboveOne = 1.01

// coldSide plays the plan with 24 processes of one kind of client.
func (p *play) coldSide(plan coldPlan, kind string) (*coldSide, error) {
	side := &coldSide{check: rig.NewChecker(4 * slack)}
	fleet, err := rig.NewFleet(p.Program, coldServers, plan.site(), side.check)
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	arrivals := make([]*rig.Arrivals, coldServers)
	for k, net := range fleet.Nets {
		arrivals[k] = &rig.Arrivals{}
		net.Count(arrivals[k])
	}
	service := &serviceLog{}
	callers := make([]rig.Caller, coldClients)
	for k := range callers {
		remote, err := rig.NewRemoteCaller(exec.Command(p.self(), "caller", "--kind", kind, "--seed", fmt.Sprint(p.Seed*1_000_003+uint64(k)+1),
			"--servers", strings.Join(fleet.Addresses(), ",")))
		if err != nil {
			return nil, err
		}
		defer remote.Close()
		callers[k] = loggedCaller{remote, service}
	}
	boots := make([]time.Time, plan.cold)
	var restartErr error
	var restarts sync.WaitGroup
	restarts.Go(func() { restartErr = restartCold(fleet, plan, boots) })
	load := rig.Load{Seed: p.Seed, Rate: func(float64) float64 { return plan.rate }, Length: plan.length(), Prefix: kind[:1],
		Shares: shop(plan.work, plan.deadline)}
	side.out = load.Run(context.Background(), side.check, callers...)
	restarts.Wait()
	if restartErr != nil {
		return nil, restartErr
	}
	side.check.Finish()
	last := boots[0]
	for k, boot := range boots {
		peak := arrivals[k].Peak(plan.start, boot, plan.cores, plan.work)
		if peak.ByWork > side.peak.ByWork {
			side.peak.ByWork, side.peak.Age = peak.ByWork, peak.Age
		}
		side.peak.ByCount = max(side.peak.ByCount, peak.ByCount)
		if boot.After(last) {
			last = boot
		}
	}
	side.back = service.back(last).Sub(last).Seconds()
	side.end = service.share(last.Add(plan.start.Ramp+coldRecovery), time.Second)
	return side, nil
}

// restartCold kills some app servers at the same time and starts them again, cold, after the outage.
func restartCold(fleet *rig.Fleet, plan coldPlan, boots []time.Time) error {
	time.Sleep(plan.warm)
	for k := range boots {
		fleet.Programs[k].Kill()
	}
	time.Sleep(plan.outage)
	errs := make([]error, len(boots))
	var all sync.WaitGroup
	for k := range boots {
		all.Go(func() {
			errs[k] = fleet.Programs[k].Start()
			boots[k] = fleet.Programs[k].Kernel.Began()
		})
	}
	all.Wait()
	return errors.Join(errs...)
}

// serviceLog is when each RPC was asked for, and whether it was ok.
type serviceLog struct {
	mu  sync.Mutex
	all []served
}

type served struct {
	at time.Time
	ok bool
}

// backShare is the share of RPCs that are ok once service is back.
const backShare = 0.95

func (s *serviceLog) add(at time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, served{at, ok})
}

// share is the part of the RPCs asked for within a span that were ok.
func (s *serviceLog) share(from time.Time, span time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	asked, ok := 0, 0
	for _, r := range s.all {
		if r.at.Before(from) || !r.at.Before(from.Add(span)) {
			continue
		}
		asked++
		if r.ok {
			ok++
		}
	}
	return float64(ok) / float64(max(asked, 1))
}

// back is the first time after a boot from which a second's RPCs were ok to backShare.
func (s *serviceLog) back(boot time.Time) time.Time {
	const step, span, most = 100 * time.Millisecond, time.Second, time.Minute
	at := boot
	for at.Before(boot.Add(most)) && s.share(at, span) < backShare {
		at = at.Add(step)
	}
	return at
}

// loggedCaller tells the log of each call.
type loggedCaller struct {
	rig.Caller
	log *serviceLog
}

// Call makes it.
func (l loggedCaller) Call(ctx context.Context, method, token string, criticality float64, body []byte) ([]byte, error) {
	began := time.Now()
	result, err := l.Caller.Call(ctx, method, token, criticality, body)
	l.log.add(began, err == nil)
	return result, err
}

// callerCommand is one client process: it makes the calls that it is told of on its standard input.
func callerCommand() *cobra.Command {
	var kind, servers string
	var seed uint64
	c := &cobra.Command{Use: "caller", Hidden: true, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		caller, err := newCaller(kind, seed, strings.Split(servers, ","))
		if err != nil {
			return err
		}
		defer caller.Close()
		return rig.ServeCalls(os.Stdin, os.Stdout, caller)
	}}
	c.Flags().StringVar(&kind, "kind", "careful", "")
	c.Flags().StringVar(&servers, "servers", "", "")
	c.Flags().Uint64Var(&seed, "seed", 1, "")
	return c
}

func newCaller(kind string, seed uint64, servers []string) (rig.Caller, error) {
	if kind == "naive" {
		return rig.NewNaiveClient(int(seed%1000), servers...), nil
	}
	c, err := client.New(client.Servers(servers...), client.Seed(seed))
	if err != nil {
		return nil, err
	}
	return careful{c, kindsOf(shop(0, 0))}, nil
}
