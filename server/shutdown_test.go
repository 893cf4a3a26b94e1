package server

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"time"

	"go.uber.org/zap"

	"valveglade/config"
	"valveglade/rpc"
)

// waitFor polls until a condition holds, and prints what it waited for on a timeout.
func waitFor(event string, holds func() bool) {
	for deadline := time.Now().Add(testTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			fmt.Println("timed out waiting for:", event)
			return
		}
	}
}

// gatedConn is a connection on which each read needs one permit to start and another to return.
type gatedConn struct {
	*net.TCPConn
	readPermits, returnPermits chan bool // once closed, reads no longer wait
	readsDone                  chan bool // one value per finished read that waits for returnPermits
}

func (g gatedConn) Read(b []byte) (int, error) {
	<-g.readPermits
	n, err := g.TCPConn.Read(b)
	g.readsDone <- true
	<-g.returnPermits
	return n, err
}

// allowOneRead lets one read through.
func (g gatedConn) allowOneRead() {
	g.readPermits <- true
	<-g.readsDone
	g.returnPermits <- true
}

// allowAllReads lets all reads through from now on.
func (g gatedConn) allowAllReads() {
	close(g.readPermits)
	close(g.returnPermits)
}

// dialGated opens a connection whose reads on the app server's side the test controls.
func (h *harness) dialGated() (*routerConn, *conn, gatedConn) {
	listener := must(net.Listen("tcp", "127.0.0.1:0"))
	defer listener.Close()
	r := &routerConn{Conn: must(net.Dial("tcp", listener.Addr().String()))}
	r.SetDeadline(time.Now().Add(testTimeout))
	r.reader = bufio.NewReader(r.Conn)
	g := gatedConn{must(listener.Accept()).(*net.TCPConn),
		make(chan bool, 100), make(chan bool, 100), make(chan bool, 1000)}
	h.admit(context.Background(), g)
	h.Server.mu.Lock()
	defer h.Server.mu.Unlock()
	for c := range h.conns {
		if c.Conn == net.Conn(g) {
			return r, c, g
		}
	}
	panic("connection not admitted")
}

// printEnd prints how the connection ends and how many unread bytes precede its end.
func (r *routerConn) printEnd() {
	remaining, err := io.ReadAll(r.reader)
	if err != nil {
		fmt.Println("router: connection failed:", err)
	} else {
		fmt.Printf("router: end of stream after %d bytes\n", len(remaining))
	}
}

// inPhase returns a condition that holds while the connection is in phase p.
func (c *conn) inPhase(p phase) func() bool {
	return func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.phase == p
	}
}

func (c *conn) idleNow() bool {
	_, idle := c.idleSnapshot()
	return idle
}

// serveUntilIdle has one RPC answered on a gated connection and waits until it is idle.
func (h *harness) serveUntilIdle(r *routerConn, c *conn, g gatedConn) {
	g.readPermits <- true
	g.returnPermits <- true
	r.execute(1)
	<-g.readsDone
	h.printKernelCommand()
	h.endRun(1, "fine", "one")
	r.printReplies(1)
	waitFor("connection idle", c.idleNow)
}

// An RPC crosses the shutdown of an idle connection, in every order. If it is unread when the shutdown is decided,
// however long ago it arrived, or read but not yet processed, it is run and answered before the write side is shut. If
// it is sent after the shutdown it is read and discarded, and the router can still read all replies.
func Example_shutdownCrossesRPC() {
	h := newHarness(nil)
	r, c, g := h.dialGated()
	h.serveUntilIdle(r, c, g)
	r.execute(2) // stays unread
	c.shutDown()
	g.allowAllReads()
	h.printKernelCommand()
	h.endRun(2, "fine", "two")
	r.printReplies(1)
	r.printEnd()

	r, c, g = h.dialGated()
	h.serveUntilIdle(r, c, g)
	r.execute(3)
	g.readPermits <- true
	<-g.readsDone // read, but not processed yet
	c.shutDown()
	g.allowAllReads()
	h.printKernelCommand()
	h.endRun(3, "fine", "three")
	r.printReplies(1)
	r.printEnd()

	r, c, g = h.dialGated()
	h.serveUntilIdle(r, c, g)
	c.shutDown()
	g.allowAllReads()
	r.printEnd()
	r.execute(4)
	r.execute(5) // a fully closed connection would have answered the first with a reset
	_, err := r.Write([]byte("more"))
	fmt.Println("still read:", err == nil)
	r.Close()
	waitFor("connection closed", func() bool { return len(h.connections()) == 0 })
	h.close()
	fmt.Println("kernel:", len(h.kernelCommands), "more")
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 1 ok "one" healthy 1
	// kernel: SCHED 2 look body 2
	// router: 2 ok "two" healthy 1
	// router: end of stream after 0 bytes
	// kernel: SCHED 1 look body 1
	// router: 1 ok "one" healthy 1
	// kernel: SCHED 3 look body 3
	// router: 3 ok "three" healthy 1
	// router: end of stream after 0 bytes
	// kernel: SCHED 1 look body 1
	// router: 1 ok "one" healthy 1
	// router: end of stream after 0 bytes
	// still read: true
	// served: <nil>
	// kernel: 0 more
}

// Evicting an idle connection closes its descriptor at once if nothing is unread, and discards an RPC that crosses the
// close. An RPC that is already unread is answered first.
func Example_evictionCrossesRPC() {
	h := newHarness(nil)
	r, c, g := h.dialGated()
	h.serveUntilIdle(r, c, g)
	r.execute(2) // stays unread
	fmt.Println("evicted:", c.evict(), c.evict())
	g.allowAllReads()
	h.printKernelCommand()
	h.endRun(2, "fine", "two")
	r.printReplies(1)
	r.printEnd()
	<-c.descriptorClosed

	r, c, g = h.dialGated()
	h.serveUntilIdle(r, c, g)
	g.allowAllReads()
	fmt.Println("evicted:", c.evict())
	<-c.descriptorClosed
	r.printEnd()
	h.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 1 ok "one" healthy 1
	// evicted: true true
	// kernel: SCHED 2 look body 2
	// router: 2 ok "two" healthy 1
	// router: end of stream after 0 bytes
	// kernel: SCHED 1 look body 1
	// router: 1 ok "one" healthy 1
	// evicted: true
	// router: end of stream after 0 bytes
	// served: <nil>
}

// The connection table is full, and the connection to evict has an unread RPC: it stays until that RPC is answered,
// and the new connection is admitted meanwhile.
func Example_evictionWithUnreadRPC() {
	h := newHarness(func(c *config.Config) { c.Sockets = minReserved + 1 })
	first, c, g := h.dialGated()
	h.serveUntilIdle(first, c, g)
	c.mu.Lock()
	c.enterPhase(phaseDraining) // or it would be sent a draining message, which the router would print
	c.mu.Unlock()
	first.execute(2)
	second := h.dial()
	second.execute(3)
	h.printKernelCommand()
	h.endRun(3, "fine", "three")
	second.printReplies(1)
	g.allowAllReads()
	h.printKernelCommand()
	h.endRun(2, "fine", "two")
	first.printReplies(1)
	first.printEnd()
	h.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 1 ok "one" healthy 1
	// kernel: SCHED 3 look body 3
	// router: 3 ok "three" healthy 1
	// kernel: SCHED 2 look body 2
	// router: 2 ok "two" healthy 1
	// router: end of stream after 0 bytes
	// served: <nil>
}

// A rejected connection receives the reply to its first RPC and an orderly end of stream. Closing it without reading
// that RPC would send a reset.
func Example_rejectedConnectionNotReset() {
	listener := must(net.Listen("tcp", "127.0.0.1:0"))
	defer listener.Close()
	r := &routerConn{Conn: must(net.Dial("tcp", listener.Addr().String()))}
	r.SetDeadline(time.Now().Add(testTimeout))
	r.reader = bufio.NewReader(r.Conn)
	netConn := must(listener.Accept()).(*net.TCPConn)
	r.execute(1)
	must(netConn.SyscallConn()).Read(func(fd uintptr) bool {
		n, _, _ := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK)
		return n > 0
	})
	c := &config.Config{Memory: 64 << 20, Methods: []string{"look"}}
	c.Rules.Methods = []rpc.Method{{Kind: rpc.Idempotent}}
	New(c, zap.NewNop()).rejectConn(netConn)
	must(r.Conn.(*net.TCPConn).SyscallConn()).Control(func(fd uintptr) {
		socketError, _ := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
		fmt.Println("reset:", socketError != 0)
	})
	r.printReplies(1)
	r.printEnd()
	// Output:
	// reset: false
	// router: 1 pushed back
	// router: end of stream after 0 bytes
}

// Routers keep idle connections until the app server closes them at the end of its drain. An RPC that is unread as its
// connection is closed is answered, and the router sees an orderly end of stream. The test guards against the process
// exiting with such an RPC unread, or reading it after the goroutines that answer have stopped.
func Example_drainCrossesRPC() {
	h := newPreparedHarness(func(c *config.Config) { c.StopTimeout, c.Rules.Rules.DrainGrace = 40, 0.05 }, zap.NewNop(),
		func(s *Server) {
			s.drainSchedule = func(float64) drainSchedule {
				return drainSchedule{notAccepting: 39.5, closing: 39.4, rejecting: 0.2, exit: 0.1}
			}
		})
	h.bootKernel()
	r, c, g := h.dialGated()
	h.serveUntilIdle(r, c, g)
	other := h.dial()
	other.execute(2)
	h.printKernelCommand()
	h.endRun(2, "fine", "two")
	other.printReplies(1)
	h.beginDrain()
	r.printReplies(1)
	other.printReplies(1)
	r.execute(3) // stays unread
	other.execute(4)
	other.printReplies(1)
	other.printEnd()
	waitFor("closing", c.inPhase(phaseClosing))
	g.allowAllReads()
	r.printReplies(1)
	r.printEnd()
	r.Close()
	other.Close()
	h.close()
	fmt.Println("kernel:", len(h.kernelCommands), "more")
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 1 ok "one" healthy 1
	// kernel: SCHED 2 look body 2
	// router: 2 ok "two" healthy 1
	// router: draining, type 4
	// router: draining, type 4
	// router: 4 pushed back
	// router: end of stream after 0 bytes
	// router: 3 pushed back
	// router: end of stream after 0 bytes
	// served: <nil>
	// kernel: 0 more
}

// The drain does not wait for a router that keeps sending after its connection was shut down: what arrives then is
// read and discarded, and the stream still ends in order.
func Example_drainDiscardsLateRPC() {
	h := newPreparedHarness(func(c *config.Config) { c.StopTimeout = 40 }, zap.NewNop(), func(s *Server) {
		s.drainSchedule = func(float64) drainSchedule {
			return drainSchedule{notAccepting: 39.9, closing: 39.8, rejecting: 39.7, exit: 0.1}
		}
	})
	h.bootKernel()
	r, c, g := h.dialGated()
	h.serveUntilIdle(r, c, g)
	h.beginDrain()
	r.printReplies(1)
	r.execute(2)
	waitFor("write side shut", c.inPhase(phaseShut))
	g.allowAllReads()
	r.printEnd()
	r.Close()
	h.close()
	fmt.Println("kernel:", len(h.kernelCommands), "more")
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 1 ok "one" healthy 1
	// router: draining, type 4
	// router: end of stream after 0 bytes
	// served: <nil>
	// kernel: 0 more
}

// A partial message is unread when the shutdown is decided. It is answered if the rest arrives within the time limit;
// otherwise the stream ends without an answer.
func Example_shutdownWithPartialMessage() {
	recorded := &recordingConn{}
	for _, timeout := range []time.Duration{testTimeout, 0} {
		h := newPreparedHarness(nil, zap.NewNop(), func(s *Server) { s.partialTimeout = timeout })
		h.bootKernel()
		r, c, g := h.dialGated()
		h.serveUntilIdle(r, c, g)
		recorded.written = nil
		(&routerConn{Conn: recorded}).execute(2)
		r.Write(recorded.written[:20])
		c.shutDown()
		g.allowAllReads()
		if timeout > 0 {
			waitFor("partial message read", func() bool { q, _ := c.idleSnapshot(); return q.midMessage })
			r.Write(recorded.written[20:])
			h.printKernelCommand()
			h.endRun(2, "fine", "two")
			r.printReplies(1)
		}
		r.printEnd()
		h.close()
	}
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 1 ok "one" healthy 1
	// kernel: SCHED 2 look body 2
	// router: 2 ok "two" healthy 1
	// router: end of stream after 0 bytes
	// served: <nil>
	// kernel: SCHED 1 look body 1
	// router: 1 ok "one" healthy 1
	// router: end of stream after 0 bytes
	// served: <nil>
}

// Connections that are still in the accept queue as the listener closes are admitted and their RPCs answered; closing
// the listener over them would reset them. A later connection is refused, which proves to the client that nothing ran.
func Example_drainAcceptQueue() {
	h := newPreparedHarness(func(c *config.Config) { c.StopTimeout = 20 }, zap.NewNop(), func(s *Server) {
		s.drainSchedule = func(float64) drainSchedule {
			return drainSchedule{notAccepting: 19.5, closing: 17.5, rejecting: 0.2, exit: 0.1}
		}
	})
	h.bootKernel()
	h.Server.mu.Lock() // blocks the acceptor while it admits the first connection
	first, queued, last := h.dial(), h.dial(), h.dial()
	for k, r := range []*routerConn{first, queued, last} {
		r.execute(k + 1)
	}
	h.beginDrain()
	waitFor("not accepting", func() bool { return stage(h.currentStage.Load()) >= stageNotAccepting })
	h.Server.mu.Unlock()
	for _, r := range []*routerConn{first, queued, last} {
		r.printReplies(2)
	}
	_, err := net.Dial("tcp", h.address)
	fmt.Println("refused:", err != nil && strings.Contains(err.Error(), "refused"))
	for _, r := range []*routerConn{first, queued, last} {
		r.printEnd()
		r.Close()
	}
	h.close()
	// Unordered output:
	// router: 1 pushed back
	// router: draining, type 4
	// router: 2 pushed back
	// router: draining, type 4
	// router: 3 pushed back
	// router: draining, type 4
	// refused: true
	// router: end of stream after 0 bytes
	// router: end of stream after 0 bytes
	// router: end of stream after 0 bytes
	// served: <nil>
}

// Input that no router sends ends the connection in order: every RPC read on it gets one answer, and earlier replies
// still arrive. The test guards against a close that discards unwritten replies and drops running RPCs without an
// answer.
func Example_protocolErrors() {
	h := newHarness(nil)
	r := h.dial()
	r.execute(1)
	h.printKernelCommand()
	fmt.Fprint(r, "\xff\xff\xff\xff and more that nobody reads")
	r.printReplies(1)
	r.printEnd()
	h.printKernelCommand()

	invalid, c, g := h.dialGated()
	for seq := range 2 * maxUnusableRPCs {
		invalid.execute(seq+1, "op", "sing")
	}
	g.allowAllReads() // in few reads
	invalid.printReplies(2 * maxUnusableRPCs)
	invalid.printEnd()
	waitFor("connection closed", func() bool { return !c.isRegistered() })

	// A router that keeps sending is not read forever.
	flood := h.dial()
	flood.execute(20, "op", "record", "dedupe", "t")
	h.printKernelCommand()
	fmt.Fprint(flood, "\xff\xff\xff\xff")
	flood.printReplies(1)
	waitFor("cut off", func() bool {
		_, err := flood.Write(make([]byte, 1<<16))
		return err != nil
	})
	h.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 1 aborted
	// router: end of stream after 0 bytes
	// kernel: PREEMPT 1
	// router: 1 aborted
	// router: 2 aborted
	// router: 3 aborted
	// router: 4 aborted
	// router: 5 aborted
	// router: 6 aborted
	// router: 7 aborted
	// router: 8 aborted
	// router: 9 aborted
	// router: 10 aborted
	// router: 11 aborted
	// router: 12 aborted
	// router: 13 aborted
	// router: 14 aborted
	// router: 15 aborted
	// router: 16 aborted
	// router: end of stream after 0 bytes
	// kernel: SCHED 4 record body of t
	// router: 20 aborted
	// served: <nil>
}

func (c *conn) isRegistered() bool {
	c.Server.mu.Lock()
	defer c.Server.mu.Unlock()
	_, isRegistered := c.conns[c]
	return isRegistered
}

// An idle connection is not closed while its router is in the middle of its next RPC; the reader's own time limit
// bounds a partial message.
func Example_idleCloseWithPartialMessage() {
	h := newHarness(nil)
	r := h.dial()
	r.execute(1)
	h.printKernelCommand()
	h.endRun(1, "fine", "one")
	r.printReplies(1)
	c := h.connections()[0]
	c.drain()
	r.printReplies(1)
	recorded := &recordingConn{}
	(&routerConn{Conn: recorded}).execute(2)
	r.Write(recorded.written[:20])
	waitFor("partial message read", func() bool { q, _ := c.idleSnapshot(); return q.midMessage })
	c.mu.Lock()
	c.drainSentAt = c.drainSentAt.Add(-2 * drainTimeout)
	c.mu.Unlock()
	h.closeIdle()
	r.Write(recorded.written[20:])
	h.printKernelCommand()
	h.endRun(2, "fine", "two")
	r.printReplies(1)
	waitFor("connection idle", c.idleNow)
	h.closeIdle()
	r.printEnd()
	h.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 1 ok "one" healthy 1
	// router: draining, type 4
	// kernel: SCHED 2 look body 2
	// router: 2 ok "two" healthy 1
	// router: end of stream after 0 bytes
	// served: <nil>
}

// recordingConn records what is written to it.
type recordingConn struct {
	net.Conn
	written []byte
}

func (c *recordingConn) Write(b []byte) (int, error) {
	c.written = append(c.written, b...)
	return len(b), nil
}

// When something else closes its listener, the app server drains as on a shutdown notice, so that RPCs already read
// are answered, and then returns the error. Otherwise it would report itself healthy and admit no connection.
func Example_listenerClosed() {
	h := newHarness(nil)
	r := h.dial()
	r.execute(1)
	h.printKernelCommand()
	h.routerListener.Close()
	waitFor("draining", func() bool { return stage(h.currentStage.Load()) == stageDraining })
	h.endRun(1, "fine", "one")
	r.printReplies(2)
	r.printEnd()
	r.Close()
	err := <-h.serveResult
	fmt.Println("served:", errors.Is(err, net.ErrClosed))
	h.kernelListener.Close()
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 1 ok "one" healthy 1
	// router: draining, type 4
	// router: end of stream after 0 bytes
	// served: true
}

// A panic while an RPC is dispatched to the kernel aborts that RPC, as it is unknown whether it runs, and the app
// server goes on.
func Example_panicInDispatch() {
	h := newHarness(nil)
	r := h.dial()
	validConfig := h.Server.config.Load()
	invalidConfig := *validConfig
	invalidConfig.Methods = nil
	h.Server.config.Store(&invalidConfig)
	r.execute(1)
	r.printReplies(1)
	h.Server.config.Store(validConfig)
	r.execute(2)
	h.printKernelCommand()
	h.endRun(2, "fine", "two")
	r.printReplies(1)
	h.close()
	// Output:
	// router: 1 aborted
	// kernel: SCHED 2 look body 2
	// router: 2 ok "two" healthy 1
	// served: <nil>
}

// The kernel link breaks and cannot be restored: RPCs are still answered by their deadlines, and no RPC that may have
// run is pushed back.
func Example_kernelUnreachable() {
	h := newHarness(nil)
	r := h.dial()
	h.kernelListener.Close()
	h.kernelConn.Close()
	r.execute(1, "ttl", "300")
	r.printReplies(1)
	r.execute(2, "op", "record", "dedupe", "t", "ttl", "300")
	r.printReplies(1)
	r.execute(3, "op", "record", "dedupe", "t", "ttl", "300")
	r.printReplies(1)
	h.close()
	// Output:
	// router: 1 pushed back
	// router: 2 aborted
	// router: 3 aborted
	// served: <nil>
}

// A reload that lowers the memory limit evicts kept results at once. A retry of an RPC whose result was evicted is
// aborted, never run again.
func Example_reloadLowerMemory() {
	h := newHarness(nil)
	r := h.dial()
	r.execute(1, "op", "record", "dedupe", "t")
	h.printKernelCommand()
	h.endRun(1, "fine", strings.Repeat("one", 1000))
	header := make([]byte, 4)
	io.ReadFull(r.reader, header)
	frame := make([]byte, binary.BigEndian.Uint32(header))
	io.ReadFull(r.reader, frame)
	fmt.Println("router: long reply:", len(frame) > 3000)
	newConfig := *h.config
	newConfig.Memory = 2000 * resultMemoryShare
	h.applyConfig(&newConfig)
	r.execute(2, "op", "record", "dedupe", "t")
	r.printReplies(1)
	h.close()
	// Output:
	// kernel: SCHED 1 record body of t
	// router: long reply: true
	// router: 2 aborted
	// served: <nil>
}

// Before its kernel is up the app server is unhealthy and does not report to the roster, as it could answer nothing
// and does not know its capacity. RPCs that arrive all the same are held, and the gate then learns that the machine is
// cold.
func Example_beforeKernelUp() {
	h := newUnbootedHarness(func(c *config.Config) {
		c.Rules.Machine.Cores, c.Rules.Rules.StartCapacity, c.Rules.Rules.RampTime = 8, 0.25, 1000
	})
	r := h.dial()
	r.send(1, "check", 1, "\x00")
	r.printReplies(1)
	r.execute(2)
	waitFor("admitted", func() bool { return len(h.connections()[0].openRPCs()) == 1 })
	fmt.Println("credit:", h.credit(), "reports:", len(h.rosterReports))
	h.coldStart = true
	h.acceptKernelLink()
	h.printKernelCommand()
	fmt.Println("roster:", receive(h.rosterReports))
	fmt.Println("credit:", h.credit())
	r.send(1, "check", 3, "\x00")
	r.printReplies(1)
	h.endRun(2, "fine", "two")
	r.printReplies(1)
	h.close()
	// Output:
	// router: 1 ok "" healthy 0
	// credit: 1 reports: 0
	// kernel: SCHED 2 look body 2
	// roster: HERE n1 on
	// credit: 1
	// router: 3 ok "" healthy 1
	// router: 2 ok "two" healthy 1
	// served: <nil>
}

func (c *conn) openRPCs() (seqs []int32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for seq := range c.openCalls {
		seqs = append(seqs, seq)
	}
	return seqs
}

func (h *harness) connections() (snapshot []*conn) {
	h.Server.mu.Lock()
	defer h.Server.mu.Unlock()
	for c := range h.conns {
		snapshot = append(snapshot, c)
	}
	return snapshot
}

// A flood of silent connections, partial messages, resets and malformed frames, many times as many as the descriptors
// allow. RPCs of a well-behaved router are answered before, during and on a new connection after it; no more
// connections are open than descriptors allow, except for a few being evicted; and all descriptors are freed.
func Example_connectionFlood() {
	h := newPreparedHarness(func(c *config.Config) { c.Sockets = minReserved + 8 }, zap.NewNop(),
		func(s *Server) { s.idleCheckInterval = time.Hour })
	h.bootKernel()
	r := h.dial()
	r.execute(1)
	h.printKernelCommand()
	maxConnections := 0
	var flood []net.Conn
	for k := range 160 {
		bad := h.dial()
		flood = append(flood, bad)
		switch k % 4 {
		case 0: // sends nothing
		case 1:
			fmt.Fprint(bad, "\x00\x00\x00\x40half")
		case 2:
			fmt.Fprint(bad, "\x00\x00\x00\x40half")
			bad.Conn.(*net.TCPConn).SetLinger(0)
			bad.Close()
		case 3:
			fmt.Fprint(bad, "\xff\xff\xff\xffspoilt")
		}
		maxConnections = max(maxConnections, len(h.connections()))
	}
	h.endRun(1, "fine", "one")
	r.printReplies(1)
	// Partial messages and silent connections time out, which frees capacity whatever the flood left open.
	waitFor("capacity freed", func() bool { return len(h.connections()) <= 1 })
	other := h.dial()
	other.execute(2)
	h.printKernelCommand()
	h.endRun(2, "fine", "two")
	other.printReplies(1)
	fmt.Println("within bounds:", maxConnections <= 8+maxEvicting)
	for _, c := range flood {
		c.Close()
	}
	h.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 1 ok "one" healthy 1
	// kernel: SCHED 2 look body 2
	// router: 2 ok "two" healthy 1
	// within bounds: true
	// served: <nil>
}
