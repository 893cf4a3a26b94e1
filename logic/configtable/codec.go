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

// Encode returns the binary form of a valid change, at most MaxEncodedBytes long, or the *ChangeError of
// Validate. The form is one byte each for operation and kind, then service, name and, for a Put, the value. A
// string is one byte of length and its bytes. A number is a float64 with its bytes reversed, as a varint,
// which is short for small integers.
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

// Decode decodes the change that occupies all of data. It accepts exactly the results of Encode. Other input
// returns a *DecodeError, or a *ChangeError if the fields can be decoded but are invalid.
func Decode(data []byte) (Change, error) {
	if len(data) > MaxEncodedBytes {
		return Change{}, &DecodeError{"longer than MaxEncodedBytes"}
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

// AppendEntry appends the encoded entry of a valid Put without its service, for a snapshot of one service.
func (c Change) AppendEntry(dst []byte) []byte {
	dst = append(dst, byte(c.Kind))
	dst = appendString(dst, c.Name)
	return c.appendValue(dst)
}

// DecodeEntry decodes one entry that AppendEntry encoded and returns it as a Put of service. The entry must
// occupy all of data.
func DecodeEntry(service string, data []byte) (Change, error) {
	r := fieldReader{rest: data}
	c := Change{Operation: Put, Kind: Kind(r.byte()), Service: service}
	c.Name = r.string()
	c.Value = r.value(c.Kind)
	return r.finish(c)
}

// maxValueBytes is the maximum size of an encoded value: a method and three numbers.
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

// fieldReader decodes fields from the front of rest. After a failure all further fields are zero, and finish
// returns the first failure as an error.
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
		r.fail("too short: want one more byte")
		return 0
	}
	first := r.rest[0]
	r.rest = r.rest[1:]
	return first
}

func (r *fieldReader) string() string {
	length := int(r.byte())
	if length > len(r.rest) {
		r.fail("too short: a string ends after the data")
		return ""
	}
	text := string(r.rest[:length])
	r.rest = r.rest[length:]
	return text
}

func (r *fieldReader) number() float64 {
	number, length := binary.Uvarint(r.rest)
	if length <= 0 {
		r.fail("want a varint, found none")
		return 0
	}
	if length > 1 && r.rest[length-1] == 0 {
		r.fail("a varint is longer than needed")
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

// finish returns the change, or the first error of decoding or of Validate.
func (r *fieldReader) finish(c Change) (Change, error) {
	if r.failure == "" && len(r.rest) > 0 {
		r.failure = "extra bytes at the end"
	}
	if r.failure != "" {
		return Change{}, &DecodeError{r.failure}
	}
	if err := c.Validate(); err != nil {
		return Change{}, err
	}
	return c, nil
}
