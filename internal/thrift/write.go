package thrift

import (
	"encoding/binary"
	"math"
	"strconv"
)

// Each of these appends one whole frame to b. load is the published credit, left out below 0.

// Served answers an RPC with the result of its run.
func Served(b []byte, seq int32, result []byte, load float64) []byte {
	b, at := open(b, msgReply, "execute", seq)
	b = answer(b, result, true, load)
	return shut(append(b, 0), at)
}

// Checked answers a health check.
func Checked(b []byte, seq int32, good bool, load float64) []byte {
	b, at := open(b, msgReply, "check", seq)
	b = answer(b, nil, good, load)
	return shut(append(b, 0), at)
}

// PushedBack answers an RPC that never ran; after is in seconds, 0 for no advice.
func PushedBack(b []byte, seq int32, last bool, after, load float64) []byte {
	b, at := open(b, msgReply, "execute", seq)
	b = field(b, typeStruct, 1)
	pairs := make([]string, 0, 6)
	if after > 0 {
		pairs = append(pairs, "pushback", strconv.Itoa(int(math.Ceil(after*1000))))
	}
	if last {
		pairs = append(pairs, "stop", "1")
	}
	b = loaded(field(b, typeMap, 1), pairs, load)
	return shut(append(b, 0, 0), at)
}

// Aborted answers an RPC without a promise.
func Aborted(b []byte, seq int32, load float64) []byte {
	b, at := open(b, msgReply, "execute", seq)
	b = field(b, typeStruct, 2)
	b = loaded(field(b, typeMap, 1), nil, load)
	return shut(append(b, 0, 0), at)
}

// Unknown answers a call of a method that there is not.
func Unknown(b []byte, seq int32, method string) []byte {
	const unknownMethod = 1
	b, at := open(b, msgException, method, seq)
	b = text(field(b, typeString, 1), "unknown method")
	b = binary.BigEndian.AppendUint32(field(b, typeI32, 2), unknownMethod)
	return shut(append(b, 0), at)
}

// Draining asks that the connection be given no new RPC.
func Draining(b []byte) []byte {
	b, at := open(b, msgOneway, "draining", 0)
	return shut(append(b, 0), at)
}

func open(b []byte, kind byte, name string, seq int32) ([]byte, int) {
	at := len(b)
	b = append(b, 0, 0, 0, 0)
	b = binary.BigEndian.AppendUint32(b, version|uint32(kind))
	b = text(b, name)
	return binary.BigEndian.AppendUint32(b, uint32(seq)), at
}

func shut(b []byte, at int) []byte {
	binary.BigEndian.PutUint32(b[at:], uint32(len(b)-at-4))
	return b
}

func answer(b, body []byte, good bool, load float64) []byte {
	b = field(b, typeStruct, 0)
	b = text(field(b, typeString, 1), body)
	b = loaded(field(b, typeMap, 2), nil, load)
	b = field(b, typeBool, 3)
	if good {
		return append(b, 1, 0)
	}
	return append(b, 0, 0)
}

func field(b []byte, kind byte, id uint16) []byte {
	return binary.BigEndian.AppendUint16(append(b, kind), id)
}

func text[S string | []byte](b []byte, s S) []byte {
	return append(binary.BigEndian.AppendUint32(b, uint32(len(s))), s...)
}

// loaded writes a map of the pairs and the credit.
func loaded(b []byte, pairs []string, load float64) []byte {
	if load >= 0 {
		pairs = append(pairs, "load", strconv.FormatFloat(load, 'g', -1, 64))
	}
	b = binary.BigEndian.AppendUint32(append(b, typeString, typeString), uint32(len(pairs)/2))
	for _, s := range pairs {
		b = text(b, s)
	}
	return b
}
