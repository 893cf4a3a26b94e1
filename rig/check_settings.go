package rig

import (
	"time"

	"valveglade/rpc"
)

// ServerSettings are those by which app servers are judged each alone, whatever their callers do: what the settings of a trial say of
// its methods, and what its clients send.
type ServerSettings struct {
	Methods map[string]MethodSettings
	Catalog *Catalog
}

// MethodSettings is what the settings say of one method.
type MethodSettings struct {
	Kind     rpc.Kind
	Deadline time.Duration // of an RPC that carries none
	Window   time.Duration // of tokens
}

// unknownDeadline is when an RPC of no known method is to be answered that carries no deadline.
const unknownDeadline = 5 * time.Second

// CheckServers has each app server judged alone and by itself, and all that it says checked against what clients have sent to its
// process: commands to its kernel, results to its callers, reports to the roster. Callers may do as they like, and need not
// tell of what they ask. It comes before anything is sent.
func (c *Checker) CheckServers(terms ServerSettings) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if terms.Catalog == nil {
		terms.Catalog = NewCatalog()
	}
	c.settings = &terms
}

// deadline is how long an RPC of a method that carries no deadline has.
func (t *ServerSettings) deadline(method string) time.Duration {
	if m, known := t.Methods[method]; known && m.Deadline > 0 {
		return m.Deadline
	}
	return unknownDeadline
}
