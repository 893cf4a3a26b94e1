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

// patience is for what must come; a test that passes never waits for it.
const patience = 20 * time.Second

var idempotent = client.As(client.Method{Kind: client.Idempotent})

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func within(d time.Duration) context.Context {
	ctx, stop := context.WithTimeout(context.Background(), d)
	context.AfterFunc(ctx, stop)
	return ctx
}

// outcome prints how a call ended.
func outcome(r client.Result, err error) string {
	var e *client.Error
	if !errors.As(err, &e) {
		return fmt.Sprintf("ok %q, %d tries", r.Body, r.Tries)
	}
	return fmt.Sprintf("%s, %s, %d tries, again %v", e.Cause, e.Progress, e.Tries, e.SafeToRetry)
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not so in time: %s", what)
		}
	}
}

// The kinds differ in what happens after a try: refused, aborted, lost with its connection.
func Example_kinds() {
	for _, trouble := range []string{"pushed back", "aborted", "cut"} {
		s := must(rig.NewStub(nil))
		first := map[string]bool{}
		s.Behave(func(h rig.Heard, out []byte) []byte {
			switch {
			case h.Interrupt:
				return out
			case h.CheckOnly:
				return thrift.Checked(out, h.Seq, true, 100)
			case first[h.ID] || h.ID == "warm":
				return thrift.Served(out, h.Seq, rig.Answer(h.ID), 100)
			}
			first[h.ID] = true
			switch trouble {
			case "pushed back":
				return thrift.PushedBack(out, h.Seq, false, 0.02, 100)
			case "aborted":
				return thrift.Aborted(out, h.Seq, 100)
			}
			s.Cut()
			return out
		})
		c := must(client.New(client.Servers(s.Address()), client.Seed(5), client.Budget(1)))
		for _, kind := range []client.Kind{client.Idempotent, client.Tokened, client.NonIdempotent} {
			c.Call(within(patience), "warm", rig.Body("warm", 0), idempotent)
			r, err := c.Call(within(patience), "m", rig.Body(string(kind), 0), client.As(client.Method{Kind: kind}))
			fmt.Printf("%s, %s: %s\n", trouble, kind, outcome(r, err))
		}
		c.Close()
		s.Close()
	}
	// Output:
	// pushed back, retryable: ok "done retryable", 2 tries
	// pushed back, dedup: ok "done dedup", 2 tries
	// pushed back, fragile: pushed back, pushed back, 1 tries, again true
	// aborted, retryable: ok "done retryable", 2 tries
	// aborted, dedup: ok "done dedup", 2 tries
	// aborted, fragile: aborted, ran, 1 tries, again false
	// cut, retryable: ok "done retryable", 2 tries
	// cut, dedup: connection lost, sent, 1 tries, again false
	// cut, fragile: connection lost, sent, 1 tries, again false
}

// What each try carries: a deadline that is never later than the call's, the mark of a further try, one token.
func TestCarried(t *testing.T) {
	s := must(rig.NewStub(nil))
	defer s.Close()
	refused := false
	s.Behave(func(h rig.Heard, out []byte) []byte {
		switch {
		case h.CheckOnly:
			return thrift.Checked(out, h.Seq, true, 100)
		case !refused:
			refused = true
			return thrift.PushedBack(out, h.Seq, false, 0.2, 100)
		}
		return thrift.Served(out, h.Seq, rig.Answer(h.ID), 100)
	})
	c := must(client.Dial(s.Address()))
	defer c.Close()
	ctx := within(2 * time.Second)
	due, _ := ctx.Deadline()
	if _, err := c.Call(ctx, "m", rig.Body("x", 0), client.As(client.Method{Kind: client.Tokened}), client.Token("t")); err != nil {
		t.Fatal(err)
	}
	heard := s.Heard()
	if len(heard) != 2 || heard[0].Again || !heard[1].Again || heard[0].Token != "t" || heard[1].Token != "t" {
		t.Fatalf("heard %+v", heard)
	}
	for _, h := range heard {
		if late := h.Recv + h.TTL - float64(due.UnixMilli())/1000; late > 0.002 || late < -0.05 {
			t.Errorf("a try's deadline is %g s off the call's", late)
		}
	}
	if heard[1].TTL > heard[0].TTL-0.19 {
		t.Errorf("the further try is given %g s, the first was given %g s", heard[1].TTL, heard[0].TTL)
	}
}

// A call that is given up is taken back at once, and one whose deadline comes ends then.
func TestGivenUp(t *testing.T) {
	s := must(rig.NewStub(func(h rig.Heard, out []byte) []byte {
		if h.CheckOnly {
			return thrift.Checked(out, h.Seq, true, 100)
		}
		return out
	}))
	defer s.Close()
	c := must(client.Dial(s.Address()))
	defer c.Close()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		_, err := c.Call(ctx, "m", nil)
		ended <- err
	}()
	eventually(t, "the RPC is out", func() bool { return len(s.Heard()) == 1 })
	cancel()
	if err := <-ended; !errors.Is(err, context.Canceled) {
		t.Errorf("canceled: %v", err)
	}
	eventually(t, "the app server hears so", func() bool { h := s.Heard(); return len(h) == 2 && h[1].Interrupt && h[1].Seq == h[0].Seq })
	began := time.Now()
	_, err := c.Call(within(100*time.Millisecond), "m", nil)
	var e *client.Error
	if took := time.Since(began); !errors.As(err, &e) || !errors.Is(err, context.DeadlineExceeded) || e.Progress != client.Sent ||
		took < 100*time.Millisecond || took > time.Second {
		t.Errorf("late after %v: %v", took, err)
	}
}

// Nobody there: the call ends at once when its deadline cannot be met, and says when to come again.
func TestNobodyThere(t *testing.T) {
	s := must(rig.NewStub(nil))
	address := s.Address()
	s.Close()
	c := must(client.New(client.Servers(address), client.Reconnects(2*time.Second, 8*time.Second)))
	defer c.Close()
	c.Call(within(50*time.Millisecond), "m", nil) // by then the first connect has failed
	_, err := c.Call(within(20*time.Millisecond), "m", nil)
	var e *client.Error
	if !errors.As(err, &e) || e.Progress != client.NeverSent || !e.SafeToRetry {
		t.Errorf("%v", err)
	}
}

// Close ends what is in hand and leaves nothing; a call after it ends at once.
func TestClose(t *testing.T) {
	s := must(rig.NewStub(func(_ rig.Heard, out []byte) []byte { return out }))
	defer s.Close()
	c := must(client.Dial(s.Address()))
	ended := make(chan error, 1)
	go func() {
		_, err := c.Call(within(patience), "m", nil)
		ended <- err
	}()
	eventually(t, "the RPC is out", func() bool { return len(s.Heard()) == 1 })
	c.Close()
	var e *client.Error
	if err := <-ended; !errors.As(err, &e) || e.Cause != client.Closed || e.SafeToRetry {
		t.Errorf("%v", err)
	}
	if _, err := c.Call(within(patience), "m", nil); !errors.As(err, &e) || e.Cause != client.Closed {
		t.Errorf("after Close: %v", err)
	}
	eventually(t, "no connection is left", func() bool { return s.Conns() == 0 })
}

// A list in a file: a faulty or an empty one changes nothing, a new one moves the client.
func TestFile(t *testing.T) {
	a, b := must(rig.NewStub(nil)), must(rig.NewStub(nil))
	defer a.Close()
	defer b.Close()
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
		t.Error("a file that is not there is taken")
	}
	write("# remark\n" + a.Address() + " # the only one\n")
	c := must(client.New(client.ServersFile(path)))
	defer c.Close()
	ask := func(at *rig.Stub) bool {
		r, err := c.Call(within(patience), "m", rig.Body("x", 0), idempotent)
		return err == nil && r.Server == at.Address()
	}
	for _, text := range []string{"nonsense\n", ""} {
		write(text)
		time.Sleep(100 * time.Millisecond) // for the change to be seen, if it were
		if !ask(a) {
			t.Errorf("after %q the first is not asked", text)
		}
	}
	write(b.Address() + "\n")
	eventually(t, "the second is asked", func() bool { return ask(b) })
	eventually(t, "the first is left", func() bool { return a.Conns() == 0 })
	if _, err := client.New(client.ServersFile(path), client.Servers("x")); err == nil {
		t.Error("a faulty address beside a file is taken")
	}
}

// An app server that asks for no new RPC on a connection gets none there, and answers what is open on it.
func TestDraining(t *testing.T) {
	s := must(rig.NewStub(nil))
	defer s.Close()
	s.Behave(func(h rig.Heard, out []byte) []byte {
		switch {
		case h.CheckOnly:
			return thrift.Checked(out, h.Seq, true, 100)
		case h.Conn == 1:
			return thrift.Served(thrift.Draining(out), h.Seq, rig.Answer(h.ID), 100)
		}
		return thrift.Served(out, h.Seq, rig.Answer(h.ID), 100)
	})
	c := must(client.New(client.Servers(s.Address()), client.HealthEvery(0)))
	defer c.Close()
	for k := range 10 {
		if _, err := c.Call(within(patience), "m", rig.Body(fmt.Sprint(k), 0)); err != nil {
			t.Fatal(err)
		}
	}
	on := map[int]int{}
	for _, h := range s.Heard() {
		on[h.Conn]++
	}
	if on[1] != 1 || on[2] != 9 {
		t.Errorf("RPCs by connection: %v", on)
	}
}
