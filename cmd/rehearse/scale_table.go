package main

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"time"

	"valveglade/logic/configtable"
	"valveglade/rig/slope"
	"valveglade/store/configstore"
)

// designServices is the number of services that the entries of the design size belong to.
const designServices = 13_000

// designEntries is the number of entries of the design size: routes and tenants.
const designEntries = designRoutes + designTenants

// entrySizes returns the numbers of entries that the configuration table is measured with. The table does no I/O, so measuring it
// at the design size is quick.
func (run *experimentRun) entrySizes() []int {
	if run.shortForm {
		return []int{500, 1_000, 2_000, 4_000}
	}
	return []int{10_000, 100_000, 400_000, designEntries}
}

// serviceName returns the name of a service by its number.
func serviceName(service int) string { return fmt.Sprintf("service-%05d", service) }

// tableShape describes a table whose entries are spread over services as at the design size.
type tableShape struct {
	services, entriesPerService, routesPerService int
	seed                                          uint64 // of names and values
}

// newTableShape returns the shape of a table of about the given number of entries: a whole number of services, at least one.
func newTableShape(entries int, seed uint64) tableShape {
	const entriesPerService = (designEntries + designServices - 1) / designServices
	const routesPerService = (designRoutes + designServices - 1) / designServices
	return tableShape{services: max(entries/entriesPerService, 1), entriesPerService: entriesPerService,
		routesPerService: routesPerService, seed: seed}
}

func (s tableShape) entries() int { return s.services * s.entriesPerService }

// service returns the entries of one service in the order of the table. Names and values are random: similar ones would take
// less memory than real ones do.
func (s tableShape) service(service int) []configtable.Change {
	random := rand.New(rand.NewPCG(s.seed, uint64(service)))
	entries := make([]configtable.Change, 0, s.entriesPerService)
	for k := range s.entriesPerService {
		change := configtable.Change{Operation: configtable.Put, Kind: configtable.Tenant, Service: serviceName(service),
			Name: fmt.Sprintf("tenant-%016x", random.Uint64()), Value: tenantValue(random)}
		if k < s.routesPerService {
			change.Kind, change.Name = configtable.Route, fmt.Sprintf("route-%016x", random.Uint64())
			change.Value = routeValue(random)
		}
		entries = append(entries, change)
	}
	slices.SortFunc(entries, func(a, b configtable.Change) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return entries
}

// tenantValue returns a random value of a tenant.
func tenantValue(random *rand.Rand) configtable.Value {
	return configtable.Value{Tenant: configtable.TenantValue{QuotaPerSecond: float64(1 + random.IntN(10_000))}}
}

// routeValue returns a random value of a route.
func routeValue(random *rand.Rand) configtable.Value {
	return configtable.Value{Route: configtable.RouteValue{Method: fmt.Sprintf("Method%06d", random.IntN(1_000_000)),
		LatencyTargetMilliseconds: float64(10 * (1 + random.IntN(100))), DeadlineMilliseconds: float64(1000 * (1 + random.IntN(60))),
		Criticality: float64(random.IntN(1000)) / 1000}}
}

// build builds the whole table at once, as loading a snapshot does.
func (s tableShape) build() (configtable.Table, error) {
	var builder configtable.Builder
	for service := range s.services {
		if err := builder.AddService(serviceName(service), 1); err != nil {
			return configtable.Table{}, err
		}
		for _, entry := range s.service(service) {
			if err := builder.Add(entry); err != nil {
				return configtable.Table{}, err
			}
		}
	}
	return builder.Table(), nil
}

// tableCost holds the costs of a table of one size.
type tableCost struct {
	entries                                             float64
	changeSeconds, changeBytes, changeAllocated         float64 // of one change
	heapBytes, snapshotBytes, writeSeconds, loadSeconds float64
}

// tableChanges is the number of changes that are applied one by one at each size.
const tableChanges = 4000

// measureTableSize builds a table, applies changes to it, and writes it to a snapshot on disk and reads it back.
func measureTableSize(shape tableShape) (cost tableCost, err error) {
	cost.entries = float64(shape.entries())
	before := heapInUse()
	table, err := shape.build()
	if err != nil {
		return cost, err
	}
	cost.heapBytes = heapInUse() - before
	if table, err = cost.change(table, shape); err != nil {
		return cost, err
	}
	return cost, cost.snapshot(table)
}

// heapInUse returns the live heap of this process in bytes.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC() // frees what the first collection left to finalizers
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// change applies changes to random entries, which it encodes and decodes as for the network, and records their costs. It returns
// the changed table.
func (c *tableCost) change(table configtable.Table, shape tableShape) (configtable.Table, error) {
	random := rand.New(rand.NewPCG(shape.seed, uint64(shape.services)))
	var encoded [][]byte
	for range tableChanges {
		change := shape.service(random.IntN(shape.services))[random.IntN(shape.entriesPerService)]
		if change.Kind == configtable.Tenant {
			change.Value = tenantValue(random)
		} else {
			change.Value = routeValue(random)
		}
		data, err := change.Encode()
		if err != nil {
			return table, err
		}
		encoded = append(encoded, data)
		c.changeBytes += float64(len(data)) / tableChanges
	}
	var statsBefore, statsAfter runtime.MemStats
	runtime.ReadMemStats(&statsBefore)
	cpuBefore := rusageCPUTime()
	for changeNumber, data := range encoded {
		change, err := configtable.Decode(data)
		if err != nil {
			return table, err
		}
		if table, err = table.Apply([]configtable.CommittedChange{{Index: uint64(2 + changeNumber), Change: change}}); err != nil {
			return table, err
		}
	}
	c.changeSeconds = (rusageCPUTime() - cpuBefore).Seconds() / tableChanges
	runtime.ReadMemStats(&statsAfter)
	c.changeAllocated = float64(statsAfter.TotalAlloc-statsBefore.TotalAlloc) / tableChanges
	return table, nil
}

// snapshot writes a table to disk, reads it back as a starting process does, and records the costs.
func (c *tableCost) snapshot(table configtable.Table) error {
	directory, err := os.MkdirTemp("", "scale-table")
	if err != nil {
		return err
	}
	defer os.RemoveAll(directory)
	store, _, err := configstore.Open(directory, "scaled")
	if err != nil {
		return err
	}
	began := time.Now()
	if err := store.InstallSnapshot(table, configstore.Version{Term: 1, Index: tableChanges + 1}); err != nil {
		return err
	}
	c.writeSeconds = time.Since(began).Seconds()
	if err := store.Close(); err != nil {
		return err
	}
	if c.snapshotBytes, err = directoryBytes(directory); err != nil {
		return err
	}
	began = time.Now()
	store, recovered, err := configstore.Open(directory, "scaled")
	if err != nil {
		return err
	}
	c.loadSeconds = time.Since(began).Seconds()
	if recovered.Table.Digest() != table.Digest() || recovered.Table.Len() != table.Len() {
		return fmt.Errorf("table %v was read back from its snapshot as %v", table, recovered.Table)
	}
	return store.Close()
}

// directoryBytes returns the total size of the files in a directory.
func directoryBytes(directory string) (total float64, err error) {
	paths, err := filepath.Glob(filepath.Join(directory, "*"))
	if err != nil {
		return 0, err
	}
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return 0, err
		}
		total += float64(info.Size())
	}
	return total, nil
}

// measureTable measures the configuration table against the number of entries: the costs of a change, memory, and the costs of a
// start from a snapshot.
func measureTable(run *experimentRun, result *slope.Result) error {
	columns := []struct {
		name, unit, note string
		value            func(t tableCost) float64
	}{
		{"change_seconds", "s of a core", "decoded and applied, one by one", func(t tableCost) float64 { return t.changeSeconds }},
		{"change_bytes", "B", "encoded, without the log's own head", func(t tableCost) float64 { return t.changeBytes }},
		{"change_allocated_bytes", "B", "allocated to take in one change", func(t tableCost) float64 { return t.changeAllocated }},
		{"resident_bytes", "B", "live heap of one table", func(t tableCost) float64 { return t.heapBytes }},
		{"start_bytes", "B", "snapshot, which a start without one needs whole", func(t tableCost) float64 { return t.snapshotBytes }},
		{"write_seconds", "s", "snapshot to disk", func(t tableCost) float64 { return t.writeSeconds }},
		{"load_seconds", "s", "snapshot from disk, checked", func(t tableCost) float64 { return t.loadSeconds }},
	}
	points := make([][]slope.Point, len(columns))
	for _, entries := range run.entrySizes() {
		cost, err := measureTableSize(newTableShape(entries, run.Seed))
		if err != nil {
			return fmt.Errorf("%d entries: %w", entries, err)
		}
		for k, column := range columns {
			points[k] = append(points[k], slope.Point{X: cost.entries, Y: column.value(cost)})
		}
	}
	for k, column := range columns {
		if err := run.addSeries(result, slope.Series{Name: "config.on." + column.name + ".entries", Unit: column.unit,
			Against: "entries", Points: points[k], Note: column.note + "; the module alone, in this process"}); err != nil {
			return err
		}
	}
	return nil
}
