package view

import "slices"

// phase is how far a member has come into the view. Machine.move changes it, and nothing else does.
type phase uint8

const (
	joining phase = iota // heard of, not in the view yet
	alive                // in the view
	suspect              // gossip says that it is dead; in the view still
	dead                 // out of the view, remembered and looked for
	left                 // out of the view by its own word
)

// record is what is kept of one name.
type record struct {
	phase        phase
	since        float64 // of the phase
	latest       Entry   // as last heard
	shown        Entry   // as in the view
	visible      bool
	changedAt    float64 // when latest last became another than it was
	differsSince float64 // since when latest has differed from shown
	reason       string  // why it is suspect or was removed
	penalty      float64 // for changes shown of late
	penaltyAt    float64 // when the penalty was counted
	reachableAt  float64 // when the data path last had an answer from it
	failures     int     // of the data path since
	probedAt     float64
	notifiedAt   float64
}

// echo is what another member last said of its view.
type echo struct {
	at     float64
	digest uint64
}

// move is the one place where a record's phase changes.
func (m *Machine) move(r *record, to phase, now float64) { r.phase, r.since = to, now }

// room makes place for one more name, at the cost of the one that has been lost longest.
func (m *Machine) room() bool {
	if !m.config.enabled(Bounding) {
		return true
	}
	out, oldest := 0, ""
	for name, r := range m.records {
		if r.phase != dead && r.phase != left || r.visible {
			continue
		}
		if out++; oldest == "" || r.since < m.records[oldest].since || r.since == m.records[oldest].since && name < oldest {
			oldest = name
		}
	}
	if oldest != "" && (out >= m.config.MaxRemembered || len(m.records) >= m.config.MaxNames) {
		m.forget(oldest)
	}
	return len(m.records) < m.config.MaxNames
}

func (m *Machine) forget(name string) {
	m.rejoin.remove(name)
	delete(m.records, name)
	delete(m.echoes, name)
}

func (m *Machine) names() []string {
	all := make([]string, 0, len(m.records))
	for name := range m.records {
		all = append(all, name)
	}
	slices.Sort(all)
	return all
}

// advance moves one member's phase as time passes; it returns what changes in the view.
func (m *Machine) advance(r *record, now float64) *Change {
	wait := m.changeDelay(r, now)
	ripe := now-r.changedAt >= wait || now-r.differsSince >= maxStale
	switch {
	case r.phase == joining && ripe:
		m.move(r, alive, now)
		return m.show(r, now, "came", "heard of")
	case r.phase == alive && ripe && !r.latest.alike(r.shown):
		what, why := difference(r.shown, r.latest)
		return m.show(r, now, what, why)
	case r.phase == left && r.visible:
		return m.hide(r, now)
	case r.phase == suspect && m.confirmedDead(r, wait, now):
		m.move(r, dead, now)
		m.rejoinMember(r, now+firstRetry)
		return m.hide(r, now)
	}
	return nil
}

// confirmedDead reports whether a suspect member is to be taken for dead now.
func (m *Machine) confirmedDead(r *record, wait, now float64) bool {
	if now < r.since || !m.MaySuspect(now) {
		return false
	}
	hold := m.config.HoldTime
	if wait > m.config.BatchTime {
		hold = max(hold, wait)
	}
	if !m.config.enabled(ConfirmingDeath) {
		hold = 0
	}
	vouched := r.reachableAt >= r.since && now-r.reachableAt < 2*m.config.HoldTime && now-r.since < m.config.MaxOverrideTime
	if now-r.since >= hold && !vouched {
		return true
	}
	// Its work may say that it is there, whatever gossip says; but not for ever.
	if now-r.probedAt >= m.config.HoldTime && m.config.enabled(TrustingDataPath) {
		r.probedAt = now
		m.emit(Action{Kind: Probe, Name: r.latest.Name, Address: r.latest.Address})
	}
	return false
}

// difference says in words what became of a member.
func difference(was, is Entry) (what, why string) {
	switch {
	case is.Incarnation != was.Incarnation:
		return "restarted", "a newer incarnation"
	case is.Unhealthy && !was.Unhealthy:
		return "changed", "work hangs there"
	case was.Unhealthy && !is.Unhealthy:
		return "changed", "work goes on there"
	case is.State != was.State:
		return "changed", "says " + is.State.String()
	}
	return "changed", "another address, zone or version"
}

// show has the view hold what was last heard of a member.
func (m *Machine) show(r *record, now float64, what, why string) *Change {
	// An incarnation that gets from cold to serving does not flap.
	if r.visible && (r.latest.Incarnation != r.shown.Incarnation || r.latest.State <= r.shown.State) {
		m.addPenalty(r, now)
	}
	r.shown, r.visible = r.latest, true
	return &Change{r.latest.Name, what, why}
}

// hide takes a member out of the view.
func (m *Machine) hide(r *record, now float64) *Change {
	if !r.visible {
		return nil
	}
	if r.phase == dead {
		m.addPenalty(r, now)
	}
	r.visible = false
	return &Change{r.latest.Name, "went", r.reason}
}
