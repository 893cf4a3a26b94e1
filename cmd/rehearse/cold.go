package main

import (
	"context"
	"errors"
	"fmt"
	"math"
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

// coldServers is how many app servers there are; at least coldLeast of them restart cold.
const coldServers, coldLeast = 4, 3

// coldRecovery is how long after the slow start service may take to be back.
const coldRecovery = 3 * time.Second

// coldCase is one kind of cold restart: who calls, and how much one app server does within a window while it is coldest.
type coldCase struct {
	name        string
	clients     int     // processes, none of which knows of the others
	callers     int     // how many the settings say there are
	least, most float64 // requests of mean work within the first window
	shape       coldShape
}

// coldShape is what is out of the ordinary in the settings of a cold start.
type coldShape uint8

const (
	ordinaryRamp coldShape = iota
	shortRamp              // shorter than the window
	noRamp                 // rampTimeS is 0
	fullCapacity           // startCapacity is 1
)

// coldCases are all that a run covers.
func coldCases() []coldCase {
	var cases []coldCase
	for _, clients := range []int{1, 3, 8, 24} {
		for _, n := range []struct {
			name        string
			least, most float64
		}{{"few", 1, 3}, {"tens", 4, 29}, {"more", 30, 80}, {"hundreds", 100, 250}} {
			cases = append(cases, coldCase{fmt.Sprintf("%d.%s", clients, n.name), clients, clients, n.least, n.most, ordinaryRamp})
		}
	}
	return append(cases,
		coldCase{"short.ramp", 24, 24, 3, 20, shortRamp},
		coldCase{"no.ramp", 24, 24, 3, 20, noRamp},
		coldCase{"full.capacity", 24, 24, 3, 20, fullCapacity},
		coldCase{"callers.stayed.away", 1, 24, 3, 20, ordinaryRamp},
		coldCase{"callers.unannounced", 24, 8, 3, 20, ordinaryRamp})
}

// briefColdCases are those of the shortest form.
func briefColdCases() []coldCase {
	return []coldCase{{"1.few", 1, 1, 1, 3, ordinaryRamp}, {"24.tens", 24, 24, 4, 29, ordinaryRamp}}
}

// naiveColdCase is the one that naive clients are put to.
var naiveColdCase = coldCase{"naive", 24, 24, 20, 60, ordinaryRamp}

// coldPlan is one cold restart, drawn from the seed.
type coldPlan struct {
	coldCase
	start    rig.ColdStart
	cores    int
	first    float64 // requests of mean work within the first window
	work     float64 // seconds on a core, on the mean
	deadline time.Duration
	cold     int     // how many app servers restart
	rate     float64 // RPCs a second, of all clients together
	warm     time.Duration
	outage   time.Duration
}

// length is the whole plan's.
func (c coldPlan) length() time.Duration {
	return c.warm + c.outage + c.start.SlowStart() + coldRecovery + c.judged()
}

// judged is how long a span is taken to judge service by: at least some 30 RPCs, of which one may fail.
func (c coldPlan) judged() time.Duration {
	const enough = 30
	return max(time.Second, time.Duration(enough/c.rate*float64(time.Second)))
}

// drawColdPlan draws all that the settings may vary in.
func drawColdPlan(seed uint64, kind coldCase) coldPlan {
	draw := rand.New(rand.NewPCG(seed, 23))
	between := func(from, to float64) float64 { return from + (to-from)*draw.Float64() }
	seconds := func(from, to float64) time.Duration { return time.Duration(between(from, to) * float64(time.Second)) }
	c := coldPlan{coldCase: kind,
		start: rig.ColdStart{Capacity: between(0.15, 0.35), Ramp: seconds(3, 4.5), Window: seconds(1, 2)},
		cores: 1 + draw.IntN(3), first: between(kind.least, kind.most), cold: coldLeast + draw.IntN(coldServers-coldLeast+1),
		warm: time.Second, outage: seconds(0.3, 1)}
	switch kind.shape {
	case shortRamp:
		c.start.Ramp = c.start.Window / 3
	case noRamp:
		c.start.Ramp = 0
	case fullCapacity:
		c.start.Capacity = 1
	}
	c.work = float64(c.cores) * c.start.Capacity * c.start.Window.Seconds() / c.first
	const briefest, longest = 0.4, 8
	c.deadline = time.Duration(min(max(between(40, 60)*c.work, briefest), longest) * float64(time.Second))
	c.rate = between(0.5, 0.65) * coldServers * float64(c.cores) / c.work
	const bearable = 600 // RPCs a second through the stand-ins of this process
	c.rate = min(c.rate, bearable)
	return c
}

func (c coldPlan) site() rig.Site {
	site := shopSite(c.deadline)
	site.Cores, site.Callers, site.Cold = c.cores, c.callers, c.start
	return site
}

// coldSide is one kind of client against a fleet of its own.
type coldSide struct {
	peak  rig.Peak // the worst app server's
	back  float64  // seconds from the boot until service was back
	end   float64  // share of the RPCs after the slow start and the recovery that were ok
	out   rig.Outcome
	check *rig.Checker
}

// playCold plays cold app servers under the sum of what all clients send, with one client process and with many.
func playCold(p *play) error {
	cases := coldCases()
	if p.brief {
		cases = briefColdCases()
	}
	counts := map[string]float64{}
	ratio, late, end := 0.0, math.Inf(-1), 1.0
	for k, kind := range cases {
		if p.Part != "" && p.Part != kind.name {
			continue
		}
		plan := drawColdPlan(p.Seed*1000+uint64(k), kind)
		side, err := p.coldSide(plan, "careful")
		if err != nil {
			return err
		}
		p.say("%-20s %d of %d restart at %.2f, warm after %.1f s, N %.1f in %.2f s, %.0f RPCs a second: ratio %.2f at %.1f s (%.2f by count), "+
			"back after %.1f s, ok %.2f, at the end %.2f", kind.name, plan.cold, coldServers, plan.start.Capacity, plan.start.Ramp.Seconds(), plan.first,
			plan.start.Window.Seconds(), plan.rate, side.peak.ByWork, side.peak.Age.Seconds(), side.peak.ByCount, side.back,
			float64(side.out.OK)/float64(side.out.Asked), side.end)
		ratio = max(ratio, side.peak.ByWork)
		late = max(late, side.back-(plan.start.SlowStart()+coldRecovery).Seconds())
		end = min(end, side.end)
		for _, name := range coldBreaches {
			counts[name] += float64(side.check.Count(name))
		}
		violations := side.check.Violations()
		counts["breaches"] += float64(len(violations))
		for _, b := range violations[:min(len(violations), 10)] {
			p.say("%s", b)
		}
	}
	p.atMost("cold.ratio", ratio, 1)
	p.atMost("service.back.late.s", late, 0)
	p.atLeast("service.after.recovery", end, backShare)
	for _, name := range append(coldBreaches, "breaches") {
		p.exactly(name, counts[name], 0)
	}
	if p.Part != "" {
		return nil
	}
	naive, err := p.coldSide(drawColdPlan(p.Seed, naiveColdCase), "naive")
	if err != nil {
		return err
	}
	p.atLeast("naive.cold.ratio", naive.peak.ByWork, aboveOne)
	p.inform("naive.service.back.s", naive.back)
	p.inform("naive.ok.share", float64(naive.out.OK)/float64(naive.out.Asked))
	return nil
}

// coldBreaches are what the checker counts and must never be.
var coldBreaches = []string{"refused.retried", "late.sent", "double.runs", "unanswered"}

// aboveOne is the least that shows that a baseline overloads cold app servers.
const aboveOne = 1.01

// coldSide plays the plan with processes of one kind of client.
func (p *play) coldSide(plan coldPlan, kind string) (*coldSide, error) {
	side := &coldSide{check: rig.NewChecker(4 * slack)}
	fleet, err := rig.NewFleet(p.Program, coldServers, plan.site(), side.check)
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	arrivals := make([]*rig.Arrivals, coldServers)
	for k, net := range fleet.Proxies {
		arrivals[k] = &rig.Arrivals{}
		net.Count(arrivals[k])
	}
	service := &serviceLog{}
	callers := make([]rig.Caller, plan.clients)
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
	side.back = service.back(last, plan.judged()).Sub(last).Seconds()
	side.end = service.share(last.Add(plan.start.SlowStart()+coldRecovery), plan.judged())
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
			boots[k] = fleet.Programs[k].Kernel.StartedAt()
		})
	}
	all.Wait()
	return errors.Join(errs...)
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
