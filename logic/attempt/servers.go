package attempt

import (
	"hash/fnv"
	"math"
	"slices"

	"valveglade/logic/chance"
)

// standing is what the desk thinks of an app server; only stand changes it.
type standing uint8

const (
	unlisted standing = iota // the index is spare
	good
	excluded // left out for a time, as it failed
	probing  // one RPC at a time, to see whether it is back
	leaving  // no longer listed; what is open there ends, nothing new goes there
	standings
)

var mayStand = [standings][standings]bool{
	unlisted: {good: true},
	good:     {excluded: true, leaving: true},
	excluded: {probing: true, leaving: true, good: true},
	probing:  {good: true, excluded: true, leaving: true},
	leaving:  {unlisted: true, good: true},
}

// server is one app server as this client sees it.
type server struct {
	standing
	name         string
	rank         uint64  // the client's own order of app servers, so that clients do not all choose the same few
	credit       float64 // what it last said, believed for creditFor after heard
	heard        float64 // -Inf until the process that is there now has said its credit
	answered     bool    // that process has answered something
	lastTook     float64 // by the last try there that was ok
	upSince      float64 // when the first connection to it stood
	drawn        bool    // the fraction of the credit lets one more try out
	drawAt       float64 // when that is drawn again
	open         int     // tries out there
	up, checks   int     // connections for RPCs, and for health checks
	dials        int     // connects in progress, of both kinds
	era          uint32  // counts the times that all connections to it were gone
	away         float64
	dialAt       float64
	failed       int // times running that it could not be reached, or ended without a word
	strikes      int // failed tries running
	fine, poor   float64
	excludedEver int     // times running that it was left out
	until        float64 // while excluded
	back         float64 // when it was let back; gently after it
	took         float64
	used         float64
	unwell       bool // its health checks say so
}

const (
	badRow     = 5   // failed tries running until an app server is left out: fewer are common in a surge
	badShare   = 0.5 // or that share of failures among the last tries
	badLeast   = 8.0 // of which there must be so many
	recent     = 0.9 // what a try counts less with each later one
	firstOut   = 1.0 // seconds that an app server is left out for, doubling each time it fails again
	mostOut    = 30.0
	outAtMost  = 0.5 // share of the listed that may be left out: past it the fault is not with them
	gentle     = 5.0 // seconds over which one that is back gets its share again
	gentleFrom = 0.1
	probeAny   = 2.0    // seconds after which the RPC that tells whether one is back may be of any kind
	leastTook  = 0.0005 // below it differences between app servers are noise
	unmet      = 2      // failed connects running after which another app server takes the place near
)

func (d *Desk) stand(at int, to standing) {
	s := &d.servers[at]
	if !mayStand[s.standing][to] {
		panic("attempt: no such change of standing")
	}
	s.standing = to
}

// Servers takes over a list of names. An empty one changes nothing, as no caller is better off with it; false
// says so.
func (d *Desk) Servers(now float64, names []string) bool {
	d.clock(now)
	if len(names) == 0 {
		return false
	}
	for at := range d.servers {
		s := &d.servers[at]
		listed := slices.Contains(names, s.name)
		switch {
		case s.standing == unlisted:
		case listed && s.standing == leaving:
			d.stand(at, good)
		case !listed && s.standing != leaving:
			d.stand(at, leaving)
			d.empty(at)
		}
	}
	for _, name := range names {
		known := slices.ContainsFunc(d.servers, func(s server) bool {
			return s.standing != unlisted && s.name == name
		})
		if known {
			continue
		}
		at := slices.IndexFunc(d.servers, func(s server) bool { return s.standing == unlisted })
		if at < 0 {
			at = len(d.servers)
			d.servers = append(d.servers, server{})
		}
		h := fnv.New64a()
		h.Write([]byte(name))
		d.servers[at] = server{name: name, rank: NewRank(d.Seed, h.Sum64()), era: d.servers[at].era + 1, used: d.now,
			heard: math.Inf(-1), back: math.Inf(-1), lastTook: coldTook, dialAt: d.now + d.chance.Draw()*d.Start}
		d.stand(at, good)
		d.by(d.servers[at].dialAt)
	}
	d.readmit()
	d.pump()
	return true
}

// readmit lets back those that were to come back first, while too many of the listed are left out. It guards against
// a list that shrinks to just those.
func (d *Desk) readmit() {
	for {
		first, until := -1, math.Inf(1)
		for at := range d.servers {
			if s := &d.servers[at]; (s.standing == excluded || s.standing == probing) && s.until < until {
				first, until = at, s.until
			}
		}
		if all, out := d.Listed(); first < 0 || float64(out) <= outAtMost*float64(all) {
			return
		}
		d.tell(first, LetBack)
		d.servers[first].back = d.now
		d.stand(first, good)
	}
}

// NewRank places a name in a client's own order.
func NewRank(seed, name uint64) uint64 {
	return uint64(chance.At(seed, name) * (1 << 53))
}

// Name is the app server's name in the list.
func (d *Desk) Name(at int) string {
	if at < 0 || at >= len(d.servers) {
		return ""
	}
	return d.servers[at].name
}

// Listed is how many app servers the desk may send to, and how many of them are left out.
func (d *Desk) Listed() (all, out int) {
	for at := range d.servers {
		switch d.servers[at].standing {
		case excluded, probing:
			out++
			all++
		case good:
			all++
		}
	}
	return all, out
}

// empty has an app server's connections end once nothing is open on them.
func (d *Desk) empty(at int) {
	for k := range d.conns {
		if c := &d.conns[k]; c.server == at && c.state == up {
			d.pass(k, ending)
		}
	}
	d.settle(at)
}

// settle closes ending connections that are empty, and lets go of an app server that has none left and is not
// listed.
func (d *Desk) settle(at int) {
	for k := range d.conns {
		if c := &d.conns[k]; c.server == at && c.state == ending && c.open == 0 {
			d.hang(k)
		}
	}
	s := &d.servers[at]
	if s.standing != leaving || s.up+s.checks+s.dials > 0 {
		return
	}
	d.stand(at, unlisted)
	for i := range d.rpcs { // its index may come back for another
		if w := &d.rpcs[i]; w.pinned && w.server == at && (w.state == waiting || w.state == resting) {
			d.finish(i, w.cause)
		}
	}
}

// met takes note that an app server has answered.
func (d *Desk) met(at int) {
	s := &d.servers[at]
	if s.failed >= unmet {
		d.tell(at, Met)
	}
	s.failed = 0
	s.answered = true
}

func (d *Desk) tell(at int, what Change) {
	d.Orders = append(d.Orders, Order{Do: Tell, Server: at, Change: what})
}

// well takes note of a try that was ok.
func (d *Desk) well(at int, took float64) {
	s := &d.servers[at]
	d.met(at)
	s.strikes = 0
	s.fine, s.poor = s.fine*recent+1, s.poor*recent
	s.lastTook = took
	if s.took == 0 {
		s.took = took
	} else {
		s.took += learn * (took - s.took)
	}
	if s.standing == probing {
		d.tell(at, LetBack)
		s.back, s.excludedEver = d.now, 0
		s.fine, s.poor = 0, 0
		d.stand(at, good)
	}
}

// strike takes note of a try that failed there, and leaves the app server out once it fails too often, unless too
// many are out already: then the fault is not theirs.
func (d *Desk) strike(at int) {
	s := &d.servers[at]
	s.strikes++
	s.fine, s.poor = s.fine*recent, s.poor*recent+1
	bad := s.strikes >= badRow || s.poor+s.fine >= badLeast*badShare && s.poor > badShare*(s.poor+s.fine) &&
		s.strikes > 1 && s.poor >= badLeast*badShare
	listed, out := d.Listed()
	switch {
	case s.standing == probing:
	case s.standing != good, !bad, float64(out+1) > outAtMost*float64(listed):
		return
	}
	span := min(mostOut, firstOut*math.Pow(2, float64(s.excludedEver)))
	s.until = d.now + span*(0.5+d.chance.Draw()/2)
	s.excludedEver++
	s.strikes = 0
	d.Count.Excluded++
	if s.standing == good {
		d.tell(at, LeftOut)
	}
	d.stand(at, excluded)
	d.by(s.until)
}
