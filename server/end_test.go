package server

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"valveglade/charter"
)

// until waits for a condition.
func until(what string, holds func() bool) {
	for end := time.Now().Add(patience); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			fmt.Println("never:", what)
			return
		}
	}
}

// gated is a connection whose app server reads only what the test lets through: a step for each read.
type gated struct {
	*net.TCPConn
	steps chan bool // closed: no more waiting
}

func (g gated) Read(b []byte) (int, error) {
	<-g.steps
	return g.TCPConn.Read(b)
}

// gatedRouter is a connection to the app server whose reads the test holds.
func (t *town) gatedRouter() (*router, *conn, gated) {
	listener := must(net.Listen("tcp", "127.0.0.1:0"))
	defer listener.Close()
	r := &router{Conn: must(net.Dial("tcp", listener.Addr().String()))}
	r.SetDeadline(time.Now().Add(patience))
	r.in = bufio.NewReader(r.Conn)
	g := gated{must(listener.Accept()).(*net.TCPConn), make(chan bool, 100)}
	t.admit(context.Background(), g)
	t.Server.mu.Lock()
	defer t.Server.mu.Unlock()
	for c := range t.conns {
		if c.Conn == net.Conn(g) {
			return r, c, g
		}
	}
	panic("not taken in")
}

// ends prints how the connection ends, after what is still to be heard on it.
func (r *router) ends() {
	rest, err := io.ReadAll(r.in)
	if err != nil {
		fmt.Println("router: cut off:", err)
	} else {
		fmt.Printf("router: the end, after %d bytes\n", len(rest))
	}
}

func (c *conn) is(p phase) func() bool {
	return func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.phase == p
	}
}

func (c *conn) resting() bool {
	_, idle := c.rested()
	return idle
}

// rest has one RPC answered on a gated connection, which then rests.
func (t *town) rest(r *router, c *conn, g gated) {
	g.steps <- true
	r.execute(1)
	t.asked()
	t.reap(1, "fine", "one")
	r.hear(1)
	until("rests", c.resting)
}

// An RPC that crosses the end of a resting connection, in every order. Unread as our side is shut: it is not taken in, and
// the router hears the end, not a reset that would take along what was written before. Read before: it is answered, and the
// connection stays. Sent after the shutdown: read and thrown away, while the router may still hear all of ours.
func Example_endCrossed() {
	t := open(nil)
	r, c, g := t.gatedRouter()
	t.rest(r, c, g)
	r.execute(2) // lies unread
	fmt.Println("ends:", c.endAtRest())
	close(g.steps)
	r.ends()

	r, c, g = t.gatedRouter()
	g.steps <- true
	r.execute(3)
	t.asked()
	fmt.Println("ends:", c.endAtRest())
	t.reap(3, "fine", "three")
	r.hear(1)
	close(g.steps)
	until("rests", c.resting)
	fmt.Println("ends:", c.endAtRest())
	r.ends()
	r.execute(4)
	r.execute(5) // a closed one would have answered the first with a reset
	_, err := r.Write([]byte("more"))
	fmt.Println("still read:", err == nil)
	r.Close()
	until("gone", func() bool { return len(t.connections()) == 0 })

	r, c, g = t.gatedRouter()
	t.rest(r, c, g)
	r.execute(6)
	fmt.Println("ends now:", c.endNow()) // for its descriptor
	<-c.gone
	_, err = r.Write([]byte("more"))
	fmt.Println("not reset:", err == nil)
	close(g.steps)
	t.close()
	fmt.Println("kernel:", len(t.runs), "more")
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 1 ok "one" good 1
	// ends: true
	// router: the end, after 0 bytes
	// kernel: SCHED 3 look body 3
	// ends: false
	// router: 3 ok "three" good 1
	// ends: true
	// router: the end, after 0 bytes
	// still read: true
	// kernel: SCHED 1 look body 1
	// router: 1 ok "one" good 1
	// ends now: true
	// not reset: true
	// served: <nil>
	// kernel: 0 more
}

func (t *town) connections() (all []*conn) {
	t.Server.mu.Lock()
	defer t.Server.mu.Unlock()
	for c := range t.conns {
		all = append(all, c)
	}
	return all
}

// Routers that rest until the app server ends them, at the exit. What comes before the goodbye is answered; what lies unread
// then is not taken in, and its router hears the end in good order, so that it knows at once. Before, the process ended over
// it, a reset; or the RPC was read when nobody was there any more to answer it.
func Example_exitCrossed() {
	t := open(nil)
	r, c, g := t.gatedRouter()
	t.rest(r, c, g)
	other := t.dial()
	other.execute(2)
	t.asked()
	t.reap(2, "fine", "two")
	other.hear(1)
	t.notice()
	r.hear(1)
	other.hear(1)
	r.execute(3) // lies unread
	other.execute(4)
	other.hear(1)
	other.ends()
	until("shut", c.is(shut))
	close(g.steps)
	r.ends()
	r.Close()
	other.Close()
	t.close()
	fmt.Println("kernel:", len(t.runs), "more")
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 1 ok "one" good 1
	// kernel: SCHED 2 look body 2
	// router: 2 ok "two" good 1
	// router: draining, type 4
	// router: draining, type 4
	// router: 4 pushed back
	// router: the end, after 0 bytes
	// router: the end, after 0 bytes
	// served: <nil>
	// kernel: 0 more
}

// Connections that the machine has accepted and the program has not, as the listener closes: they are taken in and what is
// on them is answered. One that comes after the close is refused, which proves that nothing ran. Before, the close reset
// those in the queue.
func Example_lastCall() {
	t := open(nil)
	t.Server.mu.Lock() // who accepts now waits with the first in hand
	first, queued, last := t.dial(), t.dial(), t.dial()
	for k, r := range []*router{first, queued, last} {
		r.execute(k + 1)
	}
	t.notice()
	until("last call", func() bool { return life(t.life.Load()) >= lastCall })
	t.Server.mu.Unlock()
	for _, r := range []*router{first, queued, last} {
		r.hear(2)
	}
	_, err := net.Dial("tcp", t.at)
	fmt.Println("refused:", err != nil && strings.Contains(err.Error(), "refused"))
	for _, r := range []*router{first, queued, last} {
		r.ends()
		r.Close()
	}
	t.close()
	// Unordered output:
	// router: 1 pushed back
	// router: draining, type 4
	// router: 2 pushed back
	// router: draining, type 4
	// router: 3 pushed back
	// router: draining, type 4
	// refused: true
	// router: the end, after 0 bytes
	// router: the end, after 0 bytes
	// router: the end, after 0 bytes
	// served: <nil>
}

// What no router sends ends the connection in good order: all that was read on it has one answer, and what was answered
// before is heard. Before, the close took along what had not been written, and what ran was dropped without a word.
func Example_fault() {
	t := open(nil)
	r := t.dial()
	r.execute(1)
	t.asked()
	fmt.Fprint(r, "\xff\xff\xff\xff and more that nobody reads")
	r.hear(1)
	r.ends()
	t.asked()

	odd, c, g := t.gatedRouter()
	for seq := range 2 * mostOdd {
		odd.execute(seq+1, "op", "sing")
	}
	close(g.steps) // all in few reads
	odd.hear(mostOdd)
	odd.ends()
	until("gone", func() bool { return !c.there() })

	// Who goes on sending is not read for ever.
	flood := t.dial()
	flood.execute(20, "op", "record", "dedupe", "t")
	t.asked()
	fmt.Fprint(flood, "\xff\xff\xff\xff")
	flood.hear(1)
	until("cut off", func() bool {
		_, err := flood.Write(make([]byte, 1<<16))
		return err != nil
	})
	t.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 1 aborted
	// router: the end, after 0 bytes
	// kernel: PREEMPT 1
	// router: 1 aborted
	// router: 2 aborted
	// router: 3 aborted
	// router: 4 aborted
	// router: 5 aborted
	// router: 6 aborted
	// router: 7 aborted
	// router: 8 aborted
	// router: the end, after 0 bytes
	// kernel: SCHED 4 record body of t
	// router: 20 aborted
	// served: <nil>
}

func (c *conn) there() bool {
	c.Server.mu.Lock()
	defer c.Server.mu.Unlock()
	_, there := c.conns[c]
	return there
}

// A router that rests is not ended in the middle of its next RPC; half of one for too long is ended all the same, by the
// reader.
func Example_half() {
	t := open(nil)
	r := t.dial()
	r.execute(1)
	t.asked()
	t.reap(1, "fine", "one")
	r.hear(1)
	c := t.connections()[0]
	c.drain()
	r.hear(1)
	second := &recorder{}
	(&router{Conn: second}).execute(2)
	r.Write(second.sent[:20])
	until("half", func() bool { q, _ := c.rested(); return q.part })
	c.mu.Lock()
	c.askedAt = c.askedAt.Add(-2 * leaveTime)
	c.mu.Unlock()
	t.tidy()
	r.Write(second.sent[20:])
	t.asked()
	t.reap(2, "fine", "two")
	r.hear(1)
	until("rests", c.resting)
	t.tidy()
	r.ends()
	t.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 1 ok "one" good 1
	// router: draining, type 4
	// kernel: SCHED 2 look body 2
	// router: 2 ok "two" good 1
	// router: the end, after 0 bytes
	// served: <nil>
}

// recorder keeps what is sent.
type recorder struct {
	net.Conn
	sent []byte
}

func (w *recorder) Write(b []byte) (int, error) {
	w.sent = append(w.sent, b...)
	return len(b), nil
}

// A listener that somebody else closes: the app server ends with an error, rather than look well and let nobody in.
func Example_doorLost() {
	t := open(nil)
	t.door.Close()
	err := <-t.served
	fmt.Println("served:", errors.Is(err, net.ErrClosed))
	t.cores.Close()
	// Output:
	// served: true
}

// Before its kernel is up the app server is neither healthy nor reports to the roster, as it could answer nothing and does
// not know how little it can bear. What comes all the same is held, and the module learns then that the machine is cold.
func Example_early() {
	t := openHeld(func(c *charter.Charter) {
		c.Rules.Machine.Cores, c.Rules.Rules.ColdAt, c.Rules.Rules.WarmIn = 8, 0.25, 1000
	})
	r := t.dial()
	r.send(1, "check", 1, "\x00")
	r.hear(1)
	r.execute(2)
	until("taken in", func() bool { return len(t.connections()[0].opened()) == 1 })
	fmt.Println("credit:", t.credit(), "reports:", len(t.reports))
	t.cold = true
	t.link()
	t.asked()
	fmt.Println("roster:", next(t.reports))
	fmt.Println("credit:", t.credit())
	r.send(1, "check", 3, "\x00")
	r.hear(1)
	t.reap(2, "fine", "two")
	r.hear(1)
	t.close()
	// Output:
	// router: 1 ok "" good 0
	// credit: 2 reports: 0
	// kernel: SCHED 2 look body 2
	// roster: HERE n1 on
	// credit: 3
	// router: 3 ok "" good 1
	// router: 2 ok "two" good 1
	// served: <nil>
}

func (c *conn) opened() (seqs []int32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for seq := range c.open {
		seqs = append(seqs, seq)
	}
	return seqs
}
