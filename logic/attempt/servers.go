package attempt

import (
	"hash/fnv"
	"math"
	"slices"

	"valveglade/logic/chance"
)

// serverState is the state of an app server as the dispatcher sees it; only setServerState changes it.
type serverState uint8

const (
	unlisted serverState = iota // the index is spare
	active
	excluded // sent nothing for a time, as it failed
	probing  // one RPC at a time, to see whether it is back
	removing // no longer listed; what is open there ends, nothing new goes there
	serverStateCount
)

var validServerTransitions = [serverStateCount][serverStateCount]bool{
	unlisted: {active: true},
	active:   {excluded: true, removing: true},
	excluded: {probing: true, removing: true, active: true},
	probing:  {active: true, excluded: true, removing: true},
	removing: {unlisted: true, active: true},
}

// server is one app server as this client sees it.
type server struct {
	serverState
	name                 string
	rank                 uint64  // the client's own order of app servers, so that clients do not all choose the same few
	credit               float64 // as last reported, used for creditLifetime after creditAt
	creditAt             float64 // -Inf until the current process has reported its credit
	answered             bool    // the current process has answered something
	lastDuration         float64 // of the last try there that was ok
	upSince              float64 // when the first connection to it was established
	fractionAllowed      bool    // the fraction of the credit allows one more try
	redrawAt             float64 // time of the next draw on the fraction
	inFlight             int     // tries that are not answered
	rpcConns, checkConns int     // connections for RPCs, and for health checks
	pendingDials         int     // connects in progress, of both kinds
	incarnation          uint32  // rises each time that no connection to it is left
	avoidUntil           float64
	nextDialAt           float64
	failedDials          int // failed connects in a row, and ends without an answer
	failuresInRow        int // failed tries in a row
	successes, failures  float64
	exclusions           int     // in a row
	excludedUntil        float64 // while excluded
	readmittedAt         float64 // its share is ramped up after it
	meanDuration         float64
	lastUsed             float64
	unhealthy            bool // its health checks say so
}

const (
	maxFailuresInRow  = 5   // failed tries in a row until an app server is excluded: fewer are common in a surge
	maxFailureShare   = 0.5 // or that share of failures among the last tries
	minSamples        = 8.0 // of at least so many
	sampleDecay       = 0.9 // factor on the weight of a try with each later one
	firstExclusion    = 1.0 // seconds, doubling each time that it fails again
	maxExclusion      = 30.0
	maxExcludedShare  = 0.5 // share of the listed app servers: past it the fault is not theirs
	rampUpDuration    = 5.0 // seconds over which a readmitted app server gets its share again
	initialRampShare  = 0.1
	probeAnyKindAfter = 2.0    // seconds after which an RPC of any kind may probe an excluded app server
	minDuration       = 0.0005 // below it differences between app servers are noise
	unreachableAfter  = 2      // failed connects in a row after which another app server is used instead
)

func (d *Dispatcher) setServerState(serverIndex int, to serverState) {
	s := &d.servers[serverIndex]
	if !validServerTransitions[s.serverState][to] {
		panic("attempt: no such change of standing")
	}
	s.serverState = to
}

// SetServers replaces the list of app servers. An empty list changes nothing, as no caller is better off with
// it; it reports false.
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
		h := fnv.New64a()
		h.Write([]byte(name))
		d.servers[serverIndex] = server{name: name, rank: NewRank(d.Seed, h.Sum64()), incarnation: d.servers[serverIndex].incarnation + 1, lastUsed: d.now,
			creditAt: math.Inf(-1), readmittedAt: math.Inf(-1), lastDuration: coldDuration, nextDialAt: d.now + d.random.Float64()*d.StartSpread}
		d.setServerState(serverIndex, active)
		d.wakeBy(d.servers[serverIndex].nextDialAt)
	}
	d.readmitExcess()
	d.dispatch()
	return true
}

// readmitExcess readmits those whose exclusion ends first, while too many of the listed are excluded. It
// guards against a list that shrinks to just those.
func (d *Dispatcher) readmitExcess() {
	for {
		first, until := -1, math.Inf(1)
		for serverIndex := range d.servers {
			if s := &d.servers[serverIndex]; (s.serverState == excluded || s.serverState == probing) && s.excludedUntil < until {
				first, until = serverIndex, s.excludedUntil
			}
		}
		if listed, excludedCount := d.Listed(); first < 0 || float64(excludedCount) <= maxExcludedShare*float64(listed) {
			return
		}
		d.reportChange(first, Readmitted)
		d.servers[first].readmittedAt = d.now
		d.setServerState(first, active)
	}
}

// NewRank places a name in a client's own order.
func NewRank(seed, name uint64) uint64 {
	return uint64(chance.At(seed, name) * (1 << 53))
}

// ServerName returns the app server's name in the list.
func (d *Dispatcher) ServerName(serverIndex int) string {
	if serverIndex < 0 || serverIndex >= len(d.servers) {
		return ""
	}
	return d.servers[serverIndex].name
}

// Listed returns how many app servers are listed, and how many of them are excluded.
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

// drain closes an app server's connections once nothing is open on them.
func (d *Dispatcher) drain(serverIndex int) {
	for connIndex := range d.conns {
		if c := &d.conns[connIndex]; c.server == serverIndex && c.state == established {
			d.setConnState(connIndex, draining)
		}
	}
	d.closeDrained(serverIndex)
}

// closeDrained closes ending connections that are empty, and removes an app server that has none left and is
// not listed.
func (d *Dispatcher) closeDrained(serverIndex int) {
	for connIndex := range d.conns {
		if c := &d.conns[connIndex]; c.server == serverIndex && c.state == draining && c.inFlight == 0 {
			d.disconnect(connIndex)
		}
	}
	s := &d.servers[serverIndex]
	if s.serverState != removing || s.rpcConns+s.checkConns+s.pendingDials > 0 {
		return
	}
	d.setServerState(serverIndex, unlisted)
	for requestIndex := range d.requests { // its index may come back for another
		if r := &d.requests[requestIndex]; r.pinned && r.server == serverIndex && (r.state == waiting || r.state == backingOff) {
			d.finish(requestIndex, r.cause)
		}
	}
}

// recordAnswer records that an app server has answered.
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

// recordSuccess records a try that was ok.
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

// failsTooOften reports whether the tries there failed several times in a row, or for the most part.
func (s *server) failsTooOften() bool {
	if s.failuresInRow >= maxFailuresInRow {
		return true
	}
	enough := s.failures >= minSamples*maxFailureShare
	return s.failuresInRow > 1 && enough && s.failures > maxFailureShare*(s.failures+s.successes)
}

// recordFailure records a failed try, and excludes the app server once it fails too often, unless too many
// are excluded already: then the fault is not theirs.
func (d *Dispatcher) recordFailure(serverIndex int) {
	s := &d.servers[serverIndex]
	s.failuresInRow++
	s.successes, s.failures = s.successes*sampleDecay, s.failures*sampleDecay+1
	listed, excludedCount := d.Listed()
	switch {
	case s.serverState == probing:
	case s.serverState != active, !s.failsTooOften(), float64(excludedCount+1) > maxExcludedShare*float64(listed):
		return
	}
	duration := min(maxExclusion, firstExclusion*math.Pow(2, float64(s.exclusions)))
	s.excludedUntil = d.now + duration*(0.5+d.random.Float64()/2)
	s.exclusions++
	s.failuresInRow = 0
	d.Counts.Excluded++
	if s.serverState == active {
		d.reportChange(serverIndex, Excluded)
	}
	d.setServerState(serverIndex, excluded)
	d.wakeBy(s.excludedUntil)
}
