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

// announceEvery is how often the app server looks whether there is something new to say of itself; a load that has moved is
// said at most as often as loadEvery, since each word goes to every member.
const announceEvery, loadEvery = 250 * time.Millisecond, 5 * time.Second

// leaveBefore is how long before the stop a leaving app server leaves the fleet: the leave message takes half of it.
const leaveBefore = 1.2

// joinFleet makes this app server a member, and has it campaign for roles, where the operators have said so; nil otherwise.
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
	viewConfig.HoldTime, viewConfig.ForgetTime = settings.Hold, settings.Forget
	m, err := member.New(member.Config{Name: c.Name, Zone: settings.Zone, Listen: settings.Listen, Advertise: settings.Advertise,
		Join: settings.Join, Allow: settings.Allow, Probe: seconds(settings.Probe), Socket: settings.Socket,
		Streams: incomingStreams(settings, c), View: viewConfig}, s.log)
	if err != nil {
		return nil, nil, fmt.Errorf("fleet: %w", err)
	}
	s.log.Info("fleet joined", zap.Stringer("listen", m.Address()), zap.Int("join", len(settings.Join)))
	f, err := s.campaignForRoles(m)
	return m, f, err
}

// takePart keeps the fleet told of this app server until it has left, and leaves in time.
func (s *Server) takePart(ctx, all context.Context, m *member.Member, f *fleet.Fleet) error {
	part, end := context.WithCancel(all)
	defer end()
	s.group.Go(func() error {
		var group errgroup.Group
		roles, over := context.WithCancel(context.WithoutCancel(part))
		group.Go(func() error { return m.Run(part) })
		if f != nil {
			group.Go(func() error { return f.Run(roles) })
			context.AfterFunc(part, over)
		}
		if s.distribution != nil {
			group.Go(func() error { return s.distribution.Run(part) })
		}
		err := group.Wait()
		over()
		return err
	})
	every := time.NewTicker(announceEvery)
	defer every.Stop()
	var load view.Load
	loaded := time.Time{}
	for {
		s.stopPanic(func() error {
			if time.Since(loaded) >= loadEvery {
				load, loaded = s.load(), time.Now()
			}
			state := s.fleetState()
			m.UpdateState(state, state == view.Serving && !s.healthy(), load)
			return nil
		})
		select {
		case <-all.Done():
			return nil
		case <-ctx.Done():
			m.UpdateState(view.Leaving, false, load)
			if f != nil {
				f.Leave()
			}
			sleep(all, s.config.Load().Stop-leaveBefore)
			return nil
		case <-every.C:
		}
	}
}

// marginShare of a lease is what an owner stops before its end, on top of what clocks may drift: its work has to return in
// that time.
const marginShare = 0.1

// campaignForRoles has this app server vote, and campaign for the roles of the operators' file, as far as they have said so; nil
// otherwise.
func (s *Server) campaignForRoles(m *member.Member) (*fleet.Fleet, error) {
	settings, c := s.fleetSettings, s.config.Load()
	if len(settings.Voters) == 0 {
		return nil, nil
	}
	f, err := fleet.New(fleet.Config{Name: c.Name, Voters: settings.Voters, Folder: settings.State, Fit: func() error { return s.fit(m) },
		Others: func() []string {
			var all []string
			for _, e := range m.View().Members {
				if e.Name != c.Name {
					all = append(all, e.Name)
				}
			}
			return all
		},
		Timing: owner.Timing{Lease: settings.Lease, Drift: settings.Drift, Margin: settings.Lease * marginShare}}, m, s.log)
	if err != nil {
		return nil, err
	}
	for _, o := range settings.Roles {
		if err := f.Campaign(o.Name, fleet.SendCommands(o.Name, c.Name, o.Address.String(), seconds(o.Every))); err != nil {
			return nil, err
		}
	}
	if len(settings.Shares) > 0 {
		quota, err := f.AddQuota(shareConfigs(settings, c), len(c.Methods))
		if err != nil {
			return nil, err
		}
		s.quota.Store(quota)
		s.gate.SetPermits(quota)
	}
	m.SetRoles(func() any { return f.Status() })
	return f, s.distributeConfig(m, f)
}

// grantLeases is for how many leases a grant of a share lasts: through a change of allocator, which takes up to two. Longer, what
// somebody had who died would be missed for longer.
const grantLeases = 2

// shareConfigs puts the shares of the operators' file in the words of those who decide on them. What was begun under a grant goes on
// for as long as its RPC may take.
func shareConfigs(settings config.Fleet, c *config.Config) []share.Config {
	var all []share.Config
	for _, one := range settings.Shares {
		t := share.Config{Name: one.Name, Limit: one.Limit, MinLimit: one.MinLimit, Target: one.Target, Reserved: settings.Reserved, ReservedMembers: settings.ReservedMembers,
			Lease: owner.Lease{Length: grantLeases * settings.Lease, Drift: settings.Drift}}
		for _, name := range one.Methods {
			k := slices.Index(c.Methods, name)
			t.Methods = append(t.Methods, k)
			t.Lease.Grace = max(t.Lease.Grace, c.Rules.Methods[k].Deadline)
		}
		all = append(all, t)
	}
	return all
}

// fit tells why this app server should not campaign for a role now.
func (s *Server) fit(m *member.Member) error {
	switch certainty := m.View().Certainty; {
	case certainty >= view.Partitioned:
		return fmt.Errorf("the view is %v", certainty)
	case s.fleetState() != view.Serving:
		return errors.New("it is cold")
	case !s.healthy() || s.press.level.Load() >= int32(pressure.Pressed):
		return errors.New("it is pressed, or its work hangs")
	}
	return nil
}

// fleetState is how far the app server has come: at full strength once its kernel is up and has warmed.
func (s *Server) fleetState() view.State {
	if at := s.warmAt.Load(); at == 0 || s.clock.now() < float64(at)/1e9 {
		return view.Cold
	}
	return view.Serving
}

// load is a digest of what it has to do.
func (s *Server) load() view.Load {
	open := 0
	s.mu.Lock()
	for c := range s.conns {
		c.mu.Lock()
		open += len(c.open)
		c.mu.Unlock()
	}
	s.mu.Unlock()
	return view.Load{Open: view.Band(open), Credit: view.Band(int(max(s.credit(), 0))), Level: uint8(s.press.level.Load())}
}

// adoptFleet tells whether the settings on the fleet are others than those in force; they stay until the next start.
func (s *Server) adoptFleet(b *config.Settings) (changed bool) {
	if reflect.DeepEqual(b.Fleet, s.fleetSettingsRead) {
		return false
	}
	s.fleetSettingsRead = b.Fleet
	// Limits of shares are taken over, if all else is as it was.
	fixed := b.Fleet
	fixed.Shares = s.fleetSettings.Shares
	if l := s.quota.Load(); l != nil && reflect.DeepEqual(fixed, s.fleetSettings) {
		if err := l.UpdateLimits(shareConfigs(b.Fleet, s.config.Load())); err != nil {
			s.log.Warn("settings changed where a restart is needed", zap.Strings("directives", []string{"fleet.share"}), zap.Error(err))
		}
		return true
	}
	if !reflect.DeepEqual(b.Fleet, s.fleetSettings) {
		s.log.Warn("settings changed where a restart is needed", zap.Strings("directives", []string{"fleet.*"}))
	}
	return true
}
