package gate

// This file holds the module's decisions that concern the app server as a whole.

// Credit returns the credit that goes out with every reply; below 0 there is none.
func (g *Gate[T]) Credit() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.credit
}

// Healthy returns the answer to health checks.
func (g *Gate[T]) Healthy() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.healthy
}

// Changed returns a channel that holds a value after the health, the idle timeout or the messages have changed.
func (g *Gate[T]) Changed() <-chan struct{} { return g.changed }

// IdleTimeout returns the seconds after which idle connections are closed, 0 for never.
func (g *Gate[T]) IdleTimeout() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.idleTimeout
}

// TakeMessages returns and clears the module's log messages since the last call.
func (g *Gate[T]) TakeMessages() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	messages := g.messages
	g.messages = nil
	return messages
}
