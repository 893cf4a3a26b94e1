package configlog

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"valveglade/rig/explore"
)

var voterNames = []string{"v0", "v1", "v2"}

// Voter lists of a membership change in which v3 replaces v0: first all replicas get both lists, then only
// the new one.
var (
	oldVoters   = [][]string{voterNames}
	jointVoters = [][]string{voterNames, {"v1", "v2", "v3"}}
	newVoters   = [][]string{{"v1", "v2", "v3"}}
)

func voterNumber(name string) int { return int(name[1] - '0') }

// applyPersist applies what a replica wants written to its disk.
func applyPersist(disk Stored, persist Persist) Stored {
	disk.Promised = max(disk.Promised, persist.Promised)
	if persist.Reset {
		disk.Base, disk.Commit, disk.Entries = persist.Base, persist.Base.Index, nil
	}
	if persist.TruncateFrom > 0 {
		disk.Entries = disk.Entries[:persist.TruncateFrom-disk.Base.Index-1]
	}
	disk.Entries = slices.Concat(disk.Entries, persist.Entries)
	return disk
}

// linkEntries sets the payload of each entry, and the index of the previous entry of its service.
func linkEntries(entries []Entry) []Entry {
	last := map[string]uint64{}
	for i := range entries {
		if entries[i].Service != "" {
			entries[i].Previous = last[entries[i].Service]
			last[entries[i].Service] = entries[i].Index
			entries[i].Payload = fmt.Append(nil, entries[i].Version)
		}
	}
	return entries
}

// recordsOf returns the records of a table of some services after entries. It keeps every change, not just
// the last per key, so that a missing entry is always visible.
func recordsOf(entries []Entry, includes func(service string) bool) []Change {
	var records []Change
	for _, entry := range entries {
		if !entry.IsEmpty() && includes(entry.Service) {
			records = append(records, entry.Change)
		}
	}
	return records
}

// prefixTable is a distributor's table: the changes of the first entries of a log.
type prefixTable struct{ entries []Entry }

func (p *prefixTable) Open(services []string, all bool) Snapshot {
	includes := func(service string) bool { return all || slices.Contains(services, service) }
	return &prefixSnapshot{version: lastVersion(p.entries), records: recordsOf(p.entries, includes)}
}

func (p *prefixTable) Lookup(LookupKind, string) ([]byte, Version, bool) {
	return nil, lastVersion(p.entries), false
}

// prefixSnapshot returns one record per part.
type prefixSnapshot struct {
	version Version
	records []Change
}

func (s *prefixSnapshot) Version() Version { return s.version }
func (s *prefixSnapshot) Close()           {}
func (s *prefixSnapshot) Next(int) ([]Change, bool) {
	if len(s.records) == 0 {
		return nil, true
	}
	part := s.records[:1]
	s.records = s.records[1:]
	return part, len(s.records) == 0
}

// appServer is a follower with its table, which is also its file.
type appServer struct {
	follower    *Follower
	version     Version
	records     []Change
	staged      []Change
	connectTo   string // distributor to connect to, if any
	connected   string
	invalidated bool
	onApplied   func(entries []Entry) // nil, or called after each Apply
	onReplaced  func(version Version) // nil, or called after each Replace
}

// runActions carries out the actions of the follower. subscribe and unsubscribe pass its requests to the
// distributor.
func (a *appServer) runActions(subscribe func(name string, request Subscribe),
	unsubscribe func(name string)) {
	for _, action := range a.follower.Ready() {
		switch action := action.(type) {
		case Connect:
			a.connectTo = action.Distributor
		case Close:
			unsubscribe(a.connected)
			a.connectTo, a.connected = "", ""
		case Send:
			if request, ok := action.Message.(Subscribe); ok {
				subscribe(a.connected, request)
			}
		case Apply:
			a.records = slices.Concat(a.records, recordsOf(action.Entries, func(string) bool { return true }))
			a.version = action.Version
			if a.onApplied != nil {
				a.onApplied(action.Entries)
			}
		case Stage:
			if action.First {
				a.staged = nil
			}
			a.staged = slices.Concat(a.staged, action.Records)
		case Discard:
			a.staged = nil
		case Replace:
			a.records, a.staged, a.version = a.staged, nil, action.Version
			if a.onReplaced != nil {
				a.onReplaced(action.Version)
			}
		case Invalidate:
			a.version, a.invalidated = Version{}, true
		}
	}
}

func lastVersion(entries []Entry) Version {
	if len(entries) == 0 {
		return Version{}
	}
	return entries[len(entries)-1].Version
}

func sameChange(a, b Change) bool {
	return a.Service == b.Service && string(a.Payload) == string(b.Payload)
}

// namedBounds are the bounds of one exploration, with a name for the test log.
type namedBounds[B explorer] struct {
	name   string
	bounds B
}

type explorer interface {
	explore(maxStates int) explore.Result
}

// exploreAll explores all states within each bounds; under the race detector only within the first, the
// smallest.
func exploreAll[B explorer](t *testing.T, allBounds []namedBounds[B]) {
	if explore.RaceEnabled {
		allBounds = allBounds[:1]
	}
	for _, tested := range allBounds {
		start := time.Now()
		result := tested.bounds.explore(800_000)
		t.Logf("%s: %d states, depth %d, complete %v, in %v", tested.name, result.States, result.Depth,
			result.Complete, time.Since(start))
		if result.Violation != "" || !result.Complete {
			t.Errorf("%s: %s\n%s", tested.name, result.Violation, result.Trace)
		}
	}
}

// requireViolations explores with a rule disabled or a fault planted, and requires that each exploration
// finds a violation.
func requireViolations[B explorer](t *testing.T, allBounds []namedBounds[B]) {
	for _, tested := range allBounds {
		result := tested.bounds.explore(800_000)
		if result.Violation == "" {
			t.Errorf("%s: not found in %d states", tested.name, result.States)
			continue
		}
		t.Logf("%s: found in %d steps: %s\n%s", tested.name, strings.Count(result.Trace, "\n"),
			result.Violation, result.Trace)
	}
}
