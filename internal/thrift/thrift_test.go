package thrift

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strings"
	"testing"
)

// heard prints what a frame told.
type heard struct{}

func (heard) Execute(seq int32, op, call []byte, src int, recv, ttl, heap float64, again bool, dedupe, body []byte) {
	fmt.Printf("execute %d %s %s from %d at %.3f for %.3f, %g KB, again %v, token %q, body %q\n", seq, op, call, src,
		recv, ttl, heap, again, dedupe, body)
}
func (heard) Unreadable(seq int32, why string) { fmt.Println("unreadable", seq, why) }
func (heard) Interrupt(target int32)           { fmt.Println("interrupt", target) }
func (heard) Check(seq int32)                  { fmt.Println("check", seq) }
func (heard) Unknown(seq int32, method string) { fmt.Println("unknown", seq, method) }

// message is a message without its frame, its arguments given as they are.
func message(kind byte, name string, seq int32, args ...byte) []byte {
	b, _ := open(nil, kind, name, seq)
	return append(b[4:], args...)
}

// arguments of execute: a body, and fields by pairs.
func arguments(body string, pairs ...string) []byte {
	b := loaded(field(nil, typeMap, 1), pairs, -1)
	return append(text(field(b, typeString, 2), body), 0)
}

func decode(b []byte) {
	if err := Decode(b, heard{}); err != nil {
		fmt.Println(err)
	}
}

var good = []string{"op", "checkout", "call", "9b1f03aa5c7e2d41", "src", "4", "recv", "1764576000123", "ttl", "480",
	"heap", "24.5"}

func Example_messages() {
	decode(message(msgCall, "execute", 7, arguments("\x00\xff", append(good, "dedupe", "5c", "crit", "0.5")...)...))
	decode(message(msgOneway, "interrupt", 8, append(field(nil, typeI32, 1), 0, 0, 0, 7, 0)...))
	decode(message(msgCall, "check", 9, append(field(nil, typeBool, 1), 1, 0)...))
	decode(message(msgCall, "ping", 10, 0))
	// Output:
	// execute 7 checkout 9b1f03aa5c7e2d41 from 4 at 1764576000.123 for 0.480, 24.5 KB, again false, token "5c", body "\x00\xff"
	// interrupt 7
	// check 9
	// unknown 10 ping
}

// What is missing or makes no sense is named, and nothing is run.
func Example_unreadable() {
	for k := 0; k < len(good); k += 2 {
		if good[k] == "ttl" {
			continue // see Example_noTTL
		}
		decode(message(msgCall, "execute", 1, arguments("", append(good[:k:k], good[k+2:]...)...)...))
	}
	for _, bad := range [][2]string{{"call", "xyz"}, {"src", "-1"}, {"recv", "NaN"}, {"ttl", "1e999"}, {"heap", "2000"},
		{"dedupe", strings.Repeat("t", 129)}} {
		decode(message(msgCall, "execute", 1, arguments("", append(good[:len(good):len(good)], bad[:]...)...)...))
	}
	decode(message(msgCall, "execute", 1, arguments(strings.Repeat("b", MaxBody+1), good...)...))
	// Output:
	// unreadable 1 op
	// unreadable 1 call
	// unreadable 1 src
	// unreadable 1 recv
	// unreadable 1 heap
	// unreadable 1 call
	// unreadable 1 src
	// unreadable 1 recv
	// unreadable 1 ttl
	// unreadable 1 heap
	// unreadable 1 dedupe
	// unreadable 1 body
}

// A router that does not tell how long it waits sends no ttl: the RPC is one as any other.
func Example_noTTL() {
	k := slices.Index(good, "ttl")
	decode(message(msgCall, "execute", 1, arguments("b", append(good[:k:k], good[k+2:]...)...)...))
	// Output:
	// execute 1 checkout 9b1f03aa5c7e2d41 from 4 at 1764576000.123 for +Inf, 24.5 KB, again false, token "", body "b"
}

// The mark of a further try comes under the name that the platform's list has, or under that of earlier builds.
func Example_furtherTry() {
	for _, mark := range [][2]string{{"rep", "1"}, {"rep", "true"}, {"rep", "2"}, {"again", "1"}, {"rep", "0"}, {"rep", "false"}, {"rep", ""}} {
		decode(message(msgCall, "execute", 1, arguments("b", append(good[:len(good):len(good)], mark[:]...)...)...))
	}
	// Output:
	// execute 1 checkout 9b1f03aa5c7e2d41 from 4 at 1764576000.123 for 0.480, 24.5 KB, again true, token "", body "b"
	// execute 1 checkout 9b1f03aa5c7e2d41 from 4 at 1764576000.123 for 0.480, 24.5 KB, again true, token "", body "b"
	// execute 1 checkout 9b1f03aa5c7e2d41 from 4 at 1764576000.123 for 0.480, 24.5 KB, again true, token "", body "b"
	// execute 1 checkout 9b1f03aa5c7e2d41 from 4 at 1764576000.123 for 0.480, 24.5 KB, again true, token "", body "b"
	// execute 1 checkout 9b1f03aa5c7e2d41 from 4 at 1764576000.123 for 0.480, 24.5 KB, again false, token "", body "b"
	// execute 1 checkout 9b1f03aa5c7e2d41 from 4 at 1764576000.123 for 0.480, 24.5 KB, again false, token "", body "b"
	// execute 1 checkout 9b1f03aa5c7e2d41 from 4 at 1764576000.123 for 0.480, 24.5 KB, again false, token "", body "b"
}

// Figures in any form that says the same, up to the bounds of the page, are read; all others are not, empty ones among them.
func Example_figures() {
	for _, field := range [][2]string{{"recv", "1764576000123.0"}, {"recv", "1.764576000123e12"}, {"recv", "0"}, {"recv", "1e12"},
		{"recv", "253402300799999"}, {"ttl", "4.8e2"}, {"ttl", "0"}, {"ttl", "-5"}, {"ttl", "36000000"}, {"ttl", "1e9"},
		{"heap", "0.001"}, {"heap", "1999.99"}, {"src", "4.0"}, {"src", "0"}, {"src", "2147483647"}, {"crit", "0"}, {"crit", "0.999"}} {
		decode(message(msgCall, "execute", 1, arguments("b", append(good[:len(good):len(good)], field[:]...)...)...))
	}
	for _, field := range [][2]string{{"recv", "-1"}, {"recv", "1e300"}, {"recv", "inf"}, {"recv", ""}, {"recv", "0x1p40"},
		{"ttl", ""}, {"ttl", "nan"}, {"ttl", "soon"}, {"ttl", "0x10"}, {"heap", "0"}, {"heap", "-1"}, {"heap", "2000"}, {"heap", "1_0"}, {"heap", "Infinity"},
		{"src", "4.5"}, {"src", "2147483648"}, {"src", ""}, {"crit", ""}, {"crit", "1"}, {"crit", "-0.1"}, {"crit", "NaN"},
		{"call", ""}, {"call", "9b1f03aa5c7e2d4"}, {"call", "9b1f03aa5c7e2d4g"}, {"op", ""}} {
		decode(message(msgCall, "execute", 1, arguments("b", append(good[:len(good):len(good)], field[:]...)...)...))
	}
	// Output:
	// execute 1 checkout 9b1f03aa5c7e2d41 from 4 at 1764576000.123 for 0.480, 24.5 KB, again false, token "", body "b"
	// execute 1 checkout 9b1f03aa5c7e2d41 from 4 at 1764576000.123 for 0.480, 24.5 KB, again false, token "", body "b"
	// execute 1 checkout 9b1f03aa5c7e2d41 from 4 at 0.000 for 0.480, 24.5 KB, again false, token "", body "b"
	// execute 1 checkout 9b1f03aa5c7e2d41 from 4 at 1000000000.000 for 0.480, 24.5 KB, again false, token "", body "b"
	// execute 1 checkout 9b1f03aa5c7e2d41 from 4 at 253402300799.999 for 0.480, 24.5 KB, again false, token "", body "b"
	// execute 1 checkout 9b1f03aa5c7e2d41 from 4 at 1764576000.123 for 0.480, 24.5 KB, again false, token "", body "b"
	// execute 1 checkout 9b1f03aa5c7e2d41 from 4 at 1764576000.123 for 0.000, 24.5 KB, again false, token "", body "b"
	// execute 1 checkout 9b1f03aa5c7e2d41 from 4 at 1764576000.123 for -0.005, 24.5 KB, again false, token "", body "b"
	// execute 1 checkout 9b1f03aa5c7e2d41 from 4 at 1764576000.123 for 36000.000, 24.5 KB, again false, token "", body "b"
	// execute 1 checkout 9b1f03aa5c7e2d41 from 4 at 1764576000.123 for 1000000.000, 24.5 KB, again false, token "", body "b"
	// execute 1 checkout 9b1f03aa5c7e2d41 from 4 at 1764576000.123 for 0.480, 0.001 KB, again false, token "", body "b"
	// execute 1 checkout 9b1f03aa5c7e2d41 from 4 at 1764576000.123 for 0.480, 1999.99 KB, again false, token "", body "b"
	// execute 1 checkout 9b1f03aa5c7e2d41 from 4 at 1764576000.123 for 0.480, 24.5 KB, again false, token "", body "b"
	// execute 1 checkout 9b1f03aa5c7e2d41 from 0 at 1764576000.123 for 0.480, 24.5 KB, again false, token "", body "b"
	// execute 1 checkout 9b1f03aa5c7e2d41 from 2147483647 at 1764576000.123 for 0.480, 24.5 KB, again false, token "", body "b"
	// execute 1 checkout 9b1f03aa5c7e2d41 from 4 at 1764576000.123 for 0.480, 24.5 KB, again false, token "", body "b"
	// execute 1 checkout 9b1f03aa5c7e2d41 from 4 at 1764576000.123 for 0.480, 24.5 KB, again false, token "", body "b"
	// unreadable 1 recv
	// unreadable 1 recv
	// unreadable 1 recv
	// unreadable 1 recv
	// unreadable 1 recv
	// unreadable 1 ttl
	// unreadable 1 ttl
	// unreadable 1 ttl
	// unreadable 1 ttl
	// unreadable 1 heap
	// unreadable 1 heap
	// unreadable 1 heap
	// unreadable 1 heap
	// unreadable 1 heap
	// unreadable 1 src
	// unreadable 1 src
	// unreadable 1 src
	// unreadable 1 crit
	// unreadable 1 crit
	// unreadable 1 crit
	// unreadable 1 crit
	// unreadable 1 call
	// unreadable 1 call
	// unreadable 1 call
	// unreadable 1 op
}

// Fields that are not known are passed over, whatever they hold.
func Example_passedOver() {
	odd := field(nil, typeStruct, 9)
	odd = append(field(odd, typeList, 1), typeMap, 0, 0, 0, 1, 6, 4, 0, 0, 0, 1)
	odd = append(odd, make([]byte, 10)...)
	odd = append(field(odd, 10, 2), make([]byte, 8)...)
	odd = append(odd, 0)
	decode(message(msgCall, "execute", 1, append(odd, arguments("b", good...)...)...))
	// Output:
	// execute 1 checkout 9b1f03aa5c7e2d41 from 4 at 1764576000.123 for 0.480, 24.5 KB, again false, token "", body "b"
}

// After these nothing on the connection can be trusted.
func Example_badFrames() {
	for _, size := range []uint32{0, 3, MaxFrame + 1, 1 << 31, 1<<32 - 1} {
		_, _, err := Frame(binary.BigEndian.AppendUint32(nil, size))
		fmt.Println(err)
	}
	frame, size, err := Frame([]byte{0, 0, 0, 5, 1, 2})
	fmt.Println(frame, size, err)
	whole := message(msgCall, "execute", 1, arguments("b", good...)...)
	decode(whole[:len(whole)-1])
	decode(whole[:30])
	decode(append([]byte{0, 1, 0, 1}, whole[4:]...))
	decode(message(msgReply, "execute", 1, 0))
	decode(message(msgCall, "execute", 1, append(field(nil, 99, 3), 0)...))
	deep := field(nil, typeStruct, 3)
	for range 40 {
		deep = field(deep, typeStruct, 1)
	}
	decode(message(msgCall, "execute", 1, deep...))
	decode(message(msgCall, "execute", 1, append(field(nil, typeMap, 1), 11, 11, 0xff, 0xff, 0xff, 0xff, 0)...))
	decode(message(msgCall, "execute", 1, append(field(nil, typeList, 5), 8, 0xff, 0xff, 0xff, 0xff, 0)...))
	decode(message(msgCall, "execute", 1, append(field(nil, typeString, 2), 0x7f, 0xff, 0xff, 0xff, 0)...))
	// Output:
	// thrift: a frame of 0 bytes
	// thrift: a frame of 3 bytes
	// thrift: a frame of 32769 bytes
	// thrift: a frame of -2147483648 bytes
	// thrift: a frame of -1 bytes
	// [] 0 <nil>
	// thrift: the frame ends inside a message
	// thrift: the frame ends inside a message
	// thrift: version 0x10001
	// thrift: message type 2
	// thrift: value type 99
	// thrift: nested too deep
	// thrift: the frame ends inside a message
	// thrift: the frame ends inside a message
	// thrift: the frame ends inside a message
}

// The bytes of each kind of answer, the frame's size first.
func Example_answers() {
	for _, b := range [][]byte{Served(nil, 1, []byte("r"), 3), PushedBack(nil, 2, true, 0.0204, -1),
		Aborted(nil, 3, 0), Checked(nil, 4, true, 1.5), Unknown(nil, 5, "ping"), Draining(nil)} {
		fmt.Printf("%q\n", b)
	}
	// Output:
	// "\x00\x00\x00:\x80\x01\x00\x02\x00\x00\x00\aexecute\x00\x00\x00\x01\f\x00\x00\v\x00\x01\x00\x00\x00\x01r\r\x00\x02\v\v\x00\x00\x00\x01\x00\x00\x00\x04load\x00\x00\x00\x013\x02\x00\x03\x01\x00\x00"
	// "\x00\x00\x00@\x80\x01\x00\x02\x00\x00\x00\aexecute\x00\x00\x00\x02\f\x00\x01\r\x00\x01\v\v\x00\x00\x00\x02\x00\x00\x00\bpushback\x00\x00\x00\x0221\x00\x00\x00\x04stop\x00\x00\x00\x011\x00\x00"
	// "\x00\x00\x00.\x80\x01\x00\x02\x00\x00\x00\aexecute\x00\x00\x00\x03\f\x00\x02\r\x00\x01\v\v\x00\x00\x00\x01\x00\x00\x00\x04load\x00\x00\x00\x010\x00\x00"
	// "\x00\x00\x009\x80\x01\x00\x02\x00\x00\x00\x05check\x00\x00\x00\x04\f\x00\x00\v\x00\x01\x00\x00\x00\x00\r\x00\x02\v\v\x00\x00\x00\x01\x00\x00\x00\x04load\x00\x00\x00\x031.5\x02\x00\x03\x01\x00\x00"
	// "\x00\x00\x00-\x80\x01\x00\x03\x00\x00\x00\x04ping\x00\x00\x00\x05\v\x00\x01\x00\x00\x00\x0eunknown method\b\x00\x02\x00\x00\x00\x01\x00"
	// "\x00\x00\x00\x15\x80\x01\x00\x04\x00\x00\x00\bdraining\x00\x00\x00\x00\x00"
}

func FuzzDecode(f *testing.F) {
	f.Add(message(msgCall, "execute", 7, arguments("b", good...)...))
	f.Add(message(msgOneway, "interrupt", 8, append(field(nil, typeI32, 1), 0, 0, 0, 7, 0)...))
	f.Add(message(msgCall, "check", 9, append(field(nil, typeBool, 1), 1, 0)...))
	f.Add(append(field(message(msgCall, "execute", 1), typeList, 5), typeMap, 0, 0, 0, 1, 6, 4, 0, 0, 0, 1))
	f.Fuzz(func(t *testing.T, b []byte) {
		Frame(b)
		told := &once{}
		if err := Decode(b, told); err != nil && told.n > 0 || told.n > 1 {
			t.Errorf("told %d times, then %v", told.n, err)
		}
	})
}

// once counts what a frame told.
type once struct{ n int }

func (o *once) Execute(seq int32, op, call []byte, src int, recv, ttl, heap float64, again bool, dedupe, body []byte) {
	o.n++
	if len(body) > MaxBody || heap <= 0 || len(call) != 16 {
		panic("let through")
	}
}
func (o *once) Unreadable(int32, string) { o.n++ }
func (o *once) Interrupt(int32)          { o.n++ }
func (o *once) Check(int32)              { o.n++ }
func (o *once) Unknown(int32, string)    { o.n++ }

// told prints what an app server's frame told.
type told struct{}

func (told) Served(seq int32, result []byte, load float64) {
	fmt.Printf("%d ok %q, credit %g\n", seq, result, load)
}
func (told) PushedBack(seq int32, last bool, after, load float64) {
	fmt.Printf("%d pushed back, last %v, after %g, credit %g\n", seq, last, after, load)
}
func (told) Aborted(seq int32, why string, load float64) {
	fmt.Printf("%d aborted %q, credit %g\n", seq, why, load)
}
func (told) Checked(seq int32, good bool, load float64) {
	fmt.Printf("%d checked %v, credit %g\n", seq, good, load)
}
func (told) Draining() { fmt.Println("draining") }

func hear(b []byte) {
	frame, _, err := Frame(b)
	if err == nil {
		err = DecodeAnswer(frame, told{})
	}
	if err != nil {
		fmt.Println(err)
	}
}

// What one side writes the other reads.
func Example_bothWays() {
	frame, _, _ := Frame(Execute(nil, 7, "checkout", "9b1f03aa5c7e2d41", 4, 1764576000.1236, 0.4809, 24.54, 0.62, true, "5c",
		"row", []byte("\x00\xff")))
	decode(frame)
	frame, _, _ = Frame(Execute(nil, 8, "look", "9b1f03aa5c7e2d41", 4, 1764576000, -0.5, 1, 0, false, "", "", nil))
	decode(frame)
	frame, _, _ = Frame(Interrupt(nil, 9, 1<<30+7))
	decode(frame)
	frame, _, _ = Frame(Check(nil, 10))
	decode(frame)
	hear(Served(nil, 1, []byte("\x00\xff"), 2.5))
	hear(PushedBack(nil, 2, true, 0.2504, 0))
	hear(PushedBack(nil, 3, false, 0, -1))
	hear(Aborted(nil, 4, 1))
	hear(Checked(nil, 5, false, 3))
	hear(Unknown(nil, 6, "sing"))
	hear(Draining(nil))
	// Output:
	// execute 7 checkout 9b1f03aa5c7e2d41 from 4 at 1764576000.123 for 0.480, 24.5 KB, again true, token "5c", body "\x00\xff"
	// execute 8 look 9b1f03aa5c7e2d41 from 4 at 1764576000.000 for 0.000, 1 KB, again false, token "", body ""
	// interrupt 1073741831
	// check 10
	// 1 ok "\x00\xff", credit 2.5
	// 2 pushed back, last true, after 0.251, credit 0
	// 3 pushed back, last false, after 0, credit -1
	// 4 aborted "", credit 1
	// 5 checked false, credit 3
	// 6 aborted "unknown method", credit -1
	// draining
}

// Answers that say nothing or nonsense are errors.
func Example_badAnswers() {
	answer := func(fields ...byte) []byte {
		b, at := open(nil, msgReply, "execute", 1)
		return shut(append(b, fields...), at)
	}
	hear(answer(0))
	hear(answer(append(append(loaded(field(field(nil, typeStruct, 1), typeMap, 1), []string{"load", "-1"}, -1), 0), 0)...))
	hear(answer(append(append(loaded(field(field(nil, typeStruct, 1), typeMap, 1), []string{"pushback", "soon"}, -1), 0), 0)...))
	hear(answer(field(field(nil, typeStruct, 0), typeString, 1)...))
	b, at := open(nil, msgReply, "sing", 1)
	hear(shut(append(b, 0), at))
	hear(Check(nil, 1))
	// Output:
	// thrift: an answer with neither a result nor an exception
	// thrift: load of "-1"
	// thrift: pushback of "soon"
	// thrift: the frame ends inside a message
	// thrift: an answer to "sing", which was not asked
	// thrift: message type 1
}

func FuzzDecodeAnswer(f *testing.F) {
	for _, b := range [][]byte{Served(nil, 1, []byte("x"), 1), PushedBack(nil, 1, true, 1, 1), Aborted(nil, 1, 1),
		Checked(nil, 1, true, 1), Unknown(nil, 1, "m"), Draining(nil)} {
		f.Add(b[4:])
	}
	f.Fuzz(func(t *testing.T, frame []byte) {
		var o onlyOne
		if err := DecodeAnswer(frame, &o); (err == nil) != (o == 1) {
			t.Errorf("%d answers, %v", o, err)
		}
	})
}

// onlyOne counts what a frame told.
type onlyOne int

func (o *onlyOne) Served(int32, []byte, float64)            { *o++ }
func (o *onlyOne) PushedBack(int32, bool, float64, float64) { *o++ }
func (o *onlyOne) Aborted(int32, string, float64)           { *o++ }
func (o *onlyOne) Checked(int32, bool, float64)             { *o++ }
func (o *onlyOne) Draining()                                { *o++ }
