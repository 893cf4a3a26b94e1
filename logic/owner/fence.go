package owner

// Fence is held by whoever carries out commands of a role: it rejects those of terms that are over.
type Fence struct {
	timing  Timing
	highest map[string]uint64
}

// NewFence knows of no term.
func NewFence(timing Timing) *Fence { return &Fence{timing: timing, highest: map[string]uint64{}} }

// Pass reports whether a command under a term may be carried out, and otherwise the term that is known.
func (f *Fence) Pass(role string, term uint64) (known uint64, ok bool) {
	known = f.highest[role]
	if term < known && f.timing.enabled(Fences) {
		return known, false
	}
	f.highest[role] = max(known, term)
	return known, true
}
