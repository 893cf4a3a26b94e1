package claim

import (
	"maps"
	"slices"

	"valveglade/logic/owner"
)

// role is a process's role in a slot. Only slot.setRole changes it.
type role uint8

const (
	none         role = iota // takes no part in the current assignment
	collecting               // owner: does not have all claims of the earlier assignments yet
	transferring             // owner: its backup has not confirmed all claims yet
	serving                  // owner: grants claims
	awaiting                 // backup: has not received the owner's claims yet
	backingUp                // backup: records claims
)

// slot is one process's state of a slot.
type slot struct {
	role          role
	assignment    Assignment
	fencedBelow   Term // assignments below this term are fenced here
	completeUpTo  Term // the last assignment whose claims are all known here
	claims        map[string]Claim
	previous      []Assignment       // while collecting: earlier assignments whose claims are missing
	quietUntil    float64            // unknown tokens are rejected until then
	pending       map[uint64]Message // requests whose Replicate is unanswered, by its number
	lastReplicate uint64             // number of the last Replicate
}

func (s *slot) setRole(newRole role) { s.role = newRole }

// Table is one process's part in all slots.
type Table struct {
	self   owner.Incarnation
	timing Timing
	slots  map[int]*slot
	ready  []Message
}

// NewTable returns a table that takes no part in any slot.
func NewTable(self owner.Incarnation, timing Timing) *Table {
	return &Table{self: self, timing: timing, slots: map[int]*slot{}}
}

// Ready returns the messages to send and clears the list.
func (t *Table) Ready() []Message {
	messages := t.ready
	t.ready = nil
	return messages
}

func (t *Table) send(m Message) {
	m.From = t.self
	t.ready = append(t.ready, m)
}

func (t *Table) slot(index int) *slot {
	s := t.slots[index]
	if s == nil {
		s = &slot{claims: map[string]Claim{}, pending: map[uint64]Message{}}
		t.slots[index] = s
	}
	return s
}

// Assign sets the current assignment of a slot. Previous lists the assignments since the last one known to
// have served, starting with that one: the new owner needs the claims of each. If Previous is empty, nothing
// is known of the slot, and unknown tokens are rejected for the longest window.
func (t *Table) Assign(index int, assignment Assignment, previous []Assignment, now float64) {
	s := t.slot(index)
	if !s.assignment.Term.Less(assignment.Term) || assignment.Term.Less(s.fencedBelow) {
		return
	}
	completeUpTo := s.completeUpTo
	s.assignment, s.fencedBelow, s.pending = assignment, assignment.Term, map[uint64]Message{}
	switch t.self {
	case assignment.Owner:
		s.setRole(collecting)
		s.previous = slices.DeleteFunc(slices.Clone(previous),
			func(earlier Assignment) bool { return !completeUpTo.Less(earlier.Term) })
		if len(previous) == 0 {
			s.quietUntil = max(s.quietUntil, now+t.timing.Window*(1+t.timing.Drift))
		}
		t.collect(index, s, now)
	case assignment.Backup:
		s.setRole(awaiting)
	default:
		s.setRole(none) // keeps its claims: the new owner may collect them
	}
}

// collect requests the missing claims, or starts the transfer to the backup if none are missing.
func (t *Table) collect(index int, s *slot, now float64) {
	for _, earlier := range s.previous {
		for _, member := range []owner.Incarnation{earlier.Owner, earlier.Backup} {
			if member != t.self {
				t.send(Message{Kind: Collect, Slot: index, To: member, Term: s.assignment.Term,
					EndedTerm: earlier.Term})
			}
		}
	}
	if len(s.previous) == 0 {
		s.setRole(transferring)
		t.transfer(index, s, now)
	}
}

func (t *Table) transfer(index int, s *slot, now float64) {
	t.send(Message{Kind: Transfer, Slot: index, To: s.assignment.Backup, Term: s.assignment.Term,
		Claims: s.remaining(now), Remaining: max(s.quietUntil-now, 0)})
}

// remaining returns the claims with the rest of each window as a duration, since the processes' clocks
// differ.
func (s *slot) remaining(now float64) map[string]Claim {
	claims := map[string]Claim{}
	for token, c := range s.claims {
		c.Until -= now
		claims[token] = c
	}
	return claims
}

// Retry resends requests that may have been lost.
func (t *Table) Retry(index int, now float64) {
	switch s := t.slot(index); s.role {
	case collecting:
		t.collect(index, s, now)
	case transferring:
		t.transfer(index, s, now)
	}
}

// HandleLeaseExpired handles the expiry of an earlier assignment's lease to grant: its members need no longer
// be asked. As its claims are unknown, unknown tokens are rejected for a window.
func (t *Table) HandleLeaseExpired(index int, ended Term, now float64) {
	s := t.slot(index)
	if s.role != collecting ||
		!slices.ContainsFunc(s.previous, func(earlier Assignment) bool { return earlier.Term == ended }) {
		return
	}
	if !t.timing.Disabled.Window {
		s.quietUntil = max(s.quietUntil, now+t.timing.Window*(1+t.timing.Drift))
	}
	t.finishPrevious(index, s, ended, false, now)
}

// finishPrevious removes an assignment from the list of missing ones. If all claims up to its end are known
// (complete), it removes those before it too.
func (t *Table) finishPrevious(index int, s *slot, ended Term, complete bool, now float64) {
	s.previous = slices.DeleteFunc(s.previous, func(earlier Assignment) bool {
		return earlier.Term == ended || complete && earlier.Term.Less(ended)
	})
	if len(s.previous) == 0 {
		s.setRole(transferring)
		t.transfer(index, s, now)
	}
}

// Serving reports whether this process is the slot's owner and grants claims, and the term, for the role
// owner that issues assignments.
func (t *Table) Serving(index int) (Term, bool) {
	s := t.slot(index)
	return s.assignment.Term, s.role == serving
}

// HandleMessage handles a message. mayGrant is whether this process has a lease to grant claims now. The
// caller has to check the lease after the message arrived, at the clock reading that it passes as now.
func (t *Table) HandleMessage(m Message, mayGrant bool, now float64) {
	s := t.slot(m.Slot)
	switch m.Kind {
	case Request:
		t.handleRequest(s, m, mayGrant, now)
	case Finished:
		if c, ok := s.claims[m.Token]; ok && c.Runner == m.From {
			if c.Done = m.Claim.Done; !c.Done {
				delete(s.claims, m.Token)
			} else {
				s.claims[m.Token] = c
			}
		}
	case Replicate:
		if s.role != backingUp || m.Term != s.assignment.Term && !t.timing.Disabled.Term {
			t.send(Message{Kind: StaleTerm, Slot: m.Slot, To: m.From, Term: s.fencedBelow, Number: m.Number})
			return
		}
		m.Claim.Until += now
		s.claims[m.Token] = m.Claim
		t.send(Message{Kind: Replicated, Slot: m.Slot, To: m.From, Term: m.Term, Number: m.Number})
	case Replicated:
		request, ok := s.pending[m.Number]
		if delete(s.pending, m.Number); !ok || s.role != serving || m.Term != s.assignment.Term {
			return
		}
		s.claims[request.Token] = Claim{Digest: request.Claim.Digest, Runner: request.From,
			Until: now + request.Claim.Until*(1+t.timing.Drift)}
		if mayGrant { // otherwise the claim stays recorded without a run, and expires with its window
			t.send(Message{Kind: Granted, Slot: m.Slot, To: request.From, Term: s.assignment.Term,
				Token: request.Token, Number: request.Number})
		}
	case StaleTerm:
		if s.role == serving && s.assignment.Term.Less(m.Term) {
			s.fencedBelow = m.Term
			s.setRole(none)
		}
	case Collect:
		t.fence(s, m, now)
	case Collected:
		if s.role != collecting || m.Term != s.assignment.Term {
			return
		}
		s.merge(m.Claims, now)
		t.extendQuiet(s, m.Remaining, now)
		t.finishPrevious(m.Slot, s, m.EndedTerm, m.Complete, now)
	case Transfer:
		if m.Term != s.assignment.Term || s.role != awaiting && s.role != backingUp {
			return
		}
		if s.role == awaiting {
			s.merge(m.Claims, now)
			t.extendQuiet(s, m.Remaining, now)
			s.completeUpTo = m.Term
			s.setRole(backingUp)
		}
		t.send(Message{Kind: Transferred, Slot: m.Slot, To: m.From, Term: m.Term})
	case Transferred:
		if s.role == transferring && m.Term == s.assignment.Term {
			s.completeUpTo = m.Term
			s.setRole(serving)
		}
	}
}

// extendQuiet rejects unknown tokens for as long as the earlier assignment would have rejected them.
func (t *Table) extendQuiet(s *slot, remaining, now float64) {
	if remaining > 0 {
		s.quietUntil = max(s.quietUntil, now+remaining*(1+t.timing.Drift))
	}
}

// handleRequest answers a claimer's request.
func (t *Table) handleRequest(s *slot, m Message, mayGrant bool, now float64) {
	answer := Message{Kind: StaleTerm, Slot: m.Slot, To: m.From, Term: s.assignment.Term, Token: m.Token,
		Number: m.Number}
	c, known := s.claims[m.Token]
	// An RPC that arrived within the window is a repeat, however late its claim request is handled.
	arrival := now - t.timing.Lag*(1+t.timing.Drift)
	if t.timing.Disabled.Lag {
		arrival = now
	}
	known = known && arrival < c.Until
	switch {
	case s.role != serving || !mayGrant:
	case known && c.Digest != m.Claim.Digest:
		answer.Kind = BodyMismatch
	// the grant was lost or the request repeated: the claimer knows whether it ran
	case known && c.Runner == m.From:
		answer.Kind = Granted
	case known:
		answer.Kind, answer.Claim = AlreadyClaimed, c
	case arrival < s.quietUntil:
		answer.Kind, answer.Remaining = Unknown, s.quietUntil-arrival
	default:
		for _, other := range s.pending {
			if other.Token == m.Token && other.From != m.From { // another claimer's claim is being recorded
				answer.Kind, answer.Claim = AlreadyClaimed, Claim{Runner: other.From}
				t.send(answer)
				return
			}
		}
		s.lastReplicate++
		s.pending[s.lastReplicate] = m
		replicate := Message{Kind: Replicate, Slot: m.Slot, To: s.assignment.Backup,
			Term: s.assignment.Term, Token: m.Token, Number: s.lastReplicate,
			Claim: Claim{Digest: m.Claim.Digest, Runner: m.From, Until: m.Claim.Until * (1 + t.timing.Drift)}}
		if !t.timing.Disabled.BackupFirst {
			t.send(replicate)
			return
		}
		t.send(replicate)
		t.HandleMessage(Message{Kind: Replicated, Slot: m.Slot, Term: s.assignment.Term,
			Number: s.lastReplicate}, mayGrant, now)
		return
	}
	t.send(answer)
}

// fence ends this process's part in the assignments below a term and sends its claims.
func (t *Table) fence(s *slot, m Message, now float64) {
	if m.Term.Less(s.fencedBelow) {
		return // a later owner has collected already
	}
	if !t.timing.Disabled.Fencing && s.assignment.Term.Less(m.Term) {
		s.fencedBelow = m.Term
		s.setRole(none)
	}
	answer := Message{Kind: Collected, Slot: m.Slot, To: m.From, Term: m.Term, EndedTerm: m.EndedTerm,
		Complete: !s.completeUpTo.Less(m.EndedTerm), Claims: s.remaining(now),
		Remaining: max(s.quietUntil-now, 0)}
	t.send(answer)
}

// merge adds received claims, whose expiry is given as a remaining duration.
func (s *slot) merge(claims map[string]Claim, now float64) {
	for token, c := range claims {
		c.Until += now // extended by the time in transit
		if existing, ok := s.claims[token]; !ok || existing.Until < c.Until {
			s.claims[token] = c
		}
	}
}

// DropExpired deletes claims that no RPC which arrived within their window can still request.
func (t *Table) DropExpired(now float64) {
	for _, s := range t.slots {
		maps.DeleteFunc(s.claims,
			func(_ string, c Claim) bool { return now >= c.Until+t.timing.Lag*(1+t.timing.Drift) })
	}
}
