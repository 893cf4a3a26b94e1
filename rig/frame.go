package rig

import "encoding/binary"

// The rig's own writer of Thrift frames: what it sends has to be right, and odd, without the program's writer.
const (
	frameVersion = 0x80010000
	frameCall    = 1
	frameOneway  = 4
	frameBool    = 2
	frameI32     = 8
	frameString  = 11
	frameMap     = 13
)

// Pair is one field of an RPC.
type Pair struct{ Key, Value string }

// ExecuteFrame is the message of one RPC.
func ExecuteFrame(seq int32, fields []Pair, body []byte) []byte {
	b := frameHead(frameCall, "execute", seq)
	b = append(b, frameMap, 0, 1, frameString, frameString)
	b = binary.BigEndian.AppendUint32(b, uint32(len(fields)))
	for _, f := range fields {
		b = frameText(frameText(b, f.Key), f.Value)
	}
	b = frameText(append(b, frameString, 0, 2), string(body))
	return frameEnd(b)
}

// InterruptFrame says that nobody waits for an RPC any more; seq is its own number.
func InterruptFrame(seq, target int32) []byte {
	b := append(frameHead(frameOneway, "interrupt", seq), frameI32, 0, 1)
	return frameEnd(binary.BigEndian.AppendUint32(b, uint32(target)))
}

// CheckFrame is a health check.
func CheckFrame(seq int32) []byte {
	return frameEnd(append(frameHead(frameCall, "check", seq), frameBool, 0, 1, 0))
}

func frameHead(kind uint32, name string, seq int32) []byte {
	b := binary.BigEndian.AppendUint32([]byte{0, 0, 0, 0}, frameVersion|kind)
	return binary.BigEndian.AppendUint32(frameText(b, name), uint32(seq))
}

func frameText(b []byte, s string) []byte {
	return append(binary.BigEndian.AppendUint32(b, uint32(len(s))), s...)
}

// frameEnd writes the end of the struct and the length.
func frameEnd(b []byte) []byte {
	b = append(b, 0)
	binary.BigEndian.PutUint32(b, uint32(len(b)-4))
	return b
}
