package main

import (
	"context"
	"os"
	"runtime"
	"time"

	"valveglade/client"
	"valveglade/rig"
	"valveglade/rpc"
)

// clientCaller adapts the client library to rig.Caller, through which the rig's loads call.
type clientCaller struct {
	*client.Client
	kinds map[string]rpc.Kind
}

// Call implements rig.Caller.
func (c clientCaller) Call(ctx context.Context, method, token string, criticality float64, body []byte) ([]byte, error) {
	options := []client.CallOption{client.As(client.Method{Kind: c.kinds[method], Criticality: criticality})}
	if token != "" {
		options = append(options, client.Token(token))
	}
	reply, err := c.Client.Call(ctx, method, body, options...)
	return reply.Body, err
}

// slack is the tolerance for times: the platform itself may be 50 ms late.
const slack = 50 * time.Millisecond

// requestMix returns the load of the experiments: idempotent lookups, tokened records, and notifications that must not run
// twice. work is the mean in seconds on a core.
func requestMix(work float64, deadline time.Duration) []rig.Share {
	return []rig.Share{
		{Method: "lookup", Kind: rpc.Idempotent, Criticality: 0.2, Fraction: 0.6, Work: work, Deadline: deadline},
		{Method: "record", Kind: rpc.Tokened, Criticality: 0.9, Fraction: 0.25, Work: work, Deadline: deadline},
		{Method: "notify", Kind: rpc.NonIdempotent, Criticality: 0.5, Fraction: 0.15, Work: work, Deadline: deadline},
	}
}

// requestMixSite returns the settings of an app server that serves requestMix.
func requestMixSite(deadline time.Duration) rig.Site {
	deadlineSeconds := deadline.Seconds()
	return rig.Site{Cores: 2, MemoryMB: 192, Sockets: 8192, StopTimeout: 1200 * time.Millisecond, GracePeriod: time.Second,
		Callers: 16, MarksRetry: true, MaxRetryAfterSeconds: 5, Methods: []rig.SiteMethod{
			{Name: "lookup", Kind: string(rpc.Idempotent), LatencyTarget: deadlineSeconds / 2, Deadline: deadlineSeconds,
				Criticality: 1},
			{Name: "record", Kind: string(rpc.Tokened), LatencyTarget: deadlineSeconds / 2, Deadline: deadlineSeconds,
				Window: 60, Criticality: 5},
			{Name: "notify", Kind: string(rpc.NonIdempotent), LatencyTarget: deadlineSeconds / 2, Deadline: deadlineSeconds,
				Criticality: 2}}}
}

// kindsOf returns the kind of each method of the shares.
func kindsOf(shares []rig.Share) map[string]rpc.Kind {
	kinds := map[string]rpc.Kind{}
	for _, s := range shares {
		kinds[s.Method] = s.Kind
	}
	return kinds
}

// openDescriptors returns how many descriptors this process has open, or 0 if they cannot be listed.
func openDescriptors() int {
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return 0
	}
	return len(entries)
}

// runClient runs the experiment on the client library: outages, refusals, reconnects, rare faults and overhead.
func runClient(run *experimentRun) error {
	rig.StartSpawner()
	goroutinesBefore, descriptorsBefore := runtime.NumGoroutine(), openDescriptors()
	var violations violationLog
	counts := map[string]float64{}
	note := func(c *rig.Checker) {
		violations.collect(c)
		for _, name := range []string{"refused.retried", "late.sent", "double.runs", "unanswered"} {
			counts[name] += float64(c.Count(name))
		}
	}
	if err := run.runReconnects(note); err != nil {
		return err
	}
	if err := run.runHalfOutage(note); err != nil {
		return err
	}
	if err := run.runUncommonFaults(note); err != nil {
		return err
	}
	for _, name := range []string{"refused.retried", "late.sent", "double.runs", "unanswered"} {
		run.exactly(name, counts[name], 0)
	}
	violations.report(run)
	// The goroutines of closed connections end asynchronously.
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end) &&
		(runtime.NumGoroutine() > goroutinesBefore || openDescriptors() > descriptorsBefore); {
		time.Sleep(10 * time.Millisecond)
	}
	run.exactly("leaked.goroutines", float64(max(runtime.NumGoroutine()-goroutinesBefore, 0)), 0)
	// The Go runtime opens descriptors for its network poller at the first use and keeps them.
	run.exactly("leaked.descriptors", float64(max(openDescriptors()-descriptorsBefore-runtimeDescriptors, 0)), 0)
	if run.shortForm {
		return nil
	}
	return run.measureOverhead()
}

// runtimeDescriptors is the allowance for descriptors of the Go runtime: its poller and the event that wakes it.
const runtimeDescriptors = 4
