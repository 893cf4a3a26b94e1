package server

import (
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"valveglade/config"
	"valveglade/logic/pressure"
)

// forceEffects applies pressure effects as a change of level would; shares are the admitted share of each method.
func (h *harness) forceEffects(forced pressure.Effects, shares ...float64) {
	h.monitor.enabled.Store(true)
	for method, share := range shares {
		h.monitor.admitShare[method].Store(uint32(share * fullShare))
	}
	previous := *h.monitor.effects.Load()
	h.monitor.effects.Store(&forced)
	h.applyEffects(previous, forced)
}

// RPCs that are not admitted are pushed back at once, without reaching the gate. RPCs that have begun are not
// affected: a retry of a finished one gets its result, a retry of a running one waits for it.
func Example_shedUnderPressure() {
	h := newHarness(nil)
	r := h.dial()
	r.execute(1, "op", "record", "dedupe", "a")
	h.printKernelCommand()
	h.endRun(1, "fine", "one")
	r.printReplies(1)
	r.execute(2, "op", "record", "dedupe", "b")
	h.printKernelCommand()
	h.forceEffects(pressure.Effects{CreditFactor: 0.5, Accept: true, MaxFrameBytes: 1 << 20, ResultFactor: 1,
		Healthy: true, RetryAfter: 0.25}, 0, 0)
	r.execute(3)
	r.execute(4, "op", "record", "dedupe", "c")
	r.execute(5, "op", "record", "dedupe", "a")
	r.printReplies(3)
	r.execute(6, "op", "record", "dedupe", "b")
	h.endRun(2, "fine", "two")
	r.printReplies(2)
	fmt.Println("rejected:", h.monitor.rejected.Load())
	h.forceEffects(defaultEffects, 1, 1)
	r.execute(7)
	h.printKernelCommand()
	h.endRun(7, "fine", "seven")
	r.printReplies(1)
	h.close()
	// Output:
	// kernel: SCHED 1 record body of a
	// router: 1 ok "one" healthy 1
	// kernel: SCHED 2 record body of b
	// router: 3 pushed back
	// router: 4 pushed back
	// router: 5 ok "one" healthy 1
	// router: 2 ok "two" healthy 1
	// router: 6 ok "two" healthy 1
	// rejected: 2
	// kernel: SCHED 7 look body 7
	// router: 7 ok "seven" healthy 1
	// served: <nil>
}

// A large RPC is rejected before it has arrived whole; the rest of it is discarded, and the connection goes on.
func Example_rejectLargeRPC() {
	h := newHarness(nil)
	r := h.dial()
	r.execute(1)
	h.printKernelCommand()
	h.endRun(1, "fine", "one")
	r.printReplies(1)
	h.forceEffects(pressure.Effects{CreditFactor: 1, Accept: true, MaxFrameBytes: 1200, ResultFactor: 1,
		Healthy: true}, 1, 1)
	head, tail := r.splitExecute(2, strings.Repeat("b", 2000))
	fmt.Fprint(r, head)
	r.printReplies(1) // before its end has been sent
	fmt.Fprint(r, tail[:len(tail)/2])
	time.Sleep(5 * time.Millisecond)
	fmt.Fprint(r, tail[len(tail)/2:])
	r.execute(3)
	h.printKernelCommand()
	h.endRun(3, "fine", "three")
	r.printReplies(1)
	head, _ = r.splitExecute(4, strings.Repeat("b", 2000))
	fmt.Fprint(r, head)
	r.printReplies(2) // the rest is never sent
	h.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 1 ok "one" healthy 1
	// router: 2 pushed back
	// kernel: SCHED 3 look body 3
	// router: 3 ok "three" healthy 1
	// router: 4 pushed back
	// router: connection closed
	// served: <nil>
}

// bufferConn records what is written to it.
type bufferConn struct {
	net.Conn
	written strings.Builder
}

func (c *bufferConn) Write(b []byte) (int, error) { return c.written.Write(b) }

// splitExecute returns an encoded RPC with this body in two parts, the last 300 bytes apart.
func (r *routerConn) splitExecute(seq int, body string) (head, tail string) {
	recorder := &routerConn{Conn: &bufferConn{Conn: r.Conn}, reader: r.reader}
	recorder.execute(seq, "body", body)
	encoded := recorder.Conn.(*bufferConn).written.String()
	return encoded[:len(encoded)-300], encoded[len(encoded)-300:]
}

// Under pressure, new connections are closed at once and old ones continue; at the strongest level health checks fail
// as well. A drain works as usual.
func Example_strongestPressure() {
	h := newHarness(nil)
	r, health := h.dial(), h.dial()
	r.execute(1)
	h.printKernelCommand()
	h.endRun(1, "fine", "one")
	r.printReplies(1)
	fmt.Println("roster:", receive(h.rosterReports))
	h.forceEffects(pressure.Effects{Accept: false, MaxFrameBytes: 1 << 20, ResultFactor: 0.1, Healthy: false}, 0, 0)
	h.dial().printReplies(1)
	health.send(1, "check", 1, "\x00")
	health.printReplies(1)
	fmt.Println("roster:", receive(h.rosterReports), "credit", h.credit())
	r.execute(2)
	r.printReplies(1)
	h.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 1 ok "one" healthy 1
	// roster: HERE n1 on
	// router: connection closed
	// router: 1 ok "" healthy 0
	// roster: HERE n1 off credit 0
	// router: 2 pushed back
	// served: <nil>
}

// Replies that a router does not read are counted until its connection closes.
func Example_unreadReplies() {
	h := newHarness(nil)
	r := h.dial()
	r.Conn.(*net.TCPConn).SetReadBuffer(4096)
	const n = 60
	for k := 0; k < n && h.monitor.replyBytes.Load() == 0; k++ {
		r.execute(k + 1)
		receive(h.kernelCommands)
		h.endRun(k+1, "fine", strings.Repeat("r", 4096))
		time.Sleep(time.Millisecond)
	}
	for deadline := time.Now().Add(testTimeout); h.monitor.replyBytes.Load() == 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	pending := h.monitor.replyBytes.Load()
	fmt.Println("reply bytes pending:", pending > 0 && pending <= n*4096)
	r.Close()
	for deadline := time.Now().Add(testTimeout); h.monitor.replyBytes.Load() != 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	fmt.Println("reply bytes pending:", h.monitor.replyBytes.Load())
	h.close()
	// Output:
	// reply bytes pending: true
	// reply bytes pending: 0
	// served: <nil>
}

// A reload applies new settings, and an invalid file changes nothing. Each change of the pressure level is logged in
// one line with its causes.
func Example_reloadSettings() {
	core, logged := observer.New(zapcore.InfoLevel)
	h := newHarnessWithLogger(nil, zap.New(core))
	hup := make(chan os.Signal, 1)
	settingsText := make(chan string, 1)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan bool)
	go func() {
		current := ""
		h.Reload(ctx, hup, func() (*config.Config, *config.Settings, error) {
			select {
			case current = <-settingsText:
			default:
			}
			settings, err := config.ParseSettings("op.conf", []byte(current))
			return h.config, settings, err
		})
		close(done)
	}()
	printLogLine := func(message string) {
		for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
			if found := logged.FilterMessage(message).All(); len(found) > 0 {
				fields := found[0].ContextMap()
				causes, _ := fields["causes"].(string)
				fmt.Println(message+":", strings.Contains(causes, "memory"), fields["at"])
				return
			}
		}
		fmt.Println("not logged:", message)
	}
	settingsText <- "pressure on\npressure.memory 1%\npressure.every 10ms\n"
	hup <- os.Interrupt
	printLogLine("settings reloaded")
	printLogLine("pressure")
	settingsText <- "pressure perhaps"
	hup <- os.Interrupt
	printLogLine("settings invalid, the previous stays")
	fmt.Println("on:", h.monitor.enabled.Load())
	settingsText <- "pressure off"
	hup <- os.Interrupt
	for deadline := time.Now().Add(testTimeout); h.monitor.enabled.Load() && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	fmt.Println("on:", h.monitor.enabled.Load(), "admits all:", h.monitor.admits(0))
	cancel()
	<-done
	h.close()
	// Output:
	// settings reloaded: false <nil>
	// pressure: true <nil>
	// settings invalid, the previous stays: false op.conf:1
	// on: true
	// on: false admits all: true
	// served: <nil>
}
