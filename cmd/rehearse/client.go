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

// careful is the client as a caller of the rig's loads.
type careful struct {
	*client.Client
	kinds map[string]rpc.Kind
}

func (c careful) Call(ctx context.Context, method, token string, criticality float64, body []byte) ([]byte, error) {
	opts := []client.CallOption{client.As(client.Method{Kind: c.kinds[method], Criticality: criticality})}
	if token != "" {
		opts = append(opts, client.Token(token))
	}
	r, err := c.Client.Call(ctx, method, body, opts...)
	return r.Body, err
}

// slack is beside each time that the checker looks at: the platform's own 50 ms.
const slack = 50 * time.Millisecond

// shop is the mix that experiments ask for: lookups, checks that are tokened, and what must not run twice at all.
func shop(work float64, deadline time.Duration) []rig.Share {
	return []rig.Share{
		{Method: "lookup", Kind: rpc.Idempotent, Criticality: 0.2, Part: 0.6, Work: work, Deadline: deadline},
		{Method: "record", Kind: rpc.Tokened, Criticality: 0.9, Part: 0.25, Work: work, Deadline: deadline},
		{Method: "notify", Kind: rpc.NonIdempotent, Criticality: 0.5, Part: 0.15, Work: work, Deadline: deadline},
	}
}

func shopSite(deadline time.Duration) rig.Site {
	d := deadline.Seconds()
	return rig.Site{Cores: 2, MemoryMB: 192, Sockets: 8192, StopTimeout: 1200 * time.Millisecond, GracePeriod: time.Second, Callers: 16, MarksRetry: true,
		MaxRetryAfterSeconds: 5, Methods: []rig.SiteMethod{
			{Name: "lookup", Kind: string(rpc.Idempotent), LatencyTarget: d / 2, Deadline: d, Criticality: 1},
			{Name: "record", Kind: string(rpc.Tokened), LatencyTarget: d / 2, Deadline: d, Window: 60, Criticality: 5},
			{Name: "notify", Kind: string(rpc.NonIdempotent), LatencyTarget: d / 2, Deadline: d, Criticality: 2}}}
}

func kindsOf(shares []rig.Share) map[string]rpc.Kind {
	kinds := map[string]rpc.Kind{}
	for _, s := range shares {
		kinds[s.Method] = s.Kind
	}
	return kinds
}

// descriptors is how many this process has open.
func descriptors() int {
	all, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return 0
	}
	return len(all)
}

// playClient is the experiment on the client library.
func playClient(p *play) error {
	rig.StartSpawner()
	goroutines, open := runtime.NumGoroutine(), descriptors()
	var violations violationLog
	sums := map[string]float64{}
	note := func(c *rig.Checker) {
		violations.collect(c)
		for _, name := range []string{"refused.retried", "late.sent", "double.runs", "unanswered"} {
			sums[name] += float64(c.Count(name))
		}
	}
	if err := p.reconnects(note); err != nil {
		return err
	}
	if err := p.halfOut(note); err != nil {
		return err
	}
	if err := p.hardCases(note); err != nil {
		return err
	}
	for _, name := range []string{"refused.retried", "late.sent", "double.runs", "unanswered"} {
		p.exactly(name, sums[name], 0)
	}
	violations.report(p)
	// What a closed socket's owner still has to do takes a moment.
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end) &&
		(runtime.NumGoroutine() > goroutines || descriptors() > open); {
		time.Sleep(10 * time.Millisecond)
	}
	p.exactly("leaked.goroutines", float64(max(runtime.NumGoroutine()-goroutines, 0)), 0)
	// The first use of the network keeps descriptors of Go's own: the poller's.
	p.exactly("leaked.descriptors", float64(max(descriptors()-open-ownDescriptors, 0)), 0)
	if p.brief {
		return nil
	}
	return p.overhead()
}

// ownDescriptors are Go's: its poller, the event that wakes it.
const ownDescriptors = 4
