package rig

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"
)

// MisbehavingRouter sends valid RPCs under sequence numbers, call ids and tokens that it has used before, and interrupts some of
// them. If it connects through a FaultProxy, the checker still knows which replies are due.
type MisbehavingRouter struct {
	address string
	method  string
	catalog *Catalog
	stop    context.CancelFunc
	group   sync.WaitGroup
}

// misbehavingInterval is the pause between connections, and the maximum pause between two messages.
const misbehavingInterval = 20 * time.Millisecond

// NewMisbehavingRouter starts a router that sends RPCs of one method. The caller must Close it.
func NewMisbehavingRouter(address, method string, catalog *Catalog, seed uint64) *MisbehavingRouter {
	ctx, stop := context.WithCancel(context.Background())
	r := &MisbehavingRouter{address: address, method: method, catalog: catalog, stop: stop}
	r.group.Go(func() {
		rng := rand.New(rand.NewPCG(seed, 0x12de))
		for ctx.Err() == nil {
			r.sendMessages(ctx, rng)
			sleepContext(ctx, misbehavingInterval)
		}
	})
	return r
}

// Close stops the router, closes its connections and waits for both.
func (r *MisbehavingRouter) Close() {
	r.stop()
	r.group.Wait()
}

// sendMessages sends some messages on one connection and discards the replies.
func (r *MisbehavingRouter) sendMessages(ctx context.Context, rng *rand.Rand) {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", r.address)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	r.group.Go(func() { io.Copy(io.Discard, conn) })
	call := fmt.Sprintf("%016x", rng.Uint64())
	for seq := int32(1); seq < 20 && ctx.Err() == nil; seq++ {
		number := seq - int32(rng.IntN(2)) // half of the time the number of the previous RPC
		if rng.IntN(2) == 0 {
			call = fmt.Sprintf("%016x", rng.Uint64())
		}
		body := fmt.Appendf(nil, "rude %d", rng.IntN(3))
		r.catalog.Add(call, CatalogEntry{RPC: "rude " + call, Work: 0.01})
		fields := []Field{{"op", r.method}, {"call", call}, {"recv", strconv.FormatInt(time.Now().UnixMilli(), 10)},
			{"src", "77"}, {"ttl", "500"}, {"heap", "1.0"}, {"crit", "0.1000"}, {"dedupe", fmt.Sprintf("%032x", rng.IntN(3))}}
		if _, err := conn.Write(ExecuteFrame(number, fields, body)); err != nil {
			return
		}
		if rng.IntN(4) == 0 {
			conn.Write(InterruptFrame(seq, number))
		}
		sleepContext(ctx, time.Duration(rng.Float64()*float64(misbehavingInterval)))
	}
}
