// Package fleet runs the elected roles of the fleet, each with at most one owner at a time. It drives the pure state
// machines of logic/owner over the packets of package member, persists the votes of a voter, and runs the function of a
// role on its owner, under a context that ends before the lease does. Elections are decided in logic/owner alone; the
// membership view only shows where the voters are and whether campaigning is worthwhile.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"valveglade/logic/owner"
)

// Transport exchanges messages with the other members; member.Member implements it.
type Transport interface {
	// Send sends a message to a member without a delivery guarantee.
	Send(to string, payload []byte)
	// Receive registers f as the handler of incoming messages; f must not block.
	Receive(f func(from string, payload []byte))
}

// Config configures the part of this process in elections.
type Config struct {
	Name          string     // the name of this process in the membership
	Voters        [][]string // the voters' names, equal on all members; the old and the new list while voters are replaced
	Timing        owner.Timing
	Folder        string           // where a voter persists its votes; empty for no persistence
	CheckEligible func() error     // returns why this process must not campaign now, nil if it may
	Now           func() time.Time // the wall clock; nil for the system's
	Clock         func() float64   // a monotonic clock in seconds; nil for the system's
	Peers         func() []string  // the other members in the current view
}

// RoleFunc is the function that the owner of a role runs. Its context ends before the lease does; the function then has
// to return and must not act for the role any more.
type RoleFunc func(ctx context.Context, term uint64) error

// Fleet is the part of this process in all elections, as a candidate and as a voter.
type Fleet struct {
	config           Config
	transport        Transport
	log              *zap.Logger
	incarnation      owner.Incarnation  // of this process, chosen at random
	candidateAnswers chan owner.Message // answers to the candidates of this process
	voteRequests     chan owner.Message // requests to the voter of this process
	wake             chan struct{}      // signaled when the state of a role has changed
	leaving          chan struct{}      // closed when this process is to step down from all its roles
	closeLeaving     func()

	mu          sync.Mutex
	roles       map[string]*role
	rejected    atomic.Int64 // commands of this process rejected for a stale term
	quotaClient atomic.Pointer[QuotaClient]
	grants      chan grantMessage // messages about shares, received and not yet handled

	distribution atomic.Pointer[Distribution]
}

// role is one role that this process campaigns for.
type role struct {
	name          string
	run           RoleFunc
	candidate     *owner.Candidate
	term          uint64    // the term under which run is running, 0 if it is not
	since         time.Time // when run was started
	cancel        context.CancelFunc
	done          chan struct{} // closed when run has returned
	lastRejection string        // when and why a command was last rejected for a stale term
	ready         func() bool   // reports whether this process may campaign for the role now; nil for always
}

// ErrLeaseLost is the cancellation cause of the context of a RoleFunc whose role is no longer owned.
var ErrLeaseLost = errors.New("the lease of the role is lost")

// New returns a Fleet that sends nothing before Run.
func New(config Config, transport Transport, log *zap.Logger) (*Fleet, error) {
	if err := owner.CheckVoters(config.Voters); err != nil {
		return nil, fmt.Errorf("voters: %w", err)
	}
	if config.Clock == nil {
		config.Clock = clock
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Peers == nil {
		config.Peers = func() []string { return nil }
	}
	if config.CheckEligible == nil {
		config.CheckEligible = func() error { return nil }
	}
	f := &Fleet{config: config, transport: transport, log: log,
		incarnation:      owner.Incarnation{Name: config.Name, ID: rand.Uint64()},
		candidateAnswers: make(chan owner.Message, maxQueuedMessages),
		voteRequests:     make(chan owner.Message, maxQueuedMessages), wake: make(chan struct{}, 1),
		grants: make(chan grantMessage, maxQueuedMessages),
		roles:  map[string]*role{}, leaving: make(chan struct{})}
	f.closeLeaving = sync.OnceFunc(func() { close(f.leaving) })
	return f, nil
}

// maxQueuedMessages is the capacity of each message queue: enough for all voters' answers for some dozens of roles.
// Messages past it are dropped; the protocol tolerates message loss.
const maxQueuedMessages = 512

// tickInterval is the period of updates to the roles: a fiftieth of the shortest lease.
const tickInterval = 20 * time.Millisecond

// Campaign starts campaigning for a role. It may be called before Run or while Run runs.
func (f *Fleet) Campaign(name string, work RoleFunc) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(name) == 0 || len(name) > owner.MaxNameLength {
		return fmt.Errorf("the name of a role must have 1 to %d bytes", owner.MaxNameLength)
	}
	if f.roles[name] != nil {
		return fmt.Errorf("already campaigning for role %q", name)
	}
	f.roles[name] = &role{name: name, run: work,
		candidate: owner.NewCandidate(f.incarnation, name, f.config.Voters, rand.Uint64(), f.config.Clock(), f.config.Timing)}
	return nil
}

// Leave steps down from all roles and stops campaigning. A voter keeps voting until Run ends, as the other members may
// need its vote for a majority.
func (f *Fleet) Leave() { f.closeLeaving() }

// Run takes part in elections until ctx ends. It then steps down from all roles, and returns once their functions have
// ended and the voters have been notified.
func (f *Fleet) Run(ctx context.Context) error {
	f.transport.Receive(f.receive)
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	if slices.ContainsFunc(f.config.Voters, func(list []string) bool { return slices.Contains(list, f.config.Name) }) {
		group.Go(func() { f.serveVotes(runCtx) })
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	leaving, draining := f.leaving, false
	for {
		select {
		case <-ctx.Done():
			f.stepDown()
			return nil
		case <-leaving:
			leaving, draining = nil, true
			f.stepDown()
		case m := <-f.candidateAnswers:
			f.mu.Lock()
			if r := f.roles[m.Role]; r != nil {
				r.candidate.HandleAnswer(m, f.config.Clock())
			}
			f.mu.Unlock()
		case m := <-f.grants:
			if quotaClient := f.quotaClient.Load(); quotaClient != nil {
				quotaClient.handle(m)
			}
			continue
		case <-f.wake:
		case <-ticker.C:
		}
		f.updateRoles(runCtx, draining)
		if quotaClient := f.quotaClient.Load(); quotaClient != nil {
			quotaClient.sendRequests()
		}
	}
}

// receive queues an incoming message for its recipient. It drops the message if the queue is full.
func (f *Fleet) receive(from string, payload []byte) {
	if distribution := f.distribution.Load(); distribution != nil && isReplication(payload) {
		distribution.receive(from, payload)
		return
	}
	if grant, err := decodeGrant(payload, f.config.Name); err == nil {
		select {
		case f.grants <- grant:
		default:
		}
		return
	}
	message, err := decodeVoteMessage(payload)
	if err != nil {
		return // package member has checked the integrity of the packet: this is another protocol version
	}
	queue := f.candidateAnswers
	if message.Kind <= owner.StepDown {
		queue = f.voteRequests
	} else if message.To != f.config.Name {
		return
	}
	select {
	case queue <- message:
	default:
	}
}

// updateRoles advances all candidates to the current time, sends their messages, and starts or stops the roles'
// functions.
func (f *Fleet) updateRoles(ctx context.Context, draining bool) {
	ineligible := f.config.CheckEligible()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.roles {
		now := f.config.Clock()
		_, _, owns := r.candidate.Owns(now)
		// An owner under pressure keeps its role until it loses its lease or its majority; only new campaigns are
		// held back.
		ready := ineligible == nil && (r.ready == nil || r.ready())
		r.candidate.SetCampaigning(!draining && (ready || owns), now)
		r.candidate.Tick(now)
		term, left, owns := r.candidate.Owns(now)
		switch {
		case r.term != 0 && (!owns || term != r.term):
			f.stopRole(r, "its lease has ended")
		case r.term == 0 && owns && r.hasFinished():
			f.startRole(ctx, r, term, left)
		}
		f.send(r)
	}
}

// hasFinished reports whether the last run of the function has returned.
func (r *role) hasFinished() bool {
	if r.done == nil {
		return true
	}
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// startRole starts the function of a role on its own goroutine. The caller holds f.mu.
func (f *Fleet) startRole(ctx context.Context, r *role, term uint64, left float64) {
	r.term, r.since, r.done = term, time.Now(), make(chan struct{})
	ctx, cancel := context.WithCancelCause(ctx)
	r.cancel = func() { cancel(ErrLeaseLost) }
	f.log.Info("role acquired", zap.String("role", r.name), zap.Uint64("term", term),
		zap.Float64("lease_left_s", math.Round(left*1e3)/1e3))
	done := r.done
	go func() {
		defer close(done)
		defer func() {
			if panicValue := recover(); panicValue != nil {
				f.log.Error("panic", zap.String("role", r.name), zap.Any("panic", panicValue), zap.Stack("stack"))
			}
		}()
		err := r.run(ctx, term)
		staleErr := (*StaleTermError)(nil)
		if errors.As(err, &staleErr) {
			f.HandleStaleTerm(r.name, staleErr)
		} else if err != nil && ctx.Err() == nil {
			f.log.Warn("role ended with an error", zap.String("role", r.name), zap.Uint64("term", term), zap.Error(err))
		}
		notify(f.wake)
	}()
}

// stopRole cancels the function of a role. The caller holds f.mu.
func (f *Fleet) stopRole(r *role, reason string) {
	f.log.Info("stepped down", zap.String("role", r.name), zap.Uint64("term", r.term), zap.String("reason", reason))
	r.cancel()
	r.term = 0
}

// HandleStaleTerm records that a command of this process was rejected because a higher term is known, and steps down
// from the role at once.
func (f *Fleet) HandleStaleTerm(roleName string, staleErr *StaleTermError) {
	f.rejected.Add(1)
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.roles[roleName]
	if r == nil {
		return
	}
	r.lastRejection = fmt.Sprintf("%s: %v", f.config.Now().UTC().Format(time.RFC3339), staleErr)
	f.log.Warn("command rejected: stale term", zap.String("role", roleName), zap.Uint64("term", staleErr.Term),
		zap.Uint64("known", staleErr.Known))
	r.candidate.HandleStaleTerm(staleErr.Known, f.config.Clock())
	notify(f.wake)
}

// stepDown steps down from all roles: it first waits for their functions to end, then notifies the voters.
func (f *Fleet) stepDown() {
	f.mu.Lock()
	var running []chan struct{}
	longestLease := 0.0
	for _, r := range f.roles {
		if _, left, owns := r.candidate.Owns(f.config.Clock()); owns {
			longestLease = max(longestLease, left)
		}
		if r.term != 0 {
			f.stopRole(r, "this app server is shutting down")
			running = append(running, r.done)
		}
	}
	f.mu.Unlock()
	leaseEnd := time.After(time.Duration(longestLease * float64(time.Second)))
	allEnded := true
	for _, done := range running {
		select {
		case <-done:
		case <-leaseEnd: // the lease expires anyway, and voters must not grant the role before that
			allEnded = false
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.roles {
		if allEnded {
			r.candidate.SetCampaigning(false, f.config.Clock())
		}
		f.send(r)
	}
}

// send sends the pending messages of a role's candidate. The caller holds f.mu.
func (f *Fleet) send(r *role) {
	for _, m := range r.candidate.Ready() {
		f.transport.Send(m.To, encodeVoteMessage(m))
	}
}

// notify signals a channel of capacity one without blocking.
func notify(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}
