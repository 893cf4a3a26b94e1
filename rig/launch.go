package rig

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Launch starts a command as a Process. onLine, if not nil, is called with each line of its standard error.
func Launch(cmd *exec.Cmd, onLine func(line []byte)) (*Process, error) {
	p := &Process{onLogLine: onLine}
	if _, err := p.spawn(cmd, func(error) {}); err != nil {
		return nil, err
	}
	return p, nil
}

// Reload sends SIGHUP.
func (p *Process) Reload() { p.signal(syscall.SIGHUP) }

// Signal sends a signal to the process, unless it has ended.
func (p *Process) Signal(s syscall.Signal) { p.signal(s) }

// ErrNotEnded is returned for a process that had to be killed.
var ErrNotEnded = errors.New("the process did not end by itself")

// Kill kills the process with SIGKILL and waits for its end.
func (p *Process) Kill() { p.kill() }

// Terminate sends SIGTERM and waits for the end. It kills the process and returns ErrNotEnded after the timeout.
func (p *Process) Terminate(timeout time.Duration) error {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.ended():
		return nil
	case <-time.After(timeout):
		p.kill()
		return ErrNotEnded
	}
}

// clearRefsResetPeak resets the peak of resident memory when written to /proc/PID/clear_refs, see proc(5).
const clearRefsResetPeak = "5"

// ResetPeakResident restarts the measurement of PeakResidentBytes.
func (p *Process) ResetPeakResident() error {
	return os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", p.Pid()), []byte(clearRefsResetPeak), 0)
}

// PeakResidentBytes returns the peak of resident memory since the start or the last ResetPeakResident, in bytes, or 0
// if it cannot be read.
func (p *Process) PeakResidentBytes() int64 { return p.statusBytes("VmHWM:") }

// statusBytes returns a size from /proc/PID/status in bytes, or 0 if it cannot be read.
func (p *Process) statusBytes(field string) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Pid()))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, field); ok {
			kilobytes, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}
