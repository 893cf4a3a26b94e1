package server

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"syscall"
	"time"

	"go.uber.org/zap"
)

const (
	// drainTimeout is how long a router that was asked to close an idle connection may take.
	drainTimeout = time.Second
	// defaultIdleCheckInterval is how often connections are checked for idleness; idle timeouts are many
	// times that.
	defaultIdleCheckInterval = 250 * time.Millisecond
	// maxDrainingIdle bounds the idle connections that are asked to close at the same time to free capacity.
	maxDrainingIdle = 16
	// firstMessageTimeout is how long a new connection may take to send its first RPC before it counts as
	// silent. Routers connect when they have something to send, but this process may be descheduled for a
	// tenth of a second.
	firstMessageTimeout = 250 * time.Millisecond
	// closeWait bounds the wait for a descriptor to be closed, which takes microseconds. Accepting without the
	// wait would exceed the descriptor limit.
	closeWait = 5 * time.Millisecond
	// maxEvicting is how many of the reserved descriptors may belong to connections that are still being
	// evicted.
	maxEvicting = 4
	// firstBytesTimeout is how long every new connection may take to send its first bytes, even while new
	// connections arrive faster than old ones become silent.
	firstBytesTimeout = 25 * time.Millisecond
	// socketBuffer is the kernel's buffer for a connection in each direction, which counts against our
	// memory: as much as a connection may carry at once.
	socketBuffer = 64 << 10
)

// accept accepts connections, as many as the descriptors allow, until the listener's deadline passes. It then
// closes the listener.
func (s *Server) accept(ctx context.Context, listener *net.TCPListener) error {
	defer listener.Close()
	var emergency emergencyDescriptor
	defer emergency.release()
	for {
		emergency.take()
		netConn, err := listener.AcceptTCP()
		switch {
		case err == nil:
			s.admitRecovering(ctx, netConn)
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			s.acceptQueued(ctx, listener)
			return nil
		case errors.Is(err, net.ErrClosed):
			// No connection could be accepted any more, so the app server must not keep running and look healthy.
			return fmt.Errorf("accept: %w", err)
		default:
			if short := s.handleAcceptError(err); short && emergency.held {
				s.acceptOnEmergencyDescriptor(ctx, listener, &emergency)
			} else if !sleep(ctx, 0.01) {
				return nil
			}
		}
	}
}

// handleAcceptError evicts connections if accepting failed for lack of descriptors: other parts of the
// process, or other processes, may hold descriptors that the configuration grants to callers. It reports
// whether descriptors are short and none could be freed.
func (s *Server) handleAcceptError(err error) (short bool) {
	s.limitedLog.Warn("accept", zap.Error(err))
	return outOfDescriptors(err) && !s.handleShortage()
}

// acceptOnEmergencyDescriptor accepts the next connection on the emergency descriptor, which rejects it
// unless descriptors are free again by then.
func (s *Server) acceptOnEmergencyDescriptor(ctx context.Context, listener *net.TCPListener,
	emergency *emergencyDescriptor) {
	emergency.release()
	defer emergency.take()
	if netConn, err := listener.AcceptTCP(); err == nil {
		s.admitRecovering(ctx, netConn)
	}
}

// admitRecovering calls admit; a panic costs only this connection.
func (s *Server) admitRecovering(ctx context.Context, netConn net.Conn) {
	if s.recoverPanic(func() error {
		s.admit(ctx, netConn)
		return nil
	}) != nil {
		netConn.Close()
	}
}

// admit serves a new connection or rejects it at once, without waiting: in the listener's queue there may be
// hundreds of silent connections ahead of one from a working router.
func (s *Server) admit(ctx context.Context, netConn net.Conn) {
	rejection := ""
	switch {
	case !s.monitor.effects.Load().Accept:
		rejection = "connection turned away under pressure"
	case !s.freeCapacity():
		rejection = "connection turned away, all others are at work"
	case s.isShort():
		rejection = "connection turned away, no descriptor is left"
	}
	if rejection != "" {
		s.limitedLog.Warn(rejection, zap.Stringer("router", netConn.RemoteAddr()))
		s.rejectConn(netConn)
		return
	}
	if tcp, ok := netConn.(*net.TCPConn); ok {
		tcp.SetReadBuffer(socketBuffer)
		tcp.SetWriteBuffer(socketBuffer)
	}
	c := &conn{Server: s, Conn: netConn, openCalls: map[int32]*call{}, lastUsed: time.Now(),
		wake: make(chan struct{}, 1), repliesTaken: make(chan struct{}, 1),
		writeShut: make(chan struct{}), descriptorClosed: make(chan struct{})}
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	c.serve(ctx)
}

// acceptQueued accepts the connections left in the listener's queue. Closing the listener would reset them,
// with RPCs on them that the router counts as read. It never waits for one, so only connections that arrive
// between the last accept and the close are lost. While new connections flood in, it goes on until the
// listener is closed.
func (s *Server) acceptQueued(ctx context.Context, listener *net.TCPListener) {
	raw, err := listener.SyscallConn()
	if err != nil {
		return
	}
	for {
		var netConn net.Conn
		err := syscall.EAGAIN
		raw.Control(func(listenerFD uintptr) {
			fd, _, acceptErr := syscall.Accept4(int(listenerFD), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if acceptErr != nil {
				errors.As(acceptErr, &err)
				return
			}
			err = 0
			file := os.NewFile(uintptr(fd), "router")
			defer file.Close()
			if netConn, acceptErr = net.FileConn(file); acceptErr != nil {
				s.limitedLog.Warn("accept", zap.Error(acceptErr))
			}
		})
		switch {
		case netConn != nil:
			s.admitRecovering(ctx, netConn)
		case err != 0 && err != syscall.EINTR && err != syscall.ECONNABORTED:
			return
		}
	}
}

// freeCapacity reports whether there is capacity for another connection, after evicting one if there was
// none. An evicted connection with unread input stays open until that is answered, and the new connection does
// not wait for it: the reserved descriptors cover a few such connections.
func (s *Server) freeCapacity() bool {
	for range maxEvicting {
		victim, evicting, ok := s.evictOne()
		if victim == nil {
			return ok
		}
		timer := time.NewTimer(closeWait)
		defer timer.Stop()
		select {
		case <-victim.descriptorClosed:
			return true
		case <-timer.C:
		}
		if evicting <= maxEvicting {
			return true
		}
	}
	return false
}

// evictOne evicts a connection if there is no capacity. It returns the connection, nil if there is capacity
// or all are busy, how many are being evicted, and whether a new connection fits.
func (s *Server) evictOne() (victim *conn, evicting int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) < s.connectionCapacity() {
		return nil, 0, true
	}
	for len(s.conns) > 0 {
		victim, evicting := s.evictionCandidate()
		if victim == nil {
			return nil, 0, false
		}
		if victim.evict() {
			return victim, evicting + 1, true
		}
	}
	return nil, 0, false
}

// evictExcess evicts idle connections while there are more connections than the file descriptors allow, for
// example after a reload has lowered the limit on file descriptors. It stops early when no idle connection is
// left to evict. Connections that are already being evicted count as closed.
func (s *Server) evictExcess() {
	s.mu.Lock()
	defer s.mu.Unlock()
	capacity := s.connectionCapacity()
	for excess := len(s.conns) - capacity; excess > 0; excess-- {
		victim, evicting := s.evictionCandidate()
		if victim == nil || len(s.conns)-evicting <= capacity {
			return
		}
		victim.evict()
	}
}

// evictionCandidate returns the idle connection to evict first, nil if all are busy, and how many are being
// evicted. The order is: connections already shut; then the oldest that has been silent from the start; then
// the one idle longest; then the one longest in the middle of a message; then the oldest that had time for
// its first bytes. The caller holds s.mu.
func (s *Server) evictionCandidate() (victim *conn, evicting int) {
	now := time.Now()
	var halfClosed, silent, longestIdle, stalled, young idleConn
	for c := range s.conns {
		q, idle := c.idleSnapshot()
		switch idleFor := now.Sub(q.since); {
		case q.evicting:
			evicting++
		case !idle:
		case q.halfClosed:
			halfClosed = q.earlier(halfClosed)
		case !q.hasReceived && idleFor > firstMessageTimeout:
			silent = q.earlier(silent)
		case q.hasReceived && !q.midMessage:
			longestIdle = q.earlier(longestIdle)
		case q.hasReceived && idleFor > firstMessageTimeout:
			stalled = q.earlier(stalled)
		case !q.hasReceived && idleFor > firstBytesTimeout:
			young = q.earlier(young)
		}
	}
	return cmp.Or(halfClosed.conn, silent.conn, longestIdle.conn, stalled.conn, young.conn), evicting
}

// earlier returns whichever of the two connections has been idle for longer; other may be empty.
func (q idleConn) earlier(other idleConn) idleConn {
	if other.conn == nil || q.since.Before(other.since) {
		return q
	}
	return other
}

// closeIdle drains connections that have reached the gate's idle timeout, and those idle longest before the
// descriptors run out. It skips a router that is in the middle of a message, which the reader's timeout
// covers.
func (s *Server) closeIdle() {
	if !descriptorLeft() { // the kernel link, the roster and a configuration file need one
		s.handleShortage()
	}
	s.evictExcess()
	idleTimeout := s.gate.IdleTimeout()
	var idle []idleConn
	drainBudget := maxDrainingIdle
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		switch q, isIdle := c.idleSnapshot(); {
		case !isIdle || !q.hasReceived || q.midMessage || q.halfClosed:
		case q.sinceDrain > drainTimeout:
			c.shutDown()
		case q.sinceDrain > 0:
			drainBudget--
		case idleTimeout > 0 && time.Since(q.since) > seconds(idleTimeout):
			c.drain()
		default:
			idle = append(idle, q)
		}
	}
	if len(s.conns) < s.connectionCapacity()*3/4 {
		return
	}
	slices.SortFunc(idle, func(a, b idleConn) int { return a.since.Compare(b.since) })
	for _, q := range idle[:max(min(drainBudget, len(idle)), 0)] {
		q.drain()
	}
}
