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

// Source measures. It is not safe for use by many goroutines.
type Source struct {
	proc    procfs.Proc
	hasProc bool
	group   string // the folder of the control group that bounds the processor, empty if there is none
	samples []metrics.Sample
	before  []uint64 // the latencies' counts at the last reading
	counts  []uint64

	at        time.Time
	offset    time.Duration // of the wall clock to the steady one
	cpu       time.Duration
	collected float64
	busy      float64
	throttled float64
	seldom    time.Time
	slow      pressure.Reading // of what is measured seldom
}

const (
	// seldomEvery is for what costs a system call or more and does not move fast.
	seldomEvery = 250 * time.Millisecond
	// stepped is by how much the wall clock may move against the steady one between two readings before it counts as
	// set: clocks that are slewed gain half a millisecond a second.
	stepped = 5 * time.Millisecond
)

const latencies, collector, idle, total = 0, 1, 2, 3

// New finds out what this platform shows.
func New() *Source {
	s := &Source{samples: []metrics.Sample{{Name: "/sched/latencies:seconds"}, {Name: "/cpu/classes/gc/total:cpu-seconds"},
		{Name: "/cpu/classes/idle:cpu-seconds"}, {Name: "/cpu/classes/total:cpu-seconds"}}, slow: pressure.Unknown()}
	proc, err := procfs.Self()
	s.proc, s.hasProc = proc, err == nil
	if s.hasProc {
		s.group = bounding(proc, "/sys/fs/cgroup")
	}
	s.at = time.Now()
	s.offset = time.Duration(s.at.UnixNano()) - time.Since(steady)
	s.cpu = used()
	return s
}

// steady is where the steady clock is read from.
var steady = time.Now()

// used is the processor time that the process has taken.
func used() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Read fills in what the system and the runtime show; step tells that the wall clock was set since the last reading.
func (s *Source) Read(l Limits) (r pressure.Reading, step bool) {
	now := time.Now()
	passed := now.Sub(s.at).Seconds()
	s.at = now
	// Differences of time.Time are of the steady clock; what the wall clock says beside it shows its steps.
	offset := time.Duration(now.UnixNano()) - now.Sub(steady)
	step = offset-s.offset > stepped || s.offset-offset > stepped
	s.offset = offset
	r = pressure.Unknown()
	metrics.Read(s.samples)
	s.latency(&r)
	s.collect(&r)
	if now.Sub(s.seldom) >= seldomEvery {
		span := now.Sub(s.seldom).Seconds()
		first := s.seldom.IsZero()
		s.seldom = now
		s.rare(l, span, first)
	}
	for _, k := range []pressure.Signal{pressure.CPU, pressure.Throttled, pressure.Memory} {
		r[k] = s.slow[k]
	}
	if passed <= 0 {
		return pressure.Unknown(), step
	}
	return r, step
}

// latency is the 99th percentile of the waits for a processor since the last reading.
func (s *Source) latency(r *pressure.Reading) {
	if s.samples[latencies].Value.Kind() != metrics.KindFloat64Histogram {
		return
	}
	h := s.samples[latencies].Value.Float64Histogram()
	if len(s.before) != len(h.Counts) {
		s.before, s.counts = make([]uint64, len(h.Counts)), make([]uint64, len(h.Counts))
		copy(s.before, h.Counts)
		return
	}
	all := uint64(0)
	for k, n := range h.Counts {
		s.counts[k] = n - s.before[k]
		all += s.counts[k]
		s.before[k] = n
	}
	if all == 0 {
		return
	}
	rest := all / 100
	for k := len(s.counts) - 1; k >= 0; k-- {
		if s.counts[k] > rest {
			if edge := h.Buckets[k]; !math.IsInf(edge, 0) {
				r[pressure.Scheduler] = max(edge, 0)
			}
			return
		}
		rest -= s.counts[k]
	}
}

// collect is the collector's share of the processor time that was not idle. The runtime brings it up to date with each
// collection only; in between the share of the last one holds.
func (s *Source) collect(r *pressure.Reading) {
	for _, k := range []int{collector, idle, total} {
		if s.samples[k].Value.Kind() != metrics.KindFloat64 {
			return
		}
	}
	spent := s.samples[collector].Value.Float64()
	busy := s.samples[total].Value.Float64() - s.samples[idle].Value.Float64()
	if d := busy - s.busy; d > 0.05 { // seconds; over less the estimate is coarse
		s.slow[pressure.Collector] = (spent - s.collected) / d
		s.collected, s.busy = spent, busy
	}
	r[pressure.Collector] = s.slow[pressure.Collector]
}

// rare reads what costs more.
func (s *Source) rare(l Limits, span float64, first bool) {
	cpu := used()
	cores := l.Cores
	if quota := s.quota(); quota > 0 && (cores <= 0 || quota < cores) {
		cores = quota
	}
	if !first && cores > 0 && span > 0 {
		s.slow[pressure.CPU] = (cpu - s.cpu).Seconds() / span / cores
	}
	s.cpu = cpu
	if t, ok := s.held(); ok {
		if !first && span > 0 {
			s.slow[pressure.Throttled] = (t - s.throttled) / span
		}
		s.throttled = t
	}
	if s.hasProc && l.Memory > 0 {
		if stat, err := s.proc.Stat(); err == nil {
			s.slow[pressure.Memory] = float64(stat.ResidentMemory()) / float64(l.Memory)
		} else {
			s.slow[pressure.Memory] = math.NaN()
		}
	}
}

// bounding is the folder of the control group whose quota counts, of either version.
func bounding(proc procfs.Proc, root string) string {
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
func (s *Source) quota() float64 {
	if s.group == "" {
		return 0
	}
	if text, err := os.ReadFile(filepath.Join(s.group, "cpu.max")); err == nil {
		f := strings.Fields(string(text))
		if len(f) != 2 {
			return 0
		}
		return ratio(f[0], f[1])
	}
	quota, err := os.ReadFile(filepath.Join(s.group, "cpu.cfs_quota_us"))
	if err != nil {
		return 0
	}
	period, err := os.ReadFile(filepath.Join(s.group, "cpu.cfs_period_us"))
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

// held is for how many seconds the control group has been kept off its cores.
func (s *Source) held() (seconds float64, ok bool) {
	if s.group == "" {
		return 0, false
	}
	text, err := os.ReadFile(filepath.Join(s.group, "cpu.stat"))
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
