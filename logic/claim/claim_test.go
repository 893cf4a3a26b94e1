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

// town is three tables with a slot that moves twice, and two claimers of one token. Messages come in any order, late or never;
// a process may die; the role owner's messages may come at any time; and once an assignment's lease is over, the role owner may say so.
type town struct {
	at     int
	units  int
	tables [3]*Table
	dead   [3]bool
	deaths int8
	over   [2]bool // the leases of the first two assignments
	lapsed [2]bool // the role owner has told the next owner so
	placed int     // how many assignments have been given out, of how many
	places int
	told   [3][3]bool
	heard  int // the last assignment that the role owner knows to serve
	flight []Message
	asks   [2]int8
	came   [2]int // when each claimer's RPC came, -1 before
	asked  [2]uint64
	ran    [2]int // when it ran, -1 before
	timing Timing
}

const window, oneUnit = 2.0, 1.0

var assignments = [3]Assignment{{Term{1, 1}, incarnation(0), incarnation(1)}, {Term{1, 2}, incarnation(2), incarnation(1)}, {Term{2, 1}, incarnation(0), incarnation(2)}}

func incarnation(k int) owner.Incarnation { return owner.Incarnation{Name: fmt.Sprint("d", k), ID: 1} }
func claimer(k int) owner.Incarnation     { return owner.Incarnation{Name: fmt.Sprint("c", k), ID: 1} }
func number(of owner.Incarnation) int     { return int(of.Name[1] - '0') }
func (s *town) now() float64              { return 100 + float64(s.at)*oneUnit }
func (s *town) may(k int) bool {
	for n, p := range assignments[:2] {
		if d := s.tables[k]; d.slot(0).assignment.Term == p.Term && s.over[n] {
			return false
		}
	}
	return true
}

func begin(timing Timing, most, units int, asks [2]int8, deaths int8) *town {
	s := &town{places: most, units: units, asks: asks, deaths: deaths, placed: 1, came: [2]int{-1, -1}, ran: [2]int{-1, -1}, timing: timing}
	for k := range s.tables {
		s.tables[k] = NewTable(incarnation(k), timing)
		s.told[0][k] = true
	}
	for k, r := range []role{serving, backingUp} { // the first assignment has been serving for long
		x := s.tables[k].slot(0)
		x.role, x.assignment, x.fencedBelow, x.completeUpTo = r, assignments[0], assignments[0].Term, assignments[0].Term
	}
	return s
}

const (
	timePasses = iota << 8
	assigns    // the role owner gives out the next assignment
	tells      // a process hears of one: low bits which process, and which assignment
	learns     // the role owner hears that an assignment serves
	ends       // an assignment's lease is over
	lapses     // the next owner hears so
	dies       // a process
	claims     // a claimer asks, or asks again
	arrives    // a message comes
)

func (s *town) acts(all []uint16) []uint16 {
	if s.units > 0 {
		all = append(all, timePasses)
	}
	if s.placed < s.places {
		all = append(all, assigns)
	}
	for p := 1; p < s.placed; p++ {
		for k := range s.tables {
			if !s.told[p][k] && !s.dead[k] && p > s.heard && assignments[p].has(incarnation(k)) {
				all = append(all, tells|uint16(k)<<4|uint16(p))
			}
		}
		next := number(assignments[p].Owner)
		if term, ok := s.tables[next].Serving(0); s.heard < p && ok && term == assignments[p].Term && !s.dead[next] {
			all = append(all, learns|uint16(p))
		}
	}
	for n := range s.over {
		if !s.over[n] && s.placed > n+1 {
			all = append(all, ends|uint16(n))
		}
		if s.over[n] && !s.lapsed[n] {
			all = append(all, lapses|uint16(n))
		}
	}
	for k := range s.tables {
		if s.deaths > 0 && !s.dead[k] {
			all = append(all, dies|uint16(k))
		}
	}
	for k := range s.asks {
		if s.asks[k] > 0 && s.ran[k] < 0 {
			for d := range s.tables {
				if _, ok := s.tables[d].Serving(0); ok && !s.dead[d] {
					all = append(all, claims|uint16(k)<<4|uint16(d))
				}
			}
		}
	}
	for k := range s.flight {
		all = append(all, arrives|uint16(k))
	}
	return all
}

func (s *town) clone() *town {
	n := *s
	n.flight = slices.Clone(s.flight)
	for k, d := range s.tables {
		c := *d
		c.slots = map[int]*slot{}
		for i, x := range d.slots {
			y := *x
			y.claims, y.pending, y.previous = maps.Clone(x.claims), maps.Clone(x.pending), slices.Clone(x.previous)
			c.slots[i] = &y
		}
		n.tables[k] = &c
	}
	return &n
}

func (s *town) after(act uint16) *town {
	n := s.clone()
	k := int(act & 0xff)
	switch act &^ 0xff {
	case timePasses:
		n.at++
		n.units--
	case assigns:
		n.placed++
	case tells:
		p, d := k&15, k>>4
		n.told[p][d] = true
		n.tables[d].Assign(0, assignments[p], assignments[n.heard:p], n.now())
	case learns:
		n.heard = k
	case ends:
		n.over[k] = true
	case lapses:
		n.lapsed[k] = true
		for p := k + 1; p < n.placed; p++ {
			n.tables[number(assignments[p].Owner)].HandleExpired(0, assignments[k].Term, n.now())
		}
	case dies:
		n.deaths--
		n.dead[k] = true
	case claims:
		who, d := k>>4, k&15
		n.asks[who]--
		if n.came[who] < 0 {
			n.came[who] = n.at
		}
		n.asked[who]++
		n.flight = append(n.flight, Message{Kind: Request, From: claimer(who), To: incarnation(d), Token: "t", Number: n.asked[who],
			Claim: Claim{Digest: 1, Until: window}})
	case arrives:
		m := n.flight[k]
		n.flight = slices.Delete(n.flight, k, k+1)
		if m.To.Name[0] == 'c' {
			if who := number(m.To); m.Kind == Granted && m.Number == n.asked[who] && n.ran[who] < 0 && float64(n.at-n.came[who])*oneUnit <= s.timing.Lag {
				n.ran[who] = n.at
			}
			break
		}
		n.tables[number(m.To)].HandleMessage(m, n.may(number(m.To)), n.now())
	}
	for k, d := range n.tables {
		if out := d.Ready(); !n.dead[k] {
			n.flight = append(n.flight, out...)
		}
	}
	n.flight = slices.DeleteFunc(n.flight, n.idle)
	return n
}

// idle tells what can have no effect any more.
func (s *town) idle(m Message) bool {
	if m.To.Name[0] == 'c' {
		return m.Kind != Granted || m.Number != s.asked[number(m.To)] || s.ran[number(m.To)] >= 0
	}
	x := s.tables[number(m.To)].slot(0)
	return s.dead[number(m.To)] || m.Kind == StaleTerm || (m.Kind == Collected || m.Kind == Transferred || m.Kind == Replicated) && m.Term.Less(x.assignment.Term)
}

func (s *town) wrong() string {
	if s.ran[0] < 0 || s.ran[1] < 0 {
		return ""
	}
	if apart := s.came[0] - s.came[1]; float64(max(apart, -apart))*oneUnit < window {
		return fmt.Sprintf("a token ran twice, for RPCs that came %d apart", max(apart, -apart))
	}
	return ""
}

// who is a process as a number: tables, then claimers, and nobody.
func who(l owner.Incarnation) uint64 {
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
	h.Add(c.Digest<<40 | who(c.Runner)<<32 | done<<24 | uint64(c.Until*10))
}

func (s *town) key() uint64 {
	h := explore.NewHash()
	bit := func(b bool) uint64 {
		if b {
			return 1
		}
		return 0
	}
	all := uint64(0)
	for _, row := range s.told {
		for _, b := range row {
			all = all<<1 | bit(b)
		}
	}
	for k := range s.over {
		all = all<<2 | bit(s.over[k])<<1 | bit(s.lapsed[k])
	}
	h.Add(all<<24 | uint64(s.at)<<16 | uint64(s.deaths)<<12 | uint64(s.placed)<<8 | uint64(s.heard)<<4 | bit(s.dead[0])<<2 | bit(s.dead[1])<<1 | bit(s.dead[2]))
	for k := range s.asks {
		h.Add(uint64(s.asks[k])<<32 | uint64(s.came[k]+1)<<24 | s.asked[k]<<16 | uint64(s.ran[k]+1))
	}
	for k, d := range s.tables {
		if s.dead[k] {
			continue
		}
		x := d.slot(0)
		h.Add(uint64(x.role)<<56 | x.assignment.Term.Leader<<48 | x.assignment.Term.Sequence<<40 | x.fencedBelow.Leader<<32 | x.fencedBelow.Sequence<<24 | x.completeUpTo.Leader<<16 | x.completeUpTo.Sequence<<8 | x.lastWrite)
		h.Add(uint64(x.quietUntil*10)<<8 | uint64(len(x.claims))<<4 | uint64(len(x.previous)))
		for _, b := range x.previous {
			h.Add(b.Term.Leader<<8 | b.Term.Sequence)
		}
		if c, there := x.claims["t"]; there {
			c.key(&h)
		}
		for _, n := range slices.Sorted(maps.Keys(x.pending)) {
			h.Add(n<<8 | who(x.pending[n].From))
		}
	}
	var flight []uint64
	for _, m := range s.flight {
		one := explore.NewHash()
		one.Add(uint64(m.Kind)<<56 | who(m.From)<<52 | who(m.To)<<48 | m.Term.Leader<<40 | m.Term.Sequence<<32 | m.Of.Leader<<24 | m.Of.Sequence<<16 | m.Number<<8 | bit(m.Complete))
		one.Add(uint64(m.Remaining * 10))
		m.Claim.key(&one)
		if c, there := m.Claims["t"]; there {
			c.key(&one)
		}
		flight = append(flight, uint64(one))
	}
	slices.Sort(flight)
	for _, v := range flight {
		h.Add(v)
	}
	return uint64(h)
}

func (s *town) tell(act uint16) string {
	k := act & 0xff
	what := ""
	switch act &^ 0xff {
	case timePasses:
		what = "time passes"
	case assigns:
		what = fmt.Sprintf("the role owner gives out assignment %d", s.placed)
	case tells:
		what = fmt.Sprintf("d%d hears of assignment %d", k>>4, k&15)
	case learns:
		what = fmt.Sprintf("the role owner hears that assignment %d serves", k)
	case ends:
		what = fmt.Sprintf("the lease of assignment %d is over", k)
	case lapses:
		what = fmt.Sprintf("the next owner hears that the lease of assignment %d is over", k)
	case dies:
		what = fmt.Sprintf("d%d dies", k)
	case claims:
		what = fmt.Sprintf("c%d requests from d%d", k>>4, k&15)
	case arrives:
		m := s.flight[k]
		what = fmt.Sprintf("%s to %s: %s, term %v", m.From.Name, m.To.Name, []string{"request", "granted", "already claimed", "body mismatch", "unknown", "stale term", "finished", "replicate",
			"replicated", "collect", "collected", "transfer", "transferred"}[m.Kind], m.Term)
	}
	return fmt.Sprintf("%d %s", s.at, what)
}

func walk(timing Timing, moves, units int, asks [2]int8, deaths int8, most int) explore.Result {
	return explore.World[*town]{Begin: begin(timing, moves, units, asks, deaths), Acts: (*town).acts, After: (*town).after, Key: (*town).key, Wrong: (*town).wrong,
		Tell: (*town).tell}.Walk(most)
}

var usual = Timing{Window: window, Lag: 1}

// Whatever comes when, and whoever dies: no token runs twice within its window; and each rule that is left out is missed.
func TestExhaustive(t *testing.T) {
	type bounds struct {
		places, units int
		asks          [2]int8
		deaths        int8
	}
	all := []bounds{{2, 0, [2]int8{1, 1}, 1}, {2, 1, [2]int8{1, 1}, 0}}
	if explore.Race {
		all = all[:1]
	}
	for _, one := range all {
		began := time.Now()
		r := walk(usual, one.places, one.units, one.asks, one.deaths, 6e6)
		t.Logf("%+v: %d states, depth %d, %.1f s", one, r.States, r.Depth, time.Since(began).Seconds())
		if r.Wrong != "" || !r.Complete {
			t.Errorf("%s (complete: %v)\n%s", r.Wrong, r.Complete, r.Trace)
		}
	}
}

func TestFound(t *testing.T) {
	for _, one := range []struct {
		what          string
		rules         Rules
		places, units int
		deaths        int8
	}{
		{"a grant before the backup has it", Rules{BackupFirst: true}, 2, 0, 0},
		{"no fencing", Rules{Fencing: true}, 2, 0, 0},
		{"no check of the term", Rules{Term: true}, 2, 0, 0},
		{"no wait for what nobody can tell", Rules{Window: true}, 2, 0, 1},
		{"no heed of who came before a window's end", Rules{Lag: true}, 1, 3, 0},
	} {
		timing := usual
		timing.Disabled = one.rules
		r := walk(timing, one.places, one.units, [2]int8{1, 1}, one.deaths, 2e6)
		t.Logf("%s: %s after %d states\n%s", one.what, r.Wrong, r.States, r.Trace)
		if r.Wrong == "" {
			t.Errorf("%s: nothing goes wrong", one.what)
		}
	}
}
