package server

import (
	"slices"

	"valveglade/charter"
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
func incomingStreams(laws charter.Fleet, c *charter.Charter) int {
	if !distributesConfig(laws, c.Name) {
		return 0
	}
	return min(c.Sockets/streamShare, maxStreams)
}

// distributesConfig reports whether an app server of that name serves streams: a voter does, for others' snapshots, and a distributor.
func distributesConfig(laws charter.Fleet, name string) bool {
	votes := slices.ContainsFunc(laws.Voters, func(list []string) bool { return slices.Contains(list, name) })
	return laws.Config.On && (votes || slices.Contains(laws.Config.Distributors, name))
}

// fleetDescriptors is how many descriptors the fleet takes at the most.
func fleetDescriptors(laws charter.Fleet, c *charter.Charter) int {
	if !laws.Config.On {
		return member.Descriptors
	}
	return member.DescriptorsWithStreams(incomingStreams(laws, c)) + fleet.SocketDescriptors
}

// distributeConfig has this app server take part in the distribution of configuration, where the operators have said so.
func (s *Server) distributeConfig(m *member.Member, f *fleet.Fleet) error {
	laws, c := s.fleetLaws, s.charter.Load()
	if !laws.Config.On {
		return nil
	}
	cfg := fleet.DistributionConfig{Name: c.Name, Voters: laws.Voters, Distributors: laws.Config.Distributors, Services: laws.Config.Services,
		AllServices: laws.Config.AllServices, Folder: laws.State, BytesPerSecond: float64(laws.Config.Rate), StaleAfter: laws.Config.Age}
	if laws.Socket != "" {
		cfg.Socket = fleet.ConfigSocket(laws.Socket)
	}
	d, err := f.Distribute(cfg, m)
	if err != nil {
		return err
	}
	m.HandleStreams(d.ServeStream)
	s.distribution = d
	return nil
}
