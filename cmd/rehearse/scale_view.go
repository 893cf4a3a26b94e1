package main

import (
	"fmt"

	"valveglade/rig/hollow"
	"valveglade/rig/slope"
)

// viewScaleParts are the parts of the scale experiment that measure the view.
var viewScaleParts = []scalePart{
	{"view-pure", measurePureView},
	{"view-churn", measureViewChurn},
	{"view-outage", measureViewOutage},
	{"view-crowd", measureFleetSizes},
}

// restartsPerMemberPerSecond is the restart rate of one app server: the restarts of the design size divided by its members.
const restartsPerMemberPerSecond = designRestartsPerDay / 86400.0 / designMembers

// pureViewSizes returns the fleet sizes at which the state machine of the view is measured alone.
func (run *experimentRun) pureViewSizes() []int {
	return formValues[[]int]{
		short:    []int{20, 40, 80, 160},
		standard: []int{300, 1000, 3000, 8600},
		long:     []int{300, 1000, 3000, 8600, 17200},
	}.valueFor(run)
}

// pureViewSeconds returns the number of seconds that are simulated at a size.
func (run *experimentRun) pureViewSeconds(members int) float64 {
	switch {
	case run.shortForm:
		return 10
	case run.Long && members <= designMembers:
		return 90
	case members > 4000:
		return 10
	}
	return 60
}

// points collects one value at each size for each series, by the name of the series.
type points map[string][]slope.Point

func (p points) add(name string, x, y float64) { p[name] = append(p[name], slope.Point{X: x, Y: y}) }

const pureViewNote = "the pure view: the machine of logic/view alone, on simulated time, fed generated gossip; its bound of 1,024 " +
	"names raised by a setting"

// observersPerRun is the number of view state machines in each measurement.
const observersPerRun = 2

var restartKinds = []struct {
	name string
	kind hollow.RestartKind
}{{"one-change", hollow.OneChange}, {"all-changes", hollow.AllChanges}}

// measurePureView measures the state machine of the view alone against the number of members, with restarts at the design rate.
func measurePureView(run *experimentRun, result *slope.Result) error {
	var plans []hollow.ViewPlan
	for _, members := range run.pureViewSizes() {
		for _, restart := range restartKinds {
			plans = append(plans, hollow.ViewPlan{Members: members, RestartsPerSecond: restartsPerMemberPerSecond * float64(members),
				Restart: restart.kind, Seconds: run.pureViewSeconds(members), Observers: observersPerRun, Seed: run.Seed})
		}
	}
	costs, err := runMeasurements[hollow.ViewCost](run, "view", plans)
	if err != nil {
		return err
	}
	measured := points{}
	for k, cost := range costs {
		members, kind := plans[k].Members, restartKinds[k%len(restartKinds)].name
		run.printNote("pure view, %s, %d members: %.3g%% of a core, converged %.1f%% of the time, %.0f views an hour", kind, members,
			100*cost.CoreShare, 100*cost.ConvergedShare, cost.ViewsPerHour)
		measured.add("view.pure.cpu."+kind, float64(members), 100*cost.CoreShare)
		measured.add("view.pure.settled."+kind, float64(members), 100*cost.ConvergedShare)
		measured.add("view.pure.memory."+kind, float64(members), cost.HeapBytes/(1<<20))
	}
	for _, restart := range restartKinds {
		seriesList := []slope.Series{
			{Name: "view.pure.cpu." + restart.name, Unit: "% of a core", Fit: slope.Fit{Model: slope.ModelPower}},
			{Name: "view.pure.settled." + restart.name, Unit: "% of the time", Fit: slope.Fit{Model: slope.ModelLog}},
			{Name: "view.pure.memory." + restart.name, Unit: "MB", Fit: slope.Fit{Model: slope.ModelLinear}},
		}
		for _, series := range seriesList {
			series.Against, series.Points, series.Note = "members", measured[series.Name], pureViewNote
			if err := run.addSeries(result, series); err != nil {
				return err
			}
		}
	}
	return nil
}

// measureViewChurn measures the state machine of the view alone against the restart rate, at one size.
func measureViewChurn(run *experimentRun, result *slope.Result) error {
	members, seconds := 300, 120.0
	if run.shortForm {
		members, seconds = 100, 20
	}
	var plans []hollow.ViewPlan
	for _, restartsPerSecond := range []float64{0.05, 0.1, 0.2, 0.4, 0.94} {
		plans = append(plans, hollow.ViewPlan{Members: members, RestartsPerSecond: restartsPerSecond, Restart: hollow.AllChanges,
			Seconds: seconds, Observers: observersPerRun, Seed: run.Seed})
	}
	costs, err := runMeasurements[hollow.ViewCost](run, "view", plans)
	if err != nil {
		return err
	}
	measured := points{}
	for k, cost := range costs {
		measured.add("cpu", plans[k].RestartsPerSecond, 100*cost.CoreShare)
		measured.add("settled", plans[k].RestartsPerSecond, 100*cost.ConvergedShare)
	}
	note := fmt.Sprintf("%s; at %d members", pureViewNote, members)
	err = run.addSeries(result, slope.Series{Name: "view.pure.churn.cpu", Unit: "% of a core", Against: "restarts a second",
		Points: measured["cpu"], Note: note})
	if err != nil {
		return err
	}
	return run.addSeries(result, slope.Series{Name: "view.pure.churn.settled", Unit: "% of the time", Against: "restarts a second",
		Points: measured["settled"], Note: note, Fit: slope.Fit{Model: slope.ModelLog}})
}

const (
	rackSize           = 40  // app servers lost with a rack or a switch
	zoneCount          = 25  // one of them is lost
	deathSpreadSeconds = 3.0 // time over which the deaths of one cause are detected
)

// measureViewOutage measures the loss and return of a rack, and of a zone, at each size, without other restarts.
func measureViewOutage(run *experimentRun, result *slope.Result) error {
	var plans []hollow.OutagePlan
	kinds := []string{"rack", "zone"}
	for _, members := range run.pureViewSizes() {
		for _, lost := range []int{min(rackSize, members/4), max(members/zoneCount, 1)} {
			plan := hollow.ViewPlan{Members: members, Observers: observersPerRun, Seed: run.Seed}
			plans = append(plans, hollow.OutagePlan{View: plan, Lost: lost, SpreadSeconds: deathSpreadSeconds})
		}
	}
	costs, err := runMeasurements[hollow.OutageCost](run, "outage", plans)
	if err != nil {
		return err
	}
	measured := points{}
	for k, cost := range costs {
		members, kind := plans[k].View.Members, kinds[k%len(kinds)]
		run.printNote("pure view, a %s of %d lost among %d: converged after %.1f s, back after %.1f s, %.3g%% of a core", kind,
			plans[k].Lost, members, cost.LostSeconds, cost.BackSeconds, 100*cost.CoreShare)
		measured.add(kind+".lost", float64(members), cost.LostSeconds)
		measured.add(kind+".back", float64(members), cost.BackSeconds)
		measured.add(kind+".cpu", float64(members), 100*cost.CoreShare)
	}
	note := fmt.Sprintf("%s; deaths are found over %g s", pureViewNote, deathSpreadSeconds)
	for _, kind := range kinds {
		for _, spec := range []struct{ name, unit string }{{"lost", "s"}, {"back", "s"}, {"cpu", "% of a core"}} {
			name := kind + "." + spec.name
			err := run.addSeries(result, slope.Series{Name: "view.pure." + name, Unit: spec.unit, Against: "members",
				Points: measured[name], Note: note})
			if err != nil {
				return err
			}
		}
	}
	return nil
}
