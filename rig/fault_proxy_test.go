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
		echo, err := NewRawStub(func(conn net.Conn) {
			io.Copy(conn, conn)
			conn.(*net.TCPConn).CloseWrite()
			io.Copy(io.Discard, conn)
		})
		if err != nil {
			t.Fatal(err)
		}
		proxy, err := NewFaultProxy("n1", echo.Address(), NewChecker(time.Second))
		if err != nil {
			t.Fatal(err)
		}
		proxy.FragmentWrites(seed)
		conn, err := net.Dial("tcp", proxy.Address())
		if err != nil {
			t.Fatal(err)
		}
		go conn.Write(sent)
		got := make([]byte, len(sent))
		conn.SetReadDeadline(time.Now().Add(testTimeout))
		if _, err := io.ReadFull(conn, got); err != nil || !bytes.Equal(got, sent) {
			t.Errorf("seed %d: %v", seed, err)
		}
		conn.Close()
		proxy.Close()
		echo.Close()
	}
}

// An app server that resets a connection after reading a request loses that request, also while the client is still writing.
// The proxy must not take its own failed write for a connection closed by the client.
func TestFaultProxyResetWhileWriting(t *testing.T) {
	for range 20 {
		stub, err := NewRawStub(func(conn net.Conn) {
			conn.Read(make([]byte, 4096))
			conn.(*net.TCPConn).SetLinger(0)
		})
		if err != nil {
			t.Fatal(err)
		}
		checker := NewChecker(time.Second)
		proxy, err := NewFaultProxy("n1", stub.Address(), checker)
		if err != nil {
			t.Fatal(err)
		}
		conn, err := net.Dial("tcp", proxy.Address())
		if err != nil {
			t.Fatal(err)
		}
		now := float64(time.Now().UnixMilli()) / 1000
		for k := range 100 {
			id := string(rune('a'+k%26)) + strings.Repeat("x", k/26)
			checker.RegisterRPC(id, rpc.Idempotent, time.Now().Add(10*time.Second))
			frame := thrift.Execute(nil, int32(k+1), "m", "0123456789abcdef", 1, now, 9, 1, 0, false, "", "", EncodeBody(id, 0))
			if _, err := conn.Write(frame); err != nil {
				break
			}
			time.Sleep(10 * time.Microsecond)
		}
		waitFor(t, "the lost request", func() bool { return len(checker.Violations()) > 0 })
		if violations := checker.Violations(); violations[0].Rule != 1 ||
			!strings.Contains(violations[0].Description, "without a reply") {
			t.Errorf("%v", violations)
		}
		conn.Close()
		proxy.Close()
		stub.Close()
	}
}

// Replies that are late or missing because the caller does not read are no violation of the app server.
func TestFaultProxyCallerNotReading(t *testing.T) {
	stub, err := NewStub(nil)
	if err != nil {
		t.Fatal(err)
	}
	defer stub.Close()
	checker := NewChecker(0)
	proxy, err := NewFaultProxy("n1", stub.Address(), checker)
	if err != nil {
		t.Fatal(err)
	}
	defer proxy.Close()
	conn, err := net.Dial("tcp", proxy.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	now := float64(time.Now().UnixMilli()) / 1000
	id := strings.Repeat("i", 2000)
	checker.RegisterRPC(id, rpc.Idempotent, time.Now().Add(time.Hour))
	go func() {
		for k := range int32(20_000) {
			if _, err := conn.Write(thrift.Execute(nil, k+1, "m", "0123456789abcdef", 1, now, 1, 1, 0, false, "", "",
				EncodeBody(id, 0))); err != nil {
				return
			}
		}
	}()
	var blocked *proxiedConnection
	var since time.Time // since when a write has been blocked; on a slow machine a write may block and still return
	waitFor(t, "a write that stays blocked", func() bool {
		proxy.mu.Lock()
		defer proxy.mu.Unlock()
		blocked = nil
		for connection := range proxy.connections {
			if connection.callerNotReading() {
				blocked = connection
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
	checker.mu.Lock()
	for _, try := range checker.tries[blocked] {
		try.due = time.Now().Add(-time.Hour)
	}
	checker.mu.Unlock()
	checker.Finish()
	if violations := checker.Violations(); len(violations) > 0 {
		t.Errorf("%d violations, the first: %.200s", len(violations), violations[0])
	}
}
