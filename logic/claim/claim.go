// Package claim decides which app server may run a token, once for the whole fleet. Tokens fall into slots. Each slot has a
// place: an owner that is asked, and a second that has to know of a claim before the owner says yes. Places follow each other
// under terms that rise, given out by whoever holds an office of the fleet; a new owner has all claims of the places before it,
// and has sealed them, before its own first yes. Desk is one process's part in all slots. Nothing here does I/O, reads a clock or
// knows an address.
//
// Why no claim is lost when a place ends: a yes needs both members of the place, under its term. A member that has been asked for
// its claims under a later term takes no part in the place any more: it is sealed. So one of the two is enough, whichever still
// answers: what the other one may still say yes to, this one had written down before. Where neither answers, nothing unknown is
// run until the place's leave to say yes is over, and then for the longest window.
package claim

import (
	"cmp"
	"maps"
	"slices"

	"valveglade/logic/owner"
)

// Term orders places: by the keeper's term, and by its own count.
type Term struct{ Keeper, Count uint64 }

// Less tells which comes first.
func (t Term) Less(u Term) bool {
	return cmp.Or(cmp.Compare(t.Keeper, u.Keeper), cmp.Compare(t.Count, u.Count)) < 0
}

// Place is who has a slot, under a term.
type Place struct {
	Term          Term
	Owner, Second owner.Incarnation
}

func (p Place) has(who owner.Incarnation) bool { return p.Owner == who || p.Second == who }

// Claim is what is known of a token.
type Claim struct {
	Digest uint64            // of the body
	Runner owner.Incarnation // who may run it
	Done   bool              // it has ended well, and its runner has the result
	Until  float64           // after which it is forgotten: on the clock of whoever has it, and as a span in messages
}

// Word is what a message says.
type Word uint8

// What claimers, owners and seconds say to each other.
const (
	Ask     Word = iota // may I run it?
	Yes                 // run it
	Runs                // no: it was claimed by the one named in Claim
	Other               // no: another body has this token
	Unknown             // not known, and not to be run yet: Left says for how long
	Moved               // not ours to say: a later term is known
	End                 // it has ended well, or was never run
	Write               // owner to second: write this down
	Written             // second to owner
	Gather              // new owner to a member of a place before: seal it, and give what you have
	Table               // its answer
	Copy                // new owner to its second: all that is claimed
	Copied              // its answer
)

// Message goes between two processes, about one slot.
type Message struct {
	Word     Word
	Slot     int
	From, To owner.Incarnation
	Term     Term // of the place that it is about; of Gather and Table the new one
	Of       Term // of Gather and Table: the place that is ended
	Token    string
	Number   uint64 // of a question, for its answer
	Claim    Claim
	Left     float64 // of Unknown: in seconds
	Whole    bool    // of Table: it has all claims of that place; else the place never opened, and never will
	Claims   map[string]Claim
}

// Rules are those that can be left out, to show that their loss is noticed: none in service.
type Rules struct {
	Second bool // that the second has written a claim down before the yes
	Seal   bool // that whoever gave its claims away takes no part any more
	Window bool // that what nobody can tell is waited out
	Term   bool // that a second looks at the term before it writes down
	Lag    bool // that whoever asks after a window's end may have come before it
}

// Span is what an installation sets, in seconds.
type Span struct {
	Window  float64 // the longest for which a token may come again
	Lag     float64 // the longest from an RPC's coming until nobody heeds an answer for it any more: the longest deadline
	Drift   float64 // by which two clocks may drift apart, as a share
	Without Rules
}

// role is how far a process is in a slot. slot.move changes it, and nothing else does.
type role uint8

const (
	none      role = iota // has no part in the place in force
	gathering             // owner: has not all claims of the places before
	copying               // owner: its second has not all claims yet
	open                  // owner: says yes
	waiting               // second: has not been given the claims
	backing               // second: writes down
)

// slot is one slot as one process has it.
type slot struct {
	role   role
	place  Place
	sealed Term // it takes no part in places below
	whole  Term // the last place whose claims it has all of
	claims map[string]Claim
	before []Place // whose claims are still missing, while gathering
	quiet  float64 // until when nothing unknown is run
	asked  map[uint64]Message
	number uint64 // of the last write
}

func (s *slot) move(to role) { s.role = to }

// Desk is one process's part in all slots.
type Desk struct {
	self  owner.Incarnation
	span  Span
	slots map[int]*slot
	out   []Message
}

// NewDesk has no part in any slot.
func NewDesk(self owner.Incarnation, span Span) *Desk {
	return &Desk{self: self, span: span, slots: map[int]*slot{}}
}

// Out empties the list of what is to be sent.
func (d *Desk) Out() []Message {
	out := d.out
	d.out = nil
	return out
}

func (d *Desk) send(m Message) {
	m.From = d.self
	d.out = append(d.out, m)
}

func (d *Desk) slot(k int) *slot {
	s := d.slots[k]
	if s == nil {
		s = &slot{claims: map[string]Claim{}, asked: map[uint64]Message{}}
		d.slots[k] = s
	}
	return s
}

// Assign takes in who has a slot from now on. Before are the places since the last one that is known to have opened, that one
// first: the new owner needs what was claimed in each. None at all is for a slot of which nobody knows: then nothing unknown is
// run for the longest window.
func (d *Desk) Assign(k int, p Place, before []Place, now float64) {
	s := d.slot(k)
	if !s.place.Term.Less(p.Term) || p.Term.Less(s.sealed) {
		return
	}
	had := s.whole
	s.place, s.sealed, s.asked = p, p.Term, map[uint64]Message{}
	switch d.self {
	case p.Owner:
		s.move(gathering)
		s.before = slices.DeleteFunc(slices.Clone(before), func(b Place) bool { return !had.Less(b.Term) })
		if len(before) == 0 {
			s.quiet = max(s.quiet, now+d.span.Window*(1+d.span.Drift))
		}
		d.gather(k, s, now)
	case p.Second:
		s.move(waiting)
	default:
		s.move(none) // what it has stays: the new owner may need it
	}
}

// gather asks for what is missing, or goes on once nothing is.
func (d *Desk) gather(k int, s *slot, now float64) {
	for _, b := range s.before {
		for _, who := range []owner.Incarnation{b.Owner, b.Second} {
			if who != d.self {
				d.send(Message{Word: Gather, Slot: k, To: who, Term: s.place.Term, Of: b.Term})
			}
		}
	}
	if len(s.before) == 0 {
		s.move(copying)
		d.copy(k, s, now)
	}
}

func (d *Desk) copy(k int, s *slot, now float64) {
	d.send(Message{Word: Copy, Slot: k, To: s.place.Second, Term: s.place.Term, Claims: s.spans(now), Left: max(s.quiet-now, 0)})
}

// spans is what is claimed, with what is left of each window: no clock is another's.
func (s *slot) spans(now float64) map[string]Claim {
	all := map[string]Claim{}
	for token, c := range s.claims {
		c.Until -= now
		all[token] = c
	}
	return all
}

// Again sends once more what may have been lost.
func (d *Desk) Again(k int, now float64) {
	switch s := d.slot(k); s.role {
	case gathering:
		d.gather(k, s, now)
	case copying:
		d.copy(k, s, now)
	}
}

// Lapsed takes in that the leave of a place before to say yes is over, so that nobody of it is needed: what it claimed is not
// known, and is waited out.
func (d *Desk) Lapsed(k int, of Term, now float64) {
	s := d.slot(k)
	if s.role != gathering || !slices.ContainsFunc(s.before, func(b Place) bool { return b.Term == of }) {
		return
	}
	if !d.span.Without.Window {
		s.quiet = max(s.quiet, now+d.span.Window*(1+d.span.Drift))
	}
	d.have(k, s, of, false, now)
}

// have crosses a place off and, where all was had that was claimed until it ended, what came before it.
func (d *Desk) have(k int, s *slot, of Term, whole bool, now float64) {
	s.before = slices.DeleteFunc(s.before, func(b Place) bool { return b.Term == of || whole && b.Term.Less(of) })
	if len(s.before) == 0 {
		s.move(copying)
		d.copy(k, s, now)
	}
}

// Opens tells whether the slot's owner is here and may say yes, and under which term: for whoever gives out places.
func (d *Desk) Opens(k int) (Term, bool) {
	s := d.slot(k)
	return s.place.Term, s.role == open
}

// Hear takes a message in. May is whether this process has leave to say yes now: it has to have been looked at after the message
// came, at the same reading of the clock.
func (d *Desk) Hear(m Message, may bool, now float64) {
	s := d.slot(m.Slot)
	switch m.Word {
	case Ask:
		d.ask(s, m, may, now)
	case End:
		if c, there := s.claims[m.Token]; there && c.Runner == m.From {
			if c.Done = m.Claim.Done; !c.Done {
				delete(s.claims, m.Token)
			} else {
				s.claims[m.Token] = c
			}
		}
	case Write:
		if s.role != backing || m.Term != s.place.Term && !d.span.Without.Term {
			d.send(Message{Word: Moved, Slot: m.Slot, To: m.From, Term: s.sealed, Number: m.Number})
			return
		}
		m.Claim.Until += now
		s.claims[m.Token] = m.Claim
		d.send(Message{Word: Written, Slot: m.Slot, To: m.From, Term: m.Term, Number: m.Number})
	case Written:
		q, there := s.asked[m.Number]
		if delete(s.asked, m.Number); !there || s.role != open || m.Term != s.place.Term {
			return
		}
		s.claims[q.Token] = Claim{Digest: q.Claim.Digest, Runner: q.From, Until: now + q.Claim.Until*(1+d.span.Drift)}
		if may { // otherwise it is as if it had been claimed and not run: its window ends by itself
			d.send(Message{Word: Yes, Slot: m.Slot, To: q.From, Term: s.place.Term, Token: q.Token, Number: q.Number})
		}
	case Moved:
		if s.role == open && s.place.Term.Less(m.Term) {
			s.sealed = m.Term
			s.move(none)
		}
	case Gather:
		d.seal(s, m, now)
	case Table:
		if s.role != gathering || m.Term != s.place.Term {
			return
		}
		s.take(m.Claims, now)
		d.hush(s, m.Left, now)
		d.have(m.Slot, s, m.Of, m.Whole, now)
	case Copy:
		if m.Term != s.place.Term || s.role != waiting && s.role != backing {
			return
		}
		if s.role == waiting {
			s.take(m.Claims, now)
			d.hush(s, m.Left, now)
			s.whole = m.Term
			s.move(backing)
		}
		d.send(Message{Word: Copied, Slot: m.Slot, To: m.From, Term: m.Term})
	case Copied:
		if s.role == copying && m.Term == s.place.Term {
			s.whole = m.Term
			s.move(open)
		}
	}
}

// hush has nothing unknown run for as long as the place before would not have.
func (d *Desk) hush(s *slot, left, now float64) {
	if left > 0 {
		s.quiet = max(s.quiet, now+left*(1+d.span.Drift))
	}
}

// ask answers a claimer.
func (d *Desk) ask(s *slot, m Message, may bool, now float64) {
	a := Message{Word: Moved, Slot: m.Slot, To: m.From, Term: s.place.Term, Token: m.Token, Number: m.Number}
	c, known := s.claims[m.Token]
	// What came within a window is a repeat, whenever it is asked for, and however late the question comes.
	came := now - d.span.Lag*(1+d.span.Drift)
	if d.span.Without.Lag {
		came = now
	}
	known = known && came < c.Until
	switch {
	case s.role != open || !may:
	case known && c.Digest != m.Claim.Digest:
		a.Word = Other
	case known && c.Runner == m.From: // its yes was lost, or comes twice: the one that has it knows whether it has run
		a.Word = Yes
	case known:
		a.Word, a.Claim = Runs, c
	case came < s.quiet:
		a.Word, a.Left = Unknown, s.quiet-came
	default:
		for _, q := range s.asked {
			if q.Token == m.Token && q.From != m.From { // one at a time: the other's is about to be written
				a.Word, a.Claim = Runs, Claim{Runner: q.From}
				d.send(a)
				return
			}
		}
		s.number++
		s.asked[s.number] = m
		w := Message{Word: Write, Slot: m.Slot, To: s.place.Second, Term: s.place.Term, Token: m.Token, Number: s.number,
			Claim: Claim{Digest: m.Claim.Digest, Runner: m.From, Until: m.Claim.Until * (1 + d.span.Drift)}}
		if !d.span.Without.Second {
			d.send(w)
			return
		}
		d.send(w)
		d.Hear(Message{Word: Written, Slot: m.Slot, Term: s.place.Term, Number: s.number}, may, now)
		return
	}
	d.send(a)
}

// seal ends this process's part in the places below a term, and gives what it has.
func (d *Desk) seal(s *slot, m Message, now float64) {
	if m.Term.Less(s.sealed) {
		return // a later owner has asked already
	}
	if !d.span.Without.Seal && s.place.Term.Less(m.Term) {
		s.sealed = m.Term
		s.move(none)
	}
	a := Message{Word: Table, Slot: m.Slot, To: m.From, Term: m.Term, Of: m.Of, Whole: !s.whole.Less(m.Of), Claims: s.spans(now),
		Left: max(s.quiet-now, 0)}
	d.send(a)
}

// take adds claims that come with spans.
func (s *slot) take(claims map[string]Claim, now float64) {
	for token, c := range claims {
		c.Until += now // that much longer by the way they took
		if mine, there := s.claims[token]; !there || mine.Until < c.Until {
			s.claims[token] = c
		}
	}
}

// Forget drops what has passed, and what nobody who came within its window can ask for any more.
func (d *Desk) Forget(now float64) {
	for _, s := range d.slots {
		maps.DeleteFunc(s.claims, func(_ string, c Claim) bool { return now >= c.Until+d.span.Lag*(1+d.span.Drift) })
	}
}
