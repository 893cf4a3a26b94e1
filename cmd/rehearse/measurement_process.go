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

// measurementCommand returns the hidden command that runs one measurement of package hollow. It runs in a process of its own, so
// that the CPU time and memory of the process are those of the measurement. The command reads the plan as JSON from standard
// input and writes the cost as JSON to standard output.
func measurementCommand() *cobra.Command {
	return &cobra.Command{Use: "hollow KIND", Hidden: true, Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if args[0] == "members" {
				return hollow.ServeMembers(os.Stdin, os.Stdout)
			}
			measure, known := measurements[args[0]]
			if !known {
				return fmt.Errorf("unknown measurement %q", args[0])
			}
			cost, err := measure(json.NewDecoder(os.Stdin))
			if err != nil {
				return err
			}
			return json.NewEncoder(os.Stdout).Encode(cost)
		}}
}

// measurements are the measurements by name. Each decodes its plan, runs it and returns the cost.
var measurements = map[string]func(decoder *json.Decoder) (any, error){
	"view": func(decoder *json.Decoder) (any, error) {
		return decodeAndRun(decoder, func(plan hollow.ViewPlan) (any, error) { return hollow.RunView(plan), nil })
	},
	"outage": func(decoder *json.Decoder) (any, error) {
		return decodeAndRun(decoder, func(plan hollow.OutagePlan) (any, error) { return hollow.RunOutage(plan) })
	},
	"subscribers": func(decoder *json.Decoder) (any, error) {
		return decodeAndRun(decoder, func(plan hollow.SubscriberPlan) (any, error) { return hollow.RunSubscribers(plan) })
	},
	"roles": func(decoder *json.Decoder) (any, error) {
		return decodeAndRun(decoder, func(plan hollow.RolePlan) (any, error) { return hollow.RunRoles(plan) })
	},
	"quota": func(decoder *json.Decoder) (any, error) {
		return decodeAndRun(decoder, func(plan hollow.QuotaPlan) (any, error) { return hollow.RunQuota(plan) })
	},
	"burst": func(decoder *json.Decoder) (any, error) {
		return decodeAndRun(decoder, func(plan hollow.BurstPlan) (any, error) { return hollow.RunVoterBurst(plan) })
	},
}

// decodeAndRun decodes a plan and runs the measurement on it.
func decodeAndRun[P any](decoder *json.Decoder, measure func(P) (any, error)) (any, error) {
	var plan P
	if err := decoder.Decode(&plan); err != nil {
		return nil, err
	}
	return measure(plan)
}

// runMeasurement runs the measurement of the given kind on the plan in a process of its own and returns its cost. An error holds
// what the process wrote to standard error.
func runMeasurement[C any](run *experimentRun, kind string, plan any) (cost C, err error) {
	input, err := json.Marshal(plan)
	if err != nil {
		return cost, err
	}
	cmd := exec.Command(run.ownBinary(), "hollow", kind)
	cmd.Stdin = bytes.NewReader(input)
	cmd.Env = append(os.Environ(), fmt.Sprintf("GOMAXPROCS=%d", measurementCores))
	var stderr bytes.Buffer
	cmd.Stderr = &stderr
	out, err := cmd.Output()
	if err != nil {
		return cost, fmt.Errorf("%s %s: %w: %s", kind, input, err, bytes.TrimSpace(stderr.Bytes()))
	}
	return cost, json.Unmarshal(out, &cost)
}

// measurementCores is GOMAXPROCS of a measurement. More threads would spend CPU time on spinning while they look for work.
const measurementCores = 2

// maxConcurrentMeasurements limits the measurements that run at the same time.
const maxConcurrentMeasurements = 4

// runMeasurements runs one measurement for each plan, up to maxConcurrentMeasurements at a time, and returns the costs in the
// order of the plans.
func runMeasurements[C, P any](run *experimentRun, kind string, plans []P) ([]C, error) {
	costs := make([]C, len(plans))
	var group errgroup.Group
	if group.SetLimit(maxConcurrentMeasurements); run.shortForm {
		group.SetLimit(len(plans)) // the measurements of the shortest form are small
	}
	for index, plan := range plans {
		group.Go(func() (err error) {
			costs[index], err = runMeasurement[C](run, kind, plan)
			return err
		})
	}
	return costs, group.Wait()
}
