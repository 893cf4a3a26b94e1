package rig

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// run is one that has been started and is not over.
type run struct {
	uid     string
	order   workOrder
	left    float64 // seconds of work
	began   time.Time
	stopped bool // it was asked to stop
	paused  bool // off the cores under freeze
	backend bool // it counts there
}

// start begins a run, unless its request is over.
func (k *Kernel) start(uid, lane string, order workOrder) {
	k.pass()
	if order.over {
		k.notify(reaped(uid, "late", 0, nil))
		return
	}
	k.check.recordRunStart(k.server, order)
	k.runs[uid] = &run{uid: uid, order: order, left: order.entry.Work, began: time.Now(), backend: k.config.Backend.counts(lane)}
	if k.config.Backend.counts(lane) {
		k.config.Backend.add(k.server, 1)
	}
	k.judgeMemory()
	k.set()
}

// preempt takes a run off the cores, in the way of the settings.
func (k *Kernel) preempt(r *run) {
	if k.config.Preemption == PreemptFreeze && !k.check.requestSettled(r.order) {
		if !r.paused {
			r.paused, r.stopped = true, false
			k.notify(reaped(r.uid, "broken_off", time.Since(r.began), nil))
		}
		return
	}
	k.end(r, "broken_off", nil)
}

// dropPaused forgets paused runs whose request is over: their end has been told when they were paused.
func (k *Kernel) dropPaused() {
	for _, r := range k.runs {
		if r.paused && k.check.requestSettled(r.order) {
			k.forget(r)
		}
	}
}

// onCores is how many runs want a core.
func (k *Kernel) onCores() int {
	n := 0
	for _, r := range k.runs {
		if !r.paused {
			n++
		}
	}
	return n
}

// rate is how fast each run goes on.
func (k *Kernel) rate() float64 {
	if k.hung {
		return 0
	}
	return min(1, float64(k.config.Cores)/max(float64(k.onCores()), 1)) / k.slow / k.config.Backend.slower() * k.warmth()
}

// pass takes off the work done since the last look.
func (k *Kernel) pass() {
	now := time.Now()
	k.usage.add(now.Sub(k.looked), now, k.onCores(), k.config)
	k.judgeCrowding(now)
	done := now.Sub(k.looked).Seconds() * k.rate()
	k.looked = now
	for _, r := range k.runs {
		if !r.paused {
			r.left -= done
		}
	}
}

// set has the timer come when the next run is over.
func (k *Kernel) set() {
	rate, first := k.rate(), 3600.0
	for _, r := range k.runs {
		if rate > 0 && !r.paused {
			first = min(first, r.left/rate)
		}
	}
	if k.warming() {
		first = min(first, warmingStep.Seconds()) // its speed changes meanwhile
	}
	if !k.closed {
		k.timer.Reset(time.Duration(max(first, 0) * float64(time.Second)))
	}
}

func (k *Kernel) turn() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pass()
	k.dropPaused()
	for _, r := range k.done() {
		if r.order.entry.Fails {
			k.end(r, "fault", nil)
			continue
		}
		k.end(r, "fine", r.order.entry.result())
	}
	k.set()
}

// done are the runs whose work is done, in the order in which they began.
func (k *Kernel) done() []*run {
	var all []*run
	for _, r := range k.runs {
		if !r.paused && r.left <= 0 {
			all = append(all, r)
		}
	}
	slices.SortFunc(all, func(a, b *run) int { return a.began.Compare(b.began) })
	return all
}

// warmingStep is between looks while the speed rises.
const warmingStep = 10 * time.Millisecond

// end gives notice of a run's end.
func (k *Kernel) end(r *run, code string, result []byte) {
	k.forget(r)
	if code == "fine" {
		k.check.recordResult(r.order, result)
	}
	k.notify(reaped(r.uid, code, time.Since(r.began), result))
}

// forget takes a run out of the books.
func (k *Kernel) forget(r *run) {
	delete(k.runs, r.uid)
	k.check.recordRunEnd(r.order)
	if r.backend {
		k.config.Backend.add(k.server, -1)
	}
}

// reaped writes a REAP, with room for its number.
func reaped(uid, code string, took time.Duration, result []byte) func(pos int) string {
	name, _ := json.Marshal(uid)
	content, _ := json.Marshal(result)
	if result == nil {
		content = []byte(`""`)
	}
	return func(pos int) string {
		return fmt.Sprintf(`{"action":"REAP","pos":%d,"uid":%s,"code":"%s","wall_ms":%.3f,"content":%s}`, pos, name, code,
			max(took.Seconds()*1000, 0.001), content)
	}
}
