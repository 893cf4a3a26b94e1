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

// Distribution is what an app server takes of the configuration that the fleet distributes, and from whom.
type Distribution struct {
	On             bool
	AllServices    bool
	Services       []string // whose routes and tenants are kept here; all others are looked up on demand
	Distributors   []string // who serve snapshots and changes; the voters if empty
	BytesPerSecond float64  // of a snapshot, to one app server
	StaleAfter     float64  // seconds: the age from which the configuration is too old
}

// maxServices bounds the services that are named: their names have to fit into one message of 64 KiB.
const maxServices = 400

// maxDistributors bounds the distributors that are named: each is tried in turn.
const maxDistributors = 64

// Bounds of fleet.config-rate, in bytes a second, and of fleet.config-age, in seconds. At the lowest rate a service of a hundred
// tenants takes some seconds; the lowest age is above the two seconds between heartbeats of the log.
const (
	minDistributionRate, maxDistributionRate = 1e3, 1e9
	minDistributionAge, maxDistributionAge   = 5, 3600
)

// defaultDistribution has the figures of the design: 20 KB a second to an app server, and every change in force within 18 s.
func defaultDistribution() Distribution {
	return Distribution{BytesPerSecond: 20e3, StaleAfter: 18}
}

var distributionDirectives = []directive{
	{"fleet.config", "on|off", "routes and tenants are distributed by the fleet; its voters keep the log of changes",
		func(settings *Settings, w []string) (err error) {
			settings.Fleet.Distribution.On, err = parseSwitch(w)
			return err
		},
		func(settings *Settings) string { return formatSwitch(settings.Fleet.Distribution.On) }},
	{"fleet.config-services", "all|none|NAME...", "services whose routes and tenants are kept here; others are looked up on demand",
		func(settings *Settings, w []string) error { return settings.Fleet.Distribution.parseServices(w) },
		func(settings *Settings) string {
			if settings.Fleet.Distribution.AllServices {
				return "all"
			}
			return formatNames(settings.Fleet.Distribution.Services)
		}},
	{"fleet.config-distributors", "none|NAME...", "app servers that keep all of it and serve it to others; the voters, if none is named",
		func(settings *Settings, w []string) (err error) {
			settings.Fleet.Distribution.Distributors, err = parseNames(w, maxDistributors, checkMemberName)
			return err
		},
		func(settings *Settings) string { return formatNames(settings.Fleet.Distribution.Distributors) }},
	{"fleet.config-rate", "SIZE", "the most that an app server is sent in a second, as 20KB of a thousand bytes each",
		func(settings *Settings, w []string) error {
			return parseSize(&settings.Fleet.Distribution.BytesPerSecond, w, minDistributionRate, maxDistributionRate)
		},
		func(settings *Settings) string { return formatSize(settings.Fleet.Distribution.BytesPerSecond) }},
	{"fleet.config-age", "TIME", "after which the configuration is told to be stale, where nothing newer is known",
		func(settings *Settings, w []string) error {
			return parseDuration(&settings.Fleet.Distribution.StaleAfter, w, minDistributionAge, maxDistributionAge)
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

// parseNames reads names that differ, or none.
func parseNames(words []string, maxNames int, validate func(name string) error) ([]string, error) {
	if len(words) == 0 || len(words) > maxNames {
		return nil, fmt.Errorf("one to %d names are wanted, or none", maxNames)
	}
	if len(words) == 1 && words[0] == "none" {
		return nil, nil
	}
	for k, name := range words {
		if err := validate(name); err != nil {
			return nil, err
		}
		if name == "all" || name == "none" {
			return nil, fmt.Errorf("%s stands alone", name)
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
		return fmt.Errorf("%q is no name of at most %d bytes", name, maxNameLength)
	}
	return nil
}

// sizeUnits are the units of a size, the largest first.
var sizeUnits = []struct {
	suffix string
	bytes  float64
}{{"MB", 1e6}, {"KB", 1e3}, {"B", 1}}

// parseSize reads a size such as 20KB, in bytes.
func parseSize(dst *float64, words []string, minSize, maxSize float64) error {
	if len(words) != 1 {
		return errors.New("one size such as 20KB is wanted")
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
	return fmt.Errorf("%q is no size such as 20KB or 1MB", words[0])
}

// formatSize writes a size in the largest unit of which it is a whole number.
func formatSize(size float64) string {
	for _, unit := range sizeUnits {
		if number := size / unit.bytes; number >= 1 && number == float64(uint64(number)) {
			return strconv.FormatUint(uint64(number), 10) + unit.suffix
		}
	}
	return "0B"
}

// checkDistribution refuses what contradicts itself; the fleet itself is on.
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
	// A new leader comes within two leases; a shorter age would tell of it as of a failure.
	if f.Distribution.StaleAfter < 2*f.Lease {
		name := "fleet.config-age"
		if settings.lines[name] == 0 {
			name = "fleet.lease"
		}
		return settings.directiveError(name, "an age of %s is shorter than two leases of %s",
			formatDuration(f.Distribution.StaleAfter), formatDuration(f.Lease))
	}
	return nil
}

// checkAgainst refuses what this app server can't do as one of the distribution's voters.
func (d Distribution) checkAgainst(c *Config, f Fleet) error {
	if d.On && f.isVoter(c.Name) && f.StateDir == "" {
		return keyError("name", "%q is among fleet.voters: for fleet.config it needs a folder of its own, fleet.state", c.Name)
	}
	return nil
}
