package config

import (
	"errors"
	"fmt"
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
