package main

import (
	"errors"
	"fmt"

	"valveglade/rig/hollow"
	"valveglade/rig/slope"
)

// roleScaleParts are the parts of the scale experiment that measure elected roles and quotas.
var roleScaleParts = []scalePart{
	{"roles", measureRoles},
	{"voter-burst", measureVoterBurst},
	{"quota", measureQuota},
}

// defaultLeaseSeconds is the default of the setting fleet.lease.
const defaultLeaseSeconds = 2

const roleNote = "pure voters and candidates on simulated time, a lease of 2 s; bytes are those that the program would send"

// measureRoles measures elections against the number of candidates and against the number of roles.
func measureRoles(run *experimentRun, result *slope.Result) error {
	candidates, roles, fixedCandidates := []int{100, 300, 1000, 3000, 8600}, []int{1, 2, 4, 8}, 300
	if run.shortForm {
		candidates, fixedCandidates = []int{10, 20, 40, 80}, 20
	}
	var plans []hollow.RolePlan
	for _, n := range candidates {
		plans = append(plans, hollow.RolePlan{Candidates: n, Roles: 1, Seconds: 12, Lease: defaultLeaseSeconds,
			KillOwner: true, Seed: run.Seed})
	}
	for _, n := range roles {
		plans = append(plans, hollow.RolePlan{Candidates: fixedCandidates, Roles: n, Seconds: 12,
			Lease: defaultLeaseSeconds, Seed: run.Seed})
	}
	costs, err := runMeasurements[hollow.RoleCost](run, "roles", plans)
	if err != nil {
		return err
	}
	measured := points{}
	for k, cost := range costs {
		run.printNote("%d candidates, %d roles: a voter receives %.0f messages a second, max %d in 20 ms, transfers %.1f KB a second; "+
			"%v of CPU per message; role taken over after %.1f s", plans[k].Candidates, plans[k].Roles, cost.MessagesPerSecond,
			cost.PeakPerTick, cost.BytesPerSecond/1000, cost.CPUPerMessage, cost.TakenOverSeconds)
		x, against := float64(plans[k].Candidates), "candidates"
		if k >= len(candidates) {
			x, against = float64(plans[k].Roles), "roles"
		}
		measured.add("voter.messages."+against, x, cost.MessagesPerSecond)
		measured.add("voter.peak."+against, x, float64(cost.PeakPerTick))
		measured.add("voter.bytes."+against, x, cost.BytesPerSecond/1000)
		if against == "candidates" {
			measured.add("role.taken.over.candidates", x, cost.TakenOverSeconds)
		}
	}
	seriesSpecs := []struct{ name, unit, against string }{
		{"voter.messages.candidates", "messages a second", "members"}, {"voter.peak.candidates", "messages in 20 ms", "members"},
		{"voter.bytes.candidates", "KB a second", "members"}, {"role.taken.over.candidates", "s", "members"},
		{"voter.messages.roles", "messages a second", "roles"}, {"voter.peak.roles", "messages in 20 ms", "roles"},
		{"voter.bytes.roles", "KB a second", "roles"},
	}
	for _, spec := range seriesSpecs {
		note := roleNote
		if spec.against == "roles" {
			note = fmt.Sprintf("%s; %d candidates", roleNote, fixedCandidates)
		}
		if err := run.addSeries(result, slope.Series{Name: spec.name, Unit: spec.unit, Against: spec.against,
			Points: measured[spec.name], Note: note}); err != nil {
			return err
		}
	}
	return nil
}

// thresholdNote is part of the notes of series that are 0 up to some size.
const thresholdNote = "there is a threshold in it: the fit holds for the sizes that were run and for no other"

// measureVoterBurst measures how many requests a real voter answers if all candidates send one at the same moment.
func measureVoterBurst(run *experimentRun, result *slope.Result) error {
	sizes := []int{100, 300, 500, 1000, 3000, designMembers}
	if run.shortForm {
		sizes = []int{20, 40, 80, 160}
	}
	var plans []hollow.BurstPlan
	for _, candidates := range sizes {
		plans = append(plans, hollow.BurstPlan{Candidates: candidates})
	}
	costs, err := runMeasurements[hollow.BurstCost](run, "burst", plans)
	if err != nil {
		return err
	}
	var answered, lost []slope.Point
	firstLost := 0
	for k, cost := range costs {
		candidates := sizes[k]
		run.printNote("%d requests at once: a voter answers %d, %v of CPU per request", candidates, cost.Answered, cost.CPUPerRequest)
		answered = append(answered, slope.Point{X: float64(candidates), Y: float64(cost.Answered)})
		lost = append(lost, slope.Point{X: float64(candidates), Y: 100 * float64(candidates-cost.Answered) / float64(candidates)})
		if firstLost == 0 && cost.Answered < candidates {
			firstLost = candidates
		}
	}
	run.report("voter.burst.first.lost", float64(firstLost))
	note := "a real voter of fleet, all candidates ask at one moment, over an in-memory transport with no packet lost on its way"
	err = run.addSeries(result, slope.Series{Name: "voter.burst.answered", Unit: "questions", Against: "questions at once",
		Points: answered, Note: note, Fit: slope.Fit{Model: slope.ModelPower}})
	if err != nil {
		return err
	}
	return run.addSeries(result, slope.Series{Name: "voter.burst.lost", Unit: "% of the questions", Against: "questions at once",
		Points: lost, Note: note + "; " + thresholdNote})
}

// quotaSizes holds the numbers of leaseholders and of kinds of work that an allocator is measured against. A leaseholder is a
// process that requests permits of every kind of work. Each kind is a limit with an allocator role of its own, and the allocator
// grants the permits of that limit; one process holds all these roles.
type quotaSizes struct {
	holders, kinds []int
	fixedHolders   int     // leaseholders while the number of kinds varies
	seconds        float64 // length of the measurement of one size, in seconds
}

// selectQuotaSizes returns the numbers of leaseholders and of kinds, and the length of each measurement, for the selected form:
// short, long or standard. The short form takes precedence over Long. See quotaSizes for the terms.
func (run *experimentRun) selectQuotaSizes() quotaSizes {
	sizes := quotaSizes{[]int{100, 200, 300, 400, 600, 800, 1000}, []int{1, 2, 4, 8}, 200, 2}
	switch {
	case run.shortForm:
		sizes.holders, sizes.seconds, sizes.fixedHolders = []int{5, 10, 20, 40}, 0.3, 10
	case run.Long:
		sizes.holders, sizes.seconds = append(sizes.holders, 1500, 3000, designMembers), 5
	}
	return sizes
}

// plans returns a plan for each number of leaseholders, then one for each number of kinds.
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

// measureQuota measures a real allocator under the requests of simulated leaseholders.
func measureQuota(run *experimentRun, result *slope.Result) error {
	sizes := run.selectQuotaSizes()
	plans := sizes.plans(run.Seed)
	costs, err := runMeasurements[hollow.QuotaCost](run, "quota", plans)
	if err != nil {
		return err
	}
	measured := points{}
	firstLost := 0
	for k, cost := range costs {
		plan := plans[k]
		if firstLost == 0 && plan.Kinds == 1 && cost.LostShare > negligibleLostShare {
			firstLost = plan.Holders
		}
		run.printNote(
			"%d leaseholders, %d kinds: %.0f requests a second, %.2f%% lost, %d without any answer, %.3g%% of a core, %v per request, "+
				"sends %.0f packets and %.0f KB a second", plan.Holders, plan.Kinds, cost.RequestsPerSecond, 100*cost.LostShare,
			cost.RefusedHolders, 100*cost.CoreShare, cost.CPUPerRequest, cost.PacketsPerSecond, cost.BytesPerSecond/1000)
		x, against := float64(plan.Holders), "holders"
		if k >= len(sizes.holders) {
			x, against = float64(plan.Kinds), "kinds"
		}
		measured.addQuotaCost(against, x, cost, run.shortForm)
	}
	run.report("allocator.first.lost.holders", float64(firstLost))
	return run.addQuotaSeries(result, measured, sizes.fixedHolders)
}

// addQuotaCost adds the points of one measurement. It leaves out the cost of answering if too many requests were lost, as that
// cost is then meaningless. The shortest form keeps it, as it is too short to measure the share of lost requests.
func (p points) addQuotaCost(against string, x float64, cost hollow.QuotaCost, shortForm bool) {
	p.add("allocator.lost."+against, x, 100*cost.LostShare)
	p.add("allocator.refused."+against, x, float64(cost.RefusedHolders))
	if cost.LostShare > maxLostShare && !shortForm {
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

// addQuotaSeries adds the series of an allocator. It leaves out a series whose allocator answered at too few sizes, and prints
// a note on it.
func (run *experimentRun) addQuotaSeries(result *slope.Result, measured points, fixedHolders int) error {
	for _, spec := range quotaSeriesSpecs {
		for _, against := range []string{"holders", "kinds"} {
			series := slope.Series{Name: spec.name + "." + against, Unit: spec.unit, Against: "members",
				Fit: slope.Fit{Model: spec.model}, Note: quotaNote}
			series.Points = measured[series.Name]
			if spec.threshold {
				series.Against = "holders"
				series.Note += "; " + thresholdNote
			}
			if against == "kinds" {
				series.Against = "kinds of work"
				series.Note += fmt.Sprintf("; %d holders", fixedHolders)
			}
			if err := run.addSeries(result, series); errors.Is(err, slope.ErrTooFewSizes) {
				run.printNote("%s: not fitted, as at only %d sizes at most %g%% of the requests were lost", series.Name,
					len(series.Points), 100*maxLostShare)
			} else if err != nil {
				return err
			}
		}
	}
	return nil
}

// negligibleLostShare is the share of requests without an answer up to which none is counted as lost: one in several hundred may
// still be in flight when the count ends.
const negligibleLostShare = 0.005

// maxLostShare is the maximum share of lost requests at which the cost of answering is taken into account.
const maxLostShare = 0.05
