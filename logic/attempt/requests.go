package attempt

import (
	"cmp"
	"slices"

	"valveglade/rpc"
)

// requestState is the requestState of an RPC; only setState changes it.
type requestState uint8

const (
	freeSlot      requestState = iota
	waiting                    // for room at an app server
	backingOff                 // until it may be tried again
	inFlight                   // one try is at an app server
	inFlightTwice              // two are
	stateCount
)

// validTransitions are the changes of state that may happen.
var validTransitions = [stateCount][stateCount]bool{
	freeSlot:      {waiting: true},
	waiting:       {inFlight: true, freeSlot: true},
	backingOff:    {waiting: true, freeSlot: true},
	inFlight:      {backingOff: true, waiting: true, inFlightTwice: true, freeSlot: true},
	inFlightTwice: {inFlight: true, freeSlot: true},
}

// try is one that has been sent and not answered.
type try struct {
	number, conn int
	sent         float64
}

// request is one open RPC.
type request struct {
	state       requestState
	generation  uint32
	kind        rpc.Kind
	method      int
	criticality float64
	submittedAt float64
	deadline    float64
	sequence    uint64  // of arrival
	retryAt     float64 // while backing off
	progress    Progress
	tries       int
	server      int    // of the last try, -1 before the first
	pinned      bool   // to that app server, as it may have run there
	incarnation uint32 // of the app server, at the last try
	resent      bool   // has had its one resend after a close
	retryAfter  float64
	cause       Cause // of the last failed try
	inFlight    [2]try
	noRetry     bool // an app server asked that no other be tried
	hedged      bool
}

// isOpen reports whether an RPC has no outcome yet.
func (d *Dispatcher) isOpen(id ID) bool {
	return id.Index >= 0 && id.Index < len(d.requests) && d.requests[id.Index].generation == id.Generation &&
		d.requests[id.Index].state != freeSlot
}

func (d *Dispatcher) id(requestIndex int) ID {
	return ID{requestIndex, d.requests[requestIndex].generation}
}

// setState changes an RPC's state, and the lists that follow from it.
func (d *Dispatcher) setState(requestIndex int, to requestState) {
	r := &d.requests[requestIndex]
	if !validTransitions[r.state][to] {
		panic("attempt: no such change of state")
	}
	switch r.state {
	case waiting:
		d.queue = slices.Delete(d.queue, d.queuePosition(requestIndex), d.queuePosition(requestIndex)+1)
	case backingOff:
		k := slices.Index(d.backingOff, requestIndex)
		d.backingOff = slices.Delete(d.backingOff, k, k+1)
	}
	r.state = to
	switch to {
	case waiting:
		d.queue = slices.Insert(d.queue, d.queuePosition(requestIndex), requestIndex)
	case backingOff:
		d.backingOff = append(d.backingOff, requestIndex)
	case freeSlot:
		*r = request{generation: r.generation}
		d.freeRequests = append(d.freeRequests, requestIndex)
	}
}

// queuePosition returns the index of an RPC in the queue, or the one at which it would be inserted.
func (d *Dispatcher) queuePosition(requestIndex int) int {
	k, _ := slices.BinarySearchFunc(d.queue, requestIndex, func(a, b int) int {
		x, y := &d.requests[a], &d.requests[b]
		return cmp.Or(cmp.Compare(y.criticality, x.criticality), cmp.Compare(x.sequence, y.sequence))
	})
	return k
}

// finish returns the one outcome of an RPC and interrupts its tries that are not answered.
func (d *Dispatcher) finish(requestIndex int, cause Cause) {
	r := &d.requests[requestIndex]
	id := d.id(requestIndex)
	for _, t := range r.inFlight {
		if t.number == 0 {
			continue
		}
		r.progress = max(r.progress, Sent)
		d.Actions = append(d.Actions, Action{Kind: Interrupt, RPC: id, Try: t.number, Conn: t.conn})
		d.removeTry(requestIndex, t.number)
	}
	if cause == Late && r.cause == Refused && r.progress == PushedBack {
		cause = Refused // that is what the caller can make use of
	}
	outcome := Outcome{Cause: cause, Progress: r.progress, Tries: r.tries, Server: r.server, RetryAfter: r.retryAfter}
	if cause == Served {
		outcome.RetryAfter = 0
	} else {
		outcome.SafeToRetry = r.kind == rpc.Idempotent || r.progress <= PushedBack
		outcome.SafeToRetry = outcome.SafeToRetry && !r.noRetry
		if cause == NoServer || cause == Refused && r.progress == NeverSent {
			outcome.RetryAfter = max(outcome.RetryAfter, d.nextAvailable()-d.now)
		}
	}
	d.Actions = append(d.Actions, Action{Kind: Finish, RPC: id, Outcome: outcome})
	d.setState(requestIndex, freeSlot)
}
