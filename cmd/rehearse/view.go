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

// runView is the experiment on the view: a crash, a process that restarts repeatedly, two processes under one name, a paused
// process, a rolling release and a restart of all processes at once. It is compared with the same processes with the fleet off.
func runView(run *experimentRun) error {
	const n = 12
	plan := run.clusterPlan(n)
	plan.NoFleet = true
	began := time.Now()
	pair, err := startClusters(run.clusterPlan(n), plan)
	if err != nil {
		return err
	}
	defer pair.close()
	on, off := pair.clusters[0], pair.clusters[1]
	names := nodeNames(n)
	run.awaitSameView(on, 15*time.Second, n, names)
	run.atMost("joined.all", time.Since(began).Seconds(), 10)

	// The cost at rest is measured once the gossip about the joining has ended.
	if !run.shortForm {
		time.Sleep(3 * time.Second)
		if err := run.measureAtRest(on, off, names, 3*time.Second); err != nil {
			return err
		}
	}

	// All faults are applied to the second half of the processes.
	untouched := names[:6]
	duration := 12 * time.Second
	served := map[*rig.Cluster]map[string]rig.Outcome{}
	var mu sync.Mutex
	var loads sync.WaitGroup
	for _, cluster := range pair.clusters {
		loads.Go(func() {
			outcomes := run.loadCluster(cluster, duration, 25, names)
			mu.Lock()
			served[cluster] = outcomes
			mu.Unlock()
		})
	}
	from := on.History.Elapsed()
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
	if err := pair.onEach(func(cluster *rig.Cluster) error { return cluster.RunScriptText(script) }); err != nil {
		return err
	}
	loads.Wait()
	run.atMost("death.known.max", reportDelay(on, "n12", "went", from, untouched), 6)
	maxVersions := 0
	for _, name := range untouched {
		maxVersions = max(maxVersions, countMemberChanges(on, name, "n11", from+1, from+11))
	}
	run.atMost("versions.by.flapping", float64(maxVersions), 4)
	_, reportedAt := on.History.CountEvents("n10", "newer incarnation of this name", from)
	run.atMost("named.twice.told", reportedAt-from-0.5, 5)
	run.atMost("named.twice.resolved", reportDelay(on, "n10", "restarted", from, untouched)-0.5, 5)
	aliveAt := func(name string, t float64) bool {
		return !slices.Contains([]string{"n11", "n12", "n10"}, name) && (name != "n9" || t > from+6)
	}
	viewers := slices.Concat(untouched, []string{"n7", "n8", "n9"})
	falseDeaths, lasting := countFalseDeaths(on, from, from+12, 3, viewers, aliveAt)
	run.report("false.deaths", float64(falseDeaths))
	run.exactly("false.deaths.lasting", float64(lasting), 0)
	run.atMost("back.after.all", run.awaitSameView(on, 10*time.Second, n,
		slices.Concat(untouched, []string{"n7", "n8", "n9", "n10-twin", "n11", "n12"})), 10)
	servedOn, servedOff := servedCriticality(served[on], untouched), servedCriticality(served[off], untouched)
	run.report("service.on", servedOn)
	run.atLeast("service.of.off", servedOn/servedOff, 0.98)

	// A rolling release replaces one process after another.
	releaseScript := []string{}
	for k := range 9 {
		releaseScript = append(releaseScript, fmt.Sprintf("%dms notice n%d", 900*k, k+1),
			fmt.Sprintf("%dms replace n%d r%d", 900*k+700, k+1, k+1))
	}
	if !run.shortForm {
		if err := on.RunScriptText(strings.Join(releaseScript, "\n")); err != nil {
			return err
		}
		replacements := []string{}
		for k := range 9 {
			replacements = append(replacements, fmt.Sprintf("r%d", k+1))
		}
		replacements = append(replacements, "n10-twin", "n11", "n12")
		run.atMost("release.settled", run.awaitSameView(on, 10*time.Second, n, replacements), 6)
		// All processes are restarted at once.
		restartScript := []string{}
		for _, name := range replacements {
			restartScript = append(restartScript, "0s kill "+name)
		}
		for _, name := range replacements {
			restartScript = append(restartScript, "100ms start "+name)
		}
		if err := on.RunScriptText(strings.Join(restartScript, "\n")); err != nil {
			return err
		}
		run.atMost("restart.of.all", run.awaitSameView(on, 12*time.Second, n, replacements), 10)
	}
	run.exactly("views.differ.at.end", countDivergentViews(on), 0)
	run.checkViolations(on, off)
	return run.writeHistory(on)
}

// measureAtRest measures the cost of the fleet for an idle process over an interval: the bytes and packets of the fleet, and the
// processor time in excess of that with the fleet off.
func (run *experimentRun) measureAtRest(on, off *rig.Cluster, names []string, interval time.Duration) error {
	readTotals := func() (cpuOn, cpuOff time.Duration, bytes, packets int64, err error) {
		for _, name := range names {
			status, err := member.ReadStatus(on.Socket(name))
			if err != nil {
				return 0, 0, 0, 0, err
			}
			bytes += status.Bytes[0] + status.Bytes[1]
			packets += status.Packets[0]
			cpuOn += on.CPU(name)
			cpuOff += off.CPU(name)
		}
		return cpuOn, cpuOff, bytes, packets, nil
	}
	on0, off0, bytes0, packets0, err := readTotals()
	if err != nil {
		return err
	}
	time.Sleep(interval)
	on1, off1, bytes1, packets1, err := readTotals()
	if err != nil {
		return err
	}
	memberSeconds := interval.Seconds() * float64(len(names))
	run.atMost("rest.cpu.share", ((on1-on0)-(off1-off0)).Seconds()/memberSeconds, 0.01)
	run.report("rest.cpu.share.off", (off1-off0).Seconds()/memberSeconds)
	run.report("rest.bytes.s", float64(bytes1-bytes0)/memberSeconds)
	run.report("rest.packets.s", float64(packets1-packets0)/memberSeconds)
	return nil
}

// runViewFaults is the experiment on the view under network faults, compared with the gossip library alone.
func runViewFaults(run *experimentRun) error {
	const n = 12
	pair, err := startClusters(run.clusterPlan(n), run.gossipOnlyPlan(n))
	if err != nil {
		return err
	}
	defer pair.close()
	on, gossipOnly := pair.clusters[0], pair.clusters[1]
	var group sync.WaitGroup
	names := nodeNames(n)
	run.atMost("joined.all", run.awaitSameView(on, 15*time.Second, n, names), 10)
	run.report("joined.all.bare", run.awaitSameView(gossipOnly, 15*time.Second, n, names))

	// Packet loss, jitter and duplication, while one process gets only a tenth of a core.
	loadDone := make(chan struct{})
	var outcomes map[string]rig.Outcome
	duration := run.scaled(30 * time.Second)
	go func() {
		defer close(loadDone)
		outcomes = run.loadCluster(on, duration, 15, names)
	}()
	from := on.History.Elapsed()
	if err := pair.onEach(func(cluster *rig.Cluster) error {
		return cluster.RunScriptText("0s loss *>* 10%\n0s delay *>* 25ms 25ms\n0s double *>* 5%\n0s starve n3 10%\n6s feed n3\n6s heal")
	}); err != nil {
		return err
	}
	falseDeaths, lasting := countFalseDeaths(on, from, from+6, 3, names, func(string, float64) bool { return true })
	run.report("false.deaths", float64(falseDeaths))
	run.exactly("false.deaths.lasting", float64(lasting), 0)
	run.awaitSameView(on, 4*time.Second, n, names)

	// A network partition into four and eight members, and its end. The four members see the eight as dead.
	small, large := names[:4], names[4:]
	cut := "0s split " + strings.Join(small, ",") + "|" + strings.Join(large, ",")
	from = on.History.Elapsed()
	if err := pair.onEach(func(cluster *rig.Cluster) error { return cluster.RunScriptText(cut) }); err != nil {
		return err
	}
	var convergedSmall, convergedLarge float64
	group.Go(func() { convergedSmall = run.awaitSameView(on, 9*time.Second, 4, small) })
	group.Go(func() { convergedLarge = run.awaitSameView(on, 9*time.Second, 8, large) })
	group.Wait()
	run.atMost("settled.after.cut.small", convergedSmall, 6)
	run.atMost("settled.after.cut.large", convergedLarge, 6)
	partitioned := 0.0
	for _, name := range small {
		delay := math.Inf(1)
		for _, observation := range on.History.Observations(name, from) {
			if observation.Certainty == "partitioned" {
				delay = observation.Time - from
				break
			}
		}
		partitioned = max(partitioned, delay)
	}
	run.atMost("narrow.said", partitioned, 6)
	gossipOnlyConverged, _ := gossipOnly.WaitUntil(10*time.Second, func() bool {
		return gossipOnly.History.AgreeOnMembers(4, small...) && gossipOnly.History.AgreeOnMembers(8, large...)
	})
	run.report("settled.after.cut.bare", gossipOnlyConverged)
	if err := pair.onEach(func(cluster *rig.Cluster) error { return cluster.RunScriptText("0s heal") }); err != nil {
		return err
	}
	run.atMost("rejoined.max", run.awaitSameView(on, 12*time.Second, n, names), 10)
	_, rejoined := gossipOnly.WaitUntil(3*time.Second, func() bool { return gossipOnly.History.AgreeOnMembers(n, names...) })
	run.exactly("rejoined.bare", float64(boolToInt(rejoined)), 0)

	// Links cut in one direction only, then a partition into three.
	from = on.History.Elapsed()
	if err := on.RunScriptText("0s cut n1>n2,n3,n4\n4s heal"); err != nil {
		return err
	}
	_, lasting = countFalseDeaths(on, from, from+4, 3, names, func(string, float64) bool { return true })
	run.exactly("one.way.deaths.lasting", float64(lasting), 0)
	if !run.shortForm {
		if err := on.RunScriptText("0s split n1,n2,n3,n4|n5,n6,n7,n8|n9,n10,n11,n12\n6s heal"); err != nil {
			return err
		}
		run.atMost("rejoined.of.three", run.awaitSameView(on, 12*time.Second, n, names), 10)
	}
	<-loadDone
	run.report("service", servedCriticality(outcomes, names))
	run.exactly("views.differ.at.end", countDivergentViews(on), 0)
	run.checkViolations(on)
	return run.writeHistory(on)
}

// runViewDrawn is the experiment on the view under faults drawn from the seed, or read from a script. It checks what must hold
// under any faults: in the end all running processes have the same view, and the checker has found no violation.
func runViewDrawn(run *experimentRun) error {
	const n = 8
	duration := run.scaled(20 * time.Second)
	script := rig.RandomScript(run.Seed, nodeNames(n), 10, duration)
	if run.Script != "" {
		text, err := os.ReadFile(run.Script)
		if err != nil {
			return err
		}
		if script, err = rig.ParseScript(string(text)); err != nil {
			return fmt.Errorf("%s: %w", run.Script, err)
		}
	}
	for line := range strings.Lines(script.String()) {
		run.printNote("%s", strings.TrimSpace(line))
	}
	cluster, err := rig.NewCluster(run.clusterPlan(n))
	if err != nil {
		return err
	}
	defer cluster.Close()
	names := nodeNames(n)
	run.atMost("joined.all", run.awaitSameView(cluster, 15*time.Second, n, names), 10)
	var loads sync.WaitGroup
	var outcomes map[string]rig.Outcome
	loads.Go(func() { outcomes = run.loadCluster(cluster, duration, 15, names) })
	if err := cluster.RunScript(context.Background(), script); err != nil {
		return err
	}
	alive := cluster.Running()
	run.atMost("settled.after.all", run.awaitSameView(cluster, 20*time.Second, len(alive), alive), 15)
	loads.Wait()
	run.report("service", servedCriticality(outcomes, names))
	run.exactly("views.differ.at.end", countDivergentViews(cluster), 0)
	run.checkViolations(cluster)
	return run.writeHistory(cluster)
}
