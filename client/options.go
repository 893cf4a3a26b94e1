package client

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"

	"valveglade/logic/attempt"
	"valveglade/rpc"
)

// Kind says whether an RPC may run again.
type Kind = rpc.Kind

// What Kind can be.
const (
	Idempotent    = rpc.Idempotent
	Tokened       = rpc.Tokened
	NonIdempotent = rpc.NonIdempotent
)

// Method is what a client knows of a method. The zero value is non-idempotent and of the least criticality.
type Method struct {
	Kind        Kind
	Criticality float64 // from 0 to under 1; the queue is ordered by it, and app servers are told
	KB          float64 // memory that an app server books while it holds one; 0 for twice the body and one
}

// Meter is told what is out of the ordinary, by name: further, hedged, pushed_back, lost, dial_failed, left_out,
// denied (a further try that the budget did not allow). It is called under a lock and must not block.
type Meter interface {
	Add(counter string, n uint64)
}

// Option changes what New makes.
type Option func(*options)

type options struct {
	config          attempt.Config
	servers         []string
	file            string
	resolve         func(context.Context) ([]string, error)
	resolveInterval time.Duration
	methods         map[string]Method
	log             *zap.Logger
	meter           Meter
	deadline        time.Duration
	connectTimeout  time.Duration
	dial            func(ctx context.Context, address string) (net.Conn, error)
	source          int
}

// Servers names the app servers, as host:port.
func Servers(addresses ...string) Option {
	return func(o *options) { o.servers = append(o.servers, addresses...) }
}

// ServersFile reads the app servers from a file, an address a line, and again whenever it changes. # begins a
// comment. A faulty or an empty file changes nothing.
func ServersFile(path string) Option { return func(o *options) { o.file = path } }

// Resolver sets a function that returns the app servers, called at the start and then at an interval. An error or an empty list changes
// nothing.
func Resolver(every time.Duration, resolve func(context.Context) ([]string, error)) Option {
	return func(o *options) { o.resolveInterval, o.resolve = every, resolve }
}

// Methods says what is known of methods. One that is not named is non-idempotent unless a call says otherwise.
func Methods(m map[string]Method) Option { return func(o *options) { o.methods = m } }

// Log sets the logger. It gets changes of condition, never each RPC.
func Log(l *zap.Logger) Option { return func(o *options) { o.log = l } }

// Count sets the meter.
func Count(m Meter) Option { return func(o *options) { o.meter = m } }

// DefaultDeadline is for calls whose context has none: 5 s if it is not given.
func DefaultDeadline(d time.Duration) Option { return func(o *options) { o.deadline = d } }

// Budget sets the retries for each first try: 0.1 if it is not given, 0 for none.
func Budget(share float64) Option {
	return func(o *options) {
		if o.config.RetryShare = share; share <= 0 {
			o.config.RetryShare = -1
		}
	}
}

// Hedge sends idempotent RPCs a second time, to another app server, once they have been in flight for so long. It
// draws on the same budget. Off if it is not given.
func Hedge(after time.Duration) Option {
	return func(o *options) { o.config.HedgeAfter = after.Seconds() }
}

// Seed is for all that is left to chance; drawn if it is not given.
func Seed(seed uint64) Option { return func(o *options) { o.config.Seed = seed } }

// StartSpread spreads the very first connects, for clients of which many start together.
func StartSpread(d time.Duration) Option {
	return func(o *options) { o.config.StartSpread = d.Seconds() }
}

// Reconnects sets the spans that connects are spread over: after a first failure, doubling up to the most. 0.5 s
// and 8 s if it is not given.
func Reconnects(initial, maximum time.Duration) Option {
	return func(o *options) { o.config.FirstBackoff, o.config.MaxBackoff = initial.Seconds(), maximum.Seconds() }
}

// Bounds sets how many app servers to be connected to (8), connections to each (4), connects in progress (4) and RPCs
// that wait (1024). 0 leaves one as it is.
func Bounds(servers, connections, connects, waiting int) Option {
	return func(o *options) {
		config := &o.config
		config.MaxServers, config.MaxConns, config.MaxDials, config.MaxWaiting = servers, connections, connects, waiting
	}
}

// IdleAfter sets when an unused connection is closed: 20 s if it is not given.
func IdleAfter(d time.Duration) Option {
	return func(o *options) { o.config.IdleTimeout = d.Seconds() }
}

// HealthEvery sets the interval of health checks: 5 s if it is not given, 0 for none. Without them an app server that a
// tokened RPC was lost at cannot be known for the same process again, so fewer are tried again.
func HealthEvery(d time.Duration) Option {
	return func(o *options) {
		if o.config.CheckPeriod = d.Seconds(); d <= 0 {
			o.config.CheckPeriod = -1
		}
	}
}

// PersistentTokens tells that app servers know their tokens again after a restart, so that a tokened RPC may be tried
// again at the same address whatever happened there.
func PersistentTokens() Option { return func(o *options) { o.config.TokensPersist = true } }

// Dialer replaces the TCP dialer.
func Dialer(dial func(ctx context.Context, address string) (net.Conn, error)) Option {
	return func(o *options) { o.dial = dial }
}

// Source is the number that this client gives itself, drawn if it is not given.
func Source(number int) Option { return func(o *options) { o.source = number } }

// CallOption changes one call.
type CallOption func(*call)

// As replaces what is known of the method, for this call.
func As(m Method) CallOption { return func(c *call) { c.Method = m } }

// Token is the same for all tries of one tokened RPC, at most 128 bytes; drawn if it is not given. Calls that an
// embedder makes again for the same effect carry the same token and body.
func Token(token string) CallOption { return func(c *call) { c.token = token } }

// Row is what a read is about, for those in between who route by it.
func Row(row string) CallOption { return func(c *call) { c.row = row } }
