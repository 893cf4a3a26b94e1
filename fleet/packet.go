package fleet

import (
	"encoding/binary"
	"errors"
	"math"

	"valveglade/logic/owner"
)

// A message between candidate and voter: magic "VO", format version 2, kind (1 byte), role, sender name, sender
// incarnation (8), receiver name, term (8), round (8), seconds left of the lease (8, a float), holder. A string is a
// length byte followed by that many bytes; numbers are big endian. docs/owner.md describes the fields.
const messageMagic = "VO\x02"

var errUnknownMessage = errors.New("unknown message format")

func encodeVoteMessage(m owner.Message) []byte {
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

func decodeVoteMessage(b []byte) (m owner.Message, err error) {
	if len(b) < 4 || string(b[:3]) != messageMagic {
		return m, errUnknownMessage
	}
	m.Kind = owner.MessageKind(b[3])
	r := packetReader{b: b[4:]}
	m.Role, m.From.Name, m.From.ID, m.To = r.text(), r.text(), r.uint64(), r.text()
	m.Term, m.Round, m.Left = r.uint64(), r.uint64(), math.Float64frombits(r.uint64())
	m.Holder = r.text()
	switch {
	case r.err != nil:
		return owner.Message{}, r.err
	case m.Kind > owner.Rejected || m.Role == "" || len(m.Role) > owner.MaxNameLength ||
		m.Term > maxTerm || !(m.Left >= 0):
		return owner.Message{}, errUnknownMessage
	}
	return m, nil
}

// maxTerm is higher than any term in use: terms start at the wall clock in milliseconds and rise by one per owner.
const maxTerm = 1 << 53
