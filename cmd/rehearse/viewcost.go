package main

import (
	"context"
	"fmt"
	"math"
	"net/netip"
	"runtime"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"valveglade/logic/view"
	"valveglade/member"
)

// runViewCost is the experiment on the cost of the view at sizes that cannot be run as processes: many members in this process
// gossip over loopback sockets. It measures them at rest and after a fifth of them have died at once.
func runViewCost(run *experimentRun) error {
	sizes := []int{20, 100}
	switch {
	case run.shortForm:
		sizes = sizes[:1]
	case run.Long:
		sizes = append(sizes, 300)
	}
	var converged []float64
	for _, n := range sizes {
		took, err := run.measureViewCost(n)
		if err != nil {
			return err
		}
		converged = append(converged, took)
	}
	for k := 1; k < len(sizes); k++ {
		run.report(fmt.Sprintf("settled.growth.%d.to.%d", sizes[0], sizes[k]), converged[k]/converged[0])
	}
	return nil
}

// maxRestTraffic is the maximum that a member sends and receives without changes, in bytes per second: three probes of a few
// hundred bytes in each direction. Gossip that never ends, for example because each message is repeated when it was sent late,
// takes a hundred times as much.
const maxRestTraffic = 2000

// measureViewCost measures the cost of n members. It returns how long the views of the remaining members took to converge after
// a fifth had died, in seconds.
func (run *experimentRun) measureViewCost(n int) (float64, error) {
	figureName := func(what string) string { return fmt.Sprintf("%s.%d", what, n) }
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var all []*member.Member
	var group sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	defer group.Wait()
	defer cancel()
	var seeds []netip.AddrPort
	for k := range n {
		m, err := member.New(member.Config{Name: fmt.Sprintf("m%03d", k), Zone: fmt.Sprintf("z%d", k%3),
			Listen: netip.MustParseAddrPort("127.0.0.1:0"), Join: seeds, Allow: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")},
			ProbeInterval: 300 * time.Millisecond, View: view.Defaults()}, zap.NewNop())
		if err != nil {
			return 0, err
		}
		if k < 3 {
			seeds = append(seeds, m.Address())
		}
		all = append(all, m)
		group.Go(func() { m.Run(ctx) })
		m.UpdateState(view.Serving, false, view.Load{})
	}
	began := time.Now()
	converged := func(members []*member.Member) bool {
		first := members[0].View()
		for _, m := range members {
			if v := m.View(); len(v.Members) != len(members) || v.Digest != first.Digest || v.Certainty != view.Converged {
				return false
			}
		}
		return true
	}
	awaitConverged := func(within time.Duration, members []*member.Member) float64 {
		for from := time.Now(); ; time.Sleep(50 * time.Millisecond) {
			if converged(members) {
				return time.Since(from).Seconds()
			}
			if time.Since(from) > within {
				return math.Inf(1)
			}
		}
	}
	printViews := func(took float64, members []*member.Member) {
		if !math.IsInf(took, 1) {
			return
		}
		seen := map[string]int{}
		for _, m := range members {
			v, states := m.View(), map[string]int{}
			for _, e := range v.Members {
				states[e.State.String()]++
			}
			seen[fmt.Sprintf("%d members, %v, version %d, %x, %v", len(v.Members), v.Certainty, v.Version, v.Digest, states)]++
		}
		run.printNote("%v", seen)
	}
	took := awaitConverged(30*time.Second, all)
	run.atMost(figureName("joined.settled.s"), took, 30)
	printViews(took, all)
	runtime.GC()
	runtime.ReadMemStats(&after)
	usedBytes := float64(after.HeapInuse+after.StackInuse) - float64(before.HeapInuse+before.StackInuse)
	run.atMost(figureName("memory.member.mb"), usedBytes/float64(n)/(1<<20), 8)
	// Gossip about the joins continues for a while after the views have converged.
	traffic := func() (bytes, packets int64) {
		for _, m := range all {
			stats := m.Stats()
			bytes, packets = bytes+stats.SentBytes+stats.GotBytes, packets+stats.SentPackets
		}
		return bytes, packets
	}
	for quietSeconds := 0; quietSeconds < 2 && time.Since(began) < time.Minute; {
		previous, _ := traffic()
		time.Sleep(time.Second)
		if current, _ := traffic(); float64(current-previous) < maxRestTraffic*float64(n) {
			quietSeconds++
		}
	}
	run.report(figureName("at.rest.after.s"), time.Since(began).Seconds())
	interval := run.scaled(5 * time.Second)
	cpu := rusageCPUTime()
	bytes0, packets0 := traffic()
	time.Sleep(interval)
	cpu = rusageCPUTime() - cpu
	bytes, packets := traffic()
	bytes, packets = bytes-bytes0, packets-packets0
	memberSeconds := float64(n) * interval.Seconds()
	run.atMost(figureName("cpu.member.share"), cpu.Seconds()/memberSeconds, 0.01)
	run.atMost(figureName("bytes.member.s"), float64(bytes)/memberSeconds, maxRestTraffic)
	run.report(figureName("packets.member.s"), float64(packets)/memberSeconds)
	// A fifth of the members die at once.
	dead := all[n-n/5:]
	for _, m := range dead {
		m.Kill()
	}
	took = awaitConverged(25*time.Second, all[:n-n/5])
	run.atMost(figureName("settled.after.fifth.s"), took, 15)
	printViews(took, all[:n-n/5])
	return took, nil
}

// rusageCPUTime returns the user and system time of this process, as the operating system accounts it.
func rusageCPUTime() time.Duration {
	var usage syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
