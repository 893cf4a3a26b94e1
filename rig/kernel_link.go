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

// pieceGap lies between two pieces of a line, so that they are read apart.
const pieceGap = time.Millisecond

// kernelLink is one connection of an app server to its kernel. Lines are written by a goroutine of its own: an app server
// that does not read holds up nothing else.
type kernelLink struct {
	nc     net.Conn
	number uint64     // among the connections to its kernel
	deaf   bool       // commands that come on it are lost; guarded by the kernel's lock
	chance *rand.Rand // of pieces; only the writer uses it
	faults *atomic.Pointer[LinkFaults]

	mu    sync.Mutex
	lines []linkLine
	wake  chan struct{} // holds one after a change of lines
	over  chan struct{} // closed with the link
	once  sync.Once
}

// linkLine is one line on its way.
type linkLine struct {
	text []byte
	from time.Time // not before
	last bool      // the link breaks after it
}

func newKernelLink(nc net.Conn, number, seed uint64, faults *atomic.Pointer[LinkFaults]) *kernelLink {
	return &kernelLink{nc: nc, number: number, chance: rand.New(rand.NewPCG(seed, number)), faults: faults, wake: make(chan struct{}, 1), over: make(chan struct{})}
}

// send puts a line in the queue.
func (l *kernelLink) send(text []byte, last bool) {
	line := linkLine{text: text, from: time.Now().Add(l.faults.Load().Delay), last: last}
	l.mu.Lock()
	l.lines = append(l.lines, line)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// next takes the first line off the queue and waits until it may go; ok is false once the link is over.
func (l *kernelLink) next() (line linkLine, ok bool) {
	for {
		l.mu.Lock()
		if len(l.lines) > 0 {
			line, l.lines = l.lines[0], l.lines[1:]
			l.mu.Unlock()
			return line, l.sleep(time.Until(line.from))
		}
		l.mu.Unlock()
		select {
		case <-l.wake:
		case <-l.over:
			return line, false
		}
	}
}

// sleep reports whether the link has outlived it.
func (l *kernelLink) sleep(d time.Duration) bool {
	if d <= 0 {
		select {
		case <-l.over:
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
	case <-l.over:
		return false
	}
}

// write sends lines until the link is over.
func (l *kernelLink) write() {
	defer l.close()
	for {
		line, ok := l.next()
		if !ok || !l.writeLine(line.text) || line.last {
			return
		}
	}
}

// writeLine reports whether all of it could be written.
func (l *kernelLink) writeLine(text []byte) bool {
	for len(text) > 0 {
		size := len(text)
		if l.faults.Load().FragmentLines {
			size = 1 + l.chance.IntN(len(text))
		}
		if _, err := l.nc.Write(text[:size]); err != nil {
			return false
		}
		if text = text[size:]; len(text) > 0 && !l.sleep(pieceGap) {
			return false
		}
	}
	return true
}

// close ends the connection; what is queued is lost.
func (l *kernelLink) close() {
	l.once.Do(func() {
		close(l.over)
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
