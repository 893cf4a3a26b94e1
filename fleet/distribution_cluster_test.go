package fleet_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"valveglade/fleet"
	"valveglade/logic/configtable"
	"valveglade/rig"
	"valveglade/rpc"
)

// The fleet of these tests: three voters, of which two are distributors, and three app servers that serve one service.
var (
	configVoters     = []string{"v1", "v2", "v3"}
	configAppServers = []string{"a1", "a2", "a3"}
)

const (
	servedService    = "billing"
	unservedService  = "search"
	configStaleAfter = 6 * time.Second
	healTimeout      = 60 * time.Second
)

// configCluster runs real processes that distribute configuration. One goroutine changes the configuration continually,
// another checks that equal versions have equal contents on all processes.
type configCluster struct {
	*rig.Cluster
	t          *testing.T
	done       chan struct{}
	background sync.WaitGroup

	mu           sync.Mutex
	acknowledged map[int]uint64 // version by number of the change
	unknown      map[int]bool
	rejected     map[int]bool
	nextChange   int
	digests      map[string]string // by part, version and term
	lastVersions map[string]uint64 // last version of each process since its start
	violations   []string
}

func newConfigCluster(t *testing.T) *configCluster {
	t.Helper()
	t.Parallel()
	names := append(append([]string{}, configVoters...), configAppServers...)
	s, err := rig.NewCluster(rig.ClusterConfig{Program: program, Names: names, Slack: time.Second, Seed: 1, WithStateDir: names,
		Settings: []string{"fleet.voters " + strings.Join(configVoters, " "), "fleet.lease " + lease.String(), "fleet.config on",
			"fleet.config-services " + servedService, "fleet.config-distributors v1 v2",
			"fleet.config-age " + configStaleAfter.String()},
		Site: rig.Site{Cores: 1, MemoryMB: 96, Sockets: 512, StopTimeout: 2 * time.Second, GracePeriod: time.Second, Callers: 1,
			Methods: []rig.SiteMethod{{Name: "lookup", Kind: string(rpc.Idempotent), LatencyTarget: 0.5,
				Deadline: 1, Criticality: 1}}}})
	if err != nil {
		t.Fatal(err)
	}
	c := &configCluster{Cluster: s, t: t, done: make(chan struct{}), acknowledged: map[int]uint64{},
		unknown: map[int]bool{}, rejected: map[int]bool{}, digests: map[string]string{}, lastVersions: map[string]uint64{}}
	t.Cleanup(c.close)
	c.waitAcknowledged(1)
	c.background.Go(c.applyChanges)
	c.background.Go(c.pollStatus)
	return c
}

func (c *configCluster) close() {
	c.stopBackground()
	c.Checker.Finish()
	for _, violation := range c.Checker.Violations() {
		c.t.Error(violation)
	}
	if c.t.Failed() {
		for _, name := range c.Names() {
			lines := strings.Split(c.Node(name).Log(), "\n")
			c.t.Logf("%s: %s", name, strings.Join(lines[max(0, len(lines)-15):], "\n"))
		}
	}
	c.Close()
}

// stopBackground stops the goroutines that change and check the configuration.
func (c *configCluster) stopBackground() {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.done:
		return
	default:
		close(c.done)
	}
	c.mu.Unlock()
	c.background.Wait()
	c.mu.Lock()
}

func (c *configCluster) socket(name string) string { return fleet.ConfigSocket(c.Socket(name)) }

// changeText returns change number k: a new entry, an entry that every change replaces, and one of a service that no
// app server of the cluster serves.
func changeText(k int) string {
	return fmt.Sprintf("put tenant t%d service=%s quota=%d\nput tenant last service=%s quota=%d\nput tenant t%d service=%s quota=%d\n",
		k, servedService, k, servedService, k, k, unservedService, k)
}

// applyChanges applies one change after the other, each through a running process. Every fifth has an invalid part.
func (c *configCluster) applyChanges() {
	for {
		select {
		case <-c.done:
			return
		case <-time.After(30 * time.Millisecond):
		}
		running := c.Running()
		if len(running) == 0 {
			continue
		}
		c.mu.Lock()
		changeNumber := c.nextChange
		c.nextChange++
		c.mu.Unlock()
		text := changeText(changeNumber)
		invalid := changeNumber%5 == 4
		if invalid {
			text += "put tenant broken service=billing quota=-1\n"
		}
		result, err := fleet.ApplyChanges(c.socket(running[changeNumber%len(running)]), "changes", []byte(text))
		c.recordOutcome(changeNumber, invalid, result, err)
	}
}

// recordOutcome records the outcome of a change, as far as it is known.
func (c *configCluster) recordOutcome(changeNumber int, invalid bool, result fleet.ApplyResult, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case invalid && err == nil && result.Error == "":
		c.violations = append(c.violations, fmt.Sprintf("the invalid change %d was acknowledged", changeNumber))
	case err == nil && result.Error == "":
		c.acknowledged[changeNumber] = result.Version
	case invalid || err == nil && strings.Contains(result.Error, "no leader"):
		c.rejected[changeNumber] = true
	default:
		c.unknown[changeNumber] = true
	}
}

// pollStatus polls the status of all processes. One version must have the same digest on all processes of one part, and
// no process may go back to an older version.
func (c *configCluster) pollStatus() {
	for {
		select {
		case <-c.done:
			return
		case <-time.After(50 * time.Millisecond):
		}
		for _, name := range c.Running() {
			if status, err := fleet.AskDistribution(c.socket(name)); err == nil {
				c.observe(name, status)
			}
		}
	}
}

func (c *configCluster) observe(name string, status fleet.DistributionStatus) {
	c.mu.Lock()
	defer c.mu.Unlock()
	position := fmt.Sprintf("%s at version %d of term %d", status.Part, status.Version, status.Term)
	if digest, ok := c.digests[position]; ok && digest != status.Digest {
		c.violations = append(c.violations, fmt.Sprintf("%s: %s has digest %s, another %s",
			position, name, status.Digest, digest))
	}
	c.digests[position] = status.Digest
	if status.Version < c.lastVersions[name] {
		c.violations = append(c.violations, fmt.Sprintf("%s went back from %d to %d",
			name, c.lastVersions[name], status.Version))
	}
	c.lastVersions[name] = status.Version
}

// runScript runs a script of faults. A restarted process may continue from an older version.
func (c *configCluster) runScript(script string) {
	c.t.Helper()
	c.History.AddEvent("", "note", script)
	err := c.RunScriptText(script)
	c.mu.Lock()
	for _, line := range strings.Split(script, "\n") {
		if words := strings.Fields(line); len(words) == 3 &&
			(words[1] == "kill" || words[1] == "start" || words[1] == "restart") {
			delete(c.lastVersions, words[2])
		}
	}
	c.mu.Unlock()
	if err != nil {
		c.t.Fatal(err)
	}
}

func (c *configCluster) acknowledgedCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.acknowledged)
}

// waitAcknowledged waits until more further changes are acknowledged. Before the first one it applies a change itself.
func (c *configCluster) waitAcknowledged(more int) {
	c.t.Helper()
	before := c.acknowledgedCount()
	if _, ok := c.WaitUntil(healTimeout, func() bool {
		if before == 0 {
			result, err := fleet.ApplyChanges(c.socket("a1"), "changes", []byte(changeText(0)))
			c.recordOutcome(0, false, result, err)
			c.mu.Lock()
			c.nextChange = 1
			delete(c.rejected, 0)
			c.mu.Unlock()
		}
		return c.acknowledgedCount() >= before+more
	}); !ok {
		c.t.Fatalf("timed out waiting for %d more acknowledged changes", more)
	}
}

func (c *configCluster) leader(except string) string {
	c.t.Helper()
	leader := ""
	if _, ok := c.WaitUntil(healTimeout, func() bool {
		for _, name := range configVoters {
			if status, err := fleet.AskDistribution(c.socket(name)); err == nil && status.Leads && name != except {
				leader = name
			}
		}
		return leader != ""
	}); !ok {
		c.t.Fatalf("no voter other than %q leads", except)
	}
	return leader
}

// healAndCheck heals all faults, stops the changes and checks the table of every process.
func (c *configCluster) healAndCheck() {
	c.t.Helper()
	c.runScript("0s heal")
	c.waitAcknowledged(3)
	c.stopBackground()
	c.waitFor("all processes have the same version, and none is stale", func() bool {
		versions, ages := map[uint64]bool{}, 0
		for _, name := range c.Names() {
			status, err := fleet.AskDistribution(c.socket(name))
			if err != nil || status.Stale || status.Age < 0 {
				return false
			}
			versions[status.Version] = true
			ages++
		}
		return len(versions) == 1 && ages == len(c.Names())
	})
	for k := range c.nextChange {
		c.checkChange(k)
	}
	c.checkLast()
	for _, violation := range c.violations {
		c.t.Error(violation)
	}
	c.t.Logf("%d changes acknowledged, %d rejected, %d of unknown outcome, %d versions compared",
		len(c.acknowledged), len(c.rejected), len(c.unknown), len(c.digests))
}

// checkChange checks that a change is on all processes if it was acknowledged, on none if it was rejected, and
// otherwise on all or none.
func (c *configCluster) checkChange(k int) {
	found := 0
	for _, name := range c.Names() {
		if c.lookup(name, servedService, fmt.Sprint("t", k)) == float64(k) {
			found++
		}
	}
	_, acknowledged := c.acknowledged[k]
	switch {
	case acknowledged && found != len(c.Names()):
		c.t.Errorf("change %d was acknowledged, but only %d of %d processes have it", k, found, len(c.Names()))
	case c.rejected[k] && found > 0:
		c.t.Errorf("change %d was rejected, but %d processes have it", k, found)
	case found > 0 && found != len(c.Names()):
		c.t.Errorf("change %d is on %d of %d processes", k, found, len(c.Names()))
	}
}

// checkLast checks the entry that every change replaces: the last change in log order is in force.
func (c *configCluster) checkLast() {
	newest := 0
	for k := range c.acknowledged {
		newest = max(newest, k)
	}
	for k, version := range c.acknowledged {
		if version > c.acknowledged[newest] {
			c.t.Errorf("change %d has version %d, the later change %d has %d", k, version, newest, c.acknowledged[newest])
		}
	}
	for _, name := range c.Names() {
		if last := c.lookup(name, servedService, "last"); last != float64(newest) && !c.unknown[int(last)] {
			c.t.Errorf("%s has change %g last, not %d", name, last, newest)
		}
	}
}

// lookup returns a tenant's quota on a process, or -1 if it has none.
func (c *configCluster) lookup(name, service, tenant string) float64 {
	c.t.Helper()
	result, err := fleet.LookupEntry(c.socket(name),
		fleet.EntryLookup{Kind: configtable.Tenant, Service: service, Name: tenant})
	if err != nil || result.Error != "" {
		c.t.Errorf("%s: lookup of %s: %v %s", name, tenant, err, result.Error)
		return -1
	}
	if !result.Found {
		return -1
	}
	changes, err := configtable.ParseChanges("", []byte(result.Entry))
	if err != nil {
		c.t.Errorf("%s returned the invalid entry %q: %v", name, result.Entry, err)
		return -1
	}
	return changes[0].Value.Tenant.QuotaPerSecond
}

func (c *configCluster) waitFor(description string, condition func() bool) {
	c.t.Helper()
	if _, ok := c.WaitUntil(healTimeout, condition); !ok {
		for _, name := range c.Names() {
			status, err := fleet.AskDistribution(c.socket(name))
			c.t.Logf("%s: %+v %v", name, status, err)
		}
		c.t.Fatalf("timed out after %v: %s", healTimeout, description)
	}
}

// The leader is killed repeatedly. Another voter takes over with all acknowledged changes.
func TestConfigLeaderKilled(t *testing.T) {
	c := newConfigCluster(t)
	for range 2 {
		first := c.leader("")
		c.waitAcknowledged(5)
		c.runScript("0s kill " + first)
		c.leader(first)
		c.waitAcknowledged(3)
		c.runScript("0s start " + first)
	}
	c.healAndCheck()
}

// The leader is paused past its lease and continued. Changes that it had in flight never override the log.
func TestConfigLeaderPaused(t *testing.T) {
	c := newConfigCluster(t)
	for range 2 {
		paused := c.leader("")
		c.waitAcknowledged(5)
		c.runScript("0s stop " + paused)
		c.leader(paused)
		c.waitAcknowledged(3)
		c.runScript("0s cont " + paused)
		c.waitFor("the paused process knows that it no longer leads", func() bool {
			status, err := fleet.AskDistribution(c.socket(paused))
			return err == nil && !status.Leads
		})
	}
	c.healAndCheck()
}

// One-way partitions: first the leader sends but receives nothing, then the next leader receives but sends nothing.
func TestConfigCutOneWay(t *testing.T) {
	c := newConfigCluster(t)
	first := c.leader("")
	c.waitAcknowledged(5)
	c.runScript("0s cut *>" + first)
	second := c.leader(first)
	c.waitAcknowledged(3)
	c.runScript("0s heal")
	c.waitAcknowledged(3)
	c.runScript("0s cut " + second + ">*")
	c.leader(second)
	c.waitAcknowledged(3)
	c.healAndCheck()
}

// The leader and an app server are partitioned from the majority. The app server reports a stale configuration, and
// catches up after the partition.
func TestConfigPartition(t *testing.T) {
	c := newConfigCluster(t)
	first := c.leader("")
	c.waitAcknowledged(5)
	majority := []string{}
	for _, name := range c.Names() {
		if name != first && name != "a1" {
			majority = append(majority, name)
		}
	}
	c.runScript("0s split " + first + ",a1|" + strings.Join(majority, ","))
	c.leader(first)
	c.waitFor("the partitioned app server is stale", func() bool {
		status, err := fleet.AskDistribution(c.socket("a1"))
		return err == nil && status.Stale && status.Age > configStaleAfter.Seconds()
	})
	c.waitFor("it logs once that its configuration is stale", func() bool {
		n, _ := c.History.CountEvents("a1", "configuration is stale", 0)
		return n == 1
	})
	c.healAndCheck()
	c.waitFor("it logs once that its configuration is no longer stale", func() bool {
		n, _ := c.History.CountEvents("a1", "configuration is no longer stale", 0)
		return n == 1
	})
}

// All processes are killed and restarted from their files. No acknowledged change is lost.
func TestConfigAllRestarted(t *testing.T) {
	c := newConfigCluster(t)
	c.waitAcknowledged(20)
	for _, name := range c.Names() {
		c.runScript("0s kill " + name)
	}
	for _, name := range c.Names() {
		c.runScript("0s start " + name)
	}
	c.healAndCheck()
}

// A tenth of all packets is lost, some are duplicated, and all are delayed.
func TestConfigLoss(t *testing.T) {
	c := newConfigCluster(t)
	c.runScript("0s loss *>* 10%\n0s double *>* 5%\n0s delay *>* 10ms 10ms")
	c.waitAcknowledged(40)
	first := c.leader("")
	c.runScript("0s kill " + first)
	c.leader(first)
	c.waitAcknowledged(20)
	c.runScript("0s start " + first)
	c.healAndCheck()
}

// A distributor is killed. Its subscribers move to the other one without taking a snapshot.
func TestConfigDistributorKilled(t *testing.T) {
	c := newConfigCluster(t)
	c.waitAcknowledged(5)
	c.waitFor("all app servers follow", func() bool {
		for _, name := range configAppServers {
			if status, err := fleet.AskDistribution(c.socket(name)); err != nil || status.State != "following" {
				return false
			}
		}
		return true
	})
	snapshotsBefore := c.snapshotsTaken()
	for _, distributor := range []string{"v1", "v2"} {
		c.runScript("0s kill " + distributor)
		other := map[string]string{"v1": "v2", "v2": "v1"}[distributor]
		c.waitFor("all app servers follow the other distributor", func() bool {
			for _, name := range configAppServers {
				if status, err := fleet.AskDistribution(c.socket(name)); err != nil ||
					status.Distributor != other || status.State != "following" {
					return false
				}
			}
			return true
		})
		c.runScript("0s start " + distributor)
		c.waitAcknowledged(3)
	}
	c.healAndCheck()
	if now := c.snapshotsTaken(); now != snapshotsBefore {
		t.Errorf("%d snapshots were taken, %d before the distributors were killed", now, snapshotsBefore)
	}
}

func (c *configCluster) snapshotsTaken() (taken uint64) {
	c.t.Helper()
	for _, name := range configAppServers {
		status, err := fleet.AskDistribution(c.socket(name))
		if err != nil {
			c.t.Fatal(err)
		}
		taken += status.SnapshotsTaken
	}
	return taken
}

// An app server continues from its local file after a restart and after a kill, without taking a snapshot.
func TestConfigRestartFromLocalFile(t *testing.T) {
	c := newConfigCluster(t)
	c.waitAcknowledged(10)
	c.waitFor("a1 has written its file", func() bool {
		_, err := os.Stat(filepath.Join(c.StateDir("a1"), "config-scope"))
		return err == nil
	})
	for _, end := range []string{"notice", "kill"} {
		c.runScript("0s " + end + " a1")
		c.waitFor("a1 has ended", func() bool { return !slices.Contains(c.Running(), "a1") })
		c.mu.Lock()
		delete(c.lastVersions, "a1")
		c.mu.Unlock()
		c.waitAcknowledged(5)
		c.runScript("0s start a1")
		c.waitAcknowledged(3)
	}
	c.healAndCheck()
	status, err := fleet.AskDistribution(c.socket("a1"))
	if err != nil || status.SnapshotsTaken != 0 {
		t.Errorf("a1 took %d snapshots after its restart, %v", status.SnapshotsTaken, err)
	}
	if n, _ := c.History.CountEvents("a1", "continuing from the local file", 0); n != 2 {
		t.Errorf("%d starts continued from the local file", n)
	}
}

// The leader's folder is replaced by an empty one, and the leader is paused past its lease. No acknowledged change is
// lost.
func TestConfigVoterWithoutFolder(t *testing.T) {
	c := newConfigCluster(t)
	first := c.leader("")
	c.waitAcknowledged(5)
	folder := c.StateDir(first)
	if err := os.Rename(folder, folder+".away"); err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(folder, 0o700); err != nil { // like the mount point of an unmounted disk
		t.Fatal(err)
	}
	c.runScript("0s stop " + first)
	c.leader(first)
	c.waitAcknowledged(3)
	c.runScript("0s cont " + first)
	c.waitAcknowledged(3)
	c.healAndCheck()
}

// The operators' commands: the error of an invalid file names file and line, and the file changes nothing. Versions are
// printed.
func TestConfigCommands(t *testing.T) {
	c := newConfigCluster(t)
	c.stopBackground()
	run := func(args ...string) (string, error) {
		out, err := exec.Command(program, append(append([]string{"fleet"}, args...),
			"--socket", c.Socket("a1"))...).CombinedOutput()
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
	c.waitFor("the change is on a1", func() bool { return c.lookup("a1", servedService, "other") == 6 })
	if c.lookup("a1", servedService, "good") != -1 {
		t.Error("a rejected file had an effect")
	}
	if out, err := run("lookup", "route", "search", "r"); err != nil ||
		!strings.Contains(out, "target=250ms") || !strings.Contains(out, "\nversion ") {
		t.Errorf("%v: %s", err, out)
	}
	if out, err := run("config"); err != nil || !strings.Contains(out, "app server") || strings.Contains(out, "STALE") {
		t.Errorf("%v: %s", err, out)
	}
	if out, err := run("config", "--json"); err != nil || !strings.Contains(out, `"version":`) {
		t.Errorf("%v: %s", err, out)
	}
}
