package main

import "valveglade/rig/slope"

// configScaleParts are the parts of the scale run that measure configuration, start and RPCs.
var configScaleParts = []scalePart{
	{"config", measureConfig},
	{"start-members", measureStartMembers},
	{"connection-memory", measureConnectionMemory},
	{"rpc", measureRPC},
	{"rpc-changes", measureRPCUnderChanges},
	{"config-table", measureTable},
	{"config-budgets", measureConfigBudgets},
}

// fixedEntryCount is how many there are of what a series does not vary.
const fixedEntryCount = 100

// changesAtEachSize are made; their median counts.
func (p *experimentRun) changesAtEachSize() int {
	if p.shortForm {
		return 1
	}
	return 3
}

// tenantSizes and routeSizes are what the configuration is measured at; the long form goes to the design size.
func (p *experimentRun) tenantSizes() []int {
	return formValues[[]int]{
		short:    []int{10, 40, 160, 640},
		standard: []int{1_000, 10_000, 30_000, 100_000},
		long:     []int{1_000, 3_000, 10_000, 30_000, 100_000, 400_000, designTenants},
	}.valueFor(p)
}

func (p *experimentRun) routeSizes() []int {
	return formValues[[]int]{
		short:    []int{10, 40, 160, 640},
		standard: []int{1_000, 5_000, 15_000, 40_000},
		long:     []int{1_000, 3_000, 10_000, 30_000, designRoutes},
	}.valueFor(p)
}

// configCost is what one size of the configuration costs.
type configCost struct {
	fileBytes, startSeconds, residentBytes float64
	change                                 changeCost
}

// measureConfigOnce starts a program with a configuration and changes that some times.
func (p *experimentRun) measureConfigOnce(size configSize) (cost configCost, err error) {
	s, err := p.startScaled(size, roomyMemory, smallSocketLimit)
	if err != nil {
		return cost, err
	}
	defer s.close()
	cost.fileBytes, cost.startSeconds, cost.residentBytes = float64(s.fileBytes), s.startSeconds, float64(s.Resident())
	var wall, cpu, peak []float64
	for range p.changesAtEachSize() {
		c, err := s.change()
		if err != nil {
			return cost, err
		}
		wall, cpu, peak = append(wall, c.wallSeconds), append(cpu, c.cpuSeconds), append(peak, c.peakBytes)
	}
	cost.change = changeCost{quantile(wall, 0.5), quantile(cpu, 0.5), quantile(peak, 0.5)}
	return cost, nil
}

// smallSocketLimit is what a program may hold that serves few connections.
const smallSocketLimit = 256

// measureConfig measures what a configuration costs against routes and against tenants: a start with it, and a change
// of one entry, which the program takes in by reading all of it again.
func measureConfig(p *experimentRun, r *slope.Result) error {
	byTenants := func(n int) configSize { return configSize{routes: fixedEntryCount, tenants: n} }
	if err := p.configSeries(r, "tenants", p.tenantSizes(), byTenants); err != nil {
		return err
	}
	byRoutes := func(n int) configSize { return configSize{routes: n, tenants: fixedEntryCount} }
	return p.configSeries(r, "routes", p.routeSizes(), byRoutes)
}

// configSeries measures the costs against one kind of entry.
func (p *experimentRun) configSeries(r *slope.Result, against string, sizes []int, of func(n int) configSize) error {
	var file, start, resident, wall, cpu, peak []slope.Point
	for _, n := range sizes {
		cost, err := p.measureConfigOnce(of(n))
		if err != nil {
			return err
		}
		at := func(y float64) slope.Point { return slope.Point{X: float64(n), Y: y} }
		file, start = append(file, at(cost.fileBytes)), append(start, at(cost.startSeconds))
		resident = append(resident, at(cost.residentBytes))
		wall, cpu = append(wall, at(cost.change.wallSeconds)), append(cpu, at(cost.change.cpuSeconds))
		peak = append(peak, at(cost.change.peakBytes))
	}
	const oneCore = "program on one core, memory limit 4096 MB"
	for _, s := range []slope.Series{
		{Name: "config.off.change_seconds", Unit: "s of a core", Points: cpu, Note: oneCore + "; the whole file is read again"},
		{Name: "config.off.change_wall_seconds", Unit: "s", Points: wall, Note: oneCore + "; from the signal to the line of the log"},
		{Name: "config.off.change_peak_bytes", Unit: "B", Points: peak, Note: oneCore + "; resident at the most while a change is taken in"},
		{Name: "config.off.resident_bytes", Unit: "B", Points: resident, Note: oneCore + "; after the start"},
		{Name: "config.off.start_bytes", Unit: "B", Points: file, Note: "the file, which a start needs whole"},
		{Name: "config.off.change_bytes", Unit: "B", Points: file, Note: "a change is the whole file"},
		{Name: "start.seconds", Unit: "s", Points: start, Note: oneCore + "; from exec to the first RPC served"},
	} {
		s.Name, s.Against = s.Name+"."+against, against
		if err := p.addSeries(r, s); err != nil {
			return err
		}
	}
	return nil
}
