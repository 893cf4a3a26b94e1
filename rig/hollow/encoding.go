package hollow

import (
	"encoding/binary"
	"math"

	"valveglade/logic/owner"
	"valveglade/logic/share"
)

// This file encodes the messages of package fleet that are described in docs/owner.md and docs/share.md: simulated candidates
// and leaseholders exchange them with real processes.

// appendText appends a string with its length in one byte.
func appendText(out []byte, s string) []byte { return append(append(out, byte(len(s))), s...) }

// appendFloat appends the bits of a float in big-endian order.
func appendFloat(out []byte, v float64) []byte {
	return binary.BigEndian.AppendUint64(out, math.Float64bits(v))
}

// encodeRoleMessage encodes a message between a candidate and a voter.
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

// Kinds of quota messages.
const (
	kindAnnounced = 0
	kindRequested = 1
	kindGranted   = 2
)

// encodeRequest encodes a quota request of a leaseholder to its allocator.
func encodeRequest(role, from string, request share.Request) []byte {
	out := append([]byte("VG\x01"), kindRequested)
	out = appendText(out, role)
	out = appendText(out, from)
	out = binary.BigEndian.AppendUint64(out, request.Term)
	out = binary.BigEndian.AppendUint64(out, request.From.ID)
	out = binary.BigEndian.AppendUint64(out, request.Number)
	for _, n := range []int{request.Holds, request.Uses, request.Wants} {
		out = binary.BigEndian.AppendUint32(out, uint32(n))
	}
	out = appendFloat(out, request.Left)
	out = appendFloat(out, request.Criticality)
	return appendFloat(out, request.RunTime)
}

// allocatorAnswer is a message of an allocator, without the fields that simulated leaseholders ignore.
type allocatorAnswer struct {
	kind          byte
	role          string
	from          string
	term          uint64
	holderID      uint64 // in a grant
	requestNumber uint64 // in a grant: the request that it answers
	grants        int
}

// decodeAnswer decodes a message of an allocator. It returns false if the bytes are not such a message.
func decodeAnswer(b []byte) (a allocatorAnswer, ok bool) {
	if len(b) < 4 || string(b[:3]) != "VG\x01" {
		return a, false
	}
	a.kind, b = b[3], b[4:]
	nextString := func() string {
		if len(b) == 0 || len(b) < 1+int(b[0]) {
			b = nil
			return ""
		}
		s := string(b[1 : 1+int(b[0])])
		b = b[1+int(b[0]):]
		return s
	}
	nextUint64 := func() uint64 {
		if len(b) < 8 {
			b = nil
			return 0
		}
		n := binary.BigEndian.Uint64(b)
		b = b[8:]
		return n
	}
	a.role, a.from, a.term = nextString(), nextString(), nextUint64()
	if a.kind == kindGranted {
		a.holderID, a.requestNumber = nextUint64(), nextUint64()
		if len(b) < 4 {
			return a, false
		}
		a.grants = int(binary.BigEndian.Uint32(b))
	}
	return a, a.from != ""
}
