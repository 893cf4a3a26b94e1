package main

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"valveglade/client"
	"valveglade/rig"
)

// reconnects has many clients lose the one app server, and come back.
func (p *play) reconnects(note func(*rig.Checker)) error {
	clients, outage := 1000, p.span(6*time.Second)
	if p.brief {
		clients = 50
	}
	check := rig.NewChecker(4 * slack) // a thousand clients in one process wait for each other
	site := shopSite(time.Second)
	f, err := rig.NewFleet(p.Program, 1, site, check)
	if err != nil {
		return err
	}
	defer f.Close()
	var mu sync.Mutex
	var back []time.Time // of the first connection of each client after the outage
	var over time.Time
	all := make([]*client.Client, clients)
	rate := float64(clients) / 5
	for k := range all {
		first := true
		dial := func(ctx context.Context, address string) (net.Conn, error) {
			nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && !over.IsZero() && first {
				first = false
				back = append(back, time.Now())
			}
			return nc, err
		}
		all[k], err = client.New(client.Servers(f.Addresses()...), client.Seed(p.Seed*1_000_003+uint64(k)+1),
			client.StartSpread(2*time.Second), client.Dialer(dial))
		if err != nil {
			return err
		}
		defer all[k].Close()
	}
	ctx, end := context.WithCancel(context.Background())
	defer end()
	callers := make([]rig.Caller, clients)
	for k := range callers {
		callers[k] = careful{all[k], kindsOf(shop(0, 0))}
	}
	load := rig.Load{Seed: p.Seed, Rate: func(float64) float64 { return rate }, Length: time.Minute,
		Shares: shop(0.0005, time.Second), Prefix: "a"}
	var done sync.WaitGroup
	var out rig.Outcome
	done.Go(func() { out = load.Run(ctx, check, callers...) })
	time.Sleep(2500 * time.Millisecond)
	f.Nets[0].Down(true)
	time.Sleep(outage)
	mu.Lock()
	over = time.Now()
	mu.Unlock()
	f.Nets[0].Down(false)
	came := func() int {
		mu.Lock()
		defer mu.Unlock()
		return len(back)
	}
	for time.Since(over) < 15*time.Second && came() < clients {
		time.Sleep(20 * time.Millisecond)
	}
	end()
	done.Wait()
	mu.Lock()
	defer mu.Unlock()
	slices.SortFunc(back, time.Time.Compare)
	if len(back) < clients/2 {
		return fmt.Errorf("only %d of %d clients came back", len(back), clients)
	}
	middle := back[len(back)*95/100].Sub(back[len(back)*5/100]).Seconds()
	most := 0
	for k, j := 0, 0; j < len(back); j++ {
		for back[j].Sub(back[k]) >= 100*time.Millisecond {
			k++
		}
		most = max(most, j-k+1)
	}
	if !p.brief { // a few clients after a short outage show no distribution
		p.atLeast("reconnect.spread.s", middle, 3)
		p.atMost("reconnect.most.in.100ms", float64(most)/float64(clients), 0.05)
	}
	p.exactly("reconnect.back", float64(len(back)), float64(clients))
	p.atMost("reconnect.last.s", back[len(back)-1].Sub(over).Seconds(), 15)
	p.inform("reconnect.ok.share", float64(out.OK)/float64(max(out.Asked, 1)))
	note(check)
	return nil
}
