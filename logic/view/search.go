package view

import (
	"math"
	"slices"

	"valveglade/logic/chance"
)

// search decides whom to look for: until somebody is met, the addresses that the operators gave; afterwards those that
// were lost, since both sides of a cut bury each other and neither would ever ask again; and now and then a given address
// where nobody known is, since two halves of a fleet that started apart know nothing of each other.
type search struct {
	seeds []*place
	gone  map[string]*place // by name
	open  int               // tries under way
	due   float64           // of the next one
	stray float64           // of the next look at a given address
}

// place is an address that may be worth a try.
type place struct {
	address string
	due     float64
	gap     float64
	open    bool
}

// Between tries, in seconds. The first is quick: whoever was lost for a moment is back soon. The longest is what a fleet
// that is whole again after a long cut stays apart for, at the most; with it a third of a thousand lost addresses cost
// two or three connections a second.
const (
	firstGap, longestGap = 0.5, 4.0
	strayEvery           = 3.0
	pace                 = 0.4 // between any two
)

func (s *search) begin(seeds []string, self string, now float64) {
	s.gone = map[string]*place{}
	for _, a := range seeds {
		if a != self && !slices.ContainsFunc(s.seeds, func(p *place) bool { return p.address == a }) {
			s.seeds = append(s.seeds, &place{address: a, gap: firstGap, due: now})
		}
	}
	s.due, s.stray = now, now
}

// again begins as after a start, with what was known.
func (s *search) again(now float64) {
	s.due, s.stray = now, now
	for _, p := range s.seeds {
		p.due, p.gap = now, firstGap
	}
}

func (s *search) missed(name, address string, due float64) {
	if p := s.gone[name]; p != nil && p.address == address {
		p.due, p.gap = min(p.due, due), firstGap
		return
	}
	s.gone[name] = &place{address: address, gap: firstGap, due: due}
}

func (s *search) found(name string) { delete(s.gone, name) }

// tried takes in how a try ended. One that was met and is missing still is tried again soon.
func (s *search) tried(address string, ok bool, now float64) {
	s.open = max(s.open-1, 0)
	for _, p := range s.places(func(p *place) bool { return p.address == address }) {
		p.open = false
		if ok {
			p.gap = firstGap
		}
		p.due = now + p.gap
		p.gap = min(2*p.gap, longestGap)
	}
}

// places lists the given addresses, then those that were lost, as far as they are wanted.
func (s *search) places(wanted func(*place) bool) []*place {
	var all []*place
	for _, p := range s.seeds {
		if wanted(p) {
			all = append(all, p)
		}
	}
	names := make([]string, 0, len(s.gone))
	for name := range s.gone {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if p := s.gone[name]; wanted(p) {
			all = append(all, p)
		}
	}
	return all
}

// next gives the addresses to try now. Which come first is left to chance, so that not all of a fleet go to one.
func (s *search) next(now float64, m *Machine) []Order {
	if now < s.due || s.open >= m.terms.Seekers {
		return nil
	}
	met := len(m.members) > 1
	stray := now >= s.stray || !met
	ready := s.places(func(p *place) bool {
		given := slices.Contains(s.seeds, p)
		return !p.open && now >= p.due && (!given || stray && !m.sees(p.address))
	})
	var out []Order
	for len(ready) > 0 && s.open < m.terms.Seekers {
		k := int(m.draw() * float64(len(ready)))
		p := ready[k]
		ready = slices.Delete(ready, k, k+1)
		p.open = true
		s.open++
		out = append(out, Order{Kind: Seek, Address: p.address})
		if met && len(out) == 2 { // one would do, if it were not dead as often as not
			break
		}
	}
	if out != nil {
		s.due = now + pace*(0.75+m.draw()/2)
		if stray {
			s.stray = now + strayEvery*(0.75+m.draw()/2)
		}
	}
	return out
}

// mend exchanges all that is known with one that goes on seeing something else though nothing is under way here. Gossip
// tells each word a bounded number of times, and in a storm of words, as when hundreds start together, somebody misses one.
// A whole exchange by chance comes once in a minute there; the digests say at once with whom it is worth it.
func (m *Machine) mend(now float64) {
	if now < m.mendAt || now-m.changed < m.terms.Settle || m.search.open >= m.terms.Seekers || !m.terms.has(Mending) {
		return
	}
	var others []string
	for name, e := range m.echoes {
		if e.at > max(m.changed+m.terms.Batch, m.mended[name]) && now-e.at < m.terms.Settle && e.digest != m.digest {
			others = append(others, name)
		}
	}
	if others == nil {
		return
	}
	slices.Sort(others)
	name := others[int(m.draw()*float64(len(others)))]
	m.mended = map[string]float64{name: now} // what it said before is no reason to do so again
	m.mendAt = now + m.terms.Settle*(0.75+m.draw()/2)
	m.search.open++
	m.order(Order{Kind: Seek, Address: m.records[name].latest.Address})
}

// sees tells whether a member at that address is in the view.
func (m *Machine) sees(address string) bool {
	return slices.ContainsFunc(m.members, func(e Entry) bool { return e.Address == address })
}

// draw is the next number from 0 to under 1.
func (m *Machine) draw() float64 {
	m.drawn++
	return math.Min(chance.At(m.seed, m.drawn), 1-1e-9)
}
