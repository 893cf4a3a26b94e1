package server

import (
	"errors"
	"math"
	"os"
	"syscall"
	"time"
)

const (
	// minReserved is the least number of descriptors kept back from callers: the ten that a process holds at
	// its start (the standard three, two for the control group, two for the poller, the listener and two that
	// may be inherited), and spareDescriptors.
	minReserved = 10 + spareDescriptors
	// spareDescriptors covers what is opened after the start besides served connections: the kernel link and
	// its successor when the kernel moves, the roster's socket, a configuration file, a file of system
	// metrics, the connection being accepted, the emergency descriptor, and maxEvicting connections that are
	// being closed.
	spareDescriptors = 7 + maxEvicting
	// shortageWindow is how long after descriptors ran out a new connection is served only if one more
	// descriptor is free: the kernel link and a new configuration take precedence.
	shortageWindow = 5 * time.Second
)

// openDescriptor opens a descriptor on the null device.
func openDescriptor() (int, error) {
	return syscall.Open(os.DevNull, syscall.O_RDONLY|syscall.O_CLOEXEC, 0)
}

// descriptorLeft reports whether the process could open one more descriptor now.
func descriptorLeft() bool {
	fd, err := openDescriptor()
	if err != nil {
		return !outOfDescriptors(err)
	}
	syscall.Close(fd)
	return true
}

// emergencyDescriptor is one descriptor held by the acceptor. It is released to accept and reject a
// connection when the system has none left; the connection would otherwise wait in the listener's queue
// without a reply. Only the acceptor's goroutine uses it.
type emergencyDescriptor struct {
	fd   int
	held bool
}

func (d *emergencyDescriptor) take() {
	if d.held {
		return
	}
	if fd, err := openDescriptor(); err == nil {
		d.fd, d.held = fd, true
	}
}

func (d *emergencyDescriptor) release() {
	if d.held {
		syscall.Close(d.fd)
		d.held = false
	}
}

// handleShortage records that descriptors ran out and evicts idle connections. It reports whether any was
// evicted.
func (s *Server) handleShortage() (evicted bool) {
	s.lastShortageAt.Store(int64(s.clock.now()))
	s.mu.Lock()
	defer s.mu.Unlock()
	for range maxEvicting {
		if victim, _ := s.evictionCandidate(); victim != nil && victim.evict() {
			evicted = true
		}
	}
	return evicted
}

// isShort reports whether descriptors ran out within shortageWindow and none is free now.
func (s *Server) isShort() bool {
	at := s.lastShortageAt.Load()
	return at > 0 && s.clock.now()-float64(at) < shortageWindow.Seconds() && !descriptorLeft()
}

// countOwnDescriptors counts the descriptors that the process holds before it accepts connections: the
// listener, those of the runtime, and inherited ones, which count against the limit too.
func (s *Server) countOwnDescriptors() {
	names, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return // minReserved covers a usual process
	}
	s.startDescriptors.Store(int64(len(names)) - 1) // less the one open on the directory
}

// reserved returns how many descriptors are kept back from callers, including the fleet's sockets and streams
// if the fleet is on.
func (s *Server) reserved() int {
	kept := max(minReserved, int(s.startDescriptors.Load())+spareDescriptors)
	if s.fleetSettings.On() {
		kept += fleetDescriptors(s.fleetSettings, s.config.Load())
	}
	return kept
}

// connectionCapacity returns how many connections the descriptors allow, by the configuration or the system's
// limit, whichever is lower.
func (s *Server) connectionCapacity() int {
	return min(s.config.Load().Sockets, s.systemLimit) - s.reserved()
}

// systemLimit returns the process's descriptor limit.
func systemLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(limit.Cur)
}

// outOfDescriptors reports whether err means that the process or the system has no descriptor left.
func outOfDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}
