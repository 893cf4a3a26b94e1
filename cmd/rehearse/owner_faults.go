package main

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"valveglade/member"
	"valveglade/rig"
)

// runScript runs a fault script on the clusters on and off at the same time, and records the errors.
func (t *ownerTrial) runScript(script string) {
	var both sync.WaitGroup
	both.Go(func() { t.errOff = errors.Join(t.errOff, t.off.RunScriptText(script)) })
	t.errOn = errors.Join(t.errOn, t.on.RunScriptText(script))
	both.Wait()
}

// awaitNextOwner waits for an owner other than the last one, and reports how long that took. fault names the figure.
func (t *ownerTrial) awaitNextOwner(fault string) {
	owner, took := t.on.awaitOwner(t.owner)
	t.report("new.owner.s."+fault, took)
	t.longestHandover = max(t.longestHandover, took)
	t.owner = owner
}

// nonOwners returns the names of the processes that do not own the first role.
func (t *ownerTrial) nonOwners() []string {
	return slices.DeleteFunc(slices.Clone(t.names), func(s string) bool { return s == t.owner })
}

// stopOwners stops the owner past its lease three times while it sends orders; an order may or may not be in progress at that
// time. Meanwhile messages are duplicated, and those of one voter arrive several terms late.
func (t *ownerTrial) stopOwners() {
	t.errOn = errors.Join(t.errOn, t.on.RunScriptText(fmt.Sprintf("0s double *>* 30%%\n0s mute %s>* 2500ms", t.nonOwners()[0])))
	for range 3 {
		if t.owner == "" {
			break
		}
		stopped := t.owner
		t.runScript("0s stop " + stopped)
		t.awaitNextOwner("stopped")
		time.Sleep(2 * experimentLease)
		t.runScript("0s cont " + stopped)
		time.Sleep(experimentLease / 2)
	}
	t.on.RunScriptText("0s heal")
}

// killOwner kills the owner while the state directory of a voter is missing, as after a disk failure, and starts the owner again.
func (t *ownerTrial) killOwner() error {
	killed := t.owner
	stateDir := t.on.StateDir(t.nonOwners()[0])
	if err := os.Rename(stateDir, stateDir+".away"); err != nil {
		return err
	}
	t.runScript("0s kill " + killed)
	t.awaitNextOwner("killed")
	t.runScript("0s start " + killed)
	return os.Rename(stateDir+".away", stateDir)
}

// cutOwnerOff cuts the owner off in one direction: first it sends and does not receive, then it receives and does not send.
func (t *ownerTrial) cutOwnerOff() {
	t.on.RunScriptText("0s cut *>" + t.owner)
	t.awaitNextOwner("deaf")
	t.on.RunScriptText("0s heal")
	t.on.RunScriptText("0s cut " + t.owner + ">*")
	t.awaitNextOwner("unheard")
	t.on.RunScriptText("0s heal")
}

// stopMajority stops three of the five voters and continues them. Without a majority no owner may send orders; once the majority
// has returned there must be an owner within two leases.
func (t *ownerTrial) stopMajority() {
	for _, name := range t.names[:3] {
		t.runScript("0s stop " + name)
	}
	time.Sleep(3 * experimentLease / 2)
	majorityLost := time.Now()
	time.Sleep(experimentLease)
	t.exactly("orders.without.majority", float64(len(t.on.workers[0].Orders(majorityLost))), 0)
	for _, name := range t.names[:3] {
		t.runScript("0s cont " + name)
	}
	var took float64
	t.owner, took = t.on.awaitOwner("")
	t.atMost("back.with.majority.s", took, 2*experimentLease.Seconds())
}

// drainOwner drains the owner right after a voter was killed.
func (t *ownerTrial) drainOwner() {
	t.runScript("0s kill " + t.nonOwners()[0])
	t.runScript("0s notice " + t.owner)
	_, took := t.on.awaitOwner(t.owner)
	t.atMost("handover.drain.s", took, 1)
}

// checkOwnerStability checks that the owner does not change unnecessarily. First there are no faults, and the cost of the fleet
// is measured. Then messages are lost, one voter is slow and another one answers later than a lease.
func (run *experimentRun) checkOwnerStability(on, off *roleCluster, names []string, owner string) error {
	interval := 4 * time.Second
	if run.Long {
		interval = time.Minute
	}
	start := time.Now()
	before, err := member.ReadStatus(on.Socket("n1"))
	if err != nil {
		return err
	}
	cpuBefore := map[*roleCluster]time.Duration{}
	totalCPU := func(c *roleCluster) (sum time.Duration) {
		for _, name := range names {
			sum += c.CPU(name)
		}
		return sum
	}
	for _, c := range []*roleCluster{on, off} {
		cpuBefore[c] = totalCPU(c)
	}
	time.Sleep(interval)
	after, err := member.ReadStatus(on.Socket("n1"))
	if err != nil {
		return err
	}
	run.report("cpu.on.top.share",
		(totalCPU(on)-cpuBefore[on]-totalCPU(off)+cpuBefore[off]).Seconds()/interval.Seconds()/float64(len(names)))
	run.report("bytes.s", float64(after.Bytes[0]+after.Bytes[1]-before.Bytes[0]-before.Bytes[1])/interval.Seconds())
	run.report("packets.s", float64(after.Packets[0]-before.Packets[0])/interval.Seconds())
	resident := 0.0
	for _, name := range names {
		resident += float64(on.Node(name).ResidentBytes()-off.Node(name).ResidentBytes()) / 1e6 / float64(len(names))
	}
	run.report("resident.on.top.mb", resident)
	others := slices.DeleteFunc(slices.Clone(names), func(s string) bool {
		return s == owner || s == on.workers[1].Owner(ownerWindow)
	})
	if err := on.RunScriptText(fmt.Sprintf("0s loss *>* 10%%\n0s mute %s>* 500ms\n0s mute %s>* 1500ms\n4s heal",
		others[0], others[1])); err != nil {
		return err
	}
	changes := 0
	for _, w := range on.workers {
		changes += rig.NewVerdict(w.Orders(start), time.Minute).OwnerChanges
	}
	run.exactly("needless.changes", float64(changes), 0)
	return nil
}

// stopDriftingOwners stops owners past their leases, and cuts others off, in a cluster whose clocks drift apart by maxClockDrift,
// and checks the orders.
func (run *experimentRun) stopDriftingOwners(c *roleCluster) error {
	owner, _ := c.awaitOwner("")
	for range 4 {
		if owner == "" {
			break
		}
		stopped := owner
		if err := c.RunScriptText("0s stop " + stopped); err != nil {
			return err
		}
		owner, _ = c.awaitOwner(stopped)
		if err := c.RunScriptText("500ms cont " + stopped); err != nil {
			return err
		}
		// An owner that is cut off continues until its lease expires by its own clock.
		if err := c.RunScriptText("500ms cut *>" + owner + "\n500ms cut " + owner + ">*"); err != nil {
			return err
		}
		owner, _ = c.awaitOwner(owner)
		if err := c.RunScriptText("500ms heal"); err != nil {
			return err
		}
	}
	verdict := rig.NewVerdict(c.workers[0].Orders(time.Time{}), experimentLease)
	run.printNote("drifting: %v", verdict)
	run.atMost("owners.at.once.drifting", float64(verdict.MaxConcurrentOwners), 1)
	run.exactly("work.overlap.drifting.s", rig.MaxOverlap(c.History.LeadershipIntervals()), 0)
	run.exactly("late.effects.drifting", float64(verdict.LateEffects+verdict.DecreasingTerms+verdict.SharedTerms), 0)
	run.atLeast("changes.drifting", float64(verdict.OwnerChanges), 4)
	return nil
}
