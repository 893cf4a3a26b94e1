package pressure

// Config holds the operator's settings. The zero value of a signal's thresholds turns the signal off.
type Config struct {
	Thresholds    [Signals]Thresholds
	FallTime      float64   // seconds of better readings until the level falls by one
	Forecast      float64   // seconds to the memory limit below which growth counts as a leak; 0 for never
	GrowthWindow  float64   // seconds over which memory growth is measured
	MaxRetryAfter float64   // longest retry-after delay in seconds, 0 if callers honour none
	Criticality   []float64 // by method
}

// Defaults returns the configuration that applies without any operator settings.
func Defaults() Config {
	c := Config{FallTime: 2, Forecast: 600, GrowthWindow: 120}
	// A timer delay of 20 ms means that one of the module's own ticks was missed. An answer waits for the
	// processor twice, to be read and to be written, so this threshold keeps the wait under 50 ms; twelve
	// times the threshold is a quarter of a second.
	for _, s := range []Signal{LoopDelay, LockWait, LinkQueue, ReadDelay, Scheduler} {
		c.Thresholds[s] = TimeThresholds(0.02)
	}
	// The read delay also contains network jitter and drift of the callers' clocks.
	c.Thresholds[ReadDelay] = TimeThresholds(0.025)
	// Go's collector aims at a quarter of the processor time; above one half it no longer keeps up.
	c.Thresholds[Collector] = Thresholds{0.3, 0.45, 0.6, Never}
	// A fully used core is no fault, so the CPU signal alone raises the level to Wary only. The delays that
	// it causes show in the signals above.
	c.Thresholds[CPU] = Thresholds{0.9, Never, Never, Never}
	c.Thresholds[Throttled] = Thresholds{0.3, Never, Never, Never}
	c.Thresholds[Memory] = ShareThresholds(0.75)
	c.Thresholds[Descriptors] = Thresholds{0.85, Never, Never, Never} // the listener frees some by itself
	c.Thresholds[PendingReplies] = ShareThresholds(0.6)
	c.Thresholds[Leak] = Thresholds{1, 4, Never, Never} // Forecast divided by the time left to the limit
	return c
}
