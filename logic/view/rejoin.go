package view

import (
	"math"
	"slices"

	"valveglade/logic/chance"
)

// rejoin decides whom to contact: until somebody is met, the addresses that the operators gave; afterwards those that
// died, since both sides of a partition take each other for dead and neither would ever ask again; and now and then a given address
// where nobody known is, since two halves of a fleet that started apart know nothing of each other.
type rejoin struct {
	seeds   []*target
	lost    map[string]*target // by name
	open    int                // tries under way
	due     float64            // of the next one
	strayAt float64            // of the next look at a given address
}

// target is an address that may be worth a try.
type target struct {
	address string
	due     float64
	gap     float64
	open    bool
}

// Between tries, in seconds. The first is quick: whoever was lost for a moment is back soon. The longest is what a fleet
// that is whole again after a long cut stays apart for, at the most; with it a third of a thousand lost addresses cost
// two or three connections a second.
const (
	firstRetry, longestRetry = 0.5, 4.0
	strayEvery               = 3.0
	contactPause             = 0.4 // between any two
)

func (s *rejoin) start(seeds []string, self string, now float64) {
	s.lost = map[string]*target{}
	for _, a := range seeds {
		if a != self && !slices.ContainsFunc(s.seeds, func(p *target) bool { return p.address == a }) {
			s.seeds = append(s.seeds, &target{address: a, gap: firstRetry, due: now})
		}
	}
	s.due, s.strayAt = now, now
}

// again begins as after a start, with what was known.
func (s *rejoin) restart(now float64) {
	s.due, s.strayAt = now, now
	for _, p := range s.seeds {
		p.due, p.gap = now, firstRetry
	}
}

func (s *rejoin) add(name, address string, due float64) {
	if p := s.lost[name]; p != nil && p.address == address {
		p.due, p.gap = min(p.due, due), firstRetry
		return
	}
	s.lost[name] = &target{address: address, gap: firstRetry, due: due}
}

func (s *rejoin) remove(name string) { delete(s.lost, name) }

// tried takes in how a try ended. One that was met and is missing still is tried again soon.
func (s *rejoin) contactDone(address string, ok bool, now float64) {
	s.open = max(s.open-1, 0)
	for _, p := range s.targets(func(p *target) bool { return p.address == address }) {
		p.open = false
		if ok {
			p.gap = firstRetry
		}
		p.due = now + p.gap
		p.gap = min(2*p.gap, longestRetry)
	}
}

// places lists the given addresses, then those that died, as far as they are wanted.
func (s *rejoin) targets(wanted func(*target) bool) []*target {
	var all []*target
	for _, p := range s.seeds {
		if wanted(p) {
			all = append(all, p)
		}
	}
	names := make([]string, 0, len(s.lost))
	for name := range s.lost {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if p := s.lost[name]; wanted(p) {
			all = append(all, p)
		}
	}
	return all
}

// next gives the addresses to try now. Which come first is left to chance, so that not all of a fleet go to one.
func (s *rejoin) next(now float64, m *Machine) []Action {
	if now < s.due || s.open >= m.config.MaxContacts {
		return nil
	}
	met := len(m.members) > 1
	stray := now >= s.strayAt || !met
	ready := s.targets(func(p *target) bool {
		given := slices.Contains(s.seeds, p)
		return !p.open && now >= p.due && (!given || stray && !m.sees(p.address))
	})
	var out []Action
	for len(ready) > 0 && s.open < m.config.MaxContacts {
		k := int(m.draw() * float64(len(ready)))
		p := ready[k]
		ready = slices.Delete(ready, k, k+1)
		p.open = true
		s.open++
		out = append(out, Action{Kind: Contact, Address: p.address})
		if met && len(out) == 2 { // one would do, if it were not dead as often as not
			break
		}
	}
	if out != nil {
		s.due = now + contactPause*(0.75+m.draw()/2)
		if stray {
			s.strayAt = now + strayEvery*(0.75+m.draw()/2)
		}
	}
	return out
}

// exchangeWithDiffering exchanges all that is known with one that goes on seeing something else though nothing is under way here. Gossip
// tells each word a bounded number of times, and in a storm of words, as when hundreds start together, somebody misses one.
// A whole exchange by chance comes once in a minute there; the digests say at once with whom it is worth it.
func (m *Machine) exchangeWithDiffering(now float64) {
	if now < m.exchangeAt || now-m.changed < m.config.SettleTime || m.rejoin.open >= m.config.MaxContacts || !m.config.enabled(Reconciling) {
		return
	}
	var others []string
	for name, e := range m.echoes {
		if e.at > max(m.changed+m.config.BatchTime, m.exchanged[name]) && now-e.at < m.config.SettleTime && e.digest != m.digest {
			others = append(others, name)
		}
	}
	if others == nil {
		return
	}
	slices.Sort(others)
	name := others[int(m.draw()*float64(len(others)))]
	m.exchanged = map[string]float64{name: now} // what it said before is no reason to do so again
	m.exchangeAt = now + m.config.SettleTime*(0.75+m.draw()/2)
	m.rejoin.open++
	m.emit(Action{Kind: Contact, Address: m.records[name].latest.Address})
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
