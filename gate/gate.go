// Package gate wraps the admission module in a thread-safe, blocking API. Network code reports events (Arrive,
// CallerGone, Report, Tick, Drain) and takes the resulting jobs from NextJob; the module's own events and actions stay
// hidden. The gate owns the lock, the indices that the module knows RPCs by, and the token table.
package gate

import (
	"hash/maphash"
	"math"
	"sync"

	"valveglade/logic"
	"valveglade/rpc"
)

// ID identifies an RPC in the gate. An index is reused for other RPCs, each time with another generation.
type ID struct {
	index      int
	generation uint32
}

// state tells whether a slot is in use and whether the caller of its RPC still gets a reply. Only setState changes it.
type state uint8

const (
	free    state = iota // the slot is unused
	pending              // the reply is pending
	done                 // answered or abandoned by the caller, but not yet released by the module
)

// slot holds an RPC in the gate.
type slot[T any] struct {
	state      state
	generation uint32
	request    T      // passed in with the RPC and handed out with its jobs
	uid        string // external name, unique among the RPCs in the gate
	token      string
	bodyDigest uint64
	arrivedAt  float64 // time of arrival at the machine
	caller     int     // index of the caller
	clockSkew  float64 // by how much arrivedAt lies ahead of the clock
	entry      *entry  // entry of its token, nil if there is none

	method         int
	countedWaiting bool // the permits count it as waiting
	holdsPermit    bool
}

// Gate is safe for concurrent use. No method but NextJob blocks.
type Gate[T any] struct {
	mu             sync.Mutex
	settings       rpc.Settings
	module         *logic.Module
	now            float64
	slots          []slot[T]
	freeSlots      []int
	uids           map[string]struct{}
	digestSeed     maphash.Seed
	callerIndexes  map[int]int // by the numbers that callers identify themselves with
	callerRecords  []callerRecord
	tokens         table
	endedFollowers []int // followers whose outcome is known but not yet reported to the module
	jobs           []Job[T]
	ready          chan struct{} // holds a value while there are jobs
	changed        chan struct{} // holds a value after a change of health, idle timeout or messages
	credit         float64
	healthy        bool
	booted         bool // the machine is up
	draining       bool // a shutdown was announced at drainStart; the process is stopped at stopAt
	drainStart     float64
	stopAt         float64
	idleTimeout    float64
	wakeAfter      float64
	messages       []string
	permits        Permits // nil if there are no common limits
}

// New returns a gate that keeps at most resultLimit bytes of results.
func New[T any](now float64, settings rpc.Settings, resultLimit int) *Gate[T] {
	limitTokens(&settings.Machine, resultLimit)
	g := &Gate[T]{settings: settings, now: now, callerIndexes: map[int]int{}, uids: map[string]struct{}{},
		digestSeed: maphash.MakeSeed(), tokens: newTable(resultLimit), credit: -1,
		idleTimeout: settings.Machine.KeepAlive, ready: make(chan struct{}, 1), changed: make(chan struct{}, 1)}
	g.module = logic.New(now, settings, (*actions[T])(g))
	// Callers may use the credit published now only once the machine is up. As it may be cold then, the credit is
	// that of a cold machine.
	g.module.Boot(now, math.Inf(1), true)
	return g
}

// SetBootTime records when the machine came up and whether it is cold, and reports whether this is the first such call;
// later calls have no effect. Until then the machine counts as entirely cold. If no RPC has arrived yet, as is usual,
// the module is created anew with this start time; otherwise it continues.
func (g *Gate[T]) SetBootTime(now, at float64, cold bool) (first bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.booted {
		return false
	}
	g.booted = true
	g.settings.Machine.Cold = cold
	if len(g.slots) == 0 {
		g.module = logic.New(at, g.settings, (*actions[T])(g))
		if g.draining {
			g.module.Leave(g.drainStart, g.stopAt)
		}
	} else {
		g.module.Boot(g.advanceClock(now), at, cold)
	}
	return true
}

// Booted reports whether the machine is up.
func (g *Gate[T]) Booted() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.booted
}

func (g *Gate[T]) advanceClock(now float64) float64 {
	g.now = max(g.now, now) // the module's time never goes back, even if the system clock does
	return g.now
}

// maxClockSkew bounds, in seconds, how far an arrival time may lie ahead of the clock. A time further ahead does not
// come from this machine's clock, and the RPC's token would be kept longer by that difference.
const maxClockSkew = 60.0

// Arrive adds an RPC that has been read. arrivedAt is when it came to the machine, deadline when its caller gives up;
// retry marks a retry and counts only if the settings say that callers mark them. The RPC is rejected without reaching
// the module if its uid is in use, or if its token is known to belong to another body.
func (g *Gate[T]) Arrive(now float64, method, callerNumber int, arrivedAt, deadline, sizeKB float64, retry bool,
	uid, token string, body []byte, request T) (id ID, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now = g.advanceClock(now)
	if _, taken := g.uids[uid]; taken {
		return ID{}, false
	}
	var e *entry
	digest := uint64(0)
	if token != "" {
		digest = maphash.Bytes(g.digestSeed, body)
		if e = g.tokens.find(tokenID{method, token}, arrivedAt); e != nil && e.bodyDigest != digest && e.isVerified() {
			return ID{}, false
		}
	}
	g.uids[uid] = struct{}{}
	caller := g.callerIndex(callerNumber, now)
	g.callerRecords[caller].pending++
	if n := len(g.freeSlots); n == 0 {
		g.freeSlots = append(g.freeSlots, len(g.slots))
		g.slots = append(g.slots, slot[T]{})
	}
	i := g.freeSlots[len(g.freeSlots)-1]
	g.freeSlots = g.freeSlots[:len(g.freeSlots)-1]
	s := &g.slots[i]
	*s = slot[T]{generation: s.generation + 1, request: request, uid: uid, token: token, bodyDigest: digest,
		arrivedAt: arrivedAt, caller: caller, clockSkew: min(max(arrivedAt-now, 0), maxClockSkew), method: method}
	g.setState(i, pending)
	if method < len(g.settings.Methods) {
		g.startWaiting(i)
	}
	id = ID{i, s.generation}
	repeats := rpc.RepeatsNone
	if e != nil {
		s.entry = e
		// If the bodies differ, one of the two RPCs is not from a regular router, and the kernel will tell which one.
		// Until then the later RPC follows the earlier and does not replace it in the queue.
		if repeats = rpc.RepeatsReleased; e.bodyDigest == digest && g.isHeld(e.runner) {
			repeats = e.runner.index
		}
	}
	g.module.Arrive(now, i, method, caller, 0, max(now-arrivedAt, 0), retry && g.settings.Clients.MarksRetry, false,
		deadline, sizeKB, repeats)
	g.completeFollowers()
	return id, true
}

// IsRepeat reports whether an RPC repeats one that is in the gate or has run. The server does not refuse such an RPC by
// itself, as work that has begun is never refused.
func (g *Gate[T]) IsRepeat(method int, token string, arrivedAt float64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tokens.find(tokenID{method, token}, arrivedAt) != nil
}

// SetResultLimit changes the limit on the bytes of kept results. The oldest results beyond it are dropped at once;
// repeats of their RPCs are aborted and never run.
func (g *Gate[T]) SetResultLimit(bytes int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.tokens.limit != bytes {
		g.tokens.limit = bytes
		g.tokens.trim()
	}
}

// isHeld reports whether the module has not released the RPC.
func (g *Gate[T]) isHeld(id ID) bool {
	return id.index < len(g.slots) && g.slots[id.index].generation == id.generation && g.slots[id.index].state != free
}

// CallerGone reports that the caller no longer waits for the RPC.
func (g *Gate[T]) CallerGone(now float64, id ID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isHeld(id) && g.slots[id.index].state == pending {
		g.setState(id.index, done)
		g.module.CallerGone(g.advanceClock(now), id.index)
		g.completeFollowers()
	}
}

// Report records the outcome of a run that took the given seconds. The result is kept without copying.
func (g *Gate[T]) Report(now float64, id ID, outcome rpc.Outcome, took float64, result []byte) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.isHeld(id) {
		return
	}
	g.advanceClock(now)
	if outcome.NeverRan() {
		took = 0
	}
	g.releasePermit(id.index, took)
	if e := g.slots[id.index].entry; e != nil && e.runner == id {
		g.endedFollowers = append(g.endedFollowers, g.tokens.finish(e, outcome, result)...)
		if outcome.NeverRan() {
			g.slots[id.index].entry = nil
		}
	}
	g.complete(id.index, outcome, took, result)
	g.completeFollowers()
	g.tokens.trim()
}

// complete answers an RPC whose outcome is known, if its reply is pending, and reports the outcome to the module.
func (g *Gate[T]) complete(i int, outcome rpc.Outcome, took float64, result []byte) {
	switch outcome {
	case rpc.OK:
		g.answer(i, Job[T]{Action: Serve, Result: result})
	case rpc.Error:
		g.answer(i, Job[T]{Action: Abort})
	}
	g.module.Ended(g.now, i, outcome, took)
}

// completeFollowers completes the RPCs whose leader's outcome is known, and signals that there are jobs. It is separate
// from the module's actions because the module must not be called while it acts.
func (g *Gate[T]) completeFollowers() {
	for len(g.endedFollowers) > 0 {
		i := g.endedFollowers[0]
		g.endedFollowers = g.endedFollowers[1:]
		s := &g.slots[i]
		switch e := s.entry; {
		case s.state == free || e == nil:
		case e.state == succeeded && e.bodyDigest == s.bodyDigest:
			g.complete(i, rpc.OK, 0, e.result)
		case e.state == forgotten: // it never ran, so the next attempt may
			if s.entry = g.tokens.find(tokenID{s.method, s.token}, s.arrivedAt); s.entry != nil {
				(*actions[T])(g).Follow(i)
			} else {
				g.complete(i, rpc.NotStarted, 0, nil)
			}
		default:
			g.complete(i, rpc.Error, 0, nil)
		}
	}
	if len(g.jobs) > 0 {
		notify(g.ready)
	}
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Tick passes the time and the machine's gauges, nil if unknown, to the module. It returns the seconds until the next
// tick is due.
func (g *Gate[T]) Tick(now float64, gauges []float64) (after float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now = g.advanceClock(now)
	g.tokens.expire(now)
	g.module.Tick(now, gauges)
	g.completeFollowers()
	return g.wakeAfter
}

// Drain announces that the process is stopped at the given time.
func (g *Gate[T]) Drain(now, at float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining, g.drainStart, g.stopAt = true, g.advanceClock(now), at
	g.module.Leave(g.drainStart, at)
	g.completeFollowers()
}

func (g *Gate[T]) setState(i int, to state) {
	s := &g.slots[i]
	s.state = to
	if to == done {
		g.stopWaiting(i) // an answered RPC no longer waits to be started
	}
	if to == free {
		g.stopWaiting(i)
		g.releasePermit(i, 0)
		if s.entry != nil {
			s.entry.removeFollower(i)
		}
		delete(g.uids, s.uid)
		g.callerRecords[s.caller].pending--
		*s = slot[T]{generation: s.generation}
		g.freeSlots = append(g.freeSlots, i)
	}
}
