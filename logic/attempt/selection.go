package attempt

import (
	"cmp"
	"math"
	"slices"

	"valveglade/rpc"
)

// leastLoadedConn returns the connection with the fewest open RPCs, -1 if none has room.
func (d *Dispatcher) leastLoadedConn(serverIndex int) int {
	best := -1
	for connIndex := range d.conns {
		c := &d.conns[connIndex]
		if c.server == serverIndex && c.state == established && !c.healthCheck && c.inFlight < MaxOpen && (best < 0 || c.inFlight < d.conns[best].inFlight) {
			best = connIndex
		}
	}
	return best
}

// chooseServer returns the app server for an RPC, -1 if none has room: the better of two drawn at random.
func (d *Dispatcher) chooseServer(r *request, excludedIndex int) int {
	if r.pinned {
		if s := &d.servers[r.server]; d.now >= s.avoidUntil && s.inFlight < max(int(d.allowance(s)), 1) && d.leastLoadedConn(r.server) >= 0 {
			return r.server
		}
		return -1
	}
	var candidates, unhealthy []int
	for serverIndex := range d.servers {
		s := &d.servers[serverIndex]
		if serverIndex == excludedIndex || s.rpcConns == 0 || !d.hasCapacity(s) || d.leastLoadedConn(serverIndex) < 0 {
			continue
		}
		if s.serverState == probing { // its one RPC goes first, or it would never be seen whether it is back
			if r.kind == rpc.Idempotent || d.now > s.excludedUntil+probeAnyKindAfter {
				return serverIndex
			}
			continue
		}
		if s.unhealthy {
			unhealthy = append(unhealthy, serverIndex)
		} else {
			candidates = append(candidates, serverIndex)
		}
	}
	if len(candidates) == 0 && excludedIndex < 0 {
		candidates = unhealthy // never all left out
	}
	switch len(candidates) {
	case 0:
		return -1
	case 1:
		return candidates[0]
	}
	first := d.random.IntN(len(candidates))
	second := d.random.IntN(len(candidates) - 1)
	if second >= first {
		second++
	}
	// A further try goes where the last one was not, if both are as good.
	firstCost, secondCost := d.cost(candidates[first], r), d.cost(candidates[second], r)
	if secondCost < firstCost {
		return candidates[second]
	}
	return candidates[first]
}

// cost estimates what a try would take at an app server: how full it is, times how slow it has been.
func (d *Dispatcher) cost(serverIndex int, r *request) float64 {
	s := &d.servers[serverIndex]
	// Its last credit counts here even when it is too old to send by: an app server that is passed over for a
	// credit that is not recent would never be asked again.
	credit := defaultCredit
	if !math.IsInf(s.creditAt, -1) {
		credit = s.credit
	}
	if rampShare := (d.now - s.readmittedAt) / rampUpDuration; rampShare < 1 {
		credit *= max(rampShare, initialRampShare)
	}
	estimate := max(s.meanDuration, minDuration) * float64(s.inFlight+1) / max(credit, 1) // a fraction has been drawn
	if r.server == serverIndex && r.tries > 0 {
		estimate *= 2
	}
	return estimate
}

// availableAt estimates the earliest time at which an app server may take one more try.
func (d *Dispatcher) availableAt(serverIndex int) float64 {
	s := &d.servers[serverIndex]
	earliest := max(d.now, s.avoidUntil)
	if s.creditFresh(d.now) && s.credit <= 0 {
		earliest = max(earliest, s.creditAt+creditLifetime)
	}
	if s.serverState == excluded {
		earliest = max(earliest, s.excludedUntil)
	}
	if s.rpcConns == 0 && s.pendingDials == 0 {
		earliest = max(earliest, s.nextDialAt)
	}
	return earliest
}

func (d *Dispatcher) nextAvailable() float64 {
	earliest := math.Inf(1)
	for serverIndex := range d.servers {
		if state := d.servers[serverIndex].serverState; state != unlisted && state != removing {
			earliest = min(earliest, d.availableAt(serverIndex))
		}
	}
	if math.IsInf(earliest, 1) {
		return d.now + 1 // nothing is listed yet
	}
	return earliest
}

func (d *Dispatcher) availableFor(r *request) float64 {
	if r.pinned {
		return d.availableAt(r.server)
	}
	return d.nextAvailable()
}

// unavailableCause returns why nothing could be sent at all.
func (d *Dispatcher) unavailableCause() Cause {
	for serverIndex := range d.servers {
		if s := &d.servers[serverIndex]; s.rpcConns > 0 && s.serverState != removing {
			return Refused
		}
	}
	return NoServer
}

// preferredServers returns the app servers that this client uses: the first ones, in its own order, that can
// be reached.
func (d *Dispatcher) preferredServers() []int {
	var indices []int
	for serverIndex := range d.servers {
		if s := &d.servers[serverIndex]; s.serverState != unlisted && s.serverState != removing {
			indices = append(indices, serverIndex)
		}
	}
	slices.SortFunc(indices, func(a, b int) int {
		x, y := &d.servers[a], &d.servers[b]
		failing := func(s *server) int {
			if s.serverState == excluded || s.failedDials >= unreachableAfter {
				return 1
			}
			return 0
		}
		return cmp.Or(cmp.Compare(failing(x), failing(y)), cmp.Compare(x.rank, y.rank))
	})
	return indices[:min(len(indices), d.MaxServers)]
}
