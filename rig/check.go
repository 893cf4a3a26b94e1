package rig

import (
	"fmt"
	"maps"
	"sync"
	"time"

	"valveglade/rpc"
)

// Violation is one breach of a rule. Rules 1 to 4 bind app servers and rule 5 binds callers; 0 marks a failure of the rig itself.
type Violation struct {
	Rule        int
	Description string
}

func (v Violation) String() string { return fmt.Sprintf("rule %d: %s", v.Rule, v.Description) }

// Checker observes an experiment and records every violation of the rules. Callers report RPCs (RegisterRPC), the fault
// proxies report traffic (TrySent, TryInterrupted, ReplyReceived, ConnectionEnded), the kernels report runs (RunStarted), and
// the code that starts and stops programs reports process states (ProcessStarted, ShutdownRequested, ProcessKilled,
// ProcessExited). It is safe for concurrent use.
//
// An RPC needs no reply if its own caller interrupted it, closed the connection or does not read, if the connection was reset
// on the routers' side, or if its process was killed. Nothing else excuses a missing reply: no failure of the kernel, of the
// roster or of other clients. An app server that closes a connection loses every unanswered request written on it, on a new
// connection too, because it may have read them. A request is known to be unread only if it could not be written, because the
// connection was refused or was reset before the last byte of the request.
type Checker struct {
	mu           sync.Mutex
	rpcs         map[string]*requestedRPC                   // by the id of the RPC
	tries        map[*proxiedConnection]map[int32]*tryState // by connection and sequence number, until the connection has ended
	servers      map[string]*processState                   // by the name of the app server
	violations   []Violation
	counts       map[string]int       // see Count
	slack        time.Duration        // tolerated beyond each time limit of a rule
	crossedTries map[string]*tryState // by the id of the RPC; nil unless ExpectResendAfterClose was called
	settings     *ServerSettings      // nil unless CheckServers was called
}

// requestedRPC is the state of one RPC over all its tries.
type requestedRPC struct {
	kind       rpc.Kind
	deadline   time.Time
	tries      int
	runs       int
	sent       bool
	noRetry    bool      // pushed back with the request not to try again
	retryAfter time.Time // pushed back: no further try before this time
	ran        bool
}

// tryState is the state of one try that was sent to an app server.
type tryState struct {
	id        string // of its RPC
	server    string
	sentAt    time.Time
	due       time.Time // deadline of its reply
	replied   bool
	excused   bool     // interrupted, or its connection was ended by the caller or by the rig
	mayBeLate bool     // its app server's process was paused while the reply was pending
	sent      *sentTry // nil unless CheckServers was called
}

// settled reports whether no reply is pending.
func (t *tryState) settled() bool { return t.replied || t.excused }

// processState is the state of one app server's process.
type processState struct {
	up                  bool // started and not ended
	shutdownRequestedAt time.Time
	stopBy              time.Time     // when it must have ended after the request to shut down
	gracePeriod         time.Duration // in which it still accepts RPCs after the request to shut down
	killed              bool          // by the rig
	paused              bool          // by the rig, or throttled
	resumedAt           time.Time     // when it was last resumed
	endedAt             time.Time
	runStarts           map[string]time.Time // last start of a run by the id of its RPC
	requests            *requestLog          // what clients sent to this process
}

func newProcessState() *processState {
	return &processState{runStarts: map[string]time.Time{}, requests: newRequestLog()}
}

// NewChecker returns a checker that tolerates slack beyond each time limit of a rule, for scheduling delays of the machine.
func NewChecker(slack time.Duration) *Checker {
	return &Checker{rpcs: map[string]*requestedRPC{}, tries: map[*proxiedConnection]map[int32]*tryState{},
		servers: map[string]*processState{}, counts: map[string]int{}, slack: slack}
}

// addViolation records a violation; it keeps at most 1000, which suffice for a diagnosis. The caller holds c.mu.
func (c *Checker) addViolation(rule int, format string, args ...any) {
	if len(c.violations) < 1000 {
		c.violations = append(c.violations, Violation{rule, fmt.Sprintf(format, args...)})
	}
}

// reportViolation records a violation that a stand-in has observed.
func (c *Checker) reportViolation(rule int, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(rule, format, args...)
}

// RigFailed records a failure of the rig itself, which makes the trial inconclusive.
func (c *Checker) RigFailed(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(0, format, args...)
}

// Count returns one of the checker's counters: asked (RPCs), tries, further (tries of an RPC after its first), runs, pushed_back,
// refused.retried, late.sent, late.answers, double.runs, unanswered, turned.away (requests that were never read because the
// connection was reset first), crossed (requests that crossed the close of their connection).
func (c *Checker) Count(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[name]
}

// Violations returns a copy of the violations recorded so far.
func (c *Checker) Violations() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Violation(nil), c.violations...)
}

// RegisterRPC records an RPC that a caller is about to request.
func (c *Checker) RegisterRPC(id string, kind rpc.Kind, deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rpcs[id] = &requestedRPC{kind: kind, deadline: deadline}
	c.counts["asked"]++
}

// RepeatRPC records that a caller requests an RPC again after its outcome. The RPC gets a new deadline, and
// pushbacks of its earlier tries no longer restrict it.
func (c *Checker) RepeatRPC(id string, deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.rpcs[id]; r != nil {
		r.deadline, r.noRetry, r.retryAfter = deadline, false, time.Time{}
	}
}

// VerifyResult checks the result that a caller received for an RPC: a run of that RPC must have produced it.
func (c *Checker) VerifyResult(id string, body []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.rpcs[id]; r != nil && (!r.ran || string(body) != string(RunResult(id))) {
		c.addViolation(1, "%s was served with a result that no run of it produced: %.40q", id, body)
	}
}

// server returns the state of an app server's process and creates it on first use. The caller holds c.mu.
func (c *Checker) server(name string) *processState {
	if c.servers[name] == nil {
		c.servers[name] = newProcessState()
	}
	return c.servers[name]
}

// ProcessStarted records that an app server's program has been started.
func (c *Checker) ProcessStarted(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers[server] = newProcessState()
	c.servers[server].up = true
}

// ShutdownRequested records that an app server was told to shut down: it accepts RPCs for the grace period and exits within the
// stop timeout.
func (c *Checker) ShutdownRequested(server string, gracePeriod, stopTimeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	process := c.server(server)
	process.shutdownRequestedAt, process.gracePeriod = time.Now(), gracePeriod
	process.stopBy = process.shutdownRequestedAt.Add(stopTimeout)
}

// ProcessKilled records that an app server's process is about to be killed, which excuses its pending replies.
func (c *Checker) ProcessKilled(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	process := c.server(server)
	process.killed = true
	maps.DeleteFunc(c.crossedTries, func(_ string, t *tryState) bool { return t.server == server })
	for _, tries := range c.tries {
		for _, t := range tries {
			if t.server == server && !t.replied {
				t.excused = true
			}
		}
	}
}

// SetPaused records that the rig has paused or throttled an app server's process, or lets it continue. Only the delay of replies
// is excused: every pending reply is still due once the process continues.
func (c *Checker) SetPaused(server string, paused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	process := c.server(server)
	process.paused = paused
	if !paused {
		process.resumedAt = time.Now()
	}
	for _, tries := range c.tries {
		for _, t := range tries {
			if t.server == server {
				t.mayBeLate = true
			}
		}
	}
}

// ProcessExited records the end of an app server's process and checks its exit code and time.
func (c *Checker) ProcessExited(server string, code int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	process := c.server(server)
	switch {
	case process.killed:
	case process.shutdownRequestedAt.IsZero():
		c.addViolation(4, "%s ended without a request to shut down: code %d, %v", server, code, err)
	case code != 0:
		c.addViolation(4, "%s ended with code %d after a request to shut down: %v", server, code, err)
	case time.Now().After(process.stopBy.Add(c.slack)):
		c.addViolation(3, "%s ended %v after its stop timeout", server, time.Since(process.stopBy))
	}
	process.up, process.endedAt = false, time.Now()
}

// isAlive reports whether an app server's process is running or ended no longer than the slack ago.
func (c *Checker) isAlive(server string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	process := c.servers[server]
	return process != nil && (process.up || time.Since(process.endedAt) <= c.slack)
}

// VerifyMemory checks the memory that an app server's process uses against its limit, both in bytes.
func (c *Checker) VerifyMemory(server string, bytes, limit int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if bytes > limit {
		c.addViolation(4, "%s uses %d MB of memory, more than its limit of %d MB", server, bytes>>20, limit>>20)
	}
}
