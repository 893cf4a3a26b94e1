// Package owner elects the owner of a role: a named task that is done once for the whole fleet. A few named
// voters elect it, by a majority for each term; the membership view of the fleet only decides when
// campaigning is worthwhile. A Voter votes and grants leases, a Candidate campaigns, leads and steps down.
// Neither does I/O, reads a clock or knows an address; fleet/ drives them, and the explorer in the tests runs
// them through every order, loss, duplication, stop and restart of a few messages.
//
// The rules: each term is higher than all before it. A voter counts a lease from when it grants it, and the
// owner counts it from when it sent the request. So the owner's lease ends first, however long the messages
// took. Clocks are used only to measure durations, and may drift apart by a configured bound. A candidate
// that cannot reach a majority does not disturb an owner that can: before it campaigns it sends a pre-vote,
// which changes nothing at the voters.
package owner

import (
	"fmt"
	"math"
	"slices"

	"valveglade/logic/chance"
	"valveglade/logic/quorum"
)

// Timing is the configuration of an installation.
type Timing struct {
	Lease    float64 // duration of the leases that voters grant, in seconds
	Drift    float64 // the largest relative drift between two clocks: 0.01 is ten milliseconds per second
	Margin   float64 // how long before the end of its lease the owner stops, in seconds
	Disabled Rule    // rules that tests disable to show that each is needed: none in service
}

// MaxNameLength is the longest name of a voter or a role, in bytes.
const MaxNameLength = 64

// CheckVoters returns an error if the lists of voters are invalid. There must be one list, or two while the
// voters are changed, each of three, five or seven names.
func CheckVoters(lists [][]string) error {
	if len(lists) == 0 || len(lists) > 2 {
		return fmt.Errorf("one list of voters is wanted, or two while they are changed, not %d", len(lists))
	}
	for _, list := range lists {
		if n := len(list); n < 3 || n > 7 || n%2 == 0 {
			return fmt.Errorf("three, five or seven names are wanted, not %d", n)
		}
		for i, name := range list {
			if name == "" || len(name) > MaxNameLength {
				return fmt.Errorf("%q is not a name of 1 to %d bytes", name, MaxNameLength)
			}
			if slices.Contains(list[:i], name) {
				return fmt.Errorf("%s is named twice", name)
			}
		}
	}
	return nil
}

// Rule is a set of rules that can be disabled.
type Rule uint16

// The rules that can be disabled. The tests show that disabling any of them leads to a violation.
const (
	Margins             Rule = 1 << iota // the owner stops before its lease ends by the voters' clocks
	PersistedVotes                       // a voter keeps its votes across a restart
	StartupSilence                       // a voter without its votes stays silent for the longest lease
	FromRequest                          // a lease or grant counts from its request, not from the answer
	Fences                               // the executor of commands rejects superseded terms
	WaitForFormerGrants                  // a new owner grants only reported permits until former grants expire
	TermMatch                            // a request is answered only under the term that it names
	LatestRequestOnly                    // only an answer to the last request is accepted
	GracePeriods                         // work begun under a grant may outlive it by the grace period
)

func (s Timing) enabled(rule Rule) bool { return s.Disabled&rule == 0 }

// OwnerLease returns how long an owner may act on a lease, counted on its own clock from its request.
func (s Timing) OwnerLease() float64 {
	if !s.enabled(Margins) {
		return s.Lease * (1 + s.Drift) // what a slow clock of the owner would allow
	}
	return s.Lease*(1-s.Drift) - s.Margin
}

// LongestLease returns how long any process may still consider a lease valid, counted on the caller's clock
// from when the lease can no longer have been renewed.
func (s Timing) LongestLease() float64 { return s.Lease * (1 + s.Drift) }

// Incarnation identifies one start of a process; a restart is another incarnation.
type Incarnation struct {
	Name string
	ID   uint64 `json:"Birth"` // random, drawn at the start; the JSON key is that of vote files
}

// MessageKind is the kind of a message between candidate and voter.
type MessageKind uint8

// The messages between candidates and voters.
const (
	PreVote        MessageKind = iota // asks whether a vote would be granted, without changing the voter
	RequestVote                       // requests a vote under this term
	Renew                             // requests an extension of the lease
	StepDown                          // the owner or candidate steps down
	PreVoteGranted                    // answers PreVote: the voter would grant it
	Granted                           // answers RequestVote and Renew
	Rejected                          // answers any request: not granted
)

// Message is sent between a candidate and a voter. Round ties an answer to its request: a candidate
// increments it with each round of requests.
type Message struct {
	Kind   MessageKind
	Role   string
	From   Incarnation
	To     string // name of the voter, or of the candidate in an answer
	Term   uint64 // of a request: the candidate's term; of an answer: the highest that the voter knows
	Round  uint64
	Left   float64 // of Rejected: how long the current holder's lease still lasts, in seconds
	Holder string  // of Rejected: the current holder of the lease
	Sync   bool    // the voter's votes must be persisted before this is sent
}

// stage is the stage of a candidate's campaign. Only Candidate.setStage changes it.
type stage uint8

const (
	idle        stage = iota // does not campaign, or waits
	prevoting                // has sent pre-votes
	campaigning              // has requested votes under a term
	leading
)

// Candidate campaigns for one role on behalf of one process, and holds its lease.
type Candidate struct {
	timing      Timing
	self        Incarnation
	role        string
	quorum      quorum.Voters
	voters      []string // names in all lists, without duplicates
	randomSeed  uint64
	randomDraws uint64 // number of random values drawn so far

	stage          stage
	campaigning    bool   // whether it is to campaign, as set by SetCampaigning
	term           uint64 // its own last term
	highest        uint64 // the highest term known from any message
	round          uint64
	firstVoteRound uint64                 // the round of the vote request in this term
	requestedAt    [trackedRounds]float64 // send times of the last rounds, by round modulo trackedRounds
	votes          quorum.Set             // the voters that granted the pre-vote or the vote
	ackedRequestAt [2 * 7]float64         // by voter: send time of the last request granted, or -Inf
	leaseEnd       float64                // end of its lease, on its own clock
	nextStepAt     float64                // when Tick takes the next step
	lastRejection  Message                // the last rejection that named another owner
	rejectedAt     float64                // when lastRejection arrived
	ready          []Message
}

// NewCandidate returns a candidate that does not campaign yet. Lists are the voters: one list, or two while
// they are changed. A majority of each list is needed, so that its quorum shares a voter with that of a
// candidate that knows only the former list or only the next one.
func NewCandidate(self Incarnation, role string, lists [][]string, seed uint64, now float64,
	timing Timing) *Candidate {
	voters := quorum.New(lists)
	return &Candidate{timing: timing, self: self, role: role, quorum: voters, voters: voters.Names(),
		randomSeed: seed, nextStepAt: now}
}

// Ready returns the messages to send and clears the list.
func (c *Candidate) Ready() []Message {
	messages := c.ready
	c.ready = nil
	return messages
}

// Owns reports whether the candidate owns the role now, under which term, and for how long without a
// renewal, in seconds.
func (c *Candidate) Owns(now float64) (term uint64, left float64, ok bool) {
	if c.stage != leading || now >= c.leaseEnd {
		return 0, 0, false
	}
	return c.term, c.leaseEnd - now, true
}

// KnownOwner returns another process that owns the role according to the last rejection, and for how long
// without a renewal, in seconds.
func (c *Candidate) KnownOwner(now float64) (name string, left float64, ok bool) {
	left = c.lastRejection.Left - (now - c.rejectedAt)
	return c.lastRejection.Holder, left, c.stage != leading && c.lastRejection.Holder != "" && left > 0
}

// Term returns the highest term that the candidate knows.
func (c *Candidate) Term() uint64 { return max(c.term, c.highest) }

func (c *Candidate) setStage(to stage) { c.stage = to }

// SetCampaigning starts or stops campaigning. An owner that stops steps down and notifies the voters. The
// caller must have ended all work under the lease first, as the next owner may start at once.
func (c *Candidate) SetCampaigning(campaigning bool, now float64) {
	if c.campaigning == campaigning {
		return
	}
	c.campaigning, c.nextStepAt = campaigning, now
	if !campaigning {
		c.stepDown(c.stage == leading, now)
	}
	c.Tick(now)
}

// HandleStaleTerm handles the rejection of a command because a higher term is known.
func (c *Candidate) HandleStaleTerm(term uint64, now float64) {
	c.highest = max(c.highest, term)
	if c.stage == leading && term > c.term {
		c.stepDown(false, now)
	}
}

// stepDown ends the lease or the campaign. A leader notifies the voters only if all work under the lease has
// ended.
func (c *Candidate) stepDown(notify bool, now float64) {
	if notify || c.stage == campaigning {
		c.round++
		c.broadcast(StepDown)
	}
	c.setStage(idle)
	c.leaseEnd = now
	c.nextStepAt = now + c.backoff()
}

// backoff returns a random delay, so that candidates do not keep campaigning at the same time.
func (c *Candidate) backoff() float64 {
	c.randomDraws++
	return c.timing.Lease * (0.1 + 0.3*chance.At(c.randomSeed, c.randomDraws))
}

// broadcast sends a message of the current round to all voters.
func (c *Candidate) broadcast(kind MessageKind) {
	for _, voter := range c.voters {
		c.ready = append(c.ready, Message{Kind: kind, Role: c.role, From: c.self, To: voter, Term: c.term,
			Round: c.round})
	}
}

// trackedRounds is the number of last rounds whose answers are accepted: those of two leases.
const trackedRounds = 2 * renewalsPerLease

// startRound sends a request to all voters in a new round.
func (c *Candidate) startRound(kind MessageKind, now float64) {
	c.round++
	c.requestedAt[c.round%trackedRounds] = now
	c.votes = 0
	c.broadcast(kind)
}

// renewalsPerLease is how many renewals are due in the duration of a lease, so that later ones make good for
// a lost one. In the last quarter of its lease an owner sends none: if its messages or their answers are
// being lost, a late renewal would only extend the voters' leases and keep the next owner waiting.
const renewalsPerLease = 4

// Tick does what is due at now: it gives up an expired lease, renews, or campaigns.
func (c *Candidate) Tick(now float64) {
	if c.stage == leading && now >= c.leaseEnd {
		// without notifying the voters: a majority did not answer, so it is probably unreachable
		c.setStage(idle)
		c.nextStepAt = now + c.backoff()
	}
	if !c.campaigning || now < c.nextStepAt {
		return
	}
	switch c.stage {
	case leading:
		c.nextStepAt = now + c.timing.Lease/renewalsPerLease
		if c.leaseEnd-now > c.timing.Lease/renewalsPerLease {
			c.startRound(Renew, now)
		}
	case campaigning: // too few granted the vote: releases those that did
		c.stepDown(true, now)
	default: // too few voters answered the last round
		c.setStage(prevoting)
		c.startRound(PreVote, now)
		c.nextStepAt = now + c.backoff()
	}
}

// HandleAnswer handles a voter's answer.
func (c *Candidate) HandleAnswer(m Message, now float64) {
	c.highest = max(c.highest, m.Term)
	voter := slices.Index(c.voters, m.From.Name)
	if m.Role != c.role || voter < 0 {
		return
	}
	switch m.Kind {
	case Rejected:
		c.handleRejected(m, now)
	case PreVoteGranted:
		if c.stage != prevoting || m.Round != c.round {
			return
		}
		if c.votes = c.votes.With(voter); c.quorum.Majority(c.votes) {
			c.term = max(c.highest, c.term) + 1
			c.setStage(campaigning)
			c.startRound(RequestVote, now)
			c.firstVoteRound = c.round
			for n := range c.ackedRequestAt {
				c.ackedRequestAt[n] = math.Inf(-1)
			}
			c.nextStepAt = now + c.backoff()
		}
	case Granted:
		c.handleGranted(voter, m, now)
	}
}

// handleRejected handles the rejection of a request.
func (c *Candidate) handleRejected(m Message, now float64) {
	if m.Round != c.round {
		return
	}
	if m.Holder != "" {
		c.lastRejection, c.rejectedAt = m, now
	}
	switch {
	case c.stage == leading && m.Term > c.term:
		c.stepDown(false, now)
	// waits for the end of the lease: if the owner steps down before, the voter notifies the candidate
	case c.stage == prevoting && m.Left > 0:
		c.nextStepAt = max(c.nextStepAt, now+m.Left+c.backoff()/2)
	}
}

// handleGranted handles a voter's grant of one of the last requests. Each voter is bound for a lease from
// when the request was sent, at the least. So the candidate holds the role for as long as a majority of each
// list is bound.
func (c *Candidate) handleGranted(voter int, m Message, now float64) {
	if c.stage != campaigning && c.stage != leading || m.Term != c.term || m.Round < c.firstVoteRound ||
		m.Round > c.round || c.round-m.Round >= trackedRounds {
		return
	}
	requestedAt := c.requestedAt[m.Round%trackedRounds]
	if !c.timing.enabled(FromRequest) {
		requestedAt = now
	}
	c.votes = c.votes.With(voter)
	c.ackedRequestAt[voter] = max(c.ackedRequestAt[voter], requestedAt)
	leaseEnd := math.Inf(1)
	for _, list := range c.quorum.Lists() {
		var ackedAt []float64
		for n := range c.voters {
			if list.Has(n) {
				ackedAt = append(ackedAt, c.ackedRequestAt[n])
			}
		}
		slices.Sort(ackedAt)
		// the median of an odd number: a majority granted requests sent then or later
		leaseEnd = min(leaseEnd, ackedAt[(len(ackedAt)-1)/2]+c.timing.OwnerLease())
	}
	if c.leaseEnd = leaseEnd; c.stage == campaigning && now < leaseEnd {
		c.setStage(leading)
		c.nextStepAt = now + c.timing.Lease/renewalsPerLease
	}
}
