package fleet

import (
	"math"
	"slices"
	"time"
)

// Owner is one role as seen from here.
type Owner struct {
	Role          string  `json:"role"`
	Owner         string  `json:"owner,omitempty"` // as far as is known here
	Owns          bool    `json:"owns"`            // it is this process
	Term          uint64  `json:"term"`            // ours if we own it, else the highest known
	Left          float64 `json:"left_s"`
	Since         string  `json:"since,omitempty"`
	LastRejection string  `json:"last_rejection,omitempty"` // the last rejection of a command of ours
}

// Owners lists the roles that this process campaigns for, by name.
func (f *Fleet) Owners() []Owner {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []Owner
	for _, o := range f.roles {
		one := Owner{Role: o.name, Term: o.candidate.Term(), LastRejection: o.lastRejection}
		at := f.config.Clock()
		term, left, owns := o.candidate.Owns(at)
		if owns {
			one.Owner, one.Owns, one.Term = f.config.Name, true, term
			one.Since = o.since.UTC().Format(time.RFC3339)
		} else if name, lasts, known := o.candidate.KnownOwner(at); known {
			one.Owner, left = name, lasts
		}
		one.Left = math.Round(left*1e3) / 1e3
		all = append(all, one)
	}
	slices.SortFunc(all, func(a, b Owner) int {
		if a.Role < b.Role {
			return -1
		}
		return 1
	})
	return all
}

// Status is what operators are shown of it.
type Status struct {
	Roles  []Owner `json:"roles"`
	Shares []Share `json:"shares,omitempty"`
}

// Status returns all that there is to show.
func (f *Fleet) Status() Status {
	s := Status{Roles: f.Owners()}
	if l := f.quota.Load(); l != nil {
		s.Shares = l.Shares()
	}
	return s
}
