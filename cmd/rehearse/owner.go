package main

import (
	"errors"
	"fmt"
	"math"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"valveglade/member"
	"valveglade/rig"
)

// The lease of a rehearsal, and for how long after its last order somebody still counts as the owner there.
const rehearsedLease, lately = time.Second, 200 * time.Millisecond

// ownerSwarm is processes that vote and stand for one office, and the worker that takes its orders.
func (p *play) ownerSwarm(n int, off bool) (*rig.Swarm, *rig.Worker, error) {
	worker, err := rig.NewWorker(true, rig.NewHistory())
	if err != nil {
		return nil, nil, err
	}
	plan := p.plan(n)
	plan.Off = off
	if !off {
		plan.Folders = names(5)
		plan.Laws = []string{"fleet.voters " + strings.Join(names(5), " "), "fleet.lease " + rehearsedLease.String(), "fleet.drift 1%",
			fmt.Sprintf("fleet.office o %s %s", worker.Address(), orderEvery)}
	}
	s, err := rig.NewSwarm(plan)
	return s, worker, err
}

// lowestSwarm is the baseline.
func (p *play) lowestSwarm(n int) (*rig.Swarm, *rig.Worker, error) {
	worker, err := rig.NewWorker(false, rig.NewHistory())
	if err != nil {
		return nil, nil, err
	}
	plan := p.plan(n)
	plan.Bare = func(name, listen, advertise string, join []string) *exec.Cmd {
		return exec.Command(p.self(), "lowest", "--name", name, "--listen", listen, "--advertise", advertise, "--join", strings.Join(join, ","),
			"--order", worker.Address())
	}
	s, err := rig.NewSwarm(plan)
	return s, worker, err
}

// playOwner is the rehearsal of offices: the owner killed, stopped past its lease with an order in its hands, cut off, left
// without a majority, drained, and all started again; beside it processes where the lowest name of the view is the owner, and
// the same load with the fleet off.
func playOwner(p *play) error {
	const n = 5
	all := names(n)
	var on, off, low *rig.Swarm
	var worker, lowWorker, unused *rig.Worker
	var errs [3]error
	var group sync.WaitGroup
	group.Go(func() { on, worker, errs[0] = p.ownerSwarm(n, false) })
	group.Go(func() { off, unused, errs[1] = p.ownerSwarm(n, true) })
	group.Go(func() { low, lowWorker, errs[2] = p.lowestSwarm(n) })
	group.Wait()
	for _, s := range []*rig.Swarm{on, off, low} {
		if s != nil {
			defer s.Close()
		}
	}
	for _, w := range []*rig.Worker{worker, lowWorker, unused} {
		if w != nil {
			defer w.Close()
		}
	}
	if err := errors.Join(errs[:]...); err != nil {
		return err
	}
	// taken waits for an owner that is not one of some, and gives how long that took.
	taken := func(not string) (string, float64) {
		who := ""
		took, ok := on.Until(15*time.Second, func() bool {
			who = worker.Owner(lately)
			return who != "" && who != not
		})
		if !ok {
			return "", math.Inf(1)
		}
		return who, took
	}
	owner, took := taken("")
	p.atMost("first.owner.s", took, 10)
	p.untilAlike(on, 10*time.Second, n, all)
	p.untilAlike(low, 10*time.Second, n, all)

	length := p.span(30 * time.Second)
	served := map[*rig.Swarm]map[string]rig.Outcome{}
	var mu sync.Mutex
	var loads sync.WaitGroup
	for _, s := range []*rig.Swarm{on, off} {
		loads.Go(func() {
			out := p.load(s, length, 20, all)
			mu.Lock()
			served[s] = out
			mu.Unlock()
		})
	}
	// Whatever is done to a process is done to the same one where the fleet is off.
	do := func(script string) {
		var both sync.WaitGroup
		both.Go(func() { errs[1] = errors.Join(errs[1], off.Run(script)) })
		errs[0] = errors.Join(errs[0], on.Run(script))
		both.Wait()
	}
	// At 10% loss nobody gives way for nothing.
	calm := time.Now()
	before, err := member.Ask(on.Socket("n1"))
	if err != nil {
		return err
	}
	cpu := map[string]time.Duration{}
	for _, name := range all {
		cpu[name] = on.CPU(name)
	}
	if err := on.Run("0s loss *>* 10%\n5s heal"); err != nil {
		return err
	}
	p.exactly("needless.changes", float64(rig.Judge(worker.Orders(calm), time.Minute).Changes), 0)
	used := time.Duration(0)
	for _, name := range all {
		used += on.CPU(name) - cpu[name]
	}
	p.inform("cpu.share", used.Seconds()/time.Since(calm).Seconds()/n)
	if after, err := member.Ask(on.Socket("n1")); err == nil {
		p.inform("bytes.s", float64(after.Bytes[0]+after.Bytes[1]-before.Bytes[0]-before.Bytes[1])/time.Since(calm).Seconds())
		p.inform("packets.s", float64(after.Packets[0]-before.Packets[0])/time.Since(calm).Seconds())
	}

	// Stopped for three leases, in the middle of its orders, and continued. The same to the baseline's owner, n1.
	var wakes sync.WaitGroup
	wakes.Go(func() { low.Run("0s stop n1\n4s cont n1\n6s split n1,n2|n3,n4,n5\n11s heal") })
	worst := 0.0
	next := func(how string) {
		who, took := taken(owner)
		p.inform("new.owner.s."+how, took)
		worst = max(worst, took)
		owner = who
	}
	sleeper := owner
	for range 3 { // that an order is in its hands at the stop is left to chance: three times
		if owner == "" {
			break
		}
		sleeper = owner
		do("0s stop " + sleeper)
		next("stopped")
		time.Sleep(2 * rehearsedLease)
		do("0s cont " + sleeper)
		time.Sleep(rehearsedLease / 2)
	}
	// Killed, and started again.
	victim := owner
	do("0s kill " + victim)
	next("killed")
	do("0s start " + victim)
	// Cut off one way: it speaks and does not hear.
	on.Run("0s cut *>" + owner)
	next("deaf")
	on.Run("0s heal")
	// Without a majority there is no owner; with it back there is one within two leases.
	for _, name := range all[:3] {
		do("0s stop " + name)
	}
	time.Sleep(2 * rehearsedLease)
	lost := time.Now()
	time.Sleep(rehearsedLease)
	p.exactly("orders.without.majority", float64(len(worker.Orders(lost))), 0)
	for _, name := range all[:3] {
		do("0s cont " + name)
	}
	back, backTook := taken("")
	p.atMost("back.with.majority.s", backTook, 2*rehearsedLease.Seconds()+1)
	owner = back
	// Drained.
	do("0s notice " + owner)
	_, took = taken(owner)
	p.atMost("handover.drain.s", took, 1)
	p.atMost("new.owner.max.s", worst, 2*rehearsedLease.Seconds())
	loads.Wait()
	wakes.Wait()
	if err := errors.Join(errs[:]...); err != nil {
		return err
	}
	p.atLeast("late.refused", float64(worker.Refused()), 1)
	j, l := rig.Judge(worker.Orders(time.Time{}), rehearsedLease), rig.Judge(lowWorker.Orders(time.Time{}), rehearsedLease)
	p.say("%v", j)
	p.say("lowest name: %v", l)
	p.atMost("owners.at.once", float64(j.AtOnce), 1)
	p.exactly("late.effects", float64(j.Late), 0)
	p.exactly("terms.falling", float64(j.Falling+j.Shared), 0)
	p.atLeast("owners.at.once.lowest", float64(l.AtOnce), 2)
	p.atLeast("late.effects.lowest", float64(l.Late), 1)
	p.inform("service.on", service(served[on], all))
	p.atLeast("service.of.off", service(served[on], all)/service(served[off], all), 0.98)
	p.breaches(on, off)
	if files, err := filepath.Glob(filepath.Join(on.Folder("n1"), "*")); err == nil {
		p.inform("files.of.a.voter", float64(len(files)))
	}
	return p.keep(on)
}
