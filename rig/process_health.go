package rig

import (
	"errors"
	"fmt"
	"syscall"
	"time"
)

// ErrBusyAtRest is wrapped by the errors of processes that use the processor although there is nothing to do.
var ErrBusyAtRest = errors.New("the process uses the processor at rest")

// ErrStopIgnored is wrapped by the errors of processes that do not end on SIGTERM.
var ErrStopIgnored = errors.New("the process ignores its stop")

// CheckIdle returns an error if the process takes more than a share of one core over a quiet second in which nobody asks it for
// anything. A process that has ended rests.
func (p *Process) CheckIdle(duration time.Duration, maxCoreShare float64) error {
	before, began := p.CPUTime(), time.Now()
	time.Sleep(duration)
	if !p.Running() {
		return nil
	}
	if used := (p.CPUTime() - before).Seconds() / time.Since(began).Seconds(); used > maxCoreShare {
		return fmt.Errorf("%w: %.2f of a core over %v", ErrBusyAtRest, used, duration)
	}
	return nil
}

// StopWithin sends SIGTERM and returns an error if the process has not ended by itself in that time, or has ended with
// another code than 0. It is killed then.
func (p *Process) StopWithin(timeout time.Duration) error {
	began := time.Now()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.ended():
	case <-time.After(timeout):
		p.kill()
		return fmt.Errorf("%w: it ran on %v after SIGTERM", ErrStopIgnored, timeout)
	}
	if code := p.ExitCode(); code != 0 {
		return fmt.Errorf("the process ended with code %d %v after SIGTERM", code, time.Since(began).Round(time.Millisecond))
	}
	return nil
}

// ExitCode is that of a process that has ended: -1 where a signal ended it, or while it has not.
func (p *Process) ExitCode() int {
	if p.Running() {
		return -1
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.ProcessState.ExitCode()
}
