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

// crowd is five processes of the program that may run twelve RPCs at once, and callers that want twice as many.
type crowd struct {
	*rig.Cluster
	t       *testing.T
	backend *rig.Backend
}

const shared, sharedLease = 12, time.Second

func newCrowd(t *testing.T) *crowd {
	t.Helper()
	t.Parallel()
	names := []string{"n1", "n2", "n3", "n4", "n5"}
	c := &crowd{t: t, backend: rig.NewBackend(shared, "lookup")}
	var err error
	c.Cluster, err = rig.NewCluster(rig.Plan{Program: program, Names: names, Slack: time.Second, Seed: 1, Backend: c.backend,
		Laws: []string{"fleet.voters n1 n2 n3", "fleet.lease " + sharedLease.String(), fmt.Sprintf("fleet.share s %d lookup", shared),
			"fleet.floor 1 " + strings.Join(names, " ")},
		Site: rig.Site{Cores: 16, MemoryMB: 64, Sockets: 256, Stop: 2 * time.Second, Grace: time.Second, Callers: 1,
			Methods: []rig.SiteMethod{{Name: "lookup", Kind: string(rpc.Idempotent), Target: 0.8, Deadline: 1, Criticality: 1}}}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	var loads sync.WaitGroup
	for k, name := range names {
		loads.Go(func() {
			router := rig.NewRouter(k+1, c.Addresses(name)[0])
			defer router.Close()
			l := rig.Load{Seed: uint64(k), Length: 2 * time.Minute, Prefix: name + "-", Rate: func(float64) float64 { return 2 * shared / 0.1 / 5 },
				Shares: []rig.Share{{Method: "lookup", Kind: rpc.Idempotent, Criticality: 1, Part: 1, Work: 0.1, Deadline: time.Second}}}
			l.Run(ctx, c.Check, router)
		})
	}
	t.Cleanup(func() {
		stop()
		loads.Wait()
		if n := c.backend.Over(); n > 0 {
			t.Errorf("the limit was passed by %d", n)
		}
		c.Check.Finish()
		for _, b := range c.Check.Violations() {
			t.Error(b)
		}
		c.Close()
	})
	c.used(0.85)
	return c
}

func (c *crowd) run(script string) {
	c.t.Helper()
	if err := c.Run(script); err != nil {
		c.t.Fatal(err)
	}
}

// used waits until a part of the limit is used.
func (c *crowd) used(part float64) {
	c.t.Helper()
	c.backend.Used()
	if _, ok := c.Until(wait, func() bool { time.Sleep(200 * time.Millisecond); return c.backend.Used() >= part*shared }); !ok {
		c.t.Fatalf("less than %g of the limit are used", part)
	}
}

// allocator waits for one that is not a given one, and that says so itself.
func (c *crowd) allocator(not string) (who string) {
	c.t.Helper()
	if _, ok := c.Until(wait, func() bool {
		for _, name := range c.Names() {
			table, err := exec.Command(program, "fleet", "shares", "--json", "--socket", c.Socket(name)).CombinedOutput()
			if err == nil && name != not && strings.Contains(string(table), `"limit":`) {
				who = name
				return true
			}
		}
		return false
	}); !ok {
		c.t.Fatalf("nobody but %q keeps it", not)
	}
	return who
}

// The allocator is killed, and started again: another keeps it, what it had comes back, and what its runs still use is not given away.
func TestAllocatorKilled(t *testing.T) {
	c := newCrowd(t)
	for range 2 {
		first := c.allocator("")
		c.run("0s kill " + first)
		c.allocator(first)
		c.run("0s start " + first)
		c.used(0.9)
	}
}

// The allocator, and a holder, are stopped past what they had and go on: they grant and start nothing that counts no more.
func TestAllocatorSlept(t *testing.T) {
	c := newCrowd(t)
	first := c.allocator("")
	holder := "n5" // which does not vote
	if first == holder {
		holder = "n4"
	}
	c.run("0s stop " + first + "\n0s stop " + holder)
	c.allocator(first)
	c.run("4s cont " + first + "\n4s cont " + holder)
	c.used(0.9)
}

// Cut off with one other, the allocator steps down; those two fall to their reserved permits, and the rest goes to the others.
func TestAllocatorCut(t *testing.T) {
	c := newCrowd(t)
	first := c.allocator("")
	var mine, rest []string
	for _, name := range c.Names() {
		if name == first || len(mine) == 0 && name > "n3" {
			mine = append(mine, name)
		} else {
			rest = append(rest, name)
		}
	}
	c.run("0s split " + strings.Join(mine, ",") + "|" + strings.Join(rest, ","))
	c.allocator(first)
	c.used(0.8)
	c.run("0s heal")
	c.used(0.9)
}

// A limit that is lowered is taken over while it runs, and nothing else is.
func TestLimitLowered(t *testing.T) {
	c := newCrowd(t)
	amend := func(from, to string) {
		for _, name := range c.Names() {
			if err := c.Amend(name, func(laws string) string { return strings.Replace(laws, from, to, 1) }); err != nil {
				t.Fatal(err)
			}
			c.Node(name).Reload()
		}
	}
	amend("fleet.share s 12 ", "fleet.share s 7 ")
	if _, ok := c.Until(wait, func() bool {
		c.backend.Used()
		time.Sleep(300 * time.Millisecond)
		return c.backend.Used() <= 7
	}); !ok {
		t.Error("the lower limit is not kept")
	}
	c.backend.Limit(7)
	c.used(0.85 * 7 / shared)
	if n := c.backend.Over(); n > 0 {
		t.Errorf("the lower limit was passed by %d", n)
	}
	c.backend.Limit(shared)
	amend("fleet.share s 7 ", "fleet.share s 12 ")
	c.used(0.9)
}
