// Package server implements an embeddable app server. It listens to routers, lets the gate decide on
// admission and scheduling, has the kernel run the RPCs, and reports to the roster, from start to drain.
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
	config         atomic.Pointer[config.Config] // in force
	lastReadConfig *config.Config                // as last read; accessed only by Reload's goroutine
	clock          *clock
	log            *zap.Logger
	limitedLog     *zap.Logger // rate-limited, for events that any client can cause
	gate           *gate.Gate[*call]
	monitor        *monitor
	creditSignal   rpc.Signal         // how callers interpret the credit
	link           *kernel.Link[*run] // to the kernel
	methods        map[string]int     // indexes in the config's methods, by name
	group          *errgroup.Group    // all goroutines of the server

	ownsProcess      atomic.Bool  // the process's memory limit may be set
	startDescriptors atomic.Int64 // descriptors held when the process began to listen, see countOwnDescriptors
	systemLimit      int          // descriptor limit of the process, see connectionCapacity
	lastShortageAt   atomic.Int64 // when descriptors last ran out, in whole Unix seconds; 0 for never

	fleetSettings     config.Fleet                      // in force since the start
	fleetSettingsRead config.Fleet                      // as last read; accessed only by Reload's goroutine
	quota             atomic.Pointer[fleet.QuotaClient] // permits under shared limits; nil if there are none
	distribution      *fleet.Distribution               // of configuration; nil if it is off
	// warmAt is when the app server has warmed up, in Unix nanoseconds; 0 before its kernel is up.
	warmAt atomic.Int64

	currentStage      atomic.Int32                     // changed only by enterStage
	drainSchedule     func(stop float64) drainSchedule // the schedule of a drain in stop seconds
	partialTimeout    time.Duration                    // see the constant of that name
	idleCheckInterval time.Duration                    // between checks of idle connections
	requestBytes      atomic.Int64                     // approximate memory of the open RPCs
	mu                sync.Mutex
	conns             map[*conn]struct{}
	connEnded         chan struct{} // notified after a connection has ended
	kernelUp          chan struct{} // closed once the kernel is up
	reportNow         chan struct{} // notified when the roster is to get a report at once
	healthChanged     chan struct{} // notified when health may have changed because of the process's own state
}

// Shares of the memory, as divisors of it. The collector lets garbage grow to as much again. The rest is for
// buffers and stacks, which take a quarter at the largest number of connections.
const (
	resultMemoryShare  = 8 // for stored results
	requestMemoryShare = 4 // for open RPCs
)

// New returns an app server with default settings. It opens nothing before Serve.
func New(c *config.Config, log *zap.Logger) *Server {
	return NewWithSettings(c, config.NewSettings(), log)
}

// NewWithSettings is New with the operators' settings.
func NewWithSettings(c *config.Config, settings *config.Settings, log *zap.Logger) *Server {
	s := &Server{clock: systemClock(), log: log,
		limitedLog: log.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
			return zapcore.NewSamplerWithOptions(core, logInterval, 1, 0)
		})),
		methods: map[string]int{}, conns: map[*conn]struct{}{},
		kernelUp: make(chan struct{}), connEnded: make(chan struct{}, 1),
		reportNow: make(chan struct{}, 1), healthChanged: make(chan struct{}, 1),
		drainSchedule: defaultSchedule.scaledTo, partialTimeout: partialTimeout,
		idleCheckInterval: defaultIdleCheckInterval, monitor: newMonitor(c, settings),
		creditSignal: c.Rules.Machine.Signal, fleetSettings: settings.Fleet, fleetSettingsRead: settings.Fleet}
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

// logInterval is the shortest time between two equal log lines about clients.
const logInterval = time.Second

// Serve listens on the config's address and runs until ctx ends, which is the shutdown notice. It then
// drains: it answers what has been read and closes the connections, at the latest shortly before the config's
// stop time.
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

// setMemoryLimit sets the collector's soft memory limit to three quarters of the config's: stacks and kernel
// memory held for the process come on top.
func (s *Server) setMemoryLimit(c *config.Config) {
	if s.ownsProcess.Load() {
		debug.SetMemoryLimit(int64(c.Memory) / 4 * 3)
	}
}

// ServeOn is Serve on the embedder's listener, which it closes. It does not change the process's memory
// limit.
func (s *Server) ServeOn(ctx context.Context, listener *net.TCPListener) error {
	fleetMember, roles, err := s.joinFleet()
	if err != nil {
		listener.Close()
		return err
	}
	serveCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	// A drain starts when ctx ends, or when a goroutine fails that serving RPCs depends on. In both cases
	// everything that has been read is answered first.
	ctx, startDrain := context.WithCancelCause(ctx)
	defer startDrain(nil)
	var runCtx context.Context
	s.group, runCtx = errgroup.WithContext(serveCtx)
	listenerClosed := make(chan struct{}) // closed once the listener is
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
	s.group.Go(func() error { return s.runMonitor(runCtx) })
	s.group.Go(func() error {
		select { // without the kernel the app server can answer nothing, so it does not report to the roster
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

// tokened reports whether RPCs of a method carry a token that identifies their attempts.
func (s *Server) tokened(method int) bool {
	return s.config.Load().Rules.Methods[method].Kind == rpc.Tokened
}

// longestWait returns how long in seconds a client may wait for an RPC: the shorter of its ttl, which is +Inf
// if unspecified, and the method's deadline, if it has one.
func (s *Server) longestWait(method int, ttl float64) float64 {
	if deadline := s.config.Load().Rules.Methods[method].Deadline; deadline > 0 {
		return min(ttl, deadline)
	}
	return ttl
}
