package configlog

import (
	"maps"
	"slices"
)

// entryLog is a run of entries after a base. It knows the last entry of each service at its end.
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

// version tells the version at an index that is the base or above it.
func (l *entryLog) version(index uint64) (Version, bool) {
	switch {
	case index == l.base.Index:
		return l.base, true
	case index < l.base.Index || index > l.last().Index:
		return Version{}, false
	}
	return l.entries[index-l.base.Index-1].Version, true
}

// entriesAfter gives the entries above an index that is the base or above it; the caller leaves them as they are.
func (l *entryLog) entriesAfter(index uint64) []Entry {
	from := min(index-l.base.Index, uint64(len(l.entries)))
	return l.entries[from:len(l.entries):len(l.entries)]
}

// entriesBetween gives the entries above one index, up to another.
func (l *entryLog) entriesBetween(above, upTo uint64) []Entry {
	entries := l.entriesAfter(above)
	return entries[:min(uint64(len(entries)), upTo-above)]
}

// previousOfService is the index of a service's last entry; the first entries of terms are of no service, and have none.
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

// truncate drops the entries from an index on.
func (l *entryLog) truncate(from uint64) {
	keep := from - l.base.Index - 1
	rollBackLastOfService(l.lastOfService, l.entries[keep:])
	l.entries = l.entries[:keep:keep] // what is dropped may still be on its way to the disk
}

// compact drops the entries up to an index, which is the base from then on.
func (l *entryLog) compact(upTo uint64) {
	base, _ := l.version(upTo)
	l.entries = append([]Entry(nil), l.entriesAfter(upTo)...) // a copy, so that the memory of the former ones is freed
	l.base = base
}

// lastOfServiceAt tells the last entry of each service at or below an index.
func (l *entryLog) lastOfServiceAt(index uint64) map[string]uint64 {
	last := maps.Clone(l.lastOfService)
	rollBackLastOfService(last, l.entriesAfter(index))
	return last
}

// rollBackLastOfService takes entries, which are the last, out of the last of each service.
func rollBackLastOfService(last map[string]uint64, entries []Entry) {
	for k := len(entries) - 1; k >= 0; k-- {
		entry := entries[k]
		switch {
		case entry.Service == "":
		case entry.Previous == 0:
			delete(last, entry.Service)
		default:
			last[entry.Service] = entry.Previous
		}
	}
}

// batch gives as many of the first entries as fit into a message, and one at least.
func firstBatch(entries []Entry, maxBytes int) []Entry {
	size := 0
	for k, entry := range entries {
		size += entry.Size()
		if size > maxBytes && k > 0 {
			return entries[:k:k]
		}
	}
	return entries
}

// contiguous reports whether entries follow an index one after another, their terms never falling.
func contiguous(previous Version, entries []Entry) bool {
	for _, entry := range entries {
		if entry.Index != previous.Index+1 || entry.Term < previous.Term {
			return false
		}
		previous = entry.Version
	}
	return true
}

// entriesOfServices gives the entries of some services, each named once, above an index that is the base or above it, in order. It follows each service back from
// its last entry, so its cost is that of the services and of what it finds.
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
