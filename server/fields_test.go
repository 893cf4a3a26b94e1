package server

import (
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"valveglade/config"
	"valveglade/internal/jsonobject"
	"valveglade/internal/thrift"
	"valveglade/rpc"
)

// replyPrinter prints an answer with all that a router may go by, but for the credit.
type replyPrinter struct{}

func (replyPrinter) Served(seq int32, result []byte, _ float64) {
	fmt.Printf("router: %d ok %q\n", seq, result)
}
func (replyPrinter) PushedBack(seq int32, last bool, after, _ float64) {
	fmt.Printf("router: %d pushed back, last %v, after %gs\n", seq, last, after)
}
func (replyPrinter) Aborted(seq int32, why string, _ float64) {
	fmt.Printf("router: %d aborted%s\n", seq, why)
}
func (replyPrinter) Checked(seq int32, good bool, _ float64) {
	fmt.Printf("router: %d checked %v\n", seq, good)
}
func (replyPrinter) Draining() { fmt.Println("router: draining") }

// printRepliesWithFields prints the next n answers with their fields.
func (r *routerConn) printRepliesWithFields(n int) {
	for range n {
		head := make([]byte, 4)
		if _, err := io.ReadFull(r.reader, head); err != nil {
			fmt.Println("router: the connection ends")
			return
		}
		frame := make([]byte, thrift.Length(head)-len(head))
		io.ReadFull(r.reader, frame)
		if err := thrift.DecodeAnswer(frame, replyPrinter{}); err != nil {
			fmt.Println("router:", err)
		}
	}
}

// Where methods may call a layer below, which this build cannot, their RPCs are refused at once as never run, with the
// longest advice that is observed; no other app server is to be tried, as none can do it either. All others run, and each
// method that is not served is named at the start.
func Example_callsBelow() {
	for _, below := range []string{"one_for_all", "tier"} {
		core, logged := observer.New(zap.WarnLevel)
		t := newHarnessWithLogger(func(c *config.Config) {
			c.Rules.Machine.Below, c.Rules.Machine.Calls = below, []bool{true}
			c.Rules.Ceilings.RetryAfter, c.Rules.Ceilings.MaxRetryAfter = below == "tier", 0.75
		}, zap.New(core))
		r := t.dial()
		for seq := 1; seq <= mostOdd+1; seq++ {
			r.execute(seq)
		}
		r.printRepliesWithFields(mostOdd + 1)
		r.execute(20, "op", "record", "dedupe", "t")
		t.printKernelCommand()
		t.endRun(20, "fine", "twenty")
		r.execute(21, "op", "record", "dedupe", "t")
		r.printRepliesWithFields(2)
		for _, line := range logged.FilterMessage("method not served, as it may call the layer below").All() {
			fmt.Println("log:", line.ContextMap())
		}
		t.close()
	}
	// Output:
	// router: 1 pushed back, last true, after 0s
	// router: 2 pushed back, last true, after 0s
	// router: 3 pushed back, last true, after 0s
	// router: 4 pushed back, last true, after 0s
	// router: 5 pushed back, last true, after 0s
	// router: 6 pushed back, last true, after 0s
	// router: 7 pushed back, last true, after 0s
	// router: 8 pushed back, last true, after 0s
	// router: 9 pushed back, last true, after 0s
	// kernel: SCHED 4 record body of t
	// router: 20 ok "twenty"
	// router: 21 ok "twenty"
	// log: map[below:one_for_all method:look]
	// served: <nil>
	// router: 1 pushed back, last true, after 0.75s
	// router: 2 pushed back, last true, after 0.75s
	// router: 3 pushed back, last true, after 0.75s
	// router: 4 pushed back, last true, after 0.75s
	// router: 5 pushed back, last true, after 0.75s
	// router: 6 pushed back, last true, after 0.75s
	// router: 7 pushed back, last true, after 0.75s
	// router: 8 pushed back, last true, after 0.75s
	// router: 9 pushed back, last true, after 0.75s
	// kernel: SCHED 4 record body of t
	// router: 20 ok "twenty"
	// router: 21 ok "twenty"
	// log: map[below:tier method:look]
	// served: <nil>
}

// An RPC of a router that does not tell how long it waits has the deadline of its method, counted from recv, and is
// answered by then; before the mend each was aborted, and the connection closed over the ninth.
func Example_noTTL() {
	t := newHarness(func(c *config.Config) { c.Rules.Machine.Cores = 1 })
	r := t.dial()
	for seq := 1; seq <= mostOdd+1; seq++ {
		r.executeWithout("ttl", seq)
	}
	for seq := 1; seq <= mostOdd+1; seq++ {
		t.printKernelCommand()
		t.endRun(seq, "fine", fmt.Sprint(seq))
	}
	r.printReplies(mostOdd + 1)
	deadline := t.config.Rules.Methods[0].Deadline
	r.executeWithout("ttl", 20, "recv", fmt.Sprint(time.Now().Add(-seconds(deadline)).UnixMilli()))
	r.printReplies(1)
	r.executeWithout("ttl", 21, "op", "record", "dedupe", "t")
	t.printKernelCommand()
	t.endRun(21, "fine", "twenty-one")
	r.executeWithout("ttl", 22, "op", "record", "dedupe", "t")
	r.printReplies(2)
	t.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// kernel: SCHED 2 look body 2
	// kernel: SCHED 3 look body 3
	// kernel: SCHED 4 look body 4
	// kernel: SCHED 5 look body 5
	// kernel: SCHED 6 look body 6
	// kernel: SCHED 7 look body 7
	// kernel: SCHED 8 look body 8
	// kernel: SCHED 9 look body 9
	// router: 1 ok "1" good 1
	// router: 2 ok "2" good 1
	// router: 3 ok "3" good 1
	// router: 4 ok "4" good 1
	// router: 5 ok "5" good 1
	// router: 6 ok "6" good 1
	// router: 7 ok "7" good 1
	// router: 8 ok "8" good 1
	// router: 9 ok "9" good 1
	// router: 20 pushed back
	// kernel: SCHED 5 record body of t
	// router: 21 ok "twenty-one" good 1
	// router: 22 ok "twenty-one" good 1
	// served: <nil>
}

// Deadlines, and waits that routers tell, may be hours. A wait past the deadline counts as the deadline. A recv that is hours
// off, as after a clock has been set, is read as it stands: what is old is refused, past the deadline or as it lay unread for
// long, and what seems to come from the future has just come.
func Example_farOff() {
	const hour = 3600
	t := newHarness(func(c *config.Config) {
		for k := range c.Rules.Methods {
			m := &c.Rules.Methods[k]
			m.Target, m.Deadline, m.Window = 2*hour, 5*hour, 6*hour
		}
	})
	r := t.dial()
	ago := func(hours float64) string {
		return fmt.Sprint(time.Now().Add(-time.Duration(hours * hour * float64(time.Second))).UnixMilli())
	}
	for seq, pairs := range [][]string{
		{"ttl", "18000000"}, {"ttl", "99999999999"}, {"recv", ago(-3)},
		{"ttl", "99999999999", "recv", ago(-24 * 365)}, {"ttl", "18000000.0", "recv", fmt.Sprintf("%.3e", float64(time.Now().UnixMilli()+1e9))},
	} {
		seq++
		r.execute(seq, pairs...)
		t.printKernelCommand()
		t.endRun(seq, "fine", "done")
		r.printReplies(1)
	}
	for seq, pairs := range [][]string{{"recv", ago(4)}, {"ttl", "18000000", "recv", ago(5.5)}, {"recv", "0"}, {"recv", "17"},
		{"ttl", "99999999999", "recv", "17"}, {"ttl", "-99999999999"}} {
		r.execute(seq+10, pairs...)
		r.printReplies(1)
	}
	t.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 1 ok "done" good 1
	// kernel: SCHED 2 look body 2
	// router: 2 ok "done" good 1
	// kernel: SCHED 3 look body 3
	// router: 3 ok "done" good 1
	// kernel: SCHED 4 look body 4
	// router: 4 ok "done" good 1
	// kernel: SCHED 5 look body 5
	// router: 5 ok "done" good 1
	// router: 10 pushed back
	// router: 11 pushed back
	// router: 12 pushed back
	// router: 13 pushed back
	// router: 14 pushed back
	// router: 15 pushed back
	// served: <nil>
}

// Spans of any length neither overflow nor come to nothing: an idle connection of a deployment that keeps them for ever stays,
// advice stays positive, and health checks are answered.
func Example_longSpans() {
	for _, span := range []float64{-jsonobject.Largest, -1e308, 1e308, math.Inf(1), jsonobject.Largest} {
		fmt.Println(span, seconds(span) > 0)
	}
	t := newPreparedHarness(func(c *config.Config) {
		c.Rules.Machine.KeepAlive, c.Rules.Rules.WarmIn = jsonobject.Largest, jsonobject.Largest
		c.Rules.Machine.Below, c.Rules.Machine.Calls = "tier", []bool{false, true}
		c.Rules.Ceilings.RetryAfter, c.Rules.Ceilings.MaxRetryAfter = true, jsonobject.Largest
	}, zap.NewNop(), func(s *Server) { s.idle = time.Millisecond })
	t.coldStart = true
	t.bootKernel()
	r := t.dial()
	r.execute(1)
	t.printKernelCommand()
	t.endRun(1, "fine", "one")
	r.printRepliesWithFields(1)
	r.execute(2, "op", "record", "dedupe", "t")
	r.printRepliesWithFields(1)
	fmt.Println("warm in the future:", t.warmAt.Load() > time.Now().UnixNano())
	r.execute(3)
	t.printKernelCommand()
	t.endRun(3, "fine", "three")
	r.printRepliesWithFields(1)
	t.close()
	// Output:
	// -1e+15 false
	// -1e+308 false
	// 1e+308 true
	// +Inf true
	// 1e+15 true
	// kernel: SCHED 1 look body 1
	// router: 1 ok "one"
	// router: 2 pushed back, last true, after 1e+15s
	// warm in the future: true
	// kernel: SCHED 3 look body 3
	// router: 3 ok "three"
	// served: <nil>
}

// A site that does not say whether runs may be stopped may not allow it: none is.
func Example_noPreemption() {
	t := newHarness(func(c *config.Config) { c.Rules.Machine.Preemption = "" })
	r := t.dial()
	r.execute(1)
	t.printKernelCommand()
	r.interrupt(1)
	r.execute(2)
	t.printKernelCommand() // commands come in the order of what they are for
	t.endRun(2, "fine", "two")
	r.printReplies(1)
	t.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// kernel: SCHED 2 look body 2
	// router: 2 ok "two" good 1
	// served: <nil>
}

// A usual router's connection lives long: now and then an RPC that cannot be run does not end it, as long as the kernel takes
// others on it for genuine. What only lacks memory is refused as never run, and says nothing about its router; but what may have
// run is not refused.
func Example_longLived() {
	t := newHarness(nil)
	r := t.dial()
	counts := map[string]int{}
	for seq := 1; seq <= 6*mostOdd; seq += 3 {
		r.execute(seq, "op", "sing")
		r.execute(seq + 1)
		if receive(t.kernelCommands) == "nothing" {
			break // the connection has ended
		}
		fmt.Fprintf(t.kernelConn, `{"action":"EINVAL","code":"SCHED","uid":"%016x"}`+"\n", seq+1)
		r.execute(seq + 2)
		receive(t.kernelCommands)
		t.endRun(seq+2, "fine", "served")
		for range 3 {
			counts[r.readReplyKind()]++
		}
	}
	fmt.Println(counts)
	t.close()

	t = newHarness(func(c *config.Config) { c.Memory = heldShare * 3 * callSize / 2 })
	r, other := t.dial(), t.dial()
	r.execute(1, "op", "record", "dedupe", "t")
	t.printKernelCommand()
	for seq := 2; seq <= 2*mostOdd; seq++ {
		r.execute(seq)
	}
	r.printReplies(2*mostOdd - 1)
	other.execute(20, "op", "record", "dedupe", "t")
	other.printReplies(1)
	t.endRun(1, "fine", "one")
	r.printReplies(1)
	other.execute(21, "op", "record", "dedupe", "t")
	other.printReplies(1)
	t.close()
	// Output:
	// map[aborted:32 ok:16]
	// served: <nil>
	// kernel: SCHED 1 record body of t
	// router: 2 pushed back
	// router: 3 pushed back
	// router: 4 pushed back
	// router: 5 pushed back
	// router: 6 pushed back
	// router: 7 pushed back
	// router: 8 pushed back
	// router: 9 pushed back
	// router: 10 pushed back
	// router: 11 pushed back
	// router: 12 pushed back
	// router: 13 pushed back
	// router: 14 pushed back
	// router: 15 pushed back
	// router: 16 pushed back
	// router: 20 aborted
	// router: 1 ok "one" good 1
	// router: 21 ok "one" good 1
	// served: <nil>
}

// readReplyKind names the readReplyKind answer.
func (r *routerConn) readReplyKind() string {
	head := make([]byte, 4)
	if _, err := io.ReadFull(r.reader, head); err != nil {
		return "the connection ends"
	}
	frame := make([]byte, thrift.Length(head)-len(head))
	io.ReadFull(r.reader, frame)
	var name replyKind
	if err := thrift.DecodeAnswer(frame, &name); err != nil {
		return err.Error()
	}
	return string(name)
}

// replyKind is the kind of an answer.
type replyKind string

func (n *replyKind) Served(int32, []byte, float64)            { *n = "ok" }
func (n *replyKind) PushedBack(int32, bool, float64, float64) { *n = "pushed back" }
func (n *replyKind) Aborted(int32, string, float64)           { *n = "aborted" }
func (n *replyKind) Checked(int32, bool, float64)             { *n = "checked" }
func (n *replyKind) Draining()                                { *n = "draining" }

// Names of methods of any bytes reach the kernel as they came.
func Example_methodNames() {
	names := []string{"a", " ", `"quoted"`, "<&>", "Überweisung 転送", "17", "1e3", "\x00\x7f", "\u2028", strings.Repeat("long ", 100)}
	t := newHarness(func(c *config.Config) {
		c.Methods, c.Rules.Methods = names, slices.Repeat(c.Rules.Methods[:1], len(names))
	})
	r := t.dial()
	for k, name := range names {
		seq := k + 1
		r.execute(seq, "op", name)
		fmt.Println(receive(t.kernelCommands) == strings.TrimSpace(fmt.Sprintf("SCHED %x %s body %d", seq, name, seq)))
		t.endRun(seq, "fine", "done")
		r.printReplies(1)
	}
	t.close()
	// Output:
	// true
	// router: 1 ok "done" good 1
	// true
	// router: 2 ok "done" good 1
	// true
	// router: 3 ok "done" good 1
	// true
	// router: 4 ok "done" good 1
	// true
	// router: 5 ok "done" good 1
	// true
	// router: 6 ok "done" good 1
	// true
	// router: 7 ok "done" good 1
	// true
	// router: 8 ok "done" good 1
	// true
	// router: 9 ok "done" good 1
	// true
	// router: 10 ok "done" good 1
	// served: <nil>
}

// When a client gives up: the shorter of what its router tells and of the method's deadline, from recv but never from the future;
// 0, for the module to go by the deadline, where the router does not tell; an hour where nobody does.
func TestGivenUpAt(t *testing.T) {
	const now, untold = 1e9, 0.0
	c := &conn{Server: &Server{}}
	c.config.Store(&config.Config{Rules: rpc.Settings{Methods: []rpc.Method{{}, {Deadline: 12}, {Deadline: 7200}}}})
	for _, one := range []struct {
		method          int
		recv, ttl, want float64
	}{
		{0, now, math.Inf(1), now + unknownWait}, {0, now, 7200, now + 7200}, {0, now, 0, now},
		{1, now, math.Inf(1), untold}, {1, now - 1, 5, now + 4}, {1, now - 1, 7200, now + 11}, {1, now + 90, 5, now + 5},
		{1, now, -5, now - 5}, {1, 0.017, 0.48, 1}, {2, now, 7000, now + 7000}, {2, now, 1e12, now + 7200},
	} {
		if at := c.givenUpAt(one.method, now, one.recv, one.ttl); at != one.want {
			t.Errorf("%+v: %f", one, at)
		}
	}
}

// executeWithout is execute without one of the usual fields.
func (r *routerConn) executeWithout(left string, seq int, pairs ...string) {
	usual := []string{"op", "look", "call", fmt.Sprintf("%016x", seq), "src", "1", "recv",
		fmt.Sprint(time.Now().UnixMilli()), "ttl", "50000", "heap", "10"}
	if k := slices.Index(usual, left); k >= 0 {
		usual = slices.Delete(usual, k, k+2)
	}
	pairs = append(usual, pairs...)
	args := "\x0d\x00\x01\x0b\x0b" + string(binary.BigEndian.AppendUint32(nil, uint32(len(pairs)/2)))
	for _, s := range pairs {
		args += lengthPrefixed(s)
	}
	body := fmt.Sprint("body ", seq)
	if k := slices.Index(pairs, "dedupe"); k > 0 {
		body = "body of " + pairs[k+1]
	}
	r.send(1, "execute", seq, args+"\x0b\x00\x02"+lengthPrefixed(body)+"\x00")
}
