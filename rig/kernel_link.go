package rig

import (
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// LinkFaults is what is wrong with a kernel's link while it goes on. The zero value is a good link.
type LinkFaults struct {
	FragmentLines  bool          // lines come in pieces of any length
	DuplicateShare float64       // share of notices that come twice under the same number
	RemarkShare    float64       // share of notices before which a DMESG is given
	Delay          time.Duration // lines come so much later, in their order
}

// fragmentInterval lies between two pieces of a line, so that they are read apart.
const fragmentInterval = time.Millisecond

// kernelLink is one connection of an app server to its kernel. Lines are written by a goroutine of its own: an app server
// that does not read holds up nothing else.
type kernelLink struct {
	nc            net.Conn
	number        uint64     // among the connections to its kernel
	dropsCommands bool       // commands that come on it are lost; guarded by the kernel's lock
	random        *rand.Rand // of pieces; only the writer uses it
	faults        *atomic.Pointer[LinkFaults]

	mu        sync.Mutex
	queue     []linkLine
	wake      chan struct{} // holds one after a change of lines
	closed    chan struct{} // closed with the link
	closeOnce sync.Once
}

// linkLine is one line on its way.
type linkLine struct {
	text       []byte
	sendAt     time.Time // not before
	closeAfter bool      // the link breaks after it
}

func newKernelLink(nc net.Conn, number, seed uint64, faults *atomic.Pointer[LinkFaults]) *kernelLink {
	return &kernelLink{nc: nc, number: number, random: rand.New(rand.NewPCG(seed, number)), faults: faults, wake: make(chan struct{}, 1), closed: make(chan struct{})}
}

// send puts a line in the queue.
func (l *kernelLink) send(text []byte, closeAfter bool) {
	line := linkLine{text: text, sendAt: time.Now().Add(l.faults.Load().Delay), closeAfter: closeAfter}
	l.mu.Lock()
	l.queue = append(l.queue, line)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// nextLine takes the first line off the queue and waits until it may go; ok is false once the link is over.
func (l *kernelLink) nextLine() (line linkLine, ok bool) {
	for {
		l.mu.Lock()
		if len(l.queue) > 0 {
			line, l.queue = l.queue[0], l.queue[1:]
			l.mu.Unlock()
			return line, l.sleep(time.Until(line.sendAt))
		}
		l.mu.Unlock()
		select {
		case <-l.wake:
		case <-l.closed:
			return line, false
		}
	}
}

// sleep reports whether the link has outlived it.
func (l *kernelLink) sleep(d time.Duration) bool {
	if d <= 0 {
		select {
		case <-l.closed:
			return false
		default:
			return true
		}
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.closed:
		return false
	}
}

// writeLines sends lines until the link is over.
func (l *kernelLink) writeLines() {
	defer l.close()
	for {
		line, ok := l.nextLine()
		if !ok || !l.writeLine(line.text) || line.closeAfter {
			return
		}
	}
}

// writeLine reports whether all of it could be written.
func (l *kernelLink) writeLine(text []byte) bool {
	for len(text) > 0 {
		size := len(text)
		if l.faults.Load().FragmentLines {
			size = 1 + l.random.IntN(len(text))
		}
		if _, err := l.nc.Write(text[:size]); err != nil {
			return false
		}
		if text = text[size:]; len(text) > 0 && !l.sleep(fragmentInterval) {
			return false
		}
	}
	return true
}

// close ends the connection; what is queued is lost.
func (l *kernelLink) close() {
	l.closeOnce.Do(func() {
		close(l.closed)
		l.nc.Close()
	})
}

// reset ends the connection, and what the app server has not read of it is lost too.
func (l *kernelLink) reset() {
	if tcp, ok := l.nc.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	l.close()
}
