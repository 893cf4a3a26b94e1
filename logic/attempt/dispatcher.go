package attempt

import (
	"cmp"
	"math"

	"valveglade/rpc"
)

// Dispatcher schedules the RPCs and connections of one client. It is not safe for concurrent use.
type Dispatcher struct {
	Config
	Actions         []Action // pending work; the user of the Dispatcher empties the slice
	now             float64  // time of the latest event
	random          Random
	budget          Budget
	requests        []request
	freeRequests    []int  // unused indices of requests
	queue           []int  // waiting RPCs, by descending criticality and then in order of arrival
	backingOff      []int  // RPCs that wait out the delay before their retry
	nextSequence    uint64 // arrival number of the next RPC
	servers         []server
	conns           []conn
	freeConns       []int     // unused indices of conns
	dialing         int       // connects in progress
	methodDurations []float64 // by method: moving average of the seconds that a successful try takes
	wakeAt          float64   // time of the next Tick
	closed          bool
	Totals          Counts
}

// New returns a Dispatcher without app servers; call SetServers next.
func New(now float64, config Config) *Dispatcher {
	setDefault := func(v *float64, value float64) {
		if *v == 0 {
			*v = value
		}
	}
	setDefault(&config.RetryShare, 0.1)
	setDefault(&config.FirstBackoff, 0.5)
	setDefault(&config.MaxBackoff, 8)
	setDefault(&config.IdleTimeout, 20)
	setDefault(&config.CheckPeriod, 5)
	config.MaxWaiting, config.MaxServers = cmp.Or(config.MaxWaiting, 1024), cmp.Or(config.MaxServers, 8)
	config.MaxDials, config.MaxConns = cmp.Or(config.MaxDials, 4), cmp.Or(config.MaxConns, 4)
	config.MaxBackoff = max(config.MaxBackoff, config.FirstBackoff)
	return &Dispatcher{Config: config, now: now, random: NewRandom(config.Seed),
		budget: Budget{Share: max(config.RetryShare, 0)}, wakeAt: math.Inf(1)}
}

// wakeBy schedules the next Tick no later than at.
func (d *Dispatcher) wakeBy(at float64) { d.wakeAt = min(d.wakeAt, at) }

// NextTick returns the time at which Tick must be called.
func (d *Dispatcher) NextTick() float64 { return d.wakeAt }

func (d *Dispatcher) advance(now float64) { d.now = max(d.now, now) }

// Open returns the number of RPCs without an outcome.
func (d *Dispatcher) Open() int { return len(d.requests) - len(d.freeRequests) }

// Submit adds an RPC. Its outcome follows as a Finish action, possibly before Submit returns.
func (d *Dispatcher) Submit(now float64, method int, kind rpc.Kind, criticality, deadline float64) ID {
	d.advance(now)
	if len(d.freeRequests) == 0 {
		d.freeRequests = append(d.freeRequests, len(d.requests))
		d.requests = append(d.requests, request{})
	}
	requestIndex := d.freeRequests[len(d.freeRequests)-1]
	d.freeRequests = d.freeRequests[:len(d.freeRequests)-1]
	r := &d.requests[requestIndex]
	*r = request{generation: r.generation + 1, kind: kind, method: method, criticality: criticality,
		submittedAt: d.now, deadline: deadline, sequence: d.nextSequence, server: -1}
	d.nextSequence++
	d.Totals.Submitted++
	for method >= len(d.methodDurations) {
		d.methodDurations = append(d.methodDurations, 0)
	}
	id := d.id(requestIndex)
	d.setState(requestIndex, waiting)
	switch {
	case d.closed:
		d.finish(requestIndex, Closed)
	case d.now >= deadline:
		d.finish(requestIndex, Late)
	case len(d.queue) > d.MaxWaiting:
		d.finish(d.queue[len(d.queue)-1], QueueFull)
	}
	if d.isOpen(id) {
		d.dispatch()
	}
	return id
}

// Abandon ends an RPC whose caller no longer waits, because the deadline has passed (late) or the call was
// canceled.
func (d *Dispatcher) Abandon(now float64, id ID, late bool) {
	d.advance(now)
	if !d.isOpen(id) {
		return
	}
	r := &d.requests[id.Index]
	cause := Canceled
	if late {
		cause = Late
		for _, t := range r.inFlight {
			if t.number > 0 { // An app server that accepts RPCs and never answers is excluded too.
				d.recordFailure(d.conns[t.conn].server)
			}
		}
	}
	d.finish(id.Index, cause)
	d.dispatch()
}

// Tick handles all timers that have expired: retry delays, timers of app servers and connections, hedges.
func (d *Dispatcher) Tick(now float64) {
	d.advance(now)
	d.wakeAt = math.Inf(1)
	for position := 0; position < len(d.backingOff); {
		if requestIndex := d.backingOff[position]; d.requests[requestIndex].retryAt <= d.now {
			d.setState(requestIndex, waiting)
		} else {
			d.wakeBy(d.requests[requestIndex].retryAt)
			position++
		}
	}
	d.checkTimers()
	d.sendHedges()
	d.dispatch()
}

// Close ends all RPCs and connections.
func (d *Dispatcher) Close(now float64) {
	d.advance(now)
	d.closed = true
	for requestIndex := range d.requests {
		if d.requests[requestIndex].state != freeSlot {
			d.finish(requestIndex, Closed)
		}
	}
	for connIndex := range d.conns {
		if d.conns[connIndex].state != disconnected {
			d.disconnect(connIndex)
		}
	}
	d.wakeAt = math.Inf(1)
}
