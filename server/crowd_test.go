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

// openCrowded opens an app server with room for so many connections, which asks nobody to leave beforehand.
func openCrowded(room int) *town {
	t := openPrepared(func(c *config.Config) { c.Sockets = minReserved + room }, zap.NewNop(), func(s *Server) { s.idleCheckInterval = time.Hour })
	t.linkUp()
	return t
}

// serveOne has one RPC answered on a new connection.
func (t *town) serveOne(seq int) *router {
	r := t.dial()
	r.execute(seq)
	t.asked()
	t.reap(seq, "fine", "ok")
	r.hear(1)
	return r
}

// Silent clients that arrive faster than they count as silent take the whole table; a router with work still gets in.
func Example_fastFlood() {
	t := openCrowded(3)
	for range 3 {
		t.dial()
	}
	until("full", func() bool { return len(t.connections()) == 3 })
	time.Sleep(firstBytesTimeout)
	t.serveOne(1)
	t.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 1 ok "ok" good 1
	// served: <nil>
}

// Clients that were served once and then stay in the middle of a message take the whole table; a router with work gets in
// before their messages are overdue.
func Example_stalled() {
	t := openCrowded(2)
	for k := range 2 {
		fmt.Fprint(t.serveOne(k+1), "\x00\x00\x00\x40half")
	}
	until("halves read", func() bool {
		for _, c := range t.connections() {
			if q, _ := c.idleSnapshot(); !q.midMessage {
				return false
			}
		}
		return true
	})
	time.Sleep(firstMessageTimeout + firstBytesTimeout)
	t.serveOne(3)
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
	t := openCrowded(8)
	idle := t.serveOne(1)
	busy := t.dial()
	busy.execute(2)
	t.asked()
	t.handleAcceptError(&net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.ECONNABORTED)})
	t.Server.mu.Lock()
	_, going := t.evictionCandidate()
	fmt.Println("connections:", len(t.conns), "on their way out:", going)
	t.Server.mu.Unlock()
	t.handleAcceptError(&net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)})
	idle.ends()
	t.reap(2, "fine", "two")
	busy.hear(1)
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
	t := openPrepared(func(c *config.Config) { c.Sockets = minReserved + 20 }, zap.NewNop(),
		func(s *Server) { s.idleCheckInterval = 10 * time.Millisecond })
	t.linkUp()
	busy := t.dial()
	busy.execute(1)
	t.asked()
	for range 8 {
		t.dial()
	}
	until("taken in", func() bool { return len(t.connections()) == 9 })
	began := time.Now()
	next := *t.config
	next.Sockets = minReserved + 3
	t.applyConfig(&next)
	until("room", func() bool { return len(t.connections()) <= 3 })
	fmt.Println("before silence is overdue:", time.Since(began) < messageTimeout/2)
	t.reap(1, "fine", "one")
	busy.hear(1)
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
	usual := s.connectionCapacity()
	s.countOwnDescriptors()
	if room := s.connectionCapacity(); usual != 512-minReserved || room > 512-inherited-spareDescriptors {
		t.Errorf("room for %d connections, %d with %d descriptors taken", usual, room, inherited)
	}
	s.systemLimit = 256
	if room := s.connectionCapacity(); room > 256-inherited-spareDescriptors {
		t.Errorf("room for %d connections under the system's limit of 256", room)
	}
}

// slowConn is a connection whose first close takes until the test says so; as with the system's, a second one returns at
// once. Nothing can be written on it.
type slowConn struct {
	net.Conn
	begun   chan bool // holds one once the close has begun
	release chan bool
}

func (c slowConn) Write([]byte) (int, error) { return 0, syscall.EPIPE }

func (c slowConn) Close() error {
	select {
	case c.begun <- true:
		<-c.release
		return c.Conn.Close()
	default:
		return net.ErrClosed
	}
}

// The place of a connection is free only once its descriptor is: also when the writer is about to close it while the
// reader finds its end.
func Example_closeAtOnce() {
	t := openCrowded(2)
	listener := must(net.Listen("tcp", "127.0.0.1:0"))
	defer listener.Close()
	r := must(net.Dial("tcp", listener.Addr().String()))
	slow := slowConn{must(listener.Accept()), make(chan bool, 1), make(chan bool)}
	t.admit(context.Background(), slow)
	c := t.connections()[0]
	c.Check(1) // its answer cannot be written
	until("close begun", func() bool { return len(slow.begun) == 1 })
	r.Close()
	select {
	case <-c.descriptorClosed:
		fmt.Println("free while its descriptor is held")
	case <-time.After(100 * time.Millisecond):
		fmt.Println("held:", len(t.connections()))
	}
	close(slow.release)
	<-c.descriptorClosed
	t.close()
	// Output:
	// held: 1
	// served: <nil>
}

// The kernel link breaks while clients without work hold the whole table: it comes back, what came meanwhile is run, and the
// clients that are evicted for newcomers are those without work.
func Example_linkWhileFull() {
	t := openCrowded(3)
	r := t.serveOne(1)
	t.dial()
	t.dial()
	until("full", func() bool { return len(t.connections()) == 3 })
	t.kernel.Close()
	r.execute(2)
	time.Sleep(firstBytesTimeout)
	other := t.dial()
	other.execute(3)
	until("both read", func() bool {
		opened := 0
		for _, c := range t.connections() {
			opened += len(c.opened())
		}
		return opened == 2
	})
	t.link()
	t.asked()
	t.asked()
	for k, caller := range []*router{r, other} {
		t.reap(k+2, "fine", "late")
		caller.hear(1)
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
