package view

import "math"

// handleAlive handles a report that an incarnation is alive.
func (m *Machine) handleAlive(e Entry, now float64) {
	if e.Name == m.self.Name {
		m.handleNameConflict(e, now)
		return
	}
	if e.Incarnation.Number >= MaxIncarnation || e.State == Left {
		return
	}
	m.firstPeerAt = min(m.firstPeerAt, now)
	r := m.records[e.Name]
	switch {
	case r == nil:
		if !m.ensureCapacity() {
			return
		}
		r = &record{penaltyAt: now, reachableAt: math.Inf(-1), probedAt: math.Inf(-1), notifiedAt: math.Inf(-1)}
		m.records[e.Name] = r
		m.setPhase(r, joining, now)
		r.latestChangedAt, r.differsSince = now, now
	case e.Incarnation.Before(r.latest.Incarnation) && m.config.enabled(NewerWins):
		// A newer incarnation of that name is known. If the newer one has ended, the older process is
		// notified, so that it raises its incarnation.
		if (r.phase == dead || r.phase == left) && now >= r.notifiedAt+1 && m.config.enabled(NotifyingNewer) {
			r.notifiedAt = now
			m.emit(Action{Kind: NotifyNewerIncarnation, Entry: r.latest, Address: e.Address})
		}
		return
	case r.phase == left && e.Incarnation == r.latest.Incarnation:
		return // a late message about a member that has left
	case r.phase == dead || r.phase == left:
		m.setPhase(r, joining, now)
		r.latestChangedAt, r.differsSince = now, now
	case r.phase == suspect:
		m.setPhase(r, alive, now)
	}
	if e.Incarnation != r.latest.Incarnation {
		r.failures, r.reachableAt = 0, math.Inf(-1)
	}
	if !e.sameDigest(r.latest) {
		if r.latest.sameDigest(r.shown) {
			r.differsSince = now
		}
		r.latestChangedAt = now
	}
	m.membersChanged = m.membersChanged || e.Load != r.latest.Load
	r.latest = e
	m.rejoin.remove(e.Name)
}

// handleDead handles a report that an incarnation is dead or has left.
func (m *Machine) handleDead(e Event, now float64) {
	r := m.records[e.Entry.Name]
	if r == nil || r.latest.Incarnation != e.Entry.Incarnation {
		return
	}
	switch {
	case e.Kind == Leave && r.phase != dead && r.phase != left:
		m.setPhase(r, left, now)
		r.reason = "left"
		m.rejoin.remove(e.Entry.Name)
	case e.Kind == Dead && r.phase == joining:
		m.setPhase(r, dead, now)
		m.rejoinMember(r, now)
	case e.Kind == Dead && r.phase == alive:
		m.setPhase(r, suspect, now)
		r.reason = "died"
	}
}

func (m *Machine) rejoinMember(r *record, retryAt float64) {
	if m.config.enabled(Rejoining) {
		m.rejoin.add(r.latest.Name, r.latest.Address, retryAt)
	}
}

// unreachableAfter is the number of consecutive failures on the data path after which a member is shown as
// unreachable: the first may be a connection that was closed meanwhile, the second its replacement.
const unreachableAfter = 3

func (m *Machine) handleReachability(name string, ok bool, now float64) {
	r := m.records[name]
	if r == nil || !m.config.enabled(TrustingDataPath) {
		return
	}
	wasUnreachable := r.failures >= unreachableAfter
	switch {
	case ok:
		r.reachableAt, r.failures = now, 0
		if r.phase == suspect { // it answers: contact it, so that it refutes the suspicion through gossip
			m.rejoinMember(r, now)
		}
	case r.failures < unreachableAfter:
		r.failures++
	}
	m.membersChanged = m.membersChanged || wasUnreachable != (r.failures >= unreachableAfter)
}

// handleLag handles a pause of this process. Missing heartbeats may then be its own fault: for a while it
// suspects no other member, and after a long pause it rebuilds gossip.
func (m *Machine) handleLag(lag, now float64) {
	if lag < m.config.LagThreshold || !m.config.enabled(DetectingOwnLag) {
		return
	}
	m.lagUntil = max(m.lagUntil, now+min(2*lag, m.config.WakeGraceTime))
	for _, r := range m.records {
		if r.phase == suspect { // time in which no message could arrive does not count
			r.phaseSince = min(r.phaseSince+lag, max(now, r.phaseSince))
		}
	}
	if lag < m.config.RebuildThreshold {
		return
	}
	m.graceUntil = now + m.config.WakeGraceTime
	for _, r := range m.records {
		if r.phase == alive || r.phase == suspect {
			m.setPhase(r, suspect, m.graceUntil) // unless it is reported alive before
			r.reason = "not reported alive after a pause"
			m.rejoinMember(r, now)
		}
	}
	clear(m.peerDigests)
	m.rejoin.restart(now)
	m.emit(Action{Kind: Rebuild})
}
