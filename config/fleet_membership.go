package config

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
)

const (
	maxNameLength = 64 // bytes of a member's name or of a zone
	maxJoin       = 64 // addresses of fleet.join: each is tried in turn
)

// maxSocketPath is the longest path of a Unix domain socket, in bytes, that all systems with such sockets allow.
const maxSocketPath = 100

// defaultAllowedNetworks lists the networks from which fleet packets are accepted by default: private networks and this
// machine.
var defaultAllowedNetworks = []string{"127.0.0.0/8", "10.0.0.0/8", "172.16.0.0/12", "192.168.0.0/16", "169.254.0.0/16",
	"::1/128", "fc00::/7", "fe80::/10"}

// membershipDirectives configure how app servers find each other.
var membershipDirectives = []directive{
	{"fleet.listen", "ADDRESS:PORT|off",
		"address for packets and streams of other app servers; setting it joins the fleet",
		func(settings *Settings, words []string) error {
			if len(words) == 1 && words[0] == "off" {
				return nil
			}
			return parseAddress(&settings.Fleet.Listen, words)
		},
		func(settings *Settings) string { return formatAddress(settings.Fleet.Listen, "off") }},
	{"fleet.advertise", "ADDRESS:PORT|listen", "address under which others reach this app server, if not fleet.listen",
		func(settings *Settings, words []string) error {
			if len(words) == 1 && words[0] == "listen" {
				return nil
			}
			return parseAddress(&settings.Fleet.Advertise, words)
		},
		func(settings *Settings) string { return formatAddress(settings.Fleet.Advertise, "listen") }},
	{"fleet.join", "none|ADDRESS:PORT...", "addresses of other app servers to contact first; most of them may be down",
		func(settings *Settings, words []string) error {
			if len(words) == 0 || len(words) > maxJoin {
				return fmt.Errorf("expected 1 to %d addresses or none", maxJoin)
			}
			if len(words) == 1 && words[0] == "none" {
				return nil
			}
			for _, word := range words {
				var address netip.AddrPort
				if err := parseAddress(&address, []string{word}); err != nil {
					return err
				}
				if slices.Contains(settings.Fleet.Join, address) {
					return fmt.Errorf("%s is named twice", address)
				}
				settings.Fleet.Join = append(settings.Fleet.Join, address)
			}
			return nil
		},
		func(settings *Settings) string {
			if len(settings.Fleet.Join) == 0 {
				return "none"
			}
			return formatAll(settings.Fleet.Join)
		}},
	{"fleet.zone", "NAME|none", "failure domain of this app server, such as a rack, a hall or a zone",
		func(settings *Settings, words []string) error {
			if len(words) != 1 || words[0] == "" || len(words[0]) > maxNameLength {
				return fmt.Errorf("expected one name of 1 to %d bytes", maxNameLength)
			}
			if words[0] != "none" {
				settings.Fleet.Zone = words[0]
			}
			return nil
		},
		func(settings *Settings) string {
			if settings.Fleet.Zone == "" {
				return "none"
			}
			return settings.Fleet.Zone
		}},
	{"fleet.allow", "PREFIX...", "networks from which fleet packets are accepted; others are dropped and counted",
		func(settings *Settings, words []string) error {
			if len(words) == 0 {
				return errors.New("expected at least one network such as 10.0.0.0/8")
			}
			settings.Fleet.Allow = nil
			for _, word := range words {
				network, err := netip.ParsePrefix(word)
				if err != nil {
					return fmt.Errorf("expected a network such as 10.0.0.0/8, got %q", word)
				}
				if network != network.Masked() {
					return fmt.Errorf("%s has address bits beyond its prefix length; did you mean %s?", network, network.Masked())
				}
				settings.Fleet.Allow = append(settings.Fleet.Allow, network)
			}
			return nil
		},
		func(settings *Settings) string { return formatAll(settings.Fleet.Allow) }},
	{"fleet.probe", "TIME", "interval between two probes of other members; a failure is detected after about ten",
		func(settings *Settings, words []string) error {
			return parseDuration(&settings.Fleet.ProbeInterval, words, 0.1, 10)
		},
		func(settings *Settings) string { return formatDuration(settings.Fleet.ProbeInterval) }},
	{"fleet.hold", "TIME", "how long a failure must persist before the view shows it",
		func(settings *Settings, words []string) error {
			return parseDuration(&settings.Fleet.HoldTime, words, 0.1, 60)
		},
		func(settings *Settings) string { return formatDuration(settings.Fleet.HoldTime) }},
	{"fleet.forget", "TIME",
		"time after which dead members are no longer contacted, and the rest of a partition counts as the whole fleet",
		func(settings *Settings, words []string) error {
			return parseDuration(&settings.Fleet.ForgetTime, words, 10, 86400)
		},
		func(settings *Settings) string { return formatDuration(settings.Fleet.ForgetTime) }},
	{"fleet.socket", "PATH|none", "local socket that serves the view to `valveglade fleet`",
		func(settings *Settings, words []string) error {
			if len(words) != 1 || words[0] == "" || len(words[0]) > maxSocketPath {
				return fmt.Errorf("expected one path of 1 to %d bytes", maxSocketPath)
			}
			if words[0] != "none" {
				settings.Fleet.Socket = words[0]
			}
			return nil
		},
		func(settings *Settings) string {
			if settings.Fleet.Socket == "" {
				return "none"
			}
			return settings.Fleet.Socket
		}},
}

func parseAddress(dst *netip.AddrPort, words []string) error {
	if len(words) != 1 {
		return errors.New("expected one address and port such as 10.0.0.4:7946")
	}
	address, err := netip.ParseAddrPort(words[0])
	if err != nil || address.Port() == 0 {
		return fmt.Errorf("expected an address and port such as 10.0.0.4:7946, got %q", words[0])
	}
	*dst = address
	return nil
}

func formatAddress(address netip.AddrPort, fallback string) string {
	if !address.IsValid() {
		return fallback
	}
	return address.String()
}

func formatAll[T fmt.Stringer](values []T) string {
	var words []string
	for _, value := range values {
		words = append(words, value.String())
	}
	return strings.Join(words, " ")
}
