package rig

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"valveglade/internal/readbuffer"
	"valveglade/internal/thrift"
)

// BadClients send what no router sends, at full speed, and the same kind of thing again as soon as it is turned away. Nothing
// of what they send may be run or served.
type BadClients struct {
	server  string
	address string
	method  string // one that there is
	check   *Checker
	stop    context.CancelFunc
	group   sync.WaitGroup

	mu      sync.Mutex
	told    int
	ignored []string // kinds that were told nothing in time
}

// badKind is one way of being bad: what it sends, and whether it goes on sending.
type badKind struct {
	name    string
	message func(b *BadClients, chance *rand.Rand) []byte
	endless bool // the message goes on with zeros until the app server ends it
	closes  bool // the client closes at once, and is owed nothing
}

// badPatience is how long such a client waits for a word: the protocol's three seconds, and what a busy machine adds.
const badPatience = 5 * time.Second

var badKinds = []badKind{
	{name: "garbage", message: func(_ *BadClients, chance *rand.Rand) []byte {
		b := make([]byte, 64+chance.IntN(4000))
		for k := range b {
			b[k] = byte(chance.Uint32())
		}
		b[0] = 0xff // as a length it is negative
		return b
	}},
	{name: "http", message: func(*BadClients, *rand.Rand) []byte { return []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n") }},
	{name: "negative length", message: func(*BadClients, *rand.Rand) []byte { return []byte{0x80, 0, 0, 1, 0, 0} }},
	{name: "huge", message: func(*BadClients, *rand.Rand) []byte { return []byte{0x03, 0x93, 0x87, 0, 0x80, 1, 0, 1} }, endless: true},
	{name: "never ends", message: func(*BadClients, *rand.Rand) []byte { return []byte{0, 0, 0x40, 0, 0x80, 1, 0, 1} }},
	{name: "zero length", message: func(*BadClients, *rand.Rand) []byte { return make([]byte, 4) }},
	{name: "wrong inner length", message: func(b *BadClients, chance *rand.Rand) []byte {
		frame := ExecuteFrame(1, b.fields(chance), []byte("x"))
		binary.BigEndian.PutUint32(frame[8:], uint32(pick(chance, []int{-1, 1 << 30, 100})))
		return frame
	}},
	{name: "no such method", message: func(b *BadClients, chance *rand.Rand) []byte {
		return ExecuteFrame(1, b.with(chance, "op", "no-such-method"), []byte("x"))
	}},
	{name: "figures", message: func(b *BadClients, chance *rand.Rand) []byte {
		field := pick(chance, []string{"recv", "src", "heap", "crit", "call"})
		return ExecuteFrame(1, b.with(chance, field, pick(chance, []string{"NaN", "-1", "1e400", "", "x", "-Inf"})), []byte("x"))
	}},
	{name: "no fields", message: func(*BadClients, *rand.Rand) []byte { return ExecuteFrame(1, nil, []byte("x")) }},
	{name: "long body", message: func(b *BadClients, chance *rand.Rand) []byte {
		return ExecuteFrame(1, b.fields(chance), bytes.Repeat([]byte("x"), 2049+chance.IntN(20000)))
	}},
	{name: "hundreds at once", message: func(b *BadClients, chance *rand.Rand) []byte {
		var all []byte
		for k := range 300 {
			all = append(all, ExecuteFrame(int32(k+1), b.with(chance, "op", "no-such-method"), []byte("x"))...)
		}
		return all
	}},
	{name: "the same number", message: func(b *BadClients, chance *rand.Rand) []byte {
		frame := ExecuteFrame(7, b.with(chance, "op", "no-such-method"), []byte("x"))
		return append(frame, frame...)
	}},
	{name: "no such call", message: func(*BadClients, *rand.Rand) []byte {
		return frameEnd(frameHead(messageCall, "nonsense", 1))
	}},
	{name: "interrupts", message: func(*BadClients, *rand.Rand) []byte {
		var all []byte
		for k := range 500 {
			all = append(all, InterruptFrame(int32(k+1), int32(k*7))...)
		}
		return append(all, CheckFrame(501)...)
	}},
	{name: "half a message", message: func(b *BadClients, chance *rand.Rand) []byte {
		frame := ExecuteFrame(1, b.fields(chance), []byte("x"))
		return frame[:1+chance.IntN(len(frame)-1)]
	}, closes: true},
}

// NewBadClients starts n clients whose kinds are drawn from the seed.
func NewBadClients(server, address, method string, n int, check *Checker, seed uint64) *BadClients {
	ctx, stop := context.WithCancel(context.Background())
	b := &BadClients{server: server, address: address, method: method, check: check, stop: stop}
	for k := range n {
		chance := rand.New(rand.NewPCG(seed, uint64(k)))
		b.group.Go(func() {
			for ctx.Err() == nil {
				b.try(ctx, pick(chance, badKinds), chance)
			}
		})
	}
	return b
}

// fields are those of an RPC that could be run.
func (b *BadClients) fields(chance *rand.Rand) []Pair {
	return []Pair{{"op", b.method}, {"call", fmt.Sprintf("%016x", chance.Uint64())}, {"recv", strconv.FormatInt(time.Now().UnixMilli(), 10)},
		{"src", "99"}, {"ttl", "500"}, {"heap", "1.0"}, {"crit", "0.5000"}}
}

// with is the same with one field changed.
func (b *BadClients) with(chance *rand.Rand, key, value string) []Pair {
	all := b.fields(chance)
	for k := range all {
		if all[k].Key == key {
			all[k].Value = value
		}
	}
	return all
}

// try connects once, sends one message and waits to be told something.
func (b *BadClients) try(ctx context.Context, kind badKind, chance *rand.Rand) {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", b.address)
	if err != nil {
		sleepOr(ctx, 50*time.Millisecond)
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	conn.SetDeadline(time.Now().Add(badPatience))
	message := kind.message(b, chance)
	if _, err := conn.Write(message); err == nil && kind.endless {
		zeros := make([]byte, 64<<10)
		for err == nil {
			_, err = conn.Write(zeros)
		}
	}
	if kind.closes {
		sleepOr(ctx, time.Millisecond)
		return
	}
	told := b.hear(conn, kind)
	if ctx.Err() != nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if told {
		b.told++
	} else {
		b.ignored = append(b.ignored, kind.name)
	}
}

// hear reports whether the client was told anything, or its connection was ended, in time.
func (b *BadClients) hear(conn net.Conn, kind badKind) bool {
	in := readbuffer.New(thrift.MaxFrame + 4)
	for {
		err := in.Fill(conn)
		if late, ok := err.(net.Error); ok && late.Timeout() {
			return false
		}
		if err != nil {
			return true
		}
		frame, size, err := thrift.Frame(in.Bytes())
		if err != nil {
			return true
		}
		if size > 0 {
			a := badAnswer{}
			thrift.DecodeAnswer(frame, &a)
			if a.served {
				b.check.reportViolation(1, "%s serves a client that sent %s", b.server, kind.name)
			}
			return true
		}
	}
}

// Close ends the clients and returns how many were told something, and the kinds of those that were not.
func (b *BadClients) Close() (told int, ignored []string) {
	b.stop()
	b.group.Wait()
	return b.told, b.ignored
}

// badAnswer takes what a bad client is answered.
type badAnswer struct{ served bool }

func (a *badAnswer) Served(int32, []byte, float64)            { a.served = true }
func (a *badAnswer) PushedBack(int32, bool, float64, float64) {}
func (a *badAnswer) Aborted(int32, string, float64)           {}
func (a *badAnswer) Checked(int32, bool, float64)             {}
func (a *badAnswer) Draining()                                {}

func pick[T any](chance *rand.Rand, from []T) T { return from[chance.IntN(len(from))] }

func sleepOr(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
