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

// nodeNames are n1 to the n-th.
func nodeNames(n int) []string {
	var all []string
	for k := range n {
		all = append(all, fmt.Sprintf("n%d", k+1))
	}
	return all
}

// clusterSite is a site whose processes are given little to do, so that what is seen is what the faults did.
func clusterSite() rig.Site {
	site := pressureMixSite(4, 30)
	site.Stop, site.Grace = 1800*time.Millisecond, time.Second
	return site
}

// clusterSlack is what the checker allows: with many processes on a few cores, that is mostly the machine's.
const clusterSlack = 300 * time.Millisecond

// clusterGroup is some process clusters that undergo the same faults.
type clusterGroup struct {
	clusters []*rig.Cluster // in the order of their plans
}

// startClusters starts a process cluster for each plan, at the same time. The caller closes the group; after an error there is none.
func startClusters(plans ...rig.Plan) (*clusterGroup, error) {
	clusters := make([]*rig.Cluster, len(plans))
	errs := make([]error, len(plans))
	var group sync.WaitGroup
	for k, plan := range plans {
		group.Go(func() { clusters[k], errs[k] = rig.NewCluster(plan) })
	}
	group.Wait()
	f := &clusterGroup{clusters: clusters}
	if err := errors.Join(errs...); err != nil {
		f.clusters = slices.DeleteFunc(f.clusters, func(c *rig.Cluster) bool { return c == nil })
		f.close()
		return nil, err
	}
	return f, nil
}

// onEach does something to each process cluster at the same time.
func (f *clusterGroup) onEach(do func(*rig.Cluster) error) error {
	errs := make([]error, len(f.clusters))
	var group sync.WaitGroup
	for k, s := range f.clusters {
		group.Go(func() { errs[k] = do(s) })
	}
	group.Wait()
	return errors.Join(errs...)
}

func (f *clusterGroup) close() {
	var group sync.WaitGroup
	for _, s := range f.clusters {
		group.Go(s.Close)
	}
	group.Wait()
}

// clusterPlan is a process cluster of n processes, of which the first two addresses that each is given belong to nobody.
func (p *experimentRun) clusterPlan(n int) rig.Plan {
	return rig.Plan{Program: p.Program, Names: nodeNames(n), Site: clusterSite(), Zones: 3, Seeds: 3, DeadEnd: 2, Slack: clusterSlack,
		Seed: p.Seed}
}

// gossipOnlyPlan is the same with the gossip library alone.
func (p *experimentRun) gossipOnlyPlan(n int) rig.Plan {
	plan := p.clusterPlan(n)
	plan.Bare = func(name, listen, advertise string, join []string) *exec.Cmd {
		return exec.Command(p.ownBinary(), "bare", "--name", name, "--listen", listen, "--advertise", advertise, "--join",
			strings.Join(join, ","))
	}
	return plan
}

// ownBinary is this program's binary.
func (p *experimentRun) ownBinary() string {
	if p.rehearseBinary != "" {
		return p.rehearseBinary
	}
	self, err := os.Executable()
	if err != nil {
		return os.Args[0]
	}
	return self
}

// loadCluster asks all of some processes for a length of time, each by a caller of its own.
func (p *experimentRun) loadCluster(s *rig.Cluster, length time.Duration, rate float64, who []string) map[string]rig.Outcome {
	out := map[string]rig.Outcome{}
	var mu sync.Mutex
	var group sync.WaitGroup
	for k, name := range who {
		group.Go(func() {
			router := rig.NewRouter(k+1, s.Addresses(name)[0])
			defer router.Close()
			l := rig.Load{Seed: p.Seed + uint64(k)<<32, Duration: length, Prefix: name + "-", Shares: pressureMix(0.004, time.Second),
				Rate: func(float64) float64 { return rate }}
			o := l.Run(context.Background(), s.Check, router)
			mu.Lock()
			out[name] = o
			mu.Unlock()
		})
	}
	group.Wait()
	return out
}

// servedCriticality is the share of criticality served by some of them together.
func servedCriticality(out map[string]rig.Outcome, who []string) float64 {
	sum := 0.0
	for _, name := range who {
		sum += out[name].Criticality
	}
	return sum / float64(len(who))
}

// reportDelay gives how long after a time the last of the viewers told of something about a name, in seconds: +Inf if one
// never did.
func reportDelay(s *rig.Cluster, name, what string, from float64, viewers []string) float64 {
	worst := 0.0
	for _, viewer := range viewers {
		at := math.Inf(1)
		for _, observation := range s.History.Observations(viewer, from) {
			if slices.ContainsFunc(observation.Changes, func(c string) bool { return strings.HasPrefix(c, name+" "+what) }) {
				at = observation.T - from
				break
			}
		}
		worst = max(worst, at)
	}
	return worst
}

// countFalseDeaths counts members that were told dead by viewers though they lived, and how many of these were not back within a
// span. Alive tells whether a member was alive at a time.
func countFalseDeaths(s *rig.Cluster, from, to, span float64, viewers []string, alive func(name string, t float64) bool) (all, lasting int) {
	for _, viewer := range viewers {
		observations := s.History.Observations(viewer, from)
		for k, observation := range observations {
			for _, c := range observation.Changes {
				name, rest, _ := strings.Cut(c, " ")
				if !strings.HasPrefix(rest, "went: ") || strings.Contains(rest, "left") || observation.T > to || !alive(name, observation.T) {
					continue
				}
				all++
				back := slices.ContainsFunc(observations[k:], func(l rig.Observation) bool {
					return l.T < observation.T+span && slices.ContainsFunc(l.Changes, func(c string) bool { return strings.HasPrefix(c, name+" came") })
				})
				if !back {
					lasting++
				}
			}
		}
	}
	return all, lasting
}

// checkViolations has the checkers' last word.
func (p *experimentRun) checkViolations(clusters ...*rig.Cluster) {
	n := 0
	for _, s := range clusters {
		s.Check.Finish()
		for k, b := range s.Check.Violations() {
			n++
			if k < 5 {
				p.printNote("%s", b)
			}
		}
	}
	p.exactly("breaches", float64(n), 0)
}

// awaitSameView waits until all of these see one view of n members; the time counts in a figure.
func (p *experimentRun) awaitSameView(s *rig.Cluster, within time.Duration, n int, who []string) float64 {
	took, ok := s.Until(within, func() bool { return s.History.Alike(n, who...) })
	if !ok {
		for _, name := range who {
			observation, _ := s.History.Latest(name)
			p.printNote("%s: %d members, %s, %s", name, observation.Members, observation.Digest, observation.Certainty)
		}
		return math.Inf(1)
	}
	return took
}

// writeHistory writes the history to a file, if one was asked for.
func (p *experimentRun) writeHistory(s *rig.Cluster) error {
	if p.History == "" {
		return nil
	}
	f, err := os.Create(p.History)
	if err != nil {
		return err
	}
	defer f.Close()
	return s.History.Write(f)
}

// countMemberChanges counts the views that differ by what became of one member.
func countMemberChanges(s *rig.Cluster, viewer, name string, from, to float64) int {
	n := 0
	for _, observation := range s.History.Observations(viewer, from) {
		if observation.T < to && slices.ContainsFunc(observation.Changes, func(c string) bool { return strings.HasPrefix(c, name+" ") }) {
			n++
		}
	}
	return n
}

// countDivergentViews counts the processes that run and do not see what most see.
func countDivergentViews(s *rig.Cluster) float64 {
	seen := map[string]int{}
	total, most := 0, 0
	for _, name := range s.Running() {
		observation, ok := s.History.Latest(name)
		if !ok || observation.Certainty == "superseded" {
			continue
		}
		total++
		seen[observation.Digest]++
		most = max(most, seen[observation.Digest])
	}
	return float64(total - most)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
