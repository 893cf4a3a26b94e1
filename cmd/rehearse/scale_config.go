package main

import "valveglade/rig/slope"

// configScaleParts are the parts of the scale experiment that measure the configuration, the start and RPCs.
var configScaleParts = []scalePart{
	{"config", measureConfig},
	{"start-members", measureStartMembers},
	{"connection-memory", measureConnectionMemory},
	{"rpc", measureRPC},
	{"rpc-changes", measureRPCUnderChanges},
	{"config-table", measureTable},
	{"config-budgets", measureConfigBudgets},
}

// fixedEntryCount is the number of entries of the kind that a series does not vary.
const fixedEntryCount = 100

// changesPerSize returns the number of changes made at each size; a cost is the median over them.
func (run *experimentRun) changesPerSize() int {
	if run.shortForm {
		return 1
	}
	return 3
}

// tenantSizes returns the numbers of tenants that the configuration is measured at. The long form reaches the design size.
func (run *experimentRun) tenantSizes() []int {
	return formValues[[]int]{
		short:    []int{10, 40, 160, 640},
		standard: []int{1_000, 10_000, 30_000, 100_000},
		long:     []int{1_000, 3_000, 10_000, 30_000, 100_000, 400_000, designTenants},
	}.valueFor(run)
}

// routeSizes returns the numbers of routes that the configuration is measured at. The long form reaches the design size.
func (run *experimentRun) routeSizes() []int {
	return formValues[[]int]{
		short:    []int{10, 40, 160, 640},
		standard: []int{1_000, 5_000, 15_000, 40_000},
		long:     []int{1_000, 3_000, 10_000, 30_000, designRoutes},
	}.valueFor(run)
}

// configCost holds the costs of a configuration of one size.
type configCost struct {
	fileBytes, startSeconds, residentBytes float64
	change                                 changeCost
}

// measureConfigSize starts a program with a configuration of the given size and changes the configuration changesPerSize times.
// The cost of a change is the median.
func (run *experimentRun) measureConfigSize(size configSize) (cost configCost, err error) {
	program, err := run.startScaled(size, ampleMemoryMB, smallSocketLimit)
	if err != nil {
		return cost, err
	}
	defer program.close()
	cost.fileBytes, cost.startSeconds, cost.residentBytes = float64(program.fileBytes), program.startSeconds,
		float64(program.ResidentBytes())
	var wall, cpu, peak []float64
	for range run.changesPerSize() {
		changed, err := program.changeConfiguration()
		if err != nil {
			return cost, err
		}
		wall, cpu, peak = append(wall, changed.wallSeconds), append(cpu, changed.cpuSeconds), append(peak, changed.peakBytes)
	}
	cost.change = changeCost{quantile(wall, 0.5), quantile(cpu, 0.5), quantile(peak, 0.5)}
	return cost, nil
}

// smallSocketLimit is the socket limit of a program that serves few connections.
const smallSocketLimit = 256

// measureConfig measures the costs of a configuration against the number of tenants and against the number of routes: the costs
// of a start, and of a change of one entry, for which the program reads the whole file again.
func measureConfig(run *experimentRun, result *slope.Result) error {
	byTenants := func(count int) configSize { return configSize{routes: fixedEntryCount, tenants: count} }
	if err := run.addConfigSeries(result, "tenants", run.tenantSizes(), byTenants); err != nil {
		return err
	}
	byRoutes := func(count int) configSize { return configSize{routes: count, tenants: fixedEntryCount} }
	return run.addConfigSeries(result, "routes", run.routeSizes(), byRoutes)
}

// addConfigSeries measures the costs at each of the sizes, which are numbers of entries of one kind, and adds the series. sizeOf
// returns the configuration size for such a number.
func (run *experimentRun) addConfigSeries(result *slope.Result, against string, sizes []int,
	sizeOf func(count int) configSize) error {
	var file, start, resident, wall, cpu, peak []slope.Point
	for _, count := range sizes {
		cost, err := run.measureConfigSize(sizeOf(count))
		if err != nil {
			return err
		}
		at := func(y float64) slope.Point { return slope.Point{X: float64(count), Y: y} }
		file, start = append(file, at(cost.fileBytes)), append(start, at(cost.startSeconds))
		resident = append(resident, at(cost.residentBytes))
		wall, cpu = append(wall, at(cost.change.wallSeconds)), append(cpu, at(cost.change.cpuSeconds))
		peak = append(peak, at(cost.change.peakBytes))
	}
	const oneCore = "program on one core, memory limit 4096 MB"
	for _, series := range []slope.Series{
		{Name: "config.off.change_seconds", Unit: "s of a core", Points: cpu, Note: oneCore + "; the whole file is read again"},
		{Name: "config.off.change_wall_seconds", Unit: "s", Points: wall, Note: oneCore + "; from the signal to the line of the log"},
		{Name: "config.off.change_peak_bytes", Unit: "B", Points: peak,
			Note: oneCore + "; resident at the most while a change is taken in"},
		{Name: "config.off.resident_bytes", Unit: "B", Points: resident, Note: oneCore + "; after the start"},
		{Name: "config.off.start_bytes", Unit: "B", Points: file, Note: "the file, which a start needs whole"},
		{Name: "config.off.change_bytes", Unit: "B", Points: file, Note: "a change is the whole file"},
		{Name: "start.seconds", Unit: "s", Points: start, Note: oneCore + "; from exec to the first RPC served"},
	} {
		series.Name, series.Against = series.Name+"."+against, against
		if err := run.addSeries(result, series); err != nil {
			return err
		}
	}
	return nil
}
