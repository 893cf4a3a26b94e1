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
	reconnectTimeout = 15 * time.Second       // for all clients to reconnect
	reconnectWindow  = 100 * time.Millisecond // in which the maximum number of reconnects is counted
)

// reconnectLog records the first connection of each client after an outage.
type reconnectLog struct {
	mu          sync.Mutex
	outageEnd   time.Time // the end of the outage, zero before it
	reconnected []time.Time
}

// dialer returns the dialer of one client.
func (l *reconnectLog) dialer() func(ctx context.Context, address string) (net.Conn, error) {
	first := true
	return func(ctx context.Context, address string) (net.Conn, error) {
		connection, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		l.mu.Lock()
		defer l.mu.Unlock()
		if err == nil && !l.outageEnd.IsZero() && first {
			first = false
			l.reconnected = append(l.reconnected, time.Now())
		}
		return connection, err
	}
}

// endOutage records the current time as the end of the outage.
func (l *reconnectLog) endOutage() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outageEnd = time.Now()
}

// waitFor waits until the given number of clients have reconnected, for reconnectTimeout at most.
func (l *reconnectLog) waitFor(clients int) {
	count := func() int {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.reconnected)
	}
	for time.Since(l.outageEnd) < reconnectTimeout && count() < clients {
		time.Sleep(20 * time.Millisecond)
	}
}

// delays returns the sorted delays from the end of the outage to the reconnect of each client, in seconds.
func (l *reconnectLog) delays() []float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var delays []float64
	for _, at := range l.reconnected {
		delays = append(delays, at.Sub(l.outageEnd).Seconds())
	}
	slices.Sort(delays)
	return delays
}

// runReconnects disconnects many clients from the only app server and measures how they reconnect.
func (run *experimentRun) runReconnects(note func(*rig.Checker)) error {
	clients, outage := 1000, run.scaled(6*time.Second)
	if run.shortForm {
		clients = 50
	}
	checker := rig.NewChecker(4 * slack) // 1000 clients in one process delay each other
	fleet, err := rig.NewFleet(run.Program, 1, requestMixSite(time.Second), checker)
	if err != nil {
		return err
	}
	defer fleet.Close()
	log := &reconnectLog{}
	callers, err := run.reconnectCallers(clients, fleet.Addresses(), log)
	for _, c := range callers {
		defer c.Close()
	}
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	load := rig.Load{Seed: run.Seed, Rate: func(float64) float64 { return float64(clients) / 5 }, Duration: time.Minute,
		Shares: requestMix(0.0005, time.Second), Prefix: "a"}
	var loadDone sync.WaitGroup
	var outcome rig.Outcome
	loadDone.Go(func() { outcome = load.Run(ctx, checker, callers...) })
	time.Sleep(2500 * time.Millisecond)
	fleet.Proxies[0].SetDown(true)
	time.Sleep(outage)
	log.endOutage()
	fleet.Proxies[0].SetDown(false)
	log.waitFor(clients)
	cancel()
	loadDone.Wait()
	if err := run.checkReconnects(log.delays(), clients); err != nil {
		return err
	}
	run.report("reconnect.ok.share", float64(outcome.OK)/float64(max(outcome.Requested, 1)))
	note(checker)
	return nil
}

// reconnectCallers creates clients of an app server whose connections are recorded in log. The caller must close the
// returned clients, also after an error.
func (run *experimentRun) reconnectCallers(clients int, addresses []string, log *reconnectLog) ([]rig.Caller, error) {
	kinds := kindsOf(requestMix(0, 0))
	var callers []rig.Caller
	for k := range clients {
		c, err := client.New(client.Servers(addresses...), client.Seed(run.Seed*1_000_003+uint64(k)+1),
			client.StartSpread(2*time.Second), client.Dialer(log.dialer()))
		if err != nil {
			return callers, err
		}
		callers = append(callers, clientCaller{c, kinds})
	}
	return callers, nil
}

// checkReconnects checks the sorted delays, in seconds, after which clients reconnected.
func (run *experimentRun) checkReconnects(delays []float64, clients int) error {
	if len(delays) < clients/2 {
		return fmt.Errorf("only %d of %d clients reconnected after the outage", len(delays), clients)
	}
	if !run.shortForm { // the short form has too few clients for a distribution
		run.atLeast("reconnect.spread.s", delays[len(delays)*95/100]-delays[len(delays)*5/100], 3)
		run.atMost("reconnect.most.in.100ms", float64(maxWithin(delays, reconnectWindow.Seconds()))/float64(clients), 0.05)
	}
	run.exactly("reconnect.back", float64(len(delays)), float64(clients))
	run.atMost("reconnect.last.s", delays[len(delays)-1], reconnectTimeout.Seconds())
	return nil
}

// maxWithin returns the maximum number of times that lie within any interval shorter than span. The times are sorted; all
// values are in seconds.
func maxWithin(times []float64, span float64) int {
	highest := 0
	for first, last := 0, 0; last < len(times); last++ {
		for times[last]-times[first] >= span {
			first++
		}
		highest = max(highest, last-first+1)
	}
	return highest
}
