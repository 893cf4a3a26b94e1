// Package logsink takes log lines without ever waiting for whoever reads them. Lines that find no room are dropped and counted.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Sink is an io.Writer of whole lines in front of a writer that may block or fail. It is safe for use by many goroutines.
type Sink struct {
	to       io.Writer
	capacity int

	mu      sync.Mutex
	pending []byte
	spare   []byte
	dropped int
	closed  bool

	wake    chan struct{} // holds one while lines are pending
	written chan struct{} // closed once everything is written after Close
	lost    atomic.Int64  // lines dropped since the start, see Dropped
}

// New starts a sink that keeps at most capacity bytes for to, and as many that are being written.
func New(to io.Writer, capacity int) *Sink {
	s := &Sink{to: to, capacity: capacity, wake: make(chan struct{}, 1), written: make(chan struct{})}
	go s.run()
	return s
}

// Write takes one line, or drops it. It neither blocks nor fails.
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

// Sync does nothing: whoever writes a line never waits for it. See Close.
func (s *Sink) Sync() error { return nil }

// Dropped is how many lines have been dropped since the start.
func (s *Sink) Dropped() int { return int(s.lost.Load()) }

// Close takes no more lines, and waits at most so long until those that it has are written. It reports whether they are.
func (s *Sink) Close(within time.Duration) bool {
	s.mu.Lock()
	s.closed = true
	s.signal()
	s.mu.Unlock()
	late := time.NewTimer(within)
	defer late.Stop()
	select {
	case <-s.written:
		return true
	case <-late.C:
		return false
	}
}

// drop is called under the lock.
func (s *Sink) drop(lines int) {
	s.dropped += lines
	s.lost.Add(int64(lines))
}

func (s *Sink) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run writes what is pending until the sink is closed and everything is written.
func (s *Sink) run() {
	defer close(s.written)
	for range s.wake {
		for {
			lines, dropped, closed := s.take()
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

// take swaps the buffers.
func (s *Sink) take() (lines []byte, dropped int, closed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lines, dropped = s.pending, s.dropped
	s.pending, s.spare = s.spare[:0], nil
	s.dropped = 0
	return lines, dropped, s.closed
}

// write brings lines to the writer, and then how many were dropped behind them. What a writer that fails does not take is lost.
func (s *Sink) write(lines []byte, dropped int) {
	s.to.Write(lines)
	if dropped > 0 {
		fmt.Fprintf(s.to, `{"level":"warn","msg":"log lines dropped","lines":%d}`+"\n", dropped)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spare = lines[:0]
}
