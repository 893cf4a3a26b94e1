package gate

// What the module says of the app server as a whole.

// Credit is what goes out with every answer; below 0 there is none.
func (g *Gate[T]) Credit() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.credit
}

// Healthy is the answer to health checks.
func (g *Gate[T]) Healthy() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.healthy
}

// Changed holds a value after the health, the time for idle connections or the notes have changed.
func (g *Gate[T]) Changed() <-chan struct{} { return g.changed }

// IdleTimeout is after how many seconds idle connections are closed, 0 for never.
func (g *Gate[T]) IdleTimeout() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reap
}

// TakeMessages are the module's remarks since the last call.
func (g *Gate[T]) TakeMessages() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	notes := g.notes
	g.notes = nil
	return notes
}
