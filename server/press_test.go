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

// forceEffects puts effects into force by hand, as a level would; methods are let in by the given shares.
func (t *harness) forceEffects(e pressure.Effects, shares ...float64) {
	t.press.on.Store(true)
	for k, x := range shares {
		t.press.admit[k].Store(uint32(x * allOf))
	}
	was := *t.press.effects.Load()
	t.press.effects.Store(&e)
	t.applied(was, e)
}

// What is not let in is pushed back at once, beside the gate; what has begun is not: a repeat of what ran has its answer,
// one of what runs waits for it.
func Example_turnedAway() {
	t := newHarness(nil)
	r := t.dial()
	r.execute(1, "op", "record", "dedupe", "a")
	t.printKernelCommand()
	t.endRun(1, "fine", "one")
	r.printReplies(1)
	r.execute(2, "op", "record", "dedupe", "b")
	t.printKernelCommand()
	t.forceEffects(pressure.Effects{Credit: 0.5, Accept: true, Largest: 1 << 20, Keep: 1, Health: true, After: 0.25}, 0, 0)
	r.execute(3)
	r.execute(4, "op", "record", "dedupe", "c")
	r.execute(5, "op", "record", "dedupe", "a")
	r.printReplies(3)
	r.execute(6, "op", "record", "dedupe", "b")
	t.endRun(2, "fine", "two")
	r.printReplies(2)
	fmt.Println("refused:", t.press.refused.Load())
	t.forceEffects(calm, 1, 1)
	r.execute(7)
	t.printKernelCommand()
	t.endRun(7, "fine", "seven")
	r.printReplies(1)
	t.close()
	// Output:
	// kernel: SCHED 1 record body of a
	// router: 1 ok "one" good 1
	// kernel: SCHED 2 record body of b
	// router: 3 pushed back
	// router: 4 pushed back
	// router: 5 ok "one" good 1
	// router: 2 ok "two" good 1
	// router: 6 ok "two" good 1
	// refused: 2
	// kernel: SCHED 7 look body 7
	// router: 7 ok "seven" good 1
	// served: <nil>
}

// A large RPC is refused before it is all there; what then comes of it is thrown away, and the connection goes on.
func Example_unread() {
	t := newHarness(nil)
	r := t.dial()
	r.execute(1)
	t.printKernelCommand()
	t.endRun(1, "fine", "one")
	r.printReplies(1)
	t.forceEffects(pressure.Effects{Credit: 1, Accept: true, Largest: 1200, Keep: 1, Health: true}, 1, 1)
	cut, rest := r.splitExecute(2, strings.Repeat("b", 2000))
	fmt.Fprint(r, cut)
	r.printReplies(1) // with its end still to come
	fmt.Fprint(r, rest[:len(rest)/2])
	time.Sleep(5 * time.Millisecond)
	fmt.Fprint(r, rest[len(rest)/2:])
	r.execute(3)
	t.printKernelCommand()
	t.endRun(3, "fine", "three")
	r.printReplies(1)
	cut, _ = r.splitExecute(4, strings.Repeat("b", 2000))
	fmt.Fprint(r, cut)
	r.printReplies(2) // the rest never comes
	t.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 1 ok "one" good 1
	// router: 2 pushed back
	// kernel: SCHED 3 look body 3
	// router: 3 ok "three" good 1
	// router: 4 pushed back
	// router: the connection ends
	// served: <nil>
}

// bufferConn takes what is written.
type bufferConn struct {
	net.Conn
	written strings.Builder
}

func (k *bufferConn) Write(b []byte) (int, error) { return k.written.Write(b) }

// splitExecute gives an RPC with this body but for its last 300 bytes, and those.
func (r *routerConn) splitExecute(seq int, body string) (cut, rest string) {
	taken := &routerConn{Conn: &bufferConn{Conn: r.Conn}, reader: r.reader}
	taken.execute(seq, "body", body)
	all := taken.Conn.(*bufferConn).written.String()
	return all[:len(all)-300], all[len(all)-300:]
}

// Strained, new connections are closed at once and old ones go on; shut, health is bad, and a drain is as ever.
func Example_shut() {
	t := newHarness(nil)
	r, health := t.dial(), t.dial()
	r.execute(1)
	t.printKernelCommand()
	t.endRun(1, "fine", "one")
	r.printReplies(1)
	fmt.Println("roster:", receive(t.rosterReports))
	t.forceEffects(pressure.Effects{Accept: false, Largest: 1 << 20, Keep: 0.1, Health: false}, 0, 0)
	t.dial().printReplies(1)
	health.send(1, "check", 1, "\x00")
	health.printReplies(1)
	fmt.Println("roster:", receive(t.rosterReports), "credit", t.credit())
	r.execute(2)
	r.printReplies(1)
	t.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 1 ok "one" good 1
	// roster: HERE n1 on
	// router: the connection ends
	// router: 1 ok "" good 0
	// roster: HERE n1 off credit 0
	// router: 2 pushed back
	// served: <nil>
}

// Answers that a caller does not read are counted, and no longer once it has gone.
func Example_owed() {
	t := newHarness(nil)
	r := t.dial()
	r.Conn.(*net.TCPConn).SetReadBuffer(4096)
	const n = 60
	for k := 0; k < n && t.press.owed.Load() == 0; k++ {
		r.execute(k + 1)
		receive(t.kernelCommands)
		t.endRun(k+1, "fine", strings.Repeat("r", 4096))
		time.Sleep(time.Millisecond)
	}
	for end := time.Now().Add(testTimeout); t.press.owed.Load() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	most := t.press.owed.Load()
	fmt.Println("owed:", most > 0 && most <= n*4096)
	r.Close()
	for end := time.Now().Add(testTimeout); t.press.owed.Load() != 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	fmt.Println("owed:", t.press.owed.Load())
	t.close()
	// Output:
	// owed: true
	// owed: 0
	// served: <nil>
}

// New settings are taken over by a reload, a faulty file changes nothing; each change of level is one line with its causes.
func Example_settings() {
	core, lines := observer.New(zapcore.InfoLevel)
	t := newHarnessWithLogger(nil, zap.New(core))
	hup := make(chan os.Signal, 1)
	text := make(chan string, 1)
	live, end := context.WithCancel(context.Background())
	over := make(chan bool)
	go func() {
		current := ""
		t.Reload(live, hup, func() (*config.Config, *config.Settings, error) {
			select {
			case current = <-text:
			default:
			}
			b, err := config.ParseSettings("op.conf", []byte(current))
			return t.config, b, err
		})
		close(over)
	}()
	heard := func(what string) {
		for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
			if found := lines.FilterMessage(what).All(); len(found) > 0 {
				f := found[0].ContextMap()
				causes, _ := f["causes"].(string)
				fmt.Println(what+":", strings.Contains(causes, "memory"), f["at"])
				return
			}
		}
		fmt.Println("never heard:", what)
	}
	text <- "pressure on\npressure.memory 1%\npressure.every 10ms\n"
	hup <- os.Interrupt
	heard("settings reloaded")
	heard("pressure")
	text <- "pressure perhaps"
	hup <- os.Interrupt
	heard("settings invalid, the previous stays")
	fmt.Println("on:", t.press.on.Load())
	text <- "pressure off"
	hup <- os.Interrupt
	for end := time.Now().Add(testTimeout); t.press.on.Load() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	fmt.Println("on:", t.press.on.Load(), "lets all in:", t.press.lets(0))
	end()
	<-over
	t.close()
	// Output:
	// settings reloaded: false <nil>
	// pressure: true <nil>
	// settings invalid, the previous stays: false op.conf:1
	// on: true
	// on: false lets all in: true
	// served: <nil>
}
