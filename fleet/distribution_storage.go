package fleet

import (
	"go.uber.org/zap"

	"valveglade/logic/configlog"
	"valveglade/logic/configtable"
	"valveglade/store/configstore"
)

// compactLogBytes is the size of the log file, some 40,000 changes, from which a snapshot is written and a new log
// begun.
const compactLogBytes = 4 << 20

func storedVersion(v configlog.Version) configstore.Version {
	return configstore.Version{Term: v.Term, Index: v.Index}
}

func logVersion(v configstore.Version) configlog.Version {
	return configlog.Version{Term: v.Term, Index: v.Index}
}

func storedEntries(entries []configlog.Entry) []configstore.Entry {
	all := make([]configstore.Entry, len(entries))
	for k, e := range entries {
		all[k] = configstore.Entry{Term: e.Term, Index: e.Index, Previous: e.Previous, Service: e.Service, Payload: e.Payload}
	}
	return all
}

// logEntry copies the payload, because a stored entry's payload is valid only during the callback that receives it.
func logEntry(e configstore.Entry) configlog.Entry {
	return configlog.Entry{Version: configlog.Version{Term: e.Term, Index: e.Index}, Previous: e.Previous,
		Change: configlog.Change{Service: e.Service, Payload: append([]byte(nil), e.Payload...)}}
}

// readEntries returns all stored entries after the snapshot.
func readEntries(store *configstore.Store) ([]configlog.Entry, error) {
	var all []configlog.Entry
	err := store.ReadEntries(0, func(e configstore.Entry) error {
		all = append(all, logEntry(e))
		return nil
	})
	return all, err
}

// lastOfService returns the index of each service's last entry in a table.
func lastOfService(table configtable.Table) map[string]uint64 {
	last := make(map[string]uint64, table.ServiceCount())
	for service, index := range table.Services() {
		last[service] = index
	}
	return last
}

// applyEntries returns the table with committed entries applied. An entry that cannot be decoded or applied changes
// nothing; it is counted and logged, and the version advances past it.
func (d *Distribution) applyEntries(state *TableState, entries []configlog.Entry) *TableState {
	next := &TableState{Table: state.Table, Version: state.Version}
	var changes []configtable.CommittedChange
	for _, entry := range entries {
		next.Version = entry.Version
		if entry.IsEmpty() {
			continue
		}
		change, err := configtable.Decode(entry.Payload)
		if err != nil {
			d.skipEntry(entry, err)
			continue
		}
		changes = append(changes, configtable.CommittedChange{Index: entry.Index, Change: change})
	}
	table, err := next.Table.Apply(changes)
	if err == nil {
		next.Table = table
		return next
	}
	for _, change := range changes { // at least one change does not apply; apply each on its own to skip only those
		one := []configtable.CommittedChange{change}
		if table, err := next.Table.Apply(one); err == nil {
			next.Table = table
		} else {
			d.skipEntry(configlog.Entry{Version: configlog.Version{Index: change.Index}}, err)
		}
	}
	return next
}

func (d *Distribution) skipEntry(entry configlog.Entry, err error) {
	d.counts.unreadableChanges.Add(1)
	d.log.Error("a committed change of the configuration cannot be applied; skipping it",
		zap.Uint64("version", entry.Index), zap.Error(err))
}

// logRefusedFiles logs files that were moved aside at the start.
func (d *Distribution) logRefusedFiles(refused []configstore.RejectedFile) {
	for _, one := range refused {
		d.log.Error("a file of the configuration is not taken", zap.String("moved_to", one.MovedTo), zap.Error(one.Err))
	}
}
