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

// The limit of the experiment, the number of app servers that share it, and the mean work of a run in seconds. A third of the limit
// is reserved. Where all ask for more, one app server has less than a tenth, which is missing for a while if it dies.
const (
	sharedLimit = 48
	sharedOn    = 16
	sharedWork  = 0.1
)

// sharedLoad is the mix of RPCs: three methods that need the shared backend, and one that does not.
func sharedLoad() []rig.Share {
	return []rig.Share{
		{Method: "lookup", Kind: rpc.Idempotent, Criticality: 1, Fraction: 0.45, Work: sharedWork, Deadline: time.Second},
		{Method: "check", Kind: rpc.Idempotent, Criticality: 2, Fraction: 0.25, Work: sharedWork, Deadline: time.Second},
		{Method: "record", Kind: rpc.Tokened, Criticality: 4, Fraction: 0.15, Work: sharedWork, Deadline: time.Second},
		{Method: "plain", Kind: rpc.Idempotent, Criticality: 1, Fraction: 0.15, Work: 0.01, Deadline: time.Second},
	}
}

// sharedRate is the rate in RPCs per second that fills the limit: 0.85 of the mix needs the shared backend.
const sharedRate = sharedLimit / sharedWork / 0.85

// sharedDemand is how many RPCs are sent to each app server, which changes while they are sent.
type sharedDemand struct {
	mu   sync.Mutex
	hot  string  // the app server that gets most of them, empty where all get the same
	rate float64 // of all together, in RPCs per second
}

// set changes the demand from now on.
func (d *sharedDemand) set(hot string, rate float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hot, d.rate = hot, rate
}

// of returns the rate at one app server.
func (d *sharedDemand) of(name string) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.hot == "":
		return d.rate / sharedOn
	case d.hot == name:
		return 0.6 * d.rate
	}
	return 0.4 * d.rate / (sharedOn - 1)
}

// shareTrial is the state of the experiment on a common limit.
type shareTrial struct {
	*experimentRun
	on, even, off *sharedCluster
	demand        sharedDemand
	err           error // of faults
}

// playShare is the experiment on a common limit: demand that moves, an allocator killed, stopped and cut off, a holder killed, a lower
// limit, all restarted. The baselines are an even split, and no common limit.
func runShare(p *experimentRun) error {
	t := &shareTrial{experimentRun: p}
	err := t.start()
	defer t.close()
	if err != nil {
		return err
	}
	took, _ := t.on.Until(10*time.Second, func() bool { name, _ := t.on.allocator(); return name != "" })
	p.atMost("first.keeper.s", took, 10)
	p.awaitSameView(t.on.Cluster, 10*time.Second, sharedOn, t.on.Names())
	time.Sleep(2 * time.Second) // the wait of reserved permits for former incarnations is over

	var loads sync.WaitGroup
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	compared, endCompared := context.WithCancel(ctx)
	defer endCompared()
	t.demand.set("n1", skewedDemand*sharedRate)
	for _, c := range t.clusters() {
		c.startPhase("start")
		until := compared
		if c == t.on {
			until = ctx
		}
		loads.Go(func() { c.load(until, p, time.Minute, t.demand.of) })
	}
	time.Sleep(time.Second)
	t.moveDemand()
	t.fillLimit()
	t.on.startPhase("faults")
	endCompared()
	t.failHolders(t.changeAllocators())
	p.exactly("over.limit", float64(t.on.backend.MaxExcess()), 0)
	p.exactly("over.limit.lowered", float64(t.on.lower(p)), 0)
	stop()
	loads.Wait()
	if t.err != nil {
		return t.err
	}
	t.restartAll()
	t.compare()
	p.checkViolations(t.on.Cluster, t.even.Cluster, t.off.Cluster)
	return p.writeHistory(t.on.Cluster)
}

// start starts the clusters, all at the same time.
func (t *shareTrial) start() error {
	var group sync.WaitGroup
	errs := make([]error, 3)
	for k, one := range []struct {
		kind    string
		cluster **sharedCluster
	}{{"on", &t.on}, {"even", &t.even}, {"off", &t.off}} {
		group.Go(func() { *one.cluster, errs[k] = t.startSharedCluster(one.kind, fmt.Sprint(sharedLimit)) })
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

// enter begins a phase in all clusters.
func (t *shareTrial) enter(phase string) {
	for _, c := range t.clusters() {
		c.startPhase(phase)
	}
}

// skewedDemand is the share of sharedRate that is sent while most of it goes to one app server.
const skewedDemand = 0.75

// moveDemand sends most of the demand to one app server, another one every two seconds, and measures how long the share follows.
func (t *shareTrial) moveDemand() {
	t.enter("skewed")
	follows := 0.0
	for _, name := range []string{"n2", "n5", "n8"} {
		t.demand.set(name, skewedDemand*sharedRate)
		began := time.Now()
		took := math.Inf(1)
		for time.Since(began) < 2*time.Second {
			if _, n := t.on.backend.RunningCount(name); n >= sharedLimit/3 && math.IsInf(took, 1) {
				took = time.Since(began).Seconds()
			}
			time.Sleep(5 * time.Millisecond)
		}
		follows = max(follows, took)
	}
	t.atMost("follows.demand.s", follows, 2)
}

// fillLimit sends more than the limit, to all alike, and measures the use of the limit and the packets that this takes.
func (t *shareTrial) fillLimit() {
	t.enter("full")
	t.demand.set("", 1.5*sharedRate)
	time.Sleep(time.Second)
	t.on.backend.MeanRunning()
	t.even.backend.MeanRunning()
	packets, runs, began := t.on.packets(), t.on.backend.StartedRuns(), time.Now()
	time.Sleep(3 * time.Second)
	packets, runs = t.on.packets()-packets, t.on.backend.StartedRuns()-runs
	t.report("packets.s", packets/time.Since(began).Seconds()/sharedOn)
	t.report("packets.a.run", packets/float64(runs))
	t.atLeast("used.steady", t.on.backend.MeanRunning()/sharedLimit, 0.9)
	t.report("used.steady.even", t.even.backend.MeanRunning()/sharedLimit)
}

// compare compares what was served under an allocator with the baselines.
func (t *shareTrial) compare() {
	t.atLeast("over.limit.off", float64(t.off.backend.MaxExcess()), 1)
	t.exactly("over.limit.even", float64(t.even.backend.MaxExcess()), 0)
	for _, phase := range []string{"skewed", "full"} {
		t.report("best."+phase, t.on.bestShare(phase))
		t.atLeast("criticality.ok."+phase, t.on.servedShare(phase)/t.on.bestShare(phase), 0.9)
		t.report("criticality.even."+phase, t.even.servedShare(phase))
	}
	t.atLeast("served.least.full", t.on.leastServedShare("full"), 0.1)
	t.atLeast("criticality.of.even.skewed", t.on.servedShare("skewed")/t.even.servedShare("skewed"), 1.3)
	for _, phase := range []string{"skewed", "full"} { // nothing else is done to either then
		a, b := t.on.plain[phase], t.off.plain[phase]
		t.atLeast("plain.of.off."+phase, a[0]/a[1]/(b[0]/b[1]), 0.98)
	}
}

// lower has a reload lower the limit by a third, and gives by how much that is passed once what was granted before is over.
func (r *sharedCluster) lower(p *experimentRun) int {
	const to = sharedLimit * 2 / 3
	for _, name := range r.Names() {
		r.Amend(name, func(settings string) string {
			return strings.Replace(settings, fmt.Sprintf("behind %d ", sharedLimit), fmt.Sprintf("behind %d ", to), 1)
		})
		r.Node(name).Reload()
	}
	time.Sleep(2*experimentLease + time.Second + 300*time.Millisecond) // grants of two leases, and runs of a second
	r.backend.SetLimit(to)
	r.backend.MeanRunning()
	time.Sleep(time.Second)
	p.atLeast("used.lowered", r.backend.MeanRunning()/to, 0.8)
	return r.backend.MaxExcess()
}

// playShareForty is the experiment on few permits among many: each of forty processes has its turn.
func runShareForty(p *experimentRun) error {
	const many, few = 40, 10
	r := newSharedCluster(few)
	plan := p.sharedPlan(many, r.backend)
	plan.Laws = []string{"fleet.voters " + strings.Join(nodeNames(5), " "), "fleet.lease " + experimentLease.String(),
		fmt.Sprintf("fleet.share behind %d lookup check record", few), "fleet.floor 1 n1 n2"}
	var err error
	if r.Cluster, err = rig.NewCluster(plan); err != nil {
		return err
	}
	defer r.Close()
	if _, ok := r.Until(10*time.Second, func() bool { who, _ := r.allocator(); return who != "" }); !ok {
		return errors.New("nobody keeps the share")
	}
	p.awaitSameView(r.Cluster, 15*time.Second, many, r.Names())
	time.Sleep(3500 * time.Millisecond) // until the reserved permits may be used
	r.startPhase("many")
	var load sync.WaitGroup
	length := p.scaled(12 * time.Second)
	load.Go(func() { // four times what may run
		r.load(context.Background(), p, length, func(string) float64 { return 4 * few / sharedWork / 0.85 / many })
	})
	time.Sleep(length / 4)
	r.backend.MeanRunning()
	time.Sleep(length / 2)
	p.atLeast("used.steady", r.backend.MeanRunning()/few, 0.7)
	load.Wait()
	p.exactly("over.limit", float64(r.backend.MaxExcess()), 0)
	starved := 0
	for _, name := range r.Names() {
		served := 0.0
		for _, method := range []string{"lookup", "check", "record"} {
			served += r.each["many "+name+" "+method][0]
		}
		if served == 0 {
			starved++
		}
	}
	p.exactly("app.servers.starved", float64(starved), 0)
	p.checkViolations(r.Cluster)
	return p.writeHistory(r.Cluster)
}

// playShareAuto is the experiment on a limit that is found: what stands behind takes longer past so many at once, which changes.
func runShareAuto(p *experimentRun) error {
	r, err := p.startSharedCluster("on", fmt.Sprintf("auto %d-%d %s", sharedOn, 3*sharedLimit, time.Duration(autoTarget*sharedWork*float64(time.Second))))
	if err != nil {
		return err
	}
	defer r.Close()
	if _, ok := r.Until(10*time.Second, func() bool { who, _ := r.allocator(); return who != "" }); !ok {
		return errors.New("nobody keeps the share")
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var loads sync.WaitGroup
	r.startPhase("auto")
	loads.Go(func() { // more than there is, at the most that is borne
		r.load(ctx, p, time.Minute, func(string) float64 { return 1.4 * sharedRate / sharedOn })
	})
	for k, bears := range []int{sharedLimit, sharedLimit / 2, sharedLimit} {
		r.backend.SetCapacity(bears)
		time.Sleep(p.scaled([]time.Duration{14, 8, 13}[k] * time.Second)) // up takes longer than down, and 20 s are allowed
		sum, n := 0.0, 0.0                                                // it goes up and down about what is right: the mean over some seconds
		for end := time.Now().Add(p.scaled(2 * time.Second)); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			if _, s := r.allocator(); s.Limit > 0 {
				sum += float64(s.Limit)
				n++
			}
		}
		off := math.Abs(sum/n-float64(bears)) / float64(bears)
		p.printNote("%d are borne, the limit is %.1f", bears, sum/n)
		p.atMost(fmt.Sprintf("limit.off.share.%d", bears), off, 0.2)
	}
	stop()
	loads.Wait()
	p.checkViolations(r.Cluster)
	return p.writeHistory(r.Cluster)
}

// autoTarget is how many times as long as their work runs may take.
const autoTarget = 1.12
