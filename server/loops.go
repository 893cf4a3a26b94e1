package server

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"valveglade/gate"
	"valveglade/internal/thrift"
	"valveglade/rpc"
)

// dispatch does what the gate picks.
func (s *Server) dispatch(ctx context.Context) error {
	for {
		job, err := s.gate.Pick(ctx)
		if err != nil {
			return nil
		}
		if s.recoverPanic(func() error {
			s.perform(job)
			return nil
		}) != nil && job.Do == gate.Run { // whether it was asked for is not known
			s.gate.Report(s.clock.now(), job.RPC, rpc.Error, 0, nil)
		}
	}
}

func (s *Server) perform(job gate.Job[*call]) {
	pending := job.For
	switch job.Do {
	case gate.Run:
		c := s.config.Load()
		idempotent := c.Rules.Methods[pending.method].Kind == rpc.Idempotent
		if err := s.link.Run(&run{job.RPC, pending}, pending.uid, c.Methods[pending.method], pending.body, idempotent); err != nil {
			s.limitedLog.Warn("run not asked for", zap.Error(err))
			s.gate.Report(s.clock.now(), job.RPC, rpc.Moot, 0, nil)
		}
	case gate.Pause:
		s.link.Pause(pending.uid)
	case gate.Serve:
		s.monitor.succeeded[pending.method].Add(1)
		pending.respond(len(job.Result), func(out []byte, load float64) []byte {
			return thrift.Served(out, pending.seq, job.Result, load)
		})
	case gate.PushBack:
		pending.respond(0, func(out []byte, load float64) []byte {
			return thrift.PushedBack(out, pending.seq, job.Last, job.After, load)
		})
	case gate.Abort:
		pending.respond(0, func(out []byte, load float64) []byte { return thrift.Aborted(out, pending.seq, load) })
	}
}

// gaugeTimeout: how long the gauges are waited for. They come from the same machine; past it the time matters
// more than they do.
const gaugeTimeout = 10 * time.Millisecond

// retryInterval is for a look that failed: often enough for any due time.
const retryInterval = 0.02

// runTicks brings the gate the time and the gauges as often as it asks.
func (s *Server) runTicks(ctx context.Context) error {
	nextTick := s.clock.now()
	for {
		now, delay := s.clock.now(), retryInterval
		s.recoverPanic(func() error {
			gauges := s.link.Gauges(gaugeTimeout)
			now = s.clock.now()
			delay = s.gate.Tick(now, gauges)
			return nil
		})
		if !(delay > 0) {
			delay = retryInterval
		}
		nextTick = max(nextTick+delay, now) // what was missed is not made up for
		if !sleep(ctx, nextTick-now) {
			return nil
		}
		s.monitor.recordTimerDelay(seconds(s.clock.now() - nextTick))
	}
}

// watchHealth passes on changes of condition and closes connections that have been idle.
func (s *Server) watchHealth(ctx context.Context) error {
	idle := time.NewTicker(s.idleCheckInterval)
	defer idle.Stop()
	healthy := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-idle.C:
			s.recoverPanic(func() error {
				s.closeIdle()
				return nil
			})
		case <-s.gate.Changed():
		case <-s.healthChanged:
		}
		s.recoverPanic(func() error {
			for _, note := range s.gate.Notes() {
				s.log.Info(note)
			}
			if now := s.healthy(); now != healthy {
				healthy = now
				s.log.Info("health", zap.Bool("good", healthy))
				notify(s.reportNow)
			}
			return nil
		})
	}
}

// restartOnPanic has a duty begin again after a panic, until ctx ends.
func (s *Server) restartOnPanic(ctx context.Context, task func(ctx context.Context) error) error {
	for {
		err := s.recoverPanic(func() error { return task(ctx) })
		if !errors.Is(err, errPanic) {
			return err
		}
		if !sleep(ctx, retryInterval) {
			return nil
		}
	}
}

var errPanic = errors.New("panic")

// recoverPanic makes a panic an error: what came with it is lost, the process goes on.
func (s *Server) recoverPanic(f func() error) (err error) {
	defer func() {
		if p := recover(); p != nil {
			s.log.Error("panic", zap.Any("panic", p), zap.Stack("stack"))
			err = fmt.Errorf("%w: %v", errPanic, p)
		}
	}()
	return f()
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func sleep(ctx context.Context, t float64) bool {
	timer := time.NewTimer(seconds(t))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
