package pressure

import "math"

// ReadDelayEstimator makes the signal Unread out of what callers write on their RPCs: when they came to the machine. Their clocks may
// be off, and the way takes time, so only what lies beyond the least of late counts.
type ReadDelayEstimator struct {
	floor [2]float64 // the least mean of the stretch before this one, and of this one
	began float64
	known bool
}

// lagSpan is how long the least of late is held to: short enough to follow a clock that drifts, long enough not to take
// an overload for the usual.
const lagSpan = 30.0

// Update takes the sum and the number of the lags since the last reading, in seconds. stepped tells that this machine's
// clock was set meanwhile: all that was known of the usual is void then.
func (l *ReadDelayEstimator) Update(now, sum float64, n int, stepped bool) float64 {
	if stepped {
		*l = ReadDelayEstimator{}
		return math.NaN()
	}
	if n == 0 {
		return math.NaN()
	}
	mean := sum / float64(n)
	if math.IsNaN(mean) || math.IsInf(mean, 0) {
		return math.NaN()
	}
	if !l.known {
		l.floor, l.began, l.known = [2]float64{mean, mean}, now, true
	}
	if now-l.began > lagSpan {
		l.floor, l.began = [2]float64{l.floor[1], mean}, now
	}
	l.floor[1] = min(l.floor[1], mean)
	return mean - min(l.floor[0], l.floor[1])
}
