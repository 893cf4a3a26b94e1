package configtable

import "bytes"

// find returns the value of the record with a key.
func (n *node) find(key []byte) ([]byte, bool) {
	if n == nil {
		return nil, false
	}
	for !n.isLeaf() {
		n = n.children[n.childFor(key)]
	}
	var buffer [maxKeyBytes]byte
	cursor := leafCursor{rest: n.slab, key: buffer[:0]}
	for cursor.next() {
		switch order := bytes.Compare(cursor.key, key); {
		case order == 0:
			return cursor.value, true
		case order > 0:
			return nil, false
		}
	}
	return nil, false
}

// walk visits the records from a key on, in order, until visit returns false; it reports whether it did not. A key is valid
// during the visit only.
func (n *node) walk(from []byte, visit func(key, value []byte) bool) bool {
	if n == nil {
		return true
	}
	if !n.isLeaf() {
		for _, child := range n.children[n.childFor(from):] {
			if !child.walk(from, visit) {
				return false
			}
		}
		return true
	}
	cursor := leafCursor{rest: n.slab}
	for cursor.next() {
		if bytes.Compare(cursor.key, from) >= 0 && !visit(cursor.key, cursor.value) {
			return false
		}
	}
	return true
}
