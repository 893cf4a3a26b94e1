package logic

import "math"

// Measurements, and how they decay.

// span is the half-life of measurements in seconds: faults are soon noticed, and soon forgotten.
const span = 2.0

func (m *Module) halve() {
	m.halved, m.ranFor = m.now, m.ranFor/2
	for k := range m.tenants {
		m.tenants[k] *= tenantsKept
	}
	m.callTook.halve()
	m.callBest *= 1.02 // it decays over minutes
	m.arrived, m.refused, m.further, m.ran = m.arrived/2, m.refused/2, m.further/2, m.ran/2
	for k := range m.records {
		r := &m.records[k]
		r.asked, r.ok = r.asked/2, r.ok/2
		r.late.halve()
	}
}

// tenantsKept is the factor on tenants' counts in each span: one with an RPC a second has a count of a dozen.
const tenantsKept = 0.85

// worth is the mean value of an RPC of a tenant: 1 within its share of the quota at this app server. Retries
// count too: they inflate all tenants alike.
func (m *Module) worth(tenant int) float64 {
	if tenant >= len(m.tenants) {
		return 1
	}
	share := m.Tenants[tenant].Quota / float64(max(m.Replicas, 1))
	part := min(share/max(m.tenants[tenant]*(1-tenantsKept)/span, 1e-9), 1)
	return part + (1-part)*m.OverShareWorth
}

// hist counts times in a few coarse bins, each half as long again as the one before, from 20 ms to 30 s.
type hist struct {
	bins [20]float64
	sum  float64
}

func (h *hist) add(t float64) {
	k := int(math.Ceil(math.Log(min(max(t, 0.02), 60)/0.02) / math.Log(1.5)))
	h.bins[min(k, len(h.bins)-1)]++
	h.sum++
}

func (h *hist) halve() {
	for k := range h.bins {
		h.bins[k] /= 2
	}
	h.sum /= 2
}

// median is 0 while there are too few samples, so that no decision depends on old figures.
func (h *hist) median() float64 {
	sum := 0.0
	for k, n := range h.bins {
		if sum += n; h.sum >= 2 && sum >= h.sum/2 {
			return 0.02 * math.Pow(1.5, float64(k)-0.5)
		}
	}
	return 0
}
