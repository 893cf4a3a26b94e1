// Package config is the one place where configuration is read, checked and given defaults.
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

// Config is what the platform tells one app server when it starts. Times are seconds.
type Config struct {
	Name        string
	Listen      netip.AddrPort // where routers connect
	Kernel      netip.AddrPort
	Roster      netip.AddrPort
	StopTimeout float64 // from the notice to leave to the kill
	Memory      int     // bytes this process may take, all told
	Sockets     int     // descriptors it may hold
	Cores       float64 // it may use, 0 if nobody has said
	Methods     []string
	Rules       rpc.Settings
}

// What holds where the file does not say: the kill after three seconds, and the limits of the platform's page.
const (
	defaultStopMS   = 3000
	defaultMemoryMB = 192
	defaultSockets  = 1024
)

// Bounds of the limits. The process takes 13 MB with nothing to do; it keeps 20 descriptors for itself, and four more may be on
// their way out while others come. No machine has more memory than the most.
const (
	minMemoryMB = 16
	minSockets  = 32
	maxMemoryMB = 1 << 40
)

// KeyError names a key of the config whose value is wrong.
type KeyError struct {
	Key, Reason string
}

func (e *KeyError) Error() string { return e.Key + ": " + e.Reason }

func keyError(key, format string, args ...any) error {
	return &KeyError{key, fmt.Sprintf(format, args...)}
}

// FromEnv reads the file that GW_CONFIG names; GW_NAME and GW_LISTEN stand in for what it leaves out.
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

// Parse reads and checks a configuration; name and listen are used where it has none.
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

// readLimits reads what the process may take, and how long it has to leave.
func (c *Config) readLimits(root *jsonobject.Object) {
	stop, memory := float64(defaultStopMS), float64(defaultMemoryMB)
	c.Sockets = defaultSockets
	root.Number("stop_ms", &stop)
	limits := root.Object("limits")
	limits.Number("memory_mb", &memory)
	limits.Whole("sockets", &c.Sockets)
	limits.Number("cores", &c.Cores)
	c.StopTimeout, c.Memory = stop/1000, int(min(memory, maxMemoryMB)*(1<<20))
}

// parseAddrPort reads an address and port; otherwise stands in where there is none.
func parseAddrPort(root *jsonobject.Object, key, fallback string) netip.AddrPort {
	text := fallback
	root.Text(key, &text)
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		root.Fail(key, "%q is no address and port", text)
	}
	return address
}

// check refuses what the server could not keep its rules under.
func (c *Config) check() error {
	switch {
	case c.Name == "":
		return keyError("name", "missing")
	case c.StopTimeout < 0:
		return keyError("stop_ms", "%g is negative", c.StopTimeout*1000)
	case c.Memory < minMemoryMB<<20:
		return keyError("limits.memory_mb", "%g is less than the %d that the process needs", float64(c.Memory)/(1<<20), minMemoryMB)
	case c.Sockets < minSockets:
		return keyError("limits.sockets", "%d is less than the %d that the process needs", c.Sockets, minSockets)
	case c.Cores < 0:
		return keyError("limits.cores", "%g is negative", c.Cores)
	case len(c.Methods) == 0:
		return keyError("settings.profiles", "no method is named")
	}
	seen := map[string]bool{}
	for k, name := range c.Methods {
		key := fmt.Sprintf("settings.profiles[%d].name", k)
		switch {
		case name == "":
			return keyError(key, "missing")
		case seen[name]:
			return keyError(key, "%q is named twice", name)
		}
		seen[name] = true
	}
	if invalid := (*rpc.SettingError)(nil); errors.As(c.Rules.Check(), &invalid) {
		return keyError("settings."+invalid.Path, "%s", invalid.Reason)
	}
	return nil
}
