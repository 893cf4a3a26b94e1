package attempt

import (
	"math"

	"valveglade/logic/chance"
)

// Random draws numbers that follow from a seed and a counter alone, so that a run can be played again.
type Random struct {
	seed, draws uint64
}

// NewRandom starts a row of draws.
func NewRandom(seed uint64) Random { return Random{seed: seed} }

// Float64 gives the next number, from 0 to under 1.
func (c *Random) Float64() float64 {
	c.draws++
	return chance.At(c.seed, c.draws-1)
}

// IntN draws a whole number from 0 to under n.
func (c *Random) IntN(n int) int { return int(c.Float64() * float64(n)) }

// Backoff says how long to stay away from what failed: full jitter, so that many who failed together come back
// apart. The span doubles with each failure in a row, from first to most seconds.
func (c *Random) Backoff(firstSpread, maxSpread float64, failures int) float64 {
	return c.Float64() * min(maxSpread, firstSpread*math.Pow(2, float64(min(failures, 30))))
}
