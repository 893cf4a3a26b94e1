// Package readbuffer provides the read buffer of a connection.
package readbuffer

import (
	"errors"
	"io"
)

// ErrFull is returned when a message does not fit into the largest buffer allowed.
var ErrFull = errors.New("message larger than the buffer may grow")

// Buffer grows as needed up to its limit, and is compacted in place.
type Buffer struct {
	data       []byte
	start, end int // bounds in data of what has been read and not discarded
	limit      int
}

// initialSize holds a usual message; most connections never need more.
const initialSize = 4 << 10

// New returns an empty buffer that may grow to limit bytes.
func New(limit int) *Buffer {
	return &Buffer{data: make([]byte, min(initialSize, limit)), limit: limit}
}

// Fill reads once from r and appends to the bytes that have not been discarded.
func (b *Buffer) Fill(r io.Reader) error {
	if b.start == b.end {
		b.start, b.end = 0, 0
	}
	if b.end == len(b.data) {
		if b.start == 0 {
			if len(b.data) >= b.limit {
				return ErrFull
			}
			b.data = append(b.data, make([]byte, min(len(b.data), b.limit-len(b.data)))...)
		} else {
			b.end = copy(b.data, b.data[b.start:b.end])
			b.start = 0
		}
	}
	n, err := r.Read(b.data[b.end:])
	b.end += n
	if n > 0 {
		return nil
	}
	return err
}

// Bytes returns what has been read and not discarded. It is valid until the next Fill.
func (b *Buffer) Bytes() []byte { return b.data[b.start:b.end] }

// Discard removes the first n bytes.
func (b *Buffer) Discard(n int) { b.start += n }
