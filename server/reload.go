package server

import (
	"context"
	"errors"
	"fmt"
	"os"
	"reflect"
	"time"

	"go.uber.org/zap"

	"valveglade/config"
)

const (
	// reloadWindow is how long a file may take to be replaced after the reload signal. Until then an invalid or
	// unchanged file is read again.
	reloadWindow = 2 * time.Second
	// reloadPollInterval is the time between two reads within reloadWindow.
	reloadPollInterval = 50 * time.Millisecond
)

// Reload reads the config and the settings again on each request, until ctx ends. If either is invalid,
// nothing changes. If read returns nil settings, the current ones stay.
func (s *Server) Reload(ctx context.Context, requests <-chan os.Signal,
	read func() (*config.Config, *config.Settings, error)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-requests:
		}
		var reloadErr error
		changed := false
		for deadline := time.Now().Add(reloadWindow); !changed && time.Now().Before(deadline); {
			reloadErr = s.recoverPanic(func() (err error) {
				changed, err = s.reloadOnce(read)
				return err
			})
			if reloadErr != nil && !descriptorLeft() { // the file itself may be valid
				s.handleShortage()
				deadline = time.Now().Add(reloadWindow)
			}
			if !changed && !sleep(ctx, reloadPollInterval.Seconds()) {
				return
			}
		}
		var keyError *config.KeyError
		var directiveError *config.DirectiveError
		switch {
		case errors.As(reloadErr, &directiveError):
			s.log.Warn("settings invalid, the previous stays",
				zap.String("at", fmt.Sprintf("%s:%d", directiveError.Path, directiveError.Line)), zap.Error(reloadErr))
		case errors.As(reloadErr, &keyError):
			s.log.Warn("config invalid, the previous stays", zap.String("key", keyError.Key), zap.Error(reloadErr))
		case reloadErr != nil:
			s.log.Warn("config unreadable, the previous stays", zap.Error(reloadErr))
		case !changed:
			s.log.Info("config unchanged")
		}
	}
}

// reloadOnce reads the config and the settings, and applies what has changed.
func (s *Server) reloadOnce(read func() (*config.Config, *config.Settings, error)) (changed bool, err error) {
	c, settings, err := read()
	if err != nil {
		return false, err
	}
	changed = s.applyConfig(c)
	if settings == nil {
		return changed, nil
	}
	if s.monitor.updateSettings(settings) {
		changed = true
		s.log.Info("settings reloaded", zap.String("file", settings.Path), zap.Bool("pressure", settings.Pressure.On))
	}
	return s.applyFleetSettings(settings) || changed, nil
}

// applyConfig applies what can change at run time and reports whether the config differs from the one last
// read. Open RPCs and stored results stay. Keys that need a restart keep their values and are logged.
func (s *Server) applyConfig(c *config.Config) (changed bool) {
	old := s.config.Load()
	if reflect.DeepEqual(c, s.lastReadConfig) {
		return false
	}
	s.lastReadConfig = c
	next := *c
	var needRestart []string
	for _, fixed := range []struct {
		key  string
		same bool
	}{{"name", c.Name == old.Name}, {"listen", c.Listen == old.Listen},
		{"settings", reflect.DeepEqual(c.Rules, old.Rules) && reflect.DeepEqual(c.Methods, old.Methods)}} {
		if !fixed.same {
			needRestart = append(needRestart, fixed.key)
		}
	}
	next.Name, next.Listen, next.Methods, next.Rules = old.Name, old.Listen, old.Methods, old.Rules
	if needRestart != nil {
		s.log.Warn("config changed where a restart is needed", zap.Strings("keys", needRestart))
	}
	s.config.Store(&next)
	s.setMemoryLimit(&next)
	effects := *s.monitor.effects.Load()
	s.applyEffects(effects, effects) // recompute the bounds that depend on the config's limits
	s.link.Move(next.Kernel)
	notify(s.reportNow)
	s.log.Info("config reloaded", zap.Stringer("kernel", next.Kernel), zap.Stringer("roster", next.Roster))
	return true
}
