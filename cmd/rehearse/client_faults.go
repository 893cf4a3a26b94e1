package main

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"valveglade/client"
	"valveglade/rig"
)

// The fleet and load of halfOut: half of these app servers cannot quite carry the rate.
const (
	halfOutClients  = 16
	halfOutServers  = 4
	halfOutRate     = 440.0 // RPCs per second
	halfOutDeadline = 800 * time.Millisecond
)

// halfOutResult is what one kind of client made of the outage.
type halfOutResult struct {
	out   rig.Outcome
	check *rig.Checker
}

// triesPerRPC returns the mean number of tries of an RPC.
func (r halfOutResult) triesPerRPC() float64 {
	return float64(r.check.Count("tries")) / float64(r.out.Asked)
}

// halfOut kills half the app servers for some seconds, with the careful client and with the naive one, each with a
// fleet of its own, at the same time.
func (p *play) halfOut(note func(*rig.Checker)) error {
	var good, bad halfOutResult
	var errGood, errBad error
	var both sync.WaitGroup
	both.Go(func() {
		good, errGood = p.halfOutOf(func(k int, addresses []string) (rig.Caller, error) {
			c, err := client.New(client.Servers(addresses...), client.Seed(p.Seed*7919+uint64(k)+1))
			return careful{c, kindsOf(shop(0, 0))}, err
		})
	})
	both.Go(func() {
		bad, errBad = p.halfOutOf(func(k int, addresses []string) (rig.Caller, error) {
			return rig.NewNaiveClient(100+k, addresses...), nil
		})
	})
	both.Wait()
	if err := errors.Join(errGood, errBad); err != nil {
		return err
	}
	p.atMost("tries.per.rpc", good.triesPerRPC(), 1.10)
	p.inform("naive.tries.per.rpc", bad.triesPerRPC())
	p.atLeast("criticality.served", good.out.Criticality, math.Floor(bad.out.Criticality*1e4)/1e4)
	p.inform("naive.criticality.served", bad.out.Criticality)
	p.inform("naive.double.runs", float64(bad.check.Count("double.runs")))
	for name, m := range good.out.ByMethod {
		p.say("%s: %d of %d ok, p99 %.0f ms; naive: %d of %d", name, m.OK, m.Asked, float64(m.Times.ValueAtQuantile(99))/1000,
			bad.out.ByMethod[name].OK, bad.out.ByMethod[name].Asked)
	}
	note(good.check)
	return nil
}

// halfOutOf plays the outage with one kind of client.
func (p *play) halfOutOf(newCaller func(k int, addresses []string) (rig.Caller, error)) (r halfOutResult, err error) {
	length := p.span(8 * time.Second)
	r.check = rig.NewChecker(2 * slack)
	f, err := rig.NewFleet(p.Program, halfOutServers, shopSite(halfOutDeadline), r.check)
	if err != nil {
		return r, err
	}
	defer f.Close()
	var callers []rig.Caller
	for k := range halfOutClients {
		c, err := newCaller(k, f.Addresses())
		if err != nil {
			return r, err
		}
		defer c.Close()
		callers = append(callers, c)
	}
	var outage sync.WaitGroup
	var errOutage error
	outage.Go(func() { errOutage = killHalf(f, length) })
	r.out = rig.Load{Seed: p.Seed, Rate: func(float64) float64 { return halfOutRate }, Length: length, Prefix: "b",
		Shares: shop(0.01, halfOutDeadline)}.Run(context.Background(), r.check, callers...)
	outage.Wait()
	return r, errOutage
}

// killHalf kills half of a fleet's programs after a quarter of a time, and starts them again after three quarters.
func killHalf(f *rig.Fleet, length time.Duration) error {
	half := f.Programs[:len(f.Programs)/2]
	time.Sleep(length / 4)
	for _, program := range half {
		program.Kill()
	}
	time.Sleep(length / 2)
	var errs []error
	for _, program := range half {
		errs = append(errs, program.Start())
	}
	return errors.Join(errs...)
}

// hardCases plays what a real app server does seldom: silence, trickles, ten seconds of refusals, a refusal that comes
// as the deadline ends, deadlines shorter than a round trip, a list that goes empty.
func (p *play) hardCases(note func(*rig.Checker)) error {
	check := rig.NewChecker(2 * slack)
	f, err := rig.NewFleet(p.Program, 3, shopSite(500*time.Millisecond), check)
	if err != nil {
		return err
	}
	defer f.Close()
	list := make(chan []string, 1)
	current := f.Addresses()
	resolve := func(context.Context) ([]string, error) {
		select {
		case current = <-list:
		default:
		}
		return current, nil
	}
	c, err := client.New(client.Resolver(100*time.Millisecond, resolve), client.Seed(p.Seed))
	if err != nil {
		return err
	}
	defer c.Close()
	load := func(prefix string, rate float64, length, deadline time.Duration) rig.Outcome {
		return rig.Load{Seed: p.Seed, Rate: func(float64) float64 { return rate }, Length: length, Prefix: prefix,
			Shares: shop(0.004, deadline)}.Run(context.Background(), check, careful{c, kindsOf(shop(0, 0))})
	}
	var trouble sync.WaitGroup
	trouble.Go(func() {
		time.Sleep(500 * time.Millisecond)
		f.Proxies[0].Deaf(true) // accepts and never answers
		f.Proxies[1].Trickle(7)
		list <- nil // the list is empty for a while
		time.Sleep(2 * time.Second)
		list <- f.Addresses()
		f.Proxies[0].Deaf(false)
		f.Proxies[1].Trickle(0)
	})
	out := load("c", 120, 4*time.Second, 500*time.Millisecond) // the trouble takes the first 2.5 s
	trouble.Wait()
	p.atLeast("silent.and.trickling.ok", float64(out.OK)/float64(out.Asked), 0.9)
	// Shorter than a round trip: nothing may be sent late, and all must end.
	f.Proxies[0].Delay(5 * time.Millisecond)
	short := load("d", 150, time.Second, 2*time.Millisecond)
	p.inform("short.deadlines.ok", float64(short.OK)/float64(short.Asked))
	f.Proxies[0].Delay(0)
	note(check)
	return p.refusals()
}
