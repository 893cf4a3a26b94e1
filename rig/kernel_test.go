package rig

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"valveglade/rpc"
)

// A SCHED command for an RPC that no client has sent is rejected and reported. One that a client has sent is run, whatever bytes
// its body has.
func TestKernelChecksCommands(t *testing.T) {
	body := []byte("\x00\xffany \n bytes")
	for name, test := range map[string]struct {
		send      func(l *testLink)
		violation string // part of its description; empty for none
	}{
		"as sent":        {func(l *testLink) { l.sendSched(tryA, "read", body) }, ""},
		"another id":     {func(l *testLink) { l.sendSched(tryB, "read", body) }, "an unknown id"},
		"another body":   {func(l *testLink) { l.sendSched(tryA, "read", body[1:]) }, "with the body"},
		"another method": {func(l *testLink) { l.sendSched(tryA, "write", body) }, "sent for method"},
		"unknown method": {func(l *testLink) { l.sendSched(tryA, "red", body) }, "which the settings do not list"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestSetup(t, KernelConfig{Preemption: PreemptDiscard})
			s.recordSent(tryA, "read", "", body, 0)
			l := dialKernel(t, s.kernel, 0)
			test.send(l)
			n := l.readNotice()
			if test.violation != "" {
				if n.Action != "EINVAL" || n.Code != "SCHED" {
					t.Errorf("unexpected notice: %+v", n)
				}
				s.expectViolation(t, 1, test.violation)
				return
			}
			if n.Action != "REAP" || n.Code != "fine" || n.UID != tryA ||
				string(n.Content) != string(RunResult("rpc "+tryA)) {
				t.Errorf("unexpected notice: %+v", n)
			}
			s.expectNoViolations(t)
		})
	}
}

// An RPC that was sent to a previous process of the app server does not count as sent to the present one.
func TestKernelRequestLogPerProcess(t *testing.T) {
	s := newTestSetup(t, KernelConfig{Preemption: PreemptDiscard})
	s.recordSent(tryA, "read", "", nil, 0)
	s.checker.ProcessKilled("n1")
	s.kernel.Restart()
	s.checker.ProcessStarted("n1")
	l := dialKernel(t, s.kernel, 0)
	l.sendSched(tryA, "read", nil)
	if n := l.readNotice(); n.Action != "EINVAL" {
		t.Errorf("unexpected notice: %+v", n)
	}
	s.expectViolation(t, 1, "no client has sent")
}

// Any line that is not a valid command closes the link and is reported.
func TestKernelClosesLinkOnInvalidCommand(t *testing.T) {
	for _, line := range []string{"", "{", "null", `[]`, `{"action":"RUN"}`, `{"action":"SCHED","uid":"a","lane":"read"}`,
		`{"action":"SCHED","uid":"a","lane":"read","content":null}`, `{"action":"SCHED","uid":"a","lane":"read","content":"?"}`,
		`{"action":"SCHED","uid":1,"lane":"read","content":""}`, `{"action":"PREEMPT"}`,
		`{"action":"PREEMPT","uid":"a","more":1}`,
		`{"Action":"PREEMPT","uid":"a"}`, `{"action":"SYSINFO","echo":7}`, `{"action":"OPEN","pos":0}`} {
		s := newTestSetup(t, KernelConfig{Preemption: PreemptDiscard})
		l := dialKernel(t, s.kernel, 0)
		l.sendLine("%s", line)
		l.expectClosed()
		s.expectViolation(t, 1, "wrote to its kernel")
	}
	s := newTestSetup(t, KernelConfig{})
	conn, err := net.Dial("tcp", s.kernel.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	l := &testLink{t: t, conn: conn, reader: bufio.NewReader(conn)}
	l.sendLine(`{"action":"SYSINFO","echo":"1"}`)
	l.expectClosed()
	s.expectViolation(t, 1, "before OPEN")
}

// An incomplete command at the end of a link is not a violation: the app server may have been cut off.
func TestKernelIgnoresIncompleteCommand(t *testing.T) {
	s := newTestSetup(t, KernelConfig{Gauges: []string{}})
	l := dialKernel(t, s.kernel, 0)
	fmt.Fprint(l.conn, `{"action":"PREE`)
	l.conn.Close()
	dialKernel(t, s.kernel, 0).syncGauges("1")
	s.expectNoViolations(t)
}

// PREEMPT and RESCHED act as the preemption setting demands.
func TestKernelPreemption(t *testing.T) {
	gauges := []string{"on_cores", "heap_share"}
	memory := BookedMemory{KB: 100, RunFactor: 4}
	start := func(t *testing.T, preemption Preemption) (*testSetup, *testLink) {
		s := newTestSetup(t, KernelConfig{Preemption: preemption, Gauges: gauges, Memory: memory})
		s.recordSent(tryA, "read", "", nil, 3600)
		l := dialKernel(t, s.kernel, 0)
		l.sendSched(tryA, "read", nil)
		l.sendSched(tryA, "read", nil) // a repeated command has no effect
		if m := l.syncGauges("1"); !slices.Equal(m, []float64{1, 0.4}) {
			t.Errorf("gauges %v during the run, want 1 and 0.4", m)
		}
		return s, l
	}
	t.Run("none", func(t *testing.T) {
		s, l := start(t, PreemptNone)
		l.sendLine(`{"action":"PREEMPT","uid":"%s"}`, tryA)
		if n := l.readNotice(); n.Action != "EINVAL" || n.Code != "PREEMPT" || n.UID != tryA {
			t.Errorf("unexpected notice: %+v", n)
		}
		s.expectViolation(t, 1, "do not allow")
	})
	t.Run("discard", func(t *testing.T) {
		s, l := start(t, PreemptDiscard)
		l.sendLine(`{"action":"PREEMPT","uid":"%s"}`, tryA)
		if n := l.readNotice(); n.Action != "REAP" || n.Code != "broken_off" {
			t.Errorf("unexpected notice: %+v", n)
		}
		if m := l.syncGauges("2"); m[0] != 0 || m[1] > 0.1 {
			t.Errorf("gauges %v after the preemption, want 0 and at most 0.1", m)
		}
		s.expectNoViolations(t)
		l.sendLine(`{"action":"RESCHED","uid":"%s"}`, tryA)
		if n := l.readNotice(); n.Action != "EINVAL" || n.Code != "RESCHED" {
			t.Errorf("unexpected notice: %+v", n)
		}
		s.expectViolation(t, 1, "do not allow")
	})
	t.Run("freeze", func(t *testing.T) {
		s, l := start(t, PreemptFreeze)
		l.sendLine(`{"action":"PREEMPT","uid":"%s"}`, tryA)
		if n := l.readNotice(); n.Action != "REAP" || n.Code != "broken_off" {
			t.Errorf("unexpected notice: %+v", n)
		}
		if m := l.syncGauges("2"); !slices.Equal(m, []float64{0, 0.4}) {
			t.Errorf("gauges %v while the run is paused, want 0 and 0.4", m)
		}
		l.sendLine(`{"action":"RESCHED","uid":"%s"}`, tryA)
		if m := l.syncGauges("3"); !slices.Equal(m, []float64{1, 0.4}) {
			t.Errorf("gauges %v after RESCHED, want 1 and 0.4", m)
		}
		l.sendLine(`{"action":"PREEMPT","uid":"%s"}`, tryA)
		l.readNotice()
		s.checker.ReplyReceived(s.connection, 1, rpc.Error, false, 0)
		if m := l.syncGauges("4"); !slices.Equal(m, []float64{0, 0}) {
			t.Errorf("gauges %v once the request is over, want zeros", m)
		}
		l.sendSched(tryA, "read", nil)
		if n := l.readNotice(); n.Action != "REAP" || n.Code != "late" {
			t.Errorf("unexpected notice: %+v", n)
		}
		s.expectNoViolations(t)
	})
	t.Run("freeze, resumed to its end", func(t *testing.T) {
		s := newTestSetup(t, KernelConfig{Preemption: PreemptFreeze, Gauges: gauges})
		s.recordSent(tryA, "read", "", nil, 0.05)
		l := dialKernel(t, s.kernel, 0)
		s.kernel.SetSlowdown(1e6) // the run must not end before it is paused
		l.sendSched(tryA, "read", nil)
		l.sendLine(`{"action":"PREEMPT","uid":"%s"}`, tryA)
		l.readNotice()
		s.kernel.SetSlowdown(1)
		l.sendLine(`{"action":"RESCHED","uid":"%s"}`, tryA)
		if n := l.readNotice(); n.Code != "fine" || n.Pos != 2 {
			t.Errorf("unexpected notice: %+v", n)
		}
		s.expectNoViolations(t)
	})
	t.Run("not sent by a client", func(t *testing.T) {
		s := newTestSetup(t, KernelConfig{Preemption: PreemptDiscard})
		l := dialKernel(t, s.kernel, 0)
		l.sendLine(`{"action":"PREEMPT","uid":"%s"}`, tryB)
		if n := l.readNotice(); n.Action != "EINVAL" {
			t.Errorf("unexpected notice: %+v", n)
		}
		s.expectViolation(t, 1, "no client has sent")
	})
}

// The gauges come in the order of the settings and show the current state; an unknown gauge is 0.
func TestKernelGauges(t *testing.T) {
	s := newTestSetup(t, KernelConfig{
		Gauges: []string{"links", "outstanding", "on_cores", "heap_share", "backlog", "unknown"},
		Memory: BookedMemory{KB: 1000, RunFactor: 3}})
	l := dialKernel(t, s.kernel, 0)
	s.recordSent(tryA, "read", "", nil, 3600)
	s.recordSent(tryB, "read", "", nil, 3600)
	l.sendSched(tryA, "read", nil)
	if m := l.syncGauges("1"); !slices.Equal(m, []float64{1, 2, 1, 0.03, 1, 0}) {
		t.Errorf("gauges %v, want 1, 2, 1, 0.03, 1, 0", m)
	}
	s.checker.mu.Lock()
	for held := range s.checker.server("n1").requests.active {
		held.sentAt = held.sentAt.Add(-minHeldTime)
	}
	s.checker.mu.Unlock()
	if m := l.syncGauges("2"); m[3] != 0.04 {
		t.Errorf("heap_share %g with one request held, want 0.04", m[3])
	}
	s.checker.ConnectionEnded(s.connection, true)
	if m := l.syncGauges("3"); !slices.Equal(m, []float64{0, 0, 1, 0.03, 0, 0}) {
		t.Errorf("gauges %v after the clients disconnected", m)
	}
	s.expectNoViolations(t)
}

// Without gauges SYSINFO is rejected, which is not a violation.
func TestKernelWithoutGauges(t *testing.T) {
	s := newTestSetup(t, KernelConfig{})
	l := dialKernel(t, s.kernel, 0)
	l.sendLine(`{"action":"SYSINFO","echo":"1"}`)
	if n := l.readNotice(); n.Action != "EINVAL" || n.Code != "SYSINFO" {
		t.Errorf("unexpected notice: %+v", n)
	}
	s.expectNoViolations(t)
}

// Booking more memory than there is, and more runs on the cores than allowed, are reported.
func TestKernelLimits(t *testing.T) {
	for name, test := range map[string]struct {
		config    KernelConfig
		violation string
	}{
		"memory": {KernelConfig{Memory: BookedMemory{KB: 70, RunFactor: 4}}, "KB"},
		"cores":  {KernelConfig{Cores: 2, Overload: OverloadLimit{Factor: 0.4, Window: 50 * time.Millisecond}}, "on the cores"},
	} {
		t.Run(name, func(t *testing.T) {
			test.config.Gauges = []string{}
			s := newTestSetup(t, test.config)
			l := dialKernel(t, s.kernel, 0)
			for _, call := range []string{tryA, tryB} {
				s.recordSent(call, "read", "", nil, 3600)
				l.sendSched(call, "read", nil)
			}
			for end := time.Now().Add(testTimeout); len(s.checker.Violations()) == 0 && time.Now().Before(end); {
				l.syncGauges("1")
			}
			s.expectViolation(t, 4, test.violation)
		})
	}
}
