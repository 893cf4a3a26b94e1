package kernel

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"strings"
	"time"

	"go.uber.org/zap"
)

// boot accepts the next connection, sends BOOTED and the given notices, and answers the first query.
func (c *fakeKernel) boot(notices ...string) {
	c.accept()
	c.send(append([]string{`{"action":"BOOTED","code":"running","wall_ms":10}`}, notices...)...)
	c.printCommands(1)
	c.printEvents(1)
}

// printUnexpected prints an event or a command that arrives within 50 ms.
func (c *fakeKernel) printUnexpected() {
	select {
	case event := <-c.events:
		fmt.Println(event)
	default:
	}
	c.conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if line, err := c.lines.ReadString('\n'); err == nil {
		fmt.Println("<", strings.TrimSpace(line))
	}
	c.conn.SetReadDeadline(time.Now().Add(20 * time.Second))
}

// Names are not escaped in commands. Notices may have numbers in any JSON form; a field of an unexpected type
// costs only itself, and fields that are not needed may be anything.
func Example_noticeFormats() {
	c := start()
	c.accept()
	c.send(`{"action":"BOOTED","code":"running","wall_ms":1e1,"more":[{}]}`)
	c.printCommands(1)
	c.printEvents(1)
	for k, uid := range []string{"a", "b", "c", "d"} {
		c.Run("R"+uid, uid, `<&> "é" `+string(rune('0'+k)), nil, true)
	}
	c.printCommands(4)
	c.send(`{"action":"REAP","pos":1.0,"uid":"a","code":"fine","wall_ms":5,"content":null}`,
		`{"action":"REAP","pos":2e0,"uid":"b","code":"fine","wall_ms":5,"content":"Yg==","echo":7,"meters":"none"}`,
		`{"action":"REAP","pos":3,"uid":"c","code":"fine","wall_ms":5,"content":"not base64"}`,
		`{"action":"REAP","pos":4,"uid":"d","code":"fine","wall_ms":"long","content":"ZA=="}`)
	c.printEvents(4)
	go c.Gauges(20 * time.Second)
	c.printCommands(1)
	c.end()
	// Output:
	// < {"action":"OPEN","pos":0} <nil>
	// < {"action":"SYSINFO","echo":"1"} <nil>
	// booted 0.01 ago, cold false
	// < {"action":"SCHED","uid":"a","lane":"<&> \"é\" 0","content":""} <nil>
	// < {"action":"SCHED","uid":"b","lane":"<&> \"é\" 1","content":""} <nil>
	// < {"action":"SCHED","uid":"c","lane":"<&> \"é\" 2","content":""} <nil>
	// < {"action":"SCHED","uid":"d","lane":"<&> \"é\" 3","content":""} <nil>
	// Ra ended after 0.005: "", <nil>
	// Rb ended after 0.005: "b", <nil>
	// Rc ended after 0.005: "", run unreadable result (started)
	// Rd ended after 0: "d", <nil>
	// < {"action":"SYSINFO","echo":"2"} <nil>
	// ended: <nil>
}

// A DMESG line longer than maxLine is discarded. If it broke the connection, it would be resent on each new one.
func Example_longLine() {
	c := start()
	c.boot(`{"action":"DMESG","pos":1,"code":"`+strings.Repeat("hm ", 1<<17)+`"}`,
		`{"action":"DMESG","pos":2,"code":"hm"}`)
	c.Run("A", "a", "look", nil, true)
	c.printCommands(1)
	c.send(`{"action":"REAP","pos":3,"uid":"a","code":"fine","wall_ms":5}`)
	c.printEvents(1)
	c.end()
	// Output:
	// < {"action":"OPEN","pos":0} <nil>
	// < {"action":"SYSINFO","echo":"1"} <nil>
	// booted 0.01 ago, cold false
	// < {"action":"SCHED","uid":"a","lane":"look","content":""} <nil>
	// A ended after 0.005: "", <nil>
	// ended: <nil>
}

// Commands are sent to a kernel that never replies to the first query.
func Example_unanswered() {
	c := startWith(func(l *Link[string]) { l.syncTimeout = 50 * time.Millisecond })
	c.accept()
	c.Run("A", "a", "look", nil, true)
	c.send(`{"action":"BOOTED","code":"running","wall_ms":10}`)
	c.printEvents(1)
	for range 2 {
		line, _ := c.lines.ReadString('\n')
		fmt.Print(line)
	}
	c.send(`{"action":"REAP","pos":1,"uid":"a","code":"fine","wall_ms":5}`)
	c.printEvents(1)
	fmt.Println(c.Gauges(time.Millisecond))
	c.end()
	// Output:
	// < {"action":"OPEN","pos":0} <nil>
	// booted 0.01 ago, cold false
	// {"action":"SYSINFO","echo":"1"}
	// {"action":"SCHED","uid":"a","lane":"look","content":""}
	// A ended after 0.005: "", <nil>
	// []
	// ended: <nil>
}

// A run that is preempted before its command was written, here as the kernel has not booted, is never sent.
func Example_preemptedBeforeSent() {
	c := start()
	c.accept()
	c.Run("A", "a", "look", nil, true)
	c.Run("B", "b", "pay", nil, false)
	c.Preempt("a")
	c.printEvents(1)
	c.send(`{"action":"BOOTED","code":"running","wall_ms":10}`)
	c.printEvents(1)
	c.printCommands(2)
	c.Preempt("b")
	c.printCommands(1)
	c.end()
	// Output:
	// < {"action":"OPEN","pos":0} <nil>
	// A ended after 0: "", run preempted before it was sent (never started)
	// booted 0.01 ago, cold false
	// < {"action":"SYSINFO","echo":"1"} <nil>
	// < {"action":"SCHED","uid":"b","lane":"pay","content":""} <nil>
	// < {"action":"PREEMPT","uid":"b"} <nil>
	// ended: <nil>
}

// The connection breaks after runs were preempted: SCHED and PREEMPT are resent in order, unless the run's end is
// among the notices.
func Example_preemptLost() {
	c := start()
	c.boot()
	c.Run("A", "a", "look", nil, true)
	c.Run("B", "b", "look", nil, true)
	c.Run("C", "c", "pay", nil, false)
	c.printCommands(3)
	for _, uid := range []string{"a", "b", "c"} {
		c.Preempt(uid)
	}
	c.printCommands(3)
	c.conn.Close()
	c.boot(`{"action":"REAP","pos":1,"uid":"a","code":"broken_off","wall_ms":5}`)
	c.printEvents(1)
	c.printCommands(3)
	c.send(`{"action":"REAP","pos":2,"uid":"c","code":"broken_off","wall_ms":5}`,
		`{"action":"REAP","pos":3,"uid":"b","code":"broken_off","wall_ms":5}`)
	c.printEvents(2)
	c.printUnexpected()
	c.end()
	// Output:
	// < {"action":"OPEN","pos":0} <nil>
	// < {"action":"SYSINFO","echo":"1"} <nil>
	// booted 0.01 ago, cold false
	// < {"action":"SCHED","uid":"a","lane":"look","content":""} <nil>
	// < {"action":"SCHED","uid":"b","lane":"look","content":""} <nil>
	// < {"action":"SCHED","uid":"c","lane":"pay","content":""} <nil>
	// < {"action":"PREEMPT","uid":"a"} <nil>
	// < {"action":"PREEMPT","uid":"b"} <nil>
	// < {"action":"PREEMPT","uid":"c"} <nil>
	// < {"action":"OPEN","pos":0} <nil>
	// < {"action":"SYSINFO","echo":"2"} <nil>
	// booted 0.01 ago, cold false
	// A ended after 0.005: "", run broken_off (started)
	// < {"action":"SCHED","uid":"b","lane":"look","content":""} <nil>
	// < {"action":"PREEMPT","uid":"b"} <nil>
	// < {"action":"PREEMPT","uid":"c"} <nil>
	// C ended after 0.005: "", run broken_off (started)
	// B ended after 0.005: "", run broken_off (started)
	// ended: <nil>
}

// The timeout of the first query belongs to its own connection: once that has ended, nothing is sent on the next
// one before BOOTED.
func Example_unansweredThenReconnect() {
	c := startWith(func(l *Link[string]) { l.syncTimeout = 30 * time.Millisecond })
	c.accept()
	c.Run("A", "a", "look", nil, true)
	c.send(`{"action":"BOOTED","code":"running","wall_ms":10}`)
	c.printEvents(1)
	at := c.Addr().String()
	c.Listener.Close() // nothing listens there for a while
	c.conn.Close()
	time.Sleep(2 * c.syncTimeout) // past the timeout
	var err error
	if c.Listener, err = net.Listen("tcp", at); err != nil {
		panic(err)
	}
	c.accept()
	c.printUnexpected()
	c.end()
	// Output:
	// < {"action":"OPEN","pos":0} <nil>
	// booted 0.01 ago, cold false
	// < {"action":"OPEN","pos":0} <nil>
	// ended: <nil>
}

// In an orderly move all that was written is read on the old connection before the new one replaces it, so that no
// run that must not run twice is left unconfirmed.
func Example_movedOnce() {
	c := startWith(func(l *Link[string]) { l.unconfirmedTimeout, l.handoverTimeout = 20*time.Millisecond, 20*time.Second })
	c.boot()
	c.Run("A", "a", "pay", nil, false)
	c.printCommands(1)
	old := c.Listener
	second, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	c.Listener = second
	c.Move(netip.MustParseAddrPort(second.Addr().String()))
	c.printCommands(1)
	c.boot()
	c.Run("B", "b", "pay", nil, false)
	c.printCommands(1)
	c.printUnexpected() // for longer than the timeout of unconfirmed runs
	c.send(`{"action":"REAP","pos":1,"uid":"a","code":"fine","wall_ms":5}`)
	c.printEvents(1)
	old.Close()
	c.end()
	// Output:
	// < {"action":"OPEN","pos":0} <nil>
	// < {"action":"SYSINFO","echo":"1"} <nil>
	// booted 0.01 ago, cold false
	// < {"action":"SCHED","uid":"a","lane":"pay","content":""} <nil>
	// < {"action":"SYSINFO","echo":"2"} <nil>
	// < {"action":"OPEN","pos":0} <nil>
	// < {"action":"SYSINFO","echo":"3"} <nil>
	// booted 0.01 ago, cold false
	// < {"action":"SCHED","uid":"b","lane":"pay","content":""} <nil>
	// A ended after 0.005: "", <nil>
	// ended: <nil>
}

// scriptedConn is a connection whose reads return the given steps in turn, each an error or text.
type scriptedConn struct {
	net.Conn
	steps []any
}

func (s *scriptedConn) Read(b []byte) (int, error) {
	if len(s.steps) == 0 {
		return 0, io.EOF
	}
	step := s.steps[0]
	s.steps = s.steps[1:]
	if err, failed := step.(error); failed {
		return 0, err
	}
	return copy(b, step.(string)), nil
}

func (s *scriptedConn) SetReadDeadline(time.Time) error { return nil }

// This process was paused for longer than the read timeout, so that the deadline has passed before the data that
// arrived meanwhile is read. That data is read first; only a kernel that stays silent loses its connection.
func Example_pausedProcess() {
	c := &fakeKernel{events: make(chan string, 10)}
	l := New[string](netip.AddrPort{}, c, zap.NewNop())
	fmt.Println(l.read(&scriptedConn{steps: []any{
		`{"action":"BOOTED","code":"running","wall_ms":10}` + "\n" + `{"action":"INFO","echo":"1","meters":[]}` + "\n",
		os.ErrDeadlineExceeded, `{"action":"DMESG","pos":1,"code":"hm"}` + "\n",
		os.ErrDeadlineExceeded, `{"action":"DMESG","pos":2,"code":"hm"}` + "\n",
		os.ErrDeadlineExceeded, os.ErrDeadlineExceeded,
		`{"action":"DMESG","pos":3,"code":"hm"}` + "\n",
	}}, func() {}))
	fmt.Println(l.lastPos)
	// Output:
	// i/o timeout
	// 2
}

// The new address accepts the connection but sends nothing: commands wait, until another move replaces it.
func Example_movedTwice() {
	c := startWith(func(l *Link[string]) { l.handoverTimeout = 20 * time.Second })
	c.boot()
	c.Run("X", "x", "look", nil, true)
	c.printCommands(1) // by then the first query has been answered
	old := c.Listener
	defer old.Close()
	var err error
	for moves := range 2 {
		if c.Listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			panic(err)
		}
		defer c.Listener.Close()
		c.Move(netip.MustParseAddrPort(c.Addr().String()))
		if moves == 0 {
			c.printCommands(1) // the last query on the first connection
			c.Run("A", "a", "look", nil, true)
		}
		c.accept()
		c.printUnexpected()
	}
	c.send(`{"action":"BOOTED","code":"running","wall_ms":10}`)
	c.printEvents(1)
	c.printCommands(2)
	c.end()
	// Output:
	// < {"action":"OPEN","pos":0} <nil>
	// < {"action":"SYSINFO","echo":"1"} <nil>
	// booted 0.01 ago, cold false
	// < {"action":"SCHED","uid":"x","lane":"look","content":""} <nil>
	// < {"action":"SYSINFO","echo":"2"} <nil>
	// < {"action":"OPEN","pos":0} <nil>
	// < {"action":"OPEN","pos":0} <nil>
	// booted 0.01 ago, cold false
	// < {"action":"SYSINFO","echo":"3"} <nil>
	// < {"action":"SCHED","uid":"a","lane":"look","content":""} <nil>
	// ended: <nil>
}
