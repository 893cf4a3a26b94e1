package logic

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"valveglade/rpc"
)

// The pool of credit, as the design has it, and what is said of it.

// update is the design's: additive growth below d_t unless no caller has its full credit out, a cut by the
// overshoot, at most half, above.
func (m *Module) update() {
	const alpha, beta = 0.01, 0.5 // the design's defaults
	m.updated = m.now
	d, heard := m.delay(), m.heard()
	if d > m.dt {
		m.pool *= max(1-beta*(d-m.dt)/m.dt, 0.5)
	} else if m.full {
		m.pool += max(alpha*heard, 1)
	}
	m.full = false
	m.publish()
	if d <= m.threshold {
		m.over = 0
	} else if m.over == 0 {
		m.over = m.now
	}
	if newest := m.over > 0 && m.now-m.over > 6*m.dt; newest != m.newest { // for one latency target
		m.newest = newest
		m.do.Log(fmt.Sprintf("queue full for a while: %v, %d queued", newest, len(m.queue)))
	}
}

// heard counts the callers heard within a second; before any, it is those that there were at start.
func (m *Module) heard() float64 {
	n := len(slices.DeleteFunc(slices.Clone(m.callers), func(c caller) bool { return m.now-c.heard > 1 }))
	return float64(cmp.Or(n, max(m.Machine.Callers, 1)))
}

// cold tells whether the machine comes up slowly, or did so in the span that ends now.
func (m *Module) cold() bool {
	return m.Machine.Cold && m.now-m.started < max(m.Rules.WarmIn, m.Rules.CrowdSpan)
}

// coldPool bounds what all callers, those too that may yet come, have out while cold: as what ends lets in
// the next, a span sees it beside the N runs that end, and past N only some 2*sqrt(N)+2 are borne. What is
// refused lets in the next too, at once: so the bound shrinks with what came past N of late.
func (m *Module) coldPool() float64 {
	const prior = 0.2 // of a run that takes all cores for a span, till more is known
	full := m.cores() * m.Rules.CrowdSpan * max(m.warmth(), 0.01)
	n := full * (m.ran + prior) / (m.ranFor + prior*full)
	most, each := 1+1.2*math.Sqrt(n), m.Rules.CrowdSpan/n
	m.excess, m.excessAt = max(m.excess-(m.now-m.excessAt)/each, 0), m.now
	return min((1+n)/2, most) * max(min(2-2*m.excess/most, 1), 1.0/16)
}

// publish says the free credit, which goes out with every answer, in the terms of the site's signal: as it
// is, or as the share of what is in hand that the pool covers. One that leaves wants nothing past the grace.
func (m *Module) publish() {
	// What runs at once, and half as much queued for the gaps, is bearable whatever the delay says.
	m.pool = max(m.pool, 1.5*m.limit)
	inHand := float64(m.count[queued] + m.count[running] + m.count[paused] + m.count[calling])
	cover := min(1, m.pool/max(inHand, 1))
	m.credit = max(1, math.Ceil(m.pool/m.heard()))
	if m.cold() {
		bound := min(m.pool, m.coldPool())
		m.credit = bound / max(m.heard(), float64(m.Machine.Callers))
		cover = min(1, bound/max(inHand, 1)) * m.warmth()
	}
	if m.leaving && m.now >= min(m.noticed+m.Rules.Grace, m.stop) {
		m.credit, cover = 0, 0
	}
	value, heeded := map[rpc.Signal]float64{rpc.Allowance: m.credit, rpc.Weight: cover,
		rpc.Floor: 1 - cover}[m.Machine.Signal]
	if heeded && value != m.said {
		m.said = value
		m.do.Publish(value)
	}
}
