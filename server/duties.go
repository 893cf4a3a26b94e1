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
		job, err := s.gate.NextJob(ctx)
		if err != nil {
			return nil
		}
		if s.stopPanic(func() error {
			s.do(job)
			return nil
		}) != nil && job.Action == gate.Run { // whether it was asked for is not known
			s.gate.Report(s.clock.now(), job.RPC, rpc.Error, 0, nil)
		}
	}
}

func (s *Server) do(job gate.Job[*call]) {
	k := job.Request
	switch job.Action {
	case gate.Run:
		c := s.config.Load()
		repeatable := c.Rules.Methods[k.method].Kind == rpc.Idempotent
		if err := s.link.Run(&run{job.RPC, k}, k.uid, c.Methods[k.method], k.body, repeatable); err != nil {
			s.limited.Warn("run not asked for", zap.Error(err))
			s.gate.Report(s.clock.now(), job.RPC, rpc.NotStarted, 0, nil)
		}
	case gate.Pause:
		s.link.Pause(k.uid)
	case gate.Serve:
		s.press.ok[k.method].Add(1)
		k.answer(len(job.Result), func(out []byte, load float64) []byte {
			return thrift.Served(out, k.seq, job.Result, load)
		})
	case gate.PushBack:
		k.answer(0, func(out []byte, load float64) []byte {
			return thrift.PushedBack(out, k.seq, job.NoRetry, job.RetryAfter, load)
		})
	case gate.Abort:
		k.answer(0, func(out []byte, load float64) []byte { return thrift.Aborted(out, k.seq, load) })
	}
}

// freshGauges: how long the gauges are waited for. They come from the same machine; past it the time matters
// more than they do.
const freshGauges = 10 * time.Millisecond

// lookAgain is for a look that failed: often enough for any due time.
const lookAgain = 0.02

// beat brings the gate the time and the gauges as often as it asks.
func (s *Server) beat(ctx context.Context) error {
	due := s.clock.now()
	for {
		now, after := s.clock.now(), lookAgain
		s.stopPanic(func() error {
			gauges := s.link.Gauges(freshGauges)
			now = s.clock.now()
			after = s.gate.Tick(now, gauges)
			return nil
		})
		if !(after > 0) {
			after = lookAgain
		}
		due = max(due+after, now) // what was missed is not made up for
		if !sleep(ctx, due-now) {
			return nil
		}
		s.press.lateBy(seconds(s.clock.now() - due))
	}
}

// watch passes on changes of condition and closes connections that have been idle.
func (s *Server) watch(ctx context.Context) error {
	idle := time.NewTicker(s.idle)
	defer idle.Stop()
	healthy := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-idle.C:
			s.stopPanic(func() error {
				s.closeIdle()
				return nil
			})
		case <-s.gate.Changed():
		case <-s.well:
		}
		s.stopPanic(func() error {
			for _, note := range s.gate.TakeMessages() {
				s.log.Info(note)
			}
			if now := s.healthy(); now != healthy {
				healthy = now
				s.log.Info("health", zap.Bool("good", healthy))
				signal(s.said)
			}
			return nil
		})
	}
}

// keepUp has a duty begin again after a panic, until ctx ends.
func (s *Server) keepUp(ctx context.Context, duty func(ctx context.Context) error) error {
	for {
		err := s.stopPanic(func() error { return duty(ctx) })
		if !errors.Is(err, errPanic) {
			return err
		}
		if !sleep(ctx, lookAgain) {
			return nil
		}
	}
}

var errPanic = errors.New("panic")

// stopPanic makes a panic an error: what came with it is lost, the process goes on.
func (s *Server) stopPanic(f func() error) (err error) {
	defer func() {
		if p := recover(); p != nil {
			s.log.Error("panic", zap.Any("panic", p), zap.Stack("stack"))
			err = fmt.Errorf("%w: %v", errPanic, p)
		}
	}()
	return f()
}

func signal(c chan struct{}) {
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
