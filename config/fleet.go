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
}

// Share is a limit common to the whole fleet: of some methods at most so many RPCs run at once.
type Share struct {
	Name     string
	Limit    int
	MinLimit int     // where the limit is found, from Least to Limit; 0 where it is set
	Target   float64 // where it is found: seconds that a run takes while what is behind is well
	Methods  []string
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
	f := Fleet{Probe: 0.3, Hold: usual.Hold, Forget: usual.Forget, Lease: 2, Drift: 0.01}
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
	{"fleet.forget", "TIME", "after which the dead are no longer looked for, and a narrow view is taken for the fleet",
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
	{"fleet.state", "FOLDER|none", "a folder of this app server's own that lasts over restarts, for its votes",
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

// maxShares and maxPermits bound what may be set: each share is asked for some times a second.
const maxShares, maxPermits = 16, 100_000

// parseShare reads NAME LIMIT METHOD... or NAME auto LEAST-MOST TIME METHOD...
func parseShare(w []string) (s Share, err error) {
	form := errors.New("a name, a limit and methods are wanted, such as register 16 lookup record, or scorer auto 4-64 80ms score")
	if len(w) < 3 || w[0] == "" || len(w[0]) > maxNameLength/2 {
		return s, form
	}
	whole := func(word string) (int, error) {
		n, err := strconv.Atoi(word)
		if err != nil || n < 1 || n > maxPermits {
			return 0, fmt.Errorf("%q is no number from 1 to %d", word, maxPermits)
		}
		return n, nil
	}
	s.Name, s.Methods = w[0], w[2:]
	if w[1] != "auto" {
		s.Limit, err = whole(w[1])
		return s, err
	}
	least, most, ok := strings.Cut(w[2], "-")
	if len(w) < 5 || !ok {
		return s, form
	}
	if s.MinLimit, err = whole(least); err != nil {
		return s, err
	}
	if s.Limit, err = whole(most); err != nil {
		return s, err
	}
	if s.MinLimit > s.Limit {
		return s, fmt.Errorf("the least, %d, is above the most, %d", s.MinLimit, s.Limit)
	}
	s.Methods = w[4:]
	return s, readDuration(&s.Target, w[3:4], 0.001, 60)
}

func (s Share) String() string {
	limit := strconv.Itoa(s.Limit)
	if s.MinLimit > 0 {
		limit = fmt.Sprintf("auto %d-%d %s", s.MinLimit, s.Limit, showDuration(s.Target))
	}
	return s.Name + " " + limit + " " + strings.Join(s.Methods, " ")
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

// allows tells whether an address is among those that packets are taken from.
func (f Fleet) allows(at netip.Addr) bool {
	return slices.ContainsFunc(f.Allow, func(p netip.Prefix) bool { return p.Contains(at.Unmap()) })
}

// checkFleet refuses what contradicts itself.
func (settings *Settings) checkFleet() error {
	f := settings.Fleet
	directiveError := func(name, why string, args ...any) error {
		return &DirectiveError{settings.Path, settings.lines[name], name, fmt.Sprintf(why, args...)}
	}
	if !f.On() {
		for _, d := range fleetDirectives {
			if d.name != "fleet.listen" && settings.lines[d.name] > 0 && d.show(settings) != d.show(NewSettings()) {
				return directiveError(d.name, "fleet.listen is not set")
			}
		}
		return nil
	}
	others := f.Advertise
	if !others.IsValid() {
		if f.Listen.Addr().IsUnspecified() {
			return directiveError("fleet.listen", "others need to be told an address: set fleet.advertise")
		}
		others = f.Listen
	}
	name := "fleet.advertise"
	if settings.lines[name] == 0 {
		name = "fleet.listen"
	}
	switch {
	case others.Addr().IsUnspecified():
		return directiveError(name, "%s is no address that others could reach", others)
	case !f.allows(others.Addr()):
		return directiveError(name, "%s is not among fleet.allow, so others would drop what comes from there", others)
	case f.Hold < f.Probe:
		at := "fleet.hold"
		if settings.lines[at] == 0 {
			at = "fleet.probe"
		}
		return directiveError(at, "a hold of %s is less than the %s between two probes", showDuration(f.Hold), showDuration(f.Probe))
	}
	for _, name := range []string{"fleet.lease", "fleet.drift", "fleet.state", "fleet.office", "fleet.share"} {
		if len(f.Voters) == 0 && settings.lines[name] > 0 {
			return directiveError(name, "fleet.voters is not set")
		}
	}
	// Shorter than some probes a lease would end by what the network does every day.
	if len(f.Voters) > 0 && f.Lease < 3*f.Probe {
		at := "fleet.lease"
		if settings.lines[at] == 0 {
			at = "fleet.probe"
		}
		return directiveError(at, "a lease of %s is shorter than three probes of %s", showDuration(f.Lease), showDuration(f.Probe))
	}
	for _, s := range f.Shares {
		if least := cmp.Or(s.MinLimit, s.Limit); f.Reserved*len(f.ReservedMembers) > least {
			return directiveError("fleet.floor", "%d members with %d reserved are more than the %d of %s", len(f.ReservedMembers), f.Reserved, least, s.Name)
		}
	}
	if f.Reserved > 0 && len(f.Shares) == 0 {
		return directiveError("fleet.floor", "fleet.share is not set")
	}
	for _, at := range f.Join {
		if !f.allows(at.Addr()) {
			return directiveError("fleet.join", "%s is not among fleet.allow", at)
		}
	}
	return nil
}

// isVoter reports whether a name is among the voters, of either list.
func (f Fleet) isVoter(name string) bool {
	return slices.ContainsFunc(f.Voters, func(list []string) bool { return slices.Contains(list, name) })
}

// CheckAgainst returns an error where the fleet's settings contradict the platform's config.
func (f Fleet) CheckAgainst(c *Config) error {
	switch {
	case len(c.Name) > maxNameLength:
		return keyError("name", "%d bytes are more than the %d that a fleet takes", len(c.Name), maxNameLength)
	case f.Listen == c.Listen:
		return keyError("listen", "%s is the fleet's too", c.Listen)
	case f.State != "" && !f.isVoter(c.Name):
		return keyError("name", "%q is not among fleet.voters, so it has no votes to persist: fleet.state is for voters", c.Name)
	}
	for _, s := range f.Shares {
		for _, m := range s.Methods {
			if !slices.Contains(c.Methods, m) {
				return keyError("settings.profiles", "no method is called %q, which fleet.share %s names", m, s.Name)
			}
		}
	}
	return nil
}
