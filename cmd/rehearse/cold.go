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

// coldServers is the number of app servers; at least minColdRestarts of them restart cold.
const coldServers, minColdRestarts = 4, 3

// coldRecovery is how long service may take to recover after the slow start.
const coldRecovery = 3 * time.Second

// coldCase is one kind of cold restart: the clients, and the range from which the capacity of one app server in the first
// window after its start is drawn.
type coldCase struct {
	name                     string
	clients                  int     // client processes, each unaware of the others
	announcedCallers         int     // number of callers in the settings
	minRequests, maxRequests float64 // requests of mean work within the first window
	shape                    coldShape
}

// coldShape says how the cold-start settings differ from ordinary ones.
type coldShape uint8

const (
	ordinaryRamp coldShape = iota
	shortRamp              // shorter than the window
	noRamp                 // rampTimeS is 0
	fullCapacity           // startCapacity is 1
)

// coldCases returns all cases that a run covers.
func coldCases() []coldCase {
	var cases []coldCase
	for _, clients := range []int{1, 3, 8, 24} {
		for _, size := range []struct {
			name                     string
			minRequests, maxRequests float64
		}{{"few", 1, 3}, {"tens", 4, 29}, {"more", 30, 80}, {"hundreds", 100, 250}} {
			cases = append(cases, coldCase{fmt.Sprintf("%d.%s", clients, size.name), clients, clients, size.minRequests,
				size.maxRequests, ordinaryRamp})
		}
	}
	return append(cases,
		coldCase{"short.ramp", 24, 24, 3, 20, shortRamp},
		coldCase{"no.ramp", 24, 24, 3, 20, noRamp},
		coldCase{"full.capacity", 24, 24, 3, 20, fullCapacity},
		coldCase{"callers.stayed.away", 1, 24, 3, 20, ordinaryRamp},
		coldCase{"callers.unannounced", 24, 8, 3, 20, ordinaryRamp})
}

// shortFormColdCases returns the cases of the shortest form.
func shortFormColdCases() []coldCase {
	return []coldCase{{"1.few", 1, 1, 1, 3, ordinaryRamp}, {"24.tens", 24, 24, 4, 29, ordinaryRamp}}
}

// naiveColdCase is the case that naive clients are measured with.
var naiveColdCase = coldCase{"naive", 24, 24, 20, 60, ordinaryRamp}

// coldPlan is one cold restart, drawn from the seed.
type coldPlan struct {
	coldCase
	start               rig.ColdStart
	cores               int
	firstWindowRequests float64 // requests of mean work within the first window
	work                float64 // mean seconds on a core
	deadline            time.Duration
	restarts            int     // number of app servers that restart
	rate                float64 // RPCs per second of all clients together
	warmUp              time.Duration
	outage              time.Duration
}

// duration returns the duration of the whole plan.
func (c coldPlan) duration() time.Duration {
	return c.warmUp + c.outage + c.start.SlowStart() + coldRecovery + c.evaluationSpan()
}

// evaluationSpan returns the length of the span over which the share of ok RPCs is computed: long enough for about 30 RPCs,
// so that one may fail.
func (c coldPlan) evaluationSpan() time.Duration {
	const minRPCs = 30
	return max(time.Second, time.Duration(minRPCs/c.rate*float64(time.Second)))
}

// drawColdPlan draws a plan for a case: the cold-start settings, cores, work, deadline, rate, and number of restarts.
func drawColdPlan(seed uint64, kind coldCase) coldPlan {
	random := rand.New(rand.NewPCG(seed, 23))
	between := func(from, to float64) float64 { return from + (to-from)*random.Float64() }
	seconds := func(from, to float64) time.Duration { return time.Duration(between(from, to) * float64(time.Second)) }
	plan := coldPlan{coldCase: kind,
		start: rig.ColdStart{Capacity: between(0.15, 0.35), Ramp: seconds(3, 4.5), Window: seconds(1, 2)},
		cores: 1 + random.IntN(3), firstWindowRequests: between(kind.minRequests, kind.maxRequests),
		restarts: minColdRestarts + random.IntN(coldServers-minColdRestarts+1), warmUp: time.Second, outage: seconds(0.3, 1)}
	switch kind.shape {
	case shortRamp:
		plan.start.Ramp = plan.start.Window / 3
	case noRamp:
		plan.start.Ramp = 0
	case fullCapacity:
		plan.start.Capacity = 1
	}
	plan.work = float64(plan.cores) * plan.start.Capacity * plan.start.Window.Seconds() / plan.firstWindowRequests
	const shortest, longest = 0.4, 8
	plan.deadline = time.Duration(min(max(between(40, 60)*plan.work, shortest), longest) * float64(time.Second))
	plan.rate = between(0.5, 0.65) * coldServers * float64(plan.cores) / plan.work
	const maxRate = 600 // RPCs per second that the stand-ins in this process can handle
	plan.rate = min(plan.rate, maxRate)
	return plan
}

// site returns the settings of the app servers.
func (c coldPlan) site() rig.Site {
	site := requestMixSite(c.deadline)
	site.Cores, site.Callers, site.Cold = c.cores, c.announcedCallers, c.start
	return site
}

// coldResult is the result of one kind of client against a fleet of its own.
type coldResult struct {
	peak            rig.Peak // of the app server with the highest ratio
	recoverySeconds float64  // from the last boot until service had recovered
	finalShare      float64  // share of the RPCs after the slow start and the recovery that were ok
	outcome         rig.Outcome
	checker         *rig.Checker
}

// runCold is the experiment on cold app servers under the combined load of all clients, with one client process and with
// many.
func runCold(run *experimentRun) error {
	cases := coldCases()
	if run.shortForm {
		cases = shortFormColdCases()
	}
	counts := map[string]float64{}
	maxRatio, maxDelay, finalShare := 0.0, math.Inf(-1), 1.0
	for k, kind := range cases {
		if run.Part != "" && run.Part != kind.name {
			continue
		}
		plan := drawColdPlan(run.Seed*1000+uint64(k), kind)
		result, err := run.measureColdPlan(plan, "careful")
		if err != nil {
			return err
		}
		run.printNote("%-20s %d of %d restart at capacity %.2f, warm after %.1f s, %.1f requests in %.2f s, %.0f RPCs per second: "+
			"ratio %.2f at %.1f s (%.2f by count), recovered after %.1f s, ok share %.2f, at the end %.2f", kind.name, plan.restarts,
			coldServers, plan.start.Capacity, plan.start.Ramp.Seconds(), plan.firstWindowRequests, plan.start.Window.Seconds(),
			plan.rate, result.peak.ByWork, result.peak.Age.Seconds(), result.peak.ByCount, result.recoverySeconds,
			float64(result.outcome.OK)/float64(result.outcome.Requested), result.finalShare)
		maxRatio = max(maxRatio, result.peak.ByWork)
		maxDelay = max(maxDelay, result.recoverySeconds-(plan.start.SlowStart()+coldRecovery).Seconds())
		finalShare = min(finalShare, result.finalShare)
		for _, name := range forbiddenCounts {
			counts[name] += float64(result.checker.Count(name))
		}
		violations := result.checker.Violations()
		counts["breaches"] += float64(len(violations))
		for _, violation := range violations[:min(len(violations), 10)] {
			run.printNote("%s", violation)
		}
	}
	run.atMost("cold.ratio", maxRatio, 1)
	run.atMost("service.back.late.s", maxDelay, 0)
	run.atLeast("service.after.recovery", finalShare, recoveredShare)
	for _, name := range append(forbiddenCounts, "breaches") {
		run.exactly(name, counts[name], 0)
	}
	if run.Part != "" {
		return nil
	}
	naive, err := run.measureColdPlan(drawColdPlan(run.Seed, naiveColdCase), "naive")
	if err != nil {
		return err
	}
	run.atLeast("naive.cold.ratio", naive.peak.ByWork, minOverloadRatio)
	run.report("naive.service.back.s", naive.recoverySeconds)
	run.report("naive.ok.share", float64(naive.outcome.OK)/float64(naive.outcome.Requested))
	return nil
}

// forbiddenCounts are the counts of the checker that must be zero.
var forbiddenCounts = []string{"refused.retried", "late.sent", "double.runs", "unanswered"}

// minOverloadRatio is the minimum ratio of load to capacity at which a baseline counts as overloading cold app servers.
const minOverloadRatio = 1.01

// measureColdPlan runs the plan with processes of one kind of client.
func (run *experimentRun) measureColdPlan(plan coldPlan, kind string) (*coldResult, error) {
	result := &coldResult{checker: rig.NewChecker(4 * slack)}
	fleet, err := rig.NewFleet(run.Program, coldServers, plan.site(), result.checker)
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	arrivals := make([]*rig.Arrivals, coldServers)
	for k, proxy := range fleet.Proxies {
		arrivals[k] = &rig.Arrivals{}
		proxy.CountArrivals(arrivals[k])
	}
	log := &serviceLog{}
	callers := make([]rig.Caller, plan.clients)
	for k := range callers {
		remote, err := rig.NewRemoteCaller(exec.Command(run.ownBinary(), "caller", "--kind", kind, "--seed",
			fmt.Sprint(run.Seed*1_000_003+uint64(k)+1), "--servers", strings.Join(fleet.Addresses(), ",")))
		if err != nil {
			return nil, err
		}
		defer remote.Close()
		callers[k] = loggedCaller{remote, log}
	}
	boots := make([]time.Time, plan.restarts)
	var restartErr error
	var restarts sync.WaitGroup
	restarts.Go(func() { restartErr = restartColdServers(fleet, plan, boots) })
	load := rig.Load{Seed: run.Seed, Rate: func(float64) float64 { return plan.rate }, Duration: plan.duration(), Prefix: kind[:1],
		Shares: requestMix(plan.work, plan.deadline)}
	result.outcome = load.Run(context.Background(), result.checker, callers...)
	restarts.Wait()
	if restartErr != nil {
		return nil, restartErr
	}
	result.checker.Finish()
	lastBoot := boots[0]
	for k, boot := range boots {
		peak := arrivals[k].Peak(plan.start, boot, plan.cores, plan.work)
		if peak.ByWork > result.peak.ByWork {
			result.peak.ByWork, result.peak.Age = peak.ByWork, peak.Age
		}
		result.peak.ByCount = max(result.peak.ByCount, peak.ByCount)
		if boot.After(lastBoot) {
			lastBoot = boot
		}
	}
	result.recoverySeconds = log.recoveredAt(lastBoot, plan.evaluationSpan()).Sub(lastBoot).Seconds()
	result.finalShare = log.share(lastBoot.Add(plan.start.SlowStart()+coldRecovery), plan.evaluationSpan())
	return result, nil
}

// restartColdServers kills some app servers at the same time and starts them again, cold, after the outage. It stores the
// boot time of each in boots, whose length is their number.
func restartColdServers(fleet *rig.Fleet, plan coldPlan, boots []time.Time) error {
	time.Sleep(plan.warmUp)
	for k := range boots {
		fleet.Programs[k].Kill()
	}
	time.Sleep(plan.outage)
	errs := make([]error, len(boots))
	var starts sync.WaitGroup
	for k := range boots {
		starts.Go(func() {
			errs[k] = fleet.Programs[k].Start()
			boots[k] = fleet.Programs[k].Kernel.StartedAt()
		})
	}
	starts.Wait()
	return errors.Join(errs...)
}

// callerCommand returns the sub-command that is one client process: it makes the calls that it reads from standard input.
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

// newCaller creates a naive client if kind is "naive", else a client of the client library.
func newCaller(kind string, seed uint64, servers []string) (rig.Caller, error) {
	if kind == "naive" {
		return rig.NewNaiveClient(int(seed%1000), servers...), nil
	}
	c, err := client.New(client.Servers(servers...), client.Seed(seed))
	if err != nil {
		return nil, err
	}
	return clientCaller{c, kindsOf(requestMix(0, 0))}, nil
}
