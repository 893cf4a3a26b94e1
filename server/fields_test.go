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

// replyPrinter prints replies with all fields that a router evaluates, except the credit.
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
func (replyPrinter) Checked(seq int32, healthy bool, _ float64) {
	fmt.Printf("router: %d checked %v\n", seq, healthy)
}
func (replyPrinter) Draining() { fmt.Println("router: draining") }

// printRepliesWithFields prints the next n replies with their fields.
func (r *routerConn) printRepliesWithFields(n int) {
	for range n {
		header := make([]byte, 4)
		if _, err := io.ReadFull(r.reader, header); err != nil {
			fmt.Println("router: connection closed")
			return
		}
		frame := make([]byte, thrift.Length(header)-len(header))
		io.ReadFull(r.reader, frame)
		if err := thrift.DecodeAnswer(frame, replyPrinter{}); err != nil {
			fmt.Println("router:", err)
		}
	}
}

// RPCs of methods that may call a layer below, which this build does not support, are rejected at once as never run.
// The replies carry the longest retry-after delay that callers observe and say that no other app server can serve the
// RPC either. All other methods run, and each method that is not served is logged at the start.
func Example_methodsCallingBelow() {
	for _, below := range []string{"one_for_all", "tier"} {
		core, logged := observer.New(zap.WarnLevel)
		h := newHarnessWithLogger(func(c *config.Config) {
			c.Rules.Machine.Downstream, c.Rules.Machine.CallsDownstream = below, []bool{true}
			c.Rules.Ceilings.RetryAfter, c.Rules.Ceilings.MaxRetryAfter = below == "tier", 0.75
		}, zap.New(core))
		r := h.dial()
		for seq := 1; seq <= maxUnusableRPCs+1; seq++ {
			r.execute(seq)
		}
		r.printRepliesWithFields(maxUnusableRPCs + 1)
		r.execute(20, "op", "record", "dedupe", "t")
		h.printKernelCommand()
		h.endRun(20, "fine", "twenty")
		r.execute(21, "op", "record", "dedupe", "t")
		r.printRepliesWithFields(2)
		for _, line := range logged.FilterMessage("method not served, as it may call the layer below").All() {
			fmt.Println("log:", line.ContextMap())
		}
		h.close()
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

// An RPC without a ttl has its method's deadline, counted from recv, and is answered by then. It must not be aborted
// as unreadable: the ninth such RPC would then close the connection.
func Example_missingTTL() {
	h := newHarness(func(c *config.Config) { c.Rules.Machine.Cores = 1 })
	r := h.dial()
	for seq := 1; seq <= maxUnusableRPCs+1; seq++ {
		r.executeWithout("ttl", seq)
	}
	for seq := 1; seq <= maxUnusableRPCs+1; seq++ {
		h.printKernelCommand()
		h.endRun(seq, "fine", fmt.Sprint(seq))
	}
	r.printReplies(maxUnusableRPCs + 1)
	deadline := h.config.Rules.Methods[0].Deadline
	r.executeWithout("ttl", 20, "recv", fmt.Sprint(time.Now().Add(-seconds(deadline)).UnixMilli()))
	r.printReplies(1)
	r.executeWithout("ttl", 21, "op", "record", "dedupe", "t")
	h.printKernelCommand()
	h.endRun(21, "fine", "twenty-one")
	r.executeWithout("ttl", 22, "op", "record", "dedupe", "t")
	r.printReplies(2)
	h.close()
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
	// router: 1 ok "1" healthy 1
	// router: 2 ok "2" healthy 1
	// router: 3 ok "3" healthy 1
	// router: 4 ok "4" healthy 1
	// router: 5 ok "5" healthy 1
	// router: 6 ok "6" healthy 1
	// router: 7 ok "7" healthy 1
	// router: 8 ok "8" healthy 1
	// router: 9 ok "9" healthy 1
	// router: 20 pushed back
	// kernel: SCHED 5 record body of t
	// router: 21 ok "twenty-one" healthy 1
	// router: 22 ok "twenty-one" healthy 1
	// served: <nil>
}

// Deadlines and ttls may be hours long. A ttl past the deadline counts as the deadline. A recv that is hours off, as
// after a clock change, is taken as it stands: an old one is rejected for being past its deadline or unread for too
// long, and one in the future counts as now.
func Example_distantTimes() {
	const hour = 3600
	h := newHarness(func(c *config.Config) {
		for k := range c.Rules.Methods {
			m := &c.Rules.Methods[k]
			m.Target, m.Deadline, m.Window = 2*hour, 5*hour, 6*hour
		}
	})
	r := h.dial()
	ago := func(hours float64) string {
		return fmt.Sprint(time.Now().Add(-time.Duration(hours * hour * float64(time.Second))).UnixMilli())
	}
	for seq, fields := range [][]string{
		{"ttl", "18000000"}, {"ttl", "99999999999"}, {"recv", ago(-3)},
		{"ttl", "99999999999", "recv", ago(-24 * 365)},
		{"ttl", "18000000.0", "recv", fmt.Sprintf("%.3e", float64(time.Now().UnixMilli()+1e9))},
	} {
		seq++
		r.execute(seq, fields...)
		h.printKernelCommand()
		h.endRun(seq, "fine", "done")
		r.printReplies(1)
	}
	for seq, fields := range [][]string{
		{"recv", ago(4)}, {"ttl", "18000000", "recv", ago(5.5)}, {"recv", "0"}, {"recv", "17"},
		{"ttl", "99999999999", "recv", "17"}, {"ttl", "-99999999999"},
	} {
		r.execute(seq+10, fields...)
		r.printReplies(1)
	}
	h.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// router: 1 ok "done" healthy 1
	// kernel: SCHED 2 look body 2
	// router: 2 ok "done" healthy 1
	// kernel: SCHED 3 look body 3
	// router: 3 ok "done" healthy 1
	// kernel: SCHED 4 look body 4
	// router: 4 ok "done" healthy 1
	// kernel: SCHED 5 look body 5
	// router: 5 ok "done" healthy 1
	// router: 10 pushed back
	// router: 11 pushed back
	// router: 12 pushed back
	// router: 13 pushed back
	// router: 14 pushed back
	// router: 15 pushed back
	// served: <nil>
}

// Durations of any length neither overflow nor become zero: an idle connection with an unlimited keepalive stays,
// retry-after delays stay positive, and RPCs are answered.
func Example_longDurations() {
	for _, duration := range []float64{-jsonobject.MaxNumber, -1e308, 1e308, math.Inf(1), jsonobject.MaxNumber} {
		fmt.Println(duration, seconds(duration) > 0)
	}
	h := newPreparedHarness(func(c *config.Config) {
		c.Rules.Machine.KeepAlive, c.Rules.Rules.RampTime = jsonobject.MaxNumber, jsonobject.MaxNumber
		c.Rules.Machine.Downstream, c.Rules.Machine.CallsDownstream = "tier", []bool{false, true}
		c.Rules.Ceilings.RetryAfter, c.Rules.Ceilings.MaxRetryAfter = true, jsonobject.MaxNumber
	}, zap.NewNop(), func(s *Server) { s.idleCheckInterval = time.Millisecond })
	h.coldStart = true
	h.bootKernel()
	r := h.dial()
	r.execute(1)
	h.printKernelCommand()
	h.endRun(1, "fine", "one")
	r.printRepliesWithFields(1)
	r.execute(2, "op", "record", "dedupe", "t")
	r.printRepliesWithFields(1)
	fmt.Println("warm in the future:", h.warmAt.Load() > time.Now().UnixNano())
	r.execute(3)
	h.printKernelCommand()
	h.endRun(3, "fine", "three")
	r.printRepliesWithFields(1)
	h.close()
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

// No run is preempted if the configuration does not say whether runs may be.
func Example_noPreemption() {
	h := newHarness(func(c *config.Config) { c.Rules.Machine.Preemption = "" })
	r := h.dial()
	r.execute(1)
	h.printKernelCommand()
	r.interrupt(1)
	r.execute(2)
	h.printKernelCommand() // commands are in order: an unexpected PREEMPT would come before this one
	h.endRun(2, "fine", "two")
	r.printReplies(1)
	h.close()
	// Output:
	// kernel: SCHED 1 look body 1
	// kernel: SCHED 2 look body 2
	// router: 2 ok "two" healthy 1
	// served: <nil>
}

// Occasional RPCs that cannot be run do not end a long-lived connection as long as the kernel recognizes others on it.
// An RPC that only lacks memory is pushed back as never run and does not count against its router, but one that may
// have run is not pushed back.
func Example_invalidRPCsOnLongConnection() {
	h := newHarness(nil)
	r := h.dial()
	counts := map[string]int{}
	for seq := 1; seq <= 6*maxUnusableRPCs; seq += 3 {
		r.execute(seq, "op", "sing")
		r.execute(seq + 1)
		if receive(h.kernelCommands) == "timeout" {
			break // the connection has ended
		}
		fmt.Fprintf(h.kernelConn, `{"action":"EINVAL","code":"SCHED","uid":"%016x"}`+"\n", seq+1)
		r.execute(seq + 2)
		receive(h.kernelCommands)
		h.endRun(seq+2, "fine", "served")
		for range 3 {
			counts[r.readReplyKind()]++
		}
	}
	fmt.Println(counts)
	h.close()

	h = newHarness(func(c *config.Config) { c.Memory = requestMemoryShare * 3 * callSize / 2 })
	r, other := h.dial(), h.dial()
	r.execute(1, "op", "record", "dedupe", "t")
	h.printKernelCommand()
	for seq := 2; seq <= 2*maxUnusableRPCs; seq++ {
		r.execute(seq)
	}
	r.printReplies(2*maxUnusableRPCs - 1)
	other.execute(20, "op", "record", "dedupe", "t")
	other.printReplies(1)
	h.endRun(1, "fine", "one")
	r.printReplies(1)
	other.execute(21, "op", "record", "dedupe", "t")
	other.printReplies(1)
	h.close()
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
	// router: 1 ok "one" healthy 1
	// router: 21 ok "one" healthy 1
	// served: <nil>
}

// readReplyKind returns the kind of the next reply.
func (r *routerConn) readReplyKind() string {
	header := make([]byte, 4)
	if _, err := io.ReadFull(r.reader, header); err != nil {
		return "connection closed"
	}
	frame := make([]byte, thrift.Length(header)-len(header))
	io.ReadFull(r.reader, frame)
	var kind replyKind
	if err := thrift.DecodeAnswer(frame, &kind); err != nil {
		return err.Error()
	}
	return string(kind)
}

// replyKind is the kind of a reply.
type replyKind string

func (n *replyKind) Served(int32, []byte, float64)            { *n = "ok" }
func (n *replyKind) PushedBack(int32, bool, float64, float64) { *n = "pushed back" }
func (n *replyKind) Aborted(int32, string, float64)           { *n = "aborted" }
func (n *replyKind) Checked(int32, bool, float64)             { *n = "checked" }
func (n *replyKind) Draining()                                { *n = "draining" }

// Method names of any bytes reach the kernel unchanged.
func Example_methodNames() {
	names := []string{"a", " ", `"quoted"`, "<&>", "Überweisung 転送",
		"17", "1e3", "\x00\x7f", "\u2028", strings.Repeat("long ", 100)}
	h := newHarness(func(c *config.Config) {
		c.Methods, c.Rules.Methods = names, slices.Repeat(c.Rules.Methods[:1], len(names))
	})
	r := h.dial()
	for k, name := range names {
		seq := k + 1
		r.execute(seq, "op", name)
		fmt.Println(receive(h.kernelCommands) == strings.TrimSpace(fmt.Sprintf("SCHED %x %s body %d", seq, name, seq)))
		h.endRun(seq, "fine", "done")
		r.printReplies(1)
	}
	h.close()
	// Output:
	// true
	// router: 1 ok "done" healthy 1
	// true
	// router: 2 ok "done" healthy 1
	// true
	// router: 3 ok "done" healthy 1
	// true
	// router: 4 ok "done" healthy 1
	// true
	// router: 5 ok "done" healthy 1
	// true
	// router: 6 ok "done" healthy 1
	// true
	// router: 7 ok "done" healthy 1
	// true
	// router: 8 ok "done" healthy 1
	// true
	// router: 9 ok "done" healthy 1
	// true
	// router: 10 ok "done" healthy 1
	// served: <nil>
}

// The client deadline is the earlier of the ttl and the method's deadline, counted from recv, but never from the
// future. It is 0 without a ttl, so that the gate applies the method's deadline, and an hour if there is neither.
func TestClientDeadline(t *testing.T) {
	const now, unset = 1e9, 0.0
	c := &conn{Server: &Server{}}
	c.config.Store(&config.Config{Rules: rpc.Settings{Methods: []rpc.Method{{}, {Deadline: 12}, {Deadline: 7200}}}})
	for _, test := range []struct {
		method          int
		recv, ttl, want float64
	}{
		{0, now, math.Inf(1), now + defaultClientWait}, {0, now, 7200, now + 7200}, {0, now, 0, now},
		{1, now, math.Inf(1), unset}, {1, now - 1, 5, now + 4}, {1, now - 1, 7200, now + 11}, {1, now + 90, 5, now + 5},
		{1, now, -5, now - 5}, {1, 0.017, 0.48, 1}, {2, now, 7000, now + 7000}, {2, now, 1e12, now + 7200},
	} {
		if at := c.clientDeadline(test.method, now, test.recv, test.ttl); at != test.want {
			t.Errorf("%+v: client deadline is %f", test, at)
		}
	}
}

// executeWithout is execute without one of the default fields.
func (r *routerConn) executeWithout(omitted string, seq int, fields ...string) {
	defaults := []string{"op", "look", "call", fmt.Sprintf("%016x", seq), "src", "1", "recv",
		fmt.Sprint(time.Now().UnixMilli()), "ttl", "50000", "heap", "10"}
	if k := slices.Index(defaults, omitted); k >= 0 {
		defaults = slices.Delete(defaults, k, k+2)
	}
	fields = append(defaults, fields...)
	args := "\x0d\x00\x01\x0b\x0b" + string(binary.BigEndian.AppendUint32(nil, uint32(len(fields)/2)))
	for _, s := range fields {
		args += lengthPrefixed(s)
	}
	body := fmt.Sprint("body ", seq)
	if k := slices.Index(fields, "dedupe"); k > 0 {
		body = "body of " + fields[k+1]
	}
	r.send(1, "execute", seq, args+"\x0b\x00\x02"+lengthPrefixed(body)+"\x00")
}
