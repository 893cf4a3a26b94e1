package attempt

import (
	"cmp"
	"math"
	"slices"

	"valveglade/rpc"
)

// leastLoadedConn returns the connection to an app server with the fewest RPCs in flight, -1 if all are full.
func (d *Dispatcher) leastLoadedConn(serverIndex int) int {
	best := -1
	for connIndex := range d.conns {
		c := &d.conns[connIndex]
		if c.server == serverIndex && c.state == connected && !c.healthCheck && c.openTries < MaxOpen &&
			(best < 0 || c.openTries < d.conns[best].openTries) {
			best = connIndex
		}
	}
	return best
}

// chooseServer returns the app server for an RPC, -1 if none has capacity. It draws two at random and takes
// the one with the lower cost. excludedIndex is never chosen; it is -1 to permit all.
func (d *Dispatcher) chooseServer(r *request, excludedIndex int) int {
	if r.pinned {
		if s := &d.servers[r.server]; d.now >= s.avoidUntil && s.openTries < max(int(d.allowance(s)), 1) &&
			d.leastLoadedConn(r.server) >= 0 {
			return r.server
		}
		return -1
	}
	var candidates, fallback []int
	for serverIndex := range d.servers {
		s := &d.servers[serverIndex]
		if serverIndex == excludedIndex || s.connected == 0 || !d.hasCapacity(s) ||
			d.leastLoadedConn(serverIndex) < 0 {
			continue
		}
		if s.serverState == probing { // the probe goes first, or the app server would stay excluded
			if r.kind == rpc.Idempotent || d.now > s.excludedUntil+probeAnyKindAfter {
				return serverIndex
			}
			continue
		}
		if s.unhealthy {
			fallback = append(fallback, serverIndex)
		} else {
			candidates = append(candidates, serverIndex)
		}
	}
	if len(candidates) == 0 && excludedIndex < 0 {
		candidates = fallback // if all are unhealthy, use them
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
	// The cost doubles at the app server of the last try, so a retry prefers another one of similar cost.
	firstCost, secondCost := d.cost(candidates[first], r), d.cost(candidates[second], r)
	if secondCost < firstCost {
		return candidates[second]
	}
	return candidates[first]
}

// cost estimates the cost of a try at an app server: its average duration times its load relative to its
// credit.
func (d *Dispatcher) cost(serverIndex int, r *request) float64 {
	s := &d.servers[serverIndex]
	// The last credit counts here even when it is too old for sending: an app server that is not chosen
	// because of its old credit would never get a try that renews it.
	effectiveCredit := defaultCredit
	if !math.IsInf(s.creditAt, -1) {
		effectiveCredit = s.credit
	}
	if rampShare := (d.now - s.readmittedAt) / rampUpDuration; rampShare < 1 {
		effectiveCredit *= max(rampShare, initialRampShare)
	}
	// A credit below 1 counts as 1, as hasCapacity has already applied the fraction by its draw.
	estimate := max(s.meanDuration, minDuration) * float64(s.openTries+1) / max(effectiveCredit, 1)
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
	if s.connected == 0 && s.pendingDials == 0 {
		earliest = max(earliest, s.nextDialAt)
	}
	return earliest
}

// nextAvailable estimates the earliest time at which any listed app server may take one more try.
func (d *Dispatcher) nextAvailable() float64 {
	earliest := math.Inf(1)
	for serverIndex := range d.servers {
		if state := d.servers[serverIndex].serverState; state != unlisted && state != removing {
			earliest = min(earliest, d.availableAt(serverIndex))
		}
	}
	if math.IsInf(earliest, 1) {
		return d.now + 1 // no app server is listed yet
	}
	return earliest
}

// availableFor estimates the earliest time at which an app server may take a try of this RPC.
func (d *Dispatcher) availableFor(r *request) float64 {
	if r.pinned {
		return d.availableAt(r.server)
	}
	return d.nextAvailable()
}

// unavailableCause returns the cause for an RPC of which no try was sent: Refused if an app server is
// connected, as it then has no capacity, and NoServer if none is.
func (d *Dispatcher) unavailableCause() Cause {
	for serverIndex := range d.servers {
		if s := &d.servers[serverIndex]; s.connected > 0 && s.serverState != removing {
			return Refused
		}
	}
	return NoServer
}

// preferredServers returns the app servers that this client uses, up to MaxServers, in its own order.
// Excluded and unreachable ones come last.
func (d *Dispatcher) preferredServers() []int {
	var indices []int
	for serverIndex := range d.servers {
		if s := &d.servers[serverIndex]; s.serverState != unlisted && s.serverState != removing {
			indices = append(indices, serverIndex)
		}
	}
	slices.SortFunc(indices, func(a, b int) int {
		first, second := &d.servers[a], &d.servers[b]
		failing := func(s *server) int {
			if s.serverState == excluded || s.failedDials >= unreachableAfter {
				return 1
			}
			return 0
		}
		return cmp.Or(cmp.Compare(failing(first), failing(second)), cmp.Compare(first.rank, second.rank))
	})
	return indices[:min(len(indices), d.MaxServers)]
}
