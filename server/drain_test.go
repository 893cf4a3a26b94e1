package server

import (
	"context"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"valveglade/config"
)

// The shutdown notice precedes the kernel, which comes up during the drain. As in any other drain, RPCs that arrive
// within the grace period are run and later ones are not.
func Example_kernelUpDuringDrain() {
	h := newUnbootedHarness(func(c *config.Config) { c.StopTimeout, c.Rules.Rules.DrainGrace = 3, 0.2 })
	h.kernelConn = must(h.kernelListener.Accept()) // the kernel does not report that it is up
	r := h.dial()
	start := time.Now()
	h.beginDrain()
	waitFor("draining", func() bool { return stage(h.currentStage.Load()) == stageDraining })
	time.Sleep(300*time.Millisecond - time.Since(start))
	go h.serveKernelLink(h.kernelConn)
	waitFor("kernel up", h.gate.Booted)
	r.execute(1)
	r.printReplies(1)
	r.Close()
	h.close()
	fmt.Println("kernel:", len(h.kernelCommands), "more")
	// Output:
	// router: 1 pushed back
	// served: <nil>
	// kernel: 0 more
}

// The kernel comes up neither before the shutdown notice nor after it: held RPCs are answered before the stop deadline,
// and the process exits.
func Example_drainWithoutKernel() {
	h := newUnbootedHarness(func(c *config.Config) { c.StopTimeout = 1 })
	r := h.dial()
	r.execute(1)
	r.execute(2, "op", "record", "dedupe", "t")
	waitFor("both RPCs read", func() bool {
		conns := h.connections()
		return len(conns) == 1 && len(conns[0].openRPCs()) == 2
	})
	h.beginDrain()
	r.printReplies(3)
	r.printEnd()
	r.Close()
	h.close()
	// Unordered output:
	// router: 1 pushed back
	// router: 2 aborted
	// router: draining, type 4
	// router: end of stream after 0 bytes
	// served: <nil>
}

// When less time is left between the shutdown notice and the kill than the final drain stages usually take, all stages
// shrink in proportion.
func TestDrainScheduleShortStop(t *testing.T) {
	for _, stop := range []float64{0.1, 0.3, 0.8, 3.2, 3600} {
		schedule := defaultSchedule.scaledTo(stop)
		if !(stop/2 >= schedule.notAccepting && schedule.notAccepting > schedule.closing &&
			schedule.closing > schedule.rejecting && schedule.rejecting > schedule.exit && schedule.exit > 0) {
			t.Errorf("schedule within %g s is %+v: its stages are out of order or take too long", stop, schedule)
		}
	}
	if schedule := defaultSchedule.scaledTo(3.2); schedule != defaultSchedule {
		t.Errorf("schedule within 3.2 s is %+v, want the default", schedule)
	}
}

// With less time between the shutdown notice and the kill than the final drain stages usually take, all RPCs that were
// read are answered, the router receives the draining message and the end of the stream, and the process exits.
func Example_drainShortStop() {
	h := newPreparedHarness(func(c *config.Config) { c.StopTimeout = 0.7 }, zap.NewNop(), func(*Server) {})
	h.bootKernel()
	r := h.dial()
	r.execute(1)
	h.printKernelCommand()
	r.execute(2, "op", "record", "dedupe", "t")
	h.printKernelCommand()
	h.beginDrain()
	r.printReplies(3)
	r.printEnd()
	r.Close()
	h.close()
	// Unordered output:
	// kernel: SCHED 1 look body 1
	// kernel: SCHED 2 record body of t
	// router: 1 pushed back
	// router: 2 aborted
	// router: draining, type 4
	// router: end of stream after 0 bytes
	// served: <nil>
}

// The drain ends in time even if the accept loop never returns, because new connections keep arriving or it is
// blocked.
func TestDrainWithStuckAcceptor(t *testing.T) {
	listener := must(net.Listen("tcp", "127.0.0.1:0")).(*net.TCPListener)
	s := New(&config.Config{StopTimeout: 0.6, Memory: 64 << 20}, zap.NewNop())
	drainCtx, startDrain := context.WithCancel(context.Background())
	startDrain()
	done := make(chan error, 1)
	go func() { done <- s.runDrain(drainCtx, context.Background(), listener, make(chan struct{})) }()
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(testTimeout):
		t.Fatal("the drain did not end")
	}
}

// No queued connection is admitted once the listener is closed, even if new ones keep arriving as it closes.
func TestAcceptQueuedStopsAfterClose(t *testing.T) {
	listener := must(net.Listen("tcp", "127.0.0.1:0")).(*net.TCPListener)
	for range 3 {
		defer must(net.Dial("tcp", listener.Addr().String())).Close()
	}
	s := New(&config.Config{Sockets: 64, Memory: 64 << 20}, zap.NewNop())
	listener.Close()
	done := make(chan bool)
	go func() {
		s.acceptQueued(context.Background(), listener)
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(testTimeout):
		t.Fatal("acceptQueued did not return")
	}
	if n := len(s.conns); n != 0 {
		t.Errorf("%d connections admitted", n)
	}
}

// Panics while the embedder reads the configuration, as the kernel comes up, and while the process monitors itself:
// each is logged, and the app server goes on.
func Example_panicsInBackgroundTasks() {
	core, logs := observer.New(zap.ErrorLevel)
	panickedIn := func(function string) bool {
		return slices.ContainsFunc(logs.FilterMessage("panic").All(), func(e observer.LoggedEntry) bool {
			return strings.Contains(fmt.Sprint(e.ContextMap()["stack"]), function)
		})
	}
	// The server closes the channel a second time as the kernel comes up, which panics.
	h := newPreparedHarness(nil, zap.New(core), func(s *Server) { close(s.kernelUp) })
	h.bootKernel()
	hup := make(chan os.Signal, 1)
	var reads atomic.Int32
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan bool)
	newConfig := *h.config
	newConfig.StopTimeout++
	go func() {
		h.Reload(ctx, hup, func() (*config.Config, *config.Settings, error) {
			if reads.Add(1) == 1 {
				panic("panic while reading the configuration")
			}
			return &newConfig, nil, nil
		})
		close(done)
	}()
	hup <- syscall.SIGHUP
	waitFor("reloaded", func() bool { return h.Server.config.Load().StopTimeout == newConfig.StopTimeout })
	saved := h.monitor.effects.Swap(nil) // reading the health then panics
	notify(h.healthChanged)
	notify(h.reportNow)
	// The report may panic already for the notification of the reload, and again at each restart before it receives this one.
	waitFor("both tasks panicked", func() bool { return panickedIn("watchHealth") && panickedIn("roster.Report") })
	h.monitor.effects.Store(saved)
	r := h.dial()
	r.execute(1)
	h.printKernelCommand()
	h.endRun(1, "fine", "one")
	r.printReplies(1)
	cancel()
	<-done
	r.Close()
	h.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 1 ok "one" healthy 1
	// served: <nil>
}

// A panic while a connection is admitted closes only that connection.
func Example_panicOnAdmit() {
	h := newHarness(nil)
	saved := h.monitor.effects.Swap(nil) // admission reads the effects, and panics without them
	failed := h.dial()
	failed.printEnd()
	h.monitor.effects.Store(saved)
	r := h.dial()
	r.execute(1)
	h.printKernelCommand()
	h.endRun(1, "fine", "one")
	r.printReplies(1)
	r.Close()
	h.close()
	// Output:
	// router: end of stream after 0 bytes
	// kernel: SCHED 1 look body 1
	// router: 1 ok "one" healthy 1
	// served: <nil>
}
