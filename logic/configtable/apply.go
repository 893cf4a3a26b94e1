package configtable

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"slices"
)

// CommittedChange is a change with the index of its log entry.
type CommittedChange struct {
	Index  uint64 // at least 1
	Change Change
}

// IndexError reports a log index that is not above the last index of its service.
type IndexError struct {
	Service string
	Index   uint64 // of the rejected change
	Last    uint64 // last index applied to the service
}

func (e *IndexError) Error() string {
	return fmt.Sprintf("service %s: index %d is not above the last index %d", e.Service, e.Index, e.Last)
}

// Apply returns a table with the changes applied in order. t is not modified; both tables share the unchanged
// nodes. Each change sets LastIndex of its service, and deleting an absent entry changes nothing else.
// Apply is atomic: an invalid change returns its *ChangeError, an index that is not above the service's last
// index an *IndexError, and in both cases no change is applied.
func (t Table) Apply(changes []CommittedChange) (Table, error) {
	for _, committed := range changes {
		if err := committed.Change.Validate(); err != nil {
			return t, err
		}
	}
	edits := make([]recordEdit, 0, 2*len(changes))
	for _, committedChange := range changes {
		edits = append(edits, serviceEdit(committedChange.Change.Service, committedChange.Index),
			entryEdit(committedChange.Change))
	}
	slices.SortStableFunc(edits, compareEditKeys)
	if err := t.checkIndices(edits); err != nil {
		return t, err
	}
	return t.applyEdits(edits), nil
}

// serviceEdit returns the edit that sets the last index of a service.
func serviceEdit(service string, lastIndex uint64) recordEdit {
	buffer := make([]byte, 0, len(service)+1+binary.MaxVarintLen64)
	key := appendServiceKey(buffer, service)
	encoded := binary.AppendUvarint(key, lastIndex)
	return recordEdit{key: key, value: encoded[len(key):]}
}

// entryEdit returns the edit that puts or deletes the entry of a change.
func entryEdit(change Change) recordEdit {
	capacity := len(change.Service) + 2 + len(change.Name)
	if change.Operation == Delete {
		key := appendKey(make([]byte, 0, capacity), change.Kind, change.Service, change.Name)
		return recordEdit{key: key, remove: true}
	}
	capacity += 1 + len(change.Value.Route.Method) + 3*binary.MaxVarintLen64
	key := appendKey(make([]byte, 0, capacity), change.Kind, change.Service, change.Name)
	encoded := change.appendValue(key)
	return recordEdit{key: key, value: encoded[len(key):]}
}

// checkIndices returns an *IndexError unless the last indices of each service increase. The edits are sorted
// by key, and the edits of one key are in log order.
func (t Table) checkIndices(edits []recordEdit) error {
	var service string
	var last uint64
	for _, edit := range edits {
		if !isServiceKey(edit.key) {
			continue
		}
		if name := edit.key[:len(edit.key)-1]; string(name) != service {
			service = string(name)
			last = t.LastIndex(service)
		}
		index, _ := binary.Uvarint(edit.value)
		if index <= last {
			return &IndexError{Service: service, Index: index, Last: last}
		}
		last = index
	}
	return nil
}

// applyEdits applies edits that are sorted by key. The last of several edits of a key wins.
func (t Table) applyEdits(edits []recordEdit) Table {
	if len(edits) == 0 {
		return t
	}
	unique := edits[:0]
	for i, edit := range edits {
		if i+1 < len(edits) && bytes.Equal(edit.key, edits[i+1].key) {
			continue
		}
		unique = append(unique, edit)
	}
	var editor treeEditor
	root := editor.apply(t.root, unique)
	return Table{
		root:     root,
		entries:  t.entries + editor.entries,
		services: t.services + editor.services,
		digest:   t.digest + editor.digest,
	}
}

// ReplaceService returns a table in which service has exactly these entries and this last index, as read from
// a snapshot of the service. Entries are valid Puts of that service in any order. With lastIndex 0 and no
// entries the service is removed. The error is a *ChangeError, or an *IndexError for entries without a last
// index.
func (t Table) ReplaceService(service string, lastIndex uint64, entries []Change) (Table, error) {
	if err := ValidateService(service); err != nil {
		return t, err
	}
	if lastIndex == 0 && len(entries) > 0 {
		return t, &IndexError{Service: service}
	}
	edits := t.removalEdits(service)
	if lastIndex > 0 {
		edits = append(edits, serviceEdit(service, lastIndex))
	}
	for _, entry := range entries {
		if err := entry.Validate(); err != nil {
			return t, err
		}
		if entry.Operation != Put || entry.Service != service {
			return t, changeError("service", "%s is not a put of service %s", entry, service)
		}
		edits = append(edits, entryEdit(entry))
	}
	slices.SortStableFunc(edits, compareEditKeys)
	return t.applyEdits(edits), nil
}

// removalEdits returns the edits that remove the service record and all entries of a service.
func (t Table) removalEdits(service string) []recordEdit {
	edits := []recordEdit{{key: appendServiceKey(nil, service), remove: true}}
	t.walkService(service, func(key, value []byte) bool {
		edits = append(edits, recordEdit{key: bytes.Clone(key), remove: true})
		return true
	})
	return edits
}
