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

// The proxy forwards arbitrary bytes unchanged, with and without fragmentation.
func TestFaultProxyForwardsBytes(t *testing.T) {
	for _, seed := range []uint64{0, 1, 2} {
		sent := make([]byte, 100_000)
		rng := rand.New(rand.NewPCG(seed, 1))
		for k := range sent {
			sent[k] = byte(rng.Uint32())
		}
		echo, err := NewRawStub(func(nc net.Conn) { io.Copy(nc, nc); nc.(*net.TCPConn).CloseWrite(); io.Copy(io.Discard, nc) })
		if err != nil {
			t.Fatal(err)
		}
		n, err := NewFaultProxy("n1", echo.Address(), NewChecker(time.Second))
		if err != nil {
			t.Fatal(err)
		}
		n.FragmentWrites(seed)
		nc, err := net.Dial("tcp", n.Address())
		if err != nil {
			t.Fatal(err)
		}
		go nc.Write(sent)
		got := make([]byte, len(sent))
		nc.SetReadDeadline(time.Now().Add(testTimeout))
		if _, err := io.ReadFull(nc, got); err != nil || !bytes.Equal(got, sent) {
			t.Errorf("seed %d: %v", seed, err)
		}
		nc.Close()
		n.Close()
		echo.Close()
	}
}

// An app server that resets a connection after reading a request loses that request, also while the client is still writing.
// The proxy must not take its own failed write for a connection closed by the client.
func TestFaultProxyResetWhileWriting(t *testing.T) {
	for range 20 {
		stub, err := NewRawStub(func(nc net.Conn) {
			nc.Read(make([]byte, 4096))
			nc.(*net.TCPConn).SetLinger(0)
		})
		if err != nil {
			t.Fatal(err)
		}
		c := NewChecker(time.Second)
		n, err := NewFaultProxy("n1", stub.Address(), c)
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

// Replies that are late or missing because the caller does not read are no violation by the app server.
func TestFaultProxyCallerNotReading(t *testing.T) {
	s, err := NewStub(nil)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	c := NewChecker(0)
	n, err := NewFaultProxy("n1", s.Address(), c)
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
			if _, err := nc.Write(thrift.Execute(nil, k+1, "m", "0123456789abcdef", 1, now, 1, 1, 0, false, "", "",
				EncodeBody(id, 0))); err != nil {
				return
			}
		}
	}()
	var blocked *proxiedConnection
	var since time.Time // on a slow machine a write may block for a while and still return
	waitFor(t, "a write that stays blocked", func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		blocked = nil
		for f := range n.connections {
			if f.callerNotReading() {
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
