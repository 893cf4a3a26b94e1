package server

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"valveglade/config"
	"valveglade/rpc"
)

// testTimeout bounds the wait for an expected event. It exceeds what any machine takes, as a passing test never waits
// for it.
const testTimeout = 20 * time.Second

// harness is an app server under test, with fakes for its kernel, roster and routers.
type harness struct {
	address         string
	routerListener  net.Listener // accepts router connections
	kernelListener  net.Listener // accepts the app server's kernel link
	kernelConn      net.Conn
	kernelCommands  chan string // commands to the kernel, except requests for gauges
	rosterReports   chan string // reports to the roster that differ from the one before
	beginDrain      context.CancelFunc
	serveResult     chan error
	startGoroutines int // running when the harness was created
	lastNoticePos   int
	config          *config.Config
	coldStart       bool // the kernel reports a cold start
	*Server
}

// newHarness starts an app server whose kernel is up.
func newHarness(configure func(c *config.Config)) *harness {
	return newHarnessWithLogger(configure, zap.NewNop())
}

func newHarnessWithLogger(configure func(c *config.Config), log *zap.Logger) *harness {
	h := newUnbootedHarnessWithLogger(configure, log)
	h.bootKernel()
	return h
}

// bootKernel accepts the first kernel link and waits until the kernel is up.
func (h *harness) bootKernel() {
	h.acceptKernelLink()
	waitFor("kernel up", h.gate.Booted)
}

// newUnbootedHarness starts an app server whose kernel is not up before acceptKernelLink.
func newUnbootedHarness(configure func(c *config.Config)) *harness {
	return newUnbootedHarnessWithLogger(configure, zap.NewNop())
}

func newUnbootedHarnessWithLogger(configure func(c *config.Config), log *zap.Logger) *harness {
	return newPreparedHarness(configure, log, func(*Server) {})
}

// newPreparedHarness starts an app server that prepare changes before it serves, and whose kernel is not up.
func newPreparedHarness(configure func(c *config.Config), log *zap.Logger, prepare func(*Server)) *harness {
	h := &harness{kernelCommands: make(chan string, 100), rosterReports: make(chan string, 100),
		serveResult: make(chan error, 1), startGoroutines: runtime.NumGoroutine()}
	h.kernelListener = must(net.Listen("tcp", "127.0.0.1:0"))
	roster := h.roster()
	listener := must(net.Listen("tcp", "127.0.0.1:0"))
	h.routerListener, h.address = listener, listener.Addr().String()
	c := &config.Config{Name: "n1", Kernel: netip.MustParseAddrPort(h.kernelListener.Addr().String()), StopTimeout: 1.2,
		Roster: netip.MustParseAddrPort(roster.LocalAddr().String()), Memory: 64 << 20, Sockets: 64,
		Methods: []string{"look", "record"}}
	c.Rules.Methods = []rpc.Method{{Kind: rpc.Idempotent, Target: 30, Deadline: 60, Criticality: 1},
		{Kind: rpc.Tokened, Target: 30, Deadline: 60, Window: 90, Criticality: 3}}
	c.Rules.Machine = rpc.Machine{Callers: 1, Cores: 2, EntryKB: 1, MemoryKB: 4000, RunFactor: 4, KeepAlive: 60,
		Preemption: rpc.FreezeOnStop, Signal: rpc.Allowance}
	c.Rules.Rules = rpc.Rules{OverloadFactor: 5, DrainGrace: 1}
	if configure != nil {
		configure(c)
	}
	h.config, h.Server = c, New(c, log)
	prepare(h.Server)
	ctx, beginDrain := context.WithCancel(context.Background())
	h.beginDrain = func() {
		beginDrain()
		h.kernelListener.Close()
	}
	go func() {
		h.serveResult <- h.ServeOn(ctx, listener.(*net.TCPListener))
		roster.Close()
	}()
	return h
}

// roster starts a fake roster that forwards each report that differs from the one before.
func (h *harness) roster() net.PacketConn {
	roster := must(net.ListenPacket("udp", "127.0.0.1:0"))
	go func() {
		buf := make([]byte, 100)
		for last := ""; ; {
			n, _, err := roster.ReadFrom(buf)
			if err != nil {
				return
			}
			if report := string(buf[:n]); report != last {
				last = report
				h.rosterReports <- report
			}
		}
	}()
	return roster
}

// acceptKernelLink accepts the app server's kernel link, which replaces any earlier one.
func (h *harness) acceptKernelLink() {
	h.kernelConn = must(h.kernelListener.Accept())
	go h.serveKernelLink(h.kernelConn)
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// serveKernelLink is the fake kernel: it answers requests for gauges, and leaves runs to the test.
func (h *harness) serveKernelLink(netConn net.Conn) {
	defer netConn.Close()
	for lines := bufio.NewReader(netConn); ; {
		line, err := lines.ReadString('\n')
		if err != nil {
			return
		}
		var command struct {
			Action, UID, Lane, Echo string
			Content                 []byte
		}
		json.Unmarshal([]byte(line), &command)
		switch command.Action {
		case "OPEN":
			code := map[bool]string{false: "running", true: "starting"}[h.coldStart]
			fmt.Fprintf(netConn, `{"action":"BOOTED","code":"%s","wall_ms":10}`+"\n", code)
		case "SYSINFO":
			fmt.Fprintf(netConn, `{"action":"INFO","echo":"%s","meters":[]}`+"\n", command.Echo)
		default:
			h.kernelCommands <- strings.TrimSpace(fmt.Sprintf("%s %c %s %s",
				command.Action, command.UID[15], command.Lane, command.Content))
		}
	}
}

// printKernelCommand prints the next command sent to the kernel.
func (h *harness) printKernelCommand() { fmt.Println("kernel:", receive(h.kernelCommands)) }

// receive returns the next message, or "timeout" if none arrives in time.
func receive(messages chan string) string {
	select {
	case s := <-messages:
		return s
	case <-time.After(testTimeout):
		return "timeout"
	}
}

// endRun reports to the app server that the run of the RPC with this sequence number has ended.
func (h *harness) endRun(seq int, code, result string) {
	h.lastNoticePos++
	content, _ := json.Marshal([]byte(result))
	fmt.Fprintf(h.kernelConn, `{"action":"REAP","pos":%d,"uid":"%016x","code":"%s","wall_ms":9,"content":%s}`+"\n",
		h.lastNoticePos, seq, code, content)
}

// close gives the shutdown notice, waits until the app server returns, and reports leaked goroutines.
func (h *harness) close() {
	h.beginDrain()
	select {
	case err := <-h.serveResult:
		fmt.Println("served:", err)
	case <-time.After(testTimeout):
		fmt.Println("still serving after its shutdown notice")
	}
	for deadline := time.Now().Add(testTimeout); runtime.NumGoroutine() > h.startGoroutines; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			fmt.Println("goroutines leaked:", runtime.NumGoroutine()-h.startGoroutines)
			return
		}
	}
}

// routerConn is one connection of a fake router.
type routerConn struct {
	net.Conn
	reader *bufio.Reader
}

func (h *harness) dial() *routerConn {
	netConn := must(net.Dial("tcp", h.address))
	netConn.SetDeadline(time.Now().Add(testTimeout))
	return &routerConn{netConn, bufio.NewReader(netConn)}
}

// lengthPrefixed returns s behind its length, as the wire format has strings and frames.
func lengthPrefixed(s string) string {
	return string(binary.BigEndian.AppendUint32(nil, uint32(len(s)))) + s
}

func (r *routerConn) send(messageType byte, name string, seq int, args string) {
	header := "\x80\x01\x00" + string(rune(messageType)) + lengthPrefixed(name) +
		string(binary.BigEndian.AppendUint32(nil, uint32(seq)))
	fmt.Fprint(r, lengthPrefixed(header+args))
}

func (r *routerConn) execute(seq int, fields ...string) {
	fields = append([]string{"op", "look", "call", fmt.Sprintf("%016x", seq), "src", "1", "recv",
		fmt.Sprint(time.Now().UnixMilli()), "ttl", "50000", "heap", "10"}, fields...)
	args := "\x0d\x00\x01\x0b\x0b" + string(binary.BigEndian.AppendUint32(nil, uint32(len(fields)/2)))
	for _, s := range fields {
		args += lengthPrefixed(s)
	}
	body := fmt.Sprint("body ", seq)
	if k := slices.Index(fields, "dedupe"); k > 0 {
		body = "body of " + fields[k+1] // all attempts carry the same body
	}
	if k := slices.Index(fields, "body"); k > 0 {
		body = fields[k+1] // an explicit body, as of an RPC that only claims to be a retry
	}
	r.send(1, "execute", seq, args+"\x0b\x00\x02"+lengthPrefixed(body)+"\x00")
}

func (r *routerConn) interrupt(target int) {
	r.send(4, "interrupt", 99, "\x08\x00\x01"+string(binary.BigEndian.AppendUint32(nil, uint32(target)))+"\x00")
}

// printReplies prints the next n messages, without the credit, which a test cannot predict.
func (r *routerConn) printReplies(n int) {
	for range n {
		header := make([]byte, 4)
		_, err := io.ReadFull(r.reader, header)
		if err != nil {
			fmt.Println("router: connection closed")
			return
		}
		message := make([]byte, binary.BigEndian.Uint32(header))
		io.ReadFull(r.reader, message)
		messageType, size := message[3], binary.BigEndian.Uint32(message[4:])
		name, seq, args := message[8:8+size], binary.BigEndian.Uint32(message[8+size:]), message[12+size:]
		switch {
		case messageType == 4 || messageType == 3:
			fmt.Printf("router: %s, type %d\n", name, messageType)
		case args[2] == 0: // an Answer: its body comes first, its health flag last
			body := binary.BigEndian.Uint32(args[6:])
			fmt.Printf("router: %d ok %q healthy %d\n", seq, args[10:10+body], args[len(args)-3])
		default:
			fmt.Printf("router: %d %s\n", seq, [...]string{1: "pushed back", 2: "aborted"}[args[2]])
		}
	}
}

// RPCs answered out of order, a retry, an interrupted RPC, and failed runs.
func Example_rpcOutcomes() {
	h := newHarness(nil)
	health, r := h.dial(), h.dial()
	health.send(1, "check", 1, "\x02\x00\x01\x00\x00")
	health.printReplies(1)
	r.execute(1)
	h.printKernelCommand()
	r.execute(2, "op", "record", "dedupe", "t")
	h.printKernelCommand()
	h.endRun(2, "fine", "two")
	r.printReplies(1)
	r.execute(3, "op", "record", "dedupe", "t")
	r.printReplies(1)
	h.endRun(1, "fine", "\x00\xff")
	r.printReplies(1)
	r.execute(4)
	h.printKernelCommand()
	r.interrupt(4)
	h.printKernelCommand()
	h.endRun(4, "broken_off", "")
	r.execute(5)
	h.printKernelCommand()
	h.endRun(5, "fault", "")
	r.printReplies(1)
	r.execute(6)
	h.printKernelCommand()
	h.endRun(6, "late", "")
	r.printReplies(1)
	fmt.Println("roster:", receive(h.rosterReports))
	h.close()
	fmt.Println("roster:", receive(h.rosterReports))
	// Output:
	// router: 1 ok "" healthy 1
	// kernel: SCHED 1 look body 1
	// kernel: SCHED 2 record body of t
	// router: 2 ok "two" healthy 1
	// router: 3 ok "two" healthy 1
	// router: 1 ok "\x00\xff" healthy 1
	// kernel: SCHED 4 look body 4
	// kernel: PREEMPT 4
	// kernel: SCHED 5 look body 5
	// router: 5 aborted
	// kernel: SCHED 6 look body 6
	// router: 6 aborted
	// roster: HERE n1 on
	// served: <nil>
	// roster: HERE n1 off
}

// The kernel link breaks and is restored: the notice sequence continues, and RPCs still run.
func Example_kernelReconnect() {
	h := newHarness(nil)
	r := h.dial()
	r.execute(1)
	h.printKernelCommand()
	h.endRun(1, "fine", "one")
	r.printReplies(1)
	h.kernelConn.Close()
	h.acceptKernelLink()
	r.execute(2)
	h.printKernelCommand()
	h.endRun(2, "fine", "two")
	r.printReplies(1)
	h.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 1 ok "one" healthy 1
	// kernel: SCHED 2 look body 2
	// router: 2 ok "two" healthy 1
	// served: <nil>
}

// The link breaks right after the kernel was asked to run a tokened RPC. The request is not sent again, as the run may
// be about to end; its end arrives over the new link, and the RPC is answered.
func Example_kernelReconnectTokened() {
	h := newHarness(nil)
	r := h.dial()
	r.execute(1, "op", "record", "dedupe", "t")
	h.printKernelCommand()
	h.kernelConn.Close()
	h.acceptKernelLink()
	r.execute(2)
	h.printKernelCommand()
	h.endRun(1, "fine", "one")
	h.endRun(2, "fine", "two")
	r.printReplies(2)
	h.close()
	// Output:
	// kernel: SCHED 1 record body of t
	// kernel: SCHED 2 look body 2
	// router: 1 ok "one" healthy 1
	// router: 2 ok "two" healthy 1
	// served: <nil>
}

// An RPC that cannot be run is answered and its connection goes on; input that cannot be parsed ends only its own
// connection.
func Example_invalidInput() {
	h := newHarness(nil)
	r := h.dial()
	r.execute(1, "op", "sing")
	r.execute(2, "op", "record")
	r.execute(3, "recv", "-17")
	r.execute(4, "ttl", "1e999")
	r.execute(5, "heap", "much")
	r.send(1, "sing", 6, "\x00")
	r.printReplies(6)
	r.execute(7, "ttl", "-5")
	r.printReplies(1)
	for _, bad := range []string{"\xff\xff\xff\xff", "\x00\x01\x00\x00",
		lengthPrefixed("\x80\x01\x00\x01" + lengthPrefixed("execute")), "GET / HTTP/1.1\r\n\r\n"} {
		broken := h.dial()
		fmt.Fprint(broken, bad)
		broken.printReplies(1)
	}
	duplicate := h.dial()
	duplicate.execute(8)
	h.printKernelCommand()
	duplicate.execute(8, "op", "sing")
	duplicate.printReplies(2)
	h.printKernelCommand() // the RPC is no longer awaited
	r.execute(9)
	h.printKernelCommand()
	h.endRun(9, "fine", "nine")
	r.printReplies(1)
	h.close()
	// Output:
	// router: 1 aborted
	// router: 2 aborted
	// router: 3 aborted
	// router: 4 aborted
	// router: 5 aborted
	// router: sing, type 3
	// router: 7 pushed back
	// router: connection closed
	// router: connection closed
	// router: connection closed
	// router: connection closed
	// kernel: SCHED 8 look body 8
	// router: 8 aborted
	// router: connection closed
	// kernel: PREEMPT 8
	// kernel: SCHED 9 look body 9
	// router: 9 ok "nine" healthy 1
	// served: <nil>
}

// A router resets its connection: its RPCs are abandoned, but its tokened run continues and answers the retry.
func Example_routerReset() {
	h := newHarness(nil)
	r := h.dial()
	r.execute(1)
	h.printKernelCommand()
	r.execute(2, "op", "record", "dedupe", "t")
	h.printKernelCommand()
	r.Conn.(*net.TCPConn).SetLinger(0)
	r.Close()
	h.printKernelCommand()
	other := h.dial()
	other.execute(3, "op", "record", "dedupe", "t")
	h.endRun(2, "fine", "two")
	other.printReplies(1)
	h.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// kernel: SCHED 2 record body of t
	// kernel: PREEMPT 1
	// router: 3 ok "two" healthy 1
	// served: <nil>
}

// In a drain under load every RPC that was read is answered before the stop deadline, routers are asked to close their
// connections, and the process exits.
func Example_drain() {
	h := newHarness(func(c *config.Config) { c.Rules.Machine.Cores = 1 })
	r, idle := h.dial(), h.dial()
	r.execute(1)
	h.printKernelCommand()
	r.execute(2)
	r.execute(3, "op", "record", "dedupe", "t")
	r.send(1, "check", 4, "\x00")
	r.printReplies(1) // so everything before it has been read
	start := time.Now()
	h.beginDrain()
	r.printReplies(4)
	r.Close()
	idle.printReplies(1)
	idle.Close()
	h.close()
	fmt.Println("before the stop:", time.Since(start) < 1200*time.Millisecond)
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 4 ok "" healthy 1
	// router: 1 pushed back
	// router: 2 pushed back
	// router: 3 pushed back
	// router: draining, type 4
	// router: draining, type 4
	// served: <nil>
	// before the stop: true
}

// Beyond the descriptor limit the connection idle longest is evicted. While all are busy a new connection is rejected
// at once, as others wait behind it in the accept queue.
func Example_fullConnectionTable() {
	// No router is asked to close beforehand: a connection is not idle while that message is being written.
	h := newPreparedHarness(func(c *config.Config) { c.Sockets = minReserved + 2 }, zap.NewNop(),
		func(s *Server) { s.idleCheckInterval = time.Hour })
	h.bootKernel()
	first, second := h.dial(), h.dial()
	for k, r := range []*routerConn{first, second} {
		r.execute(k + 1)
		h.printKernelCommand()
	}
	h.endRun(1, "fine", "one")
	first.printReplies(1)
	waitFor("connection idle", func() bool { return slices.ContainsFunc(h.connections(), (*conn).idleNow) })
	third := h.dial()
	third.execute(3)
	first.printReplies(1)
	h.printKernelCommand()
	fourth := h.dial()
	fourth.printReplies(1)
	for k, r := range []*routerConn{second, third} {
		h.endRun(k+2, "fine", "more")
		r.printReplies(1)
	}
	h.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// kernel: SCHED 2 look body 2
	// router: 1 ok "one" healthy 1
	// router: connection closed
	// kernel: SCHED 3 look body 3
	// router: connection closed
	// router: 2 ok "more" healthy 1
	// router: 3 ok "more" healthy 1
	// served: <nil>
}

// Connections that send nothing or only part of a message are closed in time, and RPCs read on them before are
// answered. The oldest silent connection is evicted before an idle one that was used.
func Example_silentConnections() {
	h := newHarness(func(c *config.Config) { c.Sockets = minReserved + 3 })
	r, silent, partial := h.dial(), h.dial(), h.dial()
	r.execute(1)
	h.printKernelCommand()
	h.endRun(1, "fine", "one")
	r.printReplies(1)
	partial.execute(2)
	h.printKernelCommand()
	fmt.Fprint(partial, "\x00\x00\x00\x09half")
	time.Sleep(firstMessageTimeout)
	other := h.dial()
	silent.printReplies(1)
	start := time.Now()
	other.printReplies(1)
	fmt.Println("in time:", time.Since(start) < 2*time.Second)
	h.endRun(2, "fine", "two")
	partial.printReplies(2)
	h.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 1 ok "one" healthy 1
	// kernel: SCHED 2 look body 2
	// router: connection closed
	// router: connection closed
	// in time: true
	// router: 2 ok "two" healthy 1
	// router: connection closed
	// served: <nil>
}

// RPCs that reuse another router's call ID or token, or that no app server can run, are aborted, and the other
// router's RPC goes on. A connection that sends nothing else is closed.
func Example_foreignRPCs() {
	h := newHarness(nil)
	r, bad := h.dial(), h.dial()
	r.execute(1)
	h.printKernelCommand()
	r.execute(2, "op", "record", "dedupe", "t")
	h.printKernelCommand()
	bad.execute(1)
	bad.printReplies(1)
	h.endRun(2, "fine", "two")
	r.printReplies(1)
	bad.execute(11, "op", "record", "dedupe", "t", "call", "00000000000000ff", "body", "x")
	bad.printReplies(1)
	bad.execute(12)
	h.printKernelCommand()
	fmt.Fprintf(h.kernelConn, `{"action":"EINVAL","code":"SCHED","uid":"%016x"}`+"\n", 12)
	bad.printReplies(1)
	for k := range maxUnusableRPCs - 3 {
		bad.execute(13+k, "crit", "1")
	}
	bad.printReplies(maxUnusableRPCs - 3)
	bad.execute(18)
	bad.printReplies(2)
	h.endRun(1, "fine", "one")
	r.printReplies(1)
	h.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// kernel: SCHED 2 record body of t
	// router: 1 aborted
	// router: 2 ok "two" healthy 1
	// router: 11 aborted
	// kernel: SCHED c look body 12
	// router: 12 aborted
	// router: 13 aborted
	// router: 14 aborted
	// router: 15 aborted
	// router: 16 aborted
	// router: 17 aborted
	// router: 18 pushed back
	// router: connection closed
	// router: 1 ok "one" healthy 1
	// served: <nil>
}

// blockingCloseConn is a connection whose Close blocks until closeAllowed is closed.
type blockingCloseConn struct {
	net.Conn
	closeAllowed chan bool
}

func (c blockingCloseConn) Close() error {
	<-c.closeAllowed
	return nil
}

func (c blockingCloseConn) SetReadDeadline(time.Time) error  { return nil }
func (c blockingCloseConn) SetWriteDeadline(time.Time) error { return nil }

// Eviction never waits for the evicted connection's close: one close that blocks would keep out all new connections.
func Example_evictionDoesNotBlock() {
	h := newHarness(func(c *config.Config) { c.Sockets = minReserved + 1 })
	stuck := blockingCloseConn{closeAllowed: make(chan bool)}
	h.Server.mu.Lock()
	h.conns[&conn{Server: h.Server, Conn: stuck, receivedMessage: true,
		writeShut: make(chan struct{}), descriptorClosed: make(chan struct{})}] = struct{}{}
	h.Server.mu.Unlock()
	r := h.dial()
	r.execute(1)
	h.printKernelCommand()
	close(stuck.closeAllowed)
	h.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// served: <nil>
}

// RPCs beyond the memory limit for open RPCs are rejected until memory is free again.
func Example_memoryLimit() {
	h := newHarness(func(c *config.Config) { c.Memory = requestMemoryShare * 3 * callSize / 2 })
	r := h.dial()
	r.execute(1)
	h.printKernelCommand()
	r.execute(2)
	r.printReplies(1)
	h.endRun(1, "fine", "one")
	r.printReplies(1)
	r.execute(3)
	h.printKernelCommand()
	h.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 2 pushed back
	// router: 1 ok "one" healthy 1
	// kernel: SCHED 3 look body 3
	// served: <nil>
}

// A router that sends and never reads does not delay others, and its connection is closed before it uses much memory.
func Example_routerNeverReads() {
	h := newHarness(nil)
	flood, r := h.dial(), h.dial()
	for seq := 1; ; seq++ {
		if _, err := flood.Write([]byte(lengthPrefixed("\x80\x01\x00\x01" + lengthPrefixed("check") +
			"\x00\x00\x00\x01\x00"))); err != nil {
			fmt.Println("cut off:", seq > maxOpenCalls && seq < 1e6)
			break
		}
		if seq == maxOpenCalls {
			r.execute(1)
			h.printKernelCommand()
			h.endRun(1, "fine", "one")
			r.printReplies(1)
		}
	}
	h.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 1 ok "one" healthy 1
	// cut off: true
	// served: <nil>
}

// An idle connection is asked to close after the idle timeout, and closed if its router does not.
func Example_idleTimeout() {
	h := newHarness(func(c *config.Config) { c.Rules.Machine.KeepAlive = 0.1 })
	r := h.dial()
	r.execute(1)
	h.printKernelCommand()
	h.endRun(1, "fine", "one")
	r.printReplies(3)
	h.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 1 ok "one" healthy 1
	// router: draining, type 4
	// router: connection closed
	// served: <nil>
}

// A reload under load changes the kernel and roster addresses: a run continues over the new link, also in a drain. An
// invalid configuration changes nothing, and a half-written one is read again. SIGHUP must not end the process, which
// would lose its open RPCs.
func Example_reload() {
	h := newHarness(nil)
	r := h.dial()
	r.execute(1)
	h.printKernelCommand()
	fmt.Println("roster:", receive(h.rosterReports))
	hup, reads := make(chan os.Signal, 1), make(chan string, 100)
	var available atomic.Pointer[config.Config]
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan bool)
	go func() {
		h.Reload(ctx, hup, func() (*config.Config, *config.Settings, error) {
			reads <- "read"
			if c := available.Load(); c != nil {
				return c, nil, nil
			}
			return nil, nil, &config.KeyError{Key: "kernel", Reason: "half written"}
		})
		close(done)
	}()
	var rosters []net.PacketConn
	changeAddresses := func() {
		old, roster := h.kernelListener, h.roster()
		rosters = append(rosters, roster)
		h.kernelListener = must(net.Listen("tcp", "127.0.0.1:0"))
		c := *h.config
		c.Name, c.Methods = "n2", []string{"other", "names"} // changes to these are ignored
		c.Kernel = netip.MustParseAddrPort(h.kernelListener.Addr().String())
		c.Roster = netip.MustParseAddrPort(roster.LocalAddr().String())
		available.Store(&c)
		hup <- syscall.SIGHUP
		h.acceptKernelLink()
		old.Close()
		fmt.Println("roster:", receive(h.rosterReports))
	}
	hup <- syscall.SIGHUP
	fmt.Println(receive(reads), receive(reads))
	changeAddresses()
	h.endRun(1, "fine", "one")
	r.printReplies(1)
	r.execute(2)
	h.printKernelCommand()
	h.beginDrain()
	fmt.Println("roster:", receive(h.rosterReports))
	changeAddresses()
	h.endRun(2, "fine", "two")
	r.printReplies(1)
	r.Close()
	cancel()
	<-done
	for _, roster := range rosters {
		roster.Close()
	}
	h.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// roster: HERE n1 on
	// read read
	// roster: HERE n1 on
	// router: 1 ok "one" healthy 1
	// kernel: SCHED 2 look body 2
	// roster: HERE n1 off
	// roster: HERE n1 off
	// router: 2 ok "two" healthy 1
	// served: <nil>
}

// Runs an app server embedded in a larger process.
func ExampleServer() {
	c, err := config.FromEnv()
	if err != nil {
		panic(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop() // the shutdown notice: Serve then drains
	if err := New(c, zap.NewNop()).Serve(ctx); err != nil {
		panic(err)
	}
}
