package configtable

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"slices"
)

// CommittedChange is a change with the index of its entry in the log.
type CommittedChange struct {
	Index  uint64 // at least 1
	Change Change
}

// IndexError reports a change that is not newer than what the table has of its service.
type IndexError struct {
	Service     string
	Index, Last uint64
}

func (e *IndexError) Error() string {
	return fmt.Sprintf("service %s: index %d does not follow %d", e.Service, e.Index, e.Last)
}

// Apply returns a table with the changes applied in order; t is unchanged and shares all that is untouched. Each change sets
// LastIndex of its service. All changes are applied or none: a change that is not valid gives its *ChangeError, an index not
// above its service's last one an *IndexError. Deleting an absent entry only moves LastIndex.
func (t Table) Apply(changes []CommittedChange) (Table, error) {
	for _, one := range changes {
		if err := one.Change.Validate(); err != nil {
			return t, err
		}
	}
	edits := make([]edit, 0, 2*len(changes))
	for _, one := range changes {
		edits = append(edits, serviceEdit(one.Change.Service, one.Index), entryEdit(one.Change))
	}
	slices.SortStableFunc(edits, compareEdits)
	if err := t.checkIndices(edits); err != nil {
		return t, err
	}
	return t.applyEdits(edits), nil
}

// serviceEdit sets the last index of a service.
func serviceEdit(service string, lastIndex uint64) edit {
	buffer := make([]byte, 0, len(service)+1+binary.MaxVarintLen64)
	key := appendServiceKey(buffer, service)
	all := binary.AppendUvarint(key, lastIndex)
	return edit{key: key, value: all[len(key):]}
}

func entryEdit(change Change) edit {
	room := len(change.Service) + 2 + len(change.Name)
	if change.Operation == Delete {
		key := appendKey(make([]byte, 0, room), change.Kind, change.Service, change.Name)
		return edit{key: key, remove: true}
	}
	room += 1 + len(change.Value.Route.Method) + 3*binary.MaxVarintLen64
	key := appendKey(make([]byte, 0, room), change.Kind, change.Service, change.Name)
	all := change.appendValue(key)
	return edit{key: key, value: all[len(key):]}
}

// checkIndices checks that the edits of each service's last index, which follow each other in the order of the log, rise.
func (t Table) checkIndices(edits []edit) error {
	var service string
	var last uint64
	for _, one := range edits {
		if !isServiceKey(one.key) {
			continue
		}
		if name := one.key[:len(one.key)-1]; string(name) != service {
			service = string(name)
			last = t.LastIndex(service)
		}
		index, _ := binary.Uvarint(one.value)
		if index <= last {
			return &IndexError{Service: service, Index: index, Last: last}
		}
		last = index
	}
	return nil
}

// applyEdits applies edits in order of key. Of several of one key the last one counts.
func (t Table) applyEdits(edits []edit) Table {
	if len(edits) == 0 {
		return t
	}
	unique := edits[:0]
	for k, one := range edits {
		if k+1 < len(edits) && bytes.Equal(one.key, edits[k+1].key) {
			continue
		}
		unique = append(unique, one)
	}
	var e editor
	root := e.apply(t.root, unique)
	return Table{root: root, entries: t.entries + e.entries, services: t.services + e.services, digest: t.digest + e.digest}
}

// ReplaceService returns a table in which service has exactly these entries and last index, as from a snapshot of it. Entries
// are valid Puts of that service in any order. With lastIndex 0 and no entries the service is removed. The error is a
// *ChangeError, or an *IndexError for entries without a last index.
func (t Table) ReplaceService(service string, lastIndex uint64, entries []Change) (Table, error) {
	if err := ValidateService(service); err != nil {
		return t, err
	}
	if lastIndex == 0 && len(entries) > 0 {
		return t, &IndexError{Service: service}
	}
	edits := t.removalOf(service)
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
	slices.SortStableFunc(edits, compareEdits)
	return t.applyEdits(edits), nil
}

// removalOf returns the edits that remove all records of a service.
func (t Table) removalOf(service string) []edit {
	edits := []edit{{key: appendServiceKey(nil, service), remove: true}}
	t.walkService(service, func(key, value []byte) bool {
		edits = append(edits, edit{key: bytes.Clone(key), remove: true})
		return true
	})
	return edits
}
