package fleet

import (
	"encoding/binary"
	"iter"
	"slices"

	"valveglade/logic/configlog"
	"valveglade/logic/configtable"
)

// Records of a snapshot, as payloads of changes: each service begins with one that has the index of its last entry (8 bytes), and
// its entries follow.
const (
	recordService byte = iota
	recordEntry
)

// tableSnapshotter is the table that the feed serves.
type tableSnapshotter struct{ d *Distribution }

// Open holds the records of some services, or of all, as they are now.
func (t tableSnapshotter) Open(services []string, all bool) configlog.Snapshot {
	state := t.d.Table()
	next, stop := iter.Pull(snapshotRecords(state.Table, services, all))
	return &tableSnapshot{version: state.Version, next: next, stop: stop}
}

// Lookup finds one entry.
func (t tableSnapshotter) Lookup(kind configlog.LookupKind, name string) (value []byte, version configlog.Version, found bool) {
	state := t.d.Table()
	change, found := lookupTable(state.Table, configtable.Kind(kind), name)
	if found {
		value = change.AppendEntry(nil)
	}
	return value, state.Version, found
}

// snapshotRecords gives the records in the order in which a configtable.Builder takes them.
func snapshotRecords(table configtable.Table, services []string, all bool) iter.Seq[configlog.Change] {
	return func(yield func(configlog.Change) bool) {
		if !all {
			for _, service := range slices.Compact(slices.Sorted(slices.Values(services))) {
				if last := table.LastIndex(service); last > 0 && !yieldService(table, service, last, yield) {
					return
				}
			}
			return
		}
		for service, last := range table.Services() {
			if !yieldService(table, service, last, yield) {
				return
			}
		}
	}
}

func yieldService(table configtable.Table, service string, last uint64, yield func(configlog.Change) bool) bool {
	head := binary.BigEndian.AppendUint64([]byte{recordService}, last)
	if !yield(configlog.Change{Service: service, Payload: head}) {
		return false
	}
	for entry := range table.Service(service) {
		if !yield(configlog.Change{Service: service, Payload: entry.AppendEntry([]byte{recordEntry})}) {
			return false
		}
	}
	return true
}

// tableSnapshot reads the records of one version, in parts.
type tableSnapshot struct {
	version configlog.Version
	next    func() (configlog.Change, bool)
	stop    func()
	peeked  *configlog.Change // taken from next, and not given yet
	ended   bool
}

func (s *tableSnapshot) Version() configlog.Version { return s.version }

// recordOverheadBytes is what a record takes in a message beside its service and payload: two lengths.
const recordOverheadBytes = 4

// Next gives the following records of at most maxBytes, or one that is larger.
func (s *tableSnapshot) Next(maxBytes int) (records []configlog.Change, done bool) {
	size := 0
	for s.peek() {
		record := *s.peeked
		size += recordOverheadBytes + len(record.Service) + len(record.Payload)
		if len(records) > 0 && size > maxBytes {
			return records, false
		}
		records = append(records, record)
		s.peeked = nil
	}
	return records, true
}

// peek has the next record ready, and reports whether there is one.
func (s *tableSnapshot) peek() bool {
	if s.peeked == nil && !s.ended {
		record, ok := s.next()
		s.ended = !ok
		if ok {
			s.peeked = &record
		}
	}
	return s.peeked != nil
}

func (s *tableSnapshot) Close() {
	s.ended, s.peeked = true, nil
	s.stop()
}

// stagedTable builds a table from a snapshot's records beside the one in force.
type stagedTable struct {
	builder configtable.Builder
	err     error // of the first record that does not fit
}

// add takes some records. The first fault ends the stage.
func (s *stagedTable) add(records []configlog.Change) {
	for _, record := range records {
		if s.err != nil {
			return
		}
		s.err = s.addRecord(record)
	}
}

func (s *stagedTable) addRecord(record configlog.Change) error {
	if len(record.Payload) == 0 {
		return errMalformed
	}
	content := record.Payload[1:]
	switch record.Payload[0] {
	case recordService:
		if len(content) != 8 {
			return errMalformed
		}
		return s.builder.AddService(record.Service, binary.BigEndian.Uint64(content))
	case recordEntry:
		entry, err := configtable.DecodeEntry(record.Service, content)
		if err != nil {
			return err
		}
		return s.builder.Add(entry)
	}
	return errMalformed
}

// table gives what was staged.
func (s *stagedTable) table() (configtable.Table, error) {
	if s.err != nil {
		return configtable.Table{}, s.err
	}
	return s.builder.Table(), nil
}
