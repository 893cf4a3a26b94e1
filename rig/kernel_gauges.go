package rig

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// coreUseWindow is the window over which core_use is averaged, as the settings define it.
const coreUseWindow = 500 * time.Millisecond

// handleSysinfo answers SYSINFO with the gauges.
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

// gaugeValue returns the current value of a gauge of the settings, 0 for an unknown one.
func (k *Kernel) gaugeValue(name string) float64 {
	load := k.checker.load(k.server)
	switch name {
	case "core_use", "utilization":
		return k.usage.mean(coreUseWindow, k.accountedAt, k.config.Cores)
	case "on_cores":
		return float64(k.runsOnCores())
	case "heap_share":
		if k.config.Memory.KB <= 0 {
			return 0
		}
		return k.checker.bookedKB(k.server, k.config.Memory.RunFactor) / k.config.Memory.KB
	case "links":
		return float64(load.connections)
	case "outstanding":
		return float64(load.openRequests)
	case "backlog":
		return float64(max(load.openRequests-len(k.runs), 0))
	case "throughput":
		return load.servedPerSecond
	case "errors_per_s":
		return load.failedPerSecond
	case "recent_ms":
		return load.meanDuration.Seconds() * 1000
	}
	return 0
}

// coreUsage is the number of runs on the cores over time, as steps.
type coreUsage struct{ steps []usageStep }

// usageStep is a period with a constant number of runs.
type usageStep struct {
	from, to time.Time
	runs     int
}

// add records a period that ends now and drops steps older than every window.
func (u *coreUsage) add(duration time.Duration, now time.Time, runs int, config KernelConfig) {
	if duration <= 0 {
		return
	}
	if last := len(u.steps) - 1; last >= 0 && u.steps[last].runs == runs {
		u.steps[last].to = now
	} else {
		u.steps = append(u.steps, usageStep{now.Add(-duration), now, runs})
	}
	oldest := now.Add(-max(coreUseWindow, config.Overload.Window))
	u.steps = slices.DeleteFunc(u.steps, func(s usageStep) bool { return s.to.Before(oldest) })
}

// mean returns the mean share of the cores in use over a window that ends now, or the mean number of runs if cores is 0.
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

// checkOverload reports a violation if the mean number of runs on the cores exceeds the overload limit.
func (k *Kernel) checkOverload(now time.Time) {
	limit := k.config.Overload
	if limit.Factor <= 0 || limit.Window <= 0 || k.overloadReported {
		return
	}
	maxRuns := float64(k.config.Cores) * (1 + (limit.Factor-1)*k.speedShare())
	if mean := k.usage.mean(limit.Window, now, 0); mean > maxRuns {
		k.overloadReported = true
		k.reportViolation(4, "%.1f runs on the cores on average over %v; the limit is %.1f", mean, limit.Window, maxRuns)
	}
}

// maxOverbookedTime is how long the memory limit may be exceeded before that is a violation: the proxy observes a reply, which
// ends a booking, a little after the app server has sent it.
const maxOverbookedTime = 50 * time.Millisecond

// checkMemory reports a violation if the memory limit has been exceeded for maxOverbookedTime.
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
		k.reportViolation(4, "books %.0f KB more than the memory limit of %.0f KB", excessKB, k.config.Memory.KB)
	}
}

// overbookedKB returns how many KB are booked beyond the memory limit.
func (k *Kernel) overbookedKB() float64 {
	memory := k.config.Memory
	if memory.KB <= 0 {
		return 0
	}
	return max(k.checker.bookedKB(k.server, memory.RunFactor)-memory.KB, 0)
}
