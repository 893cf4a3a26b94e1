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
func appendServiceKey(dst []byte, service string) []byte {
	dst = append(dst, service...)
	return append(dst, 0)
}

func appendKey(dst []byte, kind Kind, service, name string) []byte {
	dst = appendServiceKey(dst, service)
	dst = append(dst, byte(kind))
	return append(dst, name...)
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
	remaining []byte
	key       []byte // of the current record, valid until next
	value     []byte // of the current record, part of the slab
}

// next moves to the next record and reports whether there is one.
func (c *leafCursor) next() bool {
	if len(c.remaining) == 0 {
		return false
	}
	shared, suffix := c.readRecord()
	c.key = append(c.key[:shared], suffix...)
	return true
}

// readRecord takes a record off rest without its key: how much of the last key it shares, and what follows that.
func (c *leafCursor) readRecord() (shared int, suffix []byte) {
	shared = c.readLength()
	size := c.readLength()
	suffix = c.remaining[:size]
	c.remaining = c.remaining[size:]
	size = c.readLength()
	c.value = c.remaining[:size:size]
	c.remaining = c.remaining[size:]
	return shared, suffix
}

func (c *leafCursor) readLength() int {
	if first := c.remaining[0]; first < 0x80 {
		c.remaining = c.remaining[1:]
		return int(first)
	}
	length, size := binary.Uvarint(c.remaining)
	c.remaining = c.remaining[size:]
	return int(length)
}

// leafWriter writes records in order of key into one slab.
type leafWriter struct {
	records     []byte
	previousKey []byte // key of the last record
}

func (w *leafWriter) reset() {
	w.records = w.records[:0]
	w.previousKey = w.previousKey[:0]
}

func (w *leafWriter) add(key, value []byte) {
	shared := 0
	for shared < len(w.previousKey) && shared < len(key) && w.previousKey[shared] == key[shared] {
		shared++
	}
	w.records = binary.AppendUvarint(w.records, uint64(shared))
	w.records = binary.AppendUvarint(w.records, uint64(len(key)-shared))
	w.records = append(w.records, key[shared:]...)
	w.records = binary.AppendUvarint(w.records, uint64(len(value)))
	w.records = append(w.records, value...)
	w.previousKey = append(w.previousKey[:0], key...)
}

// newLeaf copies a slab that is not empty.
func newLeaf(records []byte) *node {
	cursor := leafCursor{remaining: records}
	cursor.next()
	return &node{minKey: string(cursor.key), records: bytes.Clone(records)}
}

// splitIntoLeaves appends leaves of about equal size, none above maxLeafBytes by more than a record, with the records of slab.
func splitIntoLeaves(dst []*node, records []byte) []*node {
	if len(records) == 0 {
		return dst
	}
	if len(records) <= maxLeafBytes {
		return append(dst, newLeaf(records))
	}
	leafCount := (len(records) + maxLeafBytes - 1) / maxLeafBytes
	targetBytes := len(records) / leafCount
	cursor := leafCursor{remaining: records}
	var writer leafWriter
	for cursor.next() {
		writer.add(cursor.key, cursor.value)
		if len(writer.records) >= targetBytes {
			dst = append(dst, newLeaf(writer.records))
			writer.reset()
		}
	}
	if len(writer.records) > 0 {
		dst = append(dst, newLeaf(writer.records))
	}
	return dst
}
