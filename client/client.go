// Package client calls app servers, carefully: it keeps to their credit, heeds what they refuse, retries only what
// cannot take effect twice, and spreads its reconnects after an outage.
//
//	c, err := client.Dial("10.0.0.4:7001", "10.0.0.5:7001")
//	...
//	defer c.Close()
//	r, err := c.Call(ctx, "checkout", body)
//
// All decisions are made by logic/attempt. This package owns the sockets, the clock and the goroutines: a reader and a
// writer for each connection, a timer, and one for lists that change. See docs/client.md.
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
	Server string
	Tries  int
}

// Client is safe for use by many goroutines.
type Client struct {
	options
	started     time.Time
	startedUnix float64 // seconds

	mu            sync.Mutex
	dispatcher    *attempt.Dispatcher
	calls         []*call       // by the dispatcher's index
	connections   []*connection // by the dispatcher's index of the connection
	methodIndexes map[string]int
	closed        bool
	timer         *time.Timer
	timerDue      float64 // when the timer fires
	reported      attempt.Counts

	ctx   context.Context // ends with Close
	end   context.CancelFunc
	group sync.WaitGroup
}

// call is one open RPC.
type call struct {
	Method
	name, token, row string
	body, result     []byte
	why              string
	done             chan attempt.Outcome // of capacity 1
	server           string
}

const (
	defaultDeadline       = 5 * time.Second
	defaultConnectTimeout = 2 * time.Second // for a connect: the platform's own links take milliseconds
	maxMethods            = 256             // methods measured separately; all further ones share the last index
	maxToken              = 128
	maxMethodName         = 256
)

// Dial is New for a fixed list of app servers.
func Dial(servers ...string) (*Client, error) { return New(Servers(servers...)) }

// New makes a client. It begins to connect at once and does not wait for it: calls wait as long as their deadline
// allows.
func New(opts ...Option) (*Client, error) {
	c := &Client{methodIndexes: map[string]int{}, started: time.Now()}
	c.startedUnix = float64(c.started.UnixNano()) / 1e9
	for _, o := range opts {
		o(&c.options)
	}
	if err := c.check(); err != nil {
		return nil, err
	}
	c.config.Seed = cmp.Or(c.config.Seed, rand.Uint64())
	c.source = cmp.Or(c.source, 1+rand.IntN(1<<30))
	c.deadline, c.connect = cmp.Or(c.deadline, defaultDeadline), cmp.Or(c.connect, defaultConnectTimeout)
	if c.log == nil {
		c.log = zap.NewNop()
	}
	if c.dial == nil {
		c.dial = func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		}
	}
	c.ctx, c.end = context.WithCancel(context.Background())
	c.dispatcher = attempt.New(c.clock(), c.config)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timer = time.AfterFunc(time.Hour, c.tick)
	if err := c.startWatching(); err != nil {
		c.timer.Stop()
		c.end()
		return nil, err
	}
	c.dispatcher.SetServers(c.clock(), c.servers)
	c.run()
	return c, nil
}

func (c *Client) check() error {
	t := &c.config
	switch {
	case len(c.servers) == 0 && c.file == "" && c.resolve == nil:
		return errors.New("client: no app servers, no file and no resolver are given")
	case c.resolve != nil && c.every <= 0:
		return errors.New("client: the resolver's period is not above 0")
	case t.HedgeAfter < 0 || t.StartSpread < 0 || t.IdleTimeout < 0 || t.FirstBackoff < 0 || t.MaxBackoff < 0 || c.deadline < 0:
		return errors.New("client: a time is negative")
	case t.MaxServers < 0 || t.MaxConns < 0 || t.MaxDials < 0 || t.MaxWaiting < 0:
		return errors.New("client: a bound is negative")
	}
	for name, m := range c.methods {
		if err := m.check(name); err != nil {
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

func (m *Method) check(name string) error {
	switch {
	case name == "" || len(name) > maxMethodName:
		return errors.New("its name is empty or too long")
	case m.Kind != "" && m.Kind != Idempotent && m.Kind != Tokened && m.Kind != NonIdempotent:
		return fmt.Errorf("kind %q is not known", m.Kind)
	case !(m.Criticality >= 0 && m.Criticality < 1):
		return fmt.Errorf("criticality %g is not from 0 to under 1", m.Criticality)
	case !(m.KB >= 0 && m.KB < 2000):
		return fmt.Errorf("%g KB are not from 0 to under 2000", m.KB)
	}
	return nil
}

func checkAddress(s string) error {
	host, port, err := net.SplitHostPort(s)
	if err != nil || host == "" || port == "" {
		return fmt.Errorf("%q is no host and port", s)
	}
	return nil
}

// clock is the time in Unix seconds, and does not jump.
func (c *Client) clock() float64 { return c.startedUnix + time.Since(c.started).Seconds() }

// Call sends one RPC to an app server and returns its answer. The deadline is the context's. The error is an *Error.
func (c *Client) Call(ctx context.Context, method string, body []byte, opts ...CallOption) (Result, error) {
	k := &call{Method: c.methods[method], name: method, body: body, done: make(chan attempt.Outcome, 1)}
	for _, o := range opts {
		o(k)
	}
	if err := k.check(); err != nil {
		return Result{}, &Error{Method: method, Cause: Aborted, Why: err.Error()}
	}
	if err := ctx.Err(); err != nil {
		return Result{}, c.errorOf(k, attempt.Outcome{Cause: causeOf(err), SafeToRetry: true})
	}
	due, ok := ctx.Deadline()
	if !ok {
		due = time.Now().Add(c.deadline)
		var stop context.CancelFunc
		ctx, stop = context.WithDeadline(ctx, due)
		defer stop()
	}
	now := c.clock()
	c.mu.Lock()
	id := c.dispatcher.Submit(now, c.methodIndex(method), k.Kind, k.Criticality, now+time.Until(due).Seconds())
	for len(c.calls) <= id.Index {
		c.calls = append(c.calls, nil)
	}
	c.calls[id.Index] = k
	c.run()
	c.mu.Unlock()
	var end attempt.Outcome
	select {
	case end = <-k.done:
	case <-ctx.Done():
		c.mu.Lock()
		c.dispatcher.Abandon(c.clock(), id, causeOf(ctx.Err()) == Late)
		c.run()
		c.mu.Unlock()
		end = <-k.done
	}
	if end.Cause != attempt.Served {
		return Result{}, c.errorOf(k, end)
	}
	return Result{Body: k.result, Server: k.server, Tries: end.Tries}, nil
}

func causeOf(err error) Cause {
	if errors.Is(err, context.DeadlineExceeded) {
		return Late
	}
	return Canceled
}

func (c *Client) errorOf(k *call, e attempt.Outcome) error {
	return &Error{Method: k.name, Server: k.server, Cause: e.Cause, Progress: e.Progress, Tries: e.Tries, SafeToRetry: e.SafeToRetry,
		RetryAfter: time.Duration(e.RetryAfter * float64(time.Second)), Why: k.why}
}

// check refuses, before anything is sent, what no app server would accept, and fills in what is left out.
func (k *call) check() error {
	if err := k.Method.check(k.name); err != nil {
		return err
	}
	k.Kind = cmp.Or(k.Kind, NonIdempotent)
	switch {
	case len(k.body) > thrift.MaxBody:
		return fmt.Errorf("a body of %d bytes, %d at most", len(k.body), thrift.MaxBody)
	case len(k.token) > maxToken:
		return fmt.Errorf("a token of %d bytes, %d at most", len(k.token), maxToken)
	case len(k.row) > maxToken:
		return fmt.Errorf("a row of %d bytes, %d at most", len(k.row), maxToken)
	case k.token != "" && k.Kind != Tokened:
		return fmt.Errorf("a token with a method of kind %q", k.Kind)
	case k.token == "" && k.Kind == Tokened:
		var b [16]byte
		crand.Read(b[:])
		k.token = hex.EncodeToString(b[:])
	}
	if k.KB == 0 {
		k.KB = 1 + 2*float64(len(k.body))/1024
	}
	return nil
}

// methodIndex returns the index under which a method is measured.
func (c *Client) methodIndex(method string) int {
	n, ok := c.methodIndexes[method]
	if !ok {
		if n = len(c.methodIndexes); n >= maxMethods {
			return maxMethods
		}
		c.methodIndexes[method] = n
	}
	return n
}

// Close ends all calls and connections and returns once nothing of the client is left.
func (c *Client) Close() error {
	c.mu.Lock()
	if !c.closed {
		c.closed = true
		c.end()
		c.timer.Stop()
		c.dispatcher.Close(c.clock())
		c.run()
	}
	c.mu.Unlock()
	c.group.Wait()
	return nil
}

// Counts are totals since the start.
func (c *Client) Counts() attempt.Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dispatcher.Counts
}

// tick runs when the timer fires.
func (c *Client) tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.timerDue = 0
	c.dispatcher.Tick(c.clock())
	c.run()
}

// longestSleep bounds the timer in seconds, should the dispatcher ask for no Tick.
const longestSleep = 60.0

// run carries out the dispatcher's actions and sets the timer. It is called under the lock.
func (c *Client) run() {
	for k := 0; k < len(c.dispatcher.Actions); k++ {
		c.do(c.dispatcher.Actions[k])
	}
	c.dispatcher.Actions = c.dispatcher.Actions[:0]
	if c.closed {
		return
	}
	now := c.clock()
	if wake := min(c.dispatcher.NextTick(), now+longestSleep); c.timerDue <= now || wake < c.timerDue {
		c.timerDue = max(wake, now)
		c.timer.Reset(time.Duration((c.timerDue - now) * float64(time.Second)))
	}
	if c.meter != nil {
		c.measure()
	}
}

func (c *Client) do(o attempt.Action) {
	switch o.Kind {
	case attempt.Send:
		k := c.calls[o.RPC.Index]
		k.server = c.dispatcher.ServerName(o.Server)
		c.connections[o.Conn].send(outgoing{id: o.RPC, try: o.Try, call: k, deadline: o.Deadline, retry: o.Retry})
	case attempt.Interrupt:
		c.connections[o.Conn].interrupt(o.RPC, o.Try)
	case attempt.CheckHealth:
		c.connections[o.Conn].send(outgoing{healthCheck: true})
	case attempt.Dial:
		for len(c.connections) <= o.Conn {
			c.connections = append(c.connections, nil)
		}
		l := newConnection(c, o.Conn, c.dispatcher.ServerName(o.Server))
		c.connections[o.Conn] = l
		c.group.Go(l.connect)
	case attempt.Disconnect:
		c.connections[o.Conn].closeNow()
	case attempt.Finish:
		k := c.calls[o.RPC.Index]
		c.calls[o.RPC.Index] = nil
		k.done <- o.Outcome
	case attempt.ReportServer:
		c.log.Info("app server "+o.Change.String(), zap.String("server", c.dispatcher.ServerName(o.Server)))
	}
}

func (c *Client) measure() {
	now, was := c.dispatcher.Counts, c.reported
	c.reported = now
	for _, m := range []struct {
		name    string
		to, far uint64
	}{{"further", now.Retries, was.Retries}, {"hedged", now.Hedges, was.Hedges}, {"pushed_back", now.Refused, was.Refused},
		{"lost", now.Lost, was.Lost}, {"dial_failed", now.DialsFailed, was.DialsFailed},
		{"left_out", now.Excluded, was.Excluded}, {"denied", now.RetriesDenied, was.RetriesDenied}} {
		if m.to > m.far {
			c.meter.Add(m.name, m.to-m.far)
		}
	}
}
