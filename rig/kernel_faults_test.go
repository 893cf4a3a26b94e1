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

// A notice that is cut off by the break of its link is sent in full on the next link.
func TestKernelResendsNoticeAfterBreak(t *testing.T) {
	s := newTestSetup(t, KernelConfig{Preemption: PreemptDiscard, Seed: 3})
	s.recordSent(tryA, "read", "", nil, 0)
	l := dialKernel(t, s.kernel, 0)
	s.kernel.BreakLinkInNotice()
	l.sendSched(tryA, "read", nil)
	partial, err := l.readLine()
	if err == nil || partial == "" || !strings.HasPrefix(`{"action":"REAP","pos":1,"uid":"`+tryA+`","code":"fine"`,
		partial[:min(len(partial), 30)]) {
		t.Errorf("cut notice: %q, %v; want an incomplete REAP", partial, err)
	}
	again := dialKernel(t, s.kernel, 0)
	if n := again.readNotice(); n.Action != "REAP" || n.Pos != 1 || n.UID != tryA {
		t.Errorf("resent notice: %+v, want REAP 1", n)
	}
	s.expectNoViolations(t)
}

// Commands that arrive shortly before the break of a link are lost, on that link only.
func TestKernelDropsCommandsBeforeBreak(t *testing.T) {
	s := newTestSetup(t, KernelConfig{Preemption: PreemptDiscard, Gauges: []string{"on_cores"}})
	s.recordSent(tryA, "read", "", nil, 3600)
	l := dialKernel(t, s.kernel, 0)
	s.kernel.BreakLinkLosingCommands(50 * time.Millisecond)
	l.sendSched(tryA, "read", nil)
	l.expectClosed()
	again := dialKernel(t, s.kernel, 0)
	if m := again.syncGauges("1"); m[0] != 0 {
		t.Errorf("%v on the cores after the command was dropped, want 0", m)
	}
	again.sendSched(tryA, "read", nil)
	if m := again.syncGauges("2"); m[0] != 1 {
		t.Errorf("%v on the cores after the command was sent again, want 1", m)
	}
	s.expectNoViolations(t)
}

// A broken or reset link ends, and its runs continue.
func TestKernelRunsSurviveLinkLoss(t *testing.T) {
	for name, end := range map[string]func(*Kernel){"break": (*Kernel).BreakLink, "reset": (*Kernel).ResetLink} {
		t.Run(name, func(t *testing.T) {
			s := newTestSetup(t, KernelConfig{Gauges: []string{"on_cores"}})
			s.recordSent(tryA, "read", "", nil, 3600)
			l := dialKernel(t, s.kernel, 0)
			l.sendSched(tryA, "read", nil)
			l.syncGauges("1")
			end(s.kernel)
			l.expectClosed()
			if m := dialKernel(t, s.kernel, 0).syncGauges("2"); m[0] != 1 {
				t.Errorf("%v on the cores after the link was lost, want 1", m)
			}
			s.expectNoViolations(t)
		})
	}
}

// linesUnderFaults runs some RPCs over a faulty link and returns the lines received, without their times.
func linesUnderFaults(t *testing.T, seed uint64, faults LinkFaults) []string {
	s := newTestSetup(t, KernelConfig{Gauges: []string{}, Seed: seed})
	s.kernel.SetLinkFaults(faults)
	l := dialKernel(t, s.kernel, 0)
	for k := range 20 {
		callID := fmt.Sprintf("%016x", k)
		s.recordSent(callID, "read", "", nil, 0)
		l.sendSched(callID, "read", nil)
		// One RPC at a time, so that the order of the notices does not depend on the machine's timing.
		waitFor(t, "the end of a run", func() bool {
			s.kernel.mu.Lock()
			defer s.kernel.mu.Unlock()
			n := len(s.kernel.notices)
			return n > 0 && strings.Contains(s.kernel.notices[n-1], callID)
		})
	}
	l.sendLine(`{"action":"SYSINFO","echo":"end"}`)
	var lines []string
	for {
		line, err := l.readLine()
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(line, "INFO") && strings.Contains(line, "end") {
			s.expectNoViolations(t)
			return lines
		}
		lines = append(lines, regexp.MustCompile(`"wall_ms":[0-9.]+`).ReplaceAllString(line, ""))
	}
}

// Fragmented and duplicated notices with remarks between them arrive in order and complete. The same seed gives the
// same lines, another seed does not.
func TestKernelLinkFaults(t *testing.T) {
	faults := LinkFaults{FragmentLines: true, DuplicateShare: 0.4, RemarkShare: 0.4, Delay: 5 * time.Millisecond}
	lines := linesUnderFaults(t, 9, faults)
	pos, endNotices, duplicates, remarks := 0, 0, 0, 0
	for _, line := range lines {
		var n testNotice
		line = strings.Replace(line, ",,", ",", 1)
		if err := json.Unmarshal([]byte(line), &n); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		switch {
		case n.Pos == pos:
			duplicates++
		case n.Pos != pos+1:
			t.Errorf("notice %d received after %d", n.Pos, pos)
		case n.Action == "DMESG":
			remarks++
		case n.Action == "REAP":
			endNotices++
		}
		pos = n.Pos
	}
	if endNotices != 20 || duplicates == 0 || remarks == 0 {
		t.Errorf("%d end notices, %d duplicates, %d remarks; want 20 end notices and some of the others",
			endNotices, duplicates, remarks)
	}
	if again := linesUnderFaults(t, 9, faults); strings.Join(again, "") != strings.Join(lines, "") {
		t.Errorf("the same seed gives different lines:\n%s\n%s", strings.Join(lines, ""), strings.Join(again, ""))
	}
	if other := linesUnderFaults(t, 10, faults); strings.Join(other, "") == strings.Join(lines, "") {
		t.Error("another seed gives the same lines")
	}
}

// A kernel that withholds notices sends nothing until ReleaseNotices. Of the connections made meanwhile only the last becomes
// the link.
func TestKernelWithholdsBooted(t *testing.T) {
	s := newTestSetup(t, KernelConfig{Gauges: []string{}})
	s.kernel.WithholdNotices()
	var links []*testLink
	for range 3 {
		conn, err := net.Dial("tcp", s.kernel.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		l := &testLink{t: t, conn: conn, reader: bufio.NewReader(conn)}
		l.sendLine(`{"action":"OPEN","pos":0}`)
		links = append(links, l)
	}
	waitFor(t, "three connections", func() bool {
		s.kernel.mu.Lock()
		defer s.kernel.mu.Unlock()
		return s.kernel.acceptedCount == 3
	})
	if !s.kernel.LinkedAt().IsZero() {
		t.Error("there is a link before ReleaseNotices")
	}
	s.kernel.ReleaseNotices()
	if n := links[2].readNotice(); n.Action != "BOOTED" {
		t.Errorf("first line after ReleaseNotices: %+v, want BOOTED", n)
	}
	links[2].syncGauges("1")
	links[0].expectClosed()
	links[1].expectClosed()
	s.expectNoViolations(t)
}
