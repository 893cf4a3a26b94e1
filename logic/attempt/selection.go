package attempt

import (
	"cmp"
	"math"
	"slices"

	"valveglade/rpc"
)

// lightest is the connection with the fewest open RPCs, -1 if none has room.
func (d *Desk) lightest(at int) int {
	best := -1
	for k := range d.conns {
		c := &d.conns[k]
		if c.server == at && c.state == up && !c.check && c.open < MostOpen && (best < 0 || c.open < d.conns[best].open) {
			best = k
		}
	}
	return best
}

// choose gives the app server for an RPC, -1 if none has room: the better of two drawn ones.
func (d *Desk) choose(w *work, not int) int {
	if w.pinned {
		if s := &d.servers[w.server]; d.now >= s.away && s.open < max(int(d.allowance(s)), 1) && d.lightest(w.server) >= 0 {
			return w.server
		}
		return -1
	}
	var can, sick []int
	for at := range d.servers {
		s := &d.servers[at]
		if at == not || s.up == 0 || !d.room(s) || d.lightest(at) < 0 {
			continue
		}
		if s.standing == probing { // its one RPC goes first, or it would never be seen whether it is back
			if w.kind == rpc.Idempotent || d.now > s.until+probeAny {
				return at
			}
			continue
		}
		if s.unwell {
			sick = append(sick, at)
		} else {
			can = append(can, at)
		}
	}
	if len(can) == 0 && not < 0 {
		can = sick // never all left out
	}
	switch len(can) {
	case 0:
		return -1
	case 1:
		return can[0]
	}
	a := d.chance.Below(len(can))
	b := d.chance.Below(len(can) - 1)
	if b >= a {
		b++
	}
	// A further try goes where the last one was not, if both are as good.
	x, y := d.cost(can[a], w), d.cost(can[b], w)
	if y < x {
		return can[b]
	}
	return can[a]
}

// cost is what a further try would meet at an app server: how full it is, times how slow it has been.
func (d *Desk) cost(at int, w *work) float64 {
	s := &d.servers[at]
	// What it said last counts here even when it is too old to send by: an app server that is passed over for having
	// said nothing of late would never be asked again.
	most := firstCredit
	if !math.IsInf(s.heard, -1) {
		most = s.credit
	}
	if warm := (d.now - s.back) / gentle; warm < 1 {
		most *= max(warm, gentleFrom)
	}
	c := max(s.took, leastTook) * float64(s.open+1) / max(most, 1) // a fraction has been drawn
	if w.server == at && w.tries > 0 {
		c *= 2
	}
	return c
}

// opensAt is the earliest time at which an app server may take one more, as far as can be told.
func (d *Desk) opensAt(at int) float64 {
	s := &d.servers[at]
	opens := max(d.now, s.away)
	if s.fresh(d.now) && s.credit <= 0 {
		opens = max(opens, s.heard+creditFor)
	}
	if s.standing == excluded {
		opens = max(opens, s.until)
	}
	if s.up == 0 && s.dials == 0 {
		opens = max(opens, s.dialAt)
	}
	return opens
}

func (d *Desk) opens() float64 {
	opens := math.Inf(1)
	for at := range d.servers {
		if s := d.servers[at].standing; s != unlisted && s != leaving {
			opens = min(opens, d.opensAt(at))
		}
	}
	if math.IsInf(opens, 1) {
		return d.now + 1 // nothing is listed yet
	}
	return opens
}

func (d *Desk) opensFor(w *work) float64 {
	if w.pinned {
		return d.opensAt(w.server)
	}
	return d.opens()
}

// whyShut says why nothing could be sent at all.
func (d *Desk) whyShut() Cause {
	for at := range d.servers {
		if s := &d.servers[at]; s.up > 0 && s.standing != leaving {
			return Refused
		}
	}
	return NoServer
}

// near gives the app servers that this client keeps to: the first by its own rank that can be reached.
func (d *Desk) near() []int {
	var all []int
	for at := range d.servers {
		if s := &d.servers[at]; s.standing != unlisted && s.standing != leaving {
			all = append(all, at)
		}
	}
	slices.SortFunc(all, func(a, b int) int {
		x, y := &d.servers[a], &d.servers[b]
		failing := func(s *server) int {
			if s.standing == excluded || s.failed >= unmet {
				return 1
			}
			return 0
		}
		return cmp.Or(cmp.Compare(failing(x), failing(y)), cmp.Compare(x.rank, y.rank))
	})
	return all[:min(len(all), d.Near)]
}
