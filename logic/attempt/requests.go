package attempt

import (
	"cmp"
	"slices"

	"valveglade/rpc"
)

// state is the state of an RPC. Only setState changes it.
type state uint8

const (
	freeSlot      state = iota // the index is unused
	waiting                    // queued for capacity at an app server
	backingOff                 // waiting out the delay before a retry
	inFlight                   // with one try in flight
	inFlightTwice              // hedged, with two tries in flight
	stateCount
)

// validTransitions are the permitted changes of state, by the old and the new state.
var validTransitions = [stateCount][stateCount]bool{
	freeSlot:      {waiting: true},
	waiting:       {inFlight: true, freeSlot: true},
	backingOff:    {waiting: true, freeSlot: true},
	inFlight:      {backingOff: true, waiting: true, inFlightTwice: true, freeSlot: true},
	inFlightTwice: {inFlight: true, freeSlot: true},
}

// try is a try in flight. Its number is 0 where there is none.
type try struct {
	number int     // from 1 for each RPC
	conn   int     // index of the connection
	sent   float64 // time of the send
}

// request is an open RPC. Its index is reused after its outcome.
type request struct {
	state       state
	generation  uint32 // tells the RPCs of one index apart
	kind        rpc.Kind
	method      int // index of the method's average duration
	criticality float64
	submittedAt float64
	deadline    float64
	sequence    uint64   // arrival number
	retryAt     float64  // end of the delay, while backing off
	progress    Progress // of the furthest try
	tries       int      // number of tries sent
	server      int      // index of the app server of the last try, -1 before the first
	pinned      bool     // bound to that app server, as it may have run there
	incarnation uint32   // of the app server at the last try
	resent      bool     // resent once after the close of an idle connection
	retryAfter  float64  // retry-after delay of the last failed try, in seconds
	cause       Cause    // of the last failed try
	inFlight    [2]try   // two only if hedged
	noRetry     bool     // an app server forbade further tries
	hedged      bool     // considered for a second try; this happens once
}

// isOpen reports whether an RPC has no outcome yet.
func (d *Dispatcher) isOpen(id ID) bool {
	return id.Index >= 0 && id.Index < len(d.requests) && d.requests[id.Index].generation == id.Generation &&
		d.requests[id.Index].state != freeSlot
}

func (d *Dispatcher) id(requestIndex int) ID {
	return ID{requestIndex, d.requests[requestIndex].generation}
}

// setState changes the state of an RPC and keeps the queue, backingOff and the free indices consistent with
// it.
func (d *Dispatcher) setState(requestIndex int, to state) {
	r := &d.requests[requestIndex]
	if !validTransitions[r.state][to] {
		panic("attempt: invalid transition of an RPC")
	}
	switch r.state {
	case waiting:
		d.queue = slices.Delete(d.queue, d.queuePosition(requestIndex), d.queuePosition(requestIndex)+1)
	case backingOff:
		position := slices.Index(d.backingOff, requestIndex)
		d.backingOff = slices.Delete(d.backingOff, position, position+1)
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

// queuePosition returns the position of an RPC in the queue, or that at which it belongs.
func (d *Dispatcher) queuePosition(requestIndex int) int {
	position, _ := slices.BinarySearchFunc(d.queue, requestIndex, func(a, b int) int {
		first, second := &d.requests[a], &d.requests[b]
		return cmp.Or(cmp.Compare(second.criticality, first.criticality),
			cmp.Compare(first.sequence, second.sequence))
	})
	return position
}

// finish ends an RPC with its outcome and interrupts the tries that are still in flight.
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
		cause = Refused // tells the caller more than the deadline does
	}
	outcome := Outcome{Cause: cause, Progress: r.progress, Tries: r.tries, Server: r.server,
		RetryAfter: r.retryAfter}
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
