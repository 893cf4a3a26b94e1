package server

import (
	"fmt"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"valveglade/config"
)

// newBriefDrainHarness opens an app server that leaves soon after its notice.
func newBriefDrainHarness() *harness {
	t := newPreparedHarness(func(c *config.Config) { c.Stop = 0.2 }, zap.NewNop(), func(*Server) {})
	t.bootKernel()
	return t
}

// waitUntilReleased waits until no connection is left, and nothing is counted for one.
func (t *harness) waitUntilReleased(test *testing.T) {
	test.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		connections, held, owed := len(t.connections()), t.held.Load(), t.press.owed.Load()
		if connections == 0 && held == 0 && owed == 0 {
			return
		}
		if time.Now().After(end) {
			test.Fatalf("left: %d connections, %d bytes of RPCs, %d bytes of answers", connections, held, owed)
		}
	}
}

// encodeExecute is what a router writes for one RPC.
func encodeExecute(seq int) []byte {
	w := &recordingConn{}
	(&routerConn{Conn: w}).execute(seq)
	return w.written
}

// A message comes in two pieces, cut at each byte: it is run and answered once.
func TestEverySplit(test *testing.T) {
	t := newBriefDrainHarness()
	r := t.dial()
	waitFor("taken in", func() bool { return len(t.connections()) == 1 })
	c := t.connections()[0]
	for cut := 1; cut < len(encodeExecute(cut)); cut++ {
		seq := cut
		f := encodeExecute(seq)
		r.Write(f[:cut])
		waitFor("half", func() bool { q, _ := c.rested(); return q.part })
		r.Write(f[cut:])
		receive(t.kernelCommands)
		t.endRun(seq, "fine", "ok")
		if got := r.readReplySeq(); got != seq {
			test.Fatalf("cut at byte %d: answer to %d, wanted %d", cut, got, seq)
		}
	}
	r.Close()
	t.waitUntilReleased(test)
	t.close()
}

// A router goes, by a close and by a reset, after each few bytes of an RPC and right behind it: another's RPC is answered, and nothing
// is left of those that went.
func TestEndAtEveryEdge(test *testing.T) {
	t := newBriefDrainHarness()
	usual := t.dial()
	usual.execute(1)
	receive(t.kernelCommands)
	const step = 13
	whole := len(encodeExecute(2))
	for cut := 0; cut <= whole+step; cut += step {
		for _, reset := range []bool{false, true} {
			gone := t.dial()
			gone.Write(encodeExecute(2)[:min(cut, whole)])
			if reset {
				gone.Conn.(*net.TCPConn).SetLinger(0)
			}
			gone.Close()
		}
	}
	waitFor("only the usual one is left", func() bool { return len(t.connections()) == 1 })
	t.endRun(1, "fine", "one")
	if got := usual.readReplySeq(); got != 1 {
		test.Errorf("answer to %d", got)
	}
	for len(t.kernelCommands) > 0 {
		receive(t.kernelCommands)
	}
	usual.Close()
	t.waitUntilReleased(test)
	t.close()
}

// Interrupts for numbers that were never used, or are answered, change nothing.
func Example_interruptNobody() {
	t := newBriefDrainHarness()
	r := t.dial()
	for _, target := range []int{1, 0, -1, 1 << 30} {
		r.interrupt(target)
	}
	r.execute(1)
	t.printKernelCommand()
	r.interrupt(2)
	t.endRun(1, "fine", "one")
	r.printReplies(1)
	r.interrupt(1)
	r.execute(2)
	t.printKernelCommand()
	t.endRun(2, "fine", "two")
	r.printReplies(1)
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
	t := newPreparedHarness(func(c *config.Config) { c.Stop, c.Sockets = 0.2, reserve+64 }, zap.NewNop(), func(*Server) {})
	t.bootKernel()
	usual := t.dial()
	usual.execute(1)
	receive(t.kernelCommands)
	var silent []net.Conn
	for range 300 {
		silent = append(silent, t.dial())
	}
	waitFor("let in or turned away", func() bool { return len(t.connections()) == 64 })
	time.Sleep(2 * firstBytes)
	slow := t.dial()
	wrote := make(chan bool)
	go func() {
		defer close(wrote)
		for _, b := range encodeExecute(7) {
			slow.Write([]byte{b})
		}
	}()
	t.endRun(1, "fine", "one")
	if got := usual.readReplySeq(); got != 1 {
		test.Errorf("answer to %d", got)
	}
	receive(t.kernelCommands)
	t.endRun(7, "fine", "seven")
	if got := slow.readReplySeq(); got != 7 {
		test.Errorf("answer to %d", got)
	}
	<-wrote
	waitFor("the silent are gone", func() bool { return len(t.connections()) <= 2 })
	before := cpuTime()
	const span = 200 * time.Millisecond
	time.Sleep(span)
	if used := cpuTime() - before; used > span/3 {
		test.Errorf("%v of the processor in %v", used, span)
	}
	for _, c := range append(silent, usual, slow) {
		c.Close()
	}
	t.waitUntilReleased(test)
	t.close()
}

// A router that neither reads nor writes on while its connection waits for its answers to be written: whatever ends the connection, the
// reader that waits for the writer wakes.
func TestReaderWaitsForWriter(test *testing.T) {
	for name, end := range map[string]func(t *harness, c *conn, r *routerConn){
		"reset":     func(_ *harness, _ *conn, r *routerConn) { r.Conn.(*net.TCPConn).SetLinger(0); r.Close() },
		"cut short": func(_ *harness, c *conn, _ *routerConn) { c.cutShort() },
		"notice":    func(t *harness, _ *conn, _ *routerConn) { t.beginDrain() },
		"reads": func(_ *harness, _ *conn, r *routerConn) {
			go func() { fmt.Fprint(discardWriter{}, r.countReplies()) }()
		},
	} {
		test.Run(name, func(test *testing.T) {
			t := newBriefDrainHarness()
			r := t.dial()
			waitFor("taken in", func() bool { return len(t.connections()) == 1 })
			c := t.connections()[0]
			flood := make(chan bool)
			go func() {
				defer close(flood)
				for err := error(nil); err == nil; {
					_, err = r.Write([]byte("\x00\x00\x00\x12\x80\x01\x00\x01\x00\x00\x00\x05check\x00\x00\x00\x01\x00"))
				}
			}()
			waitFor("waits", func() bool {
				c.mu.Lock()
				defer c.mu.Unlock()
				return len(c.replies) >= mostOpen && c.writing
			})
			end(t, c, r)
			if name == "reads" {
				waitFor("answers are taken", func() bool { return c.idleNow() || !c.isRegistered() })
				r.Close()
			}
			waitFor("gone", func() bool { return !c.isRegistered() })
			r.Close()
			<-flood
			t.waitUntilReleased(test)
			t.close()
		})
	}
}

type discardWriter struct{}

func (discardWriter) Write(b []byte) (int, error) { return len(b), nil }

// countReplies counts the messages until the connection ends.
func (r *routerConn) countReplies() (n int) {
	for r.readReplySeq() != 0 {
		n++
	}
	return n
}
