// Package procstats measures the process for logic/pressure: what the system and Go's runtime say of it. It decides
// nothing. What a platform does not show stays unknown.
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

// Limits are what the process may use.
type Limits struct {
	Cores   float64 // 0 if nobody has said
	Memory  int     // bytes
	Sockets int
}

// Sampler measures. It is not safe for use by many goroutines.
type Sampler struct {
	proc        procfs.Proc
	hasProc     bool
	cgroup      string // the folder of the control group that bounds the processor, empty if there is none
	samples     []metrics.Sample
	lastCounts  []uint64 // the latencies' counts at the last reading
	deltaCounts []uint64

	lastRead      time.Time
	wallOffset    time.Duration // of the wall clock to the steady one
	lastCPU       time.Duration
	lastGC        float64
	lastBusy      float64
	lastThrottled float64
	lastSlowRead  time.Time
	slowReading   pressure.Reading // of what is measured seldom
}

const (
	// slowReadInterval is for what costs a system call or more and does not move fast.
	slowReadInterval = 250 * time.Millisecond
	// clockStepThreshold is by how much the wall clock may move against the steady one between two readings before it counts as
	// set: clocks that are slewed gain half a millisecond a second.
	clockStepThreshold = 5 * time.Millisecond
)

const schedLatencies, gcTime, idleTime, totalTime = 0, 1, 2, 3

// New finds out what this platform shows.
func New() *Sampler {
	s := &Sampler{samples: []metrics.Sample{{Name: "/sched/latencies:seconds"}, {Name: "/cpu/classes/gc/total:cpu-seconds"},
		{Name: "/cpu/classes/idle:cpu-seconds"}, {Name: "/cpu/classes/total:cpu-seconds"}}, slowReading: pressure.Unknown()}
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

// monotonicStart is where the monotonicStart clock is read from.
var monotonicStart = time.Now()

// cpuTime is the processor time that the process has taken.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Read fills in what the system and the runtime show; step tells that the wall clock was set since the last reading.
func (s *Sampler) Read(l Limits) (r pressure.Reading, step bool) {
	now := time.Now()
	passed := now.Sub(s.lastRead).Seconds()
	s.lastRead = now
	// Differences of time.Time are of the steady clock; what the wall clock says beside it shows its steps.
	offset := time.Duration(now.UnixNano()) - now.Sub(monotonicStart)
	step = offset-s.wallOffset > clockStepThreshold || s.wallOffset-offset > clockStepThreshold
	s.wallOffset = offset
	r = pressure.Unknown()
	metrics.Read(s.samples)
	s.readSchedLatency(&r)
	s.readGCShare(&r)
	if now.Sub(s.lastSlowRead) >= slowReadInterval {
		span := now.Sub(s.lastSlowRead).Seconds()
		first := s.lastSlowRead.IsZero()
		s.lastSlowRead = now
		s.readSlow(l, span, first)
	}
	for _, k := range []pressure.Signal{pressure.CPU, pressure.Throttled, pressure.Memory} {
		r[k] = s.slowReading[k]
	}
	if passed <= 0 {
		return pressure.Unknown(), step
	}
	return r, step
}

// readSchedLatency is the 99th percentile of the waits for a processor since the last reading.
func (s *Sampler) readSchedLatency(r *pressure.Reading) {
	if s.samples[schedLatencies].Value.Kind() != metrics.KindFloat64Histogram {
		return
	}
	h := s.samples[schedLatencies].Value.Float64Histogram()
	if len(s.lastCounts) != len(h.Counts) {
		s.lastCounts, s.deltaCounts = make([]uint64, len(h.Counts)), make([]uint64, len(h.Counts))
		copy(s.lastCounts, h.Counts)
		return
	}
	all := uint64(0)
	for k, n := range h.Counts {
		s.deltaCounts[k] = n - s.lastCounts[k]
		all += s.deltaCounts[k]
		s.lastCounts[k] = n
	}
	if all == 0 {
		return
	}
	rest := all / 100
	for k := len(s.deltaCounts) - 1; k >= 0; k-- {
		if s.deltaCounts[k] > rest {
			if edge := h.Buckets[k]; !math.IsInf(edge, 0) {
				r[pressure.Scheduler] = max(edge, 0)
			}
			return
		}
		rest -= s.deltaCounts[k]
	}
}

// readGCShare is the collector's share of the processor time that was not idle. The runtime brings it up to date with each
// collection only; in between the share of the last one holds.
func (s *Sampler) readGCShare(r *pressure.Reading) {
	for _, k := range []int{gcTime, idleTime, totalTime} {
		if s.samples[k].Value.Kind() != metrics.KindFloat64 {
			return
		}
	}
	spent := s.samples[gcTime].Value.Float64()
	busy := s.samples[totalTime].Value.Float64() - s.samples[idleTime].Value.Float64()
	if d := busy - s.lastBusy; d > 0.05 { // seconds; over less the estimate is coarse
		s.slowReading[pressure.Collector] = (spent - s.lastGC) / d
		s.lastGC, s.lastBusy = spent, busy
	}
	r[pressure.Collector] = s.slowReading[pressure.Collector]
}

// readSlow reads what costs more.
func (s *Sampler) readSlow(l Limits, span float64, first bool) {
	cpu := cpuTime()
	cores := l.Cores
	if quota := s.quota(); quota > 0 && (cores <= 0 || quota < cores) {
		cores = quota
	}
	if !first && cores > 0 && span > 0 {
		s.slowReading[pressure.CPU] = (cpu - s.lastCPU).Seconds() / span / cores
	}
	s.lastCPU = cpu
	if t, ok := s.throttledSeconds(); ok {
		if !first && span > 0 {
			s.slowReading[pressure.Throttled] = (t - s.lastThrottled) / span
		}
		s.lastThrottled = t
	}
	if s.hasProc && l.Memory > 0 {
		if stat, err := s.proc.Stat(); err == nil {
			s.slowReading[pressure.Memory] = float64(stat.ResidentMemory()) / float64(l.Memory)
		} else {
			s.slowReading[pressure.Memory] = math.NaN()
		}
	}
}

// cpuCgroup is the folder of the control group whose quota counts, of either version.
func cpuCgroup(proc procfs.Proc, root string) string {
	groups, err := proc.Cgroups()
	if err != nil {
		return ""
	}
	for _, g := range groups {
		for _, folder := range []string{filepath.Join(root, "cpu", g.Path), filepath.Join(root, g.Path)} {
			named := g.HierarchyID == 0 || contains(g.Controllers, "cpu")
			if _, err := os.Stat(filepath.Join(folder, "cpu.stat")); err == nil && named {
				return folder
			}
		}
	}
	return ""
}

func contains(all []string, one string) bool {
	for _, s := range all {
		if s == one {
			return true
		}
	}
	return false
}

// quota is how many cores the control group allows, 0 for all.
func (s *Sampler) quota() float64 {
	if s.cgroup == "" {
		return 0
	}
	if text, err := os.ReadFile(filepath.Join(s.cgroup, "cpu.max")); err == nil {
		f := strings.Fields(string(text))
		if len(f) != 2 {
			return 0
		}
		return ratio(f[0], f[1])
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

func ratio(a, b string) float64 {
	x, err := strconv.ParseFloat(a, 64)
	y, err2 := strconv.ParseFloat(b, 64)
	if err != nil || err2 != nil || x <= 0 || y <= 0 { // "max" and -1 are for no bound
		return 0
	}
	return x / y
}

// throttledSeconds is for how many seconds the control group has been kept off its cores.
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
