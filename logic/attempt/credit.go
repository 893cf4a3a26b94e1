package attempt

import (
	"math"
)

// creditFresh reports whether the app server's credit is recent enough to be used.
func (s *server) creditFresh(now float64) bool { return now < s.creditAt+creditLifetime }

// creditKnown reports whether the current process of the app server has reported its credit.
func (s *server) creditKnown() bool { return !math.IsInf(s.creditAt, -1) }

// allowance is how many tries may be out at an app server. One that has not reported its credit yet may be cold, and then
// many clients that each try what one alone may be allowed are too much for it: a health check asks it first.
func (d *Dispatcher) allowance(s *server) float64 {
	if s.serverState == probing {
		return 1
	}
	most := firstCredit
	switch {
	case !s.creditKnown() && d.awaitsCheck(s):
		return 0
	case s.creditFresh(d.now):
		most = s.credit
	case s.creditKnown() && s.credit > 0:
		most = min(firstCredit, s.credit)
	}
	if warm := (d.now - s.readmittedAt) / rampUp; warm < 1 {
		most = min(most, max(1, most*max(warm, rampUpFrom)))
	}
	return most
}

// awaitsCheck reports whether a health check is still to return the credit of an app server that has reported none.
func (d *Dispatcher) awaitsCheck(s *server) bool {
	return d.CheckPeriod > 0 && !s.answered && d.now < s.upSince+firstCheckTimeout
}

// hasRoom reports whether one more try may go to an app server, its connections aside.
func (d *Dispatcher) hasRoom(s *server) bool {
	if s.serverState != good && s.serverState != probing || d.now < s.avoidUntil {
		return false
	}
	whole, part := math.Modf(d.allowance(s))
	return s.open < int(whole) || s.open == int(whole) && part > 0 && d.allowFraction(s, part)
}

// allowFraction reports whether the fraction of a credit allows one more try. It is drawn again only after the time that a try
// takes: drawn with each event, the smallest fraction would soon let one out.
func (d *Dispatcher) allowFraction(s *server, part float64) bool {
	if d.now >= s.redrawAt {
		s.fractionAllowed = d.chance.Float64() < part
		s.redrawAt = d.now + max(s.lastDuration, minRedrawDelay)
	}
	if !s.fractionAllowed {
		d.wakeBy(s.redrawAt)
	}
	return s.fractionAllowed
}

// Checked reports the answer to a health check.
func (d *Dispatcher) Checked(now float64, k int, well bool, credit float64) {
	d.advance(now)
	c := &d.conns[k]
	if c.state == none {
		return
	}
	s := &d.servers[c.server]
	c.checkPending, c.lastHeard, c.lastUsed = false, d.now, d.now
	s.unhealthy = !well
	d.recordAnswer(c.server)
	d.setCredit(c.server, credit)
	d.dispatch()
}

// setCredit records the credit that an app server reported; below 0 it reported none.
func (d *Dispatcher) setCredit(at int, credit float64) {
	if s := &d.servers[at]; credit >= 0 {
		s.credit, s.creditAt = credit, d.now
	}
}
