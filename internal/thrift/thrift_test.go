package thrift

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strings"
	"testing"
)

// printingRouter prints the messages decoded from a router's frames.
type printingRouter struct{}

func (printingRouter) Execute(seq int32, op, call []byte, src int, recv, ttl, heap float64, retry bool,
	dedupe, body []byte) {
	fmt.Printf("execute %d %s %s from %d at %.3f for %.3f, %g KB, again %v, token %q, body %q\n", seq, op, call, src,
		recv, ttl, heap, retry, dedupe, body)
}
func (printingRouter) Unreadable(seq int32, field string) { fmt.Println("unreadable", seq, field) }
func (printingRouter) Interrupt(target int32)             { fmt.Println("interrupt", target) }
func (printingRouter) Check(seq int32)                    { fmt.Println("check", seq) }
func (printingRouter) Unknown(seq int32, method string)   { fmt.Println("unknown", seq, method) }

// encodeMessage returns a message without its length prefix. args are the encoded arguments.
func encodeMessage(kind byte, name string, seq int32, args ...byte) []byte {
	b, _ := beginFrame(nil, kind, name, seq)
	return append(b[4:], args...)
}

// executeArguments returns the encoded arguments of execute: the body, and the map of fields given as keys and values.
func executeArguments(body string, pairs ...string) []byte {
	b := appendLoadMap(appendFieldHeader(nil, typeMap, 1), pairs, -1)
	return append(appendString(appendFieldHeader(b, typeString, 2), body), 0)
}

// printRequest decodes a router's message and prints it, or the error.
func printRequest(b []byte) {
	if err := Decode(b, printingRouter{}); err != nil {
		fmt.Println(err)
	}
}

// validFields are the keys and values of a valid RPC.
var validFields = []string{"op", "checkout", "call", "9b1f03aa5c7e2d41", "src", "4", "recv", "1764576000123",
	"ttl", "480", "heap", "24.5"}

func Example_messages() {
	printRequest(encodeMessage(msgCall, "execute", 7,
		executeArguments("\x00\xff", append(validFields, "dedupe", "5c", "crit", "0.5")...)...))
	printRequest(encodeMessage(msgOneway, "interrupt", 8, append(appendFieldHeader(nil, typeI32, 1), 0, 0, 0, 7, 0)...))
	printRequest(encodeMessage(msgCall, "check", 9, append(appendFieldHeader(nil, typeBool, 1), 1, 0)...))
	printRequest(encodeMessage(msgCall, "ping", 10, 0))
	// Output:
	// execute 7 checkout 9b1f03aa5c7e2d41 from 4 at 1764576000.123 for 0.480, 24.5 KB, again false, token "5c", body "\x00\xff"
	// interrupt 7
	// check 9
	// unknown 10 ping
}

// An RPC with a missing or invalid field is not executed; the first such field is reported.
func Example_unreadable() {
	for k := 0; k < len(validFields); k += 2 {
		if validFields[k] == "ttl" {
			continue // see Example_noTTL
		}
		printRequest(encodeMessage(msgCall, "execute", 1,
			executeArguments("", append(validFields[:k:k], validFields[k+2:]...)...)...))
	}
	for _, bad := range [][2]string{{"call", "xyz"}, {"src", "-1"}, {"recv", "NaN"}, {"ttl", "1e999"}, {"heap", "2000"},
		{"dedupe", strings.Repeat("t", 129)}} {
		printRequest(encodeMessage(msgCall, "execute", 1,
			executeArguments("", append(validFields[:len(validFields):len(validFields)], bad[:]...)...)...))
	}
	printRequest(encodeMessage(msgCall, "execute", 1, executeArguments(strings.Repeat("b", MaxBody+1), validFields...)...))
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

// ttl is optional. An RPC without it is executed with an infinite ttl.
func Example_noTTL() {
	k := slices.Index(validFields, "ttl")
	printRequest(encodeMessage(msgCall, "execute", 1,
		executeArguments("b", append(validFields[:k:k], validFields[k+2:]...)...)...))
	// Output:
	// execute 1 checkout 9b1f03aa5c7e2d41 from 4 at 1764576000.123 for +Inf, 24.5 KB, again false, token "", body "b"
}

// A retry is marked by the field "rep", as the platform defines it, or by "again", which earlier builds send.
func Example_retry() {
	for _, mark := range [][2]string{{"rep", "1"}, {"rep", "true"}, {"rep", "2"}, {"again", "1"}, {"rep", "0"},
		{"rep", "false"}, {"rep", ""}} {
		printRequest(encodeMessage(msgCall, "execute", 1,
			executeArguments("b", append(validFields[:len(validFields):len(validFields)], mark[:]...)...)...))
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

// Numbers are accepted in any decimal form within their limits; all other values, also empty ones, are rejected.
func Example_numbers() {
	for _, field := range [][2]string{{"recv", "1764576000123.0"}, {"recv", "1.764576000123e12"}, {"recv", "0"},
		{"recv", "1e12"}, {"recv", "253402300799999"}, {"ttl", "4.8e2"}, {"ttl", "0"}, {"ttl", "-5"}, {"ttl", "36000000"},
		{"ttl", "1e9"}, {"heap", "0.001"}, {"heap", "1999.99"}, {"src", "4.0"}, {"src", "0"}, {"src", "2147483647"},
		{"crit", "0"}, {"crit", "0.999"}} {
		printRequest(encodeMessage(msgCall, "execute", 1,
			executeArguments("b", append(validFields[:len(validFields):len(validFields)], field[:]...)...)...))
	}
	for _, field := range [][2]string{{"recv", "-1"}, {"recv", "1e300"}, {"recv", "inf"}, {"recv", ""}, {"recv", "0x1p40"},
		{"ttl", ""}, {"ttl", "nan"}, {"ttl", "soon"}, {"ttl", "0x10"}, {"heap", "0"}, {"heap", "-1"}, {"heap", "2000"},
		{"heap", "1_0"}, {"heap", "Infinity"}, {"src", "4.5"}, {"src", "2147483648"}, {"src", ""}, {"crit", ""},
		{"crit", "1"}, {"crit", "-0.1"}, {"crit", "NaN"}, {"call", ""}, {"call", "9b1f03aa5c7e2d4"},
		{"call", "9b1f03aa5c7e2d4g"}, {"op", ""}} {
		printRequest(encodeMessage(msgCall, "execute", 1,
			executeArguments("b", append(validFields[:len(validFields):len(validFields)], field[:]...)...)...))
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

// Unknown fields are skipped, whatever their type.
func Example_unknownFields() {
	unknown := appendFieldHeader(nil, typeStruct, 9)
	unknown = append(appendFieldHeader(unknown, typeList, 1), typeMap, 0, 0, 0, 1, 6, 4, 0, 0, 0, 1)
	unknown = append(unknown, make([]byte, 10)...)
	unknown = append(appendFieldHeader(unknown, 10, 2), make([]byte, 8)...)
	unknown = append(unknown, 0)
	printRequest(encodeMessage(msgCall, "execute", 1, append(unknown, executeArguments("b", validFields...)...)...))
	// Output:
	// execute 1 checkout 9b1f03aa5c7e2d41 from 4 at 1764576000.123 for 0.480, 24.5 KB, again false, token "", body "b"
}

// Invalid lengths and malformed messages are errors, after which a connection is closed. An incomplete frame is none.
func Example_badFrames() {
	for _, size := range []uint32{0, 3, MaxFrame + 1, 1 << 31, 1<<32 - 1} {
		_, _, err := Frame(binary.BigEndian.AppendUint32(nil, size))
		fmt.Println(err)
	}
	frame, size, err := Frame([]byte{0, 0, 0, 5, 1, 2})
	fmt.Println(frame, size, err)
	complete := encodeMessage(msgCall, "execute", 1, executeArguments("b", validFields...)...)
	printRequest(complete[:len(complete)-1])
	printRequest(complete[:30])
	printRequest(append([]byte{0, 1, 0, 1}, complete[4:]...))
	printRequest(encodeMessage(msgReply, "execute", 1, 0))
	printRequest(encodeMessage(msgCall, "execute", 1, append(appendFieldHeader(nil, 99, 3), 0)...))
	deep := appendFieldHeader(nil, typeStruct, 3)
	for range 40 {
		deep = appendFieldHeader(deep, typeStruct, 1)
	}
	printRequest(encodeMessage(msgCall, "execute", 1, deep...))
	printRequest(encodeMessage(msgCall, "execute", 1,
		append(appendFieldHeader(nil, typeMap, 1), 11, 11, 0xff, 0xff, 0xff, 0xff, 0)...))
	printRequest(encodeMessage(msgCall, "execute", 1,
		append(appendFieldHeader(nil, typeList, 5), 8, 0xff, 0xff, 0xff, 0xff, 0)...))
	printRequest(encodeMessage(msgCall, "execute", 1,
		append(appendFieldHeader(nil, typeString, 2), 0x7f, 0xff, 0xff, 0xff, 0)...))
	// Output:
	// thrift: frame length 0 is out of range
	// thrift: frame length 3 is out of range
	// thrift: frame length 32769 is out of range
	// thrift: frame length -2147483648 is out of range
	// thrift: frame length -1 is out of range
	// [] 0 <nil>
	// thrift: the frame ends inside a message, or a value in it is malformed
	// thrift: the frame ends inside a message, or a value in it is malformed
	// thrift: message begins with 0x10001, want protocol version 0x8001
	// thrift: message type is 2, want 1 (call) or 4 (oneway)
	// thrift: unknown type id 99 in a skipped field
	// thrift: skipped field is nested too deep
	// thrift: the frame ends inside a message, or a value in it is malformed
	// thrift: the frame ends inside a message, or a value in it is malformed
	// thrift: the frame ends inside a message, or a value in it is malformed
}

// The encoded frame of each message of an app server, with its length prefix.
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
	f.Add(encodeMessage(msgCall, "execute", 7, executeArguments("b", validFields...)...))
	f.Add(encodeMessage(msgOneway, "interrupt", 8, append(appendFieldHeader(nil, typeI32, 1), 0, 0, 0, 7, 0)...))
	f.Add(encodeMessage(msgCall, "check", 9, append(appendFieldHeader(nil, typeBool, 1), 1, 0)...))
	f.Add(append(appendFieldHeader(encodeMessage(msgCall, "execute", 1), typeList, 5),
		typeMap, 0, 0, 0, 1, 6, 4, 0, 0, 0, 1))
	f.Fuzz(func(t *testing.T, b []byte) {
		Frame(b)
		received := &countingRouter{}
		if err := Decode(b, received); err != nil && received.n > 0 || received.n > 1 {
			t.Errorf("handler called %d times, then error %v", received.n, err)
		}
	})
}

// countingRouter counts the messages decoded from a router's frame.
type countingRouter struct{ n int }

func (o *countingRouter) Execute(seq int32, op, call []byte, src int, recv, ttl, heap float64, retry bool,
	dedupe, body []byte) {
	o.n++
	if len(body) > MaxBody || heap <= 0 || len(call) != 16 {
		panic("invalid RPC was passed to Execute")
	}
}
func (o *countingRouter) Unreadable(int32, string) { o.n++ }
func (o *countingRouter) Interrupt(int32)          { o.n++ }
func (o *countingRouter) Check(int32)              { o.n++ }
func (o *countingRouter) Unknown(int32, string)    { o.n++ }

// printingCaller prints the messages decoded from an app server's frames.
type printingCaller struct{}

func (printingCaller) Served(seq int32, result []byte, load float64) {
	fmt.Printf("%d ok %q, credit %g\n", seq, result, load)
}
func (printingCaller) PushedBack(seq int32, last bool, retryAfter, load float64) {
	fmt.Printf("%d pushed back, last %v, after %g, credit %g\n", seq, last, retryAfter, load)
}
func (printingCaller) Aborted(seq int32, reason string, load float64) {
	fmt.Printf("%d aborted %q, credit %g\n", seq, reason, load)
}
func (printingCaller) Checked(seq int32, healthy bool, load float64) {
	fmt.Printf("%d checked %v, credit %g\n", seq, healthy, load)
}
func (printingCaller) Draining() { fmt.Println("draining") }

// printAnswer decodes an app server's frame and prints its message, or the error.
func printAnswer(b []byte) {
	frame, _, err := Frame(b)
	if err == nil {
		err = DecodeAnswer(frame, printingCaller{})
	}
	if err != nil {
		fmt.Println(err)
	}
}

// The messages that one side encodes are decoded by the other.
func Example_roundTrip() {
	frame, _, _ := Frame(Execute(nil, 7, "checkout", "9b1f03aa5c7e2d41", 4, 1764576000.1236, 0.4809, 24.54, 0.62,
		true, "5c", "row", []byte("\x00\xff")))
	printRequest(frame)
	frame, _, _ = Frame(Execute(nil, 8, "look", "9b1f03aa5c7e2d41", 4, 1764576000, -0.5, 1, 0, false, "", "", nil))
	printRequest(frame)
	frame, _, _ = Frame(Interrupt(nil, 9, 1<<30+7))
	printRequest(frame)
	frame, _, _ = Frame(Check(nil, 10))
	printRequest(frame)
	printAnswer(Served(nil, 1, []byte("\x00\xff"), 2.5))
	printAnswer(PushedBack(nil, 2, true, 0.2504, 0))
	printAnswer(PushedBack(nil, 3, false, 0, -1))
	printAnswer(Aborted(nil, 4, 1))
	printAnswer(Checked(nil, 5, false, 3))
	printAnswer(Unknown(nil, 6, "sing"))
	printAnswer(Draining(nil))
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

// Empty and malformed replies are errors.
func Example_badAnswers() {
	answer := func(fields ...byte) []byte {
		b, start := beginFrame(nil, msgReply, "execute", 1)
		return endFrame(append(b, fields...), start)
	}
	printAnswer(answer(0))
	printAnswer(answer(append(append(appendLoadMap(appendFieldHeader(appendFieldHeader(nil, typeStruct, 1), typeMap, 1),
		[]string{"load", "-1"}, -1), 0), 0)...))
	printAnswer(answer(append(append(appendLoadMap(appendFieldHeader(appendFieldHeader(nil, typeStruct, 1), typeMap, 1),
		[]string{"pushback", "soon"}, -1), 0), 0)...))
	printAnswer(answer(appendFieldHeader(appendFieldHeader(nil, typeStruct, 0), typeString, 1)...))
	b, start := beginFrame(nil, msgReply, "sing", 1)
	printAnswer(endFrame(append(b, 0), start))
	printAnswer(Check(nil, 1))
	// Output:
	// thrift: reply has neither a result nor an exception
	// thrift: load is "-1", want a number of at least 0
	// thrift: pushback is "soon", want a number of at least 0
	// thrift: the frame ends inside a message, or a value in it is malformed
	// thrift: reply to method "sing", want execute or check
	// thrift: message type is 1, want 2 (reply), 3 (exception) or 4 (oneway) with method draining
}

func FuzzDecodeAnswer(f *testing.F) {
	for _, b := range [][]byte{Served(nil, 1, []byte("x"), 1), PushedBack(nil, 1, true, 1, 1), Aborted(nil, 1, 1),
		Checked(nil, 1, true, 1), Unknown(nil, 1, "m"), Draining(nil)} {
		f.Add(b[4:])
	}
	f.Fuzz(func(t *testing.T, frame []byte) {
		var o countingCaller
		if err := DecodeAnswer(frame, &o); (err == nil) != (o == 1) {
			t.Errorf("handler called %d times, error %v", o, err)
		}
	})
}

// countingCaller counts the messages decoded from an app server's frame.
type countingCaller int

func (o *countingCaller) Served(int32, []byte, float64)            { *o++ }
func (o *countingCaller) PushedBack(int32, bool, float64, float64) { *o++ }
func (o *countingCaller) Aborted(int32, string, float64)           { *o++ }
func (o *countingCaller) Checked(int32, bool, float64)             { *o++ }
func (o *countingCaller) Draining()                                { *o++ }
