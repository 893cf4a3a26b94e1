package logic

// The number of RPCs that run at a time, and their order.

func (m *Module) cores() float64 { return float64(m.Machine.Cores) }

// warmth is the least share of its full speed that an app server has while it warms up, 1 once warm.
func (m *Module) warmth() float64 {
	if !m.Machine.Cold || m.Rules.WarmIn <= 0 {
		return 1
	}
	return min(1, m.Rules.ColdAt+(1-m.Rules.ColdAt)*max(m.now-m.started, 0)/m.Rules.WarmIn)
}

// survivable is the number of started RPCs that the cores bear at once, fewer while cold. A tenth is left for
// RPCs that return from their calls.
func (m *Module) survivable() float64 {
	return max(1, 0.9*m.cores()*(1+(m.Rules.Crowd-1)*m.warmth()))
}

// pump starts queued RPCs while the limits leave room: oldest first, newest first once the queue has been
// full for a while.
func (m *Module) pump() {
	if m.cold() {
		m.publish()
	}
	for k := 0; k < len(m.queue); {
		on := m.count[running] + m.count[orphaned]
		off := m.off()
		if float64(on+1) > m.limit || float64(on+off+1) > m.survivable() {
			return
		}
		i := m.queue[k]
		if m.newest {
			i = m.queue[len(m.queue)-1-k]
		}
		w := &m.rpcs[i]
		calls := w.method < len(m.Machine.Calls) && m.Machine.Calls[w.method]
		switch {
		case m.hopeless(w):
			m.giveUp(i)
		case m.memory()+w.kb*(m.Machine.RunFactor-1) > m.room(), calls && off >= m.waits(), m.lacks(i):
			k++
		default:
			w.began = m.now
			if on == 0 {
				m.well = m.now
			}
			m.do.Start(i)
			m.move(i, running)
		}
	}
}

// lacks reports whether a queued RPC waits for a limit common to several app servers, whatever the cores
// allow. Others are started before it.
func (m *Module) lacks(i int) bool {
	m.rpcs[i].short = m.do.Short(m.rpcs[i].method)
	return m.rpcs[i].short > 0
}

// adjust adapts the limit to the cores: it grows fast while some are idle and RPCs wait, and decays to one
// RPC a core, as more only slow each other down.
func (m *Module) adjust(gauges []float64) {
	on := float64(m.count[running] + m.count[orphaned])
	if k := m.gauge; k >= 0 && k < len(gauges) && gauges[k] >= 0 && gauges[k] < 1e6 { // else it is no count
		on = gauges[k]
	}
	rise := on - float64(m.count[running]+m.count[orphaned]) - m.overhead
	m.overhead += max(rise, 0.1*rise) * tick // up within a second, down over ten
	if m.oldest(0) >= 0 {
		m.limit += max(m.cores()-on, 0) * gain * tick
	}
	m.limit += (m.cores() - m.limit) * fade * tick
	m.limit = max(1, min(m.limit, 2*m.cores(), m.survivable())) // 3 a core gains nothing
}

// gain fills an idle core within a tenth of a second; fade is over the time that a few RPCs take.
const gain, fade = 10, 0.2
