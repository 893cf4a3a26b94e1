package attempt

import (
	"cmp"
	"slices"

	"valveglade/rpc"
)

// state is the state of an RPC; only setState changes it.
type state uint8

const (
	absent        state = iota
	waiting             // for room at an app server
	backingOff          // until it may be tried again
	inFlight            // one try is at an app server
	inFlightTwice       // two are
	stateCount
)

// validTransitions are the changes of state that may happen.
var validTransitions = [stateCount][stateCount]bool{
	absent:        {waiting: true},
	waiting:       {inFlight: true, absent: true},
	backingOff:    {waiting: true, absent: true},
	inFlight:      {backingOff: true, waiting: true, inFlightTwice: true, absent: true},
	inFlightTwice: {inFlight: true, absent: true},
}

// try is one that has been sent and not answered.
type try struct {
	number, conn int
	sent         float64
}

// request is one open RPC.
type request struct {
	state       state
	generation  uint32
	kind        rpc.Kind
	method      int
	criticality float64
	asked       float64
	deadline    float64
	sequence    uint64  // of arrival
	retryAt     float64 // while backing off
	reach       Progress
	tries       int
	server      int    // of the last try, -1 before the first
	pinned      bool   // to that app server, as it may have run there
	incarnation uint32 // of the app server, at the last try
	resent      bool   // has had its one resend after a close
	after       float64
	cause       Cause // of the last failed try
	inFlight    [2]try
	noRetry     bool // an app server asked that no other be tried
	hedged      bool
}

// isOpen reports whether an RPC has no outcome yet.
func (d *Dispatcher) isOpen(id ID) bool {
	return id.Index >= 0 && id.Index < len(d.rpcs) && d.rpcs[id.Index].generation == id.Generation &&
		d.rpcs[id.Index].state != absent
}

func (d *Dispatcher) id(i int) ID { return ID{i, d.rpcs[i].generation} }

// setState changes an RPC's state, and the lists that follow from it.
func (d *Dispatcher) setState(i int, to state) {
	w := &d.rpcs[i]
	if !validTransitions[w.state][to] {
		panic("attempt: no such change of state")
	}
	switch w.state {
	case waiting:
		d.queue = slices.Delete(d.queue, d.queuePosition(i), d.queuePosition(i)+1)
	case backingOff:
		k := slices.Index(d.backingOff, i)
		d.backingOff = slices.Delete(d.backingOff, k, k+1)
	}
	w.state = to
	switch to {
	case waiting:
		d.queue = slices.Insert(d.queue, d.queuePosition(i), i)
	case backingOff:
		d.backingOff = append(d.backingOff, i)
	case absent:
		*w = request{generation: w.generation}
		d.freeRPCs = append(d.freeRPCs, i)
	}
}

// queuePosition returns the index of an RPC in the queue, or the one at which it would be inserted.
func (d *Dispatcher) queuePosition(i int) int {
	k, _ := slices.BinarySearchFunc(d.queue, i, func(a, b int) int {
		x, y := &d.rpcs[a], &d.rpcs[b]
		return cmp.Or(cmp.Compare(y.criticality, x.criticality), cmp.Compare(x.sequence, y.sequence))
	})
	return k
}

// finish returns the one outcome of an RPC and interrupts its tries that are not answered.
func (d *Dispatcher) finish(i int, cause Cause) {
	w := &d.rpcs[i]
	id := d.id(i)
	for _, t := range w.inFlight {
		if t.number == 0 {
			continue
		}
		w.reach = max(w.reach, Sent)
		d.Actions = append(d.Actions, Action{Kind: Interrupt, RPC: id, Try: t.number, Conn: t.conn})
		d.endTry(i, t.number)
	}
	if cause == Late && w.cause == Refused && w.reach == PushedBack {
		cause = Refused // that is what the caller can make use of
	}
	e := Outcome{Cause: cause, Progress: w.reach, Tries: w.tries, Server: w.server, RetryAfter: w.after}
	if cause == Served {
		e.RetryAfter = 0
	} else {
		e.SafeToRetry = w.kind == rpc.Idempotent || w.reach <= PushedBack
		e.SafeToRetry = e.SafeToRetry && !w.noRetry
		if cause == NoServer || cause == Refused && w.reach == NeverSent {
			e.RetryAfter = max(e.RetryAfter, d.nextAvailable()-d.now)
		}
	}
	d.Actions = append(d.Actions, Action{Kind: Finish, RPC: id, Outcome: e})
	d.setState(i, absent)
}
