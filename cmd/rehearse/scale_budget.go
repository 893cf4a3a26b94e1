package main

import (
	"fmt"
	"math"

	"valveglade/rig/slope"
)

// budget is what control may take on each app server, and the series that says at which size it does.
type budget struct {
	name   string
	series string
	limit  float64 // in the unit of the series
	design float64 // size
	// threshold is true for a series that stays at 0 up to some size, of which a fit says nothing at others.
	threshold bool
}

// fleetBudgets are those that hang on the number of members.
var fleetBudgets = []budget{
	{name: "core, sockets and all", series: "view.member.cpu", limit: 100 * budgetCore, design: designMembers},
	{name: "core, the view's machine", series: "view.pure.cpu.one-change", limit: 100 * budgetCore, design: designMembers},
	{name: "network", series: "view.member.bytes", limit: budgetBytesPerSecond / 1e3, design: designMembers},
	{name: "memory", series: "view.process.memory", limit: budgetBytes / 1e6, design: designMembers},
	{name: "voter's queue", series: "voter.burst.lost", design: designMembers, threshold: true},
	{name: "allocator's queue", series: "allocator.lost.holders", design: designMembers, threshold: true},
}

// configBudgets are those that hang on the configuration.
var configBudgets = []budget{
	{name: "core", series: "config.off.change_seconds.tenants", limit: budgetCore / designChangesPerSecond, design: designTenants},
	{name: "core", series: "config.off.change_seconds.routes", limit: budgetCore / designChangesPerSecond, design: designRoutes},
	{name: "core", series: "config.on.change_seconds.entries", limit: budgetCore / designChangesPerSecond, design: designEntries},
	{name: "memory_peak", series: "config.off.change_peak_bytes.tenants", limit: budgetBytes, design: designTenants},
	{name: "memory_peak", series: "config.off.change_peak_bytes.routes", limit: budgetBytes, design: designRoutes},
	{name: "memory", series: "config.off.resident_bytes.tenants", limit: budgetBytes, design: designTenants},
	{name: "memory", series: "config.off.resident_bytes.routes", limit: budgetBytes, design: designRoutes},
	{name: "memory", series: "config.on.resident_bytes.entries", limit: budgetBytes, design: designEntries},
	{name: "network", series: "config.off.change_bytes.tenants", limit: budgetBytesPerSecond / designChangesPerSecond, design: designTenants},
	{name: "network", series: "config.off.change_bytes.routes", limit: budgetBytesPerSecond / designChangesPerSecond, design: designRoutes},
	{name: "network", series: "config.on.change_bytes.entries", limit: budgetBytesPerSecond / designChangesPerSecond, design: designEntries},
	{name: "added_p99", series: "config.off.rpc_added_p99_seconds", limit: budgetAddedSeconds, design: designTenants},
}

// measureConfigBudgets tells at which size each budget is used up, from the series that were measured before.
func measureConfigBudgets(p *experimentRun, r *slope.Result) error {
	for _, b := range configBudgets {
		s, ok := r.Find(b.series)
		if !ok {
			continue
		}
		size, measured := sizeAt(s, b.limit)
		if math.IsInf(size, 1) {
			p.printNote("budget %s by %s: not used up at any size, run to %g %s", b.name, s.Name, s.Largest, s.Against)
			continue
		}
		how := "between sizes that were run"
		if !measured {
			how = "worked out, beyond the sizes that were run"
		}
		p.printNote("budget %s by %s: used up at %.4g %s, %.2g %% of the design size, %s", b.name, s.Name, size, s.Against,
			100*size/b.design, how)
		p.report(fmt.Sprintf("budget.%s.%s", b.name, s.Against), size)
	}
	return nil
}

// sizeAt gives the size at which a rising series passes a limit for good: between the measured sizes on either side of it,
// or beyond all of them by the fit; then measured is false. It is +Inf for a series that does not rise to it.
func sizeAt(s slope.Series, limit float64) (size float64, measured bool) {
	last := -1 // the largest size under the limit
	for k, point := range s.Points {
		if point.Y <= limit {
			last = k
		}
	}
	if last >= 0 && last < len(s.Points)-1 {
		under, over := s.Points[last], s.Points[last+1]
		return under.X + (over.X-under.X)*(limit-under.Y)/(over.Y-under.Y), true
	}
	if s.Fit.Slope <= 0 {
		return math.Inf(1), false
	}
	byFit := max((limit-s.Fit.Intercept)/s.Fit.Slope, 0)
	if last < 0 {
		return min(byFit, s.Points[0].X), false
	}
	return max(byFit, s.Largest), false
}
