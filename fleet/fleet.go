// Package fleet lives out what is decided for the whole fleet: offices, each with at most one owner. It drives the pure
// machines of logic/owner over member's packets, keeps a voter's promises on disk, and runs the work of whoever owns an
// office under a context that ends before the lease does. It decides nothing itself; the view only tells it where voters are
// and when standing is worth it.
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

// Carrier is how this process reaches others: member.Member.
type Carrier interface {
	// Send puts a message on its way to a member, and promises nothing.
	Send(to string, payload []byte)
	// Receive has f told of what comes; f must not wait.
	Receive(f func(from string, payload []byte))
}

// Seal is what this process is told of offices.
type Seal struct {
	Name   string
	Voters [][]string // the list of names, the same everywhere; former and next one while they are changed
	Span   owner.Timing
	Folder string       // for a voter's promises; empty where nothing lasts
	Fit    func() error // why this process should not stand now, nil if it may
	Now    func() time.Time
	Clock  func() float64  // a monotonic clock, in seconds; the system's if nil
	Others func() []string // who else there is, as far as the view shows
}

// Work is what is done by the owner of an office. Its context ends before the lease does; it has to return then, and do
// nothing of the office's after.
type Work func(ctx context.Context, term uint64) error

// Fleet is one process's part in all offices.
type Fleet struct {
	seal    Seal
	carrier Carrier
	log     *zap.Logger
	life    owner.Incarnation
	heard   chan owner.Message // for candidates
	asked   chan owner.Message // for the voter
	quick   chan struct{}      // holds one when an office has something new
	leaving chan struct{}      // closed when it is to give up all that it owns
	leave   func()

	mu      sync.Mutex
	offices map[string]*office
	refused atomic.Int64 // orders of ours that were too late
	lender  atomic.Pointer[Lender]
	lending chan grantMessage
}

// office is one office as this process stands for it.
type office struct {
	name      string
	work      Work
	candidate *owner.Candidate
	term      uint64 // under which its work runs, 0 for none
	since     time.Time
	stop      context.CancelFunc
	over      chan struct{} // closed when its work has returned
	late      string        // the last refusal for being late
}

// ErrOver ends the context of work whose office is given up.
var ErrOver = errors.New("the office is given up")

// New prepares it; nothing is sent before Run.
func New(seal Seal, carrier Carrier, log *zap.Logger) (*Fleet, error) {
	if err := owner.CheckVoters(seal.Voters); err != nil {
		return nil, fmt.Errorf("voters: %w", err)
	}
	if seal.Clock == nil {
		seal.Clock = clock
	}
	if seal.Now == nil {
		seal.Now = time.Now
	}
	if seal.Others == nil {
		seal.Others = func() []string { return nil }
	}
	if seal.Fit == nil {
		seal.Fit = func() error { return nil }
	}
	f := &Fleet{seal: seal, carrier: carrier, log: log, life: owner.Incarnation{Name: seal.Name, ID: rand.Uint64()},
		heard: make(chan owner.Message, mostWaiting), asked: make(chan owner.Message, mostWaiting), quick: make(chan struct{}, 1),
		lending: make(chan grantMessage, mostWaiting),
		offices: map[string]*office{}, leaving: make(chan struct{})}
	f.leave = sync.OnceFunc(func() { close(f.leaving) })
	return f, nil
}

// mostWaiting is how many messages may wait: all voters' answers for some dozens of offices. What does not fit is lost, as it
// may be on its way.
const mostWaiting = 512

// tickEvery is how often time is looked at: a fiftieth of the shortest lease.
const tickEvery = 20 * time.Millisecond

// Stand has this process stand for an office, from now on. It is called before Run, or while it runs.
func (f *Fleet) Stand(name string, work Work) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(name) == 0 || len(name) > owner.MaxNameLength {
		return fmt.Errorf("an office's name has 1 to %d bytes", owner.MaxNameLength)
	}
	if f.offices[name] != nil {
		return fmt.Errorf("it stands for %q already", name)
	}
	f.offices[name] = &office{name: name, work: work,
		candidate: owner.NewCandidate(f.life, name, f.seal.Voters, rand.Uint64(), f.seal.Clock(), f.seal.Span)}
	return nil
}

// Leave has it give up all that it owns, and stand no more; as a voter it goes on until Run ends, for others may need it.
func (f *Fleet) Leave() { f.leave() }

// Run takes part until ctx ends; then it gives up all that it owns, and returns once that work has ended and the voters have
// been told.
func (f *Fleet) Run(ctx context.Context) error {
	f.carrier.Receive(f.receive)
	live, end := context.WithCancel(context.WithoutCancel(ctx))
	var group sync.WaitGroup
	defer group.Wait()
	defer end()
	if slices.ContainsFunc(f.seal.Voters, func(list []string) bool { return slices.Contains(list, f.seal.Name) }) {
		group.Go(func() { f.vote(live) })
	}
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	leaving, left := f.leaving, false
	for {
		select {
		case <-ctx.Done():
			f.handOver()
			return nil
		case <-leaving:
			leaving, left = nil, true
			f.handOver()
		case m := <-f.heard:
			f.mu.Lock()
			if o := f.offices[m.Role]; o != nil {
				o.candidate.HandleAnswer(m, f.seal.Clock())
			}
			f.mu.Unlock()
		case m := <-f.lending:
			if l := f.lender.Load(); l != nil {
				l.take(m)
			}
			continue
		case <-f.quick:
		case <-tick.C:
		}
		f.turn(live, left)
		if l := f.lender.Load(); l != nil {
			l.turn()
		}
	}
}

// receive sorts what comes.
func (f *Fleet) receive(_ string, payload []byte) {
	if g, err := decodeGrant(payload, f.seal.Name); err == nil {
		select {
		case f.lending <- g:
		default:
		}
		return
	}
	m, err := decode(payload)
	if err != nil {
		return // member has checked that it came whole: it is of a version that is not ours
	}
	to := f.heard
	if m.Kind <= owner.StepDown {
		to = f.asked
	} else if m.To != f.seal.Name {
		return
	}
	select {
	case to <- m:
	default:
	}
}

// turn lets time pass for all offices, has their messages sent, and begins or ends their work.
func (f *Fleet) turn(ctx context.Context, left bool) {
	unfit := f.seal.Fit()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, o := range f.offices {
		at := f.seal.Clock()
		_, _, owns := o.candidate.Owns(at)
		// Who owns goes on, pressed or not, until its lease or its majority ends; it is new ones that are not to stand.
		o.candidate.SetCampaigning(!left && (unfit == nil || owns), at)
		o.candidate.Tick(at)
		term, left, owns := o.candidate.Owns(at)
		switch {
		case o.term != 0 && (!owns || term != o.term):
			f.cease(o, "its lease has ended")
		case o.term == 0 && owns && o.ended():
			f.commence(ctx, o, term, left)
		}
		f.send(o)
	}
}

// ended tells whether the work that ran last has returned.
func (o *office) ended() bool {
	if o.over == nil {
		return true
	}
	select {
	case <-o.over:
		return true
	default:
		return false
	}
}

// commence runs an office's work.
func (f *Fleet) commence(ctx context.Context, o *office, term uint64, left float64) {
	o.term, o.since, o.over = term, time.Now(), make(chan struct{})
	ctx, stop := context.WithCancelCause(ctx)
	o.stop = func() { stop(ErrOver) }
	f.log.Info("office taken", zap.String("office", o.name), zap.Uint64("term", term), zap.Float64("lease_left_s", math.Round(left*1e3)/1e3))
	over := o.over
	go func() {
		defer close(over)
		defer func() {
			if p := recover(); p != nil {
				f.log.Error("panic", zap.String("office", o.name), zap.Any("panic", p), zap.Stack("stack"))
			}
		}()
		err := o.work(ctx, term)
		late := (*Late)(nil)
		if errors.As(err, &late) {
			f.Overtaken(o.name, late)
		} else if err != nil && ctx.Err() == nil {
			f.log.Warn("work of an office ended", zap.String("office", o.name), zap.Uint64("term", term), zap.Error(err))
		}
		signal(f.quick)
	}()
}

// cease ends an office's work, under the lock.
func (f *Fleet) cease(o *office, why string) {
	f.log.Info("office given up", zap.String("office", o.name), zap.Uint64("term", o.term), zap.String("why", why))
	o.stop()
	o.term = 0
}

// Late is an order refused since a higher term is known.
type Late struct {
	Term  uint64 // of the order
	Known uint64
}

func (l *Late) Error() string {
	return fmt.Sprintf("too late: term %d, and %d is known", l.Term, l.Known)
}

// Overtaken takes in that an order of ours was refused for a higher term: the office is given up at once.
func (f *Fleet) Overtaken(name string, l *Late) {
	f.refused.Add(1)
	f.mu.Lock()
	defer f.mu.Unlock()
	o := f.offices[name]
	if o == nil {
		return
	}
	o.late = fmt.Sprintf("%s: %v", f.seal.Now().UTC().Format(time.RFC3339), l)
	f.log.Warn("late order refused", zap.String("office", name), zap.Uint64("term", l.Term), zap.Uint64("known", l.Known))
	o.candidate.HandleStaleTerm(l.Known, f.seal.Clock())
	signal(f.quick)
}

// handOver gives up all offices: first the work ends, then the voters hear so.
func (f *Fleet) handOver() {
	f.mu.Lock()
	var overs []chan struct{}
	longest := 0.0
	for _, o := range f.offices {
		if _, left, owns := o.candidate.Owns(f.seal.Clock()); owns {
			longest = max(longest, left)
		}
		if o.term != 0 {
			f.cease(o, "this app server leaves")
			overs = append(overs, o.over)
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
	for _, o := range f.offices {
		if ended {
			o.candidate.SetCampaigning(false, f.seal.Clock())
		}
		f.send(o)
	}
}

// send puts an office's messages on their way, under the lock.
func (f *Fleet) send(o *office) {
	for _, m := range o.candidate.Ready() {
		f.carrier.Send(m.To, encode(m))
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Owner is one office as seen from here.
type Owner struct {
	Office string  `json:"office"`
	Owner  string  `json:"owner,omitempty"` // as far as is known here
	Owns   bool    `json:"owns"`            // it is this process
	Term   uint64  `json:"term"`            // ours if we own it, else the highest known
	Left   float64 `json:"left_s"`
	Since  string  `json:"since,omitempty"`
	Late   string  `json:"late,omitempty"` // the last refusal of an order of ours
}

// Owners lists the offices that this process stands for, by name.
func (f *Fleet) Owners() []Owner {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []Owner
	for _, o := range f.offices {
		one := Owner{Office: o.name, Term: o.candidate.Term(), Late: o.late}
		at := f.seal.Clock()
		term, left, owns := o.candidate.Owns(at)
		if owns {
			one.Owner, one.Owns, one.Term = f.seal.Name, true, term
			one.Since = o.since.UTC().Format(time.RFC3339)
		} else if name, lasts, known := o.candidate.KnownOwner(at); known {
			one.Owner, left = name, lasts
		}
		one.Left = math.Round(left*1e3) / 1e3
		all = append(all, one)
	}
	slices.SortFunc(all, func(a, b Owner) int {
		if a.Office < b.Office {
			return -1
		}
		return 1
	})
	return all
}

// Shown is what operators are shown of it.
type Shown struct {
	Offices []Owner `json:"offices"`
	Shares  []Share `json:"shares,omitempty"`
}

// Shown tells all that there is to show.
func (f *Fleet) Shown() Shown {
	s := Shown{Offices: f.Owners()}
	if l := f.lender.Load(); l != nil {
		s.Shares = l.Shares()
	}
	return s
}

// Fence is held by whoever carries out orders: it is owner.Fence for many goroutines, with errors that say why.
type Fence struct {
	mu    sync.Mutex
	fence *owner.Fence
}

// NewFence knows of no term.
func NewFence() *Fence { return &Fence{fence: owner.NewFence(owner.Timing{})} }

// Pass tells whether an order may be carried out; a *Late if not.
func (f *Fence) Pass(office string, term uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if known, ok := f.fence.Pass(office, term); !ok {
		return &Late{term, known}
	}
	return nil
}
