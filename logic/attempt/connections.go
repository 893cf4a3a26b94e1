package attempt

import "math"

// link is where a connection stands; only pass changes it.
type link uint8

const (
	none link = iota
	dialing
	up
	ending // no new RPC goes there; closed when it is empty
	links
)

var mayPass = [links][links]bool{
	none:    {dialing: true},
	dialing: {up: true, none: true},
	up:      {ending: true, none: true},
	ending:  {none: true},
}

// conn is one connection, or the attempt to have one.
type conn struct {
	state  link
	server int
	check  bool // for health checks
	open   int
	used   float64
	heard  float64 // 0 before the first word
	asked  float64 // when it last had something to answer and had nothing before
	next   float64 // health check due
	owes   bool    // the answer to one
}

func (d *Desk) pass(k int, to link) {
	c := &d.conns[k]
	if !mayPass[c.state][to] {
		panic("attempt: no such change of a connection")
	}
	s := &d.servers[c.server]
	counted := &s.up
	if c.check {
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
		d.free = append(d.free, k)
		if s.up+s.checks == 0 {
			d.forget(s)
		}
	}
}

// forget lets go of what is known of the process at an app server: what answers there from now on may be another.
func (d *Desk) forget(s *server) {
	s.era++
	s.heard, s.credit = math.Inf(-1), 0
	s.answered, s.lastTook = false, coldTook
	s.drawn, s.drawAt = false, 0
}

// hang has a connection closed that carries nothing.
func (d *Desk) hang(k int) {
	d.Orders = append(d.Orders, Order{Do: Hang, Conn: k, Server: d.conns[k].server})
	d.pass(k, none)
}

// connect opens what is wanted: a connection to each app server near that is in use, another where those there are
// full, one for health checks beside them.
func (d *Desk) connect(short bool) {
	if d.closed {
		return
	}
	if short {
		d.by(max(d.opens(), d.now+firstRest))
	}
	for _, at := range d.near() {
		s := &d.servers[at]
		if short {
			s.used = d.now
		}
		if d.now-s.used >= d.Idle && len(d.line) == 0 {
			continue
		}
		want, check := false, false
		switch {
		case s.dials > 0:
		case s.up == 0:
			want = true
		case s.checks == 0 && d.Period > 0:
			want, check = true, true
		case short && s.up < d.Conns && d.lightest(at) < 0 && float64(s.open) < d.allowance(s):
			want = true
		}
		switch {
		case !want:
		case d.now < s.dialAt:
			d.by(s.dialAt)
		case d.dialing < d.Dialing:
			d.dial(at, check)
		}
	}
}

func (d *Desk) dial(at int, check bool) {
	if len(d.free) == 0 {
		d.free = append(d.free, len(d.conns))
		d.conns = append(d.conns, conn{})
	}
	k := d.free[len(d.free)-1]
	d.free = d.free[:len(d.free)-1]
	d.conns[k] = conn{server: at, check: check, used: d.now}
	d.pass(k, dialing)
	d.Count.Dials++
	d.Orders = append(d.Orders, Order{Do: Dial, Conn: k, Server: at})
}

// ServerOf is the app server of a connection.
func (d *Desk) ServerOf(k int) int { return d.conns[k].server }

// Connected tells that a connection is there.
func (d *Desk) Connected(now float64, k int) {
	d.clock(now)
	c := &d.conns[k]
	d.pass(k, up)
	c.used, c.next = d.now, d.now
	if d.servers[c.server].standing == leaving || d.closed {
		d.pass(k, ending)
		d.settle(c.server)
	}
	if c.check {
		d.tend()
	}
	d.pump()
}

// NotConnected tells that a connect failed.
func (d *Desk) NotConnected(now float64, k int) {
	d.clock(now)
	c := &d.conns[k]
	d.pass(k, none)
	d.Count.DialsFailed++
	d.later(c.server)
	d.settle(c.server)
	d.pump()
}

// later puts the next connect off, further with each that failed.
func (d *Desk) later(at int) {
	s := &d.servers[at]
	s.dialAt = d.now + d.chance.Spread(d.First, d.Most, s.failed)
	if s.failed++; s.failed == unmet {
		d.tell(at, Unmet)
	}
	d.by(s.dialAt)
}

// Dropped tells that a connection has ended from the other side, or for what came on it (faulty). Its tries are
// lost: how far they came, nobody knows.
func (d *Desk) Dropped(now float64, k int, faulty bool) {
	d.clock(now)
	c := d.conns[k]
	if c.state == none {
		return
	}
	at := c.server
	s := &d.servers[at]
	asked := c.state == ending
	d.pass(k, none)
	if c.open > 0 || faulty {
		d.Count.Lost++
		d.strike(at)
	}
	switch {
	case faulty, s.up+s.checks == 0 && !asked, c.heard == 0 && !c.check:
		// The process may be gone, and then all its callers come back together; or it takes connections only to end
		// them.
		d.later(at)
	case c.open > 0, c.check:
		s.dialAt = max(s.dialAt, d.now+d.chance.Spread(firstRest, d.First, 0))
		d.by(s.dialAt)
	}
	for i := range d.rpcs {
		w := &d.rpcs[i]
		for j := range w.out {
			if t := w.out[j]; t.number > 0 && t.conn == k {
				w.out[j] = try{}
				s.open--
				d.lost(i, t)
				break // of a hedged RPC the other try is elsewhere
			}
		}
	}
	d.conns[k].open = 0
	d.settle(at)
	d.pump()
}

// Draining tells that an app server asked for no new RPC on a connection.
func (d *Desk) Draining(now float64, k int) {
	d.clock(now)
	if c := &d.conns[k]; c.state == up {
		c.heard = d.now
		d.pass(k, ending)
		d.settle(c.server)
		d.pump()
	}
}

// tend looks at what time alone changes at app servers and connections.
func (d *Desk) tend() {
	for at := range d.servers {
		if s := &d.servers[at]; s.standing == excluded {
			if d.now >= s.until {
				d.stand(at, probing)
			} else {
				d.by(s.until)
			}
		}
	}
	for k := range d.conns {
		c := &d.conns[k]
		switch {
		case c.state != up:
		case c.check && d.servers[c.server].up == 0 && d.now-d.servers[c.server].used >= d.Idle:
			d.hang(k)
		case c.check && d.now < c.next:
			d.by(c.next)
		case c.check && c.owes: // a whole period without an answer
			d.mute(k)
		case c.check:
			c.owes = true
			c.next = d.now + d.Period*(0.75+d.chance.Draw()/2)
			d.Orders = append(d.Orders, Order{Do: Check, Conn: k, Server: c.server})
			d.by(c.next)
		case c.open > 0 && d.now-max(c.asked, c.heard) >= silence:
			d.mute(k)
		case c.open > 0:
			d.by(max(c.asked, c.heard) + silence)
		case d.now-c.used >= d.Idle:
			at := c.server
			d.hang(k)
			d.settle(at)
		default:
			d.by(c.used + d.Idle)
		}
	}
}

// mute gives up a connection on which nothing is answered any more.
func (d *Desk) mute(k int) {
	d.Orders = append(d.Orders, Order{Do: Hang, Conn: k, Server: d.conns[k].server})
	d.Dropped(d.now, k, true)
}
