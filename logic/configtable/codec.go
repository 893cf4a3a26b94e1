package configtable

import (
	"encoding/binary"
	"math"
	"math/bits"
)

// DecodeError reports bytes that are not the encoding of a valid change.
type DecodeError struct {
	Reason string
}

func (e *DecodeError) Error() string { return "not an encoded change: " + e.Reason }

// Encode returns the binary form of a valid change, at most MaxEncodedBytes long, or the *ChangeError of Validate. It is one
// byte each for operation and kind, service, name and, for a Put, the value. A string is its length in a byte and its bytes; a
// number is the reversed bits of a float64 as a varint, which is short for whole numbers.
func (c Change) Encode() ([]byte, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	encoded := make([]byte, 0, 8+len(c.Service)+len(c.Name)+maxValueBytes)
	encoded = append(encoded, byte(c.Operation), byte(c.Kind))
	encoded = appendString(encoded, c.Service)
	encoded = appendString(encoded, c.Name)
	if c.Operation == Put {
		encoded = c.appendValue(encoded)
	}
	return encoded, nil
}

// Decode reads one change that fills data. It accepts exactly what Encode returns; anything else gives a *DecodeError,
// or a *ChangeError where the fields are readable and not valid.
func Decode(data []byte) (Change, error) {
	if len(data) > MaxEncodedBytes {
		return Change{}, &DecodeError{"too long"}
	}
	r := fieldReader{rest: data}
	c := Change{Operation: Operation(r.byte()), Kind: Kind(r.byte())}
	c.Service = r.string()
	c.Name = r.string()
	if c.Operation == Put {
		c.Value = r.value(c.Kind)
	}
	return r.finish(c)
}

// AppendEntry appends the entry that a valid Put describes, without its service, for a snapshot of one service.
func (c Change) AppendEntry(dst []byte) []byte {
	dst = append(dst, byte(c.Kind))
	dst = appendString(dst, c.Name)
	return c.appendValue(dst)
}

// DecodeEntry reads what AppendEntry wrote, as a Put of service; data holds that one entry and nothing more.
func DecodeEntry(service string, data []byte) (Change, error) {
	r := fieldReader{rest: data}
	c := Change{Operation: Put, Kind: Kind(r.byte()), Service: service}
	c.Name = r.string()
	c.Value = r.value(c.Kind)
	return r.finish(c)
}

// maxValueBytes bounds an encoded value: a method and three numbers.
const maxValueBytes = 1 + MaxNameBytes + 3*binary.MaxVarintLen64

func (c Change) appendValue(dst []byte) []byte {
	if c.Kind == Tenant {
		return appendNumber(dst, c.Value.Tenant.QuotaPerSecond)
	}
	route := c.Value.Route
	dst = appendString(dst, route.Method)
	dst = appendNumber(dst, route.LatencyTargetMilliseconds)
	dst = appendNumber(dst, route.DeadlineMilliseconds)
	return appendNumber(dst, route.Criticality)
}

func appendString(dst []byte, text string) []byte {
	dst = append(dst, byte(len(text)))
	return append(dst, text...)
}

func appendNumber(dst []byte, number float64) []byte {
	return binary.AppendUvarint(dst, bits.ReverseBytes64(math.Float64bits(number)))
}

// fieldReader takes fields off the front of rest. After a failure all fields are zero and finish reports it.
type fieldReader struct {
	rest    []byte
	failure string
}

func (r *fieldReader) fail(reason string) {
	if r.failure == "" {
		r.failure = reason
	}
	r.rest = nil
}

func (r *fieldReader) byte() byte {
	if len(r.rest) == 0 {
		r.fail("too short")
		return 0
	}
	first := r.rest[0]
	r.rest = r.rest[1:]
	return first
}

func (r *fieldReader) string() string {
	length := int(r.byte())
	if length > len(r.rest) {
		r.fail("too short")
		return ""
	}
	text := string(r.rest[:length])
	r.rest = r.rest[length:]
	return text
}

func (r *fieldReader) number() float64 {
	number, length := binary.Uvarint(r.rest)
	if length <= 0 {
		r.fail("no number")
		return 0
	}
	if length > 1 && r.rest[length-1] == 0 {
		r.fail("a number is longer than it needs to be")
		return 0
	}
	r.rest = r.rest[length:]
	return math.Float64frombits(bits.ReverseBytes64(number))
}

func (r *fieldReader) value(kind Kind) (value Value) {
	switch kind {
	case Tenant:
		value.Tenant.QuotaPerSecond = r.number()
	case Route:
		value.Route.Method = r.string()
		value.Route.LatencyTargetMilliseconds = r.number()
		value.Route.DeadlineMilliseconds = r.number()
		value.Route.Criticality = r.number()
	}
	return value
}

func (r *fieldReader) finish(c Change) (Change, error) {
	if r.failure == "" && len(r.rest) > 0 {
		r.failure = "bytes follow it"
	}
	if r.failure != "" {
		return Change{}, &DecodeError{r.failure}
	}
	if err := c.Validate(); err != nil {
		return Change{}, err
	}
	return c, nil
}
