// Package logsink provides a log writer that never blocks its callers on a slow or failing destination. Lines that do
// not fit into its buffer are dropped and counted.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Sink is an io.Writer that buffers whole lines for a destination that may block or fail. It is safe for concurrent
// use.
type Sink struct {
	destination io.Writer
	capacity    int // limit of pending, in bytes

	mu         sync.Mutex
	pending    []byte // lines not yet handed to the destination
	spare      []byte // empty buffer, used for pending after the next swap
	unreported int    // lines dropped and not yet reported in the log
	closed     bool

	wake         chan struct{} // holds a token while lines are pending
	written      chan struct{} // closed after Close, once all pending lines are written
	totalDropped atomic.Int64  // lines dropped since the start, see Dropped
}

// New starts a sink that writes to the given destination. It buffers at most capacity bytes, in addition to at most as
// many that are being written.
func New(destination io.Writer, capacity int) *Sink {
	s := &Sink{destination: destination, capacity: capacity, wake: make(chan struct{}, 1), written: make(chan struct{})}
	go s.run()
	return s
}

// Write buffers one line, or drops it if it does not fit or the sink is closed. It neither blocks on the destination
// nor returns an error.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.pending)+len(line) > s.capacity {
		s.drop(1)
		return len(line), nil
	}
	s.pending = append(s.pending, line...)
	s.signal()
	return len(line), nil
}

// Sync does nothing, since callers that log must never wait for the destination. Close flushes the buffer.
func (s *Sink) Sync() error { return nil }

// Dropped returns the number of lines dropped since the start.
func (s *Sink) Dropped() int { return int(s.totalDropped.Load()) }

// Close stops accepting lines and waits at most the given time until the buffered ones are written. It reports whether
// they were.
func (s *Sink) Close(timeout time.Duration) bool {
	s.mu.Lock()
	s.closed = true
	s.signal()
	s.mu.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-s.written:
		return true
	case <-timer.C:
		return false
	}
}

// drop counts dropped lines. The caller holds s.mu.
func (s *Sink) drop(lines int) {
	s.unreported += lines
	s.totalDropped.Add(int64(lines))
}

// signal wakes run, unless a wake-up is already queued.
func (s *Sink) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run writes pending lines until the sink is closed and all of them are written.
func (s *Sink) run() {
	defer close(s.written)
	for range s.wake {
		for {
			lines, dropped, closed := s.swapBuffers()
			if len(lines) == 0 && dropped == 0 {
				if closed {
					return
				}
				break
			}
			s.write(lines, dropped)
		}
	}
}

// swapBuffers returns the pending lines and the number of unreported dropped ones, and makes the spare buffer the
// pending one.
func (s *Sink) swapBuffers() (lines []byte, dropped int, closed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lines, dropped = s.pending, s.unreported
	s.pending, s.spare = s.spare[:0], nil
	s.unreported = 0
	return lines, dropped, s.closed
}

// write passes lines to the destination, followed by a message with the number of lines dropped after them. Lines for
// which the destination returns an error are lost.
func (s *Sink) write(lines []byte, dropped int) {
	s.destination.Write(lines)
	if dropped > 0 {
		fmt.Fprintf(s.destination, `{"level":"warn","msg":"log lines dropped","lines":%d}`+"\n", dropped)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spare = lines[:0]
}
