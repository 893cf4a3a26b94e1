package main

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"valveglade/rig"
)

// retryingCaller calls one app server and, unlike rig.Router, retries an RPC that got no reply, until its deadline.
type retryingCaller struct {
	source         int
	address        string
	connectPerCall bool          // opens a connection for each RPC
	killCount      *atomic.Int64 // of restartFleet; only compared for equality, as each kill increments it twice

	mu     sync.Mutex
	router *rig.Router
}

// Call implements rig.Caller. It retries after every error except a pushback, an abort and the end of ctx, after
// restartRetryDelay. A tokened RPC is not retried if killCount has changed since Call began, because the tokens of an app
// server are lost when its process is killed.
func (c *retryingCaller) Call(ctx context.Context, method, token string, criticality float64, body []byte) ([]byte, error) {
	kills := c.killCount.Load()
	for {
		router, release := c.acquireRouter()
		result, err := router.Call(ctx, method, token, criticality, body)
		release()
		if err == nil || errors.Is(err, rig.ErrPushedBack) || errors.Is(err, rig.ErrAborted) || ctx.Err() != nil ||
			token != "" && c.killCount.Load() != kills {
			return result, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(restartRetryDelay):
		}
	}
}

// acquireRouter returns the router to call through, and a function that the caller must call after the call. With
// connectPerCall, that function closes the router; else all calls share the router, which Close closes.
func (c *retryingCaller) acquireRouter() (router *rig.Router, release func()) {
	if c.connectPerCall {
		router = rig.NewRouter(c.source, c.address)
		return router, func() { router.Close() }
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.router == nil {
		c.router = rig.NewRouter(c.source, c.address)
	}
	return c.router, func() {}
}

// Close implements rig.Caller.
func (c *retryingCaller) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.router == nil {
		return nil
	}
	return c.router.Close()
}

// callRecord is one RPC from its first try to its end.
type callRecord struct {
	server               string
	newConnection        bool
	requestedAt, endedAt time.Time
	err                  error
}

// answered reports whether the RPC got a reply from the app server by its deadline.
func (r callRecord) answered() bool {
	return r.err == nil || errors.Is(r.err, rig.ErrPushedBack) || errors.Is(r.err, rig.ErrAborted)
}

// callLog holds the records of all callers. It is safe for concurrent use.
type callLog struct {
	mu      sync.Mutex
	records []callRecord
}

// newCallLog returns an empty log.
func newCallLog() *callLog { return &callLog{} }

func (l *callLog) add(r callRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, r)
}

// firstServed returns when an app server first served an RPC that was requested after since, or the zero time if it has not.
func (l *callLog) firstServed(server string, since time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := time.Time{}
	for _, r := range l.records {
		if r.server == server && r.err == nil && r.requestedAt.After(since) && (first.IsZero() || r.endedAt.Before(first)) {
			first = r.endedAt
		}
	}
	return first
}

// between returns the records of the RPCs that were requested between two times.
func (l *callLog) between(from, to time.Time) []callRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(l.records), func(r callRecord) bool {
		return r.requestedAt.Before(from) || r.requestedAt.After(to)
	})
}

// recordingCaller adds the result of each RPC to a log.
type recordingCaller struct {
	*retryingCaller
	log    *callLog
	server string
}

// Call implements rig.Caller.
func (c recordingCaller) Call(ctx context.Context, method, token string, criticality float64, body []byte) ([]byte, error) {
	requestedAt := time.Now()
	result, err := c.retryingCaller.Call(ctx, method, token, criticality, body)
	c.log.add(callRecord{c.server, c.connectPerCall, requestedAt, time.Now(), err})
	return result, err
}

// callWindow holds the results of the RPCs that were requested during one part of the experiment.
type callWindow struct {
	name                        string
	requested, answered, served int
	failures                    []string
}

// measureWindow runs a part of the experiment, waits until the RPCs that were requested in it have ended, and returns their
// results.
func (f *restartFleet) measureWindow(name string, part func()) callWindow {
	from := time.Now()
	part()
	to := time.Now()
	time.Sleep(restartDeadline + 100*time.Millisecond)
	w := callWindow{name: name}
	for _, r := range f.calls.between(from, to) {
		w.requested++
		if r.err == nil {
			w.served++
		}
		if r.answered() {
			w.answered++
		} else {
			w.failures = append(w.failures, fmt.Sprintf("%s new connection %v after %.2f s: %v", r.server, r.newConnection,
				r.endedAt.Sub(r.requestedAt).Seconds(), r.err))
		}
	}
	return w
}

func (w callWindow) answeredShare() float64 { return float64(w.answered) / float64(w.requested) }

// report reports the counts that have no bound.
func (w callWindow) report(run *experimentRun) {
	run.report("asked."+w.name, float64(w.requested))
	run.report("served."+w.name, float64(w.served)/float64(w.requested))
}

// descriptorSampler samples the descriptor counts of the processes.
type descriptorSampler struct {
	fleet          *restartFleet
	stop           chan struct{}
	done           chan struct{}
	maxDescriptors int
	samples        int // number of samples of all processes
	fullSamples    int // number of samples with a full descriptor table
}

// startDescriptorSampler starts the sampling of a fleet; close ends it.
func startDescriptorSampler(f *restartFleet) *descriptorSampler {
	s := &descriptorSampler{fleet: f, stop: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

func (s *descriptorSampler) run() {
	defer close(s.done)
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		for _, n := range s.fleet.countDescriptors() {
			if n == 0 {
				continue // the process was killed and has not been started again
			}
			s.maxDescriptors = max(s.maxDescriptors, n)
			s.samples++
			if n >= restartFullTable {
				s.fullSamples++
			}
		}
	}
}

// close ends the sampling and checks its counts.
func (s *descriptorSampler) close(run *experimentRun) {
	close(s.stop)
	<-s.done
	run.atMost("descriptors.most", float64(s.maxDescriptors), restartSockets)
	run.atLeast("descriptors.full.share", float64(s.fullSamples)/float64(max(s.samples, 1)), 0.8)
}
