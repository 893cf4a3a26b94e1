package configtable

import (
	"bytes"
	"slices"
)

// maxChildren bounds the children of an inner node, which a change below it copies.
const maxChildren = 48

// minChildren is the number below which a changed inner node is joined with a neighbour.
const minChildren = maxChildren / 4

// node is a part of an immutable tree: a leaf, which has a slab, or an inner node, which has children of one depth.
type node struct {
	minKey   string // the lowest key below it
	records  []byte
	children []*node
}

func (n *node) isLeaf() bool { return n.children == nil }

func newInner(children []*node) *node { return &node{minKey: children[0].minKey, children: children} }

// childIndex returns the position of the child that has a key or would have it.
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

// treeEditor applies edits to a tree and counts what they do. Its writer is kept from leaf to leaf.
type treeEditor struct {
	writer   leafWriter
	entries  int    // added, less removed
	services int    // added, less removed
	digest   Digest // added, less removed
}

// apply returns the root of a tree with the edits, which are in order and name each key once. All nodes without edits are shared.
func (e *treeEditor) apply(root *node, edits []recordEdit) *node {
	var nodes []*node
	if root == nil {
		nodes = e.applyToLeaf(nil, &node{}, edits)
	} else {
		nodes = e.applyToNode(nil, root, edits)
	}
	return buildRoot(nodes)
}

// buildRoot adds levels above nodes of one depth until there is one node, and takes off levels with one child.
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

// applyToNode appends the nodes that take the place of n, all of its depth: none, one or several.
func (e *treeEditor) applyToNode(dst []*node, n *node, edits []recordEdit) []*node {
	if n.isLeaf() {
		return e.applyToLeaf(dst, n, edits)
	}
	children := make([]*node, 0, len(n.children)+1)
	handled, hasSmall := 0, false // kept counts the old children that are dealt with
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

// editsBefore returns how many of the edits have a key below low.
func editsBefore(edits []recordEdit, minKey string) int {
	position, _ := slices.BinarySearchFunc(edits, minKey, func(edit recordEdit, low string) int {
		if string(edit.key) < low {
			return -1
		}
		return 1
	})
	return position
}

// applyToLeaf merges the records of a leaf with the edits.
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

// countRecord counts a record that is added, with a sign of +1, or removed, with -1.
func (e *treeEditor) countRecord(key, value []byte, sign int) {
	if isServiceKey(key) {
		e.services += sign
		return
	}
	e.entries += sign
	e.digest += Digest(sign) * digestRecord(key, value)
}

// groupChildren appends inner nodes of about equal size with the children.
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

// mergeSmall joins, in place, small nodes with a neighbour where both fit into one, so that deletes don't leave a tree of crumbs.
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

// fitsWith leaves room for what comes next, so that nodes are not joined and split in turn.
func (n *node) fitsWith(next *node) bool {
	if n.isLeaf() {
		return len(n.records)+len(next.records) <= maxLeafBytes*3/4
	}
	return len(n.children)+len(next.children) <= maxChildren*3/4
}

// merge makes one node of two. The first record of a slab shares nothing, so that slabs can follow each other in one.
func (n *node) merge(next *node) *node {
	if n.isLeaf() {
		return &node{minKey: n.minKey, records: slices.Concat(n.records, next.records)}
	}
	return newInner(slices.Concat(n.children, next.children))
}
