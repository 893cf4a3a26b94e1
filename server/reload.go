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

// reloadWindow is how long a file may take to be replaced after the word has come. One that is faulty, or the same as
// before, is looked at again until then.
const reloadWindow, reloadPollInterval = 2 * time.Second, 50 * time.Millisecond

// Reload reads the config and the settings again whenever asked to, until ctx ends. If either is faulty nothing changes;
// no settings are those that there are.
func (s *Server) Reload(ctx context.Context, asked <-chan os.Signal,
	read func() (*config.Config, *config.Settings, error)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-asked:
		}
		var faulty error
		changed := false
		for end := time.Now().Add(reloadWindow); !changed && time.Now().Before(end); {
			faulty = s.recoverPanic(func() (err error) {
				changed, err = s.reloadOnce(read)
				return err
			})
			if faulty != nil && !descriptorLeft() { // it is not the file that is faulty
				s.handleShortage()
				end = time.Now().Add(reloadWindow)
			}
			if !changed && !sleep(ctx, reloadPollInterval.Seconds()) {
				return
			}
		}
		var keyError *config.KeyError
		var directiveError *config.DirectiveError
		switch {
		case errors.As(faulty, &directiveError):
			s.log.Warn("settings invalid, the previous stays", zap.String("at", fmt.Sprintf("%s:%d", directiveError.Path, directiveError.Line)),
				zap.Error(faulty))
		case errors.As(faulty, &keyError):
			s.log.Warn("config invalid, the previous stays", zap.String("key", keyError.Key), zap.Error(faulty))
		case faulty != nil:
			s.log.Warn("config unreadable, the previous stays", zap.Error(faulty))
		case !changed:
			s.log.Info("config unchanged")
		}
	}
}

// reloadOnce reads the config and the settings, and takes over what is new.
func (s *Server) reloadOnce(read func() (*config.Config, *config.Settings, error)) (changed bool, err error) {
	c, b, err := read()
	if err != nil {
		return false, err
	}
	changed = s.applyConfig(c)
	if b == nil {
		return changed, nil
	}
	if s.monitor.updateSettings(b) {
		changed = true
		s.log.Info("settings reloaded", zap.String("file", b.Path), zap.Bool("pressure", b.Pressure.On))
	}
	return s.applyFleetSettings(b) || changed, nil
}

// applyConfig takes over what may change while running and tells whether anything is new. Runs and all that is held
// go on; what cannot change stays as it was, with a line that says so.
func (s *Server) applyConfig(c *config.Config) (changed bool) {
	old := s.config.Load()
	if reflect.DeepEqual(c, s.lastReadConfig) {
		return false
	}
	s.lastReadConfig = c
	next := *c
	var left []string
	for _, fixed := range []struct {
		key  string
		same bool
	}{{"name", c.Name == old.Name}, {"listen", c.Listen == old.Listen},
		{"settings", reflect.DeepEqual(c.Rules, old.Rules) && reflect.DeepEqual(c.Methods, old.Methods)}} {
		if !fixed.same {
			left = append(left, fixed.key)
		}
	}
	next.Name, next.Listen, next.Methods, next.Rules = old.Name, old.Listen, old.Methods, old.Rules
	if left != nil {
		s.log.Warn("config changed where a restart is needed", zap.Strings("keys", left))
	}
	s.config.Store(&next)
	s.setMemoryLimit(&next)
	effects := *s.monitor.effects.Load()
	s.applyEffects(effects, effects) // bounds that hang on the limits
	s.link.Move(next.Kernel)
	notify(s.reportNow)
	s.log.Info("config reloaded", zap.Stringer("kernel", next.Kernel), zap.Stringer("roster", next.Roster))
	return true
}
