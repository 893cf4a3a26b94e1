package view

import "math"

// Flap damping, as in routing protocols. Each published change of a member costs every reader of the view, so
// it raises the member's penalty, which decays by half-lives. Above what a single restart costs, further
// changes are published only after they have stood for a delay that doubles with each of them.
const (
	penaltyHalfLife = 10.0 // seconds after which a penalty has halved: the time scale of flapping
	freePenalty     = 1.5  // penalty without a delay: one restart or death in a while
	maxDelay        = 8.0  // upper bound on the delay of a change, in seconds
	maxStale        = 12.0 // seconds after which the latest state is published though it still changes
)

// addPenalty counts one more published change.
func (m *Machine) addPenalty(r *record, now float64) { r.penalty, r.penaltyAt = penalty(r, now)+1, now }

func penalty(r *record, now float64) float64 {
	return r.penalty * math.Exp2(-max(now-r.penaltyAt, 0)/penaltyHalfLife)
}

// changeDelay returns how long a change of the member has to stand before it is published, in seconds.
func (m *Machine) changeDelay(r *record, now float64) float64 {
	p := penalty(r, now)
	if p < freePenalty || !m.config.enabled(Damping) {
		return m.config.BatchTime
	}
	return min(2*math.Exp2(p-freePenalty), maxDelay)
}
