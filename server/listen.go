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
	// socketBuffer is what the system may hold for a connection in each direction, as that counts as ours: all
	// that one may carry at once.
	socketBuffer = 64 << 10
)

// accept takes connections up to what the descriptors allow. Past that those idle longest go, and the one
// that has come waits for its turn.
func (s *Server) accept(ctx context.Context, listener *net.TCPListener) error {
	for {
		nc, err := listener.AcceptTCP()
		switch {
		case errors.Is(err, net.ErrClosed) || ctx.Err() != nil:
			return nil
		case err != nil:
			s.log.Warn("accept", zap.Error(err))
			if !sleep(ctx, 0.05) {
				return nil
			}
			continue
		}
		for s.crowded() {
			select {
			case <-ctx.Done():
				nc.Close()
				return nil
			case <-s.left:
			case <-time.After(tidyEvery):
			}
		}
		nc.SetReadBuffer(socketBuffer)
		nc.SetWriteBuffer(socketBuffer)
		c := &conn{Server: s, Conn: nc, open: map[int32]*call{}, used: time.Now(), wake: make(chan struct{}, 1)}
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		c.serve(ctx)
	}
}

// crowded tells whether there is room for no other connection, and then asks some of those idle longest to
// go.
func (s *Server) crowded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) < s.charter.Load().Sockets-reserve {
		return false
	}
	type quiet struct {
		*conn
		since time.Time
	}
	var idle []quiet
	room := asideOnce
	for c := range s.conns {
		switch at, free := c.idle(); {
		case c.asked() > 0:
			room--
		case free:
			idle = append(idle, quiet{c, at})
		}
	}
	slices.SortFunc(idle, func(a, b quiet) int { return cmp.Compare(a.since.UnixNano(), b.since.UnixNano()) })
	for _, q := range idle[:max(min(room, len(idle)), 0)] {
		q.drain()
	}
	return true
}

// tidy closes what has been idle for as long as the module says.
func (s *Server) tidy() {
	after := s.gate.Idle()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		at, idle := c.idle()
		switch {
		case !idle:
		case c.asked() > leaveTime:
			c.shutIdle()
		case after > 0 && time.Since(at) > seconds(after):
			c.drain()
		}
	}
}
