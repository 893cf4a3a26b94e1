package view

import "math"

// A member that comes and goes costs every reader of the view a change each time. So each change of it that was shown
// raises its penalty, which halves in time; past what a restart costs, further changes wait until they have stood, twice
// as long for each. That is how routers damp routes that flap.
const (
	penaltyHalfLife = 10.0 // seconds until a penalty has halved: the time over which flapping is counted
	freePenalty     = 1.5  // penalty that costs nothing: one restart or death in a while
	maxDelay        = 8.0  // seconds that a change has to stand at the most
	maxStale        = 12.0 // seconds after which what was last heard is shown though it still changes
)

// addPenalty counts one more change that was shown.
func (m *Machine) addPenalty(r *record, now float64) { r.penalty, r.penaltyAt = penalty(r, now)+1, now }

func penalty(r *record, now float64) float64 {
	return r.penalty * math.Exp2(-max(now-r.penaltyAt, 0)/penaltyHalfLife)
}

// changeDelay is how long a change of that member has to stand before it is shown, in seconds.
func (m *Machine) changeDelay(r *record, now float64) float64 {
	p := penalty(r, now)
	if p < freePenalty || !m.config.enabled(Damping) {
		return m.config.BatchTime
	}
	return min(2*math.Exp2(p-freePenalty), maxDelay)
}
