package attempt

import (
	"cmp"
	"slices"

	"valveglade/rpc"
)

// state is where an RPC stands; only move changes it.
type state uint8

const (
	absent  state = iota
	waiting       // for room at an app server
	resting       // until it may be tried again
	out           // one try is at an app server
	doubled       // two are
	states
)

// may tells which changes of state there are.
var may = [states][states]bool{
	absent:  {waiting: true},
	waiting: {out: true, absent: true},
	resting: {waiting: true, absent: true},
	out:     {resting: true, waiting: true, doubled: true, absent: true},
	doubled: {out: true, absent: true},
}

// try is one that is out.
type try struct {
	number, conn int
	sent         float64
}

// work is one RPC in hand.
type work struct {
	state       state
	life        uint32
	kind        rpc.Kind
	method      int
	criticality float64
	asked       float64
	deadline    float64
	order       uint64  // of arrival
	ready       float64 // not before; while resting
	reach       Reach
	tries       int
	server      int    // of the last try, -1 before the first
	pinned      bool   // only there, as it may have run there
	era         uint32 // in that life of the app server
	crossed     bool   // has had its one resend after a close
	after       float64
	cause       Cause // of the last failed try
	out         [2]try
	last        bool // an app server asked that no other be tried
	hedged      bool
}

// holds tells whether an RPC is still in hand.
func (d *Desk) holds(id ID) bool {
	return id.Index >= 0 && id.Index < len(d.rpcs) && d.rpcs[id.Index].life == id.Life &&
		d.rpcs[id.Index].state != absent
}

func (d *Desk) id(i int) ID { return ID{i, d.rpcs[i].life} }

// move changes an RPC's state, and the lists that follow from it.
func (d *Desk) move(i int, to state) {
	w := &d.rpcs[i]
	if !may[w.state][to] {
		panic("attempt: no such change of state")
	}
	switch w.state {
	case waiting:
		d.line = slices.Delete(d.line, d.place(i), d.place(i)+1)
	case resting:
		k := slices.Index(d.rest, i)
		d.rest = slices.Delete(d.rest, k, k+1)
	}
	w.state = to
	switch to {
	case waiting:
		d.line = slices.Insert(d.line, d.place(i), i)
	case resting:
		d.rest = append(d.rest, i)
	case absent:
		*w = work{life: w.life}
		d.spare = append(d.spare, i)
	}
}

// place is where an RPC stands, or would, in the line.
func (d *Desk) place(i int) int {
	k, _ := slices.BinarySearchFunc(d.line, i, func(a, b int) int {
		x, y := &d.rpcs[a], &d.rpcs[b]
		return cmp.Or(cmp.Compare(y.criticality, x.criticality), cmp.Compare(x.order, y.order))
	})
	return k
}

// finish gives the one outcome of an RPC and takes back what of it is still out.
func (d *Desk) finish(i int, cause Cause) {
	w := &d.rpcs[i]
	id := d.id(i)
	for _, t := range w.out {
		if t.number == 0 {
			continue
		}
		w.reach = max(w.reach, Sent)
		d.Orders = append(d.Orders, Order{Do: Interrupt, RPC: id, Try: t.number, Conn: t.conn})
		d.drop(i, t.number)
	}
	if cause == Late && w.cause == Refused && w.reach == PushedBack {
		cause = Refused // that is what the caller can make use of
	}
	e := End{Cause: cause, Reach: w.reach, Tries: w.tries, Server: w.server, After: w.after}
	if cause == Served {
		e.After = 0
	} else {
		e.Again = w.kind == rpc.Idempotent || w.reach <= PushedBack
		e.Again = e.Again && !w.last
		if cause == NoServer || cause == Refused && w.reach == NeverSent {
			e.After = max(e.After, d.opens()-d.now)
		}
	}
	d.Orders = append(d.Orders, Order{Do: Finish, RPC: id, End: e})
	d.move(i, absent)
}
