// Package share decides who may run how much of what the whole fleet may only run so much of at once: something behind all app
// servers that bears no more. A Leaseholder is one app server's part: it requests permits, and starts nothing without a permit. An Allocator is the
// part of the role's owner: it shares out what it may grant, weighted by criticality, and lets no one starve. What is granted
// is counted by owner.Requester and owner.Grantor, so that the sum holds through every change of the allocator. Nothing here does I/O,
// reads a clock or knows an address; fleet/ drives it.
package share

import (
	"fmt"
	"slices"

	"valveglade/logic/owner"
)

// Config is what an installation sets of one share, the same at all app servers.
type Config struct {
	Name            string
	Limit           int     // RPCs at once over the whole fleet; the most, where it is found
	MinLimit        int     // the lowest limit, where it is found; 0 where the limit is set
	Target          float64 // where it is found: how long a run takes while what is behind is well, in seconds
	Methods         []int
	Reserved        int      // permits that each of some app servers has without asking
	ReservedMembers []string // their names
	Lease           owner.Lease
}

// Check tells what is wrong with them.
func (t Config) Check() error {
	least := t.Limit
	if t.MinLimit > 0 {
		least = t.MinLimit
	}
	switch {
	case t.Limit < 1 || t.MinLimit < 0 || t.MinLimit > t.Limit:
		return fmt.Errorf("a limit of %d, at least %d, is none", t.Limit, t.MinLimit)
	case t.Reserved*len(t.ReservedMembers) > least:
		return fmt.Errorf("%d members with %d reserved are more than the %d that there are", len(t.ReservedMembers), t.Reserved, least)
	}
	return nil
}

// totalReserved is the number of permits that are reserved, whoever is there.
func (t Config) totalReserved() int { return t.Reserved * len(t.ReservedMembers) }

// reservedFor is the number of permits that one app server has without a request.
func (t Config) reservedFor(name string) int {
	if slices.Contains(t.ReservedMembers, name) {
		return t.Reserved
	}
	return 0
}

// Request is a leaseholder's request, with what it reports of itself.
type Request struct {
	owner.Request
	Criticality float64 // criticality of one of what runs and waits, on the mean
	RunTime     float64 // seconds that runs took, on the mean, since the last request; 0 for none
}
