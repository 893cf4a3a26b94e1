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
	drainTimeout             = time.Second            // for a router that was asked to close an idle connection
	defaultIdleCheckInterval = 250 * time.Millisecond // connections are looked at; idle times are many times that
	maxDrainingIdle          = 16                     // idle connections asked to make room at a time
	// firstMessageTimeout is how long a new connection may take to bring its first RPC before it counts as silent: routers open
	// one when they have something to send, but this process may be off its core for a tenth of a second.
	firstMessageTimeout = 250 * time.Millisecond
	// closeWait is waited for a descriptor to be free again: a close takes microseconds, and accepting without it
	// runs into the limit. Of what is kept back, mostGoing may be taken by connections that are still on their way out.
	closeWait   = 5 * time.Millisecond
	maxEvicting = 4
	// firstBytesTimeout is how long any new connection is left to bring its first bytes, also while others arrive faster than
	// they fall silent.
	firstBytesTimeout = 25 * time.Millisecond
	// socketBuffer is what the system may hold for a connection in each direction, as that counts as ours: all
	// that one may carry at once.
	socketBuffer = 64 << 10
)

// accept takes connections up to what the descriptors allow until it stops accepting, which is the listener's deadline, and then
// closes the listener.
func (s *Server) accept(ctx context.Context, listener *net.TCPListener) error {
	defer listener.Close()
	var emergency emergencyDescriptor
	defer emergency.release()
	for {
		emergency.take()
		nc, err := listener.AcceptTCP()
		switch {
		case err == nil:
			s.admitRecovering(ctx, nc)
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			s.acceptQueued(ctx, listener)
			return nil
		case errors.Is(err, net.ErrClosed):
			return fmt.Errorf("accept: %w", err) // nobody would ever come in again: no app server that looks well
		default:
			if short := s.handleAcceptError(err); short && emergency.held {
				s.acceptOnEmergencyDescriptor(ctx, listener, &emergency)
			} else if !sleep(ctx, 0.01) {
				return nil
			}
		}
	}
}

// handleAcceptError makes room where that is what accepting lacks: other parts of the process, and other processes, may have
// taken descriptors that the configuration allows to this one. It reports whether that is so and there is no room to be made.
func (s *Server) handleAcceptError(err error) (short bool) {
	s.limitedLog.Warn("accept", zap.Error(err))
	return outOfDescriptors(err) && !s.handleShortage()
}

// acceptOnEmergencyDescriptor turns the next newcomer away, unless there are descriptors again when it comes.
func (s *Server) acceptOnEmergencyDescriptor(ctx context.Context, listener *net.TCPListener, emergency *emergencyDescriptor) {
	emergency.release()
	defer emergency.take()
	if nc, err := listener.AcceptTCP(); err == nil {
		s.admitRecovering(ctx, nc)
	}
}

// admitRecovering is admit, guarded against a panic, which costs the one connection.
func (s *Server) admitRecovering(ctx context.Context, nc net.Conn) {
	if s.recoverPanic(func() error {
		s.admit(ctx, nc)
		return nil
	}) != nil {
		nc.Close()
	}
}

// admit takes one connection in, or turns it away at once: behind it there may be hundreds that say nothing, and then
// one of a usual router.
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
	c := &conn{Server: s, Conn: netConn, openCalls: map[int32]*call{}, lastUsed: time.Now(), wake: make(chan struct{}, 1),
		repliesTaken: make(chan struct{}, 1), writeShut: make(chan struct{}), descriptorClosed: make(chan struct{})}
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	c.serve(ctx)
}

// acceptQueued takes in what the machine has accepted for the listener and nobody has fetched yet. Guards against a close
// over it: the system would reset those connections, with RPCs on them that count as read. None is waited for, so that what
// remains is the instant between the last look and the close. While newcomers flood in it goes on until the listener is closed.
func (s *Server) acceptQueued(ctx context.Context, listener *net.TCPListener) {
	raw, err := listener.SyscallConn()
	if err != nil {
		return
	}
	for {
		var nc net.Conn
		err := syscall.EAGAIN
		raw.Control(func(listenerFD uintptr) {
			fd, _, e := syscall.Accept4(int(listenerFD), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if e != nil {
				errors.As(e, &err)
				return
			}
			err = 0
			file := os.NewFile(uintptr(fd), "router")
			defer file.Close()
			if nc, e = net.FileConn(file); e != nil {
				s.limitedLog.Warn("accept", zap.Error(e))
			}
		})
		switch {
		case nc != nil:
			s.admitRecovering(ctx, nc)
		case err != 0 && err != syscall.EINTR && err != syscall.ECONNABORTED:
			return
		}
	}
}

// freeCapacity tells whether there is room for another connection. Once there is none it closes one: the oldest that
// has been silent from the start, else the one idle longest. One on which something lies unread stays until that is answered,
// and the newcomer does not wait for it; a few of those fit into what is kept back.
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

// evictOne gives the connection that is closed to make room and how many are on their way then, none if there is room or all are
// at work.
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

// evictExcess closes idle connections down to what the descriptors allow, as after a reload with fewer of them.
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

// evictionCandidate gives the idle connection whose descriptor is missed least, nil if all are at work, and how many are on their
// way out: first what has been ended already, then the oldest that has been silent from the start, then the one idle longest,
// then the one that has been in the middle of a message longest, then the oldest that had time for its first bytes. Called
// under the lock.
func (s *Server) evictionCandidate() (victim *conn, evicting int) {
	now := time.Now()
	var halfClosed, silent, longestIdle, stalled, young idleConn
	for c := range s.conns {
		q, idle := c.idleSnapshot()
		switch quietFor := now.Sub(q.since); {
		case q.evicting:
			evicting++
		case !idle:
		case q.halfClosed:
			halfClosed = q.earlier(halfClosed)
		case !q.hasReceived && quietFor > firstMessageTimeout:
			silent = q.earlier(silent)
		case q.hasReceived && !q.midMessage:
			longestIdle = q.earlier(longestIdle)
		case q.hasReceived && quietFor > firstMessageTimeout:
			stalled = q.earlier(stalled)
		case !q.hasReceived && quietFor > firstBytesTimeout:
			young = q.earlier(young)
		}
	}
	return cmp.Or(halfClosed.conn, silent.conn, longestIdle.conn, stalled.conn, young.conn), evicting
}

// earlier gives the one of two that has been quiet for longer; none is nobody.
func (q idleConn) earlier(than idleConn) idleConn {
	if than.conn == nil || q.since.Before(than.since) {
		return q
	}
	return than
}

// closeIdle ends what has been idle for as long as the module says, and asks those idle longest to go before the descriptors run
// out. A router that is in the middle of a message is neither: the reader has a bound for that.
func (s *Server) closeIdle() {
	if !descriptorLeft() { // for the kernel link, the roster, a configuration
		s.handleShortage()
	}
	s.evictExcess()
	idleTimeout := s.gate.Idle()
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
