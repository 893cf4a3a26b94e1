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

// An RPC arrives with a sequence number already in use: the first RPC gets its one answer, the second message is
// ignored, RPCs behind it are rejected, and the connection ends.
func Example_duplicateSequenceNumber() {
	h := newHarness(nil)
	r, _, g := h.dialGated()
	r.execute(1)
	g.allowOneRead()
	// Before the rest is read: the command of an RPC that is abandoned before it is written is never sent.
	h.printKernelCommand()
	r.execute(1, "call", "00000000000000aa")
	r.execute(2)
	r.execute(2)
	g.allowAllReads() // in one read
	r.printReplies(2)
	r.printEnd()
	h.printKernelCommand()

	// The first RPC is already answered: its number gets no second answer.
	r = h.dial()
	r.execute(3)
	h.printKernelCommand()
	h.endRun(3, "fine", "three")
	r.printReplies(1)
	r.execute(3)
	r.printEnd()

	// The number is lower than the last one and was never used.
	r = h.dial()
	r.execute(9)
	h.printKernelCommand()
	h.endRun(9, "fine", "nine")
	r.printReplies(1)
	r.execute(5)
	r.printReplies(1)
	r.printEnd()
	h.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 1 aborted
	// router: 2 pushed back
	// router: end of stream after 0 bytes
	// kernel: PREEMPT 1
	// kernel: SCHED 3 look body 3
	// router: 3 ok "three" healthy 1
	// router: end of stream after 0 bytes
	// kernel: SCHED 9 look body 9
	// router: 9 ok "nine" healthy 1
	// router: 5 pushed back
	// router: end of stream after 0 bytes
	// served: <nil>
}

// RPCs beyond the limit of open RPCs per connection are rejected, the others are answered, and the connection goes on.
func Example_tooManyOpen() {
	h := newHarness(nil)
	r := h.dial()
	go func() {
		for seq := range maxOpenCalls + 10 {
			r.execute(seq+1, "ttl", "400")
		}
	}()
	replies := map[int]int{}
	for range maxOpenCalls + 10 {
		replies[r.readReplySeq()]++
	}
	fmt.Println("each answered once:", len(replies) == maxOpenCalls+10 && replies[maxOpenCalls+10] == 1)
	for range 2 {
		receive(h.kernelCommands)
	}
	r.send(1, "check", 99, "\x00")
	r.printReplies(1)
	h.close()
	// Output:
	// each answered once: true
	// router: 99 ok "" healthy 1
	// served: <nil>
}

// readReplySeq returns the sequence number that the next reply answers, 0 at the end of the connection.
func (r *routerConn) readReplySeq() int {
	header := make([]byte, 4)
	if _, err := io.ReadFull(r.reader, header); err != nil {
		return 0
	}
	message := make([]byte, binary.BigEndian.Uint32(header))
	io.ReadFull(r.reader, message)
	nameSize := binary.BigEndian.Uint32(message[4:])
	return int(binary.BigEndian.Uint32(message[8+nameSize:]))
}

// RPCs that are buffered or unread when a connection's time is up are pushed back, not discarded.
func Example_forcedShutdownRejectsUnread() {
	h := newHarness(nil)
	r, c, g := h.dialGated()
	h.serveUntilIdle(r, c, g)
	r.execute(2)
	r.execute(3)
	g.readPermits <- true
	<-g.readsDone // both read, but not processed yet
	r.execute(4)
	c.shutDownNow()
	g.allowAllReads()
	r.printReplies(3)
	r.printEnd()
	h.close()
	fmt.Println("kernel:", len(h.kernelCommands), "more")
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 1 ok "one" healthy 1
	// router: 2 pushed back
	// router: 3 pushed back
	// router: 4 pushed back
	// router: end of stream after 0 bytes
	// served: <nil>
	// kernel: 0 more
}

// A connection whose time is up is closed even if its reader is stuck.
func Example_forcedShutdownStuckReader() {
	h := newHarness(nil)
	r, c, g := h.dialGated()
	h.serveUntilIdle(r, c, g)
	waitFor("write side shut", func() bool { c.shutDownNow(); return c.inPhase(phaseShut)() })
	g.allowAllReads()
	r.printEnd()
	h.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 1 ok "one" healthy 1
	// router: end of stream after 0 bytes
	// served: <nil>
}

// printRepliesAndEnd prints the remaining replies and how the connection ends.
func (r *routerConn) printRepliesAndEnd() {
	for _, err := r.reader.Peek(1); err == nil; _, err = r.reader.Peek(1) {
		r.printReplies(1)
	}
	r.printEnd()
}

// waitForUnread waits until a connection has unread data.
func waitForUnread(netConn *net.TCPConn) {
	must(netConn.SyscallConn()).Read(func(fd uintptr) bool {
		n, _, _ := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK)
		return n > 0
	})
}

// A retry of a tokened RPC that has already run is not pushed back as never run when its connection ends.
func Example_retryOnEndingConnection() {
	h := newHarness(nil)
	r := h.dial()
	r.execute(1, "op", "record", "dedupe", "t")
	h.printKernelCommand()
	h.endRun(1, "fine", "one")
	r.printReplies(1)
	duplicate, _, g := h.dialGated()
	duplicate.execute(2)
	g.allowOneRead()
	h.printKernelCommand()
	duplicate.execute(2)
	duplicate.execute(3, "op", "record", "dedupe", "t")
	duplicate.execute(4, "op", "record", "dedupe", "u")
	g.allowAllReads()
	duplicate.printReplies(3)
	duplicate.printEnd()
	h.close()
	// Output:
	// kernel: SCHED 1 record body of t
	// router: 1 ok "one" healthy 1
	// kernel: SCHED 2 look body 2
	// router: 2 aborted
	// router: 3 aborted
	// router: 4 pushed back
	// router: end of stream after 0 bytes
	// served: <nil>
}

// Complete messages on a rejected connection are answered and the stream ends in order; the rest of a partial message
// is not awaited.
func Example_rejectedConnectionReplies() {
	h := newHarness(nil)
	listener := must(net.Listen("tcp", "127.0.0.1:0"))
	defer listener.Close()
	recorded := &recordingConn{}
	(&routerConn{Conn: recorded}).execute(2)
	for _, send := range []func(r *routerConn){
		func(r *routerConn) { r.execute(1) },
		func(r *routerConn) {
			r.Write(append([]byte("\x00\x00\x00\x12\x80\x01\x00\x01\x00\x00\x00\x05check\x00\x00\x00\x01\x00"),
				recorded.written...))
		},
		func(r *routerConn) { r.Write(recorded.written[:20]) },
		func(r *routerConn) { fmt.Fprint(r, "\xff\xff\xff\xff") },
	} {
		r := &routerConn{Conn: must(net.Dial("tcp", listener.Addr().String()))}
		r.SetDeadline(time.Now().Add(testTimeout))
		r.reader = bufio.NewReader(r.Conn)
		netConn := must(listener.Accept()).(*net.TCPConn)
		send(r)
		waitForUnread(netConn)
		h.rejectConn(netConn)
		r.printRepliesAndEnd()
	}
	h.close()
	// Output:
	// router: 1 pushed back
	// router: end of stream after 0 bytes
	// router: 1 ok "" healthy 1
	// router: 2 pushed back
	// router: end of stream after 0 bytes
	// router: end of stream after 0 bytes
	// router: end of stream after 0 bytes
	// served: <nil>
}

// A connection to be evicted has unread messages that break the protocol: the RPCs read from it are answered before
// the descriptor is closed.
func Example_evictionWithProtocolError() {
	h := newHarness(nil)
	r, c, g := h.dialGated()
	h.serveUntilIdle(r, c, g)
	for seq := 2; seq < maxOpenCalls; seq++ {
		r.execute(seq, "op", "record", "dedupe", fmt.Sprint(seq))
	}
	r.execute(2)
	fmt.Println("evicted:", c.evict())
	g.allowAllReads()
	replies := map[int]int{}
	for seq := r.readReplySeq(); seq != 0; seq = r.readReplySeq() {
		replies[seq]++
	}
	fmt.Println("answered:", len(replies) == maxOpenCalls-2)
	h.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 1 ok "one" healthy 1
	// evicted: true
	// answered: true
	// served: <nil>
}
