package fleet

import (
	"encoding/binary"
	"math"

	"valveglade/logic/owner"
	"valveglade/logic/share"
)

// What holders and keepers of shares say to each other.
const (
	kept    byte = iota // the sender keeps it, under a term
	asked               // a holder's question
	granted             // a keeper's answer
)

// grantMessage is one message: "VG", format 1, the word, then office, from and term (8). A question goes on with birth and
// number (8 each), holds, uses and wants (4 each), left, worth and took (8 each, floats); an answer with the asker's birth and the
// question's number (8 each), and grants (4). Text and numbers are as in other messages. docs/share.md has the words.
type grantMessage struct {
	word     byte
	office   string
	from     string
	term     uint64
	question share.Request
	answer   owner.Answer // its To has the asker's birth alone: that it is the receiver, the receiver knows
}

const grantMagic = "VG\x01"

// mostParts bounds what a message may speak of.
const mostParts = 1 << 24

func encodeGrant(m grantMessage) []byte {
	out := append([]byte(grantMagic), m.word)
	out = appendText(out, m.office)
	out = appendText(out, m.from)
	out = binary.BigEndian.AppendUint64(out, m.term)
	float := func(v float64) { out = binary.BigEndian.AppendUint64(out, math.Float64bits(v)) }
	switch m.word {
	case asked:
		q := m.question
		out = binary.BigEndian.AppendUint64(out, q.From.ID)
		out = binary.BigEndian.AppendUint64(out, q.Number)
		for _, n := range []int{q.Holds, q.Uses, q.Wants} {
			out = binary.BigEndian.AppendUint32(out, uint32(min(n, mostParts)))
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
		return m, errNotOurs
	}
	r := reading{b: b[4:]}
	m.word = b[3]
	m.office, m.from, m.term = r.text(), r.text(), r.number()
	parts := func() int { return int(r.short()) }
	float := func() float64 {
		v := math.Float64frombits(r.number())
		if !(v >= 0 && v < 1e9) {
			r.err = errNotOurs
		}
		return v
	}
	switch m.word {
	case asked:
		q := &m.question
		q.Role, q.Term, q.From = m.office, m.term, owner.Incarnation{Name: m.from, ID: r.number()}
		q.Number, q.Holds, q.Uses, q.Wants = r.number(), parts(), parts(), parts()
		q.Left, q.Criticality, q.RunTime = float(), float(), float()
		if max(q.Holds, q.Uses, q.Wants) > mostParts {
			r.err = errNotOurs
		}
	case granted:
		m.answer = owner.Answer{Role: m.office, Term: m.term, To: owner.Incarnation{Name: self, ID: r.number()}, Number: r.number(), Grants: parts()}
		if m.answer.Grants > mostParts {
			r.err = errNotOurs
		}
	}
	if r.err != nil || m.office == "" || m.from == "" || m.term > mostTerm {
		return grantMessage{}, errNotOurs
	}
	return m, nil
}

// reading takes a message apart; what is missing makes it none of ours.
type reading struct {
	b   []byte
	err error
}

func (r *reading) take(n int) []byte {
	if len(r.b) < n {
		r.b, r.err = nil, errNotOurs
		return make([]byte, n)
	}
	b := r.b[:n]
	r.b = r.b[n:]
	return b
}

func (r *reading) text() string   { return string(r.take(int(r.take(1)[0]))) }
func (r *reading) number() uint64 { return binary.BigEndian.Uint64(r.take(8)) }
func (r *reading) short() uint32  { return binary.BigEndian.Uint32(r.take(4)) }
