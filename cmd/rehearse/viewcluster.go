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

// names are n1 to the n-th.
func names(n int) []string {
	var all []string
	for k := range n {
		all = append(all, fmt.Sprintf("n%d", k+1))
	}
	return all
}

// fleetSite is a site whose processes are given little to do, so that what is seen is what the faults did.
func fleetSite() rig.Site {
	site := tillSite(4, 30)
	site.StopTimeout, site.GracePeriod = 1800*time.Millisecond, time.Second
	return site
}

// rigSlack is what the checker allows: with many processes on a few cores, that is mostly the machine's.
const rigSlack = 300 * time.Millisecond

// clusterGroup is some process clusters that undergo the same faults.
type clusterGroup struct {
	clusters []*rig.Cluster // in the order of their plans
}

// startClusters starts a process cluster for each plan, at the same time. The caller closes the group; after an error there is none.
func startClusters(plans ...rig.ClusterConfig) (*clusterGroup, error) {
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

// all does something to each process cluster at the same time.
func (f *clusterGroup) all(do func(*rig.Cluster) error) error {
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

// plan is a process cluster of n processes, of which the first two addresses that each is given belong to nobody.
func (p *experimentRun) plan(n int) rig.ClusterConfig {
	return rig.ClusterConfig{Program: p.Program, Names: names(n), Site: fleetSite(), Zones: 3, Seeds: 3, UnusedSeeds: 2, Slack: rigSlack,
		Seed: p.Seed}
}

// bare is the same with the gossip library alone.
func (p *experimentRun) bare(n int) rig.ClusterConfig {
	plan := p.plan(n)
	plan.BareCommand = func(name, listen, advertise string, join []string) *exec.Cmd {
		return exec.Command(p.self(), "bare", "--name", name, "--listen", listen, "--advertise", advertise, "--join",
			strings.Join(join, ","))
	}
	return plan
}

// self is this program's binary.
func (p *experimentRun) self() string {
	if p.rehearseBinary != "" {
		return p.rehearseBinary
	}
	self, err := os.Executable()
	if err != nil {
		return os.Args[0]
	}
	return self
}

// load asks all of some processes for a length of time, each by a caller of its own.
func (p *experimentRun) load(s *rig.Cluster, length time.Duration, rate float64, who []string) map[string]rig.Outcome {
	out := map[string]rig.Outcome{}
	var mu sync.Mutex
	var group sync.WaitGroup
	for k, name := range who {
		group.Go(func() {
			router := rig.NewRouter(k+1, s.Addresses(name)[0])
			defer router.Close()
			l := rig.Load{Seed: p.Seed + uint64(k)<<32, Duration: length, Prefix: name + "-", Shares: till(0.004, time.Second),
				Rate: func(float64) float64 { return rate }}
			o := l.Run(context.Background(), s.Checker, router)
			mu.Lock()
			out[name] = o
			mu.Unlock()
		})
	}
	group.Wait()
	return out
}

// service is the share of criticality served by some of them together.
func service(out map[string]rig.Outcome, who []string) float64 {
	sum := 0.0
	for _, name := range who {
		sum += out[name].Criticality
	}
	return sum / float64(len(who))
}

// known gives how long after a time the last of the viewers told of something about a name, in seconds: +Inf if one
// never did.
func known(s *rig.Cluster, name, what string, from float64, viewers []string) float64 {
	worst := 0.0
	for _, viewer := range viewers {
		at := math.Inf(1)
		for _, observation := range s.History.Observations(viewer, from) {
			if slices.ContainsFunc(observation.Changes, func(c string) bool { return strings.HasPrefix(c, name+" "+what) }) {
				at = observation.Time - from
				break
			}
		}
		worst = max(worst, at)
	}
	return worst
}

// falseDeaths counts members that were told dead by viewers though they lived, and how many of these were not back within a
// span. Alive tells whether a member was alive at a time.
func falseDeaths(s *rig.Cluster, from, to, span float64, viewers []string, alive func(name string, t float64) bool) (all, lasting int) {
	for _, viewer := range viewers {
		observations := s.History.Observations(viewer, from)
		for k, observation := range observations {
			for _, c := range observation.Changes {
				name, rest, _ := strings.Cut(c, " ")
				if !strings.HasPrefix(rest, "went: ") || strings.Contains(rest, "left") || observation.Time > to || !alive(name, observation.Time) {
					continue
				}
				all++
				back := slices.ContainsFunc(observations[k:], func(l rig.Observation) bool {
					return l.Time < observation.Time+span && slices.ContainsFunc(l.Changes, func(c string) bool { return strings.HasPrefix(c, name+" came") })
				})
				if !back {
					lasting++
				}
			}
		}
	}
	return all, lasting
}

// violations has the checkers' last word.
func (p *experimentRun) violations(clusters ...*rig.Cluster) {
	n := 0
	for _, s := range clusters {
		s.Checker.Finish()
		for k, b := range s.Checker.Violations() {
			n++
			if k < 5 {
				p.printNote("%s", b)
			}
		}
	}
	p.exactly("breaches", float64(n), 0)
}

// untilAlike waits until all of these see one view of n members; the time counts in a figure.
func (p *experimentRun) untilAlike(s *rig.Cluster, within time.Duration, n int, who []string) float64 {
	took, ok := s.WaitUntil(within, func() bool { return s.History.AgreeOnMembers(n, who...) })
	if !ok {
		for _, name := range who {
			observation, _ := s.History.Latest(name)
			p.printNote("%s: %d members, %s, %s", name, observation.Members, observation.Digest, observation.Certainty)
		}
		return math.Inf(1)
	}
	return took
}

// keep writes the history to a file, if one was asked for.
func (p *experimentRun) keep(s *rig.Cluster) error {
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

// flapped counts the views that differ by what became of one member.
func flapped(s *rig.Cluster, viewer, name string, from, to float64) int {
	n := 0
	for _, observation := range s.History.Observations(viewer, from) {
		if observation.Time < to && slices.ContainsFunc(observation.Changes, func(c string) bool { return strings.HasPrefix(c, name+" ") }) {
			n++
		}
	}
	return n
}

// differ counts the processes that run and do not see what most see.
func differ(s *rig.Cluster) float64 {
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

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}
