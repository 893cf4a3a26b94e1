// Package configtable holds the configuration that a fleet of app servers distributes: routes and tenants,
// each belonging to a service.
//
// A Change puts or deletes one entry. The package validates changes, encodes them and parses their text form.
// A Table is a persistent B-tree of all entries: applying changes copies the path to the changed leaves and
// shares all other nodes with the original table. Readers therefore never block, and a change in a large
// table costs about as much as in a small one. The package does no I/O, reads no clock and starts no
// goroutines.
package configtable

import (
	"fmt"
	"math"
)

// Operation is the action of a change on an entry.
type Operation uint8

const (
	Put    Operation = 1 // adds an entry or replaces its value
	Delete Operation = 2 // removes an entry; removing one that is absent has no effect
)

// Kind is the type of an entry.
type Kind uint8

const (
	Route  Kind = 1 // how RPCs of a method are served
	Tenant Kind = 2 // the quota of a caller
)

// RouteValue is the value of a route.
type RouteValue struct {
	Method                    string
	LatencyTargetMilliseconds float64
	DeadlineMilliseconds      float64
	Criticality               float64 // 0 for the least critical, 1 for the most
}

// TenantValue is the value of a tenant.
type TenantValue struct {
	QuotaPerSecond float64 // RPCs per second in the entire fleet; 0 admits none
}

// Value is the value of an entry. Only the field of the entry's kind is set.
type Value struct {
	Route  RouteValue
	Tenant TenantValue
}

// Key identifies an entry.
type Key struct {
	Kind          Kind
	Service, Name string
}

// Change puts or deletes one entry. The Value of a Delete is zero.
type Change struct {
	Operation     Operation
	Kind          Kind
	Service, Name string
	Value         Value
}

// Key returns the key of the entry that the change puts or deletes.
func (c Change) Key() Key { return Key{c.Kind, c.Service, c.Name} }

// Limits on the contents of a change.
const (
	MaxNameBytes    = 128       // of a service, a name or a method
	MaxMilliseconds = 3_600_000 // an hour, of a latency target or a deadline
	MinMilliseconds = 0.001     // a microsecond
	MaxQuota        = 1e9       // RPCs a second
	MaxEncodedBytes = 1024      // of an encoded change
)

// ChangeError reports an invalid field of a change.
type ChangeError struct {
	// Field is named as in the text form: operation, kind, service, name, method, target, deadline, criticality
	// or quota.
	Field  string
	Reason string
}

func (e *ChangeError) Error() string { return e.Field + ": " + e.Reason }

func changeError(field, reason string, args ...any) error {
	return &ChangeError{Field: field, Reason: fmt.Sprintf(reason, args...)}
}

// Validate returns a *ChangeError for the first invalid field, or nil.
func (c Change) Validate() error {
	if c.Operation != Put && c.Operation != Delete {
		return changeError("operation", "%d is neither put nor delete", c.Operation)
	}
	if c.Kind != Route && c.Kind != Tenant {
		return changeError("kind", "%d is neither route nor tenant", c.Kind)
	}
	if err := validateName("service", c.Service); err != nil {
		return err
	}
	if err := validateName("name", c.Name); err != nil {
		return err
	}
	return c.validateValue()
}

// validateValue checks that the value is valid and belongs to the operation and kind of the change.
func (c Change) validateValue() error {
	if c.Operation == Delete {
		if c.Value != (Value{}) {
			return changeError("operation", "a delete must not have a value")
		}
		return nil
	}
	if c.Kind == Tenant {
		if c.Value.Route != (RouteValue{}) {
			return changeError("kind", "a tenant must not have the value of a route")
		}
		return validateNumber("quota", c.Value.Tenant.QuotaPerSecond, 0, MaxQuota)
	}
	if c.Value.Tenant != (TenantValue{}) {
		return changeError("kind", "a route must not have the value of a tenant")
	}
	return c.Value.Route.validate()
}

func (r RouteValue) validate() error {
	if err := validateName("method", r.Method); err != nil {
		return err
	}
	if err := validateNumber("target", r.LatencyTargetMilliseconds,
		MinMilliseconds, MaxMilliseconds); err != nil {
		return err
	}
	if err := validateNumber("deadline", r.DeadlineMilliseconds, MinMilliseconds, MaxMilliseconds); err != nil {
		return err
	}
	if r.DeadlineMilliseconds < r.LatencyTargetMilliseconds {
		return changeError("deadline", "%gms is less than the latency target of %gms",
			r.DeadlineMilliseconds, r.LatencyTargetMilliseconds)
	}
	return validateNumber("criticality", r.Criticality, 0, 1)
}

// ValidateService returns a *ChangeError if name is not a valid name of a service.
func ValidateService(name string) error { return validateName("service", name) }

func validateName(field, name string) error {
	if name == "" {
		return changeError(field, "empty")
	}
	if len(name) > MaxNameBytes {
		return changeError(field, "%d bytes are more than %d", len(name), MaxNameBytes)
	}
	for i := range len(name) {
		if name[i] <= ' ' || name[i] > '~' {
			return changeError(field, "%q has a byte that is not printable ASCII, or a space", name)
		}
	}
	return nil
}

// validateNumber checks that a number is within a range. It also rejects negative zero, so that each number
// has exactly one encoding.
func validateNumber(field string, number, least, most float64) error {
	if !(number >= least && number <= most) || math.Signbit(number) {
		return changeError(field, "%g is not from %g to %g", number, least, most)
	}
	return nil
}
