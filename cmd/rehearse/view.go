package main

import (
	"context"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"valveglade/member"
	"valveglade/rig"
)

// playView is the experiment on the view: deaths, flapping, two under one name, a sleeper, a rolling release and a start of
// all at once, compared with the same processes with the fleet off.
func runView(p *experimentRun) error {
	const n = 12
	plan := p.clusterPlan(n)
	plan.Off = true
	began := time.Now()
	f, err := startClusters(p.clusterPlan(n), plan)
	if err != nil {
		return err
	}
	defer f.close()
	on, off := f.clusters[0], f.clusters[1]
	all := nodeNames(n)
	p.awaitSameView(on, 15*time.Second, n, all)
	p.atMost("joined.all", time.Since(began).Seconds(), 10)

	// At rest, once what the joining has set off has been passed around.
	if !p.shortForm {
		time.Sleep(3 * time.Second)
		if err := p.measureAtRest(on, off, all, 3*time.Second); err != nil {
			return err
		}
	}

	// Nobody does anything to the first half; to the second, all kinds of things.
	still := all[:6]
	length := 12 * time.Second
	served := map[*rig.Cluster]map[string]rig.Outcome{}
	var mu sync.Mutex
	var loads sync.WaitGroup
	for _, s := range f.clusters {
		loads.Go(func() {
			out := p.loadCluster(s, length, 25, all)
			mu.Lock()
			served[s] = out
			mu.Unlock()
		})
	}
	from := on.History.Now()
	const script = `
		0s    kill n12
		0s    stop n9
		0.5s  twin n10
		1s    restart n11
		2s    restart n11
		3s    restart n11
		4s    restart n11
		5s    restart n11
		5s    cont n9
		6s    restart n11
		7s    restart n11
		8s    restart n11
		9s    restart n11
		10s   start n12
	`
	if err := f.onEach(func(s *rig.Cluster) error { return s.Run(script) }); err != nil {
		return err
	}
	loads.Wait()
	p.atMost("death.known.max", reportDelay(on, "n12", "went", from, still), 6)
	worst := 0
	for _, name := range still {
		worst = max(worst, countMemberChanges(on, name, "n11", from+1, from+11))
	}
	p.atMost("versions.by.flapping", float64(worst), 4)
	_, told := on.History.Lines("n10", "newer incarnation of this name", from)
	p.atMost("named.twice.told", told-from-0.5, 5)
	p.atMost("named.twice.resolved", reportDelay(on, "n10", "restarted", from, still)-0.5, 5)
	slept := func(name string, t float64) bool {
		return !slices.Contains([]string{"n11", "n12", "n10"}, name) && (name != "n9" || t > from+6)
	}
	anyOf := slices.Concat(still, []string{"n7", "n8", "n9"})
	false1, lasting := countFalseDeaths(on, from, from+12, 3, anyOf, slept)
	p.report("false.deaths", float64(false1))
	p.exactly("false.deaths.lasting", float64(lasting), 0)
	p.atMost("back.after.all", p.awaitSameView(on, 10*time.Second, n, slices.Concat(still, []string{"n7", "n8", "n9", "n10-twin", "n11", "n12"})), 10)
	a, b := servedCriticality(served[on], still), servedCriticality(served[off], still)
	p.report("service.on", a)
	p.atLeast("service.of.off", a/b, 0.98)

	// All are replaced one after the other.
	release := []string{}
	for k := range 9 {
		release = append(release, fmt.Sprintf("%dms notice n%d", 900*k, k+1), fmt.Sprintf("%dms replace n%d r%d", 900*k+700, k+1, k+1))
	}
	if !p.shortForm {
		if err := on.Run(strings.Join(release, "\n")); err != nil {
			return err
		}
		fresh := []string{}
		for k := range 9 {
			fresh = append(fresh, fmt.Sprintf("r%d", k+1))
		}
		fresh = append(fresh, "n10-twin", "n11", "n12")
		p.atMost("release.settled", p.awaitSameView(on, 10*time.Second, n, fresh), 6)
		// The whole fleet at once.
		again := []string{}
		for _, name := range fresh {
			again = append(again, "0s kill "+name)
		}
		for _, name := range fresh {
			again = append(again, "100ms start "+name)
		}
		if err := on.Run(strings.Join(again, "\n")); err != nil {
			return err
		}
		p.atMost("restart.of.all", p.awaitSameView(on, 12*time.Second, n, fresh), 10)
	}
	p.exactly("views.differ.at.end", countDivergentViews(on), 0)
	p.checkViolations(on, off)
	return p.writeHistory(on)
}

// measureAtRest measures what the fleet costs an idle process: bytes and packets of the fleet, and processor time on
// top of the same process with the fleet off.
func (p *experimentRun) measureAtRest(on, off *rig.Cluster, all []string, span time.Duration) error {
	look := func() (cpuOn, cpuOff time.Duration, bytes, packets int64, err error) {
		for _, name := range all {
			shown, err := member.ReadStatus(on.Socket(name))
			if err != nil {
				return 0, 0, 0, 0, err
			}
			bytes += shown.Bytes[0] + shown.Bytes[1]
			packets += shown.Packets[0]
			cpuOn += on.CPU(name)
			cpuOff += off.CPU(name)
		}
		return cpuOn, cpuOff, bytes, packets, nil
	}
	on0, off0, bytes0, packets0, err := look()
	if err != nil {
		return err
	}
	time.Sleep(span)
	on1, off1, bytes1, packets1, err := look()
	if err != nil {
		return err
	}
	per := span.Seconds() * float64(len(all))
	p.atMost("rest.cpu.share", ((on1-on0)-(off1-off0)).Seconds()/per, 0.01)
	p.report("rest.cpu.share.off", (off1-off0).Seconds()/per)
	p.report("rest.bytes.s", float64(bytes1-bytes0)/per)
	p.report("rest.packets.s", float64(packets1-packets0)/per)
	return nil
}

// playViewFaults is the experiment on the view between faults of the network, compared with the gossip library alone.
func runViewFaults(p *experimentRun) error {
	const n = 12
	f, err := startClusters(p.clusterPlan(n), p.gossipOnlyPlan(n))
	if err != nil {
		return err
	}
	defer f.close()
	on, bare := f.clusters[0], f.clusters[1]
	var group sync.WaitGroup
	all := nodeNames(n)
	p.atMost("joined.all", p.awaitSameView(on, 15*time.Second, n, all), 10)
	p.report("joined.all.bare", p.awaitSameView(bare, 15*time.Second, n, all))

	// Loss and jitter, and one that is starved meanwhile.
	loadOver := make(chan struct{})
	var out map[string]rig.Outcome
	length := p.scaled(30 * time.Second)
	go func() {
		defer close(loadOver)
		out = p.loadCluster(on, length, 15, all)
	}()
	from := on.History.Now()
	if err := f.onEach(func(s *rig.Cluster) error {
		return s.Run("0s loss *>* 10%\n0s delay *>* 25ms 25ms\n0s double *>* 5%\n0s starve n3 10%\n6s feed n3\n6s heal")
	}); err != nil {
		return err
	}
	false1, lasting := countFalseDeaths(on, from, from+6, 3, all, func(string, float64) bool { return true })
	p.report("false.deaths", float64(false1))
	p.exactly("false.deaths.lasting", float64(lasting), 0)
	p.awaitSameView(on, 4*time.Second, n, all)

	// Cut in two, and back. Four see eight die.
	small, large := all[:4], all[4:]
	cut := "0s split " + strings.Join(small, ",") + "|" + strings.Join(large, ",")
	from = on.History.Now()
	if err := f.onEach(func(s *rig.Cluster) error { return s.Run(cut) }); err != nil {
		return err
	}
	var convergedSmall, convergedLarge float64
	group.Go(func() { convergedSmall = p.awaitSameView(on, 9*time.Second, 4, small) })
	group.Go(func() { convergedLarge = p.awaitSameView(on, 9*time.Second, 8, large) })
	group.Wait()
	p.atMost("settled.after.cut.small", convergedSmall, 6)
	p.atMost("settled.after.cut.large", convergedLarge, 6)
	partitioned := 0.0
	for _, name := range small {
		at := math.Inf(1)
		for _, observation := range on.History.Observations(name, from) {
			if observation.Certainty == "partitioned" {
				at = observation.T - from
				break
			}
		}
		partitioned = max(partitioned, at)
	}
	p.atMost("narrow.said", partitioned, 6)
	bareCut, _ := bare.Until(10*time.Second, func() bool {
		return bare.History.Alike(4, small...) && bare.History.Alike(8, large...)
	})
	p.report("settled.after.cut.bare", bareCut)
	if err := f.onEach(func(s *rig.Cluster) error { return s.Run("0s heal") }); err != nil {
		return err
	}
	p.atMost("rejoined.max", p.awaitSameView(on, 12*time.Second, n, all), 10)
	_, back := bare.Until(3*time.Second, func() bool { return bare.History.Alike(n, all...) })
	p.exactly("rejoined.bare", float64(boolToInt(back)), 0)

	// One way only, then in three.
	from = on.History.Now()
	if err := on.Run("0s cut n1>n2,n3,n4\n4s heal"); err != nil {
		return err
	}
	_, lasting = countFalseDeaths(on, from, from+4, 3, all, func(string, float64) bool { return true })
	p.exactly("one.way.deaths.lasting", float64(lasting), 0)
	if !p.shortForm {
		if err := on.Run("0s split n1,n2,n3,n4|n5,n6,n7,n8|n9,n10,n11,n12\n6s heal"); err != nil {
			return err
		}
		p.atMost("rejoined.of.three", p.awaitSameView(on, 12*time.Second, n, all), 10)
	}
	<-loadOver
	p.report("service", servedCriticality(out, all))
	p.exactly("views.differ.at.end", countDivergentViews(on), 0)
	p.checkViolations(on)
	return p.writeHistory(on)
}

// playViewDrawn plays faults drawn at random, and checks what must hold under any faults: in the end all processes have one view of
// all that run, and no rule was broken.
func runViewDrawn(p *experimentRun) error {
	const n = 8
	length := p.scaled(20 * time.Second)
	script := rig.Draw(p.Seed, nodeNames(n), 10, length)
	if p.Script != "" {
		text, err := os.ReadFile(p.Script)
		if err != nil {
			return err
		}
		if script, err = rig.ParseScript(string(text)); err != nil {
			return fmt.Errorf("%s: %w", p.Script, err)
		}
	}
	for line := range strings.Lines(script.String()) {
		p.printNote("%s", strings.TrimSpace(line))
	}
	s, err := rig.NewCluster(p.clusterPlan(n))
	if err != nil {
		return err
	}
	defer s.Close()
	all := nodeNames(n)
	p.atMost("joined.all", p.awaitSameView(s, 15*time.Second, n, all), 10)
	var loading sync.WaitGroup
	var out map[string]rig.Outcome
	loading.Go(func() { out = p.loadCluster(s, length, 15, all) })
	if err := s.Play(context.Background(), script); err != nil {
		return err
	}
	alive := s.Running()
	p.atMost("settled.after.all", p.awaitSameView(s, 20*time.Second, len(alive), alive), 15)
	loading.Wait()
	p.report("service", servedCriticality(out, all))
	p.exactly("views.differ.at.end", countDivergentViews(s), 0)
	p.checkViolations(s)
	return p.writeHistory(s)
}
