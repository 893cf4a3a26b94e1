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
	drained chan struct{} // closed when all has been read

	mu      sync.Mutex
	resumed chan struct{} // closed when reading may go on; nil while it does
}

// logTo gives a command a pipe for its standard error and reads it.
func (p *Process) logTo(cmd *exec.Cmd) (*logPipe, error) {
	read, write, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	l := &logPipe{process: p, read: read, write: write, drained: make(chan struct{})}
	cmd.Stderr = write
	p.mu.Lock()
	p.logPipe = l
	p.mu.Unlock()
	go l.copyToLog()
	return l, nil
}

// closeWriteEnd drops the rig's own end, so that the pipe ends with the process.
func (l *logPipe) closeWriteEnd() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.write.Close()
	l.write = nil
}

// drainTimeout bounds the wait for the rest of a log: somebody else may hold the pipe open.
const drainTimeout = time.Second

// drain reads the rest once the process has ended.
func (l *logPipe) drain() {
	l.setPaused(false)
	select {
	case <-l.drained:
	case <-time.After(drainTimeout):
	}
}

func (l *logPipe) copyToLog() {
	defer close(l.drained)
	defer l.read.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := l.read.Read(buffer)
		l.mu.Lock()
		resumed := l.resumed
		l.mu.Unlock()
		if resumed != nil {
			<-resumed
		}
		l.process.appendLog(bytes.ReplaceAll(buffer[:n], []byte{0}, nil))
		if err != nil {
			return
		}
	}
}

// setPaused stops the reading, or lets it go on.
func (l *logPipe) setPaused(paused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case paused && l.resumed == nil:
		l.resumed = make(chan struct{})
	case !paused && l.resumed != nil:
		close(l.resumed)
		l.resumed = nil
	}
}

// fill writes zeros, which are not kept, until nothing more goes into the pipe.
func (l *logPipe) fill() error {
	// Its own description of the pipe may be told not to wait without the process's being so too.
	writer, err := l.openWriter()
	if err != nil {
		return err
	}
	defer syscall.Close(writer)
	zeros := make([]byte, 4096)
	for size, refusals := len(zeros), 0; refusals < 3; {
		_, err := syscall.Write(writer, zeros[:size])
		switch {
		case err == syscall.EAGAIN && size > 1:
			size = 1
		case err == syscall.EAGAIN:
			refusals++ // the reader may have been between two reads
			time.Sleep(10 * time.Millisecond)
		case err != nil && err != syscall.EINTR:
			return err
		}
	}
	return nil
}

// openWriter opens the pipe for writing once more, without waiting.
func (l *logPipe) openWriter() (writer int, err error) {
	conn, err := l.read.SyscallConn()
	if err != nil {
		return 0, err
	}
	if controlErr := conn.Control(func(fd uintptr) {
		writer, err = syscall.Open(fmt.Sprintf("/proc/self/fd/%d", fd), syscall.O_WRONLY|syscall.O_NONBLOCK|syscall.O_CLOEXEC, 0)
	}); controlErr != nil {
		return 0, controlErr
	}
	return writer, err
}

// appendLog keeps the last of what the process says.
func (p *Process) appendLog(b []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.log.Len() > 1<<20 {
		p.log.Reset()
	}
	p.log.Write(b)
	if p.onLogLine == nil {
		return
	}
	p.partialLine = append(p.partialLine, b...)
	for {
		k := bytes.IndexByte(p.partialLine, '\n')
		if k < 0 {
			break
		}
		p.onLogLine(p.partialLine[:k])
		p.partialLine = p.partialLine[k+1:]
	}
}

// FillLog has nobody read the process's log, and its pipe full, until ReadLog.
func (p *Process) FillLog() error {
	p.mu.Lock()
	l := p.logPipe
	p.mu.Unlock()
	l.setPaused(true)
	return l.fill()
}

// ReadLog has the log read on.
func (p *Process) ReadLog() {
	p.mu.Lock()
	l := p.logPipe
	p.mu.Unlock()
	l.setPaused(false)
}
