package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"valveglade/rig/hollow"
)

// hollowCommand runs one measurement of rig/hollow in a process of its own, so that its CPU and memory are its own: the plan
// is read from standard input, the cost written to standard output, as JSON.
func hollowCommand() *cobra.Command {
	return &cobra.Command{Use: "hollow KIND", Hidden: true, Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
		if args[0] == "members" {
			return hollow.ServeMembers(os.Stdin, os.Stdout)
		}
		run, known := hollowRuns[args[0]]
		if !known {
			return fmt.Errorf("no hollow run is named %q", args[0])
		}
		cost, err := run(json.NewDecoder(os.Stdin))
		if err != nil {
			return err
		}
		return json.NewEncoder(os.Stdout).Encode(cost)
	}}
}

// hollowRuns are the measurements by name. Each reads its plan.
var hollowRuns = map[string]func(plan *json.Decoder) (any, error){
	"view": func(d *json.Decoder) (any, error) {
		return decoded(d, func(plan hollow.ViewPlan) (any, error) { return hollow.RunView(plan), nil })
	},
	"outage": func(d *json.Decoder) (any, error) {
		return decoded(d, func(plan hollow.OutagePlan) (any, error) { return hollow.RunOutage(plan) })
	},
	"subscribers": func(d *json.Decoder) (any, error) {
		return decoded(d, func(plan hollow.SubscriberPlan) (any, error) { return hollow.RunSubscribers(plan) })
	},
	"roles": func(d *json.Decoder) (any, error) {
		return decoded(d, func(plan hollow.RolePlan) (any, error) { return hollow.RunRoles(plan) })
	},
	"quota": func(d *json.Decoder) (any, error) {
		return decoded(d, func(plan hollow.QuotaPlan) (any, error) { return hollow.RunQuota(plan) })
	},
	"burst": func(d *json.Decoder) (any, error) {
		return decoded(d, func(plan hollow.BurstPlan) (any, error) { return hollow.RunVoterBurst(plan) })
	},
}

func decoded[P any](d *json.Decoder, run func(P) (any, error)) (any, error) {
	var plan P
	if err := d.Decode(&plan); err != nil {
		return nil, err
	}
	return run(plan)
}

// runHollow runs one measurement in a process of its own.
func runHollow[C any](p *experimentRun, kind string, plan any) (cost C, err error) {
	text, err := json.Marshal(plan)
	if err != nil {
		return cost, err
	}
	cmd := exec.Command(p.ownBinary(), "hollow", kind)
	cmd.Stdin = bytes.NewReader(text)
	cmd.Env = append(os.Environ(), fmt.Sprintf("GOMAXPROCS=%d", hollowCores))
	var complaint bytes.Buffer
	cmd.Stderr = &complaint
	out, err := cmd.Output()
	if err != nil {
		return cost, fmt.Errorf("%s %s: %w: %s", kind, text, err, bytes.TrimSpace(complaint.Bytes()))
	}
	return cost, json.Unmarshal(out, &cost)
}

// hollowCores is how many cores a measurement may use at once: more would spin for work where there is none, which is CPU too.
const hollowCores = 2

// hollowAtOnce is how many measurements run side by side.
const hollowAtOnce = 4

// runHollows runs one measurement for each plan, some side by side, and gives the costs in the order of the plans.
func runHollows[C, P any](p *experimentRun, kind string, plans []P) ([]C, error) {
	costs := make([]C, len(plans))
	var group errgroup.Group
	if group.SetLimit(hollowAtOnce); p.shortForm {
		group.SetLimit(len(plans)) // tiny ones
	}
	for k, plan := range plans {
		group.Go(func() (err error) {
			costs[k], err = runHollow[C](p, kind, plan)
			return err
		})
	}
	return costs, group.Wait()
}
