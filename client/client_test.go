package client_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/goleak"

	"valveglade/client"
	"valveglade/internal/thrift"
	"valveglade/rig"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout limits the wait for an expected event. A test that passes does not reach it.
const testTimeout = 20 * time.Second

var idempotent = client.As(client.Method{Kind: client.Idempotent})

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func withTimeout(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	context.AfterFunc(ctx, cancel)
	return ctx
}

// outcome formats the outcome of a call.
func outcome(r client.Result, err error) string {
	var e *client.Error
	if !errors.As(err, &e) {
		return fmt.Sprintf("ok %q, %d tries", r.Body, r.Tries)
	}
	return fmt.Sprintf("%s, %s, %d tries, safe to retry %v", e.Cause, e.Progress, e.Tries, e.SafeToRetry)
}

func eventually(t *testing.T, condition string, isTrue func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !isTrue(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timeout waiting until %s", condition)
		}
	}
}

// After a failed try, the kind of the method decides whether the RPC is retried: the try is pushed back, aborted, or
// lost with its connection.
func Example_retryByKind() {
	for _, failure := range []string{"pushed back", "aborted", "cut"} {
		stub := must(rig.NewStub(nil))
		failed := map[string]bool{}
		stub.SetHandler(func(message rig.ReceivedRequest, out []byte) []byte {
			switch {
			case message.Interrupt:
				return out
			case message.HealthCheck:
				return thrift.Checked(out, message.Seq, true, 100)
			case failed[message.ID] || message.ID == "warm":
				return thrift.Served(out, message.Seq, rig.RunResult(message.ID), 100)
			}
			failed[message.ID] = true
			switch failure {
			case "pushed back":
				return thrift.PushedBack(out, message.Seq, false, 0.02, 100)
			case "aborted":
				return thrift.Aborted(out, message.Seq, 100)
			}
			stub.CloseConnections()
			return out
		})
		c := must(client.New(client.Servers(stub.Address()), client.Seed(5), client.Budget(1)))
		for _, kind := range []client.Kind{client.Idempotent, client.Tokened, client.NonIdempotent} {
			c.Call(withTimeout(testTimeout), "warm", rig.EncodeBody("warm", 0), idempotent)
			r, err := c.Call(withTimeout(testTimeout), "m", rig.EncodeBody(string(kind), 0),
				client.As(client.Method{Kind: kind}))
			fmt.Printf("%s, %s: %s\n", failure, kind, outcome(r, err))
		}
		c.Close()
		stub.Close()
	}
	// Output:
	// pushed back, retryable: ok "done retryable", 2 tries
	// pushed back, dedup: ok "done dedup", 2 tries
	// pushed back, fragile: pushed back, pushed back, 1 tries, safe to retry true
	// aborted, retryable: ok "done retryable", 2 tries
	// aborted, dedup: ok "done dedup", 2 tries
	// aborted, fragile: aborted, ran, 1 tries, safe to retry false
	// cut, retryable: ok "done retryable", 2 tries
	// cut, dedup: connection lost, sent, 1 tries, safe to retry false
	// cut, fragile: connection lost, sent, 1 tries, safe to retry false
}

// Every try carries a deadline no later than the call's and the same token, and a retry is marked as one.
func TestRequestFields(t *testing.T) {
	stub := must(rig.NewStub(nil))
	defer stub.Close()
	pushedBack := false
	stub.SetHandler(func(message rig.ReceivedRequest, out []byte) []byte {
		switch {
		case message.HealthCheck:
			return thrift.Checked(out, message.Seq, true, 100)
		case !pushedBack:
			pushedBack = true
			return thrift.PushedBack(out, message.Seq, false, 0.2, 100)
		}
		return thrift.Served(out, message.Seq, rig.RunResult(message.ID), 100)
	})
	c := must(client.Dial(stub.Address()))
	defer c.Close()
	ctx := withTimeout(2 * time.Second)
	deadline, _ := ctx.Deadline()
	if _, err := c.Call(ctx, "m", rig.EncodeBody("x", 0), client.As(client.Method{Kind: client.Tokened}),
		client.Token("t")); err != nil {
		t.Fatal(err)
	}
	received := stub.Received()
	if len(received) != 2 || received[0].IsRetry || !received[1].IsRetry || received[0].Token != "t" ||
		received[1].Token != "t" {
		t.Fatalf("the app server received %+v", received)
	}
	for _, message := range received {
		if difference := message.Recv + message.TTL - float64(deadline.UnixMilli())/1000; difference > 0.002 ||
			difference < -0.05 {
			t.Errorf("the deadline of a try is %g s after the call's, want -0.05 to 0.002", difference)
		}
	}
	if received[1].TTL > received[0].TTL-0.19 {
		t.Errorf("the retry has %g s until its deadline, the first try had %g s", received[1].TTL, received[0].TTL)
	}
}

// A canceled call is interrupted at the app server at once, and a call ends when its deadline passes.
func TestCanceledAndLate(t *testing.T) {
	stub := must(rig.NewStub(func(received rig.ReceivedRequest, out []byte) []byte {
		if received.HealthCheck {
			return thrift.Checked(out, received.Seq, true, 100)
		}
		return out
	}))
	defer stub.Close()
	c := must(client.Dial(stub.Address()))
	defer c.Close()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		_, err := c.Call(ctx, "m", nil)
		ended <- err
	}()
	eventually(t, "the RPC is in flight", func() bool { return len(stub.Received()) == 1 })
	cancel()
	if err := <-ended; !errors.Is(err, context.Canceled) {
		t.Errorf("canceled call: %v", err)
	}
	eventually(t, "the app server receives the interrupt", func() bool {
		received := stub.Received()
		return len(received) == 2 && received[1].Interrupt && received[1].Seq == received[0].Seq
	})
	start := time.Now()
	_, err := c.Call(withTimeout(100*time.Millisecond), "m", nil)
	var e *client.Error
	if duration := time.Since(start); !errors.As(err, &e) || !errors.Is(err, context.DeadlineExceeded) ||
		e.Progress != client.Sent || duration < 100*time.Millisecond || duration > time.Second {
		t.Errorf("call past its deadline ended after %v: %v", duration, err)
	}
}

// If no app server can be reached before the deadline, the call ends unsent and safe to retry.
func TestNoServer(t *testing.T) {
	stub := must(rig.NewStub(nil))
	address := stub.Address()
	stub.Close()
	c := must(client.New(client.Servers(address), client.Reconnects(2*time.Second, 8*time.Second)))
	defer c.Close()
	c.Call(withTimeout(50*time.Millisecond), "m", nil) // by then the first connect has failed
	_, err := c.Call(withTimeout(20*time.Millisecond), "m", nil)
	var e *client.Error
	if !errors.As(err, &e) || e.Progress != client.NeverSent || !e.SafeToRetry {
		t.Errorf("unexpected error: %v", err)
	}
}

// Close ends open calls and leaves no goroutine or connection. A call after Close ends at once.
func TestClose(t *testing.T) {
	stub := must(rig.NewStub(func(_ rig.ReceivedRequest, out []byte) []byte { return out }))
	defer stub.Close()
	c := must(client.Dial(stub.Address()))
	ended := make(chan error, 1)
	go func() {
		_, err := c.Call(withTimeout(testTimeout), "m", nil)
		ended <- err
	}()
	eventually(t, "the RPC is in flight", func() bool { return len(stub.Received()) == 1 })
	c.Close()
	var e *client.Error
	if err := <-ended; !errors.As(err, &e) || e.Cause != client.Closed || e.SafeToRetry {
		t.Errorf("unexpected error: %v", err)
	}
	if _, err := c.Call(withTimeout(testTimeout), "m", nil); !errors.As(err, &e) || e.Cause != client.Closed {
		t.Errorf("after Close: %v", err)
	}
	eventually(t, "no connection is left", func() bool { return stub.ConnectionCount() == 0 })
}

// An invalid or empty servers file changes nothing; after a valid one the client uses the new app servers.
func TestServersFile(t *testing.T) {
	first, second := must(rig.NewStub(nil)), must(rig.NewStub(nil))
	defer first.Close()
	defer second.Close()
	path := filepath.Join(t.TempDir(), "servers")
	write := func(text string) {
		if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := client.New(client.ServersFile(path)); err == nil {
		t.Error("New accepts a missing file")
	}
	write("# remark\n" + first.Address() + " # the only one\n")
	c := must(client.New(client.ServersFile(path)))
	defer c.Close()
	served := func(stub *rig.Stub) bool {
		r, err := c.Call(withTimeout(testTimeout), "m", rig.EncodeBody("x", 0), idempotent)
		return err == nil && r.Server == stub.Address()
	}
	for _, text := range []string{"nonsense\n", ""} {
		write(text)
		time.Sleep(100 * time.Millisecond) // longer than fileSettleTime, so that a wrong change would show
		if !served(first) {
			t.Errorf("after the file %q the first app server is not used", text)
		}
	}
	write(second.Address() + "\n")
	eventually(t, "the second app server is used", func() bool { return served(second) })
	eventually(t, "the first app server is disconnected", func() bool { return first.ConnectionCount() == 0 })
	if _, err := client.New(client.ServersFile(path), client.Servers("x")); err == nil {
		t.Error("New accepts an invalid address given beside a file")
	}
}

// An app server that asks for no new RPCs on a connection receives none there, and still answers those in flight on it.
func TestDraining(t *testing.T) {
	stub := must(rig.NewStub(nil))
	defer stub.Close()
	stub.SetHandler(func(message rig.ReceivedRequest, out []byte) []byte {
		switch {
		case message.HealthCheck:
			return thrift.Checked(out, message.Seq, true, 100)
		case message.Conn == 1:
			return thrift.Served(thrift.Draining(out), message.Seq, rig.RunResult(message.ID), 100)
		}
		return thrift.Served(out, message.Seq, rig.RunResult(message.ID), 100)
	})
	c := must(client.New(client.Servers(stub.Address()), client.HealthEvery(0)))
	defer c.Close()
	for index := range 10 {
		if _, err := c.Call(withTimeout(testTimeout), "m", rig.EncodeBody(fmt.Sprint(index), 0)); err != nil {
			t.Fatal(err)
		}
	}
	rpcsByConn := map[int]int{}
	for _, message := range stub.Received() {
		rpcsByConn[message.Conn]++
	}
	if rpcsByConn[1] != 1 || rpcsByConn[2] != 9 {
		t.Errorf("RPCs by connection: %v", rpcsByConn)
	}
}
