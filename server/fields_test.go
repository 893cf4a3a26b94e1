package server

import (
	"encoding/binary"
	"fmt"
	"io"
	"slices"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"valveglade/config"
	"valveglade/internal/thrift"
)

// printedAnswer prints an answer with all that a router may go by, but for the credit.
type printedAnswer struct{}

func (printedAnswer) Served(seq int32, result []byte, _ float64) {
	fmt.Printf("router: %d ok %q\n", seq, result)
}
func (printedAnswer) PushedBack(seq int32, last bool, after, _ float64) {
	fmt.Printf("router: %d pushed back, last %v, after %gs\n", seq, last, after)
}
func (printedAnswer) Aborted(seq int32, why string, _ float64) {
	fmt.Printf("router: %d aborted%s\n", seq, why)
}
func (printedAnswer) Checked(seq int32, good bool, _ float64) {
	fmt.Printf("router: %d checked %v\n", seq, good)
}
func (printedAnswer) Draining() { fmt.Println("router: draining") }

// hearAll prints the next n answers with their fields.
func (r *router) hearAll(n int) {
	for range n {
		head := make([]byte, 4)
		if _, err := io.ReadFull(r.in, head); err != nil {
			fmt.Println("router: the connection ends")
			return
		}
		frame := make([]byte, thrift.Length(head)-len(head))
		io.ReadFull(r.in, frame)
		if err := thrift.DecodeAnswer(frame, printedAnswer{}); err != nil {
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
		t := openLogged(func(c *config.Config) {
			c.Rules.Machine.Below, c.Rules.Machine.Calls = below, []bool{true}
			c.Rules.Ceilings.RetryAfter, c.Rules.Ceilings.MaxRetryAfter = below == "tier", 0.75
		}, zap.New(core))
		r := t.dial()
		for seq := 1; seq <= mostOdd+1; seq++ {
			r.execute(seq)
		}
		r.hearAll(mostOdd + 1)
		r.execute(20, "op", "record", "dedupe", "t")
		t.asked()
		t.reap(20, "fine", "twenty")
		r.execute(21, "op", "record", "dedupe", "t")
		r.hearAll(2)
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
	t := open(func(c *config.Config) { c.Rules.Machine.Cores = 1 })
	r := t.dial()
	for seq := 1; seq <= mostOdd+1; seq++ {
		r.executeWithout("ttl", seq)
	}
	for seq := 1; seq <= mostOdd+1; seq++ {
		t.asked()
		t.reap(seq, "fine", fmt.Sprint(seq))
	}
	r.hear(mostOdd + 1)
	deadline := t.config.Rules.Methods[0].Deadline
	r.executeWithout("ttl", 20, "recv", fmt.Sprint(time.Now().Add(-seconds(deadline)).UnixMilli()))
	r.hear(1)
	r.executeWithout("ttl", 21, "op", "record", "dedupe", "t")
	t.asked()
	t.reap(21, "fine", "twenty-one")
	r.executeWithout("ttl", 22, "op", "record", "dedupe", "t")
	r.hear(2)
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

// executeWithout is execute without one of the usual fields.
func (r *router) executeWithout(left string, seq int, pairs ...string) {
	usual := []string{"op", "look", "call", fmt.Sprintf("%016x", seq), "src", "1", "recv",
		fmt.Sprint(time.Now().UnixMilli()), "ttl", "50000", "heap", "10"}
	if k := slices.Index(usual, left); k >= 0 {
		usual = slices.Delete(usual, k, k+2)
	}
	pairs = append(usual, pairs...)
	args := "\x0d\x00\x01\x0b\x0b" + string(binary.BigEndian.AppendUint32(nil, uint32(len(pairs)/2)))
	for _, s := range pairs {
		args += str(s)
	}
	body := fmt.Sprint("body ", seq)
	if k := slices.Index(pairs, "dedupe"); k > 0 {
		body = "body of " + pairs[k+1]
	}
	r.send(1, "execute", seq, args+"\x0b\x00\x02"+str(body)+"\x00")
}
