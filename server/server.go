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
	"valveglade/rpc"
)

// Server is one app server.
type Server struct {
	config         atomic.Pointer[config.Config] // the one in force
	lastReadConfig *config.Config                // as last read; only Reload's goroutine has it
	clock          *clock
	log            *zap.Logger
	limitedLog     *zap.Logger // for what any client can cause, as often as it likes: limited in rate
	gate           *gate.Gate[*call]
	monitor        *monitor
	creditSignal   rpc.Signal // what callers make of the credit
	link           *kernel.Link[*run]
	methods        map[string]int
	group          *errgroup.Group

	ownsProcess      atomic.Bool  // its memory limit is ours to set
	startDescriptors atomic.Int64 // descriptors that the process held when it began to listen, see countOwn
	systemLimit      int          // of descriptors, see room
	lastShortageAt   atomic.Int64 // when no descriptor was left, in whole seconds; 0 for never

	fleetSettings     config.Fleet                      // in force from the start
	fleetSettingsRead config.Fleet                      // as last read; only Reload's goroutine has it
	quota             atomic.Pointer[fleet.QuotaClient] // of permits under common limits; nil where there are none
	distribution      *fleet.Distribution               // of configuration; nil where it is off
	warmAt            atomic.Int64                      // when the app server is at full strength, Unix nanoseconds; 0 before its kernel is up

	currentStage      atomic.Int32                     // see enter
	drainSchedule     func(stop float64) drainSchedule // of a drain in so many seconds
	partialTimeout    time.Duration                    // see halfFor
	idleCheckInterval time.Duration                    // between looks at idle connections, see idleEvery
	requestBytes      atomic.Int64                     // bytes of RPCs whose answer is owed, about
	mu                sync.Mutex
	conns             map[*conn]struct{}
	connEnded         chan struct{} // holds one after a connection has ended
	kernelUp          chan struct{} // closed once the kernel is up
	reportNow         chan struct{} // holds one when the roster is to hear at once
	healthChanged     chan struct{} // holds one when health may have changed by the process's own doing
}

// These parts of the memory are for kept results and for RPCs whose answer is owed. The collector lets
// garbage grow to as much again; the rest is for buffers and stacks, a quarter on the largest number of
// connections.
const resultMemoryShare, requestMemoryShare = 8, 4

// New prepares an app server; nothing is opened before Serve.
func New(c *config.Config, log *zap.Logger) *Server {
	return NewWithSettings(c, config.NewSettings(), log)
}

// NewWithSettings is New under the operators' own settings.
func NewWithSettings(c *config.Config, settings *config.Settings, log *zap.Logger) *Server {
	s := &Server{clock: systemClock(), log: log, limitedLog: log.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, logInterval, 1, 0)
	})), methods: map[string]int{}, conns: map[*conn]struct{}{},
		kernelUp: make(chan struct{}), connEnded: make(chan struct{}, 1), reportNow: make(chan struct{}, 1), healthChanged: make(chan struct{}, 1),
		drainSchedule: defaultSchedule.scaledTo, partialTimeout: partialTimeout, idleCheckInterval: defaultIdleCheckInterval, monitor: newMonitor(c, settings), creditSignal: c.Rules.Machine.Signal, fleetSettings: settings.Fleet, fleetSettingsRead: settings.Fleet}
	s.config.Store(c)
	s.systemLimit = systemLimit()
	s.lastReadConfig = c
	for k, name := range c.Methods {
		s.methods[name] = k
	}
	s.gate = gate.New[*call](s.clock.now(), c.Rules, c.Memory/resultMemoryShare)
	s.link = kernel.New[*run](c.Kernel, s, s.limitedLog)
	return s
}

// logInterval is how often one and the same line about clients may be logged: often enough to be seen.
const logInterval = time.Second

// Serve listens where the config says and runs until ctx ends, which is the notice to leave, and then until
// all that was read is answered and the connections are closed, at the latest shortly before the config's
// stop.
func (s *Server) Serve(ctx context.Context) error {
	listener, err := net.Listen("tcp", s.config.Load().Listen.String())
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	s.ownsProcess.Store(true)
	s.countOwnDescriptors()
	s.setMemoryLimit(s.config.Load())
	return s.ServeOn(ctx, listener.(*net.TCPListener))
}

// setMemoryLimit tells Go's collector of the memory limit, which it holds to as to a target; stacks and what the system
// keeps for the process come on top, so a quarter stays free.
func (s *Server) setMemoryLimit(c *config.Config) {
	if s.ownsProcess.Load() {
		debug.SetMemoryLimit(int64(c.Memory) / 4 * 3)
	}
}

// ServeOn is Serve on a listener of the embedder's, which it closes; the process's memory limit is left
// alone.
func (s *Server) ServeOn(ctx context.Context, listener *net.TCPListener) error {
	fleetMember, roles, err := s.joinFleet()
	if err != nil {
		listener.Close()
		return err
	}
	serveCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	// The notice to leave comes from outside, or from a duty without which nobody would be served: either way all that has
	// been read is answered first.
	ctx, startDrain := context.WithCancelCause(ctx)
	defer startDrain(nil)
	var runCtx context.Context
	s.group, runCtx = errgroup.WithContext(serveCtx)
	listenerClosed := make(chan struct{}) // when the listener is
	s.group.Go(func() error {
		defer close(listenerClosed)
		if err := s.accept(runCtx, listener); err != nil {
			s.log.Error("no newcomers any more, leaving", zap.Error(err))
			startDrain(err)
		}
		return nil
	})
	if fleetMember != nil {
		s.group.Go(func() error { return s.runFleet(ctx, runCtx, fleetMember, roles) })
	}
	s.group.Go(func() error { return s.restartOnPanic(runCtx, s.link.Serve) })
	s.group.Go(func() error { return s.dispatch(runCtx) })
	s.group.Go(func() error { return s.runTicks(runCtx) })
	s.group.Go(func() error { return s.watchHealth(runCtx) })
	s.group.Go(func() error { return s.monitorSelf(runCtx) })
	s.group.Go(func() error {
		select { // before it can answer anything it is not to be found
		case <-runCtx.Done():
			return nil
		case <-s.kernelUp:
		}
		return s.restartOnPanic(runCtx, func(ctx context.Context) error {
			return roster.Report(ctx, func() (netip.AddrPort, string, bool) {
				c := s.config.Load()
				return c.Roster, c.Name, s.healthy()
			}, s.reportNow)
		})
	})
	s.group.Go(func() error {
		defer cancel()
		return s.recoverPanic(func() error { return s.runDrain(ctx, runCtx, listener, listenerClosed) })
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

func (s *Server) tokened(method int) bool {
	return s.config.Load().Rules.Methods[method].Kind == rpc.Tokened
}

// longestWait is how long in seconds an RPC of a method may be waited for: the shorter of its ttl, +Inf where that is not told, and the
// method's deadline, if it has one.
func (s *Server) longestWait(method int, ttl float64) float64 {
	if deadline := s.config.Load().Rules.Methods[method].Deadline; deadline > 0 {
		return min(ttl, deadline)
	}
	return ttl
}
