package configtable

import (
	"encoding/binary"
	"fmt"
	"iter"
	"strings"
)

// MaxEntries limits the entries of a table. It is about one and a half times the design size of 1.376 million
// entries and keeps a table within the 128 MB that an app server may spend on it.
const MaxEntries = 2_000_000

// Table is an immutable, ordered set of entries, with the index of the last log entry of each service. The
// zero Table is empty. A Table is safe for concurrent use and cheap to copy. An old Table stays valid.
type Table struct {
	root     *node // nil in an empty table
	entries  int
	services int
	digest   Digest
}

// Check returns an error if a change must be rejected before it is appended to the log: the error of
// Validate, or a *ChangeError for deleting an absent entry or for a new entry beyond MaxEntries.
func (t Table) Check(change Change) error {
	if err := change.Validate(); err != nil {
		return err
	}
	_, present := t.encodedValue(change.Kind, change.Service, change.Name)
	switch {
	case change.Operation == Delete && !present:
		return changeError("name", "service %s has no entry %q of this kind", change.Service, change.Name)
	case change.Operation == Put && !present && t.entries >= MaxEntries:
		return changeError("name", "the table has %d entries, the maximum", t.entries)
	}
	return nil
}

// encodedValue returns the encoded value of an entry.
func (t Table) encodedValue(kind Kind, service, name string) ([]byte, bool) {
	var buffer [maxKeyBytes]byte
	return t.root.find(appendKey(buffer[:0], kind, service, name))
}

// Route returns the value of a route of a service.
func (t Table) Route(service, name string) (RouteValue, bool) {
	encoded, found := t.encodedValue(Route, service, name)
	if !found {
		return RouteValue{}, false
	}
	r := fieldReader{rest: encoded}
	return r.value(Route).Route, true
}

// Tenant returns the value of a tenant of a service.
func (t Table) Tenant(service, name string) (TenantValue, bool) {
	encoded, found := t.encodedValue(Tenant, service, name)
	if !found {
		return TenantValue{}, false
	}
	r := fieldReader{rest: encoded}
	return r.value(Tenant).Tenant, true
}

// LastIndex returns the index of the last log entry applied to a service, or 0 if there is none. It remains
// after all entries of the service are deleted.
func (t Table) LastIndex(service string) uint64 {
	var buffer [maxKeyBytes]byte
	encoded, found := t.root.find(appendServiceKey(buffer[:0], service))
	if !found {
		return 0
	}
	index, _ := binary.Uvarint(encoded)
	return index
}

// Len returns the number of entries.
func (t Table) Len() int { return t.entries }

// ServiceCount returns the number of services that have a last index, including those without entries.
func (t Table) ServiceCount() int { return t.services }

// Digest returns the digest of all entries, without the last indices. The table stores it, so the call is
// cheap.
func (t Table) Digest() Digest { return t.digest }

// ServiceDigest returns the digest of the entries of one service.
func (t Table) ServiceDigest(service string) Digest {
	var sum Digest
	t.walkService(service, func(key, value []byte) bool {
		sum += digestRecord(key, value)
		return true
	})
	return sum
}

// Services iterates over all services and their last indices, in order of name. It skips the entries.
func (t Table) Services() iter.Seq2[string, uint64] {
	return func(yield func(string, uint64) bool) {
		var from []byte
		for {
			var service string
			var index uint64
			finished := t.root.walk(from, func(key, value []byte) bool {
				service = string(key[:len(key)-1])
				index, _ = binary.Uvarint(value)
				return false
			})
			if finished || !yield(service, index) {
				return
			}
			from = appendServiceKey(from[:0], service)
			from[len(from)-1] = byte(Tenant) + 1 // above the keys of all its entries
		}
	}
}

// ServiceEntries iterates over the entries of a service as Puts, in order of kind and name.
func (t Table) ServiceEntries(service string) iter.Seq[Change] {
	service = strings.Clone(service)
	return func(yield func(Change) bool) {
		t.walkService(service, func(key, value []byte) bool {
			return yield(decodeRecord(service, key, value))
		})
	}
}

// walkService visits the records of a service's entries, without the service record, until visit returns
// false.
func (t Table) walkService(service string, visit func(key, value []byte) bool) {
	from := appendServiceKey(nil, service)
	prefix := string(from)
	from = append(from, byte(Route))
	t.root.walk(from, func(key, value []byte) bool {
		return len(key) > len(prefix) && string(key[:len(prefix)]) == prefix && visit(key, value)
	})
}

// All iterates over all entries as Puts, in order of service, kind and name.
func (t Table) All() iter.Seq[Change] {
	return func(yield func(Change) bool) {
		var service string
		t.root.walk(nil, func(key, value []byte) bool {
			if isServiceKey(key) {
				service = string(key[:len(key)-1])
				return true
			}
			return yield(decodeRecord(service, key, value))
		})
	}
}

// decodeRecord returns the entry of a record as a Put.
func decodeRecord(service string, key, value []byte) Change {
	_, kind, name := splitKey(key)
	r := fieldReader{rest: value}
	return Change{Operation: Put, Kind: kind, Service: service, Name: string(name), Value: r.value(kind)}
}

// String returns the table's size and digest.
func (t Table) String() string {
	return fmt.Sprintf("%d entries of %d services, digest %016x", t.entries, t.services, uint64(t.digest))
}
