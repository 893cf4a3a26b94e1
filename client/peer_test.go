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

// An app server that violates the protocol loses the connection, and RPCs at other app servers are not affected.
func TestProtocolErrors(t *testing.T) {
	frame := func(buffer []byte) []byte {
		return append(binary.BigEndian.AppendUint32(nil, uint32(len(buffer))), buffer...)
	}
	for name, answer := range map[string]func(conn net.Conn, seq int32){
		"garbage":    func(conn net.Conn, _ int32) { conn.Write([]byte("HTTP/1.1 200 OK\r\n\r\n")) },
		"huge":       func(conn net.Conn, _ int32) { conn.Write([]byte{0x7f, 0xff, 0xff, 0xff}) },
		"half":       func(conn net.Conn, _ int32) { conn.Write([]byte{0, 0, 0, 50, 0x80, 1, 0, 2}) },
		"never sent": func(conn net.Conn, seq int32) { conn.Write(thrift.Served(nil, seq+7, nil, 1)) },
		"empty answer": func(conn net.Conn, _ int32) {
			conn.Write(frame([]byte("\x80\x01\x00\x02\x00\x00\x00\x07execute\x00\x00\x00\x01\x00")))
		},
		"credit is no number": func(conn net.Conn, seq int32) {
			buffer := thrift.Served(nil, seq, nil, 12345)
			copy(buffer[strings.Index(string(buffer), "12345"):], "x2345")
			conn.Write(buffer)
		},
	} {
		t.Run(name, func(t *testing.T) {
			healthy := must(rig.NewStub(nil))
			defer healthy.Close()
			done := make(chan struct{})
			faulty := must(rig.NewRawStub(func(conn net.Conn) {
				buffer := make([]byte, 4096)
				n, err := conn.Read(buffer)
				if err != nil || !strings.Contains(string(buffer[:n]), "execute") {
					<-done // the connection for health checks gets no answer
					return
				}
				answer(conn, 1)
				for err == nil { // until the client closes it
					_, err = conn.Read(buffer)
				}
			}))
			defer faulty.Close()
			defer close(done)
			c := must(client.New(client.Servers(healthy.Address(), faulty.Address()), client.Seed(3), client.Budget(5)))
			defer c.Close()
			// Calls run in rounds, as the first round may end before the faulty app server is connected.
			eventually(t, "the faulty app server loses a connection", func() bool {
				var group sync.WaitGroup
				for worker := range 8 {
					group.Go(func() {
						for index := range 20 {
							if _, err := c.Call(withTimeout(testTimeout), "m", rig.EncodeBody(fmt.Sprint(worker, index), 0),
								idempotent); err != nil {
								t.Errorf("RPC %d %d: %v", worker, index, err)
							}
						}
					})
				}
				group.Wait()
				return t.Failed() || c.Counts().Lost > 0
			})
		})
	}
}

// After two answers to one RPC, the caller gets the first, and the second closes the connection.
func TestDuplicateAnswer(t *testing.T) {
	stub := must(rig.NewStub(func(message rig.ReceivedRequest, out []byte) []byte {
		if message.HealthCheck {
			return thrift.Checked(out, message.Seq, true, 100)
		}
		return thrift.Aborted(thrift.Served(out, message.Seq, rig.RunResult(message.ID), 100), message.Seq, 100)
	}))
	defer stub.Close()
	c := must(client.Dial(stub.Address()))
	defer c.Close()
	if _, err := c.Call(withTimeout(testTimeout), "m", rig.EncodeBody("x", 0)); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the connection is closed", func() bool { return c.Counts().Lost == 1 })
}

// An app server that never reads is disconnected once the socket's buffers are full and a write times out. No call
// lasts much beyond its deadline.
func TestServerThatNeverReads(t *testing.T) {
	done := make(chan struct{})
	stub := must(rig.NewRawStub(func(net.Conn) { <-done }))
	defer stub.Close()
	defer close(done)
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err == nil {
			conn.(*net.TCPConn).SetWriteBuffer(4096)
		}
		return conn, err
	}
	c := must(client.New(client.Servers(stub.Address()), client.Dialer(dial), client.HealthEvery(0)))
	defer c.Close()
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 20 {
				start := time.Now()
				_, err := c.Call(withTimeout(100*time.Millisecond), "m", make([]byte, 2000), idempotent)
				if duration := time.Since(start); err == nil || duration > time.Second {
					t.Errorf("error %v after %v", err, duration)
				}
			}
		})
	}
	group.Wait()
}

// Calls that no app server would accept fail before anything is sent, and New rejects invalid options.
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
