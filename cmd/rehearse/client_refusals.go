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

// The RPCs of the experiment on refusals.
const (
	refusalServers      = 2
	refusalInterval     = 20 * time.Millisecond // between two RPCs
	refusalAfter        = 300 * time.Millisecond
	refusalWay          = 10 * time.Millisecond // allowed for an answer's way to the client
	refusalDeadline     = 900 * time.Millisecond
	refusalEdgeEvery    = 10 // one RPC in so many is of refusalEdgeMethod
	refusalEdgeMethod   = "edge"
	refusalEdgeDeadline = 150 * time.Millisecond
)

// refusal is the last refusal of an RPC.
type refusal struct {
	until time.Time // it must not be sent again before
	last  bool      // it must not be sent again at all
}

// refusalScript answers as app servers do that push everything back, and counts the tries that heed no refusal or deadline.
type refusalScript struct {
	mu                     sync.Mutex
	refusals               map[string]refusal // by RPC
	early, forbidden, late int
}

// answer answers one message of the client.
func (s *refusalScript) answer(h rig.Heard, out []byte) []byte {
	switch {
	case h.Interrupt:
		return out
	case h.CheckOnly:
		return thrift.Checked(out, h.Seq, true, 10)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if r, ok := s.refusals[h.ID]; ok {
		if r.last {
			s.forbidden++
		} else if now.Before(r.until) {
			s.early++
		}
	}
	left := h.Recv + h.TTL - float64(now.UnixNano())/1e9
	if left < -slack.Seconds() {
		s.late++
	}
	after, last := refusalAfter, len(h.ID)%2 == 0
	if h.Method == refusalEdgeMethod { // its refusal arrives just as the deadline ends
		time.Sleep(time.Duration(left*float64(time.Second)) - time.Millisecond)
		after = 0
	}
	s.refusals[h.ID] = refusal{now.Add(after - refusalWay), last}
	return thrift.PushedBack(out, h.Seq, last, after.Seconds(), 10)
}

// refusals has a client call app servers that push everything back.
func (p *play) refusals() error {
	script := &refusalScript{refusals: map[string]refusal{}}
	var addresses []string
	for range refusalServers {
		s, err := rig.NewStub(script.answer)
		if err != nil {
			return err
		}
		defer s.Close()
		addresses = append(addresses, s.Address())
	}
	c, err := client.New(client.Servers(addresses...), client.Seed(p.Seed), client.Budget(1))
	if err != nil {
		return err
	}
	defer c.Close()
	asked, kept := callRefused(c, p.span(4*time.Second))
	script.mu.Lock()
	defer script.mu.Unlock()
	p.exactly("pushback.early", float64(script.early), 0)
	p.exactly("pushback.forbidden", float64(script.forbidden), 0)
	p.exactly("pushback.late", float64(script.late), 0)
	p.exactly("pushback.without.answer", float64(kept), 0)
	p.inform("pushback.sent.share", float64(len(script.refusals))/float64(asked))
	return nil
}

// callRefused sends RPCs for a time. It returns how many were sent, and how many of them had no proper error by their deadline.
func callRefused(c *client.Client, length time.Duration) (asked int, kept int64) {
	var without atomic.Int64
	var all sync.WaitGroup
	for begin := time.Now(); time.Since(begin) < length; asked++ {
		time.Sleep(refusalInterval)
		method, deadline := "look", refusalDeadline
		if asked%refusalEdgeEvery == 0 {
			method, deadline = refusalEdgeMethod, refusalEdgeDeadline
		}
		id := fmt.Sprint("e", asked)
		all.Go(func() {
			ctx, stop := context.WithTimeout(context.Background(), deadline)
			defer stop()
			began := time.Now()
			_, err := c.Call(ctx, method, rig.EncodeBody(id, 0), client.As(client.Method{Kind: client.Idempotent}))
			var e *client.Error
			if !errors.As(err, &e) || time.Since(began) > deadline+slack {
				without.Add(1)
			}
		})
	}
	all.Wait()
	return asked, without.Load()
}
