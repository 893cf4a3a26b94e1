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

// newHarnessWithCapacity opens an app server with room for so many connections, which asks nobody to leave beforehand.
func newHarnessWithCapacity(room int) *harness {
	t := newPreparedHarness(func(c *config.Config) { c.Sockets = reserve + room }, zap.NewNop(), func(s *Server) { s.idle = time.Hour })
	t.bootKernel()
	return t
}

// serveOneRPC has one RPC answered on a new connection.
func (t *harness) serveOneRPC(seq int) *routerConn {
	r := t.dial()
	r.execute(seq)
	t.printKernelCommand()
	t.endRun(seq, "fine", "ok")
	r.printReplies(1)
	return r
}

// Silent clients that arrive faster than they count as silent take the whole table; a router with work still gets in.
func Example_fastFlood() {
	t := newHarnessWithCapacity(3)
	for range 3 {
		t.dial()
	}
	waitFor("full", func() bool { return len(t.connections()) == 3 })
	time.Sleep(firstBytes)
	t.serveOneRPC(1)
	t.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 1 ok "ok" good 1
	// served: <nil>
}

// Clients that were served once and then stay in the middle of a message take the whole table; a router with work gets in
// before their messages are overdue.
func Example_stalled() {
	t := newHarnessWithCapacity(2)
	for k := range 2 {
		fmt.Fprint(t.serveOneRPC(k+1), "\x00\x00\x00\x40half")
	}
	waitFor("halves read", func() bool {
		for _, c := range t.connections() {
			if q, _ := c.rested(); !q.part {
				return false
			}
		}
		return true
	})
	time.Sleep(fresh + firstBytes)
	t.serveOneRPC(3)
	t.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 1 ok "ok" good 1
	// kernel: SCHED 2 look body 2
	// router: 2 ok "ok" good 1
	// kernel: SCHED 3 look body 3
	// router: 3 ok "ok" good 1
	// served: <nil>
}

// Where accepting fails for want of descriptors idle connections make room, although the configuration allows more; who is
// at work stays, and any other failure closes nothing.
func Example_acceptFailed() {
	t := newHarnessWithCapacity(8)
	idle := t.serveOneRPC(1)
	busy := t.dial()
	busy.execute(2)
	t.printKernelCommand()
	t.acceptFailed(&net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.ECONNABORTED)})
	t.Server.mu.Lock()
	_, going := t.leastWanted()
	fmt.Println("connections:", len(t.conns), "on their way out:", going)
	t.Server.mu.Unlock()
	t.acceptFailed(&net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)})
	idle.printEnd()
	t.endRun(2, "fine", "two")
	busy.printReplies(1)
	t.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 1 ok "ok" good 1
	// kernel: SCHED 2 look body 2
	// connections: 2 on their way out: 0
	// router: the end, after 0 bytes
	// router: 2 ok "two" good 1
	// served: <nil>
}

// A reload with fewer descriptors closes idle connections at once, down to what is allowed, and none that is at work.
func Example_fewerSockets() {
	t := newPreparedHarness(func(c *config.Config) { c.Sockets = reserve + 20 }, zap.NewNop(),
		func(s *Server) { s.idle = 10 * time.Millisecond })
	t.bootKernel()
	busy := t.dial()
	busy.execute(1)
	t.printKernelCommand()
	for range 8 {
		t.dial()
	}
	waitFor("taken in", func() bool { return len(t.connections()) == 9 })
	began := time.Now()
	next := *t.config
	next.Sockets = reserve + 3
	t.adopt(&next)
	waitFor("room", func() bool { return len(t.connections()) <= 3 })
	fmt.Println("before silence is overdue:", time.Since(began) < messageTimeout/2)
	t.endRun(1, "fine", "one")
	busy.printReplies(1)
	t.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// before silence is overdue: true
	// router: 1 ok "one" good 1
	// served: <nil>
}

// Descriptors that the process was started with count against its limit, and so against its connections.
func TestOwnDescriptors(t *testing.T) {
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
	usual := s.room()
	s.countOwn()
	if room := s.room(); usual != 512-reserve || room > 512-inherited-spare {
		t.Errorf("room for %d connections, %d with %d descriptors taken", usual, room, inherited)
	}
	s.systemLimit = 256
	if room := s.room(); room > 256-inherited-spare {
		t.Errorf("room for %d connections under the system's limit of 256", room)
	}
}

// slowCloseConn is a connection whose first close takes until the test says so; as with the system's, a second one returns at
// once. Nothing can be written on it.
type slowCloseConn struct {
	net.Conn
	closeStarted chan bool // holds one once the close has begun
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

// The place of a connection is free only once its descriptor is: also when the writer is about to close it while the
// reader finds its end.
func Example_closeAtOnce() {
	t := newHarnessWithCapacity(2)
	listener := must(net.Listen("tcp", "127.0.0.1:0"))
	defer listener.Close()
	r := must(net.Dial("tcp", listener.Addr().String()))
	slow := slowCloseConn{must(listener.Accept()), make(chan bool, 1), make(chan bool)}
	t.admit(context.Background(), slow)
	c := t.connections()[0]
	c.Check(1) // its answer cannot be written
	waitFor("close begun", func() bool { return len(slow.closeStarted) == 1 })
	r.Close()
	select {
	case <-c.gone:
		fmt.Println("free while its descriptor is held")
	case <-time.After(100 * time.Millisecond):
		fmt.Println("held:", len(t.connections()))
	}
	close(slow.release)
	<-c.gone
	t.close()
	// Output:
	// held: 1
	// served: <nil>
}

// The kernel link breaks while clients without work hold the whole table: it comes back, what came meanwhile is run, and the
// clients that are evicted for newcomers are those without work.
func Example_linkWhileFull() {
	t := newHarnessWithCapacity(3)
	r := t.serveOneRPC(1)
	t.dial()
	t.dial()
	waitFor("full", func() bool { return len(t.connections()) == 3 })
	t.kernelConn.Close()
	r.execute(2)
	time.Sleep(firstBytes)
	other := t.dial()
	other.execute(3)
	waitFor("both read", func() bool {
		opened := 0
		for _, c := range t.connections() {
			opened += len(c.openRPCs())
		}
		return opened == 2
	})
	t.acceptKernelLink()
	t.printKernelCommand()
	t.printKernelCommand()
	for k, caller := range []*routerConn{r, other} {
		t.endRun(k+2, "fine", "late")
		caller.printReplies(1)
	}
	t.close()
	// Unordered output:
	// kernel: SCHED 1 look body 1
	// router: 1 ok "ok" good 1
	// kernel: SCHED 2 look body 2
	// kernel: SCHED 3 look body 3
	// router: 2 ok "late" good 1
	// router: 3 ok "late" good 1
	// served: <nil>
}
