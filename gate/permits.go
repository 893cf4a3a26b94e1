package gate

// Permits is this app server's part of limits that are common to several app servers. It is called under the gate's
// lock and must not call the gate. Methods are given by their index in the settings.
type Permits interface {
	// BlockingLimit returns the number, from 1, of the limit that currently keeps RPCs of a method from being started,
	// or 0 if none does.
	BlockingLimit(method int) int
	// AddWaiting adds n, 1 or -1, to the number of RPCs that wait to be started.
	AddWaiting(method, n int, criticality float64)
	// RunStarted records that an RPC was started.
	RunStarted(method int, criticality float64)
	// RunEnded records that a run ended after the given seconds, 0 if it never ran.
	RunEnded(method int, criticality, took float64)
}

// SetPermits makes the gate start RPCs only as the permits allow. It must be called before the first arrival.
func (g *Gate[T]) SetPermits(p Permits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.permits = p
}

// startWaiting counts an RPC as waiting with the permits; stopWaiting ends that.
func (g *Gate[T]) startWaiting(i int) {
	if s := &g.slots[i]; g.permits != nil {
		s.countedWaiting = true
		g.permits.AddWaiting(s.method, 1, (*actions[T])(g).criticality(i))
	}
}

func (g *Gate[T]) stopWaiting(i int) {
	if s := &g.slots[i]; s.countedWaiting {
		s.countedWaiting = false
		g.permits.AddWaiting(s.method, -1, (*actions[T])(g).criticality(i))
	}
}

// releasePermit returns the permit of an RPC, if it holds one.
func (g *Gate[T]) releasePermit(i int, took float64) {
	if s := &g.slots[i]; s.holdsPermit {
		if s.holdsPermit = false; g.permits != nil {
			g.permits.RunEnded(s.method, (*actions[T])(g).criticality(i), took)
		}
	}
}
