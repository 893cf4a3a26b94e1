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

// logPipe carries the standard error of a process to the rig. Reading can be paused.
type logPipe struct {
	process *Process
	read    *os.File
	write   *os.File
	drained chan struct{} // closed when the pipe has been read to its end

	mu      sync.Mutex
	resumed chan struct{} // closed when reading resumes; nil unless paused
}

// openLogPipe creates a pipe for the standard error of a command and starts to read it.
func (p *Process) openLogPipe(cmd *exec.Cmd) (*logPipe, error) {
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

// closeWriteEnd closes the rig's copy of the write end, so that the pipe ends with the process.
func (l *logPipe) closeWriteEnd() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.write.Close()
	l.write = nil
}

// drainTimeout limits the wait for the rest of a log: another process may hold the pipe open.
const drainTimeout = time.Second

// drain reads the rest of the pipe after the process has ended.
func (l *logPipe) drain() {
	l.setPaused(false)
	select {
	case <-l.drained:
	case <-time.After(drainTimeout):
	}
}

// copyToLog reads the pipe to its end.
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

// setPaused pauses or resumes reading.
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

// fill writes zero bytes, which the log leaves out, until the pipe is full.
func (l *logPipe) fill() error {
	// A separate file description can be non-blocking without affecting that of the process.
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
			refusals++ // the reader may have made room between two reads
			time.Sleep(10 * time.Millisecond)
		case err != nil && err != syscall.EINTR:
			return err
		}
	}
	return nil
}

// openWriter opens the pipe for non-blocking writes, with a file description of its own. The caller closes it.
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

// appendLog appends output to the log, which is truncated when it grows large, and passes whole lines to onLogLine.
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

// FillLog stops reading the process's log and fills its pipe, until ReadLog.
func (p *Process) FillLog() error {
	p.mu.Lock()
	l := p.logPipe
	p.mu.Unlock()
	l.setPaused(true)
	return l.fill()
}

// ReadLog resumes reading the log.
func (p *Process) ReadLog() {
	p.mu.Lock()
	l := p.logPipe
	p.mu.Unlock()
	l.setPaused(false)
}
