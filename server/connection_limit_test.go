package server

import (
	"context"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"valveglade/config"
)

// newHarnessWithCapacity starts an app server with capacity for this many connections, which asks no router to close
// beforehand.
func newHarnessWithCapacity(capacity int) *harness {
	h := newPreparedHarness(func(c *config.Config) { c.Sockets = minReserved + capacity }, zap.NewNop(),
		func(s *Server) { s.idleCheckInterval = time.Hour })
	h.bootKernel()
	return h
}

// serveOneRPC has one RPC answered on a new connection.
func (h *harness) serveOneRPC(seq int) *routerConn {
	r := h.dial()
	r.execute(seq)
	h.printKernelCommand()
	h.endRun(seq, "fine", "ok")
	r.printReplies(1)
	return r
}

// Clients that never send fill the connection table faster than they are classified as silent; a router that has work
// is still admitted.
func Example_silentClientsFillTable() {
	h := newHarnessWithCapacity(3)
	for range 3 {
		h.dial()
	}
	waitFor("connection table full", func() bool { return len(h.connections()) == 3 })
	time.Sleep(firstBytesTimeout)
	h.serveOneRPC(1)
	h.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 1 ok "ok" healthy 1
	// served: <nil>
}

// Clients that were served once and then stop in the middle of a message fill the connection table; a router that has
// work is admitted before their messages time out.
func Example_partialMessagesFillTable() {
	h := newHarnessWithCapacity(2)
	for k := range 2 {
		fmt.Fprint(h.serveOneRPC(k+1), "\x00\x00\x00\x40half")
	}
	waitFor("partial messages read", func() bool {
		for _, c := range h.connections() {
			if q, _ := c.idleSnapshot(); !q.midMessage {
				return false
			}
		}
		return true
	})
	time.Sleep(firstMessageTimeout + firstBytesTimeout)
	h.serveOneRPC(3)
	h.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 1 ok "ok" healthy 1
	// kernel: SCHED 2 look body 2
	// router: 2 ok "ok" healthy 1
	// kernel: SCHED 3 look body 3
	// router: 3 ok "ok" healthy 1
	// served: <nil>
}

// When accept fails for lack of descriptors, idle connections are closed although the configuration allows more. Busy
// connections stay, and any other accept error closes nothing.
func Example_acceptOutOfDescriptors() {
	h := newHarnessWithCapacity(8)
	idle := h.serveOneRPC(1)
	busy := h.dial()
	busy.execute(2)
	h.printKernelCommand()
	h.handleAcceptError(&net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.ECONNABORTED)})
	h.Server.mu.Lock()
	_, evicting := h.evictionCandidate()
	fmt.Println("connections:", len(h.conns), "being evicted:", evicting)
	h.Server.mu.Unlock()
	h.handleAcceptError(&net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)})
	idle.printEnd()
	h.endRun(2, "fine", "two")
	busy.printReplies(1)
	h.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 1 ok "ok" healthy 1
	// kernel: SCHED 2 look body 2
	// connections: 2 being evicted: 0
	// router: end of stream after 0 bytes
	// router: 2 ok "two" healthy 1
	// served: <nil>
}

// A reload that allows fewer descriptors closes idle connections at once, down to the new limit, and no busy one.
func Example_reloadFewerDescriptors() {
	h := newPreparedHarness(func(c *config.Config) { c.Sockets = minReserved + 20 }, zap.NewNop(),
		func(s *Server) { s.idleCheckInterval = 10 * time.Millisecond })
	h.bootKernel()
	busy := h.dial()
	busy.execute(1)
	h.printKernelCommand()
	for range 8 {
		h.dial()
	}
	waitFor("admitted", func() bool { return len(h.connections()) == 9 })
	start := time.Now()
	newConfig := *h.config
	newConfig.Sockets = minReserved + 3
	h.applyConfig(&newConfig)
	waitFor("capacity freed", func() bool { return len(h.connections()) <= 3 })
	fmt.Println("before the message timeout:", time.Since(start) < messageTimeout/2)
	h.endRun(1, "fine", "one")
	busy.printReplies(1)
	h.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// before the message timeout: true
	// router: 1 ok "one" healthy 1
	// served: <nil>
}

// Descriptors that the process inherited count against its limit and so reduce the number of connections.
func TestInheritedDescriptors(t *testing.T) {
	const inherited = 40
	for range inherited {
		file, err := os.Open(os.DevNull)
		if err != nil {
			t.Fatal(err)
		}
		defer file.Close()
	}
	c := &config.Config{Sockets: 512}
	s := New(c, zap.NewNop())
	capacityBefore := s.connectionCapacity()
	s.countOwnDescriptors()
	if capacity := s.connectionCapacity(); capacityBefore != 512-minReserved || capacity > 512-inherited-spareDescriptors {
		t.Errorf("capacity for %d connections, %d with %d inherited descriptors", capacityBefore, capacity, inherited)
	}
	s.systemLimit = 256
	if capacity := s.connectionCapacity(); capacity > 256-inherited-spareDescriptors {
		t.Errorf("capacity for %d connections under a system limit of 256", capacity)
	}
}

// slowCloseConn is a connection whose first Close blocks until the test releases it; as with a system connection, a
// second Close returns at once. All writes fail.
type slowCloseConn struct {
	net.Conn
	closeStarted chan bool // holds one value once Close has started
	release      chan bool
}

func (c slowCloseConn) Write([]byte) (int, error) { return 0, syscall.EPIPE }

func (c slowCloseConn) Close() error {
	select {
	case c.closeStarted <- true:
		<-c.release
		return c.Conn.Close()
	default:
		return net.ErrClosed
	}
}

// A connection's table entry is freed only after its descriptor, even when the writer is already closing it as the
// reader reaches its end.
func Example_concurrentClose() {
	h := newHarnessWithCapacity(2)
	listener := must(net.Listen("tcp", "127.0.0.1:0"))
	defer listener.Close()
	r := must(net.Dial("tcp", listener.Addr().String()))
	netConn := slowCloseConn{must(listener.Accept()), make(chan bool, 1), make(chan bool)}
	h.admit(context.Background(), netConn)
	c := h.connections()[0]
	c.Check(1) // its reply cannot be written
	waitFor("close started", func() bool { return len(netConn.closeStarted) == 1 })
	r.Close()
	select {
	case <-c.descriptorClosed:
		fmt.Println("freed before its descriptor was closed")
	case <-time.After(100 * time.Millisecond):
		fmt.Println("connections while closing:", len(h.connections()))
	}
	close(netConn.release)
	<-c.descriptorClosed
	h.close()
	// Output:
	// connections while closing: 1
	// served: <nil>
}

// The kernel link breaks while idle clients fill the connection table. The link is restored, RPCs that arrived
// meanwhile are run, and only idle clients are evicted for new connections.
func Example_kernelReconnectWhileFull() {
	h := newHarnessWithCapacity(3)
	r := h.serveOneRPC(1)
	h.dial()
	h.dial()
	waitFor("connection table full", func() bool { return len(h.connections()) == 3 })
	h.kernelConn.Close()
	r.execute(2)
	time.Sleep(firstBytesTimeout)
	other := h.dial()
	other.execute(3)
	waitFor("both RPCs read", func() bool {
		openRPCs := 0
		for _, c := range h.connections() {
			openRPCs += len(c.openRPCs())
		}
		return openRPCs == 2
	})
	h.acceptKernelLink()
	h.printKernelCommand()
	h.printKernelCommand()
	for k, caller := range []*routerConn{r, other} {
		h.endRun(k+2, "fine", "late")
		caller.printReplies(1)
	}
	h.close()
	// Unordered output:
	// kernel: SCHED 1 look body 1
	// router: 1 ok "ok" healthy 1
	// kernel: SCHED 2 look body 2
	// kernel: SCHED 3 look body 3
	// router: 2 ok "late" healthy 1
	// router: 3 ok "late" healthy 1
	// served: <nil>
}
