package rig

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Process is a process started by the rig. It ends with the rig, even if the rig is killed.
type Process struct {
	mu          sync.Mutex
	cmd         *exec.Cmd
	done        chan struct{}
	log         bytes.Buffer
	partialLine []byte       // of the log, up to the end of its line
	onLogLine   func([]byte) // called with each line of the log; set before the start, may be nil
	logPipe     *logPipe
}

// spawner starts processes on one thread that never ends. Pdeathsig kills the children of a killed rig, but the system also
// applies it when the thread that started the child ends.
var spawner = sync.OnceValue(func() chan func() {
	c := make(chan func())
	go func() {
		runtime.LockOSThread()
		for f := range c {
			f()
		}
	}()
	return c
})

// StartSpawner starts the goroutine of the spawner, which never ends. Callers that count leaked goroutines call it before the
// first count.
func StartSpawner() { spawner() }

// spawn starts a command. onExit is called with its result in a goroutine of its own; done is closed afterwards.
func (p *Process) spawn(cmd *exec.Cmd, onExit func(error)) (done chan struct{}, err error) {
	pipe, err := p.openLogPipe(cmd)
	if err != nil {
		return nil, err
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	startResult := make(chan error)
	spawner() <- func() { startResult <- cmd.Start() }
	err = <-startResult
	pipe.closeWriteEnd()
	if err != nil {
		return nil, err
	}
	done = make(chan struct{})
	p.mu.Lock()
	p.cmd, p.done = cmd, done
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		pipe.drain()
		onExit(err)
		close(done)
	}()
	return done, nil
}

// Log returns the end of the standard error output.
func (p *Process) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// SetPaused stops the process with SIGSTOP or resumes it with SIGCONT.
func (p *Process) SetPaused(paused bool) {
	if paused {
		p.signal(syscall.SIGSTOP)
	} else {
		p.signal(syscall.SIGCONT)
	}
}

// ended returns a channel that is closed when the process has ended.
func (p *Process) ended() chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// wait waits for the end of the process.
func (p *Process) wait() { <-p.ended() }

// Pid returns the process ID.
func (p *Process) Pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// signal sends a signal to the process started here, unless it has ended.
func (p *Process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.done:
	default:
		p.cmd.Process.Signal(s)
	}
}

// Throttle lets the process run for only a part of each period, like a CPU quota, until stop is called. It keeps time
// on a locked thread with the system's sleep, because garbage collection and timers of this process would stretch the
// intervals.
func (p *Process) Throttle(runTime, period time.Duration) (stop func()) {
	stopping, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		defer p.SetPaused(false)
		sleepUntil := func(t time.Time) {
			// Stopping a child sends signals to the parent, which interrupt the sleep.
			for d := time.Until(t); d > 0; d = time.Until(t) {
				ts := syscall.NsecToTimespec(int64(d))
				syscall.Nanosleep(&ts, nil)
			}
		}
		next := time.Now()
		for {
			select {
			case <-stopping:
				return
			default:
			}
			p.SetPaused(false)
			sleepUntil(time.Now().Add(runTime)) // measured from the actual start, even if it is late
			p.SetPaused(true)
			next = next.Add(period)
			if time.Until(next) < 0 {
				next = time.Now().Add(period - runTime)
			}
			sleepUntil(next)
		}
	}()
	return sync.OnceFunc(func() { close(stopping); <-stopped })
}

// CPUTime returns the CPU time used by the process, with finer resolution than the system's clock ticks.
func (p *Process) CPUTime() time.Duration { return p.schedstat(0) }

// RunnableWait returns how long the threads have been runnable without a processor.
func (p *Process) RunnableWait() time.Duration { return p.schedstat(1) }

// schedstat returns the sum of one field of the threads' schedstat files, in nanoseconds.
func (p *Process) schedstat(field int) time.Duration {
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", p.Pid()))
	total := time.Duration(0)
	for _, file := range files {
		if text, err := os.ReadFile(file); err == nil {
			if fields := strings.Fields(string(text)); len(fields) > field {
				ns, _ := strconv.ParseInt(fields[field], 10, 64)
				total += time.Duration(ns)
			}
		}
	}
	return total
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.ended():
		return false
	default:
		return true
	}
}

// ResidentBytes returns the resident memory in bytes, or 0 if it cannot be read.
func (p *Process) ResidentBytes() int64 { return p.statusBytes("VmRSS:") }

// Descriptors returns the number of open file descriptors, or 0 if it cannot be read.
func (p *Process) Descriptors() int {
	names, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Pid()))
	if err != nil {
		return 0
	}
	return len(names)
}

// started reports whether the process was ever started.
func (p *Process) started() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil
}

// kill kills the process with SIGKILL and waits for its end; it has no effect if none was started.
func (p *Process) kill() {
	if p.started() {
		p.signal(syscall.SIGKILL)
		p.wait()
	}
}
