package logic

// The number of RPCs that run at a time and the order in which they start.

func (m *Module) cores() float64 { return float64(m.Machine.Cores) }

// warmUpFactor is the lowest fraction of its full speed that the app server has at this point of its
// warm-up, 1 once warm.
func (m *Module) warmUpFactor() float64 {
	if !m.Machine.Cold || m.Rules.RampTime <= 0 {
		return 1
	}
	return min(1, m.Rules.StartCapacity+(1-m.Rules.StartCapacity)*max(m.now-m.started, 0)/m.Rules.RampTime)
}

// maxStarted is the number of started RPCs that the cores withstand at once, fewer during warm-up. A tenth
// is reserved for RPCs that return from their calls.
func (m *Module) maxStarted() float64 {
	return max(1, 0.9*m.cores()*(1+(m.Rules.OverloadFactor-1)*m.warmUpFactor()))
}

// startQueued starts queued RPCs while the limits allow it: oldest first, or newest first once the queue
// has been over its delay threshold for long.
func (m *Module) startQueued() {
	if m.warmingUp() {
		m.publish()
	}
	for k := 0; k < len(m.queue); {
		onCores := m.count[running] + m.count[orphaned]
		offCores := m.offCores()
		if float64(onCores+1) > m.runLimit || float64(onCores+offCores+1) > m.maxStarted() {
			return
		}
		i := m.queue[k]
		if m.newestFirst {
			i = m.queue[len(m.queue)-1-k]
		}
		req := &m.rpcs[i]
		mayCall := req.method < len(m.Machine.CallsDownstream) && m.Machine.CallsDownstream[req.method]
		switch {
		case m.wouldBeLate(req):
			m.giveUp(i)
		case m.memoryUsed()+req.sizeKB*(m.Machine.RunFactor-1) > m.memoryLimit(),
			mayCall && offCores >= m.maxOffCores(), m.awaitsSharedLimit(i):
			k++
		default:
			req.runStarted = m.now
			if onCores == 0 {
				m.lastProgress = m.now
			}
			m.actions.Start(i)
			m.move(i, running)
		}
	}
}

// awaitsSharedLimit reports whether a queued RPC must wait for a limit shared by several app servers, even
// if cores are idle. RPCs without such a limit are started before it.
func (m *Module) awaitsSharedLimit(i int) bool {
	m.rpcs[i].sharedLimit = m.actions.BlockingLimit(m.rpcs[i].method)
	return m.rpcs[i].sharedLimit > 0
}

// adjustRunLimit adapts the run limit to the cores: it grows fast while some are idle and RPCs wait, and
// decays to one RPC per core, as more only slow each other down.
func (m *Module) adjustRunLimit(gauges []float64) {
	onCores := float64(m.count[running] + m.count[orphaned])
	// Values outside this range are not counts of RPCs.
	if index := m.coresGauge; index >= 0 && index < len(gauges) && gauges[index] >= 0 && gauges[index] < 1e6 {
		onCores = gauges[index]
	}
	overhead := onCores - float64(m.count[running]+m.count[orphaned]) - m.overheadCores
	m.overheadCores += max(overhead, 0.1*overhead) * tickInterval // rises within a second, falls over ten
	if m.oldestAge(0) >= 0 {
		m.runLimit += max(m.cores()-onCores, 0) * limitGrowthRate * tickInterval
	}
	m.runLimit += (m.cores() - m.runLimit) * limitDecayRate * tickInterval
	m.runLimit = max(1, min(m.runLimit, 2*m.cores(), m.maxStarted())) // 3 per core gains nothing
}

const (
	// limitGrowthRate is the growth of the run limit per second and idle core: an idle core is filled within a
	// tenth of a second.
	limitGrowthRate = 10

	// limitDecayRate is the share of its distance from one RPC per core that the run limit loses per second. The
	// limit decays over about the time that a few RPCs take.
	limitDecayRate = 0.2
)
