package fleet

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/renameio/v2"
	"go.uber.org/zap"

	"valveglade/logic/configlog"
	"valveglade/store/configstore"
)

// Limits and timings of writes to the local file.
const (
	fileBatchEntries  = 256              // pending changes that trigger a write
	maxPendingEntries = 4096             // with more pending changes the whole table is written instead
	fileIdleDelay     = 2 * time.Second  // since the last pending change
	maxFileDelay      = 10 * time.Second // since the first pending change
	fileVersionDelay  = 30 * time.Second // for a version that advanced without a change to this table
	fileRetryDelay    = 5 * time.Second
	fileTickInterval  = 500 * time.Millisecond
)

// scopeFile holds a digest of the services that the local file covers. It is absent while the local file must not be
// loaded.
const scopeFile = "config-scope"

// tableFile persists an app server's table in a local file. Callers that hand over changes never wait for the disk.
type tableFile struct {
	d      *Distribution
	digest string // of the subscribed services
	store  *configstore.Store

	mu             sync.Mutex
	state          *TableState       // latest table
	pending        []configlog.Entry // changes in state that are not saved yet
	rewrite        bool              // the whole table is to be written
	invalidated    bool              // the saved file must not be loaded at the next start
	lastSaved      uint64            // last index in the file
	firstPendingAt time.Time         // time of the first unsaved change; zero if there is none
	lastPendingAt  time.Time
	failing        bool
}

func newTableFile(d *Distribution, scope followerScope) *tableFile {
	text := "all"
	if !scope.all {
		text = "services " + strings.Join(slices.Compact(slices.Sorted(slices.Values(scope.services))), " ")
	}
	sum := sha256.Sum256([]byte(text))
	return &tableFile{d: d, digest: hex.EncodeToString(sum[:])}
}

func (f *tableFile) scopePath() string { return filepath.Join(f.d.cfg.Folder, scopeFile) }

// load opens the file and returns its table, or nil if it has none that is valid for this app server's services.
func (f *tableFile) load() *TableState {
	store, found, err := configstore.Open(f.d.cfg.Folder, f.d.cfg.Name)
	if err != nil {
		f.d.log.Error("configuration: the local file cannot be opened", zap.Error(err))
		return nil
	}
	f.store = store
	f.d.logRefusedFiles(found.RejectedFiles)
	digest, err := os.ReadFile(f.scopePath())
	if err != nil || string(digest) != f.digest {
		return nil
	}
	entries, err := readEntries(store)
	if err != nil {
		f.d.log.Error("configuration: the local file cannot be read", zap.Error(err))
		return nil
	}
	state := f.d.applyEntries(&TableState{Table: found.Table, Version: logVersion(found.Version)}, entries)
	if state.Version.Index == 0 {
		return nil
	}
	f.lastSaved = state.Version.Index
	f.d.log.Info("configuration: continuing from the local file", zap.Uint64("version", state.Version.Index),
		zap.Int("entries", state.Table.Len()))
	return state
}

// append hands over changes to be saved, with the table that includes them.
func (f *tableFile) append(entries []configlog.Entry, state *TableState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state = state
	if len(entries) == 0 {
		return
	}
	f.markDirty()
	if f.rewrite {
		return
	}
	if len(f.pending)+len(entries) > maxPendingEntries {
		f.d.counts.skippedWrites.Add(int64(len(f.pending) + len(entries)))
		f.pending, f.rewrite = nil, true
		return
	}
	f.pending = append(f.pending, entries...)
}

// replace hands over a whole table to be saved.
func (f *tableFile) replace(state *TableState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.markDirty()
	f.state, f.pending, f.rewrite = state, nil, true
}

// invalidate marks the saved file so that it is not loaded at the next start.
func (f *tableFile) invalidate() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.markDirty()
	f.invalidated = true
}

// markDirty records the time of an unsaved change.
func (f *tableFile) markDirty() {
	f.lastPendingAt = time.Now()
	if f.firstPendingAt.IsZero() {
		f.firstPendingAt = f.lastPendingAt
	}
}

// run saves pending changes until ctx ends, and then all that are left.
func (f *tableFile) run(ctx context.Context) {
	if f.store == nil {
		return
	}
	defer func() { f.store.Close() }()
	ticker := time.NewTicker(fileTickInterval)
	defer ticker.Stop()
	lastSaveAt, retryAt := time.Now(), time.Time{}
	for {
		select {
		case <-ctx.Done():
			f.save()
			return
		case <-ticker.C:
		}
		if time.Now().Before(retryAt) || !f.shouldSave(lastSaveAt) {
			continue
		}
		lastSaveAt = time.Now()
		if !f.save() {
			retryAt = time.Now().Add(fileRetryDelay)
		}
	}
}

// shouldSave reports whether pending changes are to be saved now.
func (f *tableFile) shouldSave(lastSaveAt time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if !f.firstPendingAt.IsZero() {
		return f.invalidated || len(f.pending) >= fileBatchEntries ||
			now.Sub(f.lastPendingAt) >= fileIdleDelay || now.Sub(f.firstPendingAt) >= maxFileDelay
	}
	return f.state != nil && f.state.Version.Index > f.lastSaved && now.Sub(lastSaveAt) >= fileVersionDelay
}

// save writes pending changes. It returns false after a disk error; the next save then writes the whole table.
func (f *tableFile) save() bool {
	f.mu.Lock()
	state, pending, rewrite, invalidated := f.state, f.pending, f.rewrite, f.invalidated
	f.pending, f.rewrite, f.invalidated, f.firstPendingAt = nil, false, false, time.Time{}
	f.mu.Unlock()
	err := f.write(state, pending, rewrite, invalidated)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.d.counts.failedWrites.Add(1)
		f.pending, f.rewrite, f.invalidated = nil, true, invalidated || f.invalidated
		f.markDirty()
	} else if state != nil {
		f.lastSaved = state.Version.Index
	}
	if f.failing != (err != nil) {
		f.failing = err != nil
		f.d.log.Warn("configuration: writing the local file started failing or recovered",
			zap.Bool("kept", err == nil), zap.Error(err))
	}
	return err == nil
}

func (f *tableFile) write(state *TableState, pending []configlog.Entry, rewrite, invalidated bool) error {
	if invalidated || rewrite {
		if err := os.Remove(f.scopePath()); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	if state == nil || invalidated && !rewrite {
		return nil // a snapshot follows, which is saved whole
	}
	if rewrite {
		if err := f.store.InstallSnapshot(state.Table, storedVersion(state.Version)); err != nil {
			return err
		}
		return renameio.WriteFile(f.scopePath(), []byte(f.digest), 0o600, renameio.WithTempDir(f.d.cfg.Folder))
	}
	return f.appendPending(state, pending)
}

// appendPending appends changes, and an empty entry if the version advanced past the last of them.
func (f *tableFile) appendPending(state *TableState, pending []configlog.Entry) error {
	entries := storedEntries(pending)
	last := f.lastSaved
	if len(pending) > 0 {
		last = pending[len(pending)-1].Index
	}
	if state.Version.Index > last {
		entries = append(entries, configstore.Entry{Term: state.Version.Term, Index: state.Version.Index})
	}
	if len(entries) == 0 {
		return nil
	}
	if err := f.store.Append(entries); err != nil {
		return err
	}
	if err := f.store.Sync(); err != nil {
		return err
	}
	if f.store.LogBytes() < compactLogBytes {
		return nil
	}
	return f.store.Compact(state.Table, storedVersion(state.Version))
}
