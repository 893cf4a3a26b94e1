package main

import (
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
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
		{Method: "lookup", Kind: rpc.Idempotent, Criticality: 1, Part: 0.45, Work: sharedWork, Deadline: time.Second},
		{Method: "check", Kind: rpc.Idempotent, Criticality: 2, Part: 0.25, Work: sharedWork, Deadline: time.Second},
		{Method: "record", Kind: rpc.Tokened, Criticality: 4, Part: 0.15, Work: sharedWork, Deadline: time.Second},
		{Method: "plain", Kind: rpc.Idempotent, Criticality: 1, Part: 0.15, Work: 0.01, Deadline: time.Second},
	}
}

// playShare is the experiment on a common limit: demand that moves, an allocator killed, stopped and cut off, a holder killed, a lower
// limit, all restarted. The baselines are an even split, and no common limit.
func playShare(p *play) error {
	kinds := []string{"on", "even", "off"}
	clusters, errs := make([]*sharedCluster, 3), make([]error, 3)
	var group sync.WaitGroup
	for k, kind := range kinds {
		group.Go(func() { clusters[k], errs[k] = p.startSharedCluster(kind, fmt.Sprint(sharedLimit)) })
	}
	group.Wait()
	for _, r := range clusters {
		if r != nil && r.Cluster != nil {
			defer r.Close()
		}
	}
	if err := errors.Join(errs...); err != nil {
		return err
	}
	on, even, off := clusters[0], clusters[1], clusters[2]
	allocator := ""
	took, _ := on.Until(10*time.Second, func() bool { allocator, _ = on.allocator(); return allocator != "" })
	p.atMost("first.keeper.s", took, 10)
	p.untilAlike(on.Cluster, 10*time.Second, sharedOn, on.Names())
	time.Sleep(2 * time.Second) // the wait of reserved permits for former incarnations is over

	// The load: at first most of it at one app server, which changes every two seconds; then more than there is, everywhere.
	const whole = sharedLimit / sharedWork / 0.85 // RPCs a second that fill the limit
	const skewed = 0.75                           // of it
	var mu sync.Mutex
	hot, rate := "n1", skewed*whole
	rates := func(name string) float64 {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case hot == "":
			return rate / sharedOn
		case hot == name:
			return 0.6 * rate
		}
		return 0.4 * rate / (sharedOn - 1)
	}
	move := func(to string, r float64) {
		mu.Lock()
		defer mu.Unlock()
		hot, rate = to, r
	}
	var loads sync.WaitGroup
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	compared, endCompared := context.WithCancel(ctx)
	defer endCompared()
	for _, r := range clusters {
		r.startPhase("start")
		until := compared
		if r == on {
			until = ctx
		}
		loads.Go(func() { r.load(until, p, time.Minute, rates) })
	}
	time.Sleep(time.Second)
	for _, r := range clusters {
		r.startPhase("skewed")
	}
	follows := 0.0
	for _, name := range []string{"n2", "n5", "n8"} {
		move(name, skewed*whole)
		began := time.Now()
		took := math.Inf(1)
		for time.Since(began) < 2*time.Second {
			if _, n := on.backend.Now(name); n >= sharedLimit/3 && math.IsInf(took, 1) {
				took = time.Since(began).Seconds()
			}
			time.Sleep(5 * time.Millisecond)
		}
		follows = max(follows, took)
	}
	p.atMost("follows.demand.s", follows, 2)
	for _, r := range clusters {
		r.startPhase("full")
	}
	move("", 1.5*whole)
	time.Sleep(time.Second)
	on.backend.Used()
	even.backend.Used()
	packets, runs, began := on.packets(), on.backend.Runs(), time.Now()
	time.Sleep(3 * time.Second)
	packets, runs = on.packets()-packets, on.backend.Runs()-runs
	p.inform("packets.s", packets/time.Since(began).Seconds()/sharedOn)
	p.inform("packets.a.run", packets/float64(runs))
	p.atLeast("used.steady", on.backend.Used()/sharedLimit, 0.9)
	p.inform("used.steady.even", even.backend.Used()/sharedLimit)
	on.startPhase("faults")
	endCompared()
	// Somebody else is to allocate it: use stays above the reserved permits, and comes back.
	change := func(how, script string) {
		was, _ := on.allocator()
		on.backend.Used()
		began := time.Now()
		errs[0] = errors.Join(errs[0], on.Run(strings.ReplaceAll(script, "ALLOCATOR", was)))
		now, back := "", math.Inf(1)
		least := 1.0
		for time.Since(began) < 4*experimentLease {
			time.Sleep(250 * time.Millisecond)
			used := on.backend.Used() / sharedLimit
			least = min(least, used)
			if now == "" {
				if now, _ = on.allocator(); now == was {
					now = ""
				}
			}
			if now != "" && used >= 0.9 {
				back = time.Since(began).Seconds()
				break
			}
		}
		if how == "cut" { // what is on the other side comes back with the cut's end alone
			p.inform("back.s."+how, back)
		} else {
			p.atMost("back.s."+how, back, 3*experimentLease.Seconds())
		}
		p.atLeast("used.least."+how, least, float64(sharedOn-1)/sharedLimit)
	}
	change("killed", "0s kill ALLOCATOR")
	for _, name := range on.Names() {
		if !slices.Contains(on.Running(), name) {
			errs[0] = errors.Join(errs[0], on.Run("0s start "+name))
		}
	}
	// What the one that died had, and the reserved permits of its new incarnation, are back once its last grant is over.
	on.backend.Used()
	on.Until(5*time.Second, func() bool { time.Sleep(300 * time.Millisecond); return on.backend.Used() >= 0.97*sharedLimit })
	allocator, _ = on.allocator()
	change("stopped", "0s stop ALLOCATOR")
	errs[0] = errors.Join(errs[0], on.Run("1500ms cont "+allocator))
	allocator, _ = on.allocator()
	others := slices.DeleteFunc(on.Names(), func(n string) bool { return n == allocator })
	change("cut", "0s split ALLOCATOR,"+strings.Join(others[sharedOn/2:], ",")+"|"+strings.Join(others[:sharedOn/2], ","))
	// While a holder dies, and another is stopped past its grant, everything behind takes ten times as long, and recovers.
	var slow sync.WaitGroup
	slow.Go(func() {
		for _, times := range []float64{10, 1} {
			time.Sleep(1500 * time.Millisecond)
			for _, name := range on.Names() {
				on.Node(name).Kernel.Slow(times)
			}
		}
	})
	errs[0] = errors.Join(errs[0], on.Run("500ms heal\n500ms kill "+others[0]+"\n500ms stop "+others[1]+"\n1500ms start "+others[0]+"\n4s cont "+others[1]+"\n5s heal"))
	slow.Wait()
	p.exactly("over.limit", float64(on.backend.Over()), 0)
	p.exactly("over.limit.lowered", float64(on.lower(p)), 0)
	stop()
	loads.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	// All restarted cold, and at once full again.
	move("", 1.5*whole)
	for _, name := range on.Names() {
		errs[0] = errors.Join(errs[0], on.Run("0s kill "+name))
	}
	var starts sync.WaitGroup
	for _, name := range on.Names() {
		starts.Go(func() { on.Run("0s start " + name) })
	}
	starts.Wait()
	on.startPhase("again")
	on.load(context.Background(), p, 4*time.Second, rates)
	p.exactly("over.limit.restarted", float64(on.backend.Over()), 0)
	p.inform("served.restarted", on.servedShare("again"))
	p.atLeast("over.limit.off", float64(off.backend.Over()), 1)
	p.exactly("over.limit.even", float64(even.backend.Over()), 0)
	for _, phase := range []string{"skewed", "full"} {
		p.inform("best."+phase, on.bestShare(phase))
		p.atLeast("criticality.ok."+phase, on.servedShare(phase)/on.bestShare(phase), 0.9)
		p.inform("criticality.even."+phase, even.servedShare(phase))
	}
	p.atLeast("served.least.full", on.leastServedShare("full"), 0.1)
	p.atLeast("criticality.of.even.skewed", on.servedShare("skewed")/even.servedShare("skewed"), 1.3)
	for _, phase := range []string{"skewed", "full"} { // nothing else is done to either then
		a, b := on.plain[phase], off.plain[phase]
		p.atLeast("plain.of.off."+phase, a[0]/a[1]/(b[0]/b[1]), 0.98)
	}
	p.violations(on.Cluster, even.Cluster, off.Cluster)
	return p.keep(on.Cluster)
}

// lower has a reload lower the limit by a third, and gives by how much that is passed once what was granted before is over.
func (r *sharedCluster) lower(p *play) int {
	const to = sharedLimit * 2 / 3
	for _, name := range r.Names() {
		r.Amend(name, func(settings string) string {
			return strings.Replace(settings, fmt.Sprintf("behind %d ", sharedLimit), fmt.Sprintf("behind %d ", to), 1)
		})
		r.Node(name).Reload()
	}
	time.Sleep(2*experimentLease + time.Second + 300*time.Millisecond) // grants of two leases, and runs of a second
	r.backend.Limit(to)
	r.backend.Used()
	time.Sleep(time.Second)
	p.atLeast("used.lowered", r.backend.Used()/to, 0.8)
	return r.backend.Over()
}

// playShareForty is the experiment on few permits among many: each of forty processes has its turn.
func playShareForty(p *play) error {
	const many, few = 40, 10
	r := newSharedCluster(few)
	plan := p.sharedPlan(many, r.backend)
	plan.Laws = []string{"fleet.voters " + strings.Join(names(5), " "), "fleet.lease " + experimentLease.String(),
		fmt.Sprintf("fleet.share behind %d lookup check record", few), "fleet.floor 1 n1 n2"}
	var err error
	if r.Cluster, err = rig.NewCluster(plan); err != nil {
		return err
	}
	defer r.Close()
	if _, ok := r.Until(10*time.Second, func() bool { who, _ := r.allocator(); return who != "" }); !ok {
		return errors.New("nobody keeps the share")
	}
	p.untilAlike(r.Cluster, 15*time.Second, many, r.Names())
	time.Sleep(3500 * time.Millisecond) // until the reserved permits may be used
	r.startPhase("many")
	var load sync.WaitGroup
	length := p.span(12 * time.Second)
	load.Go(func() { // four times what may run
		r.load(context.Background(), p, length, func(string) float64 { return 4 * few / sharedWork / 0.85 / many })
	})
	time.Sleep(length / 4)
	r.backend.Used()
	time.Sleep(length / 2)
	p.atLeast("used.steady", r.backend.Used()/few, 0.7)
	load.Wait()
	p.exactly("over.limit", float64(r.backend.Over()), 0)
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
	p.violations(r.Cluster)
	return p.keep(r.Cluster)
}

// playShareAuto is the experiment on a limit that is found: what stands behind takes longer past so many at once, which changes.
func playShareAuto(p *play) error {
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
		r.load(ctx, p, time.Minute, func(string) float64 { return 1.4 * sharedLimit / sharedWork / 0.85 / sharedOn })
	})
	for k, bears := range []int{sharedLimit, sharedLimit / 2, sharedLimit} {
		r.backend.Bears(bears)
		time.Sleep(p.span([]time.Duration{14, 8, 13}[k] * time.Second)) // up takes longer than down, and 20 s are allowed
		sum, n := 0.0, 0.0                                              // it goes up and down about what is right: the mean over some seconds
		for end := time.Now().Add(p.span(2 * time.Second)); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			if _, s := r.allocator(); s.Limit > 0 {
				sum += float64(s.Limit)
				n++
			}
		}
		off := math.Abs(sum/n-float64(bears)) / float64(bears)
		p.say("%d are borne, the limit is %.1f", bears, sum/n)
		p.atMost(fmt.Sprintf("limit.off.share.%d", bears), off, 0.2)
	}
	stop()
	loads.Wait()
	p.violations(r.Cluster)
	return p.keep(r.Cluster)
}

// autoTarget is how many times as long as their work runs may take.
const autoTarget = 1.12
