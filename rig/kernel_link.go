package rig

import (
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// LinkFaults are the faults of a kernel's link while it is up. The zero value is a link without faults.
type LinkFaults struct {
	FragmentLines  bool          // write lines in fragments of random length
	DuplicateShare float64       // share of notices sent twice with the same number
	RemarkShare    float64       // share of notices preceded by a DMESG
	Delay          time.Duration // delay of each line; the order is kept
}

// fragmentInterval is the pause between two fragments of a line, so that they are read separately.
const fragmentInterval = time.Millisecond

// kernelLink is one connection of an app server to its kernel. A goroutine of its own writes the lines, so that an app
// server that does not read blocks nothing else.
type kernelLink struct {
	conn          net.Conn
	number        uint64     // ordinal of the connection at its kernel
	dropsCommands bool       // commands received on the link are dropped; guarded by Kernel.mu
	rng           *rand.Rand // for fragment lengths; used by the writer only
	faults        *atomic.Pointer[LinkFaults]

	mu        sync.Mutex
	queue     []linkLine
	wake      chan struct{} // holds one element after a change of queue
	closed    chan struct{} // closed when the link is
	closeOnce sync.Once
}

// linkLine is a queued line.
type linkLine struct {
	text       []byte
	sendAt     time.Time // earliest time to send it
	closeAfter bool      // close the link after the line
}

func newKernelLink(conn net.Conn, number, seed uint64, faults *atomic.Pointer[LinkFaults]) *kernelLink {
	return &kernelLink{conn: conn, number: number, rng: rand.New(rand.NewPCG(seed, number)), faults: faults,
		wake: make(chan struct{}, 1), closed: make(chan struct{})}
}

// send queues a line.
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

// nextLine dequeues the first line and waits until it may be sent; ok is false once the link is closed.
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

// sleep waits for d and reports whether the link is still open.
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

// writeLines sends queued lines until the link is closed, a write fails or a line with closeAfter has been sent. It then closes
// the link.
func (l *kernelLink) writeLines() {
	defer l.close()
	for {
		line, ok := l.nextLine()
		if !ok || !l.writeLine(line.text) || line.closeAfter {
			return
		}
	}
}

// writeLine reports whether the whole line could be written.
func (l *kernelLink) writeLine(text []byte) bool {
	for len(text) > 0 {
		size := len(text)
		if l.faults.Load().FragmentLines {
			size = 1 + l.rng.IntN(len(text))
		}
		if _, err := l.conn.Write(text[:size]); err != nil {
			return false
		}
		if text = text[size:]; len(text) > 0 && !l.sleep(fragmentInterval) {
			return false
		}
	}
	return true
}

// close closes the connection; queued lines are lost.
func (l *kernelLink) close() {
	l.closeOnce.Do(func() {
		close(l.closed)
		l.conn.Close()
	})
}

// reset resets the connection; data that the app server has not read is lost too.
func (l *kernelLink) reset() {
	if tcp, ok := l.conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	l.close()
}
