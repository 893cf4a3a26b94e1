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

func TestMain(m *testing.M) { rig.Main(m, &program) }

const lease, wait = 1500 * time.Millisecond, 40 * time.Second

// court is four processes of the program, three of which vote, that all campaign for one role, and the worker that takes its
// owner's orders.
type court struct {
	*rig.Cluster
	t      *testing.T
	worker *rig.Worker
}

func startCluster(t *testing.T, folders bool) *court {
	t.Helper()
	t.Parallel()
	worker, err := rig.NewWorker(true, rig.NewHistory())
	if err != nil {
		t.Fatal(err)
	}
	var keep []string
	if folders {
		keep = []string{"n1", "n2", "n3"}
	}
	s, err := rig.NewCluster(rig.Plan{Program: program, Names: []string{"n1", "n2", "n3", "n4"}, Slack: time.Second, Seed: 1, Folders: keep,
		Laws: []string{"fleet.voters n1 n2 n3", "fleet.lease " + lease.String(), "fleet.office o " + worker.Address() + " 10ms"},
		Site: rig.Site{Cores: 1, MemoryMB: 64, Sockets: 256, Stop: 2 * time.Second, Grace: time.Second, Callers: 1,
			Methods: []rig.SiteMethod{{Name: "lookup", Kind: string(rpc.Idempotent), Target: 0.5, Deadline: 1, Criticality: 1}}}})
	if err != nil {
		t.Fatal(err)
	}
	c := &court{s, t, worker}
	t.Cleanup(func() {
		j := rig.NewVerdict(worker.Orders(time.Time{}), lease)
		if j.AtOnce > 1 || j.LateEffects+j.FallingTerms+j.SharedTerms > 0 {
			t.Errorf("%v", j)
		}
		if o := rig.Overlap(s.History.LeadershipIntervals()); o > 0 {
			t.Errorf("two worked as owners at the same time for %g s", o)
		}
		s.Check.Finish()
		for _, b := range s.Check.Violations() {
			t.Error(b)
		}
		if t.Failed() {
			for _, name := range s.Names() {
				lines := strings.Split(s.Node(name).Log(), "\n")
				t.Logf("%s: %s", name, strings.Join(lines[max(0, len(lines)-12):], "\n"))
			}
		}
		s.Close()
		worker.Close()
	})
	return c
}

func (c *court) run(script string) {
	c.t.Helper()
	if err := c.Run(script); err != nil {
		c.t.Fatal(err)
	}
}

// owner waits for one whose orders have their effects, and who is not a given one.
func (c *court) owner(not string) string {
	c.t.Helper()
	who := ""
	if _, ok := c.Until(wait, func() bool { who = c.worker.Owner(200 * time.Millisecond); return who != "" && who != not }); !ok {
		c.t.Fatalf("nobody but %q owns it", not)
	}
	return who
}

// The owner is killed, another takes over; all are started again, with what they voted and without, and terms go on.
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
			if _, ok := c.Until(wait, func() bool { return len(c.worker.Orders(time.Time{})) > before+9 }); !ok {
				t.Fatal("nobody owns it any more")
			}
			if all := c.worker.Orders(time.Time{}); all[len(all)-1].Term <= all[before-1].Term {
				t.Errorf("term %d after %d", all[len(all)-1].Term, all[before-1].Term)
			}
		})
	}
}

// One that is stopped past its lease and continued has no effect any more: whatever it had in its hands is refused, or never
// sent, and it steps down.
func TestSleptOwner(t *testing.T) {
	c := startCluster(t, true)
	for range 2 {
		sleeper := c.owner("")
		from := c.History.Now()
		c.run("0s stop " + sleeper)
		c.owner(sleeper)
		c.run("0s cont " + sleeper)
		if _, ok := c.Until(wait, func() bool { n, _ := c.History.Lines(sleeper, "stepped down", from); return n > 0 }); !ok {
			t.Errorf("%s does not step down", sleeper)
		}
	}
}

// Cut off with no majority, or deaf, an owner steps down by itself; the others have one, and whoever is back does not disturb it.
func TestCutOwner(t *testing.T) {
	c := startCluster(t, true)
	first := c.owner("")
	c.run("0s cut *>" + first) // it speaks, and does not hear
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
	if j := rig.NewVerdict(c.worker.Orders(from), time.Minute); j.Changes > 0 || c.worker.Owner(lease) != third {
		t.Errorf("%s gave way to one that came back: %v", third, j)
	}
}

// Messages are doubled, and those of one that does not vote come over several terms too late: none of that brings about two owners, or keeps the fleet
// without one for long.
func TestLateMessages(t *testing.T) {
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

// A voter whose disk fails is silent, and the others go on; without a majority that keeps its votes nobody owns anything.
func TestVoterWithoutDisk(t *testing.T) {
	c := startCluster(t, true)
	c.owner("")
	away := func(name string) string { return c.Folder(name) + ".away" }
	for _, name := range []string{"n1", "n2"} {
		if err := os.Rename(c.Folder(name), away(name)); err != nil {
			t.Fatal(err)
		}
		if name == "n1" {
			c.owner("")
		}
	}
	if _, ok := c.Until(wait, func() bool { return c.worker.Owner(lease) == "" }); !ok {
		t.Error("owned without a majority that can persist its votes")
	}
	if err := os.Rename(away("n1"), c.Folder("n1")); err != nil {
		t.Fatal(err)
	}
	c.owner("")
}

// The voters are changed one process after another: first all know both lists, then the next one alone.
func TestVotersChanged(t *testing.T) {
	c := startCluster(t, false)
	c.owner("")
	for _, next := range []string{"n1 n2 n3 / n4 n2 n3", "n4 n2 n3"} {
		for _, name := range c.Names() {
			if err := c.Amend(name, func(laws string) string {
				return regexp.MustCompile(`(?m)^fleet.voters .*$`).ReplaceAllString(laws, "fleet.voters "+next)
			}); err != nil {
				t.Fatal(err)
			}
			c.run("0s restart " + name)
			// Each is let come to its senses before the next one: without a folder it is silent for a lease.
			from := time.Now().Add(lease)
			if _, ok := c.Until(wait, func() bool {
				commands := c.worker.Orders(from)
				return len(commands) > 3 && c.worker.Owner(lease) != ""
			}); !ok {
				t.Fatalf("nobody owns it after %s was told of %s", name, next)
			}
		}
	}
	c.run("0s kill n1") // it votes no more
	c.owner("n1")
}

// Whoever leaves steps down at once; operators are shown who owns what.
func TestDrainedOwner(t *testing.T) {
	c := startCluster(t, true)
	first := c.owner("")
	table, err := exec.Command(program, "fleet", "owners", "--socket", c.Socket(first)).CombinedOutput()
	if err != nil || !strings.Contains(string(table), first+" (this one)") || !strings.Contains(string(table), "\no ") {
		t.Errorf("%v: %s", err, table)
	}
	// The others learn whose it is as they are refused.
	for _, name := range c.Names() {
		if name == first {
			continue
		}
		if _, ok := c.Until(wait, func() bool {
			table, err = exec.Command(program, "fleet", "owners", "--socket", c.Socket(name)).CombinedOutput()
			return err == nil && strings.Contains(string(table), first)
		}); !ok {
			t.Errorf("%s does not know the owner: %v %s", name, err, table)
		}
	}
	c.run("0s notice " + first)
	c.owner(first)
}
