package rig

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// coreUseWindow is what core_use looks back on, by the page of the settings.
const coreUseWindow = 500 * time.Millisecond

// handleSysinfo answers with the gauges.
func (k *Kernel) handleSysinfo(command kernelCommand) {
	if k.config.Gauges == nil {
		k.rejectCommand(command)
		return
	}
	k.accountWork()
	k.removeObsoletePausedRuns()
	k.checkMemory()
	values := []float64{}
	for _, name := range k.config.Gauges {
		values = append(values, k.gaugeValue(name))
	}
	echo, _ := json.Marshal(command.Echo)
	encodedValues, _ := json.Marshal(values)
	k.sendLine(fmt.Sprintf(`{"action":"INFO","echo":%s,"meters":%s}`, echo, encodedValues))
}

// gaugeValue is what a gaugeValue of the settings says now; 0 for one that is not known here.
func (k *Kernel) gaugeValue(name string) float64 {
	load := k.check.load(k.server)
	switch name {
	case "core_use", "utilization":
		return k.usage.mean(coreUseWindow, k.accountedAt, k.config.Cores)
	case "on_cores":
		return float64(k.runsOnCores())
	case "heap_share":
		if k.config.Memory.KB <= 0 {
			return 0
		}
		return k.check.bookedKB(k.server, k.config.Memory.RunFactor) / k.config.Memory.KB
	case "links":
		return float64(load.connections)
	case "outstanding":
		return float64(load.open)
	case "backlog":
		return float64(max(load.open-len(k.runs), 0))
	case "throughput":
		return load.servedPerSecond
	case "errors_per_s":
		return load.failedPerSecond
	case "recent_ms":
		return load.recent.Seconds() * 1000
	}
	return 0
}

// coreUsage is how many runs there have been on the cores, as steps over time.
type coreUsage struct{ steps []usageStep }

// usageStep is a span with the same number of runs.
type usageStep struct {
	from, to time.Time
	runs     int
}

// add takes a span that ends now; spans of no more use are dropped.
func (u *coreUsage) add(span time.Duration, now time.Time, runs int, config KernelConfig) {
	if span <= 0 {
		return
	}
	if last := len(u.steps) - 1; last >= 0 && u.steps[last].runs == runs {
		u.steps[last].to = now
	} else {
		u.steps = append(u.steps, usageStep{now.Add(-span), now, runs})
	}
	oldest := now.Add(-max(coreUseWindow, config.Overload.Window))
	u.steps = slices.DeleteFunc(u.steps, func(s usageStep) bool { return s.to.Before(oldest) })
}

// mean is the part of the cores in use over a window that ends now, or with cores 0 the number of runs.
func (u *coreUsage) mean(window time.Duration, now time.Time, cores int) float64 {
	sum, from := 0.0, now.Add(-window)
	for _, s := range u.steps {
		begin := s.from
		if begin.Before(from) {
			begin = from
		}
		runs := s.runs
		if cores > 0 {
			runs = min(runs, cores)
		}
		sum += max(s.to.Sub(begin).Seconds(), 0) * float64(runs)
	}
	return sum / window.Seconds() / float64(max(cores, 1))
}

// checkOverload finds more runs on the cores than they bear, in the mean over the window of the settings.
func (k *Kernel) checkOverload(now time.Time) {
	limit := k.config.Overload
	if limit.Factor <= 0 || limit.Window <= 0 || k.overloadReported {
		return
	}
	maxRuns := float64(k.config.Cores) * (1 + (limit.Factor-1)*k.warmth())
	if mean := k.usage.mean(limit.Window, now, 0); mean > maxRuns {
		k.overloadReported = true
		k.reportViolation(4, "%.1f runs on the cores in the mean over %v, which bear %.1f", mean, limit.Window, maxRuns)
	}
}

// maxOverbookedTime is how long more memory may be booked than there is before that is a violation: an answer is seen by the
// network a little after the app server has given it.
const maxOverbookedTime = 50 * time.Millisecond

// checkMemory finds that more memory is booked than there is.
func (k *Kernel) checkMemory() {
	if k.overbookedKB() == 0 {
		k.overbookedSince = time.Time{}
		return
	}
	if k.overbookedSince.IsZero() {
		k.overbookedSince = time.Now()
		time.AfterFunc(maxOverbookedTime, func() {
			k.mu.Lock()
			defer k.mu.Unlock()
			k.checkMemory()
		})
		return
	}
	if excessKB := k.overbookedKB(); !k.overbookingReported && time.Since(k.overbookedSince) >= maxOverbookedTime {
		k.overbookingReported = true
		k.reportViolation(4, "books %.0f KB more than the %.0f KB that there are", excessKB, k.config.Memory.KB)
	}
}

// overbookedKB is how many KB more are booked than there are.
func (k *Kernel) overbookedKB() float64 {
	memory := k.config.Memory
	if memory.KB <= 0 {
		return 0
	}
	return max(k.check.bookedKB(k.server, memory.RunFactor)-memory.KB, 0)
}
