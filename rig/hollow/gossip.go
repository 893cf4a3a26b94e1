package hollow

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"github.com/hashicorp/go-msgpack/v2/codec"

	"valveglade/logic/view"
)

// The bytes of members' packets and streams, as docs/fleet.md has them, and of the gossip library's messages in them.

const (
	gossipMagic  = "VGF\x01"
	gossipKind   = 'g'
	gossipHead   = len(gossipMagic) + 1 + 4
	gossipPacket = 1400 - gossipHead // payload bytes of one packet
)

// The library's kinds of message.
const (
	msgPing         = 0
	msgIndirectPing = 1
	msgAck          = 2
	msgSuspect      = 3
	msgAlive        = 4
	msgDead         = 5
	msgExchange     = 6
	msgCompound     = 7
	msgChecked      = 12
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var errNotGossip = errors.New("not a gossip packet")

func sealGossip(payload []byte) []byte {
	out := append([]byte(gossipMagic), gossipKind)
	sum := crc32.Update(crc32.Update(0, castagnoli, []byte{gossipKind}), castagnoli, payload)
	return append(binary.BigEndian.AppendUint32(out, sum), payload...)
}

func openGossip(b []byte) ([]byte, error) {
	if len(b) < gossipHead || string(b[:len(gossipMagic)]) != gossipMagic || b[len(gossipMagic)] != gossipKind {
		return nil, errNotGossip
	}
	return b[gossipHead:], nil
}

// messages splits a packet of the library.
func messages(b []byte) [][]byte {
	if len(b) > 5 && b[0] == msgChecked {
		b = b[5:]
	}
	if len(b) < 2 || b[0] != msgCompound {
		return [][]byte{b}
	}
	count := int(b[1])
	if len(b) < 2+2*count {
		return nil
	}
	bodies := b[2+2*count:]
	var all [][]byte
	for k := range count {
		size := int(binary.BigEndian.Uint16(b[2+2*k:]))
		if len(bodies) < size {
			return all
		}
		all = append(all, bodies[:size])
		bodies = bodies[size:]
	}
	return all
}

// mostCompound is how many messages one packet has at the most.
const mostCompound = 255

// compound puts as many messages into one packet as fit, and gives the rest.
func compound(all [][]byte) (packet []byte, rest [][]byte) {
	size, count := 2, 0
	for count < len(all) && count < mostCompound && size+2+len(all[count]) <= gossipPacket {
		size += 2 + len(all[count])
		count++
	}
	packet = []byte{msgCompound, byte(count)}
	for _, m := range all[:count] {
		packet = binary.BigEndian.AppendUint16(packet, uint16(len(m)))
	}
	for _, m := range all[:count] {
		packet = append(packet, m...)
	}
	return packet, all[count:]
}

type pingMessage struct {
	SeqNo      uint32
	Node       string
	SourceAddr []byte `codec:",omitempty"`
	SourcePort uint16 `codec:",omitempty"`
	SourceNode string `codec:",omitempty"`
}

type indirectPingMessage struct {
	SeqNo      uint32
	Target     []byte
	Port       uint16
	Node       string
	Nack       bool
	SourceAddr []byte `codec:",omitempty"`
	SourcePort uint16 `codec:",omitempty"`
	SourceNode string `codec:",omitempty"`
}

type ackMessage struct {
	SeqNo   uint32
	Payload []byte
}

// claimMessage is a suspicion or a death.
type claimMessage struct {
	Incarnation uint32
	Node        string
	From        string
}

type aliveMessage struct {
	Incarnation uint32
	Node        string
	Addr        []byte
	Port        uint16
	Meta        []byte
	Vsn         []uint8
}

type exchangeHead struct {
	Nodes        int
	UserStateLen int
	Join         bool
}

type exchangeState struct {
	Name        string
	Addr        []byte
	Port        uint16
	Meta        []byte
	Incarnation uint32
	State       int
	Vsn         []uint8
}

// protocolVersions are those that the library's members speak: least, most and current of protocol and delegate.
var protocolVersions = []uint8{1, 5, 2, 0, 0, 0}

func encodeMessage(kind byte, v any) []byte {
	out := bytes.NewBuffer([]byte{kind})
	if err := codec.NewEncoder(out, &codec.MsgpackHandle{}).Encode(v); err != nil {
		panic(err) // of our own types: cannot be
	}
	return out.Bytes()
}

func decodeMessage(b []byte, into any) error {
	return codec.NewDecoder(bytes.NewReader(b), &codec.MsgpackHandle{}).Decode(into)
}

// meta is a member's word on itself.
func meta(e view.Entry) []byte {
	out := append([]byte("VM"), 1, e.Proto, byte(e.State), 0)
	out = binary.BigEndian.AppendUint64(out, e.Incarnation.Number)
	out = binary.BigEndian.AppendUint32(out, e.Incarnation.Nonce)
	out = append(out, e.Load.Open, e.Load.Credit, e.Load.Level)
	return appendText(appendText(out, e.Name), e.Zone)
}

// nodeName is the name under which the library knows one incarnation.
func nodeName(e view.Entry) string { return fmt.Sprintf("%s~%08x", e.Name, e.Incarnation.Nonce) }

// echoPayload is what an answer to a probe carries: version and digest of a view.
func echoPayload(version, digest uint64) []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64([]byte("VE\x01"), version), digest)
}
