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

// Each kind of violation is planted, and found; the same without it is not.
func TestCheckerCatches(t *testing.T) {
	far := time.Now().Add(time.Hour)
	for name, plant := range map[string]struct {
		rule int
		what string
		do   func(c *Checker, f *flow)
	}{
		"double run": {2, "run a second time", func(c *Checker, f *flow) {
			c.RunStarted("n1", "a")
			c.RunStarted("n2", "a")
		}},
		"lost answer": {1, "without an answer", func(c *Checker, f *flow) {
			c.ConnectionEnded(f, false)
		}},
		"lost run": {1, "without an answer", func(c *Checker, f *flow) {
			c.RunStarted("n1", "a")
			c.ConnectionEnded(f, false)
		}},
		"lost over a close": {1, "not sent again", func(c *Checker, f *flow) {
			c.ExpectResendAfterClose()
			c.ConnectionEnded(f, false)
			c.Finish()
		}},
		"lost before a close": {1, "without an answer", func(c *Checker, f *flow) {
			c.ExpectResendAfterClose()
			time.Sleep(resendWindow + 20*time.Millisecond)
			c.ConnectionEnded(f, false)
		}},
		"run and lost over a close": {1, "without an answer", func(c *Checker, f *flow) {
			c.ExpectResendAfterClose()
			c.RunStarted("n1", "a")
			c.ConnectionEnded(f, false)
		}},
		"no answer": {1, "never answered", func(c *Checker, f *flow) {
			c.TrySent("n1", f, 2, "a", time.Now().Add(-time.Second), false)
			c.Finish()
		}},
		"two answers": {2, "two answers", func(c *Checker, f *flow) {
			c.ReplyReceived(f, 1, rpc.OK, false, 0)
			c.ReplyReceived(f, 1, rpc.OK, false, 0)
		}},
		"answer to nothing": {1, "which was not asked", func(c *Checker, f *flow) { c.ReplyReceived(f, 9, rpc.OK, false, 0) }},
		"made-up result":    {1, "no run of it made", func(c *Checker, f *flow) { c.VerifyResult("a", RunResult("a")) }},
		"late run": {3, "after its notice", func(c *Checker, f *flow) {
			c.ShutdownRequested("n1", -time.Second, time.Hour)
			c.TrySent("n1", f, 2, "a", far, false)
			c.RunStarted("n1", "a")
		}},
		"late answer": {1, "after its deadline", func(c *Checker, f *flow) {
			c.TrySent("n1", f, 2, "a", time.Now().Add(-time.Second), false)
			c.ReplyReceived(f, 2, rpc.OK, false, 0)
		}},
		"pushed back once run": {2, "where it had been run", func(c *Checker, f *flow) {
			c.RunStarted("n1", "a")
			c.ReplyReceived(f, 1, rpc.PushedBack, false, 0)
		}},
		"crash":   {4, "ended by itself", func(c *Checker, f *flow) { c.ProcessExited("n1", 2, nil) }},
		"memory":  {4, "takes", func(c *Checker, f *flow) { c.VerifyMemory("n1", 2<<20, 1<<20) }},
		"overran": {3, "after its stop", func(c *Checker, f *flow) { c.ShutdownRequested("n1", 0, -time.Hour); c.ProcessExited("n1", 0, nil) }},
		"refused and tried again": {5, "before it was allowed", func(c *Checker, f *flow) {
			c.ReplyReceived(f, 1, rpc.PushedBack, true, 0)
			c.TrySent("n1", f, 2, "a", far, true)
		}},
		"too early": {5, "before it was allowed", func(c *Checker, f *flow) {
			c.ReplyReceived(f, 1, rpc.PushedBack, false, time.Minute)
			c.TrySent("n1", f, 2, "a", far, true)
		}},
		"sent late": {5, "after its deadline", func(c *Checker, f *flow) {
			due := time.Now().Add(-time.Second)
			c.RegisterRPC("b", rpc.Idempotent, due)
			c.TrySent("n1", f, 2, "b", due, false)
		}},
		"deadline stretched": {5, "later than its own", func(c *Checker, f *flow) {
			c.RegisterRPC("b", rpc.Idempotent, time.Now().Add(time.Second))
			c.TrySent("n1", f, 2, "b", far, false)
		}},
		"non-idempotent twice": {5, "sent twice", func(c *Checker, f *flow) {
			c.RegisterRPC("b", rpc.NonIdempotent, far)
			c.TrySent("n1", f, 2, "b", far, false)
			c.TrySent("n1", f, 3, "b", far, true)
		}},
	} {
		c, f := NewChecker(10*time.Millisecond), &flow{}
		c.ProcessStarted("n1")
		c.RegisterRPC("a", rpc.Tokened, far)
		c.TrySent("n1", f, 1, "a", far, false)
		if b := c.Violations(); len(b) > 0 {
			t.Fatalf("a violation where there is none: %v", b)
		}
		plant.do(c, f)
		b := c.Violations()
		if len(b) != 1 || b[0].Rule != plant.rule || !strings.Contains(b[0].Description, plant.what) {
			t.Errorf("%s: %v", name, b)
		}
	}
}

// What is excused is no violation: a caller that is gone, an app server that was killed.
func TestCheckerExcuses(t *testing.T) {
	c, f, g := NewChecker(10*time.Millisecond), &flow{}, &flow{}
	c.RegisterRPC("never written", rpc.Tokened, time.Now())
	h := &flow{}
	c.TrySent("n3", h, 9, "never written", time.Now(), false)
	c.TryNotWritten(h, 9)
	c.ConnectionEnded(h, false)
	for k, id := range []string{"gone", "closed", "killed"} {
		c.RegisterRPC(id, rpc.Tokened, time.Now())
		c.TrySent(fmt.Sprint("n", k), []*flow{f, f, g}[k], int32(k+1), id, time.Now(), false)
	}
	c.TryInterrupted(f, 1)
	c.ConnectionEnded(f, true)
	c.ProcessKilled("n2")
	c.ConnectionEnded(g, false)
	c.ProcessExited("n2", -1, nil)
	time.Sleep(20 * time.Millisecond)
	c.Finish()
	if b := c.Violations(); len(b) > 0 {
		t.Errorf("%v", b)
	}
}

// What crosses a close and is sent again is not lost, where callers do so.
func TestCheckerCrossed(t *testing.T) {
	c, f, g := NewChecker(10*time.Millisecond), &flow{}, &flow{}
	c.ExpectResendAfterClose()
	far := time.Now().Add(time.Hour)
	c.RegisterRPC("a", rpc.Tokened, far)
	c.TrySent("n1", f, 1, "a", far, false)
	c.ConnectionEnded(f, false)
	c.TrySent("n1", g, 1, "a", far, true)
	c.ReplyReceived(g, 1, rpc.OK, false, 0)
	c.Finish()
	if b := c.Violations(); len(b) > 0 || c.Count("crossed") != 1 {
		t.Errorf("%d crossed, %v", c.Count("crossed"), b)
	}
}

// Through the network the checker sees the same: an app server that answers twice, then one that leaves without an
// answer.
func TestNetShows(t *testing.T) {
	s, err := NewStub(func(h Heard, out []byte) []byte {
		out = thrift.Served(out, h.Seq, RunResult(h.ID), 1)
		return thrift.Served(out, h.Seq, RunResult(h.ID), 1)
	})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	c := NewChecker(50 * time.Millisecond)
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
	c.RegisterRPC("a", rpc.Idempotent, time.Now().Add(10*time.Second))
	c.RegisterRPC("b", rpc.Idempotent, time.Now().Add(10*time.Second))
	nc.Write(thrift.Execute(nil, 1, "m", "0123456789abcdef", 1, now, 9, 1, 0, false, "", "", EncodeBody("a", 0)))
	nc.Read(make([]byte, 4096))
	for end := time.Now().Add(10 * time.Second); len(c.Violations()) == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	s.Behave(func(_ Heard, out []byte) []byte { s.Cut(); return out })
	nc.Write(thrift.Execute(nil, 2, "m", "0123456789abcdef", 1, now, 9, 1, 0, false, "", "", EncodeBody("b", 0)))
	for end := time.Now().Add(10 * time.Second); len(c.Violations()) < 2 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	b := c.Violations()
	if len(b) != 2 || b[0].Rule != 2 || b[1].Rule != 1 {
		t.Errorf("%v", b)
	}
}

// What owners did is judged by their orders and by what they say: beside each other, late, and anew under a later term.
func TestVerdict(t *testing.T) {
	at := time.Unix(0, 0)
	order := func(ms int, owner string, term uint64) Order {
		return Order{at.Add(time.Duration(ms) * time.Millisecond), owner, term}
	}
	for name, one := range map[string]struct {
		orders       []Order
		late, atOnce int
	}{
		"one after the other": {[]Order{order(0, "a", 1), order(10, "b", 2)}, 0, 1},
		"late":                {[]Order{order(0, "a", 1), order(10, "b", 2), order(20, "a", 1)}, 1, 2},
		"anew":                {[]Order{order(0, "a", 1), order(10, "b", 2), order(20, "a", 3)}, 0, 1},
		"without terms":       {[]Order{order(0, "a", 0), order(10, "b", 0), order(20, "a", 0)}, 1, 2},
		"long ago":            {[]Order{order(0, "a", 0), order(10, "b", 0), order(2000, "a", 0)}, 0, 1},
	} {
		if j := NewVerdict(one.orders, time.Second); j.LateEffects != one.late || j.MaxConcurrentOwners != one.atOnce {
			t.Errorf("%s: %v", name, j)
		}
	}
	h := NewHistory()
	say := func(who, msg string, after float64) {
		h.AddLogLine(who, fmt.Appendf(nil, `{"msg":%q,"role":"o","term":1,"ts":%f}`, msg, float64(h.startedAt.UnixNano())/1e9+after))
	}
	say("a", "role acquired", 1)
	say("a", "stepped down", 2)
	say("b", "role acquired", 2.5)
	if o := MaxOverlap(h.LeadershipIntervals()); o != 0 {
		t.Errorf("%g s of those who followed each other", o)
	}
	say("c", "role acquired", 3)
	h.AddEvent("", "fault", "kill c")
	say("b", "stepped down", 3.25)
	if o := MaxOverlap(h.LeadershipIntervals()); o > 0.3 || len(h.LeadershipIntervals()) != 3 {
		t.Errorf("%g s, %v", o, h.LeadershipIntervals())
	}
	say("a", "role acquired", 3.1)
	if o := MaxOverlap(h.LeadershipIntervals()); o < 0.14 || o > 0.16 {
		t.Errorf("%g s of two at the same time", o)
	}
}
