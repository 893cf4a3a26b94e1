package view

import (
	"math"
	"slices"

	"valveglade/logic/chance"
)

// rejoin selects addresses to contact: the seed addresses until a member is found; then members that died,
// since both sides of a partition declare each other dead and neither would contact the other again; and at
// intervals a seed address with no known member, since two parts of a fleet that started separately do not
// know of each other.
type rejoin struct {
	seeds         []*target
	lost          map[string]*target // dead members by name
	inFlight      int                // contact attempts in flight
	nextContactAt float64            // earliest time of the next contact
	nextSeedAt    float64            // when seed addresses are next included
}

// target is an address to contact.
type target struct {
	address  string
	retryAt  float64
	backoff  float64
	inFlight bool
}

// Retry intervals, in seconds. The first is short, as a member lost for a moment is back soon. The longest
// bounds how long a fleet stays apart after a long partition has healed; with it a third of a thousand lost
// addresses cost two or three connections a second.
const (
	minBackoff, maxBackoff = 0.5, 4.0
	seedInterval           = 3.0
	contactInterval        = 0.4 // between any two contacts
)

func (r *rejoin) start(seeds []string, self string, now float64) {
	r.lost = map[string]*target{}
	for _, address := range seeds {
		if address != self && !slices.ContainsFunc(r.seeds, func(t *target) bool { return t.address == address }) {
			r.seeds = append(r.seeds, &target{address: address, backoff: minBackoff, retryAt: now})
		}
	}
	r.nextContactAt, r.nextSeedAt = now, now
}

// restart resets all retry times of the seeds, as after a start.
func (r *rejoin) restart(now float64) {
	r.nextContactAt, r.nextSeedAt = now, now
	for _, t := range r.seeds {
		t.retryAt, t.backoff = now, minBackoff
	}
}

func (r *rejoin) add(name, address string, retryAt float64) {
	if t := r.lost[name]; t != nil && t.address == address {
		t.retryAt, t.backoff = min(t.retryAt, retryAt), minBackoff
		return
	}
	r.lost[name] = &target{address: address, backoff: minBackoff, retryAt: retryAt}
}

func (r *rejoin) remove(name string) { delete(r.lost, name) }

// contactDone handles the end of a contact attempt. An address that answered but is still missing from the
// view is retried soon.
func (r *rejoin) contactDone(address string, ok bool, now float64) {
	r.inFlight = max(r.inFlight-1, 0)
	for _, t := range r.targets(func(t *target) bool { return t.address == address }) {
		t.inFlight = false
		if ok {
			t.backoff = minBackoff
		}
		t.retryAt = now + t.backoff
		t.backoff = min(2*t.backoff, maxBackoff)
	}
}

// targets lists the seed targets, then the dead members', that satisfy wanted.
func (r *rejoin) targets(wanted func(*target) bool) []*target {
	var all []*target
	for _, t := range r.seeds {
		if wanted(t) {
			all = append(all, t)
		}
	}
	names := make([]string, 0, len(r.lost))
	for name := range r.lost {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if t := r.lost[name]; wanted(t) {
			all = append(all, t)
		}
	}
	return all
}

// next returns the contacts to start now, in random order, so that not all members of a fleet contact the
// same address.
func (r *rejoin) next(now float64, m *Machine) []Action {
	if now < r.nextContactAt || r.inFlight >= m.config.MaxContacts {
		return nil
	}
	hasPeers := len(m.members) > 1
	trySeeds := now >= r.nextSeedAt || !hasPeers
	candidates := r.targets(func(t *target) bool {
		isSeed := slices.Contains(r.seeds, t)
		return !t.inFlight && now >= t.retryAt && (!isSeed || trySeeds && !m.hasMemberAt(t.address))
	})
	var actions []Action
	for len(candidates) > 0 && r.inFlight < m.config.MaxContacts {
		k := int(m.draw() * float64(len(candidates)))
		t := candidates[k]
		candidates = slices.Delete(candidates, k, k+1)
		t.inFlight = true
		r.inFlight++
		actions = append(actions, Action{Kind: Contact, Address: t.address})
		if hasPeers && len(actions) == 2 { // two, as one of them is often dead
			break
		}
	}
	if actions != nil {
		r.nextContactAt = now + contactInterval*(0.75+m.draw()/2)
		if trySeeds {
			r.nextSeedAt = now + seedInterval*(0.75+m.draw()/2)
		}
	}
	return actions
}

// exchangeWithDiffering exchanges all state with a peer whose digest keeps differing while nothing changes
// here. Gossip retransmits each message a bounded number of times, and when there are very many, as when
// hundreds of members start together, some member misses one. A regular random exchange is about a minute
// apart there; the digests show at once which peer needs one.
func (m *Machine) exchangeWithDiffering(now float64) {
	if now < m.nextExchangeAt || now-m.digestChangedAt < m.config.SettleTime ||
		m.rejoin.inFlight >= m.config.MaxContacts || !m.config.enabled(Reconciling) {
		return
	}
	var others []string
	for name, e := range m.peerDigests {
		if e.at > max(m.digestChangedAt+m.config.BatchTime, m.exchangedAt[name]) &&
			now-e.at < m.config.SettleTime && e.digest != m.digest {
			others = append(others, name)
		}
	}
	if others == nil {
		return
	}
	slices.Sort(others)
	name := others[int(m.draw()*float64(len(others)))]
	m.exchangedAt = map[string]float64{name: now} // its earlier digests trigger no further exchange
	m.nextExchangeAt = now + m.config.SettleTime*(0.75+m.draw()/2)
	m.rejoin.inFlight++
	m.emit(Action{Kind: Contact, Address: m.records[name].latest.Address})
}

// hasMemberAt reports whether the view has a member at the address.
func (m *Machine) hasMemberAt(address string) bool {
	return slices.ContainsFunc(m.members, func(e Entry) bool { return e.Address == address })
}

// draw returns the next pseudorandom number in [0, 1).
func (m *Machine) draw() float64 {
	m.drawCount++
	return math.Min(chance.At(m.seed, m.drawCount), 1-1e-9)
}
