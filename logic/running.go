package logic

// The number of RPCs that run at a time, and their order.

func (m *Module) cores() float64 { return float64(m.Machine.Cores) }

// warmUpFactor is the least share of its full speed that an app server has while it warms up, 1 once warm.
func (m *Module) warmUpFactor() float64 {
	if !m.Machine.Cold || m.Rules.WarmIn <= 0 {
		return 1
	}
	return min(1, m.Rules.ColdAt+(1-m.Rules.ColdAt)*max(m.now-m.started, 0)/m.Rules.WarmIn)
}

// maxStarted is the number of started RPCs that the cores bear at once, fewer while cold. A tenth is left for
// RPCs that return from their calls.
func (m *Module) maxStarted() float64 {
	return max(1, 0.9*m.cores()*(1+(m.Rules.Crowd-1)*m.warmUpFactor()))
}

// startQueued starts queued RPCs while the limits leave room: oldest first, newest first once the queue has been
// full for a while.
func (m *Module) startQueued() {
	if m.warmingUp() {
		m.publish()
	}
	for k := 0; k < len(m.queue); {
		on := m.count[running] + m.count[orphaned]
		off := m.offCores()
		if float64(on+1) > m.runLimit || float64(on+off+1) > m.maxStarted() {
			return
		}
		i := m.queue[k]
		if m.newestFirst {
			i = m.queue[len(m.queue)-1-k]
		}
		w := &m.rpcs[i]
		calls := w.method < len(m.Machine.Calls) && m.Machine.Calls[w.method]
		switch {
		case m.wouldBeLate(w):
			m.giveUp(i)
		case m.memoryUsed()+w.sizeKB*(m.Machine.RunFactor-1) > m.memoryLimit(), calls && off >= m.maxOffCores(), m.awaitsSharedLimit(i):
			k++
		default:
			w.runStarted = m.now
			if on == 0 {
				m.lastProgress = m.now
			}
			m.actions.Start(i)
			m.move(i, running)
		}
	}
}

// awaitsSharedLimit reports whether a queued RPC waits for a limit common to several app servers, whatever the cores
// allow. Others are started before it.
func (m *Module) awaitsSharedLimit(i int) bool {
	m.rpcs[i].sharedLimit = m.actions.Short(m.rpcs[i].method)
	return m.rpcs[i].sharedLimit > 0
}

// adjustRunLimit adapts the limit to the cores: it grows fast while some are idle and RPCs wait, and decays to one
// RPC a core, as more only slow each other down.
func (m *Module) adjustRunLimit(gauges []float64) {
	on := float64(m.count[running] + m.count[orphaned])
	if k := m.coresGauge; k >= 0 && k < len(gauges) && gauges[k] >= 0 && gauges[k] < 1e6 { // else it is no count
		on = gauges[k]
	}
	rise := on - float64(m.count[running]+m.count[orphaned]) - m.overheadCores
	m.overheadCores += max(rise, 0.1*rise) * tickInterval // up within a second, down over ten
	if m.oldestAge(0) >= 0 {
		m.runLimit += max(m.cores()-on, 0) * limitGrowthRate * tickInterval
	}
	m.runLimit += (m.cores() - m.runLimit) * limitDecayRate * tickInterval
	m.runLimit = max(1, min(m.runLimit, 2*m.cores(), m.maxStarted())) // 3 a core gains nothing
}

// limitGrowthRate fills an idle core within a tenth of a second; limitDecayRate is over the time that a few RPCs take.
const limitGrowthRate, limitDecayRate = 10, 0.2
