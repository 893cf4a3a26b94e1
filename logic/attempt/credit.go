package attempt

import (
	"math"
)

// creditFresh reports whether the credit of the app server is recent enough to be used.
func (s *server) creditFresh(now float64) bool { return now < s.creditAt+creditLifetime }

// creditKnown reports whether the current process of the app server has reported its credit.
func (s *server) creditKnown() bool { return !math.IsInf(s.creditAt, -1) }

// allowance returns how many tries may be in flight at an app server. A process that has not reported its
// credit may be cold, and the default credit of many clients together would overload it; a health check asks
// for its credit first.
func (d *Dispatcher) allowance(s *server) float64 {
	if s.serverState == probing {
		return 1
	}
	limit := defaultCredit
	switch {
	case !s.creditKnown() && d.awaitsHealthCheck(s):
		return 0
	case s.creditFresh(d.now):
		limit = s.credit
	case s.creditKnown() && s.credit > 0:
		limit = min(defaultCredit, s.credit)
	}
	if rampShare := (d.now - s.readmittedAt) / rampUpDuration; rampShare < 1 {
		limit = min(limit, max(1, limit*max(rampShare, initialRampShare)))
	}
	return limit
}

// awaitsHealthCheck reports whether a health check may still return the first credit of an app server.
func (d *Dispatcher) awaitsHealthCheck(s *server) bool {
	return d.CheckPeriod > 0 && !s.answered && d.now < s.connectedSince+firstCheckTimeout
}

// hasCapacity reports whether an app server may receive one more try; it does not consider its connections.
func (d *Dispatcher) hasCapacity(s *server) bool {
	if s.serverState != active && s.serverState != probing || d.now < s.avoidUntil {
		return false
	}
	whole, fraction := math.Modf(d.allowance(s))
	return s.openTries < int(whole) || s.openTries == int(whole) && fraction > 0 &&
		d.allowFraction(s, fraction)
}

// allowFraction reports whether the fraction of a credit allows one more try, by a random draw that it keeps
// for the duration of a try. With a draw for each event, the smallest fraction would soon allow a try.
func (d *Dispatcher) allowFraction(s *server, fraction float64) bool {
	if d.now >= s.redrawAt {
		s.fractionAllowed = d.random.Float64() < fraction
		s.redrawAt = d.now + max(s.lastDuration, minRedrawDelay)
	}
	if !s.fractionAllowed {
		d.wakeBy(s.redrawAt)
	}
	return s.fractionAllowed
}

// Checked handles the answer to a health check.
func (d *Dispatcher) Checked(now float64, connIndex int, healthy bool, credit float64) {
	d.advance(now)
	c := &d.conns[connIndex]
	if c.state == disconnected {
		return
	}
	s := &d.servers[c.server]
	c.checkPending, c.lastReceived, c.lastUsed = false, d.now, d.now
	s.unhealthy = !healthy
	d.recordAnswer(c.server)
	d.setCredit(c.server, credit)
	d.dispatch()
}

// setCredit records the credit that an app server reported; a negative one means that it reported none.
func (d *Dispatcher) setCredit(serverIndex int, credit float64) {
	if s := &d.servers[serverIndex]; credit >= 0 {
		s.credit, s.creditAt = credit, d.now
	}
}
