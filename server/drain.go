package server

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"
)

// stage is the progress of the app server's shutdown. It only advances, and only enterStage changes it.
type stage int32

const (
	stageServing      stage = iota
	stageDraining           // RPCs from routers that still send are answered
	stageNotAccepting       // no new connections; routers are asked to close theirs
	stageClosing            // connections are being closed
	stageStopped
)

func (s stage) String() string {
	return [...]string{"serving", "draining", "not accepting", "closing connections", "stopped"}[s]
}

// enterStage records and logs the start of a stage.
func (s *Server) enterStage(to stage) {
	s.currentStage.Store(int32(to))
	s.log.Info("drain", zap.Stringer("stage", to))
}

// drainSchedule holds the seconds before the kill at which the steps of a drain begin.
type drainSchedule struct {
	notAccepting float64 // no new connections are accepted; routers are asked to close theirs
	closing      float64 // connections are closed, a tenth of a second after their routers were asked to
	rejecting    float64 // the input of routers that send all the same is rejected
	exit         float64 // open connections are cut off; their routers give them up within tens of milliseconds
}

var defaultSchedule = drainSchedule{notAccepting: 0.4, closing: 0.3, rejecting: 0.2, exit: 0.08}

// scaledTo shortens the schedule so that at least half of the time from the shutdown notice to the kill is
// left for RPCs that still arrive.
func (d drainSchedule) scaledTo(stopDelay float64) drainSchedule {
	factor := min(1, stopDelay/2/d.notAccepting)
	return drainSchedule{notAccepting: d.notAccepting * factor, closing: d.closing * factor,
		rejecting: d.rejecting * factor, exit: d.exit * factor}
}

// runDrain waits for the shutdown notice and then drains the process. The server's other goroutines go on
// until it returns, so what has been read by then is answered.
func (s *Server) runDrain(ctx, runCtx context.Context, listener *net.TCPListener,
	listenerClosed <-chan struct{}) error {
	defer listener.Close()
	select {
	case <-runCtx.Done():
		return nil
	case <-ctx.Done():
	}
	stopDelay := s.config.Load().StopTimeout
	schedule, stopAt := s.drainSchedule(stopDelay), s.clock.now()+stopDelay
	s.enterStage(stageDraining)
	s.gate.Drain(s.clock.now(), stopAt)
	if !sleep(runCtx, stopAt-schedule.notAccepting-s.clock.now()) {
		return nil
	}
	listener.SetDeadline(time.Unix(1, 0))
	s.enterStage(stageNotAccepting)
	select {
	case <-runCtx.Done():
		return nil
	case <-listenerClosed: // every accepted connection is in s.conns
	case <-time.After(seconds(stopAt - schedule.closing - s.clock.now())): // new connections still flood in
		listener.Close()
	}
	for {
		if s.clock.now() > stopAt-schedule.closing && s.currentStage.Load() == int32(stageNotAccepting) {
			s.enterStage(stageClosing)
		}
		s.mu.Lock()
		for c := range s.conns {
			c.drain() // at every stage, so the router is notified before it sees the close
			switch {
			case s.clock.now() > stopAt-schedule.rejecting:
				c.shutDownNow()
			case s.currentStage.Load() == int32(stageClosing):
				c.shutDown()
			}
		}
		open := len(s.conns)
		s.mu.Unlock()
		if open > 0 && s.clock.now() > stopAt-schedule.exit {
			s.log.Warn("connections cut off", zap.Int("connections", open))
			open = 0
		}
		if open == 0 {
			s.enterStage(stageStopped)
			return nil
		}
		select {
		case <-runCtx.Done():
			return nil
		case <-s.connEnded:
		case <-time.After(seconds(0.02)):
		}
	}
}
