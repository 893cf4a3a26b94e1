package logsink

import (
	"bytes"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"
)

const patience = 20 * time.Second

// gate is a writer that holds each write until it is let through.
type gate struct {
	mu    sync.Mutex
	taken bytes.Buffer
	begun chan bool // one for each write that has begun
	let   chan bool // closed: no more holding
	err   error
}

func newGate() *gate { return &gate{begun: make(chan bool, 1000), let: make(chan bool)} }

func (g *gate) Write(b []byte) (int, error) {
	g.begun <- true
	<-g.let
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.err != nil {
		return 0, g.err
	}
	return g.taken.Write(b)
}

func (g *gate) String() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.taken.String()
}

// Whoever logs is never held up by a writer that does not return; what finds no room is counted, and told once there is room.
func TestBlocked(t *testing.T) {
	g := newGate()
	s := New(g, 100)
	line := strings.Repeat("x", 39) + "\n"
	s.Write([]byte(line))
	<-g.begun // the first is being written, and held there
	for range 5 {
		if n, err := s.Write([]byte(line)); n != len(line) || err != nil {
			t.Fatalf("a line: %d, %v", n, err)
		}
	}
	if s.Dropped() != 3 {
		t.Errorf("dropped %d lines, wanted 3", s.Dropped())
	}
	close(g.let)
	if !s.Close(patience) {
		t.Error("not written")
	}
	want := line + line + line + `{"level":"warn","msg":"log lines dropped","lines":3}` + "\n"
	if got := g.String(); got != want {
		t.Errorf("written:\n%swanted:\n%s", got, want)
	}
}

// Close returns in time although the writer never does.
func TestCloseBlocked(t *testing.T) {
	g := newGate()
	s := New(g, 100)
	s.Write([]byte("one\n"))
	<-g.begun
	if s.Close(time.Millisecond) {
		t.Error("told as written what is held")
	}
	s.Write([]byte("late\n"))
	if s.Dropped() != 1 {
		t.Errorf("dropped %d lines after the end, wanted 1", s.Dropped())
	}
	close(g.let)
	if !s.Close(patience) {
		t.Error("not written")
	}
}

// A writer that fails costs the lines, nothing else.
func TestFailing(t *testing.T) {
	g := newGate()
	g.err = errors.New("broken pipe")
	close(g.let)
	s := New(g, 100)
	s.Write([]byte("one\n"))
	<-g.begun
	g.mu.Lock()
	g.err = nil
	g.mu.Unlock()
	s.Write([]byte("two\n"))
	if !s.Close(patience) || !strings.HasSuffix(g.String(), "two\n") {
		t.Errorf("written: %q", g.String())
	}
}

// Many goroutines: each line is whole, or counted.
func TestTogether(t *testing.T) {
	g := newGate()
	close(g.let)
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
	s.Close(patience)
	whole := strings.Count(g.String(), "0123456789\n")
	if whole+s.Dropped() != writers*each {
		t.Errorf("%d lines and %d dropped of %d", whole, s.Dropped(), writers*each)
	}
}
