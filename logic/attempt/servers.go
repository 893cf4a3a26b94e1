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
	good
	excluded // sent nothing for a time, as it failed
	probing  // one RPC at a time, to see whether it is back
	leaving  // no longer listed; what is open there ends, nothing new goes there
	serverStateCount
)

var validServerTransitions = [serverStateCount][serverStateCount]bool{
	unlisted: {good: true},
	good:     {excluded: true, leaving: true},
	excluded: {probing: true, leaving: true, good: true},
	probing:  {good: true, excluded: true, leaving: true},
	leaving:  {unlisted: true, good: true},
}

// server is one app server as this client sees it.
type server struct {
	serverState
	name                string
	rank                uint64  // the client's own order of app servers, so that clients do not all choose the same few
	credit              float64 // as last reported, used for creditLifetime after creditAt
	creditAt            float64 // -Inf until the current process has reported its credit
	answered            bool    // the current process has answered something
	lastDuration        float64 // of the last try there that was ok
	upSince             float64 // when the first connection to it was established
	fractionAllowed     bool    // the fraction of the credit allows one more try
	redrawAt            float64 // time of the next draw on the fraction
	open                int     // tries that are not answered
	up, checks          int     // connections for RPCs, and for health checks
	dials               int     // connects in progress, of both kinds
	incarnation         uint32  // rises each time that no connection to it is left
	avoidUntil          float64
	dialAt              float64
	failedDials         int // failed connects in a row, and ends without an answer
	failuresInRow       int // failed tries in a row
	successes, failures float64
	exclusions          int     // in a row
	excludedUntil       float64 // while excluded
	readmittedAt        float64 // its share is ramped up after it
	meanDuration        float64
	lastUsed            float64
	unhealthy           bool // its health checks say so
}

const (
	maxFailuresInRow  = 5   // failed tries in a row until an app server is excluded: fewer are common in a surge
	maxFailureShare   = 0.5 // or that share of failures among the last tries
	minSamples        = 8.0 // of at least so many
	sampleDecay       = 0.9 // factor on the weight of a try with each later one
	firstExclusion    = 1.0 // seconds, doubling each time that it fails again
	maxExclusion      = 30.0
	maxExcludedShare  = 0.5 // share of the listed app servers: past it the fault is not theirs
	rampUp            = 5.0 // seconds over which a readmitted app server gets its share again
	rampUpFrom        = 0.1
	probeAnyKindAfter = 2.0    // seconds after which an RPC of any kind may probe an excluded app server
	minDuration       = 0.0005 // below it differences between app servers are noise
	unreachableAfter  = 2      // failed connects in a row after which another app server is used instead
)

func (d *Dispatcher) setServerState(at int, to serverState) {
	s := &d.servers[at]
	if !validServerTransitions[s.serverState][to] {
		panic("attempt: no such change of standing")
	}
	s.serverState = to
}

// SetServers replaces the list of app servers. An empty list changes nothing, as no caller is better off with it; it
// reports false.
func (d *Dispatcher) SetServers(now float64, names []string) bool {
	d.advance(now)
	if len(names) == 0 {
		return false
	}
	for at := range d.servers {
		s := &d.servers[at]
		listed := slices.Contains(names, s.name)
		switch {
		case s.serverState == unlisted:
		case listed && s.serverState == leaving:
			d.setServerState(at, good)
		case !listed && s.serverState != leaving:
			d.setServerState(at, leaving)
			d.drain(at)
		}
	}
	for _, name := range names {
		known := slices.ContainsFunc(d.servers, func(s server) bool {
			return s.serverState != unlisted && s.name == name
		})
		if known {
			continue
		}
		at := slices.IndexFunc(d.servers, func(s server) bool { return s.serverState == unlisted })
		if at < 0 {
			at = len(d.servers)
			d.servers = append(d.servers, server{})
		}
		h := fnv.New64a()
		h.Write([]byte(name))
		d.servers[at] = server{name: name, rank: NewRank(d.Seed, h.Sum64()), incarnation: d.servers[at].incarnation + 1, lastUsed: d.now,
			creditAt: math.Inf(-1), readmittedAt: math.Inf(-1), lastDuration: coldDuration, dialAt: d.now + d.chance.Float64()*d.StartSpread}
		d.setServerState(at, good)
		d.wakeBy(d.servers[at].dialAt)
	}
	d.readmit()
	d.dispatch()
	return true
}

// readmit readmits those whose exclusion ends first, while too many of the listed are excluded. It guards against
// a list that shrinks to just those.
func (d *Dispatcher) readmit() {
	for {
		first, until := -1, math.Inf(1)
		for at := range d.servers {
			if s := &d.servers[at]; (s.serverState == excluded || s.serverState == probing) && s.excludedUntil < until {
				first, until = at, s.excludedUntil
			}
		}
		if all, out := d.Listed(); first < 0 || float64(out) <= maxExcludedShare*float64(all) {
			return
		}
		d.report(first, Readmitted)
		d.servers[first].readmittedAt = d.now
		d.setServerState(first, good)
	}
}

// NewRank places a name in a client's own order.
func NewRank(seed, name uint64) uint64 {
	return uint64(chance.At(seed, name) * (1 << 53))
}

// ServerName returns the app server's name in the list.
func (d *Dispatcher) ServerName(at int) string {
	if at < 0 || at >= len(d.servers) {
		return ""
	}
	return d.servers[at].name
}

// Listed returns how many app servers are listed, and how many of them are excluded.
func (d *Dispatcher) Listed() (all, out int) {
	for at := range d.servers {
		switch d.servers[at].serverState {
		case excluded, probing:
			out++
			all++
		case good:
			all++
		}
	}
	return all, out
}

// drain closes an app server's connections once nothing is open on them.
func (d *Dispatcher) drain(at int) {
	for k := range d.conns {
		if c := &d.conns[k]; c.server == at && c.state == up {
			d.setConnState(k, ending)
		}
	}
	d.closeDrained(at)
}

// closeDrained closes ending connections that are empty, and removes an app server that has none left and is not
// listed.
func (d *Dispatcher) closeDrained(at int) {
	for k := range d.conns {
		if c := &d.conns[k]; c.server == at && c.state == ending && c.open == 0 {
			d.disconnect(k)
		}
	}
	s := &d.servers[at]
	if s.serverState != leaving || s.up+s.checks+s.dials > 0 {
		return
	}
	d.setServerState(at, unlisted)
	for i := range d.rpcs { // its index may come back for another
		if w := &d.rpcs[i]; w.pinned && w.server == at && (w.state == waiting || w.state == backingOff) {
			d.finish(i, w.cause)
		}
	}
}

// recordAnswer records that an app server has answered.
func (d *Dispatcher) recordAnswer(at int) {
	s := &d.servers[at]
	if s.failedDials >= unreachableAfter {
		d.report(at, Reachable)
	}
	s.failedDials = 0
	s.answered = true
}

func (d *Dispatcher) report(at int, what Change) {
	d.Actions = append(d.Actions, Action{Kind: ReportServer, Server: at, Change: what})
}

// recordSuccess records a try that was ok.
func (d *Dispatcher) recordSuccess(at int, took float64) {
	s := &d.servers[at]
	d.recordAnswer(at)
	s.failuresInRow = 0
	s.successes, s.failures = s.successes*sampleDecay+1, s.failures*sampleDecay
	s.lastDuration = took
	if s.meanDuration == 0 {
		s.meanDuration = took
	} else {
		s.meanDuration += smoothing * (took - s.meanDuration)
	}
	if s.serverState == probing {
		d.report(at, Readmitted)
		s.readmittedAt, s.exclusions = d.now, 0
		s.successes, s.failures = 0, 0
		d.setServerState(at, good)
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

// recordFailure records a failed try, and excludes the app server once it fails too often, unless too many are
// excluded already: then the fault is not theirs.
func (d *Dispatcher) recordFailure(at int) {
	s := &d.servers[at]
	s.failuresInRow++
	s.successes, s.failures = s.successes*sampleDecay, s.failures*sampleDecay+1
	listed, out := d.Listed()
	switch {
	case s.serverState == probing:
	case s.serverState != good, !s.failsTooOften(), float64(out+1) > maxExcludedShare*float64(listed):
		return
	}
	span := min(maxExclusion, firstExclusion*math.Pow(2, float64(s.exclusions)))
	s.excludedUntil = d.now + span*(0.5+d.chance.Float64()/2)
	s.exclusions++
	s.failuresInRow = 0
	d.Counts.Excluded++
	if s.serverState == good {
		d.report(at, Excluded)
	}
	d.setServerState(at, excluded)
	d.wakeBy(s.excludedUntil)
}
