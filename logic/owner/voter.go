package owner

import "slices"

// Vote is a voter's vote for one role, which it has to persist.
type Vote struct {
	Term   uint64 // the highest term granted
	Holder Incarnation
	Until  float64 // end of the holder's lease, on the voter's clock
}

// Voter votes and grants leases for all roles on behalf of one process.
type Voter struct {
	timing      Timing
	name        string
	silentUntil float64 // until then it answers nothing
	minTerm     uint64  // granted terms must be higher
	votes       map[string]Vote
	waiting     map[string][]Message // prepared notifications to the last rejected candidates, by role
}

// maxWaitingCandidates is how many rejected candidates are notified when a role becomes free: enough that one
// of them acquires it.
const maxWaitingCandidates = 8

// NewVoter returns a voter that starts now. Votes are its persisted votes, if any; complete means that no
// vote that may still be valid is missing from them. If votes may be missing, because they are not persisted
// or the copy may be older than the last vote, the voter stays silent for the longest lease. minTerm is a
// term that no earlier term can have reached: the wall clock in milliseconds.
func NewVoter(name string, votes map[string]Vote, complete bool, minTerm uint64, now float64,
	timing Timing) *Voter {
	v := &Voter{timing: timing, name: name, silentUntil: now, minTerm: minTerm, votes: map[string]Vote{},
		waiting: map[string][]Message{}}
	if !complete && timing.enabled(StartupSilence) {
		v.silentUntil = now + timing.LongestLease()
	}
	if timing.enabled(PersistedVotes) {
		for role, vote := range votes {
			vote.Until = now + timing.Lease // the downtime is unknown, so a full lease is assumed
			v.votes[role] = vote
		}
	}
	return v
}

// Votes returns the votes, which the caller has to persist.
func (v *Voter) Votes() map[string]Vote { return v.votes }

// Silent reports whether the voter does not answer yet, as it started without its votes.
func (v *Voter) Silent(now float64) bool { return now < v.silentUntil }

// HandleMessage handles a candidate's message. It returns the answer, or the notifications to waiting
// candidates; nothing while the voter is silent.
func (v *Voter) HandleMessage(m Message, now float64) []Message {
	if v.Silent(now) {
		return nil
	}
	vote := v.votes[m.Role]
	reply := Message{Kind: Rejected, Role: m.Role, From: Incarnation{Name: v.name}, To: m.From.Name,
		Term: max(vote.Term, v.minTerm), Round: m.Round}
	heldByOther := vote.Holder != m.From && now < vote.Until
	switch m.Kind {
	case PreVote:
		if !heldByOther {
			reply.Kind = PreVoteGranted
		}
	case RequestVote:
		// A term is granted to one candidate only, whose request may be repeated.
		repeated := m.Term == vote.Term && vote.Holder == m.From
		if !heldByOther && (m.Term > reply.Term || repeated) {
			v.votes[m.Role] = Vote{m.Term, m.From, now + v.timing.Lease}
			reply.Kind, reply.Term, reply.Sync = Granted, m.Term, true
		}
	case Renew:
		// A voter that missed the vote request, because it was down or unreachable, grants the lease now.
		if m.Term == vote.Term && vote.Holder == m.From || !heldByOther && m.Term > reply.Term {
			v.votes[m.Role] = Vote{m.Term, m.From, now + v.timing.Lease}
			reply.Kind, reply.Sync = Granted, true
		}
		reply.Term = v.votes[m.Role].Term // without minTerm, which supersedes no owner
	case StepDown:
		if m.Term == vote.Term && vote.Holder == m.From {
			vote.Until = now
			v.votes[m.Role] = vote
			notifications := v.waiting[m.Role]
			delete(v.waiting, m.Role)
			return notifications
		}
		return nil
	default:
		return nil
	}
	if reply.Kind == Rejected && heldByOther {
		reply.Left, reply.Holder = vote.Until-now, vote.Holder.Name
		v.notifyWhenFree(reply)
	}
	return []Message{reply}
}

// notifyWhenFree records a candidate to notify when the role becomes free, with an answer to the request now
// rejected.
func (v *Voter) notifyWhenFree(reply Message) {
	reply.Kind, reply.Left, reply.Holder = PreVoteGranted, 0, ""
	waiting := slices.DeleteFunc(v.waiting[reply.Role],
		func(other Message) bool { return other.To == reply.To })
	if len(waiting) == maxWaitingCandidates {
		waiting = waiting[1:]
	}
	v.waiting[reply.Role] = append(waiting, reply)
}
