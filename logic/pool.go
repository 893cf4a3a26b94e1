package logic

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"valveglade/rpc"
)

// The credit pool and the value published from it.

// updatePool adapts the credit pool as in Breakwater: additive growth while the delay is below d_t, unless
// no caller has its full credit outstanding; above d_t a cut in proportion to the overshoot, by half at
// most.
func (m *Module) updatePool() {
	const alpha, beta = 0.01, 0.5 // Breakwater's defaults
	m.lastUpdate = m.now
	delay, callers := m.queueDelay(), m.activeCallers()
	if delay > m.targetDelay {
		m.creditPool *= max(1-beta*(delay-m.targetDelay)/m.targetDelay, 0.5)
	} else if m.creditExhausted {
		m.creditPool += max(alpha*callers, 1)
	}
	m.creditExhausted = false
	m.publish()
	if delay <= m.delayThreshold {
		m.overThresholdSince = 0
	} else if m.overThresholdSince == 0 {
		m.overThresholdSince = m.now
	}
	// Six target delays are one latency target.
	if newestFirst := m.overThresholdSince > 0 &&
		m.now-m.overThresholdSince > 6*m.targetDelay; newestFirst != m.newestFirst {
		m.newestFirst = newestFirst
		m.actions.Log(fmt.Sprintf("queue full for a while: %v, %d queued", newestFirst, len(m.queue)))
	}
}

// activeCallers counts the callers that have sent something within the last second. While there is none it
// is the configured number of callers.
func (m *Module) activeCallers() float64 {
	active := len(slices.DeleteFunc(slices.Clone(m.callers),
		func(c callerState) bool { return m.now-c.lastArrival > 1 }))
	return float64(cmp.Or(active, max(m.Machine.Callers, 1)))
}

// warmingUp reports whether the app server is still warming up, or came up less than Rules.OverloadWindow
// ago.
func (m *Module) warmingUp() bool {
	return m.Machine.Cold && m.now-m.started < max(m.Rules.RampTime, m.Rules.OverloadWindow)
}

// warmUpPool bounds the total credit of all callers, including those that may yet connect, during warm-up.
// Each RPC that ends lets in the next one, so the arrivals within Rules.OverloadWindow may reach the credit
// plus N, the runs that end in it, and only some 2*sqrt(N)+2 arrivals past N are tolerated. A rejected RPC
// lets in the next one too, at once, so the bound shrinks with the recent arrivals past N.
func (m *Module) warmUpPool() float64 {
	const prior = 0.2 // weight of the initial sample: one run that takes all cores for the whole interval
	coreSeconds := m.cores() * m.Rules.OverloadWindow * max(m.warmUpFactor(), 0.01)
	runs := coreSeconds * (m.okRuns + prior) / (m.okRunSeconds + prior*coreSeconds)
	maxExcess, secondsPerRun := 1+1.2*math.Sqrt(runs), m.Rules.OverloadWindow/runs
	m.excessArrivals, m.excessUpdated = max(m.excessArrivals-(m.now-m.excessUpdated)/secondsPerRun, 0), m.now
	return min((1+runs)/2, maxExcess) * max(min(2-2*m.excessArrivals/maxExcess, 1), 1.0/16)
}

// publish publishes the free credit, which every answer carries, in the form of the configured signal: the
// credit itself, or the share of the open RPCs that the pool covers. Once the grace after the shutdown
// notice is over, the credit is 0.
func (m *Module) publish() {
	// The RPCs that may run at a time, and half as many queued to fill gaps, are always acceptable.
	m.creditPool = max(m.creditPool, 1.5*m.runLimit)
	open := float64(m.count[queued] + m.count[running] + m.count[paused] + m.count[calling])
	covered := min(1, m.creditPool/max(open, 1))
	m.credit = max(1, math.Ceil(m.creditPool/m.activeCallers()))
	if m.warmingUp() {
		limit := min(m.creditPool, m.warmUpPool())
		m.credit = limit / max(m.activeCallers(), float64(m.Machine.Callers))
		covered = min(1, limit/max(open, 1)) * m.warmUpFactor()
	}
	if m.draining && m.now >= min(m.shutdownNotice+m.Rules.DrainGrace, m.drainDeadline) {
		m.credit, covered = 0, 0
	}
	value, isPublished := map[rpc.Signal]float64{rpc.Allowance: m.credit, rpc.Weight: covered,
		rpc.Floor: 1 - covered}[m.Machine.Signal]
	if isPublished && value != m.publishedValue {
		m.publishedValue = value
		m.actions.Publish(value)
	}
}
