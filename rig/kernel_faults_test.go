package rig

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"regexp"
	"strings"
	"testing"
	"time"
)

// A link that breaks in the middle of a notice says the whole of it on the next link.
func TestKernelBreaksInNotice(t *testing.T) {
	s := newTestTrial(t, KernelConfig{Preemption: PreemptDiscard, Seed: 3})
	s.sent(tryA, "read", "", nil, 0)
	l := dialKernel(t, s.kernel, 0)
	s.kernel.BreakInNotice()
	l.sched(tryA, "read", nil)
	part, err := l.line()
	if err == nil || part == "" || !strings.HasPrefix(`{"action":"REAP","pos":1,"uid":"`+tryA+`","code":"fine"`, part[:min(len(part), 30)]) {
		t.Errorf("%q, %v", part, err)
	}
	again := dialKernel(t, s.kernel, 0)
	if n := again.hear(); n.Action != "REAP" || n.Pos != 1 || n.UID != tryA {
		t.Errorf("%+v", n)
	}
	s.none(t)
}

// Commands of the time before a break are lost with it, and only on that link.
func TestKernelLosesCommands(t *testing.T) {
	s := newTestTrial(t, KernelConfig{Preemption: PreemptDiscard, Gauges: []string{"on_cores"}})
	s.sent(tryA, "read", "", nil, 3600)
	l := dialKernel(t, s.kernel, 0)
	s.kernel.BreakLosing(50 * time.Millisecond)
	l.sched(tryA, "read", nil)
	l.closed()
	again := dialKernel(t, s.kernel, 0)
	if m := again.sync("1"); m[0] != 0 {
		t.Errorf("%v on the cores after the command was lost", m)
	}
	again.sched(tryA, "read", nil)
	if m := again.sync("2"); m[0] != 1 {
		t.Errorf("%v on the cores after the command came again", m)
	}
	s.none(t)
}

// A link that is broken or reset ends, and what is run goes on.
func TestKernelBreaks(t *testing.T) {
	for name, end := range map[string]func(*Kernel){"break": (*Kernel).BreakLink, "reset": (*Kernel).ResetLink} {
		t.Run(name, func(t *testing.T) {
			s := newTestTrial(t, KernelConfig{Gauges: []string{"on_cores"}})
			s.sent(tryA, "read", "", nil, 3600)
			l := dialKernel(t, s.kernel, 0)
			l.sched(tryA, "read", nil)
			l.sync("1")
			end(s.kernel)
			l.closed()
			if m := dialKernel(t, s.kernel, 0).sync("2"); m[0] != 1 {
				t.Errorf("%v on the cores", m)
			}
			s.none(t)
		})
	}
}

// playFaults says some lines through a faulty link and returns what has come of them, without times.
func playFaults(t *testing.T, seed uint64, faults LinkFaults) []string {
	s := newTestTrial(t, KernelConfig{Gauges: []string{}, Seed: seed})
	s.kernel.SetLinkFaults(faults)
	l := dialKernel(t, s.kernel, 0)
	for k := range 20 {
		call := fmt.Sprintf("%016x", k)
		s.sent(call, "read", "", nil, 0)
		l.sched(call, "read", nil)
		// One after the other, so that their order does not hang on the machine.
		waitFor(t, "the end of a run", func() bool {
			s.kernel.mu.Lock()
			defer s.kernel.mu.Unlock()
			n := len(s.kernel.notices)
			return n > 0 && strings.Contains(s.kernel.notices[n-1], call)
		})
	}
	l.say(`{"action":"SYSINFO","echo":"end"}`)
	var all []string
	for {
		line, err := l.line()
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(line, "INFO") && strings.Contains(line, "end") {
			s.none(t)
			return all
		}
		all = append(all, regexp.MustCompile(`"wall_ms":[0-9.]+`).ReplaceAllString(line, ""))
	}
}

// Notices in pieces, doubled and with remarks between come in their order and whole, the same again from the same seed.
func TestKernelLinkFaults(t *testing.T) {
	faults := LinkFaults{Pieces: true, Doubled: 0.4, Remarks: 0.4, Late: 5 * time.Millisecond}
	lines := playFaults(t, 9, faults)
	pos, reaped, doubled, remarks := 0, 0, 0, 0
	for _, line := range lines {
		var n testNotice
		line = strings.Replace(line, ",,", ",", 1)
		if err := json.Unmarshal([]byte(line), &n); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		switch {
		case n.Pos == pos:
			doubled++
		case n.Pos != pos+1:
			t.Errorf("number %d after %d", n.Pos, pos)
		case n.Action == "DMESG":
			remarks++
		case n.Action == "REAP":
			reaped++
		}
		pos = n.Pos
	}
	if reaped != 20 || doubled == 0 || remarks == 0 {
		t.Errorf("%d ends, %d doubled, %d remarks", reaped, doubled, remarks)
	}
	if again := playFaults(t, 9, faults); strings.Join(again, "") != strings.Join(lines, "") {
		t.Errorf("the same seed gives\n%s\n%s", strings.Join(lines, ""), strings.Join(again, ""))
	}
	if other := playFaults(t, 10, faults); strings.Join(other, "") == strings.Join(lines, "") {
		t.Error("another seed gives the same")
	}
}

// A kernel that is late says nothing on a link until it is up. Of the connections that have come meanwhile only the last is
// the link.
func TestKernelWithheld(t *testing.T) {
	s := newTestTrial(t, KernelConfig{Gauges: []string{}})
	s.kernel.WithholdNotices()
	var links []*testLink
	for range 3 {
		nc, err := net.Dial("tcp", s.kernel.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		l := &testLink{t: t, nc: nc, in: bufio.NewReader(nc)}
		l.say(`{"action":"OPEN","pos":0}`)
		links = append(links, l)
	}
	waitFor(t, "three connections", func() bool {
		s.kernel.mu.Lock()
		defer s.kernel.mu.Unlock()
		return s.kernel.accepted == 3
	})
	if !s.kernel.LinkedAt().IsZero() {
		t.Error("there is a link before the kernel is up")
	}
	s.kernel.ReleaseNotices()
	if n := links[2].hear(); n.Action != "BOOTED" {
		t.Errorf("%+v", n)
	}
	links[2].sync("1")
	links[0].closed()
	links[1].closed()
	s.none(t)
}
