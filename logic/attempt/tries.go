package attempt

import (
	"cmp"

	"valveglade/rpc"
)

// Unsent tells that no byte of a try was written, as its connection had ended.
func (d *Desk) Unsent(now float64, id ID, number int) {
	d.clock(now)
	if d.holds(id) && d.drop(id.Index, number) {
		d.Count.Tries-- // it never left
		d.again(id.Index, NeverSent, Lost, 0)
		d.pump()
	}
}

// Answered tells of an app server's answer to a try: how it ended, whether no other is to be tried, for how long
// to stay away, the credit (below 0 for none).
func (d *Desk) Answered(now float64, id ID, number int, how Cause, last bool, after, credit float64) {
	d.clock(now)
	if !d.holds(id) {
		return
	}
	w := &d.rpcs[id.Index]
	t := w.find(number)
	if t == nil {
		return
	}
	at, sent := d.conns[t.conn].server, t.sent
	d.conns[t.conn].heard = d.now
	d.credit(at, credit)
	d.drop(id.Index, number)
	switch how {
	case Served:
		d.Count.Served++
		d.well(at, d.now-sent)
		if took := &d.took[w.method]; *took == 0 {
			*took = d.now - sent
		} else {
			*took += learn * (d.now - sent - *took)
		}
		w.reach = Ran
		d.finish(id.Index, Served)
	case Refused:
		d.Count.Refused++
		after = min(max(after, 0), mostAway)
		s := &d.servers[at]
		d.met(at)
		s.away = max(s.away, d.now+after)
		w.last = w.last || last
		d.again(id.Index, PushedBack, Refused, after)
	default:
		d.strike(at)
		d.again(id.Index, Ran, Aborted, 0)
	}
	d.pump()
}

func (w *work) find(number int) *try {
	for k := range w.out {
		if number > 0 && w.out[k].number == number {
			return &w.out[k]
		}
	}
	return nil
}

// drop takes a try off its connection; it tells whether the try was out.
func (d *Desk) drop(i, number int) bool {
	t := d.rpcs[i].find(number)
	if t == nil {
		return false
	}
	c := &d.conns[t.conn]
	c.open--
	c.used = d.now
	d.servers[c.server].open--
	*t = try{}
	d.settle(c.server)
	return true
}

// again decides what becomes of an RPC of which a try has failed, having come as far as reach. Nothing is kept
// back: what may not be tried again in time is told to the caller now.
func (d *Desk) again(i int, reach Reach, cause Cause, after float64) {
	w := &d.rpcs[i]
	w.reach = max(w.reach, reach)
	w.cause, w.after = cause, after
	if w.state == doubled { // the other try may still bring it
		d.move(i, out)
		return
	}
	ready := d.now + after
	if after == 0 && reach != NeverSent {
		ready += d.chance.Spread(firstRest, mostRest, w.tries-1)
	}
	switch {
	case d.now >= w.deadline:
		d.finish(i, Late)
		return
	case w.last, d.closed, w.kind == rpc.NonIdempotent && w.reach != NeverSent:
		d.finish(i, cause)
		return
	case ready+d.took[w.method]/2 >= w.deadline: // it could not end in time
		d.finish(i, cause)
		return
	}
	if w.kind == rpc.Tokened && w.reach >= Sent {
		w.pinned = true // its era is that of the last try
		if !d.sameLife(w) {
			d.finish(i, cause)
			return
		}
	}
	if reach != NeverSent && !d.budget.Spend(d.now) {
		d.Count.Denied++
		d.finish(i, cause)
		return
	}
	w.ready = ready
	if ready <= d.now {
		d.move(i, waiting)
		return
	}
	d.move(i, resting)
	d.by(ready)
}

// sameLife tells whether the app server that may have run a tokened RPC is still the process that it was: only
// that one knows the token. Another under its address would run it a second time.
func (d *Desk) sameLife(w *work) bool {
	s := &d.servers[w.server]
	return d.Remembers || s.up+s.checks > 0 && s.era == w.era
}

// pump sends what waits to where there is room, and connects where there is none.
func (d *Desk) pump() {
	short := false // some that waits found no room
	for k := 0; k < len(d.line); {
		i := d.line[k]
		w := &d.rpcs[i]
		switch {
		case w.pinned && !d.sameLife(w):
			d.finish(i, w.cause)
			continue
		case d.now >= w.deadline, w.tries > 0 && d.now+d.took[w.method]/2 >= w.deadline: // it could not end in time
			d.finish(i, cmp.Or(w.cause, Late))
			continue
		}
		if short && !w.pinned {
			k++
			if len(d.line) > 64 && k > 64 { // only pinned ones are looked for past the first
				break
			}
			continue
		}
		at := d.choose(w, -1)
		if at >= 0 {
			d.send(i, at)
			continue
		}
		if opens := d.opensFor(w); opens+d.took[w.method]/2 >= w.deadline {
			d.finish(i, cmp.Or(w.cause, d.whyShut()))
			continue
		}
		short = short || !w.pinned
		k++
	}
	d.connect(short)
}

// send has a waiting RPC written to an app server, or an outgoing one a second time.
func (d *Desk) send(i, at int) {
	w := &d.rpcs[i]
	c := d.lightest(at)
	w.tries++
	further := w.tries > 1 && w.reach != NeverSent || w.state == out
	d.Count.Tries++
	if further {
		d.Count.Further++
	} else if w.tries == 1 {
		d.budget.Earn(d.now)
	}
	k := 0
	if w.out[0].number > 0 {
		k = 1
	}
	w.out[k] = try{number: w.tries, conn: c, sent: d.now}
	w.server = at
	w.era = d.servers[at].era
	d.conns[c].open++
	d.conns[c].used = d.now
	if d.conns[c].open == 1 {
		d.conns[c].asked = d.now
	}
	if s := &d.servers[at]; s.open >= int(d.allowance(s)) {
		s.drawn = false // the fraction has let out what it may
	}
	d.servers[at].open++
	d.servers[at].used = d.now
	if w.state == out {
		d.move(i, doubled)
	} else {
		d.move(i, out)
	}
	d.Orders = append(d.Orders, Order{Do: Send, RPC: d.id(i), Try: w.tries, Conn: c, Server: at, Again: further,
		Deadline: w.deadline})
	if d.Hedge > 0 && w.kind == rpc.Idempotent && !w.hedged {
		d.by(w.out[0].sent + d.Hedge)
	}
}

// hedge sends a second try of idempotent RPCs that have been out for long, elsewhere, out of the same budget.
func (d *Desk) hedge() {
	if d.Hedge <= 0 {
		return
	}
	for i := range d.rpcs {
		w := &d.rpcs[i]
		if w.state != out || w.kind != rpc.Idempotent || w.hedged || w.last {
			continue
		}
		sent := max(w.out[0].sent, w.out[1].sent)
		if d.now < sent+d.Hedge {
			d.by(sent + d.Hedge)
			continue
		}
		w.hedged = true
		if d.now+d.took[w.method]/2 >= w.deadline {
			continue
		}
		if at := d.choose(w, w.server); at >= 0 && d.budget.Spend(d.now) {
			d.Count.Hedges++
			d.send(i, at)
		}
	}
}

// lost decides about an RPC whose connection has ended under a try. One that crossed a close of an idle connection
// is sent again once, beside the budget, as the protocol has it; still only if a second run does no harm.
func (d *Desk) lost(i int, t try) {
	w := &d.rpcs[i]
	if w.state == out && !w.crossed && d.now-t.sent <= Crossing && !d.conns[t.conn].owes &&
		d.conns[t.conn].open == 1 && w.kind == rpc.Idempotent && d.servers[w.server].up+d.servers[w.server].checks > 0 {
		w.crossed = true
		w.reach, w.cause = max(w.reach, Sent), Lost
		d.move(i, waiting)
		return
	}
	d.again(i, Sent, Lost, 0)
}
