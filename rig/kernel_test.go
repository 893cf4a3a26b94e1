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

// What no client has sent is not run, and found; what one has sent is, whatever bytes it consists of.
func TestKernelChecksCommands(t *testing.T) {
	body := []byte("\x00\xffany \n bytes")
	for name, one := range map[string]struct {
		say  func(l *testLink)
		what string // of the violation; empty for none
	}{
		"as sent":       {func(l *testLink) { l.sched(tryA, "read", body) }, ""},
		"another id":    {func(l *testLink) { l.sched(tryB, "read", body) }, "an id that none has"},
		"another body":  {func(l *testLink) { l.sched(tryA, "read", body[1:]) }, "with the body"},
		"another class": {func(l *testLink) { l.sched(tryA, "write", body) }, "in class"},
		"no class":      {func(l *testLink) { l.sched(tryA, "red", body) }, "of which there is none"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestTrial(t, KernelConfig{Preemption: PreemptDiscard})
			s.sent(tryA, "read", "", body, 0)
			l := dialKernel(t, s.kernel, 0)
			one.say(l)
			n := l.hear()
			if one.what != "" {
				if n.Action != "EINVAL" || n.Code != "SCHED" {
					t.Errorf("%+v", n)
				}
				s.one(t, 1, one.what)
				return
			}
			if n.Action != "REAP" || n.Code != "fine" || n.UID != tryA || string(n.Content) != string(RunResult("rpc "+tryA)) {
				t.Errorf("%+v", n)
			}
			s.none(t)
		})
	}
}

// A process is not told again what its predecessor was sent.
func TestKernelLedgerOfEachProcess(t *testing.T) {
	s := newTestTrial(t, KernelConfig{Preemption: PreemptDiscard})
	s.sent(tryA, "read", "", nil, 0)
	s.check.ProcessKilled("n1")
	s.kernel.Restart()
	s.check.ProcessStarted("n1")
	l := dialKernel(t, s.kernel, 0)
	l.sched(tryA, "read", nil)
	if n := l.hear(); n.Action != "EINVAL" {
		t.Errorf("%+v", n)
	}
	s.one(t, 1, "no client has sent")
}

// Anything that is no command closes the link, and is found.
func TestKernelClosesOnWhatIsNoCommand(t *testing.T) {
	for _, line := range []string{"", "{", "null", `[]`, `{"action":"RUN"}`, `{"action":"SCHED","uid":"a","lane":"read"}`,
		`{"action":"SCHED","uid":"a","lane":"read","content":null}`, `{"action":"SCHED","uid":"a","lane":"read","content":"?"}`,
		`{"action":"SCHED","uid":1,"lane":"read","content":""}`, `{"action":"PREEMPT"}`, `{"action":"PREEMPT","uid":"a","more":1}`,
		`{"Action":"PREEMPT","uid":"a"}`, `{"action":"SYSINFO","echo":7}`, `{"action":"OPEN","pos":0}`} {
		s := newTestTrial(t, KernelConfig{Preemption: PreemptDiscard})
		l := dialKernel(t, s.kernel, 0)
		l.say("%s", line)
		l.closed()
		s.one(t, 1, "wrote to its kernel")
	}
	s := newTestTrial(t, KernelConfig{})
	nc, err := net.Dial("tcp", s.kernel.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	l := &testLink{t: t, nc: nc, in: bufio.NewReader(nc)}
	l.say(`{"action":"SYSINFO","echo":"1"}`)
	l.closed()
	s.one(t, 1, "before OPEN")
}

// Half a command at the end of a link has not been read, and is nobody's fault.
func TestKernelHalfCommand(t *testing.T) {
	s := newTestTrial(t, KernelConfig{Gauges: []string{}})
	l := dialKernel(t, s.kernel, 0)
	fmt.Fprint(l.nc, `{"action":"PREE`)
	l.nc.Close()
	dialKernel(t, s.kernel, 0).sync("1")
	s.none(t)
}

// PREEMPT and RESCHED do what the settings name.
func TestKernelPreemption(t *testing.T) {
	gauges := []string{"on_cores", "heap_share"}
	memory := BookedMemory{KB: 100, RunFactor: 4}
	start := func(t *testing.T, preemption Preemption) (*testTrial, *testLink) {
		s := newTestTrial(t, KernelConfig{Preemption: preemption, Gauges: gauges, Memory: memory})
		s.sent(tryA, "read", "", nil, 3600)
		l := dialKernel(t, s.kernel, 0)
		l.sched(tryA, "read", nil)
		l.sched(tryA, "read", nil) // nothing happens
		if m := l.sync("1"); !slices.Equal(m, []float64{1, 0.4}) {
			t.Errorf("gauges %v while it runs", m)
		}
		return s, l
	}
	t.Run("none", func(t *testing.T) {
		s, l := start(t, PreemptNone)
		l.say(`{"action":"PREEMPT","uid":"%s"}`, tryA)
		if n := l.hear(); n.Action != "EINVAL" || n.Code != "PREEMPT" || n.UID != tryA {
			t.Errorf("%+v", n)
		}
		s.one(t, 1, "do not allow")
	})
	t.Run("discard", func(t *testing.T) {
		s, l := start(t, PreemptDiscard)
		l.say(`{"action":"PREEMPT","uid":"%s"}`, tryA)
		if n := l.hear(); n.Action != "REAP" || n.Code != "broken_off" {
			t.Errorf("%+v", n)
		}
		if m := l.sync("2"); m[0] != 0 || m[1] > 0.1 {
			t.Errorf("gauges %v after it", m)
		}
		s.none(t)
		l.say(`{"action":"RESCHED","uid":"%s"}`, tryA)
		if n := l.hear(); n.Action != "EINVAL" || n.Code != "RESCHED" {
			t.Errorf("%+v", n)
		}
		s.one(t, 1, "do not allow")
	})
	t.Run("freeze", func(t *testing.T) {
		s, l := start(t, PreemptFreeze)
		l.say(`{"action":"PREEMPT","uid":"%s"}`, tryA)
		if n := l.hear(); n.Action != "REAP" || n.Code != "broken_off" {
			t.Errorf("%+v", n)
		}
		if m := l.sync("2"); !slices.Equal(m, []float64{0, 0.4}) {
			t.Errorf("gauges %v while it is paused", m)
		}
		l.say(`{"action":"RESCHED","uid":"%s"}`, tryA)
		if m := l.sync("3"); !slices.Equal(m, []float64{1, 0.4}) {
			t.Errorf("gauges %v while it goes on", m)
		}
		l.say(`{"action":"PREEMPT","uid":"%s"}`, tryA)
		l.hear()
		s.check.ReplyReceived(s.flow, 1, rpc.Error, false, 0)
		if m := l.sync("4"); !slices.Equal(m, []float64{0, 0}) {
			t.Errorf("gauges %v once its request is over", m)
		}
		l.sched(tryA, "read", nil)
		if n := l.hear(); n.Action != "REAP" || n.Code != "late" {
			t.Errorf("%+v", n)
		}
		s.none(t)
	})
	t.Run("freeze, resumed to its end", func(t *testing.T) {
		s := newTestTrial(t, KernelConfig{Preemption: PreemptFreeze, Gauges: gauges})
		s.sent(tryA, "read", "", nil, 0.05)
		l := dialKernel(t, s.kernel, 0)
		s.kernel.Slow(1e6) // it does not end before it is paused
		l.sched(tryA, "read", nil)
		l.say(`{"action":"PREEMPT","uid":"%s"}`, tryA)
		l.hear()
		s.kernel.Slow(1)
		l.say(`{"action":"RESCHED","uid":"%s"}`, tryA)
		if n := l.hear(); n.Code != "fine" || n.Pos != 2 {
			t.Errorf("%+v", n)
		}
		s.none(t)
	})
	t.Run("of what nobody sent", func(t *testing.T) {
		s := newTestTrial(t, KernelConfig{Preemption: PreemptDiscard})
		l := dialKernel(t, s.kernel, 0)
		l.say(`{"action":"PREEMPT","uid":"%s"}`, tryB)
		if n := l.hear(); n.Action != "EINVAL" {
			t.Errorf("%+v", n)
		}
		s.one(t, 1, "no client has sent")
	})
}

// The gauges come in the order of the settings and say how things are.
func TestKernelGauges(t *testing.T) {
	s := newTestTrial(t, KernelConfig{Gauges: []string{"links", "outstanding", "on_cores", "heap_share", "backlog", "nothing known"},
		Memory: BookedMemory{KB: 1000, RunFactor: 3}})
	l := dialKernel(t, s.kernel, 0)
	s.sent(tryA, "read", "", nil, 3600)
	s.sent(tryB, "read", "", nil, 3600)
	l.sched(tryA, "read", nil)
	if m := l.sync("1"); !slices.Equal(m, []float64{1, 2, 1, 0.03, 1, 0}) {
		t.Errorf("%v", m)
	}
	s.check.mu.Lock()
	for held := range s.check.server("n1").requests.active {
		held.sentAt = held.sentAt.Add(-minHeldTime)
	}
	s.check.mu.Unlock()
	if m := l.sync("2"); m[3] != 0.04 {
		t.Errorf("heap_share %g with one that is held", m[3])
	}
	s.check.ConnectionEnded(s.flow, true)
	if m := l.sync("3"); !slices.Equal(m, []float64{0, 0, 1, 0.03, 0, 0}) {
		t.Errorf("%v once its clients are gone", m)
	}
	s.none(t)
}

// Without gauges SYSINFO is not carried out, which is nobody's fault.
func TestKernelWithoutGauges(t *testing.T) {
	s := newTestTrial(t, KernelConfig{})
	l := dialKernel(t, s.kernel, 0)
	l.say(`{"action":"SYSINFO","echo":"1"}`)
	if n := l.hear(); n.Action != "EINVAL" || n.Code != "SYSINFO" {
		t.Errorf("%+v", n)
	}
	s.none(t)
}

// More memory than there is, and more runs than the cores bear, are found.
func TestKernelLimits(t *testing.T) {
	for name, one := range map[string]struct {
		config KernelConfig
		what   string
	}{
		"memory": {KernelConfig{Memory: BookedMemory{KB: 70, RunFactor: 4}}, "KB"},
		"cores":  {KernelConfig{Cores: 2, Crowding: Crowding{Factor: 0.4, Window: 50 * time.Millisecond}}, "on the cores"},
	} {
		t.Run(name, func(t *testing.T) {
			one.config.Gauges = []string{}
			s := newTestTrial(t, one.config)
			l := dialKernel(t, s.kernel, 0)
			for _, call := range []string{tryA, tryB} {
				s.sent(call, "read", "", nil, 3600)
				l.sched(call, "read", nil)
			}
			for end := time.Now().Add(patienceOfTests); len(s.check.Violations()) == 0 && time.Now().Before(end); {
				l.sync("1")
			}
			s.one(t, 4, one.what)
		})
	}
}
