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

// cluster is some app servers and one allocator; requests and answers arrive at once.
type cluster struct {
	t           *testing.T
	config      Config
	now         float64
	allocator   *Allocator
	holders     []*Leaseholder
	criticality []float64
	wants       []int     // how many RPCs each keeps running and waiting
	runSeconds  []float64 // time that the runs of each took in all
}

func newCluster(t *testing.T, config Config, n int) *cluster {
	c := &cluster{t: t, config: config, allocator: NewAllocator("o", 1, config, -100), now: 100,
		wants: make([]int, n), runSeconds: make([]float64, n)}
	for k := range n {
		c.holders = append(c.holders,
			NewLeaseholder(owner.Incarnation{Name: fmt.Sprintf("a%02d", k), ID: 1}, "o", config, 0))
		c.holders[k].ObserveTerm(1, 0)
		c.criticality = append(c.criticality, 1)
	}
	return c
}

// advance lets time pass. Runs last a tenth of a second, and start as soon as they are allowed to.
func (c *cluster) advance(duration float64) {
	for end := c.now + duration; c.now < end; c.now += 0.01 {
		sum := 0
		for k, h := range c.holders {
			if int(c.now*100)%10 == k%10 {
				for h.running > 0 {
					h.Finished(c.criticality[k], 0.1, c.now)
				}
			}
			for h.running+h.waiting < c.wants[k] {
				h.AddWaiting(1, c.criticality[k], c.now)
			}
			for h.running+h.waiting > c.wants[k] && h.waiting > 0 {
				h.AddWaiting(-1, c.criticality[k], c.now)
			}
			for h.waiting > 0 && h.CanStart(c.now) {
				h.AddWaiting(-1, c.criticality[k], c.now)
				h.Started(c.criticality[k], c.now)
			}
			sum += h.running
			c.runSeconds[k] += 0.01 * float64(h.running)
			if q, ok := h.Tick(c.now); ok {
				if a, ok := c.allocator.HandleRequest(q, c.now); ok {
					h.HandleAnswer(a, c.now)
				}
			}
		}
		if sum > c.config.Limit {
			c.t.Fatalf("%d run at %.2f", sum, c.now)
		}
	}
}

var testLease = owner.Lease{Length: 2, Grace: 0.5, Drift: 0.01}

// Small demands are met, the rest is divided by criticality, and permits that nobody wants are spread over
// all app servers.
func TestFair(t *testing.T) {
	c := newCluster(t, Config{Limit: 20, Lease: testLease}, 4)
	c.wants = []int{1, 30, 30, 0}
	c.criticality = []float64{1, 1, 3, 1}
	c.advance(4)
	clear(c.runSeconds)
	c.advance(10)
	for k, want := range []float64{1, 4.75, 14.25, 0} {
		if got := c.runSeconds[k] / 10; got < 0.85*want-0.1 || got > 1.1*want+0.3 {
			t.Errorf("app server %d runs %.2f, not %.2f", k, got, want)
		}
	}
	c.wants = []int{1, 1, 1, 1}
	c.advance(3)
	for k, h := range c.holders {
		if n := h.Allowed(c.now); n < 4 {
			t.Errorf("app server %d may run %d where there are permits for all", k, n)
		}
	}
}

// Permits follow demand that moves to another app server within a second, and do not move while demand stays
// the same.
func TestDemandFollowed(t *testing.T) {
	c := newCluster(t, Config{Limit: 20, Reserved: 1, ReservedMembers: []string{"a00", "a01", "a02", "a03"},
		Lease: testLease}, 4)
	for round := range 6 {
		c.wants = make([]int, 4)
		c.wants[round%4] = 40
		c.advance(1)
		if n := c.holders[round%4].running; n < 16 {
			t.Errorf("after a second app server %d runs %d: %+v", round%4, n, c.allocator.Holders(c.now))
		}
	}
	c.wants = []int{9, 9, 9, 9}
	c.advance(2)
	moves, had := 0, make([]int, 4)
	for range 500 {
		c.advance(0.01)
		for k, h := range c.holders {
			if n := h.Allowed(c.now); n != had[k] && had[k] > 0 {
				moves++
			}
			had[k] = h.Allowed(c.now)
		}
	}
	if moves > 4 {
		t.Errorf("%d moves in five seconds of the same demand", moves)
	}
}

// With more app servers than permits each gets its turn, with reserved permits for some app servers and
// without.
func TestMoreHoldersThanPermits(t *testing.T) {
	for _, reservedMembers := range [][]string{nil, {"a00", "a01"}} {
		c := newCluster(t, Config{Limit: 10, Reserved: min(len(reservedMembers), 1),
			ReservedMembers: reservedMembers,
			Lease:           testLease}, 40)
		for k := range c.wants {
			c.wants[k] = 5
		}
		c.advance(20)
		sum := 0.0
		for k, runSeconds := range c.runSeconds {
			sum += runSeconds
			if runSeconds < 0.5 {
				t.Errorf("app server %d ran for %.2f s of 20", k, runSeconds)
			}
		}
		if sum < 0.7*10*20 {
			t.Errorf("%.0f of 200 were used", sum)
		}
	}
}

// Without an allocator each app server falls back to its reserved permits when its grant expires. A new
// allocator grants what holders have reported at once, and the rest after the former grants have expired.
func TestNewAllocator(t *testing.T) {
	config := Config{Limit: 20, Reserved: 1, ReservedMembers: []string{"a00", "a01", "a02", "a03"},
		Lease: testLease}
	c := newCluster(t, config, 4)
	c.wants = []int{40, 0, 0, 0}
	c.advance(2)
	before := c.holders[0].Allowed(c.now)
	c.allocator = NewAllocator("o", 2, config, c.now)
	for _, leaseholder := range c.holders {
		leaseholder.ObserveTerm(2, c.now)
	}
	c.advance(0.5)
	if n := c.holders[0].Allowed(c.now); n < before {
		t.Errorf("%d are left of %d after a change of allocator", n, before)
	}
	c.wants = []int{0, 40, 0, 0} // permits that were reported move at once
	c.advance(1)
	if n := c.holders[1].running; n < 15 {
		t.Errorf("%d run where the demand has moved", n)
	}
	if leaseholder := c.holders[1]; leaseholder.ObserveTerm(1, c.now) {
		t.Error("the term of a former allocator is accepted")
	}
	c.allocator = NewAllocator("o", 9, config, c.now) // nobody observes its term
	c.advance(3)
	for k, leaseholder := range c.holders {
		if n := leaseholder.Allowed(c.now); n != 1 {
			t.Errorf("app server %d may run %d without an allocator", k, n)
		}
	}
}

// A lowered limit takes effect as grants expire, and an adaptive limit follows the run times.
func TestLimit(t *testing.T) {
	config := Config{Limit: 20, Lease: testLease}
	c := newCluster(t, config, 2)
	c.wants = []int{40, 40}
	c.advance(1)
	config.Limit = 8
	c.allocator.UpdateLimits(config)
	c.advance(1)
	if n := c.holders[0].running + c.holders[1].running; n > 8 || n < 6 {
		t.Errorf("%d run under a limit of 8", n)
	}
	adaptive := Config{Limit: 100, MinLimit: 4, Target: 0.11, Lease: testLease}
	allocator := NewAllocator("o", 1, adaptive, 0)
	number := uint64(0)
	capacity := 40.0
	for now := 10.0; now < 60; now += 0.05 {
		number++
		if now > 35 {
			capacity = 12
		}
		request := Request{Request: owner.Request{Role: "o", From: owner.Incarnation{Name: "a", ID: 1},
			Number: number, Term: 1, Wants: 200, Uses: allocator.Limit()},
			Criticality: 1, RunTime: 0.1 * max(1, float64(allocator.Limit())/capacity)}
		allocator.HandleRequest(request, now)
		if limit := float64(allocator.Limit()); (now > 30 && now < 35 || now > 55) &&
			(limit < 0.8*capacity || limit > 1.2*capacity) {
			t.Fatalf("at %.1f s the limit is %.0f, and the downstream serves %.0f", now, limit,
				capacity)
		}
	}
}

// Configurations that contradict themselves are rejected.
func TestConfigCheck(t *testing.T) {
	for _, config := range []Config{{}, {Limit: 4, MinLimit: 5},
		{Limit: 4, Reserved: 2, ReservedMembers: []string{"a", "b", "c"}},
		{Limit: 9, MinLimit: 2, Reserved: 1, ReservedMembers: []string{"a", "b", "c"}}} {
		if config.Check() == nil {
			t.Errorf("%+v is accepted", config)
		}
	}
	if err := (Config{Limit: 3, Reserved: 1, ReservedMembers: []string{"a", "b", "c"}}).Check(); err != nil {
		t.Error(err)
	}
}

// model is two holders with slow clocks, one of which has a reserved permit, and two successive allocators
// with a fast clock.
type model struct {
	config           Config
	elapsedUnits     int
	unitsLeft        int
	requestsLeft     [2]int8
	startsLeft       int8
	deathsLeft       int8
	secondAllocator  bool
	allocator        *Allocator
	holders          [2]Leaseholder
	requests         []Request
	answers          []owner.Answer
	runStarts        [3][]int // start of each run, by holder; last, those of one that died
	skipReservedWait bool     // a restarted holder uses its reserved permits at once
}

const timeUnit, modelLimit = 0.5, 2

func (s *model) holdersClock() float64    { return 10 + float64(s.elapsedUnits)*timeUnit*0.87 }
func (s *model) allocatorsClock() float64 { return 10 + float64(s.elapsedUnits)*timeUnit*1.13 }

const (
	actionTimePasses      = iota << 8
	actionSecondAllocator // the second allocator takes over
	actionObserveTerm     // a holder learns of the second allocator
	actionRequest         // a holder sends a request
	actionStart           // a holder starts a run
	actionRestart         // a holder dies, and its next incarnation starts
	actionRequestArrives
	actionAnswerArrives
)

func (s *model) actions(all []uint16) []uint16 {
	if s.unitsLeft > 0 {
		all = append(all, actionTimePasses)
	}
	if !s.secondAllocator {
		all = append(all, actionSecondAllocator)
	}
	for k := range s.holders {
		if s.secondAllocator && s.holders[k].requester.KnownTerm() < 2 {
			all = append(all, actionObserveTerm|uint16(k))
		}
		if s.requestsLeft[k] > 0 {
			all = append(all, actionRequest|uint16(k))
		}
		if s.startsLeft > 0 && s.holders[k].CanStart(s.holdersClock()) {
			all = append(all, actionStart|uint16(k))
		}
	}
	if s.deathsLeft > 0 {
		all = append(all, actionRestart)
	}
	for k := range s.requests {
		all = append(all, actionRequestArrives|uint16(k))
	}
	for k := range s.answers {
		all = append(all, actionAnswerArrives|uint16(k))
	}
	return all
}

func (s *model) startHolder(k int, id uint64) {
	holder := NewLeaseholder(owner.Incarnation{Name: fmt.Sprint("a", k), ID: id}, "o", s.config,
		s.holdersClock())
	if id == 1 || s.skipReservedWait {
		holder.reservedFrom = 0 // no earlier incarnation exists
	}
	holder.ObserveTerm(1, 0)
	s.holders[k] = *holder
}

func (s *model) apply(act uint16) *model {
	next := *s
	n := &next
	k := int(act & 0xff)
	for i := range n.holders {
		requester := *s.holders[i].requester
		n.holders[i].requester = &requester
	}
	h, now := &n.holders[k%2], n.holdersClock()
	switch act &^ 0xff {
	case actionTimePasses:
		n.elapsedUnits++
		n.unitsLeft--
		for i := range n.runStarts { // runs end within the grace period
			ended := func(began int) bool { return float64(n.elapsedUnits-began)*timeUnit*0.87 > s.config.Lease.Grace }
			n.runStarts[i] = slices.DeleteFunc(slices.Clone(n.runStarts[i]), ended)
			if i < 2 {
				n.holders[i].running = len(n.runStarts[i])
			}
		}
	case actionSecondAllocator:
		n.secondAllocator = true
		n.allocator = NewAllocator("o", 2, s.config, n.allocatorsClock())
	case actionObserveTerm:
		h.ObserveTerm(2, now)
	case actionRequest:
		n.requestsLeft[k]--
		h.nextRequestAt, h.answered, h.countedAt, h.intervalStart, h.demandIntegral, h.meanDemand, h.peakDemand =
			0, true, now, now, 0, modelLimit, modelLimit
		if q, ok := h.Tick(now); ok {
			n.requests = append(slices.Clone(s.requests), q)
		}
	case actionStart:
		n.startsLeft--
		h.Started(1, now)
		n.runStarts[k] = append(slices.Clone(s.runStarts[k]), n.elapsedUnits)
	case actionRestart:
		n.deathsLeft--
		n.runStarts[2], n.runStarts[0] = n.runStarts[0], nil
		n.startHolder(0, 2)
	case actionRequestArrives:
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
	case actionAnswerArrives:
		a := s.answers[k]
		n.answers = slices.Delete(slices.Clone(s.answers), k, k+1)
		n.holders[a.To.Name[1]-'0'].HandleAnswer(a, now)
	}
	// request times and averages are not part of the explored state
	for i := range n.holders {
		n.holders[i].nextRequestAt, n.holders[i].requestedAt, n.holders[i].answered, n.holders[i].criticality =
			0, 0, true, 1
		n.holders[i].count(now)
		n.holders[i].demandIntegral, n.holders[i].meanDemand, n.holders[i].peakDemand = 0, 0, 0
	}
	return n
}

func (s *model) violation() string {
	if n := len(s.runStarts[0]) + len(s.runStarts[1]) + len(s.runStarts[2]); n > modelLimit {
		return fmt.Sprintf("%d run with a limit of %d", n, modelLimit)
	}
	return ""
}

func (s *model) key() uint64 {
	h := explore.NewHash()
	text := fmt.Sprint(s.elapsedUnits, s.requestsLeft, s.startsLeft, s.deathsLeft, s.secondAllocator,
		s.runStarts, s.allocator.Grantor,
		s.allocator.allocatedAt)
	for k := range s.holders {
		holder := &s.holders[k]
		text += fmt.Sprint(*holder.requester, holder.reservedFrom, holder.running)
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

func (s *model) describe(act uint16) string {
	return fmt.Sprintf("%.1f %s %d", float64(s.elapsedUnits)*timeUnit,
		[]string{"time passes", "the second allocator takes over", "observes the second term: holder",
			"requests: holder", "starts a run: holder", "holder 0 dies and restarts", "arrives: request",
			"arrives: answer"}[act>>8], act&0xff)
}

func exploreModel(lease owner.Lease, requestsLeft [2]int8, startsLeft, deathsLeft int8,
	skipReservedWait bool, maxStates int) explore.Result {
	s := &model{config: Config{Limit: modelLimit, Reserved: 1, ReservedMembers: []string{"a0"},
		Lease: lease}, unitsLeft: 5, requestsLeft: requestsLeft, startsLeft: startsLeft, deathsLeft: deathsLeft,
		skipReservedWait: skipReservedWait}
	s.allocator = NewAllocator("o", 1, s.config, -100)
	for k := range s.holders {
		s.startHolder(k, 1)
	}
	return explore.Model[*model]{Initial: s, Actions: (*model).actions, Apply: (*model).apply, Key: (*model).key,
		Violation: (*model).violation, Describe: (*model).describe}.Walk(maxStates)
}

var modelLease = owner.Lease{Length: 1, Grace: 0.9, Drift: 0.3}

var long = flag.Bool("long", false, "also explore the models that take minutes")

// Through a change of allocator, restarts, and messages that arrive in any order or never, no more runs than
// the limit are under way.
func TestExhaustive(t *testing.T) {
	began := time.Now()
	type bounds struct {
		requestsLeft           [2]int8
		startsLeft, deathsLeft int8
	}
	all := []bounds{{[2]int8{1, 1}, 2, 0}, {[2]int8{1, 1}, 3, 0}, {[2]int8{1, 1}, 2, 1}}
	if explore.RaceEnabled {
		all = []bounds{{[2]int8{1, 0}, 2, 0}}
	}
	if *long {
		all = append(all, bounds{[2]int8{1, 1}, 3, 1}, bounds{[2]int8{2, 1}, 2, 0})
	}
	for _, one := range all {
		r := exploreModel(modelLease, one.requestsLeft, one.startsLeft, one.deathsLeft, false, 4e6)
		t.Logf("%+v: %d states, depth %d, %.1f s", one, r.States, r.Depth, time.Since(began).Seconds())
		if r.Violation != "" || !r.Complete {
			t.Errorf("%s (complete: %v)\n%s", r.Violation, r.Complete, r.Trace)
		}
	}
}

// Disabling any one rule leads to a violation.
func TestDisabledRules(t *testing.T) {
	for _, one := range []struct {
		what         string
		rule         owner.Rule
		requestsLeft [2]int8
		startsLeft   int8
		deathsLeft   int8
	}{
		{"the grace period of a grant", owner.GracePeriods, [2]int8{1, 1}, 3, 0},
		{"waiting for the former allocator's grants to expire", owner.WaitForFormerGrants, [2]int8{1, 1}, 3,
			0},
		{"counting from the request", owner.FromRequest, [2]int8{1, 1}, 3, 0},
		{"the wait of a restarted holder for its reserved permits", 0, [2]int8{0, 1}, 3, 1},
	} {
		if explore.RaceEnabled && one.rule != 0 {
			continue // these take long to find
		}
		lease := modelLease
		lease.Disabled = one.rule
		r := exploreModel(lease, one.requestsLeft, one.startsLeft, one.deathsLeft, one.rule == 0, 3e6)
		t.Logf("without %s: %s after %d states\n%s", one.what, r.Violation, r.States, r.Trace)
		if r.Violation == "" {
			t.Errorf("without %s no violation is found", one.what)
		}
	}
}
