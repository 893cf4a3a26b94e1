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
	Address  netip.AddrPort // to which the owner sends commands
	Interval float64        // seconds between two commands
}

// maxRoles bounds the configured roles: each of them queries its voters several times a second.
const maxRoles = 16

// electionDirectives configure the voters and the elected roles.
var electionDirectives = []directive{
	{"fleet.voters", "none|NAME...[ / NAME...]",
		"three, five or seven app servers that elect role owners by majority; old and new list during a change",
		func(settings *Settings, words []string) error {
			if len(words) == 1 && words[0] == "none" {
				return nil
			}
			lists := splitAtSlash(words)
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
			var formatted []string
			for _, list := range settings.Fleet.Voters {
				formatted = append(formatted, strings.Join(list, " "))
			}
			return strings.Join(formatted, " / ")
		}},
	{"fleet.lease", "TIME", "how long a role is owned without a renewal; a new owner is elected within two leases",
		func(settings *Settings, words []string) error {
			return parseDuration(&settings.Fleet.Lease, words, 0.5, 60)
		},
		func(settings *Settings) string { return formatDuration(settings.Fleet.Lease) }},
	{"fleet.drift", "SHARE%", "how far the clocks of two machines may drift apart during a lease",
		func(settings *Settings, words []string) error {
			if len(words) != 1 || !strings.HasSuffix(words[0], "%") {
				return errors.New("expected a percentage such as 1%")
			}
			percent, err := strconv.ParseFloat(strings.TrimSuffix(words[0], "%"), 64)
			if err != nil || !(percent >= 0.01 && percent <= 20) {
				return fmt.Errorf("expected 0.01%% to 20%%, got %q", words[0])
			}
			settings.Fleet.Drift = percent / 100
			return nil
		},
		func(settings *Settings) string {
			return strconv.FormatFloat(settings.Fleet.Drift*100, 'g', 4, 64) + "%"
		}},
	{"fleet.state", "FOLDER|none",
		"directory of this app server alone that survives restarts, for its votes and its part of the configuration",
		func(settings *Settings, words []string) error {
			if len(words) != 1 || words[0] == "" {
				return errors.New("expected one directory or none")
			}
			if words[0] != "none" {
				settings.Fleet.StateDir = words[0]
			}
			return nil
		},
		func(settings *Settings) string {
			if settings.Fleet.StateDir == "" {
				return "none"
			}
			return settings.Fleet.StateDir
		}},
	{"fleet.office", "none|NAME ADDRESS:PORT TIME[ / ...]",
		"elected roles: the owner of a role, one app server at a time, sends a command to its address at that interval",
		func(settings *Settings, words []string) error {
			if len(words) == 1 && words[0] == "none" {
				return nil
			}
			for _, group := range splitAtSlash(words) {
				if len(group) != 3 || group[0] == "" || len(group[0]) > maxNameLength/2 {
					return errors.New("expected a name, an address and an interval, such as sweep 10.0.0.9:7100 1s")
				}
				role := Role{Name: group[0]}
				if slices.ContainsFunc(settings.Fleet.Roles, func(other Role) bool { return other.Name == role.Name }) {
					return fmt.Errorf("%s is named twice", role.Name)
				}
				if err := parseAddress(&role.Address, group[1:2]); err != nil {
					return err
				}
				if err := parseDuration(&role.Interval, group[2:], 0.01, 3600); err != nil {
					return err
				}
				if settings.Fleet.Roles = append(settings.Fleet.Roles, role); len(settings.Fleet.Roles) > maxRoles {
					return fmt.Errorf("more than %d roles", maxRoles)
				}
			}
			return nil
		},
		func(settings *Settings) string {
			var formatted []string
			for _, role := range settings.Fleet.Roles {
				formatted = append(formatted, role.Name+" "+role.Address.String()+" "+formatDuration(role.Interval))
			}
			return cmp.Or(strings.Join(formatted, " / "), "none")
		}},
}

// splitAtSlash splits words into groups separated by the word "/".
func splitAtSlash(words []string) [][]string {
	groups := [][]string{nil}
	for _, word := range words {
		if word == "/" {
			groups = append(groups, nil)
			continue
		}
		groups[len(groups)-1] = append(groups[len(groups)-1], word)
	}
	return groups
}
