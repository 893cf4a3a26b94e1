package client

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"

	"valveglade/logic/attempt"
	"valveglade/rpc"
)

// Kind states whether and where an RPC may run a second time.
type Kind = rpc.Kind

// The values of Kind.
const (
	Idempotent    = rpc.Idempotent
	Tokened       = rpc.Tokened
	NonIdempotent = rpc.NonIdempotent
)

// Method describes a method. The zero value is non-idempotent and of the lowest criticality.
type Method struct {
	Kind        Kind
	Criticality float64 // in [0, 1); orders the queue and is sent to app servers
	KB          float64 // memory that an app server reserves for an RPC; 0 for 1 KB plus twice the size of the body
}

// Meter counts notable events by name: further (retries), hedged, pushed_back, lost (connections), dial_failed,
// left_out (exclusions of app servers), denied (retries that the budget did not allow). Add is called with a lock held
// and must not block.
type Meter interface {
	Add(counter string, n uint64)
}

// Option configures a client. See New.
type Option func(*options)

type options struct {
	config          attempt.Config
	servers         []string
	file            string // path of a list of app servers, empty for none
	resolve         func(context.Context) ([]string, error)
	resolveInterval time.Duration
	methods         map[string]Method // by name
	log             *zap.Logger
	meter           Meter
	deadline        time.Duration // for calls whose context has none, from their start
	connectTimeout  time.Duration
	dial            func(ctx context.Context, address string) (net.Conn, error)
	source          int // sent with each RPC to identify the client
}

// Servers sets the addresses of the app servers, as host:port. They add to those of earlier options.
func Servers(addresses ...string) Option {
	return func(o *options) { o.servers = append(o.servers, addresses...) }
}

// ServersFile reads the app servers from a file with one address a line, and reads it again whenever it changes.
// A comment begins with #. An invalid or empty file changes nothing.
func ServersFile(path string) Option { return func(o *options) { o.file = path } }

// Resolver sets a function that returns the app servers, called at the start and then at an interval. An error or an
// empty list changes nothing.
func Resolver(resolveInterval time.Duration, resolve func(context.Context) ([]string, error)) Option {
	return func(o *options) { o.resolveInterval, o.resolve = resolveInterval, resolve }
}

// Methods describes methods by name. A method that is not described is non-idempotent, unless a call uses As.
func Methods(m map[string]Method) Option { return func(o *options) { o.methods = m } }

// Log sets the logger. It receives changes of state and errors of connections, no entry for each RPC.
func Log(l *zap.Logger) Option { return func(o *options) { o.log = l } }

// Count sets the meter that counts events.
func Count(m Meter) Option { return func(o *options) { o.meter = m } }

// DefaultDeadline sets the time allowed for calls whose context has no deadline. The default is 5 s.
func DefaultDeadline(d time.Duration) Option { return func(o *options) { o.deadline = d } }

// Budget sets the number of retries allowed for each first try. The default is 0.1; 0 disables retries.
func Budget(share float64) Option {
	return func(o *options) {
		if o.config.RetryShare = share; share <= 0 {
			o.config.RetryShare = -1
		}
	}
}

// Hedge sends idempotent RPCs a second time, to another app server, once they have been in flight for the given time.
// It draws on the retry budget. Hedging is off by default.
func Hedge(after time.Duration) Option {
	return func(o *options) { o.config.HedgeAfter = after.Seconds() }
}

// Seed sets the seed of all random choices. It is random by default.
func Seed(seed uint64) Option { return func(o *options) { o.config.Seed = seed } }

// StartSpread spreads the first connects over the given time, for clients of which many start at once.
func StartSpread(d time.Duration) Option {
	return func(o *options) { o.config.StartSpread = d.Seconds() }
}

// Reconnects sets the time over which reconnects are spread: initial after a first failure, doubling up to maximum. The
// defaults are 0.5 s and 8 s.
func Reconnects(initial, maximum time.Duration) Option {
	return func(o *options) { o.config.FirstBackoff, o.config.MaxBackoff = initial.Seconds(), maximum.Seconds() }
}

// Bounds sets the maximum number of app servers in use (8), connections to each (4), connects in progress (4) and
// queued RPCs (1024). 0 keeps the default.
func Bounds(servers, connections, connects, waiting int) Option {
	return func(o *options) {
		cfg := &o.config
		cfg.MaxServers, cfg.MaxConns, cfg.MaxDials, cfg.MaxWaiting = servers, connections, connects, waiting
	}
}

// IdleAfter sets the time after which an unused connection is closed. The default is 20 s.
func IdleAfter(d time.Duration) Option {
	return func(o *options) { o.config.IdleTimeout = d.Seconds() }
}

// HealthEvery sets the interval of health checks. The default is 5 s; 0 disables them. Without health checks, fewer
// tokened RPCs are retried: after a connection is lost, no other one shows that the app server is still the same
// process.
func HealthEvery(d time.Duration) Option {
	return func(o *options) {
		if o.config.CheckPeriod = d.Seconds(); d <= 0 {
			o.config.CheckPeriod = -1
		}
	}
}

// PersistentTokens declares that app servers keep their tokens over a restart. A tokened RPC may then be retried at the
// same address even if the process there has changed.
func PersistentTokens() Option { return func(o *options) { o.config.TokensPersist = true } }

// Dialer replaces the TCP dialer.
func Dialer(dial func(ctx context.Context, address string) (net.Conn, error)) Option {
	return func(o *options) { o.dial = dial }
}

// Source sets the number by which this client identifies itself to app servers. It is random by default.
func Source(number int) Option { return func(o *options) { o.source = number } }

// CallOption configures one call.
type CallOption func(*call)

// As replaces the description of the method, for this call.
func As(m Method) CallOption { return func(c *call) { c.Method = m } }

// Token sets the token of a tokened RPC, of at most 128 bytes, used for all its tries. It is random by default. To
// repeat a call without a second effect, call again with the same token and body.
func Token(token string) CallOption { return func(c *call) { c.token = token } }

// Row names the row that a read is about, for routers that route by it. It has at most 128 bytes.
func Row(row string) CallOption { return func(c *call) { c.row = row } }
