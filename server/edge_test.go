package server

import (
	"fmt"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"valveglade/config"
)

// openBriefly opens an app server that leaves soon after its notice.
func openBriefly() *town {
	t := openPrepared(func(c *config.Config) { c.StopTimeout = 0.2 }, zap.NewNop(), func(*Server) {})
	t.linkUp()
	return t
}

// leftNothing waits until no connection is left, and nothing is counted for one.
func (t *town) leftNothing(test *testing.T) {
	test.Helper()
	for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		connections, held, owed := len(t.connections()), t.held.Load(), t.press.owed.Load()
		if connections == 0 && held == 0 && owed == 0 {
			return
		}
		if time.Now().After(end) {
			test.Fatalf("left: %d connections, %d bytes of RPCs, %d bytes of answers", connections, held, owed)
		}
	}
}

// frame is what a router writes for one RPC.
func frame(seq int) []byte {
	w := &recorder{}
	(&router{Conn: w}).execute(seq)
	return w.sent
}

// A message comes in two pieces, cut at each byte: it is run and answered once.
func TestEverySplit(test *testing.T) {
	t := openBriefly()
	r := t.dial()
	until("taken in", func() bool { return len(t.connections()) == 1 })
	c := t.connections()[0]
	for cut := 1; cut < len(frame(cut)); cut++ {
		seq := cut
		f := frame(seq)
		r.Write(f[:cut])
		until("half", func() bool { q, _ := c.rested(); return q.part })
		r.Write(f[cut:])
		next(t.runs)
		t.reap(seq, "fine", "ok")
		if got := r.answered(); got != seq {
			test.Fatalf("cut at byte %d: answer to %d, wanted %d", cut, got, seq)
		}
	}
	r.Close()
	t.leftNothing(test)
	t.close()
}

// A router goes, by a close and by a reset, after each few bytes of an RPC and right behind it: another's RPC is answered, and nothing
// is left of those that went.
func TestEndAtEveryEdge(test *testing.T) {
	t := openBriefly()
	usual := t.dial()
	usual.execute(1)
	next(t.runs)
	const step = 13
	whole := len(frame(2))
	for cut := 0; cut <= whole+step; cut += step {
		for _, reset := range []bool{false, true} {
			gone := t.dial()
			gone.Write(frame(2)[:min(cut, whole)])
			if reset {
				gone.Conn.(*net.TCPConn).SetLinger(0)
			}
			gone.Close()
		}
	}
	until("only the usual one is left", func() bool { return len(t.connections()) == 1 })
	t.reap(1, "fine", "one")
	if got := usual.answered(); got != 1 {
		test.Errorf("answer to %d", got)
	}
	for len(t.runs) > 0 {
		next(t.runs)
	}
	usual.Close()
	t.leftNothing(test)
	t.close()
}

// Interrupts for numbers that were never used, or are answered, change nothing.
func Example_interruptNobody() {
	t := openBriefly()
	r := t.dial()
	for _, target := range []int{1, 0, -1, 1 << 30} {
		r.interrupt(target)
	}
	r.execute(1)
	t.asked()
	r.interrupt(2)
	t.reap(1, "fine", "one")
	r.hear(1)
	r.interrupt(1)
	r.execute(2)
	t.asked()
	t.reap(2, "fine", "two")
	r.hear(1)
	r.Close()
	t.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 1 ok "one" good 1
	// kernel: SCHED 2 look body 2
	// router: 2 ok "two" good 1
	// served: <nil>
}

// Hundreds of connections that say nothing: RPCs of usual routers on connections old and new are answered, also of one that writes a
// byte at a time, and no processor is taken by the silent.
func TestSilentCrowd(test *testing.T) {
	t := openPrepared(func(c *config.Config) { c.StopTimeout, c.Sockets = 0.2, reserve+64 }, zap.NewNop(), func(*Server) {})
	t.linkUp()
	usual := t.dial()
	usual.execute(1)
	next(t.runs)
	var silent []net.Conn
	for range 300 {
		silent = append(silent, t.dial())
	}
	until("let in or turned away", func() bool { return len(t.connections()) == 64 })
	time.Sleep(2 * firstBytes)
	slow := t.dial()
	wrote := make(chan bool)
	go func() {
		defer close(wrote)
		for _, b := range frame(7) {
			slow.Write([]byte{b})
		}
	}()
	t.reap(1, "fine", "one")
	if got := usual.answered(); got != 1 {
		test.Errorf("answer to %d", got)
	}
	next(t.runs)
	t.reap(7, "fine", "seven")
	if got := slow.answered(); got != 7 {
		test.Errorf("answer to %d", got)
	}
	<-wrote
	until("the silent are gone", func() bool { return len(t.connections()) <= 2 })
	before := processorTime()
	const span = 200 * time.Millisecond
	time.Sleep(span)
	if used := processorTime() - before; used > span/3 {
		test.Errorf("%v of the processor in %v", used, span)
	}
	for _, c := range append(silent, usual, slow) {
		c.Close()
	}
	t.leftNothing(test)
	t.close()
}

// A router that neither reads nor writes on while its connection waits for its answers to be written: whatever ends the connection, the
// reader that waits for the writer wakes.
func TestReaderWaitsForWriter(test *testing.T) {
	for name, end := range map[string]func(t *town, c *conn, r *router){
		"reset":     func(_ *town, _ *conn, r *router) { r.Conn.(*net.TCPConn).SetLinger(0); r.Close() },
		"cut short": func(_ *town, c *conn, _ *router) { c.cutShort() },
		"notice":    func(t *town, _ *conn, _ *router) { t.notice() },
		"reads":     func(_ *town, _ *conn, r *router) { go func() { fmt.Fprint(discardAll{}, r.answeredAll()) }() },
	} {
		test.Run(name, func(test *testing.T) {
			t := openBriefly()
			r := t.dial()
			until("taken in", func() bool { return len(t.connections()) == 1 })
			c := t.connections()[0]
			flood := make(chan bool)
			go func() {
				defer close(flood)
				for err := error(nil); err == nil; {
					_, err = r.Write([]byte("\x00\x00\x00\x12\x80\x01\x00\x01\x00\x00\x00\x05check\x00\x00\x00\x01\x00"))
				}
			}()
			until("waits", func() bool {
				c.mu.Lock()
				defer c.mu.Unlock()
				return len(c.replies) >= mostOpen && c.writing
			})
			end(t, c, r)
			if name == "reads" {
				until("answers are taken", func() bool { return c.resting() || !c.there() })
				r.Close()
			}
			until("gone", func() bool { return !c.there() })
			r.Close()
			<-flood
			t.leftNothing(test)
			t.close()
		})
	}
}

type discardAll struct{}

func (discardAll) Write(b []byte) (int, error) { return len(b), nil }

// answeredAll counts the messages until the connection ends.
func (r *router) answeredAll() (n int) {
	for r.answered() != 0 {
		n++
	}
	return n
}
