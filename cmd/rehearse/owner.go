package main

import (
	"errors"
	"fmt"
	"math"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"time"

	"valveglade/member"
	"valveglade/rig"
)

// The lease of an experiment, and for how long after its last order a process still counts as the owner.
const experimentLease, ownerWindow = time.Second, 200 * time.Millisecond

// roleCluster is a cluster of processes of which some own roles, and the workers that carry out their orders.
type roleCluster struct {
	*rig.Cluster
	workers []*rig.Worker // of each role
}

func (c *roleCluster) close() {
	if c == nil {
		return
	}
	c.Cluster.Close()
	for _, w := range c.workers {
		w.Close()
	}
}

// startRoleCluster starts a cluster of a kind: "on" is the program with two roles, "off" the same with the fleet off, "lowest" has
// the lowest name of each view as the owner, and in "drifting" processes campaign by clocks that drift, at the bound.
func (p *play) startRoleCluster(kind string, n int) (*roleCluster, error) {
	c := &roleCluster{}
	for range 2 {
		w, err := rig.NewWorker(kind != "lowest", rig.NewHistory())
		if err != nil {
			return nil, err
		}
		c.workers = append(c.workers, w)
	}
	plan := p.plan(n)
	voters := names(5)
	switch kind {
	case "on":
		plan.Folders = voters
		plan.Laws = []string{"fleet.voters " + strings.Join(voters, " "), "fleet.lease " + experimentLease.String(), "fleet.drift 1%",
			fmt.Sprintf("fleet.office o %s %s / s %s %s", c.workers[0].Address(), orderEvery, c.workers[1].Address(), orderEvery)}
	case "off":
		plan.Off = true
	default:
		plan.Bare = func(name, listen, advertise string, join []string) *exec.Cmd {
			args := []string{"lowest", "--name", name, "--listen", listen, "--advertise", advertise, "--join", strings.Join(join, ","),
				"--order", c.workers[0].Address()}
			if kind == "drifting" { // any two drift apart by at most the bound
				rate := 1 + experimentDrift*(float64(slices.Index(voters, name)%3)-1)*0.49
				args = append(args, "--voters", strings.Join(voters, ","), "--drift", fmt.Sprint(experimentDrift), "--rate", fmt.Sprint(rate))
			}
			return exec.Command(p.self(), args...)
		}
	}
	var err error
	c.Cluster, err = rig.NewCluster(plan)
	return c, err
}

// experimentDrift is the bound on how far clocks drift apart: far more than real ones do.
const experimentDrift = 0.2

// awaitOwner waits for an owner of the first role other than a given one. It returns the owner and the seconds that this took, or
// +Inf if there is none in time.
func (c *roleCluster) awaitOwner(not string) (string, float64) {
	who := ""
	took, ok := c.Until(15*time.Second, func() bool {
		who = c.workers[0].Owner(ownerWindow)
		return who != "" && who != not
	})
	if !ok {
		return "", math.Inf(1)
	}
	return who, took
}

// playOwner is the experiment on roles: the owner killed, stopped past its lease with a command in its hands, cut off, left
// without a majority, drained, while voters are slow, late, dead or without a disk. The baselines are the same by clocks that drift,
// processes where the lowest name of the view is the owner, and the same load with the fleet off.
func playOwner(p *play) error {
	const n = 5
	all := names(n)
	kinds := []string{"on", "off", "lowest", "drifting"}
	clusters := make([]*roleCluster, len(kinds))
	errs := make([]error, len(kinds))
	var group sync.WaitGroup
	for k, kind := range kinds {
		group.Go(func() { clusters[k], errs[k] = p.startRoleCluster(kind, n) })
	}
	group.Wait()
	for _, c := range clusters {
		defer c.close()
	}
	if err := errors.Join(errs...); err != nil {
		return err
	}
	on, off, low, drifting := clusters[0], clusters[1], clusters[2], clusters[3]
	worker := on.workers[0]
	owner, took := on.awaitOwner("")
	p.atMost("first.owner.s", took, 10)
	p.untilAlike(on.Cluster, 10*time.Second, n, all)
	p.untilAlike(low.Cluster, 10*time.Second, n, all)

	length := p.span(33 * time.Second)
	served := map[*roleCluster]map[string]rig.Outcome{}
	var mu sync.Mutex
	var loads, baselines sync.WaitGroup
	for _, c := range []*roleCluster{on, off} {
		loads.Go(func() {
			out := p.load(c.Cluster, length, 20, all)
			mu.Lock()
			served[c] = out
			mu.Unlock()
		})
	}
	baselines.Go(func() { // the same is done to the lowest name, n1
		errs[2] = low.Run("5s stop n1\n9s cont n1\n11s split n1,n2|n3,n4,n5\n16s heal")
	})
	baselines.Go(func() { errs[3] = p.drift(drifting) })
	// Whatever is done to a process is done to the same one where the fleet is off.
	do := func(script string) {
		var both sync.WaitGroup
		both.Go(func() { errs[1] = errors.Join(errs[1], off.Run(script)) })
		errs[0] = errors.Join(errs[0], on.Run(script))
		both.Wait()
	}
	if err := p.undisturbed(on, off, all, owner); err != nil {
		return err
	}
	worst := 0.0
	next := func(how string) {
		who, took := on.awaitOwner(owner)
		p.inform("new.owner.s."+how, took)
		worst = max(worst, took)
		owner = who
	}
	// Messages are doubled, and some come over several terms too late. Three times the owner is stopped past its lease, in the
	// middle of its orders: that one is in its hands is left to chance.
	others := func() []string {
		return slices.DeleteFunc(slices.Clone(all), func(s string) bool { return s == owner })
	}
	errs[0] = errors.Join(errs[0], on.Run(fmt.Sprintf("0s double *>* 30%%\n0s mute %s>* 2500ms", others()[0])))
	for range 3 {
		if owner == "" {
			break
		}
		sleeper := owner
		do("0s stop " + sleeper)
		next("stopped")
		time.Sleep(2 * experimentLease)
		do("0s cont " + sleeper)
		time.Sleep(experimentLease / 2)
	}
	on.Run("0s heal")
	// Killed, while a voter's disk fails; and started again.
	victim, spoilt := owner, others()[0]
	folder := on.Folder(spoilt)
	if err := os.Rename(folder, folder+".away"); err != nil {
		return err
	}
	do("0s kill " + victim)
	next("killed")
	do("0s start " + victim)
	if err := os.Rename(folder+".away", folder); err != nil {
		return err
	}
	// Cut off one way: it speaks and does not hear; it hears and does not speak.
	on.Run("0s cut *>" + owner)
	next("deaf")
	on.Run("0s heal")
	on.Run("0s cut " + owner + ">*")
	next("unheard")
	on.Run("0s heal")
	// Without a majority there is no owner; with it back there is one within two leases.
	for _, name := range all[:3] {
		do("0s stop " + name)
	}
	time.Sleep(3 * experimentLease / 2)
	lost := time.Now()
	time.Sleep(experimentLease)
	p.exactly("orders.without.majority", float64(len(worker.Orders(lost))), 0)
	for _, name := range all[:3] {
		do("0s cont " + name)
	}
	owner, took = on.awaitOwner("")
	p.atMost("back.with.majority.s", took, 2*experimentLease.Seconds())
	// Drained, as a voter dies.
	do("0s kill " + others()[0])
	do("0s notice " + owner)
	_, took = on.awaitOwner(owner)
	p.atMost("handover.drain.s", took, 1)
	p.atMost("new.owner.max.s", worst, 2*experimentLease.Seconds())
	loads.Wait()
	baselines.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	p.atLeast("late.refused", float64(worker.Refused()), 1)
	for k, role := range []string{"", ".second"} {
		j := rig.NewVerdict(on.workers[k].Orders(time.Time{}), experimentLease)
		p.say("role %d: %v", k+1, j)
		p.atMost("owners.at.once"+role, float64(j.AtOnce), 1)
		p.exactly("late.effects"+role, float64(j.LateEffects), 0)
		p.exactly("terms.falling"+role, float64(j.FallingTerms+j.SharedTerms), 0)
	}
	p.exactly("work.overlap.s", rig.Overlap(on.History.LeadershipIntervals()), 0)
	l := rig.NewVerdict(low.workers[0].Orders(time.Time{}), experimentLease)
	p.say("lowest name: %v", l)
	p.atLeast("owners.at.once.lowest", float64(l.AtOnce), 2)
	p.atLeast("late.effects.lowest", float64(l.LateEffects), 1)
	p.inform("service.on", service(served[on], all))
	p.atLeast("service.of.off", service(served[on], all)/service(served[off], all), 0.98)
	p.violations(on.Cluster, off.Cluster)
	return p.keep(on.Cluster)
}

// undisturbed leaves the owner alone: first nothing happens, and the cost is measured; then messages are lost, one voter is slow and
// one answers later than a lease. The owner must not change.
func (p *play) undisturbed(on, off *roleCluster, all []string, owner string) error {
	span := 4 * time.Second
	if p.Long {
		span = time.Minute
	}
	began := time.Now()
	before, err := member.ReadStatus(on.Socket("n1"))
	if err != nil {
		return err
	}
	used := map[*roleCluster]time.Duration{}
	cpu := func(c *roleCluster) (sum time.Duration) {
		for _, name := range all {
			sum += c.CPU(name)
		}
		return sum
	}
	for _, c := range []*roleCluster{on, off} {
		used[c] = cpu(c)
	}
	time.Sleep(span)
	after, err := member.ReadStatus(on.Socket("n1"))
	if err != nil {
		return err
	}
	p.inform("cpu.on.top.share", (cpu(on)-used[on]-cpu(off)+used[off]).Seconds()/span.Seconds()/float64(len(all)))
	p.inform("bytes.s", float64(after.Bytes[0]+after.Bytes[1]-before.Bytes[0]-before.Bytes[1])/span.Seconds())
	p.inform("packets.s", float64(after.Packets[0]-before.Packets[0])/span.Seconds())
	resident := 0.0
	for _, name := range all {
		resident += float64(on.Node(name).Resident()-off.Node(name).Resident()) / 1e6 / float64(len(all))
	}
	p.inform("resident.on.top.mb", resident)
	rest := slices.DeleteFunc(slices.Clone(all), func(s string) bool { return s == owner || s == on.workers[1].Owner(ownerWindow) })
	if err := on.Run(fmt.Sprintf("0s loss *>* 10%%\n0s mute %s>* 500ms\n0s mute %s>* 1500ms\n4s heal", rest[0], rest[1])); err != nil {
		return err
	}
	changes := 0
	for _, w := range on.workers {
		changes += rig.NewVerdict(w.Orders(began), time.Minute).Changes
	}
	p.exactly("needless.changes", float64(changes), 0)
	return nil
}

// drift stops owners past their leases whose clocks drift from the voters' by as much as they may.
func (p *play) drift(c *roleCluster) error {
	owner, _ := c.awaitOwner("")
	for range 4 {
		if owner == "" {
			break
		}
		sleeper := owner
		if err := c.Run("0s stop " + sleeper); err != nil {
			return err
		}
		owner, _ = c.awaitOwner(sleeper)
		if err := c.Run("500ms cont " + sleeper); err != nil {
			return err
		}
		// Cut off, it goes on until its own clock says that its lease is over.
		if err := c.Run("500ms cut *>" + owner + "\n500ms cut " + owner + ">*"); err != nil {
			return err
		}
		owner, _ = c.awaitOwner(owner)
		if err := c.Run("500ms heal"); err != nil {
			return err
		}
	}
	j := rig.NewVerdict(c.workers[0].Orders(time.Time{}), experimentLease)
	p.say("drifting: %v", j)
	p.atMost("owners.at.once.drifting", float64(j.AtOnce), 1)
	p.exactly("work.overlap.drifting.s", rig.Overlap(c.History.LeadershipIntervals()), 0)
	p.exactly("late.effects.drifting", float64(j.LateEffects+j.FallingTerms+j.SharedTerms), 0)
	p.atLeast("changes.drifting", float64(j.Changes), 4)
	return nil
}
