package fleet_test

import (
	"context"
	"fmt"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	"valveglade/rig"
	"valveglade/rpc"
)

// shareCluster is five processes of the program that share a limit of twelve concurrent RPCs, under a load of twice
// as many.
type shareCluster struct {
	*rig.Cluster
	t       *testing.T
	backend *rig.Backend
}

const (
	sharedLimit = 12 // RPCs that the whole cluster may run at once
	shareLease  = time.Second
)

func newShareCluster(t *testing.T) *shareCluster {
	t.Helper()
	t.Parallel()
	names := []string{"n1", "n2", "n3", "n4", "n5"}
	c := &shareCluster{t: t, backend: rig.NewBackend(sharedLimit, "lookup")}
	var err error
	c.Cluster, err = rig.NewCluster(rig.ClusterConfig{Program: program, Names: names, Slack: time.Second, Seed: 1,
		Backend: c.backend,
		Settings: []string{"fleet.voters n1 n2 n3", "fleet.lease " + shareLease.String(),
			fmt.Sprintf("fleet.share s %d lookup", sharedLimit),
			"fleet.floor 1 " + strings.Join(names, " ")},
		Site: rig.Site{Cores: 16, MemoryMB: 64, Sockets: 256, StopTimeout: 2 * time.Second, GracePeriod: time.Second, Callers: 1,
			Methods: []rig.SiteMethod{{Name: "lookup", Kind: string(rpc.Idempotent), LatencyTarget: 0.8, Deadline: 1, Criticality: 1}}}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	var loads sync.WaitGroup
	for index, name := range names {
		loads.Go(func() {
			router := rig.NewRouter(index+1, c.Addresses(name)[0])
			defer router.Close()
			load := rig.Load{Seed: uint64(index), Duration: 2 * time.Minute, Prefix: name + "-",
				Rate: func(float64) float64 { return 2 * sharedLimit / 0.1 / 5 },
				Shares: []rig.Share{{Method: "lookup", Kind: rpc.Idempotent, Criticality: 1, Fraction: 1,
					Work: 0.1, Deadline: time.Second}}}
			load.Run(ctx, c.Checker, router)
		})
	}
	t.Cleanup(func() {
		stop()
		loads.Wait()
		if exceeded := c.backend.MaxExcess(); exceeded > 0 {
			t.Errorf("the limit was exceeded by %d", exceeded)
		}
		c.Checker.Finish()
		for _, violation := range c.Checker.Violations() {
			t.Error(violation)
		}
		c.Close()
	})
	c.waitForUse(0.85)
	return c
}

func (c *shareCluster) run(script string) {
	c.t.Helper()
	if err := c.RunScriptText(script); err != nil {
		c.t.Fatal(err)
	}
}

// waitForUse waits until a fraction of the limit is in use.
func (c *shareCluster) waitForUse(fraction float64) {
	c.t.Helper()
	c.backend.MeanRunning()
	if _, ok := c.WaitUntil(waitTimeout, func() bool {
		time.Sleep(200 * time.Millisecond)
		return c.backend.MeanRunning() >= fraction*sharedLimit
	}); !ok {
		c.t.Fatalf("less than %g of the limit is in use", fraction)
	}
}

// allocator waits until a process other than the given one reports that it is the allocator, and returns its name.
func (c *shareCluster) allocator(except string) (found string) {
	c.t.Helper()
	if _, ok := c.WaitUntil(waitTimeout, func() bool {
		for _, name := range c.Names() {
			table, err := exec.Command(program, "fleet", "shares", "--json", "--socket", c.Socket(name)).CombinedOutput()
			if err == nil && name != except && strings.Contains(string(table), `"limit":`) {
				found = name
				return true
			}
		}
		return false
	}); !ok {
		c.t.Fatalf("no allocator other than %q", except)
	}
	return found
}

// The allocator is killed and started again: another process takes over, the permits of the killed one are granted
// again, but not while its runs still use them.
func TestAllocatorKilled(t *testing.T) {
	c := newShareCluster(t)
	for range 2 {
		first := c.allocator("")
		c.run("0s kill " + first)
		c.allocator(first)
		c.run("0s start " + first)
		c.waitForUse(0.9)
	}
}

// The allocator and a leaseholder are paused past the end of their leases and resume: the allocator grants nothing
// and the leaseholder starts nothing under an expired lease.
func TestAllocatorPaused(t *testing.T) {
	c := newShareCluster(t)
	first := c.allocator("")
	holder := "n5" // which does not vote
	if first == holder {
		holder = "n4"
	}
	c.run("0s stop " + first + "\n0s stop " + holder)
	c.allocator(first)
	c.run("4s cont " + first + "\n4s cont " + holder)
	c.waitForUse(0.9)
}

// The allocator and one other process are partitioned from the rest: the allocator steps down, both are left with their
// reserved permits, and the other permits go to the majority.
func TestAllocatorPartitioned(t *testing.T) {
	c := newShareCluster(t)
	first := c.allocator("")
	var minority, majority []string
	for _, name := range c.Names() {
		if name == first || len(minority) == 0 && name > "n3" {
			minority = append(minority, name)
		} else {
			majority = append(majority, name)
		}
	}
	c.run("0s split " + strings.Join(minority, ",") + "|" + strings.Join(majority, ","))
	c.allocator(first)
	c.waitForUse(0.8)
	c.run("0s heal")
	c.waitForUse(0.9)
}

// A reload applies a lowered limit, which is not exceeded from then on, and likewise the raised limit after it.
func TestLimitLowered(t *testing.T) {
	c := newShareCluster(t)
	replaceSetting := func(old, replacement string) {
		for _, name := range c.Names() {
			if err := c.EditSettings(name, func(settings string) string {
				return strings.Replace(settings, old, replacement, 1)
			}); err != nil {
				t.Fatal(err)
			}
			c.Node(name).Reload()
		}
	}
	replaceSetting("fleet.share s 12 ", "fleet.share s 7 ")
	if _, ok := c.WaitUntil(waitTimeout, func() bool {
		c.backend.MeanRunning()
		time.Sleep(300 * time.Millisecond)
		return c.backend.MeanRunning() <= 7
	}); !ok {
		t.Error("the lower limit was not applied")
	}
	c.backend.SetLimit(7)
	c.waitForUse(0.85 * 7 / sharedLimit)
	if n := c.backend.MaxExcess(); n > 0 {
		t.Errorf("the lower limit was exceeded by %d", n)
	}
	c.backend.SetLimit(sharedLimit)
	replaceSetting("fleet.share s 7 ", "fleet.share s 12 ")
	c.waitForUse(0.9)
}
