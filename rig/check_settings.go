package rig

import (
	"time"

	"valveglade/rpc"
)

// ServerSettings is what the checker needs to check each app server independently of its callers: the settings of the methods,
// by name, and the catalog of the RPCs that clients send.
type ServerSettings struct {
	Methods map[string]MethodSettings
	Catalog *Catalog // an empty catalog if nil
}

// MethodSettings holds the settings of one method that the checker needs.
type MethodSettings struct {
	Kind     rpc.Kind
	Deadline time.Duration // of an RPC that carries no deadline
	Window   time.Duration // in which a token prevents a second run
}

// defaultDeadline is the time limit of an RPC that carries no deadline, if the settings have none for its method.
const defaultDeadline = 5 * time.Second

// CheckServers makes the checker check each app server independently of the callers. Everything that an app server sends
// (commands to its kernel, replies to its callers, reports to the roster) is compared with what clients have sent to its process.
// Callers may behave in any way and need not call RegisterRPC. CheckServers must be called before any request is sent.
func (c *Checker) CheckServers(settings ServerSettings) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if settings.Catalog == nil {
		settings.Catalog = NewCatalog()
	}
	c.settings = &settings
}

// deadline returns the time limit of an RPC of a method that carries no deadline.
func (s *ServerSettings) deadline(method string) time.Duration {
	if m, known := s.Methods[method]; known && m.Deadline > 0 {
		return m.Deadline
	}
	return defaultDeadline
}
