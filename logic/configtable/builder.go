package configtable

import (
	"bytes"
	"encoding/binary"
	"fmt"
)

// builderLeafBytes is the size of a leaf that a Builder makes: it leaves room, so that the first changes don't split it.
const builderLeafBytes = maxLeafBytes * 7 / 8

// Builder makes a Table from entries in order, as a snapshot has them, without the cost of a change each.
// The zero Builder is ready for use.
type Builder struct {
	writer         leafWriter
	finishedLeaves []*node
	currentService string
	keyBuffer      []byte // scratch for the next key
	valueBuffer    []byte // scratch for the next value
	table          Table
}

// OrderError reports an entry or service that does not follow the one before it.
type OrderError struct {
	Service, Name string
}

func (e *OrderError) Error() string {
	return fmt.Sprintf("service %s name %q: out of order", e.Service, e.Name)
}

// AddService begins a service; services come in order of name. The error is a *ChangeError, an *OrderError, or an *IndexError
// for a last index of 0.
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

// Add adds an entry, a valid Put, of the service that AddService began last; entries come in order of kind and name. The error
// is a *ChangeError or an *OrderError.
func (b *Builder) Add(entry Change) error {
	if err := entry.Validate(); err != nil {
		return err
	}
	if entry.Operation != Put {
		return changeError("operation", "an entry is a put")
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

// addRecord adds the record in the scratch buffers and reports whether its key follows the last one.
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

// finishLeaf ends a leaf; the next record is written whole.
func (b *Builder) finishLeaf() {
	b.finishedLeaves = append(b.finishedLeaves, newLeaf(b.writer.records))
	b.writer.records = b.writer.records[:0]
	b.writer.previousKey = b.writer.previousKey[:0]
}

// Table returns what was added. The Builder is not used afterwards.
func (b *Builder) Table() Table {
	if len(b.writer.records) > 0 {
		b.finishLeaf()
	}
	b.table.root = buildRoot(b.finishedLeaves)
	return b.table
}
