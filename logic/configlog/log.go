package configlog

import (
	"maps"
	"slices"
)

// entryLog is a contiguous run of entries that follows a base version. It also tracks the last entry of
// each service.
type entryLog struct {
	base          Version
	entries       []Entry
	lastOfService map[string]uint64
}

func (l *entryLog) last() Version {
	if len(l.entries) == 0 {
		return l.base
	}
	return l.entries[len(l.entries)-1].Version
}

// version returns the version at an index. It returns false for an index below the base or above the last
// entry.
func (l *entryLog) version(index uint64) (Version, bool) {
	switch {
	case index == l.base.Index:
		return l.base, true
	case index < l.base.Index || index > l.last().Index:
		return Version{}, false
	}
	return l.entries[index-l.base.Index-1].Version, true
}

// entriesAfter returns the entries above an index, which must not be below the base. The caller must not
// modify them.
func (l *entryLog) entriesAfter(index uint64) []Entry {
	from := min(index-l.base.Index, uint64(len(l.entries)))
	return l.entries[from:len(l.entries):len(l.entries)]
}

// entriesBetween returns the entries above one index, up to and including another.
func (l *entryLog) entriesBetween(above, upTo uint64) []Entry {
	entries := l.entriesAfter(above)
	return entries[:min(uint64(len(entries)), upTo-above)]
}

// previousOfService returns the index of the last entry of a service, 0 for none. The first entry of a
// term belongs to no service.
func (l *entryLog) previousOfService(service string) uint64 {
	if service == "" {
		return 0
	}
	return l.lastOfService[service]
}

func (l *entryLog) append(entry Entry) {
	l.entries = append(l.entries, entry)
	if entry.Service != "" {
		l.lastOfService[entry.Service] = entry.Index
	}
}

// truncate removes the entries from an index on.
func (l *entryLog) truncate(from uint64) {
	keep := from - l.base.Index - 1
	rollBackLastOfService(l.lastOfService, l.entries[keep:])
	// The capacity is cut so that append does not overwrite removed entries, which a write to disk may
	// still use.
	l.entries = l.entries[:keep:keep]
}

// compact removes the entries up to an index, which becomes the base.
func (l *entryLog) compact(upTo uint64) {
	base, _ := l.version(upTo)
	// A copy, so that the memory of the removed entries is freed.
	l.entries = append([]Entry(nil), l.entriesAfter(upTo)...)
	l.base = base
}

// lastOfServiceAt returns the index of the last entry of each service at or below an index.
func (l *entryLog) lastOfServiceAt(index uint64) map[string]uint64 {
	last := maps.Clone(l.lastOfService)
	rollBackLastOfService(last, l.entriesAfter(index))
	return last
}

// rollBackLastOfService removes the effect of entries, which are the last of the log, from the index of
// the last entry of each service.
func rollBackLastOfService(last map[string]uint64, entries []Entry) {
	for i := len(entries) - 1; i >= 0; i-- {
		entry := entries[i]
		switch {
		case entry.Service == "":
		case entry.Previous == 0:
			delete(last, entry.Service)
		default:
			last[entry.Service] = entry.Previous
		}
	}
}

// firstBatch returns as many of the first entries as fit into a message, and at least one.
func firstBatch(entries []Entry, maxBytes int) []Entry {
	size := 0
	for i, entry := range entries {
		size += entry.Size()
		if size > maxBytes && i > 0 {
			return entries[:i:i]
		}
	}
	return entries
}

// contiguous reports whether the entries have consecutive indexes after a previous version and terms that
// do not decrease.
func contiguous(previous Version, entries []Entry) bool {
	for _, entry := range entries {
		if entry.Index != previous.Index+1 || entry.Term < previous.Term {
			return false
		}
		previous = entry.Version
	}
	return true
}

// entriesOfServices returns the entries of some services above an index, which must not be below the base,
// in order of the log. No service may be listed twice. It follows each service backwards from its last
// entry, so its cost depends on the number of services and of entries found, not on the length of the log.
func (l *entryLog) entriesOfServices(services []string, above uint64) []Entry {
	var found []Entry
	for _, service := range services {
		for index := l.lastOfService[service]; index > above; {
			entry := l.entries[index-l.base.Index-1]
			found = append(found, entry)
			index = entry.Previous
		}
	}
	slices.SortFunc(found, func(a, b Entry) int { return a.Version.Compare(b.Version) })
	return found
}
