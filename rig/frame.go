package rig

import "encoding/binary"

// These frames are written without the program's own encoder, so that an error of the encoder cannot go undetected and malformed
// frames can be written as well.

// Field is one entry of the field map of an RPC.
type Field struct{ Key, Value string }

// ExecuteFrame returns the frame that requests one RPC.
func ExecuteFrame(seq int32, fields []Field, body []byte) []byte {
	b := newFrame(messageCall, "execute", seq)
	b = append(b, valueMap, 0, 1, valueString, valueString)
	b = binary.BigEndian.AppendUint32(b, uint32(len(fields)))
	for _, f := range fields {
		b = appendText(appendText(b, f.Key), f.Value)
	}
	b = appendText(append(b, valueString, 0, 2), string(body))
	return finishFrame(b)
}

// InterruptFrame returns the frame that cancels the RPC with sequence number target; seq is the sequence number of the frame.
func InterruptFrame(seq, target int32) []byte {
	b := append(newFrame(messageOneway, "interrupt", seq), valueI32, 0, 1)
	return finishFrame(binary.BigEndian.AppendUint32(b, uint32(target)))
}

// CheckFrame returns the frame of a health check.
func CheckFrame(seq int32) []byte {
	return finishFrame(append(newFrame(messageCall, "check", seq), valueBool, 0, 1, 0))
}

// newFrame returns the start of a frame: space for its length and the header of its message.
func newFrame(kind uint32, name string, seq int32) []byte {
	b := binary.BigEndian.AppendUint32([]byte{0, 0, 0, 0}, messageVersion<<16|kind)
	return binary.BigEndian.AppendUint32(appendText(b, name), uint32(seq))
}

// appendText appends a string with its length.
func appendText(b []byte, s string) []byte {
	return append(binary.BigEndian.AppendUint32(b, uint32(len(s))), s...)
}

// finishFrame appends the end of the struct and fills in the frame length.
func finishFrame(b []byte) []byte {
	b = append(b, 0)
	binary.BigEndian.PutUint32(b, uint32(len(b)-4))
	return b
}
