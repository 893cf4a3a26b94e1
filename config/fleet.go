package config

import (
	"net/netip"
	"slices"

	"valveglade/logic/view"
)

// Fleet is how app servers find each other, where they may talk at all. Times are seconds.
type Fleet struct {
	Listen          netip.AddrPort // not valid while the fleet is off
	Advertise       netip.AddrPort // not valid where others reach Listen itself
	Join            []netip.AddrPort
	Zone            string
	Allow           []netip.Prefix
	ProbeInterval   float64
	HoldTime        float64
	ForgetTime      float64
	Socket          string
	Voters          [][]string // one list, or two while they are changed; none where nothing is elected
	Lease           float64
	Drift           float64 // a share
	StateDir        string  // a directory that survives restarts, for persisted votes
	Roles           []Role
	Shares          []Share
	Reserved        int      // permits of each share that reserved members hold without a request
	ReservedMembers []string // their names
	Distribution    Distribution
}

// On tells whether the app server is to take part in a fleet.
func (f Fleet) On() bool { return f.Listen.IsValid() }

func defaultFleet() Fleet {
	defaults := view.Defaults()
	f := Fleet{ProbeInterval: 0.3, HoldTime: defaults.HoldTime, ForgetTime: defaults.ForgetTime, Lease: 2, Drift: 0.01, Distribution: defaultDistribution()}
	for _, network := range defaultAllowedNetworks {
		f.Allow = append(f.Allow, netip.MustParsePrefix(network))
	}
	return f
}

// fleetDirectives are in the order in which they are shown.
var fleetDirectives = slices.Concat(membershipDirectives, electionDirectives, shareDirectives)
