package view

import "math"

// Machine maintains the view of one process. It is not safe for concurrent use.
type Machine struct {
	config        Config
	seed          uint64
	drawCount     uint64
	self          Entry
	reportedState State // own state from Self events; Joining is announced until a member is found
	records       map[string]*record
	peerDigests   map[string]peerDigest
	ready         []Action
	rejoin        rejoin

	startedAt         float64
	firstPeerAt       float64 // when the first other member was reported, +Inf before
	incarnationRaised bool    // our incarnation was raised above another process's
	superseded        bool

	members         []Entry
	membersChanged  bool // members may differ from what was published
	digest          uint64
	version         uint64
	highestVersion  uint64  // highest version that any peer reported
	digestChangedAt float64 // when the digest last changed
	published       *View

	lastHealthy      []Entry
	partitioned      bool
	partitionedSince float64
	convergedAt      float64            // since when the view has been converged, +Inf while it is not
	exchangedAt      map[string]float64 // the peer of the last reconciling exchange, and its time
	nextExchangeAt   float64            // earliest time of the next reconciling exchange

	graceUntil float64 // no member is declared dead before
	lagUntil   float64 // no member is suspected before
}

// New returns a machine whose view has only this process. Seeds are addresses of possible members; seed seeds
// the pseudorandom numbers.
func New(self Entry, seeds []string, now float64, seed uint64, config Config) *Machine {
	m := &Machine{config: config, seed: seed, self: self, reportedState: self.State,
		records:     map[string]*record{},
		peerDigests: map[string]peerDigest{}, startedAt: now, firstPeerAt: math.Inf(1), convergedAt: math.Inf(1),
		digestChangedAt: now, graceUntil: now,
		lagUntil: now, membersChanged: true}
	m.self.State = Joining
	m.rejoin.start(seeds, self.Address, now)
	m.refreshView(now, []Change{{self.Name, "came", "started"}})
	return m
}

// Ready returns the pending actions in order, and clears them.
func (m *Machine) Ready() []Action {
	actions := m.ready
	m.ready = nil
	return actions
}

func (m *Machine) emit(action Action) { m.ready = append(m.ready, action) }

// View returns the last published view.
func (m *Machine) View() *View { return m.published }

// Entry returns this process's own entry.
func (m *Machine) Entry() Entry { return m.self }

// Superseded reports whether a later process has this one's name.
func (m *Machine) Superseded() bool { return m.superseded }

// MaySuspect reports whether this process may suspect other members or declare them dead: not while it has
// itself been late.
func (m *Machine) MaySuspect(now float64) bool {
	return !m.config.enabled(DetectingOwnLag) || now >= m.lagUntil && now >= m.graceUntil
}

// Step handles one event.
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
		if e.Entry.Name == m.self.Name && m.self.Incarnation.Before(e.Entry.Incarnation) &&
			e.Entry.Incarnation.Number < MaxIncarnation {
			m.raiseIncarnation(e.Entry.Incarnation, now)
		}
	case Reachability:
		m.handleReachability(e.Name, e.OK, now)
	case PeerDigest:
		if r := m.records[e.Name]; r != nil && r.visible && e.Version < MaxIncarnation {
			m.highestVersion = max(m.highestVersion, e.Version)
			m.peerDigests[e.Name] = peerDigest{now, e.Digest}
		}
	case Late:
		m.handleLag(e.Lag, now)
	case Self:
		m.reportedState = e.Entry.State
		m.updateSelf(e.Entry.Unhealthy, e.Entry.Load, now)
	case ContactDone:
		m.rejoin.contactDone(e.Address, e.OK, now)
	}
}

// updateSelf announces our own entry if it has changed.
func (m *Machine) updateSelf(unhealthy bool, load Load, now float64) {
	state := m.reportedState
	if state < Leaving && math.IsInf(m.firstPeerAt, 1) && now-m.startedAt < m.config.JoinTimeout {
		state = Joining
	}
	if m.self.State == state && m.self.Unhealthy == unhealthy && m.self.Load == load {
		return
	}
	m.self.State, m.self.Unhealthy, m.self.Load, m.membersChanged = state, unhealthy, load, true
	m.emit(Action{Kind: Announce, Entry: m.self})
}

// Tick advances time. It is to be called about ten times a second.
func (m *Machine) Tick(now float64) {
	if m.superseded {
		return
	}
	m.updateSelf(m.self.Unhealthy, m.self.Load, now)
	var changes []Change
	for _, name := range m.sortedNames() { // sorted, for determinism: the same events give the same views
		r := m.records[name]
		if c := m.advance(r, now); c != nil {
			changes = append(changes, *c)
			m.membersChanged = true
		}
		if (r.phase == dead || r.phase == left) && now-r.phaseSince >= m.config.ForgetTime {
			m.forget(name)
		}
	}
	m.refreshView(now, changes)
	m.ready = append(m.ready, m.rejoin.next(now, m)...)
	m.exchangeWithDiffering(now)
}
