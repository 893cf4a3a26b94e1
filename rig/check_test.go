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

// The checker must report exactly the injected violation of each kind, and none before it is injected.
func TestCheckerFindsViolations(t *testing.T) {
	far := time.Now().Add(time.Hour)
	for name, injected := range map[string]struct {
		rule   int
		what   string
		inject func(check *Checker, conn *proxiedConnection)
	}{
		"double run": {2, "run a second time", func(check *Checker, conn *proxiedConnection) {
			check.RunStarted("n1", "a")
			check.RunStarted("n2", "a")
		}},
		"lost reply": {1, "without a reply", func(check *Checker, conn *proxiedConnection) {
			check.ConnectionEnded(conn, false)
		}},
		"lost run": {1, "without a reply", func(check *Checker, conn *proxiedConnection) {
			check.RunStarted("n1", "a")
			check.ConnectionEnded(conn, false)
		}},
		"lost over a close": {1, "not sent again", func(check *Checker, conn *proxiedConnection) {
			check.ExpectResendAfterClose()
			check.ConnectionEnded(conn, false)
			check.Finish()
		}},
		"lost before a close": {1, "without a reply", func(check *Checker, conn *proxiedConnection) {
			check.ExpectResendAfterClose()
			time.Sleep(resendWindow + 20*time.Millisecond)
			check.ConnectionEnded(conn, false)
		}},
		"run and lost over a close": {1, "without a reply", func(check *Checker, conn *proxiedConnection) {
			check.ExpectResendAfterClose()
			check.RunStarted("n1", "a")
			check.ConnectionEnded(conn, false)
		}},
		"no reply": {1, "never answered", func(check *Checker, conn *proxiedConnection) {
			check.TrySent("n1", conn, 2, "a", time.Now().Add(-time.Second), false)
			check.Finish()
		}},
		"two replies": {2, "two replies to", func(check *Checker, conn *proxiedConnection) {
			check.ReplyReceived(conn, 1, rpc.OK, false, 0)
			check.ReplyReceived(conn, 1, rpc.OK, false, 0)
		}},
		"reply to no request": {1, "which no request has used", func(check *Checker, conn *proxiedConnection) {
			check.ReplyReceived(conn, 9, rpc.OK, false, 0)
		}},
		"made-up result": {1, "no run of it produced", func(check *Checker, conn *proxiedConnection) {
			check.VerifyResult("a", RunResult("a"))
		}},
		"late run": {3, "after the request to shut down", func(check *Checker, conn *proxiedConnection) {
			check.ShutdownRequested("n1", -time.Second, time.Hour)
			check.TrySent("n1", conn, 2, "a", far, false)
			check.RunStarted("n1", "a")
		}},
		"late reply": {1, "after its deadline", func(check *Checker, conn *proxiedConnection) {
			check.TrySent("n1", conn, 2, "a", time.Now().Add(-time.Second), false)
			check.ReplyReceived(conn, 2, rpc.OK, false, 0)
		}},
		"pushed back once run": {2, "where it had been run", func(check *Checker, conn *proxiedConnection) {
			check.RunStarted("n1", "a")
			check.ReplyReceived(conn, 1, rpc.PushedBack, false, 0)
		}},
		"crash": {4, "ended without a request to shut down", func(check *Checker, conn *proxiedConnection) {
			check.ProcessExited("n1", 2, nil)
		}},
		"memory": {4, "uses 2 MB of memory", func(check *Checker, conn *proxiedConnection) {
			check.VerifyMemory("n1", 2<<20, 1<<20)
		}},
		"ended late": {3, "after its stop timeout", func(check *Checker, conn *proxiedConnection) {
			check.ShutdownRequested("n1", 0, -time.Hour)
			check.ProcessExited("n1", 0, nil)
		}},
		"refused and tried again": {5, "before it was allowed", func(check *Checker, conn *proxiedConnection) {
			check.ReplyReceived(conn, 1, rpc.PushedBack, true, 0)
			check.TrySent("n1", conn, 2, "a", far, true)
		}},
		"too early": {5, "before it was allowed", func(check *Checker, conn *proxiedConnection) {
			check.ReplyReceived(conn, 1, rpc.PushedBack, false, time.Minute)
			check.TrySent("n1", conn, 2, "a", far, true)
		}},
		"sent late": {5, "after its deadline", func(check *Checker, conn *proxiedConnection) {
			due := time.Now().Add(-time.Second)
			check.RegisterRPC("b", rpc.Idempotent, due)
			check.TrySent("n1", conn, 2, "b", due, false)
		}},
		"deadline extended": {5, "later than its own", func(check *Checker, conn *proxiedConnection) {
			check.RegisterRPC("b", rpc.Idempotent, time.Now().Add(time.Second))
			check.TrySent("n1", conn, 2, "b", far, false)
		}},
		"non-idempotent twice": {5, "sent twice", func(check *Checker, conn *proxiedConnection) {
			check.RegisterRPC("b", rpc.NonIdempotent, far)
			check.TrySent("n1", conn, 2, "b", far, false)
			check.TrySent("n1", conn, 3, "b", far, true)
		}},
	} {
		check, conn := NewChecker(10*time.Millisecond), &proxiedConnection{}
		check.ProcessStarted("n1")
		check.RegisterRPC("a", rpc.Tokened, far)
		check.TrySent("n1", conn, 1, "a", far, false)
		if violations := check.Violations(); len(violations) > 0 {
			t.Fatalf("violations before the injected one: %v", violations)
		}
		injected.inject(check, conn)
		violations := check.Violations()
		if len(violations) != 1 || violations[0].Rule != injected.rule || !strings.Contains(violations[0].Description, injected.what) {
			t.Errorf("%s: %v", name, violations)
		}
	}
}

// A reply is not missing if the caller canceled the RPC or closed the connection, if the app server was killed or if the request
// could not be written.
func TestCheckerExcusesMissingReplies(t *testing.T) {
	check, interrupted, killed := NewChecker(10*time.Millisecond), &proxiedConnection{}, &proxiedConnection{}
	check.RegisterRPC("never written", rpc.Tokened, time.Now())
	unwritten := &proxiedConnection{}
	check.TrySent("n3", unwritten, 9, "never written", time.Now(), false)
	check.TryNotWritten(unwritten, 9)
	check.ConnectionEnded(unwritten, false)
	for k, id := range []string{"gone", "closed", "killed"} {
		check.RegisterRPC(id, rpc.Tokened, time.Now())
		check.TrySent(fmt.Sprint("n", k), []*proxiedConnection{interrupted, interrupted, killed}[k], int32(k+1), id, time.Now(), false)
	}
	check.TryInterrupted(interrupted, 1)
	check.ConnectionEnded(interrupted, true)
	check.ProcessKilled("n2")
	check.ConnectionEnded(killed, false)
	check.ProcessExited("n2", -1, nil)
	time.Sleep(20 * time.Millisecond)
	check.Finish()
	if violations := check.Violations(); len(violations) > 0 {
		t.Errorf("%v", violations)
	}
}

// A request that crosses the close of its connection and is sent again is not lost, if callers resend such requests.
func TestCheckerAcceptsResendAfterClose(t *testing.T) {
	check, first, second := NewChecker(10*time.Millisecond), &proxiedConnection{}, &proxiedConnection{}
	check.ExpectResendAfterClose()
	far := time.Now().Add(time.Hour)
	check.RegisterRPC("a", rpc.Tokened, far)
	check.TrySent("n1", first, 1, "a", far, false)
	check.ConnectionEnded(first, false)
	check.TrySent("n1", second, 1, "a", far, true)
	check.ReplyReceived(second, 1, rpc.OK, false, 0)
	check.Finish()
	if violations := check.Violations(); len(violations) > 0 || check.Count("crossed") != 1 {
		t.Errorf("%d crossed, %v", check.Count("crossed"), violations)
	}
}

// The checker must find violations in traffic that passes through the fault proxy: a second reply to a request and a
// connection that the app server closes without a reply.
func TestCheckerObservesProxiedTraffic(t *testing.T) {
	stub, err := NewStub(func(request ReceivedRequest, out []byte) []byte {
		out = thrift.Served(out, request.Seq, RunResult(request.ID), 1)
		return thrift.Served(out, request.Seq, RunResult(request.ID), 1)
	})
	if err != nil {
		t.Fatal(err)
	}
	defer stub.Close()
	check := NewChecker(50 * time.Millisecond)
	proxy, err := NewFaultProxy("n1", stub.Address(), check)
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
	check.RegisterRPC("a", rpc.Idempotent, time.Now().Add(10*time.Second))
	check.RegisterRPC("b", rpc.Idempotent, time.Now().Add(10*time.Second))
	conn.Write(thrift.Execute(nil, 1, "m", "0123456789abcdef", 1, now, 9, 1, 0, false, "", "", EncodeBody("a", 0)))
	conn.Read(make([]byte, 4096))
	for end := time.Now().Add(10 * time.Second); len(check.Violations()) == 0 &&
		time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	stub.SetHandler(func(_ ReceivedRequest, out []byte) []byte { stub.CloseConnections(); return out })
	conn.Write(thrift.Execute(nil, 2, "m", "0123456789abcdef", 1, now, 9, 1, 0, false, "", "", EncodeBody("b", 0)))
	for end := time.Now().Add(10 * time.Second); len(check.Violations()) < 2 &&
		time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	violations := check.Violations()
	if len(violations) != 2 || violations[0].Rule != 2 || violations[1].Rule != 1 {
		t.Errorf("%v", violations)
	}
}

// Owners of a role are checked by their orders and by their logs. Concurrent owners and late orders must be counted, but not an
// owner that takes the role again in a later term.
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
		"owner again":         {[]Order{order(0, "a", 1), order(10, "b", 2), order(20, "a", 3)}, 0, 1},
		"without terms":       {[]Order{order(0, "a", 0), order(10, "b", 0), order(20, "a", 0)}, 1, 2},
		"long ago":            {[]Order{order(0, "a", 0), order(10, "b", 0), order(2000, "a", 0)}, 0, 1},
	} {
		if verdict := NewVerdict(test.orders, time.Second); verdict.LateEffects != test.late ||
			verdict.MaxConcurrentOwners != test.atOnce {
			t.Errorf("%s: %v", name, verdict)
		}
	}
	history := NewHistory()
	addLogLine := func(process, msg string, after float64) {
		history.AddLogLine(process, fmt.Appendf(nil, `{"msg":%q,"role":"o","term":1,"ts":%f}`, msg,
			float64(history.startedAt.UnixNano())/1e9+after))
	}
	addLogLine("a", "role acquired", 1)
	addLogLine("a", "stepped down", 2)
	addLogLine("b", "role acquired", 2.5)
	if overlap := MaxOverlap(history.LeadershipIntervals()); overlap != 0 {
		t.Errorf("overlap of %g s for consecutive owners", overlap)
	}
	addLogLine("c", "role acquired", 3)
	history.AddEvent("", "fault", "kill c")
	addLogLine("b", "stepped down", 3.25)
	if overlap := MaxOverlap(history.LeadershipIntervals()); overlap > 0.3 || len(history.LeadershipIntervals()) != 3 {
		t.Errorf("%g s, %v", overlap, history.LeadershipIntervals())
	}
	addLogLine("a", "role acquired", 3.1)
	if overlap := MaxOverlap(history.LeadershipIntervals()); overlap < 0.14 || overlap > 0.16 {
		t.Errorf("overlap of %g s for concurrent owners", overlap)
	}
}
