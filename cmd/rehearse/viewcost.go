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

// playViewCost measures the fleet's view at sizes that processes do not reach: many members in this process, over loopback
// sockets, at rest and after a fifth have died at one time.
func runViewCost(p *experimentRun) error {
	sizes := []int{20, 100}
	switch {
	case p.shortForm:
		sizes = sizes[:1]
	case p.Long:
		sizes = append(sizes, 300)
	}
	var converged []float64
	for _, n := range sizes {
		took, err := p.measureView(n)
		if err != nil {
			return err
		}
		converged = append(converged, took)
	}
	for k := 1; k < len(sizes); k++ {
		p.report(fmt.Sprintf("settled.growth.%d.to.%d", sizes[0], sizes[k]), converged[k]/converged[0])
	}
	return nil
}

// atRest is what a member sends and receives at the most when nothing happens, in bytes a second: three probes of some
// hundred bytes each way. Gossip that never comes to rest, as when each word is said again for being slow to go out, is a
// hundred times that.
const atRest = 2000

// measureView gives how long the rest of n took to settle after a fifth had died, in seconds.
func (p *experimentRun) measureView(n int) (float64, error) {
	name := func(what string) string { return fmt.Sprintf("%s.%d", what, n) }
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var all []*member.Member
	var group sync.WaitGroup
	ctx, end := context.WithCancel(context.Background())
	defer group.Wait()
	defer end()
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
	wait := func(within time.Duration, members []*member.Member) float64 {
		for from := time.Now(); ; time.Sleep(50 * time.Millisecond) {
			if converged(members) {
				return time.Since(from).Seconds()
			}
			if time.Since(from) > within {
				return math.Inf(1)
			}
		}
	}
	differ := func(took float64, members []*member.Member) {
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
		p.printNote("%v", seen)
	}
	took := wait(30*time.Second, all)
	p.atMost(name("joined.settled.s"), took, 30)
	differ(took, all)
	runtime.GC()
	runtime.ReadMemStats(&after)
	held := float64(after.HeapInuse+after.StackInuse) - float64(before.HeapInuse+before.StackInuse)
	p.atMost(name("memory.member.mb"), held/float64(n)/(1<<20), 8)
	// What the joining has set off goes on being passed around for a while.
	passed := func() (bytes, packets int64) {
		for _, m := range all {
			c := m.Stats()
			bytes, packets = bytes+c.SentBytes+c.GotBytes, packets+c.SentPackets
		}
		return bytes, packets
	}
	for calm := 0; calm < 2 && time.Since(began) < time.Minute; {
		was, _ := passed()
		time.Sleep(time.Second)
		if is, _ := passed(); float64(is-was) < atRest*float64(n) {
			calm++
		}
	}
	p.report(name("at.rest.after.s"), time.Since(began).Seconds())
	span := p.scaled(5 * time.Second)
	cpu := rusageCPUTime()
	bytes0, packets0 := passed()
	time.Sleep(span)
	cpu = rusageCPUTime() - cpu
	bytes, packets := passed()
	bytes, packets = bytes-bytes0, packets-packets0
	per := float64(n) * span.Seconds()
	p.atMost(name("cpu.member.share"), cpu.Seconds()/per, 0.01)
	p.atMost(name("bytes.member.s"), float64(bytes)/per, atRest)
	p.report(name("packets.member.s"), float64(packets)/per)
	// A fifth die at one time.
	dead := all[n-n/5:]
	for _, m := range dead {
		m.Kill()
	}
	took = wait(25*time.Second, all[:n-n/5])
	p.atMost(name("settled.after.fifth.s"), took, 15)
	differ(took, all[:n-n/5])
	return took, nil
}

// rusageCPUTime is the processor time that this process has taken.
func rusageCPUTime() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
