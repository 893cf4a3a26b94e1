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

// grantModel is a role that changes hands once, two requesters with slow clocks, and their permits in use. It
// assumes that the former owner's lease has expired before the next one's begins, which TestExhaustive
// checks, and nothing else: a request or an answer may arrive at any time, twice or never, and a requester
// may not know the new owner.
type grantModel struct {
	lease          Lease
	elapsedUnits   int
	unitsLeft      int
	requestsLeft   [2]int8
	duplicatesLeft int8
	restartsLeft   int8
	secondOwner    bool // the second owner has taken over
	owners         [2]Grantor
	requesters     [2]Requester
	knowsSecond    [2]bool // whether each requester knows the second owner
	requests       []Request
	answers        []Answer
	inUseUntil     [3][permitCount]float64 // of each permit, by requester; the last entry is for one that died
}

const (
	permitCount = 2
	timeUnit    = 0.5
	slowClock   = 0.87 // of requesters
	fastClock   = 1.13 // of owners: the two drift apart by almost the bound
)

func (s *grantModel) ownerClock() float64     { return float64(s.elapsedUnits) * timeUnit * fastClock }
func (s *grantModel) requesterClock() float64 { return float64(s.elapsedUnits) * timeUnit * slowClock }

// inUse returns how many permits a requester may be using now.
func (s *grantModel) inUse(k int) int {
	n := 0
	for _, until := range s.inUseUntil[k] {
		if s.requesterClock() < until {
			n++
		}
	}
	return n
}

const (
	actionTimePasses     = iota << 8
	actionSecondOwner    // the second owner takes over
	actionObserveTerm    // a requester learns of the second owner
	actionRequest        // a requester sends a request
	actionRestart        // a requester dies, and its next incarnation starts
	actionGrant          // a request arrives; the low byte holds its index and the most to grant
	actionGrantDuplicate // the same, and the request will arrive again
	actionAnswer         // an answer arrives
)

func (s *grantModel) actions(all []uint16) []uint16 {
	if s.unitsLeft > 0 {
		all = append(all, actionTimePasses)
	}
	if !s.secondOwner {
		all = append(all, actionSecondOwner)
	}
	for k := range s.requesters {
		if s.secondOwner && !s.knowsSecond[k] {
			all = append(all, actionObserveTerm|uint16(k))
		}
		if s.requestsLeft[k] > 0 {
			all = append(all, actionRequest|uint16(k))
		}
		if s.restartsLeft > 0 && k == 0 {
			all = append(all, actionRestart)
		}
	}
	for k := range s.requests {
		for n := range permitCount + 1 {
			all = append(all, actionGrant|uint16(k)<<2|uint16(n))
			if s.duplicatesLeft > 0 {
				all = append(all, actionGrantDuplicate|uint16(k)<<2|uint16(n))
			}
		}
	}
	for k := range s.answers {
		all = append(all, actionAnswer|uint16(k))
	}
	return all
}

func (current *grantModel) apply(act uint16) *grantModel {
	next := *current
	s := &next
	k := int(act & 0xff)
	switch action := act &^ 0xff; action {
	case actionTimePasses:
		s.elapsedUnits++
		s.unitsLeft--
	case actionSecondOwner:
		s.secondOwner = true
		s.owners[1] = *NewGrantor("o", 2, permitCount, s.ownerClock(), s.lease)
	case actionObserveTerm:
		s.knowsSecond[k] = true
		s.requesters[k].ObserveTerm(2)
	case actionRequest:
		s.requestsLeft[k]--
		s.requests = append(slices.Clone(s.requests), s.requesters[k].Request(permitCount, s.inUse(k),
			s.requesterClock()))
	case actionRestart:
		s.restartsLeft--
		s.inUseUntil[2] = s.inUseUntil[0]
		s.inUseUntil[0] = [permitCount]float64{}
		s.knowsSecond[0] = false
		s.requesters[0] = *NewRequester(Incarnation{"a0", 2}, "o", s.lease)
		s.requesters[0].ObserveTerm(1)
	case actionGrant, actionGrantDuplicate:
		request := s.requests[k>>2]
		if action == actionGrantDuplicate {
			s.duplicatesLeft--
		} else {
			s.requests = slices.Delete(slices.Clone(s.requests), k>>2, k>>2+1)
		}
		ownerIndex := 0
		if s.secondOwner {
			ownerIndex = 1 // the first owner's lease has expired; its answers may still be in flight
		}
		g := &s.owners[ownerIndex]
		*g = *g.Clone()
		if g.HandleRequest(request, s.ownerClock()) {
			s.answers = append(slices.Clone(s.answers), g.Grant(request, k&3, s.ownerClock()))
		}
	case actionAnswer:
		answer := s.answers[k]
		s.answers = slices.Delete(slices.Clone(s.answers), k, k+1)
		s.useAnswer(answer)
	}
	s.requests = slices.DeleteFunc(slices.Clone(s.requests),
		func(request Request) bool { return request.From != s.requesters[request.From.Name[1]-'0'].self })
	s.answers = slices.DeleteFunc(slices.Clone(s.answers), func(answer Answer) bool {
		requester := &s.requesters[answer.To.Name[1]-'0']
		return answer.To != requester.self ||
			answer.Number < requester.number && s.lease.enabled(LatestRequestOnly)
	})
	return s
}

// useAnswer has a requester use all granted permits at once, and those that it loses for as long as it may.
func (s *grantModel) useAnswer(answer Answer) {
	k, now := int(answer.To.Name[1]-'0'), s.requesterClock()
	requester := &s.requesters[k]
	before, _ := requester.Holds(now)
	if !requester.HandleAnswer(answer, now) {
		return
	}
	for n := range permitCount {
		if n < requester.granted {
			s.inUseUntil[k][n] = requester.grantEnd + s.lease.Grace
		} else if n < before {
			s.inUseUntil[k][n] = now + s.lease.Grace
		}
	}
}

func (s *grantModel) violation() string {
	all := 0
	for k := range s.inUseUntil {
		all += s.inUse(k)
	}
	if all > permitCount {
		return fmt.Sprintf("%d of %d permits are in use", all, permitCount)
	}
	return ""
}

func (s *grantModel) key() uint64 {
	h := explore.NewHash()
	left := func(at, now float64) uint64 { return uint64(max(0, math.Round((at-now)*1e4))) }
	bit := func(b bool) uint64 {
		if b {
			return 1
		}
		return 0
	}
	h.Add(uint64(s.unitsLeft)<<32 | uint64(s.requestsLeft[0])<<24 | uint64(s.requestsLeft[1])<<16 |
		uint64(s.duplicatesLeft)<<8 | uint64(s.restartsLeft)<<4 | bit(s.secondOwner))
	for k := range s.requesters {
		requester := &s.requesters[k]
		h.Add(requester.self.ID<<32 | requester.number<<24 | uint64(requester.granted)<<16 |
			bit(s.knowsSecond[k]))
		h.Add(left(requester.grantEnd, s.requesterClock())<<32 |
			left(s.requesterClock(), requester.requestedAt))
	}
	for _, u := range s.inUseUntil {
		for _, until := range u {
			h.Add(left(until, s.requesterClock()))
		}
	}
	g := &s.owners[0]
	if s.secondOwner {
		g = &s.owners[1]
	}
	h.Add(left(g.settledAt, s.ownerClock())<<8 | uint64(g.reportedTotal))
	for _, incarnation := range slices.SortedFunc(maps.Keys(g.ledger), func(a, b Incarnation) int {
		return int(a.Name[1]) - int(b.Name[1]) + 4*int(a.ID) - 4*int(b.ID)
	}) {
		held := g.ledger[incarnation]
		h.Add(uint64(incarnation.Name[1])<<32 | incarnation.ID<<24 | held.lastRequest<<16 |
			uint64(held.reported)<<8 | uint64(held.granted))
		h.Add(left(held.reportedUntil, s.ownerClock())<<32 | left(held.grantedUntil, s.ownerClock()))
	}
	var inFlight []uint64
	for _, request := range s.requests {
		inFlight = append(inFlight,
			1<<60|uint64(request.From.Name[1]-'0')<<58|request.Number<<50|request.Term<<46|
				uint64(request.Holds)<<44|uint64(request.Uses)<<42|left(request.Left, 0))
	}
	for _, answer := range s.answers {
		inFlight = append(inFlight,
			uint64(answer.To.Name[1]-'0')<<58|answer.Number<<50|answer.Term<<46|uint64(answer.Grants)<<44)
	}
	slices.Sort(inFlight)
	for _, v := range inFlight {
		h.Add(v)
	}
	return uint64(h)
}

func (s *grantModel) describe(act uint16) string {
	k := act & 0xff
	prefix := fmt.Sprintf("%.1f ", float64(s.elapsedUnits)*timeUnit)
	switch act &^ 0xff {
	case actionTimePasses:
		return prefix + "time passes"
	case actionSecondOwner:
		return prefix + "the second owner takes over"
	case actionObserveTerm:
		return prefix + fmt.Sprintf("a%d learns of the second owner", k)
	case actionRequest:
		holds, _ := s.requesters[k].Holds(s.requesterClock())
		return prefix + fmt.Sprintf("a%d sends a request, holding %d", k, holds)
	case actionRestart:
		return prefix + "a0 dies, its work continues, and its next incarnation starts"
	case actionAnswer:
		answer := s.answers[k]
		return prefix + fmt.Sprintf("a%d receives answer %d: %d", answer.To.Name[1]-'0', answer.Number,
			answer.Grants)
	}
	request := s.requests[k>>2]
	return prefix + fmt.Sprintf("request %d of a%d arrives, under term %d; at most %d are granted",
		request.Number, request.From.Name[1]-'0', request.Term, k&3)
}

func exploreGrants(lease Lease, requestsLeft [2]int8, unitsLeft int, duplicatesLeft, restartsLeft int8,
	maxStates int) explore.Result {
	s := &grantModel{lease: lease, unitsLeft: unitsLeft, requestsLeft: requestsLeft,
		duplicatesLeft: duplicatesLeft, restartsLeft: restartsLeft}
	s.owners[0] = *NewGrantor("o", 1, permitCount, -9, lease)
	for k := range s.requesters {
		s.requesters[k] = *NewRequester(Incarnation{fmt.Sprintf("a%d", k), 1}, "o", lease)
		s.requesters[k].ObserveTerm(1)
	}
	return explore.Model[*grantModel]{Initial: s, Actions: (*grantModel).actions, Apply: (*grantModel).apply,
		Key: (*grantModel).key, Violation: (*grantModel).violation, Describe: (*grantModel).describe}.Walk(maxStates)
}

var grantLease = Lease{Length: 1, Grace: 0.4, Drift: 0.3}

// Through a change of owner that requesters may not know of, and with messages in any order, no more permits
// than the quota are in use.
func TestGrantsExhaustive(t *testing.T) {
	type bounds struct {
		requestsLeft                 [2]int8
		unitsLeft                    int
		duplicatesLeft, restartsLeft int8
	}
	all := []bounds{{[2]int8{1, 1}, 4, 1, 0}, {[2]int8{2, 1}, 4, 0, 0}, {[2]int8{2, 1}, 5, 0, 0},
		{[2]int8{2, 1}, 4, 1, 0}, {[2]int8{2, 1}, 4, 0, 1}}
	if explore.RaceEnabled {
		all = all[:1]
	}
	for _, one := range all {
		began := time.Now()
		r := exploreGrants(grantLease, one.requestsLeft, one.unitsLeft, one.duplicatesLeft,
			one.restartsLeft, 4e6)
		t.Logf("%+v: %d states, depth %d, %.1f s", one, r.States, r.Depth, time.Since(began).Seconds())
		if r.Violation != "" || !r.Complete {
			t.Fatalf("%s (complete: %v)\n%s", r.Violation, r.Complete, r.Trace)
		}
	}
}

// Disabling any one rule of grants leads to a violation.
func TestDisabledGrantRules(t *testing.T) {
	for _, rule := range []Rule{FromRequest, WaitForFormerGrants, LatestRequestOnly, GracePeriods,
		TermMatch} {
		if rule == TermMatch && explore.RaceEnabled {
			break // its violation takes long to find
		}
		lease := grantLease
		lease.Disabled = rule
		r := exploreGrants(lease, [2]int8{2, 1}, 4, 0, 0, 4e6)
		t.Logf("rule %b disabled: %s after %d states\n%s", rule, r.Violation, r.States, r.Trace)
		if r.Violation == "" {
			t.Errorf("rule %b is disabled, and no violation is found", rule)
		}
	}
}
