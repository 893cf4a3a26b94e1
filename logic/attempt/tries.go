package attempt

import (
	"cmp"

	"valveglade/rpc"
)

// Unsent handles a try of which no byte was written, because its connection ended or its deadline passed
// first.
func (d *Dispatcher) Unsent(now float64, id ID, number int) {
	d.advance(now)
	if d.isOpen(id) && d.removeTry(id.Index, number) {
		d.Totals.Tries-- // send counted it
		d.retryOrFinish(id.Index, NeverSent, Lost, 0)
		d.dispatch()
	}
}

// Answered handles an app server's answer to a try: its result, whether further tries are forbidden, the
// retry-after delay in seconds, and the credit (negative if none was reported).
func (d *Dispatcher) Answered(now float64, id ID, number int, result Cause, forbidsRetry bool,
	retryAfter, credit float64) {
	d.advance(now)
	if !d.isOpen(id) {
		return
	}
	r := &d.requests[id.Index]
	t := r.findTry(number)
	if t == nil {
		return
	}
	serverIndex, sent := d.conns[t.conn].server, t.sent
	d.conns[t.conn].lastReceived = d.now
	d.setCredit(serverIndex, credit)
	d.removeTry(id.Index, number)
	switch result {
	case Served:
		d.Totals.Served++
		d.recordSuccess(serverIndex, d.now-sent)
		if mean := &d.methodDurations[r.method]; *mean == 0 {
			*mean = d.now - sent
		} else {
			*mean += averageWeight * (d.now - sent - *mean)
		}
		r.progress = Ran
		d.finish(id.Index, Served)
	case Refused:
		d.Totals.Refused++
		retryAfter = min(max(retryAfter, 0), maxRetryAfter)
		s := &d.servers[serverIndex]
		d.recordAnswer(serverIndex)
		s.avoidUntil = max(s.avoidUntil, d.now+retryAfter)
		r.noRetry = r.noRetry || forbidsRetry
		d.retryOrFinish(id.Index, PushedBack, Refused, retryAfter)
	default:
		d.recordFailure(serverIndex)
		d.retryOrFinish(id.Index, Ran, Aborted, 0)
	}
	d.dispatch()
}

func (r *request) findTry(number int) *try {
	for slot := range r.inFlight {
		if number > 0 && r.inFlight[slot].number == number {
			return &r.inFlight[slot]
		}
	}
	return nil
}

// removeTry removes a try from its RPC and its connection, and reports whether it was in flight.
func (d *Dispatcher) removeTry(requestIndex, number int) bool {
	t := d.requests[requestIndex].findTry(number)
	if t == nil {
		return false
	}
	c := &d.conns[t.conn]
	c.openTries--
	c.lastUsed = d.now
	d.servers[c.server].openTries--
	*t = try{}
	d.closeDrained(c.server)
	return true
}

// retryOrFinish retries or finishes an RPC after a failed try with the given progress. An RPC that cannot be
// retried before its deadline finishes at once.
func (d *Dispatcher) retryOrFinish(requestIndex int, progress Progress, cause Cause, retryAfter float64) {
	r := &d.requests[requestIndex]
	r.progress = max(r.progress, progress)
	r.cause, r.retryAfter = cause, retryAfter
	if r.state == inFlightTwice { // the other try may still succeed
		d.setState(requestIndex, inFlight)
		return
	}
	readyAt := d.now + retryAfter
	if retryAfter == 0 && progress != NeverSent {
		readyAt += d.random.Backoff(firstRetryDelay, maxRetryDelay, r.tries-1)
	}
	switch {
	case d.now >= r.deadline:
		d.finish(requestIndex, Late)
		return
	case r.noRetry, d.closed, r.kind == rpc.NonIdempotent && r.progress != NeverSent:
		d.finish(requestIndex, cause)
		return
	case readyAt+d.methodDurations[r.method]/2 >= r.deadline: // a retry is unlikely to end in time
		d.finish(requestIndex, cause)
		return
	}
	if r.kind == rpc.Tokened && r.progress >= Sent {
		r.pinned = true // to the incarnation of the last try
		if !d.sameIncarnation(r) {
			d.finish(requestIndex, cause)
			return
		}
	}
	if progress != NeverSent && !d.budget.Spend(d.now) {
		d.Totals.RetriesDenied++
		d.finish(requestIndex, cause)
		return
	}
	r.retryAt = readyAt
	if readyAt <= d.now {
		d.setState(requestIndex, waiting)
		return
	}
	d.setState(requestIndex, backingOff)
	d.wakeBy(readyAt)
}

// sameIncarnation reports whether the app server that may have run a tokened RPC is still the same process.
// Only that process knows the token; another one at the same address would run the RPC a second time.
func (d *Dispatcher) sameIncarnation(r *request) bool {
	s := &d.servers[r.server]
	return d.TokensPersist || s.connected+s.checkConns > 0 && s.incarnation == r.incarnation
}

// dispatch sends queued RPCs to app servers that have capacity, and opens connections where it is short. It
// finishes RPCs that cannot end before their deadline.
func (d *Dispatcher) dispatch() {
	shortOfCapacity := false // a queued RPC found no app server with capacity
	for position := 0; position < len(d.queue); {
		requestIndex := d.queue[position]
		r := &d.requests[requestIndex]
		switch {
		case r.pinned && !d.sameIncarnation(r):
			d.finish(requestIndex, r.cause)
			continue
		case d.now >= r.deadline, r.tries > 0 && d.now+d.methodDurations[r.method]/2 >= r.deadline:
			// A retry is unlikely to end in time.
			d.finish(requestIndex, cmp.Or(r.cause, Late))
			continue
		}
		if shortOfCapacity && !r.pinned {
			position++
			// Only pinned RPCs may still find capacity. The search for them ends after 64 positions.
			if len(d.queue) > 64 && position > 64 {
				break
			}
			continue
		}
		serverIndex := d.chooseServer(r, -1)
		if serverIndex >= 0 {
			d.send(requestIndex, serverIndex)
			continue
		}
		if earliest := d.availableFor(r); earliest+d.methodDurations[r.method]/2 >= r.deadline {
			d.finish(requestIndex, cmp.Or(r.cause, d.unavailableCause()))
			continue
		}
		shortOfCapacity = shortOfCapacity || !r.pinned
		position++
	}
	d.openConnections(shortOfCapacity)
}

// send sends a waiting RPC to an app server, or a second try (hedge) of one in flight.
func (d *Dispatcher) send(requestIndex, serverIndex int) {
	r := &d.requests[requestIndex]
	connIndex := d.leastLoadedConn(serverIndex)
	r.tries++
	isRetry := r.tries > 1 && r.progress != NeverSent || r.state == inFlight
	d.Totals.Tries++
	if isRetry {
		d.Totals.Retries++
	} else if r.tries == 1 {
		d.budget.Earn(d.now)
	}
	slot := 0
	if r.inFlight[0].number > 0 {
		slot = 1
	}
	r.inFlight[slot] = try{number: r.tries, conn: connIndex, sent: d.now}
	r.server = serverIndex
	r.incarnation = d.servers[serverIndex].incarnation
	d.conns[connIndex].openTries++
	d.conns[connIndex].lastUsed = d.now
	if d.conns[connIndex].openTries == 1 {
		d.conns[connIndex].busySince = d.now
	}
	if s := &d.servers[serverIndex]; s.openTries >= int(d.allowance(s)) {
		s.fractionAllowed = false // this try uses the fraction, until the next draw
	}
	d.servers[serverIndex].openTries++
	d.servers[serverIndex].lastUsed = d.now
	if r.state == inFlight {
		d.setState(requestIndex, inFlightTwice)
	} else {
		d.setState(requestIndex, inFlight)
	}
	d.Actions = append(d.Actions, Action{Kind: Send, RPC: d.id(requestIndex), Try: r.tries, Conn: connIndex,
		Server: serverIndex, Retry: isRetry, Deadline: r.deadline})
	if d.HedgeAfter > 0 && r.kind == rpc.Idempotent && !r.hedged {
		d.wakeBy(r.inFlight[0].sent + d.HedgeAfter)
	}
}

// sendHedges sends a second try of each idempotent RPC that has been in flight for HedgeAfter to another app
// server. It draws on the retry budget.
func (d *Dispatcher) sendHedges() {
	if d.HedgeAfter <= 0 {
		return
	}
	for requestIndex := range d.requests {
		r := &d.requests[requestIndex]
		if r.state != inFlight || r.kind != rpc.Idempotent || r.hedged || r.noRetry {
			continue
		}
		sent := max(r.inFlight[0].sent, r.inFlight[1].sent)
		if d.now < sent+d.HedgeAfter {
			d.wakeBy(sent + d.HedgeAfter)
			continue
		}
		r.hedged = true
		if d.now+d.methodDurations[r.method]/2 >= r.deadline {
			continue
		}
		if serverIndex := d.chooseServer(r, r.server); serverIndex >= 0 && d.budget.Spend(d.now) {
			d.Totals.Hedges++
			d.send(requestIndex, serverIndex)
		}
	}
}

// handleLostTry handles a try whose connection has ended. A try that may have crossed the close of an idle
// connection is resent once, outside the retry budget, as the protocol specifies, but only if the RPC is
// idempotent.
func (d *Dispatcher) handleLostTry(requestIndex int, t try) {
	r := &d.requests[requestIndex]
	if r.state == inFlight && !r.resent && d.now-t.sent <= CrossingWindow && !d.conns[t.conn].checkPending &&
		d.conns[t.conn].openTries == 1 && r.kind == rpc.Idempotent &&
		d.servers[r.server].connected+d.servers[r.server].checkConns > 0 {
		r.resent = true
		r.progress, r.cause = max(r.progress, Sent), Lost
		d.setState(requestIndex, waiting)
		return
	}
	d.retryOrFinish(requestIndex, Sent, Lost, 0)
}
