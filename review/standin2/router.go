package standin2

import (
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"valveglade/rig"
)

// Router sends RPCs of one method to one app server and keeps as many of them open as it is told, until it is closed.
type Router struct {
	Record   *Record
	Source   int
	Method   string
	Lifetime time.Duration // that it waits for each RPC
	Answers  atomic.Int64

	open  atomic.Int64 // RPCs to keep open
	conns []net.Conn
}

// openOnConnection bounds the open RPCs of one connection; the protocol allows 32.
const openOnConnection = 16

// Start opens connections for at most limit open RPCs, and begins with open ones.
func (r *Router) Start(address string, open, limit int) error {
	r.open.Store(int64(open))
	for first := 0; first < limit; first += openOnConnection {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return err
		}
		r.conns = append(r.conns, conn)
		go r.drive(conn, first)
	}
	return nil
}

// SetOpen changes how many RPCs are kept open.
func (r *Router) SetOpen(open int) { r.open.Store(int64(open)) }

// Close closes the connections.
func (r *Router) Close() {
	for _, conn := range r.conns {
		conn.Close()
	}
}

// drive keeps the RPCs from number first on open, on one connection.
func (r *Router) drive(conn net.Conn, first int) {
	var outstanding atomic.Int64
	done := make(chan struct{})
	go func() {
		defer close(done)
		head := make([]byte, 4)
		for {
			if _, err := io.ReadFull(conn, head); err != nil {
				return
			}
			if _, err := io.CopyN(io.Discard, conn, int64(binary.BigEndian.Uint32(head))); err != nil {
				return
			}
			outstanding.Add(-1)
			r.Answers.Add(1)
		}
	}()
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for seq := int32(1); ; {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		// One RPC at a time, as an app server that refuses is not asked again at once.
		if outstanding.Load() >= min(max(r.open.Load()-int64(first), 0), openOnConnection) {
			continue
		}
		call := fmt.Sprintf("%016x", rand.Uint64())
		frame := rig.ExecuteFrame(seq, []rig.Field{{Key: "op", Value: r.Method}, {Key: "call", Value: call},
			{Key: "src", Value: strconv.Itoa(r.Source)}, {Key: "recv", Value: strconv.FormatInt(time.Now().UnixMilli(), 10)},
			{Key: "ttl", Value: strconv.FormatInt(r.Lifetime.Milliseconds(), 10)}, {Key: "heap", Value: "24.5"},
			{Key: "crit", Value: "0.6250"}}, []byte(call))
		if _, err := conn.Write(frame); err != nil {
			return
		}
		outstanding.Add(1)
		seq++
	}
}
