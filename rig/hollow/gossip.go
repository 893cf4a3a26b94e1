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

// This file encodes the packets and streams of members that are described in docs/fleet.md, and the messages of the gossip
// library in them.

const (
	gossipMagic      = "VGF\x01"
	gossipPacketKind = 'g'
	gossipHeaderSize = len(gossipMagic) + 1 + 4
	maxGossipPayload = 1400 - gossipHeaderSize // bytes per packet
)

// Message kinds of the gossip library.
const (
	msgPing         = 0
	msgIndirectPing = 1
	msgAck          = 2
	msgSuspect      = 3
	msgAlive        = 4
	msgDead         = 5
	msgExchange     = 6
	msgCompound     = 7
	msgHasChecksum  = 12
)

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

var errNotGossip = errors.New("not a gossip packet")

// encodeGossipPacket adds magic, kind and checksum to a payload.
func encodeGossipPacket(payload []byte) []byte {
	out := append([]byte(gossipMagic), gossipPacketKind)
	sum := crc32.Update(crc32.Update(0, castagnoliTable, []byte{gossipPacketKind}), castagnoliTable, payload)
	return append(binary.BigEndian.AppendUint32(out, sum), payload...)
}

// decodeGossipPacket returns the payload of a gossip packet, without verifying its checksum. It returns errNotGossip for a packet
// of another kind.
func decodeGossipPacket(b []byte) ([]byte, error) {
	if len(b) < gossipHeaderSize || string(b[:len(gossipMagic)]) != gossipMagic || b[len(gossipMagic)] != gossipPacketKind {
		return nil, errNotGossip
	}
	return b[gossipHeaderSize:], nil
}

// splitMessages splits a packet of the library into its messages.
func splitMessages(b []byte) [][]byte {
	if len(b) > 5 && b[0] == msgHasChecksum {
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

// maxPackedMessages is the maximum number of messages per packet.
const maxPackedMessages = 255

// packMessages packs as many messages as fit into one packet and returns it with the remaining ones.
func packMessages(all [][]byte) (packet []byte, rest [][]byte) {
	size, count := 2, 0
	for count < len(all) && count < maxPackedMessages && size+2+len(all[count]) <= maxGossipPayload {
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

// claimMessage claims that a member is suspect or dead.
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

type exchangeHeader struct {
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

// protocolVersions holds the protocol versions of the library's members: minimum, maximum and current one of the protocol, then
// of the delegate.
var protocolVersions = []uint8{1, 5, 2, 0, 0, 0}

// encodeMessage returns the message kind followed by the MessagePack encoding of v.
func encodeMessage(kind byte, v any) []byte {
	out := bytes.NewBuffer([]byte{kind})
	if err := codec.NewEncoder(out, &codec.MsgpackHandle{}).Encode(v); err != nil {
		panic(err) // unreachable: only types of this package are encoded
	}
	return out.Bytes()
}

// decodeMessage decodes a MessagePack message without its kind.
func decodeMessage(b []byte, into any) error {
	return codec.NewDecoder(bytes.NewReader(b), &codec.MsgpackHandle{}).Decode(into)
}

// encodeMeta encodes the metadata that a member publishes about itself.
func encodeMeta(e view.Entry) []byte {
	out := append([]byte("VM"), 1, e.Proto, byte(e.State), 0)
	out = binary.BigEndian.AppendUint64(out, e.Incarnation.Number)
	out = binary.BigEndian.AppendUint32(out, e.Incarnation.Nonce)
	out = append(out, e.Load.Open, e.Load.Credit, e.Load.Level)
	return appendText(appendText(out, e.Name), e.Zone)
}

// nodeName returns the node name of one incarnation of a member in the gossip library.
func nodeName(e view.Entry) string { return fmt.Sprintf("%s~%08x", e.Name, e.Incarnation.Nonce) }

// encodeViewPayload encodes the payload of an answer to a probe: version and digest of a view.
func encodeViewPayload(version, digest uint64) []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64([]byte("VE\x01"), version), digest)
}
