package server

import (
	"fmt"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"valveglade/config"
)

// newBriefDrainHarness starts an app server that exits soon after its shutdown notice.
func newBriefDrainHarness() *harness {
	h := newPreparedHarness(func(c *config.Config) { c.StopTimeout = 0.2 }, zap.NewNop(), func(*Server) {})
	h.bootKernel()
	return h
}

// waitUntilReleased waits until no connection is left and no memory is accounted to one.
func (h *harness) waitUntilReleased(t *testing.T) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		connections, requestBytes, replyBytes := len(h.connections()), h.requestBytes.Load(), h.monitor.replyBytes.Load()
		if connections == 0 && requestBytes == 0 && replyBytes == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("not released: %d connections, %d bytes of RPCs, %d bytes of replies",
				connections, requestBytes, replyBytes)
		}
	}
}

// encodeExecute returns what a router writes for one RPC.
func encodeExecute(seq int) []byte {
	w := &recordingConn{}
	(&routerConn{Conn: w}).execute(seq)
	return w.written
}

// A message that arrives in two pieces, split at any byte, is run and answered once.
func TestMessageSplitAtEveryByte(t *testing.T) {
	h := newBriefDrainHarness()
	r := h.dial()
	waitFor("admitted", func() bool { return len(h.connections()) == 1 })
	c := h.connections()[0]
	for cut := 1; cut < len(encodeExecute(cut)); cut++ {
		seq := cut
		message := encodeExecute(seq)
		r.Write(message[:cut])
		waitFor("partial message read", func() bool { q, _ := c.idleSnapshot(); return q.midMessage })
		r.Write(message[cut:])
		receive(h.kernelCommands)
		h.endRun(seq, "fine", "ok")
		if got := r.readReplySeq(); got != seq {
			t.Fatalf("split at byte %d: got reply to RPC %d, want %d", cut, got, seq)
		}
	}
	r.Close()
	h.waitUntilReleased(t)
	h.close()
}

// Routers close or reset their connections after every few bytes of an RPC and right behind it. Another router's RPC
// is still answered, and no state of the disconnected routers remains.
func TestDisconnectWithinMessage(t *testing.T) {
	h := newBriefDrainHarness()
	other := h.dial()
	other.execute(1)
	receive(h.kernelCommands)
	const step = 13
	messageSize := len(encodeExecute(2))
	for cut := 0; cut <= messageSize+step; cut += step {
		for _, reset := range []bool{false, true} {
			dropped := h.dial()
			dropped.Write(encodeExecute(2)[:min(cut, messageSize)])
			if reset {
				dropped.Conn.(*net.TCPConn).SetLinger(0)
			}
			dropped.Close()
		}
	}
	waitFor("only the other router connected", func() bool { return len(h.connections()) == 1 })
	h.endRun(1, "fine", "one")
	if got := other.readReplySeq(); got != 1 {
		t.Errorf("got a reply to RPC %d", got)
	}
	for len(h.kernelCommands) > 0 {
		receive(h.kernelCommands)
	}
	other.Close()
	h.waitUntilReleased(t)
	h.close()
}

// Interrupts for sequence numbers that were never used or are already answered have no effect.
func Example_interruptUnknownRPC() {
	h := newBriefDrainHarness()
	r := h.dial()
	for _, target := range []int{1, 0, -1, 1 << 30} {
		r.interrupt(target)
	}
	r.execute(1)
	h.printKernelCommand()
	r.interrupt(2)
	h.endRun(1, "fine", "one")
	r.printReplies(1)
	r.interrupt(1)
	r.execute(2)
	h.printKernelCommand()
	h.endRun(2, "fine", "two")
	r.printReplies(1)
	r.Close()
	h.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 1 ok "one" healthy 1
	// kernel: SCHED 2 look body 2
	// router: 2 ok "two" healthy 1
	// served: <nil>
}

// With hundreds of silent connections, RPCs on old and new connections are answered, even from a router that writes
// one byte at a time, and the silent connections use no CPU time.
func TestManySilentConnections(t *testing.T) {
	h := newPreparedHarness(func(c *config.Config) { c.StopTimeout, c.Sockets = 0.2, minReserved+64 }, zap.NewNop(),
		func(*Server) {})
	h.bootKernel()
	active := h.dial()
	active.execute(1)
	receive(h.kernelCommands)
	var silent []net.Conn
	for range 300 {
		silent = append(silent, h.dial())
	}
	waitFor("all admitted or rejected", func() bool { return len(h.connections()) == 64 })
	time.Sleep(2 * firstBytesTimeout)
	slow := h.dial()
	written := make(chan bool)
	go func() {
		defer close(written)
		for _, b := range encodeExecute(7) {
			slow.Write([]byte{b})
		}
	}()
	h.endRun(1, "fine", "one")
	if got := active.readReplySeq(); got != 1 {
		t.Errorf("got a reply to RPC %d", got)
	}
	receive(h.kernelCommands)
	h.endRun(7, "fine", "seven")
	if got := slow.readReplySeq(); got != 7 {
		t.Errorf("got a reply to RPC %d", got)
	}
	<-written
	waitFor("silent connections closed", func() bool { return len(h.connections()) <= 2 })
	cpuBefore := cpuTime()
	const interval = 200 * time.Millisecond
	time.Sleep(interval)
	if used := cpuTime() - cpuBefore; used > interval/3 {
		t.Errorf("used %v of CPU time in %v", used, interval)
	}
	for _, c := range append(silent, active, slow) {
		c.Close()
	}
	h.waitUntilReleased(t)
	h.close()
}

// A router keeps sending without reading, so the connection's reader waits for the writer. Whatever ends the
// connection wakes the reader.
func TestReaderBlockedOnWriter(t *testing.T) {
	for name, endConn := range map[string]func(h *harness, c *conn, r *routerConn){
		"reset":           func(_ *harness, _ *conn, r *routerConn) { r.Conn.(*net.TCPConn).SetLinger(0); r.Close() },
		"forced shutdown": func(_ *harness, c *conn, _ *routerConn) { c.shutDownNow() },
		"shutdown notice": func(h *harness, _ *conn, _ *routerConn) { h.beginDrain() },
		"router reads": func(_ *harness, _ *conn, r *routerConn) {
			go func() { fmt.Fprint(discardWriter{}, r.countReplies()) }()
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newBriefDrainHarness()
			r := h.dial()
			waitFor("admitted", func() bool { return len(h.connections()) == 1 })
			c := h.connections()[0]
			floodDone := make(chan bool)
			go func() {
				defer close(floodDone)
				for err := error(nil); err == nil; {
					_, err = r.Write([]byte("\x00\x00\x00\x12\x80\x01\x00\x01\x00\x00\x00\x05check\x00\x00\x00\x01\x00"))
				}
			}()
			waitFor("reader waits for the writer", func() bool {
				c.mu.Lock()
				defer c.mu.Unlock()
				return len(c.replies) >= maxOpenCalls && c.writing
			})
			endConn(h, c, r)
			if name == "router reads" {
				waitFor("replies read", func() bool { return c.idleNow() || !c.isRegistered() })
				r.Close()
			}
			waitFor("connection closed", func() bool { return !c.isRegistered() })
			r.Close()
			<-floodDone
			h.waitUntilReleased(t)
			h.close()
		})
	}
}

type discardWriter struct{}

func (discardWriter) Write(b []byte) (int, error) { return len(b), nil }

// countReplies returns the number of messages read until the connection ends.
func (r *routerConn) countReplies() (n int) {
	for r.readReplySeq() != 0 {
		n++
	}
	return n
}
