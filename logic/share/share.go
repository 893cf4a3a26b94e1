// Package share divides a concurrency limit common to the whole fleet among the app servers: the limit of a
// downstream system that serves only so many RPCs at once. A Leaseholder is one app server's part: it
// requests permits, and starts no RPC without one. An Allocator runs on the owner of the role: it divides the
// permits that it may grant by demand, weighted by criticality, and starves nobody. Grants are counted by
// owner.Requester and owner.Grantor, so that the sum stays within the limit through every change of
// allocator. The package does no I/O, reads no clock and knows no addresses; fleet/ drives it.
package share

import (
	"fmt"
	"slices"

	"valveglade/logic/owner"
)

// Config is the configuration of one share, the same at all app servers.
type Config struct {
	Name     string
	Limit    int // RPCs at once over the whole fleet; the upper bound if the limit is adaptive
	MinLimit int // the lower bound of an adaptive limit; 0 if the limit is fixed
	// of an adaptive limit: how long a run takes while the downstream is healthy, in seconds
	Target          float64
	Methods         []int
	Reserved        int      // permits that each app server in ReservedMembers has without a request
	ReservedMembers []string // names of the app servers with reserved permits
	Lease           owner.Lease
}

// Check returns an error if the limits contradict each other.
func (c Config) Check() error {
	lowestLimit := c.Limit
	if c.MinLimit > 0 {
		lowestLimit = c.MinLimit
	}
	switch {
	case c.Limit < 1 || c.MinLimit < 0 || c.MinLimit > c.Limit:
		return fmt.Errorf("a limit of %d with a minimum of %d is invalid", c.Limit, c.MinLimit)
	case c.Reserved*len(c.ReservedMembers) > lowestLimit:
		return fmt.Errorf("%d members with %d reserved permits each exceed the limit of %d",
			len(c.ReservedMembers), c.Reserved, lowestLimit)
	}
	return nil
}

// totalReserved is the number of permits that are reserved, whether or not their app servers are up.
func (c Config) totalReserved() int { return c.Reserved * len(c.ReservedMembers) }

// reservedFor is the number of permits that one app server has without a request.
func (c Config) reservedFor(name string) int {
	if slices.Contains(c.ReservedMembers, name) {
		return c.Reserved
	}
	return 0
}

// Request is a leaseholder's request, with its report of criticality and run times.
type Request struct {
	owner.Request
	Criticality float64 // mean criticality of the running and waiting RPCs
	RunTime     float64 // mean duration of the runs since the last request, in seconds; 0 if none ended
}
