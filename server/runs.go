package server

import (
	"errors"
	"math"

	"go.uber.org/zap"

	"valveglade/gate"
	"valveglade/internal/kernel"
	"valveglade/rpc"
)

// run is a call that the kernel was asked to run.
type run struct {
	id gate.ID
	*call
}

// Booted handles the kernel's report that it has been up for ago seconds, and whether it was a cold start.
func (s *Server) Booted(ago float64, cold bool) {
	s.log.Info("kernel up", zap.Float64("for_s", ago), zap.Bool("cold", cold))
	now := s.clock.now()
	warmAt := now - ago
	if cold {
		warmAt += s.config.Load().Rules.Rules.RampTime
	}
	s.warmAt.Store(int64(min(warmAt*1e9, math.MaxInt64/2)))
	s.recoverPanic(func() error {
		if s.gate.SetBootTime(now, now-ago, cold) {
			defer notify(s.healthChanged)
			close(s.kernelUp)
		}
		return nil
	})
}

// Ended handles the kernel's report of a finished run.
func (s *Server) Ended(r *run, took float64, result []byte, err error) {
	outcome := rpc.OK
	attempt := (*kernel.RunError)(nil)
	if errors.As(err, &attempt) {
		switch {
		case attempt.Progress == kernel.NeverRan:
			outcome = rpc.NotStarted
		case attempt.Stopped:
			outcome = rpc.Cancelled
		default:
			outcome = rpc.Error
		}
	}
	if attempt == nil || attempt.Progress != kernel.Sent {
		r.conn.recordKernelVerdict(attempt == nil || !attempt.Unknown)
	}
	s.recoverPanic(func() error {
		s.gate.Report(s.clock.now(), r.id, outcome, took, result)
		return nil
	})
}
