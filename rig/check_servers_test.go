package rig

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"valveglade/internal/thrift"
)

// stubServer is a fake app server whose behavior a test chooses, with a client that reaches it through the fault proxy and a
// link to its kernel.
type stubServer struct {
	*testSetup
	*Stub
	t         *testing.T
	link      *testLink
	proxy     *FaultProxy
	client    net.Conn
	clientSeq int32 // last sequence number of the client
}

// newStubServer returns a stub that runs and serves every RPC, with a connected client.
func newStubServer(t *testing.T, config KernelConfig) *stubServer {
	t.Helper()
	s := &stubServer{testSetup: newTestSetup(t, config), t: t}
	stub, err := NewStub(func(request ReceivedRequest, out []byte) []byte { return s.runAndServe(request, out) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stub.Close)
	s.Stub = stub
	if s.proxy, err = NewFaultProxy("n1", stub.Address(), s.checker); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.proxy.Close)
	s.link = dialKernel(t, s.kernel, 0)
	s.connectClient()
	return s
}

// connectClient gives the client a new connection.
func (s *stubServer) connectClient() {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.proxy.Address())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { conn.Close() })
	s.client, s.clientSeq = conn, 0
}

// runAndServe runs an RPC on the kernel and serves it with the result.
func (s *stubServer) runAndServe(request ReceivedRequest, out []byte) []byte {
	return thrift.Served(out, request.Seq, s.runOnKernel(request.Call, request.Method, request.Body), 1)
}

// runOnKernel makes the kernel run an RPC and returns the result, or nil if the RPC did not run.
func (s *stubServer) runOnKernel(call, method string, body []byte) []byte {
	s.link.sendSched(call, method, body)
	return s.link.readNotice().Content
}

// sendTry makes the client send one try with the given time limit.
func (s *stubServer) sendTry(call, method, token string, body []byte, ttl time.Duration) {
	s.t.Helper()
	s.checker.settings.Catalog.Add(call, CatalogEntry{RPC: "rpc " + token + string(body), Result: []byte("made by " + call)})
	s.clientSeq++
	now := float64(time.Now().UnixMilli()) / 1000
	frame := thrift.Execute(nil, s.clientSeq, method, call, 1, now, ttl.Seconds(), 10, 0.5, false, token, "", body)
	if _, err := s.client.Write(frame); err != nil {
		s.t.Fatal(err)
	}
}

// readReply waits for the next bytes from the app server, whatever they are.
func (s *stubServer) readReply() {
	s.t.Helper()
	s.client.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := s.client.Read(make([]byte, 4096)); err != nil {
		s.t.Fatal(err)
	}
}

// awaitViolation waits for a violation and checks that it is the only one.
func (s *stubServer) awaitViolation(rule int, what string) {
	s.t.Helper()
	waitFor(s.t, "a violation: "+what, func() bool { return len(s.checker.Violations()) > 0 })
	s.expectViolation(s.t, rule, what)
}

// longTTL is a time limit that no try of these tests reaches.
const longTTL = 10 * time.Second

// A correct app server breaks no rule, even if a tokened RPC is repeated.
func TestCheckServersAcceptsCorrectServer(t *testing.T) {
	s := newStubServer(t, KernelConfig{Preemption: PreemptNone})
	results := map[string][]byte{}
	s.SetHandler(func(request ReceivedRequest, out []byte) []byte {
		switch {
		case request.HealthCheck:
			return thrift.Checked(out, request.Seq, true, 1)
		case request.Interrupt:
			return out
		case request.Method == "read":
			return thrift.PushedBack(out, request.Seq, true, 0.2, 1)
		case results[request.Token] != nil:
			return thrift.Served(out, request.Seq, results[request.Token], 1)
		}
		results[request.Token] = s.runOnKernel(request.Call, request.Method, request.Body)
		return thrift.Served(out, request.Seq, results[request.Token], 1)
	})
	for k, method := range []string{"write", "write", "charge", "read"} {
		token := map[string]string{"write": "token"}[method]
		s.sendTry(fmt.Sprintf("%016x", k), method, token, []byte("\x00 any"), longTTL)
		s.readReply()
	}
	s.clientSeq++
	s.client.Write(thrift.Check(nil, s.clientSeq))
	s.readReply()
	s.checker.Finish()
	s.expectNoViolations(t)
}

// Each fault injected into an app server is found as exactly one violation.
func TestCheckServersFindsInjectedFaults(t *testing.T) {
	for name, injected := range map[string]struct {
		behave func(s *stubServer, request ReceivedRequest, out []byte) []byte
		rule   int
		what   string
	}{
		"a body of another RPC": {func(s *stubServer, request ReceivedRequest, out []byte) []byte {
			s.runOnKernel(request.Call, request.Method, []byte("another"))
			return thrift.Aborted(out, request.Seq, 1)
		}, 1, "with the body"},
		"an altered method": {func(s *stubServer, request ReceivedRequest, out []byte) []byte {
			s.runOnKernel(request.Call, "charge", request.Body)
			return thrift.Aborted(out, request.Seq, 1)
		}, 1, "sent for method"},
		"an RPC that no client sent": {func(s *stubServer, request ReceivedRequest, out []byte) []byte {
			s.runOnKernel(tryB, request.Method, request.Body)
			return thrift.Aborted(out, request.Seq, 1)
		}, 1, "an unknown id"},
		"a second run": {func(s *stubServer, request ReceivedRequest, out []byte) []byte {
			s.runOnKernel(request.Call, request.Method, request.Body)
			return s.runAndServe(request, out)
		}, 2, "a second time"},
		"two replies": {func(s *stubServer, request ReceivedRequest, out []byte) []byte {
			out = s.runAndServe(request, out)
			return thrift.Aborted(out, request.Seq, 1)
		}, 2, "two replies to"},
		"a reply to no request": {func(s *stubServer, request ReceivedRequest, out []byte) []byte {
			return thrift.Aborted(s.runAndServe(request, out), request.Seq+1, 1)
		}, 1, "which no request has used"},
		"a reply to a health check that was not sent": {func(s *stubServer, request ReceivedRequest, out []byte) []byte {
			return thrift.Checked(s.runAndServe(request, out), request.Seq+1, true, 1)
		}, 1, "which was not sent"},
		"a result of no run": {func(s *stubServer, request ReceivedRequest, out []byte) []byte {
			return thrift.Served(out, request.Seq, []byte("made by "+request.Call), 1)
		}, 1, "no run of it produced"},
		"a result that is altered": {func(s *stubServer, request ReceivedRequest, out []byte) []byte {
			return thrift.Served(out, request.Seq, s.runOnKernel(request.Call, request.Method, request.Body)[1:], 1)
		}, 1, "no run of it produced"},
		"pushed back after a run": {func(s *stubServer, request ReceivedRequest, out []byte) []byte {
			s.runOnKernel(request.Call, request.Method, request.Body)
			return thrift.PushedBack(out, request.Seq, false, 0, 1)
		}, 2, "had been run"},
		"a malformed reply": {func(s *stubServer, request ReceivedRequest, out []byte) []byte {
			whole := s.runAndServe(request, nil)
			whole[len(whole)-1] = 8 // in place of the end of the struct
			return append(out, whole...)
		}, 1, "no router can read"},
		"a reply of invalid length": {func(s *stubServer, request ReceivedRequest, out []byte) []byte {
			return append(s.runAndServe(request, out), 0xff, 0xff, 0xff, 0xff)
		}, 1, "no router can read"},
		"a load that is no number": {func(s *stubServer, request ReceivedRequest, out []byte) []byte {
			whole := s.runAndServe(request, out)
			return []byte(strings.Replace(string(whole), "load\x00\x00\x00\x011", "load\x00\x00\x00\x01x", 1))
		}, 1, "load"},
		"a preemption that the settings do not allow": {func(s *stubServer, request ReceivedRequest, out []byte) []byte {
			out = s.runAndServe(request, out)
			s.link.sendLine(`{"action":"PREEMPT","uid":"%s"}`, request.Call)
			s.link.readNotice()
			return out
		}, 1, "do not allow"},
		"an invalid command": {func(s *stubServer, request ReceivedRequest, out []byte) []byte {
			out = s.runAndServe(request, out)
			s.link.sendLine(`{"action":"SCHED"}`)
			return out
		}, 1, "wrote to its kernel"},
		"a close after reading a request on a new connection": {func(s *stubServer, request ReceivedRequest, out []byte) []byte {
			s.CloseConnections()
			return out
		}, 1, "without a reply"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStubServer(t, KernelConfig{Preemption: PreemptNone})
			done := make(chan struct{})
			s.SetHandler(func(request ReceivedRequest, out []byte) []byte {
				defer close(done)
				return injected.behave(s, request, out)
			})
			s.sendTry(tryA, "write", "token", []byte("body of A"), longTTL)
			s.awaitViolation(injected.rule, injected.what)
			<-done // the stub must not use the kernel after the end of the test
		})
	}
}

// An RPC without a reply is found once its deadline has passed.
func TestCheckServersFindsMissingReply(t *testing.T) {
	s := newStubServer(t, KernelConfig{})
	s.SetHandler(func(request ReceivedRequest, out []byte) []byte { return out })
	s.sendTry(tryA, "read", "", nil, time.Millisecond)
	waitFor(t, "the violation of the missing reply", func() bool { s.checker.Finish(); return len(s.checker.Violations()) > 0 })
	s.expectViolation(t, 1, "never answered")
}

// A process that was paused still has to reply once it continues, within resumeGracePeriod.
func TestCheckServersFindsMissingReplyAfterPause(t *testing.T) {
	s := newTestSetup(t, KernelConfig{})
	s.checker.TrySent("n1", s.connection, 1, "a", time.Now(), false) // not registered, and therefore ignored
	s.recordSent(tryA, "read", "", nil, 0)
	tries := s.checker.tries[s.connection]
	tries[1].due = time.Now().Add(-time.Hour)
	s.checker.SetPaused("n1", true)
	s.checker.Finish()
	s.expectNoViolations(t)
	s.checker.SetPaused("n1", false)
	s.checker.Finish()
	s.expectNoViolations(t) // resumeGracePeriod is not over
	s.checker.servers["n1"].resumedAt = time.Now().Add(-2 * resumeGracePeriod)
	s.checker.Finish()
	s.expectViolation(t, 1, "never answered")
}

// A tokened RPC may run again only after its window, which starts with the arrival of the try that ran.
func TestCheckServersTokenWindow(t *testing.T) {
	for name, test := range map[string]struct {
		later time.Duration // how long after the first try the second one arrives
		token string
		what  string
	}{
		"within":        {19 * time.Second, "token", "before the end of its window"},
		"past it":       {21 * time.Second, "token", ""},
		"another token": {time.Second, "other", ""},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestSetup(t, KernelConfig{})
			run := func(call, token string) {
				s.recordSent(call, "write", token, []byte("body"), 3600)
				request, ok := s.checker.resolveCommand("n1", call, "write", []byte("body"))
				if !ok {
					t.Fatal("the command does not match what the client sent")
				}
				s.checker.recordRunStart("n1", request)
			}
			run(tryA, "token")
			first := s.checker.servers["n1"].requests.byCall[tryA][0]
			first.arrivedAt, first.sentAt = first.arrivedAt.Add(-test.later), first.sentAt.Add(-test.later)
			run(tryB, test.token)
			if test.what == "" {
				s.expectNoViolations(t)
				return
			}
			s.expectViolation(t, 2, test.what)
		})
	}
}

// A repeat of a request that has been run must not be pushed back within its window.
func TestCheckServersPushbackOfRepeat(t *testing.T) {
	for name, test := range map[string]struct {
		ago  time.Duration // age of the run
		what string
	}{"within its window": {time.Second, "had been run"}, "past it": {time.Minute, ""}} {
		t.Run(name, func(t *testing.T) {
			s := newTestSetup(t, KernelConfig{})
			s.recordSent(tryA, "write", "token", nil, 0)
			s.recordSent(tryB, "write", "token", nil, 0)
			first := s.checker.servers["n1"].requests.byCall[tryA][0]
			first.lastRunAt, first.arrivedAt = first.sentAt.Add(-test.ago), first.arrivedAt.Add(-test.ago)
			s.checker.observeReply(s.connection, reply{kind: replyPushedBack, seq: 2}, nil)
			if test.what == "" {
				s.expectNoViolations(t)
				return
			}
			s.expectViolation(t, 2, test.what)
		})
	}
}

// A run of a request that arrived after the grace period is found. The arrival decides, not the start of the run.
func TestCheckServersGracePeriod(t *testing.T) {
	s := newStubServer(t, KernelConfig{})
	s.sendTry(tryA, "read", "", nil, longTTL)
	s.readReply()
	s.checker.ShutdownRequested("n1", -time.Hour, time.Hour)
	s.runOnKernel(tryA, "read", nil) // the request has its reply, and therefore is not run
	s.expectNoViolations(t)
	s.sendTry(tryB, "read", "", nil, longTTL)
	s.awaitViolation(3, "after the request to shut down and was run")
	s.readReply()
}

// An app server is not blamed for a client that uses a sequence number twice or closes its connection.
func TestCheckServersExcusesClientFaults(t *testing.T) {
	s := newStubServer(t, KernelConfig{})
	release := make(chan struct{})
	s.SetHandler(func(request ReceivedRequest, out []byte) []byte {
		if len(s.Received()) == 1 {
			<-release
		}
		return thrift.Aborted(out, request.Seq, 1)
	})
	s.sendTry(tryA, "read", "", nil, longTTL)
	s.clientSeq--
	s.sendTry(tryB, "read", "", nil, longTTL)
	close(release)
	s.readReply()
	waitFor(t, "both RPCs", func() bool { return len(s.Received()) == 2 })
	s.connectClient()
	s.SetHandler(func(_ ReceivedRequest, out []byte) []byte { return out })
	s.sendTry("00000000000000cc", "read", "", nil, time.Millisecond)
	waitFor(t, "the third RPC", func() bool { return len(s.Received()) == 3 })
	s.client.Close()
	waitFor(t, "the end of the connection", func() bool {
		s.checker.mu.Lock()
		defer s.checker.mu.Unlock()
		return len(s.checker.tries) < 2
	})
	s.checker.Finish()
	s.expectNoViolations(t)
}

// A request that could not be written to an app server was never read and is not lost.
func TestCheckServersExcusesUnwrittenTry(t *testing.T) {
	s := newTestSetup(t, KernelConfig{})
	s.recordSent(tryA, "read", "", nil, 0)
	s.checker.TryNotWritten(s.connection, 1)
	s.checker.ConnectionEnded(s.connection, false)
	s.expectNoViolations(t)
	if n := s.checker.Count("turned.away"); n != 1 {
		t.Errorf("%d turned away", n)
	}
}
