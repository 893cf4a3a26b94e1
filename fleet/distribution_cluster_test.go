package fleet_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"valveglade/fleet"
	"valveglade/logic/configtable"
	"valveglade/rig"
	"valveglade/rpc"
)

// Who is in the fleet of these tests: three voters, of which two distribute, and three app servers that serve one service.
var (
	configVoters     = []string{"v1", "v2", "v3"}
	configAppServers = []string{"a1", "a2", "a3"}
)

const (
	servedService   = "billing"
	unservedService = "search"
	configStale     = 6 * time.Second
	healPatience    = 60 * time.Second
)

// configCluster is real processes that distribute configuration, somebody who changes it all the time, and somebody who watches
// that versions mean the same everywhere.
type configCluster struct {
	*rig.Swarm
	t    *testing.T
	stop chan struct{}
	both sync.WaitGroup

	mu           sync.Mutex
	acknowledged map[int]uint64 // number of the change, and its version
	unknown      map[int]bool
	refused      map[int]bool
	next         int
	digests      map[string]string // by part and version
	versions     map[string]uint64 // the last one of each process, since its start
	violations   []string
}

func newConfigCluster(t *testing.T) *configCluster {
	t.Helper()
	t.Parallel()
	names := append(append([]string{}, configVoters...), configAppServers...)
	s, err := rig.NewSwarm(rig.Plan{Program: program, Names: names, Slack: time.Second, Seed: 1, Folders: names,
		Laws: []string{"fleet.voters " + strings.Join(configVoters, " "), "fleet.lease " + lease.String(), "fleet.config on",
			"fleet.config-services " + servedService, "fleet.config-distributors v1 v2", "fleet.config-age " + configStale.String()},
		Site: rig.Site{Cores: 1, MemoryMB: 96, Sockets: 512, Stop: 2 * time.Second, Grace: time.Second, Callers: 1,
			Methods: []rig.SiteMethod{{Name: "lookup", Kind: string(rpc.Idempotent), Target: 0.5, Deadline: 1, Criticality: 1}}}})
	if err != nil {
		t.Fatal(err)
	}
	c := &configCluster{Swarm: s, t: t, stop: make(chan struct{}), acknowledged: map[int]uint64{}, unknown: map[int]bool{},
		refused: map[int]bool{}, digests: map[string]string{}, versions: map[string]uint64{}}
	t.Cleanup(c.close)
	c.acknowledge(1)
	c.both.Go(c.change)
	c.both.Go(c.watch)
	return c
}

func (c *configCluster) close() {
	c.endWork()
	c.Check.Finish()
	for _, violation := range c.Check.Breaches() {
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

// endWork ends who changes and who watches.
func (c *configCluster) endWork() {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.stop:
		return
	default:
		close(c.stop)
	}
	c.mu.Unlock()
	c.both.Wait()
	c.mu.Lock()
}

func (c *configCluster) socket(name string) string { return fleet.ConfigSocket(c.Socket(name)) }

// changeText is change number k: an entry of its own, one that every change replaces, and one of a service that nobody here serves.
func changeText(k int) string {
	return fmt.Sprintf("put tenant t%d service=%s quota=%d\nput tenant last service=%s quota=%d\nput tenant t%d service=%s quota=%d\n",
		k, servedService, k, servedService, k, k, unservedService, k)
}

// change applies one change after the other through any process that runs; every fifth has a fault.
func (c *configCluster) change() {
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(30 * time.Millisecond):
		}
		running := c.Running()
		if len(running) == 0 {
			continue
		}
		c.mu.Lock()
		k := c.next
		c.next++
		c.mu.Unlock()
		text := changeText(k)
		faulty := k%5 == 4
		if faulty {
			text += "put tenant broken service=billing quota=-1\n"
		}
		result, err := fleet.ApplyChanges(c.socket(running[k%len(running)]), "changes", []byte(text))
		c.note(k, faulty, result, err)
	}
}

// note writes down what became of a change, as far as that was told.
func (c *configCluster) note(k int, faulty bool, result fleet.ApplyResult, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case faulty && err == nil && result.Error == "":
		c.violations = append(c.violations, fmt.Sprintf("the faulty change %d was acknowledged", k))
	case err == nil && result.Error == "":
		c.acknowledged[k] = result.Version
	case faulty || err == nil && strings.Contains(result.Error, "no leader"):
		c.refused[k] = true
	default:
		c.unknown[k] = true
	}
}

// watch asks all processes where they are: one version is the same for all of one part, and nobody goes back.
func (c *configCluster) watch() {
	for {
		select {
		case <-c.stop:
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
	at := fmt.Sprintf("%s at version %d of term %d", status.Part, status.Version, status.Term)
	if digest, ok := c.digests[at]; ok && digest != status.Digest {
		c.violations = append(c.violations, fmt.Sprintf("%s: %s has digest %s, another %s", at, name, status.Digest, digest))
	}
	c.digests[at] = status.Digest
	if status.Version < c.versions[name] {
		c.violations = append(c.violations, fmt.Sprintf("%s went back from %d to %d", name, c.versions[name], status.Version))
	}
	c.versions[name] = status.Version
}

// play does a script; a process that is started again may begin from an older version.
func (c *configCluster) play(script string) {
	c.t.Helper()
	c.History.Add("", "note", script)
	err := c.Run(script)
	c.mu.Lock()
	for _, line := range strings.Split(script, "\n") {
		if words := strings.Fields(line); len(words) == 3 && (words[1] == "kill" || words[1] == "start" || words[1] == "restart") {
			delete(c.versions, words[2])
		}
	}
	c.mu.Unlock()
	if err != nil {
		c.t.Fatal(err)
	}
}

func (c *configCluster) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.acknowledged)
}

// acknowledge waits until so many more changes were acknowledged; before the changer runs it applies one itself.
func (c *configCluster) acknowledge(more int) {
	c.t.Helper()
	before := c.count()
	if _, ok := c.Until(healPatience, func() bool {
		if before == 0 {
			result, err := fleet.ApplyChanges(c.socket("a1"), "changes", []byte(changeText(0)))
			c.note(0, false, result, err)
			c.mu.Lock()
			c.next = 1
			delete(c.refused, 0)
			c.mu.Unlock()
		}
		return c.count() >= before+more
	}); !ok {
		c.t.Fatalf("no %d more changes are acknowledged", more)
	}
}

func (c *configCluster) leader(not string) string {
	c.t.Helper()
	leader := ""
	if _, ok := c.Until(healPatience, func() bool {
		for _, name := range configVoters {
			if status, err := fleet.AskDistribution(c.socket(name)); err == nil && status.Leads && name != not {
				leader = name
			}
		}
		return leader != ""
	}); !ok {
		c.t.Fatalf("nobody but %q leads", not)
	}
	return leader
}

// settle heals all, ends the changes, and checks what every process has.
func (c *configCluster) settle() {
	c.t.Helper()
	c.play("0s heal")
	c.acknowledge(3)
	c.endWork()
	c.wait("all are of the leader's version, and none is stale", func() bool {
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
	for k := range c.next {
		c.checkChange(k)
	}
	c.checkLast()
	for _, violation := range c.violations {
		c.t.Error(violation)
	}
	c.t.Logf("%d changes acknowledged, %d refused, %d of unknown outcome, %d versions compared", len(c.acknowledged), len(c.refused),
		len(c.unknown), len(c.digests))
}

// checkChange checks that a change is everywhere if it was acknowledged, nowhere if it was refused, and one of both otherwise.
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
		c.t.Errorf("change %d was acknowledged, and %d of %d have it", k, found, len(c.Names()))
	case c.refused[k] && found > 0:
		c.t.Errorf("change %d was refused, and %d have it", k, found)
	case found > 0 && found != len(c.Names()):
		c.t.Errorf("change %d is at %d of %d", k, found, len(c.Names()))
	}
}

// checkLast checks the entry that every change replaces: the last one in the order of the log is in force.
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

// lookup gives a tenant's quota as a process has it, -1 if it has none.
func (c *configCluster) lookup(name, service, tenant string) float64 {
	c.t.Helper()
	result, err := fleet.LookupEntry(c.socket(name), fleet.EntryLookup{Kind: configtable.Tenant, Service: service, Name: tenant})
	if err != nil || result.Error != "" {
		c.t.Errorf("%s does not tell of %s: %v %s", name, tenant, err, result.Error)
		return -1
	}
	if !result.Found {
		return -1
	}
	changes, err := configtable.ParseChanges("", []byte(result.Entry))
	if err != nil {
		c.t.Errorf("%s told %q: %v", name, result.Entry, err)
		return -1
	}
	return changes[0].Value.Tenant.QuotaPerSecond
}

func (c *configCluster) wait(what string, holds func() bool) {
	c.t.Helper()
	if _, ok := c.Until(healPatience, holds); !ok {
		for _, name := range c.Names() {
			status, err := fleet.AskDistribution(c.socket(name))
			c.t.Logf("%s: %+v %v", name, status, err)
		}
		c.t.Fatalf("not within %v: %s", healPatience, what)
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
