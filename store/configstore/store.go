// Package configstore stores a configuration table on disk: a snapshot file, a write-ahead log of the entries after it,
// and the vote of a voter, in one folder per app server. Every file carries the app server's name, a format version and
// checksums. Recovery accepts or rejects a file as a unit, except that a torn last record of the log, left by an
// interrupted write, is truncated. A file that is corrupt, of another format or of another app server is moved aside
// and reported, so that the app server can start without it.
package configstore

import (
	"io"
	"os"

	"valveglade/logic/configtable"
)

// Version is a position in the replicated log.
type Version struct {
	Term  uint64 // of the leader that appended the entry
	Index uint64 // of the entry
}

// Entry is a stored log entry.
type Entry struct {
	Term     uint64 // at least that of the previous entry
	Index    uint64 // above that of the previous entry; gaps are allowed, as an app server may store only some services
	Previous uint64 // index of the previous entry of the service
	Service  string // at most 255 bytes; empty for an internal entry of the log
	Payload  []byte // at most MaxPayloadBytes
}

// MaxPayloadBytes limits the payload of an entry. Encoded changes are much smaller.
const MaxPayloadBytes = 16 << 10

// Store is the open store of one app server. Its methods are not safe for concurrent use, except WriteSnapshot.
type Store struct {
	folder          string
	owner           string
	snapshotVersion Version  // of the snapshot that precedes the log
	last            Version  // of the last log entry, or of the snapshot
	log             *os.File // open for reading and writing
	logEnd          int64    // offset after the last record of the log
	failure         error    // of a write with unknown outcome; all later writes to the log return it
	appendBuffer    []byte   // reused by Append
}

// ReadEntries calls visit, in order, for each entry after the snapshot whose index is at least from. It stops at the
// first error of visit and returns it. It keeps one entry in memory; the payload is valid only during the call.
func (s *Store) ReadEntries(from uint64, visit func(Entry) error) error {
	scan, err := s.scan()
	if err != nil {
		return err
	}
	for {
		entry, _, err := scan.next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if entry.Index < from {
			continue
		}
		if err := visit(entry); err != nil {
			return err
		}
	}
}

// scan returns a scanner of the open log up to the end of its last record.
func (s *Store) scan() (*logScanner, error) {
	return newLogScanner(s.log.Name(), io.NewSectionReader(s.log, 0, s.logEnd), s.owner, s.snapshotVersion)
}

// Append writes entries at the end of the log; they are durable after Sync. It returns an *OrderError for an entry that
// is out of order and a *SizeError for one that is too large; in both cases it writes nothing.
func (s *Store) Append(entries []Entry) error {
	if s.failure != nil {
		return s.failure
	}
	last := s.last
	s.appendBuffer = s.appendBuffer[:0]
	for _, entry := range entries {
		next := Version{Term: entry.Term, Index: entry.Index}
		if next.Index <= last.Index || next.Term < last.Term {
			return &OrderError{Last: last, Next: next}
		}
		if len(entry.Service) > maxServiceBytes || len(entry.Payload) > MaxPayloadBytes {
			return &SizeError{Service: len(entry.Service), Payload: len(entry.Payload)}
		}
		s.appendBuffer = appendRecord(s.appendBuffer, entry)
		last = next
	}
	if _, err := s.log.WriteAt(s.appendBuffer, s.logEnd); err != nil {
		return s.undoAppend(err)
	}
	s.last = last
	s.logEnd += int64(len(s.appendBuffer))
	return nil
}

// undoAppend truncates the log after a failed write. If that fails too, all later writes to the log fail.
func (s *Store) undoAppend(err error) error {
	if undo := s.truncateLog(s.logEnd); undo != nil {
		s.failure = undo
	}
	return err
}

// Sync makes all appended entries durable. After a failure it is unknown which entries are durable: all later writes to
// the log fail, and the store must be reopened.
func (s *Store) Sync() error {
	if s.failure != nil {
		return s.failure
	}
	s.failure = s.log.Sync()
	return s.failure
}

// Truncate durably removes all entries whose index is at least from. It returns an *OrderError if the snapshot contains
// one of them.
func (s *Store) Truncate(from uint64) error {
	if s.failure != nil {
		return s.failure
	}
	if from <= s.snapshotVersion.Index {
		return &OrderError{Last: s.snapshotVersion, Next: Version{Index: from}}
	}
	if from > s.last.Index {
		return nil
	}
	scan, err := s.scan()
	if err != nil {
		return err
	}
	end, last, err := scan.scanTo(from)
	if err != nil {
		return err
	}
	if s.failure = s.truncateLog(end); s.failure != nil {
		return s.failure
	}
	s.logEnd, s.last = end, last
	return nil
}

// Compact durably writes a snapshot of committed entries and then removes the entries that it contains from the log.
func (s *Store) Compact(table configtable.Table, version Version) error {
	if err := s.WriteSnapshot(table, version); err != nil {
		return err
	}
	return s.TrimLog(version)
}

// WriteSnapshot is the first step of Compact. It may run concurrently with other methods except TrimLog and
// InstallSnapshot. The version must not be below that of the current snapshot.
func (s *Store) WriteSnapshot(table configtable.Table, version Version) error {
	if version.Index < s.snapshotVersion.Index || version.Term < s.snapshotVersion.Term {
		return &OrderError{Last: s.snapshotVersion, Next: version}
	}
	return replaceFile(s.path(snapshotName), func(to io.Writer) error {
		return writeSnapshot(to, s.owner, table, version)
	})
}

// TrimLog is the second step of Compact: it removes the log entries that the snapshot of this version contains.
func (s *Store) TrimLog(version Version) error {
	if s.failure != nil {
		return s.failure
	}
	scan, err := s.scan()
	if err != nil {
		return err
	}
	from, _, err := scan.scanTo(version.Index + 1)
	if err != nil {
		return err
	}
	return s.replaceLog(version, func(to io.Writer) error {
		_, err := io.Copy(to, io.NewSectionReader(s.log, from, s.logEnd-from))
		return err
	})
}

// InstallSnapshot replaces the snapshot and the log with a snapshot from another app server and keeps no later entries.
// The vote is unchanged. Entries after the snapshot are truncated first, so that an interrupted call leaves none of
// them behind the new snapshot.
func (s *Store) InstallSnapshot(table configtable.Table, version Version) error {
	if version.Index < s.snapshotVersion.Index || version.Term < s.snapshotVersion.Term {
		return &OrderError{Last: s.snapshotVersion, Next: version}
	}
	if err := s.Truncate(version.Index + 1); err != nil {
		return err
	}
	return s.Compact(table, version)
}

// replaceLog atomically replaces the log with one that follows the snapshot of a version and has the records that write
// writes.
func (s *Store) replaceLog(version Version, write func(to io.Writer) error) error {
	head := header{logFile, s.owner, version}.encode()
	err := replaceFile(s.path(logName), func(to io.Writer) error {
		if _, err := to.Write(head); err != nil {
			return err
		}
		return write(to)
	})
	if err != nil {
		if s.log != nil && !s.isLogCurrent() {
			s.failure = err
		}
		return err
	}
	if s.failure = s.openLog(); s.failure != nil {
		return s.failure
	}
	info, err := s.log.Stat()
	if err != nil {
		s.failure = err
		return err
	}
	s.snapshotVersion, s.logEnd = version, info.Size()
	if s.last.Index <= version.Index {
		s.last = version
	}
	return nil
}

// isLogCurrent reports whether the open log is still the file in the folder. Writes to a replaced file would be lost.
func (s *Store) isLogCurrent() bool {
	onDisk, err := os.Stat(s.path(logName))
	if err != nil {
		return false
	}
	opened, err := s.log.Stat()
	return err == nil && os.SameFile(onDisk, opened)
}

// SaveVote durably replaces the vote.
func (s *Store) SaveVote(vote Vote) error {
	if len(vote.Candidate) > maxOwnerBytes {
		return &NameError{Name: vote.Candidate}
	}
	return replaceFile(s.path(voteName), func(to io.Writer) error {
		_, err := to.Write(encodeVote(s.owner, vote))
		return err
	})
}

// LogBytes returns the size of the log file, by which callers decide when to compact.
func (s *Store) LogBytes() int64 { return s.logEnd }

// Close closes the log file without fsync.
func (s *Store) Close() error { return s.log.Close() }
