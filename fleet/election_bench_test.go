package fleet

import (
	"fmt"
	"io"
	"log"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	hraft "github.com/hashicorp/raft"
	eraft "go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"valveglade/logic/owner"
)

// BenchmarkElection compares implementations of leader election: the one of this package, etcd's raft and HashiCorp's
// raft. Each has five nodes in this process without a disk, detects a dead owner after a second and sends heartbeats
// every quarter of a second. The first two run message by message on a simulated clock, the third in real time on its
// own goroutines over its in-memory transport. docs/owner.md has the results.
func BenchmarkElection(b *testing.B) {
	for _, impl := range []struct {
		name       string
		run        func(b *testing.B) benchResult
		importPath string
		code       string // uses the package, so that it is linked
	}{
		{"own", benchOwn, "valveglade/fleet",
			`f, _ := fleet.New(fleet.Config{}, m, zap.NewNop()); f.Campaign("o", nil); f.Run(context.Background())`},
		{"etcd", benchEtcd, "go.etcd.io/raft/v3",
			`n, _ := raft.NewRawNode(&raft.Config{Storage: raft.NewMemoryStorage()}); n.Tick(); n.Step(nil); n.Advance(n.Ready())`},
		{"hashicorp", benchHashicorp, "github.com/hashicorp/raft",
			`t, _ := raft.NewTCPTransport("", nil, 3, 0, os.Stderr); r, _ := raft.NewRaft(nil, nil, nil, nil, nil, t); r.Apply(nil, 0)`},
	} {
		b.Run(impl.name, func(b *testing.B) {
			for range b.N {
				result := impl.run(b)
				b.ReportMetric(result.messageRate, "messages/s")
				b.ReportMetric(result.minFailover, "least-s")
				b.ReportMetric(result.maxFailover, "most-s")
				b.ReportMetric(result.heap/1e3, "heap-kB/node")
				b.ReportMetric(binaryKB(b, impl.importPath, impl.code)-
					binaryKB(b, "math", "_ = math.Pi"), "binary-kB")
			}
		})
	}
}

// benchResult is the cost of an implementation while the owner stays, and its times to a new owner after the owner
// failed.
type benchResult struct {
	messageRate float64 // messages per second of all nodes
	minFailover float64 // seconds
	maxFailover float64 // seconds
	heap        float64 // bytes per node
}

const failoverCount = 10 // measured per implementation

// timeFailovers fails the owner repeatedly and records the shortest and the longest time to a new owner; failOwner
// returns that time in seconds.
func (w *benchResult) timeFailovers(failOwner func(k int) float64) {
	w.minFailover = 1e9
	for k := range failoverCount {
		seconds := failOwner(k)
		w.minFailover, w.maxFailover = min(w.minFailover, seconds), max(w.maxFailover, seconds)
	}
}

// heapGrowth returns by how many bytes f grows the live heap.
func heapGrowth(f func()) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	f()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

func benchOwn(b *testing.B) (result benchResult) {
	names := []string{"a", "b", "c", "d", "e"}
	timing := owner.Timing{Lease: 1, Drift: 0.01, Margin: 0.1}
	voters := map[string]*owner.Voter{}
	candidates := map[string]*owner.Candidate{}
	result.heap = heapGrowth(func() {
		for k, name := range names {
			voters[name] = owner.NewVoter(name, nil, true, 1, 0, timing)
			candidates[name] = owner.NewCandidate(owner.Incarnation{Name: name, ID: 1}, "o", [][]string{names},
				uint64(k), 0, timing)
			candidates[name].SetCampaigning(true, 0)
		}
	}) / 5
	now, sent, dead := 0.0, 0, ""
	runUntil := func(done func() bool) float64 {
		start := now
		for ; !done(); now += 0.005 {
			for _, name := range names {
				if name == dead {
					continue
				}
				candidates[name].Tick(now)
				for _, m := range candidates[name].Ready() {
					if m.To == dead {
						continue
					}
					for _, answer := range voters[m.To].HandleMessage(m, now) {
						sent += 2
						if answer.To != dead {
							candidates[answer.To].HandleAnswer(answer, now)
						}
					}
				}
			}
		}
		return now - start
	}
	ownerExcept := func(except string) string {
		for _, name := range names {
			if _, _, ok := candidates[name].Owns(now); ok && name != except {
				return name
			}
		}
		return ""
	}
	runUntil(func() bool { return ownerExcept("") != "" })
	sent = 0
	result.messageRate = 1 / runUntil(func() bool { return now > 62 }) * float64(sent)
	result.timeFailovers(func(k int) float64 {
		now += float64(k) * 0.037
		dead = ownerExcept("")
		took := runUntil(func() bool { return ownerExcept(dead) != "" })
		end := now + 2
		dead = ""
		runUntil(func() bool { return now > end })
		return took
	})
	return result
}

func benchEtcd(b *testing.B) (result benchResult) {
	quiet := &eraft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}
	stores, nodes := map[uint64]*eraft.MemoryStorage{}, map[uint64]*eraft.RawNode{}
	var dead uint64
	result.heap = heapGrowth(func() {
		for id := uint64(1); id <= 5; id++ {
			storage := eraft.NewMemoryStorage()
			storage.ApplySnapshot(&raftpb.Snapshot{Metadata: &raftpb.SnapshotMetadata{Index: new(uint64(1)),
				Term:      new(uint64(1)),
				ConfState: &raftpb.ConfState{Voters: []uint64{1, 2, 3, 4, 5}}}})
			node, err := eraft.NewRawNode(&eraft.Config{ID: id, ElectionTick: 20, HeartbeatTick: 5,
				Storage: storage, MaxSizePerMsg: 4096,
				MaxInflightMsgs: 16, PreVote: true, CheckQuorum: true, Logger: quiet})
			if err != nil {
				b.Fatal(err)
			}
			stores[id], nodes[id] = storage, node
		}
	}) / 5
	now, sent := 0.0, 0
	runUntil := func(done func() bool) float64 {
		start := now
		for ; !done(); now += 0.05 { // one tick; an election timeout is 20 ticks
			for id := uint64(1); id <= 5; id++ {
				if id != dead {
					nodes[id].Tick()
				}
			}
			for progressed := true; progressed; {
				progressed = false
				for id := uint64(1); id <= 5; id++ {
					if node := nodes[id]; id != dead && node.HasReady() {
						progressed = true
						ready := node.Ready()
						stores[id].Append(ready.Entries)
						if ready.HardState != nil {
							stores[id].SetHardState(ready.HardState)
						}
						for _, m := range ready.Messages {
							if sent++; m.GetTo() != dead {
								nodes[m.GetTo()].Step(m)
							}
						}
						node.Advance(ready)
					}
				}
			}
		}
		return now - start
	}
	leaderExcept := func(except uint64) uint64 {
		for id := uint64(1); id <= 5; id++ {
			if id != except && nodes[id].BasicStatus().RaftState == eraft.StateLeader {
				return id
			}
		}
		return 0
	}
	runUntil(func() bool { return leaderExcept(0) != 0 })
	sent = 0
	end := now + 60
	result.messageRate = 1 / runUntil(func() bool { return now > end }) * float64(sent)
	result.timeFailovers(func(int) float64 {
		dead = leaderExcept(0)
		took := runUntil(func() bool { return leaderExcept(dead) != 0 })
		dead = 0
		end := now + 2
		runUntil(func() bool { return now > end })
		return took
	})
	return result
}

// countingTransport counts the messages of a node, requests and responses.
type countingTransport struct {
	*hraft.InmemTransport
	sent *atomic.Int64
}

func (c countingTransport) AppendEntries(id hraft.ServerID, to hraft.ServerAddress,
	q *hraft.AppendEntriesRequest, a *hraft.AppendEntriesResponse) error {
	c.sent.Add(2)
	return c.InmemTransport.AppendEntries(id, to, q, a)
}

// emptyFSM is a state machine without state.
type emptyFSM struct{}

func (emptyFSM) Apply(*hraft.Log) any                 { return nil }
func (emptyFSM) Snapshot() (hraft.FSMSnapshot, error) { return nil, io.EOF }
func (emptyFSM) Restore(snapshot io.ReadCloser) error { return snapshot.Close() }

func benchHashicorp(b *testing.B) (result benchResult) {
	var sent atomic.Int64
	var servers []hraft.Server
	var transports []*hraft.InmemTransport
	for k := range 5 {
		address, t := hraft.NewInmemTransport(hraft.ServerAddress(fmt.Sprint("n", k)))
		servers = append(servers, hraft.Server{ID: hraft.ServerID(address), Address: address})
		transports = append(transports, t)
	}
	connect := func(k int) {
		for n := range 5 {
			transports[k].Connect(servers[n].Address, transports[n])
			transports[n].Connect(servers[k].Address, transports[k])
		}
	}
	for k := range 5 {
		connect(k)
	}
	nodes := make([]*hraft.Raft, 5)
	result.heap = heapGrowth(func() {
		for k := range 5 {
			c := hraft.DefaultConfig()
			c.LocalID, c.HeartbeatTimeout, c.ElectionTimeout, c.LeaderLeaseTimeout = servers[k].ID, time.Second, time.Second, time.Second
			c.Logger = hclog.NewNullLogger()
			store := hraft.NewInmemStore()
			n, err := hraft.NewRaft(c, emptyFSM{}, store, store, hraft.NewDiscardSnapshotStore(), countingTransport{transports[k], &sent})
			if err != nil {
				b.Fatal(err)
			}
			n.BootstrapCluster(hraft.Configuration{Servers: servers})
			nodes[k] = n
		}
	}) / 5
	leaderExcept := func(except int) int {
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			for k, n := range nodes {
				if k != except && n.State() == hraft.Leader {
					return k
				}
			}
		}
		b.Fatal("no leader")
		return 0
	}
	leaderExcept(-1)
	sent.Store(0)
	time.Sleep(5 * time.Second)
	result.messageRate = float64(sent.Load()) / 5
	result.timeFailovers(func(int) float64 {
		dead := leaderExcept(-1)
		transports[dead].DisconnectAll()
		for k := range 5 {
			transports[k].Disconnect(servers[dead].Address)
		}
		start := time.Now()
		leaderExcept(dead)
		took := time.Since(start).Seconds()
		connect(dead)
		time.Sleep(2 * time.Second)
		return took
	})
	for _, n := range nodes {
		n.Shutdown().Error()
	}
	return result
}

// binaryKB returns the size in kilobytes of a stripped program that uses a member, a logger and the given code.
func binaryKB(b *testing.B, importPath, code string) float64 {
	dir := b.TempDir()
	file, binary := filepath.Join(dir, "main.go"), filepath.Join(dir, "out")
	source := `package main

import (
	"context"
	"os"

	"go.uber.org/zap"

	"valveglade/member"
	"` + importPath + `"
)

var _ = os.Args

func main() {
	m, _ := member.New(member.Config{}, zap.NewNop())
	m.Run(context.Background())
	` + code + `
}
`
	if err := os.WriteFile(file, []byte(source), 0o600); err != nil {
		b.Fatal(err)
	}
	if output, err := exec.Command("go", "build", "-ldflags=-s -w", "-o", binary, file).CombinedOutput(); err != nil {
		b.Fatalf("%v: %s", err, output)
	}
	info, err := os.Stat(binary)
	if err != nil {
		b.Fatal(err)
	}
	return float64(info.Size()) / 1e3
}
