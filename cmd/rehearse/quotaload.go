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

// pool is a process cluster with something behind it, and what was asked of it.
type pool struct {
	*rig.Cluster
	backend *rig.Backend

	mu    sync.Mutex
	asked []demanded
	ok    map[string][2]float64 // by phase, criticality that was served and that was asked, of what needs the share
	each  map[string][2]float64 // the same of each app server and method
	plain map[string][2]float64 // of what does not
	phase string
}

// demanded is one RPC that needs the share, as it was asked.
type demanded struct {
	at, work, criticality float64
	phase                 string
}

// reservoir starts a pool: under an allocator, split evenly, or without a common limit and without a fleet.
func (p *play) reservoir(kind string, limit string) (*pool, error) {
	all := names(sharedOn)
	r := &pool{backend: rig.NewBackend(sharedLimit, "lookup", "check", "record"), ok: map[string][2]float64{}, each: map[string][2]float64{}, plain: map[string][2]float64{}}
	plan := p.sharedPlan(sharedOn, r.backend)
	reserved := 1
	switch kind {
	case "off":
		plan.Off = true
	case "even":
		reserved = sharedLimit / sharedOn // nothing is left to grant
	}
	plan.Laws = []string{"fleet.voters " + strings.Join(names(5), " "), "fleet.lease " + experimentLease.String(), "fleet.share behind " + limit +
		" lookup check record", fmt.Sprintf("fleet.floor %d %s", reserved, strings.Join(all, " "))}
	var err error
	r.Cluster, err = rig.NewCluster(plan)
	return r, err
}

// sharedPlan is a process cluster whose runs reach what is behind.
func (p *play) sharedPlan(n int, backend *rig.Backend) rig.Plan {
	plan := p.plan(n)
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

// enter names the part of the run that what is asked from now on belongs to.
func (r *pool) enter(phase string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.phase = phase
}

// ask has callers ask all app servers, each at a rate of its own that may change.
func (r *pool) ask(ctx context.Context, p *play, length time.Duration, rate func(name string) float64) {
	began := time.Now()
	var group sync.WaitGroup
	for k, name := range r.Names() {
		group.Go(func() {
			router := rig.NewRouter(k+1, r.Addresses(name)[0])
			defer router.Close()
			l := rig.Load{Seed: p.Seed + uint64(k)<<32, Length: length, Prefix: name + "-", Shares: sharedLoad(),
				Rate: func(float64) float64 { return rate(name) },
				Before: func(s rig.Share, work float64) {
					r.mu.Lock()
					defer r.mu.Unlock()
					if s.Method != "plain" {
						r.asked = append(r.asked, demanded{time.Since(began).Seconds(), work, s.Criticality, r.phase})
					}
				},
				After: func(s rig.Share, _, _ string, _ []byte, err error) {
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

// part is what was served of what was asked in a phase, by criticality.
func (r *pool) part(phase string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.ok[phase]
	return o[0] / max(o[1], 1e-9)
}

// least is the same of the app server and method of which the least was served.
func (r *pool) least(phase string) float64 {
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

// best is what somebody would serve who knew everything at once, with no way to go and nothing at random: in each half second
// the most worthy first, as far as the limit goes.
func (r *pool) best(phase string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	const span = 0.5
	windows := map[int][]demanded{}
	all, got := 0.0, 0.0
	for _, d := range r.asked {
		if d.phase == phase {
			windows[int(d.at/span)] = append(windows[int(d.at/span)], d)
			all += d.criticality
		}
	}
	for _, w := range windows {
		slices.SortStableFunc(w, func(a, b demanded) int { return cmp.Compare(b.criticality, a.criticality) })
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

// packets is how many of the fleet's all processes have sent.
func (r *pool) packets() (sum float64) {
	for _, n := range r.Running() {
		if shown, err := member.ReadStatus(r.Socket(n)); err == nil {
			sum += float64(shown.Packets[0])
		}
	}
	return sum
}

// allocator asks the processes who allocates the share, and what everybody has.
func (r *pool) allocator() (name string, s fleet.Share) {
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
