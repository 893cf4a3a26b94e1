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

// monitor holds the measurements of the process's own state and the resulting admission limits. Each RPC
// costs a few atomic operations; logic/pressure makes the decisions. While monitoring is off, RPCs only read
// the enabled flag.
type monitor struct {
	enabled    atomic.Bool                      // as in the settings
	effects    atomic.Pointer[pressure.Effects] // in force
	level      atomic.Int32                     // a pressure.Level
	admitShare []atomic.Uint32                  // admitted share of each method's RPCs, of fullShare
	received   []atomic.Uint64                  // RPCs received, by method
	succeeded  []atomic.Uint64                  // RPCs answered ok, by method
	seed       uint64                           // of the random admission decisions
	draws      atomic.Uint64                    // number of random admission decisions

	maxTimerDelay   atomic.Int64  // longest delay of a timer since the last sample, in nanoseconds
	readDelaySum    atomic.Int64  // sum of the RPCs' read delays, in microseconds
	readDelayCount  atomic.Int64  // number of RPCs in readDelaySum
	replyBytes      atomic.Int64  // bytes of results that wait to be written
	rejected        atomic.Uint64 // RPCs rejected under pressure
	settingsMu      sync.Mutex    // guards settings
	settings        config.Settings
	settingsChanged chan struct{} // notified when the settings have changed
}

// fullShare is the admitShare at which all RPCs of a method are admitted.
const fullShare = 1 << 16

// defaultEffects is in force while there is no pressure, and while monitoring is off.
var defaultEffects = pressure.Effects{CreditFactor: 1, Accept: true, MaxFrameBytes: math.MaxInt, ResultFactor: 1,
	Healthy: true}

func newMonitor(c *config.Config, settings *config.Settings) *monitor {
	methodCount := len(c.Methods)
	m := &monitor{admitShare: make([]atomic.Uint32, methodCount), received: make([]atomic.Uint64, methodCount),
		succeeded: make([]atomic.Uint64, methodCount), seed: uint64(time.Now().UnixNano()),
		settingsChanged: make(chan struct{}, 1)}
	m.effects.Store(&defaultEffects)
	for k := range m.admitShare {
		m.admitShare[k].Store(fullShare)
	}
	m.updateSettings(settings)
	return m
}

// updateSettings adopts new settings and reports whether those for pressure changed.
func (m *monitor) updateSettings(settings *config.Settings) bool {
	m.settingsMu.Lock()
	defer m.settingsMu.Unlock()
	if settings.Pressure.On == m.settings.Pressure.On &&
		settings.Pressure.ReadInterval == m.settings.Pressure.ReadInterval &&
		samePressureConfig(settings.Pressure.Config, m.settings.Pressure.Config) {
		return false
	}
	m.settings = *settings
	notify(m.settingsChanged)
	return true
}

// samePressureConfig compares the fields that the settings hold; the others come from the config's rules.
func samePressureConfig(a, b pressure.Config) bool {
	return a.Thresholds == b.Thresholds && a.FallTime == b.FallTime &&
		a.Forecast == b.Forecast && a.GrowthWindow == b.GrowthWindow
}

// currentSettings returns the settings in force.
func (m *monitor) currentSettings() config.Pressure {
	m.settingsMu.Lock()
	defer m.settingsMu.Unlock()
	return m.settings.Pressure
}

// recordArrival counts an RPC that has been read, and its read delay in seconds.
func (m *monitor) recordArrival(method int, readDelay float64) {
	m.received[method].Add(1)
	m.readDelaySum.Add(int64(readDelay * 1e6))
	m.readDelayCount.Add(1)
}

// admits decides whether to admit one more RPC of a method.
func (m *monitor) admits(method int) bool {
	share := m.admitShare[method].Load()
	return share >= fullShare || chance.At(m.seed, m.draws.Add(1))*fullShare < float64(share)
}

// recordTimerDelay keeps the longest delay of a timer since the last sample.
func (m *monitor) recordTimerDelay(d time.Duration) {
	for {
		previous := m.maxTimerDelay.Load()
		if int64(d) <= previous || m.maxTimerDelay.CompareAndSwap(previous, int64(d)) {
			return
		}
	}
}

// runMonitor runs on a goroutine of its own until ctx ends. While monitoring is on, it samples the process's state. From
// each sample it sets the admitted share of each method's RPCs and the pressure.Effects, such as the factor on the credit
// and the reported health. When the pressure settings change, it resets the shares and the effects to their values without
// pressure and starts again with the new settings; if monitoring is off in them, it waits for the next change. It returns
// when ctx ends. The error is always nil: the server's group requires this result, and an error would end the app server.
func (s *Server) runMonitor(ctx context.Context) error {
	m := s.monitor
	for {
		// Discards a pending signal, as the settings read below include all changes signaled so far; a later change
		// signals again. No other receiver discards the signal: sampleUntilChanged and the select at the end of
		// this loop, which receive it too, send it again, and it is then discarded here, before the settings are read.
		select {
		case <-m.settingsChanged:
		default:
		}
		settings := m.currentSettings()
		m.enabled.Store(settings.On)
		if settings.On {
			// A panic while sampling is logged. The effects are then reset, and sampling starts again without a delay.
			// A panic that repeats at each sample recurs once per sampling interval, since the first sample is taken one
			// interval after the start. One that repeats before the first sample would recur without any delay.
			s.recoverPanic(func() error {
				s.sampleUntilChanged(ctx, settings)
				return nil
			})
		}
		m.reset()
		// Sets the gate's limit on the bytes of kept results to its value without pressure. The previous and the
		// current effects are passed as equal, so no change of health is signaled; watchHealth finds one at its next
		// tick.
		s.applyEffects(defaultEffects, defaultEffects)
		if ctx.Err() != nil {
			return nil
		}
		if !settings.On {
			select {
			case <-ctx.Done():
				return nil
			case <-m.settingsChanged:
				notify(m.settingsChanged)
			}
		}
	}
}

// reset sets the admitted shares, the effects and the level to their values without pressure.
func (m *monitor) reset() {
	for k := range m.admitShare {
		m.admitShare[k].Store(fullShare)
	}
	m.effects.Store(&defaultEffects)
	m.level.Store(int32(pressure.Calm))
}

// sampleUntilChanged samples the process's state until the settings change or ctx ends.
func (s *Server) sampleUntilChanged(ctx context.Context, settings config.Pressure) {
	m := s.monitor
	rules := s.config.Load().Rules
	watchConfig := settings.Config
	if rules.Ceilings.RetryAfter {
		watchConfig.MaxRetryAfter = rules.Ceilings.MaxRetryAfter
	}
	for _, method := range rules.Methods {
		watchConfig.Criticality = append(watchConfig.Criticality, method.Criticality)
	}
	watch := pressure.New(0, watchConfig)
	source := procstats.New()
	var readDelay pressure.ReadDelayEstimator
	received, succeeded := make([]uint64, len(m.received)), make([]uint64, len(m.succeeded))
	for k := range received { // RPCs from before are not recent
		received[k], succeeded[k] = m.received[k].Load(), m.succeeded[k].Load()
	}
	watch.Update(0, pressure.Unknown(), received, succeeded)
	interval := seconds(settings.ReadInterval)
	timer := time.NewTimer(interval)
	defer timer.Stop()
	nextSample := time.Now().Add(interval)
	startedAt := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.settingsChanged:
			notify(m.settingsChanged)
			return
		case <-timer.C:
		}
		m.recordTimerDelay(time.Since(nextSample))
		for k := range received {
			received[k], succeeded[k] = m.received[k].Load(), m.succeeded[k].Load()
		}
		now := time.Since(startedAt).Seconds() // monotonic, unlike the wall clock
		reading, stepped := source.Read(s.limits())
		s.addOwnSignals(&reading, &readDelay, now, stepped)
		previous, previousLevel := *m.effects.Load(), watch.Level()
		changed := watch.Update(now, reading, received, succeeded)
		for k := range m.admitShare {
			m.admitShare[k].Store(uint32(watch.AdmitShare(k) * fullShare))
		}
		effects := watch.Effects()
		m.effects.Store(&effects)
		m.level.Store(int32(watch.Level()))
		s.applyEffects(previous, effects)
		if changed {
			s.logPressure(watch, previousLevel, effects)
		}
		nextSample = time.Now().Add(interval)
		timer.Reset(interval)
	}
}

// limits returns the resources granted to the process; the cores are at most GOMAXPROCS.
func (s *Server) limits() procstats.Limits {
	c := s.config.Load()
	cores := c.Cores
	if available := float64(runtime.GOMAXPROCS(0)); cores <= 0 || cores > available {
		cores = available
	}
	return procstats.Limits{Cores: cores, Memory: c.Memory, Sockets: c.Sockets}
}

// addOwnSignals adds the signals that are measured inside this process.
func (s *Server) addOwnSignals(reading *pressure.Reading, readDelay *pressure.ReadDelayEstimator, now float64,
	stepped bool) {
	m, c := s.monitor, s.config.Load()
	reading[pressure.LoopDelay] = time.Duration(m.maxTimerDelay.Swap(0)).Seconds()
	lockStart := time.Now()
	s.gate.Credit()
	reading[pressure.LockWait] = time.Since(lockStart).Seconds()
	if waits, known := s.link.QueueDelay(); known {
		reading[pressure.LinkQueue] = waits.Seconds()
	}
	delaySum, count := m.readDelaySum.Swap(0), m.readDelayCount.Swap(0)
	reading[pressure.ReadDelay] = readDelay.Update(now, float64(delaySum)/1e6, int(count), stepped)
	s.mu.Lock()
	reading[pressure.Descriptors] = float64(len(s.conns)+s.reserved()) / float64(max(c.Sockets, 1))
	s.mu.Unlock()
	reading[pressure.PendingReplies] = float64(m.replyBytes.Load()) / (float64(c.Memory) / requestMemoryShare)
}

// applyEffects passes on the effects that are not polled: it sets the gate's limit on the bytes of kept results, and
// signals a change of health to watchHealth.
func (s *Server) applyEffects(previous, current pressure.Effects) {
	s.gate.SetResultLimit(int(float64(s.config.Load().Memory/resultMemoryShare) * current.ResultFactor))
	if previous.Healthy != current.Healthy {
		notify(s.healthChanged)
	}
}

// logPressure logs a change of level with its causes and effects.
func (s *Server) logPressure(watch *pressure.Monitor, previous pressure.Level, effects pressure.Effects) {
	fields := []zap.Field{zap.Stringer("level", watch.Level()), zap.Stringer("from", previous),
		zap.String("causes", watch.Causes())}
	for k := range pressure.Signals {
		if v := watch.LastValue(k); !math.IsNaN(v) {
			fields = append(fields, zap.Float64(k.String(), math.Round(v*1e5)/1e5))
		}
	}
	if until := watch.TimeToMemoryLimit(); !math.IsInf(until, 1) {
		fields = append(fields, zap.Float64("limit_in_s", math.Round(until)))
	}
	fields = append(fields, zap.Float64("credit", math.Round(effects.CreditFactor*1e3)/1e3),
		zap.Int("turn", effects.MaxTurn), zap.Bool("accepts", effects.Accept),
		zap.Float64("results_kept", effects.ResultFactor),
		zap.Bool("healthy", effects.Healthy), zap.Uint64("refused", s.monitor.rejected.Load()))
	if watch.Level() > previous {
		s.log.Warn("pressure", fields...)
	} else {
		s.log.Info("pressure", fields...)
	}
}

// healthy returns the state reported to health checks and to the roster. It is false before the kernel is up:
// nothing can be served, and the initial capacity is unknown.
func (s *Server) healthy() bool {
	return s.gate.Booted() && s.gate.Healthy() && s.monitor.effects.Load().Healthy
}

// credit returns the credit sent with every reply: the gate's, reduced by the current pressure. A value below
// 0 means no credit.
func (s *Server) credit() float64 {
	credit, factor := s.gate.Credit(), s.monitor.effects.Load().CreditFactor
	switch {
	case credit <= 0 || factor >= 1 || s.creditSignal != rpc.Allowance:
		return credit
	case factor <= 0:
		return 0
	}
	return max(1, math.Ceil(credit*factor))
}
