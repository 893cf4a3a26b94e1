package main

import (
	"fmt"

	"valveglade/rig/hollow"
	"valveglade/rig/slope"
)

// viewScaleParts are the parts of the scale run that measure the view.
var viewScaleParts = []scalePart{
	{"view-pure", measurePureView},
	{"view-churn", measureViewChurn},
	{"view-outage", measureViewOutage},
	{"view-crowd", measureFleetSizes},
}

// restartsPerMemberPerSecond is how often an app server restarts, per second: the design's restarts over its members.
const restartsPerMemberPerSecond = designRestartsPerDay / 86400.0 / designMembers

// pureViewSizes are the sizes at which the view's machine runs alone.
func (p *experimentRun) pureViewSizes() []int {
	return formValues[[]int]{
		short:    []int{20, 40, 80, 160},
		standard: []int{300, 1000, 3000, 8600},
		long:     []int{300, 1000, 3000, 8600, 17200},
	}.valueFor(p)
}

// pureViewSeconds is how many seconds are simulated at each size.
func (p *experimentRun) pureViewSeconds(members int) float64 {
	switch {
	case p.shortForm:
		return 10
	case p.Long && members <= designMembers:
		return 90
	case members > 4000:
		return 10
	}
	return 60
}

// points collects one value of each size, by series.
type points map[string][]slope.Point

func (p points) add(name string, x, y float64) { p[name] = append(p[name], slope.Point{X: x, Y: y}) }

const pureViewNote = "the pure view: the machine of logic/view alone, on simulated time, fed generated gossip; its bound of 1,024 " +
	"names raised by a setting"

// observersPerRun is how many machines run in each measurement of the pure view.
const observersPerRun = 2

var restartKinds = []struct {
	name string
	kind hollow.Restart
}{{"one-change", hollow.OneChange}, {"all-changes", hollow.AllChanges}}

// measurePureView runs the view's machine alone against members, with restarts in proportion.
func measurePureView(p *experimentRun, r *slope.Result) error {
	var plans []hollow.ViewPlan
	for _, members := range p.pureViewSizes() {
		for _, restart := range restartKinds {
			plans = append(plans, hollow.ViewPlan{Members: members, RestartsPerSecond: restartsPerMemberPerSecond * float64(members),
				Restart: restart.kind, Seconds: p.pureViewSeconds(members), Observers: observersPerRun, Seed: p.Seed})
		}
	}
	costs, err := runMeasurements[hollow.ViewCost](p, "view", plans)
	if err != nil {
		return err
	}
	found := points{}
	for k, cost := range costs {
		members, kind := plans[k].Members, restartKinds[k%len(restartKinds)].name
		p.printNote("pure view, %s, %d members: %.3g%% of a core, settled %.1f%%, %.0f views an hour", kind, members,
			100*cost.CoreShare, 100*cost.ConvergedShare, cost.ViewsPerHour)
		found.add("view.pure.cpu."+kind, float64(members), 100*cost.CoreShare)
		found.add("view.pure.settled."+kind, float64(members), 100*cost.ConvergedShare)
		found.add("view.pure.memory."+kind, float64(members), cost.HeapBytes/(1<<20))
	}
	for _, restart := range restartKinds {
		all := []slope.Series{
			{Name: "view.pure.cpu." + restart.name, Unit: "% of a core", Fit: slope.Fit{Model: slope.ModelPower}},
			{Name: "view.pure.settled." + restart.name, Unit: "% of the time", Fit: slope.Fit{Model: slope.ModelLog}},
			{Name: "view.pure.memory." + restart.name, Unit: "MB", Fit: slope.Fit{Model: slope.ModelLinear}},
		}
		for _, s := range all {
			s.Against, s.Points, s.Note = "members", found[s.Name], pureViewNote
			if err := p.addSeries(r, s); err != nil {
				return err
			}
		}
	}
	return nil
}

// measureViewChurn runs the view's machine alone at one size against churn.
func measureViewChurn(p *experimentRun, r *slope.Result) error {
	members, seconds := 300, 120.0
	if p.shortForm {
		members, seconds = 100, 20
	}
	var plans []hollow.ViewPlan
	for _, perSecond := range []float64{0.05, 0.1, 0.2, 0.4, 0.94} {
		plans = append(plans, hollow.ViewPlan{Members: members, RestartsPerSecond: perSecond, Restart: hollow.AllChanges,
			Seconds: seconds, Observers: observersPerRun, Seed: p.Seed})
	}
	costs, err := runMeasurements[hollow.ViewCost](p, "view", plans)
	if err != nil {
		return err
	}
	found := points{}
	for k, cost := range costs {
		found.add("cpu", plans[k].RestartsPerSecond, 100*cost.CoreShare)
		found.add("settled", plans[k].RestartsPerSecond, 100*cost.ConvergedShare)
	}
	note := fmt.Sprintf("%s; at %d members", pureViewNote, members)
	err = p.addSeries(r, slope.Series{Name: "view.pure.churn.cpu", Unit: "% of a core", Against: "restarts a second",
		Points: found["cpu"], Note: note})
	if err != nil {
		return err
	}
	return p.addSeries(r, slope.Series{Name: "view.pure.churn.settled", Unit: "% of the time", Against: "restarts a second",
		Points: found["settled"], Note: note, Fit: slope.Fit{Model: slope.ModelLog}})
}

const (
	rackSize   = 40  // app servers that a rack or a switch takes with it
	zoneCount  = 25  // zones, of which one is lost
	deathSpreadSeconds = 3.0 // seconds over which the deaths of one cause are found
)

// measureViewOutage has a rack, and a zone, lost and back at each size, at rest otherwise.
func measureViewOutage(p *experimentRun, r *slope.Result) error {
	var plans []hollow.OutagePlan
	kinds := []string{"rack", "zone"}
	for _, members := range p.pureViewSizes() {
		for _, lost := range []int{min(rackSize, members/4), max(members/zoneCount, 1)} {
			plan := hollow.ViewPlan{Members: members, Observers: observersPerRun, Seed: p.Seed}
			plans = append(plans, hollow.OutagePlan{View: plan, Lost: lost, SpreadSeconds: deathSpreadSeconds})
		}
	}
	costs, err := runMeasurements[hollow.Outage](p, "outage", plans)
	if err != nil {
		return err
	}
	found := points{}
	for k, out := range costs {
		members, what := plans[k].View.Members, kinds[k%len(kinds)]
		p.printNote("pure view, a %s of %d lost among %d: settled after %.1f s, back after %.1f s, %.3g%% of a core", what, plans[k].Lost,
			members, out.LostSeconds, out.BackSeconds, 100*out.CoreShare)
		found.add(what+".lost", float64(members), out.LostSeconds)
		found.add(what+".back", float64(members), out.BackSeconds)
		found.add(what+".cpu", float64(members), 100*out.CoreShare)
	}
	note := fmt.Sprintf("%s; deaths are found over %g s", pureViewNote, deathSpreadSeconds)
	for _, what := range kinds {
		for _, part := range []struct{ name, unit string }{{"lost", "s"}, {"back", "s"}, {"cpu", "% of a core"}} {
			name := what + "." + part.name
			err := p.addSeries(r, slope.Series{Name: "view.pure." + name, Unit: part.unit, Against: "members", Points: found[name], Note: note})
			if err != nil {
				return err
			}
		}
	}
	return nil
}
