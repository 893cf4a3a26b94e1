package client_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"valveglade/client"
	"valveglade/internal/thrift"
	"valveglade/rig"
)

// What no app server should say ends the connection it came on, names itself in the log, and harms no RPC elsewhere.
func TestBadPeers(t *testing.T) {
	frame := func(b []byte) []byte { return append(binary.BigEndian.AppendUint32(nil, uint32(len(b))), b...) }
	for name, say := range map[string]func(nc net.Conn, seq int32){
		"garbage":    func(nc net.Conn, _ int32) { nc.Write([]byte("HTTP/1.1 200 OK\r\n\r\n")) },
		"huge":       func(nc net.Conn, _ int32) { nc.Write([]byte{0x7f, 0xff, 0xff, 0xff}) },
		"half":       func(nc net.Conn, _ int32) { nc.Write([]byte{0, 0, 0, 50, 0x80, 1, 0, 2}) },
		"never sent": func(nc net.Conn, seq int32) { nc.Write(thrift.Served(nil, seq+7, nil, 1)) },
		"empty answer": func(nc net.Conn, _ int32) {
			nc.Write(frame([]byte("\x80\x01\x00\x02\x00\x00\x00\x07execute\x00\x00\x00\x01\x00")))
		},
		"credit is no number": func(nc net.Conn, seq int32) {
			b := thrift.Served(nil, seq, nil, 12345)
			copy(b[strings.Index(string(b), "12345"):], "x2345")
			nc.Write(b)
		},
	} {
		t.Run(name, func(t *testing.T) {
			good := must(rig.NewStub(nil))
			defer good.Close()
			done := make(chan struct{})
			bad := must(rig.NewRawStub(func(nc net.Conn) {
				b := make([]byte, 4096)
				n, err := nc.Read(b)
				if err != nil || !strings.Contains(string(b[:n]), "execute") {
					<-done // a health check's connection: silent
					return
				}
				say(nc, 1)
				for err == nil { // until the client closes it
					_, err = nc.Read(b)
				}
			}))
			defer bad.Close()
			defer close(done)
			c := must(client.New(client.Servers(good.Address(), bad.Address()), client.Seed(3), client.Budget(5)))
			defer c.Close()
			// In rounds, as the first may be over before the bad one is connected to.
			eventually(t, "the bad app server is met", func() bool {
				var all sync.WaitGroup
				for k := range 8 {
					all.Go(func() {
						for j := range 20 {
							if _, err := c.Call(within(patience), "m", rig.Body(fmt.Sprint(k, j), 0), idempotent); err != nil {
								t.Errorf("RPC %d %d: %v", k, j, err)
							}
						}
					})
				}
				all.Wait()
				return t.Failed() || c.Counts().Lost > 0
			})
		})
	}
}

// Two answers to one RPC: the caller has the first, the second ends the connection.
func TestTwoAnswers(t *testing.T) {
	s := must(rig.NewStub(func(h rig.Heard, out []byte) []byte {
		if h.CheckOnly {
			return thrift.Checked(out, h.Seq, true, 100)
		}
		return thrift.Aborted(thrift.Served(out, h.Seq, rig.Answer(h.ID), 100), h.Seq, 100)
	}))
	defer s.Close()
	c := must(client.Dial(s.Address()))
	defer c.Close()
	if _, err := c.Call(within(patience), "m", rig.Body("x", 0)); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the connection is dropped", func() bool { return c.Counts().Lost == 1 })
}

// One that never reads is left within a second or so of the socket's buffers being full, and takes no caller past its
// deadline.
func TestNeverReads(t *testing.T) {
	done := make(chan struct{})
	s := must(rig.NewRawStub(func(net.Conn) { <-done }))
	defer s.Close()
	defer close(done)
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err == nil {
			nc.(*net.TCPConn).SetWriteBuffer(4096)
		}
		return nc, err
	}
	c := must(client.New(client.Servers(s.Address()), client.Dialer(dial), client.HealthEvery(0)))
	defer c.Close()
	var all sync.WaitGroup
	for range 8 {
		all.Go(func() {
			for range 20 {
				began := time.Now()
				_, err := c.Call(within(100*time.Millisecond), "m", make([]byte, 2000), idempotent)
				if took := time.Since(began); err == nil || took > time.Second {
					t.Errorf("%v after %v", err, took)
				}
			}
		})
	}
	all.Wait()
}

// Calls that no app server would take are refused before anything is sent; so are options without sense.
func Example_badInput() {
	c := must(client.Dial("127.0.0.1:1"))
	defer c.Close()
	for _, call := range []func() (client.Result, error){
		func() (client.Result, error) { return c.Call(context.Background(), "m", make([]byte, 2049)) },
		func() (client.Result, error) { return c.Call(context.Background(), "", nil) },
		func() (client.Result, error) {
			return c.Call(context.Background(), "m", nil, client.As(client.Method{Criticality: 1}))
		},
		func() (client.Result, error) { return c.Call(context.Background(), "m", nil, client.Token("t")) },
	} {
		_, err := call()
		fmt.Println(err)
	}
	for _, opts := range [][]client.Option{{}, {client.Servers("nowhere")}, {client.Servers("a:1"), client.Hedge(-1)},
		{client.Servers("a:1"), client.Methods(map[string]client.Method{"m": {Kind: "odd"}})}} {
		_, err := client.New(opts...)
		fmt.Println(err)
	}
	// Output:
	// m: aborted (never sent, 0 tries): body of 2049 bytes exceeds the limit of 2048
	// : aborted (never sent, 0 tries): name is empty or too long
	// m: aborted (never sent, 0 tries): criticality 1 is outside [0, 1)
	// m: aborted (never sent, 0 tries): token given for a method of kind "fragile"
	// client: no app servers, file or resolver given
	// client: "nowhere" is not of the form host:port
	// client: durations must not be negative
	// client: method "m": unknown kind "odd"
}
