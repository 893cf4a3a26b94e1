package attempt

import "math"

// connState is the state of a connection. Only setConnState changes it.
type connState uint8

const (
	disconnected connState = iota
	dialing
	connected
	draining // receives no new RPCs; closed once none is in flight
	connStateCount
)

var validConnTransitions = [connStateCount][connStateCount]bool{
	disconnected: {dialing: true},
	dialing:      {connected: true, disconnected: true},
	connected:    {draining: true, disconnected: true},
	draining:     {disconnected: true},
}

// conn is a connection, or a connect in progress. Its index is reused once it is disconnected.
type conn struct {
	state        connState
	server       int     // index of the app server
	healthCheck  bool    // used for health checks only
	openTries    int     // number of RPCs in flight
	lastUsed     float64 // time of the last send, answer or health check
	lastReceived float64 // time of the last answer; 0 before the first
	busySince    float64 // when openTries last rose from 0
	nextCheck    float64 // time of the next health check
	checkPending bool    // a health check has not been answered yet
}

// setConnState changes the state of a connection and keeps the counts of connections consistent with it.
func (d *Dispatcher) setConnState(connIndex int, to connState) {
	c := &d.conns[connIndex]
	if !validConnTransitions[c.state][to] {
		panic("attempt: invalid transition of a connection")
	}
	s := &d.servers[c.server]
	connCount := &s.connected
	if c.healthCheck {
		connCount = &s.checkConns
	}
	if c.state == dialing {
		d.dialing--
		s.pendingDials--
	} else if c.state != disconnected && to == disconnected {
		*connCount--
	}
	c.state = to
	switch to {
	case dialing:
		d.dialing++
		s.pendingDials++
	case connected:
		if s.connected+s.checkConns == 0 {
			s.connectedSince = d.now
		}
		*connCount++
	case disconnected:
		d.freeConns = append(d.freeConns, connIndex)
		if s.connected+s.checkConns == 0 {
			d.resetProcessState(s)
		}
	}
}

// resetProcessState clears the state that belongs to the current process of an app server. Without a
// connection, the next answer from its address may come from another process.
func (d *Dispatcher) resetProcessState(s *server) {
	s.incarnation++
	s.creditAt, s.credit = math.Inf(-1), 0
	s.answered, s.lastDuration = false, coldDuration
	s.fractionAllowed, s.redrawAt = false, 0
}

// disconnect closes a connection that has no RPC in flight.
func (d *Dispatcher) disconnect(connIndex int) {
	d.Actions = append(d.Actions,
		Action{Kind: Disconnect, Conn: connIndex, Server: d.conns[connIndex].server})
	d.setConnState(connIndex, disconnected)
}

// openConnections opens the missing connections: one to each preferred app server in use, another where the
// existing ones are full, and one for health checks. shortOfCapacity means that a queued RPC found no
// capacity.
func (d *Dispatcher) openConnections(shortOfCapacity bool) {
	if d.closed {
		return
	}
	if shortOfCapacity {
		d.wakeBy(max(d.nextAvailable(), d.now+firstRetryDelay))
	}
	for _, serverIndex := range d.preferredServers() {
		s := &d.servers[serverIndex]
		if shortOfCapacity {
			s.lastUsed = d.now
		}
		if d.now-s.lastUsed >= d.IdleTimeout && len(d.queue) == 0 {
			continue
		}
		want, forHealthChecks := false, false
		switch {
		case s.pendingDials > 0:
		case s.connected == 0:
			want = true
		case s.checkConns == 0 && d.CheckPeriod > 0:
			want, forHealthChecks = true, true
		case shortOfCapacity && s.connected < d.MaxConns && d.leastLoadedConn(serverIndex) < 0 &&
			float64(s.openTries) < d.allowance(s):
			want = true
		}
		switch {
		case !want:
		case d.now < s.nextDialAt:
			d.wakeBy(s.nextDialAt)
		case d.dialing < d.MaxDials:
			d.dial(serverIndex, forHealthChecks)
		}
	}
}

// dial starts a connect, for a connection that carries RPCs or only health checks.
func (d *Dispatcher) dial(serverIndex int, forHealthChecks bool) {
	if len(d.freeConns) == 0 {
		d.freeConns = append(d.freeConns, len(d.conns))
		d.conns = append(d.conns, conn{})
	}
	connIndex := d.freeConns[len(d.freeConns)-1]
	d.freeConns = d.freeConns[:len(d.freeConns)-1]
	d.conns[connIndex] = conn{server: serverIndex, healthCheck: forHealthChecks, lastUsed: d.now}
	d.setConnState(connIndex, dialing)
	d.Totals.Dials++
	d.Actions = append(d.Actions, Action{Kind: Dial, Conn: connIndex, Server: serverIndex})
}

// ServerOf returns the index of the app server of a connection.
func (d *Dispatcher) ServerOf(connIndex int) int { return d.conns[connIndex].server }

// Connected handles an established connection.
func (d *Dispatcher) Connected(now float64, connIndex int) {
	d.advance(now)
	c := &d.conns[connIndex]
	d.setConnState(connIndex, connected)
	c.lastUsed, c.nextCheck = d.now, d.now
	if d.servers[c.server].serverState == removing || d.closed {
		d.setConnState(connIndex, draining)
		d.closeDrained(c.server)
	}
	if c.healthCheck {
		d.checkTimers()
	}
	d.dispatch()
}

// ConnectFailed handles a failed connect.
func (d *Dispatcher) ConnectFailed(now float64, connIndex int) {
	d.advance(now)
	c := &d.conns[connIndex]
	d.setConnState(connIndex, disconnected)
	d.Totals.DialsFailed++
	d.backOff(c.server)
	d.closeDrained(c.server)
	d.dispatch()
}

// backOff delays the next connect to an app server, by an exponentially growing delay with jitter.
func (d *Dispatcher) backOff(serverIndex int) {
	s := &d.servers[serverIndex]
	s.nextDialAt = d.now + d.random.Backoff(d.FirstBackoff, d.MaxBackoff, s.failedDials)
	if s.failedDials++; s.failedDials == unreachableAfter {
		d.reportChange(serverIndex, Unreachable)
	}
	d.wakeBy(s.nextDialAt)
}

// Dropped handles a connection that the app server closed, or that was closed because of a protocol error or
// its silence (faulty). Its tries in flight are lost, with unknown outcome.
func (d *Dispatcher) Dropped(now float64, connIndex int, faulty bool) {
	d.advance(now)
	c := d.conns[connIndex]
	if c.state == disconnected {
		return
	}
	serverIndex := c.server
	s := &d.servers[serverIndex]
	wasDraining := c.state == draining
	d.setConnState(connIndex, disconnected)
	if c.openTries > 0 || faulty {
		d.Totals.Lost++
		d.recordFailure(serverIndex)
	}
	switch {
	case faulty, s.connected+s.checkConns == 0 && !wasDraining, c.lastReceived == 0 && !c.healthCheck:
		// The process may have ended, and then all its clients reconnect at once; or it accepts connections
		// only to close them.
		d.backOff(serverIndex)
	case c.openTries > 0, c.healthCheck:
		s.nextDialAt = max(s.nextDialAt, d.now+d.random.Backoff(firstRetryDelay, d.FirstBackoff, 0))
		d.wakeBy(s.nextDialAt)
	}
	for requestIndex := range d.requests {
		r := &d.requests[requestIndex]
		for slot := range r.inFlight {
			if t := r.inFlight[slot]; t.number > 0 && t.conn == connIndex {
				r.inFlight[slot] = try{}
				s.openTries--
				d.handleLostTry(requestIndex, t)
				break // the other try of a hedged RPC is at another app server
			}
		}
	}
	d.conns[connIndex].openTries = 0
	d.closeDrained(serverIndex)
	d.dispatch()
}

// Draining handles an app server's request for no new RPCs on a connection.
func (d *Dispatcher) Draining(now float64, connIndex int) {
	d.advance(now)
	if c := &d.conns[connIndex]; c.state == connected {
		c.lastReceived = d.now
		d.setConnState(connIndex, draining)
		d.closeDrained(c.server)
		d.dispatch()
	}
}

// checkTimers handles the timers of app servers and connections: ends of exclusions, health checks, silence
// and idle timeouts.
func (d *Dispatcher) checkTimers() {
	for serverIndex := range d.servers {
		if s := &d.servers[serverIndex]; s.serverState == excluded {
			if d.now >= s.excludedUntil {
				d.setServerState(serverIndex, probing)
			} else {
				d.wakeBy(s.excludedUntil)
			}
		}
	}
	for connIndex := range d.conns {
		c := &d.conns[connIndex]
		switch {
		case c.state != connected:
		case c.healthCheck && d.servers[c.server].connected == 0 &&
			d.now-d.servers[c.server].lastUsed >= d.IdleTimeout:
			d.disconnect(connIndex)
		case c.healthCheck && d.now < c.nextCheck:
			d.wakeBy(c.nextCheck)
		case c.healthCheck && c.checkPending: // not answered for a whole period
			d.dropUnresponsive(connIndex)
		case c.healthCheck:
			c.checkPending = true
			c.nextCheck = d.now + d.CheckPeriod*(0.75+d.random.Float64()/2)
			d.Actions = append(d.Actions, Action{Kind: CheckHealth, Conn: connIndex, Server: c.server})
			d.wakeBy(c.nextCheck)
		case c.openTries > 0 && d.now-max(c.busySince, c.lastReceived) >= silenceTimeout:
			d.dropUnresponsive(connIndex)
		case c.openTries > 0:
			d.wakeBy(max(c.busySince, c.lastReceived) + silenceTimeout)
		case d.now-c.lastUsed >= d.IdleTimeout:
			serverIndex := c.server
			d.disconnect(connIndex)
			d.closeDrained(serverIndex)
		default:
			d.wakeBy(c.lastUsed + d.IdleTimeout)
		}
	}
}

// dropUnresponsive closes a connection that has stopped answering, and treats it as faulty.
func (d *Dispatcher) dropUnresponsive(connIndex int) {
	d.Actions = append(d.Actions,
		Action{Kind: Disconnect, Conn: connIndex, Server: d.conns[connIndex].server})
	d.Dropped(d.now, connIndex, true)
}
