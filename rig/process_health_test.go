package rig

import (
	"errors"
	"os/exec"
	"testing"
	"time"
)

// A process that spins, one that ignores its stop and one that says nothing are found; those that do not are not.
func TestProcessHealth(t *testing.T) {
	start := func(script string) *Process {
		p, err := Launch(exec.Command("/bin/sh", "-c", script), nil)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.kill)
		return p
	}
	quiet, spinning := start("exec sleep 60"), start("while :; do :; done")
	if err := quiet.CheckIdle(time.Second, 0.2); err != nil {
		t.Error(err)
	}
	if err := spinning.CheckIdle(time.Second, 0.2); !errors.Is(err, ErrBusyAtRest) {
		t.Errorf("%v of a process that spins", err)
	}
	ready := make(chan struct{}, 1)
	stubborn, err := Launch(exec.Command("/bin/sh", "-c", "trap '' TERM; echo ready >&2; while :; do sleep 1; done"), func([]byte) { ready <- struct{}{} })
	if err != nil {
		t.Fatal(err)
	}
	<-ready
	if err := stubborn.StopWithin(100 * time.Millisecond); !errors.Is(err, ErrStopIgnored) || stubborn.Running() {
		t.Errorf("%v of a process that ignores its stop", err)
	}
	if err := quiet.StopWithin(10 * time.Second); err == nil {
		t.Error("a process that SIGTERM has killed has ended as it should")
	}
	obedient, err := Launch(exec.Command("/bin/sh", "-c", "trap 'exit 0' TERM; echo ready >&2; while :; do sleep 0.01; done"), func([]byte) { ready <- struct{}{} })
	if err != nil {
		t.Fatal(err)
	}
	<-ready
	if err := obedient.StopWithin(10 * time.Second); err != nil {
		t.Error(err)
	}
}
