package config

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"valveglade/logic/configtable"
)

// Distribution selects which part of the configuration distributed by the fleet an app server stores, and which members
// serve it.
type Distribution struct {
	On             bool
	AllServices    bool     // routes and tenants of every service are stored here; Services is then unused
	Services       []string // services whose routes and tenants are stored here; others are looked up on demand
	Distributors   []string // members that serve snapshots and changes; the voters if empty
	BytesPerSecond float64  // rate at which a snapshot is sent to one app server
	StaleAfter     float64  // age in seconds from which the configuration counts as stale
}

// maxServices bounds the configured services: their names have to fit into one message of 64 KiB.
const maxServices = 400

// maxDistributors bounds the configured distributors: each is tried in turn.
const maxDistributors = 64

// Bounds of fleet.config-rate in bytes per second and of fleet.config-age in seconds. At the lowest rate a service with
// 100 tenants takes a few seconds; the lowest age is above the 2 s between heartbeats of the replicated log.
const (
	minDistributionRate, maxDistributionRate = 1e3, 1e9
	minDistributionAge, maxDistributionAge   = 5, 3600
)

// defaultDistribution sends 20 KB/s to an app server, and expects every change to be in force within 18 s.
func defaultDistribution() Distribution {
	return Distribution{BytesPerSecond: 20e3, StaleAfter: 18}
}

var distributionDirectives = []directive{
	{"fleet.config", "on|off", "the fleet distributes routes and tenants; its voters store the replicated log of changes",
		func(settings *Settings, words []string) (err error) {
			settings.Fleet.Distribution.On, err = parseSwitch(words)
			return err
		},
		func(settings *Settings) string { return formatSwitch(settings.Fleet.Distribution.On) }},
	{"fleet.config-services", "all|none|NAME...",
		"services whose routes and tenants are stored here; others are looked up on demand",
		func(settings *Settings, words []string) error {
			return settings.Fleet.Distribution.parseServices(words)
		},
		func(settings *Settings) string {
			if settings.Fleet.Distribution.AllServices {
				return "all"
			}
			return formatNames(settings.Fleet.Distribution.Services)
		}},
	{"fleet.config-distributors", "none|NAME...",
		"app servers that store the whole configuration and serve it to others; the voters if there are none",
		func(settings *Settings, words []string) (err error) {
			settings.Fleet.Distribution.Distributors, err = parseNames(words, maxDistributors, checkMemberName)
			return err
		},
		func(settings *Settings) string { return formatNames(settings.Fleet.Distribution.Distributors) }},
	{"fleet.config-rate", "SIZE", "the most that is sent to one app server in a second; 1KB is 1000 bytes",
		func(settings *Settings, words []string) error {
			return parseSize(&settings.Fleet.Distribution.BytesPerSecond, words, minDistributionRate, maxDistributionRate)
		},
		func(settings *Settings) string { return formatSize(settings.Fleet.Distribution.BytesPerSecond) }},
	{"fleet.config-age", "TIME", "age from which the configuration is reported as stale, if no newer version is known",
		func(settings *Settings, words []string) error {
			return parseDuration(&settings.Fleet.Distribution.StaleAfter, words, minDistributionAge, maxDistributionAge)
		},
		func(settings *Settings) string { return formatDuration(settings.Fleet.Distribution.StaleAfter) }},
}

func (d *Distribution) parseServices(words []string) (err error) {
	d.AllServices = len(words) == 1 && words[0] == "all"
	if !d.AllServices {
		d.Services, err = parseNames(words, maxServices, configtable.ValidateService)
	}
	return err
}

// parseNames parses a list of distinct names, or the word none for an empty list.
func parseNames(words []string, maxNames int, validate func(name string) error) ([]string, error) {
	if len(words) == 0 || len(words) > maxNames {
		return nil, fmt.Errorf("expected 1 to %d names or none", maxNames)
	}
	if len(words) == 1 && words[0] == "none" {
		return nil, nil
	}
	for k, name := range words {
		if err := validate(name); err != nil {
			return nil, err
		}
		if name == "all" || name == "none" {
			return nil, fmt.Errorf("%s cannot be combined with other names", name)
		}
		if slices.Contains(words[:k], name) {
			return nil, fmt.Errorf("%s is named twice", name)
		}
	}
	return words, nil
}

func formatNames(names []string) string { return cmp.Or(strings.Join(names, " "), "none") }

func checkMemberName(name string) error {
	if name == "" || len(name) > maxNameLength {
		return fmt.Errorf("%q is not a name of 1 to %d bytes", name, maxNameLength)
	}
	return nil
}

// sizeUnits lists the units of a size, largest first.
var sizeUnits = []struct {
	suffix string
	bytes  float64
}{{"MB", 1e6}, {"KB", 1e3}, {"B", 1}}

// parseSize parses a size such as 20KB into a number of bytes.
func parseSize(dst *float64, words []string, minSize, maxSize float64) error {
	if len(words) != 1 {
		return errors.New("expected one size such as 20KB")
	}
	for _, unit := range sizeUnits {
		digits, found := strings.CutSuffix(words[0], unit.suffix)
		if !found {
			continue
		}
		number, err := strconv.ParseUint(digits, 10, 32)
		if err != nil {
			break
		}
		size := float64(number) * unit.bytes
		if size < minSize || size > maxSize {
			return fmt.Errorf("%s is not from %s to %s", words[0], formatSize(minSize), formatSize(maxSize))
		}
		*dst = size
		return nil
	}
	return fmt.Errorf("expected a size such as 20KB or 1MB, got %q", words[0])
}

// formatSize formats a size in the largest unit of which it is a whole number.
func formatSize(size float64) string {
	for _, unit := range sizeUnits {
		if number := size / unit.bytes; number >= 1 && number == float64(uint64(number)) {
			return strconv.FormatUint(uint64(number), 10) + unit.suffix
		}
	}
	return "0B"
}

// checkDistribution rejects contradictory directives of the distribution. It requires that the fleet is on.
func (settings *Settings) checkDistribution() error {
	f := settings.Fleet
	if !f.Distribution.On {
		for _, d := range distributionDirectives {
			if settings.lines[d.name] > 0 && d.format(settings) != d.format(NewSettings()) {
				return settings.directiveError(d.name, "fleet.config is off")
			}
		}
		return nil
	}
	if len(f.Voters) == 0 {
		return settings.directiveError("fleet.config", "fleet.voters is not set")
	}
	// A new leader is elected within two leases; with a shorter age every election would be reported as a failure.
	if f.Distribution.StaleAfter < 2*f.Lease {
		directiveName := "fleet.config-age"
		if settings.lines[directiveName] == 0 {
			directiveName = "fleet.lease"
		}
		return settings.directiveError(directiveName, "an age of %s is shorter than two leases of %s",
			formatDuration(f.Distribution.StaleAfter), formatDuration(f.Lease))
	}
	return nil
}

// checkAgainst rejects an app server that is a voter but has no directory in which to store the replicated log.
func (d Distribution) checkAgainst(c *Config, f Fleet) error {
	if d.On && f.isVoter(c.Name) && f.StateDir == "" {
		return keyError("name", "%q is in fleet.voters: with fleet.config on it needs a directory of its own in fleet.state",
			c.Name)
	}
	return nil
}
