package pressure

// Config is what the operators set. The zero value of a signal's thresholds turns the signal off.
type Config struct {
	Thresholds    [Signals]Thresholds
	FallTime      float64   // seconds of better readings until the level falls by one
	Forecast      float64   // seconds until the limit from which steady growth counts as a leak; 0 for never
	GrowthWindow  float64   // seconds over which growth is looked at
	MaxRetryAfter float64   // longest advice to stay away, 0 where callers heed none
	Criticality   []float64 // criticality of each method
}

// Defaults returns the config of an installation that sets nothing.
func Defaults() Config {
	t := Config{FallTime: 2, Forecast: 600, GrowthWindow: 120}
	// A timer late by 20 ms has missed one of the module's own looks. What an answer takes waits twice for the processor,
	// once to be read and once to be written, so this keeps it under 50 ms; twelve times that is a quarter of a second.
	for _, s := range []Signal{LoopDelay, LockWait, LinkQueue, ReadDelay, Scheduler} {
		t.Thresholds[s] = TimeThresholds(0.02)
	}
	// Lags of the network and of callers' clocks are in this one too.
	t.Thresholds[ReadDelay] = TimeThresholds(0.025)
	// A quarter for the collector is what Go itself aims at; past one half it no longer keeps up.
	t.Thresholds[Collector] = Thresholds{0.3, 0.45, 0.6, Never}
	// A core that is full is well used: alone it only makes wary. What it delays shows in the signals above.
	t.Thresholds[CPU] = Thresholds{0.9, Never, Never, Never}
	t.Thresholds[Throttled] = Thresholds{0.3, Never, Never, Never}
	t.Thresholds[Memory] = ShareThresholds(0.75)
	t.Thresholds[Descriptors] = Thresholds{0.85, Never, Never, Never} // the listener makes room by itself
	t.Thresholds[PendingReplies] = ShareThresholds(0.6)
	t.Thresholds[Leak] = Thresholds{1, 4, Never, Never} // times sooner than the forecast
	return t
}
