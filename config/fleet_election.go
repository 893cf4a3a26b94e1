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
)

// Role is an elected role: one app server at a time holds it and sends a command to an address at an interval.
type Role struct {
	Name     string
	Address  netip.AddrPort
	Interval float64
}

// maxRoles is how many roles may be set: each asks its voters some times a second.
const maxRoles = 16

// electionDirectives say who elects the owners of roles, and which roles there are.
var electionDirectives = []directive{
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
		func(settings *Settings, w []string) error { return parseDuration(&settings.Fleet.Lease, w, 0.5, 60) },
		func(settings *Settings) string { return formatDuration(settings.Fleet.Lease) }},
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
				settings.Fleet.StateDir = w[0]
			}
			return nil
		},
		func(settings *Settings) string {
			if settings.Fleet.StateDir == "" {
				return "none"
			}
			return settings.Fleet.StateDir
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
				if err := parseAddress(&o.Address, one[1:2]); err != nil {
					return err
				}
				if err := parseDuration(&o.Interval, one[2:], 0.01, 3600); err != nil {
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
				all = append(all, o.Name+" "+o.Address.String()+" "+formatDuration(o.Interval))
			}
			return cmp.Or(strings.Join(all, " / "), "none")
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
