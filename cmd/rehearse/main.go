// Command rehearse runs the project's experiments: it measures the program on loopback between stand-ins, or parts of it in
// this process, under the failures that a subsystem is built for, and compares it with a baseline in the same run.
//
// The exit code is 0 if every figure meets its bound, 1 if one misses it, 2 for invalid arguments or any other error.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"valveglade/rig/slope"
)

// experiment is an experiment that the run command selects by name.
type experiment struct {
	name, description string
	runExperiment     func(run *experimentRun) error
}

var experiments = []experiment{
	{"client", "the client library compared with a naive client: outages, refusals, reconnects, overhead", runClient},
	{"cold", "cold app servers under the combined load of 1 to 24 client processes, compared with naive clients", runCold},
	{"pressure", "load shedding: a tripled load, a leak, few cores, each compared with shedding off", runPressure},
	{"view", "the fleet's view: deaths, flapping, two processes under one name, releases, compared with the fleet off", runView},
	{"view-faults", "the fleet's view under partitions and packet loss, compared with the gossip library alone", runViewFaults},
	{"view-drawn", "the fleet's view under faults drawn from the seed, or read from --script", runViewDrawn},
	{"owner", "at most one owner under deaths, pauses and partitions, compared with the lowest name as owner", runOwner},
	{"share", "a fleet-wide limit under deaths, pauses, partitions and moving demand; baselines: even split, fleet off", runShare},
	{"share-forty", "ten permits shared by forty processes", runShareForty},
	{"share-auto", "an automatic fleet-wide limit while the backend's capacity falls and recovers", runShareAuto},
	{"restart", "idle clients fill the descriptors, the roster is down, all app servers restart, some kernels are late", runRestart},
	{"view-cost", "the cost of the view: 20, 100 and 300 members in one process, at rest and after a fifth have died", runViewCost},
	{"scale", "growth of costs with the size of the fleet, each with its fit and the fit's error", runScale},
	{"faults", "settings and faults drawn from the seed, real processes among stand-ins, checked against the rules", runFaults},
	{"pressure-edge", "two minutes of steady load just beyond the program's capacity", runPressureEdge},
}

// figure is one measured value of an experiment, with its bound.
type figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Bound string  `json:"bound"` // empty if the figure has no bound
	Holds bool    `json:"holds"`
}

// experimentRun is one run of an experiment.
type experimentRun struct {
	Seed           uint64
	Long           bool   // run the long form, with more, larger or longer cases than the standard form
	Program        string // path of the valveglade binary, or of one that serves like it
	History        string // file to write all events to, if any
	Logs           string // directory for the logs of processes, if any
	Script         string // file of the faults to apply, if they are not drawn
	Part           string // the only part to run, if any, in an experiment with parts
	rehearseBinary string // path of this program's binary, if not the running executable
	shortForm      bool   // run the shortest form, for tests
	faults         faultFlags
	programArgs    []string // extra arguments of the program in the search for faults
	output         io.Writer
	began          time.Time

	mu      sync.Mutex // guards figures and output, since parts of an experiment may run concurrently
	figures []figure
	scale   *slope.Result // result of the scale experiment
}

// scaled returns the duration of a part of an experiment: d, or a third of it in the shortest form.
func (run *experimentRun) scaled(d time.Duration) time.Duration {
	if run.shortForm {
		return d / 3
	}
	return d
}

// atMost, atLeast and exactly check a figure against its bound; report records a figure without a bound.
func (run *experimentRun) atMost(name string, v, bound float64) {
	run.add(figure{name, v, fmt.Sprintf("<= %g", bound), v <= bound})
}
func (run *experimentRun) atLeast(name string, v, bound float64) {
	run.add(figure{name, v, fmt.Sprintf(">= %g", bound), v >= bound})
}
func (run *experimentRun) exactly(name string, v, bound float64) {
	run.add(figure{name, v, fmt.Sprintf("== %g", bound), v == bound})
}
func (run *experimentRun) report(name string, v float64) {
	run.add(figure{Name: name, Value: v, Holds: true})
}

func (run *experimentRun) add(f figure) {
	run.mu.Lock()
	defer run.mu.Unlock()
	if math.IsNaN(f.Value) || math.IsInf(f.Value, 0) {
		f.Holds = f.Holds && f.Bound == ""
		f.Value = -1
	}
	run.figures = append(run.figures, f)
	verdict := "holds"
	switch {
	case f.Bound == "":
		verdict = ""
	case !f.Holds:
		verdict = "short"
	}
	fmt.Fprintf(run.output, "%-34s %12.4g  %-10s %s\n", f.Name, f.Value, f.Bound, verdict)
}

// printNote prints a formatted line that is not a figure.
func (run *experimentRun) printNote(format string, args ...any) {
	run.mu.Lock()
	defer run.mu.Unlock()
	fmt.Fprintf(run.output, "# "+format+"\n", args...)
}

var errFigureMissed = errors.New("a figure missed its bound")

func main() {
	if err := rootCommand().Execute(); errors.Is(err, errFigureMissed) {
		os.Exit(1)
	} else if err != nil {
		fmt.Fprintln(os.Stderr, "rehearse:", err)
		os.Exit(2)
	}
}

// rootCommand returns the command rehearse with its sub-commands. Apart from list, run and capacity these are hidden:
// experiments run baselines, clients and servers as separate processes, as these must not share a process with the measurement.
func rootCommand() *cobra.Command {
	root := &cobra.Command{Use: "rehearse", Short: "run the project's experiments", SilenceUsage: true,
		SilenceErrors: true}
	root.AddCommand(&cobra.Command{Use: "list", Short: "list the experiments", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			for _, e := range experiments {
				fmt.Fprintf(cmd.OutOrStdout(), "%-14s %s\n", e.name, e.description)
			}
		}})
	var run experimentRun
	var jsonPath string
	runCommand := &cobra.Command{Use: "run NAME", Short: "run one experiment", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			run.output = cmd.OutOrStdout()
			for _, e := range experiments {
				if e.name == args[0] {
					return run.execute(e, jsonPath)
				}
			}
			return fmt.Errorf("no experiment is named %q; the list command shows all", args[0])
		}}
	runCommand.Flags().Uint64Var(&run.Seed, "seed", 1, "seed of all random draws")
	runCommand.Flags().BoolVar(&run.Long, "long", false, "run the long form, with more, larger or longer cases")
	runCommand.Flags().StringVar(&run.Program, "program", siblingBinary("valveglade"), "path of the valveglade binary")
	runCommand.Flags().StringVar(&run.History, "history", "", "write all events to this file, as JSON lines")
	runCommand.Flags().StringVar(&run.Logs, "logs", "",
		"write the logs of each trial's processes to this directory, in experiments with trials")
	runCommand.Flags().StringVar(&run.Script, "script", "",
		"apply the faults of this file instead of drawing them, in experiments that draw random faults")
	runCommand.Flags().StringVar(&run.Part, "part", "", "run only this part, in experiments with parts")
	runCommand.Flags().StringVar(&jsonPath, "json", "", "also write the figures to this file")
	run.faults.register(runCommand)
	root.AddCommand(runCommand, echoCommand(), memberlistCommand(), lowestNameCommand(), capacityCommand(),
		measurementCommand(), callerCommand(), faultInjectorCommand())
	return root
}

// siblingBinary returns the path of another binary in the directory of this one, or name if that directory is unknown.
func siblingBinary(name string) string {
	self, err := os.Executable()
	if err != nil {
		return name
	}
	return filepath.Join(filepath.Dir(self), name)
}

// execute runs an experiment and writes its figures to the file at jsonPath, if any. It returns errFigureMissed if a
// figure misses its bound.
func (run *experimentRun) execute(e experiment, jsonPath string) error {
	run.began = time.Now()
	run.printNote("%s, seed %d, %d cores, %s", e.name, run.Seed, runtime.NumCPU(), runtime.Version())
	if err := e.runExperiment(run); err != nil {
		return err
	}
	run.printNote("took %.1f s", time.Since(run.began).Seconds())
	if jsonPath != "" {
		result := map[string]any{"rehearsal": e.name, "seed": run.Seed, "cores": runtime.NumCPU(), "figures": run.figures}
		if run.scale != nil {
			result["scale"] = run.scale
		}
		text, err := json.MarshalIndent(result, "", " ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(jsonPath, append(text, '\n'), 0o644); err != nil {
			return err
		}
	}
	for _, f := range run.figures {
		if !f.Holds {
			return errFigureMissed
		}
	}
	return nil
}
