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
	low      string // the lowest key below it
	slab     []byte
	children []*node
}

func (n *node) isLeaf() bool { return n.children == nil }

func newInner(children []*node) *node { return &node{low: children[0].low, children: children} }

// childFor returns the position of the child that has a key or would have it.
func (n *node) childFor(key []byte) int {
	least, most := 0, len(n.children)
	for most-least > 1 {
		middle := (least + most) / 2
		if n.children[middle].low <= string(key) {
			least = middle
		} else {
			most = middle
		}
	}
	return least
}

// edit sets or removes one record.
type edit struct {
	key    []byte
	value  []byte
	remove bool
}

func compareEdits(a, b edit) int { return bytes.Compare(a.key, b.key) }

// editor applies edits to a tree and counts what they do. Its writer is kept from leaf to leaf.
type editor struct {
	writer   leafWriter
	entries  int    // added, less removed
	services int    // added, less removed
	digest   Digest // added, less removed
}

// apply returns the root of a tree with the edits, which are in order and name each key once. All nodes without edits are shared.
func (e *editor) apply(root *node, edits []edit) *node {
	var top []*node
	if root == nil {
		top = e.applyToLeaf(nil, &node{}, edits)
	} else {
		top = e.applyTo(nil, root, edits)
	}
	return rootOf(top)
}

// rootOf adds levels above nodes of one depth until there is one node, and takes off levels with one child.
func rootOf(nodes []*node) *node {
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

// applyTo appends the nodes that take the place of n, all of its depth: none, one or several.
func (e *editor) applyTo(to []*node, n *node, edits []edit) []*node {
	if n.isLeaf() {
		return e.applyToLeaf(to, n, edits)
	}
	children := make([]*node, 0, len(n.children)+1)
	kept, small := 0, false // kept counts the old children that are dealt with
	for len(edits) > 0 {
		position := n.childFor(edits[0].key)
		children = append(children, n.children[kept:position]...)
		kept = position + 1
		mine := edits
		if kept < len(n.children) {
			mine = edits[:editsBelow(edits, n.children[kept].low)]
		}
		edits = edits[len(mine):]
		replaced := len(children)
		children = e.applyTo(children, n.children[position], mine)
		small = small || slices.ContainsFunc(children[replaced:], (*node).isSmall)
	}
	children = append(children, n.children[kept:]...)
	if small {
		children = joinSmall(children)
	}
	return groupChildren(to, children)
}

// editsBelow returns how many of the edits have a key below low.
func editsBelow(edits []edit, low string) int {
	position, _ := slices.BinarySearchFunc(edits, low, func(one edit, low string) int {
		if string(one.key) < low {
			return -1
		}
		return 1
	})
	return position
}

// applyToLeaf merges the records of a leaf with the edits.
func (e *editor) applyToLeaf(to []*node, leaf *node, edits []edit) []*node {
	e.writer.reset()
	cursor := leafCursor{rest: leaf.slab}
	for cursor.next() {
		for len(edits) > 0 && bytes.Compare(edits[0].key, cursor.key) < 0 {
			e.insert(edits[0])
			edits = edits[1:]
		}
		if len(edits) > 0 && bytes.Equal(edits[0].key, cursor.key) {
			e.count(cursor.key, cursor.value, -1)
			e.insert(edits[0])
			edits = edits[1:]
			continue
		}
		e.writer.add(cursor.key, cursor.value)
	}
	for _, one := range edits {
		e.insert(one)
	}
	return splitSlab(to, e.writer.slab)
}

func (e *editor) insert(one edit) {
	if one.remove {
		return
	}
	e.writer.add(one.key, one.value)
	e.count(one.key, one.value, +1)
}

// count counts a record that is added, with a sign of +1, or removed, with -1.
func (e *editor) count(key, value []byte, sign int) {
	if isServiceKey(key) {
		e.services += sign
		return
	}
	e.entries += sign
	e.digest += Digest(sign) * digestRecord(key, value)
}

// groupChildren appends inner nodes of about equal size with the children.
func groupChildren(to []*node, children []*node) []*node {
	if len(children) == 0 {
		return to
	}
	groups := (len(children) + maxChildren - 1) / maxChildren
	for k := range groups {
		from, until := k*len(children)/groups, (k+1)*len(children)/groups
		group := children[from:until]
		if groups > 1 {
			group = slices.Clone(group)
		}
		to = append(to, newInner(group))
	}
	return to
}

// joinSmall joins, in place, small nodes with a neighbour where both fit into one, so that deletes don't leave a tree of crumbs.
func joinSmall(nodes []*node) []*node {
	joined := nodes[:0]
	for _, next := range nodes {
		if len(joined) > 0 {
			last := joined[len(joined)-1]
			if (last.isSmall() || next.isSmall()) && last.fitsWith(next) {
				joined[len(joined)-1] = last.join(next)
				continue
			}
		}
		joined = append(joined, next)
	}
	return joined
}

func (n *node) isSmall() bool {
	if n.isLeaf() {
		return len(n.slab) < minLeafBytes
	}
	return len(n.children) < minChildren
}

// fitsWith leaves room for what comes next, so that nodes are not joined and split in turn.
func (n *node) fitsWith(next *node) bool {
	if n.isLeaf() {
		return len(n.slab)+len(next.slab) <= maxLeafBytes*3/4
	}
	return len(n.children)+len(next.children) <= maxChildren*3/4
}

// join makes one node of two. The first record of a slab shares nothing, so that slabs can follow each other in one.
func (n *node) join(next *node) *node {
	if n.isLeaf() {
		return &node{low: n.low, slab: slices.Concat(n.slab, next.slab)}
	}
	return newInner(slices.Concat(n.children, next.children))
}
