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

// RudeRouter sends RPCs that could be run, under numbers, ids and tokens that it has used before, and takes them back. Behind a
// Net the checker sees what it is owed all the same.
type RudeRouter struct {
	address string
	method  string
	catalog *Catalog
	stop    context.CancelFunc
	group   sync.WaitGroup
}

// rudePause is between two messages.
const rudePause = 20 * time.Millisecond

// NewRudeRouter starts one.
func NewRudeRouter(address, method string, catalog *Catalog, seed uint64) *RudeRouter {
	ctx, stop := context.WithCancel(context.Background())
	r := &RudeRouter{address: address, method: method, catalog: catalog, stop: stop}
	r.group.Go(func() {
		chance := rand.New(rand.NewPCG(seed, 0x12de))
		for ctx.Err() == nil {
			r.converse(ctx, chance)
			sleepOr(ctx, rudePause)
		}
	})
	return r
}

// Close ends it.
func (r *RudeRouter) Close() {
	r.stop()
	r.group.Wait()
}

// converse sends some messages on one connection, and reads whatever comes.
func (r *RudeRouter) converse(ctx context.Context, chance *rand.Rand) {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", r.address)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	r.group.Go(func() { io.Copy(io.Discard, conn) })
	call := fmt.Sprintf("%016x", chance.Uint64())
	for seq := int32(1); seq < 20 && ctx.Err() == nil; seq++ {
		number := seq - int32(chance.IntN(2)) // that of the RPC before, now and then
		if chance.IntN(2) == 0 {
			call = fmt.Sprintf("%016x", chance.Uint64())
		}
		body := fmt.Appendf(nil, "rude %d", chance.IntN(3))
		r.catalog.Add(call, CatalogEntry{RPC: "rude " + call, Work: 0.01})
		fields := []Pair{{"op", r.method}, {"call", call}, {"recv", strconv.FormatInt(time.Now().UnixMilli(), 10)}, {"src", "77"},
			{"ttl", "500"}, {"heap", "1.0"}, {"crit", "0.1000"}, {"dedupe", fmt.Sprintf("%032x", chance.IntN(3))}}
		if _, err := conn.Write(ExecuteFrame(number, fields, body)); err != nil {
			return
		}
		if chance.IntN(4) == 0 {
			conn.Write(InterruptFrame(seq, number))
		}
		sleepOr(ctx, time.Duration(chance.Float64()*float64(rudePause)))
	}
}
