package server

import (
	"slices"

	"valveglade/config"
	"valveglade/fleet"
	"valveglade/member"
)

// Bounds of the streams that a voter or distributor serves: a share of its descriptors, and what a distributor at the design size
// needs when half of the distributors are gone.
const (
	streamShare = 8 // one of so many descriptors
	maxStreams  = 512
)

// incomingStreams is how many streams of others this app server serves at a time: none unless it distributes configuration.
func incomingStreams(settings config.Fleet, c *config.Config) int {
	if !distributesConfig(settings, c.Name) {
		return 0
	}
	return min(c.Sockets/streamShare, maxStreams)
}

// distributesConfig reports whether an app server of that name serves streams: a voter does, for others' snapshots, and a distributor.
func distributesConfig(settings config.Fleet, name string) bool {
	votes := slices.ContainsFunc(settings.Voters, func(list []string) bool { return slices.Contains(list, name) })
	return settings.Distribution.On && (votes || slices.Contains(settings.Distribution.Distributors, name))
}

// fleetDescriptors is how many descriptors the fleet takes at the most.
func fleetDescriptors(settings config.Fleet, c *config.Config) int {
	if !settings.Distribution.On {
		return member.Descriptors
	}
	return member.DescriptorsWithStreams(incomingStreams(settings, c)) + fleet.SocketDescriptors
}

// distributeConfig has this app server take part in the distribution of configuration, where the operators have said so.
func (s *Server) distributeConfig(m *member.Member, f *fleet.Fleet) error {
	settings, c := s.fleetSettings, s.config.Load()
	if !settings.Distribution.On {
		return nil
	}
	cfg := fleet.DistributionConfig{Name: c.Name, Voters: settings.Voters, Distributors: settings.Distribution.Distributors, Services: settings.Distribution.Services,
		AllServices: settings.Distribution.AllServices, Folder: settings.StateDir, BytesPerSecond: settings.Distribution.BytesPerSecond, StaleAfter: settings.Distribution.StaleAfter}
	if settings.Socket != "" {
		cfg.Socket = fleet.ConfigSocket(settings.Socket)
	}
	d, err := f.Distribute(cfg, m)
	if err != nil {
		return err
	}
	m.HandleStreams(d.ServeStream)
	s.distribution = d
	return nil
}
