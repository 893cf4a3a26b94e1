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

// halfOut kills half the app servers for some seconds, with the careful client and with the naive one, each with a
// fleet of its own, at the same time.
func (p *play) halfOut(note func(*rig.Checker)) error {
	const clients, servers = 16, 4
	length := p.span(8 * time.Second)
	deadline := 800 * time.Millisecond
	type side struct {
		out   rig.Outcome
		check *rig.Checker
		err   error
	}
	var good, bad side
	one := func(s *side, make func(k int, addresses []string) (rig.Caller, error)) {
		s.check = rig.NewChecker(2 * slack)
		f, err := rig.NewFleet(p.Program, servers, shopSite(deadline), s.check)
		if err != nil {
			s.err = err
			return
		}
		defer f.Close()
		var callers []rig.Caller
		for k := range clients {
			c, err := make(k, f.Addresses())
			if err != nil {
				s.err = err
				return
			}
			defer c.Close()
			callers = append(callers, c)
		}
		var trouble sync.WaitGroup
		trouble.Go(func() {
			time.Sleep(length / 4)
			for k := range servers / 2 {
				f.Programs[k].Kill()
			}
			time.Sleep(length / 2)
			for k := range servers / 2 {
				if err := f.Programs[k].Start(); err != nil {
					s.err = errors.Join(s.err, err)
				}
			}
		})
		// Two of four app servers cannot quite carry this.
		s.out = rig.Load{Seed: p.Seed, Rate: func(float64) float64 { return 440 }, Length: length, Prefix: "b",
			Shares: shop(0.01, deadline)}.Run(context.Background(), s.check, callers...)
		trouble.Wait()
	}
	var both sync.WaitGroup
	both.Go(func() {
		one(&good, func(k int, addresses []string) (rig.Caller, error) {
			c, err := client.New(client.Servers(addresses...), client.Seed(p.Seed*7919+uint64(k)+1))
			return careful{c, kindsOf(shop(0, 0))}, err
		})
	})
	both.Go(func() {
		one(&bad, func(k int, addresses []string) (rig.Caller, error) {
			return rig.NewNaiveClient(100+k, addresses...), nil
		})
	})
	both.Wait()
	if err := errors.Join(good.err, bad.err); err != nil {
		return err
	}
	tries := func(s side) float64 { return float64(s.check.Count("tries")) / float64(s.out.Asked) }
	p.atMost("tries.per.rpc", tries(good), 1.10)
	p.inform("naive.tries.per.rpc", tries(bad))
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
		f.Nets[0].Deaf(true) // accepts and never answers
		f.Nets[1].Trickle(7)
		list <- nil // the list is empty for a while
		time.Sleep(2 * time.Second)
		list <- f.Addresses()
		f.Nets[0].Deaf(false)
		f.Nets[1].Trickle(0)
	})
	out := load("c", 120, 4*time.Second, 500*time.Millisecond) // the trouble takes the first 2.5 s
	trouble.Wait()
	p.atLeast("silent.and.trickling.ok", float64(out.OK)/float64(out.Asked), 0.9)
	// Shorter than a round trip: nothing may be sent late, and all must end.
	f.Nets[0].Delay(5 * time.Millisecond)
	short := load("d", 150, time.Second, 2*time.Millisecond)
	p.inform("short.deadlines.ok", float64(short.OK)/float64(short.Asked))
	f.Nets[0].Delay(0)
	note(check)
	return p.refusals()
}
