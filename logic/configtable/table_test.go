package configtable

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"runtime"
	"slices"
	"syscall"
	"testing"

	"pgregory.net/rapid"
)

// model is a reference implementation of a table with plain maps.
type model struct {
	entries   map[Key]Change
	lastIndex map[string]uint64 // by service
}

func (m model) clone() model { return model{maps.Clone(m.entries), maps.Clone(m.lastIndex)} }

func (m model) apply(committed CommittedChange) {
	m.lastIndex[committed.Change.Service] = committed.Index
	if committed.Change.Operation == Put {
		m.entries[committed.Change.Key()] = committed.Change
	} else {
		delete(m.entries, committed.Change.Key())
	}
}

func compareKeys(a, b Change) int {
	return slices.Compare([]string{a.Service, string(rune(a.Kind)), a.Name},
		[]string{b.Service, string(rune(b.Kind)), b.Name})
}

// check compares all observable contents of a table with the model.
func (m model) check(t *rapid.T, table Table) {
	want := slices.SortedFunc(maps.Values(m.entries), compareKeys)
	if got := slices.Collect(table.All()); !slices.Equal(got, want) {
		t.Fatalf("entries are %v, want %v", got, want)
	}
	if got := maps.Collect(table.Services()); !maps.Equal(got, m.lastIndex) {
		t.Fatalf("services are %v, want %v", got, m.lastIndex)
	}
	if table.Len() != len(want) || table.ServiceCount() != len(m.lastIndex) {
		t.Fatalf("table has %v, want %d entries of %d services", table, len(want), len(m.lastIndex))
	}
	if table.root != nil {
		checkShape(t, table.root)
	}
	var builder Builder
	var digests Digest
	for _, service := range slices.Sorted(maps.Keys(m.lastIndex)) {
		if err := builder.AddService(service, m.lastIndex[service]); err != nil ||
			table.LastIndex(service) != m.lastIndex[service] {
			t.Fatalf("service %s: last index %d, want %d (%v)",
				service, table.LastIndex(service), m.lastIndex[service], err)
		}
		for entry := range table.ServiceEntries(service) {
			if err := builder.Add(entry); err != nil || m.entries[entry.Key()] != entry {
				t.Fatalf("entry %v, want %v (%v)", entry, m.entries[entry.Key()], err)
			}
		}
		digests += table.ServiceDigest(service)
	}
	if built := builder.Table(); built.Len() != len(want) ||
		built.Digest() != table.Digest() || digests != table.Digest() {
		t.Fatalf("built %v, sum of the service digests %x, want %v", built, digests, table)
	}
	for _, entry := range want {
		route, _ := table.Route(entry.Service, entry.Name)
		tenant, _ := table.Tenant(entry.Service, entry.Name)
		if got := (Value{route, tenant}); entry.Kind == Route && route != entry.Value.Route ||
			entry.Kind == Tenant && tenant != entry.Value.Tenant {
			t.Fatalf("%v is looked up as %v", entry, got)
		}
	}
}

// checkShape checks that all leaves have the same depth and that no node exceeds its maximum size.
func checkShape(t *rapid.T, n *node) (depth int) {
	if n.isLeaf() {
		if len(n.records) > maxLeafBytes+maxKeyBytes+maxValueBytes {
			t.Fatalf("a leaf has %d bytes", len(n.records))
		}
		return 1
	}
	if len(n.children) > maxChildren {
		t.Fatalf("a node has %d children", len(n.children))
	}
	for i, child := range n.children {
		childDepth := checkShape(t, child)
		if i > 0 && (childDepth != depth || child.minKey <= n.children[i-1].minKey) {
			t.Fatalf("child %d with lowest key %q has depth %d, the previous child %d",
				i, child.minKey, childDepth, depth)
		}
		depth = childDepth
	}
	return depth + 1
}

// generateChange draws from few names of different lengths, so that entries are replaced, deleted and spread
// over leaves.
func generateChange() *rapid.Generator[Change] {
	return rapid.Custom(func(t *rapid.T) Change {
		c := Change{
			Operation: rapid.SampledFrom([]Operation{Put, Put, Delete}).Draw(t, "operation"),
			Kind:      rapid.SampledFrom([]Kind{Route, Tenant}).Draw(t, "kind"),
			Service:   rapid.StringMatching(`[a-c]([!~]{127})?`).Draw(t, "service"),
			Name:      rapid.StringMatching(`[a-z!~][0-9]?([a-c]{100})?`).Draw(t, "name"),
		}
		if c.Operation == Put && c.Kind == Route {
			target := rapid.Float64Range(MinMilliseconds, MaxMilliseconds).Draw(t, "target")
			deadline := rapid.Float64Range(target, MaxMilliseconds).Draw(t, "deadline")
			c.Value.Route = RouteValue{rapid.StringMatching(`[!-~]{1,128}`).Draw(t, "method"),
				target, deadline, rapid.Float64Range(0, 1).Draw(t, "criticality")}
		} else if c.Operation == Put {
			c.Value.Tenant.QuotaPerSecond = rapid.Float64Range(0, MaxQuota).Draw(t, "quota")
		}
		return c
	})
}

// A table has the same contents as a plain map after the same changes, applied in batches of any size and
// with services replaced. Earlier tables stay unchanged.
func TestTableMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tables []Table
		var models []model
		table, want, index := Table{}, model{map[Key]Change{}, map[string]uint64{}}, uint64(0)
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			changes := rapid.SliceOfN(generateChange(), 0, 60).Draw(t, "changes")
			want = want.clone()
			var batch []CommittedChange
			for _, change := range changes {
				index++
				batch = append(batch, CommittedChange{index, change})
				want.apply(batch[len(batch)-1])
			}
			var err error
			if table, err = table.Apply(batch); err != nil {
				t.Fatal(err)
			}
			if len(changes) > 0 && rapid.IntRange(0, 3).Draw(t, "replace") == 0 {
				table, index = replaceService(t, table, want, changes[0].Service, index+1)
			}
			tables, models = append(tables, table), append(models, want)
		}
		for i := range tables {
			models[i].check(t, tables[i])
		}
	})
}

// replaceService replaces a service, in the table and in the model, with every other of its entries, or
// removes the service.
func replaceService(t *rapid.T, table Table, want model, service string, index uint64) (Table, uint64) {
	var kept []Change
	lastIndex := index * rapid.Uint64Range(0, 1).Draw(t, "keep")
	for i, entry := range slices.Collect(table.ServiceEntries(service)) {
		if delete(want.entries, entry.Key()); lastIndex > 0 && i%2 == 0 {
			kept = append(kept, entry)
			want.entries[entry.Key()] = entry
		}
	}
	if want.lastIndex[service] = lastIndex; lastIndex == 0 {
		delete(want.lastIndex, service)
	}
	table, err := table.ReplaceService(service, lastIndex, kept)
	if err != nil {
		t.Fatal(err)
	}
	return table, index
}

// A batch with an invalid change changes nothing, and the error names the invalid field or index.
func TestApplyInvalidChange(t *testing.T) {
	put := Change{Put, Tenant, "s", "n", Value{Tenant: TenantValue{1}}}
	table, err := Table{}.Apply([]CommittedChange{{5, put}})
	if err != nil {
		t.Fatal(err)
	}
	invalid := put
	invalid.Value.Tenant.QuotaPerSecond = -1
	var indexErr *IndexError
	var changeErr *ChangeError
	for _, batch := range [][]CommittedChange{
		{{5, put}}, {{0, put}}, {{7, put}, {6, put}}, {{6, put}, {6, put}},
	} {
		if after, err := table.Apply(batch); !errors.As(err, &indexErr) || after != table {
			t.Errorf("%v: error %v, want an *IndexError and no change", batch, err)
		}
	}
	if after, err := table.Apply([]CommittedChange{{6, put}, {7, invalid}}); !errors.As(err, &changeErr) ||
		changeErr.Field != "quota" || after != table {
		t.Errorf("an invalid change: error %v, want a *ChangeError of field quota and no change", err)
	}
	absent := Change{Operation: Delete, Kind: Route, Service: "s", Name: "n"}
	if err := table.Check(absent); !errors.As(err, &changeErr) || table.Check(put) != nil {
		t.Errorf("deleting an absent entry: error %v, want a *ChangeError", err)
	}
}

// sizedChange returns the entry at index of a table with the proportions of the design: one of 18 entries is
// a route, and a service has 106 entries.
func sizedChange(index int) Change {
	c := Change{Operation: Put, Kind: Tenant, Service: fmt.Sprintf("service-%05d", index/106)}
	if index%18 == 0 {
		c.Kind, c.Name = Route, fmt.Sprintf("route-%02d", index%106)
		c.Value.Route = RouteValue{fmt.Sprintf("valveglade.Service%05d/Method%02d", index/106, index%106),
			250, 1000, 0.5}
		return c
	}
	random := rand.New(rand.NewPCG(uint64(index), 1))
	c.Name = fmt.Sprintf("account-%012x", random.Uint64()>>16)
	c.Value.Tenant.QuotaPerSecond = float64(random.IntN(100_000)) / 10
	return c
}

// sizedTable returns a table with the first entries of sizedChange.
func sizedTable(t testing.TB, entries int) Table {
	all := make([]CommittedChange, entries)
	for i := range all {
		all[i] = CommittedChange{uint64(i + 1), sizedChange(i)}
	}
	table, err := Table{}.Apply(all)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// changeAt replaces the value of an entry that is chosen at random, with step as the seed.
func changeAt(t testing.TB, table Table, entries, step int) Table {
	change := sizedChange(rand.New(rand.NewPCG(uint64(step), 2)).IntN(entries))
	change.Value.Tenant.QuotaPerSecond = 0
	if change.Kind == Tenant {
		change.Value.Tenant.QuotaPerSecond = float64(step)
	}
	table, err := table.Apply([]CommittedChange{{uint64(entries + step + 1), change}})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// A change allocates at most twice as many bytes in a table that is a hundred times as large.
func TestChangeAllocationsInLargeTable(t *testing.T) {
	allocated := func(entries int) uint64 {
		const steps = 2000
		table := sizedTable(t, entries)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for step := range steps {
			table = changeAt(t, table, entries, step)
		}
		runtime.ReadMemStats(&after)
		return (after.TotalAlloc - before.TotalAlloc) / steps
	}
	small, large := allocated(1000), allocated(100_000)
	t.Logf("a change allocates %d bytes at 1,000 entries, %d at 100,000", small, large)
	if large > 2*small || large > 16<<10 {
		t.Errorf("a change allocates %d bytes at 1,000 entries and %d at 100,000, want at most twice and 16 KiB",
			small, large)
	}
}

func BenchmarkChange(b *testing.B) {
	for _, entries := range []int{1000, 10_000, 100_000, 1_376_000} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			table := sizedTable(b, entries)
			step := 0
			for ; step < entries/2; step++ { // leaves are filled as after many changes, not freshly packed
				table = changeAt(b, table, entries, step)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			started, firstStep := processorTime(b), step
			for b.Loop() {
				step++
				table = changeAt(b, table, entries, step)
			}
			b.ReportMetric(float64(processorTime(b)-started)/float64(step-firstStep), "cpu-ns/op")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(entries), "bytes/entry")
		})
	}
}

// processorTime returns the CPU time of the process in nanoseconds. On a shared machine it varies less than
// wall clock time.
func processorTime(b *testing.B) int64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return usage.Utime.Nano() + usage.Stime.Nano()
}

func BenchmarkLookup(b *testing.B) {
	const entries = 1_376_000
	table := sizedTable(b, entries)
	keys := make([]Change, 1<<16)
	for i := range keys {
		keys[i] = sizedChange(rand.New(rand.NewPCG(uint64(i), 3)).IntN(entries))
	}
	b.ReportAllocs()
	started := processorTime(b)
	for i := 0; b.Loop(); i++ {
		key := keys[i%len(keys)]
		if _, found := table.encodedValue(key.Kind, key.Service, key.Name); !found {
			b.Fatal(key)
		}
	}
	b.ReportMetric(float64(processorTime(b)-started)/float64(b.N), "cpu-ns/op")
}
