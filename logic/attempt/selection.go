package attempt

import (
	"cmp"
	"math"
	"slices"

	"valveglade/rpc"
)

// leastLoadedConn returns the connection with the fewest open RPCs, -1 if none has room.
func (d *Dispatcher) leastLoadedConn(at int) int {
	best := -1
	for k := range d.conns {
		c := &d.conns[k]
		if c.server == at && c.state == up && !c.healthCheck && c.open < MaxOpen && (best < 0 || c.open < d.conns[best].open) {
			best = k
		}
	}
	return best
}

// chooseServer returns the app server for an RPC, -1 if none has room: the better of two drawn at random.
func (d *Dispatcher) chooseServer(w *request, not int) int {
	if w.pinned {
		if s := &d.servers[w.server]; d.now >= s.avoidUntil && s.open < max(int(d.allowance(s)), 1) && d.leastLoadedConn(w.server) >= 0 {
			return w.server
		}
		return -1
	}
	var can, sick []int
	for at := range d.servers {
		s := &d.servers[at]
		if at == not || s.up == 0 || !d.hasRoom(s) || d.leastLoadedConn(at) < 0 {
			continue
		}
		if s.serverState == probing { // its one RPC goes first, or it would never be seen whether it is back
			if w.kind == rpc.Idempotent || d.now > s.excludedUntil+probeAnyKindAfter {
				return at
			}
			continue
		}
		if s.unhealthy {
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
	a := d.chance.IntN(len(can))
	b := d.chance.IntN(len(can) - 1)
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

// cost estimates what a try would take at an app server: how full it is, times how slow it has been.
func (d *Dispatcher) cost(at int, w *request) float64 {
	s := &d.servers[at]
	// Its last credit counts here even when it is too old to send by: an app server that is passed over for a credit
	// that is not recent would never be asked again.
	most := firstCredit
	if !math.IsInf(s.creditAt, -1) {
		most = s.credit
	}
	if warm := (d.now - s.readmittedAt) / rampUp; warm < 1 {
		most *= max(warm, rampUpFrom)
	}
	c := max(s.meanDuration, minDuration) * float64(s.open+1) / max(most, 1) // a fraction has been drawn
	if w.server == at && w.tries > 0 {
		c *= 2
	}
	return c
}

// availableAt estimates the earliest time at which an app server may take one more try.
func (d *Dispatcher) availableAt(at int) float64 {
	s := &d.servers[at]
	opens := max(d.now, s.avoidUntil)
	if s.creditFresh(d.now) && s.credit <= 0 {
		opens = max(opens, s.creditAt+creditLifetime)
	}
	if s.serverState == excluded {
		opens = max(opens, s.excludedUntil)
	}
	if s.up == 0 && s.dials == 0 {
		opens = max(opens, s.dialAt)
	}
	return opens
}

func (d *Dispatcher) nextAvailable() float64 {
	opens := math.Inf(1)
	for at := range d.servers {
		if s := d.servers[at].serverState; s != unlisted && s != leaving {
			opens = min(opens, d.availableAt(at))
		}
	}
	if math.IsInf(opens, 1) {
		return d.now + 1 // nothing is listed yet
	}
	return opens
}

func (d *Dispatcher) availableFor(w *request) float64 {
	if w.pinned {
		return d.availableAt(w.server)
	}
	return d.nextAvailable()
}

// unavailableCause returns why nothing could be sent at all.
func (d *Dispatcher) unavailableCause() Cause {
	for at := range d.servers {
		if s := &d.servers[at]; s.up > 0 && s.serverState != leaving {
			return Refused
		}
	}
	return NoServer
}

// nearest returns the app servers that this client uses: the first ones, in its own order, that can be reached.
func (d *Dispatcher) nearest() []int {
	var all []int
	for at := range d.servers {
		if s := &d.servers[at]; s.serverState != unlisted && s.serverState != leaving {
			all = append(all, at)
		}
	}
	slices.SortFunc(all, func(a, b int) int {
		x, y := &d.servers[a], &d.servers[b]
		failing := func(s *server) int {
			if s.serverState == excluded || s.failedDials >= unreachableAfter {
				return 1
			}
			return 0
		}
		return cmp.Or(cmp.Compare(failing(x), failing(y)), cmp.Compare(x.rank, y.rank))
	})
	return all[:min(len(all), d.MaxServers)]
}
