// Package client implements a client of app servers that protects them from overload: it sends no more than their
// credit allows, waits out their retry-after delays, retries only RPCs that cannot take effect twice, and spreads its
// reconnects after an outage.
//
//	c, err := client.Dial("10.0.0.4:7001", "10.0.0.5:7001")
//	...
//	defer c.Close()
//	r, err := c.Call(ctx, "checkout", body)
//
// Package logic/attempt makes all decisions. This package owns the sockets, the clock and the goroutines: a reader and
// a writer for each connection, a timer, and watchers of the list of app servers. See docs/client.md.
package client

import (
	"cmp"
	"context"
	crand "crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"valveglade/internal/thrift"
	"valveglade/logic/attempt"
)

// Result is the answer to an RPC that was served.
type Result struct {
	Body   []byte
	Server string // address of the app server that served the RPC
	Tries  int    // number of tries sent
}

// Client calls app servers. It is safe for concurrent use.
type Client struct {
	options
	started     time.Time
	startedUnix float64 // seconds

	mu            sync.Mutex
	dispatcher    *attempt.Dispatcher
	calls         []*call       // by the index of the RPC in the dispatcher
	connections   []*connection // by the index of the connection in the dispatcher
	methodIndexes map[string]int
	closed        bool
	timer         *time.Timer // calls tick
	timerFiresAt  float64
	reported      attempt.Counts // counts already passed to the meter

	ctx        context.Context // canceled by Close
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// call is one open RPC.
type call struct {
	Method
	name   string // of the method
	token  string // identifies a tokened RPC to the app server
	row    string // routing key of a read
	body   []byte
	result []byte               // body of the answer
	reason string               // the app server's reason for an abort
	done   chan attempt.Outcome // receives the outcome; its capacity is 1
	server string               // address of the app server of the last try
}

const (
	defaultDeadline       = 5 * time.Second
	defaultConnectTimeout = 2 * time.Second // for a connect, which takes milliseconds on the platform's links
	maxMethods            = 256             // methods measured separately; all others share one index
	maxTokenBytes         = 128
	maxMethodNameBytes    = 256
)

// Dial returns a client of a fixed list of app servers.
func Dial(servers ...string) (*Client, error) { return New(Servers(servers...)) }

// New returns a client. It starts to connect and does not wait for it: calls wait for a connection until their
// deadline.
func New(opts ...Option) (*Client, error) {
	c := &Client{methodIndexes: map[string]int{}, started: time.Now()}
	c.startedUnix = float64(c.started.UnixNano()) / 1e9
	for _, option := range opts {
		option(&c.options)
	}
	if err := c.validate(); err != nil {
		return nil, err
	}
	c.config.Seed = cmp.Or(c.config.Seed, rand.Uint64())
	c.source = cmp.Or(c.source, 1+rand.IntN(1<<30))
	c.deadline, c.connectTimeout = cmp.Or(c.deadline, defaultDeadline), cmp.Or(c.connectTimeout, defaultConnectTimeout)
	if c.log == nil {
		c.log = zap.NewNop()
	}
	if c.dial == nil {
		c.dial = func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		}
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.dispatcher = attempt.New(c.clock(), c.config)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timer = time.AfterFunc(time.Hour, c.tick)
	if err := c.startWatching(); err != nil {
		c.timer.Stop()
		c.cancel()
		return nil, err
	}
	c.dispatcher.SetServers(c.clock(), c.servers)
	c.performActions()
	return c, nil
}

func (c *Client) validate() error {
	cfg := &c.config
	switch {
	case len(c.servers) == 0 && c.file == "" && c.resolve == nil:
		return errors.New("client: no app servers, file or resolver given")
	case c.resolve != nil && c.resolveInterval <= 0:
		return errors.New("client: interval of the resolver must be positive")
	case cfg.HedgeAfter < 0 || cfg.StartSpread < 0 || cfg.IdleTimeout < 0 || cfg.FirstBackoff < 0 ||
		cfg.MaxBackoff < 0 || c.deadline < 0:
		return errors.New("client: durations must not be negative")
	case cfg.MaxServers < 0 || cfg.MaxConns < 0 || cfg.MaxDials < 0 || cfg.MaxWaiting < 0:
		return errors.New("client: limits must not be negative")
	}
	for name, m := range c.methods {
		if err := m.validate(name); err != nil {
			return fmt.Errorf("client: method %q: %w", name, err)
		}
	}
	for _, s := range c.servers {
		if err := checkAddress(s); err != nil {
			return fmt.Errorf("client: %w", err)
		}
	}
	return nil
}

func (m *Method) validate(name string) error {
	switch {
	case name == "" || len(name) > maxMethodNameBytes:
		return errors.New("name is empty or too long")
	case m.Kind != "" && m.Kind != Idempotent && m.Kind != Tokened && m.Kind != NonIdempotent:
		return fmt.Errorf("unknown kind %q", m.Kind)
	case !(m.Criticality >= 0 && m.Criticality < 1):
		return fmt.Errorf("criticality %g is outside [0, 1)", m.Criticality)
	case !(m.KB >= 0 && m.KB < 2000):
		return fmt.Errorf("memory of %g KB is outside [0, 2000)", m.KB)
	}
	return nil
}

func checkAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" || port == "" {
		return fmt.Errorf("%q is not of the form host:port", address)
	}
	return nil
}

// clock returns the time in Unix seconds, from the monotonic clock.
func (c *Client) clock() float64 { return c.startedUnix + time.Since(c.started).Seconds() }

// Call sends an RPC to an app server and returns its answer. The deadline is that of ctx, or else the default deadline.
// The error is an *Error.
func (c *Client) Call(ctx context.Context, method string, body []byte, opts ...CallOption) (Result, error) {
	pending := &call{Method: c.methods[method], name: method, body: body, done: make(chan attempt.Outcome, 1)}
	for _, option := range opts {
		option(pending)
	}
	if err := pending.validate(); err != nil {
		return Result{}, &Error{Method: method, Cause: Aborted, Why: err.Error()}
	}
	if err := ctx.Err(); err != nil {
		return Result{}, c.errorOf(pending, attempt.Outcome{Cause: contextCause(err), SafeToRetry: true})
	}
	callDeadline, ok := ctx.Deadline()
	if !ok {
		callDeadline = time.Now().Add(c.deadline)
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, callDeadline)
		defer cancel()
	}
	now := c.clock()
	c.mu.Lock()
	id := c.dispatcher.Submit(now, c.methodIndex(method), pending.Kind, pending.Criticality,
		now+time.Until(callDeadline).Seconds())
	for len(c.calls) <= id.Index {
		c.calls = append(c.calls, nil)
	}
	c.calls[id.Index] = pending
	c.performActions()
	c.mu.Unlock()
	var outcome attempt.Outcome
	select {
	case outcome = <-pending.done:
	case <-ctx.Done():
		c.mu.Lock()
		c.dispatcher.Abandon(c.clock(), id, contextCause(ctx.Err()) == Late)
		c.performActions()
		c.mu.Unlock()
		outcome = <-pending.done
	}
	if outcome.Cause != attempt.Served {
		return Result{}, c.errorOf(pending, outcome)
	}
	return Result{Body: pending.result, Server: pending.server, Tries: outcome.Tries}, nil
}

// contextCause returns the cause that an error of a context stands for.
func contextCause(err error) Cause {
	if errors.Is(err, context.DeadlineExceeded) {
		return Late
	}
	return Canceled
}

func (c *Client) errorOf(pending *call, outcome attempt.Outcome) error {
	return &Error{Method: pending.name, Server: pending.server, Cause: outcome.Cause, Progress: outcome.Progress,
		Tries: outcome.Tries, SafeToRetry: outcome.SafeToRetry,
		RetryAfter: time.Duration(outcome.RetryAfter * float64(time.Second)), Why: pending.reason}
}

// validate checks a call against the limits of app servers, before anything is sent, and fills in defaults.
func (c *call) validate() error {
	if err := c.Method.validate(c.name); err != nil {
		return err
	}
	c.Kind = cmp.Or(c.Kind, NonIdempotent)
	switch {
	case len(c.body) > thrift.MaxBody:
		return fmt.Errorf("body of %d bytes exceeds the limit of %d", len(c.body), thrift.MaxBody)
	case len(c.token) > maxTokenBytes:
		return fmt.Errorf("token of %d bytes exceeds the limit of %d", len(c.token), maxTokenBytes)
	case len(c.row) > maxTokenBytes:
		return fmt.Errorf("row of %d bytes exceeds the limit of %d", len(c.row), maxTokenBytes)
	case c.token != "" && c.Kind != Tokened:
		return fmt.Errorf("token given for a method of kind %q", c.Kind)
	case c.token == "" && c.Kind == Tokened:
		var random [16]byte
		crand.Read(random[:])
		c.token = hex.EncodeToString(random[:])
	}
	if c.KB == 0 {
		c.KB = 1 + 2*float64(len(c.body))/1024
	}
	return nil
}

// methodIndex returns the index under which the dispatcher measures the durations of a method.
func (c *Client) methodIndex(method string) int {
	index, ok := c.methodIndexes[method]
	if !ok {
		if index = len(c.methodIndexes); index >= maxMethods {
			return maxMethods
		}
		c.methodIndexes[method] = index
	}
	return index
}

// Close ends all calls and connections, and returns once all goroutines of the client have ended.
func (c *Client) Close() error {
	c.mu.Lock()
	if !c.closed {
		c.closed = true
		c.cancel()
		c.timer.Stop()
		c.dispatcher.Close(c.clock())
		c.performActions()
	}
	c.mu.Unlock()
	c.goroutines.Wait()
	return nil
}

// Counts returns totals since the start.
func (c *Client) Counts() attempt.Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dispatcher.Totals
}

// tick runs when the timer fires.
func (c *Client) tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.timerFiresAt = 0
	c.dispatcher.Tick(c.clock())
	c.performActions()
}

// maxTimerDelay is the maximum delay of the timer in seconds, even if the dispatcher asks for no Tick.
const maxTimerDelay = 60.0

// performActions carries out the actions of the dispatcher and sets the timer. The caller holds the lock.
func (c *Client) performActions() {
	for next := 0; next < len(c.dispatcher.Actions); next++ {
		c.perform(c.dispatcher.Actions[next])
	}
	c.dispatcher.Actions = c.dispatcher.Actions[:0]
	if c.closed {
		return
	}
	now := c.clock()
	if wake := min(c.dispatcher.NextTick(), now+maxTimerDelay); c.timerFiresAt <= now || wake < c.timerFiresAt {
		c.timerFiresAt = max(wake, now)
		c.timer.Reset(time.Duration((c.timerFiresAt - now) * float64(time.Second)))
	}
	if c.meter != nil {
		c.reportCounts()
	}
}

// perform carries out one action of the dispatcher. The caller holds the lock.
func (c *Client) perform(action attempt.Action) {
	switch action.Kind {
	case attempt.Send:
		pending := c.calls[action.RPC.Index]
		pending.server = c.dispatcher.ServerName(action.Server)
		c.connections[action.Conn].send(outgoing{id: action.RPC, try: action.Try, call: pending,
			deadline: action.Deadline, retry: action.Retry})
	case attempt.Interrupt:
		c.connections[action.Conn].interrupt(action.RPC, action.Try)
	case attempt.CheckHealth:
		c.connections[action.Conn].send(outgoing{healthCheck: true})
	case attempt.Dial:
		for len(c.connections) <= action.Conn {
			c.connections = append(c.connections, nil)
		}
		conn := newConnection(c, action.Conn, c.dispatcher.ServerName(action.Server))
		c.connections[action.Conn] = conn
		c.goroutines.Go(conn.connect)
	case attempt.Disconnect:
		c.connections[action.Conn].closeNow()
	case attempt.Finish:
		pending := c.calls[action.RPC.Index]
		c.calls[action.RPC.Index] = nil
		pending.done <- action.Outcome
	case attempt.ReportServer:
		c.log.Info("app server "+action.Change.String(), zap.String("server", c.dispatcher.ServerName(action.Server)))
	}
}

// reportCounts passes to the meter what the counts have grown by since the last call.
func (c *Client) reportCounts() {
	counts, lastCounts := c.dispatcher.Totals, c.reported
	c.reported = counts
	for _, m := range []struct {
		name              string
		current, previous uint64
	}{{"further", counts.Retries, lastCounts.Retries}, {"hedged", counts.Hedges, lastCounts.Hedges},
		{"pushed_back", counts.Refused, lastCounts.Refused}, {"lost", counts.Lost, lastCounts.Lost},
		{"dial_failed", counts.DialsFailed, lastCounts.DialsFailed},
		{"left_out", counts.Exclusions, lastCounts.Exclusions},
		{"denied", counts.RetriesDenied, lastCounts.RetriesDenied}} {
		if m.current > m.previous {
			c.meter.Add(m.name, m.current-m.previous)
		}
	}
}
