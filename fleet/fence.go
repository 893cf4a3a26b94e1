package fleet

import (
	"fmt"
	"sync"

	"valveglade/logic/owner"
)

// StaleTermError is a command rejected since a higher term is known.
type StaleTermError struct {
	Term  uint64 // of the command
	Known uint64
}

func (l *StaleTermError) Error() string {
	return fmt.Sprintf("stale term %d, and %d is known", l.Term, l.Known)
}

// Fence is held by whoever carries out commands: it is owner.Fence for many goroutines, with errors that say why.
type Fence struct {
	mu    sync.Mutex
	fence *owner.Fence
}

// NewFence knows of no term.
func NewFence() *Fence { return &Fence{fence: owner.NewFence(owner.Timing{})} }

// Pass returns nil if a command may be carried out, a *StaleTermError otherwise.
func (f *Fence) Pass(role string, term uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if known, ok := f.fence.Pass(role, term); !ok {
		return &StaleTermError{term, known}
	}
	return nil
}
