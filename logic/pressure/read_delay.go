package pressure

import "math"

// ReadDelayEstimator computes the signal ReadDelay from the arrival times that callers write on their RPCs.
// Callers' clocks may be off and the network adds latency, so only the delay beyond a recent minimum counts.
type ReadDelayEstimator struct {
	lowestMeans  [2]float64 // lowest mean delay of the previous segment and of the current one
	segmentStart float64
	initialized  bool
}

// baselineWindow is the length of a segment in seconds. It is short enough to follow a drifting clock, and
// long enough that an overload does not become the baseline.
const baselineWindow = 30.0

// Update takes the sum in seconds and the number of the delays since the last reading, and returns the delay
// beyond the baseline, NaN if unknown. stepped reports that this machine's clock was set meanwhile, which
// invalidates the baseline.
func (e *ReadDelayEstimator) Update(now, sum float64, n int, stepped bool) float64 {
	if stepped {
		*e = ReadDelayEstimator{}
		return math.NaN()
	}
	if n == 0 {
		return math.NaN()
	}
	mean := sum / float64(n)
	if math.IsNaN(mean) || math.IsInf(mean, 0) {
		return math.NaN()
	}
	if !e.initialized {
		e.lowestMeans, e.segmentStart, e.initialized = [2]float64{mean, mean}, now, true
	}
	if now-e.segmentStart > baselineWindow {
		e.lowestMeans, e.segmentStart = [2]float64{e.lowestMeans[1], mean}, now
	}
	e.lowestMeans[1] = min(e.lowestMeans[1], mean)
	return mean - min(e.lowestMeans[0], e.lowestMeans[1])
}
