package logic

import "math"

// Measurements and their exponential decay.

// halfLife is the half-life of measurements in seconds. Faults are noticed soon, and forgotten soon.
const halfLife = 2.0

// decay ages all measurements by one half-life, those of tenants and the best median call time by less.
func (m *Module) decay() {
	m.lastDecay, m.okRunSeconds = m.now, m.okRunSeconds/2
	for k := range m.tenantRPCs {
		m.tenantRPCs[k] *= tenantDecay
	}
	m.callTimes.halve()
	m.bestCallMedian *= 1.02 // a lowest median is forgotten over minutes
	m.arrivals, m.rejections, m.retries, m.okRuns = m.arrivals/2, m.rejections/2, m.retries/2, m.okRuns/2
	for k := range m.methodStats {
		stats := &m.methodStats[k]
		stats.arrivals, stats.ok = stats.arrivals/2, stats.ok/2
		stats.runTimes.halve()
	}
}

// tenantDecay is the factor applied to the tenants' counts in each half-life. The count of a tenant that
// sends one RPC a second is about a dozen.
const tenantDecay = 0.85

// tenantWorth is the mean value of an RPC of a tenant: 1 while the tenant is within its share of the quota
// at this app server. Retries count too, as they inflate the counts of all tenants alike.
func (m *Module) tenantWorth(tenant int) float64 {
	if tenant >= len(m.tenantRPCs) {
		return 1
	}
	share := m.Tenants[tenant].Quota / float64(max(m.Replicas, 1))
	within := min(share/max(m.tenantRPCs[tenant]*(1-tenantDecay)/halfLife, 1e-9), 1)
	return within + (1-within)*m.OverShareWorth
}

// histogram counts durations in a few exponential bins from 20 ms to 30 s, each half as long again as the
// one before.
type histogram struct {
	bins    [20]float64
	samples float64
}

func (h *histogram) add(seconds float64) {
	bin := int(math.Ceil(math.Log(min(max(seconds, 0.02), 60)/0.02) / math.Log(1.5)))
	h.bins[min(bin, len(h.bins)-1)]++
	h.samples++
}

func (h *histogram) halve() {
	for k := range h.bins {
		h.bins[k] /= 2
	}
	h.samples /= 2
}

// median is 0 while there are too few samples, so that no decision depends on old measurements.
func (h *histogram) median() float64 {
	sum := 0.0
	for k, n := range h.bins {
		if sum += n; h.samples >= 2 && sum >= h.samples/2 {
			return 0.02 * math.Pow(1.5, float64(k)-0.5)
		}
	}
	return 0
}
