package main

import (
	"errors"
	"fmt"
	"math"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"time"

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
func (p *experimentRun) startRoleCluster(kind string, n int) (*roleCluster, error) {
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
			fmt.Sprintf("fleet.office o %s %s / s %s %s", c.workers[0].Address(), commandInterval, c.workers[1].Address(), commandInterval)}
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

// ownerTrial is the state of the experiment on roles.
type ownerTrial struct {
	*experimentRun
	names                     []string
	on, off, lowest, drifting *roleCluster
	owner                     string  // of the first role in on
	worst                     float64 // the longest time to a new owner, in seconds
	errOn, errOff             error
	errLowest, errDrifting    error
	served                    map[*roleCluster]map[string]rig.Outcome
}

// playOwner is the experiment on roles: the owner killed, stopped past its lease with a command in its hands, cut off, left
// without a majority, drained, while voters are slow, late, dead or without a disk. The baselines are the same by clocks that drift,
// processes where the lowest name of the view is the owner, and the same load with the fleet off.
func runOwner(p *experimentRun) error {
	t := &ownerTrial{experimentRun: p, names: names(5), served: map[*roleCluster]map[string]rig.Outcome{}}
	err := t.start()
	defer t.close()
	if err != nil {
		return err
	}
	var took float64
	t.owner, took = t.on.awaitOwner("")
	p.atMost("first.owner.s", took, 10)
	p.untilAlike(t.on.Cluster, 10*time.Second, len(t.names), t.names)
	p.untilAlike(t.lowest.Cluster, 10*time.Second, len(t.names), t.names)

	var loads, baselines sync.WaitGroup
	t.startLoads(&loads)
	baselines.Go(func() { // the same is done to the lowest name, n1
		t.errLowest = t.lowest.Run("5s stop n1\n9s cont n1\n11s split n1,n2|n3,n4,n5\n16s heal")
	})
	baselines.Go(func() { t.errDrifting = p.drift(t.drifting) })
	if err := p.undisturbed(t.on, t.off, t.names, t.owner); err != nil {
		return err
	}
	t.stopOwners()
	if err := t.killOwner(); err != nil {
		return err
	}
	t.cutOwnerOff()
	t.takeMajority()
	t.drainOwner()
	p.atMost("new.owner.max.s", t.worst, 2*experimentLease.Seconds())
	loads.Wait()
	baselines.Wait()
	if err := errors.Join(t.errOn, t.errOff, t.errLowest, t.errDrifting); err != nil {
		return err
	}
	t.verdicts()
	p.violations(t.on.Cluster, t.off.Cluster)
	return p.keep(t.on.Cluster)
}

// start starts the clusters, all at the same time.
func (t *ownerTrial) start() error {
	var group sync.WaitGroup
	errs := make([]error, 4)
	for k, one := range []struct {
		kind string
		c    **roleCluster
	}{{"on", &t.on}, {"off", &t.off}, {"lowest", &t.lowest}, {"drifting", &t.drifting}} {
		group.Go(func() { *one.c, errs[k] = t.startRoleCluster(one.kind, len(t.names)) })
	}
	group.Wait()
	return errors.Join(errs...)
}

func (t *ownerTrial) close() {
	for _, c := range []*roleCluster{t.drifting, t.lowest, t.off, t.on} {
		c.close()
	}
}

// startLoads sends RPCs to the clusters whose service is compared.
func (t *ownerTrial) startLoads(loads *sync.WaitGroup) {
	length := t.scaled(33 * time.Second)
	var mu sync.Mutex
	for _, c := range []*roleCluster{t.on, t.off} {
		loads.Go(func() {
			out := t.load(c.Cluster, length, 20, t.names)
			mu.Lock()
			defer mu.Unlock()
			t.served[c] = out
		})
	}
}

// verdicts checks the orders that the workers carried out, and the service.
func (t *ownerTrial) verdicts() {
	t.atLeast("late.refused", float64(t.on.workers[0].Refused()), 1)
	for k, role := range []string{"", ".second"} {
		j := rig.NewVerdict(t.on.workers[k].Orders(time.Time{}), experimentLease)
		t.printNote("role %d: %v", k+1, j)
		t.atMost("owners.at.once"+role, float64(j.AtOnce), 1)
		t.exactly("late.effects"+role, float64(j.LateEffects), 0)
		t.exactly("terms.falling"+role, float64(j.FallingTerms+j.SharedTerms), 0)
	}
	t.exactly("work.overlap.s", rig.Overlap(t.on.History.LeadershipIntervals()), 0)
	l := rig.NewVerdict(t.lowest.workers[0].Orders(time.Time{}), experimentLease)
	t.printNote("lowest name: %v", l)
	t.atLeast("owners.at.once.lowest", float64(l.AtOnce), 2)
	t.atLeast("late.effects.lowest", float64(l.LateEffects), 1)
	t.report("service.on", service(t.served[t.on], t.names))
	t.atLeast("service.of.off", service(t.served[t.on], t.names)/service(t.served[t.off], t.names), 0.98)
}
