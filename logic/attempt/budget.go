package attempt

import "math"

// Budget limits retries to a share of the first tries. Each first try earns a share of a retry. Unspent
// retries expire as first tries decay over budgetDecayTime, so that a long outage is not followed by a retry
// storm.
type Budget struct {
	Share      float64 // retries for each first try; 0 for none
	tokens     float64 // retries that may be spent
	firstTries float64 // number of first tries, exponentially decayed over budgetDecayTime
	updatedAt  float64 // time of the last decay
	started    bool
}

const (
	// budgetDecayTime is the time constant, in seconds, of the decay of first tries: long enough for a caller
	// with a few RPCs a second to earn a retry, and much shorter than an outage.
	budgetDecayTime = 10.0
	// initialBudget is the number of retries that a new client may spend, and the lowest limit of the budget.
	initialBudget = 1.0
)

// decay applies the decay of first tries up to now and lowers the budget to the new maximum.
func (b *Budget) decay(now float64) {
	if !b.started {
		b.started, b.tokens, b.updatedAt = true, initialBudget, now
	}
	if now > b.updatedAt {
		b.firstTries *= math.Exp(-(now - b.updatedAt) / budgetDecayTime)
		b.updatedAt = now
	}
	b.tokens = min(b.tokens, max(initialBudget, b.Share*b.firstTries))
}

// Earn records a first try.
func (b *Budget) Earn(now float64) {
	b.decay(now)
	b.firstTries++
	b.tokens = min(b.tokens+b.Share, max(initialBudget, b.Share*b.firstTries))
}

// Available returns how many retries may be spent now.
func (b *Budget) Available(now float64) float64 {
	b.decay(now)
	if b.Share <= 0 {
		return 0
	}
	return b.tokens
}

// Spend takes one retry from the budget, and reports whether there was one.
func (b *Budget) Spend(now float64) bool {
	if b.Available(now) < 1 {
		return false
	}
	b.tokens--
	return true
}
