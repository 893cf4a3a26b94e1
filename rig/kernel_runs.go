package rig

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// run is the state of a run from its start to its end.
type run struct {
	uid              string
	request          runRequest
	workLeft         float64 // remaining work in seconds
	startedAt        time.Time
	preemptRequested bool // PREEMPT has been received
	paused           bool // preempted under PreemptFreeze
	onBackend        bool // counted by the backend
}

// startRun starts a run, or answers with a late end notice if its request is over.
func (k *Kernel) startRun(uid, lane string, request runRequest) {
	k.accountWork()
	if request.requestOver {
		k.sendNotice(reapNotice(uid, "late", 0, nil))
		return
	}
	k.checker.recordRunStart(k.server, request)
	k.runs[uid] = &run{uid: uid, request: request, workLeft: request.entry.Work, startedAt: time.Now(),
		onBackend: k.config.Backend.countsMethod(lane)}
	if k.config.Backend.countsMethod(lane) {
		k.config.Backend.add(k.server, 1)
	}
	k.checkMemory()
	k.scheduleTimer()
}

// preempt takes a run off the cores: it pauses or ends it as the settings demand.
func (k *Kernel) preempt(r *run) {
	if k.config.Preemption == PreemptFreeze && !k.checker.requestSettled(r.request) {
		if !r.paused {
			r.paused, r.preemptRequested = true, false
			k.sendNotice(reapNotice(r.uid, "broken_off", time.Since(r.startedAt), nil))
		}
		return
	}
	k.endRun(r, "broken_off", nil)
}

// removeObsoletePausedRuns removes paused runs whose request is over; their end notice was sent when they were paused.
func (k *Kernel) removeObsoletePausedRuns() {
	for _, r := range k.runs {
		if r.paused && k.checker.requestSettled(r.request) {
			k.removeRun(r)
		}
	}
}

// runsOnCores returns how many runs are not paused.
func (k *Kernel) runsOnCores() int {
	n := 0
	for _, r := range k.runs {
		if !r.paused {
			n++
		}
	}
	return n
}

// runRate returns the speed of each run: seconds of work per second.
func (k *Kernel) runRate() float64 {
	if k.hung {
		return 0
	}
	return min(1, float64(k.config.Cores)/max(float64(k.runsOnCores()), 1)) / k.slowdown / k.config.Backend.slowdown() *
		k.speedShare()
}

// accountWork subtracts the work done since the last call from all runs.
func (k *Kernel) accountWork() {
	now := time.Now()
	k.usage.add(now.Sub(k.accountedAt), now, k.runsOnCores(), k.config)
	k.checkOverload(now)
	done := now.Sub(k.accountedAt).Seconds() * k.runRate()
	k.accountedAt = now
	for _, r := range k.runs {
		if !r.paused {
			r.workLeft -= done
		}
	}
}

// scheduleTimer sets the timer to the end of the next run.
func (k *Kernel) scheduleTimer() {
	rate, nextEnd := k.runRate(), 3600.0
	for _, r := range k.runs {
		if rate > 0 && !r.paused {
			nextEnd = min(nextEnd, r.workLeft/rate)
		}
	}
	if k.inColdStart() {
		nextEnd = min(nextEnd, maxColdStartStep.Seconds()) // the speed rises during the cold start
	}
	if !k.closed {
		k.timer.Reset(time.Duration(max(nextEnd, 0) * float64(time.Second)))
	}
}

// handleTimer ends the runs whose work is done.
func (k *Kernel) handleTimer() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.accountWork()
	k.removeObsoletePausedRuns()
	for _, r := range k.finishedRuns() {
		if r.request.entry.Fails {
			k.endRun(r, "fault", nil)
			continue
		}
		k.endRun(r, "fine", r.request.entry.result())
	}
	k.scheduleTimer()
}

// finishedRuns returns the runs whose work is done, in the order in which they started.
func (k *Kernel) finishedRuns() []*run {
	var finished []*run
	for _, r := range k.runs {
		if !r.paused && r.workLeft <= 0 {
			finished = append(finished, r)
		}
	}
	slices.SortFunc(finished, func(a, b *run) int { return a.startedAt.Compare(b.startedAt) })
	return finished
}

// maxColdStartStep is the maximum interval between updates during a cold start, while the speed rises.
const maxColdStartStep = 10 * time.Millisecond

// endRun removes a run and sends its end notice.
func (k *Kernel) endRun(r *run, code string, result []byte) {
	k.removeRun(r)
	if code == "fine" {
		k.checker.recordResult(r.request, result)
	}
	k.sendNotice(reapNotice(r.uid, code, time.Since(r.startedAt), result))
}

// removeRun removes a run from the kernel, the checker and the backend.
func (k *Kernel) removeRun(r *run) {
	delete(k.runs, r.uid)
	k.checker.recordRunEnd(r.request)
	if r.onBackend {
		k.config.Backend.add(k.server, -1)
	}
}

// reapNotice returns a function that formats a REAP with its number.
func reapNotice(uid, code string, duration time.Duration, result []byte) func(pos int) string {
	encodedUID, _ := json.Marshal(uid)
	encodedResult, _ := json.Marshal(result)
	if result == nil {
		encodedResult = []byte(`""`)
	}
	return func(pos int) string {
		return fmt.Sprintf(`{"action":"REAP","pos":%d,"uid":%s,"code":"%s","wall_ms":%.3f,"content":%s}`, pos, encodedUID, code,
			max(duration.Seconds()*1000, 0.001), encodedResult)
	}
}
