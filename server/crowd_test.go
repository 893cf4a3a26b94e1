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
	t := openPrepared(func(c *config.Config) { c.Sockets = reserve + room }, zap.NewNop(), func(s *Server) { s.idle = time.Hour })
	t.linkUp()
	return t
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
