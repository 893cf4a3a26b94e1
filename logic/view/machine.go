package view

import "math"

// Machine decides one process's view. It is used by one goroutine at a time.
type Machine struct {
	config  Config
	seed    uint64
	drawn   uint64
	self    Entry
	wanted  State // of our own, once we have met somebody
	records map[string]*record
	echoes  map[string]echo
	ready   []Action
	rejoin  rejoin

	startedAt  float64
	metAt      float64 // when somebody was first heard of, +Inf before
	raised     bool    // our incarnation was raised above a rival's
	superseded bool

	members   []Entry
	dirty     bool // members may have changed
	digest    uint64
	version   uint64
	highest   uint64  // version seen anywhere
	changed   float64 // when the members last changed
	published *View

	healthy          []Entry
	partitioned      bool
	partitionedSince float64
	convergedAt      float64            // since when it has been converged, +Inf while it is not
	exchanged        map[string]float64 // with whom, and when, all was last exchanged for that
	exchangeAt       float64            // when the next exchange with one that sees something else may be

	doubtUntil float64 // nobody is buried before
	lagUntil   float64 // nobody is accused before
}

// New begins with a view of this process alone. Seeds are addresses where others may be; seed is for chance.
func New(self Entry, seeds []string, now float64, seed uint64, config Config) *Machine {
	m := &Machine{config: config, seed: seed, self: self, wanted: self.State, records: map[string]*record{},
		echoes: map[string]echo{}, startedAt: now, metAt: math.Inf(1), convergedAt: math.Inf(1), changed: now, doubtUntil: now,
		lagUntil: now, dirty: true}
	m.self.State = Joining
	m.rejoin.start(seeds, self.Address, now)
	m.refresh(now, []Change{{self.Name, "came", "started"}})
	return m
}

// Ready returns the actions to be carried out, in order, and empties the list.
func (m *Machine) Ready() []Action {
	actions := m.ready
	m.ready = nil
	return actions
}

func (m *Machine) emit(o Action) { m.ready = append(m.ready, o) }

// View is the last one published.
func (m *Machine) View() *View { return m.published }

// Entry is this process's own.
func (m *Machine) Entry() Entry { return m.self }

// Superseded reports whether a later process has this one's name.
func (m *Machine) Superseded() bool { return m.superseded }

// MaySuspect reports whether this process may say of others that they are suspect or dead: not while it has been late
// itself.
func (m *Machine) MaySuspect(now float64) bool {
	return !m.config.enabled(DetectingOwnLag) || now >= m.lagUntil && now >= m.doubtUntil
}

// Step takes one event in.
func (m *Machine) Step(e Event, now float64) {
	if m.superseded {
		return
	}
	switch e.Kind {
	case Alive:
		m.handleAlive(e.Entry, now)
	case Dead, Leave:
		m.handleDead(e, now)
	case NewerIncarnation:
		if e.Entry.Name == m.self.Name && m.self.Incarnation.Before(e.Entry.Incarnation) && e.Entry.Incarnation.Number < MaxIncarnation {
			m.raiseIncarnation(e.Entry.Incarnation, now)
		}
	case Reachability:
		m.handleReachability(e.Name, e.OK, now)
	case PeerDigest:
		if r := m.records[e.Name]; r != nil && r.visible && e.Version < MaxIncarnation {
			m.highest = max(m.highest, e.Version)
			m.echoes[e.Name] = echo{now, e.Digest}
		}
	case Late:
		m.handleLateness(e.Lag, now)
	case Self:
		m.wanted = e.Entry.State
		m.declare(e.Entry.Unhealthy, e.Entry.Load, now)
	case ContactDone:
		m.rejoin.contactDone(e.Address, e.OK, now)
	}
}

// declare says of ourselves what has changed.
func (m *Machine) declare(unhealthy bool, load Load, now float64) {
	state := m.wanted
	if state < Leaving && math.IsInf(m.metAt, 1) && now-m.startedAt < m.config.JoinTimeout {
		state = Joining
	}
	if m.self.State == state && m.self.Unhealthy == unhealthy && m.self.Load == load {
		return
	}
	m.self.State, m.self.Unhealthy, m.self.Load, m.dirty = state, unhealthy, load, true
	m.emit(Action{Kind: Announce, Entry: m.self})
}

// Tick lets time pass. It is to be called about ten times a second.
func (m *Machine) Tick(now float64) {
	if m.superseded {
		return
	}
	m.declare(m.self.Unhealthy, m.self.Load, now)
	var changes []Change
	for _, name := range m.names() { // in order, so that the same events give the same views
		r := m.records[name]
		if c := m.advance(r, now); c != nil {
			changes = append(changes, *c)
			m.dirty = true
		}
		if (r.phase == dead || r.phase == left) && now-r.since >= m.config.ForgetTime {
			m.forget(name)
		}
	}
	m.refresh(now, changes)
	m.ready = append(m.ready, m.rejoin.next(now, m)...)
	m.exchangeWithDiffering(now)
}
