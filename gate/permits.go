package gate

// Permits are what common limits of several app servers leave to this one. They are asked under the gate's lock, and call
// nothing of it; a method's index is the config's.
type Permits interface {
	// BlockingLimit tells which limit keeps RPCs of a method from being started now, from 1; 0 if none does.
	BlockingLimit(method int) int
	// AddWaiting takes in one more RPC that waits to be started, or with -1 one less.
	AddWaiting(method, n int, criticality float64)
	// RunStarted and Over take in that one was started, and that its run has ended after so many seconds; 0 where it never ran.
	RunStarted(method int, criticality float64)
	RunEnded(method int, criticality, took float64)
}

// SetPermits has the gate start nothing without permits. It is called before anything arrives.
func (g *Gate[T]) SetPermits(p Permits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.permits = p
}

// wait tells the permits of an RPC that may have to wait; unwait, that it waits no longer.
func (g *Gate[T]) wait(i int) {
	if s := &g.slots[i]; g.permits != nil {
		s.waits = true
		g.permits.AddWaiting(s.method, 1, (*actions[T])(g).criticality(i))
	}
}

func (g *Gate[T]) unwait(i int) {
	if s := &g.slots[i]; s.waits {
		s.waits = false
		g.permits.AddWaiting(s.method, -1, (*actions[T])(g).criticality(i))
	}
}

// over gives back an RPC's permit.
func (g *Gate[T]) over(i int, took float64) {
	if s := &g.slots[i]; s.runs {
		if s.runs = false; g.permits != nil {
			g.permits.RunEnded(s.method, (*actions[T])(g).criticality(i), took)
		}
	}
}
