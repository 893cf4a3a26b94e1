package fleet

import (
	"encoding/binary"
	"errors"
	"math"

	"valveglade/logic/owner"
)

// A message between candidate and voter: "VO", format 2, the kind, then role, from, the sender's incarnation (8), to, term (8),
// round (8), seconds left (8, a float), holder. Text is a byte of length and then the bytes, numbers are big endian. docs/owner.md
// has the words.
const messageMagic = "VO\x02"

var errUnknownMessage = errors.New("no message of a role")

func encode(m owner.Message) []byte {
	out := append([]byte(messageMagic), byte(m.Kind))
	out = appendText(out, m.Role)
	out = appendText(out, m.From.Name)
	out = binary.BigEndian.AppendUint64(out, m.From.ID)
	out = appendText(out, m.To)
	out = binary.BigEndian.AppendUint64(out, m.Term)
	out = binary.BigEndian.AppendUint64(out, m.Round)
	out = binary.BigEndian.AppendUint64(out, math.Float64bits(m.Left))
	return appendText(out, m.Holder)
}

func appendText(out []byte, s string) []byte { return append(append(out, byte(len(s))), s...) }

func decode(b []byte) (m owner.Message, err error) {
	if len(b) < 4 || string(b[:3]) != messageMagic {
		return m, errUnknownMessage
	}
	m.Kind = owner.MessageKind(b[3])
	r := reader{b: b[4:]}
	m.Role, m.From.Name, m.From.ID, m.To = r.text(), r.text(), r.number(), r.text()
	m.Term, m.Round, m.Left = r.number(), r.number(), math.Float64frombits(r.number())
	m.Holder = r.text()
	switch {
	case r.err != nil:
		return owner.Message{}, r.err
	case m.Kind > owner.Rejected || m.Role == "" || len(m.Role) > owner.MaxNameLength || m.Term > maxTerm || !(m.Left >= 0):
		return owner.Message{}, errUnknownMessage
	}
	return m, nil
}

// maxTerm is past what terms could come to: they begin at the wall clock in milliseconds, and rise by one with each owner.
const maxTerm = 1 << 53
