package rig

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"
)

// The checker has its own decoder, so that a bug in the decoder of the program does not go unnoticed.

// Value types and message kinds of Thrift's strict binary protocol that routers and app servers use.
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

// errUnreadable is wrapped by the errors about messages that violate the protocol.
var errUnreadable = errors.New("unreadable message")

// wireReader decodes the values of a message. It keeps the first error; reads after it return zero values.
type wireReader struct {
	rest []byte
	err  error
}

// fail keeps the error, unless there is an earlier one.
func (r *wireReader) fail(format string, args ...any) {
	if r.err == nil {
		r.err = fmt.Errorf("%w: %s", errUnreadable, fmt.Sprintf(format, args...))
	}
}

// readBytes returns the next n bytes. After an error it returns zero bytes, n but at most 8, enough for every fixed-size value.
func (r *wireReader) readBytes(n int) []byte {
	if r.err != nil {
		return make([]byte, min(max(n, 0), 8))
	}
	if n < 0 || n > len(r.rest) {
		r.fail("message ends inside a value of %d bytes", n)
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

// fields iterates over the fields of a struct; readValue must read the value of the given field.
func (r *wireReader) fields(readValue func(id int16, kind byte)) {
	for r.err == nil {
		kind := r.byte()
		if kind == 0 || r.err != nil {
			return
		}
		readValue(r.i16(), kind)
	}
}

// stringMap reads a map with strings as keys and values.
func (r *wireReader) stringMap() map[string]string {
	keys, values, n := r.byte(), r.byte(), int(r.i32())
	all := map[string]string{}
	if n > 0 && (keys != valueString || values != valueString) {
		r.fail("map with key type %d and value type %d, want strings", keys, values)
	}
	for ; n > 0 && r.err == nil; n-- {
		key := r.text()
		all[key] = r.text()
	}
	return all
}

// header is the header of a message.
type header struct {
	kind byte
	name string
	seq  int32
}

// header reads the header of a message.
func (r *wireReader) header() header {
	if version := uint16(r.i16()); version != messageVersion {
		r.fail("unsupported version %#x", version)
	}
	kind := byte(r.i16())
	name := r.text()
	return header{kind: kind, name: name, seq: r.i32()}
}

// request is a message from a router.
type request struct {
	header
	fields map[string]string
	body   []byte
	target int32 // of an interrupt
}

// readRequest decodes a frame from a router. A field with an id or type outside the protocol is an error.
func readRequest(frame []byte) (request, error) {
	r := wireReader{rest: frame}
	req := request{header: r.header(), fields: map[string]string{}}
	r.fields(func(id int16, kind byte) {
		switch {
		case req.name == "execute" && id == 1 && kind == valueMap:
			req.fields = r.stringMap()
		case req.name == "execute" && id == 2 && kind == valueString:
			req.body = []byte(r.text())
		case req.name == "interrupt" && id == 1 && kind == valueI32:
			req.target = r.i32()
		case req.name == "check" && id == 1 && kind == valueBool:
			r.byte()
		default:
			r.fail("%s with unexpected field %d of type %d", req.name, id, kind)
		}
	})
	return req, r.err
}

// receivedAt returns when the request arrived at the machine, or now if the field is missing or invalid.
func (req request) receivedAt(now time.Time) time.Time {
	ms, err := strconv.ParseFloat(req.fields["recv"], 64)
	if err != nil || !(ms >= 0 && ms < maxUnixMilliseconds) {
		return now
	}
	return time.UnixMicro(int64(ms * 1000))
}

// maxUnixMilliseconds is later than any clock reading, and its microseconds fit an int64.
const maxUnixMilliseconds = 1e14

// ttl returns how long the caller waits; ok is false if the field is missing or invalid.
func (req request) ttl() (wait time.Duration, ok bool) {
	ms, err := strconv.ParseFloat(req.fields["ttl"], 64)
	if err != nil || math.IsNaN(ms) {
		return 0, false
	}
	return time.Duration(min(max(ms, 0), 1e11) * float64(time.Millisecond)), true
}

// heapKB returns the memory to reserve for the request, in KB; 0 if the field is missing or invalid.
func (req request) heapKB() float64 {
	kb, err := strconv.ParseFloat(req.fields["heap"], 64)
	if err != nil || !(kb > 0 && kb < 2000) {
		return 0
	}
	return kb
}

// replyKind is the kind of a message from an app server.
type replyKind uint8

const (
	replyServed replyKind = iota
	replyPushedBack
	replyAborted // Aborted, an application exception, or an Answer without success
	replyChecked
	replyDraining
)

// reply is a message from an app server.
type reply struct {
	kind        replyKind
	seq         int32
	body        []byte
	noRetry     bool          // no other app server may be tried
	retryAfter  time.Duration // delay until the router may send again
	hasPushback bool          // the reply has the field for the delay
}

// Field ids of the result of an RPC or health check.
const (
	resultAnswer   = 0
	resultTryLater = 1
	resultAborted  = 2
)

// readReply decodes a frame from an app server, strictly by the protocol.
func readReply(frame []byte) (reply, error) {
	r := wireReader{rest: frame}
	h := r.header()
	var decoded reply
	switch {
	case r.err != nil:
		return reply{}, r.err
	case h.kind == messageException:
		decoded = r.applicationException()
	case h.kind == messageOneway && h.name == "draining":
		decoded.kind = replyDraining
		r.fields(func(id int16, _ byte) { r.fail("draining with unexpected field %d", id) })
	case h.kind == messageReply && (h.name == "execute" || h.name == "check"):
		decoded = r.result(h.name == "check")
	default:
		r.fail("unexpected message of kind %d, name %q", h.kind, h.name)
	}
	if len(r.rest) > 0 {
		r.fail("%d bytes after the end of the message", len(r.rest))
	}
	decoded.seq = h.seq
	return decoded, r.err
}

// applicationException reads Thrift's application exception: a message and a type.
func (r *wireReader) applicationException() reply {
	r.fields(func(id int16, kind byte) {
		switch {
		case id == 1 && kind == valueString:
			r.text()
		case id == 2 && kind == valueI32:
			r.i32()
		default:
			r.fail("application exception with unexpected field %d of type %d", id, kind)
		}
	})
	return reply{kind: replyAborted}
}

// result reads the result of an RPC or, if check is set, of a health check: exactly one of Answer, Trylater and Aborted.
func (r *wireReader) result(check bool) reply {
	var decoded reply
	results := 0
	r.fields(func(id int16, kind byte) {
		results++
		switch {
		case kind != valueStruct:
			r.fail("result field %d has type %d, want a struct", id, kind)
		case id == resultAnswer:
			decoded = r.answer(check)
		case id == resultTryLater && !check:
			decoded = r.exception(replyPushedBack)
		case id == resultAborted && !check:
			decoded = r.exception(replyAborted)
		default:
			r.fail("unexpected result field %d", id)
		}
	})
	if results != 1 {
		r.fail("%d results, want 1", results)
	}
	return decoded
}

// answer reads the struct Answer. Routers require its three fields, but no key of the map.
func (r *wireReader) answer(check bool) reply {
	decoded := reply{kind: replyServed}
	succeeded := false
	r.fields(func(id int16, kind byte) {
		switch {
		case id == 1 && kind == valueString:
			decoded.body = []byte(r.text())
		case id == 2 && kind == valueMap:
			r.readReplyFields(r.stringMap(), &decoded)
		case id == 3 && kind == valueBool:
			succeeded = r.byte() == 1
		default:
			r.fail("Answer with unexpected field %d of type %d", id, kind)
		}
	})
	switch {
	case check:
		decoded.kind = replyChecked
	case !succeeded:
		decoded.kind = replyAborted
	}
	if decoded.hasPushback || decoded.noRetry {
		r.fail("Answer with the fields of a pushback")
	}
	return decoded
}

// exception reads the struct Trylater or Aborted.
func (r *wireReader) exception(kind replyKind) reply {
	decoded := reply{kind: kind}
	r.fields(func(id int16, kind byte) {
		if id != 1 || kind != valueMap {
			r.fail("exception with unexpected field %d of type %d", id, kind)
			return
		}
		r.readReplyFields(r.stringMap(), &decoded)
	})
	if kind != replyPushedBack && (decoded.hasPushback || decoded.noRetry) {
		r.fail("Aborted with the fields of a pushback")
	}
	return decoded
}

// readReplyFields validates the field map of a reply and stores the pushback fields in decoded.
func (r *wireReader) readReplyFields(fields map[string]string, decoded *reply) {
	for key, value := range fields {
		switch key {
		case "load":
			if v, err := strconv.ParseFloat(value, 64); err != nil || !(v >= 0) || math.IsInf(v, 0) {
				r.fail("invalid load %q", value)
			}
		case "pushback":
			ms, err := strconv.ParseFloat(value, 64)
			if err != nil || !(ms >= 0) || math.IsInf(ms, 0) || ms != math.Trunc(ms) {
				r.fail("invalid pushback %q", value)
			}
			decoded.hasPushback = true
			decoded.retryAfter = time.Duration(min(ms, 1e11) * float64(time.Millisecond))
		case "stop":
			if value != "1" {
				r.fail("invalid stop %q", value)
			}
			decoded.noRetry = true
		default:
			r.fail("unexpected field %q", key)
		}
	}
}
