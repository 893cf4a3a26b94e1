package config

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"valveglade/logic/owner"
	"valveglade/logic/view"
)

// Fleet is how app servers find each other, where they may talk at all. Times are seconds.
type Fleet struct {
	Listen          netip.AddrPort // not valid while the fleet is off
	Advertise       netip.AddrPort // not valid where others reach Listen itself
	Join            []netip.AddrPort
	Zone            string
	Allow           []netip.Prefix
	Probe           float64
	Hold            float64
	Forget          float64
	Socket          string
	Voters          [][]string // one list, or two while they are changed; none where nothing is elected
	Lease           float64
	Drift           float64 // a share
	State           string  // a directory that survives restarts, for persisted votes
	Roles           []Role
	Shares          []Share
	Reserved        int      // permits of each share that reserved members hold without a request
	ReservedMembers []string // their names
	Distribution    Distribution
}

// Role is an elected role: one app server at a time holds it and sends a command to an address at an interval.
type Role struct {
	Name    string
	Address netip.AddrPort
	Every   float64
}

// On tells whether the app server is to take part in a fleet.
func (f Fleet) On() bool { return f.Listen.IsValid() }

// maxNameLength bounds a name or a zone, in bytes; maxJoin bounds the addresses given, since each is tried in turn.
const maxNameLength, maxJoin = 64, 64

// maxRoles is how many roles may be set: each asks its voters some times a second.
const maxRoles = 16

// maxSocketPath is the longest path of a local socket, in bytes, that every system with such sockets allows.
const maxSocketPath = 100

// defaultAllow is where packets of the fleet may come from unless the operators say otherwise: private networks and this
// machine.
var defaultAllow = []string{"127.0.0.0/8", "10.0.0.0/8", "172.16.0.0/12", "192.168.0.0/16", "169.254.0.0/16", "::1/128",
	"fc00::/7", "fe80::/10"}

func defaultFleet() Fleet {
	usual := view.Defaults()
	f := Fleet{Probe: 0.3, Hold: usual.HoldTime, Forget: usual.ForgetTime, Lease: 2, Drift: 0.01, Distribution: defaultDistribution()}
	for _, p := range defaultAllow {
		f.Allow = append(f.Allow, netip.MustParsePrefix(p))
	}
	return f
}

var fleetDirectives = []directive{
	{"fleet.listen", "ADDRESS:PORT|off", "where other app servers reach this one, packets and streams; it takes part in a fleet",
		func(settings *Settings, w []string) error {
			if len(w) == 1 && w[0] == "off" {
				return nil
			}
			return readAddress(&settings.Fleet.Listen, w)
		},
		func(settings *Settings) string { return showAddress(settings.Fleet.Listen, "off") }},
	{"fleet.advertise", "ADDRESS:PORT|listen", "the address that others are told, where it is not that of fleet.listen",
		func(settings *Settings, w []string) error {
			if len(w) == 1 && w[0] == "listen" {
				return nil
			}
			return readAddress(&settings.Fleet.Advertise, w)
		},
		func(settings *Settings) string { return showAddress(settings.Fleet.Advertise, "listen") }},
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
				if err := readAddress(&at, []string{one}); err != nil {
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
			return showAll(settings.Fleet.Join)
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
		func(settings *Settings) string { return showAll(settings.Fleet.Allow) }},
	{"fleet.probe", "TIME", "between two probes of others: a death is known after some ten of them",
		func(settings *Settings, w []string) error { return readDuration(&settings.Fleet.Probe, w, 0.1, 10) },
		func(settings *Settings) string { return showDuration(settings.Fleet.Probe) }},
	{"fleet.hold", "TIME", "for which a death has to stand before the view shows it",
		func(settings *Settings, w []string) error { return readDuration(&settings.Fleet.Hold, w, 0.1, 60) },
		func(settings *Settings) string { return showDuration(settings.Fleet.Hold) }},
	{"fleet.forget", "TIME", "after which the dead are no longer looked for, and a partitioned view is taken for the fleet",
		func(settings *Settings, w []string) error { return readDuration(&settings.Fleet.Forget, w, 10, 86400) },
		func(settings *Settings) string { return showDuration(settings.Fleet.Forget) }},
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
	{"fleet.voters", "none|NAME...[ / NAME...]", "three, five or seven app servers, a majority of which elects the owner of each role; former and next list while they change",
		func(settings *Settings, w []string) error {
			if len(w) == 1 && w[0] == "none" {
				return nil
			}
			lists := splitAtSlash(w)
			if err := owner.CheckVoters(lists); err != nil {
				return err
			}
			settings.Fleet.Voters = lists
			return nil
		},
		func(settings *Settings) string {
			if len(settings.Fleet.Voters) == 0 {
				return "none"
			}
			var all []string
			for _, list := range settings.Fleet.Voters {
				all = append(all, strings.Join(list, " "))
			}
			return strings.Join(all, " / ")
		}},
	{"fleet.lease", "TIME", "for which a role is owned without being renewed: a new owner comes within two of it",
		func(settings *Settings, w []string) error { return readDuration(&settings.Fleet.Lease, w, 0.5, 60) },
		func(settings *Settings) string { return showDuration(settings.Fleet.Lease) }},
	{"fleet.drift", "SHARE%", "by which the clocks of two machines may drift apart while a lease runs",
		func(settings *Settings, w []string) error {
			if len(w) != 1 || !strings.HasSuffix(w[0], "%") {
				return errors.New("a share such as 1% is wanted")
			}
			v, err := strconv.ParseFloat(strings.TrimSuffix(w[0], "%"), 64)
			if err != nil || !(v >= 0.01 && v <= 20) {
				return fmt.Errorf("%q is not from 0.01%% to 20%%", w[0])
			}
			settings.Fleet.Drift = v / 100
			return nil
		},
		func(settings *Settings) string {
			return strconv.FormatFloat(settings.Fleet.Drift*100, 'g', 4, 64) + "%"
		}},
	{"fleet.state", "FOLDER|none", "a folder of this app server's own that lasts over restarts, for its votes and its part of the configuration",
		func(settings *Settings, w []string) error {
			if len(w) != 1 || w[0] == "" {
				return errors.New("one folder is wanted, or none")
			}
			if w[0] != "none" {
				settings.Fleet.State = w[0]
			}
			return nil
		},
		func(settings *Settings) string {
			if settings.Fleet.State == "" {
				return "none"
			}
			return settings.Fleet.State
		}},
	{"fleet.office", "none|NAME ADDRESS:PORT TIME[ / ...]", "an elected role: its owner, one app server at a time, sends a command there as often; several after one another",
		func(settings *Settings, w []string) error {
			if len(w) == 1 && w[0] == "none" {
				return nil
			}
			for _, one := range splitAtSlash(w) {
				if len(one) != 3 || one[0] == "" || len(one[0]) > maxNameLength/2 {
					return errors.New("a name, an address and a time are wanted, such as sweep 10.0.0.9:7100 1s")
				}
				o := Role{Name: one[0]}
				if slices.ContainsFunc(settings.Fleet.Roles, func(p Role) bool { return p.Name == o.Name }) {
					return fmt.Errorf("%s is named twice", o.Name)
				}
				if err := readAddress(&o.Address, one[1:2]); err != nil {
					return err
				}
				if err := readDuration(&o.Every, one[2:], 0.01, 3600); err != nil {
					return err
				}
				if settings.Fleet.Roles = append(settings.Fleet.Roles, o); len(settings.Fleet.Roles) > maxRoles {
					return fmt.Errorf("more than %d roles", maxRoles)
				}
			}
			return nil
		},
		func(settings *Settings) string {
			var all []string
			for _, o := range settings.Fleet.Roles {
				all = append(all, o.Name+" "+o.Address.String()+" "+showDuration(o.Every))
			}
			return cmp.Or(strings.Join(all, " / "), "none")
		}},
	{"fleet.share", "none|NAME LIMIT METHOD...[ / ...]", "of these methods at most so many RPCs run at once over all app servers; for LIMIT also auto LEAST-MOST TIME, found by the time that runs take",
		func(settings *Settings, w []string) error {
			if len(w) == 1 && w[0] == "none" {
				return nil
			}
			for _, one := range splitAtSlash(w) {
				s, err := parseShare(one)
				if err != nil {
					return err
				}
				for _, other := range settings.Fleet.Shares {
					if other.Name == s.Name {
						return fmt.Errorf("%s is named twice", s.Name)
					}
					for _, m := range s.Methods {
						if slices.Contains(other.Methods, m) {
							return fmt.Errorf("%s is in %s already", m, other.Name)
						}
					}
				}
				for k, m := range s.Methods {
					if slices.Contains(s.Methods[:k], m) {
						return fmt.Errorf("%s is named twice", m)
					}
				}
				if settings.Fleet.Shares = append(settings.Fleet.Shares, s); len(settings.Fleet.Shares) > maxShares {
					return fmt.Errorf("more than %d shares", maxShares)
				}
			}
			return nil
		},
		func(settings *Settings) string {
			var all []string
			for _, s := range settings.Fleet.Shares {
				all = append(all, s.String())
			}
			return cmp.Or(strings.Join(all, " / "), "none")
		}},
	{"fleet.floor", "none|N NAME...", "permits of each share reserved for each of these app servers, the same everywhere",
		func(settings *Settings, w []string) error {
			if len(w) == 1 && w[0] == "none" {
				return nil
			}
			if len(w) < 2 {
				return errors.New("a number and names are wanted, such as 1 n1 n2 n3")
			}
			n, err := strconv.Atoi(w[0])
			if err != nil || n < 1 || n > maxPermits {
				return fmt.Errorf("%q is no number from 1 to %d", w[0], maxPermits)
			}
			for k, name := range w[1:] {
				if name == "" || len(name) > maxNameLength || slices.Contains(w[1:k+1], name) {
					return fmt.Errorf("%q is no name, or named twice", name)
				}
			}
			settings.Fleet.Reserved, settings.Fleet.ReservedMembers = n, w[1:]
			return nil
		},
		func(settings *Settings) string {
			if settings.Fleet.Reserved == 0 {
				return "none"
			}
			return strconv.Itoa(settings.Fleet.Reserved) + " " + strings.Join(settings.Fleet.ReservedMembers, " ")
		}},
}

// splitAtSlash returns the groups of words between single slashes.
func splitAtSlash(w []string) [][]string {
	all := [][]string{nil}
	for _, word := range w {
		if word == "/" {
			all = append(all, nil)
			continue
		}
		all[len(all)-1] = append(all[len(all)-1], word)
	}
	return all
}

func readAddress(into *netip.AddrPort, words []string) error {
	if len(words) != 1 {
		return errors.New("one address and port such as 10.0.0.4:7946 is wanted")
	}
	at, err := netip.ParseAddrPort(words[0])
	if err != nil || at.Port() == 0 {
		return fmt.Errorf("%q is no address and port such as 10.0.0.4:7946", words[0])
	}
	*into = at
	return nil
}

func showAddress(at netip.AddrPort, otherwise string) string {
	if !at.IsValid() {
		return otherwise
	}
	return at.String()
}

func showAll[T fmt.Stringer](all []T) string {
	var words []string
	for _, one := range all {
		words = append(words, one.String())
	}
	return strings.Join(words, " ")
}
