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
	t := newHarness(nil)
	r, _, g := t.dialGated()
	r.execute(1)
	g.allowOneRead()
	t.printKernelCommand() // before the rest is read: what is given up unwritten is not asked for
	r.execute(1, "call", "00000000000000aa")
	r.execute(2)
	r.execute(2)
	g.allowAllReads() // all in one read
	r.printReplies(2)
	r.printEnd()
	t.printKernelCommand()

	// It had its answer already: there is no other under its number.
	r = t.dial()
	r.execute(3)
	t.printKernelCommand()
	t.endRun(3, "fine", "three")
	r.printReplies(1)
	r.execute(3)
	r.printEnd()

	// The number is lower than the last, and was never used.
	r = t.dial()
	r.execute(9)
	t.printKernelCommand()
	t.endRun(9, "fine", "nine")
	r.printReplies(1)
	r.execute(5)
	r.printReplies(1)
	r.printEnd()
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
	t := newHarness(nil)
	r := t.dial()
	go func() {
		for seq := range mostOpen + 10 {
			r.execute(seq+1, "ttl", "400")
		}
	}()
	answers := map[int]int{}
	for range mostOpen + 10 {
		answers[r.readReplySeq()]++
	}
	fmt.Println("answered once:", len(answers) == mostOpen+10 && answers[mostOpen+10] == 1)
	for range 2 {
		receive(t.kernelCommands)
	}
	r.send(1, "check", 99, "\x00")
	r.printReplies(1)
	t.close()
	// Output:
	// answered once: true
	// router: 99 ok "" good 1
	// served: <nil>
}

// readReplySeq gives the number of the RPC that the next message answers, 0 at the end of the connection.
func (r *routerConn) readReplySeq() int {
	head := make([]byte, 4)
	if _, err := io.ReadFull(r.reader, head); err != nil {
		return 0
	}
	b := make([]byte, binary.BigEndian.Uint32(head))
	io.ReadFull(r.reader, b)
	name := binary.BigEndian.Uint32(b[4:])
	return int(binary.BigEndian.Uint32(b[8+name:]))
}

// RPCs that lie in the buffer or unread when the time of a connection is up are refused, not thrown away.
func Example_cutShortOwed() {
	t := newHarness(nil)
	r, c, g := t.dialGated()
	t.serveUntilIdle(r, c, g)
	r.execute(2)
	r.execute(3)
	g.readPermits <- true
	<-g.readsDone // both read, and held there
	r.execute(4)
	c.cutShort()
	g.allowAllReads()
	r.printReplies(3)
	r.printEnd()
	t.close()
	fmt.Println("kernel:", len(t.kernelCommands), "more")
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
	t := newHarness(nil)
	r, c, g := t.dialGated()
	t.serveUntilIdle(r, c, g)
	waitFor("shut", func() bool { c.cutShort(); return c.inPhase(shut)() })
	g.allowAllReads()
	r.printEnd()
	t.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 1 ok "one" good 1
	// router: the end, after 0 bytes
	// served: <nil>
}

// printRepliesAndEnd prints what still comes, and how the connection ends.
func (r *routerConn) printRepliesAndEnd() {
	for _, err := r.reader.Peek(1); err == nil; _, err = r.reader.Peek(1) {
		r.printReplies(1)
	}
	r.printEnd()
}

// waitForUnread waits until something lies unread on a connection.
func waitForUnread(nc *net.TCPConn) {
	must(nc.SyscallConn()).Read(func(fd uintptr) bool {
		n, _, _ := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK)
		return n > 0
	})
}

// A tokened RPC whose first try has run is not told, as its connection ends, that it never ran.
func Example_refusedRepeat() {
	t := newHarness(nil)
	r := t.dial()
	r.execute(1, "op", "record", "dedupe", "t")
	t.printKernelCommand()
	t.endRun(1, "fine", "one")
	r.printReplies(1)
	twice, _, g := t.dialGated()
	twice.execute(2)
	g.allowOneRead()
	t.printKernelCommand()
	twice.execute(2)
	twice.execute(3, "op", "record", "dedupe", "t")
	twice.execute(4, "op", "record", "dedupe", "u")
	g.allowAllReads()
	twice.printReplies(3)
	twice.printEnd()
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
	t := newHarness(nil)
	listener := must(net.Listen("tcp", "127.0.0.1:0"))
	defer listener.Close()
	second := &recordingConn{}
	(&routerConn{Conn: second}).execute(2)
	for _, send := range []func(r *routerConn){
		func(r *routerConn) { r.execute(1) },
		func(r *routerConn) {
			r.Write(append([]byte("\x00\x00\x00\x12\x80\x01\x00\x01\x00\x00\x00\x05check\x00\x00\x00\x01\x00"), second.written...))
		},
		func(r *routerConn) { r.Write(second.written[:20]) },
		func(r *routerConn) { fmt.Fprint(r, "\xff\xff\xff\xff") },
	} {
		r := &routerConn{Conn: must(net.Dial("tcp", listener.Addr().String()))}
		r.SetDeadline(time.Now().Add(testTimeout))
		r.reader = bufio.NewReader(r.Conn)
		nc := must(listener.Accept()).(*net.TCPConn)
		send(r)
		waitForUnread(nc)
		t.turnAway(nc)
		r.printRepliesAndEnd()
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
	t := newHarness(nil)
	r, c, g := t.dialGated()
	t.serveUntilIdle(r, c, g)
	for seq := 2; seq < mostOpen; seq++ {
		r.execute(seq, "op", "record", "dedupe", fmt.Sprint(seq))
	}
	r.execute(2)
	fmt.Println("evicted:", c.evict())
	g.allowAllReads()
	answers := map[int]int{}
	for seq := r.readReplySeq(); seq != 0; seq = r.readReplySeq() {
		answers[seq]++
	}
	fmt.Println("answered:", len(answers) == mostOpen-2)
	t.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 1 ok "one" good 1
	// evicted: true
	// answered: true
	// served: <nil>
}
