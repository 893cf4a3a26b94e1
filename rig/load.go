package rig

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"valveglade/rpc"
)

// Caller makes the RPCs of a load.
type Caller interface {
	// Call makes one RPC and returns its result. token is empty except for tokened RPCs; criticality is in [0, 1).
	Call(ctx context.Context, method, token string, criticality float64, body []byte) ([]byte, error)
	// Close releases the connections.
	Close() error
}

// Share is the part of a load that goes to one method.
type Share struct {
	Method      string
	Kind        rpc.Kind
	Criticality float64 // sent with its RPCs, and their weight in Outcome.Criticality
	Fraction    float64 // of all RPCs
	Work        float64 // mean of the exponential distribution, in seconds on a core
	Deadline    time.Duration
}

// Load is an open-loop workload: it sends RPCs at its rate whatever the outcome of earlier ones.
type Load struct {
	Seed         uint64
	Rate         func(t float64) float64 // RPCs per second, t seconds after the start
	Duration     time.Duration
	Shares       []Share
	Prefix       string // of the ids of its RPCs
	TokenPadding int    // bytes of padding added to each token
	// PendingCount, if set, counts the RPCs that have no outcome yet.
	PendingCount *atomic.Int64
	// BeforeCall, if set, is called ahead of each RPC with its work, in seconds on a core.
	BeforeCall func(s Share, work float64)
	// AfterCall, if set, is called with the outcome of each RPC, in the goroutine that made it.
	AfterCall func(s Share, id, token string, body []byte, err error)
}

// MethodOutcome is the outcome of the RPCs of one method.
type MethodOutcome struct {
	Requested, OK int
	Latencies     *hdrhistogram.Histogram // of the successful RPCs, in microseconds
}

// Outcome is the outcome of a load.
type Outcome struct {
	ByMethod map[string]*MethodOutcome
	// Criticality is the share of RPCs that succeeded, weighted by criticality.
	Criticality   float64
	Requested, OK int
}

// Run sends the load, each RPC through a randomly chosen caller, and returns once all RPCs have an outcome.
func (l Load) Run(ctx context.Context, checker *Checker, callers ...Caller) Outcome {
	rng := rand.New(rand.NewPCG(l.Seed, 1))
	outcome := Outcome{ByMethod: map[string]*MethodOutcome{}}
	for _, share := range l.Shares {
		outcome.ByMethod[share.Method] = &MethodOutcome{Latencies: hdrhistogram.New(1, 60_000_000, 3)}
	}
	var mu sync.Mutex
	var pending sync.WaitGroup
	requestedWeight, servedWeight := 0.0, 0.0
	start := time.Now()
	elapsed := 0.0
	for number := 0; ; number++ {
		rate := l.Rate(elapsed)
		if rate <= 0 {
			elapsed += 0.01
		} else {
			elapsed += rng.ExpFloat64() / rate
		}
		if elapsed >= l.Duration.Seconds() || ctx.Err() != nil {
			break
		}
		if rate <= 0 {
			continue
		}
		time.Sleep(time.Until(start.Add(time.Duration(elapsed * float64(time.Second)))))
		share := l.pickShare(rng.Float64())
		work := math.Min(share.Work*rng.ExpFloat64(), 5*share.Work)
		caller := callers[rng.IntN(len(callers))]
		id := fmt.Sprintf("%s%d", l.Prefix, number)
		if l.BeforeCall != nil {
			l.BeforeCall(share, work)
		}
		pending.Go(func() {
			deadline := time.Now().Add(share.Deadline)
			checker.RegisterRPC(id, share.Kind, deadline)
			ctx, stop := context.WithDeadline(ctx, deadline)
			defer stop()
			token := ""
			if share.Kind == rpc.Tokened {
				token = "token-" + id + strings.Repeat("x", l.TokenPadding)
			}
			callStart := time.Now()
			body := EncodeBody(id, work)
			if l.PendingCount != nil {
				l.PendingCount.Add(1)
				defer l.PendingCount.Add(-1)
			}
			result, err := caller.Call(ctx, share.Method, token, share.Criticality, body)
			latency := time.Since(callStart)
			if err == nil {
				checker.VerifyResult(id, result)
			}
			if l.AfterCall != nil {
				l.AfterCall(share, id, token, body, err)
			}
			mu.Lock()
			defer mu.Unlock()
			methodOutcome := outcome.ByMethod[share.Method]
			methodOutcome.Requested++
			outcome.Requested++
			requestedWeight += share.Criticality
			if err == nil {
				methodOutcome.OK++
				outcome.OK++
				servedWeight += share.Criticality
				methodOutcome.Latencies.RecordValue(latency.Microseconds())
			}
		})
	}
	pending.Wait()
	if requestedWeight > 0 {
		outcome.Criticality = servedWeight / requestedWeight
	}
	return outcome
}

// pickShare returns the share at a position in [0, 1) of the cumulative fractions.
func (l Load) pickShare(position float64) Share {
	total := 0.0
	for _, share := range l.Shares {
		total += share.Fraction
	}
	position *= total
	for _, share := range l.Shares {
		if position -= share.Fraction; position < 0 {
			return share
		}
	}
	return l.Shares[len(l.Shares)-1]
}
