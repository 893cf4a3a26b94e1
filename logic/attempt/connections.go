package attempt

import "math"

// connState is the state of a connection; only setConnState changes it.
type connState uint8

const (
	none connState = iota
	dialing
	up
	ending // no new RPC goes there; closed when it is empty
	connStateCount
)

var validConnTransitions = [connStateCount][connStateCount]bool{
	none:    {dialing: true},
	dialing: {up: true, none: true},
	up:      {ending: true, none: true},
	ending:  {none: true},
}

// conn is one connection, or the attempt to have one.
type conn struct {
	state        connState
	server       int
	healthCheck  bool // it is used for health checks alone
	open         int
	lastUsed     float64
	lastHeard    float64 // 0 before the first answer
	askedAt      float64 // when it last had something to answer and had nothing before
	nextCheck    float64 // time of the next health check
	checkPending bool    // a health check is not answered yet
}

func (d *Dispatcher) setConnState(k int, to connState) {
	c := &d.conns[k]
	if !validConnTransitions[c.state][to] {
		panic("attempt: no such change of a connection")
	}
	s := &d.servers[c.server]
	counted := &s.up
	if c.healthCheck {
		counted = &s.checks
	}
	if c.state == dialing {
		d.dialing--
		s.dials--
	} else if c.state != none && to == none {
		*counted--
	}
	c.state = to
	switch to {
	case dialing:
		d.dialing++
		s.dials++
	case up:
		if s.up+s.checks == 0 {
			s.upSince = d.now
		}
		*counted++
	case none:
		d.freeConns = append(d.freeConns, k)
		if s.up+s.checks == 0 {
			d.forget(s)
		}
	}
}

// forget drops what is known of the process at an app server: what answers there from now on may be another one.
func (d *Dispatcher) forget(s *server) {
	s.incarnation++
	s.creditAt, s.credit = math.Inf(-1), 0
	s.answered, s.lastDuration = false, coldDuration
	s.fractionAllowed, s.redrawAt = false, 0
}

// disconnect closes a connection on which nothing is open.
func (d *Dispatcher) disconnect(k int) {
	d.Actions = append(d.Actions, Action{Kind: Disconnect, Conn: k, Server: d.conns[k].server})
	d.setConnState(k, none)
}

// connect opens what is wanted: a connection to each app server near that is in use, another where those there are
// full, and one for health checks.
func (d *Dispatcher) connect(short bool) {
	if d.closed {
		return
	}
	if short {
		d.wakeBy(max(d.nextAvailable(), d.now+firstRetryDelay))
	}
	for _, at := range d.nearest() {
		s := &d.servers[at]
		if short {
			s.lastUsed = d.now
		}
		if d.now-s.lastUsed >= d.IdleTimeout && len(d.queue) == 0 {
			continue
		}
		want, check := false, false
		switch {
		case s.dials > 0:
		case s.up == 0:
			want = true
		case s.checks == 0 && d.CheckPeriod > 0:
			want, check = true, true
		case short && s.up < d.MaxConns && d.leastLoadedConn(at) < 0 && float64(s.open) < d.allowance(s):
			want = true
		}
		switch {
		case !want:
		case d.now < s.dialAt:
			d.wakeBy(s.dialAt)
		case d.dialing < d.MaxDials:
			d.dial(at, check)
		}
	}
}

func (d *Dispatcher) dial(at int, check bool) {
	if len(d.freeConns) == 0 {
		d.freeConns = append(d.freeConns, len(d.conns))
		d.conns = append(d.conns, conn{})
	}
	k := d.freeConns[len(d.freeConns)-1]
	d.freeConns = d.freeConns[:len(d.freeConns)-1]
	d.conns[k] = conn{server: at, healthCheck: check, lastUsed: d.now}
	d.setConnState(k, dialing)
	d.Counts.Dials++
	d.Actions = append(d.Actions, Action{Kind: Dial, Conn: k, Server: at})
}

// ServerOf is the app server of a connection.
func (d *Dispatcher) ServerOf(k int) int { return d.conns[k].server }

// Connected reports that a connection has been established.
func (d *Dispatcher) Connected(now float64, k int) {
	d.advance(now)
	c := &d.conns[k]
	d.setConnState(k, up)
	c.lastUsed, c.nextCheck = d.now, d.now
	if d.servers[c.server].serverState == leaving || d.closed {
		d.setConnState(k, ending)
		d.closeDrained(c.server)
	}
	if c.healthCheck {
		d.checkTimers()
	}
	d.dispatch()
}

// ConnectFailed reports that a connect failed.
func (d *Dispatcher) ConnectFailed(now float64, k int) {
	d.advance(now)
	c := &d.conns[k]
	d.setConnState(k, none)
	d.Counts.DialsFailed++
	d.backOff(c.server)
	d.closeDrained(c.server)
	d.dispatch()
}

// backOff delays the next connect, longer with each one that failed.
func (d *Dispatcher) backOff(at int) {
	s := &d.servers[at]
	s.dialAt = d.now + d.chance.Backoff(d.FirstBackoff, d.MaxBackoff, s.failedDials)
	if s.failedDials++; s.failedDials == unreachableAfter {
		d.report(at, Unreachable)
	}
	d.wakeBy(s.dialAt)
}

// Dropped reports that a connection was ended by the other side, or for what arrived on it (faulty). Its tries are
// lost: how far they came, nobody knows.
func (d *Dispatcher) Dropped(now float64, k int, faulty bool) {
	d.advance(now)
	c := d.conns[k]
	if c.state == none {
		return
	}
	at := c.server
	s := &d.servers[at]
	asked := c.state == ending
	d.setConnState(k, none)
	if c.open > 0 || faulty {
		d.Counts.Lost++
		d.recordFailure(at)
	}
	switch {
	case faulty, s.up+s.checks == 0 && !asked, c.lastHeard == 0 && !c.healthCheck:
		// The process may be gone, and then all its callers come back together; or it takes connections only to end
		// them.
		d.backOff(at)
	case c.open > 0, c.healthCheck:
		s.dialAt = max(s.dialAt, d.now+d.chance.Backoff(firstRetryDelay, d.FirstBackoff, 0))
		d.wakeBy(s.dialAt)
	}
	for i := range d.rpcs {
		w := &d.rpcs[i]
		for j := range w.inFlight {
			if t := w.inFlight[j]; t.number > 0 && t.conn == k {
				w.inFlight[j] = try{}
				s.open--
				d.connectionLost(i, t)
				break // of a hedged RPC the other try is elsewhere
			}
		}
	}
	d.conns[k].open = 0
	d.closeDrained(at)
	d.dispatch()
}

// Draining reports that an app server asked for no new RPC on a connection.
func (d *Dispatcher) Draining(now float64, k int) {
	d.advance(now)
	if c := &d.conns[k]; c.state == up {
		c.lastHeard = d.now
		d.setConnState(k, ending)
		d.closeDrained(c.server)
		d.dispatch()
	}
}

// checkTimers handles what is due at app servers and connections.
func (d *Dispatcher) checkTimers() {
	for at := range d.servers {
		if s := &d.servers[at]; s.serverState == excluded {
			if d.now >= s.excludedUntil {
				d.setServerState(at, probing)
			} else {
				d.wakeBy(s.excludedUntil)
			}
		}
	}
	for k := range d.conns {
		c := &d.conns[k]
		switch {
		case c.state != up:
		case c.healthCheck && d.servers[c.server].up == 0 && d.now-d.servers[c.server].lastUsed >= d.IdleTimeout:
			d.disconnect(k)
		case c.healthCheck && d.now < c.nextCheck:
			d.wakeBy(c.nextCheck)
		case c.healthCheck && c.checkPending: // a whole period without an answer
			d.dropSilent(k)
		case c.healthCheck:
			c.checkPending = true
			c.nextCheck = d.now + d.CheckPeriod*(0.75+d.chance.Float64()/2)
			d.Actions = append(d.Actions, Action{Kind: CheckHealth, Conn: k, Server: c.server})
			d.wakeBy(c.nextCheck)
		case c.open > 0 && d.now-max(c.askedAt, c.lastHeard) >= silenceTimeout:
			d.dropSilent(k)
		case c.open > 0:
			d.wakeBy(max(c.askedAt, c.lastHeard) + silenceTimeout)
		case d.now-c.lastUsed >= d.IdleTimeout:
			at := c.server
			d.disconnect(k)
			d.closeDrained(at)
		default:
			d.wakeBy(c.lastUsed + d.IdleTimeout)
		}
	}
}

// dropSilent closes a connection on which nothing is answered any more, and treats it as faulty.
func (d *Dispatcher) dropSilent(k int) {
	d.Actions = append(d.Actions, Action{Kind: Disconnect, Conn: k, Server: d.conns[k].server})
	d.Dropped(d.now, k, true)
}
