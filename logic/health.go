package logic

import (
	"fmt"
	"math"
)

// Health reports and the timeout of idle connections.

// checkHealth reports the app server as unhealthy while no more RPCs can be started and none has ended
// successfully for two of the tightest latency targets and for six recent mean run times. It detects stuck
// work: reading goes on then and attracts more RPCs. A fleet that is stuck as a whole loses nothing by an
// empty server list, and the first successful run ends the report.
func (m *Module) checkHealth() {
	atLimit := float64(m.count[running]+m.count[orphaned]+m.offCores()+1) > m.runLimit
	stuck := atLimit &&
		m.now-m.lastProgress > max(12*m.targetDelay, 6*m.okRunSeconds/max(m.okRuns, 1e-9), halfLife)
	if stuck != m.stuck && !m.draining {
		m.stuck = stuck
		m.actions.Health(!stuck)
		m.actions.Log(fmt.Sprintf("work hangs: %v", stuck))
	}
}

// updateIdleTimeout chooses the idle timeout with the lowest total cost of keeping idle connections and of
// reopening closed ones. It guards against a connection table filled by many callers that each send one RPC
// in minutes: callers with work find no free entry, and a full table takes the cores. While connecting and
// reading need more than six times the cores, connections are kept: then the full table holds off a burst
// of retries. That could do harm where opening a connection is expensive.
func (m *Module) updateIdleTimeout() {
	// newConnectionCost is the cost of a new connection in seconds of idle time. 8 and 20 are worse under
	// light load or in deployments of full size.
	const newConnectionCost = 12.0
	lowestCost, timeout, keptCost, reopened := math.Inf(1), 0.0, 0.0, m.idleGaps.samples
	for k, n := range m.idleGaps.bins[:len(m.idleGaps.bins)-1] {
		idle := 0.02 * math.Pow(1.5, float64(k))
		reopened -= n
		keptCost += n * idle
		if cost := reopened*(newConnectionCost+idle) + keptCost; cost < lowestCost {
			lowestCost, timeout = cost, idle
		}
	}
	if m.idleGaps.samples > 128 {
		m.idleGaps.halve()
	}
	if m.overheadCores > 6*m.cores() {
		timeout = m.Machine.KeepAlive
	}
	if m.Machine.KeepAlive > 0 && timeout != m.idleTimeout {
		m.idleTimeout = timeout
		m.actions.Reap(min(timeout, m.Machine.KeepAlive))
	}
}
