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

// patience is for what must come: longer than any machine takes, as a test that passes never waits for it.
const patience = 20 * time.Second

// town is one app server between stand-ins for its kernel, its roster and its routers.
type town struct {
	at      string
	door    net.Listener // where routers connect
	cores   net.Listener // where the kernel is
	kernel  net.Conn
	runs    chan string // what the kernel was asked, gauges aside
	reports chan string // what the roster heard, when it changes
	notice  context.CancelFunc
	served  chan error
	before  int // goroutines
	notices int
	config  *config.Config
	cold    bool // the kernel comes up cold
	*Server
}

func open(change func(c *config.Config)) *town { return openLogged(change, zap.NewNop()) }

func openLogged(change func(c *config.Config), log *zap.Logger) *town {
	t := openHeldLogged(change, log)
	t.linkUp()
	return t
}

// linkUp is link for the first time: the kernel comes up.
func (t *town) linkUp() {
	t.link()
	until("kernel up", t.gate.Booted)
}

// openHeld opens a town whose kernel is not up before link.
func openHeld(change func(c *config.Config)) *town { return openHeldLogged(change, zap.NewNop()) }

func openHeldLogged(change func(c *config.Config), log *zap.Logger) *town {
	return openPrepared(change, log, func(*Server) {})
}

// openPrepared opens a town whose app server is changed before it serves, and whose kernel is not up.
func openPrepared(change func(c *config.Config), log *zap.Logger, prepare func(*Server)) *town {
	t := &town{runs: make(chan string, 100), reports: make(chan string, 100), served: make(chan error, 1),
		before: runtime.NumGoroutine()}
	t.cores = must(net.Listen("tcp", "127.0.0.1:0"))
	roster := t.roster()
	listener := must(net.Listen("tcp", "127.0.0.1:0"))
	t.door, t.at = listener, listener.Addr().String()
	c := &config.Config{Name: "n1", Kernel: netip.MustParseAddrPort(t.cores.Addr().String()), StopTimeout: 1.2,
		Roster: netip.MustParseAddrPort(roster.LocalAddr().String()), Memory: 64 << 20, Sockets: 64,
		Methods: []string{"look", "record"}}
	c.Rules.Methods = []rpc.Method{{Kind: rpc.Idempotent, Target: 30, Deadline: 60, Criticality: 1},
		{Kind: rpc.Tokened, Target: 30, Deadline: 60, Window: 90, Criticality: 3}}
	c.Rules.Machine = rpc.Machine{Callers: 1, Cores: 2, EntryKB: 1, MemoryKB: 4000, RunFactor: 4, KeepAlive: 60,
		Preemption: rpc.FreezeOnStop, Signal: rpc.Allowance}
	c.Rules.Rules = rpc.Rules{OverloadFactor: 5, DrainGrace: 1}
	if change != nil {
		change(c)
	}
	t.config, t.Server = c, New(c, log)
	prepare(t.Server)
	ctx, notice := context.WithCancel(context.Background())
	t.notice = func() {
		notice()
		t.cores.Close()
	}
	go func() {
		t.served <- t.ServeOn(ctx, listener.(*net.TCPListener))
		roster.Close()
	}()
	return t
}

// roster passes on what it hears, when it changes.
func (t *town) roster() net.PacketConn {
	roster := must(net.ListenPacket("udp", "127.0.0.1:0"))
	go func() {
		buf := make([]byte, 100)
		for last := ""; ; {
			n, _, err := roster.ReadFrom(buf)
			if err != nil {
				return
			}
			if said := string(buf[:n]); said != last {
				last = said
				t.reports <- said
			}
		}
	}()
	return roster
}

// link takes the server's link to the kernel, in place of the one before.
func (t *town) link() {
	t.kernel = must(t.cores.Accept())
	go t.work(t.kernel)
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// work is the kernel: it answers what asks for gauges, and leaves runs to the test.
func (t *town) work(link net.Conn) {
	defer link.Close()
	for lines := bufio.NewReader(link); ; {
		line, err := lines.ReadString('\n')
		if err != nil {
			return
		}
		var m struct {
			Action, UID, Lane, Echo string
			Content                 []byte
		}
		json.Unmarshal([]byte(line), &m)
		switch m.Action {
		case "OPEN":
			code := map[bool]string{false: "running", true: "starting"}[t.cold]
			fmt.Fprintf(link, `{"action":"BOOTED","code":"%s","wall_ms":10}`+"\n", code)
		case "SYSINFO":
			fmt.Fprintf(link, `{"action":"INFO","echo":"%s","meters":[]}`+"\n", m.Echo)
		default:
			t.runs <- strings.TrimSpace(fmt.Sprintf("%s %c %s %s", m.Action, m.UID[15], m.Lane, m.Content))
		}
	}
}

// asked prints what the kernel is asked next.
func (t *town) asked() { fmt.Println("kernel:", next(t.runs)) }

func next(from chan string) string {
	select {
	case s := <-from:
		return s
	case <-time.After(patience):
		return "nothing"
	}
}

// reap ends the run of the RPC with this number.
func (t *town) reap(seq int, code, result string) {
	t.notices++
	content, _ := json.Marshal([]byte(result))
	fmt.Fprintf(t.kernel, `{"action":"REAP","pos":%d,"uid":"%016x","code":"%s","wall_ms":9,"content":%s}`+"\n",
		t.notices, seq, code, content)
}

// close gives notice, waits for the end, and tells of goroutines that stay.
func (t *town) close() {
	t.notice()
	select {
	case err := <-t.served:
		fmt.Println("served:", err)
	case <-time.After(patience):
		fmt.Println("serves on")
	}
	for end := time.Now().Add(patience); runtime.NumGoroutine() > t.before; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			fmt.Println("goroutines stay:", runtime.NumGoroutine()-t.before)
			return
		}
	}
}

// router is one connection of a router.
type router struct {
	net.Conn
	in *bufio.Reader
}

func (t *town) dial() *router {
	conn := must(net.Dial("tcp", t.at))
	conn.SetDeadline(time.Now().Add(patience))
	return &router{conn, bufio.NewReader(conn)}
}

func str(s string) string { return string(binary.BigEndian.AppendUint32(nil, uint32(len(s)))) + s }

func (r *router) send(kind byte, name string, seq int, args string) {
	head := "\x80\x01\x00" + string(rune(kind)) + str(name) + string(binary.BigEndian.AppendUint32(nil, uint32(seq)))
	fmt.Fprint(r, str(head+args))
}

func (r *router) execute(seq int, pairs ...string) {
	pairs = append([]string{"op", "look", "call", fmt.Sprintf("%016x", seq), "src", "1", "recv",
		fmt.Sprint(time.Now().UnixMilli()), "ttl", "50000", "heap", "10"}, pairs...)
	args := "\x0d\x00\x01\x0b\x0b" + string(binary.BigEndian.AppendUint32(nil, uint32(len(pairs)/2)))
	for _, s := range pairs {
		args += str(s)
	}
	body := fmt.Sprint("body ", seq)
	if k := slices.Index(pairs, "dedupe"); k > 0 {
		body = "body of " + pairs[k+1] // all tries carry the same
	}
	if k := slices.Index(pairs, "body"); k > 0 {
		body = pairs[k+1] // but for those that are none
	}
	r.send(1, "execute", seq, args+"\x0b\x00\x02"+str(body)+"\x00")
}

func (r *router) interrupt(target int) {
	r.send(4, "interrupt", 99, "\x08\x00\x01"+string(binary.BigEndian.AppendUint32(nil, uint32(target)))+"\x00")
}

// hear prints the next n messages; of a result only what a test can foresee, so no credit.
func (r *router) hear(n int) {
	for range n {
		head := make([]byte, 4)
		_, err := io.ReadFull(r.in, head)
		if err != nil {
			fmt.Println("router: the connection ends")
			return
		}
		b := make([]byte, binary.BigEndian.Uint32(head))
		io.ReadFull(r.in, b)
		kind, size := b[3], binary.BigEndian.Uint32(b[4:])
		name, seq, args := b[8:8+size], binary.BigEndian.Uint32(b[8+size:]), b[12+size:]
		switch {
		case kind == 4 || kind == 3:
			fmt.Printf("router: %s, type %d\n", name, kind)
		case args[2] == 0: // an Answer: its body first, whether it is good last
			body := binary.BigEndian.Uint32(args[6:])
			fmt.Printf("router: %d ok %q good %d\n", seq, args[10:10+body], args[len(args)-3])
		default:
			fmt.Printf("router: %d %s\n", seq, [...]string{1: "pushed back", 2: "aborted"}[args[2]])
		}
	}
}

// The life of some RPCs: answers in any order, a repeat, one that nobody waits for any more, a failed run.
func Example_life() {
	t := open(nil)
	health, r := t.dial(), t.dial()
	health.send(1, "check", 1, "\x02\x00\x01\x00\x00")
	health.hear(1)
	r.execute(1)
	t.asked()
	r.execute(2, "op", "record", "dedupe", "t")
	t.asked()
	t.reap(2, "fine", "two")
	r.hear(1)
	r.execute(3, "op", "record", "dedupe", "t")
	r.hear(1)
	t.reap(1, "fine", "\x00\xff")
	r.hear(1)
	r.execute(4)
	t.asked()
	r.interrupt(4)
	t.asked()
	t.reap(4, "broken_off", "")
	r.execute(5)
	t.asked()
	t.reap(5, "fault", "")
	r.hear(1)
	r.execute(6)
	t.asked()
	t.reap(6, "late", "")
	r.hear(1)
	fmt.Println("roster:", next(t.reports))
	t.close()
	fmt.Println("roster:", next(t.reports))
	// Output:
	// router: 1 ok "" good 1
	// kernel: SCHED 1 look body 1
	// kernel: SCHED 2 record body of t
	// router: 2 ok "two" good 1
	// router: 3 ok "two" good 1
	// router: 1 ok "\x00\xff" good 1
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

// The link breaks and comes back: notices go on counting, and so do runs.
func Example_link() {
	t := open(nil)
	r := t.dial()
	r.execute(1)
	t.asked()
	t.reap(1, "fine", "one")
	r.hear(1)
	t.kernel.Close()
	t.link()
	r.execute(2)
	t.asked()
	t.reap(2, "fine", "two")
	r.hear(1)
	t.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 1 ok "one" good 1
	// kernel: SCHED 2 look body 2
	// router: 2 ok "two" good 1
	// served: <nil>
}

// The link breaks right behind what the kernel was asked: a tokened RPC is not asked for again, as its run may be at its end.
// That end comes, and its RPC is served.
func Example_linkOnce() {
	t := open(nil)
	r := t.dial()
	r.execute(1, "op", "record", "dedupe", "t")
	t.asked()
	t.kernel.Close()
	t.link()
	r.execute(2)
	t.asked()
	t.reap(1, "fine", "one")
	t.reap(2, "fine", "two")
	r.hear(2)
	t.close()
	// Output:
	// kernel: SCHED 1 record body of t
	// kernel: SCHED 2 look body 2
	// router: 1 ok "one" good 1
	// router: 2 ok "two" good 1
	// served: <nil>
}

// What cannot be run is answered and the connection goes on; what cannot be read ends the connection, and no
// other.
func Example_bad() {
	t := open(nil)
	r := t.dial()
	r.execute(1, "op", "sing")
	r.execute(2, "op", "record")
	r.execute(3, "recv", "-17")
	r.execute(4, "ttl", "1e999")
	r.execute(5, "heap", "much")
	r.send(1, "sing", 6, "\x00")
	r.hear(6)
	r.execute(7, "ttl", "-5")
	r.hear(1)
	for _, bad := range []string{"\xff\xff\xff\xff", "\x00\x01\x00\x00", str("\x80\x01\x00\x01" + str("execute")),
		"GET / HTTP/1.1\r\n\r\n"} {
		b := t.dial()
		fmt.Fprint(b, bad)
		b.hear(1)
	}
	twice := t.dial()
	twice.execute(8)
	t.asked()
	twice.execute(8, "op", "sing")
	twice.hear(2)
	t.asked() // nobody waits for it any more
	r.execute(9)
	t.asked()
	t.reap(9, "fine", "nine")
	r.hear(1)
	t.close()
	// Output:
	// router: 1 aborted
	// router: 2 aborted
	// router: 3 aborted
	// router: 4 aborted
	// router: 5 aborted
	// router: sing, type 3
	// router: 7 pushed back
	// router: the connection ends
	// router: the connection ends
	// router: the connection ends
	// router: the connection ends
	// kernel: SCHED 8 look body 8
	// router: 8 aborted
	// router: the connection ends
	// kernel: PREEMPT 8
	// kernel: SCHED 9 look body 9
	// router: 9 ok "nine" good 1
	// served: <nil>
}

// A router that resets: its RPCs are given up, its tokened run goes on and serves the repeat.
func Example_reset() {
	t := open(nil)
	r := t.dial()
	r.execute(1)
	t.asked()
	r.execute(2, "op", "record", "dedupe", "t")
	t.asked()
	r.Conn.(*net.TCPConn).SetLinger(0)
	r.Close()
	t.asked()
	other := t.dial()
	other.execute(3, "op", "record", "dedupe", "t")
	t.reap(2, "fine", "two")
	other.hear(1)
	t.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// kernel: SCHED 2 record body of t
	// kernel: PREEMPT 1
	// router: 3 ok "two" good 1
	// served: <nil>
}

// A drain under load: everything read is answered before the stop, connections are asked to end, and the
// process ends by itself.
func Example_drain() {
	t := open(func(c *config.Config) { c.Rules.Machine.Cores = 1 })
	r, idle := t.dial(), t.dial()
	r.execute(1)
	t.asked()
	r.execute(2)
	r.execute(3, "op", "record", "dedupe", "t")
	r.send(1, "check", 4, "\x00")
	r.hear(1) // so all before it has been read
	began := time.Now()
	t.notice()
	r.hear(4)
	r.Close()
	idle.hear(1)
	idle.Close()
	t.close()
	fmt.Println("before the stop:", time.Since(began) < 1200*time.Millisecond)
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 4 ok "" good 1
	// router: 1 pushed back
	// router: 2 pushed back
	// router: 3 pushed back
	// router: draining, type 4
	// router: draining, type 4
	// served: <nil>
	// before the stop: true
}

// Past what the descriptors allow those idle longest make room; while all are at work the newcomer is turned away
// at once, as behind it others wait to be let in.
func Example_crowded() {
	// Nobody is asked to make room beforehand: while that is being written the connection does not rest.
	t := openPrepared(func(c *config.Config) { c.Sockets = reserve + 2 }, zap.NewNop(), func(s *Server) { s.idle = time.Hour })
	t.linkUp()
	first, second := t.dial(), t.dial()
	for k, r := range []*router{first, second} {
		r.execute(k + 1)
		t.asked()
	}
	t.reap(1, "fine", "one")
	first.hear(1)
	until("rests", func() bool { return slices.ContainsFunc(t.connections(), (*conn).resting) })
	third := t.dial()
	third.execute(3)
	first.hear(1)
	t.asked()
	fourth := t.dial()
	fourth.hear(1)
	for k, r := range []*router{second, third} {
		t.reap(k+2, "fine", "more")
		r.hear(1)
	}
	t.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// kernel: SCHED 2 look body 2
	// router: 1 ok "one" good 1
	// router: the connection ends
	// kernel: SCHED 3 look body 3
	// router: the connection ends
	// router: 2 ok "more" good 1
	// router: 3 ok "more" good 1
	// served: <nil>
}

// Who says nothing, or half of something, is let go in time; what had been read before is answered. The oldest
// silent connection goes before an idle one that was used.
func Example_silent() {
	t := open(func(c *config.Config) { c.Sockets = reserve + 3 })
	r, silent, half := t.dial(), t.dial(), t.dial()
	r.execute(1)
	t.asked()
	t.reap(1, "fine", "one")
	r.hear(1)
	half.execute(2)
	t.asked()
	fmt.Fprint(half, "\x00\x00\x00\x09half")
	time.Sleep(fresh)
	other := t.dial()
	silent.hear(1)
	began := time.Now()
	other.hear(1)
	fmt.Println("in time:", time.Since(began) < 2*time.Second)
	t.reap(2, "fine", "two")
	half.hear(2)
	t.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 1 ok "one" good 1
	// kernel: SCHED 2 look body 2
	// router: the connection ends
	// router: the connection ends
	// in time: true
	// router: 2 ok "two" good 1
	// router: the connection ends
	// served: <nil>
}

// Names and tokens of others, and what nobody can run: each is aborted, and the usual router's RPC goes on. Who
// sends nothing else is let go.
func Example_strangers() {
	t := open(nil)
	r, bad := t.dial(), t.dial()
	r.execute(1)
	t.asked()
	r.execute(2, "op", "record", "dedupe", "t")
	t.asked()
	bad.execute(1)
	bad.hear(1)
	t.reap(2, "fine", "two")
	r.hear(1)
	bad.execute(11, "op", "record", "dedupe", "t", "call", "00000000000000ff", "body", "x")
	bad.hear(1)
	bad.execute(12)
	t.asked()
	fmt.Fprintf(t.kernel, `{"action":"EINVAL","code":"SCHED","uid":"%016x"}`+"\n", 12)
	bad.hear(1)
	for k := range mostOdd - 3 {
		bad.execute(13+k, "crit", "1")
	}
	bad.hear(mostOdd - 3)
	bad.execute(18)
	bad.hear(2)
	t.reap(1, "fine", "one")
	r.hear(1)
	t.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// kernel: SCHED 2 record body of t
	// router: 1 aborted
	// router: 2 ok "two" good 1
	// router: 11 aborted
	// kernel: SCHED c look body 12
	// router: 12 aborted
	// router: 13 aborted
	// router: 14 aborted
	// router: 15 aborted
	// router: 16 aborted
	// router: 17 aborted
	// router: 18 pushed back
	// router: the connection ends
	// router: 1 ok "one" good 1
	// served: <nil>
}

// waits is a connection whose close takes for ever.
type waits struct {
	net.Conn
	end chan bool
}

func (w waits) Close() error {
	<-w.end
	return nil
}

func (w waits) SetReadDeadline(time.Time) error  { return nil }
func (w waits) SetWriteDeadline(time.Time) error { return nil }

// Making room never waits for the one that goes: else one close would keep all newcomers out.
func Example_room() {
	t := open(func(c *config.Config) { c.Sockets = reserve + 1 })
	stuck := waits{end: make(chan bool)}
	t.Server.mu.Lock()
	t.conns[&conn{Server: t.Server, Conn: stuck, known: true, shutDown: make(chan struct{}), gone: make(chan struct{})}] = struct{}{}
	t.Server.mu.Unlock()
	r := t.dial()
	r.execute(1)
	t.asked()
	close(stuck.end)
	t.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// served: <nil>
}

// Past the memory for RPCs whose answer is owed the next are refused, until there is room again.
func Example_memory() {
	t := open(func(c *config.Config) { c.Memory = heldShare * 3 * callSize / 2 })
	r := t.dial()
	r.execute(1)
	t.asked()
	r.execute(2)
	r.hear(1)
	t.reap(1, "fine", "one")
	r.hear(1)
	r.execute(3)
	t.asked()
	t.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 2 pushed back
	// router: 1 ok "one" good 1
	// kernel: SCHED 3 look body 3
	// served: <nil>
}

// A router that sends and never reads holds up nobody else, and its connection ends before it takes much.
func Example_flood() {
	t := open(nil)
	flood, r := t.dial(), t.dial()
	for seq := 1; ; seq++ {
		if _, err := flood.Write([]byte(str("\x80\x01\x00\x01" + str("check") + "\x00\x00\x00\x01\x00"))); err != nil {
			fmt.Println("cut off:", seq > mostOpen && seq < 1e6)
			break
		}
		if seq == mostOpen {
			r.execute(1)
			t.asked()
			t.reap(1, "fine", "one")
			r.hear(1)
		}
	}
	t.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 1 ok "one" good 1
	// cut off: true
	// served: <nil>
}

// A connection with nothing open is asked to end after the idle time, and closed if its router does not.
func Example_idle() {
	t := open(func(c *config.Config) { c.Rules.Machine.KeepAlive = 0.1 })
	r := t.dial()
	r.execute(1)
	t.asked()
	t.reap(1, "fine", "one")
	r.hear(3)
	t.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 1 ok "one" good 1
	// router: draining, type 4
	// router: the connection ends
	// served: <nil>
}

// New addresses under load: a run goes on over the new link, in a drain too; a faulty config changes nothing,
// and one that is not there yet is looked at again. Before, SIGHUP ended the process and what it held was lost.
func Example_reload() {
	t := open(nil)
	r := t.dial()
	r.execute(1)
	t.asked()
	fmt.Println("roster:", next(t.reports))
	hup, looks := make(chan os.Signal, 1), make(chan string, 100)
	var given atomic.Pointer[config.Config]
	live, end := context.WithCancel(context.Background())
	over := make(chan bool)
	go func() {
		t.Reload(live, hup, func() (*config.Config, *config.Settings, error) {
			looks <- "looked"
			if c := given.Load(); c != nil {
				return c, nil, nil
			}
			return nil, nil, &config.KeyError{Key: "kernel", Reason: "half written"}
		})
		close(over)
	}()
	var rosters []net.PacketConn
	move := func() {
		old, roster := t.cores, t.roster()
		rosters = append(rosters, roster)
		t.cores = must(net.Listen("tcp", "127.0.0.1:0"))
		c := *t.config
		c.Name, c.Methods = "n2", []string{"other", "names"} // these stay
		c.Kernel = netip.MustParseAddrPort(t.cores.Addr().String())
		c.Roster = netip.MustParseAddrPort(roster.LocalAddr().String())
		given.Store(&c)
		hup <- syscall.SIGHUP
		t.link()
		old.Close()
		fmt.Println("roster:", next(t.reports))
	}
	hup <- syscall.SIGHUP
	fmt.Println(next(looks), next(looks))
	move()
	t.reap(1, "fine", "one")
	r.hear(1)
	r.execute(2)
	t.asked()
	t.notice()
	fmt.Println("roster:", next(t.reports))
	move()
	t.reap(2, "fine", "two")
	r.hear(1)
	r.Close()
	end()
	<-over
	for _, roster := range rosters {
		roster.Close()
	}
	t.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// roster: HERE n1 on
	// looked looked
	// roster: HERE n1 on
	// router: 1 ok "one" good 1
	// kernel: SCHED 2 look body 2
	// roster: HERE n1 off
	// roster: HERE n1 off
	// router: 2 ok "two" good 1
	// served: <nil>
}

// Embedding: an app server beside others in one process.
func ExampleServer() {
	c, err := config.FromEnv()
	if err != nil {
		panic(err)
	}
	ctx, leave := context.WithCancel(context.Background())
	defer leave() // the notice; Serve then drains
	if err := New(c, zap.NewNop()).Serve(ctx); err != nil {
		panic(err)
	}
}
