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

// experimentLease is the length of the leases in the experiments on roles and shares. ownerWindow is how long
// after its last order a process still counts as the owner.
const experimentLease, ownerWindow = time.Second, 200 * time.Millisecond

// roleCluster is a cluster of processes that compete for two roles, with a worker for each role that executes its owner's
// orders.
type roleCluster struct {
	*rig.Cluster
	workers []*rig.Worker // one for each role
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

// startRoleCluster starts a cluster of n processes of a kind: "on" is the program with two roles, "off" is the program with the
// fleet off, in "lowest" each process takes the lowest name of its view as the owner, and in "drifting" processes campaign with
// clocks that drift apart by maxClockDrift. The caller must close the cluster, also after an error.
func (run *experimentRun) startRoleCluster(kind string, n int) (*roleCluster, error) {
	c := &roleCluster{}
	for range 2 {
		worker, err := rig.NewWorker(kind != "lowest", rig.NewHistory())
		if err != nil {
			return nil, err
		}
		c.workers = append(c.workers, worker)
	}
	plan := run.clusterPlan(n)
	voters := nodeNames(5)
	switch kind {
	case "on":
		plan.WithStateDir = voters
		plan.Settings = []string{"fleet.voters " + strings.Join(voters, " "), "fleet.lease " + experimentLease.String(),
			"fleet.drift 1%", fmt.Sprintf("fleet.office o %s %s / s %s %s", c.workers[0].Address(), orderInterval,
				c.workers[1].Address(), orderInterval)}
	case "off":
		plan.NoFleet = true
	default:
		plan.BareCommand = func(name, listen, advertise string, join []string) *exec.Cmd {
			args := []string{"lowest", "--name", name, "--listen", listen, "--advertise", advertise, "--join",
				strings.Join(join, ","), "--order", c.workers[0].Address()}
			if kind == "drifting" { // any two clocks drift apart by at most maxClockDrift
				clockRate := 1 + maxClockDrift*(float64(slices.Index(voters, name)%3)-1)*0.49
				args = append(args, "--voters", strings.Join(voters, ","), "--drift", fmt.Sprint(maxClockDrift), "--rate",
					fmt.Sprint(clockRate))
			}
			return exec.Command(run.ownBinary(), args...)
		}
	}
	var err error
	c.Cluster, err = rig.NewCluster(plan)
	return c, err
}

// maxClockDrift is the maximum drift between any two clocks as a fraction, far above that of real clocks.
const maxClockDrift = 0.2

// awaitOwner waits up to 15 s for an owner of the first role other than former. It returns the owner and the seconds waited, or
// "" and +Inf if there is none in time.
func (c *roleCluster) awaitOwner(former string) (string, float64) {
	owner := ""
	took, ok := c.WaitUntil(15*time.Second, func() bool {
		owner = c.workers[0].Owner(ownerWindow)
		return owner != "" && owner != former
	})
	if !ok {
		return "", math.Inf(1)
	}
	return owner, took
}

// ownerTrial is the state of the owner experiment.
type ownerTrial struct {
	*experimentRun
	names                     []string
	on, off, lowest, drifting *roleCluster
	owner                     string  // owner of the first role in the cluster on
	longestHandover           float64 // longest time from a fault to the next owner, in seconds
	errOn, errOff             error
	errLowest, errDrifting    error
	served                    map[*roleCluster]map[string]rig.Outcome
}

// runOwner is the experiment on role ownership. The owner is killed, stopped past its lease while it may have an order in
// progress, cut off one way, left without a majority, and drained, while voters are slow, late, dead or without a disk. It is
// compared with three clusters: with drifting clocks, with the lowest name of the view as the owner, and with the fleet off.
func runOwner(run *experimentRun) error {
	t := &ownerTrial{experimentRun: run, names: nodeNames(5), served: map[*roleCluster]map[string]rig.Outcome{}}
	err := t.start()
	defer t.close()
	if err != nil {
		return err
	}
	var took float64
	t.owner, took = t.on.awaitOwner("")
	run.atMost("first.owner.s", took, 10)
	run.awaitSameView(t.on.Cluster, 10*time.Second, len(t.names), t.names)
	run.awaitSameView(t.lowest.Cluster, 10*time.Second, len(t.names), t.names)

	var loads, baselines sync.WaitGroup
	t.startLoads(&loads)
	baselines.Go(func() { // n1 has the lowest name and is the owner in this cluster
		t.errLowest = t.lowest.RunScriptText("5s stop n1\n9s cont n1\n11s split n1,n2|n3,n4,n5\n16s heal")
	})
	baselines.Go(func() { t.errDrifting = run.stopDriftingOwners(t.drifting) })
	if err := run.checkOwnerStability(t.on, t.off, t.names, t.owner); err != nil {
		return err
	}
	t.stopOwners()
	if err := t.killOwner(); err != nil {
		return err
	}
	t.cutOwnerOff()
	t.stopMajority()
	t.drainOwner()
	run.atMost("new.owner.max.s", t.longestHandover, 2*experimentLease.Seconds())
	loads.Wait()
	baselines.Wait()
	if err := errors.Join(t.errOn, t.errOff, t.errLowest, t.errDrifting); err != nil {
		return err
	}
	t.checkOrders()
	run.checkViolations(t.on.Cluster, t.off.Cluster)
	return run.writeHistory(t.on.Cluster)
}

// start starts the four clusters concurrently.
func (t *ownerTrial) start() error {
	var group sync.WaitGroup
	errs := make([]error, 4)
	for k, entry := range []struct {
		kind    string
		cluster **roleCluster
	}{{"on", &t.on}, {"off", &t.off}, {"lowest", &t.lowest}, {"drifting", &t.drifting}} {
		group.Go(func() { *entry.cluster, errs[k] = t.startRoleCluster(entry.kind, len(t.names)) })
	}
	group.Wait()
	return errors.Join(errs...)
}

func (t *ownerTrial) close() {
	for _, c := range []*roleCluster{t.drifting, t.lowest, t.off, t.on} {
		c.close()
	}
}

// startLoads starts the same load on the clusters on and off, and adds both loads to the wait group.
func (t *ownerTrial) startLoads(loads *sync.WaitGroup) {
	duration := t.scaled(33 * time.Second)
	var mu sync.Mutex
	for _, c := range []*roleCluster{t.on, t.off} {
		loads.Go(func() {
			outcomes := t.loadCluster(c.Cluster, duration, 20, t.names)
			mu.Lock()
			defer mu.Unlock()
			t.served[c] = outcomes
		})
	}
}

// checkOrders checks the orders that the workers executed, and compares the service of the clusters on and off.
func (t *ownerTrial) checkOrders() {
	t.atLeast("late.refused", float64(t.on.workers[0].RejectedOrders()), 1)
	for k, role := range []string{"", ".second"} {
		verdict := rig.NewVerdict(t.on.workers[k].Orders(time.Time{}), experimentLease)
		t.printNote("role %d: %v", k+1, verdict)
		t.atMost("owners.at.once"+role, float64(verdict.MaxConcurrentOwners), 1)
		t.exactly("late.effects"+role, float64(verdict.LateEffects), 0)
		t.exactly("terms.falling"+role, float64(verdict.DecreasingTerms+verdict.SharedTerms), 0)
	}
	t.exactly("work.overlap.s", rig.MaxOverlap(t.on.History.LeadershipIntervals()), 0)
	lowestVerdict := rig.NewVerdict(t.lowest.workers[0].Orders(time.Time{}), experimentLease)
	t.printNote("lowest name: %v", lowestVerdict)
	t.atLeast("owners.at.once.lowest", float64(lowestVerdict.MaxConcurrentOwners), 2)
	t.atLeast("late.effects.lowest", float64(lowestVerdict.LateEffects), 1)
	t.report("service.on", servedCriticality(t.served[t.on], t.names))
	t.atLeast("service.of.off", servedCriticality(t.served[t.on], t.names)/servedCriticality(t.served[t.off], t.names), 0.98)
}
