// Package pressure decides what the state of the process itself means for admission: how hard it is pressed, and what
// it does about it. It stands beside the admission module, not in it: what it refuses never reaches the module, whose
// delay, records and credit go on describing what it was given. The server reads the signals (internal/procstats), asks
// Read what follows, and asks Admit for each RPC. There is no I/O here and no clock.
package pressure

import (
	"math"
	"slices"
	"strings"
)

const (
	again   = 10.0 // a rise so soon after a fall is a flap: the next fall takes twice as long
	slowest = 8.0  // times the fall's time, at the most
	forgive = 60.0 // seconds without a flap after which the fall's time is halved
	better  = 0.8  // share of a threshold under which a reading counts as better than its level
	cut     = 0.2  // of the overshoot, taken off the share of RPCs let in
	deepest = 0.75 // what one cut leaves at least
	settle  = 0.1  // seconds for a cut to show before the next: two readings
	falling = 0.95 // of the last overshoot: what is that much less needs no further cut, only time to be read
	episode = 0.5  // seconds without a cut after which the next belongs to another overload
	easy    = 0.7  // of the threshold, under which the share grows again
	// A share that was cut grows back quickly to near where the trouble began, feels its way past it slowly, and faster
	// the longer all is well. Growing evenly, it spent most of its time far below what the process bears.
	near    = 0.9
	quick   = 3.0  // of the way, in a second
	feel    = 0.03 // of all RPCs in a second
	hasten  = 0.05 // more of them with each second
	patient = 1.5  // seconds before that begins
	grow    = 0.4  // of all RPCs in a second, once the level is below Pressed
	least   = 0.05 // share let in for loops' sake at the least; a standstill would measure nothing
	trickle = 0.05 // share of any method that is let in while any is, so that it is seen whether it is ok
	// starving is the share ok below which methods are alike. At a tenth, as in the module, a method of a quarter of the
	// criticality took the place of the most critical one once it was refused whole.
	starving = 0.3
	fade     = 2.0  // seconds after which what was asked and ok counts half
	recovers = 0.98 // share let in from which the level may fall below Pressed
)

// Method is what has been seen of one of late.
type method struct {
	asked, ok, rate   float64
	askedEver, okEver uint64
}

// Monitor turns readings into a level and what follows from it.
type Monitor struct {
	Config
	level    Level
	since    float64 // when the level was last changed
	last     Level   // that the reading before would have
	worse    float64 // when a reading last was as bad as the level
	fell     float64
	flapped  float64
	patience float64 // times Fall
	share    float64 // of RPCs let in, as the loops bear
	space    float64 // the same, as memory bears
	knee     float64 // the share at which the trouble of late began
	over     float64 // by how much the last reading was over
	cutAt    float64
	read     float64
	methods  []method
	admit    []float64
	growth   growth
	causes   []Signal
	lastSeen Reading
	before   Reading // the one before
}

// New starts calm.
func New(now float64, t Config) *Monitor {
	w := &Monitor{Config: t, since: now, read: now, worse: now, fell: math.Inf(-1), flapped: math.Inf(-1), patience: 1,
		share: 1, space: 1, knee: 1, cutAt: now, methods: make([]method, len(t.Criticality)), admit: make([]float64, len(t.Criticality)),
		lastSeen: Unknown(), before: Unknown()}
	for k := range w.admit {
		w.admit[k] = 1
	}
	return w
}

// Level is the level in force.
func (w *Monitor) Level() Level { return w.level }

// Causes names the signals that last raised or held the level, and Seen is the last reading.
func (w *Monitor) Causes() string {
	var s []string
	for _, c := range w.causes {
		s = append(s, c.String())
	}
	return strings.Join(s, " ")
}

// LastValue is the last value of a signal.
func (w *Monitor) LastValue(s Signal) float64 { return w.lastSeen[s] }

// Update takes a look at the process. asked and ok are totals by method since the start. It tells whether the level has
// changed.
func (w *Monitor) Update(now float64, r Reading, asked, ok []uint64) bool {
	now = max(now, w.read) // a clock that is set back stands still here
	passed := now - w.read
	w.read = now
	r = sane(r)
	r[Leak] = w.forecast(now, r[Memory])
	w.before, w.lastSeen = w.lastSeen, r
	w.count(passed, asked, ok)
	level, causes := w.judge(r, 1)
	better, _ := w.judge(r, better)
	changed := w.steer(now, level, better, causes)
	w.ration(now, passed, r)
	return changed
}

// judge gives the worst level of all signals, and which are at it.
func (w *Monitor) judge(r Reading, scale float64) (worst Level, causes []Signal) {
	var at [Signals]Level
	busy := false // something of the process's own is slow, and not only what others' clocks say
	for s := range Signals {
		at[s] = w.Thresholds[s].of(r[s], scale)
		if s != ReadDelay && s <= Throttled && at[s] > Calm {
			busy = true
		}
	}
	if !busy {
		at[ReadDelay] = min(at[ReadDelay], Wary) // guards against callers' clocks, or our own, being set
	}
	for s := range Signals {
		switch {
		case at[s] > worst:
			worst, causes = at[s], []Signal{s}
		case at[s] == worst && worst > Calm:
			causes = append(causes, s)
		}
	}
	return worst, causes
}

// steer moves the level: up once two readings running are above it, down by one after a time of better ones.
func (w *Monitor) steer(now float64, level, better Level, causes []Signal) bool {
	before := w.level
	rise := min(level, w.last)
	w.last = level
	switch {
	case rise > w.level:
		if now-w.fell < again {
			w.patience = min(2*w.patience, slowest)
			w.flapped = now
		}
		w.level, w.worse = rise, now
		w.causes = causes
	case better >= w.level:
		w.worse = now
		if better > Calm {
			w.causes = causes
		}
	case w.level > Wary && w.level <= Pressed && w.share < recovers:
		w.worse = now // it is calm because so few are let in
	case w.level > Calm && now-w.worse >= w.FallTime*w.patience:
		w.level--
		w.worse, w.fell = now, now
	}
	if w.patience > 1 && now-w.flapped > forgive {
		w.patience, w.flapped = w.patience/2, now
	}
	if w.level != before {
		w.since = now
	}
	return w.level != before
}

// pressing is by how much the worst of the signals that letting in less relieves at once is over its threshold, in this reading
// and the one before: one timer that came late is none.
func (w *Monitor) pressing(r Reading) float64 {
	worst := 0.0
	for _, s := range []Signal{LoopDelay, LockWait, LinkQueue, ReadDelay, Scheduler, Collector} {
		if threshold := w.Thresholds[s][Pressed-1]; r[s] >= 0 && w.before[s] >= 0 && threshold > 0 {
			worst = max(worst, min(r[s], w.before[s])/threshold)
		}
	}
	return worst
}

// spare is what of all RPCs memory still bears: all of them up to the threshold for Pressed, none at that for Shut.
func (w *Monitor) spare(r Reading) float64 {
	share := 1.0
	for _, s := range []Signal{Memory, PendingReplies} {
		m := w.Thresholds[s]
		if from, to := m[Pressed-1], m[Shut-1]; r[s] >= 0 && to > from && from > 0 && !math.IsInf(to, 1) {
			share = min(share, max(0, (to-r[s])/(to-from)))
		}
	}
	return share
}

// ration says how much of each method is let in.
func (w *Monitor) ration(now, passed float64, r Reading) {
	w.space = w.spare(r)
	over := w.pressing(r)
	switch {
	case w.level < Pressed:
		w.share = min(1, w.share+grow*passed)
		w.knee = 1
	case over > 1 && over >= falling*w.over && now-w.cutAt >= settle:
		if now-w.cutAt > episode {
			w.knee = w.share
		}
		w.share = max(least, w.share*max(deepest, 1-cut*(over-1)))
		w.cutAt = now
	case over < easy:
		if goal := near * w.knee; w.share < goal {
			w.share += (goal - w.share) * min(1, quick*passed)
		}
		w.share = min(1, w.share+(feel+hasten*max(0, now-w.cutAt-patient))*passed)
	}
	w.over = over
	share := min(w.share, w.space)
	if w.level == Shut {
		share = min(share, least)
		if w.space == 0 {
			share = 0
		}
	}
	if share >= 1 || w.level < Pressed && w.space >= 1 {
		for k := range w.admit {
			w.admit[k] = 1
		}
		return
	}
	order := make([]int, len(w.methods))
	total := 0.0
	for k := range order {
		order[k] = k
		total += w.methods[k].rate
	}
	slices.SortStableFunc(order, func(a, b int) int {
		switch x, y := w.value(a), w.value(b); {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	left := share * total
	for _, k := range order {
		rate := w.methods[k].rate
		part := 1.0
		if rate > 0 {
			part = min(1, max(0, left)/rate)
			left -= rate
		}
		if share > 0 {
			part = max(part, trickle)
		}
		w.admit[k] = part
	}
}

// value orders methods as the module does: by criticality over the share that has lately been ok, so that none starves.
func (w *Monitor) value(k int) float64 {
	m := &w.methods[k]
	return w.Criticality[k] / max((m.ok+1)/(m.asked+1), starving)
}

// count takes over what has been asked and ok since the last reading.
func (w *Monitor) count(passed float64, asked, ok []uint64) {
	keep := math.Exp2(-passed / fade)
	for k := range w.methods {
		m := &w.methods[k]
		a, o := float64(asked[k]-m.askedEver), float64(ok[k]-m.okEver)
		m.askedEver, m.okEver = asked[k], ok[k]
		m.asked, m.ok = m.asked*keep+a, m.ok*keep+o
		if passed > 0 {
			m.rate += (a/passed - m.rate) * (1 - math.Exp2(-passed/(fade/4)))
		}
	}
}

// AdmitShare gives the share of a method's RPCs that is let in.
func (w *Monitor) AdmitShare(method int) float64 { return w.admit[method] }

// Effects are what the level does, beside refusing.
type Effects struct {
	MaxTurn       int     // RPCs that one connection may bring in before others have their turn, 0 for no bound
	CreditFactor  float64 // times the module's
	Accept        bool    // new connections are taken
	MaxFrameBytes int     // bytes of a frame that is still read whole
	ResultFactor  float64 // times the room for kept results
	Healthy       bool
	RetryAfter    float64 // seconds of advice on a refusal
}

// largest lets through what the usual RPC needs; a body of 2 KiB is refused with it.
const largest = 1200

// Effects gives what the level in force does, mildest first.
func (w *Monitor) Effects() Effects {
	e := Effects{CreditFactor: 1, Accept: true, MaxFrameBytes: math.MaxInt, ResultFactor: 1, Healthy: true}
	if w.level >= Wary {
		e.MaxTurn = 8 // a third of what one read brings
		e.CreditFactor = 0.75
	}
	if w.level >= Pressed {
		e.MaxTurn = 4
		e.CreditFactor = 0.75 * max(min(w.share, w.space), least)
		// By then the share has had time to move.
		e.RetryAfter = min(0.25*math.Exp2(float64(w.level-Pressed)), w.MaxRetryAfter)
	}
	if w.level >= Strained {
		e.Accept, e.MaxFrameBytes, e.ResultFactor = false, largest, 0.5
	}
	if w.level >= Shut {
		e.ResultFactor, e.Healthy, e.CreditFactor = 0.1, false, 0
	}
	return e
}
