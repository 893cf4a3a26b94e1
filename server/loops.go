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

// dispatch performs the gate's jobs in their order.
func (s *Server) dispatch(ctx context.Context) error {
	for {
		job, err := s.gate.NextJob(ctx)
		if err != nil {
			return nil
		}
		if s.recoverPanic(func() error {
			s.perform(job)
			return nil
		}) != nil && job.Action == gate.Run { // unknown whether the kernel was asked to run it
			s.gate.Report(s.clock.now(), job.RPC, rpc.Error, 0, nil)
		}
	}
}

// perform carries out one job of the gate.
func (s *Server) perform(job gate.Job[*call]) {
	pending := job.Request
	switch job.Action {
	case gate.Run:
		c := s.config.Load()
		idempotent := c.Rules.Methods[pending.method].Kind == rpc.Idempotent
		if err := s.link.Run(&run{job.RPC, pending}, pending.uid, c.Methods[pending.method], pending.body,
			idempotent); err != nil {
			s.limitedLog.Warn("run not asked for", zap.Error(err))
			s.gate.Report(s.clock.now(), job.RPC, rpc.NotStarted, 0, nil)
		}
	case gate.Pause:
		s.link.Preempt(pending.uid)
	case gate.Serve:
		s.monitor.succeeded[pending.method].Add(1)
		pending.respond(len(job.Result), func(out []byte, load float64) []byte {
			return thrift.Served(out, pending.seq, job.Result, load)
		})
	case gate.PushBack:
		pending.respond(0, func(out []byte, load float64) []byte {
			return thrift.PushedBack(out, pending.seq, job.NoRetry, job.RetryAfter, load)
		})
	case gate.Abort:
		pending.respond(0, func(out []byte, load float64) []byte { return thrift.Aborted(out, pending.seq, load) })
	}
}

// gaugeTimeout is how long a tick waits for the kernel's gauges. They come from the same machine; beyond
// this, ticking on time matters more.
const gaugeTimeout = 10 * time.Millisecond

// retryInterval, in seconds, is the delay after a failed tick or task: short enough for any deadline of the
// gate.
const retryInterval = 0.02

// runTicks passes the time and the gauges to the gate as often as the gate asks.
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
		nextTick = max(nextTick+delay, now) // missed ticks are not made up for
		if !sleep(ctx, nextTick-now) {
			return nil
		}
		s.monitor.recordTimerDelay(seconds(s.clock.now() - nextTick))
	}
}

// watchHealth logs the gate's messages and changes of health, and closes idle connections.
func (s *Server) watchHealth(ctx context.Context) error {
	idleTicker := time.NewTicker(s.idleCheckInterval)
	defer idleTicker.Stop()
	healthy := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-idleTicker.C:
			s.recoverPanic(func() error {
				s.closeIdle()
				return nil
			})
		case <-s.gate.Changed():
		case <-s.healthChanged:
		}
		s.recoverPanic(func() error {
			for _, message := range s.gate.TakeMessages() {
				s.log.Info(message)
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

// restartOnPanic runs task, again after each panic, until it returns or ctx ends.
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

// errPanic wraps a recovered panic.
var errPanic = errors.New("panic")

// recoverPanic runs f and returns a panic as an error. The work that panicked is lost; the process goes on.
func (s *Server) recoverPanic(f func() error) (err error) {
	defer func() {
		if p := recover(); p != nil {
			s.log.Error("panic", zap.Any("panic", p), zap.Stack("stack"))
			err = fmt.Errorf("%w: %v", errPanic, p)
		}
	}()
	return f()
}

// notify sends on a channel with capacity 1 unless a notification is already pending.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sleep waits for t seconds and reports whether they passed before ctx ended.
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
