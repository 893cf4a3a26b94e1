package server

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"valveglade/config"
)

// The notice comes before the kernel is up, and the kernel comes up during the drain: what came within the grace is run, what comes past
// it is not, as on any other drain.
func Example_noticeBeforeKernel() {
	t := openHeld(func(c *config.Config) { c.StopTimeout, c.Rules.Rules.DrainGrace = 3, 0.2 })
	t.kernel = must(t.cores.Accept()) // it does not say that it is up
	r := t.dial()
	began := time.Now()
	t.notice()
	until("leaving", func() bool { return stage(t.stageAt.Load()) == stageDraining })
	time.Sleep(300*time.Millisecond - time.Since(began))
	go t.work(t.kernel)
	until("kernel up", t.gate.Booted)
	r.execute(1)
	r.hear(1)
	r.Close()
	t.close()
	fmt.Println("kernel:", len(t.runs), "more")
	// Output:
	// router: 1 pushed back
	// served: <nil>
	// kernel: 0 more
}

// Nobody comes for the notice before the kernel is up: what is held is answered before the stop, and the process ends.
func Example_noticeWithoutKernel() {
	t := openHeld(func(c *config.Config) { c.StopTimeout = 1 })
	r := t.dial()
	r.execute(1)
	r.execute(2, "op", "record", "dedupe", "t")
	until("both read", func() bool {
		all := t.connections()
		return len(all) == 1 && len(all[0].opened()) == 2
	})
	t.notice()
	r.hear(3)
	r.ends()
	r.Close()
	t.close()
	// Unordered output:
	// router: 1 pushed back
	// router: 2 aborted
	// router: draining, type 4
	// router: the end, after 0 bytes
	// served: <nil>
}

// The time from the notice to the kill is shorter than what a drain usually takes from its end: its parts shrink with it.
func TestShortStop(t *testing.T) {
	for _, stop := range []float64{0.1, 0.3, 0.8, 3.2, 3600} {
		s := usualSpans.within(stop)
		if !(stop/2 >= s.notAccepting && s.notAccepting > s.closing && s.closing > s.cutShort && s.cutShort > s.exit && s.exit > 0) {
			t.Errorf("stop %g: %+v", stop, s)
		}
	}
	if s := usualSpans.within(3.2); s != usualSpans {
		t.Errorf("not the usual: %+v", s)
	}
}

// With less time from the notice to the kill than a drain usually takes from its end, all that was read is answered, the router is told
// and hears the end, and the process ends.
func Example_shortStop() {
	t := openPrepared(func(c *config.Config) { c.StopTimeout = 0.7 }, zap.NewNop(), func(*Server) {})
	t.linkUp()
	r := t.dial()
	r.execute(1)
	t.asked()
	r.execute(2, "op", "record", "dedupe", "t")
	t.asked()
	t.notice()
	r.hear(3)
	r.ends()
	r.Close()
	t.close()
	// Unordered output:
	// kernel: SCHED 1 look body 1
	// kernel: SCHED 2 record body of t
	// router: 1 pushed back
	// router: 2 aborted
	// router: draining, type 4
	// router: the end, after 0 bytes
	// served: <nil>
}

// Whoever accepts does not come to its end, as newcomers flood in or it waits: the process leaves in time all the same.
func TestLeaveWithoutAcceptor(t *testing.T) {
	listener := must(net.Listen("tcp", "127.0.0.1:0")).(*net.TCPListener)
	s := New(&config.Config{StopTimeout: 0.6, Memory: 64 << 20}, zap.NewNop())
	notice, give := context.WithCancel(context.Background())
	give()
	over := make(chan error, 1)
	go func() { over <- s.leave(notice, context.Background(), listener, make(chan struct{})) }()
	select {
	case err := <-over:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(patience):
		t.Fatal("never leaves")
	}
}

// Newcomers flood in as the listener closes: once it is closed nobody more is taken in.
func TestAcceptQueuedEnds(t *testing.T) {
	listener := must(net.Listen("tcp", "127.0.0.1:0")).(*net.TCPListener)
	for range 3 {
		defer must(net.Dial("tcp", listener.Addr().String())).Close()
	}
	s := New(&config.Config{Sockets: 64, Memory: 64 << 20}, zap.NewNop())
	listener.Close()
	over := make(chan bool)
	go func() {
		s.acceptQueued(context.Background(), listener)
		close(over)
	}()
	select {
	case <-over:
	case <-time.After(patience):
		t.Fatal("goes on")
	}
	if n := len(s.conns); n != 0 {
		t.Errorf("%d connections taken in", n)
	}
}

// Panics where the embedder reads the configuration, as the kernel comes up, and while the process looks after itself: each is
// logged, and the app server goes on.
func Example_panicsInDuties() {
	t := openPrepared(nil, zap.NewNop(), func(s *Server) { close(s.up) }) // closed twice
	t.linkUp()
	hup := make(chan os.Signal, 1)
	var looks atomic.Int32
	live, end := context.WithCancel(context.Background())
	over := make(chan bool)
	next := *t.config
	next.StopTimeout++
	go func() {
		t.Reload(live, hup, func() (*config.Config, *config.Settings, error) {
			if looks.Add(1) == 1 {
				panic("as it reads")
			}
			return &next, nil, nil
		})
		close(over)
	}()
	hup <- syscall.SIGHUP
	until("reloaded", func() bool { return t.Server.config.Load().StopTimeout == next.StopTimeout })
	calm := t.press.effects.Swap(nil) // so that health cannot be told
	signal(t.well)
	signal(t.said)
	until("both looked", func() bool { return len(t.well) == 0 && len(t.said) == 0 })
	t.press.effects.Store(calm)
	r := t.dial()
	r.execute(1)
	t.asked()
	t.reap(1, "fine", "one")
	r.hear(1)
	end()
	<-over
	r.Close()
	t.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 1 ok "one" good 1
	// served: <nil>
}

// A panic over one newcomer costs that one.
func Example_panicAtNewcomer() {
	t := open(nil)
	calm := t.press.effects.Swap(nil) // which is asked about each newcomer
	lost := t.dial()
	lost.ends()
	t.press.effects.Store(calm)
	r := t.dial()
	r.execute(1)
	t.asked()
	t.reap(1, "fine", "one")
	r.hear(1)
	r.Close()
	t.close()
	// Output:
	// router: the end, after 0 bytes
	// kernel: SCHED 1 look body 1
	// router: 1 ok "one" good 1
	// served: <nil>
}
