package main

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"runtime"
	"slices"
	"sync"
	"time"

	"valveglade/client"
	"valveglade/internal/thrift"
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
	return rig.Site{Cores: 2, MemoryMB: 192, Sockets: 8192, Stop: 1200 * time.Millisecond, Grace: time.Second, Callers: 16, Marks: true,
		MaxAfter: 5, Methods: []rig.SiteMethod{
			{Name: "lookup", Kind: string(rpc.Idempotent), Target: d / 2, Deadline: d, Criticality: 1},
			{Name: "record", Kind: string(rpc.Tokened), Target: d / 2, Deadline: d, Window: 60, Criticality: 5},
			{Name: "notify", Kind: string(rpc.NonIdempotent), Target: d / 2, Deadline: d, Criticality: 2}}}
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
	rig.Prepare()
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
