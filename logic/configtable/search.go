package configtable

import "bytes"

// find returns the value of the record with a key.
func (n *node) find(key []byte) ([]byte, bool) {
	if n == nil {
		return nil, false
	}
	for !n.isLeaf() {
		n = n.children[n.childIndex(key)]
	}
	return findInLeaf(n.records, key)
}

// findInLeaf compares a key with those of a slab without putting any together. The keys passed are below it, and the last
// of them shares its first matched bytes.
func findInLeaf(records, key []byte) ([]byte, bool) {
	matched := 0
	cursor := leafCursor{remaining: records}
	for len(cursor.remaining) > 0 {
		shared, suffix := cursor.readRecord()
		if shared > matched {
			continue // differs from key where the one before it does
		}
		matched = shared // less where slabs were joined: the first record of the second shares nothing
		for len(suffix) > 0 && matched < len(key) && suffix[0] == key[matched] {
			suffix = suffix[1:]
			matched++
		}
		switch {
		case len(suffix) == 0 && matched == len(key):
			return cursor.value, true
		case len(suffix) > 0 && (matched == len(key) || suffix[0] > key[matched]):
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
		for _, child := range n.children[n.childIndex(from):] {
			if !child.walk(from, visit) {
				return false
			}
		}
		return true
	}
	cursor := leafCursor{remaining: n.records}
	for cursor.next() {
		if bytes.Compare(cursor.key, from) >= 0 && !visit(cursor.key, cursor.value) {
			return false
		}
	}
	return true
}
