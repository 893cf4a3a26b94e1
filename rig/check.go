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
	Description string
}

func (b Violation) String() string { return fmt.Sprintf("rule %d: %s", b.Rule, b.Description) }

// Checker watches everything that an experiment does and knows the rules. It is told by callers (Asked), by the
// network (Try, Interrupted, Answered, Ended), by the kernels (Started) and by whoever starts and stops programs
// (Up, Notice, Killed, Exited). It is safe for use by many goroutines.
//
// An RPC is excused from its final answer by its own caller's interrupt or end or by its not reading, by a reset on the
// routers' side and by the kill of its process, and by nothing else: trouble of the kernel, of the roster or with other
// clients excuses nothing. An app server that ends a connection has lost what was written on it and has no answer, on a new
// connection too: it may have been read. What was provably never read is what could not be written, because the connection
// was refused or was reset before the last byte of the request.
type Checker struct {
	mu         sync.Mutex
	rpcs       map[string]*requestedRPC
	tries      map[*flow]map[int32]*tryState // by connection and number, until the connection has ended
	servers    map[string]*processState
	violations []Violation
	counts     map[string]int
	slack      time.Duration
	crossedTries    map[string]*tryState // by RPC; nil unless ResendCrossed, see there
	settings      *ServerSettings            // nil unless Judge, see there
}

// requestedRPC is one RPC, over all its tries.
type requestedRPC struct {
	kind     rpc.Kind
	deadline time.Time
	tries    int
	runs     int
	sent     bool
	noRetry     bool      // refused, and no other try wished
	retryAfter    time.Time // refused, and not before
	ran      bool
}

// tryState is one try on the wire.
type tryState struct {
	id       string
	server   string
	sentAt       time.Time
	due      time.Time
	replied bool
	excused  bool     // interrupted, or its connection was ended by the caller or by us
	mayBeLate     bool     // may be answered late: its app server's process was stopped meanwhile
	sent     *sentTry // nil unless Judge
}

// settled reports whether no answer is owed any more.
func (t *tryState) settled() bool { return t.replied || t.excused }

// processState is one app server's.
type processState struct {
	up      bool
	noticeAt  time.Time
	stopBy    time.Time
	grace   time.Duration
	killed  bool
	paused  bool
	resumedAt time.Time // when it was last let go on
	endedAt   time.Time
	runStarts map[string]time.Time
	requests  *requestLog // of what clients sent to this process
}

func newProcessState() *processState {
	return &processState{runStarts: map[string]time.Time{}, requests: newRequestLog()}
}

// NewChecker allows so much beside each time that a rule names, for what the machine itself takes.
func NewChecker(slack time.Duration) *Checker {
	return &Checker{rpcs: map[string]*requestedRPC{}, tries: map[*flow]map[int32]*tryState{}, servers: map[string]*processState{},
		counts: map[string]int{}, slack: slack}
}

// addViolation is called under the lock. So many are enough to see what is wrong.
func (c *Checker) addViolation(rule int, format string, args ...any) {
	if len(c.violations) < 1000 {
		c.violations = append(c.violations, Violation{rule, fmt.Sprintf(format, args...)})
	}
}

// reportViolation takes note of a violation that a stand-in has seen.
func (c *Checker) reportViolation(rule int, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(rule, format, args...)
}

// RigFailed takes note that the rig itself did not work: such a run shows nothing.
func (c *Checker) RigFailed(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(0, format, args...)
}

// Count is a figure that the checker has kept: tries, runs, pushed_back, refused.retried, late.sent, double.runs,
// unanswered, turned.away (never read: the connection was reset first), crossed.
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

// RegisterRPC tells of an RPC that a caller is about to ask for.
func (c *Checker) RegisterRPC(id string, kind rpc.Kind, deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rpcs[id] = &requestedRPC{kind: kind, deadline: deadline}
	c.counts["asked"]++
}

// RepeatRPC tells that a caller asks once more for an RPC that had its outcome: until a new deadline, and whatever was
// said of the earlier tries.
func (c *Checker) RepeatRPC(id string, deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.rpcs[id]; r != nil {
		r.deadline, r.noRetry, r.retryAfter = deadline, false, time.Time{}
	}
}

// VerifyResult tells what a caller got for an RPC: only what a run of it made is a result.
func (c *Checker) VerifyResult(id string, body []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.rpcs[id]; r != nil && (!r.ran || string(body) != string(RunResult(id))) {
		c.addViolation(1, "%s was served with what no run of it made: %.40q", id, body)
	}
}

// server is called under the lock.
func (c *Checker) server(name string) *processState {
	if c.servers[name] == nil {
		c.servers[name] = newProcessState()
	}
	return c.servers[name]
}

// ProcessStarted tells that an app server's program has been started.
func (c *Checker) ProcessStarted(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers[server] = newProcessState()
	c.servers[server].up = true
}

// ShutdownRequested tells that it has been told to leave.
func (c *Checker) ShutdownRequested(server string, grace, stop time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.server(server)
	s.noticeAt, s.grace = time.Now(), grace
	s.stopBy = s.noticeAt.Add(stop)
}

// ProcessKilled tells that it is about to be ended outright: what it holds is excused.
func (c *Checker) ProcessKilled(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.server(server)
	s.killed = true
	maps.DeleteFunc(c.crossedTries, func(_ string, t *tryState) bool { return t.server == server })
	for _, tries := range c.tries {
		for _, t := range tries {
			if t.server == server && !t.replied {
				t.excused = true
			}
		}
	}
}

// SetPaused tells that the rig has stopped its process, or starves it, or lets it go on: what it answers late meanwhile is
// excused, and all else is not. It still owes each answer once it goes on.
func (c *Checker) SetPaused(server string, paused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.server(server)
	s.paused = paused
	if !paused {
		s.resumedAt = time.Now()
	}
	for _, tries := range c.tries {
		for _, t := range tries {
			if t.server == server {
				t.mayBeLate = true
			}
		}
	}
}

// ProcessExited tells how its process ended.
func (c *Checker) ProcessExited(server string, code int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.server(server)
	switch {
	case s.killed:
	case s.noticeAt.IsZero():
		c.addViolation(4, "%s ended by itself: code %d, %v", server, code, err)
	case code != 0:
		c.addViolation(4, "%s ended with code %d after its notice: %v", server, code, err)
	case time.Now().After(s.stopBy.Add(c.slack)):
		c.addViolation(3, "%s ended %v after its stop", server, time.Since(s.stopBy))
	}
	s.up, s.endedAt = false, time.Now()
}

// isAlive reports whether the process of an app server has been started and has not ended, or ended a moment ago.
func (c *Checker) isAlive(server string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[server]
	return s != nil && (s.up || time.Since(s.endedAt) <= c.slack)
}

// VerifyMemory tells what it takes, against its limit.
func (c *Checker) VerifyMemory(server string, bytes, limit int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if bytes > limit {
		c.addViolation(4, "%s takes %d MB of %d", server, bytes>>20, limit>>20)
	}
}
