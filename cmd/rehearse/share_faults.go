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

// runScript runs a fault script on the cluster on, and records the error.
func (t *shareTrial) runScript(script string) {
	t.err = errors.Join(t.err, t.on.RunScriptText(script))
}

// disruptAllocators kills the allocator, stops the next one, and cuts the one after that off from half of the others. It returns
// the names of all app servers except that last allocator.
func (t *shareTrial) disruptAllocators() []string {
	t.disruptAllocator("killed", "0s kill ALLOCATOR")
	for _, name := range t.on.Names() {
		if !slices.Contains(t.on.Running(), name) {
			t.runScript("0s start " + name)
		}
	}
	// The permits of the killed process, and the reserved permits of its new incarnation, are usable after its last grant expires.
	t.on.backend.MeanRunning() // discards the mean up to now
	t.on.WaitUntil(5*time.Second, func() bool {
		time.Sleep(300 * time.Millisecond)
		return t.on.backend.MeanRunning() >= 0.97*sharedLimit
	})
	stopped, _ := t.on.allocator()
	t.disruptAllocator("stopped", "0s stop ALLOCATOR")
	t.runScript("1500ms cont " + stopped)
	allocator, _ := t.on.allocator()
	others := slices.DeleteFunc(t.on.Names(), func(name string) bool { return name == allocator })
	t.disruptAllocator("cut", "0s split ALLOCATOR,"+strings.Join(others[sharedServers/2:], ",")+"|"+
		strings.Join(others[:sharedServers/2], ","))
	return others
}

// disruptAllocator runs a fault script on the allocator, whose name replaces ALLOCATOR in the script. Another process must take
// over; the use of the limit must not fall below the reserved permits meanwhile, and must recover. fault names the figures.
func (t *shareTrial) disruptAllocator(fault, script string) {
	former, _ := t.on.allocator()
	t.on.backend.MeanRunning() // discards the mean up to now
	began := time.Now()
	t.runScript(strings.ReplaceAll(script, "ALLOCATOR", former))
	allocator, recovered := "", math.Inf(1)
	minUsed := 1.0
	for time.Since(began) < 4*experimentLease {
		time.Sleep(250 * time.Millisecond)
		used := t.on.backend.MeanRunning() / sharedLimit
		minUsed = min(minUsed, used)
		if allocator == "" {
			if allocator, _ = t.on.allocator(); allocator == former {
				allocator = ""
			}
		}
		if allocator != "" && used >= 0.9 {
			recovered = time.Since(began).Seconds()
			break
		}
	}
	if fault == "cut" { // the permits on the other side are usable only after the partition ends
		t.report("back.s."+fault, recovered)
	} else {
		t.atMost("back.s."+fault, recovered, 3*experimentLease.Seconds())
	}
	t.atLeast("used.least."+fault, minUsed, float64(sharedServers-1)/sharedLimit)
}

// failHolders kills one holder of permits and stops another one past its grant. Meanwhile runs take ten times as long for a
// while.
func (t *shareTrial) failHolders(holders []string) {
	var slow sync.WaitGroup
	slow.Go(func() {
		for _, factor := range []float64{10, 1} {
			time.Sleep(1500 * time.Millisecond)
			for _, name := range t.on.Names() {
				t.on.Node(name).Kernel.SetSlowdown(factor)
			}
		}
	})
	killed, stopped := holders[0], holders[1]
	t.runScript("500ms heal\n500ms kill " + killed + "\n500ms stop " + stopped + "\n1500ms start " + killed +
		"\n4s cont " + stopped + "\n5s heal")
	slow.Wait()
}

// restartAll kills and restarts all app servers, and sends more RPCs than the limit admits right after their start.
func (t *shareTrial) restartAll() {
	t.demand.set("", 1.5*saturatingRate)
	for _, name := range t.on.Names() {
		t.runScript("0s kill " + name)
	}
	var starts sync.WaitGroup
	for _, name := range t.on.Names() {
		starts.Go(func() { t.on.RunScriptText("0s start " + name) })
	}
	starts.Wait()
	t.on.startPhase("again")
	t.on.sendLoad(context.Background(), t.experimentRun, 4*time.Second, t.demand.rateFor)
	t.exactly("over.limit.restarted", float64(t.on.backend.MaxExcess()), 0)
	t.report("served.restarted", t.on.servedShare("again"))
}
