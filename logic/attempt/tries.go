package attempt

import (
	"cmp"

	"valveglade/rpc"
)

// Unsent reports that no byte of a try was written, as its connection had ended.
func (d *Dispatcher) Unsent(now float64, id ID, number int) {
	d.advance(now)
	if d.isOpen(id) && d.endTry(id.Index, number) {
		d.Counts.Tries-- // it never left
		d.retryOrFinish(id.Index, NeverSent, Lost, 0)
		d.dispatch()
	}
}

// Answered reports an app server's answer to a try: how it ended, whether no other is to be tried, for how many
// seconds to stay away, and the credit (below 0 for none).
func (d *Dispatcher) Answered(now float64, id ID, number int, how Cause, last bool, after, credit float64) {
	d.advance(now)
	if !d.isOpen(id) {
		return
	}
	w := &d.rpcs[id.Index]
	t := w.findTry(number)
	if t == nil {
		return
	}
	at, sent := d.conns[t.conn].server, t.sent
	d.conns[t.conn].lastHeard = d.now
	d.setCredit(at, credit)
	d.endTry(id.Index, number)
	switch how {
	case Served:
		d.Counts.Served++
		d.recordSuccess(at, d.now-sent)
		if took := &d.durations[w.method]; *took == 0 {
			*took = d.now - sent
		} else {
			*took += smoothing * (d.now - sent - *took)
		}
		w.reach = Ran
		d.finish(id.Index, Served)
	case Refused:
		d.Counts.Refused++
		after = min(max(after, 0), maxRetryAfter)
		s := &d.servers[at]
		d.recordAnswer(at)
		s.avoidUntil = max(s.avoidUntil, d.now+after)
		w.noRetry = w.noRetry || last
		d.retryOrFinish(id.Index, PushedBack, Refused, after)
	default:
		d.recordFailure(at)
		d.retryOrFinish(id.Index, Ran, Aborted, 0)
	}
	d.dispatch()
}

func (w *request) findTry(number int) *try {
	for k := range w.inFlight {
		if number > 0 && w.inFlight[k].number == number {
			return &w.inFlight[k]
		}
	}
	return nil
}

// endTry removes a try from its connection, and reports whether it was in flight.
func (d *Dispatcher) endTry(i, number int) bool {
	t := d.rpcs[i].findTry(number)
	if t == nil {
		return false
	}
	c := &d.conns[t.conn]
	c.open--
	c.lastUsed = d.now
	d.servers[c.server].open--
	*t = try{}
	d.closeDrained(c.server)
	return true
}

// retryOrFinish decides what becomes of an RPC of which a try has failed, having come as far as reach. Nothing is kept
// back: what cannot be retried in time is returned to the caller now.
func (d *Dispatcher) retryOrFinish(i int, reach Progress, cause Cause, after float64) {
	w := &d.rpcs[i]
	w.reach = max(w.reach, reach)
	w.cause, w.after = cause, after
	if w.state == inFlightTwice { // the other try may still bring it
		d.setState(i, inFlight)
		return
	}
	ready := d.now + after
	if after == 0 && reach != NeverSent {
		ready += d.chance.Backoff(firstRetryDelay, maxRetryDelay, w.tries-1)
	}
	switch {
	case d.now >= w.deadline:
		d.finish(i, Late)
		return
	case w.noRetry, d.closed, w.kind == rpc.NonIdempotent && w.reach != NeverSent:
		d.finish(i, cause)
		return
	case ready+d.durations[w.method]/2 >= w.deadline: // it could not end in time
		d.finish(i, cause)
		return
	}
	if w.kind == rpc.Tokened && w.reach >= Sent {
		w.pinned = true // to the incarnation of the last try
		if !d.sameIncarnation(w) {
			d.finish(i, cause)
			return
		}
	}
	if reach != NeverSent && !d.budget.Spend(d.now) {
		d.Counts.RetriesDenied++
		d.finish(i, cause)
		return
	}
	w.retryAt = ready
	if ready <= d.now {
		d.setState(i, waiting)
		return
	}
	d.setState(i, backingOff)
	d.wakeBy(ready)
}

// sameIncarnation reports whether the app server that may have run a tokened RPC is still the same process: only
// that one knows the token. Another under its address would run it a second time.
func (d *Dispatcher) sameIncarnation(w *request) bool {
	s := &d.servers[w.server]
	return d.TokensPersist || s.up+s.checks > 0 && s.incarnation == w.incarnation
}

// dispatch sends what waits to where there is room, and connects where there is none.
func (d *Dispatcher) dispatch() {
	short := false // something that waits found no room
	for k := 0; k < len(d.queue); {
		i := d.queue[k]
		w := &d.rpcs[i]
		switch {
		case w.pinned && !d.sameIncarnation(w):
			d.finish(i, w.cause)
			continue
		case d.now >= w.deadline, w.tries > 0 && d.now+d.durations[w.method]/2 >= w.deadline: // it could not end in time
			d.finish(i, cmp.Or(w.cause, Late))
			continue
		}
		if short && !w.pinned {
			k++
			if len(d.queue) > 64 && k > 64 { // only pinned ones are looked for past the first
				break
			}
			continue
		}
		at := d.chooseServer(w, -1)
		if at >= 0 {
			d.send(i, at)
			continue
		}
		if opens := d.availableFor(w); opens+d.durations[w.method]/2 >= w.deadline {
			d.finish(i, cmp.Or(w.cause, d.unavailableCause()))
			continue
		}
		short = short || !w.pinned
		k++
	}
	d.connect(short)
}

// send sends a waiting RPC to an app server, or a second try of one in flight.
func (d *Dispatcher) send(i, at int) {
	w := &d.rpcs[i]
	c := d.leastLoadedConn(at)
	w.tries++
	further := w.tries > 1 && w.reach != NeverSent || w.state == inFlight
	d.Counts.Tries++
	if further {
		d.Counts.Retries++
	} else if w.tries == 1 {
		d.budget.Earn(d.now)
	}
	k := 0
	if w.inFlight[0].number > 0 {
		k = 1
	}
	w.inFlight[k] = try{number: w.tries, conn: c, sent: d.now}
	w.server = at
	w.incarnation = d.servers[at].incarnation
	d.conns[c].open++
	d.conns[c].lastUsed = d.now
	if d.conns[c].open == 1 {
		d.conns[c].askedAt = d.now
	}
	if s := &d.servers[at]; s.open >= int(d.allowance(s)) {
		s.fractionAllowed = false // the fraction is used up until the next draw
	}
	d.servers[at].open++
	d.servers[at].lastUsed = d.now
	if w.state == inFlight {
		d.setState(i, inFlightTwice)
	} else {
		d.setState(i, inFlight)
	}
	d.Actions = append(d.Actions, Action{Kind: Send, RPC: d.id(i), Try: w.tries, Conn: c, Server: at, Retry: further,
		Deadline: w.deadline})
	if d.HedgeAfter > 0 && w.kind == rpc.Idempotent && !w.hedged {
		d.wakeBy(w.inFlight[0].sent + d.HedgeAfter)
	}
}

// hedge sends a second try of idempotent RPCs that have been in flight for long to another app server, out of the same budget.
func (d *Dispatcher) hedge() {
	if d.HedgeAfter <= 0 {
		return
	}
	for i := range d.rpcs {
		w := &d.rpcs[i]
		if w.state != inFlight || w.kind != rpc.Idempotent || w.hedged || w.noRetry {
			continue
		}
		sent := max(w.inFlight[0].sent, w.inFlight[1].sent)
		if d.now < sent+d.HedgeAfter {
			d.wakeBy(sent + d.HedgeAfter)
			continue
		}
		w.hedged = true
		if d.now+d.durations[w.method]/2 >= w.deadline {
			continue
		}
		if at := d.chooseServer(w, w.server); at >= 0 && d.budget.Spend(d.now) {
			d.Counts.Hedges++
			d.send(i, at)
		}
	}
}

// connectionLost decides about an RPC whose connection has ended under a try. One that crossed a close of an idle connection
// is sent again once, outside the budget, as the protocol has it; still only if a second run does no harm.
func (d *Dispatcher) connectionLost(i int, t try) {
	w := &d.rpcs[i]
	if w.state == inFlight && !w.resent && d.now-t.sent <= CrossingWindow && !d.conns[t.conn].checkPending &&
		d.conns[t.conn].open == 1 && w.kind == rpc.Idempotent && d.servers[w.server].up+d.servers[w.server].checks > 0 {
		w.resent = true
		w.reach, w.cause = max(w.reach, Sent), Lost
		d.setState(i, waiting)
		return
	}
	d.retryOrFinish(i, Sent, Lost, 0)
}
