package view

import "math"

// handleAlive takes in that an incarnation is alive.
func (m *Machine) handleAlive(e Entry, now float64) {
	if e.Name == m.self.Name {
		m.handleRival(e, now)
		return
	}
	if e.Incarnation.Number >= MaxIncarnation || e.State == Left {
		return
	}
	m.metAt = min(m.metAt, now)
	r := m.records[e.Name]
	switch {
	case r == nil:
		if !m.room() {
			return
		}
		r = &record{penaltyAt: now, reachableAt: math.Inf(-1), probedAt: math.Inf(-1), notifiedAt: math.Inf(-1)}
		m.records[e.Name] = r
		m.move(r, joining, now)
		r.changedAt, r.differsSince = now, now
	case e.Incarnation.Before(r.latest.Incarnation) && m.config.enabled(NewerWins):
		// A newer incarnation of that name is known. If that one has ended, the one that is there has to raise its own.
		if (r.phase == dead || r.phase == left) && now >= r.notifiedAt+1 && m.config.enabled(NotifyingNewer) {
			r.notifiedAt = now
			m.emit(Action{Kind: NotifyNewerIncarnation, Entry: r.latest, Address: e.Address})
		}
		return
	case r.phase == left && e.Incarnation == r.latest.Incarnation:
		return // a late message about one that has left
	case r.phase == dead || r.phase == left:
		m.move(r, joining, now)
		r.changedAt, r.differsSince = now, now
	case r.phase == suspect:
		m.move(r, alive, now)
	}
	if e.Incarnation != r.latest.Incarnation {
		r.failures, r.reachableAt = 0, math.Inf(-1)
	}
	if !e.alike(r.latest) {
		if r.latest.alike(r.shown) {
			r.differsSince = now
		}
		r.changedAt = now
	}
	m.dirty = m.dirty || e.Load != r.latest.Load
	r.latest = e
	m.rejoin.remove(e.Name)
}

// handleDead takes in that gossip takes an incarnation for dead, or left.
func (m *Machine) handleDead(e Event, now float64) {
	r := m.records[e.Entry.Name]
	if r == nil || r.latest.Incarnation != e.Entry.Incarnation {
		return
	}
	switch {
	case e.Kind == Leave && r.phase != dead && r.phase != left:
		m.move(r, left, now)
		r.reason = "left"
		m.rejoin.remove(e.Entry.Name)
	case e.Kind == Dead && r.phase == joining:
		m.move(r, dead, now)
		m.rejoinMember(r, now)
	case e.Kind == Dead && r.phase == alive:
		m.move(r, suspect, now)
		r.reason = "died"
	}
}

func (m *Machine) rejoinMember(r *record, due float64) {
	if m.config.enabled(Rejoining) {
		m.rejoin.add(r.latest.Name, r.latest.Address, due)
	}
}

// unreachableAfter is how many failures of the data path in a row say that work fails there: one may be a connection that was
// closed meanwhile, two its replacement.
const unreachableAfter = 3

func (m *Machine) handleReachability(name string, ok bool, now float64) {
	r := m.records[name]
	if r == nil || !m.config.enabled(TrustingDataPath) {
		return
	}
	failed := r.failures >= unreachableAfter
	switch {
	case ok:
		r.reachableAt, r.failures = now, 0
		if r.phase == suspect { // it is there: let gossip hear so from itself
			m.rejoinMember(r, now)
		}
	case r.failures < unreachableAfter:
		r.failures++
	}
	m.dirty = m.dirty || failed != (r.failures >= unreachableAfter)
}

// handleLateness takes in that this process was off its core. What it believes of others may be its own doing: while it is late it
// accuses nobody, and after a long time it begins anew.
func (m *Machine) handleLateness(span, now float64) {
	if span < m.config.LagThreshold || !m.config.enabled(DetectingOwnLag) {
		return
	}
	m.lagUntil = max(m.lagUntil, now+min(2*span, m.config.WakeGraceTime))
	for _, r := range m.records {
		if r.phase == suspect { // time in which nobody could have been heard does not count
			r.since = min(r.since+span, max(now, r.since))
		}
	}
	if span < m.config.RebuildThreshold {
		return
	}
	m.doubtUntil = now + m.config.WakeGraceTime
	for _, r := range m.records {
		if r.phase == alive || r.phase == suspect {
			m.move(r, suspect, m.doubtUntil) // until it is heard again
			r.reason = "not met again"
			m.rejoinMember(r, now)
		}
	}
	clear(m.echoes)
	m.rejoin.restart(now)
	m.emit(Action{Kind: Rebuild})
}
