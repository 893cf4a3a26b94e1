package fleet_test

import (
	"fmt"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"testing"
	"time"

	"valveglade/rig"
	"valveglade/rpc"
)

var program string

func TestMain(m *testing.M) { rig.RunTests(m, &program) }

const (
	lease       = 1500 * time.Millisecond
	waitTimeout = 40 * time.Second // limits each wait for a condition
)

// roleCluster is four processes of the program that campaign for one role, three of them voters, and the worker that
// executes the owner's commands.
type roleCluster struct {
	*rig.Cluster
	t      *testing.T
	worker *rig.Worker
}

func startCluster(t *testing.T, folders bool) *roleCluster {
	t.Helper()
	t.Parallel()
	worker, err := rig.NewWorker(true, rig.NewHistory())
	if err != nil {
		t.Fatal(err)
	}
	var persistent []string
	if folders {
		persistent = []string{"n1", "n2", "n3"}
	}
	cluster, err := rig.NewCluster(rig.ClusterConfig{Program: program, Names: []string{"n1", "n2", "n3", "n4"},
		Slack: time.Second, Seed: 1, WithStateDir: persistent,
		Settings: []string{"fleet.voters n1 n2 n3", "fleet.lease " + lease.String(),
			"fleet.office o " + worker.Address() + " 10ms"},
		Site: rig.Site{Cores: 1, MemoryMB: 64, Sockets: 256, StopTimeout: 2 * time.Second, GracePeriod: time.Second, Callers: 1,
			Methods: []rig.SiteMethod{{Name: "lookup", Kind: string(rpc.Idempotent), LatencyTarget: 0.5, Deadline: 1, Criticality: 1}}}})
	if err != nil {
		t.Fatal(err)
	}
	c := &roleCluster{cluster, t, worker}
	t.Cleanup(func() {
		verdict := rig.NewVerdict(worker.Orders(time.Time{}), lease)
		if verdict.MaxConcurrentOwners > 1 || verdict.LateEffects+verdict.DecreasingTerms+verdict.SharedTerms > 0 {
			t.Errorf("%v", verdict)
		}
		if overlap := rig.MaxOverlap(cluster.History.LeadershipIntervals()); overlap > 0 {
			t.Errorf("two processes acted as owners at the same time for %g s", overlap)
		}
		cluster.Checker.Finish()
		for _, violation := range cluster.Checker.Violations() {
			t.Error(violation)
		}
		if t.Failed() {
			for _, name := range cluster.Names() {
				lines := strings.Split(cluster.Node(name).Log(), "\n")
				t.Logf("%s: %s", name, strings.Join(lines[max(0, len(lines)-12):], "\n"))
			}
		}
		cluster.Close()
		worker.Close()
	})
	return c
}

func (c *roleCluster) run(script string) {
	c.t.Helper()
	if err := c.RunScriptText(script); err != nil {
		c.t.Fatal(err)
	}
}

// owner waits until the worker executes the commands of a process other than the given one, and returns its name.
func (c *roleCluster) owner(except string) string {
	c.t.Helper()
	name := ""
	if _, ok := c.WaitUntil(waitTimeout, func() bool {
		name = c.worker.Owner(200 * time.Millisecond)
		return name != "" && name != except
	}); !ok {
		c.t.Fatalf("no owner other than %q", except)
	}
	return name
}

// The owner is killed and another takes over; then all processes restart, with and without persisted votes, and terms
// continue above the previous ones.
func TestKilledOwner(t *testing.T) {
	for _, folders := range []bool{true, false} {
		t.Run(fmt.Sprint("folders ", folders), func(t *testing.T) {
			c := startCluster(t, folders)
			first := c.owner("")
			c.run("0s kill " + first)
			c.owner(first)
			c.run("0s start " + first)
			before := len(c.worker.Orders(time.Time{}))
			for _, name := range c.Names() {
				c.run("0s kill " + name)
			}
			for _, name := range c.Names() {
				c.run("0s start " + name)
			}
			if _, ok := c.WaitUntil(waitTimeout, func() bool { return len(c.worker.Orders(time.Time{})) > before+9 }); !ok {
				t.Fatal("no owner after the restart")
			}
			if commands := c.worker.Orders(time.Time{}); commands[len(commands)-1].Term <= commands[before-1].Term {
				t.Errorf("term %d after %d", commands[len(commands)-1].Term, commands[before-1].Term)
			}
		})
	}
}

// An owner that is paused past the end of its lease has no effect when it resumes: its commands are rejected or never
// sent, and it steps down.
func TestPausedOwner(t *testing.T) {
	c := startCluster(t, true)
	for range 2 {
		paused := c.owner("")
		from := c.History.Elapsed()
		c.run("0s stop " + paused)
		c.owner(paused)
		c.run("0s cont " + paused)
		if _, ok := c.WaitUntil(waitTimeout, func() bool {
			n, _ := c.History.CountEvents(paused, "stepped down", from)
			return n > 0
		}); !ok {
			t.Errorf("%s does not step down", paused)
		}
	}
}

// An owner that is partitioned from the majority, or that receives no messages, steps down by itself and another takes
// over; once it is reconnected, it does not disturb the new owner.
func TestPartitionedOwner(t *testing.T) {
	c := startCluster(t, true)
	first := c.owner("")
	c.run("0s cut *>" + first) // it sends, but receives nothing
	second := c.owner(first)
	c.run("0s heal")
	rest := []string{}
	for _, name := range c.Names() {
		if name != second {
			rest = append(rest, name)
		}
	}
	c.run("0s split " + second + "|" + strings.Join(rest, ","))
	third := c.owner(second)
	from := time.Now()
	c.run("0s heal")
	time.Sleep(2 * lease)
	if verdict := rig.NewVerdict(c.worker.Orders(from), time.Minute); verdict.OwnerChanges > 0 || c.worker.Owner(lease) != third {
		t.Errorf("%s lost the role to a process that was reconnected: %v", third, verdict)
	}
}

// Messages are duplicated, and those of a process that does not vote arrive several terms too late: this neither
// leads to two owners nor leaves the fleet without one for long.
func TestDelayedMessages(t *testing.T) {
	c := startCluster(t, true)
	first := c.owner("")
	c.run("0s double *>* 50%\n0s delay *>* 40ms 40ms\n0s mute n4>* 4s")
	for range 2 {
		c.run("0s kill " + first)
		second := c.owner(first)
		c.run("0s start " + first)
		first = second
	}
}

// A voter whose disk fails is silent and the others go on; without a majority that can persist votes there is no owner.
func TestVoterWithoutDisk(t *testing.T) {
	c := startCluster(t, true)
	c.owner("")
	movedFolder := func(name string) string { return c.StateDir(name) + ".away" }
	for _, name := range []string{"n1", "n2"} {
		if err := os.Rename(c.StateDir(name), movedFolder(name)); err != nil {
			t.Fatal(err)
		}
		if name == "n1" {
			c.owner("")
		}
	}
	if _, ok := c.WaitUntil(waitTimeout, func() bool { return c.worker.Owner(lease) == "" }); !ok {
		t.Error("owned without a majority that can persist its votes")
	}
	if err := os.Rename(movedFolder("n1"), c.StateDir("n1")); err != nil {
		t.Fatal(err)
	}
	c.owner("")
}

// The list of voters is changed by restarting one process after another, first with the old and the new list, then with
// the new list alone.
func TestVotersChanged(t *testing.T) {
	c := startCluster(t, false)
	c.owner("")
	for _, next := range []string{"n1 n2 n3 / n4 n2 n3", "n4 n2 n3"} {
		for _, name := range c.Names() {
			if err := c.EditSettings(name, func(settings string) string {
				return regexp.MustCompile(`(?m)^fleet.voters .*$`).ReplaceAllString(settings, "fleet.voters "+next)
			}); err != nil {
				t.Fatal(err)
			}
			c.run("0s restart " + name)
			// Waits for each process before restarting the next one: a voter without a folder is silent for one lease.
			from := time.Now().Add(lease)
			if _, ok := c.WaitUntil(waitTimeout, func() bool {
				commands := c.worker.Orders(from)
				return len(commands) > 3 && c.worker.Owner(lease) != ""
			}); !ok {
				t.Fatalf("no owner after %s was restarted with voters %s", name, next)
			}
		}
	}
	c.run("0s kill n1") // no longer a voter
	c.owner("n1")
}

// An owner that drains steps down at once, and the command line shows the owner of each role.
func TestDrainedOwner(t *testing.T) {
	c := startCluster(t, true)
	first := c.owner("")
	table, err := exec.Command(program, "fleet", "owners", "--socket", c.Socket(first)).CombinedOutput()
	if err != nil || !strings.Contains(string(table), first+" (this one)") || !strings.Contains(string(table), "\no ") {
		t.Errorf("%v: %s", err, table)
	}
	// The other processes learn the owner's name from rejected campaigns.
	for _, name := range c.Names() {
		if name == first {
			continue
		}
		if _, ok := c.WaitUntil(waitTimeout, func() bool {
			table, err = exec.Command(program, "fleet", "owners", "--socket", c.Socket(name)).CombinedOutput()
			return err == nil && strings.Contains(string(table), first)
		}); !ok {
			t.Errorf("%s does not know the owner: %v %s", name, err, table)
		}
	}
	c.run("0s notice " + first)
	c.owner(first)
}
