// Package fleet runs what is decided for the whole fleet: elected roles, each with at most one owner. It drives the pure
// machines of logic/owner over member's packets, persists a voter's votes, and runs the function of whoever owns a
// role under a context that ends before the lease does. It decides nothing itself; the view only tells it where voters are
// and when campaigning is worth it.
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

// Transport is how this process reaches others: member.Member.
type Transport interface {
	// Send puts a message on its way to a member, without a guarantee.
	Send(to string, payload []byte)
	// Receive has f told of what comes; f must not wait.
	Receive(f func(from string, payload []byte))
}

// Config is what this process is told of roles.
type Config struct {
	Name   string
	Voters [][]string // the list of names, the same everywhere; former and next one while they are changed
	Timing owner.Timing
	Folder string       // for a voter's votes; empty where nothing is persisted
	Fit    func() error // why this process should not campaign now, nil if it may
	Now    func() time.Time
	Clock  func() float64  // a monotonic clock, in seconds; the system's if nil
	Others func() []string // who else there is, as far as the view shows
}

// RoleFunc is what the owner of a role runs. Its context ends before the lease does; it has to return then, and do
// nothing of the role's after.
type RoleFunc func(ctx context.Context, term uint64) error

// Fleet is one process's part in all roles.
type Fleet struct {
	config       Config
	transport    Transport
	log          *zap.Logger
	incarnation  owner.Incarnation
	answers      chan owner.Message // for candidates
	voteRequests chan owner.Message // for the voter
	wake         chan struct{}      // holds one when a role has something new
	leaving      chan struct{}      // closed when it is to step down from all that it owns
	leave        func()

	mu       sync.Mutex
	roles    map[string]*role
	rejected atomic.Int64 // commands of ours with a stale term
	quota    atomic.Pointer[QuotaClient]
	grants   chan grantMessage

	distribution atomic.Pointer[Distribution]
}

// role is one role that this process campaigns for.
type role struct {
	name          string
	run           RoleFunc
	candidate     *owner.Candidate
	term          uint64 // under which its function runs, 0 for none
	since         time.Time
	cancel        context.CancelFunc
	done          chan struct{} // closed when its function has returned
	lastRejection string        // the last rejection for a stale term
	ready         func() bool   // whether this process may campaign for it now; nil for always
}

// ErrLeaseLost ends the context of a RoleFunc whose role is no longer owned.
var ErrLeaseLost = errors.New("the lease of the role is lost")

// New prepares it; nothing is sent before Run.
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
	if config.Others == nil {
		config.Others = func() []string { return nil }
	}
	if config.Fit == nil {
		config.Fit = func() error { return nil }
	}
	f := &Fleet{config: config, transport: transport, log: log, incarnation: owner.Incarnation{Name: config.Name, ID: rand.Uint64()},
		answers: make(chan owner.Message, maxQueued), voteRequests: make(chan owner.Message, maxQueued), wake: make(chan struct{}, 1),
		grants: make(chan grantMessage, maxQueued),
		roles:  map[string]*role{}, leaving: make(chan struct{})}
	f.leave = sync.OnceFunc(func() { close(f.leaving) })
	return f, nil
}

// maxQueued is how many messages may wait: all voters' answers for some dozens of roles. What does not fit is lost, as it
// may be on its way.
const maxQueued = 512

// tickEvery is how often time is looked at: a fiftieth of the shortest lease.
const tickEvery = 20 * time.Millisecond

// Campaign has this process campaign for a role, from now on. It is called before Run, or while it runs.
func (f *Fleet) Campaign(name string, work RoleFunc) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(name) == 0 || len(name) > owner.MaxNameLength {
		return fmt.Errorf("a role's name has 1 to %d bytes", owner.MaxNameLength)
	}
	if f.roles[name] != nil {
		return fmt.Errorf("it campaigns for %q already", name)
	}
	f.roles[name] = &role{name: name, run: work,
		candidate: owner.NewCandidate(f.incarnation, name, f.config.Voters, rand.Uint64(), f.config.Clock(), f.config.Timing)}
	return nil
}

// Leave has it step down from all that it owns, and campaign no more; as a voter it goes on until Run ends, for others may need it.
func (f *Fleet) Leave() { f.leave() }

// Run takes part until ctx ends; then it steps down from all that it owns, and returns once that work has ended and the voters have
// been told.
func (f *Fleet) Run(ctx context.Context) error {
	f.transport.Receive(f.receive)
	live, end := context.WithCancel(context.WithoutCancel(ctx))
	var group sync.WaitGroup
	defer group.Wait()
	defer end()
	if slices.ContainsFunc(f.config.Voters, func(list []string) bool { return slices.Contains(list, f.config.Name) }) {
		group.Go(func() { f.serveVotes(live) })
	}
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	leaving, left := f.leaving, false
	for {
		select {
		case <-ctx.Done():
			f.stepDown()
			return nil
		case <-leaving:
			leaving, left = nil, true
			f.stepDown()
		case m := <-f.answers:
			f.mu.Lock()
			if o := f.roles[m.Role]; o != nil {
				o.candidate.HandleAnswer(m, f.config.Clock())
			}
			f.mu.Unlock()
		case m := <-f.grants:
			if l := f.quota.Load(); l != nil {
				l.handle(m)
			}
			continue
		case <-f.wake:
		case <-tick.C:
		}
		f.tick(live, left)
		if l := f.quota.Load(); l != nil {
			l.tick()
		}
	}
}

// receive sorts what comes.
func (f *Fleet) receive(from string, payload []byte) {
	if d := f.distribution.Load(); d != nil && isReplication(payload) {
		d.receive(from, payload)
		return
	}
	if g, err := decodeGrant(payload, f.config.Name); err == nil {
		select {
		case f.grants <- g:
		default:
		}
		return
	}
	m, err := decode(payload)
	if err != nil {
		return // member has checked that it came whole: it is of a version that is not ours
	}
	to := f.answers
	if m.Kind <= owner.StepDown {
		to = f.voteRequests
	} else if m.To != f.config.Name {
		return
	}
	select {
	case to <- m:
	default:
	}
}

// tick lets time pass for all roles, has their messages sent, and starts or stops their functions.
func (f *Fleet) tick(ctx context.Context, left bool) {
	unfit := f.config.Fit()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, o := range f.roles {
		at := f.config.Clock()
		_, _, owns := o.candidate.Owns(at)
		// Who owns goes on, pressed or not, until its lease or its majority ends; it is new ones that are not to campaign.
		ready := unfit == nil && (o.ready == nil || o.ready())
		o.candidate.SetCampaigning(!left && (ready || owns), at)
		o.candidate.Tick(at)
		term, left, owns := o.candidate.Owns(at)
		switch {
		case o.term != 0 && (!owns || term != o.term):
			f.stopRole(o, "its lease has ended")
		case o.term == 0 && owns && o.finished():
			f.startRole(ctx, o, term, left)
		}
		f.send(o)
	}
}

// finished reports whether the function that ran last has returned.
func (o *role) finished() bool {
	if o.done == nil {
		return true
	}
	select {
	case <-o.done:
		return true
	default:
		return false
	}
}

// startRole runs a role's function.
func (f *Fleet) startRole(ctx context.Context, o *role, term uint64, left float64) {
	o.term, o.since, o.done = term, time.Now(), make(chan struct{})
	ctx, stop := context.WithCancelCause(ctx)
	o.cancel = func() { stop(ErrLeaseLost) }
	f.log.Info("role acquired", zap.String("role", o.name), zap.Uint64("term", term), zap.Float64("lease_left_s", math.Round(left*1e3)/1e3))
	over := o.done
	go func() {
		defer close(over)
		defer func() {
			if p := recover(); p != nil {
				f.log.Error("panic", zap.String("role", o.name), zap.Any("panic", p), zap.Stack("stack"))
			}
		}()
		err := o.run(ctx, term)
		staleErr := (*StaleTermError)(nil)
		if errors.As(err, &staleErr) {
			f.HandleStaleTerm(o.name, staleErr)
		} else if err != nil && ctx.Err() == nil {
			f.log.Warn("role ended with an error", zap.String("role", o.name), zap.Uint64("term", term), zap.Error(err))
		}
		signal(f.wake)
	}()
}

// stopRole ends a role's function, under the lock.
func (f *Fleet) stopRole(o *role, why string) {
	f.log.Info("stepped down", zap.String("role", o.name), zap.Uint64("term", o.term), zap.String("reason", why))
	o.cancel()
	o.term = 0
}

// HandleStaleTerm takes in that a command of ours was rejected for a higher term: this process steps down at once.
func (f *Fleet) HandleStaleTerm(name string, l *StaleTermError) {
	f.rejected.Add(1)
	f.mu.Lock()
	defer f.mu.Unlock()
	o := f.roles[name]
	if o == nil {
		return
	}
	o.lastRejection = fmt.Sprintf("%s: %v", f.config.Now().UTC().Format(time.RFC3339), l)
	f.log.Warn("command rejected: stale term", zap.String("role", name), zap.Uint64("term", l.Term), zap.Uint64("known", l.Known))
	o.candidate.HandleStaleTerm(l.Known, f.config.Clock())
	signal(f.wake)
}

// stepDown steps down from all roles: first the work ends, then the voters hear so.
func (f *Fleet) stepDown() {
	f.mu.Lock()
	var overs []chan struct{}
	longest := 0.0
	for _, o := range f.roles {
		if _, left, owns := o.candidate.Owns(f.config.Clock()); owns {
			longest = max(longest, left)
		}
		if o.term != 0 {
			f.stopRole(o, "this app server leaves")
			overs = append(overs, o.done)
		}
	}
	f.mu.Unlock()
	within := time.After(time.Duration(longest * float64(time.Second)))
	ended := true
	for _, over := range overs {
		select {
		case <-over:
		case <-within: // the lease ends by itself then, and nobody is told that it may begin sooner
			ended = false
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, o := range f.roles {
		if ended {
			o.candidate.SetCampaigning(false, f.config.Clock())
		}
		f.send(o)
	}
}

// send puts a role's messages on their way, under the lock.
func (f *Fleet) send(o *role) {
	for _, m := range o.candidate.Ready() {
		f.transport.Send(m.To, encode(m))
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
