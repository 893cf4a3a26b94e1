package config

import (
	"net/netip"
	"slices"

	"valveglade/logic/view"
)

// Fleet configures how app servers find each other and which duties and limits they share. Times are in seconds.
type Fleet struct {
	Listen          netip.AddrPort   // invalid while the fleet is off
	Advertise       netip.AddrPort   // invalid if other members reach Listen directly
	Join            []netip.AddrPort // members to contact first
	Zone            string           // failure domain of this app server
	Allow           []netip.Prefix   // networks from which packets are accepted
	ProbeInterval   float64          // between two probes of other members
	HoldTime        float64          // for which a death must persist before the view shows it
	ForgetTime      float64          // after which dead members are no longer contacted
	Socket          string           // path of the local socket for status queries
	Voters          [][]string       // one list, or two during a change of voters; none without elections
	Lease           float64          // duration of a lease on a role
	Drift           float64          // relative clock drift between two machines: 0.01 is 1%
	StateDir        string           // directory that survives restarts, for votes and the log of the configuration
	Roles           []Role           // elected roles
	Shares          []Share          // limits common to the fleet
	Reserved        int              // permits of each share that each of ReservedMembers holds without a request
	ReservedMembers []string         // names of the members with reserved permits
	Distribution    Distribution
}

// On reports whether the app server takes part in a fleet.
func (f Fleet) On() bool { return f.Listen.IsValid() }

func defaultFleet() Fleet {
	defaults := view.Defaults()
	f := Fleet{ProbeInterval: 0.3, HoldTime: defaults.HoldTime, ForgetTime: defaults.ForgetTime, Lease: 2,
		Drift: 0.01, Distribution: defaultDistribution()}
	for _, network := range defaultAllowedNetworks {
		f.Allow = append(f.Allow, netip.MustParsePrefix(network))
	}
	return f
}

// fleetDirectives lists the directives of a fleet in output order, except those of the distribution.
var fleetDirectives = slices.Concat(membershipDirectives, electionDirectives, shareDirectives)
