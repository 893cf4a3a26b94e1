package rig

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"valveglade/internal/thrift"
	"valveglade/rpc"
)

// The checker must find each kind of violation when it is reported to it, and none without one.
func TestCheckerFindsViolations(t *testing.T) {
	far := time.Now().Add(time.Hour)
	for name, injected := range map[string]struct {
		rule int
		what string
		do   func(c *Checker, f *proxiedConnection)
	}{
		"double run": {2, "run a second time", func(c *Checker, f *proxiedConnection) {
			c.RunStarted("n1", "a")
			c.RunStarted("n2", "a")
		}},
		"lost reply": {1, "without an answer", func(c *Checker, f *proxiedConnection) {
			c.ConnectionEnded(f, false)
		}},
		"lost run": {1, "without an answer", func(c *Checker, f *proxiedConnection) {
			c.RunStarted("n1", "a")
			c.ConnectionEnded(f, false)
		}},
		"lost over a close": {1, "not sent again", func(c *Checker, f *proxiedConnection) {
			c.ExpectResendAfterClose()
			c.ConnectionEnded(f, false)
			c.Finish()
		}},
		"lost before a close": {1, "without an answer", func(c *Checker, f *proxiedConnection) {
			c.ExpectResendAfterClose()
			time.Sleep(resendWindow + 20*time.Millisecond)
			c.ConnectionEnded(f, false)
		}},
		"run and lost over a close": {1, "without an answer", func(c *Checker, f *proxiedConnection) {
			c.ExpectResendAfterClose()
			c.RunStarted("n1", "a")
			c.ConnectionEnded(f, false)
		}},
		"no reply": {1, "never answered", func(c *Checker, f *proxiedConnection) {
			c.TrySent("n1", f, 2, "a", time.Now().Add(-time.Second), false)
			c.Finish()
		}},
		"two replies": {2, "two answers", func(c *Checker, f *proxiedConnection) {
			c.ReplyReceived(f, 1, rpc.OK, false, 0)
			c.ReplyReceived(f, 1, rpc.OK, false, 0)
		}},
		"reply to nothing": {1, "which was not asked", func(c *Checker, f *proxiedConnection) { c.ReplyReceived(f, 9, rpc.OK, false, 0) }},
		"made-up result":   {1, "no run of it made", func(c *Checker, f *proxiedConnection) { c.VerifyResult("a", RunResult("a")) }},
		"late run": {3, "after its notice", func(c *Checker, f *proxiedConnection) {
			c.ShutdownRequested("n1", -time.Second, time.Hour)
			c.TrySent("n1", f, 2, "a", far, false)
			c.RunStarted("n1", "a")
		}},
		"late reply": {1, "after its deadline", func(c *Checker, f *proxiedConnection) {
			c.TrySent("n1", f, 2, "a", time.Now().Add(-time.Second), false)
			c.ReplyReceived(f, 2, rpc.OK, false, 0)
		}},
		"pushed back once run": {2, "where it had been run", func(c *Checker, f *proxiedConnection) {
			c.RunStarted("n1", "a")
			c.ReplyReceived(f, 1, rpc.PushedBack, false, 0)
		}},
		"crash":  {4, "ended by itself", func(c *Checker, f *proxiedConnection) { c.ProcessExited("n1", 2, nil) }},
		"memory": {4, "takes", func(c *Checker, f *proxiedConnection) { c.VerifyMemory("n1", 2<<20, 1<<20) }},
		"ended late": {3, "after its stop", func(c *Checker, f *proxiedConnection) {
			c.ShutdownRequested("n1", 0, -time.Hour)
			c.ProcessExited("n1", 0, nil)
		}},
		"refused and tried again": {5, "before it was allowed", func(c *Checker, f *proxiedConnection) {
			c.ReplyReceived(f, 1, rpc.PushedBack, true, 0)
			c.TrySent("n1", f, 2, "a", far, true)
		}},
		"too early": {5, "before it was allowed", func(c *Checker, f *proxiedConnection) {
			c.ReplyReceived(f, 1, rpc.PushedBack, false, time.Minute)
			c.TrySent("n1", f, 2, "a", far, true)
		}},
		"sent late": {5, "after its deadline", func(c *Checker, f *proxiedConnection) {
			due := time.Now().Add(-time.Second)
			c.RegisterRPC("b", rpc.Idempotent, due)
			c.TrySent("n1", f, 2, "b", due, false)
		}},
		"deadline stretched": {5, "later than its own", func(c *Checker, f *proxiedConnection) {
			c.RegisterRPC("b", rpc.Idempotent, time.Now().Add(time.Second))
			c.TrySent("n1", f, 2, "b", far, false)
		}},
		"non-idempotent twice": {5, "sent twice", func(c *Checker, f *proxiedConnection) {
			c.RegisterRPC("b", rpc.NonIdempotent, far)
			c.TrySent("n1", f, 2, "b", far, false)
			c.TrySent("n1", f, 3, "b", far, true)
		}},
	} {
		c, f := NewChecker(10*time.Millisecond), &proxiedConnection{}
		c.ProcessStarted("n1")
		c.RegisterRPC("a", rpc.Tokened, far)
		c.TrySent("n1", f, 1, "a", far, false)
		if violations := c.Violations(); len(violations) > 0 {
			t.Fatalf("violations before the injected one: %v", violations)
		}
		injected.do(c, f)
		violations := c.Violations()
		if len(violations) != 1 || violations[0].Rule != injected.rule || !strings.Contains(violations[0].Description, injected.what) {
			t.Errorf("%s: %v", name, violations)
		}
	}
}

// A reply is not missing if its caller is gone, its app server was killed or the request could not be written.
func TestCheckerExcusesMissingReplies(t *testing.T) {
	c, f, g := NewChecker(10*time.Millisecond), &proxiedConnection{}, &proxiedConnection{}
	c.RegisterRPC("never written", rpc.Tokened, time.Now())
	h := &proxiedConnection{}
	c.TrySent("n3", h, 9, "never written", time.Now(), false)
	c.TryNotWritten(h, 9)
	c.ConnectionEnded(h, false)
	for k, id := range []string{"gone", "closed", "killed"} {
		c.RegisterRPC(id, rpc.Tokened, time.Now())
		c.TrySent(fmt.Sprint("n", k), []*proxiedConnection{f, f, g}[k], int32(k+1), id, time.Now(), false)
	}
	c.TryInterrupted(f, 1)
	c.ConnectionEnded(f, true)
	c.ProcessKilled("n2")
	c.ConnectionEnded(g, false)
	c.ProcessExited("n2", -1, nil)
	time.Sleep(20 * time.Millisecond)
	c.Finish()
	if violations := c.Violations(); len(violations) > 0 {
		t.Errorf("%v", violations)
	}
}

// A request that crosses the close of its connection and is sent again is not lost, if callers resend such requests.
func TestCheckerAcceptsResendAfterClose(t *testing.T) {
	c, f, g := NewChecker(10*time.Millisecond), &proxiedConnection{}, &proxiedConnection{}
	c.ExpectResendAfterClose()
	far := time.Now().Add(time.Hour)
	c.RegisterRPC("a", rpc.Tokened, far)
	c.TrySent("n1", f, 1, "a", far, false)
	c.ConnectionEnded(f, false)
	c.TrySent("n1", g, 1, "a", far, true)
	c.ReplyReceived(g, 1, rpc.OK, false, 0)
	c.Finish()
	if violations := c.Violations(); len(violations) > 0 || c.Count("crossed") != 1 {
		t.Errorf("%d crossed, %v", c.Count("crossed"), violations)
	}
}

// The checker must find violations in traffic that passes through the recording proxy: a second reply to a request and a
// connection that the app server closes without a reply.
func TestCheckerObservesProxiedTraffic(t *testing.T) {
	stub, err := NewStub(func(h ReceivedRequest, out []byte) []byte {
		out = thrift.Served(out, h.Seq, RunResult(h.ID), 1)
		return thrift.Served(out, h.Seq, RunResult(h.ID), 1)
	})
	if err != nil {
		t.Fatal(err)
	}
	defer stub.Close()
	c := NewChecker(50 * time.Millisecond)
	proxy, err := NewFaultProxy("n1", stub.Address(), c)
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
	c.RegisterRPC("a", rpc.Idempotent, time.Now().Add(10*time.Second))
	c.RegisterRPC("b", rpc.Idempotent, time.Now().Add(10*time.Second))
	conn.Write(thrift.Execute(nil, 1, "m", "0123456789abcdef", 1, now, 9, 1, 0, false, "", "", EncodeBody("a", 0)))
	conn.Read(make([]byte, 4096))
	for end := time.Now().Add(10 * time.Second); len(c.Violations()) == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	stub.SetHandler(func(_ ReceivedRequest, out []byte) []byte { stub.CloseConnections(); return out })
	conn.Write(thrift.Execute(nil, 2, "m", "0123456789abcdef", 1, now, 9, 1, 0, false, "", "", EncodeBody("b", 0)))
	for end := time.Now().Add(10 * time.Second); len(c.Violations()) < 2 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	violations := c.Violations()
	if len(violations) != 2 || violations[0].Rule != 2 || violations[1].Rule != 1 {
		t.Errorf("%v", violations)
	}
}

// Owners of a role are evaluated by their orders and by their logs: concurrent owners and late orders count, but not an owner
// that takes over again under a later term.
func TestVerdict(t *testing.T) {
	at := time.Unix(0, 0)
	order := func(ms int, owner string, term uint64) Order {
		return Order{at.Add(time.Duration(ms) * time.Millisecond), owner, term}
	}
	for name, test := range map[string]struct {
		orders       []Order
		late, atOnce int
	}{
		"one after the other": {[]Order{order(0, "a", 1), order(10, "b", 2)}, 0, 1},
		"late":                {[]Order{order(0, "a", 1), order(10, "b", 2), order(20, "a", 1)}, 1, 2},
		"anew":                {[]Order{order(0, "a", 1), order(10, "b", 2), order(20, "a", 3)}, 0, 1},
		"without terms":       {[]Order{order(0, "a", 0), order(10, "b", 0), order(20, "a", 0)}, 1, 2},
		"long ago":            {[]Order{order(0, "a", 0), order(10, "b", 0), order(2000, "a", 0)}, 0, 1},
	} {
		if verdict := NewVerdict(test.orders, time.Second); verdict.LateEffects != test.late ||
			verdict.MaxConcurrentOwners != test.atOnce {
			t.Errorf("%s: %v", name, verdict)
		}
	}
	h := NewHistory()
	addLogLine := func(who, msg string, after float64) {
		h.AddLogLine(who, fmt.Appendf(nil, `{"msg":%q,"role":"o","term":1,"ts":%f}`, msg, float64(h.startedAt.UnixNano())/1e9+after))
	}
	addLogLine("a", "role acquired", 1)
	addLogLine("a", "stepped down", 2)
	addLogLine("b", "role acquired", 2.5)
	if overlap := MaxOverlap(h.LeadershipIntervals()); overlap != 0 {
		t.Errorf("overlap of %g s for consecutive owners", overlap)
	}
	addLogLine("c", "role acquired", 3)
	h.AddEvent("", "fault", "kill c")
	addLogLine("b", "stepped down", 3.25)
	if overlap := MaxOverlap(h.LeadershipIntervals()); overlap > 0.3 || len(h.LeadershipIntervals()) != 3 {
		t.Errorf("%g s, %v", overlap, h.LeadershipIntervals())
	}
	addLogLine("a", "role acquired", 3.1)
	if overlap := MaxOverlap(h.LeadershipIntervals()); overlap < 0.14 || overlap > 0.16 {
		t.Errorf("overlap of %g s for concurrent owners", overlap)
	}
}
