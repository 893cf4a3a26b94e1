package main

import (
	"context"
	"errors"
	"fmt"
	"math"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"time"

	"valveglade/rig"
)

// nodeNames returns the names of n processes, from n1 on.
func nodeNames(n int) []string {
	var all []string
	for k := range n {
		all = append(all, fmt.Sprintf("n%d", k+1))
	}
	return all
}

// clusterSite returns the settings of processes under a light load, so that only faults change the view.
func clusterSite() rig.Site {
	site := pressureMixSite(4, 30)
	site.StopTimeout, site.GracePeriod = 1800*time.Millisecond, time.Second
	return site
}

// clusterSlack is the checker's tolerance for times in clusters, where many processes share a few cores.
const clusterSlack = 300 * time.Millisecond

// clusterGroup is a group of process clusters with the same faults.
type clusterGroup struct {
	clusters []*rig.Cluster // in the order of their plans
}

// startClusters starts a process cluster for each plan, all concurrently. The caller must close the group. On error it closes the
// clusters that it started and returns no group.
func startClusters(plans ...rig.ClusterConfig) (*clusterGroup, error) {
	clusters := make([]*rig.Cluster, len(plans))
	errs := make([]error, len(plans))
	var group sync.WaitGroup
	for k, plan := range plans {
		group.Go(func() { clusters[k], errs[k] = rig.NewCluster(plan) })
	}
	group.Wait()
	g := &clusterGroup{clusters: clusters}
	if err := errors.Join(errs...); err != nil {
		g.clusters = slices.DeleteFunc(g.clusters, func(c *rig.Cluster) bool { return c == nil })
		g.close()
		return nil, err
	}
	return g, nil
}

// onEach calls do for each process cluster, concurrently, and joins the errors.
func (g *clusterGroup) onEach(do func(*rig.Cluster) error) error {
	errs := make([]error, len(g.clusters))
	var group sync.WaitGroup
	for k, cluster := range g.clusters {
		group.Go(func() { errs[k] = do(cluster) })
	}
	group.Wait()
	return errors.Join(errs...)
}

func (g *clusterGroup) close() {
	var group sync.WaitGroup
	for _, cluster := range g.clusters {
		group.Go(cluster.Close)
	}
	group.Wait()
}

// clusterPlan returns the plan of a cluster of n processes. The first two addresses that each process is given to join are
// unused.
func (run *experimentRun) clusterPlan(n int) rig.ClusterConfig {
	return rig.ClusterConfig{Program: run.Program, Names: nodeNames(n), Site: clusterSite(), Zones: 3, Seeds: 3, UnusedSeeds: 2,
		Slack: clusterSlack, Seed: run.Seed}
}

// gossipOnlyPlan returns the plan of the same cluster with processes that run the gossip library alone.
func (run *experimentRun) gossipOnlyPlan(n int) rig.ClusterConfig {
	plan := run.clusterPlan(n)
	plan.BareCommand = func(name, listen, advertise string, join []string) *exec.Cmd {
		return exec.Command(run.ownBinary(), "bare", "--name", name, "--listen", listen, "--advertise", advertise, "--join",
			strings.Join(join, ","))
	}
	return plan
}

// ownBinary returns the path of this program's binary.
func (run *experimentRun) ownBinary() string {
	if run.rehearseBinary != "" {
		return run.rehearseBinary
	}
	self, err := os.Executable()
	if err != nil {
		return os.Args[0]
	}
	return self
}

// loadCluster sends RPCs to the named processes for a duration, with a caller and a rate in RPCs per second for each process. It
// returns the outcomes by name.
func (run *experimentRun) loadCluster(cluster *rig.Cluster, duration time.Duration, rate float64,
	names []string) map[string]rig.Outcome {
	outcomes := map[string]rig.Outcome{}
	var mu sync.Mutex
	var loads sync.WaitGroup
	for k, name := range names {
		loads.Go(func() {
			router := rig.NewRouter(k+1, cluster.Addresses(name)[0])
			defer router.Close()
			load := rig.Load{Seed: run.Seed + uint64(k)<<32, Duration: duration, Prefix: name + "-",
				Shares: pressureMix(0.004, time.Second), Rate: func(float64) float64 { return rate }}
			outcome := load.Run(context.Background(), cluster.Checker, router)
			mu.Lock()
			outcomes[name] = outcome
			mu.Unlock()
		})
	}
	loads.Wait()
	return outcomes
}

// servedCriticality returns the share of criticality that the named processes served, as the mean over the processes.
func servedCriticality(outcomes map[string]rig.Outcome, names []string) float64 {
	sum := 0.0
	for _, name := range names {
		sum += outcomes[name].Criticality
	}
	return sum / float64(len(names))
}

// reportDelay returns how many seconds after a time the last viewer reported an event of a member, or +Inf if any never did.
func reportDelay(cluster *rig.Cluster, name, event string, from float64, viewers []string) float64 {
	longest := 0.0
	for _, viewer := range viewers {
		delay := math.Inf(1)
		for _, observation := range cluster.History.Observations(viewer, from) {
			if slices.ContainsFunc(observation.Changes, func(change string) bool { return strings.HasPrefix(change, name+" "+event) }) {
				delay = observation.Time - from
				break
			}
		}
		longest = max(longest, delay)
	}
	return longest
}

// countFalseDeaths counts the deaths that viewers reported of members that were alive, and how many of these were not revoked
// within a grace period in seconds. alive reports whether a member was alive at a time.
func countFalseDeaths(cluster *rig.Cluster, from, to, grace float64, viewers []string,
	alive func(name string, t float64) bool) (all, lasting int) {
	for _, viewer := range viewers {
		observations := cluster.History.Observations(viewer, from)
		for k, observation := range observations {
			for _, change := range observation.Changes {
				name, rest, _ := strings.Cut(change, " ")
				if !strings.HasPrefix(rest, "went: ") || strings.Contains(rest, "left") || observation.Time > to ||
					!alive(name, observation.Time) {
					continue
				}
				all++
				returned := slices.ContainsFunc(observations[k:], func(later rig.Observation) bool {
					return later.Time < observation.Time+grace && slices.ContainsFunc(later.Changes, func(change string) bool {
						return strings.HasPrefix(change, name+" came")
					})
				})
				if !returned {
					lasting++
				}
			}
		}
	}
	return all, lasting
}

// checkViolations finishes the checkers of the clusters and reports the violations that they found.
func (run *experimentRun) checkViolations(clusters ...*rig.Cluster) {
	count := 0
	for _, cluster := range clusters {
		cluster.Checker.Finish()
		for k, violation := range cluster.Checker.Violations() {
			count++
			if k < 5 {
				run.printNote("%s", violation)
			}
		}
	}
	run.exactly("breaches", float64(count), 0)
}

// awaitSameView waits until all named processes have the same view of n members. It returns the seconds waited. If that takes
// longer than within, it prints their last observations and returns +Inf.
func (run *experimentRun) awaitSameView(cluster *rig.Cluster, within time.Duration, n int, names []string) float64 {
	took, ok := cluster.WaitUntil(within, func() bool { return cluster.History.AgreeOnMembers(n, names...) })
	if !ok {
		for _, name := range names {
			observation, _ := cluster.History.Latest(name)
			run.printNote("%s: %d members, %s, %s", name, observation.Members, observation.Digest, observation.Certainty)
		}
		return math.Inf(1)
	}
	return took
}

// writeHistory writes the history of a cluster to the run's history file, if any.
func (run *experimentRun) writeHistory(cluster *rig.Cluster) error {
	if run.History == "" {
		return nil
	}
	file, err := os.Create(run.History)
	if err != nil {
		return err
	}
	defer file.Close()
	return cluster.History.Write(file)
}

// countMemberChanges counts the observations of a viewer between two times that report a change of the named member.
func countMemberChanges(cluster *rig.Cluster, viewer, name string, from, to float64) int {
	n := 0
	for _, observation := range cluster.History.Observations(viewer, from) {
		if observation.Time < to && slices.ContainsFunc(observation.Changes, func(change string) bool {
			return strings.HasPrefix(change, name+" ")
		}) {
			n++
		}
	}
	return n
}

// countDivergentViews counts the running processes whose view differs from the most frequent one. Superseded ones do not count.
func countDivergentViews(cluster *rig.Cluster) float64 {
	byDigest := map[string]int{}
	total, largest := 0, 0
	for _, name := range cluster.Running() {
		observation, ok := cluster.History.Latest(name)
		if !ok || observation.Certainty == "superseded" {
			continue
		}
		total++
		byDigest[observation.Digest]++
		largest = max(largest, byDigest[observation.Digest])
	}
	return float64(total - largest)
}

func boolToInt(value bool) int {
	if value {
		return 1
	}
	return 0
}
