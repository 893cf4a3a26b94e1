package configtable

import (
	"bytes"
	"encoding/binary"
)

// A leaf is a slab of records in order of key. A record is four parts: how many bytes its key shares with the one before, how
// many follow, those bytes, and the length and bytes of its value; lengths are varints. The first record of a leaf shares none.

// maxLeafBytes bounds a leaf's slab, and with it what a change copies: some forty entries.
const maxLeafBytes = 1024

// minLeafBytes is the size below which a changed leaf is joined with a neighbour.
const minLeafBytes = maxLeafBytes / 4

// maxKeyBytes is the length of the longest key: a service, a zero byte, a kind and a name.
const maxKeyBytes = 2*MaxNameBytes + 2

// appendServiceKey appends the key of a service's own record, which is before those of its entries. Names have no byte below
// the space, so that keys sort by service, then kind, then name.
func appendServiceKey(to []byte, service string) []byte {
	to = append(to, service...)
	return append(to, 0)
}

func appendKey(to []byte, kind Kind, service, name string) []byte {
	to = appendServiceKey(to, service)
	to = append(to, byte(kind))
	return append(to, name...)
}

// isServiceKey reports whether a key is that of a service's own record, whose value is the last index as a varint.
func isServiceKey(key []byte) bool { return key[len(key)-1] == 0 }

// splitKey takes the key of an entry apart.
func splitKey(key []byte) (service []byte, kind Kind, name []byte) {
	end := bytes.IndexByte(key, 0)
	return key[:end], Kind(key[end+1]), key[end+2:]
}

// leafCursor reads the records of a slab one after another.
type leafCursor struct {
	rest  []byte
	key   []byte // of the current record, valid until next
	value []byte // of the current record, part of the slab
}

// next moves to the next record and reports whether there is one.
func (c *leafCursor) next() bool {
	if len(c.rest) == 0 {
		return false
	}
	shared, added := c.take()
	c.key = append(c.key[:shared], added...)
	return true
}

// take takes a record off rest without its key: how much of the last key it shares, and what follows that.
func (c *leafCursor) take() (shared int, added []byte) {
	shared = c.length()
	size := c.length()
	added = c.rest[:size]
	c.rest = c.rest[size:]
	size = c.length()
	c.value = c.rest[:size:size]
	c.rest = c.rest[size:]
	return shared, added
}

func (c *leafCursor) length() int {
	if first := c.rest[0]; first < 0x80 {
		c.rest = c.rest[1:]
		return int(first)
	}
	length, size := binary.Uvarint(c.rest)
	c.rest = c.rest[size:]
	return int(length)
}

// leafWriter writes records in order of key into one slab.
type leafWriter struct {
	slab     []byte
	previous []byte // key of the last record
}

func (w *leafWriter) reset() {
	w.slab = w.slab[:0]
	w.previous = w.previous[:0]
}

func (w *leafWriter) add(key, value []byte) {
	shared := 0
	for shared < len(w.previous) && shared < len(key) && w.previous[shared] == key[shared] {
		shared++
	}
	w.slab = binary.AppendUvarint(w.slab, uint64(shared))
	w.slab = binary.AppendUvarint(w.slab, uint64(len(key)-shared))
	w.slab = append(w.slab, key[shared:]...)
	w.slab = binary.AppendUvarint(w.slab, uint64(len(value)))
	w.slab = append(w.slab, value...)
	w.previous = append(w.previous[:0], key...)
}

// newLeaf copies a slab that is not empty.
func newLeaf(slab []byte) *node {
	cursor := leafCursor{rest: slab}
	cursor.next()
	return &node{low: string(cursor.key), slab: bytes.Clone(slab)}
}

// splitSlab appends leaves of about equal size, none above maxLeafBytes by more than a record, with the records of slab.
func splitSlab(to []*node, slab []byte) []*node {
	if len(slab) == 0 {
		return to
	}
	if len(slab) <= maxLeafBytes {
		return append(to, newLeaf(slab))
	}
	pieces := (len(slab) + maxLeafBytes - 1) / maxLeafBytes
	size := len(slab) / pieces
	cursor := leafCursor{rest: slab}
	var writer leafWriter
	for cursor.next() {
		writer.add(cursor.key, cursor.value)
		if len(writer.slab) >= size {
			to = append(to, newLeaf(writer.slab))
			writer.reset()
		}
	}
	if len(writer.slab) > 0 {
		to = append(to, newLeaf(writer.slab))
	}
	return to
}
