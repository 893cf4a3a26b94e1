package view

// nameConflictGrace is how long after the first contact, in seconds, reports under our own name may still be
// about our former incarnation: they arrive within one exchange.
const nameConflictGrace = 0.5

// handleNameConflict handles a report of another process under our own name. The newer incarnation wins.
// Shortly after the first contact we may raise our own instead, as the other one is then our former
// incarnation or was running before us.
func (m *Machine) handleNameConflict(e Entry, now float64) {
	if e.Incarnation == m.self.Incarnation || !m.self.Incarnation.Before(e.Incarnation) ||
		e.Incarnation.Number >= MaxIncarnation || !m.config.enabled(NewerWins) {
		return
	}
	if now-m.firstPeerAt < nameConflictGrace && !m.incarnationRaised {
		m.raiseIncarnation(e.Incarnation, now)
		return
	}
	m.superseded, m.membersChanged = true, true
	m.emit(Action{Kind: Withdraw, Entry: e})
	m.refreshView(now, []Change{{m.self.Name, "went", "a newer process has this name"}})
}

// raiseIncarnation raises this process's incarnation above one that is known under its name.
func (m *Machine) raiseIncarnation(known Incarnation, now float64) {
	m.incarnationRaised, m.membersChanged = true, true
	m.self.Incarnation.Number = known.Number + 1
	m.emit(Action{Kind: Announce, Entry: m.self})
	m.refreshView(now, []Change{{m.self.Name, "restarted", "a former incarnation was newer"}})
}
