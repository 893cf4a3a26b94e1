package server

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"
)

// An RPC comes under a number that is in use: the one that came first has its one answer, the second message is no RPC, what lies
// behind them is refused, and the connection ends.
func Example_numberTwice() {
	t := open(nil)
	r, _, g := t.gatedRouter()
	r.execute(1)
	g.one()
	t.asked() // before the rest is read: what is given up unwritten is not asked for
	r.execute(1, "call", "00000000000000aa")
	r.execute(2)
	r.execute(2)
	g.free() // all in one read
	r.hear(2)
	r.ends()
	t.asked()

	// It had its answer already: there is no other under its number.
	r = t.dial()
	r.execute(3)
	t.asked()
	t.reap(3, "fine", "three")
	r.hear(1)
	r.execute(3)
	r.ends()

	// The number is lower than the last, and was never used.
	r = t.dial()
	r.execute(9)
	t.asked()
	t.reap(9, "fine", "nine")
	r.hear(1)
	r.execute(5)
	r.hear(1)
	r.ends()
	t.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 1 aborted
	// router: 2 pushed back
	// router: the end, after 0 bytes
	// kernel: PREEMPT 1
	// kernel: SCHED 3 look body 3
	// router: 3 ok "three" good 1
	// router: the end, after 0 bytes
	// kernel: SCHED 9 look body 9
	// router: 9 ok "nine" good 1
	// router: 5 pushed back
	// router: the end, after 0 bytes
	// served: <nil>
}

// More RPCs than one connection may have open: each that is too many is refused, the others are answered, and the connection goes on.
func Example_tooManyOpen() {
	t := open(nil)
	r := t.dial()
	go func() {
		for seq := range maxOpenCalls + 10 {
			r.execute(seq+1, "ttl", "400")
		}
	}()
	answers := map[int]int{}
	for range maxOpenCalls + 10 {
		answers[r.answered()]++
	}
	fmt.Println("answered once:", len(answers) == maxOpenCalls+10 && answers[maxOpenCalls+10] == 1)
	for range 2 {
		next(t.runs)
	}
	r.send(1, "check", 99, "\x00")
	r.hear(1)
	t.close()
	// Output:
	// answered once: true
	// router: 99 ok "" good 1
	// served: <nil>
}

// answered gives the number of the RPC that the next message answers, 0 at the end of the connection.
func (r *router) answered() int {
	head := make([]byte, 4)
	if _, err := io.ReadFull(r.in, head); err != nil {
		return 0
	}
	b := make([]byte, binary.BigEndian.Uint32(head))
	io.ReadFull(r.in, b)
	name := binary.BigEndian.Uint32(b[4:])
	return int(binary.BigEndian.Uint32(b[8+name:]))
}

// RPCs that lie in the buffer or unread when the time of a connection is up are refused, not thrown away.
func Example_cutShortOwed() {
	t := open(nil)
	r, c, g := t.gatedRouter()
	t.rest(r, c, g)
	r.execute(2)
	r.execute(3)
	g.steps <- true
	<-g.got // both read, and held there
	r.execute(4)
	c.shutDownNow()
	g.free()
	r.hear(3)
	r.ends()
	t.close()
	fmt.Println("kernel:", len(t.runs), "more")
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 1 ok "one" good 1
	// router: 2 pushed back
	// router: 3 pushed back
	// router: 4 pushed back
	// router: the end, after 0 bytes
	// served: <nil>
	// kernel: 0 more
}

// The time is up, and the reader does not come to its turn: the connection is ended all the same.
func Example_cutShortStuck() {
	t := open(nil)
	r, c, g := t.gatedRouter()
	t.rest(r, c, g)
	until("shut", func() bool { c.shutDownNow(); return c.is(phaseShut)() })
	g.free()
	r.ends()
	t.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 1 ok "one" good 1
	// router: the end, after 0 bytes
	// served: <nil>
}

// hearEnd prints what still comes, and how the connection ends.
func (r *router) hearEnd() {
	for _, err := r.in.Peek(1); err == nil; _, err = r.in.Peek(1) {
		r.hear(1)
	}
	r.ends()
}

// unreadOn waits until something lies unread on a connection.
func unreadOn(nc *net.TCPConn) {
	must(nc.SyscallConn()).Read(func(fd uintptr) bool {
		n, _, _ := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK)
		return n > 0
	})
}

// A tokened RPC whose first try has run is not told, as its connection ends, that it never ran.
func Example_refusedRepeat() {
	t := open(nil)
	r := t.dial()
	r.execute(1, "op", "record", "dedupe", "t")
	t.asked()
	t.reap(1, "fine", "one")
	r.hear(1)
	twice, _, g := t.gatedRouter()
	twice.execute(2)
	g.one()
	t.asked()
	twice.execute(2)
	twice.execute(3, "op", "record", "dedupe", "t")
	twice.execute(4, "op", "record", "dedupe", "u")
	g.free()
	twice.hear(3)
	twice.ends()
	t.close()
	// Output:
	// kernel: SCHED 1 record body of t
	// router: 1 ok "one" good 1
	// kernel: SCHED 2 look body 2
	// router: 2 aborted
	// router: 3 aborted
	// router: 4 pushed back
	// router: the end, after 0 bytes
	// served: <nil>
}

// Newcomers that are turned away: what has come on them is answered, then they end in good order; what has not come whole is not
// read on.
func Example_newcomerTurnedAway() {
	t := open(nil)
	listener := must(net.Listen("tcp", "127.0.0.1:0"))
	defer listener.Close()
	second := &recorder{}
	(&router{Conn: second}).execute(2)
	for _, send := range []func(r *router){
		func(r *router) { r.execute(1) },
		func(r *router) {
			r.Write(append([]byte("\x00\x00\x00\x12\x80\x01\x00\x01\x00\x00\x00\x05check\x00\x00\x00\x01\x00"), second.sent...))
		},
		func(r *router) { r.Write(second.sent[:20]) },
		func(r *router) { fmt.Fprint(r, "\xff\xff\xff\xff") },
	} {
		r := &router{Conn: must(net.Dial("tcp", listener.Addr().String()))}
		r.SetDeadline(time.Now().Add(patience))
		r.in = bufio.NewReader(r.Conn)
		nc := must(listener.Accept()).(*net.TCPConn)
		send(r)
		unreadOn(nc)
		t.rejectConn(nc)
		r.hearEnd()
	}
	t.close()
	// Output:
	// router: 1 pushed back
	// router: the end, after 0 bytes
	// router: 1 ok "" good 1
	// router: 2 pushed back
	// router: the end, after 0 bytes
	// router: the end, after 0 bytes
	// router: the end, after 0 bytes
	// served: <nil>
}

// The descriptor of a connection is wanted while messages of no usual router lie unread on it: what was read is answered before the
// descriptor is given back.
func Example_evictedAtFault() {
	t := open(nil)
	r, c, g := t.gatedRouter()
	t.rest(r, c, g)
	for seq := 2; seq < maxOpenCalls; seq++ {
		r.execute(seq, "op", "record", "dedupe", fmt.Sprint(seq))
	}
	r.execute(2)
	fmt.Println("evicted:", c.evict())
	g.free()
	answers := map[int]int{}
	for seq := r.answered(); seq != 0; seq = r.answered() {
		answers[seq]++
	}
	fmt.Println("answered:", len(answers) == maxOpenCalls-2)
	t.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 1 ok "one" good 1
	// evicted: true
	// answered: true
	// served: <nil>
}
