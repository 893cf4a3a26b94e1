package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"valveglade/client"
	"valveglade/internal/thrift"
	"valveglade/rig"
)

// refusals are scripted: app servers that push everything back.
func (p *play) refusals() error {
	early, forbidden, late := 0, 0, 0
	type refused struct {
		until time.Time
		last  bool
	}
	var mu sync.Mutex
	seen := map[string]refused{}
	stubs := make([]*rig.Stub, 2)
	addresses := make([]string, 2)
	for k := range stubs {
		s, err := rig.NewStub(func(h rig.Heard, out []byte) []byte {
			switch {
			case h.Interrupt:
				return out
			case h.CheckOnly:
				return thrift.Checked(out, h.Seq, true, 10)
			}
			mu.Lock()
			defer mu.Unlock()
			now := time.Now()
			if r, ok := seen[h.ID]; ok {
				if r.last {
					forbidden++
				} else if now.Before(r.until) {
					early++
				}
			}
			left := h.Recv + h.TTL - float64(now.UnixNano())/1e9
			if left < -slack.Seconds() {
				late++
			}
			after, last := 0.3, len(h.ID)%2 == 0
			if h.Method == "edge" { // its refusal arrives just as the deadline ends
				time.Sleep(time.Duration(left*float64(time.Second)) - time.Millisecond)
				after = 0
			}
			// Ten milliseconds are for the answer's own way.
			seen[h.ID] = refused{now.Add(time.Duration(after*1e9) - 10*time.Millisecond), last}
			return thrift.PushedBack(out, h.Seq, last, after, 10)
		})
		if err != nil {
			return err
		}
		defer s.Close()
		stubs[k], addresses[k] = s, s.Address()
	}
	c, err := client.New(client.Servers(addresses...), client.Seed(p.Seed), client.Budget(1))
	if err != nil {
		return err
	}
	defer c.Close()
	asked, kept := 0, 0
	var all sync.WaitGroup
	for begin := time.Now(); time.Since(begin) < p.span(4*time.Second); asked++ {
		time.Sleep(20 * time.Millisecond)
		method, deadline := "look", 900*time.Millisecond
		if asked%10 == 0 {
			method, deadline = "edge", 150*time.Millisecond
		}
		id := fmt.Sprint("e", asked)
		all.Go(func() {
			ctx, stop := context.WithTimeout(context.Background(), deadline)
			defer stop()
			began := time.Now()
			_, err := c.Call(ctx, method, rig.Body(id, 0), client.As(client.Method{Kind: client.Idempotent}))
			var e *client.Error
			if !errors.As(err, &e) || time.Since(began) > deadline+slack {
				mu.Lock()
				kept++
				mu.Unlock()
			}
		})
	}
	all.Wait()
	p.exactly("pushback.early", float64(early), 0)
	p.exactly("pushback.forbidden", float64(forbidden), 0)
	p.exactly("pushback.late", float64(late), 0)
	p.exactly("pushback.without.answer", float64(kept), 0)
	mu.Lock()
	p.inform("pushback.sent.share", float64(len(seen))/float64(asked))
	mu.Unlock()
	return nil
}
