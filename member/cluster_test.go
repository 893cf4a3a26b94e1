package member_test

import (
	"context"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"valveglade/member"
	"valveglade/rig"
	"valveglade/rpc"
)

var program string

func TestMain(m *testing.M) { rig.RunTests(m, &program) }

// startCluster starts five processes of the program and waits until they have found each other. The first two seed
// addresses of each are dead.
func startCluster(t *testing.T) (*rig.Cluster, []string) {
	t.Helper()
	t.Parallel()
	names := []string{"n1", "n2", "n3", "n4", "n5"}
	s, err := rig.NewCluster(rig.ClusterConfig{Program: program, Names: names, Seeds: 2, UnusedSeeds: 2, Slack: time.Second, Seed: 1,
		Site: rig.Site{Cores: 1, MemoryMB: 64, Sockets: 256, StopTimeout: 1500 * time.Millisecond, GracePeriod: time.Second, Callers: 1,
			Methods: []rig.SiteMethod{{Name: "enter", Kind: string(rpc.NonIdempotent),
				LatencyTarget: 0.5, Deadline: 1, Criticality: 1}}}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		s.Checker.Finish()
		for _, b := range s.Checker.Violations() {
			t.Error(b)
		}
		if t.Failed() {
			for _, name := range s.Names() {
				t.Logf("%s: %s", name, tail(s.Node(name).Log()))
			}
		}
		s.Close()
	})
	waitConverged(t, s, 5, names)
	return s, names
}

func tail(log string) string {
	lines := strings.Split(strings.TrimSpace(log), "\n")
	return strings.Join(lines[max(0, len(lines)-12):], "\n")
}

// waitTimeout is long enough for a loaded machine; a wait ends as soon as its condition holds.
const waitTimeout = 30 * time.Second

func waitConverged(t *testing.T, s *rig.Cluster, n int, names []string) {
	t.Helper()
	if _, ok := s.WaitUntil(waitTimeout, func() bool { return s.History.AgreeOnMembers(n, names...) }); !ok {
		t.Fatalf("%v have not converged on a view of %d members", names, n)
	}
}

func run(t *testing.T, s *rig.Cluster, script string) {
	t.Helper()
	if err := s.RunScriptText(script); err != nil {
		t.Fatal(err)
	}
}

// A killed process is declared dead by all, and rejoins under its name with a newer incarnation; one that has received
// its shutdown notice leaves voluntarily.
func TestKilled(t *testing.T) {
	s, names := startCluster(t)
	before, err := member.ReadStatus(s.Socket("n5"))
	if err != nil {
		t.Fatal(err)
	}
	from := s.History.Elapsed()
	run(t, s, "0s kill n5")
	waitConverged(t, s, 4, names[:4])
	if n, _ := s.History.CountEvents("n1", "n5 went: died", from); n != 1 {
		t.Errorf("%d reports that it died", n)
	}
	run(t, s, "0s start n5")
	waitConverged(t, s, 5, names)
	status, err := member.ReadStatus(s.Socket("n1"))
	if err != nil {
		t.Fatal(err)
	}
	k := slices.IndexFunc(status.Members, func(e member.MemberStatus) bool { return e.Name == "n5" })
	was := slices.IndexFunc(before.Members, func(e member.MemberStatus) bool { return e.Name == "n5" })
	if k < 0 || status.Members[k].Incarnation <= before.Members[was].Incarnation {
		t.Errorf("%+v after %+v", status.Members, before.Members)
	}
	// The fleet command, for operators.
	table, err := exec.Command(program, "fleet", "--socket", s.Socket("n2")).CombinedOutput()
	if err != nil || !strings.Contains(string(table), "of n2, ") || !strings.Contains(string(table), "\nn5 ") {
		t.Errorf("%v: %s", err, table)
	}
	if text, err := exec.Command(program, "fleet").CombinedOutput(); err == nil ||
		!strings.Contains(string(text), "no fleet.socket is set") {
		t.Errorf("%v: %s", err, text)
	}
	run(t, s, "0s notice n5")
	waitConverged(t, s, 4, names[:4])
	if n, _ := s.History.CountEvents("n1", "n5 went: left", from); n != 1 {
		t.Errorf("%d reports that it left", n)
	}
}

// A paused process is declared dead by the others, and declares nobody dead when it resumes.
func TestPaused(t *testing.T) {
	s, names := startCluster(t)
	run(t, s, "0s stop n5")
	waitConverged(t, s, 4, names[:4])
	from := s.History.Elapsed()
	run(t, s, "0s cont n5")
	waitConverged(t, s, 5, names)
	if n, _ := s.History.CountEvents("n5", "begins gossip anew", from); n != 1 {
		t.Errorf("gossip restarted %d times", n)
	}
	if n, _ := s.History.CountEvents("", " went: ", from); n != 0 {
		t.Errorf("%d members removed after a pause", n)
	}
}

// Both sides of a partition declare each other dead, the smaller one reports a partition, and they rejoin after it has
// healed.
func TestPartition(t *testing.T) {
	s, names := startCluster(t)
	from := s.History.Elapsed()
	run(t, s, "0s split n1,n2|n3,n4,n5")
	waitConverged(t, s, 2, names[:2])
	waitConverged(t, s, 3, names[2:])
	for _, name := range names[:2] {
		if _, ok := s.WaitUntil(waitTimeout, func() bool {
			v, _ := s.History.Latest(name)
			return v.Certainty == "partitioned"
		}); !ok {
			t.Errorf("%s does not report a partition", name)
		}
	}
	if n, _ := s.History.CountEvents("n4", `"certainty":"partitioned"`, from); n != 0 {
		t.Error("the larger side reports a partition")
	}
	run(t, s, "0s heal")
	waitConverged(t, s, 5, names)
}

// A cut in one direction between two members removes nobody: other members relay the messages.
func TestOneWayPartition(t *testing.T) {
	s, names := startCluster(t)
	from := s.History.Elapsed()
	run(t, s, "0s cut n1>n2\n5s heal")
	if n, _ := s.History.CountEvents("", " went: ", from); n != 0 {
		t.Errorf("%d members removed", n)
	}
	waitConverged(t, s, 5, names)
}

// Of two processes with one name the newer stays a member; the older is superseded, logs it once and keeps serving.
func TestSameName(t *testing.T) {
	s, names := startCluster(t)
	from := s.History.Elapsed()
	run(t, s, "0s twin n5")
	if _, ok := s.WaitUntil(waitTimeout, func() bool {
		n, _ := s.History.CountEvents("n5", "newer incarnation of this name", from)
		return n > 0
	}); !ok {
		t.Fatal("the older process never learns of the newer one")
	}
	waitConverged(t, s, 5, append(slices.Clone(names[:4]), "n5-twin"))
	if n, _ := s.History.CountEvents("n5", "newer incarnation of this name", from); n != 1 {
		t.Errorf("logged %d times", n)
	}
	if !s.Node("n5").Running() {
		t.Error("the older process ended")
	}
	if status, err := member.ReadStatus(s.Socket("n5")); err != nil || status.Certainty != "superseded" {
		t.Errorf("%+v, %v", status.Certainty, err)
	}
}

// All processes restart at once, and find each other without stored state.
func TestRestartAll(t *testing.T) {
	s, names := startCluster(t)
	run(t, s, "0s kill n1\n0s kill n2\n0s kill n3\n0s kill n4\n0s kill n5\n"+
		"10ms start n1\n10ms start n2\n10ms start n3\n10ms start n4\n10ms start n5")
	waitConverged(t, s, 5, names)
}

// Stuck work is reported by all members though gossip continues; late gossip, with streams unaffected, gets nobody
// declared dead.
func TestStuckWorkAndLateGossip(t *testing.T) {
	s, names := startCluster(t)
	from := s.History.Elapsed()
	router := rig.NewRouter(1, s.Addresses("n5")[0])
	defer router.Close()
	ctx, cancel := context.WithCancel(context.Background())
	var load sync.WaitGroup
	load.Go(func() {
		generator := rig.Load{Seed: 1, Duration: waitTimeout, Prefix: "x", Rate: func(float64) float64 { return 20 },
			Shares: []rig.Share{{Method: "enter", Kind: rpc.NonIdempotent, Criticality: 1,
				Fraction: 1, Work: 0.005, Deadline: time.Second}}}
		generator.Run(ctx, s.Checker, router)
	})
	defer load.Wait()
	defer cancel()
	run(t, s, "0s hang n5\n0s mute n4>* 1500ms\n0s mute *>n4 1500ms")
	if _, ok := s.WaitUntil(waitTimeout, func() bool {
		n, _ := s.History.CountEvents("n1", "n5 changed: work hangs there", from)
		return n > 0
	}); !ok {
		t.Error("stuck work is not reported")
	}
	run(t, s, "0s unhang n5")
	if _, ok := s.WaitUntil(waitTimeout, func() bool {
		n, _ := s.History.CountEvents("n1", "n5 changed: work goes on there", from)
		return n > 0
	}); !ok {
		t.Error("the end of stuck work is not reported")
	}
	if n, _ := s.History.CountEvents("", " went: ", from); n != 0 {
		t.Errorf("%d members removed", n)
	}
	run(t, s, "0s heal")
	waitConverged(t, s, 5, names)
}
