// Package config reads the configuration of an app server, applies defaults and validates it.
package config

import (
	"errors"
	"fmt"
	"net/netip"
	"os"

	"valveglade/internal/jsonobject"
	"valveglade/internal/settings"
	"valveglade/rpc"
)

// Config is the configuration that the platform passes to one app server at startup. Times are in seconds.
type Config struct {
	Name        string         // name of this app server
	Listen      netip.AddrPort // where routers connect
	Kernel      netip.AddrPort // address of the kernel that executes RPCs
	Roster      netip.AddrPort // address of the roster of app servers
	StopTimeout float64        // from the shutdown notice to the kill
	Memory      int            // limit of the process in bytes
	Sockets     int            // limit of open file descriptors
	Cores       float64        // limit of processor cores, 0 if not configured
	Methods     []string       // names, in the order of Rules.Methods
	Rules       rpc.Settings   // settings of the decision module
}

// Defaults for keys that the file leaves out: the limits that the platform documents.
const (
	defaultStopMS   = 3000
	defaultMemoryMB = 192
	defaultSockets  = 1024
)

// Bounds of the configured limits. An idle process takes 13 MB. It reserves 20 descriptors for itself, and four more
// may be closing while new ones are opened. maxMemoryMB is above the memory of any machine.
const (
	minMemoryMB = 16
	minSockets  = 32
	maxMemoryMB = 1 << 40
)

// KeyError reports a configuration key with an invalid value.
type KeyError struct {
	Key, Reason string
}

func (e *KeyError) Error() string { return e.Key + ": " + e.Reason }

func keyError(key, format string, args ...any) error {
	return &KeyError{key, fmt.Sprintf(format, args...)}
}

// FromEnv reads the file that GW_CONFIG names. GW_NAME and GW_LISTEN are used where the file has no such key.
func FromEnv() (*Config, error) {
	path := os.Getenv("GW_CONFIG")
	if path == "" {
		return nil, keyError("GW_CONFIG", "not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, keyError("GW_CONFIG", "%v", err)
	}
	return Parse(text, os.Getenv("GW_NAME"), os.Getenv("GW_LISTEN"))
}

// Parse reads and validates a configuration. The arguments name and listen are used where it has no such key.
func Parse(text []byte, name, listen string) (*Config, error) {
	root, err := jsonobject.Parse(text)
	if err != nil {
		return nil, keyError("GW_CONFIG", "%v", err)
	}
	c := &Config{Name: name}
	root.Text("name", &c.Name)
	c.readLimits(root)
	c.Rules, c.Methods = settings.Read(root.Object("settings"))
	root.Text("listen", &listen)
	c.Listen = parseAddrPort(root, "listen", listen)
	c.Kernel = parseAddrPort(root, "kernel", "")
	c.Roster = parseAddrPort(root, "roster", "")
	if invalid := (*jsonobject.Error)(nil); errors.As(root.Err(), &invalid) {
		return nil, keyError(invalid.Path, "%s", invalid.Reason)
	}
	return c, c.check()
}

// readLimits reads the resource limits of the process and its shutdown timeout.
func (c *Config) readLimits(root *jsonobject.Object) {
	stopMS, memoryMB := float64(defaultStopMS), float64(defaultMemoryMB)
	c.Sockets = defaultSockets
	root.Number("stop_ms", &stopMS)
	limits := root.Object("limits")
	limits.Number("memory_mb", &memoryMB)
	limits.Integer("sockets", &c.Sockets)
	limits.Number("cores", &c.Cores)
	c.StopTimeout, c.Memory = stopMS/1000, int(min(memoryMB, maxMemoryMB)*(1<<20))
}

// parseAddrPort reads an address and port; fallback is used where the key is missing.
func parseAddrPort(root *jsonobject.Object, key, fallback string) netip.AddrPort {
	text := fallback
	root.Text(key, &text)
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		root.Fail(key, "expected an address and port such as 10.0.0.4:7001, got %q", text)
	}
	return address
}

// check validates the values that the server depends on.
func (c *Config) check() error {
	switch {
	case c.Name == "":
		return keyError("name", "missing")
	case c.StopTimeout < 0:
		return keyError("stop_ms", "%g is negative", c.StopTimeout*1000)
	case c.Memory < minMemoryMB<<20:
		return keyError("limits.memory_mb", "%g is less than the %d that the process needs",
			float64(c.Memory)/(1<<20), minMemoryMB)
	case c.Sockets < minSockets:
		return keyError("limits.sockets", "%d is less than the %d that the process needs", c.Sockets, minSockets)
	case c.Cores < 0:
		return keyError("limits.cores", "%g is negative", c.Cores)
	case len(c.Methods) == 0:
		return keyError("settings.profiles", "expected at least one method, got none")
	}
	seenNames := map[string]bool{}
	for index, name := range c.Methods {
		key := fmt.Sprintf("settings.profiles[%d].name", index)
		switch {
		case name == "":
			return keyError(key, "missing")
		case seenNames[name]:
			return keyError(key, "%q is named twice", name)
		}
		seenNames[name] = true
	}
	if invalid := (*rpc.SettingError)(nil); errors.As(c.Rules.Check(), &invalid) {
		return keyError("settings."+invalid.Path, "%s", invalid.Reason)
	}
	return nil
}
