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

// sharedCluster is a process cluster with a shared backend, and a record of the RPCs sent to it. Each total is the sum of the
// criticality that was served, and of that requested.
type sharedCluster struct {
	*rig.Cluster
	backend *rig.Backend

	mu            sync.Mutex
	requests      []sharedRequest
	backendTotals map[string][2]float64 // of RPCs that use the backend, by phase
	methodTotals  map[string][2]float64 // of all RPCs, by phase, app server and method, separated by spaces
	plainTotals   map[string][2]float64 // of RPCs that do not use the backend, by phase
	phase         string
}

// sharedRequest is an RPC that uses the backend.
type sharedRequest struct {
	sentAt, work, criticality float64
	phase                     string
}

// newSharedCluster returns a shared cluster without processes, whose backend has a limit of concurrent runs.
func newSharedCluster(limit int) *sharedCluster {
	return &sharedCluster{
		backend:       rig.NewBackend(limit, "lookup", "check", "record"),
		backendTotals: map[string][2]float64{},
		methodTotals:  map[string][2]float64{},
		plainTotals:   map[string][2]float64{},
	}
}

// startSharedCluster starts a cluster of a kind: "on" with an allocator, "even" with the limit split evenly, "off" without a
// shared limit and without a fleet. limit is written to the settings as it is.
func (run *experimentRun) startSharedCluster(kind string, limit string) (*sharedCluster, error) {
	serverNames := nodeNames(sharedServers)
	c := newSharedCluster(sharedLimit)
	plan := run.sharedPlan(sharedServers, c.backend)
	reserved := 1
	switch kind {
	case "off":
		plan.NoFleet = true
	case "even":
		reserved = sharedLimit / sharedServers // reserves the whole limit, so that nothing is left to grant
	}
	plan.Settings = []string{"fleet.voters " + strings.Join(nodeNames(5), " "), "fleet.lease " + experimentLease.String(),
		"fleet.share behind " + limit + " lookup check record",
		fmt.Sprintf("fleet.floor %d %s", reserved, strings.Join(serverNames, " "))}
	var err error
	c.Cluster, err = rig.NewCluster(plan)
	return c, err
}

// sharedPlan returns the plan of a cluster of n app servers whose runs use the backend.
func (run *experimentRun) sharedPlan(n int, backend *rig.Backend) rig.ClusterConfig {
	plan := run.clusterPlan(n)
	plan.Backend = backend
	plan.Site.Cores = 24
	plan.Site.Methods = nil
	for _, s := range sharedMix() {
		m := rig.SiteMethod{Name: s.Method, Kind: string(s.Kind), LatencyTarget: 0.8, Deadline: 1, Criticality: s.Criticality}
		if s.Kind == rpc.Tokened {
			m.Window = 30
		}
		plan.Site.Methods = append(plan.Site.Methods, m)
	}
	return plan
}

// startPhase starts a phase of the experiment. RPCs that end later count in its totals, and RPCs that are
// sent later in its ideal share.
func (c *sharedCluster) startPhase(phase string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = phase
}

// sendLoad sends RPCs to all app servers for a duration. rate returns the current rate for an app server, in RPCs per second.
func (c *sharedCluster) sendLoad(ctx context.Context, run *experimentRun, duration time.Duration,
	rate func(name string) float64) {
	began := time.Now()
	var loads sync.WaitGroup
	for k, name := range c.Names() {
		loads.Go(func() {
			router := rig.NewRouter(k+1, c.Addresses(name)[0])
			defer router.Close()
			load := rig.Load{Seed: run.Seed + uint64(k)<<32, Duration: duration, Prefix: name + "-", Shares: sharedMix(),
				Rate: func(float64) float64 { return rate(name) },
				BeforeCall: func(share rig.Share, work float64) {
					c.mu.Lock()
					defer c.mu.Unlock()
					if share.Method != "plain" {
						c.requests = append(c.requests, sharedRequest{time.Since(began).Seconds(), work, share.Criticality, c.phase})
					}
				},
				AfterCall: func(share rig.Share, _, _ string, _ []byte, err error) {
					c.mu.Lock()
					defer c.mu.Unlock()
					served := 0.0
					if err == nil {
						served = share.Criticality
					}
					totals := c.backendTotals
					if share.Method == "plain" {
						totals = c.plainTotals
					}
					add := func(totals map[string][2]float64, key string) {
						sums := totals[key]
						totals[key] = [2]float64{sums[0] + served, sums[1] + share.Criticality}
					}
					add(totals, c.phase)
					add(c.methodTotals, c.phase+" "+name+" "+share.Method)
				}}
			load.Run(ctx, c.Checker, router)
		})
	}
	loads.Wait()
}

// servedShare returns the share of the criticality requested of the backend that was served in a phase.
func (c *sharedCluster) servedShare(phase string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	sums := c.backendTotals[phase]
	return sums[0] / max(sums[1], 1e-9)
}

// minServedShare returns the minimum of the share served in a phase over all app servers and methods.
func (c *sharedCluster) minServedShare(phase string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	minShare := 1.0
	for key, sums := range c.methodTotals {
		if strings.HasPrefix(key, phase+" ") {
			minShare = min(minShare, sums[0]/sums[1])
		}
	}
	return minShare
}

// idealShare returns the share of criticality that an ideal scheduler would serve in a phase: with full knowledge and no delay,
// it serves the most critical RPCs of each half second first, up to the limit.
func (c *sharedCluster) idealShare(phase string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	const window = 0.5
	windows := map[int][]sharedRequest{}
	requested, served := 0.0, 0.0
	for _, request := range c.requests {
		if request.phase == phase {
			windows[int(request.sentAt/window)] = append(windows[int(request.sentAt/window)], request)
			requested += request.criticality
		}
	}
	for _, inWindow := range windows {
		slices.SortStableFunc(inWindow, func(a, b sharedRequest) int { return cmp.Compare(b.criticality, a.criticality) })
		capacity := window * sharedLimit
		for _, request := range inWindow {
			if capacity -= request.work; capacity < 0 {
				break
			}
			served += request.criticality
		}
	}
	return served / max(requested, 1e-9)
}

// sentPackets returns the number of packets of the fleet that all running processes have sent.
func (c *sharedCluster) sentPackets() (sum float64) {
	for _, name := range c.Running() {
		if status, err := member.ReadStatus(c.Socket(name)); err == nil {
			sum += float64(status.Packets[0])
		}
	}
	return sum
}

// allocator returns the name of the process that allocates the limit, and the share's state there, or "" if there is none.
func (c *sharedCluster) allocator() (name string, share fleet.Share) {
	for _, process := range c.Running() {
		status, err := member.ReadStatus(c.Socket(process))
		if err != nil || status.Roles == nil {
			continue
		}
		var fleetStatus fleet.Status
		if json.Unmarshal(status.Roles, &fleetStatus) == nil && len(fleetStatus.Shares) > 0 && fleetStatus.Shares[0].Limit > 0 {
			return process, fleetStatus.Shares[0]
		}
	}
	return "", fleet.Share{}
}
