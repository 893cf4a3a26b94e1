package fleet

import (
	"encoding/binary"
	"math"

	"valveglade/logic/owner"
	"valveglade/logic/share"
)

// The messages between leaseholders and allocators.
const (
	announced byte = iota // the sender is the share's allocator, under a term
	requested             // a leaseholder's request
	granted               // an allocator's answer
)

// grantMessage is one message: magic "VG", format version 1, kind (1 byte), role, sender name and term (8). A request
// continues with incarnation and number (8 each), holds, uses and wants (4 each), left, criticality and run time (8
// each, floats); an answer continues with the requester's incarnation and the request's number (8 each), and grants
// (4). Strings and numbers are encoded as in vote messages. docs/share.md describes the fields.
type grantMessage struct {
	kind    byte
	role    string
	from    string
	term    uint64
	request share.Request
	answer  owner.Answer // To carries only the requester's incarnation; the receiver fills in its own name
}

const grantMagic = "VG\x01"

// maxPermits limits every number of permits in a message.
const maxPermits = 1 << 24

func encodeGrant(m grantMessage) []byte {
	out := append([]byte(grantMagic), m.kind)
	out = appendText(out, m.role)
	out = appendText(out, m.from)
	out = binary.BigEndian.AppendUint64(out, m.term)
	appendFloat := func(v float64) { out = binary.BigEndian.AppendUint64(out, math.Float64bits(v)) }
	switch m.kind {
	case requested:
		request := m.request
		out = binary.BigEndian.AppendUint64(out, request.From.ID)
		out = binary.BigEndian.AppendUint64(out, request.Number)
		for _, n := range []int{request.Holds, request.Uses, request.Wants} {
			out = binary.BigEndian.AppendUint32(out, uint32(min(n, maxPermits)))
		}
		appendFloat(request.Left)
		appendFloat(request.Criticality)
		appendFloat(request.RunTime)
	case granted:
		out = binary.BigEndian.AppendUint64(out, m.answer.To.ID)
		out = binary.BigEndian.AppendUint64(out, m.answer.Number)
		out = binary.BigEndian.AppendUint32(out, uint32(m.answer.Grants))
	}
	return out
}

func decodeGrant(b []byte, self string) (m grantMessage, err error) {
	if len(b) < 4 || string(b[:3]) != grantMagic || b[3] > granted {
		return m, errUnknownMessage
	}
	r := packetReader{b: b[4:]}
	m.kind = b[3]
	m.role, m.from, m.term = r.text(), r.text(), r.uint64()
	readPermits := func() int { return int(r.uint32()) }
	readFloat := func() float64 {
		v := math.Float64frombits(r.uint64())
		if !(v >= 0 && v < 1e9) {
			r.err = errUnknownMessage
		}
		return v
	}
	switch m.kind {
	case requested:
		request := &m.request
		request.Role, request.Term, request.From = m.role, m.term, owner.Incarnation{Name: m.from, ID: r.uint64()}
		request.Number, request.Holds, request.Uses, request.Wants = r.uint64(), readPermits(), readPermits(), readPermits()
		request.Left, request.Criticality, request.RunTime = readFloat(), readFloat(), readFloat()
		if max(request.Holds, request.Uses, request.Wants) > maxPermits {
			r.err = errUnknownMessage
		}
	case granted:
		m.answer = owner.Answer{Role: m.role, Term: m.term, To: owner.Incarnation{Name: self, ID: r.uint64()},
			Number: r.uint64(), Grants: readPermits()}
		if m.answer.Grants > maxPermits {
			r.err = errUnknownMessage
		}
	}
	if r.err != nil || m.role == "" || m.from == "" || m.term > maxTerm {
		return grantMessage{}, errUnknownMessage
	}
	return m, nil
}

// packetReader decodes the fields of a message. Reading past the end sets err.
type packetReader struct {
	b   []byte
	err error
}

func (r *packetReader) next(n int) []byte {
	if len(r.b) < n {
		r.b, r.err = nil, errUnknownMessage
		return make([]byte, n)
	}
	b := r.b[:n]
	r.b = r.b[n:]
	return b
}

func (r *packetReader) text() string   { return string(r.next(int(r.next(1)[0]))) }
func (r *packetReader) uint64() uint64 { return binary.BigEndian.Uint64(r.next(8)) }
func (r *packetReader) uint32() uint32 { return binary.BigEndian.Uint32(r.next(4)) }
