package view

import (
	"math"
	"slices"
)

// Config has the figures that a Machine decides by; times are seconds. Defaults has them, and how each was chosen.
type Config struct {
	BatchTime     float64 // changes are gathered for so long before they make a view
	HoldTime      float64 // a death counts once it has stood so long
	SettleTime    float64 // a view is converged once nothing has changed for so long
	HealthyTime   float64 // a view that lost members counts as healthy once it has been converged for so long
	LonelyTime    float64 // a process that has met nobody is no longer joining after so long
	LagThreshold  float64 // own lateness from which others are not accused
	WakeThreshold float64 // own lateness after which all that is believed is asked for anew
	DoubtTime     float64 // how long after waking nobody is buried
	ForgetTime    float64 // after which a dead member, or the size of a lost fleet, is forgotten
	VouchTime     float64 // for at most so long what the data path reports stands against gossip's
	MaxNames      int     // names that are known at one time
	MaxRemembered int     // of these, dead members
	MaxContacts   int     // addresses that are tried at once
	Disabled      Rule    // rules that are left out, to show that their loss is noticed: none in service
}

// Rule is a set of rules that can be left out.
type Rule uint16

// The rules, each of which a property test misses when it is left out.
const (
	NewerWins       Rule = 1 << iota // of two incarnations under one name the newer counts
	Holding                          // a death counts only once it has stood
	Damping                          // what flaps waits longer and longer
	Doubting                         // who was late doubts itself first
	DetectPartition                  // less than half of a healthy view is reported as a partition
	Bounding                         // names are bounded
	Agreeing                         // converged only if those asked last see the same
	Vouching                         // what the data path reports counts
	Rejoining                        // dead members are contacted again
	NotifyingNewer                   // an older incarnation is told of a newer one
	Mending                          // with one that goes on seeing something else, all that is known is exchanged
)

func (t *Config) enabled(r Rule) bool { return t.Disabled&r == 0 }

// Defaults returns the usual config, for a probe every 0.3 s.
func Defaults() Config {
	return Config{
		BatchTime:     0.2, // a round of gossip: what one cause brings about comes within it
		HoldTime:      0.6, // a member refutes its own death within two or three rounds of gossip
		SettleTime:    1.2, // four probes, each of which brings another's digest
		HealthyTime:   10,  // past the slowest finding of the members of one cut
		LonelyTime:    3,   // ten tries at given addresses
		LagThreshold:  0.3, // the time that a probe waits for
		WakeThreshold: 1.5, // before that nobody has been buried, here or elsewhere
		DoubtTime:     2.5, // a meeting, a round of gossip, and a suspicion to be refuted
		ForgetTime:    600, // an operator has looked by then, or the machine is gone
		VouchTime:     8,   // over a stall of a collector or of a switch, under what a caller would notice
		MaxNames:      1024,
		MaxRemembered: 512,
		MaxContacts:   3,
	}
}

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

// Event is what a Machine is told.
type Event struct {
	Kind    EventKind
	Entry   Entry   // Alive; the name and incarnation of Dead, Leave and NewerIncarnation; the state, health and load of Self
	Name    string  // Reachability, Echo
	Address string  // ContactDone
	OK      bool    // Reachability, ContactDone: it answered
	Span    float64 // Late: seconds
	Version uint64  // Echo
	Digest  uint64  // Echo
}

// EventKind is the kind of an event.
type EventKind uint8

// What a Machine can be told.
const (
	Alive            EventKind = iota // gossip says that this incarnation is alive, as in Entry
	Dead                              // gossip says that it is dead
	Leave                             // gossip says that it has left by its own word
	NewerIncarnation                  // another member knows a newer incarnation of our name, which has ended
	Reachability                      // the data path had an answer from a member, or failed to
	Echo                              // what a member says of its own view
	Late                              // this process was off its core for so long
	Self                              // what is to be said of this process
	ContactDone                       // an address that was to be tried has been tried
)

// Action is what a Machine wants done.
type Action struct {
	Kind    ActionKind
	View    *View  // Publish
	Entry   Entry  // Announce: ours. NotifyNewerIncarnation: the one that the process at Address does not know of. Withdraw: the later one
	Address string // Contact, Probe, NotifyNewerIncarnation
	Name    string // Probe
}

// ActionKind is the kind of an action.
type ActionKind uint8

// What a Machine can want done.
const (
	Publish                ActionKind = iota // a view
	Announce                                 // what others are to hear of this process
	Contact                                  // meet whoever is at that address, and exchange all that is known
	Probe                                    // ask a member over the data path whether it is there
	NotifyNewerIncarnation                   // tell the process at that address of a newer incarnation of its name
	Rebuild                                  // begin gossip anew, without what was believed
	Withdraw                                 // a later process has our name: take no further part
)

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

// Accuses reports whether this process may say of others that they are suspect or dead: not while it has been late
// itself.
func (m *Machine) Accuses(now float64) bool {
	return !m.config.enabled(Doubting) || now >= m.lagUntil && now >= m.doubtUntil
}

// move is the one place where a record's phase changes.
func (m *Machine) move(r *record, to phase, now float64) { r.phase, r.since = to, now }

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
	case Echo:
		if r := m.records[e.Name]; r != nil && r.visible && e.Version < MaxIncarnation {
			m.highest = max(m.highest, e.Version)
			m.echoes[e.Name] = echo{now, e.Digest}
		}
	case Late:
		m.handleLateness(e.Span, now)
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
	if state < Leaving && math.IsInf(m.metAt, 1) && now-m.startedAt < m.config.LonelyTime {
		state = Joining
	}
	if m.self.State == state && m.self.Unhealthy == unhealthy && m.self.Load == load {
		return
	}
	m.self.State, m.self.Unhealthy, m.self.Load, m.dirty = state, unhealthy, load, true
	m.emit(Action{Kind: Announce, Entry: m.self})
}

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
	m.refresh(now, []Change{{m.self.Name, "reborn", "a former life was born later"}})
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
	if r == nil || !m.config.enabled(Vouching) {
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
	if span < m.config.LagThreshold || !m.config.enabled(Doubting) {
		return
	}
	m.lagUntil = max(m.lagUntil, now+min(2*span, m.config.DoubtTime))
	for _, r := range m.records {
		if r.phase == suspect { // time in which nobody could have been heard does not count
			r.since = min(r.since+span, max(now, r.since))
		}
	}
	if span < m.config.WakeThreshold {
		return
	}
	m.doubtUntil = now + m.config.DoubtTime
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
	if now < r.since || !m.Accuses(now) {
		return false
	}
	hold := m.config.HoldTime
	if wait > m.config.BatchTime {
		hold = max(hold, wait)
	}
	if !m.config.enabled(Holding) {
		hold = 0
	}
	vouched := r.reachableAt >= r.since && now-r.reachableAt < 2*m.config.HoldTime && now-r.since < m.config.VouchTime
	if now-r.since >= hold && !vouched {
		return true
	}
	// Its work may say that it is there, whatever gossip says; but not for ever.
	if now-r.probedAt >= m.config.HoldTime && m.config.enabled(Vouching) {
		r.probedAt = now
		m.emit(Action{Kind: Probe, Name: r.latest.Name, Address: r.latest.Address})
	}
	return false
}

// difference says in words what became of a member.
func difference(was, is Entry) (what, why string) {
	switch {
	case is.Incarnation != was.Incarnation:
		return "reborn", "a later life"
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
