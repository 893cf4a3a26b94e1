package attempt

import (
	"cmp"
	"math"

	"valveglade/rpc"
)

// Desk decides for one client. It is not safe for use by many goroutines.
type Desk struct {
	Terms
	Orders  []Order // what is to be done; the carrier empties it
	now     float64
	chance  Chance
	budget  Budget
	rpcs    []work
	spare   []int
	line    []int // waiting RPCs: the worthiest first, among equals the one that came first
	rest    []int // resting ones
	arrived uint64
	servers []server
	conns   []conn
	free    []int // indices of connections
	dialing int
	took    []float64 // by method: seconds until ok, of late
	wake    float64
	closed  bool
	Count   Counts
}

// New starts a desk.
func New(now float64, t Terms) *Desk {
	def := func(v *float64, to float64) {
		if *v == 0 {
			*v = to
		}
	}
	def(&t.Share, 0.1)
	def(&t.First, 0.5)
	def(&t.Most, 8)
	def(&t.Idle, 20)
	def(&t.Period, 5)
	t.Waiting, t.Near = cmp.Or(t.Waiting, 1024), cmp.Or(t.Near, 8)
	t.Dialing, t.Conns = cmp.Or(t.Dialing, 4), cmp.Or(t.Conns, 4)
	t.Most = max(t.Most, t.First)
	return &Desk{Terms: t, now: now, chance: NewChance(t.Seed), budget: Budget{Share: max(t.Share, 0)},
		wake: math.Inf(1)}
}

// by has the desk look again at that time.
func (d *Desk) by(at float64) { d.wake = min(d.wake, at) }

// Wake is when Tick wants to be called.
func (d *Desk) Wake() float64 { return d.wake }

func (d *Desk) clock(now float64) { d.now = max(d.now, now) }

// Open tells how many RPCs are in hand.
func (d *Desk) Open() int { return len(d.rpcs) - len(d.spare) }

// Ask takes in an RPC. Its outcome comes as a Finish, maybe at once.
func (d *Desk) Ask(now float64, method int, kind rpc.Kind, criticality, deadline float64) ID {
	d.clock(now)
	if len(d.spare) == 0 {
		d.spare = append(d.spare, len(d.rpcs))
		d.rpcs = append(d.rpcs, work{})
	}
	i := d.spare[len(d.spare)-1]
	d.spare = d.spare[:len(d.spare)-1]
	w := &d.rpcs[i]
	*w = work{life: w.life + 1, kind: kind, method: method, criticality: criticality, asked: d.now,
		deadline: deadline, order: d.arrived, server: -1}
	d.arrived++
	d.Count.Asked++
	for method >= len(d.took) {
		d.took = append(d.took, 0)
	}
	id := d.id(i)
	d.move(i, waiting)
	switch {
	case d.closed:
		d.finish(i, Closed)
	case d.now >= deadline:
		d.finish(i, Late)
	case len(d.line) > d.Waiting:
		d.finish(d.line[len(d.line)-1], Crowded)
	}
	if d.holds(id) {
		d.pump()
	}
	return id
}

// Gone tells that the caller waits no longer: its deadline has come, or it gave up.
func (d *Desk) Gone(now float64, id ID, late bool) {
	d.clock(now)
	if !d.holds(id) {
		return
	}
	w := &d.rpcs[id.Index]
	cause := Canceled
	if late {
		cause = Late
		for _, t := range w.out {
			if t.number > 0 { // Guards against one that accepts and never answers: its silence counts.
				d.strike(d.conns[t.conn].server)
			}
		}
	}
	d.finish(id.Index, cause)
	d.pump()
}

// Tick looks at what time alone changes.
func (d *Desk) Tick(now float64) {
	d.clock(now)
	d.wake = math.Inf(1)
	for k := 0; k < len(d.rest); {
		if i := d.rest[k]; d.rpcs[i].ready <= d.now {
			d.move(i, waiting)
		} else {
			d.by(d.rpcs[i].ready)
			k++
		}
	}
	d.tend()
	d.hedge()
	d.pump()
}

// Close ends all RPCs and connections.
func (d *Desk) Close(now float64) {
	d.clock(now)
	d.closed = true
	for i := range d.rpcs {
		if d.rpcs[i].state != absent {
			d.finish(i, Closed)
		}
	}
	for k := range d.conns {
		if d.conns[k].state != none {
			d.hang(k)
		}
	}
	d.wake = math.Inf(1)
}
