package owner

// Fence rejects commands of superseded terms. It is kept by the process that executes the commands of a role.
type Fence struct {
	timing       Timing
	highestTerms map[string]uint64 // by role
}

// NewFence returns a fence that knows no term.
func NewFence(timing Timing) *Fence { return &Fence{timing: timing, highestTerms: map[string]uint64{}} }

// Pass reports whether a command under a term may be executed, and the highest term known if not.
func (f *Fence) Pass(role string, term uint64) (highest uint64, ok bool) {
	highest = f.highestTerms[role]
	if term < highest && f.timing.enabled(Fences) {
		return highest, false
	}
	f.highestTerms[role] = max(highest, term)
	return highest, true
}
