package claim

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"valveglade/logic/owner"
	"valveglade/rig/explore"
)

// model is three tables with a slot that moves twice, and two claimers of one token. Messages arrive in any
// order, late or never. A process may die. The role owner's messages may arrive at any time, and once an
// assignment's lease has expired, the role owner may report it.
type model struct {
	elapsedUnits    int
	unitsLeft       int
	tables          [3]*Table
	dead            [3]bool
	deathsLeft      int8
	leaseExpired    [2]bool    // of the first two assignments
	expiryReported  [2]bool    // the next owner knows that the lease has expired
	issued          int        // assignments issued so far
	assignmentCount int        // assignments that the role owner issues in all
	assigned        [3][3]bool // by assignment and process: whether the process has received it
	servingReported int        // the last assignment that the role owner knows to be serving
	inFlight        []Message
	requestsLeft    [2]int8
	arrivedAt       [2]int    // when each claimer's RPC arrived, -1 before
	requestNumbers  [2]uint64 // the last request number of each claimer
	ranAt           [2]int    // when the RPC ran, -1 before
	timing          Timing
}

const window, timeUnit = 2.0, 1.0

var assignments = [3]Assignment{{Term{1, 1}, incarnation(0), incarnation(1)},
	{Term{1, 2}, incarnation(2), incarnation(1)}, {Term{2, 1}, incarnation(0), incarnation(2)}}

func incarnation(k int) owner.Incarnation { return owner.Incarnation{Name: fmt.Sprint("d", k), ID: 1} }
func claimer(k int) owner.Incarnation     { return owner.Incarnation{Name: fmt.Sprint("c", k), ID: 1} }
func number(of owner.Incarnation) int     { return int(of.Name[1] - '0') }
func (s *model) now() float64             { return 100 + float64(s.elapsedUnits)*timeUnit }
func (s *model) mayGrant(k int) bool {
	for n, p := range assignments[:2] {
		if d := s.tables[k]; d.slot(0).assignment.Term == p.Term && s.leaseExpired[n] {
			return false
		}
	}
	return true
}

func newModel(timing Timing, assignmentCount, unitsLeft int, requestsLeft [2]int8, deathsLeft int8) *model {
	s := &model{assignmentCount: assignmentCount, unitsLeft: unitsLeft, requestsLeft: requestsLeft,
		deathsLeft: deathsLeft, issued: 1, arrivedAt: [2]int{-1, -1}, ranAt: [2]int{-1, -1}, timing: timing}
	for k := range s.tables {
		s.tables[k] = NewTable(incarnation(k), timing)
		s.assigned[0][k] = true
	}
	for k, r := range []role{serving, backingUp} { // the first assignment serves from the start
		x := s.tables[k].slot(0)
		x.role, x.assignment, x.fencedBelow, x.completeUpTo = r, assignments[0], assignments[0].Term,
			assignments[0].Term
	}
	return s
}

const (
	actionTimePasses    = iota << 8
	actionIssue         // the role owner issues the next assignment
	actionAssign        // a process receives an assignment; the low byte holds the process and the assignment
	actionReportServing // the role owner learns that an assignment is serving
	actionExpireLease   // an assignment's lease expires
	actionReportExpiry  // the next owner learns that the lease has expired
	actionDie           // a process dies
	actionRequest       // a claimer sends or repeats its request
	actionDeliver       // a message arrives
)

func (s *model) actions(all []uint16) []uint16 {
	if s.unitsLeft > 0 {
		all = append(all, actionTimePasses)
	}
	if s.issued < s.assignmentCount {
		all = append(all, actionIssue)
	}
	for p := 1; p < s.issued; p++ {
		for k := range s.tables {
			if !s.assigned[p][k] && !s.dead[k] && p > s.servingReported &&
				assignments[p].has(incarnation(k)) {
				all = append(all, actionAssign|uint16(k)<<4|uint16(p))
			}
		}
		next := number(assignments[p].Owner)
		if term, ok := s.tables[next].Serving(0); s.servingReported < p && ok &&
			term == assignments[p].Term && !s.dead[next] {
			all = append(all, actionReportServing|uint16(p))
		}
	}
	for n := range s.leaseExpired {
		if !s.leaseExpired[n] && s.issued > n+1 {
			all = append(all, actionExpireLease|uint16(n))
		}
		if s.leaseExpired[n] && !s.expiryReported[n] {
			all = append(all, actionReportExpiry|uint16(n))
		}
	}
	for k := range s.tables {
		if s.deathsLeft > 0 && !s.dead[k] {
			all = append(all, actionDie|uint16(k))
		}
	}
	for k := range s.requestsLeft {
		if s.requestsLeft[k] > 0 && s.ranAt[k] < 0 {
			for table := range s.tables {
				if _, ok := s.tables[table].Serving(0); ok && !s.dead[table] {
					all = append(all, actionRequest|uint16(k)<<4|uint16(table))
				}
			}
		}
	}
	for k := range s.inFlight {
		all = append(all, actionDeliver|uint16(k))
	}
	return all
}

func (s *model) clone() *model {
	n := *s
	n.inFlight = slices.Clone(s.inFlight)
	for k, table := range s.tables {
		tableCopy := *table
		tableCopy.slots = map[int]*slot{}
		for index, old := range table.slots {
			slotCopy := *old
			slotCopy.claims, slotCopy.pending, slotCopy.previous = maps.Clone(old.claims),
				maps.Clone(old.pending), slices.Clone(old.previous)
			tableCopy.slots[index] = &slotCopy
		}
		n.tables[k] = &tableCopy
	}
	return &n
}

func (s *model) apply(act uint16) *model {
	n := s.clone()
	k := int(act & 0xff)
	switch act &^ 0xff {
	case actionTimePasses:
		n.elapsedUnits++
		n.unitsLeft--
	case actionIssue:
		n.issued++
	case actionAssign:
		p, table := k&15, k>>4
		n.assigned[p][table] = true
		n.tables[table].Assign(0, assignments[p], assignments[n.servingReported:p], n.now())
	case actionReportServing:
		n.servingReported = k
	case actionExpireLease:
		n.leaseExpired[k] = true
	case actionReportExpiry:
		n.expiryReported[k] = true
		for p := k + 1; p < n.issued; p++ {
			n.tables[number(assignments[p].Owner)].HandleLeaseExpired(0, assignments[k].Term, n.now())
		}
	case actionDie:
		n.deathsLeft--
		n.dead[k] = true
	case actionRequest:
		claimerIndex, table := k>>4, k&15
		n.requestsLeft[claimerIndex]--
		if n.arrivedAt[claimerIndex] < 0 {
			n.arrivedAt[claimerIndex] = n.elapsedUnits
		}
		n.requestNumbers[claimerIndex]++
		n.inFlight = append(n.inFlight, Message{Kind: Request, From: claimer(claimerIndex),
			To: incarnation(table), Token: "t", Number: n.requestNumbers[claimerIndex],
			Claim: Claim{Digest: 1, Until: window}})
	case actionDeliver:
		m := n.inFlight[k]
		n.inFlight = slices.Delete(n.inFlight, k, k+1)
		if m.To.Name[0] == 'c' {
			if claimerIndex := number(m.To); m.Kind == Granted &&
				m.Number == n.requestNumbers[claimerIndex] && n.ranAt[claimerIndex] < 0 &&
				float64(n.elapsedUnits-n.arrivedAt[claimerIndex])*timeUnit <= s.timing.Lag {
				n.ranAt[claimerIndex] = n.elapsedUnits
			}
			break
		}
		n.tables[number(m.To)].HandleMessage(m, n.mayGrant(number(m.To)), n.now())
	}
	for k, table := range n.tables {
		if out := table.Ready(); !n.dead[k] {
			n.inFlight = append(n.inFlight, out...)
		}
	}
	n.inFlight = slices.DeleteFunc(n.inFlight, n.hasNoEffect)
	return n
}

// hasNoEffect reports whether a message can no longer change anything, whenever it arrives.
func (s *model) hasNoEffect(m Message) bool {
	if m.To.Name[0] == 'c' {
		return m.Kind != Granted || m.Number != s.requestNumbers[number(m.To)] || s.ranAt[number(m.To)] >= 0
	}
	x := s.tables[number(m.To)].slot(0)
	return s.dead[number(m.To)] || m.Kind == StaleTerm || (m.Kind == Collected || m.Kind == Transferred ||
		m.Kind == Replicated) && m.Term.Less(x.assignment.Term)
}

func (s *model) violation() string {
	if s.ranAt[0] < 0 || s.ranAt[1] < 0 {
		return ""
	}
	if apart := s.arrivedAt[0] - s.arrivedAt[1]; float64(max(apart, -apart))*timeUnit < window {
		return fmt.Sprintf("a token ran twice, for RPCs that arrived %d apart", max(apart, -apart))
	}
	return ""
}

// processNumber maps a process to a number: tables first, then claimers, and 7 for none.
func processNumber(l owner.Incarnation) uint64 {
	switch {
	case l.Name == "":
		return 7
	case l.Name[0] == 'c':
		return 4 + uint64(number(l))
	}
	return uint64(number(l))
}

func (c Claim) key(h *explore.Hash) {
	done := uint64(0)
	if c.Done {
		done = 1
	}
	h.Add(c.Digest<<40 | processNumber(c.Runner)<<32 | done<<24 | uint64(c.Until*10))
}

func (s *model) key() uint64 {
	h := explore.NewHash()
	bit := func(b bool) uint64 {
		if b {
			return 1
		}
		return 0
	}
	all := uint64(0)
	for _, row := range s.assigned {
		for _, b := range row {
			all = all<<1 | bit(b)
		}
	}
	for k := range s.leaseExpired {
		all = all<<2 | bit(s.leaseExpired[k])<<1 | bit(s.expiryReported[k])
	}
	h.Add(all<<24 | uint64(s.elapsedUnits)<<16 | uint64(s.deathsLeft)<<12 | uint64(s.issued)<<8 |
		uint64(s.servingReported)<<4 | bit(s.dead[0])<<2 | bit(s.dead[1])<<1 | bit(s.dead[2]))
	for k := range s.requestsLeft {
		h.Add(uint64(s.requestsLeft[k])<<32 | uint64(s.arrivedAt[k]+1)<<24 | s.requestNumbers[k]<<16 |
			uint64(s.ranAt[k]+1))
	}
	for k, table := range s.tables {
		if s.dead[k] {
			continue
		}
		x := table.slot(0)
		h.Add(uint64(x.role)<<56 | x.assignment.Term.Leader<<48 | x.assignment.Term.Sequence<<40 |
			x.fencedBelow.Leader<<32 | x.fencedBelow.Sequence<<24 | x.completeUpTo.Leader<<16 |
			x.completeUpTo.Sequence<<8 | x.lastReplicate)
		h.Add(uint64(x.quietUntil*10)<<8 | uint64(len(x.claims))<<4 | uint64(len(x.previous)))
		for _, b := range x.previous {
			h.Add(b.Term.Leader<<8 | b.Term.Sequence)
		}
		if c, ok := x.claims["t"]; ok {
			c.key(&h)
		}
		for _, n := range slices.Sorted(maps.Keys(x.pending)) {
			h.Add(n<<8 | processNumber(x.pending[n].From))
		}
	}
	var inFlight []uint64
	for _, m := range s.inFlight {
		messageHash := explore.NewHash()
		messageHash.Add(uint64(m.Kind)<<56 | processNumber(m.From)<<52 | processNumber(m.To)<<48 |
			m.Term.Leader<<40 | m.Term.Sequence<<32 | m.EndedTerm.Leader<<24 | m.EndedTerm.Sequence<<16 |
			m.Number<<8 | bit(m.Complete))
		messageHash.Add(uint64(m.Remaining * 10))
		m.Claim.key(&messageHash)
		if c, ok := m.Claims["t"]; ok {
			c.key(&messageHash)
		}
		inFlight = append(inFlight, uint64(messageHash))
	}
	slices.Sort(inFlight)
	for _, v := range inFlight {
		h.Add(v)
	}
	return uint64(h)
}

func (s *model) describe(act uint16) string {
	k := act & 0xff
	description := ""
	switch act &^ 0xff {
	case actionTimePasses:
		description = "time passes"
	case actionIssue:
		description = fmt.Sprintf("the role owner issues assignment %d", s.issued)
	case actionAssign:
		description = fmt.Sprintf("d%d receives assignment %d", k>>4, k&15)
	case actionReportServing:
		description = fmt.Sprintf("the role owner learns that assignment %d is serving", k)
	case actionExpireLease:
		description = fmt.Sprintf("the lease of assignment %d has expired", k)
	case actionReportExpiry:
		description = fmt.Sprintf("the next owner learns that the lease of assignment %d has expired", k)
	case actionDie:
		description = fmt.Sprintf("d%d dies", k)
	case actionRequest:
		description = fmt.Sprintf("c%d requests from d%d", k>>4, k&15)
	case actionDeliver:
		m := s.inFlight[k]
		description = fmt.Sprintf("%s to %s: %s, term %v", m.From.Name, m.To.Name,
			[]string{"request", "granted", "already claimed", "body mismatch", "unknown", "stale term",
				"finished", "replicate", "replicated", "collect", "collected",
				"transfer", "transferred"}[m.Kind], m.Term)
	}
	return fmt.Sprintf("%d %s", s.elapsedUnits, description)
}

func exploreModel(timing Timing, assignmentCount, unitsLeft int, requestsLeft [2]int8, deathsLeft int8,
	maxStates int) explore.Result {
	return explore.Model[*model]{Initial: newModel(timing, assignmentCount, unitsLeft, requestsLeft,
		deathsLeft),
		Actions: (*model).actions, Apply: (*model).apply, Key: (*model).key, Violation: (*model).violation,
		Describe: (*model).describe}.Walk(maxStates)
}

var defaultTiming = Timing{Window: window, Lag: 1}

// In all orders of messages and deaths within the bounds, no token runs twice within its window.
func TestExhaustive(t *testing.T) {
	type bounds struct {
		assignmentCount, unitsLeft int
		requestsLeft               [2]int8
		deathsLeft                 int8
	}
	all := []bounds{{2, 0, [2]int8{1, 1}, 1}, {2, 1, [2]int8{1, 1}, 0}}
	if explore.RaceEnabled {
		all = all[:1]
	}
	for _, one := range all {
		began := time.Now()
		r := exploreModel(defaultTiming, one.assignmentCount, one.unitsLeft, one.requestsLeft,
			one.deathsLeft, 6e6)
		t.Logf("%+v: %d states, depth %d, %.1f s", one, r.States, r.Depth, time.Since(began).Seconds())
		if r.Violation != "" || !r.Complete {
			t.Errorf("%s (complete: %v)\n%s", r.Violation, r.Complete, r.Trace)
		}
	}
}

// Disabling any one rule leads to a violation.
func TestDisabledRules(t *testing.T) {
	for _, one := range []struct {
		what                       string
		rules                      Rules
		assignmentCount, unitsLeft int
		deathsLeft                 int8
	}{
		{"a grant before the backup has recorded it", Rules{BackupFirst: true}, 2, 0, 0},
		{"no fencing", Rules{Fencing: true}, 2, 0, 0},
		{"no check of the term", Rules{Term: true}, 2, 0, 0},
		{"no wait after an assignment whose claims are lost", Rules{Window: true}, 2, 0, 1},
		{"no allowance for RPCs that arrived before the end of a window", Rules{Lag: true}, 1, 3, 0},
	} {
		timing := defaultTiming
		timing.Disabled = one.rules
		r := exploreModel(timing, one.assignmentCount, one.unitsLeft, [2]int8{1, 1}, one.deathsLeft, 2e6)
		t.Logf("%s: %s after %d states\n%s", one.what, r.Violation, r.States, r.Trace)
		if r.Violation == "" {
			t.Errorf("%s: no violation found", one.what)
		}
	}
}
