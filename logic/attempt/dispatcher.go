package attempt

import (
	"cmp"
	"math"

	"valveglade/rpc"
)

// Dispatcher decides for one client. It is not safe for use by many goroutines.
type Dispatcher struct {
	Config
	Actions    []Action // what is to be done; the caller empties it
	now        float64
	chance     Random
	budget     Budget
	rpcs       []request
	freeRPCs   []int
	queue      []int // waiting RPCs: the most critical first, then in order of arrival
	backingOff []int // RPCs that wait for their retry
	arrivals   uint64
	servers    []server
	conns      []conn
	freeConns  []int // indices of connections
	dialing    int
	durations  []float64 // by method: moving mean of the seconds until a try was ok
	wakeAt     float64
	closed     bool
	Counts     Counts
}

// New returns a dispatcher.
func New(now float64, t Config) *Dispatcher {
	def := func(v *float64, to float64) {
		if *v == 0 {
			*v = to
		}
	}
	def(&t.RetryShare, 0.1)
	def(&t.FirstBackoff, 0.5)
	def(&t.MaxBackoff, 8)
	def(&t.IdleTimeout, 20)
	def(&t.CheckPeriod, 5)
	t.MaxWaiting, t.MaxServers = cmp.Or(t.MaxWaiting, 1024), cmp.Or(t.MaxServers, 8)
	t.MaxDials, t.MaxConns = cmp.Or(t.MaxDials, 4), cmp.Or(t.MaxConns, 4)
	t.MaxBackoff = max(t.MaxBackoff, t.FirstBackoff)
	return &Dispatcher{Config: t, now: now, chance: NewRandom(t.Seed), budget: Budget{Share: max(t.RetryShare, 0)},
		wakeAt: math.Inf(1)}
}

// wakeBy asks for a Tick at that time at the latest.
func (d *Dispatcher) wakeBy(at float64) { d.wakeAt = min(d.wakeAt, at) }

// NextTick returns the time at which Tick has to be called.
func (d *Dispatcher) NextTick() float64 { return d.wakeAt }

func (d *Dispatcher) advance(now float64) { d.now = max(d.now, now) }

// Open returns the number of open RPCs.
func (d *Dispatcher) Open() int { return len(d.rpcs) - len(d.freeRPCs) }

// Submit adds an RPC. Its outcome is a Finish action, perhaps at once.
func (d *Dispatcher) Submit(now float64, method int, kind rpc.Kind, criticality, deadline float64) ID {
	d.advance(now)
	if len(d.freeRPCs) == 0 {
		d.freeRPCs = append(d.freeRPCs, len(d.rpcs))
		d.rpcs = append(d.rpcs, request{})
	}
	i := d.freeRPCs[len(d.freeRPCs)-1]
	d.freeRPCs = d.freeRPCs[:len(d.freeRPCs)-1]
	w := &d.rpcs[i]
	*w = request{generation: w.generation + 1, kind: kind, method: method, criticality: criticality, asked: d.now,
		deadline: deadline, sequence: d.arrivals, server: -1}
	d.arrivals++
	d.Counts.Submitted++
	for method >= len(d.durations) {
		d.durations = append(d.durations, 0)
	}
	id := d.id(i)
	d.setState(i, waiting)
	switch {
	case d.closed:
		d.finish(i, Closed)
	case d.now >= deadline:
		d.finish(i, Late)
	case len(d.queue) > d.MaxWaiting:
		d.finish(d.queue[len(d.queue)-1], QueueFull)
	}
	if d.isOpen(id) {
		d.dispatch()
	}
	return id
}

// Abandon reports that the caller no longer waits: its deadline has passed (late), or it gave up.
func (d *Dispatcher) Abandon(now float64, id ID, late bool) {
	d.advance(now)
	if !d.isOpen(id) {
		return
	}
	w := &d.rpcs[id.Index]
	cause := Canceled
	if late {
		cause = Late
		for _, t := range w.inFlight {
			if t.number > 0 { // Guards against one that accepts and never answers: its silence counts.
				d.recordFailure(d.conns[t.conn].server)
			}
		}
	}
	d.finish(id.Index, cause)
	d.dispatch()
}

// Tick handles what is due.
func (d *Dispatcher) Tick(now float64) {
	d.advance(now)
	d.wakeAt = math.Inf(1)
	for k := 0; k < len(d.backingOff); {
		if i := d.backingOff[k]; d.rpcs[i].retryAt <= d.now {
			d.setState(i, waiting)
		} else {
			d.wakeBy(d.rpcs[i].retryAt)
			k++
		}
	}
	d.checkTimers()
	d.hedge()
	d.dispatch()
}

// Close ends all RPCs and connections.
func (d *Dispatcher) Close(now float64) {
	d.advance(now)
	d.closed = true
	for i := range d.rpcs {
		if d.rpcs[i].state != absent {
			d.finish(i, Closed)
		}
	}
	for k := range d.conns {
		if d.conns[k].state != none {
			d.disconnect(k)
		}
	}
	d.wakeAt = math.Inf(1)
}
