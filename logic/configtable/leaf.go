package configtable

import (
	"bytes"
	"encoding/binary"
)

// A leaf holds its records in order of key, with prefix compression, in one byte slice. A record consists of
// the number of bytes that its key shares with the previous key, the number of bytes that follow, these
// bytes, and the length and bytes of the value. Lengths are varints. The first record of a leaf shares no
// bytes.

// maxLeafBytes limits the records of a leaf, and so the bytes that a change copies: about forty entries.
const maxLeafBytes = 1024

// minLeafBytes is the size below which a changed leaf is merged with a neighbour.
const minLeafBytes = maxLeafBytes / 4

// maxKeyBytes is the length of the longest key: a service, a zero byte, a kind and a name.
const maxKeyBytes = 2*MaxNameBytes + 2

// appendServiceKey appends the key of the service record, which sorts before the entries of the service.
// Names contain no byte below the space, so that keys sort by service, then kind, then name.
func appendServiceKey(dst []byte, service string) []byte {
	dst = append(dst, service...)
	return append(dst, 0)
}

// appendKey appends the key of an entry.
func appendKey(dst []byte, kind Kind, service, name string) []byte {
	dst = appendServiceKey(dst, service)
	dst = append(dst, byte(kind))
	return append(dst, name...)
}

// isServiceKey reports whether a key is that of a service record, whose value is the last index as a varint.
func isServiceKey(key []byte) bool { return key[len(key)-1] == 0 }

// splitKey splits the key of an entry into its parts.
func splitKey(key []byte) (service []byte, kind Kind, name []byte) {
	end := bytes.IndexByte(key, 0)
	return key[:end], Kind(key[end+1]), key[end+2:]
}

// leafCursor iterates over the encoded records of a leaf.
type leafCursor struct {
	remaining []byte
	key       []byte // of the current record, valid until the next call of next
	value     []byte // of the current record, aliasing the leaf's records
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

// readRecord reads a record without assembling its key. It returns how many bytes the key shares with the
// previous key, and the suffix that follows them.
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

// readLength reads a varint, with a fast path for one byte.
func (c *leafCursor) readLength() int {
	if first := c.remaining[0]; first < 0x80 {
		c.remaining = c.remaining[1:]
		return int(first)
	}
	length, size := binary.Uvarint(c.remaining)
	c.remaining = c.remaining[size:]
	return int(length)
}

// leafWriter encodes records, which come in order of key.
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

// newLeaf returns a leaf with a copy of records, which must not be empty.
func newLeaf(records []byte) *node {
	cursor := leafCursor{remaining: records}
	cursor.next()
	return &node{minKey: string(cursor.key), records: bytes.Clone(records)}
}

// splitIntoLeaves appends leaves of about equal size with all records. None exceeds maxLeafBytes by more than
// one record.
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
