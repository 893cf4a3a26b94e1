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

// BadClients send messages that no router sends, without a delay between them, and reconnect as soon as a message is rejected.
// None of these messages may be run or served.
type BadClients struct {
	server  string
	address string
	method  string // a method that the app server serves
	checker *Checker
	stop    context.CancelFunc
	group   sync.WaitGroup

	mu         sync.Mutex
	answered   int
	unanswered []string // kinds of messages without a reply in time
}

// badKind is one kind of malformed message, with what the client does after sending it.
type badKind struct {
	name         string
	message      func(b *BadClients, rng *rand.Rand) []byte
	endless      bool // the client sends zeros after the message until the app server closes the connection
	closesAtOnce bool // the client closes at once, and no reply is due
}

// badClientTimeout is the time within which a message must be answered: the protocol's 3 s plus 2 s for a busy machine.
const badClientTimeout = 5 * time.Second

// badKinds are the kinds of malformed messages, from which each client draws.
var badKinds = []badKind{
	{name: "garbage", message: func(_ *BadClients, rng *rand.Rand) []byte {
		b := make([]byte, 64+rng.IntN(4000))
		for k := range b {
			b[k] = byte(rng.Uint32())
		}
		b[0] = 0xff // makes the frame length negative
		return b
	}},
	{name: "http", message: func(*BadClients, *rand.Rand) []byte { return []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n") }},
	{name: "negative length", message: func(*BadClients, *rand.Rand) []byte { return []byte{0x80, 0, 0, 1, 0, 0} }},
	{name: "huge", message: func(*BadClients, *rand.Rand) []byte {
		return []byte{0x03, 0x93, 0x87, 0, 0x80, 1, 0, 1}
	}, endless: true},
	{name: "never ends", message: func(*BadClients, *rand.Rand) []byte { return []byte{0, 0, 0x40, 0, 0x80, 1, 0, 1} }},
	{name: "zero length", message: func(*BadClients, *rand.Rand) []byte { return make([]byte, 4) }},
	{name: "wrong inner length", message: func(b *BadClients, rng *rand.Rand) []byte {
		frame := ExecuteFrame(1, b.fields(rng), []byte("x"))
		binary.BigEndian.PutUint32(frame[8:], uint32(pick(rng, []int{-1, 1 << 30, 100})))
		return frame
	}},
	{name: "no such method", message: func(b *BadClients, rng *rand.Rand) []byte {
		return ExecuteFrame(1, b.fieldsWith(rng, "op", "no-such-method"), []byte("x"))
	}},
	{name: "invalid number", message: func(b *BadClients, rng *rand.Rand) []byte {
		field := pick(rng, []string{"recv", "src", "heap", "crit", "call"})
		return ExecuteFrame(1, b.fieldsWith(rng, field, pick(rng, []string{"NaN", "-1", "1e400", "", "x", "-Inf"})), []byte("x"))
	}},
	{name: "no fields", message: func(*BadClients, *rand.Rand) []byte { return ExecuteFrame(1, nil, []byte("x")) }},
	{name: "long body", message: func(b *BadClients, rng *rand.Rand) []byte {
		return ExecuteFrame(1, b.fields(rng), bytes.Repeat([]byte("x"), 2049+rng.IntN(20000)))
	}},
	{name: "hundreds at once", message: func(b *BadClients, rng *rand.Rand) []byte {
		var all []byte
		for k := range 300 {
			all = append(all, ExecuteFrame(int32(k+1), b.fieldsWith(rng, "op", "no-such-method"), []byte("x"))...)
		}
		return all
	}},
	{name: "repeated sequence number", message: func(b *BadClients, rng *rand.Rand) []byte {
		frame := ExecuteFrame(7, b.fieldsWith(rng, "op", "no-such-method"), []byte("x"))
		return append(frame, frame...)
	}},
	{name: "unknown call", message: func(*BadClients, *rand.Rand) []byte {
		return finishFrame(newFrame(messageCall, "nonsense", 1))
	}},
	{name: "interrupts", message: func(*BadClients, *rand.Rand) []byte {
		var all []byte
		for k := range 500 {
			all = append(all, InterruptFrame(int32(k+1), int32(k*7))...)
		}
		return append(all, CheckFrame(501)...)
	}},
	{name: "half a message", message: func(b *BadClients, rng *rand.Rand) []byte {
		frame := ExecuteFrame(1, b.fields(rng), []byte("x"))
		return frame[:1+rng.IntN(len(frame)-1)]
	}, closesAtOnce: true},
}

// NewBadClients starts n clients, whose messages are drawn from the seed. The caller must Close them.
func NewBadClients(server, address, method string, n int, checker *Checker, seed uint64) *BadClients {
	ctx, stop := context.WithCancel(context.Background())
	b := &BadClients{server: server, address: address, method: method, checker: checker, stop: stop}
	for k := range n {
		rng := rand.New(rand.NewPCG(seed, uint64(k)))
		b.group.Go(func() {
			for ctx.Err() == nil {
				b.sendOnce(ctx, pick(rng, badKinds), rng)
			}
		})
	}
	return b
}

// fields returns the fields of a valid RPC.
func (b *BadClients) fields(rng *rand.Rand) []Field {
	return []Field{{"op", b.method}, {"call", fmt.Sprintf("%016x", rng.Uint64())},
		{"recv", strconv.FormatInt(time.Now().UnixMilli(), 10)},
		{"src", "99"}, {"ttl", "500"}, {"heap", "1.0"}, {"crit", "0.5000"}}
}

// fieldsWith returns the fields of a valid RPC with one value replaced.
func (b *BadClients) fieldsWith(rng *rand.Rand, key, value string) []Field {
	fields := b.fields(rng)
	for k := range fields {
		if fields[k].Key == key {
			fields[k].Value = value
		}
	}
	return fields
}

// sendOnce opens a connection, sends one message and waits until it is answered or the connection is closed.
func (b *BadClients) sendOnce(ctx context.Context, kind badKind, rng *rand.Rand) {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", b.address)
	if err != nil {
		sleepContext(ctx, 50*time.Millisecond)
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	conn.SetDeadline(time.Now().Add(badClientTimeout))
	message := kind.message(b, rng)
	if _, err := conn.Write(message); err == nil && kind.endless {
		zeros := make([]byte, 64<<10)
		for err == nil {
			_, err = conn.Write(zeros)
		}
	}
	if kind.closesAtOnce {
		sleepContext(ctx, time.Millisecond)
		return
	}
	replied := b.awaitReply(conn, kind)
	if ctx.Err() != nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if replied {
		b.answered++
	} else {
		b.unanswered = append(b.unanswered, kind.name)
	}
}

// awaitReply reports whether a reply came, or the connection was closed, before the timeout.
func (b *BadClients) awaitReply(conn net.Conn, kind badKind) bool {
	input := readbuffer.New(thrift.MaxFrame + 4)
	for {
		err := input.Fill(conn)
		if netErr, ok := err.(net.Error); ok && netErr.Timeout() {
			return false
		}
		if err != nil {
			return true
		}
		frame, size, err := thrift.Frame(input.Bytes())
		if err != nil {
			return true
		}
		if size > 0 {
			reply := badClientReply{}
			thrift.DecodeAnswer(frame, &reply)
			if reply.served {
				b.checker.reportViolation(1, "%s serves a client that sent %s", b.server, kind.name)
			}
			return true
		}
	}
}

// Close stops the clients. It returns the number of messages with a reply and the kinds of the messages without one.
func (b *BadClients) Close() (answered int, unanswered []string) {
	b.stop()
	b.group.Wait()
	return b.answered, b.unanswered
}

// badClientReply implements thrift.ReplyHandler and records whether an RPC was served.
type badClientReply struct{ served bool }

func (r *badClientReply) Served(int32, []byte, float64)            { r.served = true }
func (r *badClientReply) PushedBack(int32, bool, float64, float64) {}
func (r *badClientReply) Aborted(int32, string, float64)           {}
func (r *badClientReply) Checked(int32, bool, float64)             {}
func (r *badClientReply) Draining()                                {}

// pick returns a random element of a non-empty slice.
func pick[T any](rng *rand.Rand, elements []T) T { return elements[rng.IntN(len(elements))] }

// sleepContext sleeps for the duration or until the context is done.
func sleepContext(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
