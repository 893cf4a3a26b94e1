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
}

// configBudgets are those that hang on the configuration.
var configBudgets = []budget{
	{"core", "config.off.change_seconds.tenants", budgetCore / designChangesPerSecond, designTenants},
	{"core", "config.off.change_seconds.routes", budgetCore / designChangesPerSecond, designRoutes},
	{"core", "config.on.change_seconds.entries", budgetCore / designChangesPerSecond, designEntries},
	{"memory_peak", "config.off.change_peak_bytes.tenants", budgetBytes, designTenants},
	{"memory_peak", "config.off.change_peak_bytes.routes", budgetBytes, designRoutes},
	{"memory", "config.off.resident_bytes.tenants", budgetBytes, designTenants},
	{"memory", "config.off.resident_bytes.routes", budgetBytes, designRoutes},
	{"memory", "config.on.resident_bytes.entries", budgetBytes, designEntries},
	{"network", "config.off.change_bytes.tenants", budgetBytesPerSecond / designChangesPerSecond, designTenants},
	{"network", "config.off.change_bytes.routes", budgetBytesPerSecond / designChangesPerSecond, designRoutes},
	{"network", "config.on.change_bytes.entries", budgetBytesPerSecond / designChangesPerSecond, designEntries},
	{"added_p99", "config.off.rpc_added_p99_seconds", budgetAddedSeconds, designTenants},
}

// measureConfigBudgets tells at which size each budget is used up, from the series that were measured before.
func measureConfigBudgets(p *play, r *slope.Result) error {
	for _, b := range configBudgets {
		s, ok := r.Find(b.series)
		if !ok {
			continue
		}
		size, measured := sizeAt(s, b.limit)
		if math.IsInf(size, 1) {
			p.say("budget %s by %s: not used up at any size, run to %g %s", b.name, s.Name, s.Largest, s.Against)
			continue
		}
		how := "between sizes that were run"
		if !measured {
			how = "worked out, beyond the sizes that were run"
		}
		p.say("budget %s by %s: used up at %.4g %s, %.2g %% of the design size, %s", b.name, s.Name, size, s.Against,
			100*size/b.design, how)
		p.inform(fmt.Sprintf("budget.%s.%s", b.name, s.Against), size)
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
