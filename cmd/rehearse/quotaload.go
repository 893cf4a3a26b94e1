package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"valveglade/fleet"
	"valveglade/member"
	"valveglade/rig"
	"valveglade/rpc"
)

// sharedCluster is a process cluster with a shared backend, and a record of the RPCs that were sent to it.
type sharedCluster struct {
	*rig.Cluster
	backend *rig.Backend

	mu    sync.Mutex
	asked []sharedRequest
	ok    map[string][2]float64 // by phase, the criticality served and asked of RPCs that need the backend
	each  map[string][2]float64 // the same of each app server and method
	plain map[string][2]float64 // of those that do not
	phase string
}

// sharedRequest is one RPC that needs the backend.
type sharedRequest struct {
	at, work, criticality float64
	phase                 string
}

// newSharedCluster returns a shared cluster with a backend of a limit, and no processes yet.
func newSharedCluster(limit int) *sharedCluster {
	return &sharedCluster{
		backend: rig.NewBackend(limit, "lookup", "check", "record"),
		ok:      map[string][2]float64{},
		each:    map[string][2]float64{},
		plain:   map[string][2]float64{},
	}
}

// startSharedCluster starts a cluster of a kind: "on" under an allocator, "even" with the limit split evenly, "off" without a common
// limit and without a fleet.
func (p *experimentRun) startSharedCluster(kind string, limit string) (*sharedCluster, error) {
	all := nodeNames(sharedOn)
	r := newSharedCluster(sharedLimit)
	plan := p.sharedPlan(sharedOn, r.backend)
	reserved := 1
	switch kind {
	case "off":
		plan.Off = true
	case "even":
		reserved = sharedLimit / sharedOn // nothing is left to grant
	}
	plan.Laws = []string{"fleet.voters " + strings.Join(nodeNames(5), " "), "fleet.lease " + experimentLease.String(), "fleet.share behind " + limit +
		" lookup check record", fmt.Sprintf("fleet.floor %d %s", reserved, strings.Join(all, " "))}
	var err error
	r.Cluster, err = rig.NewCluster(plan)
	return r, err
}

// sharedPlan is the plan of a cluster whose runs use the backend.
func (p *experimentRun) sharedPlan(n int, backend *rig.Backend) rig.Plan {
	plan := p.clusterPlan(n)
	plan.Backend = backend
	plan.Site.Cores = 24
	plan.Site.Methods = nil
	for _, s := range sharedLoad() {
		m := rig.SiteMethod{Name: s.Method, Kind: string(s.Kind), Target: 0.8, Deadline: 1, Criticality: s.Criticality}
		if s.Kind == rpc.Tokened {
			m.Window = 30
		}
		plan.Site.Methods = append(plan.Site.Methods, m)
	}
	return plan
}

// startPhase names the part of the run to which RPCs belong from now on.
func (r *sharedCluster) startPhase(phase string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.phase = phase
}

// load sends RPCs to all app servers, to each at a rate of its own that may change.
func (r *sharedCluster) load(ctx context.Context, p *experimentRun, length time.Duration, rate func(name string) float64) {
	began := time.Now()
	var group sync.WaitGroup
	for k, name := range r.Names() {
		group.Go(func() {
			router := rig.NewRouter(k+1, r.Addresses(name)[0])
			defer router.Close()
			l := rig.Load{Seed: p.Seed + uint64(k)<<32, Duration: length, Prefix: name + "-", Shares: sharedLoad(),
				Rate: func(float64) float64 { return rate(name) },
				BeforeCall: func(s rig.Share, work float64) {
					r.mu.Lock()
					defer r.mu.Unlock()
					if s.Method != "plain" {
						r.asked = append(r.asked, sharedRequest{time.Since(began).Seconds(), work, s.Criticality, r.phase})
					}
				},
				AfterCall: func(s rig.Share, _, _ string, _ []byte, err error) {
					r.mu.Lock()
					defer r.mu.Unlock()
					got := 0.0
					if err == nil {
						got = s.Criticality
					}
					into := r.ok
					if s.Method == "plain" {
						into = r.plain
					}
					count := func(into map[string][2]float64, key string) {
						o := into[key]
						into[key] = [2]float64{o[0] + got, o[1] + s.Criticality}
					}
					count(into, r.phase)
					count(r.each, r.phase+" "+name+" "+s.Method)
				}}
			l.Run(ctx, r.Check, router)
		})
	}
	group.Wait()
}

// servedShare returns the share of criticality that was served in a phase.
func (r *sharedCluster) servedShare(phase string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.ok[phase]
	return o[0] / max(o[1], 1e-9)
}

// leastServedShare returns the least such share over all app servers and methods.
func (r *sharedCluster) leastServedShare(phase string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	least := 1.0
	for key, o := range r.each {
		if strings.HasPrefix(key, phase+" ") {
			least = min(least, o[0]/o[1])
		}
	}
	return least
}

// bestShare returns the share that an ideal scheduler would serve, with full knowledge and no delay: in each half second the most
// critical first, as far as the limit goes.
func (r *sharedCluster) bestShare(phase string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	const span = 0.5
	windows := map[int][]sharedRequest{}
	all, got := 0.0, 0.0
	for _, d := range r.asked {
		if d.phase == phase {
			windows[int(d.at/span)] = append(windows[int(d.at/span)], d)
			all += d.criticality
		}
	}
	for _, w := range windows {
		slices.SortStableFunc(w, func(a, b sharedRequest) int { return cmp.Compare(b.criticality, a.criticality) })
		left := span * sharedLimit
		for _, d := range w {
			if left -= d.work; left < 0 {
				break
			}
			got += d.criticality
		}
	}
	return got / max(all, 1e-9)
}

// packets returns the number of the fleet's packets that all processes have sent.
func (r *sharedCluster) packets() (sum float64) {
	for _, n := range r.Running() {
		if shown, err := member.ReadStatus(r.Socket(n)); err == nil {
			sum += float64(shown.Packets[0])
		}
	}
	return sum
}

// allocator returns the process that allocates the share, and the share as it sees it.
func (r *sharedCluster) allocator() (name string, s fleet.Share) {
	for _, n := range r.Running() {
		shown, err := member.ReadStatus(r.Socket(n))
		if err != nil || shown.Roles == nil {
			continue
		}
		var f fleet.Status
		if json.Unmarshal(shown.Roles, &f) == nil && len(f.Shares) > 0 && f.Shares[0].Limit > 0 {
			return n, f.Shares[0]
		}
	}
	return "", fleet.Share{}
}
