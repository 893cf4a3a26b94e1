package claim

import (
	"maps"
	"slices"

	"valveglade/logic/owner"
)

// role is how far a process is in a slot. slot.move changes it, and nothing else does.
type role uint8

const (
	none         role = iota // has no part in the assignment in force
	collecting               // owner: has not all claims of the earlier assignments
	transferring             // owner: its backup has not all claims yet
	serving                  // owner: grants claims
	awaiting                 // backup: has not been given the claims
	backingUp                // backup: records claims
)

// slot is one slot as one process has it.
type slot struct {
	role         role
	assignment   Assignment
	fencedBelow  Term // it takes no part in assignments below
	completeUpTo Term // the last assignment of which it has all claims
	claims       map[string]Claim
	previous     []Assignment // whose claims are still missing, while collecting
	quietUntil   float64      // until when nothing unknown is run
	pending      map[uint64]Message
	lastWrite    uint64 // of the last Replicate
}

func (s *slot) move(to role) { s.role = to }

// Table is one process's part in all slots.
type Table struct {
	self   owner.Incarnation
	timing Timing
	slots  map[int]*slot
	ready  []Message
}

// NewTable has no part in any slot.
func NewTable(self owner.Incarnation, timing Timing) *Table {
	return &Table{self: self, timing: timing, slots: map[int]*slot{}}
}

// Ready returns the messages to be sent, and empties the list.
func (d *Table) Ready() []Message {
	messages := d.ready
	d.ready = nil
	return messages
}

func (d *Table) send(m Message) {
	m.From = d.self
	d.ready = append(d.ready, m)
}

func (d *Table) slot(k int) *slot {
	s := d.slots[k]
	if s == nil {
		s = &slot{claims: map[string]Claim{}, pending: map[uint64]Message{}}
		d.slots[k] = s
	}
	return s
}

// Assign takes in who has a slot from now on. Previous are the assignments since the last one that is known to have served, that one
// first: the new owner needs what was claimed in each. None at all is for a slot of which nobody knows: then nothing unknown is
// run for the longest window.
func (d *Table) Assign(k int, p Assignment, previous []Assignment, now float64) {
	s := d.slot(k)
	if !s.assignment.Term.Less(p.Term) || p.Term.Less(s.fencedBelow) {
		return
	}
	had := s.completeUpTo
	s.assignment, s.fencedBelow, s.pending = p, p.Term, map[uint64]Message{}
	switch d.self {
	case p.Owner:
		s.move(collecting)
		s.previous = slices.DeleteFunc(slices.Clone(previous), func(b Assignment) bool { return !had.Less(b.Term) })
		if len(previous) == 0 {
			s.quietUntil = max(s.quietUntil, now+d.timing.Window*(1+d.timing.Drift))
		}
		d.collect(k, s, now)
	case p.Backup:
		s.move(awaiting)
	default:
		s.move(none) // what it has stays: the new owner may need it
	}
}

// collect asks for what is missing, or goes on once nothing is.
func (d *Table) collect(k int, s *slot, now float64) {
	for _, b := range s.previous {
		for _, who := range []owner.Incarnation{b.Owner, b.Backup} {
			if who != d.self {
				d.send(Message{Kind: Collect, Slot: k, To: who, Term: s.assignment.Term, Of: b.Term})
			}
		}
	}
	if len(s.previous) == 0 {
		s.move(transferring)
		d.transfer(k, s, now)
	}
}

func (d *Table) transfer(k int, s *slot, now float64) {
	d.send(Message{Kind: Transfer, Slot: k, To: s.assignment.Backup, Term: s.assignment.Term, Claims: s.remaining(now), Remaining: max(s.quietUntil-now, 0)})
}

// remaining is what is claimed, with what is left of each window: no clock is another's.
func (s *slot) remaining(now float64) map[string]Claim {
	all := map[string]Claim{}
	for token, c := range s.claims {
		c.Until -= now
		all[token] = c
	}
	return all
}

// Retry sends once more what may have been lost.
func (d *Table) Retry(k int, now float64) {
	switch s := d.slot(k); s.role {
	case collecting:
		d.collect(k, s, now)
	case transferring:
		d.transfer(k, s, now)
	}
}

// HandleExpired takes in that an earlier assignment's lease to grant is over, so that nobody of it is needed: what it claimed is not
// known, and is waited out.
func (d *Table) HandleExpired(k int, of Term, now float64) {
	s := d.slot(k)
	if s.role != collecting || !slices.ContainsFunc(s.previous, func(b Assignment) bool { return b.Term == of }) {
		return
	}
	if !d.timing.Disabled.Window {
		s.quietUntil = max(s.quietUntil, now+d.timing.Window*(1+d.timing.Drift))
	}
	d.finishPrevious(k, s, of, false, now)
}

// finishPrevious crosses an assignment off and, where all was had that was claimed until it ended, what came before it.
func (d *Table) finishPrevious(k int, s *slot, of Term, complete bool, now float64) {
	s.previous = slices.DeleteFunc(s.previous, func(b Assignment) bool { return b.Term == of || complete && b.Term.Less(of) })
	if len(s.previous) == 0 {
		s.move(transferring)
		d.transfer(k, s, now)
	}
}

// Serving reports whether the slot's owner is here and may grant claims, and under which term: for whoever gives out assignments.
func (d *Table) Serving(k int) (Term, bool) {
	s := d.slot(k)
	return s.assignment.Term, s.role == serving
}

// HandleMessage takes a message in. May is whether this process has a lease to grant claims now: it has to have been looked at after the message
// came, at the same reading of the clock.
func (d *Table) HandleMessage(m Message, may bool, now float64) {
	s := d.slot(m.Slot)
	switch m.Kind {
	case Request:
		d.handleRequest(s, m, may, now)
	case Finished:
		if c, there := s.claims[m.Token]; there && c.Runner == m.From {
			if c.Done = m.Claim.Done; !c.Done {
				delete(s.claims, m.Token)
			} else {
				s.claims[m.Token] = c
			}
		}
	case Replicate:
		if s.role != backingUp || m.Term != s.assignment.Term && !d.timing.Disabled.Term {
			d.send(Message{Kind: StaleTerm, Slot: m.Slot, To: m.From, Term: s.fencedBelow, Number: m.Number})
			return
		}
		m.Claim.Until += now
		s.claims[m.Token] = m.Claim
		d.send(Message{Kind: Replicated, Slot: m.Slot, To: m.From, Term: m.Term, Number: m.Number})
	case Replicated:
		q, there := s.pending[m.Number]
		if delete(s.pending, m.Number); !there || s.role != serving || m.Term != s.assignment.Term {
			return
		}
		s.claims[q.Token] = Claim{Digest: q.Claim.Digest, Runner: q.From, Until: now + q.Claim.Until*(1+d.timing.Drift)}
		if may { // otherwise it is as if it had been claimed and not run: its window ends by itself
			d.send(Message{Kind: Granted, Slot: m.Slot, To: q.From, Term: s.assignment.Term, Token: q.Token, Number: q.Number})
		}
	case StaleTerm:
		if s.role == serving && s.assignment.Term.Less(m.Term) {
			s.fencedBelow = m.Term
			s.move(none)
		}
	case Collect:
		d.fence(s, m, now)
	case Collected:
		if s.role != collecting || m.Term != s.assignment.Term {
			return
		}
		s.merge(m.Claims, now)
		d.extendQuiet(s, m.Remaining, now)
		d.finishPrevious(m.Slot, s, m.Of, m.Complete, now)
	case Transfer:
		if m.Term != s.assignment.Term || s.role != awaiting && s.role != backingUp {
			return
		}
		if s.role == awaiting {
			s.merge(m.Claims, now)
			d.extendQuiet(s, m.Remaining, now)
			s.completeUpTo = m.Term
			s.move(backingUp)
		}
		d.send(Message{Kind: Transferred, Slot: m.Slot, To: m.From, Term: m.Term})
	case Transferred:
		if s.role == transferring && m.Term == s.assignment.Term {
			s.completeUpTo = m.Term
			s.move(serving)
		}
	}
}

// extendQuiet has nothing unknown run for as long as the earlier assignment would not have.
func (d *Table) extendQuiet(s *slot, left, now float64) {
	if left > 0 {
		s.quietUntil = max(s.quietUntil, now+left*(1+d.timing.Drift))
	}
}

// handleRequest answers a claimer.
func (d *Table) handleRequest(s *slot, m Message, may bool, now float64) {
	a := Message{Kind: StaleTerm, Slot: m.Slot, To: m.From, Term: s.assignment.Term, Token: m.Token, Number: m.Number}
	c, known := s.claims[m.Token]
	// What came within a window is a repeat, whenever it is asked for, and however late the request comes.
	came := now - d.timing.Lag*(1+d.timing.Drift)
	if d.timing.Disabled.Lag {
		came = now
	}
	known = known && came < c.Until
	switch {
	case s.role != serving || !may:
	case known && c.Digest != m.Claim.Digest:
		a.Kind = BodyMismatch
	case known && c.Runner == m.From: // its grant was lost, or comes twice: the one that has it knows whether it has run
		a.Kind = Granted
	case known:
		a.Kind, a.Claim = AlreadyClaimed, c
	case came < s.quietUntil:
		a.Kind, a.Remaining = Unknown, s.quietUntil-came
	default:
		for _, q := range s.pending {
			if q.Token == m.Token && q.From != m.From { // one at a time: the other's is about to be recorded
				a.Kind, a.Claim = AlreadyClaimed, Claim{Runner: q.From}
				d.send(a)
				return
			}
		}
		s.lastWrite++
		s.pending[s.lastWrite] = m
		w := Message{Kind: Replicate, Slot: m.Slot, To: s.assignment.Backup, Term: s.assignment.Term, Token: m.Token, Number: s.lastWrite,
			Claim: Claim{Digest: m.Claim.Digest, Runner: m.From, Until: m.Claim.Until * (1 + d.timing.Drift)}}
		if !d.timing.Disabled.BackupFirst {
			d.send(w)
			return
		}
		d.send(w)
		d.HandleMessage(Message{Kind: Replicated, Slot: m.Slot, Term: s.assignment.Term, Number: s.lastWrite}, may, now)
		return
	}
	d.send(a)
}

// fence ends this process's part in the assignments below a term, and gives what it has.
func (d *Table) fence(s *slot, m Message, now float64) {
	if m.Term.Less(s.fencedBelow) {
		return // a later owner has asked already
	}
	if !d.timing.Disabled.Fencing && s.assignment.Term.Less(m.Term) {
		s.fencedBelow = m.Term
		s.move(none)
	}
	a := Message{Kind: Collected, Slot: m.Slot, To: m.From, Term: m.Term, Of: m.Of, Complete: !s.completeUpTo.Less(m.Of), Claims: s.remaining(now),
		Remaining: max(s.quietUntil-now, 0)}
	d.send(a)
}

// merge adds claims that come with spans.
func (s *slot) merge(claims map[string]Claim, now float64) {
	for token, c := range claims {
		c.Until += now // that much longer by the way they took
		if mine, there := s.claims[token]; !there || mine.Until < c.Until {
			s.claims[token] = c
		}
	}
}

// DropExpired drops what has passed, and what nobody who came within its window can ask for any more.
func (d *Table) DropExpired(now float64) {
	for _, s := range d.slots {
		maps.DeleteFunc(s.claims, func(_ string, c Claim) bool { return now >= c.Until+d.timing.Lag*(1+d.timing.Drift) })
	}
}
