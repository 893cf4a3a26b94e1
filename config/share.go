package config

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Share is a limit common to the whole fleet: of some methods at most so many RPCs run at once.
type Share struct {
	Name     string
	Limit    int
	MinLimit int     // where the limit is found, from MinLimit to Limit; 0 where it is set
	Target   float64 // where it is found: seconds that a run takes while what is behind is well
	Methods  []string
}

// maxShares and maxPermits bound what may be set: each share is asked for some times a second.
const maxShares, maxPermits = 16, 100_000

// shareDirectives set limits common to the whole fleet.
var shareDirectives = []directive{
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

// parseShare reads NAME LIMIT METHOD... or NAME auto LEAST-MOST TIME METHOD...
func parseShare(w []string) (s Share, err error) {
	errSyntax := errors.New("a name, a limit and methods are wanted, such as register 16 lookup record, or scorer auto 4-64 80ms score")
	if len(w) < 3 || w[0] == "" || len(w[0]) > maxNameLength/2 {
		return s, errSyntax
	}
	parsePermits := func(word string) (int, error) {
		n, err := strconv.Atoi(word)
		if err != nil || n < 1 || n > maxPermits {
			return 0, fmt.Errorf("%q is no number from 1 to %d", word, maxPermits)
		}
		return n, nil
	}
	s.Name, s.Methods = w[0], w[2:]
	if w[1] != "auto" {
		s.Limit, err = parsePermits(w[1])
		return s, err
	}
	lower, upper, isRange := strings.Cut(w[2], "-")
	if len(w) < 5 || !isRange {
		return s, errSyntax
	}
	if s.MinLimit, err = parsePermits(lower); err != nil {
		return s, err
	}
	if s.Limit, err = parsePermits(upper); err != nil {
		return s, err
	}
	if s.MinLimit > s.Limit {
		return s, fmt.Errorf("the least, %d, is above the most, %d", s.MinLimit, s.Limit)
	}
	s.Methods = w[4:]
	return s, parseDuration(&s.Target, w[3:4], 0.001, 60)
}

func (s Share) String() string {
	limit := strconv.Itoa(s.Limit)
	if s.MinLimit > 0 {
		limit = fmt.Sprintf("auto %d-%d %s", s.MinLimit, s.Limit, formatDuration(s.Target))
	}
	return s.Name + " " + limit + " " + strings.Join(s.Methods, " ")
}
