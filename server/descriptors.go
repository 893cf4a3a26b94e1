package server

import (
	"errors"
	"math"
	"os"
	"syscall"
	"time"
)

const (
	// minReserved is how many descriptors are kept back from callers at the least: the ten that a process holds at its start (the
	// standard three, two of the control group, two of the poller, the listener and two that it may have inherited), and spare.
	minReserved = 10 + spareDescriptors
	// spareDescriptors is for what is opened after the start, beside connections that are served: the kernel link and the one that
	// follows it when the kernel moves, the roster's socket, a configuration file, a file of the system's figures, the
	// connection that is being let in, the one held back for newcomers, and mostGoing that are on their way out.
	spareDescriptors = 7 + maxEvicting
	// shortageWindow is how long after the last descriptor was taken one has to be left over for a newcomer to be served: the kernel link
	// and a new configuration come first.
	shortageWindow = 5 * time.Second
)

// openDescriptor takes a descriptor.
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

// emergencyDescriptor is one descriptor that the acceptor holds, so that it can turn newcomers away where the system has none left: those would
// wait unheard in the listener's queue. The acceptor's goroutine alone has it.
type emergencyDescriptor struct {
	fd   int
	held bool
}

func (h *emergencyDescriptor) take() {
	if h.held {
		return
	}
	if fd, err := openDescriptor(); err == nil {
		h.fd, h.held = fd, true
	}
}

func (h *emergencyDescriptor) release() {
	if h.held {
		syscall.Close(h.fd)
		h.held = false
	}
}

// handleShortage takes note that no descriptor was left, and has idle connections give theirs back. It reports whether any does.
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

// isShort reports whether no descriptor is left for one more connection, where there was none some seconds ago.
func (s *Server) isShort() bool {
	at := s.lastShortageAt.Load()
	return at > 0 && s.clock.now()-float64(at) < shortageWindow.Seconds() && !descriptorLeft()
}

// countOwnDescriptors takes note of the descriptors that the process holds before it lets anybody in: the listener, those of the
// runtime, and whatever it was started with, which counts against its limit too.
func (s *Server) countOwnDescriptors() {
	names, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return // the reserve has room for a usual process
	}
	s.startDescriptors.Store(int64(len(names)) - 1) // less the one that reads the folder
}

// reserved is how many descriptors are kept back from callers: while the fleet is on, its sockets and streams too.
func (s *Server) reserved() int {
	kept := max(minReserved, int(s.startDescriptors.Load())+spareDescriptors)
	if s.fleetSettings.On() {
		kept += fleetDescriptors(s.fleetSettings, s.config.Load())
	}
	return kept
}

// connectionCapacity is how many connections the descriptors allow: by the configuration, and by the system where that allows less.
func (s *Server) connectionCapacity() int {
	return min(s.config.Load().Sockets, s.systemLimit) - s.reserved()
}

// systemLimit is how many descriptors the system allows to the process.
func systemLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(limit.Cur)
}

// outOfDescriptors reports whether a call failed because the process or the system has no descriptor left.
func outOfDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}
