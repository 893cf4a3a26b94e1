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

// BenchmarkElection weighs what could decide who owns a role: five nodes in this process, a second until an owner that died is
// missed, a quarter of one between its signs of life, no disk. The first two are played in a time of their own, message by
// message, the third on its own goroutines over its memory transport. docs/owner.md has the figures.
func BenchmarkElection(b *testing.B) {
	for _, one := range []struct {
		name string
		play func(b *testing.B) benchResult
		uses string
		main string
	}{
		{"own", benchOwn, "valveglade/fleet", `f, _ := fleet.New(fleet.Config{}, m, zap.NewNop()); f.Campaign("o", nil); f.Run(context.Background())`},
		{"etcd", benchEtcd, "go.etcd.io/raft/v3", `n, _ := raft.NewRawNode(&raft.Config{Storage: raft.NewMemoryStorage()}); n.Tick(); n.Step(nil); n.Advance(n.Ready())`},
		{"hashicorp", benchHashicorp, "github.com/hashicorp/raft", `t, _ := raft.NewTCPTransport("", nil, 3, 0, os.Stderr); r, _ := raft.NewRaft(nil, nil, nil, nil, nil, t); r.Apply(nil, 0)`},
	} {
		b.Run(one.name, func(b *testing.B) {
			for range b.N {
				w := one.play(b)
				b.ReportMetric(w.messageRate, "messages/s")
				b.ReportMetric(w.minFailover, "least-s")
				b.ReportMetric(w.maxFailover, "most-s")
				b.ReportMetric(w.heap/1e3, "heap-kB/node")
				b.ReportMetric(binaryKB(b, one.uses, one.main)-binaryKB(b, "math", "_ = math.Pi"), "binary-kB")
			}
		})
	}
}

// benchResult is what a way costs at rest, and how long it takes to a new owner, over ten deaths.
type benchResult struct{ messageRate, minFailover, maxFailover, heap float64 }

const failoverCount = 10

// timeFailovers has a way's owner die again and again, and takes how long each took.
func (w *benchResult) timeFailovers(die func(k int) float64) {
	w.minFailover = 1e9
	for k := range failoverCount {
		took := die(k)
		w.minFailover, w.maxFailover = min(w.minFailover, took), max(w.maxFailover, took)
	}
}

// heapGrowth is what something leaves on the heap, in bytes.
func heapGrowth(f func()) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	f()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

func benchOwn(b *testing.B) (w benchResult) {
	names := []string{"a", "b", "c", "d", "e"}
	span := owner.Timing{Lease: 1, Drift: 0.01, Margin: 0.1}
	voters := map[string]*owner.Voter{}
	candidates := map[string]*owner.Candidate{}
	w.heap = heapGrowth(func() {
		for k, name := range names {
			voters[name] = owner.NewVoter(name, nil, true, 1, 0, span)
			candidates[name] = owner.NewCandidate(owner.Incarnation{Name: name, ID: 1}, "o", [][]string{names}, uint64(k), 0, span)
			candidates[name].SetCampaigning(true, 0)
		}
	}) / 5
	at, sent, dead := 0.0, 0, ""
	run := func(until func() bool) float64 {
		began := at
		for ; !until(); at += 0.005 {
			for _, name := range names {
				if name == dead {
					continue
				}
				candidates[name].Tick(at)
				for _, m := range candidates[name].Ready() {
					if m.To == dead {
						continue
					}
					for _, a := range voters[m.To].HandleMessage(m, at) {
						sent += 2
						if a.To != dead {
							candidates[a.To].HandleAnswer(a, at)
						}
					}
				}
			}
		}
		return at - began
	}
	owns := func(not string) string {
		for _, name := range names {
			if _, _, ok := candidates[name].Owns(at); ok && name != not {
				return name
			}
		}
		return ""
	}
	run(func() bool { return owns("") != "" })
	sent = 0
	w.messageRate = 1 / run(func() bool { return at > 62 }) * float64(sent)
	w.timeFailovers(func(k int) float64 {
		at += float64(k) * 0.037
		dead = owns("")
		took := run(func() bool { return owns(dead) != "" })
		end := at + 2
		dead = ""
		run(func() bool { return at > end })
		return took
	})
	return w
}

func benchEtcd(b *testing.B) (w benchResult) {
	quiet := &eraft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}
	stores, nodes := map[uint64]*eraft.MemoryStorage{}, map[uint64]*eraft.RawNode{}
	var dead uint64
	w.heap = heapGrowth(func() {
		for id := uint64(1); id <= 5; id++ {
			s := eraft.NewMemoryStorage()
			s.ApplySnapshot(&raftpb.Snapshot{Metadata: &raftpb.SnapshotMetadata{Index: new(uint64(1)), Term: new(uint64(1)),
				ConfState: &raftpb.ConfState{Voters: []uint64{1, 2, 3, 4, 5}}}})
			n, err := eraft.NewRawNode(&eraft.Config{ID: id, ElectionTick: 20, HeartbeatTick: 5, Storage: s, MaxSizePerMsg: 4096,
				MaxInflightMsgs: 16, PreVote: true, CheckQuorum: true, Logger: quiet})
			if err != nil {
				b.Fatal(err)
			}
			stores[id], nodes[id] = s, n
		}
	}) / 5
	at, sent := 0.0, 0
	run := func(until func() bool) float64 {
		began := at
		for ; !until(); at += 0.05 { // a tick: twenty to an election
			for id := uint64(1); id <= 5; id++ {
				if id != dead {
					nodes[id].Tick()
				}
			}
			for moved := true; moved; {
				moved = false
				for id := uint64(1); id <= 5; id++ {
					if n := nodes[id]; id != dead && n.HasReady() {
						moved = true
						ready := n.Ready()
						stores[id].Append(ready.Entries)
						if ready.HardState != nil {
							stores[id].SetHardState(ready.HardState)
						}
						for _, m := range ready.Messages {
							if sent++; m.GetTo() != dead {
								nodes[m.GetTo()].Step(m)
							}
						}
						n.Advance(ready)
					}
				}
			}
		}
		return at - began
	}
	leads := func(not uint64) uint64 {
		for id := uint64(1); id <= 5; id++ {
			if id != not && nodes[id].BasicStatus().RaftState == eraft.StateLeader {
				return id
			}
		}
		return 0
	}
	run(func() bool { return leads(0) != 0 })
	sent = 0
	end := at + 60
	w.messageRate = 1 / run(func() bool { return at > end }) * float64(sent)
	w.timeFailovers(func(int) float64 {
		dead = leads(0)
		took := run(func() bool { return leads(dead) != 0 })
		dead = 0
		end := at + 2
		run(func() bool { return at > end })
		return took
	})
	return w
}

// countingTransport counts what a node sends, question and answer.
type countingTransport struct {
	*hraft.InmemTransport
	sent *atomic.Int64
}

func (c countingTransport) AppendEntries(id hraft.ServerID, to hraft.ServerAddress, q *hraft.AppendEntriesRequest, a *hraft.AppendEntriesResponse) error {
	c.sent.Add(2)
	return c.InmemTransport.AppendEntries(id, to, q, a)
}

// emptyFSM is a state machine of no state.
type emptyFSM struct{}

func (emptyFSM) Apply(*hraft.Log) any                 { return nil }
func (emptyFSM) Snapshot() (hraft.FSMSnapshot, error) { return nil, io.EOF }
func (emptyFSM) Restore(snapshot io.ReadCloser) error { return snapshot.Close() }

func benchHashicorp(b *testing.B) (w benchResult) {
	var sent atomic.Int64
	var all []hraft.Server
	var ways []*hraft.InmemTransport
	for k := range 5 {
		address, t := hraft.NewInmemTransport(hraft.ServerAddress(fmt.Sprint("n", k)))
		all = append(all, hraft.Server{ID: hraft.ServerID(address), Address: address})
		ways = append(ways, t)
	}
	connect := func(k int) {
		for n := range 5 {
			ways[k].Connect(all[n].Address, ways[n])
			ways[n].Connect(all[k].Address, ways[k])
		}
	}
	for k := range 5 {
		connect(k)
	}
	nodes := make([]*hraft.Raft, 5)
	w.heap = heapGrowth(func() {
		for k := range 5 {
			c := hraft.DefaultConfig()
			c.LocalID, c.HeartbeatTimeout, c.ElectionTimeout, c.LeaderLeaseTimeout = all[k].ID, time.Second, time.Second, time.Second
			c.Logger = hclog.NewNullLogger()
			store := hraft.NewInmemStore()
			n, err := hraft.NewRaft(c, emptyFSM{}, store, store, hraft.NewDiscardSnapshotStore(), countingTransport{ways[k], &sent})
			if err != nil {
				b.Fatal(err)
			}
			n.BootstrapCluster(hraft.Configuration{Servers: all})
			nodes[k] = n
		}
	}) / 5
	leads := func(not int) int {
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			for k, n := range nodes {
				if k != not && n.State() == hraft.Leader {
					return k
				}
			}
		}
		b.Fatal("nobody leads")
		return 0
	}
	leads(-1)
	sent.Store(0)
	time.Sleep(5 * time.Second)
	w.messageRate = float64(sent.Load()) / 5
	w.timeFailovers(func(int) float64 {
		dead := leads(-1)
		ways[dead].DisconnectAll()
		for k := range 5 {
			ways[k].Disconnect(all[dead].Address)
		}
		began := time.Now()
		leads(dead)
		took := time.Since(began).Seconds()
		connect(dead)
		time.Sleep(2 * time.Second)
		return took
	})
	for _, n := range nodes {
		n.Shutdown().Error()
	}
	return w
}

// binaryKB is the size of a program that has a member, a log and some code, in kilobytes, without symbols.
func binaryKB(b *testing.B, uses, code string) float64 {
	dir := b.TempDir()
	file, out := filepath.Join(dir, "main.go"), filepath.Join(dir, "out")
	text := `package main

import (
	"context"
	"os"

	"go.uber.org/zap"

	"valveglade/member"
	"` + uses + `"
)

var _ = os.Args

func main() {
	m, _ := member.New(member.Config{}, zap.NewNop())
	m.Run(context.Background())
	` + code + `
}
`
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		b.Fatal(err)
	}
	if said, err := exec.Command("go", "build", "-ldflags=-s -w", "-o", out, file).CombinedOutput(); err != nil {
		b.Fatalf("%v: %s", err, said)
	}
	info, err := os.Stat(out)
	if err != nil {
		b.Fatal(err)
	}
	return float64(info.Size()) / 1e3
}
