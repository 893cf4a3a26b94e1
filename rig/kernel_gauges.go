package rig

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// useWindow is what core_use looks back on, by the page of the settings.
const useWindow = 500 * time.Millisecond

// sysinfo answers with the gauges.
func (k *Kernel) sysinfo(c kernelCommand) {
	if k.config.Gauges == nil {
		k.refuse(c)
		return
	}
	k.pass()
	k.dropPaused()
	k.judgeMemory()
	meters := []float64{}
	for _, name := range k.config.Gauges {
		meters = append(meters, k.gauge(name))
	}
	echo, _ := json.Marshal(c.Echo)
	figures, _ := json.Marshal(meters)
	k.say(fmt.Sprintf(`{"action":"INFO","echo":%s,"meters":%s}`, echo, figures))
}

// gauge is what a gauge of the settings says now; 0 for one that is not known here.
func (k *Kernel) gauge(name string) float64 {
	load := k.check.load(k.server)
	switch name {
	case "core_use", "utilization":
		return k.usage.mean(useWindow, k.looked, k.config.Cores)
	case "on_cores":
		return float64(k.onCores())
	case "heap_share":
		if k.config.Memory.KB <= 0 {
			return 0
		}
		return k.check.bookedKB(k.server, k.config.Memory.RunFactor) / k.config.Memory.KB
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
	oldest := now.Add(-max(useWindow, config.Crowding.Window))
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

// judgeCrowding finds more runs on the cores than they bear, in the mean over the window of the settings.
func (k *Kernel) judgeCrowding(now time.Time) {
	c := k.config.Crowding
	if c.Factor <= 0 || c.Window <= 0 || k.crowded {
		return
	}
	most := float64(k.config.Cores) * (1 + (c.Factor-1)*k.warmth())
	if mean := k.usage.mean(c.Window, now, 0); mean > most {
		k.crowded = true
		k.violate(4, "%.1f runs on the cores in the mean over %v, which bear %.1f", mean, c.Window, most)
	}
}

// bookedTooLong is how long more memory may be booked than there is before that is a violation: an answer is seen by the
// network a little after the app server has given it.
const bookedTooLong = 50 * time.Millisecond

// judgeMemory finds that more memory is booked than there is.
func (k *Kernel) judgeMemory() {
	if k.overbooked() == 0 {
		k.fullSince = time.Time{}
		return
	}
	if k.fullSince.IsZero() {
		k.fullSince = time.Now()
		time.AfterFunc(bookedTooLong, func() {
			k.mu.Lock()
			defer k.mu.Unlock()
			k.judgeMemory()
		})
		return
	}
	if over := k.overbooked(); !k.overran && time.Since(k.fullSince) >= bookedTooLong {
		k.overran = true
		k.violate(4, "books %.0f KB more than the %.0f KB that there are", over, k.config.Memory.KB)
	}
}

// overbooked is how many KB more are booked than there are.
func (k *Kernel) overbooked() float64 {
	m := k.config.Memory
	if m.KB <= 0 {
		return 0
	}
	return max(k.check.bookedKB(k.server, m.RunFactor)-m.KB, 0)
}
