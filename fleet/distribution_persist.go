package fleet

import (
	"context"

	"valveglade/logic/configlog"
	"valveglade/store/configstore"
)

// persist durably writes the state that the messages of the same Ready depend on.
func (l *replicaLoop) persist(p configlog.Persist) error {
	if p.Promised > 0 {
		if err := l.store.SaveVote(configstore.Vote{Term: p.Promised}); err != nil {
			return err
		}
		l.promisedTerm = p.Promised
	}
	if p.Reset {
		state := l.d.Table()
		if err := l.store.InstallSnapshot(state.Table, storedVersion(p.Base)); err != nil {
			return err
		}
		l.savedIndex = p.Base.Index
	}
	if p.TruncateFrom > 0 {
		if err := l.store.Truncate(p.TruncateFrom); err != nil {
			return err
		}
		l.savedIndex = min(l.savedIndex, p.TruncateFrom-1)
	}
	if len(p.Entries) == 0 {
		return nil
	}
	if err := l.store.Append(storedEntries(p.Entries)); err != nil {
		return err
	}
	if err := l.store.Sync(); err != nil {
		return err
	}
	l.savedIndex = p.Entries[len(p.Entries)-1].Index
	return nil
}

// compact writes a snapshot of the committed table once the log file has reached compactLogBytes.
func (l *replicaLoop) compact() error {
	if l.store.LogBytes() < compactLogBytes {
		return nil
	}
	state := l.d.Table()
	return l.store.Compact(state.Table, storedVersion(state.Version))
}

// applyCommitted applies committed entries to the table and hands them to the feed. Entries that the table already has
// are skipped.
func (d *Distribution) applyCommitted(ctx context.Context, entries []configlog.Entry) {
	state := d.Table()
	for len(entries) > 0 && entries[0].Index <= state.Version.Index {
		entries = entries[1:]
	}
	if len(entries) == 0 {
		return
	}
	d.table.Store(d.applyEntries(state, entries))
	if d.feed != nil {
		d.feed.enqueue(ctx, entriesCommitted{entries})
	}
}

// replaceTable puts a whole table in force and resets the feed to it.
func (d *Distribution) replaceTable(ctx context.Context, state *TableState) {
	d.table.Store(state)
	if d.feed != nil {
		d.feed.enqueue(ctx, tableReplaced{state.Version})
	}
}
