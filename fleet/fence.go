package fleet

import (
	"fmt"
	"sync"

	"valveglade/logic/owner"
)

// StaleTermError reports that a command was rejected because a higher term is known.
type StaleTermError struct {
	Term  uint64 // of the rejected command
	Known uint64 // the highest term that the worker has seen
}

func (e *StaleTermError) Error() string {
	return fmt.Sprintf("stale term %d: term %d is known", e.Term, e.Known)
}

// Fence rejects commands with stale terms on behalf of the worker that executes them. It is an owner.Fence that is
// safe for concurrent use and returns typed errors.
type Fence struct {
	mu    sync.Mutex
	fence *owner.Fence
}

// NewFence returns a fence that has seen no term yet.
func NewFence() *Fence { return &Fence{fence: owner.NewFence(owner.Timing{})} }

// Pass returns nil if a command may be executed, otherwise a *StaleTermError.
func (f *Fence) Pass(role string, term uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if known, ok := f.fence.Pass(role, term); !ok {
		return &StaleTermError{term, known}
	}
	return nil
}
