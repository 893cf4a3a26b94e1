package rig

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"valveglade/internal/thrift"
)

// stubServer is an app server that does what a test has it do, over the wire: behind the network for its clients, with a link
// to its kernel.
type stubServer struct {
	*testTrial
	*Stub
	t      *testing.T
	link   *testLink
	net    *Net
	client net.Conn
	number int32
}

func newStubServer(t *testing.T, config KernelConfig) *stubServer {
	t.Helper()
	s := &stubServer{testTrial: newTestTrial(t, config), t: t}
	stub, err := NewStub(func(h Heard, out []byte) []byte { return s.honest(h, out) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stub.Close)
	s.Stub = stub
	if s.net, err = NewNet("n1", stub.Address(), s.check); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.net.Close)
	s.link = dialKernel(t, s.kernel, 0)
	s.connect()
	return s
}

// connect opens a new connection of the client.
func (s *stubServer) connect() {
	s.t.Helper()
	nc, err := net.Dial("tcp", s.net.Address())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { nc.Close() })
	s.client, s.number = nc, 0
}

// honest runs an RPC and serves it with the result.
func (s *stubServer) honest(h Heard, out []byte) []byte {
	return thrift.Served(out, h.Seq, s.run(h.Call, h.Method, h.Body), 1)
}

// run has the kernel run something and returns the result, nil if it did not run.
func (s *stubServer) run(call, method string, body []byte) []byte {
	s.link.sched(call, method, body)
	return s.link.hear().Content
}

// call has the client send one try, due in so long.
func (s *stubServer) call(call, method, token string, body []byte, ttl time.Duration) {
	s.t.Helper()
	s.check.settings.Catalog.Add(call, CatalogEntry{RPC: "rpc " + token + string(body), Result: []byte("made by " + call)})
	s.number++
	now := float64(time.Now().UnixMilli()) / 1000
	frame := thrift.Execute(nil, s.number, method, call, 1, now, ttl.Seconds(), 10, 0.5, false, token, "", body)
	if _, err := s.client.Write(frame); err != nil {
		s.t.Fatal(err)
	}
}

// answered reads whatever comes next.
func (s *stubServer) answered() {
	s.t.Helper()
	s.client.SetReadDeadline(time.Now().Add(patienceOfTests))
	if _, err := s.client.Read(make([]byte, 4096)); err != nil {
		s.t.Fatal(err)
	}
}

// found waits for the violation.
func (s *stubServer) found(rule int, what string) {
	s.t.Helper()
	waitFor(s.t, "a violation: "+what, func() bool { return len(s.check.Violations()) > 0 })
	s.one(s.t, rule, what)
}

const long = 10 * time.Second

// An app server that does as it should breaks no rule, also where a tokened RPC comes again.
func TestJudgeHonest(t *testing.T) {
	s := newStubServer(t, KernelConfig{Preemption: PreemptNone})
	results := map[string][]byte{}
	s.Behave(func(h Heard, out []byte) []byte {
		switch {
		case h.CheckOnly:
			return thrift.Checked(out, h.Seq, true, 1)
		case h.Interrupt:
			return out
		case h.Method == "read":
			return thrift.PushedBack(out, h.Seq, true, 0.2, 1)
		case results[h.Token] != nil:
			return thrift.Served(out, h.Seq, results[h.Token], 1)
		}
		results[h.Token] = s.run(h.Call, h.Method, h.Body)
		return thrift.Served(out, h.Seq, results[h.Token], 1)
	})
	for k, method := range []string{"write", "write", "charge", "read"} {
		token := map[string]string{"write": "token"}[method]
		s.call(fmt.Sprintf("%016x", k), method, token, []byte("\x00 any"), long)
		s.answered()
	}
	s.number++
	s.client.Write(thrift.Check(nil, s.number))
	s.answered()
	s.check.Finish()
	s.none(t)
}

// Each fault that is planted in an app server is found, and nothing beside it.
func TestJudgeFindsPlanted(t *testing.T) {
	for name, plant := range map[string]struct {
		behave func(s *stubServer, h Heard, out []byte) []byte
		rule   int
		what   string
	}{
		"a body of another RPC": {func(s *stubServer, h Heard, out []byte) []byte {
			s.run(h.Call, h.Method, []byte("another"))
			return thrift.Aborted(out, h.Seq, 1)
		}, 1, "with the body"},
		"an altered method": {func(s *stubServer, h Heard, out []byte) []byte {
			s.run(h.Call, "charge", h.Body)
			return thrift.Aborted(out, h.Seq, 1)
		}, 1, "in class"},
		"an RPC that no client sent": {func(s *stubServer, h Heard, out []byte) []byte {
			s.run(tryB, h.Method, h.Body)
			return thrift.Aborted(out, h.Seq, 1)
		}, 1, "an id that none has"},
		"a second run": {func(s *stubServer, h Heard, out []byte) []byte {
			s.run(h.Call, h.Method, h.Body)
			return s.honest(h, out)
		}, 2, "a second time"},
		"two answers": {func(s *stubServer, h Heard, out []byte) []byte {
			out = s.honest(h, out)
			return thrift.Aborted(out, h.Seq, 1)
		}, 2, "two answers"},
		"an answer to nobody": {func(s *stubServer, h Heard, out []byte) []byte {
			return thrift.Aborted(s.honest(h, out), h.Seq+1, 1)
		}, 1, "not asked"},
		"a health check that nobody asked for": {func(s *stubServer, h Heard, out []byte) []byte {
			return thrift.Checked(s.honest(h, out), h.Seq+1, true, 1)
		}, 1, "not asked"},
		"a result of no run": {func(s *stubServer, h Heard, out []byte) []byte {
			return thrift.Served(out, h.Seq, []byte("made by "+h.Call), 1)
		}, 1, "no run of it made"},
		"a result that is altered": {func(s *stubServer, h Heard, out []byte) []byte {
			return thrift.Served(out, h.Seq, s.run(h.Call, h.Method, h.Body)[1:], 1)
		}, 1, "no run of it made"},
		"pushed back once run": {func(s *stubServer, h Heard, out []byte) []byte {
			s.run(h.Call, h.Method, h.Body)
			return thrift.PushedBack(out, h.Seq, false, 0, 1)
		}, 2, "had been run"},
		"an answer that cannot be read": {func(s *stubServer, h Heard, out []byte) []byte {
			whole := s.honest(h, nil)
			whole[len(whole)-1] = 8 // in place of the end
			return append(out, whole...)
		}, 1, "no router can read"},
		"an answer of no length": {func(s *stubServer, h Heard, out []byte) []byte {
			return append(s.honest(h, out), 0xff, 0xff, 0xff, 0xff)
		}, 1, "no router can read"},
		"a load that is no number": {func(s *stubServer, h Heard, out []byte) []byte {
			whole := s.honest(h, out)
			return []byte(strings.Replace(string(whole), "load\x00\x00\x00\x011", "load\x00\x00\x00\x01x", 1))
		}, 1, "load"},
		"a run that may not be stopped": {func(s *stubServer, h Heard, out []byte) []byte {
			out = s.honest(h, out)
			s.link.say(`{"action":"PREEMPT","uid":"%s"}`, h.Call)
			s.link.hear()
			return out
		}, 1, "do not allow"},
		"what is no command": {func(s *stubServer, h Heard, out []byte) []byte {
			out = s.honest(h, out)
			s.link.say(`{"action":"SCHED"}`)
			return out
		}, 1, "wrote to its kernel"},
		"a close over a read request on a new connection": {func(s *stubServer, h Heard, out []byte) []byte {
			s.Cut()
			return out
		}, 1, "without an answer"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStubServer(t, KernelConfig{Preemption: PreemptNone})
			done := make(chan struct{})
			s.Behave(func(h Heard, out []byte) []byte {
				defer close(done)
				return plant.behave(s, h, out)
			})
			s.call(tryA, "write", "token", []byte("body of A"), long)
			s.found(plant.rule, plant.what)
			<-done // nothing is said to the kernel once the test is over
		})
	}
}

// An RPC that is never answered is found once its deadline is over.
func TestJudgeFindsLost(t *testing.T) {
	s := newStubServer(t, KernelConfig{})
	s.Behave(func(h Heard, out []byte) []byte { return out })
	s.call(tryA, "read", "", nil, time.Millisecond)
	waitFor(t, "the lost answer", func() bool { s.check.Finish(); return len(s.check.Violations()) > 0 })
	s.one(t, 1, "never answered")
}

// A process that was stopped owes its answers once it goes on.
func TestJudgeFindsLostAfterPause(t *testing.T) {
	s := newTestTrial(t, KernelConfig{})
	s.check.TrySent("n1", s.flow, 1, "a", time.Now(), false) // not asked for, and so not judged
	s.sent(tryA, "read", "", nil, 0)
	tries := s.check.tries[s.flow]
	tries[1].due = time.Now().Add(-time.Hour)
	s.check.SetPaused("n1", true)
	s.check.Finish()
	s.none(t)
	s.check.SetPaused("n1", false)
	s.check.Finish()
	s.none(t) // a moment to catch up
	s.check.servers["n1"].resumedAt = time.Now().Add(-2 * resumeGracePeriod)
	s.check.Finish()
	s.one(t, 1, "never answered")
}

// A tokened RPC may run again once its window is over, and not before; the window counts from the arrival of the try that ran.
func TestJudgeWindow(t *testing.T) {
	for name, one := range map[string]struct {
		later time.Duration // of the second try
		token string
		what  string
	}{
		"within":        {19 * time.Second, "token", "before the end of its window"},
		"past it":       {21 * time.Second, "token", ""},
		"another token": {time.Second, "other", ""},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestTrial(t, KernelConfig{})
			run := func(call, token string) {
				s.sent(call, "write", token, []byte("body"), 3600)
				o, ok := s.check.resolveCommand("n1", call, "write", []byte("body"))
				if !ok {
					t.Fatal("not known")
				}
				s.check.recordRunStart("n1", o)
			}
			run(tryA, "token")
			first := s.check.servers["n1"].requests.byCall[tryA][0]
			first.arrivedAt, first.sentAt = first.arrivedAt.Add(-one.later), first.sentAt.Add(-one.later)
			run(tryB, one.token)
			if one.what == "" {
				s.none(t)
				return
			}
			s.one(t, 2, one.what)
		})
	}
}

// A repeat of what has been run is not pushed back either, as long as its window lasts.
func TestJudgePushedBackRepeat(t *testing.T) {
	for name, one := range map[string]struct {
		ago  time.Duration // the run
		what string
	}{"within its window": {time.Second, "had been run"}, "past it": {time.Minute, ""}} {
		t.Run(name, func(t *testing.T) {
			s := newTestTrial(t, KernelConfig{})
			s.sent(tryA, "write", "token", nil, 0)
			s.sent(tryB, "write", "token", nil, 0)
			first := s.check.servers["n1"].requests.byCall[tryA][0]
			first.lastRunAt, first.arrivedAt = first.sentAt.Add(-one.ago), first.arrivedAt.Add(-one.ago)
			s.check.observeReply(s.flow, reply{kind: replyPushedBack, seq: 2}, nil)
			if one.what == "" {
				s.none(t)
				return
			}
			s.one(t, 2, one.what)
		})
	}
}

// A run of what came past the grace is found, by when it came and not by when it began.
func TestJudgeGrace(t *testing.T) {
	s := newStubServer(t, KernelConfig{})
	s.call(tryA, "read", "", nil, long)
	s.answered()
	s.check.ShutdownRequested("n1", -time.Hour, time.Hour)
	s.run(tryA, "read", nil) // it is over, and so not begun
	s.none(t)
	s.call(tryB, "read", "", nil, long)
	s.found(3, "after its notice and was run")
	s.answered()
}

// Clients that number two RPCs alike, or end, are nobody's fault but theirs.
func TestJudgeExcusesClients(t *testing.T) {
	s := newStubServer(t, KernelConfig{})
	release := make(chan struct{})
	s.Behave(func(h Heard, out []byte) []byte {
		if len(s.Heard()) == 1 {
			<-release
		}
		return thrift.Aborted(out, h.Seq, 1)
	})
	s.call(tryA, "read", "", nil, long)
	s.number--
	s.call(tryB, "read", "", nil, long)
	close(release)
	s.answered()
	waitFor(t, "both", func() bool { return len(s.Heard()) == 2 })
	s.connect()
	s.Behave(func(_ Heard, out []byte) []byte { return out })
	s.call("00000000000000cc", "read", "", nil, time.Millisecond)
	waitFor(t, "the third", func() bool { return len(s.Heard()) == 3 })
	s.client.Close()
	waitFor(t, "the end of the connection", func() bool {
		s.check.mu.Lock()
		defer s.check.mu.Unlock()
		return len(s.check.tries) < 2
	})
	s.check.Finish()
	s.none(t)
}

// What cannot be written to an app server any more was never read, and is not lost.
func TestJudgeUnwritten(t *testing.T) {
	s := newTestTrial(t, KernelConfig{})
	s.sent(tryA, "read", "", nil, 0)
	s.check.TryNotWritten(s.flow, 1)
	s.check.ConnectionEnded(s.flow, false)
	s.none(t)
	if n := s.check.Count("turned.away"); n != 1 {
		t.Errorf("%d turned away", n)
	}
}
