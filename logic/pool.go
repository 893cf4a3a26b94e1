package logic

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"valveglade/rpc"
)

// The pool of credit, as the design has it, and what is said of it.

// updatePool is the design's: additive growth below d_t unless no caller has its full credit out, a cut by the
// overshoot, at most half, above.
func (m *Module) updatePool() {
	const alpha, beta = 0.01, 0.5 // the design's defaults
	m.lastUpdate = m.now
	d, heard := m.queueDelay(), m.activeCallers()
	if d > m.targetDelay {
		m.creditPool *= max(1-beta*(d-m.targetDelay)/m.targetDelay, 0.5)
	} else if m.creditExhausted {
		m.creditPool += max(alpha*heard, 1)
	}
	m.creditExhausted = false
	m.publish()
	if d <= m.delayThreshold {
		m.overThresholdSince = 0
	} else if m.overThresholdSince == 0 {
		m.overThresholdSince = m.now
	}
	if newest := m.overThresholdSince > 0 && m.now-m.overThresholdSince > 6*m.targetDelay; newest != m.newestFirst { // for one latency target
		m.newestFirst = newest
		m.actions.Log(fmt.Sprintf("queue full for a while: %v, %d queued", newest, len(m.queue)))
	}
}

// activeCallers counts the callers activeCallers within a second; before any, it is those that there were at start.
func (m *Module) activeCallers() float64 {
	n := len(slices.DeleteFunc(slices.Clone(m.callers), func(c callerState) bool { return m.now-c.lastArrival > 1 }))
	return float64(cmp.Or(n, max(m.Machine.Callers, 1)))
}

// warmingUp tells whether the machine comes up slowly, or did so in the span that ends now.
func (m *Module) warmingUp() bool {
	return m.Machine.Cold && m.now-m.started < max(m.Rules.WarmIn, m.Rules.CrowdSpan)
}

// warmUpPool bounds what all callers, those too that may yet come, have out while cold: as what ends lets in
// the next, a span sees it beside the N runs that end, and past N only some 2*sqrt(N)+2 are borne. What is
// refused lets in the next too, at once: so the bound shrinks with what came past N of late.
func (m *Module) warmUpPool() float64 {
	const prior = 0.2 // of a run that takes all cores for a span, till more is known
	full := m.cores() * m.Rules.CrowdSpan * max(m.warmUpFactor(), 0.01)
	n := full * (m.okRuns + prior) / (m.okRunSeconds + prior*full)
	most, each := 1+1.2*math.Sqrt(n), m.Rules.CrowdSpan/n
	m.excessArrivals, m.excessUpdated = max(m.excessArrivals-(m.now-m.excessUpdated)/each, 0), m.now
	return min((1+n)/2, most) * max(min(2-2*m.excessArrivals/most, 1), 1.0/16)
}

// publish says the free credit, which goes out with every answer, in the terms of the site's signal: as it
// is, or as the share of what is in hand that the pool covers. One that leaves wants nothing past the grace.
func (m *Module) publish() {
	// What runs at once, and half as much queued for the gaps, is bearable whatever the delay says.
	m.creditPool = max(m.creditPool, 1.5*m.runLimit)
	inHand := float64(m.count[queued] + m.count[running] + m.count[paused] + m.count[calling])
	cover := min(1, m.creditPool/max(inHand, 1))
	m.credit = max(1, math.Ceil(m.creditPool/m.activeCallers()))
	if m.warmingUp() {
		bound := min(m.creditPool, m.warmUpPool())
		m.credit = bound / max(m.activeCallers(), float64(m.Machine.Callers))
		cover = min(1, bound/max(inHand, 1)) * m.warmUpFactor()
	}
	if m.draining && m.now >= min(m.shutdownNotice+m.Rules.Grace, m.drainDeadline) {
		m.credit, cover = 0, 0
	}
	value, heeded := map[rpc.Signal]float64{rpc.Allowance: m.credit, rpc.Weight: cover,
		rpc.Floor: 1 - cover}[m.Machine.Signal]
	if heeded && value != m.publishedValue {
		m.publishedValue = value
		m.actions.Publish(value)
	}
}
