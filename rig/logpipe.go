package rig

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// logPipe carries what a process says on its standard error to the rig, which may stop reading it for a while.
type logPipe struct {
	process *Process
	read    *os.File
	write   *os.File
	over    chan struct{} // closed when all has been read

	mu   sync.Mutex
	held chan struct{} // closed when reading may go on; nil while it does
}

// logTo gives a command a pipe for its standard error and reads it.
func (p *Process) logTo(cmd *exec.Cmd) (*logPipe, error) {
	read, write, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	l := &logPipe{process: p, read: read, write: write, over: make(chan struct{})}
	cmd.Stderr = write
	p.mu.Lock()
	p.pipe = l
	p.mu.Unlock()
	go l.carry()
	return l, nil
}

// started drops the rig's own end, so that the pipe ends with the process.
func (l *logPipe) started() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.write.Close()
	l.write = nil
}

// drainTime bounds the wait for the rest of a log: somebody else may hold the pipe open.
const drainTime = time.Second

// drain reads the rest once the process has ended.
func (l *logPipe) drain() {
	l.hold(false)
	select {
	case <-l.over:
	case <-time.After(drainTime):
	}
}

func (l *logPipe) carry() {
	defer close(l.over)
	defer l.read.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := l.read.Read(buffer)
		l.mu.Lock()
		held := l.held
		l.mu.Unlock()
		if held != nil {
			<-held
		}
		l.process.logged(bytes.ReplaceAll(buffer[:n], []byte{0}, nil))
		if err != nil {
			return
		}
	}
}

// hold stops the reading, or lets it go on.
func (l *logPipe) hold(held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case held && l.held == nil:
		l.held = make(chan struct{})
	case !held && l.held != nil:
		close(l.held)
		l.held = nil
	}
}

// fill writes zeros, which are not kept, until nothing more goes into the pipe.
func (l *logPipe) fill() error {
	// Its own description of the pipe may be told not to wait without the process's being so too.
	end, err := l.another()
	if err != nil {
		return err
	}
	defer syscall.Close(end)
	zeros := make([]byte, 4096)
	for size, refused := len(zeros), 0; refused < 3; {
		_, err := syscall.Write(end, zeros[:size])
		switch {
		case err == syscall.EAGAIN && size > 1:
			size = 1
		case err == syscall.EAGAIN:
			refused++ // the reader may have been between two reads
			time.Sleep(10 * time.Millisecond)
		case err != nil && err != syscall.EINTR:
			return err
		}
	}
	return nil
}

// another opens the pipe for writing once more, without waiting.
func (l *logPipe) another() (end int, err error) {
	conn, err := l.read.SyscallConn()
	if err != nil {
		return 0, err
	}
	if other := conn.Control(func(fd uintptr) {
		end, err = syscall.Open(fmt.Sprintf("/proc/self/fd/%d", fd), syscall.O_WRONLY|syscall.O_NONBLOCK|syscall.O_CLOEXEC, 0)
	}); other != nil {
		return 0, other
	}
	return end, err
}

// logged keeps the last of what the process says.
func (p *Process) logged(b []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.log.Len() > 1<<20 {
		p.log.Reset()
	}
	p.log.Write(b)
	if p.tap == nil {
		return
	}
	p.part = append(p.part, b...)
	for {
		k := bytes.IndexByte(p.part, '\n')
		if k < 0 {
			break
		}
		p.tap(p.part[:k])
		p.part = p.part[k+1:]
	}
}

// FillLog has nobody read the process's log, and its pipe full, until ReadLog.
func (p *Process) FillLog() error {
	p.mu.Lock()
	l := p.pipe
	p.mu.Unlock()
	l.hold(true)
	return l.fill()
}

// ReadLog has the log read on.
func (p *Process) ReadLog() {
	p.mu.Lock()
	l := p.pipe
	p.mu.Unlock()
	l.hold(false)
}
