package share

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"valveglade/logic/owner"
	"valveglade/rig/explore"
)

// fleet is some app servers that ask one allocator, with no way between them.
type fleet struct {
	t           *testing.T
	config      Config
	now         float64
	allocator   *Allocator
	holders     []*Leaseholder
	criticality []float64
	wants       []int // each keeps so many running and waiting, as far as it may
	ran         []float64
}

func newFleet(t *testing.T, config Config, n int) *fleet {
	f := &fleet{t: t, config: config, allocator: NewAllocator("o", 1, config, -100), now: 100, wants: make([]int, n), ran: make([]float64, n)}
	for k := range n {
		f.holders = append(f.holders, NewLeaseholder(owner.Incarnation{Name: fmt.Sprintf("a%02d", k), ID: 1}, "o", config, 0))
		f.holders[k].ObserveTerm(1, 0)
		f.criticality = append(f.criticality, 1)
	}
	return f
}

// pass lets time go by: runs last a tenth of a second, and start as soon as they may.
func (f *fleet) pass(seconds float64) {
	for end := f.now + seconds; f.now < end; f.now += 0.01 {
		sum := 0
		for k, h := range f.holders {
			if int(f.now*100)%10 == k%10 {
				for h.running > 0 {
					h.Finished(f.criticality[k], 0.1, f.now)
				}
			}
			for h.running+h.waiting < f.wants[k] {
				h.AddWaiting(1, f.criticality[k], f.now)
			}
			for h.running+h.waiting > f.wants[k] && h.waiting > 0 {
				h.AddWaiting(-1, f.criticality[k], f.now)
			}
			for h.waiting > 0 && h.CanStart(f.now) {
				h.AddWaiting(-1, f.criticality[k], f.now)
				h.Started(f.criticality[k], f.now)
			}
			sum += h.running
			f.ran[k] += 0.01 * float64(h.running)
			if q, ok := h.Tick(f.now); ok {
				if a, ok := f.allocator.HandleRequest(q, f.now); ok {
					h.HandleAnswer(a, f.now)
				}
			}
		}
		if sum > f.config.Limit {
			f.t.Fatalf("%d run at %.2f", sum, f.now)
		}
	}
}

var lending = owner.Lease{Length: 2, Grace: 0.5, Drift: 0.01}

// Who wants little has it; the rest is for who wants more, by criticality; what nobody wants stands ready with all.
func TestFair(t *testing.T) {
	f := newFleet(t, Config{Limit: 20, Lease: lending}, 4)
	f.wants = []int{1, 30, 30, 0}
	f.criticality = []float64{1, 1, 3, 1}
	f.pass(4)
	clear(f.ran)
	f.pass(10)
	for k, want := range []float64{1, 4.75, 14.25, 0} {
		if got := f.ran[k] / 10; got < 0.85*want-0.1 || got > 1.1*want+0.3 {
			t.Errorf("app server %d runs %.2f, not %.2f", k, got, want)
		}
	}
	f.wants = []int{1, 1, 1, 1}
	f.pass(3)
	for k, h := range f.holders {
		if n := h.Allowed(f.now); n < 4 {
			t.Errorf("app server %d may run %d where there is room for all", k, n)
		}
	}
}

// Demand that moves is followed at once, and nothing moves without need.
func TestFollows(t *testing.T) {
	f := newFleet(t, Config{Limit: 20, Reserved: 1, ReservedMembers: []string{"a00", "a01", "a02", "a03"}, Lease: lending}, 4)
	for round := range 6 {
		f.wants = make([]int, 4)
		f.wants[round%4] = 40
		f.pass(1)
		if n := f.holders[round%4].running; n < 16 {
			t.Errorf("after a second app server %d runs %d: %+v", round%4, n, f.allocator.Holders(f.now))
		}
	}
	f.wants = []int{9, 9, 9, 9}
	f.pass(2)
	moves, had := 0, make([]int, 4)
	for range 500 {
		f.pass(0.01)
		for k, h := range f.holders {
			if n := h.Allowed(f.now); n != had[k] && had[k] > 0 {
				moves++
			}
			had[k] = h.Allowed(f.now)
		}
	}
	if moves > 4 {
		t.Errorf("%d moves in five seconds of the same demand", moves)
	}
}

// Forty app servers for a limit of ten: each has its turn, with reserved permits for some and without.
func TestFortyForTen(t *testing.T) {
	for _, floored := range [][]string{nil, {"a00", "a01"}} {
		f := newFleet(t, Config{Limit: 10, Reserved: min(len(floored), 1), ReservedMembers: floored, Lease: lending}, 40)
		for k := range f.wants {
			f.wants[k] = 5
		}
		f.pass(20)
		sum := 0.0
		for k, ran := range f.ran {
			sum += ran
			if ran < 0.5 {
				t.Errorf("app server %d ran for %.2f s of 20", k, ran)
			}
		}
		if sum < 0.7*10*20 {
			t.Errorf("%.0f of 200 were used", sum)
		}
	}
}

// Without an allocator each falls to its reserved permits when its grant ends; a new one grants what is proved at once, and the rest later.
func TestNewAllocator(t *testing.T) {
	config := Config{Limit: 20, Reserved: 1, ReservedMembers: []string{"a00", "a01", "a02", "a03"}, Lease: lending}
	f := newFleet(t, config, 4)
	f.wants = []int{40, 0, 0, 0}
	f.pass(2)
	before := f.holders[0].Allowed(f.now)
	f.allocator = NewAllocator("o", 2, config, f.now)
	for _, h := range f.holders {
		h.ObserveTerm(2, f.now)
	}
	f.pass(0.5)
	if n := f.holders[0].Allowed(f.now); n < before {
		t.Errorf("%d are left of %d after a change of allocator", n, before)
	}
	f.wants = []int{0, 40, 0, 0} // what is proved moves at once
	f.pass(1)
	if n := f.holders[1].running; n < 15 {
		t.Errorf("%d run where the demand has moved", n)
	}
	if h := f.holders[1]; h.ObserveTerm(1, f.now) {
		t.Error("a former allocator is listened to")
	}
	f.allocator = NewAllocator("o", 9, config, f.now) // nobody hears of it
	f.pass(3)
	for k, h := range f.holders {
		if n := h.Allowed(f.now); n != 1 {
			t.Errorf("app server %d may run %d without an allocator", k, n)
		}
	}
}

// A limit that is lowered takes effect as grants end; one that is found follows what runs take.
func TestLimit(t *testing.T) {
	config := Config{Limit: 20, Lease: lending}
	f := newFleet(t, config, 2)
	f.wants = []int{40, 40}
	f.pass(1)
	config.Limit = 8
	f.allocator.UpdateLimits(config)
	f.pass(1)
	if n := f.holders[0].running + f.holders[1].running; n > 8 || n < 6 {
		t.Errorf("%d run under a limit of 8", n)
	}
	auto := Config{Limit: 100, MinLimit: 4, Target: 0.11, Lease: lending}
	k := NewAllocator("o", 1, auto, 0)
	number := uint64(0)
	bears := 40.0
	for now := 10.0; now < 60; now += 0.05 {
		number++
		if now > 35 {
			bears = 12
		}
		q := Request{Request: owner.Request{Role: "o", From: owner.Incarnation{Name: "a", ID: 1}, Number: number, Term: 1, Wants: 200, Uses: k.Limit()},
			Criticality: 1, RunTime: 0.1 * max(1, float64(k.Limit())/bears)}
		k.HandleRequest(q, now)
		if at := float64(k.Limit()); (now > 30 && now < 35 || now > 55) && (at < 0.8*bears || at > 1.2*bears) {
			t.Fatalf("at %.1f s the limit is %.0f, and %.0f can be borne", now, at, bears)
		}
	}
}

// Terms that contradict themselves are refused.
func TestTerms(t *testing.T) {
	for _, config := range []Config{{}, {Limit: 4, MinLimit: 5}, {Limit: 4, Reserved: 2, ReservedMembers: []string{"a", "b", "c"}},
		{Limit: 9, MinLimit: 2, Reserved: 1, ReservedMembers: []string{"a", "b", "c"}}} {
		if config.Check() == nil {
			t.Errorf("%+v are taken", config)
		}
	}
	if err := (Config{Limit: 3, Reserved: 1, ReservedMembers: []string{"a", "b", "c"}}).Check(); err != nil {
		t.Error(err)
	}
}

// small is two holders with slow clocks, one of which has a reserved permits, and two allocators after one another with a fast one.
type small struct {
	config    Config
	at, units int
	asks      [2]int8
	starts    int8
	deaths    int8
	second    bool
	allocator *Allocator
	holders   [2]Leaseholder
	requests  []Request
	answers   []owner.Answer
	runs      [3][]int // when each began; last, of one that died
	rash      bool     // a new life uses its reserved permits at once
}

const smallUnit, smallLimit = 0.5, 2

func (s *small) holdersClock() float64    { return 10 + float64(s.at)*smallUnit*0.87 }
func (s *small) allocatorsClock() float64 { return 10 + float64(s.at)*smallUnit*1.13 }

const (
	passes   = iota << 8
	takesOff // the second allocator begins
	hears    // a holder hears of it
	asks
	starts
	dies
	answers // a question comes
	takes   // an answer comes
)

func (s *small) acts(all []uint16) []uint16 {
	if s.units > 0 {
		all = append(all, passes)
	}
	if !s.second {
		all = append(all, takesOff)
	}
	for k := range s.holders {
		if s.second && s.holders[k].requester.KnownTerm() < 2 {
			all = append(all, hears|uint16(k))
		}
		if s.asks[k] > 0 {
			all = append(all, asks|uint16(k))
		}
		if s.starts > 0 && s.holders[k].CanStart(s.holdersClock()) {
			all = append(all, starts|uint16(k))
		}
	}
	if s.deaths > 0 {
		all = append(all, dies)
	}
	for k := range s.requests {
		all = append(all, answers|uint16(k))
	}
	for k := range s.answers {
		all = append(all, takes|uint16(k))
	}
	return all
}

func (s *small) born(k int, birth uint64) {
	h := NewLeaseholder(owner.Incarnation{Name: fmt.Sprint("a", k), ID: birth}, "o", s.config, s.holdersClock())
	if birth == 1 || s.rash {
		h.reservedFrom = 0 // nobody was there before
	}
	h.ObserveTerm(1, 0)
	s.holders[k] = *h
}

func (s *small) after(act uint16) *small {
	next := *s
	n := &next
	k := int(act & 0xff)
	for j := range n.holders {
		requester := *s.holders[j].requester
		n.holders[j].requester = &requester
	}
	h, now := &n.holders[k%2], n.holdersClock()
	switch act &^ 0xff {
	case passes:
		n.at++
		n.units--
		for j := range n.runs { // all are over once the tail is
			over := func(began int) bool { return float64(n.at-began)*smallUnit*0.87 > s.config.Lease.Grace }
			n.runs[j] = slices.DeleteFunc(slices.Clone(n.runs[j]), over)
			if j < 2 {
				n.holders[j].running = len(n.runs[j])
			}
		}
	case takesOff:
		n.second = true
		n.allocator = NewAllocator("o", 2, s.config, n.allocatorsClock())
	case hears:
		h.ObserveTerm(2, now)
	case asks:
		n.asks[k]--
		h.due, h.answered, h.counted, h.began, h.area, h.mean, h.most = 0, true, now, now, 0, smallLimit, smallLimit
		if q, ok := h.Tick(now); ok {
			n.requests = append(slices.Clone(s.requests), q)
		}
	case starts:
		n.starts--
		h.Started(1, now)
		n.runs[k] = append(slices.Clone(s.runs[k]), n.at)
	case dies:
		n.deaths--
		n.runs[2], n.runs[0] = n.runs[0], nil
		n.born(0, 2)
	case answers:
		q := s.requests[k]
		n.requests = slices.Delete(slices.Clone(s.requests), k, k+1)
		allocator := *s.allocator
		n.allocator = &allocator
		allocator.Grantor = s.allocator.Grantor.Clone()
		allocator.demands = map[owner.Incarnation]*demand{}
		for incarnation, d := range s.allocator.demands {
			one := *d
			allocator.demands[incarnation] = &one
		}
		if a, ok := allocator.HandleRequest(q, n.allocatorsClock()); ok {
			n.answers = append(slices.Clone(s.answers), a)
		}
	case takes:
		a := s.answers[k]
		n.answers = slices.Delete(slices.Clone(s.answers), k, k+1)
		n.holders[a.To.Name[1]-'0'].HandleAnswer(a, now)
	}
	for j := range n.holders { // when it last asked and what it asked on the mean are no part of what is walked
		n.holders[j].due, n.holders[j].asked, n.holders[j].answered, n.holders[j].criticality = 0, 0, true, 1
		n.holders[j].count(now)
		n.holders[j].area, n.holders[j].mean, n.holders[j].most = 0, 0, 0
	}
	return n
}

func (s *small) wrong() string {
	if n := len(s.runs[0]) + len(s.runs[1]) + len(s.runs[2]); n > smallLimit {
		return fmt.Sprintf("%d run, of %d", n, smallLimit)
	}
	return ""
}

func (s *small) key() uint64 {
	h := explore.NewHash()
	text := fmt.Sprint(s.at, s.asks, s.starts, s.deaths, s.second, s.runs, s.allocator.Grantor, s.allocator.allocatedAt)
	for k := range s.holders {
		x := &s.holders[k]
		text += fmt.Sprint(*x.requester, x.reservedFrom, x.running)
	}
	var flight []string
	for _, q := range s.requests {
		flight = append(flight, fmt.Sprint(q))
	}
	for _, a := range s.answers {
		flight = append(flight, fmt.Sprint(a))
	}
	slices.Sort(flight)
	for _, c := range fmt.Sprint(text, flight) {
		h.Add(uint64(c))
	}
	return uint64(h)
}

func (s *small) tell(act uint16) string {
	return fmt.Sprintf("%.1f %s %d", float64(s.at)*smallUnit, []string{"time passes", "the second allocator begins", "hears of it: holder", "asks: holder",
		"starts a run: holder", "holder 0 dies and begins anew", "comes: request", "comes: answer"}[act>>8], act&0xff)
}

func walk(loan owner.Lease, asks [2]int8, starts, deaths int8, rash bool, most int) explore.Result {
	s := &small{config: Config{Limit: smallLimit, Reserved: 1, ReservedMembers: []string{"a0"}, Lease: loan}, units: 5, asks: asks, starts: starts, deaths: deaths, rash: rash}
	s.allocator = NewAllocator("o", 1, s.config, -100)
	for k := range s.holders {
		s.born(k, 1)
	}
	return explore.World[*small]{Begin: s, Acts: (*small).acts, After: (*small).after, Key: (*small).key, Wrong: (*small).wrong, Tell: (*small).tell}.Walk(most)
}

var smallLoan = owner.Lease{Length: 1, Grace: 0.9, Drift: 0.3}

var long = flag.Bool("long", false, "walk through what takes minutes too")

// Through a change of allocator, deaths, and whatever comes late or never, no more run than may; and each rule that is left out is
// missed, with a shortest trace.
func TestExhaustive(t *testing.T) {
	began := time.Now()
	type bounds struct {
		asks           [2]int8
		starts, deaths int8
	}
	all := []bounds{{[2]int8{1, 1}, 2, 0}, {[2]int8{1, 1}, 3, 0}, {[2]int8{1, 1}, 2, 1}}
	if explore.Race {
		all = []bounds{{[2]int8{1, 0}, 2, 0}}
	}
	if *long {
		all = append(all, bounds{[2]int8{1, 1}, 3, 1}, bounds{[2]int8{2, 1}, 2, 0})
	}
	for _, one := range all {
		r := walk(smallLoan, one.asks, one.starts, one.deaths, false, 4e6)
		t.Logf("%+v: %d states, depth %d, %.1f s", one, r.States, r.Depth, time.Since(began).Seconds())
		if r.Wrong != "" || !r.Complete {
			t.Errorf("%s (complete: %v)\n%s", r.Wrong, r.Complete, r.Trace)
		}
	}
}

func TestFound(t *testing.T) {
	for _, one := range []struct {
		what   string
		rule   owner.Rule
		asks   [2]int8
		starts int8
		deaths int8
	}{
		{"what goes on past a grant", owner.Tails, [2]int8{1, 1}, 3, 0},
		{"waiting out the former allocator", owner.Settled, [2]int8{1, 1}, 3, 0},
		{"counting from the request", owner.FromRequest, [2]int8{1, 1}, 3, 0},
		{"a new life's wait for its reserved permits", 0, [2]int8{0, 1}, 3, 1},
	} {
		if explore.Race && one.rule != 0 {
			continue // they are found late
		}
		loan := smallLoan
		loan.Disabled = one.rule
		r := walk(loan, one.asks, one.starts, one.deaths, one.rule == 0, 3e6)
		t.Logf("without %s: %s after %d states\n%s", one.what, r.Wrong, r.States, r.Trace)
		if r.Wrong == "" {
			t.Errorf("without %s nothing goes wrong", one.what)
		}
	}
}
