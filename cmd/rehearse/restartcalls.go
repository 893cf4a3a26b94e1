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

// retryingCaller calls one app server as a router does: what has no answer because the connection was refused or ended is
// sent again until its deadline. A tokened RPC is not sent again after a kill: its app server's tokens are gone with the process.
type retryingCaller struct {
	source         int
	address        string
	connectPerCall bool // a connection for each RPC
	killCount      *atomic.Int64

	mu     sync.Mutex
	router *rig.Router
}

// Call implements rig.Caller.
func (c *retryingCaller) Call(ctx context.Context, method, token string, criticality float64, body []byte) ([]byte, error) {
	kills := c.killCount.Load()
	for {
		router, done := c.connection()
		result, err := router.Call(ctx, method, token, criticality, body)
		done()
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

// connection gives the router to call through, and what to do after the call.
func (c *retryingCaller) connection() (router *rig.Router, done func()) {
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
	server        string
	newConnection bool
	asked, ended  time.Time
	err           error
}

// answered tells whether the RPC had a final answer of the app server by its deadline.
func (r callRecord) answered() bool {
	return r.err == nil || errors.Is(r.err, rig.ErrPushedBack) || errors.Is(r.err, rig.ErrAborted)
}

// callLog keeps the records of all callers. It is safe for use by many goroutines.
type callLog struct {
	mu      sync.Mutex
	records []callRecord
}

func newCallLog() *callLog { return &callLog{} }

func (l *callLog) add(r callRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, r)
}

// firstServed returns when an app server first served an RPC that was asked for since a time; the zero time if never.
func (l *callLog) firstServed(server string, since time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := time.Time{}
	for _, r := range l.records {
		if r.server == server && r.err == nil && r.asked.After(since) && (first.IsZero() || r.ended.Before(first)) {
			first = r.ended
		}
	}
	return first
}

// between returns what was asked for from one time to another.
func (l *callLog) between(from, to time.Time) []callRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(l.records), func(r callRecord) bool { return r.asked.Before(from) || r.asked.After(to) })
}

// recordingCaller adds what becomes of each RPC to a log.
type recordingCaller struct {
	*retryingCaller
	log    *callLog
	server string
}

// Call implements rig.Caller.
func (c recordingCaller) Call(ctx context.Context, method, token string, criticality float64, body []byte) ([]byte, error) {
	asked := time.Now()
	result, err := c.retryingCaller.Call(ctx, method, token, criticality, body)
	c.log.add(callRecord{c.server, c.connectPerCall, asked, time.Now(), err})
	return result, err
}

// callWindow is what became of the RPCs that were asked for during one part of the experiment.
type callWindow struct {
	name                    string
	asked, answered, served int
	failures                []string
}

// measureWindow runs a part of the experiment, and waits until what was asked for in it has ended.
func (f *restartFleet) measureWindow(name string, part func()) callWindow {
	from := time.Now()
	part()
	to := time.Now()
	time.Sleep(restartDeadline + 100*time.Millisecond)
	w := callWindow{name: name}
	for _, r := range f.calls.between(from, to) {
		w.asked++
		if r.err == nil {
			w.served++
		}
		if r.answered() {
			w.answered++
		} else {
			w.failures = append(w.failures, fmt.Sprintf("%s new connection %v after %.2f s: %v", r.server, r.newConnection,
				r.ended.Sub(r.asked).Seconds(), r.err))
		}
	}
	return w
}

func (w callWindow) answeredShare() float64 { return float64(w.answered) / float64(w.asked) }

// report shows what is not judged.
func (w callWindow) report(p *experimentRun) {
	p.report("asked."+w.name, float64(w.asked))
	p.report("served."+w.name, float64(w.served)/float64(w.asked))
}

// descriptorSampler samples the descriptors of the processes.
type descriptorSampler struct {
	fleet          *restartFleet
	stop           chan struct{}
	done           chan struct{}
	maxDescriptors int
	samples        int // samples
	fullSamples    int // of them with a full table
}

func startDescriptorSampler(f *restartFleet) *descriptorSampler {
	w := &descriptorSampler{fleet: f, stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

func (w *descriptorSampler) run() {
	defer close(w.done)
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		for _, n := range w.fleet.countDescriptors() {
			if n == 0 {
				continue // between two processes
			}
			w.maxDescriptors = max(w.maxDescriptors, n)
			w.samples++
			if n >= restartFullTable {
				w.fullSamples++
			}
		}
	}
}

// close ends the sampling and gives its figures.
func (w *descriptorSampler) close(p *experimentRun) {
	close(w.stop)
	<-w.done
	p.atMost("descriptors.most", float64(w.maxDescriptors), restartSockets)
	p.atLeast("descriptors.full.share", float64(w.fullSamples)/float64(max(w.samples, 1)), 0.8)
}
