package server

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"valveglade/config"
	"valveglade/fleet"
	"valveglade/logic/owner"
	"valveglade/logic/pressure"
	"valveglade/logic/share"
	"valveglade/logic/view"
	"valveglade/member"
)

const (
	// announceInterval is how often the app server checks whether its state to announce has changed.
	announceInterval = 250 * time.Millisecond
	// loadInterval is the shortest time between two announcements of its load, as each goes to every member.
	loadInterval = 5 * time.Second
)

// leaveLeadTime is how many seconds before the stop a draining app server leaves the fleet. Half of it is for
// the leave message.
const leaveLeadTime = 1.2

// joinFleet makes this app server a fleet member that campaigns for roles, as the settings say. It returns
// nil if the fleet is off.
func (s *Server) joinFleet() (*member.Member, *fleet.Fleet, error) {
	settings := s.fleetSettings
	if !settings.On() {
		return nil, nil, nil
	}
	c := s.config.Load()
	if err := settings.CheckAgainst(c); err != nil {
		return nil, nil, err
	}
	viewConfig := view.Defaults()
	viewConfig.HoldTime, viewConfig.ForgetTime = settings.HoldTime, settings.ForgetTime
	fleetMember, err := member.New(member.Config{Name: c.Name, Zone: settings.Zone, Listen: settings.Listen,
		Advertise: settings.Advertise, Join: settings.Join, Allow: settings.Allow,
		ProbeInterval: seconds(settings.ProbeInterval), Socket: settings.Socket,
		MaxIncomingStreams: incomingStreams(settings, c), View: viewConfig}, s.log)
	if err != nil {
		return nil, nil, fmt.Errorf("fleet: %w", err)
	}
	s.log.Info("fleet joined", zap.Stringer("listen", fleetMember.Address()), zap.Int("join", len(settings.Join)))
	roles, err := s.campaignForRoles(fleetMember)
	return fleetMember, roles, err
}

// runFleet keeps the fleet informed of this app server's state and leaves the fleet before the stop.
func (s *Server) runFleet(ctx, runCtx context.Context, fleetMember *member.Member, roles *fleet.Fleet) error {
	memberCtx, cancel := context.WithCancel(runCtx)
	defer cancel()
	s.group.Go(func() error {
		var group errgroup.Group
		rolesCtx, cancelRoles := context.WithCancel(context.WithoutCancel(memberCtx))
		group.Go(func() error { return fleetMember.Run(memberCtx) })
		if roles != nil {
			group.Go(func() error { return roles.Run(rolesCtx) })
			context.AfterFunc(memberCtx, cancelRoles)
		}
		if s.distribution != nil {
			group.Go(func() error { return s.distribution.Run(memberCtx) })
		}
		err := group.Wait()
		cancelRoles()
		return err
	})
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	var load view.Load
	loadedAt := time.Time{}
	for {
		s.recoverPanic(func() error {
			if time.Since(loadedAt) >= loadInterval {
				load, loadedAt = s.loadDigest(), time.Now()
			}
			state := s.fleetState()
			fleetMember.UpdateState(state, state == view.Serving && !s.healthy(), load)
			return nil
		})
		select {
		case <-runCtx.Done():
			return nil
		case <-ctx.Done():
			fleetMember.UpdateState(view.Leaving, false, load)
			if roles != nil {
				roles.Leave()
			}
			sleep(runCtx, s.config.Load().StopTimeout-leaveLeadTime)
			return nil
		case <-ticker.C:
		}
	}
}

// leaseMarginShare is the share of a lease, at its end, in which its owner no longer uses it, on top of the
// allowance for clock drift: the owner's work has to return in that time.
const leaseMarginShare = 0.1

// campaignForRoles makes this app server vote and campaign for the roles in the settings. It returns nil if
// there are no voters.
func (s *Server) campaignForRoles(fleetMember *member.Member) (*fleet.Fleet, error) {
	settings, c := s.fleetSettings, s.config.Load()
	if len(settings.Voters) == 0 {
		return nil, nil
	}
	roles, err := fleet.New(fleet.Config{Name: c.Name, Voters: settings.Voters, Folder: settings.StateDir,
		CheckEligible: func() error { return s.checkFitness(fleetMember) },
		Peers: func() []string {
			var names []string
			for _, e := range fleetMember.View().Members {
				if e.Name != c.Name {
					names = append(names, e.Name)
				}
			}
			return names
		},
		Timing: owner.Timing{Lease: settings.Lease, Drift: settings.Drift, Margin: settings.Lease * leaseMarginShare},
	}, fleetMember, s.log)
	if err != nil {
		return nil, err
	}
	for _, role := range settings.Roles {
		if err := roles.Campaign(role.Name,
			fleet.SendCommands(role.Name, c.Name, role.Address.String(), seconds(role.Interval))); err != nil {
			return nil, err
		}
	}
	if len(settings.Shares) > 0 {
		quota, err := roles.AddQuota(shareConfigs(settings, c), len(c.Methods))
		if err != nil {
			return nil, err
		}
		s.quota.Store(quota)
		s.gate.SetPermits(quota)
	}
	fleetMember.SetRoles(func() any { return roles.Status() })
	return roles, s.distributeConfig(fleetMember, roles)
}

// grantLeases is the duration of a share's grant, in leases: it has to outlast a change of allocator, which
// takes up to two. If it were longer, the grant of a failed app server would stay unavailable for longer.
const grantLeases = 2

// shareConfigs converts the shares of the settings for the packages that allocate them. An RPC begun under a
// grant may run until its deadline, so the grant's lease has that as its tail.
func shareConfigs(settings config.Fleet, c *config.Config) []share.Config {
	var configs []share.Config
	for _, setting := range settings.Shares {
		shareConfig := share.Config{Name: setting.Name, Limit: setting.Limit, MinLimit: setting.MinLimit,
			Target: setting.Target, Reserved: settings.Reserved, ReservedMembers: settings.ReservedMembers,
			Lease: owner.Lease{Length: grantLeases * settings.Lease, Drift: settings.Drift}}
		for _, name := range setting.Methods {
			method := slices.Index(c.Methods, name)
			shareConfig.Methods = append(shareConfig.Methods, method)
			shareConfig.Lease.Grace = max(shareConfig.Lease.Grace, c.Rules.Methods[method].Deadline)
		}
		configs = append(configs, shareConfig)
	}
	return configs
}

// checkFitness returns why this app server should not campaign for a role now, or nil.
func (s *Server) checkFitness(fleetMember *member.Member) error {
	switch certainty := fleetMember.View().Certainty; {
	case certainty >= view.Partitioned:
		return fmt.Errorf("fleet view is %v", certainty)
	case s.fleetState() != view.Serving:
		return errors.New("app server is cold")
	case !s.healthy() || s.monitor.level.Load() >= int32(pressure.Pressed):
		return errors.New("app server is pressed, or its work hangs")
	}
	return nil
}

// fleetState returns Serving once the kernel is up and warm, Cold before.
func (s *Server) fleetState() view.State {
	if at := s.warmAt.Load(); at == 0 || s.clock.now() < float64(at)/1e9 {
		return view.Cold
	}
	return view.Serving
}

// loadDigest returns the app server's load in coarse bands.
func (s *Server) loadDigest() view.Load {
	open := 0
	s.mu.Lock()
	for c := range s.conns {
		c.mu.Lock()
		open += len(c.openCalls)
		c.mu.Unlock()
	}
	s.mu.Unlock()
	return view.Load{Open: view.Band(open), Credit: view.Band(int(max(s.credit(), 0))),
		Level: uint8(s.monitor.level.Load())}
}

// applyFleetSettings applies changed limits of shares and reports whether the fleet settings differ from those
// last read. Other changes need a restart.
func (s *Server) applyFleetSettings(settings *config.Settings) (changed bool) {
	if reflect.DeepEqual(settings.Fleet, s.fleetSettingsRead) {
		return false
	}
	s.fleetSettingsRead = settings.Fleet
	// Limits of shares take effect only if nothing else has changed.
	fixed := settings.Fleet
	fixed.Shares = s.fleetSettings.Shares
	if quota := s.quota.Load(); quota != nil && reflect.DeepEqual(fixed, s.fleetSettings) {
		if err := quota.UpdateLimits(shareConfigs(settings.Fleet, s.config.Load())); err != nil {
			s.log.Warn("settings changed where a restart is needed",
				zap.Strings("directives", []string{"fleet.share"}), zap.Error(err))
		}
		return true
	}
	if !reflect.DeepEqual(settings.Fleet, s.fleetSettings) {
		s.log.Warn("settings changed where a restart is needed", zap.Strings("directives", []string{"fleet.*"}))
	}
	return true
}
