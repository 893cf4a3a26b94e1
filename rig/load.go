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

// Caller is what a load is sent through: token is empty but for tokened RPCs, criticality is from 0 to under 1.
type Caller interface {
	Call(ctx context.Context, method, token string, criticality float64, body []byte) ([]byte, error)
	Close() error
}

// Share is one method's part of a load.
type Share struct {
	Method      string
	Kind        rpc.Kind
	Criticality float64 // as its callers rank it, and as it counts
	Part        float64 // of all RPCs
	Work        float64 // seconds on a core, on the mean; exponential
	Deadline    time.Duration
}

// Load asks, whatever becomes of what it has asked before.
type Load struct {
	Seed   uint64
	Rate   func(t float64) float64 // RPCs a second, t seconds after the start
	Length time.Duration
	Shares []Share
	Prefix string // of the names of its RPCs
	Pad    int    // bytes that tokens are longer by
	// Open counts the RPCs that have no outcome yet, if set.
	Open *atomic.Int64
	// Before is told of each RPC as it is asked, if set, with the seconds of its work.
	Before func(s Share, work float64)
	// After is told of each RPC's end, if set, in the goroutine that asked for it.
	After func(s Share, id, token string, body []byte, err error)
}

// Served is what came of one method's share, or of all.
type Served struct {
	Asked, OK int
	Times     *hdrhistogram.Histogram // of what was ok, in microseconds
}

// Outcome is what came of a load.
type Outcome struct {
	ByMethod map[string]*Served
	// Criticality is the share served of what was asked, each RPC counting by its criticality.
	Criticality float64
	Asked, OK   int
}

// Run plays it through the callers in turn, each time by chance, and returns once all has an outcome.
func (l Load) Run(ctx context.Context, check *Checker, callers ...Caller) Outcome {
	chance := rand.New(rand.NewPCG(l.Seed, 1))
	out := Outcome{ByMethod: map[string]*Served{}}
	for _, s := range l.Shares {
		out.ByMethod[s.Method] = &Served{Times: hdrhistogram.New(1, 60_000_000, 3)}
	}
	var mu sync.Mutex
	var all sync.WaitGroup
	asked, got := 0.0, 0.0
	begin := time.Now()
	at := 0.0
	for n := 0; ; n++ {
		rate := l.Rate(at)
		if rate <= 0 {
			at += 0.01
		} else {
			at += chance.ExpFloat64() / rate
		}
		if at >= l.Length.Seconds() || ctx.Err() != nil {
			break
		}
		if rate <= 0 {
			continue
		}
		time.Sleep(time.Until(begin.Add(time.Duration(at * float64(time.Second)))))
		s := l.pick(chance.Float64())
		work := math.Min(s.Work*chance.ExpFloat64(), 5*s.Work)
		c := callers[chance.IntN(len(callers))]
		id := fmt.Sprintf("%s%d", l.Prefix, n)
		if l.Before != nil {
			l.Before(s, work)
		}
		all.Go(func() {
			due := time.Now().Add(s.Deadline)
			check.RegisterRPC(id, s.Kind, due)
			ctx, stop := context.WithDeadline(ctx, due)
			defer stop()
			token := ""
			if s.Kind == rpc.Tokened {
				token = "token-" + id + strings.Repeat("x", l.Pad)
			}
			began := time.Now()
			body := EncodeBody(id, work)
			if l.Open != nil {
				l.Open.Add(1)
				defer l.Open.Add(-1)
			}
			result, err := c.Call(ctx, s.Method, token, s.Criticality, body)
			took := time.Since(began)
			if err == nil {
				check.VerifyResult(id, result)
			}
			if l.After != nil {
				l.After(s, id, token, body, err)
			}
			mu.Lock()
			defer mu.Unlock()
			m := out.ByMethod[s.Method]
			m.Asked++
			out.Asked++
			asked += s.Criticality
			if err == nil {
				m.OK++
				out.OK++
				got += s.Criticality
				m.Times.RecordValue(took.Microseconds())
			}
		})
	}
	all.Wait()
	if asked > 0 {
		out.Criticality = got / asked
	}
	return out
}

func (l Load) pick(x float64) Share {
	total := 0.0
	for _, s := range l.Shares {
		total += s.Part
	}
	x *= total
	for _, s := range l.Shares {
		if x -= s.Part; x < 0 {
			return s
		}
	}
	return l.Shares[len(l.Shares)-1]
}
