package rig

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"
)

// The judge reads messages by itself: a mistake of the program's own reader must not hide itself here.

// Types of values and kinds of messages of the strict binary protocol that are of use here.
const (
	valueBool   = 2
	valueI32    = 8
	valueString = 11
	valueStruct = 12
	valueMap    = 13

	messageCall      = 1
	messageReply     = 2
	messageException = 3
	messageOneway    = 4

	messageVersion = 0x8001
)

// errUnreadable is wrapped by the errors of messages that are not as the protocol has them.
var errUnreadable = errors.New("unreadable message")

// wireReader takes values off a message; the first that is not there leaves an error.
type wireReader struct {
	rest []byte
	err  error
}

func (r *wireReader) fail(format string, args ...any) {
	if r.err == nil {
		r.err = fmt.Errorf("%w: %s", errUnreadable, fmt.Sprintf(format, args...))
	}
}

func (r *wireReader) readBytes(n int) []byte {
	if r.err != nil {
		return make([]byte, min(max(n, 0), 8))
	}
	if n < 0 || n > len(r.rest) {
		r.fail("it ends inside a value of %d bytes", n)
		return make([]byte, min(max(n, 0), 8))
	}
	value := r.rest[:n]
	r.rest = r.rest[n:]
	return value
}

func (r *wireReader) byte() byte   { return r.readBytes(1)[0] }
func (r *wireReader) i16() int16   { return int16(binary.BigEndian.Uint16(r.readBytes(2))) }
func (r *wireReader) i32() int32   { return int32(binary.BigEndian.Uint32(r.readBytes(4))) }
func (r *wireReader) text() string { return string(r.readBytes(int(r.i32()))) }

// fields goes through a struct; take reads the value of a field.
func (r *wireReader) fields(readValue func(id int16, kind byte)) {
	for r.err == nil {
		kind := r.byte()
		if kind == 0 || r.err != nil {
			return
		}
		readValue(r.i16(), kind)
	}
}

// stringMap reads a map of strings.
func (r *wireReader) stringMap() map[string]string {
	keys, values, n := r.byte(), r.byte(), int(r.i32())
	all := map[string]string{}
	if n > 0 && (keys != valueString || values != valueString) {
		r.fail("a map of types %d and %d", keys, values)
	}
	for ; n > 0 && r.err == nil; n-- {
		key := r.text()
		all[key] = r.text()
	}
	return all
}

// header is what each message begins with.
type header struct {
	kind byte
	name string
	seq  int32
}

func (r *wireReader) header() header {
	if version := uint16(r.i16()); version != messageVersion {
		r.fail("version %#x", version)
	}
	kind := byte(r.i16())
	name := r.text()
	return header{kind: kind, name: name, seq: r.i32()}
}

// request is a message of a router.
type request struct {
	header
	fields map[string]string
	body   []byte
	target int32 // of an interrupt
}

// readRequest reads a frame from a router. Fields of other types or numbers than the protocol's end it.
func readRequest(frame []byte) (request, error) {
	r := wireReader{rest: frame}
	q := request{header: r.header(), fields: map[string]string{}}
	r.fields(func(id int16, kind byte) {
		switch {
		case q.name == "execute" && id == 1 && kind == valueMap:
			q.fields = r.stringMap()
		case q.name == "execute" && id == 2 && kind == valueString:
			q.body = []byte(r.text())
		case q.name == "interrupt" && id == 1 && kind == valueI32:
			q.target = r.i32()
		case q.name == "check" && id == 1 && kind == valueBool:
			r.byte()
		default:
			r.fail("%s with a field %d of type %d", q.name, id, kind)
		}
	})
	return q, r.err
}

// receivedAt is when the request came to the machine, now if that cannot be read.
func (q request) receivedAt(now time.Time) time.Time {
	ms, err := strconv.ParseFloat(q.fields["recv"], 64)
	if err != nil || !(ms >= 0 && ms < maxUnixMilliseconds) {
		return now
	}
	return time.UnixMicro(int64(ms * 1000))
}

// maxUnixMilliseconds is past anything that a clock says, and can still be calculated with.
const maxUnixMilliseconds = 1e14

// ttl is how long the caller waits; ok is false where it does not say so.
func (q request) ttl() (wait time.Duration, ok bool) {
	ms, err := strconv.ParseFloat(q.fields["ttl"], 64)
	if err != nil || math.IsNaN(ms) {
		return 0, false
	}
	return time.Duration(min(max(ms, 0), 1e11) * float64(time.Millisecond)), true
}

// heapKB is the memory that is booked for the request, in KB.
func (q request) heapKB() float64 {
	kb, err := strconv.ParseFloat(q.fields["heap"], 64)
	if err != nil || !(kb > 0 && kb < 2000) {
		return 0
	}
	return kb
}

// replyKind is what an app server's message says.
type replyKind uint8

const (
	replyServed replyKind = iota
	replyPushedBack
	replyAborted // Aborted, an application exception, or an Answer that is not good
	replyChecked
	replyDraining
)

// reply is a message of an app server.
type reply struct {
	kind        replyKind
	seq         int32
	body        []byte
	noRetry     bool          // no other app server is to be tried
	retryAfter  time.Duration // for which the router should stay away
	hasPushback bool          // it says for how long
}

// Fields of the result of a call.
const (
	resultAnswer  = 0
	resultRefused = 1
	resultFailed  = 2
)

// readReply reads a frame from an app server by the protocol's word.
func readReply(frame []byte) (reply, error) {
	r := wireReader{rest: frame}
	h := r.header()
	var a reply
	switch {
	case r.err != nil:
		return reply{}, r.err
	case h.kind == messageException:
		a = r.applicationException()
	case h.kind == messageOneway && h.name == "draining":
		a.kind = replyDraining
		r.fields(func(id int16, _ byte) { r.fail("draining with a field %d", id) })
	case h.kind == messageReply && (h.name == "execute" || h.name == "check"):
		a = r.result(h.name == "check")
	default:
		r.fail("kind %d, name %q", h.kind, h.name)
	}
	if len(r.rest) > 0 {
		r.fail("%d bytes after its end", len(r.rest))
	}
	a.seq = h.seq
	return a, r.err
}

// applicationException reads Thrift's own exception: a text and a number.
func (r *wireReader) applicationException() reply {
	r.fields(func(id int16, kind byte) {
		switch {
		case id == 1 && kind == valueString:
			r.text()
		case id == 2 && kind == valueI32:
			r.i32()
		default:
			r.fail("an application exception with a field %d of type %d", id, kind)
		}
	})
	return reply{kind: replyAborted}
}

// result reads what a call has returned: exactly one of Answer, Trylater, Aborted.
func (r *wireReader) result(check bool) reply {
	var a reply
	results := 0
	r.fields(func(id int16, kind byte) {
		results++
		switch {
		case kind != valueStruct:
			r.fail("a result %d of type %d", id, kind)
		case id == resultAnswer:
			a = r.answer(check)
		case id == resultRefused && !check:
			a = r.exception(replyPushedBack)
		case id == resultFailed && !check:
			a = r.exception(replyAborted)
		default:
			r.fail("a result %d", id)
		}
	})
	if results != 1 {
		r.fail("%d results", results)
	}
	return a
}

// answer reads the struct Answer, of which a router needs all three fields but may be sent none of the map's keys.
func (r *wireReader) answer(check bool) reply {
	a := reply{kind: replyServed}
	succeeded := false
	r.fields(func(id int16, kind byte) {
		switch {
		case id == 1 && kind == valueString:
			a.body = []byte(r.text())
		case id == 2 && kind == valueMap:
			r.readReplyFields(r.stringMap(), &a)
		case id == 3 && kind == valueBool:
			succeeded = r.byte() == 1
		default:
			r.fail("an Answer with a field %d of type %d", id, kind)
		}
	})
	switch {
	case check:
		a.kind = replyChecked
	case !succeeded:
		a.kind = replyAborted
	}
	if a.hasPushback || a.noRetry {
		r.fail("an Answer with fields of a refusal")
	}
	return a
}

// exception reads Trylater or Aborted.
func (r *wireReader) exception(kind replyKind) reply {
	a := reply{kind: kind}
	r.fields(func(id int16, kind byte) {
		if id != 1 || kind != valueMap {
			r.fail("an exception with a field %d of type %d", id, kind)
			return
		}
		r.readReplyFields(r.stringMap(), &a)
	})
	if kind != replyPushedBack && (a.hasPushback || a.noRetry) {
		r.fail("Aborted with fields of a refusal")
	}
	return a
}

// readReplyFields reads what an answer carries beside its result.
func (r *wireReader) readReplyFields(fields map[string]string, a *reply) {
	for key, value := range fields {
		switch key {
		case "load":
			if v, err := strconv.ParseFloat(value, 64); err != nil || !(v >= 0) || math.IsInf(v, 0) {
				r.fail("load %q", value)
			}
		case "pushback":
			ms, err := strconv.ParseFloat(value, 64)
			if err != nil || !(ms >= 0) || math.IsInf(ms, 0) || ms != math.Trunc(ms) {
				r.fail("pushback %q", value)
			}
			a.hasPushback = true
			a.retryAfter = time.Duration(min(ms, 1e11) * float64(time.Millisecond))
		case "stop":
			if value != "1" {
				r.fail("stop %q", value)
			}
			a.noRetry = true
		default:
			r.fail("a field %q", key)
		}
	}
}
