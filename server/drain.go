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

func (s *Server) enter(to stage) {
	s.stageAt.Store(int32(to))
	s.log.Info("drain", zap.Stringer("stage", to))
}

// drainSpans are what is left of the time before the kill once nobody new is let in; once connections are ended, of which a
// router has heard a tenth of a second before; once nothing more is taken in, of who sends on all the same; and once the
// process ends whatever is still open: a connection is given up by its router within some tens of milliseconds.
type drainSpans struct{ notAccepting, closing, cutShort, exit float64 }

var usualSpans = drainSpans{notAccepting: 0.4, closing: 0.3, cutShort: 0.2, exit: 0.08}

// within gives spans that leave at least half of the time from the notice to the kill for what still comes.
func (d drainSpans) within(stop float64) drainSpans {
	share := min(1, stop/2/d.notAccepting)
	return drainSpans{notAccepting: d.notAccepting * share, closing: d.closing * share, cutShort: d.cutShort * share, exit: d.exit * share}
}

// leave waits for the notice and then sees the process out. The others go on until it returns: what is read by then is
// answered.
func (s *Server) leave(ctx, all context.Context, listener *net.TCPListener, closed <-chan struct{}) error {
	defer listener.Close()
	select {
	case <-all.Done():
		return nil
	case <-ctx.Done():
	}
	span := s.config.Load().StopTimeout
	spans, stop := s.spans(span), s.clock.now()+span
	s.enter(stageDraining)
	s.gate.Drain(s.clock.now(), stop)
	if !sleep(all, stop-spans.notAccepting-s.clock.now()) {
		return nil
	}
	listener.SetDeadline(time.Unix(1, 0))
	s.enter(stageNotAccepting)
	select {
	case <-all.Done():
		return nil
	case <-closed: // all that were let in are among the connections
	case <-time.After(seconds(stop - spans.closing - s.clock.now())): // newcomers still flood in
		listener.Close()
	}
	for {
		if s.clock.now() > stop-spans.closing && s.stageAt.Load() == int32(stageNotAccepting) {
			s.enter(stageClosing)
		}
		s.mu.Lock()
		for c := range s.conns {
			c.drain() // whatever the stage: its router is told before it sees the end
			switch {
			case s.clock.now() > stop-spans.cutShort:
				c.cutShort()
			case s.stageAt.Load() == int32(stageClosing):
				c.end()
			}
		}
		n := len(s.conns)
		s.mu.Unlock()
		if n > 0 && s.clock.now() > stop-spans.exit {
			s.log.Warn("connections cut off", zap.Int("connections", n))
			n = 0
		}
		if n == 0 {
			s.enter(stageStopped)
			return nil
		}
		select {
		case <-all.Done():
			return nil
		case <-s.left:
		case <-time.After(seconds(0.02)):
		}
	}
}
