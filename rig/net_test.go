package rig

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"valveglade/internal/thrift"
	"valveglade/rpc"
)

// Any bytes pass as they are, whole or in pieces.
func TestNetPassesBytes(t *testing.T) {
	for _, seed := range []uint64{0, 1, 2} {
		sent := make([]byte, 100_000)
		chance := rand.New(rand.NewPCG(seed, 1))
		for k := range sent {
			sent[k] = byte(chance.Uint32())
		}
		echo, err := NewRawStub(func(nc net.Conn) { io.Copy(nc, nc); nc.(*net.TCPConn).CloseWrite(); io.Copy(io.Discard, nc) })
		if err != nil {
			t.Fatal(err)
		}
		n, err := NewNet("n1", echo.Address(), NewChecker(time.Second))
		if err != nil {
			t.Fatal(err)
		}
		n.Pieces(seed)
		nc, err := net.Dial("tcp", n.Address())
		if err != nil {
			t.Fatal(err)
		}
		go nc.Write(sent)
		got := make([]byte, len(sent))
		nc.SetReadDeadline(time.Now().Add(patienceOfTests))
		if _, err := io.ReadFull(nc, got); err != nil || !bytes.Equal(got, sent) {
			t.Errorf("seed %d: %v", seed, err)
		}
		nc.Close()
		n.Close()
		echo.Close()
	}
}

// A request that was read is lost where its app server resets the connection, also while the client writes on: a write that
// fails is not the client's own end.
func TestNetLostWhileWriting(t *testing.T) {
	for range 20 {
		stub, err := NewRawStub(func(nc net.Conn) {
			nc.Read(make([]byte, 4096))
			nc.(*net.TCPConn).SetLinger(0)
		})
		if err != nil {
			t.Fatal(err)
		}
		c := NewChecker(time.Second)
		n, err := NewNet("n1", stub.Address(), c)
		if err != nil {
			t.Fatal(err)
		}
		nc, err := net.Dial("tcp", n.Address())
		if err != nil {
			t.Fatal(err)
		}
		now := float64(time.Now().UnixMilli()) / 1000
		for k := range 100 {
			id := string(rune('a'+k%26)) + strings.Repeat("x", k/26)
			c.RegisterRPC(id, rpc.Idempotent, time.Now().Add(10*time.Second))
			frame := thrift.Execute(nil, int32(k+1), "m", "0123456789abcdef", 1, now, 9, 1, 0, false, "", "", EncodeBody(id, 0))
			if _, err := nc.Write(frame); err != nil {
				break
			}
			time.Sleep(10 * time.Microsecond)
		}
		waitFor(t, "the lost request", func() bool { return len(c.Violations()) > 0 })
		if v := c.Violations(); v[0].Rule != 1 || !strings.Contains(v[0].Description, "without an answer") {
			t.Errorf("%v", v)
		}
		nc.Close()
		n.Close()
		stub.Close()
	}
}

// A caller that does not read has its answers late, or not at all, by its own doing.
func TestNetCallerUnread(t *testing.T) {
	s, err := NewStub(nil)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	c := NewChecker(0)
	n, err := NewNet("n1", s.Address(), c)
	if err != nil {
		t.Fatal(err)
	}
	defer n.Close()
	nc, err := net.Dial("tcp", n.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	now := float64(time.Now().UnixMilli()) / 1000
	id := strings.Repeat("i", 2000)
	c.RegisterRPC(id, rpc.Idempotent, time.Now().Add(time.Hour))
	go func() {
		for k := range int32(20_000) {
			if _, err := nc.Write(thrift.Execute(nil, k+1, "m", "0123456789abcdef", 1, now, 1, 1, 0, false, "", "", EncodeBody(id, 0))); err != nil {
				return
			}
		}
	}()
	var blocked *flow
	var since time.Time // a slow machine takes its time for a write that does come back
	waitFor(t, "a write that does not come back", func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		blocked = nil
		for f := range n.flows {
			if f.callerUnread() {
				blocked = f
			}
		}
		if blocked == nil {
			since = time.Time{}
			return false
		}
		if since.IsZero() {
			since = time.Now()
		}
		return time.Since(since) > time.Second
	})
	c.mu.Lock()
	for _, t := range c.tries[blocked] {
		t.due = time.Now().Add(-time.Hour)
	}
	c.mu.Unlock()
	c.Finish()
	if v := c.Violations(); len(v) > 0 {
		t.Errorf("%d violations, the first: %.200s", len(v), v[0])
	}
}
