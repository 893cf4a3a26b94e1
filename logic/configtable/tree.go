package configtable

import (
	"bytes"
	"slices"
)

// maxChildren limits the children of an inner node, which every change below the node copies.
const maxChildren = 48

// minChildren is the number below which a changed inner node is merged with a neighbour.
const minChildren = maxChildren / 4

// node is an immutable node of a B-tree: a leaf, which has records, or an inner node, whose children all have
// the same depth.
type node struct {
	minKey   string // lowest key of the node and its descendants
	records  []byte
	children []*node
}

func (n *node) isLeaf() bool { return n.children == nil }

func newInner(children []*node) *node { return &node{minKey: children[0].minKey, children: children} }

// childIndex returns the index of the child whose key range contains key.
func (n *node) childIndex(key []byte) int {
	low, high := 0, len(n.children)
	for high-low > 1 {
		middle := (low + high) / 2
		if n.children[middle].minKey <= string(key) {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// recordEdit sets or removes one record.
type recordEdit struct {
	key    []byte
	value  []byte
	remove bool
}

func compareEditKeys(a, b recordEdit) int { return bytes.Compare(a.key, b.key) }

// treeEditor applies edits to a tree and counts their effects. It reuses its writer for all leaves.
type treeEditor struct {
	writer   leafWriter
	entries  int    // added, less removed
	services int    // added, less removed
	digest   Digest // added, less removed
}

// apply returns the root of a tree with the edits applied. The edits are sorted, with one edit per key. Nodes
// without edits are shared with the old tree.
func (e *treeEditor) apply(root *node, edits []recordEdit) *node {
	var nodes []*node
	if root == nil {
		nodes = e.applyToLeaf(nil, &node{}, edits)
	} else {
		nodes = e.applyToNode(nil, root, edits)
	}
	return buildRoot(nodes)
}

// buildRoot adds levels above nodes of equal depth until one root remains. It removes root levels with
// only one child.
func buildRoot(nodes []*node) *node {
	for len(nodes) > 1 {
		nodes = groupChildren(nil, nodes)
	}
	if len(nodes) == 0 {
		return nil
	}
	root := nodes[0]
	for len(root.children) == 1 {
		root = root.children[0]
	}
	return root
}

// applyToNode appends the nodes that replace n, none, one or several, all at the depth of n.
func (e *treeEditor) applyToNode(dst []*node, n *node, edits []recordEdit) []*node {
	if n.isLeaf() {
		return e.applyToLeaf(dst, n, edits)
	}
	children := make([]*node, 0, len(n.children)+1)
	handled, hasSmall := 0, false // handled is the number of old children already copied or replaced
	for len(edits) > 0 {
		position := n.childIndex(edits[0].key)
		children = append(children, n.children[handled:position]...)
		handled = position + 1
		childEdits := edits
		if handled < len(n.children) {
			childEdits = edits[:editsBefore(edits, n.children[handled].minKey)]
		}
		edits = edits[len(childEdits):]
		firstReplacement := len(children)
		children = e.applyToNode(children, n.children[position], childEdits)
		hasSmall = hasSmall || slices.ContainsFunc(children[firstReplacement:], (*node).isSmall)
	}
	children = append(children, n.children[handled:]...)
	if hasSmall {
		children = mergeSmall(children)
	}
	return groupChildren(dst, children)
}

// editsBefore returns the number of edits whose key is below minKey.
func editsBefore(edits []recordEdit, minKey string) int {
	position, _ := slices.BinarySearchFunc(edits, minKey, func(edit recordEdit, low string) int {
		if string(edit.key) < low {
			return -1
		}
		return 1
	})
	return position
}

// applyToLeaf merges the records of a leaf with the edits and appends the resulting leaves.
func (e *treeEditor) applyToLeaf(dst []*node, leaf *node, edits []recordEdit) []*node {
	e.writer.reset()
	cursor := leafCursor{remaining: leaf.records}
	for cursor.next() {
		for len(edits) > 0 && bytes.Compare(edits[0].key, cursor.key) < 0 {
			e.insert(edits[0])
			edits = edits[1:]
		}
		if len(edits) > 0 && bytes.Equal(edits[0].key, cursor.key) {
			e.countRecord(cursor.key, cursor.value, -1)
			e.insert(edits[0])
			edits = edits[1:]
			continue
		}
		e.writer.add(cursor.key, cursor.value)
	}
	for _, edit := range edits {
		e.insert(edit)
	}
	return splitIntoLeaves(dst, e.writer.records)
}

func (e *treeEditor) insert(edit recordEdit) {
	if edit.remove {
		return
	}
	e.writer.add(edit.key, edit.value)
	e.countRecord(edit.key, edit.value, +1)
}

// countRecord updates the counts and the digest for a record that is added (sign +1) or removed (sign -1).
func (e *treeEditor) countRecord(key, value []byte, sign int) {
	if isServiceKey(key) {
		e.services += sign
		return
	}
	e.entries += sign
	e.digest += Digest(sign) * digestRecord(key, value)
}

// groupChildren distributes the children over inner nodes of about equal size and appends these.
func groupChildren(dst []*node, children []*node) []*node {
	if len(children) == 0 {
		return dst
	}
	groupCount := (len(children) + maxChildren - 1) / maxChildren
	for i := range groupCount {
		start, end := i*len(children)/groupCount, (i+1)*len(children)/groupCount
		group := children[start:end]
		if groupCount > 1 {
			group = slices.Clone(group)
		}
		dst = append(dst, newInner(group))
	}
	return dst
}

// mergeSmall merges, in place, small nodes with a neighbour where both fit into one node, so that deletions
// do not leave many small nodes.
func mergeSmall(nodes []*node) []*node {
	merged := nodes[:0]
	for _, next := range nodes {
		if len(merged) > 0 {
			last := merged[len(merged)-1]
			if (last.isSmall() || next.isSmall()) && last.fitsWith(next) {
				merged[len(merged)-1] = last.merge(next)
				continue
			}
		}
		merged = append(merged, next)
	}
	return merged
}

func (n *node) isSmall() bool {
	if n.isLeaf() {
		return len(n.records) < minLeafBytes
	}
	return len(n.children) < minChildren
}

// fitsWith reports whether the merged node is at most three quarters full, so that nodes are not merged and
// split alternately.
func (n *node) fitsWith(next *node) bool {
	if n.isLeaf() {
		return len(n.records)+len(next.records) <= maxLeafBytes*3/4
	}
	return len(n.children)+len(next.children) <= maxChildren*3/4
}

// merge returns one node with the contents of both. The first record of a leaf shares no bytes with a
// previous key, so that the records of two leaves can be concatenated.
func (n *node) merge(next *node) *node {
	if n.isLeaf() {
		return &node{minKey: n.minKey, records: slices.Concat(n.records, next.records)}
	}
	return newInner(slices.Concat(n.children, next.children))
}
