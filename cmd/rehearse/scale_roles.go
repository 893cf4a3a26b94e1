package main

import (
	"errors"
	"fmt"

	"valveglade/rig/hollow"
	"valveglade/rig/slope"
)

// roleScaleParts are the parts of the scale run that measure elected roles and quotas.
var roleScaleParts = []scalePart{
	{"roles", measureRoles},
	{"voter-burst", measureVoterBurst},
	{"quota", measureQuota},
}

// defaultLeaseSeconds is the default of fleet.lease, in seconds.
const defaultLeaseSeconds = 2

const roleNote = "pure voters and candidates on simulated time, a lease of 2 s; bytes are those that the program would send"

// measureRoles plays elections against candidates, and against roles.
func measureRoles(p *experimentRun, r *slope.Result) error {
	candidates, roles, few := []int{100, 300, 1000, 3000, 8600}, []int{1, 2, 4, 8}, 300
	if p.shortForm {
		candidates, few = []int{10, 20, 40, 80}, 20
	}
	var plans []hollow.RolePlan
	for _, n := range candidates {
		plans = append(plans, hollow.RolePlan{Candidates: n, Roles: 1, Seconds: 12, Lease: defaultLeaseSeconds, KillOwner: true, Seed: p.Seed})
	}
	for _, n := range roles {
		plans = append(plans, hollow.RolePlan{Candidates: few, Roles: n, Seconds: 12, Lease: defaultLeaseSeconds, Seed: p.Seed})
	}
	costs, err := runMeasurements[hollow.RoleCost](p, "roles", plans)
	if err != nil {
		return err
	}
	found := points{}
	for k, cost := range costs {
		p.printNote("%d candidates, %d roles: a voter receives %.0f messages a second, at most %d in 20 ms, passes %.1f KB a second; "+
			"%v a message; taken over after %.1f s", plans[k].Candidates, plans[k].Roles, cost.MessagesPerSecond, cost.PeakPerTick,
			cost.BytesPerSecond/1000, cost.CPUPerMessage, cost.TakenOverSeconds)
		x, against := float64(plans[k].Candidates), "candidates"
		if k >= len(candidates) {
			x, against = float64(plans[k].Roles), "roles"
		}
		found.add("voter.messages."+against, x, cost.MessagesPerSecond)
		found.add("voter.peak."+against, x, float64(cost.PeakPerTick))
		found.add("voter.bytes."+against, x, cost.BytesPerSecond/1000)
		if against == "candidates" {
			found.add("role.taken.over.candidates", x, cost.TakenOverSeconds)
		}
	}
	units := []struct{ name, unit, against string }{
		{"voter.messages.candidates", "messages a second", "members"}, {"voter.peak.candidates", "messages in 20 ms", "members"},
		{"voter.bytes.candidates", "KB a second", "members"}, {"role.taken.over.candidates", "s", "members"},
		{"voter.messages.roles", "messages a second", "roles"}, {"voter.peak.roles", "messages in 20 ms", "roles"},
		{"voter.bytes.roles", "KB a second", "roles"},
	}
	for _, u := range units {
		note := roleNote
		if u.against == "roles" {
			note = fmt.Sprintf("%s; %d candidates", roleNote, few)
		}
		if err := p.addSeries(r, slope.Series{Name: u.name, Unit: u.unit, Against: u.against, Points: found[u.name], Note: note}); err != nil {
			return err
		}
	}
	return nil
}

// thresholdNote is told with series that are 0 up to some size.
const thresholdNote = "there is a threshold in it: the fit holds for the sizes that were run and for no other"

// measureVoterBurst has candidates ask a real voter all at one time.
func measureVoterBurst(p *experimentRun, r *slope.Result) error {
	sizes := []int{100, 300, 500, 1000, 3000, designMembers}
	if p.shortForm {
		sizes = []int{20, 40, 80, 160}
	}
	var plans []hollow.BurstPlan
	for _, n := range sizes {
		plans = append(plans, hollow.BurstPlan{Candidates: n})
	}
	costs, err := runMeasurements[hollow.BurstCost](p, "burst", plans)
	if err != nil {
		return err
	}
	var answered, lost []slope.Point
	firstLost := 0
	for k, cost := range costs {
		n := sizes[k]
		p.printNote("%d questions at once: a voter answers %d, %v a question", n, cost.Answered, cost.CPUPerQuestion)
		answered = append(answered, slope.Point{X: float64(n), Y: float64(cost.Answered)})
		lost = append(lost, slope.Point{X: float64(n), Y: 100 * float64(n-cost.Answered) / float64(n)})
		if firstLost == 0 && cost.Answered < n {
			firstLost = n
		}
	}
	p.report("voter.burst.first.lost", float64(firstLost))
	note := "a real voter of fleet, all candidates ask at one moment, over an in-memory transport with no packet lost on its way"
	err = p.addSeries(r, slope.Series{Name: "voter.burst.answered", Unit: "questions", Against: "questions at once", Points: answered, Note: note,
		Fit: slope.Fit{Model: slope.ModelPower}})
	if err != nil {
		return err
	}
	return p.addSeries(r, slope.Series{Name: "voter.burst.lost", Unit: "% of the questions", Against: "questions at once", Points: lost, Note: note + "; " + thresholdNote})
}

// quotaSizes are the holders and kinds of work that an allocator is measured against.
type quotaSizes struct {
	holders, kinds []int
	fixedHolders           int // holders at each number of kinds
	seconds        float64
}

func (p *experimentRun) quotaSizes() quotaSizes {
	sizes := quotaSizes{[]int{100, 200, 300, 400, 600, 800, 1000}, []int{1, 2, 4, 8}, 200, 2}
	switch {
	case p.shortForm:
		sizes.holders, sizes.seconds, sizes.fixedHolders = []int{5, 10, 20, 40}, 0.3, 10
	case p.Long:
		sizes.holders, sizes.seconds = append(sizes.holders, 1500, 3000, designMembers), 5
	}
	return sizes
}

// plans are a run for each number of holders, then one for each number of kinds.
func (s quotaSizes) plans(seed uint64) []hollow.QuotaPlan {
	var plans []hollow.QuotaPlan
	for _, n := range s.holders {
		plans = append(plans, hollow.QuotaPlan{Holders: n, Kinds: 1, Seconds: s.seconds, Seed: seed})
	}
	for _, n := range s.kinds {
		plans = append(plans, hollow.QuotaPlan{Holders: s.fixedHolders, Kinds: n, Seconds: s.seconds, Seed: seed})
	}
	return plans
}

// measureQuota has hollow holders ask a real allocator.
func measureQuota(p *experimentRun, r *slope.Result) error {
	sizes := p.quotaSizes()
	plans := sizes.plans(p.Seed)
	costs, err := runMeasurements[hollow.QuotaCost](p, "quota", plans)
	if err != nil {
		return err
	}
	found := points{}
	firstLost := 0
	for k, cost := range costs {
		plan := plans[k]
		if firstLost == 0 && plan.Kinds == 1 && cost.LostShare > negligibleLostShare {
			firstLost = plan.Holders
		}
		p.printNote("%d holders, %d kinds: %.0f questions a second, %.2f%% lost, %d streams refused, %.3g%% of a core, %v a question, sends "+
			"%.0f packets and %.0f KB a second", plan.Holders, plan.Kinds, cost.QuestionsPerSecond, 100*cost.LostShare, cost.RefusedHolders,
			100*cost.CoreShare, cost.CPUPerQuestion, cost.PacketsPerSecond, cost.BytesPerSecond/1000)
		x, against := float64(plan.Holders), "holders"
		if k >= len(sizes.holders) {
			x, against = float64(plan.Kinds), "kinds"
		}
		found.addQuotaCost(against, x, cost, p.shortForm)
	}
	p.report("allocator.first.lost.holders", float64(firstLost))
	return p.addQuotaSeries(r, found, sizes.fixedHolders)
}

// addQuotaCost adds one run's points. What answering costs says nothing where most is not answered; tiny runs are too short to tell.
func (p points) addQuotaCost(against string, x float64, cost hollow.QuotaCost, tiny bool) {
	p.add("allocator.lost."+against, x, 100*cost.LostShare)
	p.add("allocator.refused."+against, x, float64(cost.RefusedHolders))
	if cost.LostShare > maxLostShare && !tiny {
		return
	}
	p.add("allocator.cpu."+against, x, 100*cost.CoreShare)
	p.add("allocator.sent.bytes."+against, x, cost.BytesPerSecond/1000)
	p.add("allocator.sent.packets."+against, x, cost.PacketsPerSecond)
}

// quotaSeriesSpecs are the series of an allocator.
var quotaSeriesSpecs = []struct {
	name, unit, model string
	threshold         bool
}{
	{"allocator.cpu", "% of a core", slope.ModelPower, false},
	{"allocator.lost", "% of the questions", slope.ModelLinear, true},
	{"allocator.refused", "holders", slope.ModelLinear, true},
	{"allocator.sent.bytes", "KB a second", slope.ModelLinear, false},
	{"allocator.sent.packets", "packets a second", slope.ModelLinear, false},
}

const quotaNote = "a real allocator of fleet in real time over an in-memory transport, hollow holders that each ask ten times a second"

// addQuotaSeries fits what was found. A series whose allocator answered at too few sizes is left out, and that is said.
func (p *experimentRun) addQuotaSeries(r *slope.Result, found points, many int) error {
	for _, u := range quotaSeriesSpecs {
		for _, against := range []string{"holders", "kinds"} {
			s := slope.Series{Name: u.name + "." + against, Unit: u.unit, Against: "members", Fit: slope.Fit{Model: u.model}, Note: quotaNote}
			s.Points = found[s.Name]
			if u.threshold {
				s.Against = "holders"
				s.Note += "; " + thresholdNote
			}
			if against == "kinds" {
				s.Against = "kinds of work"
				s.Note += fmt.Sprintf("; %d holders", many)
			}
			if err := p.addSeries(r, s); errors.Is(err, slope.ErrTooFewSizes) {
				p.printNote("%s: not fitted, as at only %d sizes less than %g%% of the questions were lost", s.Name, len(s.Points), 100*maxLostShare)
			} else if err != nil {
				return err
			}
		}
	}
	return nil
}

// negligibleLostShare is past which share questions are held for lost: one in some hundreds may still be on its way as the count ends.
const negligibleLostShare = 0.005

// maxLostShare is up to what share of lost questions an allocator is held for one that answers.
const maxLostShare = 0.05
