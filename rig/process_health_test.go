package rig

import (
	"errors"
	"os/exec"
	"testing"
	"time"
)

// TestProcessHealth checks that a process that uses CPU while idle, one that ignores SIGTERM and one that a signal ends
// are reported, and that idle processes and those that exit cleanly are not.
func TestProcessHealth(t *testing.T) {
	launch := func(script string) *Process {
		p, err := Launch(exec.Command("/bin/sh", "-c", script), nil)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.kill)
		return p
	}
	idle, busy := launch("exec sleep 60"), launch("while :; do :; done")
	if err := idle.CheckIdle(time.Second, 0.2); err != nil {
		t.Error(err)
	}
	if err := busy.CheckIdle(time.Second, 0.2); !errors.Is(err, ErrBusyAtRest) {
		t.Errorf("CheckIdle of a busy process: %v, want ErrBusyAtRest", err)
	}
	ready := make(chan struct{}, 1)
	ignoresTerm, err := Launch(exec.Command("/bin/sh", "-c", "trap '' TERM; echo ready >&2; while :; do sleep 1; done"),
		func([]byte) { ready <- struct{}{} })
	if err != nil {
		t.Fatal(err)
	}
	<-ready
	if err := ignoresTerm.StopWithin(100 * time.Millisecond); !errors.Is(err, ErrStopIgnored) || ignoresTerm.Running() {
		t.Errorf("StopWithin of a process that ignores SIGTERM: %v, want ErrStopIgnored", err)
	}
	if err := idle.StopWithin(10 * time.Second); err == nil {
		t.Error("StopWithin returned no error for a process that SIGTERM killed")
	}
	exitsOnTerm, err := Launch(exec.Command("/bin/sh", "-c", "trap 'exit 0' TERM; echo ready >&2; while :; do sleep 0.01; done"),
		func([]byte) { ready <- struct{}{} })
	if err != nil {
		t.Fatal(err)
	}
	<-ready
	if err := exitsOnTerm.StopWithin(10 * time.Second); err != nil {
		t.Error(err)
	}
}
