package view

import (
	"math"
	"slices"
)

// Terms are the figures that a Machine decides by; times are seconds. Defaults has them, and how each was chosen.
type Terms struct {
	Batch   float64 // changes are gathered for so long before they make a view
	Hold    float64 // a death counts once it has stood so long
	Settle  float64 // a view is settled once nothing has changed for so long
	Stand   float64 // a view that lost members counts as healthy once it has stood settled for so long
	Lonely  float64 // a process that has met nobody is no longer joining after so long
	Lag     float64 // own lateness from which others are not accused
	Wake    float64 // own lateness after which all that is believed is asked for anew
	Doubt   float64 // how long after waking nobody is buried
	Forget  float64 // after which a dead member, or the size of a lost fleet, is forgotten
	Vouch   float64 // for at most so long the data path's word stands against gossip's
	Most    int     // names that are known at one time
	Recall  int     // of these, lost members
	Seekers int     // addresses that are tried at once
	Without Rule    // rules that are left out, to show that their loss is noticed: none in service
}

// Rule is a set of rules that can be left out.
type Rule uint16

// The rules, each of which a property test misses when it is left out.
const (
	LaterWins Rule = 1 << iota // of two lives under one name the later counts
	Holding                    // a death counts only once it has stood
	Damping                    // what flaps waits longer and longer
	Doubting                   // who was late doubts itself first
	Narrowing                  // less than half of a healthy view is said to be narrow
	Bounding                   // names are bounded
	Agreeing                   // settled only if those asked last see the same
	Vouching                   // the data path's word counts
	Seeking                    // those that were lost are looked for
	Teaching                   // a life born too early is told
	Mending                    // with one that goes on seeing something else, all that is known is exchanged
)

func (t *Terms) has(r Rule) bool { return t.Without&r == 0 }

// Defaults are the usual terms, for a probe every 0.3 s.
func Defaults() Terms {
	return Terms{
		Batch:   0.2, // a round of gossip: what one cause brings about comes within it
		Hold:    0.6, // a member refutes its own death within two or three rounds of gossip
		Settle:  1.2, // four probes, each of which brings another's digest
		Stand:   10,  // past the slowest finding of the members of one cut
		Lonely:  3,   // ten tries at given addresses
		Lag:     0.3, // the time that a probe waits for
		Wake:    1.5, // before that nobody has been buried, here or elsewhere
		Doubt:   2.5, // a meeting, a round of gossip, and a suspicion to be refuted
		Forget:  600, // an operator has looked by then, or the machine is gone
		Vouch:   8,   // over a stall of a collector or of a switch, under what a caller would notice
		Most:    1024,
		Recall:  512,
		Seekers: 3,
	}
}

// phase is how far a member has come into the view. Machine.move changes it, and nothing else does.
type phase uint8

const (
	coming   phase = iota // heard of, not in the view yet
	present               // in the view
	fading                // gossip says that it is dead; in the view still
	lost                  // out of the view, remembered and looked for
	departed              // out of the view by its own word
)

// record is what is kept of one name.
type record struct {
	phase   phase
	since   float64 // of the phase
	latest  Entry   // as last heard
	shown   Entry   // as in the view
	visible bool
	fresh   float64 // when latest last became another than it was
	first   float64 // since when latest has differed from shown
	why     string  // it fades or went
	penalty float64 // for changes shown of late
	at      float64 // when the penalty was counted
	word    float64 // when the data path last had an answer from it
	fails   int     // of the data path since
	knocked float64
	taught  float64
}

// echo is what another member last said of its view.
type echo struct {
	at     float64
	digest uint64
}

// Event is what a Machine is told.
type Event struct {
	Kind    Kind
	Entry   Entry   // Heard; the name and life of Lost, Bye and Outlived; the state, ill and load of Self
	Name    string  // Word, Echo
	Address string  // Sought
	OK      bool    // Word, Sought: it answered
	Span    float64 // Late: seconds
	Version uint64  // Echo
	Digest  uint64  // Echo
}

// Kind is the kind of an event.
type Kind uint8

// What a Machine can be told.
const (
	Heard    Kind = iota // gossip says that this life is there, as in Entry
	Lost                 // gossip says that it is dead
	Bye                  // gossip says that it has left by its own word
	Outlived             // another member knows a later life of our name, which is over
	Word                 // the data path had an answer from a member, or failed to
	Echo                 // what a member says of its own view
	Late                 // this process was off its core for so long
	Self                 // what is to be said of this process
	Sought               // an address that was to be tried has been tried
)

// Order is what a Machine wants done.
type Order struct {
	Kind    Do
	View    *View  // Publish
	Entry   Entry  // Announce: ours. Teach: the life that the one at Address does not know of. Withdraw: the later one
	Address string // Seek, Knock, Teach
	Name    string // Knock
}

// Do is the kind of an order.
type Do uint8

// What a Machine can want done.
const (
	Publish  Do = iota // a view
	Announce           // what others are to hear of this process
	Seek               // meet whoever is at that address, and exchange all that is known
	Knock              // ask a member over the data path whether it is there
	Teach              // tell the process at that address of a later life under its name
	Rebuild            // begin gossip anew, without what was believed
	Withdraw           // a later process has our name: take no further part
)

// Machine decides one process's view. It is used by one goroutine at a time.
type Machine struct {
	terms   Terms
	seed    uint64
	drawn   uint64
	self    Entry
	wanted  State // of our own, once we have met somebody
	records map[string]*record
	echoes  map[string]echo
	out     []Order
	search  search

	born      float64
	metAt     float64 // when somebody was first heard of, +Inf before
	raised    bool    // our birth was raised above a rival's
	withdrawn bool

	members   []Entry
	dirty     bool // members may have changed
	digest    uint64
	version   uint64
	highest   uint64  // version seen anywhere
	changed   float64 // when the members last changed
	published *View

	healthy    []Entry
	narrow     bool
	narrowFrom float64
	settledAt  float64            // since when it has been settled, +Inf while it is not
	mended     map[string]float64 // with whom, and when, all was last exchanged for that
	mendAt     float64            // when the next exchange with one that sees something else may be

	doubtUntil float64 // nobody is buried before
	lagUntil   float64 // nobody is accused before
}

// New begins with a view of this process alone. Seeds are addresses where others may be; seed is for chance.
func New(self Entry, seeds []string, now float64, seed uint64, terms Terms) *Machine {
	m := &Machine{terms: terms, seed: seed, self: self, wanted: self.State, records: map[string]*record{},
		echoes: map[string]echo{}, born: now, metAt: math.Inf(1), settledAt: math.Inf(1), changed: now, doubtUntil: now,
		lagUntil: now, dirty: true}
	m.self.State = Joining
	m.search.begin(seeds, self.Address, now)
	m.refresh(now, []Change{{self.Name, "came", "started"}})
	return m
}

// Out empties the list of what is to be done, in order.
func (m *Machine) Out() []Order {
	out := m.out
	m.out = nil
	return out
}

func (m *Machine) order(o Order) { m.out = append(m.out, o) }

// View is the last one published.
func (m *Machine) View() *View { return m.published }

// Entry is this process's own.
func (m *Machine) Entry() Entry { return m.self }

// Withdrawn tells whether a later process has this one's name.
func (m *Machine) Withdrawn() bool { return m.withdrawn }

// Accuses tells whether this process may say of others that they are suspect or dead: not while it has been late
// itself.
func (m *Machine) Accuses(now float64) bool {
	return !m.terms.has(Doubting) || now >= m.lagUntil && now >= m.doubtUntil
}

// move is the one place where a record's phase changes.
func (m *Machine) move(r *record, to phase, now float64) { r.phase, r.since = to, now }

// Step takes one event in.
func (m *Machine) Step(e Event, now float64) {
	if m.withdrawn {
		return
	}
	switch e.Kind {
	case Heard:
		m.heard(e.Entry, now)
	case Lost, Bye:
		m.gone(e, now)
	case Outlived:
		if e.Entry.Name == m.self.Name && m.self.Life.Before(e.Entry.Life) && e.Entry.Life.Birth < MaxBirth {
			m.raise(e.Entry.Life, now)
		}
	case Word:
		m.word(e.Name, e.OK, now)
	case Echo:
		if r := m.records[e.Name]; r != nil && r.visible && e.Version < MaxBirth {
			m.highest = max(m.highest, e.Version)
			m.echoes[e.Name] = echo{now, e.Digest}
		}
	case Late:
		m.late(e.Span, now)
	case Self:
		m.wanted = e.Entry.State
		m.declare(e.Entry.Ill, e.Entry.Load, now)
	case Sought:
		m.search.tried(e.Address, e.OK, now)
	}
}

// declare says of ourselves what has changed.
func (m *Machine) declare(ill bool, load Load, now float64) {
	state := m.wanted
	if state < Leaving && math.IsInf(m.metAt, 1) && now-m.born < m.terms.Lonely {
		state = Joining
	}
	if m.self.State == state && m.self.Ill == ill && m.self.Load == load {
		return
	}
	m.self.State, m.self.Ill, m.self.Load, m.dirty = state, ill, load, true
	m.order(Order{Kind: Announce, Entry: m.self})
}

// heard takes in that a life is there.
func (m *Machine) heard(e Entry, now float64) {
	if e.Name == m.self.Name {
		m.rival(e, now)
		return
	}
	if e.Life.Birth >= MaxBirth || e.State == Left {
		return
	}
	m.metAt = min(m.metAt, now)
	r := m.records[e.Name]
	switch {
	case r == nil:
		if !m.room() {
			return
		}
		r = &record{at: now, word: math.Inf(-1), knocked: math.Inf(-1), taught: math.Inf(-1)}
		m.records[e.Name] = r
		m.move(r, coming, now)
		r.fresh, r.first = now, now
	case e.Life.Before(r.latest.Life) && m.terms.has(LaterWins):
		// A later life under that name is known. If that one is over, the one that is there has to be born once more.
		if (r.phase == lost || r.phase == departed) && now >= r.taught+1 && m.terms.has(Teaching) {
			r.taught = now
			m.order(Order{Kind: Teach, Entry: r.latest, Address: e.Address})
		}
		return
	case r.phase == departed && e.Life == r.latest.Life:
		return // late word of one that has left
	case r.phase == lost || r.phase == departed:
		m.move(r, coming, now)
		r.fresh, r.first = now, now
	case r.phase == fading:
		m.move(r, present, now)
	}
	if e.Life != r.latest.Life {
		r.fails, r.word = 0, math.Inf(-1)
	}
	if !e.alike(r.latest) {
		if r.latest.alike(r.shown) {
			r.first = now
		}
		r.fresh = now
	}
	m.dirty = m.dirty || e.Load != r.latest.Load
	r.latest = e
	m.search.found(e.Name)
}

// learning is how long after the first meeting what is heard under our own name may still be our former life: the rest
// of one exchange, in seconds.
const learning = 0.5

// rival is another process under our own name. The later life wins. While nobody knows us yet we may be born once more:
// then the other is our own former life, or was there before us.
func (m *Machine) rival(e Entry, now float64) {
	if e.Life == m.self.Life || !m.self.Life.Before(e.Life) || e.Life.Birth >= MaxBirth || !m.terms.has(LaterWins) {
		return
	}
	if now-m.metAt < learning && !m.raised {
		m.raise(e.Life, now)
		return
	}
	m.withdrawn, m.dirty = true, true
	m.order(Order{Kind: Withdraw, Entry: e})
	m.refresh(now, []Change{{m.self.Name, "went", "a later process has this name"}})
}

// raise has this process born again after a life that is known under its name.
func (m *Machine) raise(over Life, now float64) {
	m.raised, m.dirty = true, true
	m.self.Life.Birth = over.Birth + 1
	m.order(Order{Kind: Announce, Entry: m.self})
	m.refresh(now, []Change{{m.self.Name, "reborn", "a former life was born later"}})
}

// gone takes in that gossip holds a life for over.
func (m *Machine) gone(e Event, now float64) {
	r := m.records[e.Entry.Name]
	if r == nil || r.latest.Life != e.Entry.Life {
		return
	}
	switch {
	case e.Kind == Bye && r.phase != lost && r.phase != departed:
		m.move(r, departed, now)
		r.why = "left"
		m.search.found(e.Entry.Name)
	case e.Kind == Lost && r.phase == coming:
		m.move(r, lost, now)
		m.seek(r, now)
	case e.Kind == Lost && r.phase == present:
		m.move(r, fading, now)
		r.why = "died"
	}
}

func (m *Machine) seek(r *record, due float64) {
	if m.terms.has(Seeking) {
		m.search.missed(r.latest.Name, r.latest.Address, due)
	}
}

// failing is how many failures of the data path in a row say that work fails there: one may be a connection that was
// closed meanwhile, two its replacement.
const failing = 3

func (m *Machine) word(name string, ok bool, now float64) {
	r := m.records[name]
	if r == nil || !m.terms.has(Vouching) {
		return
	}
	failed := r.fails >= failing
	switch {
	case ok:
		r.word, r.fails = now, 0
		if r.phase == fading { // it is there: let gossip hear so from itself
			m.seek(r, now)
		}
	case r.fails < failing:
		r.fails++
	}
	m.dirty = m.dirty || failed != (r.fails >= failing)
}

// late takes in that this process was off its core. What it believes of others may be its own doing: while it is late it
// accuses nobody, and after a long time it begins anew.
func (m *Machine) late(span, now float64) {
	if span < m.terms.Lag || !m.terms.has(Doubting) {
		return
	}
	m.lagUntil = max(m.lagUntil, now+min(2*span, m.terms.Doubt))
	for _, r := range m.records {
		if r.phase == fading { // time in which nobody could have been heard does not count
			r.since = min(r.since+span, max(now, r.since))
		}
	}
	if span < m.terms.Wake {
		return
	}
	m.doubtUntil = now + m.terms.Doubt
	for _, r := range m.records {
		if r.phase == present || r.phase == fading {
			m.move(r, fading, m.doubtUntil) // until it is heard again
			r.why = "not met again"
			m.seek(r, now)
		}
	}
	clear(m.echoes)
	m.search.again(now)
	m.order(Order{Kind: Rebuild})
}

// room makes place for one more name, at the cost of the one that has been lost longest.
func (m *Machine) room() bool {
	if !m.terms.has(Bounding) {
		return true
	}
	out, oldest := 0, ""
	for name, r := range m.records {
		if r.phase != lost && r.phase != departed || r.visible {
			continue
		}
		if out++; oldest == "" || r.since < m.records[oldest].since || r.since == m.records[oldest].since && name < oldest {
			oldest = name
		}
	}
	if oldest != "" && (out >= m.terms.Recall || len(m.records) >= m.terms.Most) {
		m.forget(oldest)
	}
	return len(m.records) < m.terms.Most
}

func (m *Machine) forget(name string) {
	m.search.found(name)
	delete(m.records, name)
	delete(m.echoes, name)
}

// Tick lets time pass. It is to be called about ten times a second.
func (m *Machine) Tick(now float64) {
	if m.withdrawn {
		return
	}
	m.declare(m.self.Ill, m.self.Load, now)
	var changes []Change
	for _, name := range m.names() { // in order, so that the same events give the same views
		r := m.records[name]
		if c := m.pass(r, now); c != nil {
			changes = append(changes, *c)
			m.dirty = true
		}
		if (r.phase == lost || r.phase == departed) && now-r.since >= m.terms.Forget {
			m.forget(name)
		}
	}
	m.refresh(now, changes)
	m.out = append(m.out, m.search.next(now, m)...)
	m.mend(now)
}

func (m *Machine) names() []string {
	all := make([]string, 0, len(m.records))
	for name := range m.records {
		all = append(all, name)
	}
	slices.Sort(all)
	return all
}

// pass sees one name through what time brings; it tells what changes in the view.
func (m *Machine) pass(r *record, now float64) *Change {
	wait := m.wait(r, now)
	ripe := now-r.fresh >= wait || now-r.first >= stale
	switch {
	case r.phase == coming && ripe:
		m.move(r, present, now)
		return m.show(r, now, "came", "heard of")
	case r.phase == present && ripe && !r.latest.alike(r.shown):
		what, why := difference(r.shown, r.latest)
		return m.show(r, now, what, why)
	case r.phase == departed && r.visible:
		return m.hide(r, now)
	case r.phase == fading && m.dead(r, wait, now):
		m.move(r, lost, now)
		m.seek(r, now+firstGap)
		return m.hide(r, now)
	}
	return nil
}

// dead tells whether a member that fades is to be taken for dead now.
func (m *Machine) dead(r *record, wait, now float64) bool {
	if now < r.since || !m.Accuses(now) {
		return false
	}
	hold := m.terms.Hold
	if wait > m.terms.Batch {
		hold = max(hold, wait)
	}
	if !m.terms.has(Holding) {
		hold = 0
	}
	vouched := r.word >= r.since && now-r.word < 2*m.terms.Hold && now-r.since < m.terms.Vouch
	if now-r.since >= hold && !vouched {
		return true
	}
	// Its work may say that it is there, whatever gossip says; but not for ever.
	if now-r.knocked >= m.terms.Hold && m.terms.has(Vouching) {
		r.knocked = now
		m.order(Order{Kind: Knock, Name: r.latest.Name, Address: r.latest.Address})
	}
	return false
}

// difference says in words what became of a member.
func difference(was, is Entry) (what, why string) {
	switch {
	case is.Life != was.Life:
		return "reborn", "a later life"
	case is.Ill && !was.Ill:
		return "changed", "work hangs there"
	case was.Ill && !is.Ill:
		return "changed", "work goes on there"
	case is.State != was.State:
		return "changed", "says " + is.State.String()
	}
	return "changed", "another address, zone or version"
}

// show has the view hold what was last heard of a member.
func (m *Machine) show(r *record, now float64, what, why string) *Change {
	// That a life comes to its strength is no flapping.
	if r.visible && (r.latest.Life != r.shown.Life || r.latest.State <= r.shown.State) {
		m.blame(r, now)
	}
	r.shown, r.visible = r.latest, true
	return &Change{r.latest.Name, what, why}
}

// hide takes a member out of the view.
func (m *Machine) hide(r *record, now float64) *Change {
	if !r.visible {
		return nil
	}
	if r.phase == lost {
		m.blame(r, now)
	}
	r.visible = false
	return &Change{r.latest.Name, "went", r.why}
}
