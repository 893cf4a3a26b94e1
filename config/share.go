package config

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Share limits how many RPCs of some methods run at once in the whole fleet.
type Share struct {
	Name     string
	Limit    int      // concurrent RPCs; the upper bound of an adaptive limit
	MinLimit int      // of an adaptive limit, which varies from MinLimit to Limit; 0 for a fixed limit
	Target   float64  // of an adaptive limit: seconds that a run takes while the downstream service is healthy
	Methods  []string // methods whose RPCs count against the limit
}

const (
	maxShares  = 16 // each share is requested several times a second
	maxPermits = 100_000
)

// shareDirectives configure limits common to the whole fleet.
var shareDirectives = []directive{
	{"fleet.share", "none|NAME LIMIT METHOD...[ / ...]",
		"limits how many RPCs of the methods run at once in the fleet; auto LEAST-MOST TIME adapts LIMIT to run times",
		func(settings *Settings, words []string) error {
			if len(words) == 1 && words[0] == "none" {
				return nil
			}
			for _, group := range splitAtSlash(words) {
				share, err := parseShare(group)
				if err != nil {
					return err
				}
				for _, other := range settings.Fleet.Shares {
					if other.Name == share.Name {
						return fmt.Errorf("%s is named twice", share.Name)
					}
					for _, method := range share.Methods {
						if slices.Contains(other.Methods, method) {
							return fmt.Errorf("%s is already in %s", method, other.Name)
						}
					}
				}
				for k, method := range share.Methods {
					if slices.Contains(share.Methods[:k], method) {
						return fmt.Errorf("%s is named twice", method)
					}
				}
				if settings.Fleet.Shares = append(settings.Fleet.Shares, share); len(settings.Fleet.Shares) > maxShares {
					return fmt.Errorf("more than %d shares", maxShares)
				}
			}
			return nil
		},
		func(settings *Settings) string {
			var formatted []string
			for _, share := range settings.Fleet.Shares {
				formatted = append(formatted, share.String())
			}
			return cmp.Or(strings.Join(formatted, " / "), "none")
		}},
	{"fleet.floor", "none|N NAME...",
		"permits of each share reserved for each of these app servers; must be the same on all members",
		func(settings *Settings, words []string) error {
			if len(words) == 1 && words[0] == "none" {
				return nil
			}
			if len(words) < 2 {
				return errors.New("expected a number and names, such as 1 n1 n2 n3")
			}
			permits, err := strconv.Atoi(words[0])
			if err != nil || permits < 1 || permits > maxPermits {
				return fmt.Errorf("%q is not a number from 1 to %d", words[0], maxPermits)
			}
			for k, name := range words[1:] {
				if name == "" || len(name) > maxNameLength || slices.Contains(words[1:k+1], name) {
					return fmt.Errorf("%q is not a valid name or is named twice", name)
				}
			}
			settings.Fleet.Reserved, settings.Fleet.ReservedMembers = permits, words[1:]
			return nil
		},
		func(settings *Settings) string {
			if settings.Fleet.Reserved == 0 {
				return "none"
			}
			return strconv.Itoa(settings.Fleet.Reserved) + " " + strings.Join(settings.Fleet.ReservedMembers, " ")
		}},
}

// parseShare parses NAME LIMIT METHOD... or NAME auto LEAST-MOST TIME METHOD...
func parseShare(words []string) (share Share, err error) {
	errSyntax := errors.New("expected NAME LIMIT METHOD..., such as register 16 lookup or scorer auto 4-64 80ms score")
	if len(words) < 3 || words[0] == "" || len(words[0]) > maxNameLength/2 {
		return share, errSyntax
	}
	parsePermits := func(word string) (int, error) {
		permits, err := strconv.Atoi(word)
		if err != nil || permits < 1 || permits > maxPermits {
			return 0, fmt.Errorf("%q is not a number from 1 to %d", word, maxPermits)
		}
		return permits, nil
	}
	share.Name, share.Methods = words[0], words[2:]
	if words[1] != "auto" {
		share.Limit, err = parsePermits(words[1])
		return share, err
	}
	lower, upper, isRange := strings.Cut(words[2], "-")
	if len(words) < 5 || !isRange {
		return share, errSyntax
	}
	if share.MinLimit, err = parsePermits(lower); err != nil {
		return share, err
	}
	if share.Limit, err = parsePermits(upper); err != nil {
		return share, err
	}
	if share.MinLimit > share.Limit {
		return share, fmt.Errorf("the lower limit %d is above the upper limit %d", share.MinLimit, share.Limit)
	}
	share.Methods = words[4:]
	return share, parseDuration(&share.Target, words[3:4], 0.001, 60)
}

func (s Share) String() string {
	limit := strconv.Itoa(s.Limit)
	if s.MinLimit > 0 {
		limit = fmt.Sprintf("auto %d-%d %s", s.MinLimit, s.Limit, formatDuration(s.Target))
	}
	return s.Name + " " + limit + " " + strings.Join(s.Methods, " ")
}
