package kernel

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
)

// fakeKernel is a test double of the kernel: the test reads its commands and writes its notices, line by line.
type fakeKernel struct {
	net.Listener
	conn   net.Conn
	lines  *bufio.Reader
	events chan string // calls of the owner's methods, as text
	*Link[string]
	end      func()
	noGauges bool // SYSINFO is rejected
}

func start() *fakeKernel { return startWith(nil) }

func startWith(change func(l *Link[string])) *fakeKernel {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	c := &fakeKernel{Listener: listener, events: make(chan string, 100)}
	c.Link = New[string](netip.MustParseAddrPort(listener.Addr().String()), c, zap.NewNop())
	c.Link.lossWindow = 0 // a command before an answered query cannot be lost, unless the test changes this
	if change != nil {
		change(c.Link)
	}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error)
	go func() { served <- c.Serve(ctx) }()
	c.end = func() {
		cancel()
		fmt.Println("ended:", <-served)
		listener.Close()
	}
	return c
}

func (c *fakeKernel) Booted(uptime float64, cold bool) {
	c.events <- fmt.Sprintf("booted %g ago, cold %v", uptime, cold)
}
func (c *fakeKernel) Ended(run string, took float64, result []byte, err error) {
	c.events <- fmt.Sprintf("%s ended after %g: %q, %v", run, took, result, err)
}

// accept accepts the next connection and prints its first command.
func (c *fakeKernel) accept() {
	conn, err := c.Listener.Accept()
	if err != nil {
		panic(err)
	}
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	c.conn, c.lines = conn, bufio.NewReader(conn)
	c.printCommands(1)
}

// printCommands prints the next n commands and replies to each SYSINFO.
func (c *fakeKernel) printCommands(n int) {
	for range n {
		line, err := c.lines.ReadString('\n')
		fmt.Println("<", strings.TrimSpace(line), err)
		var m struct{ Action, Echo string }
		switch json.Unmarshal([]byte(line), &m); {
		case m.Action != "SYSINFO":
		case c.noGauges:
			c.send(`{"action":"EINVAL","code":"SYSINFO"}`)
		default:
			c.send(`{"action":"INFO","echo":"` + m.Echo + `","meters":[0.5,3]}`)
		}
	}
}

func (c *fakeKernel) send(lines ...string) {
	fmt.Fprint(c.conn, strings.Join(lines, "\n")+"\n")
}

// printEvents prints the next n events that the owner received.
func (c *fakeKernel) printEvents(n int) {
	for range n {
		select {
		case event := <-c.events:
			fmt.Println(event)
		case <-time.After(20 * time.Second):
			fmt.Println("no event")
		}
	}
}

func Example_ends() {
	c := start()
	c.accept()
	c.Run("A", "a", "look", []byte{0, 255}, true)
	c.send(`{"action":"BOOTED","code":"starting","wall_ms":1500}`)
	c.printCommands(2)
	fmt.Println(c.Run("A", "a", "look", nil, true))
	for k, code := range []string{"fine", "fault", "broken_off", "late"} {
		uid := string(rune('b' + k))
		c.Run("R"+uid, uid, "look", nil, true)
		c.printCommands(1)
		if code == "broken_off" {
			c.Preempt(uid)
			c.printCommands(1)
		}
		c.send(fmt.Sprintf(`{"action":"REAP","pos":%d,"uid":"%s","code":"%s","wall_ms":20,"content":"AP8="}`, k+1, uid, code))
		c.printEvents(1)
	}
	c.Preempt("b") // has ended already
	c.send(`{"action":"EINVAL","code":"SCHED","uid":"a"}`)
	c.printEvents(2)
	c.end()
	// Output:
	// < {"action":"OPEN","pos":0} <nil>
	// < {"action":"SYSINFO","echo":"1"} <nil>
	// < {"action":"SCHED","uid":"a","lane":"look","content":"AP8="} <nil>
	// run uid is in use by another run (never started)
	// < {"action":"SCHED","uid":"b","lane":"look","content":""} <nil>
	// booted 1.5 ago, cold true
	// < {"action":"SCHED","uid":"c","lane":"look","content":""} <nil>
	// Rb ended after 0.02: "\x00\xff", <nil>
	// < {"action":"SCHED","uid":"d","lane":"look","content":""} <nil>
	// < {"action":"PREEMPT","uid":"d"} <nil>
	// Rc ended after 0.02: "", run fault (started)
	// < {"action":"SCHED","uid":"e","lane":"look","content":""} <nil>
	// Rd ended after 0.02: "", run broken_off (started)
	// Re ended after 0.02: "", run late (never started)
	// A ended after 0: "", run rejected by the kernel (never started)
	// ended: <nil>
}

// After a disconnect, commands that the kernel has certainly read are not resent. Others are, after the notices
// that arrived meanwhile: no run that has ended is sent again, and no notice is handled twice.
func Example_reconnect() {
	c := start()
	c.accept()
	c.send(`{"action":"BOOTED","code":"running","wall_ms":10}`)
	c.printCommands(1)
	c.printEvents(1)
	c.Run("A", "a", "look", nil, true)
	c.printCommands(1)
	gauges := make(chan []float64)
	go func() { gauges <- c.Gauges(20 * time.Second) }()
	c.printCommands(1) // the reply proves that a's command has been read
	fmt.Println("gauges", <-gauges)
	c.Run("B", "b", "look", nil, true)
	c.printCommands(1)
	c.Run("C", "c", "look", nil, true)
	c.printCommands(1)
	c.send(`{"action":"REAP","pos":1,"uid":"x","code":"fine","wall_ms":1}`, `{"action":"DMESG","pos":2,"code":"hm"}`)
	c.conn.Close()
	c.accept()
	c.Run("D", "d", "look", nil, true)
	c.send(`{"action":"BOOTED","code":"running","wall_ms":99}`, `{"action":"DMESG","pos":2,"code":"hm"}`,
		`{"action":"REAP","pos":3,"uid":"b","code":"fine","wall_ms":5,"content":"Yg=="}`,
		`{"action":"REAP","pos":3,"uid":"c","code":"fine","wall_ms":5}`)
	c.printEvents(2)
	c.printCommands(3)
	c.send(`{"action":"REAP","pos":4,"uid":"a","code":"fine","wall_ms":6,"content":"YQ=="}`)
	c.printEvents(1)
	c.end()
	// Output:
	// < {"action":"OPEN","pos":0} <nil>
	// < {"action":"SYSINFO","echo":"1"} <nil>
	// booted 0.01 ago, cold false
	// < {"action":"SCHED","uid":"a","lane":"look","content":""} <nil>
	// < {"action":"SYSINFO","echo":"2"} <nil>
	// gauges [0.5 3]
	// < {"action":"SCHED","uid":"b","lane":"look","content":""} <nil>
	// < {"action":"SCHED","uid":"c","lane":"look","content":""} <nil>
	// < {"action":"OPEN","pos":2} <nil>
	// booted 0.099 ago, cold false
	// B ended after 0.005: "b", <nil>
	// < {"action":"SYSINFO","echo":"3"} <nil>
	// < {"action":"SCHED","uid":"c","lane":"look","content":""} <nil>
	// < {"action":"SCHED","uid":"d","lane":"look","content":""} <nil>
	// A ended after 0.006: "a", <nil>
	// ended: <nil>
}

// Commands are sent to a kernel that rejects SYSINFO. A second BOOTED changes nothing, and an INFO without a query
// confirms nothing.
func Example_withoutGauges() {
	c := start()
	c.noGauges = true
	c.accept()
	c.send(`{"action":"BOOTED","code":"running","wall_ms":10}`)
	c.printCommands(1)
	c.Run("A", "a", "look", nil, true)
	c.printCommands(1)
	c.send(`{"action":"BOOTED","code":"running","wall_ms":10}`, `{"action":"INFO","meters":[1]}`)
	c.Run("B", "b", "look", nil, true)
	c.printCommands(1)
	c.conn.Close()
	c.accept()
	c.send(`{"action":"BOOTED","code":"running","wall_ms":10}`)
	c.printCommands(3)
	c.end()
	// Output:
	// < {"action":"OPEN","pos":0} <nil>
	// < {"action":"SYSINFO","echo":"1"} <nil>
	// < {"action":"SCHED","uid":"a","lane":"look","content":""} <nil>
	// < {"action":"SCHED","uid":"b","lane":"look","content":""} <nil>
	// < {"action":"OPEN","pos":0} <nil>
	// < {"action":"SYSINFO","echo":"2"} <nil>
	// < {"action":"SCHED","uid":"a","lane":"look","content":""} <nil>
	// < {"action":"SCHED","uid":"b","lane":"look","content":""} <nil>
	// ended: <nil>
}

// A missing notice is requested once, by reconnecting; unreadable lines are skipped.
func Example_gap() {
	c := start()
	c.accept()
	c.send(`{"action":"BOOTED","code":"running","wall_ms":10}`)
	c.printCommands(1)
	c.Run("A", "a", "look", nil, true)
	c.Run("B", "b", "look", nil, true)
	c.printCommands(2)
	c.send(`{"action":"DMESG","pos":1,"code":"hm"}`, `{"action":"REAP","pos":3,"uid":"a","code":"fine","wall_ms":5}`)
	c.accept()
	c.send(`{"action":"BOOTED","code":"running","wall_ms":10}`,
		`{"action":"REAP","pos":3,"uid":"a","code":"fine","wall_ms":5}`,
		`not JSON`, `{"action":"SING"}`, `{"action":"REAP","pos":9,"uid":"b","code":"fine","wall_ms":5}`)
	c.printEvents(4)
	c.end()
	// Output:
	// < {"action":"OPEN","pos":0} <nil>
	// < {"action":"SYSINFO","echo":"1"} <nil>
	// < {"action":"SCHED","uid":"a","lane":"look","content":""} <nil>
	// < {"action":"SCHED","uid":"b","lane":"look","content":""} <nil>
	// < {"action":"OPEN","pos":1} <nil>
	// booted 0.01 ago, cold false
	// booted 0.01 ago, cold false
	// A ended after 0.005: "", <nil>
	// B ended after 0.005: "", <nil>
	// ended: <nil>
}

// The kernel no longer has some notices. A run whose end was among them ends after a timeout and would otherwise
// be pending forever; a run whose end arrives, and one requested later, end normally.
func Example_noticesLost() {
	c := startWith(func(l *Link[string]) { l.unconfirmedTimeout = 50 * time.Millisecond })
	c.accept()
	c.send(`{"action":"BOOTED","code":"running","wall_ms":10}`)
	c.printCommands(1)
	c.Run("A", "a", "look", nil, true)
	c.Run("B", "b", "look", nil, true)
	c.printCommands(2)
	go c.Gauges(20 * time.Second)
	c.printCommands(1) // the reply proves that both have been read
	c.conn.Close()
	c.accept()
	c.Run("C", "c", "look", nil, true)
	c.send(`{"action":"BOOTED","code":"running","wall_ms":99}`, `{"action":"DMESG","pos":4001,"code":"hm"}`,
		`{"action":"REAP","pos":4002,"uid":"b","code":"fine","wall_ms":6,"content":"Yg=="}`)
	c.printEvents(4)
	c.printCommands(2)
	c.send(`{"action":"REAP","pos":4003,"uid":"a","code":"fine","wall_ms":6}`,
		`{"action":"REAP","pos":4004,"uid":"c","code":"fine","wall_ms":6}`)
	c.printEvents(1)
	c.end()
	// Output:
	// < {"action":"OPEN","pos":0} <nil>
	// < {"action":"SYSINFO","echo":"1"} <nil>
	// < {"action":"SCHED","uid":"a","lane":"look","content":""} <nil>
	// < {"action":"SCHED","uid":"b","lane":"look","content":""} <nil>
	// < {"action":"SYSINFO","echo":"2"} <nil>
	// < {"action":"OPEN","pos":0} <nil>
	// booted 0.01 ago, cold false
	// booted 0.099 ago, cold false
	// B ended after 0.006: "b", <nil>
	// A ended after 0: "", run end lost (sent)
	// < {"action":"SYSINFO","echo":"3"} <nil>
	// < {"action":"SCHED","uid":"c","lane":"look","content":""} <nil>
	// C ended after 0.006: "", <nil>
	// ended: <nil>
}

// The kernel moves. The old connection is used until one to the new address is open; then pending runs, the
// position of the last notice, and commands that may not have been read are carried over. Here the old address
// does not reply to the last query, the second. Without Move the link died with the old address.
func Example_moved() {
	c := start()
	c.accept()
	c.send(`{"action":"BOOTED","code":"running","wall_ms":10}`)
	c.printCommands(1)
	c.Run("A", "a", "look", nil, true)
	c.printCommands(1)
	c.send(`{"action":"DMESG","pos":1,"code":"hm"}`)
	c.Move(netip.MustParseAddrPort(c.Addr().String())) // the present address
	second, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	at := second.Addr().String()
	second.Close() // nothing listens there yet
	c.Move(netip.MustParseAddrPort(at))
	c.Run("B", "b", "look", nil, true)
	c.printCommands(1)
	c.Listener.Close()
	if c.Listener, err = net.Listen("tcp", at); err != nil {
		panic(err)
	}
	c.accept()
	c.send(`{"action":"BOOTED","code":"running","wall_ms":99}`,
		`{"action":"REAP","pos":2,"uid":"a","code":"fine","wall_ms":5,"content":"YQ=="}`)
	c.printEvents(3)
	c.printCommands(2)
	c.end()
	// Output:
	// < {"action":"OPEN","pos":0} <nil>
	// < {"action":"SYSINFO","echo":"1"} <nil>
	// < {"action":"SCHED","uid":"a","lane":"look","content":""} <nil>
	// < {"action":"SCHED","uid":"b","lane":"look","content":""} <nil>
	// < {"action":"OPEN","pos":1} <nil>
	// booted 0.01 ago, cold false
	// booted 0.099 ago, cold false
	// A ended after 0.005: "a", <nil>
	// < {"action":"SYSINFO","echo":"3"} <nil>
	// < {"action":"SCHED","uid":"b","lane":"look","content":""} <nil>
	// ended: <nil>
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"action":"REAP","pos":1,"uid":"a","code":"fine","wall_ms":5,"content":"YQ=="}` + "\n"))
	f.Add([]byte(`{"action":"INFO","echo":"1","meters":[1,2]}` + "\n" + `{"action":"BOOTED","wall_ms":1}` + "\n"))
	f.Add([]byte(`{"action":"EINVAL","code":"SCHED","uid":"a"}` + "\n" + `{"action":"DMESG","pos":7}` + "\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		c := &fakeKernel{events: make(chan string, 1+len(text))}
		l := New[string](netip.AddrPort{}, c, zap.NewNop())
		l.Run("A", "a", "look", nil, true)
		l.commands.markWritten(time.Now())
		linkSide, kernelSide := net.Pipe()
		go func() {
			kernelSide.Write(text)
			kernelSide.Close()
		}()
		if err := l.read(linkSide, func() {}); err == nil {
			t.Error("ended without an error")
		}
		linkSide.Close()
		ended := 0
		for close(c.events); ; {
			event, ok := <-c.events
			if !ok {
				break
			}
			if strings.HasPrefix(event, "A ended") {
				ended++
			}
		}
		if ended > 1 {
			t.Error("a run ended twice")
		}
	})
}
