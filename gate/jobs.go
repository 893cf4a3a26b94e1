package gate

import "context"

// Action is what a job asks for.
type Action uint8

const (
	Run      Action = iota + 1 // start the RPC
	Pause                      // stop the running RPC
	Serve                      // answer with the result
	PushBack                   // answer that the RPC never ran
	Abort                      // answer without saying whether the RPC ran
)

// Job is one action for an RPC.
type Job[T any] struct {
	Action     Action
	RPC        ID
	Request    T       // as passed to Arrive
	Result     []byte  // with Serve
	NoRetry    bool    // with PushBack: the caller is to try no other app server
	RetryAfter float64 // with PushBack: retry-after delay in seconds, 0 for none
}

// NextJob blocks until there is a job. Jobs are returned in the order in which they were decided.
func (g *Gate[T]) NextJob(ctx context.Context) (Job[T], error) {
	for {
		g.mu.Lock()
		if len(g.jobs) > 0 {
			job := g.jobs[0]
			g.jobs[0] = Job[T]{}
			if g.jobs = g.jobs[1:]; len(g.jobs) > 0 {
				notify(g.ready)
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

// answer adds the job with the single reply that an RPC gets.
func (g *Gate[T]) answer(i int, job Job[T]) {
	s := &g.slots[i]
	if s.state != pending {
		return
	}
	job.RPC, job.Request = ID{i, s.generation}, s.request
	g.jobs = append(g.jobs, job)
	g.setState(i, done)
}
