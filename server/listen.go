package server

import (
	"cmp"
	"context"
	"errors"
	"net"
	"slices"
	"time"

	"go.uber.org/zap"
)

const (
	reserve   = 16                     // descriptors for the listener, the kernel, the roster, Go itself
	leaveTime = time.Second            // for a router that was asked to close an idle connection
	tidyEvery = 250 * time.Millisecond // connections are looked at; idle times are many times that
	asideOnce = 16                     // idle connections asked to make room at a time
	// fresh is how long a new connection may take to bring its first RPC before it counts as silent: routers open
	// one when they have something to send, but this process may be off its core for a tenth of a second.
	fresh = 250 * time.Millisecond
	// giveBack is waited for a descriptor to be free again: a close takes microseconds, and accepting without it
	// runs into the limit.
	giveBack = 5 * time.Millisecond
	// socketBuffer is what the system may hold for a connection in each direction, as that counts as ours: all
	// that one may carry at once.
	socketBuffer = 64 << 10
)

// accept takes connections up to what the descriptors allow, and never waits with one in hand: behind it there
// may be hundreds that say nothing, and then one of a usual router.
func (s *Server) accept(ctx context.Context, listener *net.TCPListener) error {
	for {
		nc, err := listener.AcceptTCP()
		switch {
		case errors.Is(err, net.ErrClosed) || ctx.Err() != nil:
			return nil
		case err != nil:
			s.door.Warn("accept", zap.Error(err))
			if !sleep(ctx, 0.01) {
				return nil
			}
			continue
		}
		if !s.press.effects.Load().Accept {
			s.door.Warn("connection turned away under pressure", zap.Stringer("router", nc.RemoteAddr()))
			nc.Close()
			continue
		}
		if !s.room() {
			s.door.Warn("connection turned away, all others are at work", zap.Stringer("router", nc.RemoteAddr()))
			nc.Close() // nothing has been read, so nothing is owed
			continue
		}
		nc.SetReadBuffer(socketBuffer)
		nc.SetWriteBuffer(socketBuffer)
		now := time.Now()
		c := &conn{Server: s, Conn: nc, open: map[int32]*call{}, used: now, wake: make(chan struct{}, 1),
			taken: make(chan struct{}, 1), gone: make(chan struct{})}
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		c.serve(ctx)
	}
}

// room tells whether there is room for another connection. Once there is none it closes one: the oldest that
// has been silent from the start, else the one idle longest.
func (s *Server) room() bool {
	out, ok := s.least()
	if out != nil {
		late := time.NewTimer(giveBack)
		defer late.Stop()
		select {
		case <-out.gone:
		case <-late.C:
		}
	}
	return ok
}

// least gives the connection that is closed to make room, none if there is room or all are at work.
func (s *Server) least() (out *conn, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) < s.charter.Load().Sockets-s.reserved() {
		return nil, true
	}
	now := time.Now()
	for len(s.conns) > 0 {
		var silent, idlest *conn
		var born, since time.Time
		for c := range s.conns {
			at, idle, known := c.rested()
			switch {
			case !idle:
			case !known && now.Sub(at) > fresh && (silent == nil || at.Before(born)):
				silent, born = c, at
			case known && (idlest == nil || at.Before(since)):
				idlest, since = c, at
			}
		}
		out := cmp.Or(silent, idlest)
		if out == nil {
			return nil, false
		}
		if out.shutIdle() {
			delete(s.conns, out)
			return out, true
		}
	}
	return nil, false
}

// tidy closes what has been idle for as long as the module says, and asks those idle longest to go before the
// descriptors run out.
func (s *Server) tidy() {
	after := s.gate.Idle()
	type quiet struct {
		*conn
		since time.Time
	}
	var idle []quiet
	room := asideOnce
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		at, free, known := c.rested()
		switch asked := c.asked(); {
		case !free || !known:
		case asked > leaveTime:
			c.shutIdle()
		case asked > 0:
			room--
		case after > 0 && time.Since(at) > seconds(after):
			c.drain()
		default:
			idle = append(idle, quiet{c, at})
		}
	}
	if len(s.conns) < (s.charter.Load().Sockets-s.reserved())*3/4 {
		return
	}
	slices.SortFunc(idle, func(a, b quiet) int { return cmp.Compare(a.since.UnixNano(), b.since.UnixNano()) })
	for _, q := range idle[:max(min(room, len(idle)), 0)] {
		q.drain()
	}
}
