package config

import (
	"cmp"
	"net/netip"
	"slices"
)

// allows reports whether packets from an address are accepted.
func (f Fleet) allows(address netip.Addr) bool {
	return slices.ContainsFunc(f.Allow, func(network netip.Prefix) bool { return network.Contains(address.Unmap()) })
}

// checkFleet rejects contradictory directives of the fleet.
func (settings *Settings) checkFleet() error {
	f := settings.Fleet
	if !f.On() {
		for _, d := range slices.Concat(fleetDirectives, distributionDirectives) {
			if d.name != "fleet.listen" && settings.lines[d.name] > 0 && d.format(settings) != d.format(NewSettings()) {
				return settings.directiveError(d.name, "fleet.listen is not set")
			}
		}
		return nil
	}
	advertised := f.Advertise
	if !advertised.IsValid() {
		if f.Listen.Addr().IsUnspecified() {
			return settings.directiveError("fleet.listen",
				"other members cannot reach an unspecified address: set fleet.advertise")
		}
		advertised = f.Listen
	}
	addressDirective := "fleet.advertise"
	if settings.lines[addressDirective] == 0 {
		addressDirective = "fleet.listen"
	}
	switch {
	case advertised.Addr().IsUnspecified():
		return settings.directiveError(addressDirective, "%s is not an address that other members can reach", advertised)
	case !f.allows(advertised.Addr()):
		return settings.directiveError(addressDirective, "%s is not in fleet.allow, so other members would drop its packets",
			advertised)
	case f.HoldTime < f.ProbeInterval:
		directiveName := "fleet.hold"
		if settings.lines[directiveName] == 0 {
			directiveName = "fleet.probe"
		}
		return settings.directiveError(directiveName, "a hold time of %s is shorter than the probe interval of %s",
			formatDuration(f.HoldTime), formatDuration(f.ProbeInterval))
	}
	for _, name := range []string{"fleet.lease", "fleet.drift", "fleet.state", "fleet.office", "fleet.share"} {
		if len(f.Voters) == 0 && settings.lines[name] > 0 {
			return settings.directiveError(name, "fleet.voters is not set")
		}
	}
	// Ordinary network delays and packet loss would end a lease that is shorter than a few probe intervals.
	if len(f.Voters) > 0 && f.Lease < 3*f.ProbeInterval {
		directiveName := "fleet.lease"
		if settings.lines[directiveName] == 0 {
			directiveName = "fleet.probe"
		}
		return settings.directiveError(directiveName, "a lease of %s is shorter than three probe intervals of %s",
			formatDuration(f.Lease), formatDuration(f.ProbeInterval))
	}
	for _, share := range f.Shares {
		if minLimit := cmp.Or(share.MinLimit, share.Limit); f.Reserved*len(f.ReservedMembers) > minLimit {
			return settings.directiveError("fleet.floor",
				"%d members with %d reserved permits each exceed the limit of %d of share %s",
				len(f.ReservedMembers), f.Reserved, minLimit, share.Name)
		}
	}
	if f.Reserved > 0 && len(f.Shares) == 0 {
		return settings.directiveError("fleet.floor", "fleet.share is not set")
	}
	for _, address := range f.Join {
		if !f.allows(address.Addr()) {
			return settings.directiveError("fleet.join", "%s is not in fleet.allow", address)
		}
	}
	return settings.checkDistribution()
}

// isVoter reports whether a name is in one of the lists of voters.
func (f Fleet) isVoter(name string) bool {
	return slices.ContainsFunc(f.Voters, func(list []string) bool { return slices.Contains(list, name) })
}

// CheckAgainst returns an error if the fleet's settings contradict the platform's configuration.
func (f Fleet) CheckAgainst(c *Config) error {
	switch {
	case len(c.Name) > maxNameLength:
		return keyError("name", "%d bytes exceed the limit of %d for a name in a fleet", len(c.Name), maxNameLength)
	case f.Listen == c.Listen:
		return keyError("listen", "%s is also the address of fleet.listen", c.Listen)
	case f.StateDir != "" && !f.isVoter(c.Name) && !f.Distribution.On:
		return keyError("name", "%q is not in fleet.voters, so it has no votes to persist: fleet.state is for voters",
			c.Name)
	}
	for _, share := range f.Shares {
		for _, method := range share.Methods {
			if !slices.Contains(c.Methods, method) {
				return keyError("settings.profiles", "no method %q, which fleet.share %s refers to", method, share.Name)
			}
		}
	}
	return f.Distribution.checkAgainst(c, f)
}
