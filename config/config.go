// Package config is the one place where configuration is read, checked and given defaults.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"reflect"

	"valveglade/rpc"
)

// Config is what the platform tells one app server when it starts. Times are seconds.
type Config struct {
	Name    string
	Listen  netip.AddrPort // where routers connect
	Kernel  netip.AddrPort
	Roster  netip.AddrPort
	Stop    float64 // from the notice to leave to the kill
	Memory  int     // bytes this process may take, all told
	Sockets int     // descriptors it may hold
	Cores   float64 // it may use, 0 if nobody has said
	Methods []string
	Rules   rpc.Settings
}

// KeyError names a key of the config whose value is wrong.
type KeyError struct {
	Key, Reason string
}

func (e *KeyError) Error() string { return e.Key + ": " + e.Reason }

func keyError(key, why string, args ...any) error { return &KeyError{key, fmt.Sprintf(why, args...)} }

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
	var top map[string]json.RawMessage
	if err := json.Unmarshal(text, &top); err != nil {
		return nil, keyError("GW_CONFIG", "not a JSON object: %v", err)
	}
	// What a field's absence means stands here, before it is read.
	kernel, roster, stop := "", "", 3000.0
	var limits, settings map[string]json.RawMessage
	memory, sockets, cores := 192.0, 1024.0, 0.0
	var named struct {
		Profiles []struct {
			Name string `json:"name"`
		} `json:"profiles"`
	}
	c := &Config{}
	for _, field := range []struct {
		in   *map[string]json.RawMessage
		key  string
		into any
	}{
		{&top, "name", &name}, {&top, "listen", &listen}, {&top, "kernel", &kernel}, {&top, "roster", &roster},
		{&top, "stop_ms", &stop}, {&top, "limits", &limits}, {&top, "settings", &settings},
		{&limits, "memory_mb", &memory}, {&limits, "sockets", &sockets}, {&limits, "cores", &cores},
		{&top, "settings", &c.Rules}, {&top, "settings", &named},
	} {
		raw, ok := (*field.in)[field.key]
		if !ok {
			continue
		}
		key := field.key
		if field.in == &limits {
			key = "limits." + key
		}
		if err := json.Unmarshal(raw, field.into); err != nil {
			if bad, ok := err.(*json.UnmarshalTypeError); ok {
				if bad.Field != "" {
					key += "." + bad.Field
				}
				return nil, keyError(key, "a JSON %s where %s is wanted", bad.Value, wanted(bad.Type.Kind()))
			}
			return nil, keyError(key, "%v", err)
		}
	}
	c.Name, c.Stop, c.Memory, c.Sockets, c.Cores = name, stop/1000, int(memory*(1<<20)), int(sockets), cores
	for _, p := range named.Profiles {
		c.Methods = append(c.Methods, p.Name)
	}
	for _, a := range []struct {
		key, text string
		into      *netip.AddrPort
	}{{"listen", listen, &c.Listen}, {"kernel", kernel, &c.Kernel}, {"roster", roster, &c.Roster}} {
		at, err := netip.ParseAddrPort(a.text)
		if err != nil {
			return nil, keyError(a.key, "%q is no address and port", a.text)
		}
		*a.into = at
	}
	return c, c.check()
}

func wanted(kind reflect.Kind) string {
	switch kind {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Map, reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "an array"
	}
	return "a number"
}

// check refuses what the server could not keep its rules under.
func (c *Config) check() error {
	switch {
	case c.Name == "":
		return keyError("name", "missing")
	case c.Stop < 0.1 || c.Stop > 3600:
		return keyError("stop_ms", "%g is not between 100 and 3600000", c.Stop*1000)
	case c.Memory < 16<<20:
		return keyError("limits.memory_mb", "%g is less than the 16 that the process needs", float64(c.Memory)/(1<<20))
	case c.Sockets < 32:
		return keyError("limits.sockets", "%d is less than the 32 that the process needs", c.Sockets)
	case c.Cores < 0:
		return keyError("limits.cores", "%g is negative", c.Cores)
	case len(c.Methods) == 0:
		return keyError("settings.profiles", "no method is named")
	}
	seen := map[string]bool{}
	for k, m := range c.Rules.Methods {
		key := fmt.Sprintf("settings.profiles[%d].", k)
		switch {
		case c.Methods[k] == "" || seen[c.Methods[k]]:
			return keyError(key+"name", "%q is empty or named twice", c.Methods[k])
		case m.Kind != rpc.Idempotent && m.Kind != rpc.Tokened && m.Kind != rpc.NonIdempotent:
			return keyError(key+"idempotency", "%q is not known", string(m.Kind))
		case m.Target < 0:
			return keyError(key+"onTimeS", "%g is negative", m.Target)
		case m.Deadline < 0:
			return keyError(key+"deadlineS", "%g is negative", m.Deadline)
		case m.Kind == rpc.Tokened && m.Window <= 0:
			return keyError(key+"windowS", "%g is not above 0", m.Window)
		}
		seen[c.Methods[k]] = true
	}
	if invalid := (*rpc.SettingError)(nil); errors.As(c.Rules.Check(), &invalid) {
		return keyError("settings."+invalid.Path, "%s", invalid.Reason)
	}
	return nil
}
