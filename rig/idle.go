package rig

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"valveglade/internal/thrift"
)

// IdleKind is how a client holds a connection without work.
type IdleKind uint8

const (
	IdleSilent            IdleKind = iota // never sends a byte
	IdlePartial                           // sends half a message
	IdleAfterCheck                        // sends one health check, and then nothing
	IdlePartialAfterCheck                 // sends one health check, and then half a message
	idleKindCount         int      = iota
)

// IdleClients hold connections to one app server without work, and connect again as soon as theirs ends.
type IdleClients struct {
	address string
	pause   time.Duration
	group   sync.WaitGroup
	stop    context.CancelFunc
}

// NewIdleClients starts n clients whose kinds are drawn from the seed. Between the end of a connection and the next one a
// client pauses for as long as pause on the mean.
func NewIdleClients(address string, n int, pause time.Duration, seed uint64) *IdleClients {
	ctx, stop := context.WithCancel(context.Background())
	clients := &IdleClients{address: address, pause: pause, stop: stop}
	for k := range n {
		rng := rand.New(rand.NewPCG(seed, uint64(k)))
		kind := IdleKind(rng.IntN(idleKindCount))
		clients.group.Go(func() { clients.run(ctx, kind, rng) })
	}
	return clients
}

// Close ends the clients with their connections.
func (i *IdleClients) Close() {
	i.stop()
	i.group.Wait()
}

func (i *IdleClients) run(ctx context.Context, kind IdleKind, rng *rand.Rand) {
	for ctx.Err() == nil {
		i.hold(ctx, kind)
		pause := time.Duration((0.5 + rng.Float64()) * float64(i.pause))
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// partialMessage announces more bytes than it has.
var partialMessage = []byte("\x00\x00\x00\x40half")

// hold keeps one connection until the app server ends it.
func (i *IdleClients) hold(ctx context.Context, kind IdleKind) {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", i.address)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	if kind == IdleAfterCheck || kind == IdlePartialAfterCheck {
		conn.Write(thrift.Check(nil, 1))
	}
	if kind == IdlePartial || kind == IdlePartialAfterCheck {
		conn.Write(partialMessage)
	}
	io.Copy(io.Discard, conn)
}
