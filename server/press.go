package server

import (
	"context"
	"math"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"valveglade/config"
	"valveglade/internal/procstats"
	"valveglade/logic/chance"
	"valveglade/logic/pressure"
	"valveglade/rpc"
)

// press is how the app server watches itself. What each RPC asks of it is a few atomics; what is decided, and when, is
// logic/pressure's. While it is off, nothing here is touched but one flag.
type press struct {
	on      atomic.Bool
	effects atomic.Pointer[pressure.Effects]
	level   atomic.Int32
	admit   []atomic.Uint32 // share of each method that is let in, of whole
	asked   []atomic.Uint64
	ok      []atomic.Uint64
	seed    uint64
	drawn   atomic.Uint64

	late     atomic.Int64 // the most that a timer was late by since the last reading, in nanoseconds
	lags     atomic.Int64 // sum of how long RPCs lay unread, in microseconds
	lagged   atomic.Int64 // how many they are
	owed     atomic.Int64 // bytes of answers that wait to be written
	refused  atomic.Uint64
	ordering sync.Mutex // of what adopts settings
	settings config.Settings
	again    chan struct{} // holds one when the settings are new
}

// allOf stands for all RPCs of a method.
const allOf = 1 << 16

// calm is what holds while nothing presses.
var calm = pressure.Effects{CreditFactor: 1, Accept: true, MaxFrameBytes: math.MaxInt, ResultFactor: 1, Healthy: true}

func newPress(c *config.Config, b *config.Settings) *press {
	n := len(c.Methods)
	p := &press{admit: make([]atomic.Uint32, n), asked: make([]atomic.Uint64, n), ok: make([]atomic.Uint64, n),
		seed: uint64(time.Now().UnixNano()), again: make(chan struct{}, 1)}
	p.effects.Store(&calm)
	for k := range p.admit {
		p.admit[k].Store(allOf)
	}
	p.adopt(b)
	return p
}

// adopt takes over settings; it tells whether anything is new.
func (p *press) adopt(b *config.Settings) bool {
	p.ordering.Lock()
	defer p.ordering.Unlock()
	if b.Pressure.On == p.settings.Pressure.On && b.Pressure.ReadInterval == p.settings.Pressure.ReadInterval &&
		same(b.Pressure.Config, p.settings.Pressure.Config) {
		return false
	}
	p.settings = *b
	signal(p.again)
	return true
}

func same(a, b pressure.Config) bool {
	return a.Thresholds == b.Thresholds && a.FallTime == b.FallTime && a.Forecast == b.Forecast && a.GrowthWindow == b.GrowthWindow
}

func (p *press) inForce() config.Pressure {
	p.ordering.Lock()
	defer p.ordering.Unlock()
	return p.settings.Pressure
}

// came takes note of an RPC that has been read.
func (p *press) came(method int, lag float64) {
	p.asked[method].Add(1)
	p.lags.Add(int64(lag * 1e6))
	p.lagged.Add(1)
}

// lets tells whether one more RPC of a method is let in.
func (p *press) lets(method int) bool {
	share := p.admit[method].Load()
	return share >= allOf || chance.At(p.seed, p.drawn.Add(1))*allOf < float64(share)
}

// lateBy takes note of how late a timer was.
func (p *press) lateBy(d time.Duration) {
	for {
		was := p.late.Load()
		if int64(d) <= was || p.late.CompareAndSwap(was, int64(d)) {
			return
		}
	}
}

// watchSelf reads the process's state as often as the settings say, and puts into force what follows from it.
func (s *Server) watchSelf(ctx context.Context) error {
	p := s.press
	for {
		select {
		case <-p.again:
		default:
		}
		settings := p.inForce()
		p.on.Store(settings.On)
		if settings.On {
			// A panic of the watching does not end the process: without it the app server goes on as if calm.
			s.stopPanic(func() error {
				s.readSelf(ctx, settings)
				return nil
			})
		}
		p.ease()
		s.applied(calm, calm)
		if ctx.Err() != nil {
			return nil
		}
		if !settings.On {
			select {
			case <-ctx.Done():
				return nil
			case <-p.again:
				signal(p.again)
			}
		}
	}
}

// ease lets everything in.
func (p *press) ease() {
	for k := range p.admit {
		p.admit[k].Store(allOf)
	}
	p.effects.Store(&calm)
	p.level.Store(int32(pressure.Calm))
}

// readSelf goes on until the settings are new or ctx ends.
func (s *Server) readSelf(ctx context.Context, settings config.Pressure) {
	p := s.press
	rules := s.config.Load().Rules
	watchConfig := settings.Config
	if rules.Ceilings.RetryAfter {
		watchConfig.MaxRetryAfter = rules.Ceilings.MaxRetryAfter
	}
	for _, m := range rules.Methods {
		watchConfig.Criticality = append(watchConfig.Criticality, m.Criticality)
	}
	watch := pressure.New(0, watchConfig)
	source := procstats.New()
	var lag pressure.ReadDelayEstimator
	asked, ok := make([]uint64, len(p.asked)), make([]uint64, len(p.ok))
	for k := range asked { // what came before is not of late
		asked[k], ok[k] = p.asked[k].Load(), p.ok[k].Load()
	}
	watch.Update(0, pressure.Unknown(), asked, ok)
	every := seconds(settings.ReadInterval)
	timer := time.NewTimer(every)
	defer timer.Stop()
	due := time.Now().Add(every)
	born := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.again:
			signal(p.again)
			return
		case <-timer.C:
		}
		p.lateBy(time.Since(due))
		for k := range asked {
			asked[k], ok[k] = p.asked[k].Load(), p.ok[k].Load()
		}
		now := time.Since(born).Seconds() // steady, whatever the wall clock does
		r, stepped := source.Read(s.limits())
		s.own(&r, &lag, now, stepped)
		was, from := *p.effects.Load(), watch.Level()
		changed := watch.Update(now, r, asked, ok)
		for k := range p.admit {
			p.admit[k].Store(uint32(watch.AdmitShare(k) * allOf))
		}
		effects := watch.Effects()
		p.effects.Store(&effects)
		p.level.Store(int32(watch.Level()))
		s.applied(was, effects)
		if changed {
			s.tellPressure(watch, from, effects)
		}
		due = time.Now().Add(every)
		timer.Reset(every)
	}
}

func (s *Server) limits() procstats.Limits {
	c := s.config.Load()
	cores := c.Cores
	if all := float64(runtime.GOMAXPROCS(0)); cores <= 0 || cores > all {
		cores = all
	}
	return procstats.Limits{Cores: cores, Memory: c.Memory, Sockets: c.Sockets}
}

// own adds what only this process knows of itself.
func (s *Server) own(r *pressure.Reading, lag *pressure.ReadDelayEstimator, now float64, stepped bool) {
	p, c := s.press, s.config.Load()
	r[pressure.LoopDelay] = time.Duration(p.late.Swap(0)).Seconds()
	asked := time.Now()
	s.gate.Credit()
	r[pressure.LockWait] = time.Since(asked).Seconds()
	if waits, known := s.link.Waits(); known {
		r[pressure.LinkQueue] = waits.Seconds()
	}
	sum, n := p.lags.Swap(0), p.lagged.Swap(0)
	r[pressure.ReadDelay] = lag.Update(now, float64(sum)/1e6, int(n), stepped)
	s.mu.Lock()
	r[pressure.Descriptors] = float64(len(s.conns)+s.reserved()) / float64(max(c.Sockets, 1))
	s.mu.Unlock()
	r[pressure.PendingReplies] = float64(p.owed.Load()) / (float64(c.Memory) / heldShare)
}

// applied puts into force what does not ask for itself.
func (s *Server) applied(was, is pressure.Effects) {
	s.gate.SetResultLimit(int(float64(s.config.Load().Memory/keepShare) * is.ResultFactor))
	if was.Healthy != is.Healthy {
		signal(s.well)
	}
}

// tellPressure is the one line at each change of level.
func (s *Server) tellPressure(w *pressure.Monitor, from pressure.Level, e pressure.Effects) {
	fields := []zap.Field{zap.Stringer("level", w.Level()), zap.Stringer("from", from), zap.String("causes", w.Causes())}
	for k := range pressure.Signals {
		if v := w.LastValue(k); !math.IsNaN(v) {
			fields = append(fields, zap.Float64(k.String(), math.Round(v*1e5)/1e5))
		}
	}
	if until := w.TimeToMemoryLimit(); !math.IsInf(until, 1) {
		fields = append(fields, zap.Float64("limit_in_s", math.Round(until)))
	}
	fields = append(fields, zap.Float64("credit", math.Round(e.CreditFactor*1e3)/1e3), zap.Int("turn", e.MaxTurn),
		zap.Bool("accepts", e.Accept), zap.Float64("results_kept", e.ResultFactor), zap.Bool("healthy", e.Healthy),
		zap.Uint64("refused", s.press.refused.Load()))
	if w.Level() > from {
		s.log.Warn("pressure", fields...)
	} else {
		s.log.Info("pressure", fields...)
	}
}

// healthy is what is said to health checks and to the roster. Before the kernel is up nothing can be served, and it is
// not known how little at first.
func (s *Server) healthy() bool {
	return s.gate.Booted() && s.gate.Healthy() && s.press.effects.Load().Healthy
}

// credit is what goes out with every answer: the module's, less what the process itself cannot bear. Below 0 there is
// none.
func (s *Server) credit() float64 {
	credit, times := s.gate.Credit(), s.press.effects.Load().CreditFactor
	switch {
	case credit <= 0 || times >= 1 || s.signal != rpc.Allowance:
		return credit
	case times <= 0:
		return 0
	}
	return max(1, math.Ceil(credit*times))
}
