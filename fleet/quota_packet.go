package fleet

import (
	"encoding/binary"
	"math"

	"valveglade/logic/owner"
	"valveglade/logic/share"
)

// The messages between leaseholders and allocators.
const (
	announced byte = iota // the sender allocates it, under a term
	requested             // a leaseholder's request
	granted               // an allocator's answer
)

// grantMessage is one message: "VG", format 1, the kind, then role, from and term (8). A request goes on with incarnation and
// number (8 each), holds, uses and wants (4 each), left, criticality and run time (8 each, floats); an answer with the requester's incarnation and the
// request's number (8 each), and grants (4). Text and numbers are as in other messages. docs/share.md has the words.
type grantMessage struct {
	kind    byte
	role    string
	from    string
	term    uint64
	request share.Request
	answer  owner.Answer // its To has the requester's incarnation alone: that it is the receiver, the receiver knows
}

const grantMagic = "VG\x01"

// maxPermits bounds what a message may speak of.
const maxPermits = 1 << 24

func encodeGrant(m grantMessage) []byte {
	out := append([]byte(grantMagic), m.kind)
	out = appendText(out, m.role)
	out = appendText(out, m.from)
	out = binary.BigEndian.AppendUint64(out, m.term)
	float := func(v float64) { out = binary.BigEndian.AppendUint64(out, math.Float64bits(v)) }
	switch m.kind {
	case requested:
		q := m.request
		out = binary.BigEndian.AppendUint64(out, q.From.ID)
		out = binary.BigEndian.AppendUint64(out, q.Number)
		for _, n := range []int{q.Holds, q.Uses, q.Wants} {
			out = binary.BigEndian.AppendUint32(out, uint32(min(n, maxPermits)))
		}
		float(q.Left)
		float(q.Criticality)
		float(q.RunTime)
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
	r := reader{b: b[4:]}
	m.kind = b[3]
	m.role, m.from, m.term = r.text(), r.text(), r.number()
	parts := func() int { return int(r.short()) }
	float := func() float64 {
		v := math.Float64frombits(r.number())
		if !(v >= 0 && v < 1e9) {
			r.err = errUnknownMessage
		}
		return v
	}
	switch m.kind {
	case requested:
		q := &m.request
		q.Role, q.Term, q.From = m.role, m.term, owner.Incarnation{Name: m.from, ID: r.number()}
		q.Number, q.Holds, q.Uses, q.Wants = r.number(), parts(), parts(), parts()
		q.Left, q.Criticality, q.RunTime = float(), float(), float()
		if max(q.Holds, q.Uses, q.Wants) > maxPermits {
			r.err = errUnknownMessage
		}
	case granted:
		m.answer = owner.Answer{Role: m.role, Term: m.term, To: owner.Incarnation{Name: self, ID: r.number()}, Number: r.number(), Grants: parts()}
		if m.answer.Grants > maxPermits {
			r.err = errUnknownMessage
		}
	}
	if r.err != nil || m.role == "" || m.from == "" || m.term > maxTerm {
		return grantMessage{}, errUnknownMessage
	}
	return m, nil
}

// reader takes a message apart; what is missing makes it none of ours.
type reader struct {
	b   []byte
	err error
}

func (r *reader) take(n int) []byte {
	if len(r.b) < n {
		r.b, r.err = nil, errUnknownMessage
		return make([]byte, n)
	}
	b := r.b[:n]
	r.b = r.b[n:]
	return b
}

func (r *reader) text() string   { return string(r.take(int(r.take(1)[0]))) }
func (r *reader) number() uint64 { return binary.BigEndian.Uint64(r.take(8)) }
func (r *reader) short() uint32  { return binary.BigEndian.Uint32(r.take(4)) }
