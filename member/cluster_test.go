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

func TestMain(m *testing.M) { rig.Main(m, &program) }

// process cluster is five processes of the program that have found each other, though the first two addresses that each was given are
// dead.
func startCluster(t *testing.T) (*rig.Cluster, []string) {
	t.Helper()
	t.Parallel()
	names := []string{"n1", "n2", "n3", "n4", "n5"}
	s, err := rig.NewCluster(rig.Plan{Program: program, Names: names, Seeds: 2, DeadEnd: 2, Slack: time.Second, Seed: 1,
		Site: rig.Site{Cores: 1, MemoryMB: 64, Sockets: 256, Stop: 1500 * time.Millisecond, Grace: time.Second, Callers: 1,
			Methods: []rig.SiteMethod{{Name: "enter", Kind: string(rpc.NonIdempotent), Target: 0.5, Deadline: 1, Criticality: 1}}}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		s.Check.Finish()
		for _, b := range s.Check.Violations() {
			t.Error(b)
		}
		if t.Failed() {
			for _, name := range s.Names() {
				t.Logf("%s: %s", name, tail(s.Node(name).Log()))
			}
		}
		s.Close()
	})
	alike(t, s, 5, names)
	return s, names
}

func tail(log string) string {
	lines := strings.Split(strings.TrimSpace(log), "\n")
	return strings.Join(lines[max(0, len(lines)-12):], "\n")
}

// patience is for a machine that has other things to do: a wait ends with its condition.
const patience = 30 * time.Second

func alike(t *testing.T, s *rig.Cluster, n int, who []string) {
	t.Helper()
	if _, ok := s.Until(patience, func() bool { return s.History.Alike(n, who...) }); !ok {
		t.Fatalf("%v do not all see %d", who, n)
	}
}

func run(t *testing.T, s *rig.Cluster, script string) {
	t.Helper()
	if err := s.Run(script); err != nil {
		t.Fatal(err)
	}
}

// One that is killed is known dead by all, and back under its name with a newer incarnation; one whose notice has come is gone by
// its own word.
func TestKilled(t *testing.T) {
	s, names := startCluster(t)
	former, err := member.ReadStatus(s.Socket("n5"))
	if err != nil {
		t.Fatal(err)
	}
	from := s.History.Now()
	run(t, s, "0s kill n5")
	alike(t, s, 4, names[:4])
	if n, _ := s.History.Lines("n1", "n5 went: died", from); n != 1 {
		t.Errorf("told %d times that it died", n)
	}
	run(t, s, "0s start n5")
	alike(t, s, 5, names)
	shown, err := member.ReadStatus(s.Socket("n1"))
	if err != nil {
		t.Fatal(err)
	}
	k := slices.IndexFunc(shown.Members, func(e member.MemberStatus) bool { return e.Name == "n5" })
	was := slices.IndexFunc(former.Members, func(e member.MemberStatus) bool { return e.Name == "n5" })
	if k < 0 || shown.Members[k].Incarnation <= former.Members[was].Incarnation {
		t.Errorf("%+v after %+v", shown.Members, former.Members)
	}
	// What operators are shown.
	table, err := exec.Command(program, "fleet", "--socket", s.Socket("n2")).CombinedOutput()
	if err != nil || !strings.Contains(string(table), "of n2, ") || !strings.Contains(string(table), "\nn5 ") {
		t.Errorf("%v: %s", err, table)
	}
	if text, err := exec.Command(program, "fleet").CombinedOutput(); err == nil || !strings.Contains(string(text), "no fleet.socket is set") {
		t.Errorf("%v: %s", err, text)
	}
	run(t, s, "0s notice n5")
	alike(t, s, 4, names[:4])
	if n, _ := s.History.Lines("n1", "n5 went: left", from); n != 1 {
		t.Errorf("told %d times that it left", n)
	}
}

// One that is stopped is taken for dead by the others, and takes nobody for dead when it goes on.
func TestStopped(t *testing.T) {
	s, names := startCluster(t)
	run(t, s, "0s stop n5")
	alike(t, s, 4, names[:4])
	from := s.History.Now()
	run(t, s, "0s cont n5")
	alike(t, s, 5, names)
	if n, _ := s.History.Lines("n5", "restarts gossip", from); n != 1 {
		t.Errorf("gossip restarted %d times", n)
	}
	if n, _ := s.History.Lines("", " went: ", from); n != 0 {
		t.Errorf("%d burials by a process that had only slept", n)
	}
}

// Both sides of a partition take each other for dead, the smaller reports a partition, and they come together again.
func TestCut(t *testing.T) {
	s, names := startCluster(t)
	from := s.History.Now()
	run(t, s, "0s split n1,n2|n3,n4,n5")
	alike(t, s, 2, names[:2])
	alike(t, s, 3, names[2:])
	for _, name := range names[:2] {
		if _, ok := s.Until(patience, func() bool { v, _ := s.History.Latest(name); return v.Certainty == "partitioned" }); !ok {
			t.Errorf("%s does not report a partition", name)
		}
	}
	if n, _ := s.History.Lines("n4", `"certainty":"partitioned"`, from); n != 0 {
		t.Error("the larger side reports a partition")
	}
	run(t, s, "0s heal")
	alike(t, s, 5, names)
}

// A cut one way only kills nobody's membership: others carry the messages.
func TestOneWay(t *testing.T) {
	s, names := startCluster(t)
	from := s.History.Now()
	run(t, s, "0s cut n1>n2\n5s heal")
	if n, _ := s.History.Lines("", " went: ", from); n != 0 {
		t.Errorf("%d burials", n)
	}
	alike(t, s, 5, names)
}

// Of two processes under one name the later stays; the earlier says so once and serves on.
func TestTwins(t *testing.T) {
	s, names := startCluster(t)
	from := s.History.Now()
	run(t, s, "0s twin n5")
	if _, ok := s.Until(patience, func() bool { n, _ := s.History.Lines("n5", "newer incarnation of this name", from); return n > 0 }); !ok {
		t.Fatal("the earlier never learns of the later")
	}
	alike(t, s, 5, append(slices.Clone(names[:4]), "n5-twin"))
	if n, _ := s.History.Lines("n5", "newer incarnation of this name", from); n != 1 {
		t.Errorf("said %d times", n)
	}
	if !s.Node("n5").Running() {
		t.Error("the earlier ended")
	}
	if shown, err := member.ReadStatus(s.Socket("n5")); err != nil || shown.Certainty != "superseded" {
		t.Errorf("%+v, %v", shown.Certainty, err)
	}
}

// All are started again at one time, and find each other with nothing kept.
func TestAllAgain(t *testing.T) {
	s, names := startCluster(t)
	run(t, s, "0s kill n1\n0s kill n2\n0s kill n3\n0s kill n4\n0s kill n5\n10ms start n1\n10ms start n2\n10ms start n3\n10ms start n4\n10ms start n5")
	alike(t, s, 5, names)
}

// Work that hangs is seen by all, though gossip goes on; gossip that is late, while streams are not, takes nobody for dead.
func TestHalfDead(t *testing.T) {
	s, names := startCluster(t)
	from := s.History.Now()
	router := rig.NewRouter(1, s.Addresses("n5")[0])
	defer router.Close()
	ctx, end := context.WithCancel(context.Background())
	var asking sync.WaitGroup
	asking.Go(func() {
		l := rig.Load{Seed: 1, Length: patience, Prefix: "x", Rate: func(float64) float64 { return 20 },
			Shares: []rig.Share{{Method: "enter", Kind: rpc.NonIdempotent, Criticality: 1, Part: 1, Work: 0.005, Deadline: time.Second}}}
		l.Run(ctx, s.Check, router)
	})
	defer asking.Wait()
	defer end()
	run(t, s, "0s hang n5\n0s mute n4>* 1500ms\n0s mute *>n4 1500ms")
	if _, ok := s.Until(patience, func() bool { n, _ := s.History.Lines("n1", "n5 changed: work hangs there", from); return n > 0 }); !ok {
		t.Error("nobody sees that work hangs")
	}
	run(t, s, "0s unhang n5")
	if _, ok := s.Until(patience, func() bool { n, _ := s.History.Lines("n1", "n5 changed: work goes on there", from); return n > 0 }); !ok {
		t.Error("nobody sees that work goes on")
	}
	if n, _ := s.History.Lines("", " went: ", from); n != 0 {
		t.Errorf("%d burials", n)
	}
	run(t, s, "0s heal")
	alike(t, s, 5, names)
}
