package attempt

import (
	"math"

	"valveglade/logic/chance"
)

// Random is a pseudo-random generator whose numbers depend on a seed and a counter only, so that a run can be
// replayed.
type Random struct {
	seed, draws uint64
}

// NewRandom returns a generator at the start of the sequence of a seed.
func NewRandom(seed uint64) Random { return Random{seed: seed} }

// Float64 returns the next number in [0, 1).
func (r *Random) Float64() float64 {
	r.draws++
	return chance.At(r.seed, r.draws-1)
}

// IntN returns an integer in [0, n).
func (r *Random) IntN(n int) int { return int(r.Float64() * float64(n)) }

// Backoff returns the delay in seconds before the next attempt, with full jitter, so that clients that failed
// together do not retry together. The range of the delay doubles with each failure in a row, from firstSpread
// to at most maxSpread seconds.
func (r *Random) Backoff(firstSpread, maxSpread float64, failures int) float64 {
	return r.Float64() * min(maxSpread, firstSpread*math.Pow(2, float64(min(failures, 30))))
}
