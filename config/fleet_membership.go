package config

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
)

// maxNameLength bounds a name or a zone, in bytes; maxJoin bounds the addresses given, since each is tried in turn.
const maxNameLength, maxJoin = 64, 64

// maxSocketPath is the longest path of a local socket, in bytes, that every system with such sockets allows.
const maxSocketPath = 100

// defaultAllowedNetworks is where packets of the fleet may come from unless the operators say otherwise: private networks and this
// machine.
var defaultAllowedNetworks = []string{"127.0.0.0/8", "10.0.0.0/8", "172.16.0.0/12", "192.168.0.0/16", "169.254.0.0/16", "::1/128",
	"fc00::/7", "fe80::/10"}

// membershipDirectives say how app servers find each other.
var membershipDirectives = []directive{
	{"fleet.listen", "ADDRESS:PORT|off", "where other app servers reach this one, packets and streams; it takes part in a fleet",
		func(settings *Settings, w []string) error {
			if len(w) == 1 && w[0] == "off" {
				return nil
			}
			return parseAddress(&settings.Fleet.Listen, w)
		},
		func(settings *Settings) string { return formatAddress(settings.Fleet.Listen, "off") }},
	{"fleet.advertise", "ADDRESS:PORT|listen", "the address that others are told, where it is not that of fleet.listen",
		func(settings *Settings, w []string) error {
			if len(w) == 1 && w[0] == "listen" {
				return nil
			}
			return parseAddress(&settings.Fleet.Advertise, w)
		},
		func(settings *Settings) string { return formatAddress(settings.Fleet.Advertise, "listen") }},
	{"fleet.join", "none|ADDRESS:PORT...", "where others may be; most of them may be dead",
		func(settings *Settings, w []string) error {
			if len(w) == 0 || len(w) > maxJoin {
				return fmt.Errorf("one to %d addresses are wanted, or none", maxJoin)
			}
			if len(w) == 1 && w[0] == "none" {
				return nil
			}
			for _, one := range w {
				var at netip.AddrPort
				if err := parseAddress(&at, []string{one}); err != nil {
					return err
				}
				if slices.Contains(settings.Fleet.Join, at) {
					return fmt.Errorf("%s is named twice", at)
				}
				settings.Fleet.Join = append(settings.Fleet.Join, at)
			}
			return nil
		},
		func(settings *Settings) string {
			if len(settings.Fleet.Join) == 0 {
				return "none"
			}
			return formatAll(settings.Fleet.Join)
		}},
	{"fleet.zone", "NAME|none", "what fails together with this app server: a rack, a hall, a zone",
		func(settings *Settings, w []string) error {
			if len(w) != 1 || w[0] == "" || len(w[0]) > maxNameLength {
				return fmt.Errorf("one name of at most %d bytes is wanted", maxNameLength)
			}
			if w[0] != "none" {
				settings.Fleet.Zone = w[0]
			}
			return nil
		},
		func(settings *Settings) string {
			if settings.Fleet.Zone == "" {
				return "none"
			}
			return settings.Fleet.Zone
		}},
	{"fleet.allow", "PREFIX...", "networks from which fleet packets are taken; all others are dropped and counted",
		func(settings *Settings, w []string) error {
			if len(w) == 0 {
				return errors.New("at least one network such as 10.0.0.0/8 is wanted")
			}
			settings.Fleet.Allow = nil
			for _, one := range w {
				p, err := netip.ParsePrefix(one)
				if err != nil {
					return fmt.Errorf("%q is no network such as 10.0.0.0/8", one)
				}
				if p != p.Masked() {
					return fmt.Errorf("%s has bits past its length: %s is meant?", p, p.Masked())
				}
				settings.Fleet.Allow = append(settings.Fleet.Allow, p)
			}
			return nil
		},
		func(settings *Settings) string { return formatAll(settings.Fleet.Allow) }},
	{"fleet.probe", "TIME", "between two probes of others: a death is known after some ten of them",
		func(settings *Settings, w []string) error {
			return parseDuration(&settings.Fleet.ProbeInterval, w, 0.1, 10)
		},
		func(settings *Settings) string { return formatDuration(settings.Fleet.ProbeInterval) }},
	{"fleet.hold", "TIME", "for which a death has to stand before the view shows it",
		func(settings *Settings, w []string) error { return parseDuration(&settings.Fleet.HoldTime, w, 0.1, 60) },
		func(settings *Settings) string { return formatDuration(settings.Fleet.HoldTime) }},
	{"fleet.forget", "TIME", "after which the dead are no longer looked for, and a partitioned view is taken for the fleet",
		func(settings *Settings, w []string) error {
			return parseDuration(&settings.Fleet.ForgetTime, w, 10, 86400)
		},
		func(settings *Settings) string { return formatDuration(settings.Fleet.ForgetTime) }},
	{"fleet.socket", "PATH|none", "a local socket that tells the view, for `valveglade fleet`",
		func(settings *Settings, w []string) error {
			if len(w) != 1 || w[0] == "" || len(w[0]) > maxSocketPath {
				return fmt.Errorf("one path of at most %d bytes is wanted", maxSocketPath)
			}
			if w[0] != "none" {
				settings.Fleet.Socket = w[0]
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
		return errors.New("one address and port such as 10.0.0.4:7946 is wanted")
	}
	address, err := netip.ParseAddrPort(words[0])
	if err != nil || address.Port() == 0 {
		return fmt.Errorf("%q is no address and port such as 10.0.0.4:7946", words[0])
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
