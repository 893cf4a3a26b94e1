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

// monitor is how the app server watches itself. What each RPC asks of it is a few atomics; what is decided, and when, is
// logic/pressure's. While it is off, nothing here is touched but one flag.
type monitor struct {
	enabled    atomic.Bool
	effects    atomic.Pointer[pressure.Effects]
	level      atomic.Int32
	admitShare []atomic.Uint32 // share of each method that is let in, of whole
	received   []atomic.Uint64
	succeeded  []atomic.Uint64
	seed       uint64
	draws      atomic.Uint64

	maxTimerDelay   atomic.Int64 // the most that a timer was late by since the last reading, in nanoseconds
	readDelaySum    atomic.Int64 // sum of how long RPCs lay unread, in microseconds
	readDelayCount  atomic.Int64 // how many they are
	replyBytes      atomic.Int64 // bytes of answers that wait to be written
	rejected        atomic.Uint64
	settingsMu      sync.Mutex // of what adopts settings
	settings        config.Settings
	settingsChanged chan struct{} // holds one when the settings are new
}

// fullShare stands for all RPCs of a method.
const fullShare = 1 << 16

// calmEffects is what holds while nothing presses.
var calmEffects = pressure.Effects{Credit: 1, Accept: true, Largest: math.MaxInt, Keep: 1, Health: true}

func newMonitor(c *config.Config, settings *config.Settings) *monitor {
	n := len(c.Methods)
	p := &monitor{admitShare: make([]atomic.Uint32, n), received: make([]atomic.Uint64, n), succeeded: make([]atomic.Uint64, n),
		seed: uint64(time.Now().UnixNano()), settingsChanged: make(chan struct{}, 1)}
	p.effects.Store(&calmEffects)
	for k := range p.admitShare {
		p.admitShare[k].Store(fullShare)
	}
	p.updateSettings(settings)
	return p
}

// updateSettings takes over settings; it tells whether anything is new.
func (p *monitor) updateSettings(settings *config.Settings) bool {
	p.settingsMu.Lock()
	defer p.settingsMu.Unlock()
	if settings.Pressure.On == p.settings.Pressure.On && settings.Pressure.Every == p.settings.Pressure.Every &&
		samePressureConfig(settings.Pressure.Config, p.settings.Pressure.Config) {
		return false
	}
	p.settings = *settings
	notify(p.settingsChanged)
	return true
}

func samePressureConfig(a, b pressure.Config) bool {
	return a.Thresholds == b.Thresholds && a.Fall == b.Fall && a.Forecast == b.Forecast && a.GrowthWindow == b.GrowthWindow
}

func (p *monitor) currentSettings() config.Pressure {
	p.settingsMu.Lock()
	defer p.settingsMu.Unlock()
	return p.settings.Pressure
}

// recordArrival takes note of an RPC that has been read.
func (p *monitor) recordArrival(method int, readDelay float64) {
	p.received[method].Add(1)
	p.readDelaySum.Add(int64(readDelay * 1e6))
	p.readDelayCount.Add(1)
}

// admits tells whether one more RPC of a method is let in.
func (p *monitor) admits(method int) bool {
	share := p.admitShare[method].Load()
	return share >= fullShare || chance.At(p.seed, p.draws.Add(1))*fullShare < float64(share)
}

// recordTimerDelay takes note of how late a timer was.
func (p *monitor) recordTimerDelay(d time.Duration) {
	for {
		previous := p.maxTimerDelay.Load()
		if int64(d) <= previous || p.maxTimerDelay.CompareAndSwap(previous, int64(d)) {
			return
		}
	}
}

// monitorSelf reads the process's state as often as the settings say, and puts into force what follows from it.
func (s *Server) monitorSelf(ctx context.Context) error {
	p := s.monitor
	for {
		select {
		case <-p.settingsChanged:
		default:
		}
		settings := p.currentSettings()
		p.enabled.Store(settings.On)
		if settings.On {
			// A panic of the watching does not end the process: without it the app server goes on as if calm.
			s.recoverPanic(func() error {
				s.sampleUntilChanged(ctx, settings)
				return nil
			})
		}
		p.reset()
		s.applyEffects(calmEffects, calmEffects)
		if ctx.Err() != nil {
			return nil
		}
		if !settings.On {
			select {
			case <-ctx.Done():
				return nil
			case <-p.settingsChanged:
				notify(p.settingsChanged)
			}
		}
	}
}

// reset lets everything in.
func (p *monitor) reset() {
	for k := range p.admitShare {
		p.admitShare[k].Store(fullShare)
	}
	p.effects.Store(&calmEffects)
	p.level.Store(int32(pressure.Calm))
}

// sampleUntilChanged goes on until the settings are new or ctx ends.
func (s *Server) sampleUntilChanged(ctx context.Context, settings config.Pressure) {
	p := s.monitor
	rules := s.config.Load().Rules
	watchConfig := settings.Config
	if rules.Ceilings.RetryAfter {
		watchConfig.MaxAfter = rules.Ceilings.MaxRetryAfter
	}
	for _, m := range rules.Methods {
		watchConfig.Worth = append(watchConfig.Worth, m.Criticality)
	}
	watch := pressure.New(0, watchConfig)
	source := procstats.New()
	var readDelay pressure.Lag
	asked, ok := make([]uint64, len(p.received)), make([]uint64, len(p.succeeded))
	for k := range asked { // what came before is not of late
		asked[k], ok[k] = p.received[k].Load(), p.succeeded[k].Load()
	}
	watch.Read(0, pressure.Unknown(), asked, ok)
	interval := seconds(settings.Every)
	timer := time.NewTimer(interval)
	defer timer.Stop()
	nextSample := time.Now().Add(interval)
	startedAt := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.settingsChanged:
			notify(p.settingsChanged)
			return
		case <-timer.C:
		}
		p.recordTimerDelay(time.Since(nextSample))
		for k := range asked {
			asked[k], ok[k] = p.received[k].Load(), p.succeeded[k].Load()
		}
		now := time.Since(startedAt).Seconds() // steady, whatever the wall clock does
		reading, stepped := source.Read(s.limits())
		s.addOwnSignals(&reading, &readDelay, now, stepped)
		previous, previousLevel := *p.effects.Load(), watch.Level()
		changed := watch.Read(now, reading, asked, ok)
		for k := range p.admitShare {
			p.admitShare[k].Store(uint32(watch.Admit(k) * fullShare))
		}
		effects := watch.Effects()
		p.effects.Store(&effects)
		p.level.Store(int32(watch.Level()))
		s.applyEffects(previous, effects)
		if changed {
			s.logPressure(watch, previousLevel, effects)
		}
		nextSample = time.Now().Add(interval)
		timer.Reset(interval)
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

// addOwnSignals adds what only this process knows of itself.
func (s *Server) addOwnSignals(reading *pressure.Reading, readDelay *pressure.Lag, now float64, stepped bool) {
	p, c := s.monitor, s.config.Load()
	reading[pressure.Loop] = time.Duration(p.maxTimerDelay.Swap(0)).Seconds()
	lockStart := time.Now()
	s.gate.Credit()
	reading[pressure.Lock] = time.Since(lockStart).Seconds()
	if waits, known := s.link.Waits(); known {
		reading[pressure.Link] = waits.Seconds()
	}
	sum, n := p.readDelaySum.Swap(0), p.readDelayCount.Swap(0)
	reading[pressure.Unread] = readDelay.Read(now, float64(sum)/1e6, int(n), stepped)
	s.mu.Lock()
	reading[pressure.Descriptors] = float64(len(s.conns)+s.reserved()) / float64(max(c.Sockets, 1))
	s.mu.Unlock()
	reading[pressure.Owed] = float64(p.replyBytes.Load()) / (float64(c.Memory) / requestMemoryShare)
}

// applyEffects puts into force what does not ask for itself.
func (s *Server) applyEffects(previous, current pressure.Effects) {
	s.gate.Keep(int(float64(s.config.Load().Memory/resultMemoryShare) * current.Keep))
	if previous.Health != current.Health {
		notify(s.healthChanged)
	}
}

// logPressure is the one line at each change of level.
func (s *Server) logPressure(watch *pressure.Watch, previous pressure.Level, effects pressure.Effects) {
	fields := []zap.Field{zap.Stringer("level", watch.Level()), zap.Stringer("from", previous), zap.String("causes", watch.Causes())}
	for k := range pressure.Signals {
		if v := watch.Seen(k); !math.IsNaN(v) {
			fields = append(fields, zap.Float64(k.String(), math.Round(v*1e5)/1e5))
		}
	}
	if until := watch.Until(); !math.IsInf(until, 1) {
		fields = append(fields, zap.Float64("limit_in_s", math.Round(until)))
	}
	fields = append(fields, zap.Float64("credit", math.Round(effects.Credit*1e3)/1e3), zap.Int("turn", effects.Turn),
		zap.Bool("accepts", effects.Accept), zap.Float64("results_kept", effects.Keep), zap.Bool("healthy", effects.Health),
		zap.Uint64("refused", s.monitor.rejected.Load()))
	if watch.Level() > previous {
		s.log.Warn("pressure", fields...)
	} else {
		s.log.Info("pressure", fields...)
	}
}

// healthy is what is said to health checks and to the roster. Before the kernel is up nothing can be served, and it is
// not known how little at first.
func (s *Server) healthy() bool {
	return s.gate.Booted() && s.gate.Healthy() && s.monitor.effects.Load().Health
}

// credit is what goes out with every answer: the module's, less what the process itself cannot bear. Below 0 there is
// none.
func (s *Server) credit() float64 {
	credit, factor := s.gate.Credit(), s.monitor.effects.Load().Credit
	switch {
	case credit <= 0 || factor >= 1 || s.creditSignal != rpc.Allowance:
		return credit
	case factor <= 0:
		return 0
	}
	return max(1, math.Ceil(credit*factor))
}
