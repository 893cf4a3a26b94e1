package owner

import "slices"

// Vote is what a voter has to remember of one role.
type Vote struct {
	Term   uint64 // highest granted
	Holder Incarnation
	Until  float64 // its lease, on the voter's clock
}

// Voter is one voter's part in all roles.
type Voter struct {
	timing      Timing
	name        string
	silentUntil float64 // until when it says nothing
	minTerm     uint64  // terms are above
	votes       map[string]Vote
	rejected    map[string][]Message // the last candidates that were told to wait, by role: they hear when it is free
}

// maxRejected is how many candidates hear that a role is free, of those that were rejected: enough that one of them takes it.
const maxRejected = 8

// NewVoter begins at a time. Votes are its votes from before, as far as there are any; whole tells that none is missing
// from them that could still hold. Where that is not sure, as nothing lasts or what was found may be older than the last
// vote, it is silent for the longest lease. MinTerm is a term that none before can have reached: the wall clock in
// milliseconds.
func NewVoter(name string, votes map[string]Vote, whole bool, minTerm uint64, now float64, timing Timing) *Voter {
	v := &Voter{timing: timing, name: name, silentUntil: now, minTerm: minTerm, votes: map[string]Vote{}, rejected: map[string][]Message{}}
	if !whole && timing.enabled(Silence) {
		v.silentUntil = now + timing.LongestLease()
	}
	if timing.enabled(PersistedVotes) {
		for role, p := range votes {
			p.Until = now + timing.Lease // how long it was down nobody knows: the whole of it, then
			v.votes[role] = p
		}
	}
	return v
}

// Votes returns what has to be persisted.
func (v *Voter) Votes() map[string]Vote { return v.votes }

// Silent tells whether it says nothing yet.
func (v *Voter) Silent(now float64) bool { return now < v.silentUntil }

// HandleMessage returns what is to be answered to a candidate, and to others that wait; nothing while it is silent.
func (v *Voter) HandleMessage(m Message, now float64) []Message {
	if v.Silent(now) {
		return nil
	}
	p := v.votes[m.Role]
	a := Message{Kind: Rejected, Role: m.Role, From: Incarnation{Name: v.name}, To: m.From.Name, Term: max(p.Term, v.minTerm), Round: m.Round}
	others := p.Holder != m.From && now < p.Until
	switch m.Kind {
	case PreVote:
		if !others {
			a.Kind = PreVoteGranted
		}
	case RequestVote:
		// Under a term that was granted once nobody else is granted anything; the same candidate's request may come twice.
		again := m.Term == p.Term && p.Holder == m.From
		if !others && (m.Term > a.Term || again) {
			v.votes[m.Role] = Vote{m.Term, m.From, now + v.timing.Lease}
			a.Kind, a.Term, a.Sync = Granted, m.Term, true
		}
	case Renew:
		// One that has missed the first vote, as it was down or cut off, joins those that granted it.
		if m.Term == p.Term && p.Holder == m.From || !others && m.Term > a.Term {
			v.votes[m.Role] = Vote{m.Term, m.From, now + v.timing.Lease}
			a.Kind, a.Sync = Granted, true
		}
		a.Term = v.votes[m.Role].Term // the minimum term does not supersede anybody
	case StepDown:
		if m.Term == p.Term && p.Holder == m.From {
			p.Until = now
			v.votes[m.Role] = p
			free := v.rejected[m.Role]
			delete(v.rejected, m.Role)
			return free
		}
		return nil
	default:
		return nil
	}
	if a.Kind == Rejected && others {
		a.Left, a.Holder = p.Until-now, p.Holder.Name
		v.remember(a)
	}
	return []Message{a}
}

// remember has a candidate told when the role is free: as an answer to the request that is rejected now.
func (v *Voter) remember(a Message) {
	a.Kind, a.Left, a.Holder = PreVoteGranted, 0, ""
	all := slices.DeleteFunc(v.rejected[a.Role], func(b Message) bool { return b.To == a.To })
	if len(all) == maxRejected {
		all = all[1:]
	}
	v.rejected[a.Role] = append(all, a)
}
