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

// Process is one process that the rig has started, and what can be done to it. It ends with the rig, also when the rig is
// killed.
type Process struct {
	mu          sync.Mutex
	cmd         *exec.Cmd
	done        chan struct{}
	log         bytes.Buffer
	partialLine []byte       // of a line that is not whole yet
	onLogLine   func([]byte) // told of each line that it says, if set before the start
	logPipe     *logPipe
}

// spawner are carried out by one thread that never ends: the system kills a child when the thread that started it ends, which
// is how children end with a rig that was killed.
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

// StartSpawner starts what the rig keeps for as long as this process lives, for those who count what is left of a run.
func StartSpawner() { spawner() }

// spawn starts a command; over is told of its end, in a goroutine of its own.
func (p *Process) spawn(cmd *exec.Cmd, onExit func(error)) (done chan struct{}, err error) {
	pipe, err := p.logTo(cmd)
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

// Log is the last of what it said.
func (p *Process) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// SetPaused has the system stop the process, or let it go on.
func (p *Process) SetPaused(paused bool) {
	if paused {
		p.signal(syscall.SIGSTOP)
	} else {
		p.signal(syscall.SIGCONT)
	}
}

func (p *Process) ended() chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

func (p *Process) wait() { <-p.ended() }

// Pid is the process's id.
func (p *Process) Pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// signal goes only to the process started here, as long as it has not ended.
func (p *Process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.done:
	default:
		p.cmd.Process.Signal(s)
	}
}

// Throttle has the process run for a part of each period only, as a quota on its processor time does, until stop is
// called. It keeps time on a thread of its own with the system's sleep: this process's own collector and timers would
// stretch the parts.
func (p *Process) Throttle(run, period time.Duration) (stop func()) {
	stopping, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		defer p.SetPaused(false)
		sleepUntil := func(t time.Time) {
			// Stopping a child sends signals to its parent, which end the sleep early.
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
			sleepUntil(time.Now().Add(run)) // the part counts from when it began, however late that was
			p.SetPaused(true)
			next = next.Add(period)
			if time.Until(next) < 0 {
				next = time.Now().Add(period - run)
			}
			sleepUntil(next)
		}
	}()
	return sync.OnceFunc(func() { close(stopping); <-stopped })
}

// CPUTime is the processor time that the process has taken, finer than the system's clock ticks.
func (p *Process) CPUTime() time.Duration { return p.schedstat(0) }

// RunnableWait is how long its threads have been ready and had no processor.
func (p *Process) RunnableWait() time.Duration { return p.schedstat(1) }

// schedstat sums one word of its threads' schedstat, in nanoseconds.
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

// Running tells whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.ended():
		return false
	default:
		return true
	}
}

// ResidentBytes is the memory that the process takes, in bytes, 0 if that cannot be read.
func (p *Process) ResidentBytes() int64 { return p.statusBytes("VmRSS:") }

// Descriptors is how many file descriptors the process holds, 0 if that cannot be read.
func (p *Process) Descriptors() int {
	names, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Pid()))
	if err != nil {
		return 0
	}
	return len(names)
}

// started tells whether there ever was a process.
func (p *Process) started() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil
}

// kill ends it outright and waits for its end.
func (p *Process) kill() {
	if p.started() {
		p.signal(syscall.SIGKILL)
		p.wait()
	}
}
