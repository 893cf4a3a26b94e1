package main

import (
	"context"
	"errors"
	"math"
	"slices"
	"strings"
	"sync"
	"time"
)

// run plays a script in the cluster under an allocator.
func (t *shareTrial) run(script string) {
	t.err = errors.Join(t.err, t.on.RunScriptText(script))
}

// changeAllocators has the allocator killed, stopped and cut off from half of the others. It returns the names of these others.
func (t *shareTrial) changeAllocators() []string {
	t.changeAllocator("killed", "0s kill ALLOCATOR")
	for _, name := range t.on.Names() {
		if !slices.Contains(t.on.Running(), name) {
			t.run("0s start " + name)
		}
	}
	// What the one that died had, and the reserved permits of its new incarnation, are back once its last grant is over.
	t.on.backend.MeanRunning()
	t.on.WaitUntil(5*time.Second, func() bool {
		time.Sleep(300 * time.Millisecond)
		return t.on.backend.MeanRunning() >= 0.97*sharedLimit
	})
	stopped, _ := t.on.allocator()
	t.changeAllocator("stopped", "0s stop ALLOCATOR")
	t.run("1500ms cont " + stopped)
	allocator, _ := t.on.allocator()
	others := slices.DeleteFunc(t.on.Names(), func(name string) bool { return name == allocator })
	t.changeAllocator("cut", "0s split ALLOCATOR,"+strings.Join(others[sharedOn/2:], ",")+"|"+strings.Join(others[:sharedOn/2], ","))
	return others
}

// changeAllocator plays a fault at the allocator, which is ALLOCATOR in the script: another one is to take over, use stays above the
// reserved permits meanwhile, and comes back.
func (t *shareTrial) changeAllocator(fault, script string) {
	former, _ := t.on.allocator()
	t.on.backend.MeanRunning()
	began := time.Now()
	t.run(strings.ReplaceAll(script, "ALLOCATOR", former))
	allocator, back := "", math.Inf(1)
	least := 1.0
	for time.Since(began) < 4*experimentLease {
		time.Sleep(250 * time.Millisecond)
		used := t.on.backend.MeanRunning() / sharedLimit
		least = min(least, used)
		if allocator == "" {
			if allocator, _ = t.on.allocator(); allocator == former {
				allocator = ""
			}
		}
		if allocator != "" && used >= 0.9 {
			back = time.Since(began).Seconds()
			break
		}
	}
	if fault == "cut" { // what is on the other side comes back with the cut's end alone
		t.report("back.s."+fault, back)
	} else {
		t.atMost("back.s."+fault, back, 3*experimentLease.Seconds())
	}
	t.atLeast("used.least."+fault, least, float64(sharedOn-1)/sharedLimit)
}

// failHolders kills one holder and stops another past its grant, while the backend takes ten times as long and recovers.
func (t *shareTrial) failHolders(holders []string) {
	var slow sync.WaitGroup
	slow.Go(func() {
		for _, times := range []float64{10, 1} {
			time.Sleep(1500 * time.Millisecond)
			for _, name := range t.on.Names() {
				t.on.Node(name).Kernel.SetSlowdown(times)
			}
		}
	})
	killed, stopped := holders[0], holders[1]
	t.run("500ms heal\n500ms kill " + killed + "\n500ms stop " + stopped + "\n1500ms start " + killed + "\n4s cont " + stopped + "\n5s heal")
	slow.Wait()
}

// restartAll restarts all app servers cold, and asks for more than the limit at once again.
func (t *shareTrial) restartAll() {
	t.demand.set("", 1.5*sharedRate)
	for _, name := range t.on.Names() {
		t.run("0s kill " + name)
	}
	var starts sync.WaitGroup
	for _, name := range t.on.Names() {
		starts.Go(func() { t.on.RunScriptText("0s start " + name) })
	}
	starts.Wait()
	t.on.startPhase("again")
	t.on.load(context.Background(), t.experimentRun, 4*time.Second, t.demand.of)
	t.exactly("over.limit.restarted", float64(t.on.backend.MaxExcess()), 0)
	t.report("served.restarted", t.on.servedShare("again"))
}
