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

// under puts effects into force by hand, as a level would; methods are let in by the given shares.
func (t *town) under(e pressure.Effects, shares ...float64) {
	t.monitor.enabled.Store(true)
	for k, x := range shares {
		t.monitor.admitShare[k].Store(uint32(x * fullShare))
	}
	was := *t.monitor.effects.Load()
	t.monitor.effects.Store(&e)
	t.applyEffects(was, e)
}

// What is not let in is pushed back at once, beside the gate; what has begun is not: a repeat of what ran has its answer,
// one of what runs waits for it.
func Example_turnedAway() {
	t := open(nil)
	r := t.dial()
	r.execute(1, "op", "record", "dedupe", "a")
	t.asked()
	t.reap(1, "fine", "one")
	r.hear(1)
	r.execute(2, "op", "record", "dedupe", "b")
	t.asked()
	t.under(pressure.Effects{Credit: 0.5, Accept: true, Largest: 1 << 20, Keep: 1, Health: true, After: 0.25}, 0, 0)
	r.execute(3)
	r.execute(4, "op", "record", "dedupe", "c")
	r.execute(5, "op", "record", "dedupe", "a")
	r.hear(3)
	r.execute(6, "op", "record", "dedupe", "b")
	t.reap(2, "fine", "two")
	r.hear(2)
	fmt.Println("refused:", t.monitor.rejected.Load())
	t.under(calmEffects, 1, 1)
	r.execute(7)
	t.asked()
	t.reap(7, "fine", "seven")
	r.hear(1)
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
	t := open(nil)
	r := t.dial()
	r.execute(1)
	t.asked()
	t.reap(1, "fine", "one")
	r.hear(1)
	t.under(pressure.Effects{Credit: 1, Accept: true, Largest: 1200, Keep: 1, Health: true}, 1, 1)
	cut, rest := r.begin(2, strings.Repeat("b", 2000))
	fmt.Fprint(r, cut)
	r.hear(1) // with its end still to come
	fmt.Fprint(r, rest[:len(rest)/2])
	time.Sleep(5 * time.Millisecond)
	fmt.Fprint(r, rest[len(rest)/2:])
	r.execute(3)
	t.asked()
	t.reap(3, "fine", "three")
	r.hear(1)
	cut, _ = r.begin(4, strings.Repeat("b", 2000))
	fmt.Fprint(r, cut)
	r.hear(2) // the rest never comes
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

// kept takes what is written.
type kept struct {
	net.Conn
	text strings.Builder
}

func (k *kept) Write(b []byte) (int, error) { return k.text.Write(b) }

// begin gives an RPC with this body but for its last 300 bytes, and those.
func (r *router) begin(seq int, body string) (cut, rest string) {
	taken := &router{Conn: &kept{Conn: r.Conn}, in: r.in}
	taken.execute(seq, "body", body)
	all := taken.Conn.(*kept).text.String()
	return all[:len(all)-300], all[len(all)-300:]
}

// Strained, new connections are closed at once and old ones go on; shut, health is bad, and a drain is as ever.
func Example_shut() {
	t := open(nil)
	r, health := t.dial(), t.dial()
	r.execute(1)
	t.asked()
	t.reap(1, "fine", "one")
	r.hear(1)
	fmt.Println("roster:", next(t.reports))
	t.under(pressure.Effects{Accept: false, Largest: 1 << 20, Keep: 0.1, Health: false}, 0, 0)
	t.dial().hear(1)
	health.send(1, "check", 1, "\x00")
	health.hear(1)
	fmt.Println("roster:", next(t.reports), "credit", t.credit())
	r.execute(2)
	r.hear(1)
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
	t := open(nil)
	r := t.dial()
	r.Conn.(*net.TCPConn).SetReadBuffer(4096)
	const n = 60
	for k := 0; k < n && t.monitor.replyBytes.Load() == 0; k++ {
		r.execute(k + 1)
		next(t.runs)
		t.reap(k+1, "fine", strings.Repeat("r", 4096))
		time.Sleep(time.Millisecond)
	}
	for end := time.Now().Add(patience); t.monitor.replyBytes.Load() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	most := t.monitor.replyBytes.Load()
	fmt.Println("owed:", most > 0 && most <= n*4096)
	r.Close()
	for end := time.Now().Add(patience); t.monitor.replyBytes.Load() != 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	fmt.Println("owed:", t.monitor.replyBytes.Load())
	t.close()
	// Output:
	// owed: true
	// owed: 0
	// served: <nil>
}

// New settings are taken over by a reload, a faulty file changes nothing; each change of level is one line with its causes.
func Example_settings() {
	core, lines := observer.New(zapcore.InfoLevel)
	t := openLogged(nil, zap.New(core))
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
		for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(time.Millisecond) {
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
	fmt.Println("on:", t.monitor.enabled.Load())
	text <- "pressure off"
	hup <- os.Interrupt
	for end := time.Now().Add(patience); t.monitor.enabled.Load() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	fmt.Println("on:", t.monitor.enabled.Load(), "lets all in:", t.monitor.admits(0))
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
