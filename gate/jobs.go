package gate

import "context"

// Action is what is to be done for an RPC.
type Action uint8

const (
	Run Action = iota + 1
	Pause
	Serve    // answer with the result
	PushBack // answer that it never ran
	Abort    // answer without a promise
)

// Job is one thing to do; For is what came with the RPC.
type Job[T any] struct {
	Action     Action
	RPC        ID
	Request    T
	Result     []byte
	NoRetry    bool    // with PushBack: no other app server is to be tried
	RetryAfter float64 // with PushBack: seconds to stay away, 0 for no advice
}

// NextJob blocks until there is something to do for an RPC. Jobs come in the order in which they were decided.
func (g *Gate[T]) NextJob(ctx context.Context) (Job[T], error) {
	for {
		g.mu.Lock()
		if len(g.jobs) > 0 {
			job := g.jobs[0]
			g.jobs[0] = Job[T]{}
			if g.jobs = g.jobs[1:]; len(g.jobs) > 0 {
				signal(g.ready)
			}
			g.mu.Unlock()
			return job, nil
		}
		g.jobs = nil
		g.mu.Unlock()
		select {
		case <-ctx.Done():
			return Job[T]{}, ctx.Err()
		case <-g.ready:
		}
	}
}

// answer gives the one answer that an RPC gets.
func (g *Gate[T]) answer(i int, job Job[T]) {
	s := &g.slots[i]
	if s.state != owed {
		return
	}
	job.RPC, job.Request = ID{i, s.life}, s.who
	g.jobs = append(g.jobs, job)
	g.move(i, done)
}
