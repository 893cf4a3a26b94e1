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

// IdleKind states what a client sends on a connection before leaving it idle.
type IdleKind uint8

const (
	IdleSilent            IdleKind = iota // never sends a byte
	IdlePartial                           // sends a partial message
	IdleAfterCheck                        // sends one health check
	IdlePartialAfterCheck                 // sends one health check and a partial message
	idleKindCount         int      = iota
)

// IdleClients hold idle connections to one app server. Each reconnects after its connection has ended and a pause has passed.
type IdleClients struct {
	address string
	pause   time.Duration
	group   sync.WaitGroup
	stop    context.CancelFunc
}

// NewIdleClients starts n clients, each of a kind drawn from the seed. Their pauses between two connections vary between half
// and one and a half times the given one. The caller must Close the clients.
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

// Close stops the clients, closes their connections and waits for them.
func (clients *IdleClients) Close() {
	clients.stop()
	clients.group.Wait()
}

func (clients *IdleClients) run(ctx context.Context, kind IdleKind, rng *rand.Rand) {
	for ctx.Err() == nil {
		clients.hold(ctx, kind)
		pause := time.Duration((0.5 + rng.Float64()) * float64(clients.pause))
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// partialMessage is a frame whose length prefix exceeds its content.
var partialMessage = []byte("\x00\x00\x00\x40half")

// hold keeps one connection open until the app server closes it.
func (clients *IdleClients) hold(ctx context.Context, kind IdleKind) {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", clients.address)
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
