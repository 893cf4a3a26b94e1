package rig

import (
	"os/exec"
	"strings"
	"testing"
	"time"
)

// TestFillLog checks that a process whose log is not read blocks on its next line, and continues once the log is read
// again.
func TestFillLog(t *testing.T) {
	p, err := Launch(exec.Command("sh", "-c", "while read line; do :; done; while :; do echo line >&2; done"), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Kill()
	await(t, "a first line", func() bool { return strings.Contains(p.Log(), "line") })
	if err := p.FillLog(); err != nil {
		t.Fatal(err)
	}
	before := p.CPUTime()
	time.Sleep(100 * time.Millisecond)
	if took := p.CPUTime() - before; took > 20*time.Millisecond {
		t.Errorf("the process used %v of CPU while its log was full", took)
	}
	length := len(p.Log())
	p.ReadLog()
	await(t, "more lines", func() bool { return len(p.Log()) > length })
	if strings.ContainsRune(p.Log(), 0) {
		t.Error("the log contains the zero bytes that filled the pipe")
	}
}

// await waits up to 10 seconds for a condition.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}
