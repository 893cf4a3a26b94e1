package logic

import (
	"fmt"
	"math"
)

// Health, and connections that are idle.

// checkHealth says so to health checks while no more can be started and nothing has ended well for two of the
// tightest latency targets, and for six runs as they are of late: work that hangs, while reading goes on and
// draws in more. A fleet that hangs as a whole loses nothing by an empty list; the first to end well ends it.
func (m *Module) checkHealth() {
	taken := float64(m.count[running]+m.count[orphaned]+m.offCores()+1) > m.runLimit
	stuck := taken && m.now-m.lastProgress > max(12*m.targetDelay, 6*m.okRunSeconds/max(m.okRuns, 1e-9), halfLife)
	if stuck != m.stuck && !m.draining {
		m.stuck = stuck
		m.actions.Health(!stuck)
		m.actions.Log(fmt.Sprintf("work hangs: %v", stuck))
	}
}

// updateIdleTimeout closes connections that have been idle for so long that keeping them costs more than the next one that
// their caller opens. Guards against a table that many callers fill, each with one RPC in minutes: those with
// work find no room, and a full table takes the cores. While connecting and reading ask for six times the
// cores it keeps them: then a full table holds a storm of tries off. It could harm where opening is dear.
func (m *Module) updateIdleTimeout() {
	const worthIdle = 12.0 // seconds that a new one costs: 8 and 20 lose on a quiet or on full-size days
	best, reap, kept, left := math.Inf(1), 0.0, 0.0, m.idleGaps.samples
	for k, n := range m.idleGaps.bins[:len(m.idleGaps.bins)-1] {
		after := 0.02 * math.Pow(1.5, float64(k))
		left -= n
		kept += n * after
		if cost := left*(worthIdle+after) + kept; cost < best {
			best, reap = cost, after
		}
	}
	if m.idleGaps.samples > 128 {
		m.idleGaps.halve()
	}
	if m.overheadCores > 6*m.cores() {
		reap = m.Machine.KeepAlive
	}
	if m.Machine.KeepAlive > 0 && reap != m.idleTimeout {
		m.idleTimeout = reap
		m.actions.Reap(min(reap, m.Machine.KeepAlive))
	}
}
