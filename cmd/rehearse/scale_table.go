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

// designServices is how many services the entries of the design size belong to.
const designServices = 13_000

// designEntries is how many entries the design size has: routes and tenants.
const designEntries = designRoutes + designTenants

// entrySizes are how many entries the configuration table is measured with: it is a pure module, quick at the design size.
func (p *experimentRun) entrySizes() []int {
	if p.shortForm {
		return []int{500, 1_000, 2_000, 4_000}
	}
	return []int{10_000, 100_000, 400_000, designEntries}
}

func serviceName(service int) string { return fmt.Sprintf("service-%05d", service) }

// tableShape is how the entries of a table are spread over services: as at the design size.
type tableShape struct {
	services, entriesEach, routesEach int
	seed                              uint64 // of names and values
}

func shapeOf(entries int, seed uint64) tableShape {
	const entriesEach = (designEntries + designServices - 1) / designServices
	const routesEach = (designRoutes + designServices - 1) / designServices
	return tableShape{services: max(entries/entriesEach, 1), entriesEach: entriesEach, routesEach: routesEach, seed: seed}
}

func (s tableShape) entries() int { return s.services * s.entriesEach }

// service gives the entries of one service in the table's order, with names and values by chance: names and values that
// resemble each other would take less memory than real ones do.
func (s tableShape) service(service int) []configtable.Change {
	chance := rand.New(rand.NewPCG(s.seed, uint64(service)))
	entries := make([]configtable.Change, 0, s.entriesEach)
	for k := range s.entriesEach {
		change := configtable.Change{Operation: configtable.Put, Kind: configtable.Tenant, Service: serviceName(service),
			Name: fmt.Sprintf("tenant-%016x", chance.Uint64()), Value: tenantValue(chance)}
		if k < s.routesEach {
			change.Kind, change.Name = configtable.Route, fmt.Sprintf("route-%016x", chance.Uint64())
			change.Value = routeValue(chance)
		}
		entries = append(entries, change)
	}
	slices.SortFunc(entries, func(a, b configtable.Change) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return entries
}

func tenantValue(chance *rand.Rand) configtable.Value {
	return configtable.Value{Tenant: configtable.TenantValue{QuotaPerSecond: float64(1 + chance.IntN(10_000))}}
}

func routeValue(chance *rand.Rand) configtable.Value {
	return configtable.Value{Route: configtable.RouteValue{Method: fmt.Sprintf("Method%06d", chance.IntN(1_000_000)),
		LatencyTargetMilliseconds: float64(10 * (1 + chance.IntN(100))), DeadlineMilliseconds: float64(1000 * (1 + chance.IntN(60))),
		Criticality: float64(chance.IntN(1000)) / 1000}}
}

// build makes the table at once, as from a snapshot.
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

// tableCost is what one size of the table costs.
type tableCost struct {
	entries                                             float64
	changeSeconds, changeBytes, changeAllocated         float64 // one change
	heapBytes, snapshotBytes, writeSeconds, loadSeconds float64
}

const tableChanges = 4000 // that are applied one by one

// measureTableOnce builds a table, changes it, and takes it through a snapshot on disk.
func measureTableOnce(shape tableShape) (cost tableCost, err error) {
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

// heapInUse is the live heap of this process.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC() // what the first has to leave to finalizers
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// change applies changes of entries drawn by chance, encoded and decoded as they come over the network.
func (t *tableCost) change(table configtable.Table, shape tableShape) (configtable.Table, error) {
	chance := rand.New(rand.NewPCG(shape.seed, uint64(shape.services)))
	var encoded [][]byte
	for range tableChanges {
		change := shape.service(chance.IntN(shape.services))[chance.IntN(shape.entriesEach)]
		if change.Kind == configtable.Tenant {
			change.Value = tenantValue(chance)
		} else {
			change.Value = routeValue(chance)
		}
		data, err := change.Encode()
		if err != nil {
			return table, err
		}
		encoded = append(encoded, data)
		t.changeBytes += float64(len(data)) / tableChanges
	}
	var began, ended runtime.MemStats
	runtime.ReadMemStats(&began)
	spentBefore := rusageCPUTime()
	for k, data := range encoded {
		change, err := configtable.Decode(data)
		if err != nil {
			return table, err
		}
		if table, err = table.Apply([]configtable.CommittedChange{{Index: uint64(2 + k), Change: change}}); err != nil {
			return table, err
		}
	}
	t.changeSeconds = (rusageCPUTime() - spentBefore).Seconds() / tableChanges
	runtime.ReadMemStats(&ended)
	t.changeAllocated = float64(ended.TotalAlloc-began.TotalAlloc) / tableChanges
	return table, nil
}

// snapshot writes a table to disk and reads it back as a start does.
func (t *tableCost) snapshot(table configtable.Table) error {
	folder, err := os.MkdirTemp("", "scale-table")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	store, _, err := configstore.Open(folder, "scaled")
	if err != nil {
		return err
	}
	began := time.Now()
	if err := store.InstallSnapshot(table, configstore.Version{Term: 1, Index: tableChanges + 1}); err != nil {
		return err
	}
	t.writeSeconds = time.Since(began).Seconds()
	if err := store.Close(); err != nil {
		return err
	}
	if t.snapshotBytes, err = folderBytes(folder); err != nil {
		return err
	}
	began = time.Now()
	store, recovered, err := configstore.Open(folder, "scaled")
	if err != nil {
		return err
	}
	t.loadSeconds = time.Since(began).Seconds()
	if recovered.Table.Digest() != table.Digest() || recovered.Table.Len() != table.Len() {
		return fmt.Errorf("%v was read back as %v", table, recovered.Table)
	}
	return store.Close()
}

// folderBytes is the size of all files in a folder.
func folderBytes(folder string) (all float64, err error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*"))
	if err != nil {
		return 0, err
	}
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return 0, err
		}
		all += float64(info.Size())
	}
	return all, nil
}

// measureTable measures the configuration table: a change, memory, and a start from its snapshot, against entries.
func measureTable(p *experimentRun, r *slope.Result) error {
	columns := []struct {
		name, unit, note string
		of               func(t tableCost) float64
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
	for _, entries := range p.entrySizes() {
		cost, err := measureTableOnce(shapeOf(entries, p.Seed))
		if err != nil {
			return fmt.Errorf("%d entries: %w", entries, err)
		}
		for k, column := range columns {
			points[k] = append(points[k], slope.Point{X: cost.entries, Y: column.of(cost)})
		}
	}
	for k, column := range columns {
		if err := p.series(r, slope.Series{Name: "config.on." + column.name + ".entries", Unit: column.unit, Against: "entries",
			Points: points[k], Note: column.note + "; the module alone, in this process"}); err != nil {
			return err
		}
	}
	return nil
}
