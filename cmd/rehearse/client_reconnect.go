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

const (
	reconnectWithin = 15 * time.Second       // for all clients to be back
	reconnectWindow = 100 * time.Millisecond // in which the most reconnects are counted
)

// reconnectLog records the first connection of each client after an outage.
type reconnectLog struct {
	mu   sync.Mutex
	over time.Time // the end of the outage, zero before it
	back []time.Time
}

// dialer returns the dialer of one client.
func (l *reconnectLog) dialer() func(ctx context.Context, address string) (net.Conn, error) {
	first := true
	return func(ctx context.Context, address string) (net.Conn, error) {
		nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		l.mu.Lock()
		defer l.mu.Unlock()
		if err == nil && !l.over.IsZero() && first {
			first = false
			l.back = append(l.back, time.Now())
		}
		return nc, err
	}
}

// end records that the outage ends now.
func (l *reconnectLog) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.over = time.Now()
}

// waitFor waits until so many clients are back, reconnectWithin at the most.
func (l *reconnectLog) waitFor(clients int) {
	count := func() int {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.back)
	}
	for time.Since(l.over) < reconnectWithin && count() < clients {
		time.Sleep(20 * time.Millisecond)
	}
}

// seconds returns, in order, how long after the outage's end each client was back.
func (l *reconnectLog) seconds() []float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []float64
	for _, t := range l.back {
		all = append(all, t.Sub(l.over).Seconds())
	}
	slices.Sort(all)
	return all
}

// reconnects has many clients lose the one app server, and come back.
func (p *play) reconnects(note func(*rig.Checker)) error {
	clients, outage := 1000, p.span(6*time.Second)
	if p.brief {
		clients = 50
	}
	check := rig.NewChecker(4 * slack) // a thousand clients in one process wait for each other
	f, err := rig.NewFleet(p.Program, 1, shopSite(time.Second), check)
	if err != nil {
		return err
	}
	defer f.Close()
	log := &reconnectLog{}
	callers, err := p.reconnectCallers(clients, f.Addresses(), log)
	for _, c := range callers {
		defer c.Close()
	}
	if err != nil {
		return err
	}
	ctx, end := context.WithCancel(context.Background())
	defer end()
	load := rig.Load{Seed: p.Seed, Rate: func(float64) float64 { return float64(clients) / 5 }, Length: time.Minute,
		Shares: shop(0.0005, time.Second), Prefix: "a"}
	var done sync.WaitGroup
	var out rig.Outcome
	done.Go(func() { out = load.Run(ctx, check, callers...) })
	time.Sleep(2500 * time.Millisecond)
	f.Proxies[0].Down(true)
	time.Sleep(outage)
	log.end()
	f.Proxies[0].Down(false)
	log.waitFor(clients)
	end()
	done.Wait()
	if err := p.checkReconnects(log.seconds(), clients); err != nil {
		return err
	}
	p.inform("reconnect.ok.share", float64(out.OK)/float64(max(out.Asked, 1)))
	note(check)
	return nil
}

// reconnectCallers makes clients of an app server whose connections are recorded. The caller closes them, also after an error.
func (p *play) reconnectCallers(clients int, addresses []string, log *reconnectLog) ([]rig.Caller, error) {
	kinds := kindsOf(shop(0, 0))
	var callers []rig.Caller
	for k := range clients {
		c, err := client.New(client.Servers(addresses...), client.Seed(p.Seed*1_000_003+uint64(k)+1),
			client.StartSpread(2*time.Second), client.Dialer(log.dialer()))
		if err != nil {
			return callers, err
		}
		callers = append(callers, careful{c, kinds})
	}
	return callers, nil
}

// checkReconnects checks when clients were back after an outage, in seconds and in order.
func (p *play) checkReconnects(back []float64, clients int) error {
	if len(back) < clients/2 {
		return fmt.Errorf("only %d of %d clients came back", len(back), clients)
	}
	if !p.brief { // a few clients after a short outage show no distribution
		p.atLeast("reconnect.spread.s", back[len(back)*95/100]-back[len(back)*5/100], 3)
		p.atMost("reconnect.most.in.100ms", float64(mostWithin(back, reconnectWindow.Seconds()))/float64(clients), 0.05)
	}
	p.exactly("reconnect.back", float64(len(back)), float64(clients))
	p.atMost("reconnect.last.s", back[len(back)-1], reconnectWithin.Seconds())
	return nil
}

// mostWithin returns the most of some sorted times that lie within one span of time, less than its length apart.
func mostWithin(times []float64, span float64) int {
	most := 0
	for first, last := 0, 0; last < len(times); last++ {
		for times[last]-times[first] >= span {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}
