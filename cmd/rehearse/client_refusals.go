package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"valveglade/client"
	"valveglade/internal/thrift"
	"valveglade/rig"
)

// Parameters of runRefusals.
const (
	refusalServers      = 2
	refusalInterval     = 20 * time.Millisecond // between two RPCs
	refusalRetryAfter   = 300 * time.Millisecond
	refusalTransit      = 10 * time.Millisecond // allowance for the transit of a reply to the client
	refusalDeadline     = 900 * time.Millisecond
	refusalEdgeEvery    = 10 // one in this many RPCs calls refusalEdgeMethod
	refusalEdgeMethod   = "edge"
	refusalEdgeDeadline = 150 * time.Millisecond
)

// refusal is the last refusal of an RPC.
type refusal struct {
	earliestRetry time.Time // the RPC must not be sent again before this time
	final         bool      // the RPC must not be sent again at all
}

// refusalScript replies like app servers that push every RPC back. It counts the tries that violate an earlier refusal or
// the deadline.
type refusalScript struct {
	mu                     sync.Mutex
	refusals               map[string]refusal // by RPC
	early, forbidden, late int
}

// reply appends the reply to one message of the client to out.
func (s *refusalScript) reply(received rig.ReceivedRequest, out []byte) []byte {
	switch {
	case received.Interrupt:
		return out
	case received.HealthCheck:
		return thrift.Checked(out, received.Seq, true, 10)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if r, ok := s.refusals[received.ID]; ok {
		if r.final {
			s.forbidden++
		} else if now.Before(r.earliestRetry) {
			s.early++
		}
	}
	remaining := received.Recv + received.TTL - float64(now.UnixNano())/1e9
	if remaining < -slack.Seconds() {
		s.late++
	}
	retryAfter, final := refusalRetryAfter, len(received.ID)%2 == 0
	if received.Method == refusalEdgeMethod { // reply 1 ms before the deadline
		time.Sleep(time.Duration(remaining*float64(time.Second)) - time.Millisecond)
		retryAfter = 0
	}
	s.refusals[received.ID] = refusal{now.Add(retryAfter - refusalTransit), final}
	return thrift.PushedBack(out, received.Seq, final, retryAfter.Seconds(), 10)
}

// runRefusals measures a client whose app servers push every RPC back.
func (run *experimentRun) runRefusals() error {
	script := &refusalScript{refusals: map[string]refusal{}}
	var addresses []string
	for range refusalServers {
		stub, err := rig.NewStub(script.reply)
		if err != nil {
			return err
		}
		defer stub.Close()
		addresses = append(addresses, stub.Address())
	}
	caller, err := client.New(client.Servers(addresses...), client.Seed(run.Seed), client.Budget(1))
	if err != nil {
		return err
	}
	defer caller.Close()
	requested, withoutError := callRefused(caller, run.scaled(4*time.Second))
	script.mu.Lock()
	defer script.mu.Unlock()
	run.exactly("pushback.early", float64(script.early), 0)
	run.exactly("pushback.forbidden", float64(script.forbidden), 0)
	run.exactly("pushback.late", float64(script.late), 0)
	run.exactly("pushback.without.answer", float64(withoutError), 0)
	run.report("pushback.sent.share", float64(len(script.refusals))/float64(requested))
	return nil
}

// callRefused sends RPCs for length. It returns how many were sent, and how many of them did not end with a *client.Error
// by their deadline.
func callRefused(c *client.Client, length time.Duration) (requested int, withoutError int64) {
	var withoutErrorCount atomic.Int64
	var all sync.WaitGroup
	for begin := time.Now(); time.Since(begin) < length; requested++ {
		time.Sleep(refusalInterval)
		method, deadline := "look", refusalDeadline
		if requested%refusalEdgeEvery == 0 {
			method, deadline = refusalEdgeMethod, refusalEdgeDeadline
		}
		id := fmt.Sprint("e", requested)
		all.Go(func() {
			ctx, stop := context.WithTimeout(context.Background(), deadline)
			defer stop()
			began := time.Now()
			_, err := c.Call(ctx, method, rig.EncodeBody(id, 0), client.As(client.Method{Kind: client.Idempotent}))
			var callError *client.Error
			if !errors.As(err, &callError) || time.Since(began) > deadline+slack {
				withoutErrorCount.Add(1)
			}
		})
	}
	all.Wait()
	return requested, withoutErrorCount.Load()
}
