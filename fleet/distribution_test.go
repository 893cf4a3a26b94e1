package fleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"valveglade/logic/configlog"
	"valveglade/logic/configtable"
	"valveglade/logic/owner"
	"valveglade/logic/view"
	"valveglade/member"
)

const distributionTimeout = 30 * time.Second

// configNode is one app server of a test fleet, run in this process over loopback sockets.
type configNode struct {
	name    string
	address netip.AddrPort
	folder  string
	cfg     DistributionConfig
	member  *member.Member
	*Distribution
	stop func()
}

// configFleet is a fleet of three voters and some app servers.
type configFleet struct {
	t     *testing.T
	nodes map[string]*configNode
	seeds []netip.AddrPort
}

var configVoters = []string{"v1", "v2", "v3"}

// newConfigFleet starts voters, and app servers that serve the given services.
func newConfigFleet(t *testing.T, appServers map[string][]string) *configFleet {
	t.Helper()
	t.Parallel()
	f := &configFleet{t: t, nodes: map[string]*configNode{}}
	for _, name := range configVoters {
		f.add(name, DistributionConfig{})
	}
	for name, services := range appServers {
		f.add(name, DistributionConfig{Services: services})
	}
	t.Cleanup(func() {
		for _, n := range f.nodes {
			n.stop()
		}
	})
	return f
}

func (f *configFleet) add(name string, cfg DistributionConfig) {
	cfg.Name, cfg.Voters, cfg.Folder = name, [][]string{configVoters}, f.t.TempDir()
	cfg.BytesPerSecond, cfg.StaleAfter = 1<<20, 6
	n := &configNode{name: name, cfg: cfg, folder: cfg.Folder, address: netip.AddrPortFrom(loopbackHost(), 0)}
	f.nodes[name] = n
	f.start(name)
}

// loopbackHost returns a random loopback address other than 127.0.0.1, so that sockets opened elsewhere with port 0 cannot
// take the port of a stopped node.
func loopbackHost() netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(1 + rand.IntN(254)), byte(rand.IntN(256)), byte(1 + rand.IntN(254))})
}

// start runs a node, after a stop at its previous address.
func (f *configFleet) start(name string) {
	f.t.Helper()
	n := f.nodes[name]
	m, err := member.New(member.Config{Name: name, Listen: n.address, Join: f.seeds,
		Allow: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")}, ProbeInterval: 200 * time.Millisecond,
		MaxIncomingStreams: 64, View: view.Defaults()}, zap.NewNop())
	if err != nil {
		f.t.Fatal(err)
	}
	n.member, n.address = m, m.Address()
	f.seeds = append(f.seeds, n.address)
	fleet, err := New(Config{Name: name, Voters: n.cfg.Voters, Folder: n.folder,
		Timing: owner.Timing{Lease: 1, Drift: 0.01, Margin: 0.1}}, m, zap.NewNop())
	if err != nil {
		f.t.Fatal(err)
	}
	if n.Distribution, err = fleet.Distribute(n.cfg, m); err != nil {
		f.t.Fatal(err)
	}
	m.HandleStreams(n.ServeStream)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { m.Run(ctx) })
	group.Go(func() { fleet.Run(ctx) })
	group.Go(func() { n.Distribution.Run(ctx) })
	n.stop = sync.OnceFunc(func() { cancel(); group.Wait() })
}

// apply commits a text of changes through a node, and retries while there is no leader.
func (f *configFleet) apply(through, text string) uint64 {
	f.t.Helper()
	var lastErr error
	for deadline := time.Now().Add(distributionTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		version, err := f.nodes[through].apply(context.Background(), applyRequest{Path: "changes", Text: []byte(text)})
		if err == nil {
			return version.Index
		}
		lastErr = err
	}
	f.t.Fatalf("not applied: %v", lastErr)
	return 0
}

// waitFor waits until a condition holds.
func (f *configFleet) waitFor(description string, condition func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(distributionTimeout); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			for name, n := range f.nodes {
				f.t.Logf("%s: %+v", name, n.Status())
			}
			f.t.Fatalf("timed out after %v: %s", distributionTimeout, description)
		}
	}
}

func (f *configFleet) quota(node, service, tenant string) float64 {
	value, ok := f.nodes[node].Distribution.Table().Table.Tenant(service, tenant)
	if !ok {
		return -1
	}
	return value.QuotaPerSecond
}

func putTenant(service, tenant string, quota int) string {
	return fmt.Sprintf("put tenant %s service=%s quota=%d\n", tenant, service, quota)
}

func TestDistributionReachesServingServers(t *testing.T) {
	f := newConfigFleet(t, map[string][]string{"a1": {"billing"}, "a2": {"search"}})
	version := f.apply("a1", putTenant("billing", "acme", 7)+putTenant("search", "acme", 9))
	f.waitFor("both app servers have the entries of their services", func() bool {
		return f.quota("a1", "billing", "acme") == 7 && f.quota("a2", "search", "acme") == 9
	})
	if f.quota("a1", "search", "acme") != -1 {
		t.Error("an app server has an entry of a service that it does not serve")
	}
	f.waitFor("all nodes have the version", func() bool {
		for _, n := range f.nodes {
			if s := n.Status(); s.Version < version || s.Stale {
				return false
			}
		}
		return true
	})
	ctx, cancel := context.WithTimeout(context.Background(), distributionTimeout)
	defer cancel()
	for range 2 {
		result, err := f.nodes["a1"].Lookup(ctx, configtable.Tenant, "search", "acme")
		if err != nil || !result.Found || result.Value.Tenant.QuotaPerSecond != 9 || result.Version.Index < version {
			t.Errorf("lookup: %+v, %v", result, err)
		}
	}
	if result, err := f.nodes["a1"].Lookup(ctx, configtable.Tenant, "search", "nobody"); err != nil || result.Found {
		t.Errorf("lookup of an absent entry: %+v, %v", result, err)
	}
}

// A set of changes with an invalid one anywhere changes nothing, and the error names file and line.
func TestInvalidChangesChangeNothing(t *testing.T) {
	f := newConfigFleet(t, map[string][]string{"a1": {"billing"}})
	f.apply("a1", putTenant("billing", "acme", 7))
	for _, test := range []struct{ text, fault string }{
		{putTenant("billing", "acme", 8) + "# a comment\n\nput tenant x service=billing quota=-1\n", "changes:4: x: "},
		{putTenant("billing", "acme", 8) + "\ndelete tenant absent service=billing\n", "changes:3: absent: "},
		{"nonsense\n", "changes:1: "},
		{"# nothing\n", "no change"},
		{strings.Repeat("#", MaxChangeText+1), "bytes are more than"},
	} {
		_, err := f.nodes["a1"].apply(context.Background(), applyRequest{Path: "changes", Text: []byte(test.text)})
		if err == nil || !strings.Contains(err.Error(), test.fault) {
			t.Errorf("%.60q: %v", test.text, err)
		}
	}
	f.apply("a1", putTenant("billing", "other", 1))
	f.waitFor("the next change is in force", func() bool { return f.quota("a1", "billing", "other") == 1 })
	if f.quota("a1", "billing", "acme") != 7 {
		t.Error("a rejected set of changes had an effect")
	}
}

// A restarted app server continues from its local file without a snapshot, but not if it now serves other services.
func TestRestartFromLocalFile(t *testing.T) {
	f := newConfigFleet(t, map[string][]string{"a1": {"billing"}})
	last := f.apply("a1", putTenant("billing", "acme", 7))
	f.waitFor("the change is in force", func() bool { return f.quota("a1", "billing", "acme") == 7 })
	f.nodes["a1"].stop()
	missed := f.apply("v1", putTenant("billing", "acme", 8))
	f.start("a1")
	f.waitFor("the change made during the restart is in force", func() bool {
		return f.quota("a1", "billing", "acme") == 8 && f.nodes["a1"].Status().Version >= missed
	})
	if s := f.nodes["a1"].Status(); s.SnapshotsTaken != 0 || s.Version < last {
		t.Errorf("restarted from its file: %+v", s)
	}
	f.nodes["a1"].stop()
	f.nodes["a1"].cfg.Services = []string{"search"}
	f.apply("v1", putTenant("search", "acme", 3))
	f.start("a1")
	f.waitFor("the other service is in force", func() bool { return f.quota("a1", "search", "acme") == 3 })
	if s := f.nodes["a1"].Status(); s.SnapshotsTaken != 1 || f.quota("a1", "billing", "acme") != -1 {
		t.Errorf("restarted for another service: %+v", s)
	}
}

// All voters stop and restart from their files: no committed change is lost, and a running app server needs no
// snapshot.
func TestAllVotersRestarted(t *testing.T) {
	f := newConfigFleet(t, map[string][]string{"a1": {"billing"}})
	for k := range 20 {
		f.apply("a1", putTenant("billing", fmt.Sprint("t", k), k))
	}
	f.waitFor("the app server has all changes", func() bool { return f.quota("a1", "billing", "t19") == 19 })
	snapshotsBefore := f.nodes["a1"].Status().SnapshotsTaken
	for _, name := range configVoters {
		f.nodes[name].stop()
	}
	f.waitFor("the app server reports a stale configuration", func() bool { return f.nodes["a1"].Status().Stale })
	for _, name := range configVoters {
		f.start(name)
	}
	f.apply("v1", putTenant("billing", "after", 1))
	f.waitFor("all nodes have all changes", func() bool {
		for name := range f.nodes {
			for k := range 20 {
				if f.quota(name, "billing", fmt.Sprint("t", k)) != float64(k) {
					return false
				}
			}
			if f.quota(name, "billing", "after") != 1 || f.nodes[name].Status().Stale {
				return false
			}
		}
		return true
	})
	if s := f.nodes["a1"].Status(); s.SnapshotsTaken != snapshotsBefore {
		t.Errorf("an app server that kept running took %d snapshots after %d", s.SnapshotsTaken, snapshotsBefore)
	}
}

// A voter with a corrupt file stays out of the log until it has a snapshot of a later term, and then takes part again.
func TestVoterWithCorruptFile(t *testing.T) {
	f := newConfigFleet(t, nil)
	f.apply("v1", putTenant("billing", "acme", 7))
	f.waitFor("the change is on the last voter", func() bool { return f.quota("v3", "billing", "acme") == 7 })
	f.nodes["v3"].stop()
	corruptLogFiles(t, f.nodes["v3"].folder)
	f.start("v3")
	f.apply("v1", putTenant("billing", "acme", 8))
	f.apply("v1", putTenant("billing", "acme", 9))
	f.waitFor("the voter has all changes again", func() bool { return f.quota("v3", "billing", "acme") == 9 })
}

// corruptLogFiles changes a byte in the middle of each file of the log.
func corruptLogFiles(t *testing.T, folder string) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(folder, "*"))
	if err != nil {
		t.Fatal(err)
	}
	corrupted := 0
	for _, path := range files {
		text, err := os.ReadFile(path)
		if err != nil || len(text) < 40 || filepath.Base(path) == voteFileName {
			continue
		}
		text[len(text)/2] ^= 0x55
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		corrupted++
	}
	if corrupted == 0 {
		t.Fatal("no file to corrupt")
	}
}

// A stream with a malformed or unexpected message is closed and counted, and affects no other stream.
func TestForeignStreams(t *testing.T) {
	f := newConfigFleet(t, map[string][]string{"a1": {"billing"}})
	f.apply("v1", putTenant("billing", "acme", 7))
	before := f.nodes["v1"].counts.malformedFrames.Load()
	subscribe := encodeFrame(configlog.Subscribe{Stream: 1, All: true})
	for _, frames := range [][][]byte{{[]byte("nonsense")}, {{}}, {encodeFrame(configlog.Delta{})},
		{subscribe, []byte("nonsense")}, {subscribe, encodeFrame(applyReply{})}} {
		stream, err := f.nodes["a1"].member.OpenStream(context.Background(), "v1")
		if err != nil {
			t.Fatal(err)
		}
		for _, frame := range frames {
			if err := stream.WriteFrame(frame, time.Second); err != nil {
				t.Fatal(err)
			}
		}
		for err == nil { // read the frames sent before the stream is closed
			_, err = stream.ReadFrame(distributionTimeout)
		}
		stream.Close()
	}
	f.waitFor("each malformed stream is counted", func() bool {
		return f.nodes["v1"].counts.malformedFrames.Load() == before+5
	})
	f.apply("v1", putTenant("billing", "acme", 8))
	f.waitFor("the next change is in force", func() bool { return f.quota("a1", "billing", "acme") == 8 })
}

func TestApplyWithoutLeader(t *testing.T) {
	f := newConfigFleet(t, nil)
	f.apply("v1", putTenant("billing", "acme", 7))
	f.nodes["v2"].stop()
	f.nodes["v3"].stop()
	f.waitFor("no voter leads", func() bool { return !f.nodes["v1"].Status().Leads })
	ctx, cancel := context.WithTimeout(context.Background(), distributionTimeout)
	defer cancel()
	if _, err := f.nodes["v1"].apply(ctx, applyRequest{
		Path: "changes", Text: []byte(putTenant("billing", "acme", 8)),
	}); err == nil {
		t.Error("a change was committed without a majority")
	} else if errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("no reply: %v", err)
	}
}

func TestChangeLine(t *testing.T) {
	for number, line := range []int{2, 5} {
		if got := changeLine([]byte("# a\nput x\n\n  # b\nput y\n"), number); got != line {
			t.Errorf("change %d is in line %d, not %d", number, line, got)
		}
	}
}
