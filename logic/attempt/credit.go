package attempt

import (
	"math"
)

// fresh tells whether the app server's credit is still believed.
func (s *server) fresh(now float64) bool { return now < s.heard+creditFor }

// allowance is how many tries may be out at an app server.
func (d *Desk) allowance(s *server) float64 {
	if s.standing == probing {
		return 1
	}
	most := firstCredit
	if s.fresh(d.now) {
		if most = s.credit; most <= 0 {
			return 0
		}
	}
	if warm := (d.now - s.back) / gentle; warm < 1 {
		most = max(1, most*max(warm, gentleFrom))
	}
	return most
}

// room tells whether one more try may go to an app server, its connections aside.
func (d *Desk) room(s *server) bool {
	if s.standing != good && s.standing != probing || d.now < s.away {
		return false
	}
	whole, part := math.Modf(d.allowance(s))
	return s.open < int(whole) || s.open == int(whole) && part > 0 && d.chance.Draw() < part
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
