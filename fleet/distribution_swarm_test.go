package fleet_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"valveglade/fleet"
)

// The leader is killed again and again; another goes on with all that was acknowledged.
func TestConfigLeaderKilled(t *testing.T) {
	c := newConfigCluster(t)
	for range 2 {
		first := c.leader("")
		c.acknowledge(5)
		c.play("0s kill " + first)
		c.leader(first)
		c.acknowledge(3)
		c.play("0s start " + first)
	}
	c.settle()
}

// The leader is stopped past its lease and continued: what it still has in its hands is never in force against the log.
func TestConfigLeaderSlept(t *testing.T) {
	c := newConfigCluster(t)
	for range 2 {
		sleeper := c.leader("")
		c.acknowledge(5)
		c.play("0s stop " + sleeper)
		c.leader(sleeper)
		c.acknowledge(3)
		c.play("0s cont " + sleeper)
		c.wait("the sleeper knows that it no longer leads", func() bool {
			status, err := fleet.AskDistribution(c.socket(sleeper))
			return err == nil && !status.Leads
		})
	}
	c.settle()
}

// The leader speaks and does not hear, then all of a voter's words are lost, one way.
func TestConfigCutOneWay(t *testing.T) {
	c := newConfigCluster(t)
	first := c.leader("")
	c.acknowledge(5)
	c.play("0s cut *>" + first)
	second := c.leader(first)
	c.acknowledge(3)
	c.play("0s heal")
	c.acknowledge(3)
	c.play("0s cut " + second + ">*")
	c.leader(second)
	c.acknowledge(3)
	c.settle()
}

// The leader is on the small side of a cut with an app server: that one says that it is stale, and has all afterwards.
func TestConfigPartition(t *testing.T) {
	c := newConfigCluster(t)
	first := c.leader("")
	c.acknowledge(5)
	rest := []string{}
	for _, name := range c.Names() {
		if name != first && name != "a1" {
			rest = append(rest, name)
		}
	}
	c.play("0s split " + first + ",a1|" + strings.Join(rest, ","))
	c.leader(first)
	c.wait("the app server that was cut off is stale", func() bool {
		status, err := fleet.AskDistribution(c.socket("a1"))
		return err == nil && status.Stale && status.Age > configStale.Seconds()
	})
	c.wait("it says so, once", func() bool {
		n, _ := c.History.Lines("a1", "configuration is stale", 0)
		return n == 1
	})
	c.settle()
	c.wait("it says that it no longer is", func() bool {
		n, _ := c.History.Lines("a1", "configuration is no longer stale", 0)
		return n == 1
	})
}

// All processes are killed and started again with what is on their disks.
func TestConfigAllRestarted(t *testing.T) {
	c := newConfigCluster(t)
	c.acknowledge(20)
	for _, name := range c.Names() {
		c.play("0s kill " + name)
	}
	for _, name := range c.Names() {
		c.play("0s start " + name)
	}
	c.settle()
}

// A tenth of all packets is lost, and some come twice and late.
func TestConfigLoss(t *testing.T) {
	c := newConfigCluster(t)
	c.play("0s loss *>* 10%\n0s double *>* 5%\n0s delay *>* 10ms 10ms")
	c.acknowledge(40)
	first := c.leader("")
	c.play("0s kill " + first)
	c.leader(first)
	c.acknowledge(20)
	c.play("0s start " + first)
	c.settle()
}

// A distributor is killed: its subscribers go to the other one, and take no snapshot for it.
func TestConfigDistributorKilled(t *testing.T) {
	c := newConfigCluster(t)
	c.acknowledge(5)
	c.wait("all app servers follow", func() bool {
		for _, name := range configAppServers {
			if status, err := fleet.AskDistribution(c.socket(name)); err != nil || status.State != "following" {
				return false
			}
		}
		return true
	})
	taken := c.snapshotsTaken()
	for _, distributor := range []string{"v1", "v2"} {
		c.play("0s kill " + distributor)
		other := map[string]string{"v1": "v2", "v2": "v1"}[distributor]
		c.wait("all app servers are at the other one", func() bool {
			for _, name := range configAppServers {
				if status, err := fleet.AskDistribution(c.socket(name)); err != nil || status.Distributor != other || status.State != "following" {
					return false
				}
			}
			return true
		})
		c.play("0s start " + distributor)
		c.acknowledge(3)
	}
	c.settle()
	if now := c.snapshotsTaken(); now != taken {
		t.Errorf("%d snapshots were taken after %d", now, taken)
	}
}

// An app server goes on from its own file after a restart and after a kill: no snapshot is sent.
func TestConfigRestartFromOwnFile(t *testing.T) {
	c := newConfigCluster(t)
	c.acknowledge(10)
	c.wait("a1 has written its file", func() bool {
		_, err := os.Stat(filepath.Join(c.Folder("a1"), "config-scope"))
		return err == nil
	})
	for _, end := range []string{"notice", "kill"} {
		c.play("0s " + end + " a1")
		c.wait("a1 has ended", func() bool { return !slices.Contains(c.Running(), "a1") })
		c.mu.Lock()
		delete(c.versions, "a1")
		c.mu.Unlock()
		c.acknowledge(5)
		c.play("0s start a1")
		c.acknowledge(3)
	}
	c.settle()
	status, err := fleet.AskDistribution(c.socket("a1"))
	if err != nil || status.SnapshotsTaken != 0 {
		t.Errorf("a1 took %d snapshots after its restart, %v", status.SnapshotsTaken, err)
	}
	if n, _ := c.History.Lines("a1", "continues from its own file", 0); n != 2 {
		t.Errorf("%d starts from its own file", n)
	}
}

// An empty folder comes in the place of the leader's, which is stopped past its lease then: what was acknowledged stays.
func TestConfigVoterWithoutFolder(t *testing.T) {
	c := newConfigCluster(t)
	first := c.leader("")
	c.acknowledge(5)
	folder := c.Folder(first)
	if err := os.Rename(folder, folder+".away"); err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(folder, 0o700); err != nil { // as where a disk is no longer mounted
		t.Fatal(err)
	}
	c.play("0s stop " + first)
	c.leader(first)
	c.acknowledge(3)
	c.play("0s cont " + first)
	c.acknowledge(3)
	c.settle()
}

// The commands of operators: a faulty file is told with file and line and changes nothing; versions are printed.
func TestConfigCommands(t *testing.T) {
	c := newConfigCluster(t)
	c.endWork()
	run := func(args ...string) (string, error) {
		out, err := exec.Command(program, append(append([]string{"fleet"}, args...), "--socket", c.Socket("a1"))...).CombinedOutput()
		return string(out), err
	}
	file := filepath.Join(t.TempDir(), "changes")
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("put tenant good service=billing quota=5\n\n# note\nput tenant bad service=billing quota=-5\n")
	if out, err := run("apply", file); err == nil || !strings.Contains(out, file+":4: bad: ") {
		t.Errorf("%v: %s", err, out)
	}
	write("put tenant good service=billing quota=5\ndelete tenant absent service=billing\n")
	if out, err := run("apply", file); err == nil || !strings.Contains(out, file+":2: absent: ") {
		t.Errorf("%v: %s", err, out)
	}
	write("put tenant other service=billing quota=6\nput route r service=search method=m target=250ms deadline=1s criticality=0.5\n")
	if out, err := run("apply", file); err != nil || !strings.HasPrefix(out, "version ") {
		t.Errorf("%v: %s", err, out)
	}
	c.wait("the change is at a1", func() bool { return c.lookup("a1", servedService, "other") == 6 })
	if c.lookup("a1", servedService, "good") != -1 {
		t.Error("a refused file had an effect")
	}
	if out, err := run("lookup", "route", "search", "r"); err != nil || !strings.Contains(out, "target=250ms") || !strings.Contains(out, "\nversion ") {
		t.Errorf("%v: %s", err, out)
	}
	if out, err := run("config"); err != nil || !strings.Contains(out, "app server") || strings.Contains(out, "STALE") {
		t.Errorf("%v: %s", err, out)
	}
	if out, err := run("config", "--json"); err != nil || !strings.Contains(out, `"version":`) {
		t.Errorf("%v: %s", err, out)
	}
}
