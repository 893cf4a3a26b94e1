// Package thrift encodes and decodes the messages between routers and app servers, in both directions. They use the
// framed transport and the strict binary protocol of Apache Thrift.
package thrift

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// MaxFrame is the maximum size of a frame, in bytes, without its length prefix. It is many times the size of the
// largest valid RPC, with a body of 2 KiB and its fields, so that an RPC whose fields exceed their own limits can still
// be decoded and answered.
const MaxFrame = 32 << 10

// MaxBody is the maximum size of an RPC's body, in bytes.
const MaxBody = 2 << 10

// Limits of an RPC's fields.
const (
	// maxHeapKB is the exclusive upper bound of heap, as the platform defines it.
	maxHeapKB = 2000
	// maxTokenLength is in bytes. The platform's tokens have 32; accepting four times that costs nothing.
	maxTokenLength = 128
	// maxUnixMillis is the last millisecond of the year 9999. No clock shows a later time.
	maxUnixMillis = 253402300799999
)

// Type ids of values, message types and the protocol version, as the Thrift binary protocol defines them.
const (
	typeBool   = 2
	typeI32    = 8
	typeString = 11
	typeStruct = 12
	typeMap    = 13
	typeSet    = 14
	typeList   = 15

	msgCall      = 1
	msgReply     = 2
	msgException = 3
	msgOneway    = 4

	version         = 0x80010000
	maxNestingDepth = 16 // of values nested in a skipped field
)

// errTruncated reports a value that is longer than the rest of its frame, or of an invalid size or type.
var errTruncated = errors.New("thrift: the frame ends inside a message, or a value in it is malformed")

// RequestHandler handles the messages that Decode finds. Slices are valid only until the method returns.
type RequestHandler interface {
	// Execute handles an RPC. src is the index of the caller, recv the time of its arrival at the router in Unix
	// seconds, and heap its memory in KB. ttl is the time in seconds for which the router waits for the reply, +Inf
	// where the router does not send it. retry marks a retry.
	Execute(seq int32, op, call []byte, src int, recv, ttl, heap float64, retry bool, dedupe, body []byte)
	// Unreadable handles an RPC of which the named field is missing or invalid.
	Unreadable(seq int32, field string)
	// Interrupt handles the cancellation of the RPC with sequence id target.
	Interrupt(target int32)
	// Check handles a health check.
	Check(seq int32)
	// Unknown handles a call of a method that does not exist.
	Unknown(seq int32, method string)
}

// Frame returns the first frame of b without its length prefix, and its size with the prefix. The size is 0 while the
// frame is incomplete. A length out of range is an error.
func Frame(b []byte) (frame []byte, size int, err error) {
	if len(b) < 4 {
		return nil, 0, nil
	}
	n := binary.BigEndian.Uint32(b)
	if n < 4 || n > MaxFrame {
		return nil, 0, fmt.Errorf("thrift: frame length %d is out of range", int32(n))
	}
	if len(b) < 4+int(n) {
		return nil, 0, nil
	}
	return b[4 : 4+n], 4 + int(n), nil
}

// RPCHeader holds the fields of an RPC that are needed to reply to it before its frame is complete.
type RPCHeader struct {
	Seq    int32   // sequence id
	Method []byte  // the method's name
	Token  []byte  // idempotency token, empty if there is none
	Recv   float64 // arrival at the router, in Unix seconds
}

// Peek decodes the start of a frame, without its length prefix. It returns ok only if the frame is an RPC's and all of
// the map of fields is there, with a method; the body may be missing.
func Peek(b []byte) (header RPCHeader, ok bool) {
	r := decoder{b: b}
	kind, name, seq, err := r.messageHeader()
	if err != nil || kind != msgCall || string(name) != "execute" || r.byte() != typeMap || r.i16() != 1 {
		return header, false
	}
	header.Seq = seq
	r.stringMap(func(key, value []byte) {
		switch string(key) {
		case "op":
			header.Method = value
		case "dedupe":
			header.Token = value
		case "recv":
			v, _ := parseDecimal(value)
			header.Recv = v / 1000
		}
	})
	return header, !r.truncated && len(header.Method) > 0
}

// Length returns the size of the frame at the start of b with its length prefix, or 0 if b is shorter than the prefix.
// The size is not checked against MaxFrame.
func Length(b []byte) int {
	if len(b) < 4 {
		return 0
	}
	return 4 + int(binary.BigEndian.Uint32(b))
}

// Decode decodes the message in a frame from a router and passes it to the handler. After an error the connection must
// be closed, since the rest of its data cannot be trusted.
func Decode(frame []byte, handler RequestHandler) error {
	r := decoder{b: frame}
	kind, name, seq, err := r.messageHeader()
	if err != nil {
		return err
	}
	if kind != msgCall && kind != msgOneway {
		return fmt.Errorf("thrift: message type is %d, want 1 (call) or 4 (oneway)", kind)
	}
	switch string(name) {
	case "execute":
		return r.execute(seq, handler)
	case "interrupt":
		target, found := int32(0), false
		err := r.structFields(func(id int16, kind byte) bool {
			if id == 1 && kind == typeI32 {
				target, found = r.i32(), true
				return true
			}
			return false
		})
		if err == nil && found {
			handler.Interrupt(target)
		}
		return err
	case "check":
		err := r.structFields(func(int16, byte) bool { return false })
		if err == nil {
			handler.Check(seq)
		}
		return err
	}
	if err := r.structFields(func(int16, byte) bool { return false }); err != nil {
		return err
	}
	if kind == msgCall {
		handler.Unknown(seq, string(name))
	}
	return nil
}

// execute decodes the arguments of an RPC, validates them and passes them to the handler.
func (r *decoder) execute(seq int32, handler RequestHandler) error {
	var op, call, src, recv, ttl, heap, crit, dedupe, body []byte
	retry := false
	err := r.structFields(func(id int16, kind byte) bool {
		switch {
		case id == 2 && kind == typeString:
			body = r.bytes()
			return true
		case id != 1 || kind != typeMap:
			return false
		}
		r.stringMap(func(key, value []byte) {
			switch string(key) {
			case "op":
				op = value
			case "call":
				call = value
			case "src":
				src = value
			case "recv":
				recv = value
			case "ttl":
				ttl = value
			case "heap":
				heap = value
			case "crit":
				crit = value
			case "rep", "again": // "again" is the name that clients of earlier builds use
				retry = retry || isRetryMark(value)
			case "dedupe":
				dedupe = value
			}
		})
		return true
	})
	if err != nil {
		return err
	}
	source, srcValid := parseDecimal(src)
	receivedMillis, recvValid := parseDecimal(recv)
	ttlMillis, ttlValid := parseDecimal(ttl)
	if ttl == nil { // optional: the settings define whether routers send it
		ttlMillis, ttlValid = math.Inf(1), true
	}
	heapKB, heapValid := parseDecimal(heap)
	criticality, critValid := parseDecimal(crit) // not used, but a value out of range means that the router is faulty
	switch {
	case len(op) == 0:
		handler.Unreadable(seq, "op")
	case !isCallID(call):
		handler.Unreadable(seq, "call")
	case !srcValid || source < 0 || source > math.MaxInt32 || source != math.Trunc(source):
		handler.Unreadable(seq, "src")
	case !recvValid || receivedMillis < 0 || receivedMillis > maxUnixMillis:
		handler.Unreadable(seq, "recv")
	case !ttlValid:
		handler.Unreadable(seq, "ttl")
	case !heapValid || heapKB <= 0 || heapKB >= maxHeapKB:
		handler.Unreadable(seq, "heap")
	case crit != nil && (!critValid || criticality < 0 || criticality >= 1):
		handler.Unreadable(seq, "crit")
	case len(dedupe) > maxTokenLength:
		handler.Unreadable(seq, "dedupe")
	case len(body) > MaxBody:
		handler.Unreadable(seq, "body")
	default:
		handler.Execute(seq, op, call, int(source), receivedMillis/1000, ttlMillis/1000, heapKB, retry, dedupe, body)
	}
	return nil
}

// isRetryMark reports whether a value of the field "rep" marks a retry.
func isRetryMark(value []byte) bool {
	switch string(value) {
	case "", "0", "false":
		return false
	}
	return true
}

// isCallID reports whether b consists of 16 hexadecimal digits.
func isCallID(b []byte) bool {
	for _, c := range b {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return len(b) == 16
}

// parseDecimal parses a finite decimal number. It rejects the other forms that strconv.ParseFloat accepts, such as
// hexadecimal numbers, underscores, infinities and NaN.
func parseDecimal(b []byte) (float64, bool) {
	const decimal = "0123456789+-.eE"
	for _, c := range b {
		if strings.IndexByte(decimal, c) < 0 {
			return 0, false
		}
	}
	v, err := strconv.ParseFloat(string(b), 64)
	return v, err == nil
}

// decoder decodes values from a frame. Once a value does not fit into the rest of the frame, that rest is dropped and
// all further values are zero.
type decoder struct {
	b         []byte // the rest of the frame
	truncated bool   // a value was longer than the rest of the frame, or malformed
}

// take returns the next n bytes, or nil if the frame has fewer.
func (r *decoder) take(n int) []byte {
	if n < 0 || n > len(r.b) {
		r.truncated, r.b = true, nil
		return nil
	}
	v := r.b[:n]
	r.b = r.b[n:]
	return v
}

func (r *decoder) byte() byte {
	if v := r.take(1); v != nil {
		return v[0]
	}
	return 0
}

func (r *decoder) i16() int16 {
	if v := r.take(2); v != nil {
		return int16(binary.BigEndian.Uint16(v))
	}
	return 0
}

func (r *decoder) i32() int32 {
	if v := r.take(4); v != nil {
		return int32(binary.BigEndian.Uint32(v))
	}
	return 0
}

func (r *decoder) bytes() []byte { return r.take(int(r.i32())) }

// messageHeader decodes the header of a message: version, message type, method name and sequence id.
func (r *decoder) messageHeader() (kind byte, name []byte, seq int32, err error) {
	versionAndKind := uint32(r.i32())
	name, seq = r.bytes(), r.i32()
	if r.truncated {
		return 0, nil, 0, errTruncated
	}
	if versionAndKind&0xffff0000 != version {
		return 0, nil, 0, fmt.Errorf("thrift: message begins with %#x, want protocol version 0x8001", versionAndKind)
	}
	return byte(versionAndKind), name, seq, nil
}

// stringMap decodes a map of strings to strings and calls visit for each of its pairs.
func (r *decoder) stringMap(visit func(key, value []byte)) {
	keyKind, valueKind, n := r.byte(), r.byte(), r.i32()
	if n < 0 || n > 0 && (keyKind != typeString || valueKind != typeString) {
		r.truncated = true // a malformed map is handled like a truncated one
		return
	}
	for ; n > 0 && !r.truncated; n-- {
		if key, value := r.bytes(), r.bytes(); !r.truncated {
			visit(key, value)
		}
	}
}

// structFields decodes the fields of a struct up to its stop field. visit either decodes the value of a field and
// returns true, or returns false to have it skipped.
func (r *decoder) structFields(visit func(id int16, kind byte) bool) error {
	for !r.truncated {
		kind := r.byte()
		if kind == 0 && !r.truncated {
			return nil
		}
		if id := r.i16(); !r.truncated && !visit(id, kind) {
			if err := r.skip(kind, 0); err != nil {
				return err
			}
		}
	}
	return errTruncated
}

// skip skips a value of the given type. depth is the number of skipped values that it is nested in.
func (r *decoder) skip(kind byte, depth int) error {
	if depth > maxNestingDepth {
		return errors.New("thrift: skipped field is nested too deep")
	}
	switch kind {
	case typeBool, 3: // 3: byte
		r.take(1)
	case 6: // i16
		r.take(2)
	case typeI32:
		r.take(4)
	case 4, 10: // double and i64
		r.take(8)
	case typeString:
		r.bytes()
	case typeStruct:
		for !r.truncated {
			fieldKind := r.byte()
			if fieldKind == 0 {
				break
			}
			r.i16()
			if err := r.skip(fieldKind, depth+1); err != nil {
				return err
			}
		}
	case typeMap, typeSet, typeList:
		elementKinds := []byte{r.byte()}
		if kind == typeMap {
			elementKinds = append(elementKinds, r.byte())
		}
		n := r.i32()
		r.truncated = r.truncated || n < 0
		for ; n > 0 && !r.truncated; n-- {
			for _, k := range elementKinds {
				if err := r.skip(k, depth+1); err != nil {
					return err
				}
			}
		}
	default:
		return fmt.Errorf("thrift: unknown type id %d in a skipped field", kind)
	}
	if r.truncated {
		return errTruncated
	}
	return nil
}
