package owner

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"valveglade/rig/explore"
)

// lending is a role that changes hands once, two requesters with slow clocks, and what they have under way. That the former
// owner's lease is over before the next one begins is what TestExhaustive is for; here it is taken for granted, and nothing
// else is: a question or an answer may come at any time, twice or never, and a requester may not have heard of the new owner.
type lending struct {
	lease      Lease
	at         int
	units      int
	asks       [2]int8
	doubled    int8
	deaths     int8
	second     bool // the second owner has begun
	owners     [2]Grantor
	requesters [2]Requester
	heard      [2]bool // of the second owner
	requests   []Request
	answers    []Answer
	under      [3][lendable]float64 // until when each part may be in use, by requester; last, one that died
}

const (
	lendable  = 2
	lendUnit  = 0.5
	slowClock = 0.87 // of requesters
	fastClock = 1.13 // of owners: the two drift apart by almost the bound
)

func (s *lending) ownersClock() float64     { return float64(s.at) * lendUnit * fastClock }
func (s *lending) requestersClock() float64 { return float64(s.at) * lendUnit * slowClock }

// used is how much one may have under way now.
func (s *lending) used(k int) int {
	n := 0
	for _, until := range s.under[k] {
		if s.requestersClock() < until {
			n++
		}
	}
	return n
}

const (
	lendPasses  = iota << 8
	lendNext    // the second owner takes over
	lendHears   // a requester hears that it has
	lendAsks    // a requester asks
	lendDies    // a requester dies, and another incarnation of it begins
	lendGrants  // a question comes: low bits whose and what is granted at the most
	lendDoubles // the same, and the question comes again
	lendTakes   // an answer comes
)

func (s *lending) acts(all []uint16) []uint16 {
	if s.units > 0 {
		all = append(all, lendPasses)
	}
	if !s.second {
		all = append(all, lendNext)
	}
	for k := range s.requesters {
		if s.second && !s.heard[k] {
			all = append(all, lendHears|uint16(k))
		}
		if s.asks[k] > 0 {
			all = append(all, lendAsks|uint16(k))
		}
		if s.deaths > 0 && k == 0 {
			all = append(all, lendDies)
		}
	}
	for k := range s.requests {
		for n := range lendable + 1 {
			all = append(all, lendGrants|uint16(k)<<2|uint16(n))
			if s.doubled > 0 {
				all = append(all, lendDoubles|uint16(k)<<2|uint16(n))
			}
		}
	}
	for k := range s.answers {
		all = append(all, lendTakes|uint16(k))
	}
	return all
}

func (before *lending) after(act uint16) *lending {
	next := *before
	s := &next
	k := int(act & 0xff)
	switch what := act &^ 0xff; what {
	case lendPasses:
		s.at++
		s.units--
	case lendNext:
		s.second = true
		s.owners[1] = *NewGrantor("o", 2, lendable, s.ownersClock(), s.lease)
	case lendHears:
		s.heard[k] = true
		s.requesters[k].ObserveTerm(2)
	case lendAsks:
		s.asks[k]--
		s.requests = append(slices.Clone(s.requests), s.requesters[k].Request(lendable, s.used(k), s.requestersClock()))
	case lendDies:
		s.deaths--
		s.under[2] = s.under[0]
		s.under[0] = [lendable]float64{}
		s.heard[0] = false
		s.requesters[0] = *NewRequester(Incarnation{"a0", 2}, "o", s.lease)
		s.requesters[0].ObserveTerm(1)
	case lendGrants, lendDoubles:
		q := s.requests[k>>2]
		if what == lendDoubles {
			s.doubled--
		} else {
			s.requests = slices.Delete(slices.Clone(s.requests), k>>2, k>>2+1)
		}
		owner := 0
		if s.second {
			owner = 1 // the first one's lease is over: it answers nothing, though it may have answered just before
		}
		g := &s.owners[owner]
		*g = *g.Clone()
		if g.HandleRequest(q, s.ownersClock()) {
			s.answers = append(slices.Clone(s.answers), g.Grant(q, k&3, s.ownersClock()))
		}
	case lendTakes:
		m := s.answers[k]
		s.answers = slices.Delete(slices.Clone(s.answers), k, k+1)
		s.take(m)
	}
	s.requests = slices.DeleteFunc(slices.Clone(s.requests), func(q Request) bool { return q.From != s.requesters[q.From.Name[1]-'0'].self })
	s.answers = slices.DeleteFunc(slices.Clone(s.answers), func(m Answer) bool {
		a := &s.requesters[m.To.Name[1]-'0']
		return m.To != a.self || m.Number < a.number && s.lease.enabled(Current)
	})
	return s
}

// take has a requester use all that it is granted, and go on with what it had for as long as it may.
func (s *lending) take(m Answer) {
	k, now := int(m.To.Name[1]-'0'), s.requestersClock()
	a := &s.requesters[k]
	before, _ := a.Holds(now)
	if !a.HandleAnswer(m, now) {
		return
	}
	for n := range lendable {
		if n < a.holds {
			s.under[k][n] = a.until + s.lease.Grace
		} else if n < before {
			s.under[k][n] = now + s.lease.Grace
		}
	}
}

func (s *lending) wrong() string {
	all := 0
	for k := range s.under {
		all += s.used(k)
	}
	if all > lendable {
		return fmt.Sprintf("%d of %d are in use", all, lendable)
	}
	return ""
}

func (s *lending) key() uint64 {
	h := explore.NewHash()
	left := func(at, now float64) uint64 { return uint64(max(0, math.Round((at-now)*1e4))) }
	bit := func(b bool) uint64 {
		if b {
			return 1
		}
		return 0
	}
	h.Add(uint64(s.units)<<32 | uint64(s.asks[0])<<24 | uint64(s.asks[1])<<16 | uint64(s.doubled)<<8 | uint64(s.deaths)<<4 | bit(s.second))
	for k := range s.requesters {
		a := &s.requesters[k]
		h.Add(a.self.ID<<32 | a.number<<24 | uint64(a.holds)<<16 | bit(s.heard[k]))
		h.Add(left(a.until, s.requestersClock())<<32 | left(s.requestersClock(), a.asked))
	}
	for _, u := range s.under {
		for _, until := range u {
			h.Add(left(until, s.requestersClock()))
		}
	}
	g := &s.owners[0]
	if s.second {
		g = &s.owners[1]
	}
	h.Add(left(g.settled, s.ownersClock())<<8 | uint64(g.confirmed))
	for _, incarnation := range slices.SortedFunc(maps.Keys(g.ledger), func(a, b Incarnation) int { return int(a.Name[1]) - int(b.Name[1]) + 4*int(a.ID) - 4*int(b.ID) }) {
		o := g.ledger[incarnation]
		h.Add(uint64(incarnation.Name[1])<<32 | incarnation.ID<<24 | o.number<<16 | uint64(o.reported)<<8 | uint64(o.granted))
		h.Add(left(o.reportedUntil, s.ownersClock())<<32 | left(o.grantedUntil, s.ownersClock()))
	}
	var flight []uint64
	for _, q := range s.requests {
		flight = append(flight, 1<<60|uint64(q.From.Name[1]-'0')<<58|q.Number<<50|q.Term<<46|uint64(q.Holds)<<44|uint64(q.Uses)<<42|left(q.Left, 0))
	}
	for _, m := range s.answers {
		flight = append(flight, uint64(m.To.Name[1]-'0')<<58|m.Number<<50|m.Term<<46|uint64(m.Grants)<<44)
	}
	slices.Sort(flight)
	for _, v := range flight {
		h.Add(v)
	}
	return uint64(h)
}

func (s *lending) tell(act uint16) string {
	k := act & 0xff
	when := fmt.Sprintf("%.1f ", float64(s.at)*lendUnit)
	switch act &^ 0xff {
	case lendPasses:
		return when + "time passes"
	case lendNext:
		return when + "the second owner takes over"
	case lendHears:
		return when + fmt.Sprintf("a%d hears of the second owner", k)
	case lendAsks:
		holds, _ := s.requesters[k].Holds(s.requestersClock())
		return when + fmt.Sprintf("a%d asks, holding %d", k, holds)
	case lendDies:
		return when + "a0 dies, what it began goes on, and another incarnation of it begins"
	case lendTakes:
		m := s.answers[k]
		return when + fmt.Sprintf("a%d hears answer %d: %d", m.To.Name[1]-'0', m.Number, m.Grants)
	}
	q := s.requests[k>>2]
	return when + fmt.Sprintf("question %d of a%d comes, under term %d; %d are to be granted", q.Number, q.From.Name[1]-'0', q.Term, k&3)
}

func lend(lease Lease, asks [2]int8, units int, doubled, deaths int8, most int) explore.Result {
	s := &lending{lease: lease, units: units, asks: asks, doubled: doubled, deaths: deaths}
	s.owners[0] = *NewGrantor("o", 1, lendable, -9, lease)
	for k := range s.requesters {
		s.requesters[k] = *NewRequester(Incarnation{fmt.Sprintf("a%d", k), 1}, "o", lease)
		s.requesters[k].ObserveTerm(1)
	}
	return explore.World[*lending]{Begin: s, Acts: (*lending).acts, After: (*lending).after, Key: (*lending).key, Wrong: (*lending).wrong, Tell: (*lending).tell}.Walk(most)
}

var grantLease = Lease{Length: 1, Grace: 0.4, Drift: 0.3}

// Whatever comes when, the parts in use are never more than there are, through a change of owner of which requesters may not have
// heard.
func TestGrantsExhaustive(t *testing.T) {
	type bounds struct {
		asks            [2]int8
		units           int
		doubled, deaths int8
	}
	all := []bounds{{[2]int8{1, 1}, 4, 1, 0}, {[2]int8{2, 1}, 4, 0, 0}, {[2]int8{2, 1}, 5, 0, 0}, {[2]int8{2, 1}, 4, 1, 0}, {[2]int8{2, 1}, 4, 0, 1}}
	if explore.Race {
		all = all[:1]
	}
	for _, one := range all {
		began := time.Now()
		r := lend(grantLease, one.asks, one.units, one.doubled, one.deaths, 4e6)
		t.Logf("%+v: %d states, depth %d, %.1f s", one, r.States, r.Depth, time.Since(began).Seconds())
		if r.Wrong != "" || !r.Complete {
			t.Fatalf("%s (complete: %v)\n%s", r.Wrong, r.Complete, r.Trace)
		}
	}
}

// Each rule that is left out is missed.
func TestGrantsMissed(t *testing.T) {
	for _, rule := range []Rule{FromRequest, Settled, Current, Tails, Addressed} {
		if rule == Addressed && explore.Race {
			break // it is found late
		}
		lease := grantLease
		lease.Disabled = rule
		r := lend(lease, [2]int8{2, 1}, 4, 0, 0, 4e6)
		t.Logf("rule %b left out: %s after %d states\n%s", rule, r.Wrong, r.States, r.Trace)
		if r.Wrong == "" {
			t.Errorf("rule %b is left out, and nobody notices", rule)
		}
	}
}
