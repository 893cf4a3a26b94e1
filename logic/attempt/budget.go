package attempt

import "math"

// Budget bounds retries to a share of the first tries. Each first try earns a share of a retry. What is not spent
// is lost within budgetSpan, so that a long outage does not save up a retry storm for its end.
type Budget struct {
	Share      float64 // retries for each first try; 0 for none
	tokens     float64
	firstTries float64 // recent first tries, decaying over budgetSpan
	updatedAt  float64 // when both were last brought up to date
	started    bool
}

const (
	// budgetDecayTime is how many seconds of first tries count: long enough for callers with a few RPCs a second to
	// earn one, far shorter than an outage.
	budgetDecayTime = 10.0
	// initialBudget lets a caller who has just begun try once more.
	initialBudget = 1.0
)

// decay brings both figures up to now.
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
