// Package configtable holds the configuration that a fleet of app servers distributes: routes and tenants, each of a service.
// A Change puts or deletes one entry; it is checked, encoded and read from text here. A Table is an immutable, ordered index of
// all entries: applying changes gives a new Table that shares everything untouched, so that readers never wait and a change
// costs the same in a large table as in a small one. Nothing here does I/O, reads a clock or starts a goroutine.
package configtable

import (
	"fmt"
	"math"
)

// Operation is what a change does.
type Operation uint8

const (
	Put    Operation = 1 // adds an entry or replaces its value
	Delete Operation = 2 // removes an entry; removing one that is absent has no effect
)

// Kind is what an entry describes.
type Kind uint8

const (
	Route  Kind = 1 // how RPCs of a method are served
	Tenant Kind = 2 // what a caller may use
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
	QuotaPerSecond float64 // RPCs a second over the whole fleet; 0 admits none
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

// Change puts or deletes one entry. A Delete has the zero Value.
type Change struct {
	Operation     Operation
	Kind          Kind
	Service, Name string
	Value         Value
}

// Key returns the identity of the entry that the change puts or deletes.
func (c Change) Key() Key { return Key{c.Kind, c.Service, c.Name} }

// Limits of what a change may contain.
const (
	MaxNameBytes    = 128       // of a service, a name or a method
	MaxMilliseconds = 3_600_000 // an hour, of a latency target or a deadline
	MinMilliseconds = 0.001     // a microsecond
	MaxQuota        = 1e9       // RPCs a second
	MaxEncodedBytes = 1024      // of an encoded change
)

// ChangeError reports the field of a change that is not valid.
type ChangeError struct {
	Field  string // as in the text form: operation, kind, service, name, method, target, deadline, criticality, quota
	Reason string
}

func (e *ChangeError) Error() string { return e.Field + ": " + e.Reason }

func changeError(field, reason string, args ...any) error {
	return &ChangeError{Field: field, Reason: fmt.Sprintf(reason, args...)}
}

// Validate returns a *ChangeError for the first field that is not valid, or nil.
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

func (c Change) validateValue() error {
	if c.Operation == Delete {
		if c.Value != (Value{}) {
			return changeError("operation", "a delete has no value")
		}
		return nil
	}
	if c.Kind == Tenant {
		if c.Value.Route != (RouteValue{}) {
			return changeError("kind", "a tenant has no value of a route")
		}
		return validateNumber("quota", c.Value.Tenant.QuotaPerSecond, 0, MaxQuota)
	}
	if c.Value.Tenant != (TenantValue{}) {
		return changeError("kind", "a route has no value of a tenant")
	}
	return c.Value.Route.validate()
}

func (r RouteValue) validate() error {
	if err := validateName("method", r.Method); err != nil {
		return err
	}
	if err := validateNumber("target", r.LatencyTargetMilliseconds, MinMilliseconds, MaxMilliseconds); err != nil {
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

// ValidateService returns a *ChangeError if name can not be that of a service.
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

// validateNumber refuses negative zero too, so that each number has one encoding.
func validateNumber(field string, number, least, most float64) error {
	if !(number >= least && number <= most) || math.Signbit(number) {
		return changeError(field, "%g is not from %g to %g", number, least, most)
	}
	return nil
}
