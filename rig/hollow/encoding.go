package hollow

import (
	"encoding/binary"
	"math"

	"valveglade/logic/owner"
	"valveglade/logic/share"
)

// The bytes of fleet's messages, as docs/owner.md and docs/share.md have them: hollow candidates and leaseholders
// speak to real processes in them.

func appendText(out []byte, s string) []byte { return append(append(out, byte(len(s))), s...) }

func appendFloat(out []byte, v float64) []byte {
	return binary.BigEndian.AppendUint64(out, math.Float64bits(v))
}

// encodeRoleMessage is a message between candidate and voter.
func encodeRoleMessage(m owner.Message) []byte {
	out := append([]byte("VO\x02"), byte(m.Kind))
	out = appendText(out, m.Role)
	out = appendText(out, m.From.Name)
	out = binary.BigEndian.AppendUint64(out, m.From.ID)
	out = appendText(out, m.To)
	out = binary.BigEndian.AppendUint64(out, m.Term)
	out = binary.BigEndian.AppendUint64(out, m.Round)
	out = appendFloat(out, m.Left)
	return appendText(out, m.Holder)
}

// The kinds of message about quotas.
const (
	kindAnnounced = 0
	kindRequested = 1
	kindGranted   = 2
)

// encodeRequest is what a leaseholder asks its allocator.
func encodeRequest(role, from string, q share.Request) []byte {
	out := append([]byte("VG\x01"), kindRequested)
	out = appendText(out, role)
	out = appendText(out, from)
	out = binary.BigEndian.AppendUint64(out, q.Term)
	out = binary.BigEndian.AppendUint64(out, q.From.ID)
	out = binary.BigEndian.AppendUint64(out, q.Number)
	for _, n := range []int{q.Holds, q.Uses, q.Wants} {
		out = binary.BigEndian.AppendUint32(out, uint32(n))
	}
	out = appendFloat(out, q.Left)
	out = appendFloat(out, q.Criticality)
	return appendFloat(out, q.RunTime)
}

// answer is what an allocator sends, as far as hollow holders look at it.
type answer struct {
	kind   byte
	role   string
	from   string
	term   uint64
	id     uint64 // of the holder, in a grant
	number uint64 // of its request
	grants int
}

// decodeAnswer reads a message of an allocator; false if it is none.
func decodeAnswer(b []byte) (a answer, ok bool) {
	if len(b) < 4 || string(b[:3]) != "VG\x01" {
		return a, false
	}
	a.kind, b = b[3], b[4:]
	text := func() string {
		if len(b) == 0 || len(b) < 1+int(b[0]) {
			b = nil
			return ""
		}
		s := string(b[1 : 1+int(b[0])])
		b = b[1+int(b[0]):]
		return s
	}
	number := func() uint64 {
		if len(b) < 8 {
			b = nil
			return 0
		}
		n := binary.BigEndian.Uint64(b)
		b = b[8:]
		return n
	}
	a.role, a.from, a.term = text(), text(), number()
	if a.kind == kindGranted {
		a.id, a.number = number(), number()
		if len(b) < 4 {
			return a, false
		}
		a.grants = int(binary.BigEndian.Uint32(b))
	}
	return a, a.from != ""
}
