package server

import (
	"slices"

	"valveglade/config"
	"valveglade/fleet"
	"valveglade/member"
)

// Limits on the streams that a voter or distributor serves: a share of its descriptors, and the number that a
// distributor needs at the design size when half of the distributors have failed.
const (
	streamShare = 8 // one in this many descriptors
	maxStreams  = 512
)

// incomingStreams returns how many streams this app server serves at a time: 0 unless it distributes
// configuration.
func incomingStreams(settings config.Fleet, c *config.Config) int {
	if !distributesConfig(settings, c.Name) {
		return 0
	}
	return min(c.Sockets/streamShare, maxStreams)
}

// distributesConfig reports whether the named app server serves streams, as voters (for others' snapshots)
// and distributors do.
func distributesConfig(settings config.Fleet, name string) bool {
	isVoter := slices.ContainsFunc(settings.Voters, func(names []string) bool { return slices.Contains(names, name) })
	return settings.Distribution.On && (isVoter || slices.Contains(settings.Distribution.Distributors, name))
}

// fleetDescriptors returns the most descriptors that the fleet uses.
func fleetDescriptors(settings config.Fleet, c *config.Config) int {
	if !settings.Distribution.On {
		return member.Descriptors
	}
	return member.DescriptorsWithStreams(incomingStreams(settings, c)) + fleet.SocketDescriptors
}

// distributeConfig starts this app server's part in the distribution of configuration if the settings enable
// it.
func (s *Server) distributeConfig(fleetMember *member.Member, roles *fleet.Fleet) error {
	settings, c := s.fleetSettings, s.config.Load()
	if !settings.Distribution.On {
		return nil
	}
	cfg := fleet.DistributionConfig{Name: c.Name, Voters: settings.Voters,
		Distributors: settings.Distribution.Distributors, Services: settings.Distribution.Services,
		AllServices: settings.Distribution.AllServices, Folder: settings.StateDir,
		BytesPerSecond: settings.Distribution.BytesPerSecond, StaleAfter: settings.Distribution.StaleAfter}
	if settings.Socket != "" {
		cfg.Socket = fleet.ConfigSocket(settings.Socket)
	}
	distribution, err := roles.Distribute(cfg, fleetMember)
	if err != nil {
		return err
	}
	fleetMember.HandleStreams(distribution.ServeStream)
	s.distribution = distribution
	return nil
}
