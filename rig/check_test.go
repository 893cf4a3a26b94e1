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
		inject func(checker *Checker, conn *proxiedConnection)
	}{
		"double run": {2, "run a second time", func(checker *Checker, conn *proxiedConnection) {
			checker.RunStarted("n1", "a")
			checker.RunStarted("n2", "a")
		}},
		"lost reply": {1, "without a reply", func(checker *Checker, conn *proxiedConnection) {
			checker.ConnectionEnded(conn, false)
		}},
		"lost run": {1, "without a reply", func(checker *Checker, conn *proxiedConnection) {
			checker.RunStarted("n1", "a")
			checker.ConnectionEnded(conn, false)
		}},
		"lost over a close": {1, "not sent again", func(checker *Checker, conn *proxiedConnection) {
			checker.ExpectResendAfterClose()
			checker.ConnectionEnded(conn, false)
			checker.Finish()
		}},
		"lost before a close": {1, "without a reply", func(checker *Checker, conn *proxiedConnection) {
			checker.ExpectResendAfterClose()
			time.Sleep(resendWindow + 20*time.Millisecond)
			checker.ConnectionEnded(conn, false)
		}},
		"run and lost over a close": {1, "without a reply", func(checker *Checker, conn *proxiedConnection) {
			checker.ExpectResendAfterClose()
			checker.RunStarted("n1", "a")
			checker.ConnectionEnded(conn, false)
		}},
		"no reply": {1, "never answered", func(checker *Checker, conn *proxiedConnection) {
			checker.TrySent("n1", conn, 2, "a", time.Now().Add(-time.Second), false)
			checker.Finish()
		}},
		"two replies": {2, "two replies to", func(checker *Checker, conn *proxiedConnection) {
			checker.ReplyReceived(conn, 1, rpc.OK, false, 0)
			checker.ReplyReceived(conn, 1, rpc.OK, false, 0)
		}},
		"reply to no request": {1, "which no request has used", func(checker *Checker, conn *proxiedConnection) {
			checker.ReplyReceived(conn, 9, rpc.OK, false, 0)
		}},
		"made-up result": {1, "no run of it produced", func(checker *Checker, conn *proxiedConnection) {
			checker.VerifyResult("a", RunResult("a"))
		}},
		"late run": {3, "after the request to shut down", func(checker *Checker, conn *proxiedConnection) {
			checker.ShutdownRequested("n1", -time.Second, time.Hour)
			checker.TrySent("n1", conn, 2, "a", far, false)
			checker.RunStarted("n1", "a")
		}},
		"late reply": {1, "after its deadline", func(checker *Checker, conn *proxiedConnection) {
			checker.TrySent("n1", conn, 2, "a", time.Now().Add(-time.Second), false)
			checker.ReplyReceived(conn, 2, rpc.OK, false, 0)
		}},
		"pushed back once run": {2, "where it had been run", func(checker *Checker, conn *proxiedConnection) {
			checker.RunStarted("n1", "a")
			checker.ReplyReceived(conn, 1, rpc.PushedBack, false, 0)
		}},
		"crash": {4, "ended without a request to shut down", func(checker *Checker, conn *proxiedConnection) {
			checker.ProcessExited("n1", 2, nil)
		}},
		"memory": {4, "uses 2 MB of memory", func(checker *Checker, conn *proxiedConnection) {
			checker.VerifyMemory("n1", 2<<20, 1<<20)
		}},
		"ended late": {3, "after its stop timeout", func(checker *Checker, conn *proxiedConnection) {
			checker.ShutdownRequested("n1", 0, -time.Hour)
			checker.ProcessExited("n1", 0, nil)
		}},
		"refused and tried again": {5, "before it was allowed", func(checker *Checker, conn *proxiedConnection) {
			checker.ReplyReceived(conn, 1, rpc.PushedBack, true, 0)
			checker.TrySent("n1", conn, 2, "a", far, true)
		}},
		"too early": {5, "before it was allowed", func(checker *Checker, conn *proxiedConnection) {
			checker.ReplyReceived(conn, 1, rpc.PushedBack, false, time.Minute)
			checker.TrySent("n1", conn, 2, "a", far, true)
		}},
		"sent late": {5, "after its deadline", func(checker *Checker, conn *proxiedConnection) {
			due := time.Now().Add(-time.Second)
			checker.RegisterRPC("b", rpc.Idempotent, due)
			checker.TrySent("n1", conn, 2, "b", due, false)
		}},
		"deadline extended": {5, "later than its own", func(checker *Checker, conn *proxiedConnection) {
			checker.RegisterRPC("b", rpc.Idempotent, time.Now().Add(time.Second))
			checker.TrySent("n1", conn, 2, "b", far, false)
		}},
		"non-idempotent twice": {5, "sent twice", func(checker *Checker, conn *proxiedConnection) {
			checker.RegisterRPC("b", rpc.NonIdempotent, far)
			checker.TrySent("n1", conn, 2, "b", far, false)
			checker.TrySent("n1", conn, 3, "b", far, true)
		}},
	} {
		checker, conn := NewChecker(10*time.Millisecond), &proxiedConnection{}
		checker.ProcessStarted("n1")
		checker.RegisterRPC("a", rpc.Tokened, far)
		checker.TrySent("n1", conn, 1, "a", far, false)
		if violations := checker.Violations(); len(violations) > 0 {
			t.Fatalf("violations before the injected one: %v", violations)
		}
		injected.inject(checker, conn)
		violations := checker.Violations()
		if len(violations) != 1 || violations[0].Rule != injected.rule || !strings.Contains(violations[0].Description, injected.what) {
			t.Errorf("%s: %v", name, violations)
		}
	}
}

// A reply is not missing if the caller canceled the RPC or closed the connection, if the app server was killed or if the request
// could not be written.
func TestCheckerExcusesMissingReplies(t *testing.T) {
	checker, interrupted, killed := NewChecker(10*time.Millisecond), &proxiedConnection{}, &proxiedConnection{}
	checker.RegisterRPC("never written", rpc.Tokened, time.Now())
	unwritten := &proxiedConnection{}
	checker.TrySent("n3", unwritten, 9, "never written", time.Now(), false)
	checker.TryNotWritten(unwritten, 9)
	checker.ConnectionEnded(unwritten, false)
	for k, id := range []string{"gone", "closed", "killed"} {
		checker.RegisterRPC(id, rpc.Tokened, time.Now())
		checker.TrySent(fmt.Sprint("n", k), []*proxiedConnection{interrupted, interrupted, killed}[k], int32(k+1), id,
			time.Now(), false)
	}
	checker.TryInterrupted(interrupted, 1)
	checker.ConnectionEnded(interrupted, true)
	checker.ProcessKilled("n2")
	checker.ConnectionEnded(killed, false)
	checker.ProcessExited("n2", -1, nil)
	time.Sleep(20 * time.Millisecond)
	checker.Finish()
	if violations := checker.Violations(); len(violations) > 0 {
		t.Errorf("%v", violations)
	}
}

// A request that crosses the close of its connection and is sent again is not lost, if callers resend such requests.
func TestCheckerAcceptsResendAfterClose(t *testing.T) {
	checker, first, second := NewChecker(10*time.Millisecond), &proxiedConnection{}, &proxiedConnection{}
	checker.ExpectResendAfterClose()
	far := time.Now().Add(time.Hour)
	checker.RegisterRPC("a", rpc.Tokened, far)
	checker.TrySent("n1", first, 1, "a", far, false)
	checker.ConnectionEnded(first, false)
	checker.TrySent("n1", second, 1, "a", far, true)
	checker.ReplyReceived(second, 1, rpc.OK, false, 0)
	checker.Finish()
	if violations := checker.Violations(); len(violations) > 0 || checker.Count("crossed") != 1 {
		t.Errorf("%d crossed, %v", checker.Count("crossed"), violations)
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
	checker := NewChecker(50 * time.Millisecond)
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
	checker.RegisterRPC("a", rpc.Idempotent, time.Now().Add(10*time.Second))
	checker.RegisterRPC("b", rpc.Idempotent, time.Now().Add(10*time.Second))
	conn.Write(thrift.Execute(nil, 1, "m", "0123456789abcdef", 1, now, 9, 1, 0, false, "", "", EncodeBody("a", 0)))
	conn.Read(make([]byte, 4096))
	for end := time.Now().Add(10 * time.Second); len(checker.Violations()) == 0 &&
		time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	stub.SetHandler(func(_ ReceivedRequest, out []byte) []byte { stub.CloseConnections(); return out })
	conn.Write(thrift.Execute(nil, 2, "m", "0123456789abcdef", 1, now, 9, 1, 0, false, "", "", EncodeBody("b", 0)))
	for end := time.Now().Add(10 * time.Second); len(checker.Violations()) < 2 &&
		time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	violations := checker.Violations()
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
