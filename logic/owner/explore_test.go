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

// bounds are what may happen at the most.
type bounds struct {
	unit    float64    // of time, in leases
	units   int        // that pass
	rounds  [2]int8    // claims and renewals that a candidate begins
	again   int8       // voters that start again
	lost    int8       // answers that are lost, where the voter keeps its vote for nothing; questions are lost freely
	late    int8       // answers that come later
	doubled int8       // questions that come twice
	drains  int8       // candidates that leave
	orders  int8       // that are checked
	disk    bool       // whether voters have one
	rates   [3]float64 // of the candidates' clocks, and of the voters'
	lists   [2][][]string
}

// state is all there is at one time.
type state struct {
	at     int
	voters [mostVoters]Voter
	disk   [mostVoters]Vote
	wrote  [mostVoters]int
	cand   [2]Candidate
	flight []Message
	hand   [2]uint64
	fence  uint64
	owned  uint64 // the highest term that was owned, and by whom
	by     int
	bounds // what is left of them
	timing Timing
	broken string
}

// mostVoters is how many there are: three, and those of another list.
const mostVoters = 5

var voterNames = []string{"v0", "v1", "v2", "v3", "v4"}

func (s *state) clock(k int) float64 { return float64(s.at) * s.unit * s.rates[k] }

func (b bounds) begin(timing Timing) *state {
	s := &state{bounds: b, timing: timing, by: -1}
	for k := range s.voters {
		s.voters[k] = *NewVoter(voterNames[k], nil, true, 0, 0, timing)
		s.wrote[k] = math.MinInt32
	}
	for k := range s.cand {
		s.cand[k] = *NewCandidate(Incarnation{fmt.Sprintf("c%d", k), 1}, "o", b.lists[k], 1, 0, timing)
		s.cand[k].campaigning = true
	}
	return s
}

// What can happen, each with whom or what it happens to.
const (
	passes  = iota << 8
	ticks   // a candidate renews, or campaigns
	takes   // a voter takes a question, and its answer is heard at once
	loses   // a voter takes a question, and its answer is lost
	delays  // a voter takes a question, and its answer is on its way
	doubles // a voter takes a question, and its answer is lost; the question comes again
	hears   // a candidate hears an answer that was on its way
	starts
	leaves
	checks
	sends
)

// acts lists what can happen.
func (s *state) acts(all []uint16) []uint16 {
	if s.cand[0].round == 0 {
		return append(all, ticks) // somebody is first, and what is before that is of no matter
	}
	if s.units > 0 {
		all = append(all, passes)
	}
	for k := range s.cand {
		c, now := &s.cand[k], s.clock(k)
		if c.stage == leading && now >= c.until || c.stage == campaigning || c.campaigning && s.rounds[k] > 0 {
			all = append(all, ticks|uint16(k))
		}
		if s.drains > 0 && c.campaigning && c.stage == leading {
			all = append(all, leaves|uint16(k))
		}
		if _, _, ok := c.Owns(now); ok && s.orders > 0 && s.hand[k] == 0 {
			all = append(all, checks|uint16(k))
		}
		if s.hand[k] != 0 {
			all = append(all, sends|uint16(k))
		}
	}
	for k, m := range s.flight {
		if m.Kind > StepDown {
			all = append(all, hears|uint16(k))
			continue
		}
		all = append(all, takes|uint16(k))
		if m.Kind == StepDown {
			continue
		}
		if s.lost > 0 {
			all = append(all, loses|uint16(k))
		}
		if s.late > 0 && s.age(m) > 0 {
			all = append(all, delays|uint16(k))
		}
		if s.doubled > 0 {
			all = append(all, doubles|uint16(k))
		}
	}
	if s.again > 0 {
		for k, name := range voterNames {
			if slices.Contains(s.cand[0].voters, name) || slices.Contains(s.cand[1].voters, name) {
				all = append(all, starts|uint16(k))
			}
		}
	}
	return all
}

// after is what comes of it.
func (before *state) after(act uint16) *state {
	next := *before
	s := &next
	s.flight = slices.Clone(before.flight)
	k := int(act & 0xff)
	switch act &^ 0xff {
	case passes:
		s.at++
		s.units--
	case ticks:
		s.tick(k)
	case leaves:
		s.drains--
		s.cand[k].SetCampaigning(false, s.clock(k))
	case checks:
		s.orders--
		s.hand[k], _, _ = s.cand[k].Owns(s.clock(k))
	case sends:
		f := NewFence(s.timing)
		f.highest["o"] = s.fence
		if known, ok := f.Pass("o", s.hand[k]); !ok {
			s.cand[k].HandleStaleTerm(known, s.clock(k))
		} else if s.hand[k] < s.fence {
			s.broken = fmt.Sprintf("an order of term %d had its effect after one of %d", s.hand[k], s.fence)
		}
		s.fence, s.hand[k] = f.highest["o"], 0
	case starts:
		s.again--
		kept, whole := map[string]Vote(nil), false
		if s.disk[k].Term > 0 && s.bounds.disk {
			kept, whole = map[string]Vote{"o": s.disk[k]}, float64(s.at-s.wrote[k])*s.unit < s.timing.Lease/2
		}
		s.voters[k] = *NewVoter(voterNames[k], kept, whole, uint64(1000*(s.at+1)), s.clock(2), s.timing)
	case hears:
		s.hear(s.flight[k])
		s.flight = slices.Delete(s.flight, k, k+1)
	case takes, loses, delays, doubles:
		m := s.flight[k]
		if act&^0xff == doubles {
			s.doubled--
		} else {
			s.flight = slices.Delete(s.flight, k, k+1)
		}
		a, ok := s.take(m)
		switch act &^ 0xff {
		case loses:
			s.lost--
		case takes:
			if ok {
				s.hear(a)
			}
		case delays:
			s.late--
			if ok {
				s.flight = append(s.flight, a)
			}
		}
	}
	for k := range s.cand {
		s.flight = append(s.flight, s.cand[k].Ready()...)
		s.cand[k].drawn, s.cand[k].other = 0, Message{}
		s.cand[k].due = s.clock(k) // it may do what is next at any time: how long it waits is no part of what keeps others out
	}
	s.flight = slices.DeleteFunc(s.flight, s.idle)
	s.look()
	return s
}

// tick has a candidate do what is next. That it asks first whether it would win keeps it from disturbing others, and keeps
// nobody out: so it is taken to have been told by everybody that it would, and every term.
func (s *state) tick(k int) {
	c, now := &s.cand[k], s.clock(k)
	round := c.round
	c.Tick(now)
	if c.stage == prevoting {
		for v := range s.voters {
			c.highest = max(c.highest, s.voters[v].votes["o"].Term, s.voters[v].minTerm)
		}
		for _, name := range voterNames {
			c.HandleAnswer(Message{Kind: PreVoteGranted, Role: "o", From: Incarnation{Name: name}, Round: c.round}, now)
		}
	}
	if c.round != round && c.stage >= campaigning {
		s.rounds[k]--
	}
	c.ready = slices.DeleteFunc(c.ready, func(m Message) bool { return m.Kind == PreVote })
}

func (s *state) hear(m Message) { s.cand[m.To[1]-'0'].HandleAnswer(m, s.clock(int(m.To[1]-'0'))) }

// take has a voter answer. A refusal is as good as lost: all that it brings about is that somebody steps down.
func (s *state) take(m Message) (Message, bool) {
	k := int(m.To[1] - '0')
	v := &s.voters[k]
	v.votes, v.rejected = maps.Clone(v.votes), map[string][]Message{}
	answers := v.HandleMessage(m, s.clock(2))
	if len(answers) == 0 {
		return Message{}, false
	}
	a := answers[0]
	if a.Sync {
		s.disk[k], s.wrote[k] = v.votes["o"], s.at
	}
	return a, a.Kind == Granted
}

// idle tells what can have no effect any more, whenever it comes.
func (s *state) idle(m Message) bool {
	if m.Kind > StepDown {
		c := &s.cand[m.To[1]-'0']
		return s.age(m) == 0 || c.acked[slices.Index(c.voters, m.From.Name)] >= c.asked[m.Round%rounds]
	}
	v := &s.voters[m.To[1]-'0']
	p := v.votes["o"]
	return m.Term < p.Term || m.Term == p.Term && p.Holder != m.From || m.Kind == StepDown && m.Term > p.Term || m.Term <= v.minTerm && m.Term != p.Term
}

// age is how long ago the question was asked, for an answer that still counts, in some small unit and from one; 0 for others.
func (s *state) age(m Message) uint64 {
	k := m.From.Name[1] - '0'
	if m.Kind > StepDown {
		k = m.To[1] - '0'
	}
	c := &s.cand[k]
	if m.Kind == StepDown || c.stage != campaigning && c.stage != leading || m.Term != c.term || m.Round < c.first {
		return 0
	}
	return uint64(math.Round((s.clock(int(k))-c.asked[m.Round%rounds])*1e5)) + 1
}

// look asks what must hold at any time.
func (s *state) look() {
	owners := 0
	for k := range s.cand {
		term, _, ok := s.cand[k].Owns(s.clock(k))
		if !ok {
			continue
		}
		owners++
		switch {
		case term == s.owned && s.by != k:
			s.broken = fmt.Sprintf("term %d has two owners", term)
		case term < s.owned && s.by != k:
			s.broken = fmt.Sprintf("term %d is owned after %d", term, s.owned)
		case term > s.owned:
			s.owned, s.by = term, k
		}
	}
	if owners > 1 {
		s.broken = "two owners at one time"
	}
}

// key is what makes it another state, as a number: voters in the order of what is said of them, times as what is left.
func (s *state) key() uint64 {
	left := func(at, now float64) uint32 { return uint32(max(0, math.Round((at-now)*1e5))) }
	var parts [mostVoters][16]uint64
	var chunks [mostVoters][]uint64
	for k := range s.voters {
		v, p := &s.voters[k], s.voters[k].votes["o"]
		now := s.clock(2)
		holder := uint64(0)
		if p.Term > 0 {
			holder = uint64(p.Holder.Name[1]-'0') + 1
		}
		c := append(parts[k][:0], p.Term<<34|holder<<32|uint64(left(p.Until, now)), v.minTerm<<32|uint64(left(v.silentUntil, now)))
		if d := s.disk[k]; d.Term > 0 && s.again > 0 && s.bounds.disk {
			c = append(c, d.Term<<8|uint64(d.Holder.Name[1]-'0')<<4|uint64(min(s.at-s.wrote[k], 3)))
		} else {
			c = append(c, 0)
		}
		said := uint64(0)
		for n := range s.cand {
			asked := slices.Index(s.cand[n].voters, voterNames[k])
			if said <<= 28; asked < 0 {
				continue
			}
			said |= 1
			if at := s.cand[n].acked[asked]; s.cand[n].stage >= campaigning && !math.IsInf(at, -1) {
				said |= 2 | uint64(left(s.clock(n), at))<<2
			}
		}
		c = append(c, said)
		from := len(c)
		for _, m := range s.flight {
			who, voter := m.From.Name, m.To
			if m.Kind > StepDown {
				who, voter = m.To, m.From.Name
			}
			if int(voter[1]-'0') != k {
				continue
			}
			n := int(who[1] - '0')
			c = append(c, m.Term<<40|s.age(m)<<8|uint64(m.Kind)<<4|uint64(n))
		}
		slices.Sort(c[from:])
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
	for k := range s.cand {
		c, now := &s.cand[k], s.clock(k)
		add(uint64(c.stage)<<60 | c.term<<40 | uint64(s.rounds[k])<<1)
		if c.stage >= campaigning {
			add(uint64(left(c.until, now))<<32 | uint64(left(now, c.asked[c.round%rounds])))
		}
		wants := uint64(0)
		if c.campaigning {
			wants = 1
		}
		add(s.hand[k]<<1 | wants)
	}
	add(s.fence<<32 | s.owned<<4 | uint64(s.by+1))
	add(uint64(s.units)<<40 | uint64(s.again)<<32 | uint64(s.doubled)<<24 | uint64(s.drains)<<16 | uint64(s.orders)<<8 | uint64(s.late)<<4 | uint64(s.lost))
	return uint64(h)
}

// tell says what happens, for people.
func (s *state) tell(act uint16) string {
	what := map[uint16]string{passes: "time passes", ticks: "c%d campaigns, or renews, or sees that its lease is over", starts: "v%d starts again",
		leaves: "c%d leaves", checks: "c%d checks its lease, and has an order in its hands", sends: "c%d sends its order"}[act&^0xff]
	switch {
	case strings.Contains(what, "%d"):
		what = fmt.Sprintf(what, act&0xff)
	case what == "":
		m := s.flight[act&0xff]
		words := []string{"would you?", "claim", "renew", "resign", "I would", "granted", "refused"}
		what = fmt.Sprintf("%s to %s: %s, term %d", m.From.Name, m.To, words[m.Kind], m.Term) + map[uint16]string{takes: ", and hears the answer",
			loses: ", and the answer is lost", delays: ", and the answer is on its way", doubles: ", the answer is lost, and it will come again"}[act&^0xff]
	}
	what = fmt.Sprintf("%.2f %s", float64(s.at)*s.unit, what)
	after := s.after(act)
	for k := range after.cand {
		if term, _, ok := after.cand[k].Owns(after.clock(k)); ok {
			what += fmt.Sprintf("; c%d owns %d", k, term)
		}
	}
	return what
}

func (b bounds) walk(timing Timing) explore.Result {
	return explore.World[*state]{Begin: b.begin(timing), Acts: (*state).acts, After: (*state).after, Key: (*state).key,
		Wrong: func(s *state) string { return s.broken }, Tell: (*state).tell}.Walk(8e6)
}

// drifting is a bound on drift so wide that it shows within quarters of a lease.
var drifting = Timing{Lease: 1, Drift: 0.3, Margin: 0.02}

var (
	known = [][]string{{"v0", "v1", "v2"}}
	next  = [][]string{{"v0", "v1", "v3"}}
	both  = [][]string{{"v0", "v1", "v2"}, {"v0", "v1", "v3"}}
	alike = [2][][]string{known, known}

	firstSlow  = [3]float64{0.87, 1.13, 1.13} // the owner's clock lags by as much as it may
	secondSlow = [3]float64{1.13, 0.87, 1.13}
	votersSlow = [3]float64{1.13, 1.13, 0.87}
)

var long = flag.Bool("long", false, "walk through what takes minutes too")

// small is what there is time for: little under the race detector, all but the largest otherwise.
func small(all []bounds) []bounds {
	if explore.Race {
		return all[:2]
	}
	if *long {
		all = append(all, bounds{unit: 0.25, units: 5, rounds: [2]int8{2, 1}, rates: votersSlow, lists: alike},
			bounds{unit: 0.5, units: 3, rounds: [2]int8{1, 2}, rates: firstSlow, lists: [2][][]string{next, both}},
			bounds{unit: 0.5, units: 3, rounds: [2]int8{2, 1}, rates: firstSlow, lists: alike, late: 1})
	}
	return all
}

// Everything that can happen within the bounds, and nothing goes wrong.
func TestExhaustive(t *testing.T) {
	for _, b := range small([]bounds{
		{unit: 0.5, units: 3, rounds: [2]int8{1, 1}, rates: firstSlow, lists: alike, disk: true, again: 1},
		{unit: 0.5, units: 3, rounds: [2]int8{1, 1}, rates: firstSlow, lists: alike, orders: 2},
		{unit: 0.5, units: 3, rounds: [2]int8{2, 1}, rates: firstSlow, lists: alike, disk: true, again: 1},
		{unit: 0.5, units: 3, rounds: [2]int8{1, 1}, rates: firstSlow, lists: alike, again: 2},
		{unit: 0.5, units: 3, rounds: [2]int8{1, 1}, rates: firstSlow, lists: alike, late: 1, lost: 1, doubled: 1},
		{unit: 0.5, units: 3, rounds: [2]int8{1, 1}, rates: secondSlow, lists: alike, late: 1, again: 1, disk: true, drains: 1},
		{unit: 0.25, units: 5, rounds: [2]int8{1, 1}, rates: firstSlow, lists: alike, disk: true, again: 1},
		{unit: 0.5, units: 3, rounds: [2]int8{1, 2}, rates: firstSlow, lists: [2][][]string{known, both}},
		{unit: 0.5, units: 3, rounds: [2]int8{1, 1}, rates: votersSlow, lists: [2][][]string{next, both}},
	}) {
		t.Run("", func(t *testing.T) {
			began := time.Now()
			r := b.walk(drifting)
			t.Logf("%+v: %d states, depth %d, %.1f s", b, r.States, r.Depth, time.Since(began).Seconds())
			if r.Wrong != "" || !r.Complete {
				t.Fatalf("%s (complete: %v)\n%s", r.Wrong, r.Complete, r.Trace)
			}
		})
	}
}

// Each rule that is left out is missed, with a shortest trace that shows how; and so is a change of voters that skips the
// step between.
func TestFound(t *testing.T) {
	for _, one := range []struct {
		what string
		rule Rule
		bounds
	}{
		{"the margin", Margins, bounds{unit: 0.5, units: 3, rounds: [2]int8{1, 1}, rates: firstSlow, lists: alike}},
		{"votes over a restart", PersistedVotes, bounds{unit: 0.5, units: 3, rounds: [2]int8{1, 1}, rates: firstSlow, lists: alike, disk: true, again: 1}},
		{"silence without votes", Silence, bounds{unit: 0.5, units: 3, rounds: [2]int8{1, 1}, rates: firstSlow, lists: alike, again: 1}},
		{"counting from the question", FromRequest, bounds{unit: 0.5, units: 3, rounds: [2]int8{1, 1}, rates: firstSlow, lists: alike, late: 2}},
		{"the fence", Fences, bounds{unit: 0.5, units: 3, rounds: [2]int8{1, 1}, rates: firstSlow, lists: alike, orders: 2}},
		{"the step between two lists", 0, bounds{unit: 0.5, units: 1, rounds: [2]int8{1, 1}, rates: firstSlow, lists: [2][][]string{known, {{"v0", "v3", "v4"}}}}},
	} {
		timing := drifting
		timing.Disabled = one.rule
		r := one.walk(timing)
		t.Logf("without %s: %s, after %d states\n%s", one.what, r.Wrong, r.States, r.Trace)
		if r.Wrong == "" {
			t.Errorf("without %s nothing goes wrong", one.what)
		}
	}
}
