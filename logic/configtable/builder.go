package configtable

import (
	"bytes"
	"encoding/binary"
	"fmt"
)

// builderLeafBytes is the size at which a Builder ends a leaf. It is below maxLeafBytes so that the first
// changes do not split the leaf.
const builderLeafBytes = maxLeafBytes * 7 / 8

// Builder builds a Table from sorted entries, such as those of a snapshot, at a lower cost than applying a
// change for each. The zero Builder is ready for use.
type Builder struct {
	writer         leafWriter
	finishedLeaves []*node
	currentService string
	keyBuffer      []byte // reused for the next key
	valueBuffer    []byte // reused for the next value
	table          Table
}

// OrderError reports an entry or service whose key is not above the previous key, or an entry that does not
// belong to the service that was added last.
type OrderError struct {
	Service string
	Name    string // of the entry; empty for a service
}

func (e *OrderError) Error() string {
	return fmt.Sprintf("service %s name %q: out of order: want a key above the previous one", e.Service, e.Name)
}

// AddService adds the record of a service, which the service's entries follow. Services must be added in
// ascending order of name. The error is a *ChangeError, an *OrderError, or an *IndexError for a last index
// of 0.
func (b *Builder) AddService(service string, lastIndex uint64) error {
	if err := ValidateService(service); err != nil {
		return err
	}
	if lastIndex == 0 {
		return &IndexError{Service: service}
	}
	b.keyBuffer = appendServiceKey(b.keyBuffer[:0], service)
	b.valueBuffer = binary.AppendUvarint(b.valueBuffer[:0], lastIndex)
	if !b.addRecord() {
		return &OrderError{Service: service}
	}
	b.currentService = service
	b.table.services++
	return nil
}

// Add adds an entry of the service that was added last. The entries of a service must be added in ascending
// order of kind, and of name within a kind. The error is a *ChangeError if the entry is invalid or not a Put,
// and an *OrderError if it belongs to another service or its key is not above the previous key. On an error
// nothing is added.
func (b *Builder) Add(entry Change) error {
	if err := entry.Validate(); err != nil {
		return err
	}
	if entry.Operation != Put {
		return changeError("operation", "want a put, found a delete")
	}
	b.keyBuffer = appendKey(b.keyBuffer[:0], entry.Kind, entry.Service, entry.Name)
	b.valueBuffer = entry.appendValue(b.valueBuffer[:0])
	if entry.Service != b.currentService || !b.addRecord() {
		return &OrderError{Service: entry.Service, Name: entry.Name}
	}
	b.table.entries++
	b.table.digest += digestRecord(b.keyBuffer, b.valueBuffer)
	return nil
}

// addRecord adds the record in keyBuffer and valueBuffer. It reports false, and adds nothing, if the key is
// not above the previous key.
func (b *Builder) addRecord() bool {
	if bytes.Compare(b.keyBuffer, b.writer.previousKey) <= 0 {
		return false
	}
	if len(b.writer.records) >= builderLeafBytes {
		b.finishLeaf()
	}
	b.writer.add(b.keyBuffer, b.valueBuffer)
	return true
}

// finishLeaf ends the current leaf. The next record is written with its full key.
func (b *Builder) finishLeaf() {
	b.finishedLeaves = append(b.finishedLeaves, newLeaf(b.writer.records))
	b.writer.records = b.writer.records[:0]
	b.writer.previousKey = b.writer.previousKey[:0]
}

// Table returns the table of all added entries. The Builder must not be used afterwards.
func (b *Builder) Table() Table {
	if len(b.writer.records) > 0 {
		b.finishLeaf()
	}
	b.table.root = buildRoot(b.finishedLeaves)
	return b.table
}
