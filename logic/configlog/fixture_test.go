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

// Lists of voters while v3 takes the place of v0: first all get both lists, then the next one alone.
var (
	formerList = [][]string{voterNames}
	bothLists  = [][]string{voterNames, {"v1", "v2", "v3"}}
	nextList   = [][]string{{"v1", "v2", "v3"}}
)

func number(name string) int { return int(name[1] - '0') }

// write carries out what a replica wants on its disk.
func write(disk Stored, persist Persist) Stored {
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

// chain fills in payloads, and what is before each entry of its service.
func chain(entries []Entry) []Entry {
	last := map[string]uint64{}
	for k := range entries {
		if entries[k].Service != "" {
			entries[k].Previous = last[entries[k].Service]
			last[entries[k].Service] = entries[k].Index
			entries[k].Payload = fmt.Append(nil, entries[k].Version)
		}
	}
	return entries
}

// recordsOf gives what a table of some services has after entries: all that was ever put, so that nothing missing goes unnoticed.
func recordsOf(entries []Entry, wants func(service string) bool) []Change {
	var records []Change
	for _, entry := range entries {
		if !entry.IsEmpty() && wants(entry.Service) {
			records = append(records, entry.Change)
		}
	}
	return records
}

// prefixTable is a distributor's table: the changes of the first entries of a log.
type prefixTable struct{ entries []Entry }

func (p *prefixTable) Open(services []string, all bool) Snapshot {
	wants := func(service string) bool { return all || slices.Contains(services, service) }
	return &prefixSnapshot{version: lastOf(p.entries), records: recordsOf(p.entries, wants)}
}

func (p *prefixTable) Lookup(LookupKind, string) ([]byte, Version, bool) {
	return nil, lastOf(p.entries), false
}

// prefixSnapshot gives a record at a time.
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

// appServer is a follower with its table and its file, which are alike.
type appServer struct {
	follower    *Follower
	version     Version
	records     []Change
	staged      []Change
	wants       string // the distributor to connect to
	connected   string
	invalidated bool
	applied     func(entries []Entry) // nil, or what else to do
	replaced    func(version Version) // nil, or what else to do
}

// carryOut does what the follower wants done; subscribe and close are told to the distributor.
func (a *appServer) carryOut(subscribe func(name string, request Subscribe), unsubscribe func(name string)) {
	for _, action := range a.follower.Ready() {
		switch action := action.(type) {
		case Connect:
			a.wants = action.Distributor
		case Close:
			unsubscribe(a.connected)
			a.wants, a.connected = "", ""
		case Send:
			if request, ok := action.Message.(Subscribe); ok {
				subscribe(a.connected, request)
			}
		case Apply:
			a.records = slices.Concat(a.records, recordsOf(action.Entries, func(string) bool { return true }))
			a.version = action.Version
			if a.applied != nil {
				a.applied(action.Entries)
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
			if a.replaced != nil {
				a.replaced(action.Version)
			}
		case Invalidate:
			a.version, a.invalidated = Version{}, true
		}
	}
}

func lastOf(entries []Entry) Version {
	if len(entries) == 0 {
		return Version{}
	}
	return entries[len(entries)-1].Version
}

func sameChange(a, b Change) bool {
	return a.Service == b.Service && string(a.Payload) == string(b.Payload)
}

// named is a walk with a name.
type named[B walker] struct {
	name   string
	bounds B
}

type walker interface{ walk(most int) explore.Result }

// walkAll plays walks to their end, under the race detector the smallest alone.
func walkAll[B walker](t *testing.T, all []named[B]) {
	if explore.Race {
		all = all[:1]
	}
	for _, one := range all {
		began := time.Now()
		r := one.bounds.walk(800_000)
		t.Logf("%s: %d states, depth %d, complete %v, in %v", one.name, r.States, r.Depth, r.Complete, time.Since(began))
		if r.Wrong != "" || !r.Complete {
			t.Errorf("%s: %s\n%s", one.name, r.Wrong, r.Trace)
		}
	}
}

// findAll plays walks without a rule, each of which has to find its loss.
func findAll[B walker](t *testing.T, all []named[B]) {
	for _, one := range all {
		r := one.bounds.walk(800_000)
		if r.Wrong == "" {
			t.Errorf("%s: not found in %d states", one.name, r.States)
			continue
		}
		t.Logf("%s: found in %d steps: %s\n%s", one.name, strings.Count(r.Trace, "\n"), r.Wrong, r.Trace)
	}
}
