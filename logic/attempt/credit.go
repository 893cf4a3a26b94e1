package attempt

import (
	"math"
)

// fresh tells whether the app server's credit is still believed.
func (s *server) fresh(now float64) bool { return now < s.heard+creditFor }

// known tells whether the process that is there now has said its credit.
func (s *server) known() bool { return !math.IsInf(s.heard, -1) }

// allowance is how many tries may be out at an app server. One that has not said its credit yet may be cold, and then
// many clients that each try what one alone may be allowed are too much for it: a health check asks it first.
func (d *Desk) allowance(s *server) float64 {
	if s.standing == probing {
		return 1
	}
	most := firstCredit
	switch {
	case !s.known() && d.asksFirst(s):
		return 0
	case s.fresh(d.now):
		most = s.credit
	case s.known() && s.credit > 0:
		most = min(firstCredit, s.credit)
	}
	if warm := (d.now - s.back) / gentle; warm < 1 {
		most = min(most, max(1, most*max(warm, gentleFrom)))
	}
	return most
}

// asksFirst tells whether a health check will still tell the credit of an app server that has not said any.
func (d *Desk) asksFirst(s *server) bool {
	return d.Period > 0 && !s.answered && d.now < s.upSince+checkedWithin
}

// room tells whether one more try may go to an app server, its connections aside.
func (d *Desk) room(s *server) bool {
	if s.standing != good && s.standing != probing || d.now < s.away {
		return false
	}
	whole, part := math.Modf(d.allowance(s))
	return s.open < int(whole) || s.open == int(whole) && part > 0 && d.draw(s, part)
}

// draw tells whether the fraction of a credit lets one more try out. It is drawn again only after the time that a try
// takes: drawn with each event, the smallest fraction would soon let one out.
func (d *Desk) draw(s *server, part float64) bool {
	if d.now >= s.drawAt {
		s.drawn = d.chance.Draw() < part
		s.drawAt = d.now + max(s.lastTook, leastDraw)
	}
	if !s.drawn {
		d.by(s.drawAt)
	}
	return s.drawn
}

// Checked tells of the answer to a health check.
func (d *Desk) Checked(now float64, k int, well bool, credit float64) {
	d.clock(now)
	c := &d.conns[k]
	if c.state == none {
		return
	}
	s := &d.servers[c.server]
	c.owes, c.heard, c.used = false, d.now, d.now
	s.unwell = !well
	d.met(c.server)
	d.credit(c.server, credit)
	d.pump()
}

// credit takes over what an app server said of itself.
func (d *Desk) credit(at int, credit float64) {
	if s := &d.servers[at]; credit >= 0 {
		s.credit, s.heard = credit, d.now
	}
}
