package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"valveglade/rig"
	"valveglade/rig/drawn"
	"valveglade/rpc"
)

// Parameters of the load of a trial.
const (
	unboundedWait = time.Hour              // caller's timeout where neither the RPC nor its method sets one
	meanCopyDelay = 50 * time.Millisecond  // mean delay of a second copy after the first try
	windowMargin  = 300 * time.Millisecond // no retries so shortly before the end of the token window, as this process may be late
	minEasyRPCs   = 20                     // minimum number of easy RPCs for checking that at least one is served
)

// trialMethod is a method with the deadline and the token window of its settings.
type trialMethod struct {
	drawn.Method
	deadline, window time.Duration
}

// outcomeCounts counts the outcomes of the RPCs of one app server.
type outcomeCounts struct {
	mu       sync.Mutex
	total    int
	byResult map[string]int
	easy     int // RPCs for which isEasy holds, without the canceled and failing ones
	served   int // easy RPCs that were served
}

// generateLoad sends RPCs until ctx ends.
func (s *trialServer) generateLoad(ctx context.Context) {
	var generators sync.WaitGroup
	methods := s.methods()
	for k, peer := range s.peers {
		random := rand.New(rand.NewPCG(s.testCase.Seed+uint64(s.number)<<32, uint64(k)))
		rate := s.testCase.Load.Rate / float64(len(s.peers))
		generators.Go(func() {
			var pending sync.WaitGroup
			defer pending.Wait()
			for n := 0; ctx.Err() == nil; n++ {
				sleepContext(ctx, secondsToDuration(random.ExpFloat64()/rate))
				// Routers send requests only after the app server has answered a health check, and not while it is paused.
				if s.probe.HealthyAt().IsZero() || s.isPaused() {
					continue
				}
				call := s.newCall(peer, methods[random.IntN(len(methods))], random, fmt.Sprintf("%s-%d-%d", s.program.Name, k, n))
				pending.Go(func() { call.execute(ctx) })
			}
		})
	}
	generators.Wait()
}

// methods returns the methods of the settings, with times of at most unboundedWait.
func (t *trial) methods() []trialMethod {
	var methods []trialMethod
	for k, method := range t.testCase.Settings.Methods {
		decoded := t.decoded.Settings.Profiles[k]
		methods = append(methods, trialMethod{method, secondsToDuration(min(decoded.DeadlineS, unboundedWait.Seconds())),
			secondsToDuration(min(decoded.WindowS, unboundedWait.Seconds()))})
	}
	return methods
}

// isPaused reports whether the process is paused by a fault.
func (s *trialServer) isPaused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.paused
}

// trialCall is one RPC of the load, with all its tries.
type trialCall struct {
	*trialServer
	peer         *rig.Peer
	method       trialMethod
	id, token    string
	body         []byte
	work         float64 // seconds of processor time
	result       []byte
	fails        bool
	ownTimeout   time.Duration // caller's timeout if shorter than the method's deadline; 0 if not
	receivedAt   time.Time
	deadline     time.Time
	cancelAfter  time.Duration // delay until the caller cancels; 0 for never
	copyAfter    time.Duration // delay until a second copy is sent; 0 for never
	criticality  float64
	killsAtStart int64 // kills of the app server before the first try

	mu               sync.Mutex
	retriesForbidden bool // a reply has excluded further tries
}

// newCall draws an RPC of a method, to be sent through peer.
func (s *trialServer) newCall(peer *rig.Peer, method trialMethod, random *rand.Rand, id string) *trialCall {
	load := s.testCase.Load
	if load.PaddingBytes > 0 {
		id += "-" + strings.Repeat("x", load.PaddingBytes)
	}
	c := &trialCall{trialServer: s, peer: peer, method: method, id: id, criticality: random.Float64(),
		killsAtStart: s.killCount.Load()}
	c.body = rig.EncodeBody(id, 0)
	c.work = min(method.Work*random.ExpFloat64(), 5*method.Work)
	if load.ResultBytes > 0 {
		c.result = bytes.Repeat([]byte(id[:1]), load.ResultBytes)
		copy(c.result, id)
	}
	c.fails = random.Float64() < load.FailShare
	if method.Kind == string(rpc.Tokened) {
		c.token = fmt.Sprintf("%016x%016x", random.Uint64(), random.Uint64())
	}
	if random.Float64() < load.OddShare {
		c.makeUnusual(random)
	}
	now := time.Now()
	c.receivedAt = now.Add(-secondsToDuration(load.StaleSeconds * random.Float64())).Truncate(time.Millisecond)
	c.deadline = laterOf(c.receivedAt.Add(c.timeout()), now)
	if random.Float64() < load.AbandonShare {
		c.cancelAfter = time.Duration(random.Float64() * float64(min(c.timeout(), 2*time.Second)))
	}
	if method.Kind != string(rpc.NonIdempotent) && random.Float64() < load.RepeatShare {
		c.copyAfter = 1 + time.Duration(random.ExpFloat64()*float64(meanCopyDelay))
	}
	return c
}

// maxBodyBytes is the protocol's limit for request bodies.
const maxBodyBytes = 2048

// makeUnusual gives the RPC a body of random bytes, a short timeout of its caller, or a token that RPCs of other methods carry
// as well.
func (c *trialCall) makeUnusual(random *rand.Rand) {
	switch random.IntN(3) {
	case 0:
		c.body = make([]byte, randomElement(random, []int{0, 1, random.IntN(maxBodyBytes), maxBodyBytes}))
		for k := range c.body {
			c.body[k] = byte(random.Uint32())
		}
	case 1:
		c.ownTimeout = max(time.Duration(random.Float64()*float64(min(c.timeout(), time.Second))), time.Millisecond)
		c.deadline = laterOf(c.receivedAt.Add(c.timeout()), time.Now())
	default:
		c.token = fmt.Sprintf("%032x", random.IntN(sharedTokenCount))
		c.copyAfter = 0
	}
}

// sharedTokenCount is the number of tokens that RPCs of different methods share.
const sharedTokenCount = 10

// randomElement returns an element of from, drawn uniformly.
func randomElement[T any](random *rand.Rand, from []T) T { return from[random.IntN(len(from))] }

// timeout returns how long the caller waits: its own timeout if routers pass deadlines on, else the method's deadline if it
// has one, else unboundedWait.
func (c *trialCall) timeout() time.Duration {
	if c.ownTimeout > 0 && c.decoded.PassesDeadline() {
		return c.ownTimeout
	}
	if c.method.deadline > 0 {
		return c.method.deadline
	}
	return unboundedWait
}

// peerTry returns the try as the router sends it.
func (c *trialCall) peerTry(isRetry bool) rig.PeerTry {
	return rig.PeerTry{RPC: c.id, Method: c.method.Name, Token: c.token, Body: c.body, ReceivedAt: c.receivedAt,
		Timeout: c.timeout(), Criticality: c.criticality, IsRetry: isRetry, Work: c.work, Result: c.result, Fails: c.fails}
}

// execute sends the RPC, and a second copy if one was drawn, and waits until it has its outcome or the trial ends.
func (c *trialCall) execute(ctx context.Context) {
	var tries sync.WaitGroup
	if c.copyAfter > 0 {
		tries.Go(func() {
			sleepContext(ctx, c.copyAfter)
			if ctx.Err() == nil && c.mayRetry() {
				c.sendTry(ctx, true)
			}
		})
	}
	outcome, sent := c.sendTry(ctx, false)
	if sent && errors.Is(outcome.Err, rig.ErrLost) && outcome.ClosedInFlight && c.mayRetry() {
		outcome, _ = c.sendTry(ctx, true)
	}
	tries.Wait()
	c.outcomes.record(c, outcome, sent)
}

// mayRetry reports whether the RPC may be sent again: no reply has excluded it, the app server's process has not ended since
// the first try, the deadline has not passed, and a token is still within its window.
func (c *trialCall) mayRetry() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.retriesForbidden || c.killsAtStart != c.killCount.Load() || !now.Before(c.deadline) {
		return false
	}
	return c.token == "" || now.Before(c.receivedAt.Add(c.method.window-windowMargin))
}

// sendTry sends one try and waits for its outcome. It reports false if the try could not be sent.
func (c *trialCall) sendTry(ctx context.Context, isRetry bool) (rig.PeerOutcome, bool) {
	call, err := c.peer.Send(c.peerTry(isRetry))
	if err != nil {
		return rig.PeerOutcome{Err: err}, false
	}
	cancelTimer := make(<-chan time.Time)
	if c.cancelAfter > 0 && !isRetry {
		timer := time.NewTimer(c.cancelAfter)
		defer timer.Stop()
		cancelTimer = timer.C
	}
	for {
		select {
		case outcome := <-call.Done:
			c.recordReply(outcome)
			return outcome, true
		case <-cancelTimer:
			call.Cancel()
			cancelTimer = nil
		case <-ctx.Done(): // replies may still arrive until the app server is stopped; the checker sees them
			return rig.PeerOutcome{Err: ctx.Err()}, true
		}
	}
}

// recordReply records whether a reply excludes further tries.
func (c *trialCall) recordReply(outcome rig.PeerOutcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retriesForbidden = c.retriesForbidden || outcome.NoRetry || outcome.RetryAfter > 0 || outcome.Err == nil
}

// record counts an RPC's outcome.
func (o *outcomeCounts) record(c *trialCall, outcome rig.PeerOutcome, sent bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byResult == nil {
		o.byResult = map[string]int{}
	}
	o.total++
	result := "served"
	if outcome.Err != nil {
		result = outcome.Err.Error()
	}
	o.byResult[result]++
	if sent && !errors.Is(outcome.Err, context.Canceled) && c.cancelAfter == 0 && !c.fails && c.isEasy() {
		o.easy++
		if outcome.Err == nil {
			o.served++
		}
	}
}

// isEasy reports whether an app server without faults has ample capacity for the RPC: a deadline of at least a second, little
// work, no calls to the layer below, and a low load.
func (c *trialCall) isEasy() bool {
	domain := c.decoded.Settings.Domain
	meanWork := 0.0
	for _, m := range c.testCase.Settings.Methods {
		meanWork += m.Work / float64(len(c.testCase.Settings.Methods))
	}
	return c.timeout() >= time.Second && c.method.Work <= 0.02 && !c.method.Calls &&
		domain.MemoryKB >= 64000 && domain.RunFactor <= 4 &&
		c.testCase.Load.Rate*meanWork < 0.5*max(domain.NCores, 1) && domain.EntryKB <= 1
}

// checkServed reports a violation if the app server served no easy RPC although it had no fault, or answered no bad client.
func (o *outcomeCounts) checkServed(s *trialServer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !s.hadFault && o.easy >= minEasyRPCs && o.served == 0 {
		s.violate("rule 1: %s served none of %d RPCs that it has capacity for: %v", s.program.Name, o.easy, o.byResult)
	}
	if s.badClientMessagesAnswered == 0 && len(s.badClientMessagesIgnored) > 0 {
		s.violate("rule 4: %s sent no reply to any bad client: %v", s.program.Name, s.badClientMessagesIgnored)
	}
}

// sleepContext sleeps for d, or until ctx ends.
func sleepContext(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
