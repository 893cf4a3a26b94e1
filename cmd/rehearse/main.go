// Command rehearse plays the project's own measurements: the real program on loopback between stand-ins, or a model
// of it, with the failures in it that a subsystem is for, and a baseline in the same run.
//
// The exit code is 0 if every figure holds, 1 if one falls short, 2 for a faulty call.
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

// experiment is one measurement with a name.
type experiment struct {
	name, description string
	runExperiment     func(p *experimentRun) error
}

var experiments = []experiment{
	{"client", "the careful client against a naive one: outages, refusals, reconnects, cost", runClient},
	{"cold", "cold app servers under the sum of what 1 to 24 client processes send, naive ones beside", runCold},
	{"pressure", "shedding before falling behind: a tripling, a leak, few cores, each with it off beside", runPressure},
	{"view", "the fleet's view: deaths, flapping, two under one name, releases, with the fleet off beside", runView},
	{"view-faults", "the fleet's view between cuts and loss, the gossip library alone beside", runViewFaults},
	{"view-drawn", "the fleet's view under faults drawn from the seed, or read from --script", runViewDrawn},
	{"owner", "one owner at a time, between deaths, sleeps and cuts, the lowest name of the view as the owner beside", runOwner},
	{"share", "a limit common to the fleet, between deaths, sleeps, cuts and moving demand, an even split and none beside", runShare},
	{"share-forty", "ten permits among forty processes", runShareForty},
	{"share-auto", "a common limit that is found, as what stands behind bears less and more again", runShareAuto},
	{"restart", "idle clients fill the descriptors, the roster is down, all are killed and started again, some kernels late", runRestart},
	{"view-cost", "what the view costs: 20, 100 and 300 members in one process, at rest and after a fifth have died", runViewCost},
	{"scale", "how costs grow with the size of the fleet, each with its fit and its error", runScale},
	{"faults", "settings and faults drawn from the seed, real processes among stand-ins, judged by the rules", runFaults},
	{"pressure-edge", "two minutes of steady load where the program just cannot bear it", runPressureEdge},
}

// figure is one line of a result.
type figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Bound string  `json:"bound"` // empty where the figure only informs
	Holds bool    `json:"holds"`
}

// experimentRun is one experiment under way.
type experimentRun struct {
	Seed           uint64
	Long           bool
	Program        string // the program's binary
	History        string // a file for what was said and done, if any
	Logs           string // a folder for the logs of processes, if any
	Script         string // a file of faults, if any
	Part           string // the one part to run, if any, where an experiment has parts
	rehearseBinary string // this program's binary, where it is not the one that runs
	shortForm      bool   // the shortest form, for tests
	faults         faultFlags
	programArgs    []string // of the program, where the search for faults starts it
	output         io.Writer
	began          time.Time

	mu      sync.Mutex // parts of an experiment may be judged side by side
	figures []figure
	scale   *slope.Result // of the scale run
}

// scaled is how long a part of an experiment takes: a third of it in the shortest form.
func (p *experimentRun) scaled(d time.Duration) time.Duration {
	if p.shortForm {
		return d / 3
	}
	return d
}

// at most, at least and exactly judge a figure; inform only shows it.
func (p *experimentRun) atMost(name string, v, bound float64) {
	p.add(figure{name, v, fmt.Sprintf("<= %g", bound), v <= bound})
}
func (p *experimentRun) atLeast(name string, v, bound float64) {
	p.add(figure{name, v, fmt.Sprintf(">= %g", bound), v >= bound})
}
func (p *experimentRun) exactly(name string, v, bound float64) {
	p.add(figure{name, v, fmt.Sprintf("== %g", bound), v == bound})
}
func (p *experimentRun) report(name string, v float64) {
	p.add(figure{Name: name, Value: v, Holds: true})
}

func (p *experimentRun) add(f figure) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if math.IsNaN(f.Value) || math.IsInf(f.Value, 0) {
		f.Holds = f.Holds && f.Bound == ""
		f.Value = -1
	}
	p.figures = append(p.figures, f)
	word := "holds"
	switch {
	case f.Bound == "":
		word = ""
	case !f.Holds:
		word = "short"
	}
	fmt.Fprintf(p.output, "%-34s %12.4g  %-10s %s\n", f.Name, f.Value, f.Bound, word)
}

// printNote is for what is no figure.
func (p *experimentRun) printNote(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.output, "# "+format+"\n", args...)
}

var errFigureMissed = errors.New("a figure falls short")

func main() {
	if err := rootCommand().Execute(); errors.Is(err, errFigureMissed) {
		os.Exit(1)
	} else if err != nil {
		fmt.Fprintln(os.Stderr, "rehearse:", err)
		os.Exit(2)
	}
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{Use: "rehearse", Short: "play the project's own measurements", SilenceUsage: true,
		SilenceErrors: true}
	root.AddCommand(&cobra.Command{Use: "list", Short: "name the experiments", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			for _, r := range experiments {
				fmt.Fprintf(cmd.OutOrStdout(), "%-14s %s\n", r.name, r.description)
			}
		}})
	var p experimentRun
	var path string
	run := &cobra.Command{Use: "run NAME", Short: "play one", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			p.output = cmd.OutOrStdout()
			for _, r := range experiments {
				if r.name == args[0] {
					return p.execute(r, path)
				}
			}
			return fmt.Errorf("no experiment is named %q, see list", args[0])
		}}
	run.Flags().Uint64Var(&p.Seed, "seed", 1, "for all that is left to chance")
	run.Flags().BoolVar(&p.Long, "long", false, "the long form")
	run.Flags().StringVar(&p.Program, "program", siblingBinary("valveglade"), "the program's binary")
	run.Flags().StringVar(&p.History, "history", "", "write all that was said and done to this file, as JSON lines")
	run.Flags().StringVar(&p.Logs, "logs", "", "write the logs of a trial's processes to this folder, where an experiment has trials")
	run.Flags().StringVar(&p.Script, "script", "", "play the faults of this file instead of drawing them, where an experiment draws")
	run.Flags().StringVar(&p.Part, "part", "", "run this part alone, where an experiment has parts")
	run.Flags().StringVar(&path, "json", "", "write the figures to this file too")
	p.faults.register(run)
	root.AddCommand(run, echoCommand(), bareCommand(), lowestCommand(), capacityCommand(), hollowCommand(), callerCommand(), plantedCommand())
	return root
}

// siblingBinary is the path of another binary in this one's folder.
func siblingBinary(name string) string {
	self, err := os.Executable()
	if err != nil {
		return name
	}
	return filepath.Join(filepath.Dir(self), name)
}

func (p *experimentRun) execute(r experiment, path string) error {
	p.began = time.Now()
	p.printNote("%s, seed %d, %d cores, %s", r.name, p.Seed, runtime.NumCPU(), runtime.Version())
	if err := r.runExperiment(p); err != nil {
		return err
	}
	p.printNote("took %.1f s", time.Since(p.began).Seconds())
	if path != "" {
		told := map[string]any{"rehearsal": r.name, "seed": p.Seed, "cores": runtime.NumCPU(), "figures": p.figures}
		if p.scale != nil {
			told["scale"] = p.scale
		}
		text, err := json.MarshalIndent(told, "", " ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(path, append(text, '\n'), 0o644); err != nil {
			return err
		}
	}
	for _, f := range p.figures {
		if !f.Holds {
			return errFigureMissed
		}
	}
	return nil
}
