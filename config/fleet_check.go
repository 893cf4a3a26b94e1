package config

import (
	"cmp"
	"net/netip"
	"slices"
)

// allows tells whether an address is among those that packets are taken from.
func (f Fleet) allows(address netip.Addr) bool {
	return slices.ContainsFunc(f.Allow, func(p netip.Prefix) bool { return p.Contains(address.Unmap()) })
}

// checkFleet refuses what contradicts itself.
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
			return settings.directiveError("fleet.listen", "others need to be told an address: set fleet.advertise")
		}
		advertised = f.Listen
	}
	name := "fleet.advertise"
	if settings.lines[name] == 0 {
		name = "fleet.listen"
	}
	switch {
	case advertised.Addr().IsUnspecified():
		return settings.directiveError(name, "%s is no address that others could reach", advertised)
	case !f.allows(advertised.Addr()):
		return settings.directiveError(name, "%s is not among fleet.allow, so others would drop what comes from there", advertised)
	case f.HoldTime < f.ProbeInterval:
		at := "fleet.hold"
		if settings.lines[at] == 0 {
			at = "fleet.probe"
		}
		return settings.directiveError(at, "a hold of %s is less than the %s between two probes", formatDuration(f.HoldTime), formatDuration(f.ProbeInterval))
	}
	for _, name := range []string{"fleet.lease", "fleet.drift", "fleet.state", "fleet.office", "fleet.share"} {
		if len(f.Voters) == 0 && settings.lines[name] > 0 {
			return settings.directiveError(name, "fleet.voters is not set")
		}
	}
	// Shorter than some probes a lease would end by what the network does every day.
	if len(f.Voters) > 0 && f.Lease < 3*f.ProbeInterval {
		at := "fleet.lease"
		if settings.lines[at] == 0 {
			at = "fleet.probe"
		}
		return settings.directiveError(at, "a lease of %s is shorter than three probes of %s", formatDuration(f.Lease), formatDuration(f.ProbeInterval))
	}
	for _, s := range f.Shares {
		if minLimit := cmp.Or(s.MinLimit, s.Limit); f.Reserved*len(f.ReservedMembers) > minLimit {
			return settings.directiveError("fleet.floor", "%d members with %d reserved are more than the %d of %s", len(f.ReservedMembers), f.Reserved, minLimit, s.Name)
		}
	}
	if f.Reserved > 0 && len(f.Shares) == 0 {
		return settings.directiveError("fleet.floor", "fleet.share is not set")
	}
	for _, at := range f.Join {
		if !f.allows(at.Addr()) {
			return settings.directiveError("fleet.join", "%s is not among fleet.allow", at)
		}
	}
	return settings.checkDistribution()
}

// isVoter reports whether a name is among the voters, of either list.
func (f Fleet) isVoter(name string) bool {
	return slices.ContainsFunc(f.Voters, func(list []string) bool { return slices.Contains(list, name) })
}

// CheckAgainst returns an error where the fleet's settings contradict the platform's config.
func (f Fleet) CheckAgainst(c *Config) error {
	switch {
	case len(c.Name) > maxNameLength:
		return keyError("name", "%d bytes are more than the %d that a fleet takes", len(c.Name), maxNameLength)
	case f.Listen == c.Listen:
		return keyError("listen", "%s is the fleet's too", c.Listen)
	case f.StateDir != "" && !f.isVoter(c.Name) && !f.Distribution.On:
		return keyError("name", "%q is not among fleet.voters, so it has no votes to persist: fleet.state is for voters", c.Name)
	}
	for _, s := range f.Shares {
		for _, m := range s.Methods {
			if !slices.Contains(c.Methods, m) {
				return keyError("settings.profiles", "no method is called %q, which fleet.share %s names", m, s.Name)
			}
		}
	}
	return f.Distribution.checkAgainst(c, f)
}
