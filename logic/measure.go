package logic

import "math"

// Measurements, and how they decay.

// halfLife is the half-life of measurements in seconds: faults are soon noticed, and soon forgotten.
const halfLife = 2.0

func (m *Module) decay() {
	m.lastDecay, m.okRunSeconds = m.now, m.okRunSeconds/2
	for k := range m.tenantRPCs {
		m.tenantRPCs[k] *= tenantDecay
	}
	m.callTimes.halve()
	m.bestCallMedian *= 1.02 // it decays over minutes
	m.arrivals, m.rejections, m.retries, m.okRuns = m.arrivals/2, m.rejections/2, m.retries/2, m.okRuns/2
	for k := range m.methodStats {
		r := &m.methodStats[k]
		r.arrivals, r.ok = r.arrivals/2, r.ok/2
		r.runTimes.halve()
	}
}

// tenantDecay is the factor on tenants' counts in each span: one with an RPC a second has a count of a dozen.
const tenantDecay = 0.85

// tenantWorth is the mean value of an RPC of a tenant: 1 within its share of the quota at this app server. Retries
// count too: they inflate all tenants alike.
func (m *Module) tenantWorth(tenant int) float64 {
	if tenant >= len(m.tenantRPCs) {
		return 1
	}
	share := m.Tenants[tenant].Quota / float64(max(m.Replicas, 1))
	part := min(share/max(m.tenantRPCs[tenant]*(1-tenantDecay)/halfLife, 1e-9), 1)
	return part + (1-part)*m.OverShareWorth
}

// histogram counts times in a few coarse bins, each half as long again as the one before, from 20 ms to 30 s.
type histogram struct {
	bins    [20]float64
	samples float64
}

func (h *histogram) add(t float64) {
	k := int(math.Ceil(math.Log(min(max(t, 0.02), 60)/0.02) / math.Log(1.5)))
	h.bins[min(k, len(h.bins)-1)]++
	h.samples++
}

func (h *histogram) halve() {
	for k := range h.bins {
		h.bins[k] /= 2
	}
	h.samples /= 2
}

// median is 0 while there are too few samples, so that no decision depends on old figures.
func (h *histogram) median() float64 {
	sum := 0.0
	for k, n := range h.bins {
		if sum += n; h.samples >= 2 && sum >= h.samples/2 {
			return 0.02 * math.Pow(1.5, float64(k)-0.5)
		}
	}
	return 0
}
