package main

import (
	"fmt"
	"math"

	"valveglade/rig/hollow"
	"valveglade/rig/slope"
)

// viewScaleParts are the parts of the scale run that measure the view.
var viewScaleParts = []scalePart{
	{"view-pure", measurePureView},
	{"view-churn", measureViewChurn},
	{"view-outage", measureViewOutage},
}

// restartsPerMember is how often an app server restarts, per second: the design's restarts over its members.
const restartsPerMember = designRestartsPerDay / 86400.0 / designMembers

// pureSizes are the sizes at which the view's machine runs alone.
func (p *play) pureSizes() []int {
	switch {
	case p.brief:
		return []int{20, 40, 80, 160}
	case p.Long:
		return []int{300, 1000, 3000, 8600, 17200}
	}
	return []int{300, 1000, 3000, 5000, 8600}
}

// pureSeconds is how many seconds are simulated at each size.
func (p *play) pureSeconds(members int) float64 {
	switch {
	case p.brief:
		return 10
	case p.Long:
		return 120
	case members > 4000:
		return 30
	}
	return 120
}

// points collects one value of each size.
type points map[string][]slope.Point

func (p points) add(name string, x, y float64) { p[name] = append(p[name], slope.Point{X: x, Y: y}) }

const pureNote = "the pure view: the machine of logic/view alone, on simulated time, fed generated gossip; its bound of 1,024 " +
	"names raised by a setting"

// measurePureView runs the view's machine alone against members, with restarts in proportion.
func measurePureView(p *play, r *slope.Result) error {
	found := points{}
	for _, members := range p.pureSizes() {
		for kind, restart := range map[string]hollow.Restart{"one-change": hollow.OneChange, "all-changes": hollow.AllChanges} {
			cost := hollow.RunView(hollow.ViewPlan{Members: members, RestartsPerSecond: restartsPerMember * float64(members),
				Restart: restart, Seconds: p.pureSeconds(members), Observers: 2, Seed: p.Seed})
			p.say("pure view, %s, %d members: %.3g%% of a core, settled %.1f%%, %.1f KB a name, %.0f views an hour", kind, members,
				100*cost.CoreShare, 100*cost.SettledShare, cost.HeapBytes/float64(members)/1024, cost.ViewsPerHour)
			found.add("view.pure.cpu."+kind, float64(members), 100*cost.CoreShare)
			found.add("view.pure.settled."+kind, float64(members), 100*cost.SettledShare)
			found.add("view.pure.memory."+kind, float64(members), cost.HeapBytes/(1<<20))
		}
	}
	for _, kind := range []string{"one-change", "all-changes"} {
		all := []slope.Series{
			{Name: "view.pure.cpu." + kind, Unit: "% of a core", Fit: slope.Fit{Model: slope.ModelPower}},
			{Name: "view.pure.settled." + kind, Unit: "% of the time", Fit: slope.Fit{Model: slope.ModelLog}},
			{Name: "view.pure.memory." + kind, Unit: "MB", Fit: slope.Fit{Model: slope.ModelLinear}},
		}
		for _, s := range all {
			s.Against, s.Points, s.Note = "members", found[s.Name], pureNote
			if err := p.series(r, s); err != nil {
				return err
			}
		}
	}
	return nil
}

// measureViewChurn runs the view's machine alone at one size against churn.
func measureViewChurn(p *play, r *slope.Result) error {
	members, seconds := 1000, 120.0
	if p.brief {
		members, seconds = 100, 20
	}
	found := points{}
	for _, perSecond := range []float64{0.05, 0.1, 0.2, 0.4, 0.8} {
		cost := hollow.RunView(hollow.ViewPlan{Members: members, RestartsPerSecond: perSecond, Restart: hollow.AllChanges,
			Seconds: seconds, Observers: 2, Seed: p.Seed})
		found.add("cpu", perSecond, 100*cost.CoreShare)
		found.add("settled", perSecond, 100*cost.SettledShare)
	}
	note := fmt.Sprintf("%s; at %d members", pureNote, members)
	err := p.series(r, slope.Series{Name: "view.pure.churn.cpu", Unit: "% of a core", Against: "restarts a second",
		Points: found["cpu"], Note: note})
	if err != nil {
		return err
	}
	return p.series(r, slope.Series{Name: "view.pure.churn.settled", Unit: "% of the time", Against: "restarts a second",
		Points: found["settled"], Note: note, Fit: slope.Fit{Model: slope.ModelLog}})
}

// rackSize is how many app servers a rack or a switch takes with it.
const rackSize = 40

// zoneParts is of how many zones one is lost.
const zoneParts = 25

// lossSpread is over how many seconds the deaths of one cause are found.
const lossSpread = 3.0

// measureViewOutage has a rack, and a zone, lost and back at each size, at rest otherwise.
func measureViewOutage(p *play, r *slope.Result) error {
	found := points{}
	for _, members := range p.pureSizes() {
		plan := hollow.ViewPlan{Members: members, Observers: 2, Seed: p.Seed}
		for what, lost := range map[string]int{"rack": min(rackSize, members/4), "zone": max(members/zoneParts, 1)} {
			out := hollow.RunOutage(plan, lost, lossSpread)
			p.say("pure view, a %s of %d lost among %d: settled after %.1f s, back after %.1f s, %.3g%% of a core", what, lost, members,
				out.LostSeconds, out.BackSeconds, 100*out.CoreShare)
			if math.IsInf(out.LostSeconds+out.BackSeconds, 1) {
				return fmt.Errorf("a %s of %d lost among %d: never settled", what, lost, members)
			}
			found.add("view.pure."+what+".lost", float64(members), out.LostSeconds)
			found.add("view.pure."+what+".back", float64(members), out.BackSeconds)
			found.add("view.pure."+what+".cpu", float64(members), 100*out.CoreShare)
		}
	}
	for _, what := range []string{"rack", "zone"} {
		for part, unit := range map[string]string{"lost": "s", "back": "s", "cpu": "% of a core"} {
			name := "view.pure." + what + "." + part
			note := fmt.Sprintf("%s; deaths are found over %g s", pureNote, lossSpread)
			if err := p.series(r, slope.Series{Name: name, Unit: unit, Against: "members", Points: found[name], Note: note}); err != nil {
				return err
			}
		}
	}
	return nil
}
