package fleet

import (
	"encoding/binary"
	"errors"
	"math"

	"valveglade/logic/configlog"
)

// errMalformed is returned for bytes that are not a valid message of configuration distribution.
var errMalformed = errors.New("not a message of the distribution of configuration")

// maxIndex is the largest index or term in a message. No log grows that far, and sums of such values do not overflow.
const maxIndex = 1 << 53

// maxSeconds is the largest age, in seconds, or rate in a message. An unknown age is encoded as maxSeconds.
const maxSeconds = 1e12

// fieldCodec encodes or decodes the fields of a message: messageWriter appends them, messageReader fills them in. The
// fields of each kind of message are listed once, in a function that serves both directions; see messageFormat.
type fieldCodec interface {
	byte(*byte)
	number(*uint64) // at most maxIndex
	uint64(*uint64) // any value, such as an identifier
	seconds(*float64)
	flag(*bool)
	text(*string)
	bytes(*[]byte)
	count(int) int // writes the given list length, or ignores it and reads one; returns the length
	ok() bool      // whether all fields so far were valid
	invalid()      // marks the message being read as malformed; no effect when writing
}

// messageFormat is the codec of one kind of message.
type messageFormat struct {
	kind  byte
	write func(*messageWriter, any) bool // reports whether the message is of this kind
	read  func(*messageReader) any
}

// formatOf returns the codec of messages of type M. fields passes the fields of a message to the codec, in wire order.
func formatOf[M any](kind byte, fields func(fieldCodec, *M)) messageFormat {
	return messageFormat{
		kind: kind,
		write: func(w *messageWriter, message any) bool {
			m, ok := message.(M)
			if !ok {
				return false
			}
			w.byte(&kind)
			fields(w, &m)
			return true
		},
		read: func(r *messageReader) any {
			var m M
			fields(r, &m)
			return m
		},
	}
}

// typicalMessageBytes is the initial capacity of an encoded message; most messages fit without growing it.
const typicalMessageBytes = 128

// encodeMessage returns a prefix followed by the kind and the fields of a message, or nil for a type without a format.
func encodeMessage(formats []messageFormat, prefix string, message any) []byte {
	w := messageWriter{out: append(make([]byte, 0, typicalMessageBytes), prefix...)}
	for _, format := range formats {
		if format.write(&w, message) {
			return w.out
		}
	}
	return nil
}

// decodeMessage decodes what encodeMessage wrote after the prefix. It returns errMalformed for anything else.
func decodeMessage(formats []messageFormat, payload []byte) (any, error) {
	r := messageReader{rest: payload}
	var kind byte
	r.byte(&kind)
	for _, format := range formats {
		if format.kind != kind {
			continue
		}
		message := format.read(&r)
		if r.failed || len(r.rest) > 0 {
			return nil, errMalformed
		}
		return message, nil
	}
	return nil, errMalformed
}

func versionFields(c fieldCodec, v *configlog.Version) {
	c.number(&v.Term)
	c.number(&v.Index)
}

func changeFields(c fieldCodec, change *configlog.Change) {
	c.text(&change.Service)
	c.bytes(&change.Payload)
}

func entryFields(c fieldCodec, e *configlog.Entry) {
	versionFields(c, &e.Version)
	c.number(&e.Previous)
	changeFields(c, &e.Change)
}

// listFields encodes or decodes a list: its length, then its elements. Decoding stops at the first malformed element.
func listFields[T any](c fieldCodec, list *[]T, element func(fieldCodec, *T)) {
	for k := range c.count(len(*list)) {
		if !c.ok() {
			return
		}
		if k == len(*list) {
			*list = append(*list, *new(T))
		}
		element(c, &(*list)[k])
	}
}

// messageWriter appends fields to a message. Numbers are big endian; a text or payload is its length (2 bytes) followed
// by its bytes.
type messageWriter struct{ out []byte }

func (w *messageWriter) byte(b *byte)     { w.out = append(w.out, *b) }
func (w *messageWriter) number(n *uint64) { w.uint64(n) }
func (w *messageWriter) uint64(n *uint64) { w.out = binary.BigEndian.AppendUint64(w.out, *n) }
func (w *messageWriter) text(s *string)   { w.count(len(*s)); w.out = append(w.out, *s...) }
func (w *messageWriter) bytes(b *[]byte)  { w.count(len(*b)); w.out = append(w.out, *b...) }
func (w *messageWriter) ok() bool         { return true }
func (w *messageWriter) invalid()         {}

func (w *messageWriter) count(n int) int {
	w.out = binary.BigEndian.AppendUint16(w.out, uint16(n))
	return n
}

// seconds writes an age or a rate. An infinite value, which stands for an unknown one, is written as maxSeconds.
func (w *messageWriter) seconds(s *float64) {
	w.out = binary.BigEndian.AppendUint64(w.out, math.Float64bits(min(*s, maxSeconds)))
}

func (w *messageWriter) flag(set *bool) {
	var b byte
	if *set {
		b = 1
	}
	w.out = append(w.out, b)
}

// messageReader reads fields from the front of a message. After the first field that is missing or out of bounds, all
// further fields are zero and ok returns false.
type messageReader struct {
	rest   []byte
	failed bool
}

func (r *messageReader) ok() bool { return !r.failed }

func (r *messageReader) invalid() {
	r.rest, r.failed = nil, true
}

func (r *messageReader) take(n int) []byte {
	if len(r.rest) < n {
		r.invalid()
		return make([]byte, n)
	}
	taken := r.rest[:n]
	r.rest = r.rest[n:]
	return taken
}

func (r *messageReader) byte(b *byte)     { *b = r.take(1)[0] }
func (r *messageReader) uint64(n *uint64) { *n = binary.BigEndian.Uint64(r.take(8)) }
func (r *messageReader) count(int) int    { return int(binary.BigEndian.Uint16(r.take(2))) }
func (r *messageReader) text(s *string)   { *s = string(r.take(r.count(0))) }

func (r *messageReader) number(n *uint64) {
	if r.uint64(n); *n > maxIndex {
		r.invalid()
		*n = 0
	}
}

func (r *messageReader) seconds(s *float64) {
	var bits uint64
	r.uint64(&bits)
	*s = math.Float64frombits(bits)
	if !(*s >= 0 && *s <= maxSeconds) || math.Signbit(*s) {
		r.invalid()
		*s = 0
	}
}

func (r *messageReader) flag(set *bool) {
	var b byte
	if r.byte(&b); b > 1 {
		r.invalid()
	}
	*set = b == 1
}

// bytes copies the payload, so that keeping it does not retain the whole message.
func (r *messageReader) bytes(b *[]byte) {
	n := r.count(0)
	if n == 0 {
		return
	}
	*b = append([]byte(nil), r.take(n)...)
}
