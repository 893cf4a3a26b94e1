package logsink

import (
	"bytes"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"
)

// closeTimeout bounds Close where all pending lines are expected to be written.
const closeTimeout = 20 * time.Second

// blockingWriter is a writer whose writes block until unblock is closed.
type blockingWriter struct {
	mu      sync.Mutex
	written bytes.Buffer
	started chan bool // receives a value at the start of each write
	unblock chan bool // closed to unblock all writes
	err     error     // returned by Write if not nil
}

func newBlockingWriter() *blockingWriter {
	return &blockingWriter{started: make(chan bool, 1000), unblock: make(chan bool)}
}

func (g *blockingWriter) Write(b []byte) (int, error) {
	g.started <- true
	<-g.unblock
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.err != nil {
		return 0, g.err
	}
	return g.written.Write(b)
}

func (g *blockingWriter) String() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.written.String()
}

// Write does not block while the destination does. Lines that do not fit are counted, and their number is logged once
// the destination accepts writes again.
func TestBlocked(t *testing.T) {
	g := newBlockingWriter()
	s := New(g, 100)
	line := strings.Repeat("x", 39) + "\n"
	s.Write([]byte(line))
	<-g.started // the first line is being written, and blocked there
	for range 5 {
		if n, err := s.Write([]byte(line)); n != len(line) || err != nil {
			t.Fatalf("Write returned %d, %v; want the length of the line and no error", n, err)
		}
	}
	if s.Dropped() != 3 {
		t.Errorf("dropped %d lines, want 3", s.Dropped())
	}
	close(g.unblock)
	if !s.Close(closeTimeout) {
		t.Error("Close timed out before all lines were written")
	}
	want := line + line + line + `{"level":"warn","msg":"log lines dropped","lines":3}` + "\n"
	if got := g.String(); got != want {
		t.Errorf("written:\n%swant:\n%s", got, want)
	}
}

// Close returns after its timeout while the destination is blocked.
func TestCloseBlocked(t *testing.T) {
	g := newBlockingWriter()
	s := New(g, 100)
	s.Write([]byte("one\n"))
	<-g.started
	if s.Close(time.Millisecond) {
		t.Error("Close reported lines as written while the destination was blocked")
	}
	s.Write([]byte("late\n"))
	if s.Dropped() != 1 {
		t.Errorf("dropped %d lines after Close, want 1", s.Dropped())
	}
	close(g.unblock)
	if !s.Close(closeTimeout) {
		t.Error("Close timed out before all lines were written")
	}
}

// A destination that returns an error loses the lines of that write; later lines are still written.
func TestFailingDestination(t *testing.T) {
	g := newBlockingWriter()
	g.err = errors.New("broken pipe")
	close(g.unblock)
	s := New(g, 100)
	s.Write([]byte("one\n"))
	<-g.started
	g.mu.Lock()
	g.err = nil
	g.mu.Unlock()
	s.Write([]byte("two\n"))
	if !s.Close(closeTimeout) || !strings.HasSuffix(g.String(), "two\n") {
		t.Errorf("written: %q", g.String())
	}
}

// With concurrent writers each line is either written whole or counted as dropped.
func TestConcurrent(t *testing.T) {
	g := newBlockingWriter()
	close(g.unblock)
	s := New(g, 64)
	var group sync.WaitGroup
	const writers, each = 8, 100
	for range writers {
		group.Go(func() {
			for range each {
				s.Write([]byte("0123456789\n"))
			}
		})
	}
	group.Wait()
	s.Close(closeTimeout)
	written := strings.Count(g.String(), "0123456789\n")
	if written+s.Dropped() != writers*each {
		t.Errorf("%d lines written and %d dropped, want %d in all", written, s.Dropped(), writers*each)
	}
}
