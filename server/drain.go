package server

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"
)

// stage is how far the app server has come on its way out. It only goes on, and only enter changes it.
type stage int32

const (
	stageServing      stage = iota
	stageDraining           // late routers are still answered
	stageNotAccepting       // nobody new is let in, routers are asked to go
	stageClosing            // their connections are ended
	stageStopped
)

func (g stage) String() string {
	return [...]string{"serving", "draining", "not accepting", "closing connections", "stopped"}[g]
}

func (s *Server) enterStage(to stage) {
	s.currentStage.Store(int32(to))
	s.log.Info("drain", zap.Stringer("stage", to))
}

// drainSchedule are what is left of the time before the kill once nobody new is let in; once connections are ended, of which a
// router has heard a tenth of a second before; once nothing more is taken in, of who sends on all the same; and once the
// process ends whatever is still open: a connection is given up by its router within some tens of milliseconds.
type drainSchedule struct{ notAccepting, closing, rejecting, exit float64 }

var defaultSchedule = drainSchedule{notAccepting: 0.4, closing: 0.3, rejecting: 0.2, exit: 0.08}

// scaledTo gives spans that leave at least half of the time from the notice to the kill for what still comes.
func (d drainSchedule) scaledTo(stopDelay float64) drainSchedule {
	share := min(1, stopDelay/2/d.notAccepting)
	return drainSchedule{notAccepting: d.notAccepting * share, closing: d.closing * share, rejecting: d.rejecting * share, exit: d.exit * share}
}

// runDrain waits for the notice and then sees the process out. The others go on until it returns: what is read by then is
// answered.
func (s *Server) runDrain(ctx, runCtx context.Context, listener *net.TCPListener, closed <-chan struct{}) error {
	defer listener.Close()
	select {
	case <-runCtx.Done():
		return nil
	case <-ctx.Done():
	}
	stopDelay := s.config.Load().Stop
	schedule, stopAt := s.drainSchedule(stopDelay), s.clock.now()+stopDelay
	s.enterStage(stageDraining)
	s.gate.Leave(s.clock.now(), stopAt)
	if !sleep(runCtx, stopAt-schedule.notAccepting-s.clock.now()) {
		return nil
	}
	listener.SetDeadline(time.Unix(1, 0))
	s.enterStage(stageNotAccepting)
	select {
	case <-runCtx.Done():
		return nil
	case <-closed: // all that were let in are among the connections
	case <-time.After(seconds(stopAt - schedule.closing - s.clock.now())): // newcomers still flood in
		listener.Close()
	}
	for {
		if s.clock.now() > stopAt-schedule.closing && s.currentStage.Load() == int32(stageNotAccepting) {
			s.enterStage(stageClosing)
		}
		s.mu.Lock()
		for c := range s.conns {
			c.drain() // whatever the stage: its router is told before it sees the end
			switch {
			case s.clock.now() > stopAt-schedule.rejecting:
				c.shutDownNow()
			case s.currentStage.Load() == int32(stageClosing):
				c.shutDown()
			}
		}
		n := len(s.conns)
		s.mu.Unlock()
		if n > 0 && s.clock.now() > stopAt-schedule.exit {
			s.log.Warn("connections cut off", zap.Int("connections", n))
			n = 0
		}
		if n == 0 {
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
