package configtable

import "bytes"

// find returns the value of the record with this key.
func (n *node) find(key []byte) ([]byte, bool) {
	if n == nil {
		return nil, false
	}
	for !n.isLeaf() {
		n = n.children[n.childIndex(key)]
	}
	return findInLeaf(n.records, key)
}

// findInLeaf returns the value of the record with this key. It compares keys without reassembling them from
// their prefixes: every record that it has passed has a lower key, and the last of them has the first matched
// bytes of key in common with it.
func findInLeaf(records, key []byte) ([]byte, bool) {
	matched := 0
	cursor := leafCursor{remaining: records}
	for len(cursor.remaining) > 0 {
		shared, suffix := cursor.readRecord()
		if shared > matched {
			continue // differs from key at the same byte as the previous record
		}
		matched = shared // lower than before at a merge of two leaves, where a record shares no bytes
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

// walk visits the records whose keys are at least from, in order, until visit returns false. It reports
// whether it visited all of them. A key is valid only during the call of visit.
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
