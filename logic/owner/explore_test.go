package owner

import (
	"flag"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"valveglade/rig/explore"
)

// bounds limits the events that the explorer tries.
type bounds struct {
	timeUnit       float64    // the time step, in leases
	unitsLeft      int        // time steps that may pass
	roundsLeft     [2]int8    // vote requests and renewals that each candidate may send
	restartsLeft   int8       // voter restarts
	lossesLeft     int8       // answers that may be lost after a vote; requests may be lost without limit
	delaysLeft     int8       // answers that may be delayed
	duplicatesLeft int8       // requests that may arrive twice
	drainsLeft     int8       // owners that may stop campaigning
	commandsLeft   int8       // commands for which an owner checks its lease
	persistent     bool       // whether voters persist their votes
	clockRates     [3]float64 // of the candidates' clocks, and last of the voters'
	lists          [2][][]string
}

// state is the state of the explored system.
type state struct {
	elapsedUnits   int
	voters         [maxVoters]Voter
	persisted      [maxVoters]Vote
	persistedAt    [maxVoters]int
	candidates     [2]Candidate
	inFlight       []Message
	checkedTerms   [2]uint64
	highestCommand uint64
	highestOwned   uint64 // the highest term that had an owner
	ownedBy        int    // index of its owner, -1 for none
	bounds                // the remaining ones
	timing         Timing
	violation      string
}

// maxVoters is the number of voters: three, and those of a changed list.
const maxVoters = 5

var voterNames = []string{"v0", "v1", "v2", "v3", "v4"}

func (s *state) clock(k int) float64 { return float64(s.elapsedUnits) * s.timeUnit * s.clockRates[k] }

func (b bounds) initialState(timing Timing) *state {
	s := &state{bounds: b, timing: timing, ownedBy: -1}
	for k := range s.voters {
		s.voters[k] = *NewVoter(voterNames[k], nil, true, 0, 0, timing)
		s.persistedAt[k] = math.MinInt32
	}
	for k := range s.candidates {
		s.candidates[k] = *NewCandidate(Incarnation{fmt.Sprintf("c%d", k), 1}, "o", b.lists[k], 1, 0, timing)
		s.candidates[k].campaigning = true
	}
	return s
}

// The events. The low byte holds the index of the candidate, voter or message concerned.
const (
	eventTimePasses        = iota << 8
	eventTick              // a candidate renews, campaigns, or gives up an expired lease
	eventRequest           // a request arrives, and its answer at once
	eventAnswerLost        // a request arrives, and its answer is lost
	eventAnswerDelayed     // a request arrives, and its answer stays in flight
	eventRequestDuplicated // a request arrives, its answer is lost, and the request stays in flight
	eventAnswer            // an answer in flight arrives
	eventRestart           // a voter restarts
	eventDrain             // an owner stops campaigning
	eventCheckLease        // an owner checks its lease for a command
	eventSendCommand       // a candidate sends the command
)

// events lists the events possible in this state.
func (s *state) events(all []uint16) []uint16 {
	if s.candidates[0].round == 0 {
		return append(all, eventTick) // one candidate is the first to act; nothing before matters
	}
	if s.unitsLeft > 0 {
		all = append(all, eventTimePasses)
	}
	for k := range s.candidates {
		c, now := &s.candidates[k], s.clock(k)
		if c.stage == leading && now >= c.leaseEnd || c.stage == campaigning ||
			c.campaigning && s.roundsLeft[k] > 0 {
			all = append(all, eventTick|uint16(k))
		}
		if s.drainsLeft > 0 && c.campaigning && c.stage == leading {
			all = append(all, eventDrain|uint16(k))
		}
		if _, _, ok := c.Owns(now); ok && s.commandsLeft > 0 && s.checkedTerms[k] == 0 {
			all = append(all, eventCheckLease|uint16(k))
		}
		if s.checkedTerms[k] != 0 {
			all = append(all, eventSendCommand|uint16(k))
		}
	}
	for k, m := range s.inFlight {
		if m.Kind > StepDown {
			all = append(all, eventAnswer|uint16(k))
			continue
		}
		all = append(all, eventRequest|uint16(k))
		if m.Kind == StepDown {
			continue
		}
		if s.lossesLeft > 0 {
			all = append(all, eventAnswerLost|uint16(k))
		}
		if s.delaysLeft > 0 && s.requestAge(m) > 0 {
			all = append(all, eventAnswerDelayed|uint16(k))
		}
		if s.duplicatesLeft > 0 {
			all = append(all, eventRequestDuplicated|uint16(k))
		}
	}
	if s.restartsLeft > 0 {
		for k, name := range voterNames {
			if slices.Contains(s.candidates[0].voters, name) ||
				slices.Contains(s.candidates[1].voters, name) {
				all = append(all, eventRestart|uint16(k))
			}
		}
	}
	return all
}

// apply returns the state after an event.
func (current *state) apply(act uint16) *state {
	copied := *current
	s := &copied
	s.inFlight = slices.Clone(current.inFlight)
	k := int(act & 0xff)
	switch act &^ 0xff {
	case eventTimePasses:
		s.elapsedUnits++
		s.unitsLeft--
	case eventTick:
		s.tick(k)
	case eventDrain:
		s.drainsLeft--
		s.candidates[k].SetCampaigning(false, s.clock(k))
	case eventCheckLease:
		s.commandsLeft--
		s.checkedTerms[k], _, _ = s.candidates[k].Owns(s.clock(k))
	case eventSendCommand:
		fence := NewFence(s.timing)
		fence.highestTerms["o"] = s.highestCommand
		if highest, ok := fence.Pass("o", s.checkedTerms[k]); !ok {
			s.candidates[k].HandleStaleTerm(highest, s.clock(k))
		} else if s.checkedTerms[k] < s.highestCommand {
			s.violation = fmt.Sprintf("a command of term %d was executed after one of %d",
				s.checkedTerms[k], s.highestCommand)
		}
		s.highestCommand, s.checkedTerms[k] = fence.highestTerms["o"], 0
	case eventRestart:
		s.restartsLeft--
		votes, complete := map[string]Vote(nil), false
		if s.persisted[k].Term > 0 && s.bounds.persistent {
			votes, complete = map[string]Vote{"o": s.persisted[k]},
				float64(s.elapsedUnits-s.persistedAt[k])*s.timeUnit < s.timing.Lease/2
		}
		s.voters[k] = *NewVoter(voterNames[k], votes, complete, uint64(1000*(s.elapsedUnits+1)), s.clock(2),
			s.timing)
	case eventAnswer:
		s.deliverAnswer(s.inFlight[k])
		s.inFlight = slices.Delete(s.inFlight, k, k+1)
	case eventRequest, eventAnswerLost, eventAnswerDelayed, eventRequestDuplicated:
		m := s.inFlight[k]
		if act&^0xff == eventRequestDuplicated {
			s.duplicatesLeft--
		} else {
			s.inFlight = slices.Delete(s.inFlight, k, k+1)
		}
		answer, ok := s.deliverRequest(m)
		switch act &^ 0xff {
		case eventAnswerLost:
			s.lossesLeft--
		case eventRequest:
			if ok {
				s.deliverAnswer(answer)
			}
		case eventAnswerDelayed:
			s.delaysLeft--
			if ok {
				s.inFlight = append(s.inFlight, answer)
			}
		}
	}
	for k := range s.candidates {
		s.inFlight = append(s.inFlight, s.candidates[k].Ready()...)
		s.candidates[k].randomDraws, s.candidates[k].lastRejection = 0, Message{}
		s.candidates[k].nextStepAt = s.clock(k) // may act at any time: safety does not depend on its delays
	}
	s.inFlight = slices.DeleteFunc(s.inFlight, s.hasNoEffect)
	s.checkInvariants()
	return s
}

// tick has a candidate take its next step. Pre-votes prevent disturbance only and are not needed for safety,
// so every voter is taken to grant them, and the candidate to know every term.
func (s *state) tick(k int) {
	c, now := &s.candidates[k], s.clock(k)
	roundBefore := c.round
	c.Tick(now)
	if c.stage == prevoting {
		for i := range s.voters {
			c.highest = max(c.highest, s.voters[i].votes["o"].Term, s.voters[i].minTerm)
		}
		for _, name := range voterNames {
			c.HandleAnswer(Message{Kind: PreVoteGranted, Role: "o", From: Incarnation{Name: name},
				Round: c.round}, now)
		}
	}
	if c.round != roundBefore && c.stage >= campaigning {
		s.roundsLeft[k]--
	}
	c.ready = slices.DeleteFunc(c.ready, func(m Message) bool { return m.Kind == PreVote })
}

func (s *state) deliverAnswer(m Message) {
	s.candidates[m.To[1]-'0'].HandleAnswer(m, s.clock(int(m.To[1]-'0')))
}

// deliverRequest has a voter handle a request. Rejections are treated as lost: their only effect is that a
// candidate steps down.
func (s *state) deliverRequest(m Message) (Message, bool) {
	k := int(m.To[1] - '0')
	v := &s.voters[k]
	v.votes, v.waiting = maps.Clone(v.votes), map[string][]Message{}
	answers := v.HandleMessage(m, s.clock(2))
	if len(answers) == 0 {
		return Message{}, false
	}
	answer := answers[0]
	if answer.Sync {
		s.persisted[k], s.persistedAt[k] = v.votes["o"], s.elapsedUnits
	}
	return answer, answer.Kind == Granted
}

// hasNoEffect reports whether a message can no longer change anything, whenever it arrives.
func (s *state) hasNoEffect(m Message) bool {
	if m.Kind > StepDown {
		c := &s.candidates[m.To[1]-'0']
		return s.requestAge(m) == 0 ||
			c.ackedRequestAt[slices.Index(c.voters, m.From.Name)] >= c.requestedAt[m.Round%trackedRounds]
	}
	v := &s.voters[m.To[1]-'0']
	vote := v.votes["o"]
	return m.Term < vote.Term || m.Term == vote.Term && vote.Holder != m.From ||
		m.Kind == StepDown && m.Term > vote.Term || m.Term <= v.minTerm && m.Term != vote.Term
}

// requestAge returns how long ago the request of an answer that is still accepted was sent, in units of 1e-5
// leases and starting from one; 0 for other messages.
func (s *state) requestAge(m Message) uint64 {
	k := m.From.Name[1] - '0'
	if m.Kind > StepDown {
		k = m.To[1] - '0'
	}
	c := &s.candidates[k]
	if m.Kind == StepDown || c.stage != campaigning && c.stage != leading || m.Term != c.term ||
		m.Round < c.firstVoteRound {
		return 0
	}
	return uint64(math.Round((s.clock(int(k))-c.requestedAt[m.Round%trackedRounds])*1e5)) + 1
}

// checkInvariants records a violation of the properties that must always hold.
func (s *state) checkInvariants() {
	owners := 0
	for k := range s.candidates {
		term, _, ok := s.candidates[k].Owns(s.clock(k))
		if !ok {
			continue
		}
		owners++
		switch {
		case term == s.highestOwned && s.ownedBy != k:
			s.violation = fmt.Sprintf("term %d has two owners", term)
		case term < s.highestOwned && s.ownedBy != k:
			s.violation = fmt.Sprintf("term %d is owned after %d", term, s.highestOwned)
		case term > s.highestOwned:
			s.highestOwned, s.ownedBy = term, k
		}
	}
	if owners > 1 {
		s.violation = "two owners at one time"
	}
}

// key returns a hash that identifies the state: voters are sorted by what is recorded of them, so that their
// names do not matter, and times are relative to now.
func (s *state) key() uint64 {
	remaining := func(at, now float64) uint32 { return uint32(max(0, math.Round((at-now)*1e5))) }
	var parts [maxVoters][16]uint64
	var chunks [maxVoters][]uint64
	for k := range s.voters {
		v, vote := &s.voters[k], s.voters[k].votes["o"]
		now := s.clock(2)
		holder := uint64(0)
		if vote.Term > 0 {
			holder = uint64(vote.Holder.Name[1]-'0') + 1
		}
		c := append(parts[k][:0], vote.Term<<34|holder<<32|uint64(remaining(vote.Until, now)),
			v.minTerm<<32|uint64(remaining(v.silentUntil, now)))
		if persisted := s.persisted[k]; persisted.Term > 0 && s.restartsLeft > 0 && s.bounds.persistent {
			c = append(c,
				persisted.Term<<8|uint64(persisted.Holder.Name[1]-'0')<<4|
					uint64(min(s.elapsedUnits-s.persistedAt[k], 3)))
		} else {
			c = append(c, 0)
		}
		acknowledged := uint64(0)
		for n := range s.candidates {
			voterIndex := slices.Index(s.candidates[n].voters, voterNames[k])
			if acknowledged <<= 28; voterIndex < 0 {
				continue
			}
			acknowledged |= 1
			if at := s.candidates[n].ackedRequestAt[voterIndex]; s.candidates[n].stage >= campaigning &&
				!math.IsInf(at, -1) {
				acknowledged |= 2 | uint64(remaining(s.clock(n), at))<<2
			}
		}
		c = append(c, acknowledged)
		messagesStart := len(c)
		for _, m := range s.inFlight {
			candidateName, voter := m.From.Name, m.To
			if m.Kind > StepDown {
				candidateName, voter = m.To, m.From.Name
			}
			if int(voter[1]-'0') != k {
				continue
			}
			n := int(candidateName[1] - '0')
			c = append(c, m.Term<<40|s.requestAge(m)<<8|uint64(m.Kind)<<4|uint64(n))
		}
		slices.Sort(c[messagesStart:])
		chunks[k] = c
	}
	slices.SortFunc(chunks[:], slices.Compare)
	h := explore.NewHash()
	add := h.Add
	for _, c := range chunks {
		add(uint64(len(c)))
		for _, v := range c {
			add(v)
		}
	}
	for k := range s.candidates {
		c, now := &s.candidates[k], s.clock(k)
		add(uint64(c.stage)<<60 | c.term<<40 | uint64(s.roundsLeft[k])<<1)
		if c.stage >= campaigning {
			add(uint64(remaining(c.leaseEnd, now))<<32 |
				uint64(remaining(now, c.requestedAt[c.round%trackedRounds])))
		}
		wantsRole := uint64(0)
		if c.campaigning {
			wantsRole = 1
		}
		add(s.checkedTerms[k]<<1 | wantsRole)
	}
	add(s.highestCommand<<32 | s.highestOwned<<4 | uint64(s.ownedBy+1))
	add(uint64(s.unitsLeft)<<40 | uint64(s.restartsLeft)<<32 | uint64(s.duplicatesLeft)<<24 |
		uint64(s.drainsLeft)<<16 | uint64(s.commandsLeft)<<8 | uint64(s.delaysLeft)<<4 | uint64(s.lossesLeft))
	return uint64(h)
}

// describe returns a line of the trace for an event.
func (s *state) describe(act uint16) string {
	description := map[uint16]string{eventTimePasses: "time passes",
		eventTick: "c%d campaigns, renews, or gives up its expired lease", eventRestart: "v%d restarts",
		eventDrain: "c%d stops campaigning", eventCheckLease: "c%d checks its lease for a command",
		eventSendCommand: "c%d sends its command"}[act&^0xff]
	switch {
	case strings.Contains(description, "%d"):
		description = fmt.Sprintf(description, act&0xff)
	case description == "":
		m := s.inFlight[act&0xff]
		kinds := []string{"pre-vote", "request vote", "renew", "step down", "pre-vote granted", "granted",
			"rejected"}
		description = fmt.Sprintf("%s to %s: %s, term %d", m.From.Name, m.To, kinds[m.Kind], m.Term) +
			map[uint16]string{eventRequest: ", and the answer arrives",
				eventAnswerLost: ", and the answer is lost", eventAnswerDelayed: ", and the answer stays in flight",
				eventRequestDuplicated: ", the answer is lost, and the request stays in flight"}[act&^0xff]
	}
	description = fmt.Sprintf("%.2f %s", float64(s.elapsedUnits)*s.timeUnit, description)
	next := s.apply(act)
	for k := range next.candidates {
		if term, _, ok := next.candidates[k].Owns(next.clock(k)); ok {
			description += fmt.Sprintf("; c%d owns %d", k, term)
		}
	}
	return description
}

func (b bounds) walk(timing Timing) explore.Result {
	return explore.Model[*state]{Initial: b.initialState(timing), Actions: (*state).events,
		Apply: (*state).apply, Key: (*state).key,
		Violation: func(s *state) string { return s.violation }, Describe: (*state).describe}.Walk(8e6)
}

// wideDriftTiming has so much drift that its effects show within quarters of a lease.
var wideDriftTiming = Timing{Lease: 1, Drift: 0.3, Margin: 0.02}

var (
	initialVoters = [][]string{{"v0", "v1", "v2"}}
	changedVoters = [][]string{{"v0", "v1", "v3"}}
	jointVoters   = [][]string{{"v0", "v1", "v2"}, {"v0", "v1", "v3"}}
	sameLists     = [2][][]string{initialVoters, initialVoters}

	firstSlow  = [3]float64{0.87, 1.13, 1.13} // the first candidate's clock lags by almost the bound
	secondSlow = [3]float64{1.13, 0.87, 1.13}
	votersSlow = [3]float64{1.13, 1.13, 0.87}
)

var long = flag.Bool("long", false, "also explore the models that take minutes")

// selectBounds returns the first two bounds under the race detector, which is slow, and adds the largest
// with -long.
func selectBounds(all []bounds) []bounds {
	if explore.RaceEnabled {
		return all[:2]
	}
	if *long {
		all = append(all, bounds{timeUnit: 0.25, unitsLeft: 5, roundsLeft: [2]int8{2, 1},
			clockRates: votersSlow, lists: sameLists},
			bounds{timeUnit: 0.5, unitsLeft: 3, roundsLeft: [2]int8{1, 2}, clockRates: firstSlow,
				lists: [2][][]string{changedVoters, jointVoters}},
			bounds{timeUnit: 0.5, unitsLeft: 3, roundsLeft: [2]int8{2, 1}, clockRates: firstSlow,
				lists: sameLists, delaysLeft: 1})
	}
	return all
}

// No sequence of events within the bounds leads to a violation.
func TestExhaustive(t *testing.T) {
	for _, b := range selectBounds([]bounds{
		{timeUnit: 0.5, unitsLeft: 3, roundsLeft: [2]int8{1, 1}, clockRates: firstSlow, lists: sameLists,
			persistent: true, restartsLeft: 1},
		{timeUnit: 0.5, unitsLeft: 3, roundsLeft: [2]int8{1, 1}, clockRates: firstSlow, lists: sameLists,
			commandsLeft: 2},
		{timeUnit: 0.5, unitsLeft: 3, roundsLeft: [2]int8{2, 1}, clockRates: firstSlow, lists: sameLists,
			persistent: true, restartsLeft: 1},
		{timeUnit: 0.5, unitsLeft: 3, roundsLeft: [2]int8{1, 1}, clockRates: firstSlow, lists: sameLists,
			restartsLeft: 2},
		{timeUnit: 0.5, unitsLeft: 3, roundsLeft: [2]int8{1, 1}, clockRates: firstSlow, lists: sameLists,
			delaysLeft: 1, lossesLeft: 1, duplicatesLeft: 1},
		{timeUnit: 0.5, unitsLeft: 3, roundsLeft: [2]int8{1, 1}, clockRates: secondSlow, lists: sameLists,
			delaysLeft: 1, restartsLeft: 1, persistent: true, drainsLeft: 1},
		{timeUnit: 0.25, unitsLeft: 5, roundsLeft: [2]int8{1, 1}, clockRates: firstSlow, lists: sameLists,
			persistent: true, restartsLeft: 1},
		{timeUnit: 0.5, unitsLeft: 3, roundsLeft: [2]int8{1, 2}, clockRates: firstSlow,
			lists: [2][][]string{initialVoters, jointVoters}},
		{timeUnit: 0.5, unitsLeft: 3, roundsLeft: [2]int8{1, 1}, clockRates: votersSlow,
			lists: [2][][]string{changedVoters, jointVoters}},
	}) {
		t.Run("", func(t *testing.T) {
			began := time.Now()
			r := b.walk(wideDriftTiming)
			t.Logf("%+v: %d states, depth %d, %.1f s", b, r.States, r.Depth, time.Since(began).Seconds())
			if r.Violation != "" || !r.Complete {
				t.Fatalf("%s (complete: %v)\n%s", r.Violation, r.Complete, r.Trace)
			}
		})
	}
}

// Disabling any one rule leads to a violation, and so does a change of voters without the joint step between
// the lists.
func TestDisabledRules(t *testing.T) {
	for _, test := range []struct {
		description string
		rule        Rule
		bounds
	}{
		{"the margin", Margins, bounds{timeUnit: 0.5, unitsLeft: 3, roundsLeft: [2]int8{1, 1},
			clockRates: firstSlow, lists: sameLists}},
		{"votes across a restart", PersistedVotes,
			bounds{timeUnit: 0.5, unitsLeft: 3, roundsLeft: [2]int8{1, 1}, clockRates: firstSlow,
				lists: sameLists, persistent: true, restartsLeft: 1}},
		{"silence without votes", StartupSilence, bounds{timeUnit: 0.5, unitsLeft: 3, roundsLeft: [2]int8{1,
			1}, clockRates: firstSlow, lists: sameLists, restartsLeft: 1}},
		{"counting from the request", FromRequest,
			bounds{timeUnit: 0.5, unitsLeft: 3, roundsLeft: [2]int8{1, 1}, clockRates: firstSlow,
				lists: sameLists, delaysLeft: 2}},
		{"the fence", Fences, bounds{timeUnit: 0.5, unitsLeft: 3, roundsLeft: [2]int8{1, 1},
			clockRates: firstSlow, lists: sameLists, commandsLeft: 2}},
		{"the joint step between two lists", 0, bounds{timeUnit: 0.5, unitsLeft: 1, roundsLeft: [2]int8{1,
			1}, clockRates: firstSlow, lists: [2][][]string{initialVoters, {{"v0", "v3", "v4"}}}}},
	} {
		timing := wideDriftTiming
		timing.Disabled = test.rule
		r := test.walk(timing)
		t.Logf("without %s: %s, after %d states\n%s", test.description, r.Violation, r.States, r.Trace)
		if r.Violation == "" {
			t.Errorf("without %s no violation is found", test.description)
		}
	}
}
