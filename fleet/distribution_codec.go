package fleet

import (
	"encoding/binary"
	"errors"
	"math"

	"valveglade/logic/configlog"
)

// errMalformed is returned for bytes that are not a message of the distribution of configuration.
var errMalformed = errors.New("not a message of the distribution of configuration")

// maxIndex bounds indices and terms in messages: past what a log could come to, and far from where sums overflow.
const maxIndex = 1 << 53

// maxSeconds bounds ages and rates in messages.
const maxSeconds = 1e12

// messageWriter appends fields to a message. Numbers are big endian; a text or payload is its length (2 bytes) and its bytes.
type messageWriter struct{ out []byte }

func (w *messageWriter) byte(b byte)     { w.out = append(w.out, b) }
func (w *messageWriter) number(n uint64) { w.out = binary.BigEndian.AppendUint64(w.out, n) }
func (w *messageWriter) count(n int)     { w.out = binary.BigEndian.AppendUint16(w.out, uint16(n)) }
func (w *messageWriter) bytes(b []byte)  { w.count(len(b)); w.out = append(w.out, b...) }
func (w *messageWriter) text(s string)   { w.count(len(s)); w.out = append(w.out, s...) }

// seconds writes an age, or a rate; what is unknown, and so infinite, is written as the most.
func (w *messageWriter) seconds(s float64) { w.number(math.Float64bits(min(s, maxSeconds))) }

func (w *messageWriter) flag(set bool) {
	if set {
		w.byte(1)
		return
	}
	w.byte(0)
}

func (w *messageWriter) version(v configlog.Version) {
	w.number(v.Term)
	w.number(v.Index)
}

func (w *messageWriter) change(c configlog.Change) {
	w.text(c.Service)
	w.bytes(c.Payload)
}

func (w *messageWriter) entry(e configlog.Entry) {
	w.version(e.Version)
	w.number(e.Previous)
	w.change(e.Change)
}

func (w *messageWriter) entries(all []configlog.Entry) {
	w.count(len(all))
	for _, e := range all {
		w.entry(e)
	}
}

// messageReader takes fields from the front of a message. After the first field that is missing or out of its bounds all are
// zero, and done reports an error.
type messageReader struct {
	rest   []byte
	failed bool
}

func (r *messageReader) fail() {
	r.rest, r.failed = nil, true
}

func (r *messageReader) take(n int) []byte {
	if len(r.rest) < n {
		r.fail()
		return make([]byte, n)
	}
	taken := r.rest[:n]
	r.rest = r.rest[n:]
	return taken
}

func (r *messageReader) byte() byte { return r.take(1)[0] }
func (r *messageReader) count() int { return int(binary.BigEndian.Uint16(r.take(2))) }

// any64 is a number that may have any value, such as an identifier.
func (r *messageReader) any64() uint64 { return binary.BigEndian.Uint64(r.take(8)) }

func (r *messageReader) number() uint64 {
	n := r.any64()
	if n > maxIndex {
		r.fail()
		return 0
	}
	return n
}

func (r *messageReader) seconds() float64 {
	s := math.Float64frombits(r.any64())
	if !(s >= 0 && s <= maxSeconds) || math.Signbit(s) {
		r.fail()
		return 0
	}
	return s
}

func (r *messageReader) flag() bool {
	b := r.byte()
	if b > 1 {
		r.fail()
	}
	return b == 1
}

func (r *messageReader) text() string { return string(r.take(r.count())) }

// bytes copies, so that what is kept of a message does not keep all of it.
func (r *messageReader) bytes() []byte {
	n := r.count()
	if n == 0 {
		return nil
	}
	return append([]byte(nil), r.take(n)...)
}

func (r *messageReader) version() configlog.Version {
	return configlog.Version{Term: r.number(), Index: r.number()}
}

func (r *messageReader) change() configlog.Change {
	return configlog.Change{Service: r.text(), Payload: r.bytes()}
}

func (r *messageReader) entry() configlog.Entry {
	return configlog.Entry{Version: r.version(), Previous: r.number(), Change: r.change()}
}

func (r *messageReader) entries() []configlog.Entry {
	var all []configlog.Entry
	for range r.count() {
		if r.failed {
			return nil
		}
		all = append(all, r.entry())
	}
	return all
}

// done reports whether the message was read whole, with nothing after it.
func (r *messageReader) done() error {
	if r.failed || len(r.rest) > 0 {
		return errMalformed
	}
	return nil
}
