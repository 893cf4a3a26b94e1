package configtable

import (
	"fmt"
	"iter"
)

// Table is an immutable set of entries, with the index of each service's last log entry. The zero Table is empty. A Table is
// safe for concurrent use and is copied freely: a copy is a few words. A reader may keep an old one as long as it likes.
type Table struct {
}

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
func (t Table) Apply(changes []CommittedChange) (Table, error) { panic("not built yet") }

// Check returns the error for which a change is to be refused before it enters the log: that of Validate, or a *ChangeError for
// a delete of an absent entry or a put beyond MaxEntries.
func (t Table) Check(change Change) error { panic("not built yet") }

// ReplaceService returns a table in which service has exactly these entries and last index, as from a snapshot of it. Entries
// are valid Puts of that service in any order. With lastIndex 0 and no entries the service is removed.
func (t Table) ReplaceService(service string, lastIndex uint64, entries []Change) (Table, error) {
	panic("not built yet")
}

// Route returns the value of a route of a service.
func (t Table) Route(service, name string) (RouteValue, bool) { panic("not built yet") }

// Tenant returns the value of a tenant of a service.
func (t Table) Tenant(service, name string) (TenantValue, bool) { panic("not built yet") }

// LastIndex returns the index of the last log entry applied to a service, 0 if there was none. It stays when the service's
// last entry is deleted.
func (t Table) LastIndex(service string) uint64 { panic("not built yet") }

// Len returns the number of entries.
func (t Table) Len() int { panic("not built yet") }

// ServiceCount returns the number of services that have a last index, with entries or without.
func (t Table) ServiceCount() int { panic("not built yet") }

// Services iterates over all services and their last indices, in order of name.
func (t Table) Services() iter.Seq2[string, uint64] { panic("not built yet") }

// Service iterates over the entries of a service as Puts, in order of kind and name.
func (t Table) Service(service string) iter.Seq[Change] { panic("not built yet") }

// All iterates over all entries as Puts, in order of service, kind and name.
func (t Table) All() iter.Seq[Change] { panic("not built yet") }

// Digest is a fingerprint of entries that does not depend on the order in which they came. It is no defence against forgery.
type Digest uint64

// Digest returns the fingerprint of all entries; last indices are not in it. It takes no time: tables carry it.
func (t Table) Digest() Digest { panic("not built yet") }

// ServiceDigest returns the fingerprint of the entries of one service. The digests of disjoint sets add up.
func (t Table) ServiceDigest(service string) Digest { panic("not built yet") }

// Builder makes a Table from entries in order, as a snapshot has them, without the cost of a change each.
// The zero Builder is ready for use.
type Builder struct {
}

// OrderError reports an entry or service that does not follow the one before it.
type OrderError struct {
	Service, Name string
}

func (e *OrderError) Error() string {
	return fmt.Sprintf("service %s name %q: out of order", e.Service, e.Name)
}

// AddService begins a service; services come in order of name. The error is a *ChangeError or an *OrderError.
func (b *Builder) AddService(service string, lastIndex uint64) error { panic("not built yet") }

// Add adds an entry, a valid Put, of the service that AddService began last; entries come in order of kind and name.
func (b *Builder) Add(entry Change) error { panic("not built yet") }

// Table returns what was added. The Builder is not used afterwards.
func (b *Builder) Table() Table { panic("not built yet") }
