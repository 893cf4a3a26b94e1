// Package procstats measures the process for logic/pressure, from the operating system and the Go runtime. It
// decides nothing. What a platform does not report stays unknown.
package procstats

import (
	"math"
	"os"
	"path/filepath"
	"runtime/metrics"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/prometheus/procfs"

	"valveglade/logic/pressure"
)

// Limits are the resources that the process may use.
type Limits struct {
	Cores   float64 // 0 if not configured
	Memory  int     // bytes
	Sockets int
}

// Sampler measures the process. It is not safe for concurrent use.
type Sampler struct {
	proc        procfs.Proc
	hasProc     bool
	cgroup      string // folder of the control group that limits the CPU, empty if there is none
	samples     []metrics.Sample
	lastCounts  []uint64 // of the scheduling latencies' histogram at the last reading
	deltaCounts []uint64 // since the reading before

	// State of the last readings. Times without a unit in their type are in seconds.
	lastRead      time.Time
	wallOffset    time.Duration // of the wall clock from the monotonic one
	lastCPU       time.Duration
	lastGC        float64
	lastBusy      float64
	lastThrottled float64
	lastSlowRead  time.Time
	slowReading   pressure.Reading // what is measured at slowReadInterval
}

const (
	// slowReadInterval is for what costs a system call or more and changes slowly.
	slowReadInterval = 250 * time.Millisecond
	// clockStepThreshold is the change of the wall clock against the monotonic one between two readings that counts as
	// a step: clocks that are slewed gain half a millisecond a second.
	clockStepThreshold = 5 * time.Millisecond
)

// Indices of Sampler.samples.
const schedLatencies, gcTime, idleTime, totalTime = 0, 1, 2, 3

// New returns a sampler of what this platform reports.
func New() *Sampler {
	s := &Sampler{samples: []metrics.Sample{
		{Name: "/sched/latencies:seconds"},
		{Name: "/cpu/classes/gc/total:cpu-seconds"},
		{Name: "/cpu/classes/idle:cpu-seconds"},
		{Name: "/cpu/classes/total:cpu-seconds"},
	}, slowReading: pressure.Unknown()}
	proc, err := procfs.Self()
	s.proc, s.hasProc = proc, err == nil
	if s.hasProc {
		s.cgroup = cpuCgroup(proc, "/sys/fs/cgroup")
	}
	s.lastRead = time.Now()
	s.wallOffset = time.Duration(s.lastRead.UnixNano()) - time.Since(monotonicStart)
	s.lastCPU = cpuTime()
	return s
}

// monotonicStart is the origin of the monotonic clock's readings.
var monotonicStart = time.Now()

// cpuTime returns the CPU time that the process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Read measures what the system and the runtime report. step reports whether the wall clock was set since the last
// reading.
func (s *Sampler) Read(limits Limits) (reading pressure.Reading, step bool) {
	now := time.Now()
	elapsed := now.Sub(s.lastRead).Seconds()
	s.lastRead = now
	// Differences of time.Time use the monotonic clock; the wall clock's offset to it shows its steps.
	offset := time.Duration(now.UnixNano()) - now.Sub(monotonicStart)
	step = offset-s.wallOffset > clockStepThreshold || s.wallOffset-offset > clockStepThreshold
	s.wallOffset = offset
	reading = pressure.Unknown()
	metrics.Read(s.samples)
	s.readSchedLatency(&reading)
	s.readGCShare(&reading)
	if now.Sub(s.lastSlowRead) >= slowReadInterval {
		seconds := now.Sub(s.lastSlowRead).Seconds()
		first := s.lastSlowRead.IsZero()
		s.lastSlowRead = now
		s.readSlow(limits, seconds, first)
	}
	for _, signal := range []pressure.Signal{pressure.CPU, pressure.Throttled, pressure.Memory} {
		reading[signal] = s.slowReading[signal]
	}
	if elapsed <= 0 {
		return pressure.Unknown(), step
	}
	return reading, step
}

// readSchedLatency sets the 99th percentile of the waits for a processor since the last reading.
func (s *Sampler) readSchedLatency(reading *pressure.Reading) {
	if s.samples[schedLatencies].Value.Kind() != metrics.KindFloat64Histogram {
		return
	}
	histogram := s.samples[schedLatencies].Value.Float64Histogram()
	if len(s.lastCounts) != len(histogram.Counts) {
		s.lastCounts, s.deltaCounts = make([]uint64, len(histogram.Counts)), make([]uint64, len(histogram.Counts))
		copy(s.lastCounts, histogram.Counts)
		return
	}
	total := uint64(0)
	for i, count := range histogram.Counts {
		s.deltaCounts[i] = count - s.lastCounts[i]
		total += s.deltaCounts[i]
		s.lastCounts[i] = count
	}
	if total == 0 {
		return
	}
	remaining := total / 100
	for i := len(s.deltaCounts) - 1; i >= 0; i-- {
		if s.deltaCounts[i] > remaining {
			if lower := histogram.Buckets[i]; !math.IsInf(lower, 0) {
				reading[pressure.Scheduler] = max(lower, 0)
			}
			return
		}
		remaining -= s.deltaCounts[i]
	}
}

// readGCShare sets the garbage collector's share of the CPU time that was not idle. The runtime updates these
// times only with each collection; until the next one the last share is returned.
func (s *Sampler) readGCShare(reading *pressure.Reading) {
	for _, i := range []int{gcTime, idleTime, totalTime} {
		if s.samples[i].Value.Kind() != metrics.KindFloat64 {
			return
		}
	}
	gc := s.samples[gcTime].Value.Float64()
	busy := s.samples[totalTime].Value.Float64() - s.samples[idleTime].Value.Float64()
	if delta := busy - s.lastBusy; delta > 0.05 { // seconds; over a shorter time the estimate is coarse
		s.slowReading[pressure.Collector] = (gc - s.lastGC) / delta
		s.lastGC, s.lastBusy = gc, busy
	}
	reading[pressure.Collector] = s.slowReading[pressure.Collector]
}

// readSlow measures what costs more, over the seconds since its last call.
func (s *Sampler) readSlow(limits Limits, seconds float64, first bool) {
	cpu := cpuTime()
	cores := limits.Cores
	if quota := s.quota(); quota > 0 && (cores <= 0 || quota < cores) {
		cores = quota
	}
	if !first && cores > 0 && seconds > 0 {
		s.slowReading[pressure.CPU] = (cpu - s.lastCPU).Seconds() / seconds / cores
	}
	s.lastCPU = cpu
	if throttled, ok := s.throttledSeconds(); ok {
		if !first && seconds > 0 {
			s.slowReading[pressure.Throttled] = (throttled - s.lastThrottled) / seconds
		}
		s.lastThrottled = throttled
	}
	if s.hasProc && limits.Memory > 0 {
		if stat, err := s.proc.Stat(); err == nil {
			s.slowReading[pressure.Memory] = float64(stat.ResidentMemory()) / float64(limits.Memory)
		} else {
			s.slowReading[pressure.Memory] = math.NaN()
		}
	}
}

// cpuCgroup returns the folder of the control group whose CPU quota applies, of cgroup version 1 or 2.
func cpuCgroup(proc procfs.Proc, root string) string {
	groups, err := proc.Cgroups()
	if err != nil {
		return ""
	}
	for _, group := range groups {
		for _, folder := range []string{filepath.Join(root, "cpu", group.Path), filepath.Join(root, group.Path)} {
			hasCPU := group.HierarchyID == 0 || contains(group.Controllers, "cpu")
			if _, err := os.Stat(filepath.Join(folder, "cpu.stat")); err == nil && hasCPU {
				return folder
			}
		}
	}
	return ""
}

func contains(list []string, wanted string) bool {
	for _, s := range list {
		if s == wanted {
			return true
		}
	}
	return false
}

// quota returns how many cores the control group allows, 0 if it sets no limit.
func (s *Sampler) quota() float64 {
	if s.cgroup == "" {
		return 0
	}
	if text, err := os.ReadFile(filepath.Join(s.cgroup, "cpu.max")); err == nil {
		fields := strings.Fields(string(text))
		if len(fields) != 2 {
			return 0
		}
		return ratio(fields[0], fields[1])
	}
	quota, err := os.ReadFile(filepath.Join(s.cgroup, "cpu.cfs_quota_us"))
	if err != nil {
		return 0
	}
	period, err := os.ReadFile(filepath.Join(s.cgroup, "cpu.cfs_period_us"))
	if err != nil {
		return 0
	}
	return ratio(strings.TrimSpace(string(quota)), strings.TrimSpace(string(period)))
}

// ratio returns the quotient of two numbers, 0 if either is not positive.
func ratio(numerator, denominator string) float64 {
	x, err := strconv.ParseFloat(numerator, 64)
	y, err2 := strconv.ParseFloat(denominator, 64)
	if err != nil || err2 != nil || x <= 0 || y <= 0 { // "max" and -1 mean no limit
		return 0
	}
	return x / y
}

// throttledSeconds returns for how long the control group has been throttled.
func (s *Sampler) throttledSeconds() (seconds float64, ok bool) {
	if s.cgroup == "" {
		return 0, false
	}
	text, err := os.ReadFile(filepath.Join(s.cgroup, "cpu.stat"))
	if err != nil {
		return 0, false
	}
	for line := range strings.Lines(string(text)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), " ")
		v, err := strconv.ParseFloat(value, 64)
		switch {
		case err != nil:
		case name == "throttled_usec":
			return v / 1e6, true
		case name == "throttled_time":
			return v / 1e9, true
		}
	}
	return 0, false
}
