package thrift

import (
	"encoding/binary"
	"math"
	"strconv"
)

// The exported functions of this file each append one frame to b. load is the published credit, omitted if below 0.

// Served appends the reply to an RPC that ended ok, with its result.
func Served(b []byte, seq int32, result []byte, load float64) []byte {
	b, start := beginFrame(b, msgReply, "execute", seq)
	b = appendAnswer(b, result, true, load)
	return endFrame(append(b, 0), start)
}

// Checked appends the reply to a health check.
func Checked(b []byte, seq int32, healthy bool, load float64) []byte {
	b, start := beginFrame(b, msgReply, "check", seq)
	b = appendAnswer(b, nil, healthy, load)
	return endFrame(append(b, 0), start)
}

// PushedBack appends the rejection of an RPC that did not run. last forbids a retry at another app server; retryAfter
// is the retry-after delay in seconds, omitted if 0.
func PushedBack(b []byte, seq int32, last bool, retryAfter, load float64) []byte {
	b, start := beginFrame(b, msgReply, "execute", seq)
	b = appendFieldHeader(b, typeStruct, 1)
	pairs := make([]string, 0, 6)
	if retryAfter > 0 {
		pairs = append(pairs, "pushback", strconv.Itoa(int(math.Ceil(retryAfter*1000))))
	}
	if last {
		pairs = append(pairs, "stop", "1")
	}
	b = appendLoadMap(appendFieldHeader(b, typeMap, 1), pairs, load)
	return endFrame(append(b, 0, 0), start)
}

// Aborted appends the reply to an RPC that failed and may or may not have run.
func Aborted(b []byte, seq int32, load float64) []byte {
	b, start := beginFrame(b, msgReply, "execute", seq)
	b = appendFieldHeader(b, typeStruct, 2)
	b = appendLoadMap(appendFieldHeader(b, typeMap, 1), nil, load)
	return endFrame(append(b, 0, 0), start)
}

// Unknown appends the reply to a call of a method that does not exist: an application exception.
func Unknown(b []byte, seq int32, method string) []byte {
	const unknownMethod = 1
	b, start := beginFrame(b, msgException, method, seq)
	b = appendString(appendFieldHeader(b, typeString, 1), "unknown method")
	b = binary.BigEndian.AppendUint32(appendFieldHeader(b, typeI32, 2), unknownMethod)
	return endFrame(append(b, 0), start)
}

// Draining appends the request to send no new RPCs on the connection.
func Draining(b []byte) []byte {
	b, start := beginFrame(b, msgOneway, "draining", 0)
	return endFrame(append(b, 0), start)
}

// beginFrame appends an empty length prefix and a message header. It also returns the start of the frame, for endFrame.
func beginFrame(b []byte, kind byte, name string, seq int32) ([]byte, int) {
	start := len(b)
	b = append(b, 0, 0, 0, 0)
	b = binary.BigEndian.AppendUint32(b, version|uint32(kind))
	b = appendString(b, name)
	return binary.BigEndian.AppendUint32(b, uint32(seq)), start
}

// endFrame sets the length prefix of the frame that starts at the given index and ends with b.
func endFrame(b []byte, start int) []byte {
	binary.BigEndian.PutUint32(b[start:], uint32(len(b)-start-4))
	return b
}

// appendAnswer appends the struct Answer as field 0 of a result.
func appendAnswer(b, body []byte, ok bool, load float64) []byte {
	b = appendFieldHeader(b, typeStruct, 0)
	b = appendString(appendFieldHeader(b, typeString, 1), body)
	b = appendLoadMap(appendFieldHeader(b, typeMap, 2), nil, load)
	b = appendFieldHeader(b, typeBool, 3)
	if ok {
		return append(b, 1, 0)
	}
	return append(b, 0, 0)
}

// appendFieldHeader appends the type id and the field id of a field.
func appendFieldHeader(b []byte, kind byte, id uint16) []byte {
	return binary.BigEndian.AppendUint16(append(b, kind), id)
}

// appendString appends a string with its length.
func appendString[S string | []byte](b []byte, s S) []byte {
	return append(binary.BigEndian.AppendUint32(b, uint32(len(s))), s...)
}

// appendLoadMap appends a map of strings with the pairs, which are keys and values in turn, and the credit.
func appendLoadMap(b []byte, pairs []string, load float64) []byte {
	if load >= 0 {
		pairs = append(pairs, "load", strconv.FormatFloat(load, 'g', -1, 64))
	}
	b = binary.BigEndian.AppendUint32(append(b, typeString, typeString), uint32(len(pairs)/2))
	for _, s := range pairs {
		b = appendString(b, s)
	}
	return b
}
