package attempt

import (
	"hash/fnv"
	"math"
	"slices"

	"valveglade/logic/chance"
)

// serverState is the state of an app server in the view of this client. Only setServerState changes it.
type serverState uint8

const (
	unlisted serverState = iota // the index is unused
	active
	excluded // receives no RPCs for a time, as it failed too often
	probing  // receives one RPC at a time, to find out whether it serves again
	removing // no longer listed; receives no new RPCs, those in flight continue
	serverStateCount
)

var validServerTransitions = [serverStateCount][serverStateCount]bool{
	unlisted: {active: true},
	active:   {excluded: true, removing: true},
	excluded: {probing: true, removing: true, active: true},
	probing:  {active: true, excluded: true, removing: true},
	removing: {unlisted: true, active: true},
}

// server is the state that this client keeps of an app server.
type server struct {
	serverState
	name            string
	rank            uint64  // its place in this client's order; random, to spread clients over app servers
	credit          float64 // last reported credit, used for creditLifetime after creditAt
	creditAt        float64 // -Inf until the current process has reported its credit
	answered        bool    // the current process has answered an RPC or a health check
	lastDuration    float64 // seconds that the last successful try took
	connectedSince  float64 // when the first of the current connections was established
	fractionAllowed bool    // the fraction of the credit allows one more try
	redrawAt        float64 // time of the next draw on the fraction
	openTries       int     // tries in flight
	connected       int     // established connections for RPCs
	checkConns      int     // established connections for health checks
	pendingDials    int     // connects in progress, for RPCs or health checks
	incarnation     uint32  // incremented when no connection is left
	avoidUntil      float64 // end of the retry-after delay that it asked for
	nextDialAt      float64 // earliest time of the next connect
	failedDials     int     // failed connects in a row, including connections closed without an answer
	failuresInRow   int     // failed tries in a row
	successes       float64 // number of successful tries, decayed by sampleDecay for each later try
	failures        float64 // number of failed tries, decayed likewise
	exclusions      int     // exclusions in a row, without a successful probe between them
	excludedUntil   float64 // end of the exclusion
	readmittedAt    float64 // start of the ramp-up of its share
	meanDuration    float64 // moving average of the seconds that a successful try takes
	lastUsed        float64 // time of the last send, or of the last need for capacity
	unhealthy       bool    // reported by its last health check
}

const (
	// maxFailuresInRow is the number of failed tries in a row that exclude an app server. Fewer are common
	// under a surge of load.
	maxFailuresInRow = 5
	// maxFailureShare is the share of failures among the recent tries above which an app server is excluded.
	maxFailureShare = 0.5
	minSamples      = 8.0 // minimum decayed number of recent tries for maxFailureShare to apply
	sampleDecay     = 0.9 // factor on the weight of a try for each later try
	firstExclusion  = 1.0 // seconds; doubles with each exclusion in a row
	maxExclusion    = 30.0
	// maxExcludedShare is the maximum share of the listed app servers that may be excluded. If more fail, the
	// cause probably lies elsewhere.
	maxExcludedShare  = 0.5
	rampUpDuration    = 5.0    // seconds over which a readmitted app server returns to its full share
	initialRampShare  = 0.1    // share at the start of the ramp-up
	probeAnyKindAfter = 2.0    // seconds after the exclusion until an RPC of any kind may be the probe
	minDuration       = 0.0005 // seconds; shorter durations are noise when app servers are compared
	unreachableAfter  = 2      // failed connects in a row after which another app server is preferred
)

func (d *Dispatcher) setServerState(serverIndex int, to serverState) {
	s := &d.servers[serverIndex]
	if !validServerTransitions[s.serverState][to] {
		panic("attempt: invalid transition of an app server")
	}
	s.serverState = to
}

// SetServers replaces the list of app servers. An empty list is ignored, as it would leave the client without
// any; SetServers then returns false.
func (d *Dispatcher) SetServers(now float64, names []string) bool {
	d.advance(now)
	if len(names) == 0 {
		return false
	}
	for serverIndex := range d.servers {
		s := &d.servers[serverIndex]
		listed := slices.Contains(names, s.name)
		switch {
		case s.serverState == unlisted:
		case listed && s.serverState == removing:
			d.setServerState(serverIndex, active)
		case !listed && s.serverState != removing:
			d.setServerState(serverIndex, removing)
			d.drain(serverIndex)
		}
	}
	for _, name := range names {
		known := slices.ContainsFunc(d.servers, func(s server) bool {
			return s.serverState != unlisted && s.name == name
		})
		if known {
			continue
		}
		serverIndex := slices.IndexFunc(d.servers, func(s server) bool { return s.serverState == unlisted })
		if serverIndex < 0 {
			serverIndex = len(d.servers)
			d.servers = append(d.servers, server{})
		}
		hash := fnv.New64a()
		hash.Write([]byte(name))
		d.servers[serverIndex] = server{name: name, rank: NewRank(d.Seed, hash.Sum64()),
			incarnation: d.servers[serverIndex].incarnation + 1, lastUsed: d.now,
			creditAt: math.Inf(-1), readmittedAt: math.Inf(-1), lastDuration: coldDuration,
			nextDialAt: d.now + d.random.Float64()*d.StartSpread}
		d.setServerState(serverIndex, active)
		d.wakeBy(d.servers[serverIndex].nextDialAt)
	}
	d.readmitExcess()
	d.dispatch()
	return true
}

// readmitExcess readmits excluded app servers, those whose exclusion ends first, while too many of the listed
// ones are excluded. This happens when a new list keeps mostly excluded ones.
func (d *Dispatcher) readmitExcess() {
	for {
		first, until := -1, math.Inf(1)
		for serverIndex := range d.servers {
			if s := &d.servers[serverIndex]; (s.serverState == excluded || s.serverState == probing) &&
				s.excludedUntil < until {
				first, until = serverIndex, s.excludedUntil
			}
		}
		if listed, excludedCount := d.Listed(); first < 0 ||
			float64(excludedCount) <= maxExcludedShare*float64(listed) {
			return
		}
		d.reportChange(first, Readmitted)
		d.servers[first].readmittedAt = d.now
		d.setServerState(first, active)
	}
}

// NewRank returns the rank of an app server, from the hash of its name, in the order of the client with this
// seed.
func NewRank(seed, name uint64) uint64 {
	return uint64(chance.At(seed, name) * (1 << 53))
}

// ServerName returns the name of an app server, empty for an invalid index.
func (d *Dispatcher) ServerName(serverIndex int) string {
	if serverIndex < 0 || serverIndex >= len(d.servers) {
		return ""
	}
	return d.servers[serverIndex].name
}

// Listed returns how many app servers are listed, and how many of them are excluded or being probed.
func (d *Dispatcher) Listed() (listed, excludedCount int) {
	for serverIndex := range d.servers {
		switch d.servers[serverIndex].serverState {
		case excluded, probing:
			excludedCount++
			listed++
		case active:
			listed++
		}
	}
	return listed, excludedCount
}

// drain closes the connections to an app server once no RPC is in flight on them.
func (d *Dispatcher) drain(serverIndex int) {
	for connIndex := range d.conns {
		if c := &d.conns[connIndex]; c.server == serverIndex && c.state == connected {
			d.setConnState(connIndex, draining)
		}
	}
	d.closeDrained(serverIndex)
}

// closeDrained closes draining connections without RPCs in flight, and frees the index of an app server that
// is no longer listed and has no connections left.
func (d *Dispatcher) closeDrained(serverIndex int) {
	for connIndex := range d.conns {
		if c := &d.conns[connIndex]; c.server == serverIndex && c.state == draining && c.openTries == 0 {
			d.disconnect(connIndex)
		}
	}
	s := &d.servers[serverIndex]
	if s.serverState != removing || s.connected+s.checkConns+s.pendingDials > 0 {
		return
	}
	d.setServerState(serverIndex, unlisted)
	for requestIndex := range d.requests { // the index may be reused for another app server
		if r := &d.requests[requestIndex]; r.pinned && r.server == serverIndex &&
			(r.state == waiting || r.state == backingOff) {
			d.finish(requestIndex, r.cause)
		}
	}
}

// recordAnswer records an answer of any kind: the app server is reachable.
func (d *Dispatcher) recordAnswer(serverIndex int) {
	s := &d.servers[serverIndex]
	if s.failedDials >= unreachableAfter {
		d.reportChange(serverIndex, Reachable)
	}
	s.failedDials = 0
	s.answered = true
}

func (d *Dispatcher) reportChange(serverIndex int, change Change) {
	d.Actions = append(d.Actions, Action{Kind: ReportServer, Server: serverIndex, Change: change})
}

// recordSuccess records a successful try and its duration, and readmits an app server that was being probed.
func (d *Dispatcher) recordSuccess(serverIndex int, duration float64) {
	s := &d.servers[serverIndex]
	d.recordAnswer(serverIndex)
	s.failuresInRow = 0
	s.successes, s.failures = s.successes*sampleDecay+1, s.failures*sampleDecay
	s.lastDuration = duration
	if s.meanDuration == 0 {
		s.meanDuration = duration
	} else {
		s.meanDuration += averageWeight * (duration - s.meanDuration)
	}
	if s.serverState == probing {
		d.reportChange(serverIndex, Readmitted)
		s.readmittedAt, s.exclusions = d.now, 0
		s.successes, s.failures = 0, 0
		d.setServerState(serverIndex, active)
	}
}

// failsTooOften reports whether recent tries failed several times in a row, or most of them failed.
func (s *server) failsTooOften() bool {
	if s.failuresInRow >= maxFailuresInRow {
		return true
	}
	enough := s.failures >= minSamples*maxFailureShare
	return s.failuresInRow > 1 && enough && s.failures > maxFailureShare*(s.failures+s.successes)
}

// recordFailure records a failed try and excludes an app server that fails too often, unless too many are
// excluded already. A failed probe always excludes it again.
func (d *Dispatcher) recordFailure(serverIndex int) {
	s := &d.servers[serverIndex]
	s.failuresInRow++
	s.successes, s.failures = s.successes*sampleDecay, s.failures*sampleDecay+1
	listed, excludedCount := d.Listed()
	switch {
	case s.serverState == probing:
	case s.serverState != active, !s.failsTooOften(),
		float64(excludedCount+1) > maxExcludedShare*float64(listed):
		return
	}
	duration := min(maxExclusion, firstExclusion*math.Pow(2, float64(s.exclusions)))
	s.excludedUntil = d.now + duration*(0.5+d.random.Float64()/2)
	s.exclusions++
	s.failuresInRow = 0
	d.Totals.Exclusions++
	if s.serverState == active {
		d.reportChange(serverIndex, Excluded)
	}
	d.setServerState(serverIndex, excluded)
	d.wakeBy(s.excludedUntil)
}
