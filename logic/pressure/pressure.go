// Package pressure derives from the state of the process how much pressure it is under and how to respond. It
// works beside the admission module: RPCs that it refuses never reach the module, whose delay, records and
// credit keep describing the RPCs it was given. The server measures the signals (internal/procstats), passes
// them to Update, and checks AdmitShare for each RPC. The package performs no I/O and reads no clock.
package pressure

import (
	"math"
	"slices"
	"strings"
)

const (
	flapWindow     = 10.0 // seconds: a rise this soon after a fall is a flap; the next fall takes twice as long
	maxFallBackoff = 8.0  // largest factor on the fall time
	flapMemory     = 60.0 // seconds without a flap after which that factor is halved
	hysteresis     = 0.8  // share of a threshold below which a reading counts as better than its level
	cutGain        = 0.2  // share of the overshoot by which one cut reduces the admitted share
	minCutFactor   = 0.75 // least share of the admitted share that one cut leaves
	cutInterval    = 0.1  // seconds for a cut to take effect before the next one: two readings
	fallingRatio   = 0.95 // an overshoot below this share of the last one is falling and needs no cut
	overloadGap    = 0.5  // seconds without a cut after which the next cut belongs to a new overload
	growBelow      = 0.7  // share of the threshold below which the admitted share grows again
	// After a cut the admitted share returns quickly to near the share at which the overload began. Beyond
	// that it probes slowly, and faster the longer there is no overload. With a constant rate it spent most
	// of the time far below what the process can bear.
	kneeShare         = 0.9  // share of the knee up to which the admitted share grows quickly
	kneeApproachRate  = 3.0  // share of the remaining distance per second
	probeRate         = 0.03 // share of all RPCs per second
	probeAcceleration = 0.05 // additional probe rate per second
	probeDelay        = 1.5  // seconds after a cut before the probe rate increases
	calmGrowthRate    = 0.4  // share of all RPCs per second while the level is below Pressed
	minShare          = 0.05 // least share admitted under overload; without any, nothing is measured
	minMethodShare    = 0.05 // least share of each method, to keep measuring its success
	// minSuccessShare is the success share below which methods are treated alike. At 0.1, the module's value,
	// a method with a quarter of the criticality displaced the most critical one once that was refused
	// entirely.
	minSuccessShare = 0.3
	halfLife        = 2.0  // seconds after which counts of RPCs decay to one half
	recoveredShare  = 0.98 // admitted share from which the level may fall below Pressed
)

// methodStats holds the recent counts of one method.
type methodStats struct {
	arrived        float64 // RPCs that arrived, exponentially decayed
	succeeded      float64 // RPCs that ended ok, exponentially decayed
	rate           float64 // arrivals per second, as a moving average
	arrivedTotal   uint64  // at the last reading
	succeededTotal uint64  // at the last reading
}

// Monitor turns readings into a level and its effects.
type Monitor struct {
	Config
	level        Level
	levelSince   float64 // time of the last change of level
	lastLevel    Level   // level of the previous reading alone
	worseAt      float64 // time of the last reading that was as bad as the level
	fellAt       float64 // time of the last fall of the level
	flappedAt    float64
	fallBackoff  float64 // factor on FallTime
	loadShare    float64 // share of RPCs to admit according to the load signals
	memoryShare  float64 // share of RPCs to admit according to memory
	knee         float64 // admitted share at which the current overload began
	lastOverload float64 // overload of the previous reading, as a multiple of the threshold
	cutAt        float64 // time of the last cut
	updatedAt    float64
	methods      []methodStats
	admitShares  []float64 // by method
	growth       growthTracker
	causes       []Signal
	current      Reading
	previous     Reading
}

// New returns a monitor at level Calm.
func New(now float64, config Config) *Monitor {
	m := &Monitor{Config: config, levelSince: now, updatedAt: now, worseAt: now, fellAt: math.Inf(-1),
		flappedAt: math.Inf(-1), fallBackoff: 1, loadShare: 1, memoryShare: 1, knee: 1, cutAt: now,
		methods:     make([]methodStats, len(config.Criticality)),
		admitShares: make([]float64, len(config.Criticality)),
		current:     Unknown(), previous: Unknown()}
	for k := range m.admitShares {
		m.admitShares[k] = 1
	}
	return m
}

// Level returns the current level.
func (m *Monitor) Level() Level { return m.level }

// Causes returns the names of the signals that last raised or held the level, separated by spaces.
func (m *Monitor) Causes() string {
	var causeNames []string
	for _, cause := range m.causes {
		causeNames = append(causeNames, cause.String())
	}
	return strings.Join(causeNames, " ")
}

// LastValue returns the value of a signal in the last reading.
func (m *Monitor) LastValue(s Signal) float64 { return m.current[s] }

// Update processes a reading and reports whether the level has changed. arrived and succeeded are the totals
// by method since the start.
func (m *Monitor) Update(now float64, r Reading, arrived, succeeded []uint64) bool {
	now = max(now, m.updatedAt) // time does not go back here when the clock is set back
	elapsed := now - m.updatedAt
	m.updatedAt = now
	r = sanitize(r)
	r[Leak] = m.leakFactor(now, r[Memory])
	m.previous, m.current = m.current, r
	m.updateRates(elapsed, arrived, succeeded)
	level, causes := m.evaluate(r, 1)
	holdLevel, _ := m.evaluate(r, hysteresis)
	changed := m.updateLevel(now, level, holdLevel, causes)
	m.updateShares(now, elapsed, r)
	return changed
}

// evaluate returns the worst level of all signals, and the signals at that level.
func (m *Monitor) evaluate(r Reading, scale float64) (worst Level, causes []Signal) {
	var levelOf [Signals]Level
	busy := false // a signal other than those that depend on callers' clocks is above Calm
	for s := range Signals {
		levelOf[s] = m.Thresholds[s].levelAt(r[s], scale)
		if s != ReadDelay && s <= Throttled && levelOf[s] > Calm {
			busy = true
		}
	}
	if !busy {
		levelOf[ReadDelay] = min(levelOf[ReadDelay], Wary) // a clock, here or at a caller, may have been set
	}
	for s := range Signals {
		switch {
		case levelOf[s] > worst:
			worst, causes = levelOf[s], []Signal{s}
		case levelOf[s] == worst && worst > Calm:
			causes = append(causes, s)
		}
	}
	return worst, causes
}

// updateLevel raises the level once two consecutive readings are above it, and lowers it by one after a time
// of better readings. holdLevel is the level of the reading with hysteresis applied.
func (m *Monitor) updateLevel(now float64, level, holdLevel Level, causes []Signal) bool {
	before := m.level
	confirmed := min(level, m.lastLevel)
	m.lastLevel = level
	switch {
	case confirmed > m.level:
		if now-m.fellAt < flapWindow {
			m.fallBackoff = min(2*m.fallBackoff, maxFallBackoff)
			m.flappedAt = now
		}
		m.level, m.worseAt = confirmed, now
		m.causes = causes
	case holdLevel >= m.level:
		m.worseAt = now
		if holdLevel > Calm {
			m.causes = causes
		}
	case m.level > Wary && m.level <= Pressed && m.loadShare < recoveredShare:
		m.worseAt = now // the readings are good only because so few RPCs are admitted
	case m.level > Calm && now-m.worseAt >= m.FallTime*m.fallBackoff:
		m.level--
		m.worseAt, m.fellAt = now, now
	}
	if m.fallBackoff > 1 && now-m.flappedAt > flapMemory {
		m.fallBackoff, m.flappedAt = m.fallBackoff/2, now
	}
	if m.level != before {
		m.levelSince = now
	}
	return m.level != before
}

// overload returns the worst ratio of a signal to its Pressed threshold, over the signals that admitting
// fewer RPCs relieves at once. The lower of the last two readings counts, so that a single late timer is no
// overload.
func (m *Monitor) overload(r Reading) float64 {
	worst := 0.0
	for _, s := range []Signal{LoopDelay, LockWait, LinkQueue, ReadDelay, Scheduler, Collector} {
		if threshold := m.Thresholds[s][Pressed-1]; r[s] >= 0 && m.previous[s] >= 0 && threshold > 0 {
			worst = max(worst, min(r[s], m.previous[s])/threshold)
		}
	}
	return worst
}

// memoryCapacity returns the share of RPCs that memory can bear: all of them up to the Pressed threshold,
// none at the Shut threshold.
func (m *Monitor) memoryCapacity(r Reading) float64 {
	share := 1.0
	for _, s := range []Signal{Memory, PendingReplies} {
		thresholds := m.Thresholds[s]
		if from, to := thresholds[Pressed-1], thresholds[Shut-1]; r[s] >= 0 && to > from && from > 0 &&
			!math.IsInf(to, 1) {
			share = min(share, max(0, (to-r[s])/(to-from)))
		}
	}
	return share
}

// updateShares sets the admitted share of each method.
func (m *Monitor) updateShares(now, elapsed float64, r Reading) {
	m.memoryShare = m.memoryCapacity(r)
	overload := m.overload(r)
	switch {
	case m.level < Pressed:
		m.loadShare = min(1, m.loadShare+calmGrowthRate*elapsed)
		m.knee = 1
	case overload > 1 && overload >= fallingRatio*m.lastOverload && now-m.cutAt >= cutInterval:
		if now-m.cutAt > overloadGap {
			m.knee = m.loadShare
		}
		m.loadShare = max(minShare, m.loadShare*max(minCutFactor, 1-cutGain*(overload-1)))
		m.cutAt = now
	case overload < growBelow:
		if goal := kneeShare * m.knee; m.loadShare < goal {
			m.loadShare += (goal - m.loadShare) * min(1, kneeApproachRate*elapsed)
		}
		m.loadShare = min(1, m.loadShare+(probeRate+probeAcceleration*max(0, now-m.cutAt-probeDelay))*elapsed)
	}
	m.lastOverload = overload
	share := min(m.loadShare, m.memoryShare)
	if m.level == Shut {
		share = min(share, minShare)
		if m.memoryShare == 0 {
			share = 0
		}
	}
	if share >= 1 || m.level < Pressed && m.memoryShare >= 1 {
		for k := range m.admitShares {
			m.admitShares[k] = 1
		}
		return
	}
	order := make([]int, len(m.methods))
	totalRate := 0.0
	for k := range order {
		order[k] = k
		totalRate += m.methods[k].rate
	}
	slices.SortStableFunc(order, func(a, b int) int {
		switch x, y := m.effectiveCriticality(a), m.effectiveCriticality(b); {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	remaining := share * totalRate
	for _, k := range order {
		rate := m.methods[k].rate
		methodShare := 1.0
		if rate > 0 {
			methodShare = min(1, max(0, remaining)/rate)
			remaining -= rate
		}
		if share > 0 {
			methodShare = max(methodShare, minMethodShare)
		}
		m.admitShares[k] = methodShare
	}
}

// effectiveCriticality returns the value that methods are ordered by, as in the module: the criticality
// divided by the recent success share, so that no method starves.
func (m *Monitor) effectiveCriticality(k int) float64 {
	stats := &m.methods[k]
	return m.Criticality[k] / max((stats.succeeded+1)/(stats.arrived+1), minSuccessShare)
}

// updateRates adds the RPCs that arrived and succeeded since the last reading.
func (m *Monitor) updateRates(elapsed float64, arrived, succeeded []uint64) {
	keep := math.Exp2(-elapsed / halfLife)
	for k := range m.methods {
		stats := &m.methods[k]
		newArrived, newSucceeded := float64(arrived[k]-stats.arrivedTotal),
			float64(succeeded[k]-stats.succeededTotal)
		stats.arrivedTotal, stats.succeededTotal = arrived[k], succeeded[k]
		stats.arrived, stats.succeeded = stats.arrived*keep+newArrived, stats.succeeded*keep+newSucceeded
		if elapsed > 0 {
			stats.rate += (newArrived/elapsed - stats.rate) * (1 - math.Exp2(-elapsed/(halfLife/4)))
		}
	}
}

// AdmitShare returns the share of a method's RPCs to admit.
func (m *Monitor) AdmitShare(method int) float64 { return m.admitShares[method] }

// Effects holds what the server does at a level, besides refusing RPCs.
type Effects struct {
	MaxTurn       int     // RPCs of one connection before others get their turn, 0 for no bound
	CreditFactor  float64 // factor on the module's credit
	Accept        bool    // new connections are accepted
	MaxFrameBytes int     // largest frame that is still read whole
	ResultFactor  float64 // factor on the memory for kept results
	Healthy       bool    // answer to health checks
	RetryAfter    float64 // retry-after delay of a refusal in seconds
}

// strainedFrameBytes admits an RPC of usual size; one with a body of 2 KiB is refused.
const strainedFrameBytes = 1200

// Effects returns the effects of the current level; each level adds to those of the milder ones.
func (m *Monitor) Effects() Effects {
	e := Effects{CreditFactor: 1, Accept: true, MaxFrameBytes: math.MaxInt, ResultFactor: 1,
		Healthy: true}
	if m.level >= Wary {
		e.MaxTurn = 8 // a third of what one read returns
		e.CreditFactor = 0.75
	}
	if m.level >= Pressed {
		e.MaxTurn = 4
		e.CreditFactor = 0.75 * max(min(m.loadShare, m.memoryShare), minShare)
		// The delay gives the admitted share time to change before the retry.
		e.RetryAfter = min(0.25*math.Exp2(float64(m.level-Pressed)), m.MaxRetryAfter)
	}
	if m.level >= Strained {
		e.Accept, e.MaxFrameBytes, e.ResultFactor = false, strainedFrameBytes, 0.5
	}
	if m.level >= Shut {
		e.ResultFactor, e.Healthy, e.CreditFactor = 0.1, false, 0
	}
	return e
}
