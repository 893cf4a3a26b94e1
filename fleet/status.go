package fleet

import (
	"math"
	"slices"
	"time"
)

// Owner is the state of one role as this process knows it.
type Owner struct {
	Role          string  `json:"role"`
	Owner         string  `json:"owner,omitempty"` // the last known owner
	Owns          bool    `json:"owns"`            // this process owns the role
	Term          uint64  `json:"term"`            // of this process if it owns the role, else the highest known
	Left          float64 `json:"left_s"`
	Since         string  `json:"since,omitempty"`
	LastRejection string  `json:"last_rejection,omitempty"` // of a command of this process, for a stale term
}

// Owners lists the roles that this process campaigns for, sorted by name.
func (f *Fleet) Owners() []Owner {
	f.mu.Lock()
	defer f.mu.Unlock()
	var statuses []Owner
	for _, r := range f.roles {
		status := Owner{Role: r.name, Term: r.candidate.Term(), LastRejection: r.lastRejection}
		now := f.config.Clock()
		term, left, owns := r.candidate.Owns(now)
		if owns {
			status.Owner, status.Owns, status.Term = f.config.Name, true, term
			status.Since = r.since.UTC().Format(time.RFC3339)
		} else if name, knownLeft, known := r.candidate.KnownOwner(now); known {
			status.Owner, left = name, knownLeft
		}
		status.Left = math.Round(left*1e3) / 1e3
		statuses = append(statuses, status)
	}
	slices.SortFunc(statuses, func(a, b Owner) int {
		if a.Role < b.Role {
			return -1
		}
		return 1
	})
	return statuses
}

// Status is the state of roles and shares that is shown to operators.
type Status struct {
	Roles  []Owner `json:"roles"`
	Shares []Share `json:"shares,omitempty"`
}

// Status returns the current state of all roles and shares.
func (f *Fleet) Status() Status {
	status := Status{Roles: f.Owners()}
	if quotaClient := f.quotaClient.Load(); quotaClient != nil {
		status.Shares = quotaClient.Shares()
	}
	return status
}
