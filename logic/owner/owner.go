// Package owner decides who owns a role: a named kind of work that is done once for the whole fleet. A few named voters
// decide it, a majority for each term; the fleet's view only says when it is worth campaigning. A Voter votes and grants leases, a
// Candidate campaigns, leads and steps down. Neither does I/O, reads a clock or knows an address; fleet/ is to drive them, and the
// explorer in the tests walks them through every order, loss, doubling, stop and restart of a few messages.
//
// The rules, in short. A term is higher than all before it. A lease is counted by the voter from when it grants it, and by
// the owner from when it asked for it: so the owner's ends first, whatever the way took. Clocks only measure spans, and may
// drift apart by what the terms of the installation allow. Who cannot hear a majority does not disturb one that can: it asks
// first whether it would win, and that ask changes nothing.
package owner

import (
	"fmt"
	"math"
	"slices"

	"valveglade/logic/chance"
	"valveglade/logic/quorum"
)

// Timing is what an installation sets: seconds, and Drift as a share.
type Timing struct {
	Lease    float64 // that a voter grants
	Drift    float64 // by which two clocks may drift apart, as a share: 0.01 is ten milliseconds a second
	Margin   float64 // before the end of its lease the owner stops
	Disabled Rule    // rules that are left out, to show that their loss is noticed: none in service
}

// MaxNameLength is the longest name of a voter or a role, in bytes.
const MaxNameLength = 64

// CheckVoters returns what is wrong with lists of voters: there is one, or two while they are changed, and each has three, five or
// seven names.
func CheckVoters(lists [][]string) error {
	if len(lists) == 0 || len(lists) > 2 {
		return fmt.Errorf("one list of voters is wanted, or two while they are changed, not %d", len(lists))
	}
	for _, list := range lists {
		if n := len(list); n < 3 || n > 7 || n%2 == 0 {
			return fmt.Errorf("three, five or seven names are wanted, not %d", n)
		}
		for k, name := range list {
			if name == "" || len(name) > MaxNameLength {
				return fmt.Errorf("%q is not a name of 1 to %d bytes", name, MaxNameLength)
			}
			if slices.Contains(list[:k], name) {
				return fmt.Errorf("%s is named twice", name)
			}
		}
	}
	return nil
}

// Rule is a set of rules that can be left out.
type Rule uint16

// The rules whose loss the explorer finds.
const (
	Margins        Rule = 1 << iota // the owner stops before its lease ends by the voters' clocks
	PersistedVotes                  // a voter keeps its votes over a restart
	Silence                         // a voter that starts without its votes says nothing for the longest lease
	FromRequest                     // a lease counts from the request, not from the answer
	Fences                          // whoever carries out commands rejects terms that are over
	Settled                         // a new owner waits until what former ones granted is over, but for what is proved
	Addressed                       // a request is answered only under the term that it names
	Current                         // an answer counts only for the last request
	Tails                           // what was begun under a grant may go on past its end
)

func (s Timing) enabled(r Rule) bool { return s.Disabled&r == 0 }

// OwnerLease is how long an owner may act on a lease, counted on its own clock from when it asked.
func (s Timing) OwnerLease() float64 {
	if !s.enabled(Margins) {
		return s.Lease * (1 + s.Drift) // a slow owner's clock, unheeded
	}
	return s.Lease*(1-s.Drift) - s.Margin
}

// LongestLease is how long any lease may still be believed in by somebody, counted on one's own clock from when it can no longer
// have been renewed.
func (s Timing) LongestLease() float64 { return s.Lease * (1 + s.Drift) }

// Incarnation identifies one start of a process; a restart is another incarnation.
type Incarnation struct {
	Name string
	ID   uint64 `json:"Birth"` // drawn at the start; the key is that of vote files
}

// MessageKind is the kind of a message between candidate and voter.
type MessageKind uint8

// What candidates and voters say to each other.
const (
	PreVote        MessageKind = iota // asks whether a vote would be granted; changes nothing
	RequestVote                       // asks for a vote under this term
	Renew                             // asks to extend the lease
	StepDown                          // the owner or candidate steps down
	PreVoteGranted                    // answers PreVote: the voter would grant it
	Granted                           // answers RequestVote and Renew
	Rejected                          // answers any of them: not granted
)

// Message goes between a candidate and a voter. What it answers is told by Round, which a candidate counts up with each
// time that it asks.
type Message struct {
	Kind   MessageKind
	Role   string
	From   Incarnation
	To     string // a voter's name; of an answer, the candidate's
	Term   uint64 // of RequestVote, Renew, StepDown: under which; of answers: the highest that the voter knows
	Round  uint64
	Left   float64 // of Rejected: how long another's lease still lasts there, in seconds
	Holder string  // of Rejected: whose lease that is
	Sync   bool    // the voter's votes have to be on its disk before this leaves
}

// stage is how far a candidate has come. Candidate.move changes it, and nothing else does.
type stage uint8

const (
	idle        stage = iota // does not campaign, or waits
	prevoting                // has asked whether it would be elected
	campaigning              // has requested votes under a term
	leading
)

// Candidate is one process's part in one role.
type Candidate struct {
	timing Timing
	self   Incarnation
	role   string
	quorum quorum.Voters
	voters []string // of all lists, each once
	seed   uint64
	drawn  uint64

	stage       stage
	campaigning bool
	term        uint64
	highest     uint64 // known anywhere
	round       uint64
	first       uint64 // the round of the vote request
	asked       [rounds]float64
	votes       quorum.Set     // the voters that would grant it
	acked       [2 * 7]float64 // when the last request was made that each voter granted, under this term; -Inf for none
	until       float64        // it may act, on its own clock
	due         float64        // of the next step
	other       Message        // the last rejection that named an owner
	heard       float64        // when that was
	ready       []Message
}

// NewCandidate begins as one that does not campaign. Lists are the voters: one list, or two while they are changed. A
// majority of each is needed, so that whoever knows the former list alone, or the next alone, shares a voter with it.
func NewCandidate(self Incarnation, role string, lists [][]string, seed uint64, now float64, timing Timing) *Candidate {
	voters := quorum.New(lists)
	return &Candidate{timing: timing, self: self, role: role, quorum: voters, voters: voters.Names(), seed: seed, due: now}
}

// Ready returns the messages to be sent and empties the list.
func (c *Candidate) Ready() []Message {
	messages := c.ready
	c.ready = nil
	return messages
}

// Owns tells whether it may act now, under which term, and how long it still may, in seconds.
func (c *Candidate) Owns(now float64) (term uint64, left float64, ok bool) {
	if c.stage != leading || now >= c.until {
		return 0, 0, false
	}
	return c.term, c.until - now, true
}

// KnownOwner tells who else owns it, as far as voters have told, and for how long that lasts unless it is renewed, in seconds.
func (c *Candidate) KnownOwner(now float64) (name string, left float64, ok bool) {
	left = c.other.Left - (now - c.heard)
	return c.other.Holder, left, c.stage != leading && c.other.Holder != "" && left > 0
}

// Term is the highest that it knows.
func (c *Candidate) Term() uint64 { return max(c.term, c.highest) }

func (c *Candidate) move(to stage) { c.stage = to }

// SetCampaigning has it campaign from now on, or no more: an owner then steps down, and tells the voters so. Whoever drives it does
// that only once the work that was done under the lease has ended, as the next owner may begin at once.
func (c *Candidate) SetCampaigning(campaigning bool, now float64) {
	if c.campaigning == campaigning {
		return
	}
	c.campaigning, c.due = campaigning, now
	if !campaigning {
		c.stepDown(c.stage == leading, now)
	}
	c.Tick(now)
}

// HandleStaleTerm takes in that a command under this term was rejected, as a higher one is known.
func (c *Candidate) HandleStaleTerm(term uint64, now float64) {
	c.highest = max(c.highest, term)
	if c.stage == leading && term > c.term {
		c.stepDown(false, now)
	}
}

// stepDown ends whatever it holds or asks for. The voters are told only where nothing is done under the lease any more.
func (c *Candidate) stepDown(tell bool, now float64) {
	if tell || c.stage == campaigning {
		c.round++
		c.broadcast(StepDown)
	}
	c.move(idle)
	c.until = now
	c.due = now + c.backoff()
}

// backoff is a while that differs from one candidate to the next, so that they do not campaign at one time for ever.
func (c *Candidate) backoff() float64 {
	c.drawn++
	return c.timing.Lease * (0.1 + 0.3*chance.At(c.seed, c.drawn))
}

// broadcast sends a round to all voters.
func (c *Candidate) broadcast(w MessageKind) {
	for _, v := range c.voters {
		c.ready = append(c.ready, Message{Kind: w, Role: c.role, From: c.self, To: v, Term: c.term, Round: c.round})
	}
}

// rounds is how many of the last requests an answer counts for: those of two leases.
const rounds = 2 * renewals

// startRound begins a new round.
func (c *Candidate) startRound(w MessageKind, now float64) {
	c.round++
	c.asked[c.round%rounds] = now
	c.votes = 0
	c.broadcast(w)
}

// renewals is how many times in a lease it is renewed: what one renewal loses the next ones make good. The last quarter is
// for an owner that is not heard, or hears nothing: what it still asked for then would keep the next one waiting.
const renewals = 4

// Tick lets time pass.
func (c *Candidate) Tick(now float64) {
	if c.stage == leading && now >= c.until {
		c.move(idle) // without a word: who could not hear a majority may not reach one either
		c.due = now + c.backoff()
	}
	if !c.campaigning || now < c.due {
		return
	}
	switch c.stage {
	case leading:
		c.due = now + c.timing.Lease/renewals
		if c.until-now > c.timing.Lease/renewals {
			c.startRound(Renew, now)
		}
	case campaigning: // too few have granted it: whoever has is free again
		c.stepDown(true, now)
	default: // whatever was asked has not been answered by enough
		c.move(prevoting)
		c.startRound(PreVote, now)
		c.due = now + c.backoff()
	}
}

// HandleAnswer takes a voter's answer in.
func (c *Candidate) HandleAnswer(m Message, now float64) {
	c.highest = max(c.highest, m.Term)
	k := slices.Index(c.voters, m.From.Name)
	if m.Role != c.role || k < 0 {
		return
	}
	switch m.Kind {
	case Rejected:
		c.handleRejected(m, now)
	case PreVoteGranted:
		if c.stage != prevoting || m.Round != c.round {
			return
		}
		if c.votes = c.votes.With(k); c.quorum.Majority(c.votes) {
			c.term = max(c.highest, c.term) + 1
			c.move(campaigning)
			c.startRound(RequestVote, now)
			c.first = c.round
			for n := range c.acked {
				c.acked[n] = math.Inf(-1)
			}
			c.due = now + c.backoff()
		}
	case Granted:
		c.handleGranted(k, m, now)
	}
}

// handleRejected takes in that a voter does not grant it.
func (c *Candidate) handleRejected(m Message, now float64) {
	if m.Round != c.round {
		return
	}
	if m.Holder != "" {
		c.other, c.heard = m, now
	}
	switch {
	case c.stage == leading && m.Term > c.term:
		c.stepDown(false, now)
	case c.stage == prevoting && m.Left > 0: // there is no need to ask again before: if the owner steps down, the voter says so
		c.due = max(c.due, now+m.Left+c.backoff()/2)
	}
}

// handleGranted takes in that a voter has granted a request, one of the last. Each voter is bound for a lease from when it was asked
// at the earliest; so the role is held for as long as a majority is.
func (c *Candidate) handleGranted(k int, m Message, now float64) {
	if c.stage != campaigning && c.stage != leading || m.Term != c.term || m.Round < c.first || m.Round > c.round || c.round-m.Round >= rounds {
		return
	}
	at := c.asked[m.Round%rounds]
	if !c.timing.enabled(FromRequest) {
		at = now
	}
	c.votes = c.votes.With(k)
	c.acked[k] = max(c.acked[k], at)
	until := math.Inf(1)
	for _, list := range c.quorum.Lists() {
		var all []float64
		for n := range c.voters {
			if list.Has(n) {
				all = append(all, c.acked[n])
			}
		}
		slices.Sort(all)
		until = min(until, all[(len(all)-1)/2]+c.timing.OwnerLease()) // of an odd number, as many or more have been asked since
	}
	if c.until = until; c.stage == campaigning && now < until {
		c.move(leading)
		c.due = now + c.timing.Lease/renewals
	}
}
