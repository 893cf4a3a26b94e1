package main

import (
	"context"
	"errors"
	"fmt"
	"math"
	"strings"
	"sync"
	"time"

	"valveglade/rig"
	"valveglade/rpc"
)

// Sizes of the share experiment. A third of the limit is reserved. Under high demand everywhere, each app server holds less than
// a tenth of the limit, which stays unused for a while if the app server dies.
const (
	sharedLimit       = 48  // limit of concurrent runs at the backend
	sharedServers     = 16  // app servers that share the limit
	sharedWorkSeconds = 0.1 // mean work of a run, in seconds
)

// sharedMix returns the mix of RPCs: three methods that use the shared backend, and one that does not.
func sharedMix() []rig.Share {
	return []rig.Share{
		{Method: "lookup", Kind: rpc.Idempotent, Criticality: 1, Fraction: 0.45, Work: sharedWorkSeconds, Deadline: time.Second},
		{Method: "check", Kind: rpc.Idempotent, Criticality: 2, Fraction: 0.25, Work: sharedWorkSeconds, Deadline: time.Second},
		{Method: "record", Kind: rpc.Tokened, Criticality: 4, Fraction: 0.15, Work: sharedWorkSeconds, Deadline: time.Second},
		{Method: "plain", Kind: rpc.Idempotent, Criticality: 1, Fraction: 0.15, Work: 0.01, Deadline: time.Second},
	}
}

// saturatingRate is the rate in RPCs per second that uses the whole limit. 0.85 of the RPCs use the shared backend.
const saturatingRate = sharedLimit / sharedWorkSeconds / 0.85

// sharedDemand sets the rate of RPCs at each app server, also while a load runs. It is safe for concurrent use.
type sharedDemand struct {
	mu        sync.Mutex
	hotServer string  // app server that gets most RPCs; empty if all have the same rate
	rate      float64 // of all app servers together, in RPCs per second
}

// set changes the hot app server and the total rate in RPCs per second.
func (d *sharedDemand) set(hotServer string, rate float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hotServer, d.rate = hotServer, rate
}

// rateFor returns the rate at one app server, in RPCs per second.
func (d *sharedDemand) rateFor(name string) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.hotServer == "":
		return d.rate / sharedServers
	case d.hotServer == name:
		return 0.6 * d.rate
	}
	return 0.4 * d.rate / (sharedServers - 1)
}

// shareTrial is the state of the share experiment.
type shareTrial struct {
	*experimentRun
	on, even, off *sharedCluster
	demand        sharedDemand
	err           error // joined errors of the fault scripts
}

// runShare is the experiment on a shared limit: the demand moves between app servers, the allocator is killed, stopped and cut
// off, a holder is killed, the limit is lowered, and all processes are restarted. The baselines are an even split of the limit,
// and no shared limit.
func runShare(run *experimentRun) error {
	t := &shareTrial{experimentRun: run}
	err := t.start()
	defer t.close()
	if err != nil {
		return err
	}
	took, _ := t.on.WaitUntil(10*time.Second, func() bool { name, _ := t.on.allocator(); return name != "" })
	run.atMost("first.keeper.s", took, 10)
	run.awaitSameView(t.on.Cluster, 10*time.Second, sharedServers, t.on.Names())
	time.Sleep(2 * time.Second) // until the grants of former incarnations have expired, so that reserved permits are usable

	var loads sync.WaitGroup
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	compared, endCompared := context.WithCancel(ctx)
	defer endCompared()
	t.demand.set("n1", skewedFraction*saturatingRate)
	for _, c := range t.clusters() {
		c.startPhase("start")
		until := compared
		if c == t.on {
			until = ctx
		}
		loads.Go(func() { c.sendLoad(until, run, time.Minute, t.demand.rateFor) })
	}
	time.Sleep(time.Second)
	t.moveDemand()
	t.fillLimit()
	t.on.startPhase("faults")
	endCompared()
	t.failHolders(t.disruptAllocators())
	run.exactly("over.limit", float64(t.on.backend.MaxExcess()), 0)
	run.exactly("over.limit.lowered", float64(t.on.lowerLimit(run)), 0)
	stop()
	loads.Wait()
	if t.err != nil {
		return t.err
	}
	t.restartAll()
	t.compareWithBaselines()
	run.checkViolations(t.on.Cluster, t.even.Cluster, t.off.Cluster)
	return run.writeHistory(t.on.Cluster)
}

// start starts the three clusters concurrently.
func (t *shareTrial) start() error {
	var group sync.WaitGroup
	errs := make([]error, 3)
	for k, entry := range []struct {
		kind    string
		cluster **sharedCluster
	}{{"on", &t.on}, {"even", &t.even}, {"off", &t.off}} {
		group.Go(func() { *entry.cluster, errs[k] = t.startSharedCluster(entry.kind, fmt.Sprint(sharedLimit)) })
	}
	group.Wait()
	return errors.Join(errs...)
}

func (t *shareTrial) clusters() []*sharedCluster { return []*sharedCluster{t.on, t.even, t.off} }

func (t *shareTrial) close() {
	for _, c := range t.clusters() {
		if c != nil && c.Cluster != nil {
			c.Close()
		}
	}
}

// startPhase starts a phase in all clusters.
func (t *shareTrial) startPhase(phase string) {
	for _, c := range t.clusters() {
		c.startPhase(phase)
	}
}

// skewedFraction is the fraction of saturatingRate that is sent while most RPCs go to one app server.
const skewedFraction = 0.75

// moveDemand sends most RPCs to one app server, which changes every two seconds. It checks the longest time until a third of the
// limit is in use at that app server.
func (t *shareTrial) moveDemand() {
	t.startPhase("skewed")
	maxDelay := 0.0
	for _, name := range []string{"n2", "n5", "n8"} {
		t.demand.set(name, skewedFraction*saturatingRate)
		began := time.Now()
		took := math.Inf(1)
		for time.Since(began) < 2*time.Second {
			if _, running := t.on.backend.RunningCount(name); running >= sharedLimit/3 && math.IsInf(took, 1) {
				took = time.Since(began).Seconds()
			}
			time.Sleep(5 * time.Millisecond)
		}
		maxDelay = max(maxDelay, took)
	}
	t.atMost("follows.demand.s", maxDelay, 2)
}

// fillLimit sends more RPCs than the limit admits, evenly to all app servers. It checks the use of the limit and reports the
// fleet's packets.
func (t *shareTrial) fillLimit() {
	t.startPhase("full")
	t.demand.set("", 1.5*saturatingRate)
	time.Sleep(time.Second)
	t.on.backend.MeanRunning() // discards the mean up to now
	t.even.backend.MeanRunning()
	packets, runs, began := t.on.sentPackets(), t.on.backend.StartedRuns(), time.Now()
	time.Sleep(3 * time.Second)
	packets, runs = t.on.sentPackets()-packets, t.on.backend.StartedRuns()-runs
	t.report("packets.s", packets/time.Since(began).Seconds()/sharedServers)
	t.report("packets.a.run", packets/float64(runs))
	t.atLeast("used.steady", t.on.backend.MeanRunning()/sharedLimit, 0.9)
	t.report("used.steady.even", t.even.backend.MeanRunning()/sharedLimit)
}

// compareWithBaselines compares what the cluster with an allocator served with the baselines.
func (t *shareTrial) compareWithBaselines() {
	t.atLeast("over.limit.off", float64(t.off.backend.MaxExcess()), 1)
	t.exactly("over.limit.even", float64(t.even.backend.MaxExcess()), 0)
	for _, phase := range []string{"skewed", "full"} {
		t.report("best."+phase, t.on.idealShare(phase))
		t.atLeast("criticality.ok."+phase, t.on.servedShare(phase)/t.on.idealShare(phase), 0.9)
		t.report("criticality.even."+phase, t.even.servedShare(phase))
	}
	t.atLeast("served.least.full", t.on.minServedShare("full"), 0.1)
	t.atLeast("criticality.of.even.skewed", t.on.servedShare("skewed")/t.even.servedShare("skewed"), 1.3)
	for _, phase := range []string{"skewed", "full"} { // phases with the same load in all clusters
		onTotals, offTotals := t.on.plainTotals[phase], t.off.plainTotals[phase]
		t.atLeast("plain.of.off."+phase, onTotals[0]/onTotals[1]/(offTotals[0]/offTotals[1]), 0.98)
	}
}

// lowerLimit lowers the limit by a third in the settings of all app servers and reloads them. It returns the largest number of
// runs above the new limit after all earlier grants have expired.
func (c *sharedCluster) lowerLimit(run *experimentRun) int {
	const loweredLimit = sharedLimit * 2 / 3
	for _, name := range c.Names() {
		c.EditSettings(name, func(settings string) string {
			return strings.Replace(settings, fmt.Sprintf("behind %d ", sharedLimit), fmt.Sprintf("behind %d ", loweredLimit), 1)
		})
		c.Node(name).Reload()
	}
	time.Sleep(2*experimentLease + time.Second + 300*time.Millisecond) // grants last two leases, and runs up to a second
	c.backend.SetLimit(loweredLimit)
	c.backend.MeanRunning() // discards the mean up to now
	time.Sleep(time.Second)
	run.atLeast("used.lowered", c.backend.MeanRunning()/loweredLimit, 0.8)
	return c.backend.MaxExcess()
}

// runShareForty is the experiment on ten permits for forty app servers: each app server must get a permit at some time.
func runShareForty(run *experimentRun) error {
	const servers, permits = 40, 10
	c := newSharedCluster(permits)
	plan := run.sharedPlan(servers, c.backend)
	plan.Settings = []string{"fleet.voters " + strings.Join(nodeNames(5), " "), "fleet.lease " + experimentLease.String(),
		fmt.Sprintf("fleet.share behind %d lookup check record", permits), "fleet.floor 1 n1 n2"}
	var err error
	if c.Cluster, err = rig.NewCluster(plan); err != nil {
		return err
	}
	defer c.Close()
	if _, ok := c.WaitUntil(10*time.Second, func() bool { allocator, _ := c.allocator(); return allocator != "" }); !ok {
		return errors.New("no process allocates the share after 10 s")
	}
	run.awaitSameView(c.Cluster, 15*time.Second, servers, c.Names())
	time.Sleep(3500 * time.Millisecond) // until the reserved permits may be used
	c.startPhase("many")
	var loads sync.WaitGroup
	duration := run.scaled(12 * time.Second)
	loads.Go(func() { // four times the rate that the permits admit
		c.sendLoad(context.Background(), run, duration, func(string) float64 {
			return 4 * permits / sharedWorkSeconds / 0.85 / servers
		})
	})
	time.Sleep(duration / 4)
	c.backend.MeanRunning() // discards the mean up to now
	time.Sleep(duration / 2)
	run.atLeast("used.steady", c.backend.MeanRunning()/permits, 0.7)
	loads.Wait()
	run.exactly("over.limit", float64(c.backend.MaxExcess()), 0)
	starved := 0
	for _, name := range c.Names() {
		served := 0.0
		for _, method := range []string{"lookup", "check", "record"} {
			served += c.methodTotals["many "+name+" "+method][0]
		}
		if served == 0 {
			starved++
		}
	}
	run.exactly("app.servers.starved", float64(starved), 0)
	run.checkViolations(c.Cluster)
	return run.writeHistory(c.Cluster)
}

// runShareAuto is the experiment on an automatic limit: the backend slows down above its capacity, a number of concurrent runs.
// The capacity changes, and the limit must follow it.
func runShareAuto(run *experimentRun) error {
	c, err := run.startSharedCluster("on", fmt.Sprintf("auto %d-%d %s", sharedServers, 3*sharedLimit,
		time.Duration(autoLatencyFactor*sharedWorkSeconds*float64(time.Second))))
	if err != nil {
		return err
	}
	defer c.Close()
	if _, ok := c.WaitUntil(10*time.Second, func() bool { allocator, _ := c.allocator(); return allocator != "" }); !ok {
		return errors.New("no process allocates the share after 10 s")
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var loads sync.WaitGroup
	c.startPhase("auto")
	loads.Go(func() { // more than the highest capacity admits
		c.sendLoad(ctx, run, time.Minute, func(string) float64 { return 1.4 * saturatingRate / sharedServers })
	})
	for k, capacity := range []int{sharedLimit, sharedLimit / 2, sharedLimit} {
		c.backend.SetCapacity(capacity)
		// The limit rises more slowly than it falls; at most 20 s are allowed.
		time.Sleep(run.scaled([]time.Duration{14, 8, 13}[k] * time.Second))
		// The limit oscillates around the capacity, so its mean over some seconds is compared.
		sum, samples := 0.0, 0.0
		for end := time.Now().Add(run.scaled(2 * time.Second)); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			if _, share := c.allocator(); share.Limit > 0 {
				sum += float64(share.Limit)
				samples++
			}
		}
		deviation := math.Abs(sum/samples-float64(capacity)) / float64(capacity)
		run.printNote("backend capacity %d runs, mean limit %.1f", capacity, sum/samples)
		run.atMost(fmt.Sprintf("limit.off.share.%d", capacity), deviation, 0.2)
	}
	stop()
	loads.Wait()
	run.checkViolations(c.Cluster)
	return run.writeHistory(c.Cluster)
}

// autoLatencyFactor is the latency target of the automatic limit, as a multiple of the mean work of a run.
const autoLatencyFactor = 1.12
