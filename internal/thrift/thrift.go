// Package thrift reads and writes what routers and app servers say to each other, in both directions: Thrift's
// strict binary protocol in frames.
package thrift

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// MaxFrame bounds a frame: a body of 2 KiB and its fields many times over, so that what is only too long by
// the protocol's word still gets an answer.
const MaxFrame = 32 << 10

// MaxBody is the largest body that may be run.
const MaxBody = 2 << 10

// Bounds of an RPC's fields. The platform's page has that of heap, in KB, and tokens of 32 bytes; four times that costs nothing.
// The last time that is written with a year of four digits, in Unix milliseconds, is the last that any clock tells.
const (
	mostHeap  = 2000
	mostToken = 128
	lastMilli = 253402300799999
)

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

	version = 0x80010000
	deepest = 16 // of nested values in fields that are passed over
)

var errShort = errors.New("thrift: the frame ends inside a message")

// Router is told what a frame holds. Slices are good for the length of the call.
type Router interface {
	// Execute is one RPC; recv is in Unix seconds, ttl in seconds, +Inf where the router does not tell how long it waits.
	// again marks a further try.
	Execute(seq int32, op, call []byte, src int, recv, ttl, heap float64, again bool, dedupe, body []byte)
	// Unreadable is an RPC of which something needed is missing or makes no sense.
	Unreadable(seq int32, why string)
	Interrupt(target int32)
	Check(seq int32)
	Unknown(seq int32, method string)
}

// Frame gives the first whole frame of b and how many bytes it takes, 0 while it is not all there.
func Frame(b []byte) (frame []byte, size int, err error) {
	if len(b) < 4 {
		return nil, 0, nil
	}
	n := binary.BigEndian.Uint32(b)
	if n < 4 || n > MaxFrame {
		return nil, 0, fmt.Errorf("thrift: a frame of %d bytes", int32(n))
	}
	if len(b) < 4+int(n) {
		return nil, 0, nil
	}
	return b[4 : 4+n], 4 + int(n), nil
}

// Begun is what the start of a frame tells of an RPC that is not all there: enough to answer it unread.
type Begun struct {
	Seq    int32
	Method []byte
	Token  []byte
	Recv   float64
}

// Peek reads the start of a frame, behind its length. It gives ok only where that is an RPC's and its fields are all
// there, the body not yet.
func Peek(b []byte) (k Begun, ok bool) {
	r := reader{b: b}
	kind, name, seq, err := r.head()
	if err != nil || kind != msgCall || string(name) != "execute" || r.byte() != typeMap || r.i16() != 1 {
		return k, false
	}
	k.Seq = seq
	r.pairs(func(key, value []byte) {
		switch string(key) {
		case "op":
			k.Method = value
		case "dedupe":
			k.Token = value
		case "recv":
			v, _ := number(value)
			k.Recv = v / 1000
		}
	})
	return k, !r.short && len(k.Method) > 0
}

// Length is how long the frame that begins b is to be, with its length field; 0 if that cannot be told.
func Length(b []byte) int {
	if len(b) < 4 {
		return 0
	}
	return 4 + int(binary.BigEndian.Uint32(b))
}

// Decode tells to what a frame holds. After an error nothing on the connection can be trusted.
func Decode(frame []byte, to Router) error {
	r := reader{b: frame}
	kind, name, seq, err := r.head()
	if err != nil {
		return err
	}
	if kind != msgCall && kind != msgOneway {
		return fmt.Errorf("thrift: message type %d", kind)
	}
	switch string(name) {
	case "execute":
		return r.execute(seq, to)
	case "interrupt":
		target, found := int32(0), false
		err := r.fields(func(id int16, kind byte) bool {
			if id == 1 && kind == typeI32 {
				target, found = r.i32(), true
				return true
			}
			return false
		})
		if err == nil && found {
			to.Interrupt(target)
		}
		return err
	case "check":
		err := r.fields(func(int16, byte) bool { return false })
		if err == nil {
			to.Check(seq)
		}
		return err
	}
	if err := r.fields(func(int16, byte) bool { return false }); err != nil {
		return err
	}
	if kind == msgCall {
		to.Unknown(seq, string(name))
	}
	return nil
}

func (r *reader) execute(seq int32, to Router) error {
	var op, call, src, recv, ttl, heap, crit, dedupe, body []byte
	again := false
	err := r.fields(func(id int16, kind byte) bool {
		switch {
		case id == 2 && kind == typeString:
			body = r.bytes()
			return true
		case id != 1 || kind != typeMap:
			return false
		}
		r.pairs(func(key, value []byte) {
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
			case "rep", "again": // again: of clients of earlier builds
				again = again || marks(value)
			case "dedupe":
				dedupe = value
			}
		})
		return true
	})
	if err != nil {
		return err
	}
	from, okSrc := number(src)
	came, okRecv := number(recv)
	left, okTTL := number(ttl)
	if ttl == nil { // the settings say whether routers tell
		left, okTTL = math.Inf(1), true
	}
	size, okHeap := number(heap)
	rank, okCrit := number(crit) // nothing here goes by it, but a figure out of range is no usual router's
	switch {
	case len(op) == 0:
		to.Unreadable(seq, "op")
	case !hex16(call):
		to.Unreadable(seq, "call")
	case !okSrc || from < 0 || from > math.MaxInt32 || from != math.Trunc(from):
		to.Unreadable(seq, "src")
	case !okRecv || came < 0 || came > lastMilli:
		to.Unreadable(seq, "recv")
	case !okTTL:
		to.Unreadable(seq, "ttl")
	case !okHeap || size <= 0 || size >= mostHeap:
		to.Unreadable(seq, "heap")
	case crit != nil && (!okCrit || rank < 0 || rank >= 1):
		to.Unreadable(seq, "crit")
	case len(dedupe) > mostToken:
		to.Unreadable(seq, "dedupe")
	case len(body) > MaxBody:
		to.Unreadable(seq, "body")
	default:
		to.Execute(seq, op, call, int(from), came/1000, left/1000, size, again, dedupe, body)
	}
	return nil
}

// marks tells whether the value of a mark sets it.
func marks(value []byte) bool {
	switch string(value) {
	case "", "0", "false":
		return false
	}
	return true
}

func hex16(b []byte) bool {
	for _, c := range b {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return len(b) == 16
}

// number reads a finite decimal number, and none of Go's other forms of one.
func number(b []byte) (float64, bool) {
	const decimal = "0123456789+-.eE"
	for _, c := range b {
		if strings.IndexByte(decimal, c) < 0 {
			return 0, false
		}
	}
	v, err := strconv.ParseFloat(string(b), 64)
	return v, err == nil
}

// reader takes values off a frame; short tells that one was not all there.
type reader struct {
	b     []byte
	short bool
}

func (r *reader) take(n int) []byte {
	if n < 0 || n > len(r.b) {
		r.short, r.b = true, nil
		return nil
	}
	v := r.b[:n]
	r.b = r.b[n:]
	return v
}

func (r *reader) byte() byte {
	if v := r.take(1); v != nil {
		return v[0]
	}
	return 0
}

func (r *reader) i16() int16 {
	if v := r.take(2); v != nil {
		return int16(binary.BigEndian.Uint16(v))
	}
	return 0
}

func (r *reader) i32() int32 {
	if v := r.take(4); v != nil {
		return int32(binary.BigEndian.Uint32(v))
	}
	return 0
}

func (r *reader) bytes() []byte { return r.take(int(r.i32())) }

// head reads what each message begins with.
func (r *reader) head() (kind byte, name []byte, seq int32, err error) {
	head := uint32(r.i32())
	name, seq = r.bytes(), r.i32()
	if r.short {
		return 0, nil, 0, errShort
	}
	if head&0xffff0000 != version {
		return 0, nil, 0, fmt.Errorf("thrift: version %#x", head)
	}
	return byte(head), name, seq, nil
}

// pairs goes through a map of strings.
func (r *reader) pairs(take func(key, value []byte)) {
	keys, values, n := r.byte(), r.byte(), r.i32()
	if n < 0 || n > 0 && (keys != typeString || values != typeString) {
		r.short = true // of no use to anybody
		return
	}
	for ; n > 0 && !r.short; n-- {
		if key, value := r.bytes(), r.bytes(); !r.short {
			take(key, value)
		}
	}
}

// fields goes through a struct; take reads a field and says so, or the field is passed over.
func (r *reader) fields(take func(id int16, kind byte) bool) error {
	for !r.short {
		kind := r.byte()
		if kind == 0 && !r.short {
			return nil
		}
		if id := r.i16(); !r.short && !take(id, kind) {
			if err := r.skip(kind, 0); err != nil {
				return err
			}
		}
	}
	return errShort
}

func (r *reader) skip(kind byte, depth int) error {
	if depth > deepest {
		return errors.New("thrift: nested too deep")
	}
	switch kind {
	case typeBool, 3:
		r.take(1)
	case 6:
		r.take(2)
	case typeI32:
		r.take(4)
	case 4, 10:
		r.take(8)
	case typeString:
		r.bytes()
	case typeStruct:
		for !r.short {
			field := r.byte()
			if field == 0 {
				break
			}
			r.i16()
			if err := r.skip(field, depth+1); err != nil {
				return err
			}
		}
	case typeMap, typeSet, typeList:
		kinds := []byte{r.byte()}
		if kind == typeMap {
			kinds = append(kinds, r.byte())
		}
		n := r.i32()
		r.short = r.short || n < 0
		for ; n > 0 && !r.short; n-- {
			for _, k := range kinds {
				if err := r.skip(k, depth+1); err != nil {
					return err
				}
			}
		}
	default:
		return fmt.Errorf("thrift: value type %d", kind)
	}
	if r.short {
		return errShort
	}
	return nil
}
