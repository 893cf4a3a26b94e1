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

// The fleet and the load of runHalfOutage. Half of the app servers have slightly too little capacity for the rate.
const (
	halfOutageClients  = 16
	halfOutageServers  = 4
	halfOutageRate     = 440.0 // RPCs per second
	halfOutageDeadline = 800 * time.Millisecond
)

// halfOutageResult is the result of runHalfOutage for one kind of client.
type halfOutageResult struct {
	outcome rig.Outcome
	checker *rig.Checker
}

// triesPerRPC returns the mean number of tries of an RPC.
func (r halfOutageResult) triesPerRPC() float64 {
	return float64(r.checker.Count("tries")) / float64(r.outcome.Requested)
}

// runHalfOutage kills half of the app servers for some seconds and compares the client library with the naive client. Each
// kind of client has its own fleet; both run concurrently.
func (run *experimentRun) runHalfOutage(note func(*rig.Checker)) error {
	var library, naive halfOutageResult
	var errLibrary, errNaive error
	var measurements sync.WaitGroup
	measurements.Go(func() {
		library, errLibrary = run.measureHalfOutage(func(k int, addresses []string) (rig.Caller, error) {
			c, err := client.New(client.Servers(addresses...), client.Seed(run.Seed*7919+uint64(k)+1))
			return clientCaller{c, kindsOf(requestMix(0, 0))}, err
		})
	})
	measurements.Go(func() {
		naive, errNaive = run.measureHalfOutage(func(k int, addresses []string) (rig.Caller, error) {
			return rig.NewNaiveClient(100+k, addresses...), nil
		})
	})
	measurements.Wait()
	if err := errors.Join(errLibrary, errNaive); err != nil {
		return err
	}
	run.atMost("tries.per.rpc", library.triesPerRPC(), 1.10)
	run.report("naive.tries.per.rpc", naive.triesPerRPC())
	run.atLeast("criticality.served", library.outcome.Criticality, math.Floor(naive.outcome.Criticality*1e4)/1e4)
	run.report("naive.criticality.served", naive.outcome.Criticality)
	run.report("naive.double.runs", float64(naive.checker.Count("double.runs")))
	for name, m := range library.outcome.ByMethod {
		run.printNote("%s: %d of %d ok, p99 %.0f ms; naive: %d of %d", name, m.OK, m.Requested,
			float64(m.Latencies.ValueAtQuantile(99))/1000, naive.outcome.ByMethod[name].OK,
			naive.outcome.ByMethod[name].Requested)
	}
	note(library.checker)
	return nil
}

// measureHalfOutage runs the outage with one kind of client.
func (run *experimentRun) measureHalfOutage(
	newCaller func(k int, addresses []string) (rig.Caller, error),
) (r halfOutageResult, err error) {
	length := run.scaled(8 * time.Second)
	r.checker = rig.NewChecker(2 * slack)
	fleet, err := rig.NewFleet(run.Program, halfOutageServers, requestMixSite(halfOutageDeadline), r.checker)
	if err != nil {
		return r, err
	}
	defer fleet.Close()
	var callers []rig.Caller
	for k := range halfOutageClients {
		c, err := newCaller(k, fleet.Addresses())
		if err != nil {
			return r, err
		}
		defer c.Close()
		callers = append(callers, c)
	}
	var outage sync.WaitGroup
	var errOutage error
	outage.Go(func() { errOutage = killHalf(fleet, length) })
	r.outcome = rig.Load{Seed: run.Seed, Rate: func(float64) float64 { return halfOutageRate }, Duration: length, Prefix: "b",
		Shares: requestMix(0.01, halfOutageDeadline)}.Run(context.Background(), r.checker, callers...)
	outage.Wait()
	return r, errOutage
}

// killHalf kills half of the fleet's processes after a quarter of length and starts them again after three quarters.
func killHalf(fleet *rig.Fleet, length time.Duration) error {
	half := fleet.Programs[:len(fleet.Programs)/2]
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

// runUncommonFaults runs the cases that are rare with real app servers: app servers that do not reply, replies that arrive a
// few bytes at a time, an empty list of app servers, deadlines shorter than a round trip, several seconds in which every RPC
// is refused, and a refusal that arrives just before the deadline.
func (run *experimentRun) runUncommonFaults(note func(*rig.Checker)) error {
	checker := rig.NewChecker(2 * slack)
	fleet, err := rig.NewFleet(run.Program, 3, requestMixSite(500*time.Millisecond), checker)
	if err != nil {
		return err
	}
	defer fleet.Close()
	listUpdates := make(chan []string, 1)
	current := fleet.Addresses()
	resolve := func(context.Context) ([]string, error) {
		select {
		case current = <-listUpdates:
		default:
		}
		return current, nil
	}
	c, err := client.New(client.Resolver(100*time.Millisecond, resolve), client.Seed(run.Seed))
	if err != nil {
		return err
	}
	defer c.Close()
	load := func(prefix string, rate float64, length, deadline time.Duration) rig.Outcome {
		return rig.Load{Seed: run.Seed, Rate: func(float64) float64 { return rate }, Duration: length, Prefix: prefix,
			Shares: requestMix(0.004, deadline)}.Run(context.Background(), checker, clientCaller{c, kindsOf(requestMix(0, 0))})
	}
	var faults sync.WaitGroup
	faults.Go(func() {
		time.Sleep(500 * time.Millisecond)
		fleet.Proxies[0].SetBlackhole(true) // accept connections and never reply
		fleet.Proxies[1].TrickleReplies(7)
		listUpdates <- nil // the list of app servers is empty for a while
		time.Sleep(2 * time.Second)
		listUpdates <- fleet.Addresses()
		fleet.Proxies[0].SetBlackhole(false)
		fleet.Proxies[1].TrickleReplies(0)
	})
	outcome := load("c", 120, 4*time.Second, 500*time.Millisecond) // the faults last for the first 2.5 s
	faults.Wait()
	run.atLeast("silent.and.trickling.ok", float64(outcome.OK)/float64(outcome.Requested), 0.9)
	// With deadlines shorter than a round trip nothing may be sent late, and every RPC must end.
	fleet.Proxies[0].SetDelay(5 * time.Millisecond)
	short := load("d", 150, time.Second, 2*time.Millisecond)
	run.report("short.deadlines.ok", float64(short.OK)/float64(short.Requested))
	fleet.Proxies[0].SetDelay(0)
	note(checker)
	return run.runRefusals()
}
