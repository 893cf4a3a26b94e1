package fleet

import (
	"encoding/binary"
	"iter"
	"slices"

	"valveglade/logic/configlog"
	"valveglade/logic/configtable"
)

// Kinds of snapshot records, which are carried as payloads of changes. Each service begins with a recordService,
// which has the index of its last entry (8 bytes), followed by a recordEntry for each entry.
const (
	recordService byte = iota
	recordEntry
)

// tableSnapshotter gives the feed access to the table in force.
type tableSnapshotter struct{ d *Distribution }

// Open returns a snapshot of the current records of the given services, or of all.
func (t tableSnapshotter) Open(services []string, all bool) configlog.Snapshot {
	state := t.d.Table()
	next, stop := iter.Pull(snapshotRecords(state.Table, services, all))
	return &tableSnapshot{version: state.Version, next: next, stop: stop}
}

// Lookup returns one encoded entry.
func (t tableSnapshotter) Lookup(kind configlog.LookupKind, name string) (value []byte, version configlog.Version,
	found bool) {
	state := t.d.Table()
	change, found := lookupTable(state.Table, configtable.Kind(kind), name)
	if found {
		value = change.AppendEntry(nil)
	}
	return value, state.Version, found
}

// snapshotRecords yields the records in the order that configtable.Builder requires.
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
	for entry := range table.ServiceEntries(service) {
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
	peeked  *configlog.Change // read from next and not yet returned
	ended   bool
}

func (s *tableSnapshot) Version() configlog.Version { return s.version }

// recordOverheadBytes is the size of a record in a message besides its service and payload: two lengths.
const recordOverheadBytes = 4

// Next returns the following records, up to maxBytes in total, or a single larger record.
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

// peek reads the next record ahead and reports whether there is one.
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

// stagedTable builds a table from a snapshot's records while another table is in force.
type stagedTable struct {
	builder configtable.Builder
	err     error // of the first invalid record
}

// add adds records. After the first invalid record, further ones are ignored.
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

// table returns the built table, or the error of the first invalid record.
func (s *stagedTable) table() (configtable.Table, error) {
	if s.err != nil {
		return configtable.Table{}, s.err
	}
	return s.builder.Table(), nil
}
