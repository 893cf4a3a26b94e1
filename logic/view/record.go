package view

import "slices"

// phase is a member's stage in the view. Only Machine.setPhase changes it.
type phase uint8

const (
	joining phase = iota // reported, not in the view yet
	alive                // in the view
	suspect              // reported dead by gossip, still in the view
	dead                 // removed from the view, remembered and contacted again
	left                 // left voluntarily
)

// record is the state kept for one name.
type record struct {
	phase           phase
	phaseSince      float64 // when the phase was entered
	latest          Entry   // as last reported
	shown           Entry   // as last published
	visible         bool
	latestChangedAt float64 // when latest last changed
	differsSince    float64 // since when latest has differed from shown
	reason          string  // why it is suspect or was removed, for Change.Why
	penalty         float64 // flap damping penalty at penaltyAt
	penaltyAt       float64 // when penalty was last updated
	reachableAt     float64 // when the data path last had an answer from it
	failures        int     // consecutive failures on the data path since then
	probedAt        float64
	notifiedAt      float64
}

// peerDigest is the digest of a peer's view as last received.
type peerDigest struct {
	at     float64
	digest uint64
}

// setPhase is the only function that changes a record's phase.
func (m *Machine) setPhase(r *record, to phase, now float64) { r.phase, r.phaseSince = to, now }

// ensureCapacity ensures that one more name fits, forgetting the member that has been gone longest if
// necessary; it reports whether there is capacity.
func (m *Machine) ensureCapacity() bool {
	if !m.config.enabled(Bounding) {
		return true
	}
	removed, oldest := 0, ""
	for name, r := range m.records {
		if r.phase != dead && r.phase != left || r.visible {
			continue
		}
		if removed++; oldest == "" || r.phaseSince < m.records[oldest].phaseSince ||
			r.phaseSince == m.records[oldest].phaseSince && name < oldest {
			oldest = name
		}
	}
	if oldest != "" && (removed >= m.config.MaxRemembered || len(m.records) >= m.config.MaxNames) {
		m.forget(oldest)
	}
	return len(m.records) < m.config.MaxNames
}

func (m *Machine) forget(name string) {
	m.rejoin.remove(name)
	delete(m.records, name)
	delete(m.peerDigests, name)
}

func (m *Machine) sortedNames() []string {
	all := make([]string, 0, len(m.records))
	for name := range m.records {
		all = append(all, name)
	}
	slices.Sort(all)
	return all
}

// advance updates a member's phase as time passes; it returns the resulting change of the view, if any.
func (m *Machine) advance(r *record, now float64) *Change {
	delay := m.changeDelay(r, now)
	settled := now-r.latestChangedAt >= delay || now-r.differsSince >= maxStale
	switch {
	case r.phase == joining && settled:
		m.setPhase(r, alive, now)
		return m.publishRecord(r, now, "came", "discovered")
	case r.phase == alive && settled && !r.latest.sameDigest(r.shown):
		what, why := describeChange(r.shown, r.latest)
		return m.publishRecord(r, now, what, why)
	case r.phase == left && r.visible:
		return m.removeRecord(r, now)
	case r.phase == suspect && m.confirmedDead(r, delay, now):
		m.setPhase(r, dead, now)
		m.rejoinMember(r, now+minBackoff)
		return m.removeRecord(r, now)
	}
	return nil
}

// confirmedDead reports whether a suspect member is to be declared dead now.
func (m *Machine) confirmedDead(r *record, delay, now float64) bool {
	if now < r.phaseSince || !m.MaySuspect(now) {
		return false
	}
	confirmTime := m.config.HoldTime
	if delay > m.config.BatchTime {
		confirmTime = max(confirmTime, delay)
	}
	if !m.config.enabled(ConfirmingDeath) {
		confirmTime = 0
	}
	reachable := r.reachableAt >= r.phaseSince && now-r.reachableAt < 2*m.config.HoldTime &&
		now-r.phaseSince < m.config.MaxOverrideTime
	if now-r.phaseSince >= confirmTime && !reachable {
		return true
	}
	// Answers over the data path override gossip, for at most MaxOverrideTime.
	if now-r.probedAt >= m.config.HoldTime && m.config.enabled(TrustingDataPath) {
		r.probedAt = now
		m.emit(Action{Kind: Probe, Name: r.latest.Name, Address: r.latest.Address})
	}
	return false
}

// describeChange describes how a member changed.
func describeChange(before, after Entry) (what, why string) {
	switch {
	case after.Incarnation != before.Incarnation:
		return "restarted", "a newer incarnation"
	case after.Unhealthy && !before.Unhealthy:
		return "changed", "work hangs there"
	case before.Unhealthy && !after.Unhealthy:
		return "changed", "work goes on there"
	case after.State != before.State:
		return "changed", "reports " + after.State.String()
	}
	return "changed", "another address, zone or version"
}

// publishRecord makes the latest state of a member visible in the view.
func (m *Machine) publishRecord(r *record, now float64, what, why string) *Change {
	// Progress of one incarnation, as from cold to serving, is not flapping.
	if r.visible && (r.latest.Incarnation != r.shown.Incarnation || r.latest.State <= r.shown.State) {
		m.addPenalty(r, now)
	}
	r.shown, r.visible = r.latest, true
	return &Change{r.latest.Name, what, why}
}

// removeRecord removes a member from the view.
func (m *Machine) removeRecord(r *record, now float64) *Change {
	if !r.visible {
		return nil
	}
	if r.phase == dead {
		m.addPenalty(r, now)
	}
	r.visible = false
	return &Change{r.latest.Name, "went", r.reason}
}
