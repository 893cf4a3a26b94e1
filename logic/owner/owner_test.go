package owner

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// world is three voters and two candidates with clocks of their own, a network that loses, doubles and delays, and somebody
// who carries out orders. What happens next is left to chance from a seed; the trace is what did.
type world struct {
	timing Timing
	chance *rand.Rand
	now    float64
	voters []*Voter
	kept   []map[string]Vote // on each one's disk
	cand   []*Candidate
	asleep []bool
	hand   []uint64 // the term of an order that a candidate has checked and not sent, 0 for none
	rate   []float64
	flight []Message
	fence  *Fence
	terms  []uint64 // under which somebody owned, in the order in which that was first seen
	owner  map[uint64]int
	owned  int
	newest uint64 // of an order that was carried out
	trace  []string
	wrong  string
	// The mood of a walk: how far time goes at once, and how often things are lost, start again and sleep. What is
	// dangerous in one is out of reach in another.
	pace, loss, again, sleep float64
}

const voters = 3

// local is what a process's own clock shows.
func (w *world) local(process int) float64 { return 1000*float64(process) + w.now*w.rate[process] }

func newWorld(seed uint64, timing Timing) *world {
	w := &world{timing: timing, chance: rand.New(rand.NewPCG(seed, 3)), owner: map[uint64]int{}, fence: NewFence(timing),
		asleep: make([]bool, 2), hand: make([]uint64, 2)}
	pick := func(of ...float64) float64 { return of[w.chance.IntN(len(of))] }
	w.pace, w.loss, w.again, w.sleep = pick(0.02, 0.1, 0.3), pick(0, 0.08, 0.3), pick(0, 0.002, 0.02), pick(0, 0.01, 0.05)
	names := []string{"v0", "v1", "v2"}
	for k := range voters + 2 {
		// Any two clocks drift apart by at most the bound.
		w.rate = append(w.rate, 1+timing.Drift*(w.chance.Float64()-0.5)*0.98)
		if k < voters {
			w.voters = append(w.voters, NewVoter(names[k], map[string]Vote{}, true, 0, w.local(k), timing))
			w.kept = append(w.kept, map[string]Vote{})
		}
	}
	for k := range 2 {
		c := NewCandidate(Incarnation{fmt.Sprintf("c%d", k), 1}, "o", [][]string{names}, seed+uint64(k), w.local(voters+k), timing)
		c.SetCampaigning(true, w.local(voters+k))
		w.cand = append(w.cand, c)
	}
	return w
}

func (w *world) say(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%6.3f ", w.now)+fmt.Sprintf(format, args...))
}

// step is one thing that happens.
func (w *world) step(disks bool) {
	rand := w.chance.Float64
	switch x := rand(); {
	case x < w.again:
		k := w.chance.IntN(voters)
		w.say("v%d starts again", k)
		kept := map[string]Vote(nil)
		if disks {
			kept = w.kept[k]
		}
		w.voters[k] = NewVoter(fmt.Sprintf("v%d", k), kept, disks, uint64(w.now*1000), w.local(k), w.timing)
	case rand() < w.sleep:
		k := w.chance.IntN(2)
		w.asleep[k] = !w.asleep[k]
		w.say("c%d sleeps: %v", k, w.asleep[k])
	case rand() < 0.1: // an owner checks its lease, and has an order in its hands
		k := w.chance.IntN(2)
		if term, _, ok := w.cand[k].Owns(w.local(voters + k)); ok && !w.asleep[k] {
			w.hand[k] = term
		}
	case rand() < 0.1: // and sends it, however much later
		k := w.chance.IntN(2)
		if w.hand[k] == 0 || w.asleep[k] {
			break
		}
		term := w.hand[k]
		w.hand[k] = 0
		known, ok := w.fence.Pass("o", term)
		w.say("c%d orders under %d: %v", k, term, ok)
		if !ok {
			w.cand[k].HandleStaleTerm(known, w.local(voters+k))
			break
		}
		if term < w.newest {
			w.wrong = fmt.Sprintf("an order of term %d had its effect after one of %d", term, w.newest)
		}
		w.newest = max(w.newest, term)
	case len(w.flight) > 0 && rand() < 0.75:
		k := w.chance.IntN(len(w.flight))
		m := w.flight[k]
		if rand() > 0.08 { // otherwise it stays on the way too: it is doubled
			w.flight = slices.Delete(w.flight, k, k+1)
		}
		if rand() < w.loss {
			return
		}
		w.deliver(m)
	default:
		w.now += w.pace * rand()
		for k, c := range w.cand {
			if !w.asleep[k] {
				c.Tick(w.local(voters + k))
			}
		}
	}
	w.collect()
	w.look()
}

func (w *world) collect() {
	for _, c := range w.cand {
		w.flight = append(w.flight, c.Ready()...)
	}
	for len(w.flight) > 40 { // what is on the way is bounded, as it is on any network
		w.flight = slices.Delete(w.flight, 0, 1)
	}
}

func (w *world) deliver(m Message) {
	for k, v := range w.voters {
		if v.name != m.To || m.Kind > StepDown {
			continue
		}
		for _, a := range v.HandleMessage(m, w.local(k)) {
			w.say("%s to %s: word %d term %d round %d; %d", m.From.Name, m.To, m.Kind, m.Term, m.Round, a.Kind)
			if a.Sync {
				w.kept[k] = maps.Clone(v.Votes())
			}
			w.flight = append(w.flight, a)
		}
	}
	for k, c := range w.cand {
		if c.self.Name == m.To && m.Kind > StepDown && !w.asleep[k] {
			w.say("%s hears %s: word %d term %d round %d", m.To, m.From.Name, m.Kind, m.Term, m.Round)
			c.HandleAnswer(m, w.local(voters+k))
		}
	}
}

// look asks what must hold at any time.
func (w *world) look() {
	owners := 0
	for k, c := range w.cand {
		term, _, ok := c.Owns(w.local(voters + k))
		if !ok {
			continue
		}
		owners++
		if by, seen := w.owner[term]; seen && by != k {
			w.wrong = fmt.Sprintf("term %d has two owners", term)
		} else if !seen {
			w.owner[term] = k
			w.say("c%d owns under %d", k, term)
			if len(w.terms) > 0 && term <= slices.Max(w.terms) {
				w.wrong = fmt.Sprintf("term %d comes after %d", term, slices.Max(w.terms))
			}
			w.terms = append(w.terms, term)
			w.owned++
		}
	}
	if owners > 1 {
		w.wrong = "two owners at one time"
	}
}

// walk gives what went wrong on one seed, with the trace.
func walk(seed uint64, timing Timing, disks bool, steps int) (w *world) {
	w = newWorld(seed, timing)
	for range steps {
		if w.step(disks); w.wrong != "" {
			break
		}
	}
	return w
}

const walks = 300

var usual = Timing{Lease: 1, Drift: 0.08, Margin: 0.02}

// Whatever is lost, doubled, late, stopped and started again, with disks and without: one owner at a time, terms that rise,
// and no effect of a late owner. And it is not for want of owners.
func TestWalks(t *testing.T) {
	for _, disks := range []bool{true, false} {
		owned := 0
		for seed := range uint64(walks) {
			w := walk(seed, usual, disks, 600)
			owned += w.owned
			if w.wrong != "" {
				t.Fatalf("seed %d, disks %v: %s\n%s", seed, disks, w.wrong, strings.Join(w.trace[max(0, len(w.trace)-60):], "\n"))
			}
		}
		t.Logf("disks %v: %d terms were owned in %d walks", disks, owned, walks)
		if owned < walks {
			t.Errorf("disks %v: only %d terms were owned", disks, owned)
		}
	}
}
