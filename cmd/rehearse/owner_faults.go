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

// run does something to the processes of the program, and the same where the fleet is off.
func (t *ownerTrial) run(script string) {
	var both sync.WaitGroup
	both.Go(func() { t.errOff = errors.Join(t.errOff, t.off.RunScriptText(script)) })
	t.errOn = errors.Join(t.errOn, t.on.RunScriptText(script))
	both.Wait()
}

// next waits for another owner, after a kind of fault.
func (t *ownerTrial) next(fault string) {
	who, took := t.on.awaitOwner(t.owner)
	t.report("new.owner.s."+fault, took)
	t.worst = max(t.worst, took)
	t.owner = who
}

// others are the processes that do not own the first role.
func (t *ownerTrial) others() []string {
	return slices.DeleteFunc(slices.Clone(t.names), func(s string) bool { return s == t.owner })
}

// stopOwners stops the owner past its lease three times, in the middle of its orders; whether it has one in its hands is left to
// chance. Meanwhile messages are doubled, and some come over several terms too late.
func (t *ownerTrial) stopOwners() {
	t.errOn = errors.Join(t.errOn, t.on.RunScriptText(fmt.Sprintf("0s double *>* 30%%\n0s mute %s>* 2500ms", t.others()[0])))
	for range 3 {
		if t.owner == "" {
			break
		}
		stopped := t.owner
		t.run("0s stop " + stopped)
		t.next("stopped")
		time.Sleep(2 * experimentLease)
		t.run("0s cont " + stopped)
		time.Sleep(experimentLease / 2)
	}
	t.on.RunScriptText("0s heal")
}

// killOwner kills the owner while a voter's disk fails, and starts it again.
func (t *ownerTrial) killOwner() error {
	victim := t.owner
	folder := t.on.StateDir(t.others()[0])
	if err := os.Rename(folder, folder+".away"); err != nil {
		return err
	}
	t.run("0s kill " + victim)
	t.next("killed")
	t.run("0s start " + victim)
	return os.Rename(folder+".away", folder)
}

// cutOwnerOff cuts the owner off one way: it speaks and does not hear, then it hears and does not speak.
func (t *ownerTrial) cutOwnerOff() {
	t.on.RunScriptText("0s cut *>" + t.owner)
	t.next("deaf")
	t.on.RunScriptText("0s heal")
	t.on.RunScriptText("0s cut " + t.owner + ">*")
	t.next("unheard")
	t.on.RunScriptText("0s heal")
}

// takeMajority stops three of five: without a majority there is no owner; with it back there is one within two leases.
func (t *ownerTrial) takeMajority() {
	for _, name := range t.names[:3] {
		t.run("0s stop " + name)
	}
	time.Sleep(3 * experimentLease / 2)
	lost := time.Now()
	time.Sleep(experimentLease)
	t.exactly("orders.without.majority", float64(len(t.on.workers[0].Orders(lost))), 0)
	for _, name := range t.names[:3] {
		t.run("0s cont " + name)
	}
	var took float64
	t.owner, took = t.on.awaitOwner("")
	t.atMost("back.with.majority.s", took, 2*experimentLease.Seconds())
}

// drainOwner drains the owner as a voter dies.
func (t *ownerTrial) drainOwner() {
	t.run("0s kill " + t.others()[0])
	t.run("0s notice " + t.owner)
	_, took := t.on.awaitOwner(t.owner)
	t.atMost("handover.drain.s", took, 1)
}

// undisturbed leaves the owner alone: first nothing happens, and the cost is measured; then messages are lost, one voter is slow and
// one answers later than a lease. The owner must not change.
func (p *experimentRun) undisturbed(on, off *roleCluster, all []string, owner string) error {
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
	p.report("cpu.on.top.share", (cpu(on)-used[on]-cpu(off)+used[off]).Seconds()/span.Seconds()/float64(len(all)))
	p.report("bytes.s", float64(after.Bytes[0]+after.Bytes[1]-before.Bytes[0]-before.Bytes[1])/span.Seconds())
	p.report("packets.s", float64(after.Packets[0]-before.Packets[0])/span.Seconds())
	resident := 0.0
	for _, name := range all {
		resident += float64(on.Node(name).ResidentBytes()-off.Node(name).ResidentBytes()) / 1e6 / float64(len(all))
	}
	p.report("resident.on.top.mb", resident)
	rest := slices.DeleteFunc(slices.Clone(all), func(s string) bool { return s == owner || s == on.workers[1].Owner(ownerWindow) })
	if err := on.RunScriptText(fmt.Sprintf("0s loss *>* 10%%\n0s mute %s>* 500ms\n0s mute %s>* 1500ms\n4s heal", rest[0], rest[1])); err != nil {
		return err
	}
	changes := 0
	for _, w := range on.workers {
		changes += rig.NewVerdict(w.Orders(began), time.Minute).OwnerChanges
	}
	p.exactly("needless.changes", float64(changes), 0)
	return nil
}

// drift stops owners past their leases whose clocks drift from the voters' by as much as they may.
func (p *experimentRun) drift(c *roleCluster) error {
	owner, _ := c.awaitOwner("")
	for range 4 {
		if owner == "" {
			break
		}
		sleeper := owner
		if err := c.RunScriptText("0s stop " + sleeper); err != nil {
			return err
		}
		owner, _ = c.awaitOwner(sleeper)
		if err := c.RunScriptText("500ms cont " + sleeper); err != nil {
			return err
		}
		// Cut off, it goes on until its own clock says that its lease is over.
		if err := c.RunScriptText("500ms cut *>" + owner + "\n500ms cut " + owner + ">*"); err != nil {
			return err
		}
		owner, _ = c.awaitOwner(owner)
		if err := c.RunScriptText("500ms heal"); err != nil {
			return err
		}
	}
	j := rig.NewVerdict(c.workers[0].Orders(time.Time{}), experimentLease)
	p.printNote("drifting: %v", j)
	p.atMost("owners.at.once.drifting", float64(j.MaxConcurrentOwners), 1)
	p.exactly("work.overlap.drifting.s", rig.MaxOverlap(c.History.LeadershipIntervals()), 0)
	p.exactly("late.effects.drifting", float64(j.LateEffects+j.DecreasingTerms+j.SharedTerms), 0)
	p.atLeast("changes.drifting", float64(j.OwnerChanges), 4)
	return nil
}
