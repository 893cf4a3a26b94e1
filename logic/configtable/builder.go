package configtable

import (
	"bytes"
	"encoding/binary"
	"fmt"
)

// builtLeafBytes is the size of a leaf that a Builder makes: it leaves room, so that the first changes don't split it.
const builtLeafBytes = maxLeafBytes * 7 / 8

// Builder makes a Table from entries in order, as a snapshot has them, without the cost of a change each.
// The zero Builder is ready for use.
type Builder struct {
	writer  leafWriter
	leaves  []*node
	service string
	key     []byte // scratch for the next key
	value   []byte // scratch for the next value
	table   Table
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
	b.key = appendServiceKey(b.key[:0], service)
	b.value = binary.AppendUvarint(b.value[:0], lastIndex)
	if !b.addRecord() {
		return &OrderError{Service: service}
	}
	b.service = service
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
	b.key = appendKey(b.key[:0], entry.Kind, entry.Service, entry.Name)
	b.value = entry.appendValue(b.value[:0])
	if entry.Service != b.service || !b.addRecord() {
		return &OrderError{Service: entry.Service, Name: entry.Name}
	}
	b.table.entries++
	b.table.digest += digestRecord(b.key, b.value)
	return nil
}

// addRecord adds the record in the scratch buffers and reports whether its key follows the last one.
func (b *Builder) addRecord() bool {
	if bytes.Compare(b.key, b.writer.previous) <= 0 {
		return false
	}
	if len(b.writer.slab) >= builtLeafBytes {
		b.flush()
	}
	b.writer.add(b.key, b.value)
	return true
}

// flush ends a leaf; the next record is written whole.
func (b *Builder) flush() {
	b.leaves = append(b.leaves, newLeaf(b.writer.slab))
	b.writer.slab = b.writer.slab[:0]
	b.writer.previous = b.writer.previous[:0]
}

// Table returns what was added. The Builder is not used afterwards.
func (b *Builder) Table() Table {
	if len(b.writer.slab) > 0 {
		b.flush()
	}
	b.table.root = rootOf(b.leaves)
	return b.table
}
