// Package server is an app server that others can embed: it listens to routers, asks the gate what to do, has
// the kernel do the work, and reports to the roster, from start to drain.
package server

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/sync/errgroup"

	"valveglade/config"
	"valveglade/fleet"
	"valveglade/gate"
	"valveglade/internal/kernel"
	"valveglade/internal/roster"
	"valveglade/internal/thrift"
	"valveglade/rpc"
)

// Server is one app server.
type Server struct {
	config  atomic.Pointer[config.Config] // the one in force
	read    *config.Config                // as last read; only Reload's goroutine has it
	log     *zap.Logger
	limited *zap.Logger // for what any client can cause, as often as it likes: limited in rate
	gate    *gate.Gate[*call]
	press   *press
	signal  rpc.Signal // what callers make of the credit
	link    *kernel.Link[*run]
	methods map[string]int
	group   *errgroup.Group

	ownsProcess atomic.Bool  // its memory limit is ours to set
	atStart     atomic.Int64 // descriptors that the process held when it began to listen, see countOwn
	systemLimit int          // of descriptors, see room

	fleetSettings     config.Fleet                      // in force from the start
	fleetSettingsRead config.Fleet                      // as last read; only Reload's goroutine has it
	quota             atomic.Pointer[fleet.QuotaClient] // of permits under common limits; nil where there are none
	distribution      *fleet.Distribution               // of configuration; nil where it is off
	warmAt            atomic.Int64                      // when the app server is at full strength, Unix nanoseconds; 0 before its kernel is up

	stageAt atomic.Int32 // see enter
	spans   drainSpans
	half    time.Duration // see halfFor
	idle    time.Duration // between looks at idle connections, see idleEvery
	held    atomic.Int64  // bytes of RPCs whose answer is owed, about
	mu      sync.Mutex
	conns   map[*conn]struct{}
	left    chan struct{} // holds one after a connection has ended
	up      chan struct{} // closed once the kernel is up
	said    chan struct{} // holds one when the roster is to hear at once
	well    chan struct{} // holds one when health may have changed by the process's own doing
}

// run is a call which the kernel was asked to run.
type run struct {
	id gate.ID
	*call
}

// These parts of the memory are for kept results and for RPCs whose answer is owed. The collector lets
// garbage grow to as much again; the rest is for buffers and stacks, a quarter on the largest number of
// connections.
const keepShare, heldShare = 8, 4

// New prepares an app server; nothing is opened before Serve.
func New(c *config.Config, log *zap.Logger) *Server { return NewUnder(c, config.NewSettings(), log) }

// NewUnder is New under the operators' own settings.
func NewUnder(c *config.Config, b *config.Settings, log *zap.Logger) *Server {
	s := &Server{log: log, limited: log.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, lineEvery, 1, 0)
	})), methods: map[string]int{}, conns: map[*conn]struct{}{},
		up: make(chan struct{}), left: make(chan struct{}, 1), said: make(chan struct{}, 1), well: make(chan struct{}, 1),
		spans: usualSpans, half: halfFor, idle: idleEvery, press: newPress(c, b), signal: c.Rules.Machine.Signal, fleetSettings: b.Fleet, fleetSettingsRead: b.Fleet}
	s.config.Store(c)
	s.systemLimit = systemLimit()
	s.read = c
	for k, name := range c.Methods {
		s.methods[name] = k
	}
	s.gate = gate.New[*call](clock(), c.Rules, c.Memory/keepShare)
	s.link = kernel.New[*run](c.Kernel, s, s.limited)
	return s
}

// lineEvery is how often one and the same line about clients may be logged: often enough to be seen.
const lineEvery = time.Second

func clock() float64 { return float64(time.Now().UnixNano()) / 1e9 }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Serve listens where the config says and runs until ctx ends, which is the notice to leave, and then until
// all that was read is answered and the connections are closed, at the latest shortly before the config's
// stop.
func (s *Server) Serve(ctx context.Context) error {
	listener, err := net.Listen("tcp", s.config.Load().Listen.String())
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	s.ownsProcess.Store(true)
	s.countOwn()
	s.bound(s.config.Load())
	return s.ServeOn(ctx, listener.(*net.TCPListener))
}

// bound tells Go's collector of the memory limit, which it holds to as to a target; stacks and what the system
// keeps for the process come on top, so a quarter stays free.
func (s *Server) bound(c *config.Config) {
	if s.ownsProcess.Load() {
		debug.SetMemoryLimit(int64(c.Memory) / 4 * 3)
	}
}

// ServeOn is Serve on a listener of the embedder's, which it closes; the process's memory limit is left
// alone.
func (s *Server) ServeOn(ctx context.Context, listener *net.TCPListener) error {
	member, roles, err := s.joinFleet()
	if err != nil {
		listener.Close()
		return err
	}
	live, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	// The notice to leave comes from outside, or from a duty without which nobody would be served: either way all that has
	// been read is answered first.
	ctx, giveNotice := context.WithCancelCause(ctx)
	defer giveNotice(nil)
	var all context.Context
	s.group, all = errgroup.WithContext(live)
	closed := make(chan struct{}) // when the listener is
	s.group.Go(func() error {
		defer close(closed)
		if err := s.accept(all, listener); err != nil {
			s.log.Error("no newcomers any more, leaving", zap.Error(err))
			giveNotice(err)
		}
		return nil
	})
	if member != nil {
		s.group.Go(func() error { return s.takePart(ctx, all, member, roles) })
	}
	s.group.Go(func() error { return s.link.Serve(all) })
	s.group.Go(func() error { return s.dispatch(all) })
	s.group.Go(func() error { return s.beat(all) })
	s.group.Go(func() error { return s.watch(all) })
	s.group.Go(func() error { return s.watchSelf(all) })
	s.group.Go(func() error {
		select { // before it can answer anything it is not to be found
		case <-all.Done():
			return nil
		case <-s.up:
		}
		return roster.Report(all, func() (netip.AddrPort, string, bool) {
			c := s.config.Load()
			return c.Roster, c.Name, s.healthy()
		}, s.said)
	})
	s.group.Go(func() error {
		defer end()
		return s.leave(ctx, all, listener, closed)
	})
	s.logUnserved()
	s.log.Info("serving", zap.Stringer("listen", listener.Addr()))
	err = s.group.Wait()
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	if cause := context.Cause(ctx); err == nil && !errors.Is(cause, context.Canceled) {
		err = cause
	}
	s.log.Info("stopped", zap.Error(err))
	return err
}

// stage is how far the app server has come on its way out. It only goes on, and only enter changes it.
type stage int32

const (
	stageServing      stage = iota
	stageDraining           // late routers are still answered
	stageNotAccepting       // nobody new is let in, routers are asked to go
	stageClosing            // their connections are ended
	stageStopped
)

func (g stage) String() string {
	return [...]string{"serving", "draining", "not accepting", "closing connections", "stopped"}[g]
}

func (s *Server) enter(to stage) {
	s.stageAt.Store(int32(to))
	s.log.Info("drain", zap.Stringer("stage", to))
}

// drainSpans are what is left of the time before the kill once nobody new is let in; once connections are ended, of which a
// router has heard a tenth of a second before; once nothing more is taken in, of who sends on all the same; and once the
// process ends whatever is still open: a connection is given up by its router within some tens of milliseconds.
type drainSpans struct{ notAccepting, closing, cutShort, exit float64 }

var usualSpans = drainSpans{notAccepting: 0.4, closing: 0.3, cutShort: 0.2, exit: 0.08}

// leave waits for the notice and then sees the process out. The others go on until it returns: what is read by then is
// answered.
func (s *Server) leave(ctx, all context.Context, listener *net.TCPListener, closed <-chan struct{}) error {
	defer listener.Close()
	select {
	case <-all.Done():
		return nil
	case <-ctx.Done():
	}
	stop := clock() + s.config.Load().Stop
	s.enter(stageDraining)
	s.gate.Leave(clock(), stop)
	if !sleep(all, stop-s.spans.notAccepting-clock()) {
		return nil
	}
	listener.SetDeadline(time.Unix(1, 0))
	s.enter(stageNotAccepting)
	select {
	case <-all.Done():
		return nil
	case <-closed: // all that were let in are among the connections
	}
	for {
		if clock() > stop-s.spans.closing && s.stageAt.Load() == int32(stageNotAccepting) {
			s.enter(stageClosing)
		}
		s.mu.Lock()
		for c := range s.conns {
			switch {
			case clock() > stop-s.spans.cutShort:
				c.cutShort()
			case s.stageAt.Load() == int32(stageClosing):
				c.end()
			default:
				c.drain()
			}
		}
		n := len(s.conns)
		s.mu.Unlock()
		if n > 0 && clock() > stop-s.spans.exit {
			s.log.Warn("connections cut off", zap.Int("connections", n))
			n = 0
		}
		if n == 0 {
			s.enter(stageStopped)
			return nil
		}
		select {
		case <-all.Done():
			return nil
		case <-s.left:
		case <-time.After(seconds(0.02)):
		}
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func sleep(ctx context.Context, t float64) bool {
	timer := time.NewTimer(seconds(t))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// dispatch does what the gate picks.
func (s *Server) dispatch(ctx context.Context) error {
	for {
		job, err := s.gate.Pick(ctx)
		if err != nil {
			return nil
		}
		if s.stopPanic(func() error {
			s.do(job)
			return nil
		}) != nil && job.Do == gate.Run { // whether it was asked for is not known
			s.gate.Report(clock(), job.RPC, rpc.Error, 0, nil)
		}
	}
}

func (s *Server) do(job gate.Job[*call]) {
	k := job.For
	switch job.Do {
	case gate.Run:
		if err := s.link.Run(&run{job.RPC, k}, k.uid, s.config.Load().Methods[k.method], k.body); err != nil {
			s.limited.Warn("run not asked for", zap.Error(err))
			s.gate.Report(clock(), job.RPC, rpc.Moot, 0, nil)
		}
	case gate.Pause:
		s.link.Pause(k.uid)
	case gate.Serve:
		s.press.ok[k.method].Add(1)
		k.answer(len(job.Result), func(out []byte, load float64) []byte {
			return thrift.Served(out, k.seq, job.Result, load)
		})
	case gate.PushBack:
		k.answer(0, func(out []byte, load float64) []byte {
			return thrift.PushedBack(out, k.seq, job.Last, job.After, load)
		})
	case gate.Abort:
		k.answer(0, func(out []byte, load float64) []byte { return thrift.Aborted(out, k.seq, load) })
	}
}

// freshGauges: how long the gauges are waited for. They come from the same machine; past it the time matters
// more than they do.
const freshGauges = 10 * time.Millisecond

// lookAgain is for a look that failed: often enough for any due time.
const lookAgain = 0.02

// beat brings the gate the time and the gauges as often as it asks.
func (s *Server) beat(ctx context.Context) error {
	due := clock()
	for {
		gauges := s.link.Gauges(freshGauges)
		now := clock()
		after := lookAgain
		s.stopPanic(func() error {
			after = s.gate.Tick(now, gauges)
			return nil
		})
		due = max(due+after, now) // what was missed is not made up for
		if !sleep(ctx, due-now) {
			return nil
		}
		s.press.lateBy(seconds(clock() - due))
	}
}

// watch passes on changes of condition and closes connections that have been idle.
func (s *Server) watch(ctx context.Context) error {
	idle := time.NewTicker(s.idle)
	defer idle.Stop()
	healthy := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-idle.C:
			s.stopPanic(func() error {
				s.closeIdle()
				return nil
			})
		case <-s.gate.Changed():
		case <-s.well:
		}
		for _, note := range s.gate.Notes() {
			s.log.Info(note)
		}
		if now := s.healthy(); now != healthy {
			healthy = now
			s.log.Info("health", zap.Bool("good", healthy))
			signal(s.said)
		}
	}
}

// stopPanic makes a panic an error: what came with it is lost, the process goes on.
func (s *Server) stopPanic(f func() error) (err error) {
	defer func() {
		if p := recover(); p != nil {
			s.log.Error("panic", zap.Any("panic", p), zap.Stack("stack"))
			err = fmt.Errorf("panic: %v", p)
		}
	}()
	return f()
}

// Booted is the kernel's first word.
func (s *Server) Booted(ago float64, cold bool) {
	s.log.Info("kernel up", zap.Float64("for_s", ago), zap.Bool("cold", cold))
	warm := clock() - ago
	if cold {
		warm += s.config.Load().Rules.Rules.WarmIn
	}
	s.warmAt.Store(int64(warm * 1e9))
	if s.gate.Boot(clock(), clock()-ago, cold) {
		close(s.up)
		signal(s.well)
	}
}

// Ended is the kernel's word on a run.
func (s *Server) Ended(r *run, took float64, result []byte, err error) {
	how := rpc.OK
	if attempt := (*kernel.Attempt)(nil); errors.As(err, &attempt) {
		switch {
		case attempt.Reach == kernel.NeverRan:
			how = rpc.Moot
			if attempt.Unknown {
				r.conn.odd.Add(1)
			}
		case attempt.Stopped:
			how = rpc.Cancelled
		default:
			how = rpc.Error
		}
	}
	s.stopPanic(func() error {
		s.gate.Report(clock(), r.id, how, took, result)
		return nil
	})
}

func (s *Server) tokened(method int) bool {
	return s.config.Load().Rules.Methods[method].Kind == rpc.Tokened
}
