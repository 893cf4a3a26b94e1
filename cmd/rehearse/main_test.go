package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"valveglade/rig"
	"valveglade/rig/slope"
)

var programBinary, rehearseBinary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "rehearse")
	if err == nil {
		programBinary, err = rig.Build(dir)
	}
	if err == nil { // the baselines are hidden commands of this program
		rehearseBinary = filepath.Join(dir, "rehearse")
		err = exec.Command("go", "build", "-o", rehearseBinary, "valveglade/cmd/rehearse").Run()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// checkFigures runs the shortest form of an experiment and checks the required figures, which must hold on any machine.
// Figures that depend on the machine are left to the long forms.
func checkFigures(t *testing.T, name string, required ...string) {
	t.Helper()
	var out bytes.Buffer
	run := &experimentRun{Seed: 1, Program: programBinary, rehearseBinary: rehearseBinary, shortForm: true, output: &out}
	for _, e := range experiments {
		if e.name != name {
			continue
		}
		if err := e.runExperiment(run); err != nil {
			t.Fatal(err)
		}
	}
	found := 0
	for _, f := range run.figures {
		for _, wanted := range required {
			if f.Name == wanted {
				if found++; !f.Holds {
					t.Errorf("%s is %g, want %s", f.Name, f.Value, f.Bound)
				}
			}
		}
	}
	if found != len(required) || t.Failed() {
		t.Errorf("%d of %d required figures found:\n%s", found, len(required), &out)
	}
}

func TestClient(t *testing.T) {
	checkFigures(t, "client", "refused.retried", "late.sent", "double.runs", "unanswered", "breaches", "pushback.early",
		"pushback.forbidden", "pushback.late", "pushback.without.answer", "reconnect.back", "leaked.goroutines")
}

func TestCold(t *testing.T) {
	checkFigures(t, "cold", "cold.ratio", "naive.cold.ratio", "refused.retried", "late.sent", "double.runs", "unanswered",
		"breaches")
}

func TestPressure(t *testing.T) {
	checkFigures(t, "pressure", "breaches", "begun.turned.away", "killed", "not.our.own.refused")
}

// TestCommand checks that invalid arguments give an error that names the cause, and that list names the experiments.
func TestCommand(t *testing.T) {
	for args, want := range map[string]string{"run nothing": "no experiment is named", "run": "accepts 1 arg",
		"run client --seed x": "invalid argument"} {
		c := rootCommand()
		c.SetArgs(strings.Fields(args))
		c.SetOut(&bytes.Buffer{})
		if err := c.Execute(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("arguments %s: unexpected error %v", args, err)
		}
	}
	var out bytes.Buffer
	c := rootCommand()
	c.SetArgs([]string{"list"})
	c.SetOut(&out)
	if err := c.Execute(); err != nil || !strings.Contains(out.String(), "client") {
		t.Errorf("list: error %v, output %s", err, &out)
	}
}

func TestView(t *testing.T) {
	checkFigures(t, "view", "joined.all", "named.twice.resolved", "false.deaths.lasting", "views.differ.at.end", "breaches")
}

func TestViewFaults(t *testing.T) {
	checkFigures(t, "view-faults", "joined.all", "narrow.said", "rejoined.max", "one.way.deaths.lasting", "views.differ.at.end",
		"breaches")
}

func TestOwner(t *testing.T) {
	checkFigures(t, "owner", "owners.at.once", "late.effects", "terms.falling", "owners.at.once.second", "late.effects.second",
		"work.overlap.s", "owners.at.once.drifting", "late.effects.drifting", "work.overlap.drifting.s",
		"orders.without.majority", "owners.at.once.lowest", "late.effects.lowest", "breaches")
}

func TestShare(t *testing.T) {
	checkFigures(t, "share", "over.limit", "over.limit.restarted", "over.limit.off", "over.limit.even", "breaches")
}

// TestScale checks that the scale run fits each of its series, from at least four sizes, and writes them next to the
// figures.
func TestScale(t *testing.T) {
	path := filepath.Join(t.TempDir(), "scale.json")
	var out bytes.Buffer
	run := &experimentRun{Seed: 1, Program: programBinary, rehearseBinary: rehearseBinary, shortForm: true, output: &out}
	if err := run.execute(experiment{name: "scale", runExperiment: runScale}, path); err != nil {
		t.Fatalf("%v:\n%s", err, &out)
	}
	result, err := slope.ReadResult(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"view.pure.cpu.all-changes", "view.pure.churn.settled", "view.pure.zone.lost", "view.member.cpu",
		"view.member.bytes", "view.process.memory", "voter.messages.candidates", "voter.burst.lost", "allocator.cpu.holders"} {
		s, found := result.Find(name)
		if !found || len(s.Points) < slope.MinimumSizes || s.Largest == 0 || s.ClockFactor != 1 || s.Fit.Model == "" {
			t.Errorf("series %s is missing or incomplete: %+v", name, s)
		}
	}
	if result.Seed != 1 || result.Commit == "" || result.Cores < 1 || result.TookSeconds <= 0 {
		t.Errorf("result is incomplete: %+v", result)
	}
	if !strings.Contains(out.String(), "worked out") {
		t.Errorf("no value in the output is marked as worked out:\n%s", &out)
	}
}

// TestRestart guards against app servers that do not get ready again after a kill while idle clients hold every
// descriptor and some kernels are late.
func TestRestart(t *testing.T) {
	checkFigures(t, "restart", "full.after.s", "kernel.back.max.s", "ready.within.10s", "roster.back.max.s", "descriptors.most",
		"descriptors.left.over", "breaches")
}
