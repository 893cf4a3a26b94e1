package configstore

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"valveglade/logic/configtable"
)

// openFolderVariable is the environment variable with the path of the folder that TestOpenProcess opens in a child
// process.
const openFolderVariable = "CONFIGSTORE_OPEN_FOLDER"

// TestOpenProcess is run by BenchmarkDesignSize in a child process to measure the time and memory that a start takes.
func TestOpenProcess(t *testing.T) {
	folder := os.Getenv(openFolderVariable)
	if folder == "" {
		return
	}
	started := time.Now()
	_, recovered := openStore(t, folder)
	fmt.Printf("opened %d entries in %v, rejected %v; %s\n",
		recovered.Table.Len(), time.Since(started), recovered.RejectedFiles, residentMemory(t))
	table, err := recovered.Table, error(nil)
	for i := range changesPerDay {
		change := configtable.Change{Operation: configtable.Put, Kind: configtable.Tenant,
			Service: fmt.Sprintf("service-%05d", i*7919%13_000), Name: fmt.Sprintf("new-%d", i%5000)}
		change.Value.Tenant.QuotaPerSecond = float64(i)
		table, err = table.Apply([]configtable.CommittedChange{{Index: uint64(20_000 + i), Change: change}})
		must(t, err)
	}
	fmt.Printf("after %d changes %v; %s\n", changesPerDay, table, residentMemory(t))
}

// changesPerDay is the number of changes per day in the design.
const changesPerDay = 90_000

// residentMemory returns the current and the peak resident memory of the process.
func residentMemory(t *testing.T) string {
	status, err := os.ReadFile("/proc/self/status")
	must(t, err)
	return strings.Join(regexp.MustCompile(`Vm(HWM|RSS):.*`).FindAllString(string(status), -1), ", ")
}

// BenchmarkDesignSize writes and reads a snapshot of the design size: 13,000 services, 76,000 routes, 1.3 million
// tenants.
func BenchmarkDesignSize(b *testing.B) {
	var builder configtable.Builder
	random := rand.New(rand.NewPCG(1, 1))
	for service := range 13_000 {
		name := fmt.Sprintf("service-%05d", service)
		must(b, builder.AddService(name, uint64(service+1)))
		for i := range 6 - service%13/11 {
			must(b, builder.Add(configtable.Change{Operation: configtable.Put, Kind: configtable.Route,
				Service: name, Name: fmt.Sprintf("route-%d", i),
				Value: configtable.Value{Route: configtable.RouteValue{
					Method:                    fmt.Sprintf("valveglade.Service%05d/Method%d", service, i),
					LatencyTargetMilliseconds: 250,
					DeadlineMilliseconds:      1000,
					Criticality:               0.5,
				}}}))
		}
		for i := range 100 {
			must(b, builder.Add(configtable.Change{Operation: configtable.Put, Kind: configtable.Tenant, Service: name,
				Name:  fmt.Sprintf("account-%02x%010x", i, random.Uint64()>>24),
				Value: configtable.Value{Tenant: configtable.TenantValue{QuotaPerSecond: float64(random.IntN(100_000)) / 10}}}))
		}
	}
	table := builder.Table()
	folder := b.TempDir()
	store, _ := openStore(b, folder)
	for b.Loop() {
		started := time.Now()
		must(b, store.Compact(table, Version{Term: 1, Index: 13_000}))
		b.ReportMetric(time.Since(started).Seconds(), "s/write")
		child := exec.Command(os.Args[0], "-test.run=^TestOpenProcess$")
		child.Env = append(os.Environ(), openFolderVariable+"="+folder)
		output, err := child.CombinedOutput()
		must(b, err)
		b.Logf("%v\n%s", table, output)
	}
	info, err := os.Stat(filepath.Join(folder, snapshotName))
	must(b, err)
	b.ReportMetric(float64(info.Size())/float64(table.Len()), "file-bytes/entry")
}
