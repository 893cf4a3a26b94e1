// Package gate puts the decision module behind a facade in blocking style. Network code says what came in
// (Arrive, Gone, Report, Tick, Leave) and takes what there is to do from Pick; the module's events and
// actions stay inside. The gate owns the lock, the small indices and the token table.
package gate

import (
	"hash/maphash"
	"math"
	"sync"

	"valveglade/logic"
	"valveglade/rpc"
)

// ID names an RPC in hand. An index comes back for another RPC, its life never does.
type ID struct {
	i    int
	life uint32
}

// state is where an RPC stands with its caller; only move changes it.
type state uint8

const (
	free state = iota // the index is spare
	owed              // an answer is owed
	done              // answered, or nobody waits any more; the module has not let go of it
)

type slot[T any] struct {
	state state
	life  uint32
	who   T
	uid   string // its name outside, given to one RPC in hand at a time
	token string
	body  uint64  // digest of it
	recv  float64 // when it came to the machine
	from  int     // its caller's index
	ahead float64 // by how much recv lies ahead of the clock
	entry *entry  // under which the module knows its token

	method int
	waits  bool // it has been told to the permits as waiting
	runs   bool // it holds a permit
}

// Gate is safe for use by many goroutines. No method but Pick blocks.
type Gate[T any] struct {
	mu       sync.Mutex
	settings rpc.Settings
	module   *logic.Module
	now      float64
	slots    []slot[T]
	spare    []int
	uids     map[string]struct{}
	seed     maphash.Seed
	callers  map[int]int // indices by the numbers that callers give themselves
	known    []caller
	tokens   table
	ended    []int // followers whose outcome is there, to be told to the module
	jobs     []Job[T]
	ready    chan struct{} // holds one while there are jobs
	changed  chan struct{} // holds one after a change of health, reaping or the notes
	credit   float64
	healthy  bool
	booted   bool // the machine is up
	leaving  bool // notice has been given, at noticed, that the process is stopped at stop
	noticed  float64
	stop     float64
	reap     float64
	wake     float64
	notes    []string
	permits  Permits // nil where there are no common limits
}

// New starts a gate; keep bounds the bytes of kept results.
func New[T any](now float64, c rpc.Settings, keep int) *Gate[T] {
	boundTokens(&c.Machine, keep)
	g := &Gate[T]{settings: c, now: now, callers: map[int]int{}, uids: map[string]struct{}{}, seed: maphash.MakeSeed(), tokens: newTable(keep), credit: -1,
		reap: c.Machine.KeepAlive, ready: make(chan struct{}, 1), changed: make(chan struct{}, 1)}
	g.module = logic.New(now, c, (*actions[T])(g))
	// A caller that asks for its credit now may go by it once the machine is up, and that may be cold.
	g.module.Boot(now, math.Inf(1), true)
	return g
}

// SetBootTime tells when the machine came up, and whether cold. Only the first word counts, and SetBootTime says whether this is it. Until
// then the machine counts as cold as it may be. Mostly nothing has been read before; if it has, the module that read it goes
// on.
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
		if g.leaving {
			g.module.Leave(g.noticed, g.stop)
		}
	} else {
		g.module.Boot(g.clock(now), at, cold)
	}
	return true
}

// Booted tells whether the machine is up.
func (g *Gate[T]) Booted() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.booted
}

func (g *Gate[T]) clock(now float64) float64 {
	g.now = max(g.now, now) // the module's time never goes back, whatever the system's does
	return g.now
}

// maxAhead bounds by how many seconds a recv may lie ahead of the clock: what is further ahead was not marked by a clock of this machine,
// and its token would be kept for as long.
const maxAhead = 60.0

// Arrive takes in an RPC that has been read: recv is when it came to the machine, due when its caller gives
// up; again marks a further try, which counts only where the config says that callers mark them. It is not
// taken, and the module does not hear of it, if its uid is in hand or its token is known to belong to another
// body.
func (g *Gate[T]) Arrive(now float64, method, src int, recv, due, kb float64, again bool, uid, token string,
	body []byte, who T) (id ID, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now = g.clock(now)
	if _, taken := g.uids[uid]; taken {
		return ID{}, false
	}
	var e *entry
	digest := uint64(0)
	if token != "" {
		digest = maphash.Bytes(g.seed, body)
		if e = g.tokens.find(tokenID{method, token}, recv); e != nil && e.body != digest && e.proven() {
			return ID{}, false
		}
	}
	g.uids[uid] = struct{}{}
	from := g.caller(src, now)
	g.known[from].out++
	if n := len(g.spare); n == 0 {
		g.spare = append(g.spare, len(g.slots))
		g.slots = append(g.slots, slot[T]{})
	}
	i := g.spare[len(g.spare)-1]
	g.spare = g.spare[:len(g.spare)-1]
	s := &g.slots[i]
	*s = slot[T]{life: s.life + 1, who: who, uid: uid, token: token, body: digest, recv: recv, from: from,
		ahead: min(max(recv-now, 0), maxAhead), method: method}
	g.move(i, owed)
	if method < len(g.settings.Methods) {
		g.wait(i)
	}
	id = ID{i, s.life}
	repeats := rpc.RepeatsNone
	if e != nil {
		s.entry = e
		// With another body one of the two is none of a usual router's, and the kernel will tell which: until then
		// the later one follows, and takes no held one's place.
		if repeats = rpc.RepeatsReleased; e.body == digest && g.holds(e.runner) {
			repeats = e.runner.i
		}
	}
	g.module.Arrive(now, i, method, from, 0, max(now-recv, 0), again && g.settings.Clients.MarksRetry, false, due, kb, repeats)
	g.settle()
	return id, true
}

// IsRepeat tells whether an RPC repeats one that is in hand or has run: such a one is not refused beside the module, as what
// has begun is never turned away.
func (g *Gate[T]) IsRepeat(method int, token string, recv float64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tokens.find(tokenID{method, token}, recv) != nil
}

// SetResultLimit bounds the bytes of kept results anew; the oldest past it go at once, and their repeats are aborted, never run.
func (g *Gate[T]) SetResultLimit(bytes int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.tokens.limit != bytes {
		g.tokens.limit = bytes
		g.tokens.trim()
	}
}

// holds tells whether the module still has the RPC.
func (g *Gate[T]) holds(id ID) bool {
	return id.i < len(g.slots) && g.slots[id.i].life == id.life && g.slots[id.i].state != free
}

// CallerGone tells that nobody waits for the RPC any more.
func (g *Gate[T]) CallerGone(now float64, id ID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.holds(id) && g.slots[id.i].state == owed {
		g.move(id.i, done)
		g.module.CallerGone(g.clock(now), id.i)
		g.settle()
	}
}

// Report tells how a run ended. took is in seconds; result is kept, not copied.
func (g *Gate[T]) Report(now float64, id ID, how rpc.Outcome, took float64, result []byte) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.holds(id) {
		return
	}
	g.clock(now)
	if how.NeverRan() {
		took = 0
	}
	g.over(id.i, took)
	if e := g.slots[id.i].entry; e != nil && e.runner == id {
		g.ended = append(g.ended, g.tokens.finish(e, how, result)...)
		if how.NeverRan() {
			g.slots[id.i].entry = nil
		}
	}
	g.end(id.i, how, took, result)
	g.settle()
	g.tokens.trim()
}

// end answers an RPC whose outcome is there, if an answer is owed, and tells the module.
func (g *Gate[T]) end(i int, how rpc.Outcome, took float64, result []byte) {
	switch how {
	case rpc.OK:
		g.answer(i, Job[T]{Action: Serve, Result: result})
	case rpc.Error:
		g.answer(i, Job[T]{Action: Abort})
	}
	g.module.Ended(g.now, i, how, took)
}

// settle ends the followers of what has an outcome; the module may not be called while it acts.
func (g *Gate[T]) settle() {
	for len(g.ended) > 0 {
		i := g.ended[0]
		g.ended = g.ended[1:]
		s := &g.slots[i]
		switch e := s.entry; {
		case s.state == free || e == nil:
		case e.state == kept && e.body == s.body:
			g.end(i, rpc.OK, 0, e.result)
		case e.state == forgotten: // it never ran: the next may
			if s.entry = g.tokens.find(tokenID{s.method, s.token}, s.recv); s.entry != nil {
				(*actions[T])(g).Follow(i)
			} else {
				g.end(i, rpc.NotStarted, 0, nil)
			}
		default:
			g.end(i, rpc.Error, 0, nil)
		}
	}
	if len(g.jobs) > 0 {
		signal(g.ready)
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Tick brings the time and the machine's gauges, nil if they are not known; it says when to come again.
func (g *Gate[T]) Tick(now float64, gauges []float64) (after float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now = g.clock(now)
	g.tokens.expire(now)
	g.module.Tick(now, gauges)
	g.settle()
	return g.wake
}

// Drain gives notice that the process is stopped at the given time.
func (g *Gate[T]) Drain(now, at float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving, g.noticed, g.stop = true, g.clock(now), at
	g.module.Leave(g.noticed, at)
	g.settle()
}

func (g *Gate[T]) move(i int, to state) {
	s := &g.slots[i]
	s.state = to
	if to == done {
		g.unwait(i) // whoever was answered waits no longer
	}
	if to == free {
		g.unwait(i)
		g.over(i, 0)
		if s.entry != nil {
			s.entry.unfollow(i)
		}
		delete(g.uids, s.uid)
		g.known[s.from].out--
		*s = slot[T]{life: s.life}
		g.spare = append(g.spare, i)
	}
}
