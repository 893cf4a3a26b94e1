package rig

import (
	"fmt"
	"maps"
	"sync"
	"time"

	"valveglade/rpc"
)

// Violation is one rule broken: 1 to 4 are the app server's, 5 is the caller's, 0 the rig's own fault.
type Violation struct {
	Rule int
	What string
}

func (b Violation) String() string { return fmt.Sprintf("rule %d: %s", b.Rule, b.What) }

// Checker watches everything that an experiment does and knows the rules. It is told by callers (Asked), by the
// network (Try, Interrupted, Answered, Ended), by the kernels (Started) and by whoever starts and stops programs
// (Up, Notice, Killed, Exited). It is safe for use by many goroutines.
type Checker struct {
	mu         sync.Mutex
	rpcs       map[string]*asked
	tries      map[*flow]map[int32]*tried // by connection and number, until the connection has ended
	servers    map[string]*processState
	violations []Violation
	counts     map[string]int
	slack      time.Duration
	crossed    map[string]*tried // by RPC; nil unless ResendCrossed, see there
}

// asked is one RPC, over all its tries.
type asked struct {
	kind     rpc.Kind
	deadline time.Time
	tries    int
	runs     int
	sent     bool
	last     bool      // refused, and no other try wished
	until    time.Time // refused, and not before
	ran      bool
}

// tried is one try on the wire.
type tried struct {
	id       string
	server   string
	at       time.Time
	due      time.Time
	answered bool
	excused  bool // interrupted, or its connection was ended by the caller or by us
	late     bool // may be answered late: its app server's process was stopped meanwhile
}

// processState is one app server's.
type processState struct {
	up      bool
	notice  time.Time
	stop    time.Time
	grace   time.Duration
	killed  bool
	paused  bool
	started map[string]time.Time
}

// NewChecker allows so much beside each time that a rule names, for what the machine itself takes.
func NewChecker(slack time.Duration) *Checker {
	return &Checker{rpcs: map[string]*asked{}, tries: map[*flow]map[int32]*tried{}, servers: map[string]*processState{},
		counts: map[string]int{}, slack: slack}
}

// violate is called under the lock. So many are enough to see what is wrong.
func (c *Checker) violate(rule int, format string, args ...any) {
	if len(c.violations) < 1000 {
		c.violations = append(c.violations, Violation{rule, fmt.Sprintf(format, args...)})
	}
}

// Failed takes note that the rig itself did not work: such a run shows nothing.
func (c *Checker) Failed(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violate(0, format, args...)
}

// Count is a figure that the checker has kept: tries, runs, pushed_back, refused.retried, late.sent, double.runs,
// unanswered, turned.away, crossed.
func (c *Checker) Count(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[name]
}

// Violations is what has been seen to break a rule.
func (c *Checker) Violations() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Violation(nil), c.violations...)
}

// Asked tells of an RPC that a caller is about to ask for.
func (c *Checker) Asked(id string, kind rpc.Kind, deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rpcs[id] = &asked{kind: kind, deadline: deadline}
	c.counts["asked"]++
}

// Repeated tells that a caller asks once more for an RPC that had its outcome: until a new deadline, and whatever was
// said of the earlier tries.
func (c *Checker) Repeated(id string, deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.rpcs[id]; r != nil {
		r.deadline, r.last, r.until = deadline, false, time.Time{}
	}
}

// Result tells what a caller got for an RPC: only what a run of it made is a result.
func (c *Checker) Result(id string, body []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.rpcs[id]; r != nil && (!r.ran || string(body) != string(Answer(id))) {
		c.violate(1, "%s was served with what no run of it made: %.40q", id, body)
	}
}

// server is called under the lock.
func (c *Checker) server(name string) *processState {
	if c.servers[name] == nil {
		c.servers[name] = &processState{started: map[string]time.Time{}}
	}
	return c.servers[name]
}

// Up tells that an app server's program has been started.
func (c *Checker) Up(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers[server] = &processState{up: true, started: map[string]time.Time{}}
}

// Notice tells that it has been told to leave.
func (c *Checker) Notice(server string, grace, stop time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.server(server)
	s.notice, s.grace = time.Now(), grace
	s.stop = s.notice.Add(stop)
}

// Killed tells that it is about to be ended outright: what it holds is excused.
func (c *Checker) Killed(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.server(server)
	s.killed = true
	maps.DeleteFunc(c.crossed, func(_ string, t *tried) bool { return t.server == server })
	for _, tries := range c.tries {
		for _, t := range tries {
			if t.server == server && !t.answered {
				t.excused = true
			}
		}
	}
	c.finishCrossed()
}

// Paused tells that the rig has stopped its process, or starves it, or lets it go on: what it answers late meanwhile is
// excused, and all else is not.
func (c *Checker) Paused(server string, paused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.server(server).paused = paused
	for _, tries := range c.tries {
		for _, t := range tries {
			if t.server == server {
				t.late = true
			}
		}
	}
}

// Exited tells how its process ended.
func (c *Checker) Exited(server string, code int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.server(server)
	switch {
	case s.killed:
	case s.notice.IsZero():
		c.violate(4, "%s ended by itself: code %d, %v", server, code, err)
	case code != 0:
		c.violate(4, "%s ended with code %d after its notice: %v", server, code, err)
	case time.Now().After(s.stop.Add(c.slack)):
		c.violate(3, "%s ended %v after its stop", server, time.Since(s.stop))
	}
	s.up = false
}

// Memory tells what it takes, against its limit.
func (c *Checker) Memory(server string, bytes, limit int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if bytes > limit {
		c.violate(4, "%s takes %d MB of %d", server, bytes>>20, limit>>20)
	}
}

// Try tells of an RPC whose last byte has been written to an app server.
func (c *Checker) Try(server string, conn *flow, seq int32, id string, due time.Time, again bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["tries"]++
	r := c.rpcs[id]
	if r == nil {
		return
	}
	delete(c.crossed, id)
	if r.tries++; r.tries > 1 {
		c.counts["further"]++
	}
	switch {
	case r.last, now.Before(r.until):
		c.counts["refused.retried"]++
		c.violate(5, "%s tried again at %s, %v before it was allowed to", id, server, time.Until(r.until))
	}
	// A millisecond is what the wire's figures are rounded to; the slack is for this process, which may be off its
	// core between the caller's look at the clock and this one.
	if now.After(r.deadline.Add(c.slack)) {
		c.counts["late.sent"]++
		c.violate(5, "%s sent %v after its deadline", id, now.Sub(r.deadline))
	}
	if due.After(r.deadline.Add(2*time.Millisecond + c.slack/5)) {
		c.violate(5, "%s sent with a deadline %v later than its own", id, due.Sub(r.deadline))
	}
	if r.kind == rpc.NonIdempotent && r.sent {
		c.violate(5, "%s is non-idempotent and was sent twice", id)
	}
	r.sent = true
	if c.tries[conn] == nil {
		c.tries[conn] = map[int32]*tried{}
	}
	if c.tries[conn][seq] != nil {
		c.violate(5, "%s sent under number %d, which is in use", id, seq)
	}
	c.tries[conn][seq] = &tried{id: id, server: server, at: now, due: due, excused: c.server(server).killed,
		late: c.server(server).paused}
}

// Interrupted tells that the caller of a try waits no longer.
func (c *Checker) Interrupted(conn *flow, seq int32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.tries[conn][seq]; t != nil {
		t.excused = true
	}
}

// Answered tells of an answer to a try, as it came from the app server.
func (c *Checker) Answered(conn *flow, seq int32, how rpc.Outcome, last bool, after time.Duration) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tries[conn][seq]
	switch {
	case t == nil:
		c.violate(1, "an answer to number %d, which was not asked", seq)
		return
	case t.answered:
		c.violate(2, "two answers to %s", t.id)
		return
	}
	t.answered = true
	if now.After(t.due.Add(c.slack)) && !t.excused && !t.late {
		c.counts["late.answers"]++
		c.violate(1, "%s answered by %s %v after its deadline", t.id, t.server, now.Sub(t.due))
	}
	r, s := c.rpcs[t.id], c.server(t.server)
	if r == nil || how != rpc.PushedBack {
		return
	}
	c.counts["pushed_back"]++
	r.last = r.last || last
	if until := now.Add(after - c.slack/10); after > 0 && until.After(r.until) {
		r.until = until
	}
	if at, ran := s.started[t.id]; ran && r.kind != rpc.Idempotent && at.After(t.at) {
		c.violate(2, "%s pushed back by %s, where it had been run", t.id, t.server)
	}
}

// Ended tells that a connection is over: by the caller's doing, or ours, what was open on it is excused.
func (c *Checker) Ended(conn *flow, ours bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Only this connection's: looking through all tries held the rig up while many connections ended, and its own
	// lateness looked like the app server's.
	for _, t := range c.tries[conn] {
		if t.answered || t.excused {
			continue
		}
		if ours || c.server(t.server).killed {
			t.excused = true
			continue
		}
		// A new connection that is closed before anything was said or run on it has failed its RPCs and not lost them.
		if _, ran := c.server(t.server).started[t.id]; !ran && !conn.spoke.Load() {
			t.excused = true
			c.counts["turned.away"]++
			continue
		}
		if c.crossedClose(t) {
			t.excused = true
			c.counts["crossed"]++
			c.crossed[t.id] = t
			continue
		}
		c.counts["unanswered"]++
		c.violate(1, "%s lost: %s ended the connection without an answer", t.id, t.server)
		t.excused = true
	}
	delete(c.tries, conn)
}

// Started tells that a kernel has begun to run an RPC.
func (c *Checker) Started(server, id string) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	r, s := c.rpcs[id], c.server(server)
	if r == nil {
		c.violate(1, "%s ran %q, which nobody asked for", server, id)
		return
	}
	c.counts["runs"]++
	r.runs++
	r.ran = true
	s.started[id] = now
	if r.runs > 1 && r.kind != rpc.Idempotent {
		c.counts["double.runs"]++
		c.violate(2, "%s (%s) run a second time, at %s", id, r.kind, server)
	}
	if s.notice.IsZero() {
		return
	}
	// The rule counts when the RPC came, not when it starts.
	came := time.Time{}
	for _, tries := range c.tries {
		for _, t := range tries {
			if t.server == server && t.id == id && t.at.After(came) {
				came = t.at
			}
		}
	}
	if came.After(s.notice.Add(s.grace + c.slack)) {
		c.violate(3, "%s came to %s %v after its notice and was run", id, server, came.Sub(s.notice))
	}
}

// Finish looks at what is still open: tries whose deadline has passed without an answer.
func (c *Checker) Finish() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, tries := range c.tries {
		for _, t := range tries {
			if !t.answered && !t.excused && !t.late && now.After(t.due.Add(c.slack)) {
				c.counts["unanswered"]++
				c.violate(1, "%s never answered by %s", t.id, t.server)
				t.excused = true
			}
		}
	}
	c.finishCrossed()
}
