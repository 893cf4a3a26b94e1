package rig

import (
	"errors"
	"fmt"
	"syscall"
	"time"
)

// ErrBusyAtRest is wrapped by the errors of processes that use CPU while they have nothing to do.
var ErrBusyAtRest = errors.New("the process uses the processor at rest") // matched by the experiment with injected faults

// ErrStopIgnored is wrapped by the errors of processes that do not end on SIGTERM.
var ErrStopIgnored = errors.New("the process does not end on SIGTERM")

// CheckIdle returns an error if the process uses more than a share of one core over a duration in which it is sent
// nothing. A process that has ended counts as idle.
func (p *Process) CheckIdle(duration time.Duration, maxCoreShare float64) error {
	before, startedAt := p.CPUTime(), time.Now()
	time.Sleep(duration)
	if !p.Running() {
		return nil
	}
	if used := (p.CPUTime() - before).Seconds() / time.Since(startedAt).Seconds(); used > maxCoreShare {
		return fmt.Errorf("%w: used %.2f of a core over %v", ErrBusyAtRest, used, duration)
	}
	return nil
}

// StopWithin sends SIGTERM and returns an error if the process does not end within the timeout, in which case it is
// killed, or ends with an exit code other than 0.
func (p *Process) StopWithin(timeout time.Duration) error {
	signaledAt := time.Now()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.ended():
	case <-time.After(timeout):
		p.kill()
		return fmt.Errorf("%w: still running %v after SIGTERM", ErrStopIgnored, timeout)
	}
	if code := p.ExitCode(); code != 0 {
		return fmt.Errorf("the process ended with code %d %v after SIGTERM", code, time.Since(signaledAt).Round(time.Millisecond))
	}
	return nil
}

// ExitCode returns the exit code, or -1 if the process was ended by a signal or is still running.
func (p *Process) ExitCode() int {
	if p.Running() {
		return -1
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.ProcessState.ExitCode()
}
