package main

import (
	"fmt"
	"math"

	"valveglade/rig/slope"
)

// budget limits what valveglade may use on each app server, and names the series that the limit applies to.
type budget struct {
	name   string
	series string
	limit  float64 // in the unit of the series
	design float64 // design size, in the quantity that the series is measured against
	// threshold marks a series that is 0 up to some size: a fit to it says nothing about other sizes.
	threshold bool
}

// fleetBudgets are the budgets that depend on the number of members.
var fleetBudgets = []budget{
	{name: "core, sockets and all", series: "view.member.cpu", limit: 100 * budgetCore, design: designMembers},
	{name: "core, the view's machine", series: "view.pure.cpu.one-change", limit: 100 * budgetCore, design: designMembers},
	{name: "network", series: "view.member.bytes", limit: budgetBytesPerSecond / 1e3, design: designMembers},
	{name: "memory", series: "view.process.memory", limit: budgetBytes / 1e6, design: designMembers},
	{name: "voter's queue", series: "voter.burst.lost", design: designMembers, threshold: true},
	{name: "allocator's queue", series: "allocator.lost.holders", design: designMembers, threshold: true},
}

// configBudgets are the budgets that depend on the size of the configuration.
var configBudgets = []budget{
	{name: "core", series: "config.off.change_seconds.tenants", limit: budgetCore / designChangesPerSecond, design: designTenants},
	{name: "core", series: "config.off.change_seconds.routes", limit: budgetCore / designChangesPerSecond, design: designRoutes},
	{name: "core", series: "config.on.change_seconds.entries", limit: budgetCore / designChangesPerSecond, design: designEntries},
	{name: "memory_peak", series: "config.off.change_peak_bytes.tenants", limit: budgetBytes, design: designTenants},
	{name: "memory_peak", series: "config.off.change_peak_bytes.routes", limit: budgetBytes, design: designRoutes},
	{name: "memory", series: "config.off.resident_bytes.tenants", limit: budgetBytes, design: designTenants},
	{name: "memory", series: "config.off.resident_bytes.routes", limit: budgetBytes, design: designRoutes},
	{name: "memory", series: "config.on.resident_bytes.entries", limit: budgetBytes, design: designEntries},
	{name: "network", series: "config.off.change_bytes.tenants", limit: budgetBytesPerSecond / designChangesPerSecond,
		design: designTenants},
	{name: "network", series: "config.off.change_bytes.routes", limit: budgetBytesPerSecond / designChangesPerSecond,
		design: designRoutes},
	{name: "network", series: "config.on.change_bytes.entries", limit: budgetBytesPerSecond / designChangesPerSecond,
		design: designEntries},
	{name: "added_p99", series: "config.off.rpc_added_p99_seconds", limit: budgetAddedSeconds, design: designTenants},
}

// measureConfigBudgets reports the size at which each budget of the configuration is used up, from the series that the earlier
// parts of the run added to the result. It skips budgets whose series is missing.
func measureConfigBudgets(run *experimentRun, result *slope.Result) error {
	for _, b := range configBudgets {
		series, ok := result.Find(b.series)
		if !ok {
			continue
		}
		size, measured := sizeAt(series, b.limit)
		if math.IsInf(size, 1) {
			run.printNote("budget %s by %s: not used up at any size, measured up to %g %s", b.name, series.Name, series.Largest,
				series.Against)
			continue
		}
		source := "between measured sizes"
		if !measured {
			source = "extrapolated beyond the measured sizes"
		}
		run.printNote("budget %s by %s: used up at %.4g %s, %.2g %% of the design size, %s", b.name, series.Name, size, series.Against,
			100*size/b.design, source)
		run.report(fmt.Sprintf("budget.%s.%s", b.name, series.Against), size)
	}
	return nil
}

// sizeAt returns the size above which a rising series stays over a limit. Between two measured sizes it interpolates; outside
// the measured range it takes the size from the fit and returns false for measured. The size is +Inf if the series never
// reaches the limit.
func sizeAt(series slope.Series, limit float64) (size float64, measured bool) {
	lastWithin := -1 // index of the largest size that is within the limit
	for k, point := range series.Points {
		if point.Y <= limit {
			lastWithin = k
		}
	}
	if lastWithin >= 0 && lastWithin < len(series.Points)-1 {
		under, over := series.Points[lastWithin], series.Points[lastWithin+1]
		return under.X + (over.X-under.X)*(limit-under.Y)/(over.Y-under.Y), true
	}
	if series.Fit.Slope <= 0 {
		return math.Inf(1), false
	}
	byFit := max((limit-series.Fit.Intercept)/series.Fit.Slope, 0)
	if lastWithin < 0 {
		return min(byFit, series.Points[0].X), false
	}
	return max(byFit, series.Largest), false
}
