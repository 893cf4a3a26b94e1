package view

// learningTime is how long after the first meeting what is heard under our own name may still be our former incarnation: the rest
// of one exchange, in seconds.
const learningTime = 0.5

// handleRival takes in another process under our own name. The newer incarnation wins. While nobody knows us yet we may raise ours:
// then the other is our own former incarnation, or was there before us.
func (m *Machine) handleRival(e Entry, now float64) {
	if e.Incarnation == m.self.Incarnation || !m.self.Incarnation.Before(e.Incarnation) || e.Incarnation.Number >= MaxIncarnation || !m.config.enabled(NewerWins) {
		return
	}
	if now-m.metAt < learningTime && !m.raised {
		m.raiseIncarnation(e.Incarnation, now)
		return
	}
	m.superseded, m.dirty = true, true
	m.emit(Action{Kind: Withdraw, Entry: e})
	m.refresh(now, []Change{{m.self.Name, "went", "a later process has this name"}})
}

// raiseIncarnation raises this process's incarnation above one that is known under its name.
func (m *Machine) raiseIncarnation(over Incarnation, now float64) {
	m.raised, m.dirty = true, true
	m.self.Incarnation.Number = over.Number + 1
	m.emit(Action{Kind: Announce, Entry: m.self})
	m.refresh(now, []Change{{m.self.Name, "restarted", "a former incarnation was newer"}})
}
