// Package configstore keeps a configuration table on disk: a snapshot file, a log of the entries since, and the vote of a
// voter, in one folder of one app server. Every file carries the app server's name, a format and checksums. A file is taken
// whole or not at all; only a torn last record of the log, as an interrupted write leaves it, is cut off. A file that is
// damaged, of another format or of another app server is moved aside and reported, so that a start can go on without it.
package configstore

import (
	"io"
	"os"

	"valveglade/logic/configtable"
)

// Version is a place in the ordered log: the term of the leader that appended the entry, and its index.
type Version struct {
	Term, Index uint64
}

// Entry is one entry of the log as it is stored.
type Entry struct {
	Term     uint64 // at least that of the entry before it
	Index    uint64 // above that of the entry before it; gaps are allowed, for an app server that takes some services only
	Previous uint64 // index of the previous entry of the service
	Service  string // may be empty, for an entry of the log's own; at most 255 bytes
	Payload  []byte // at most MaxPayloadBytes
}

// MaxPayloadBytes bounds the payload of an entry; an encoded change is far below.
const MaxPayloadBytes = 16 << 10

// Store is the folder of one app server. Its methods are not safe for concurrent use, but for WriteSnapshot.
type Store struct {
	folder          string
	owner           string
	snapshotVersion Version  // of the snapshot that the log goes on from
	last            Version  // of the last entry, or of the snapshot
	log             *os.File // open for reading and writing
	logEnd          int64    // of the log's last record
	failure         error    // of a write whose outcome is not known: nothing is written after it
	appendBuffer    []byte
}

// ReadEntries calls visit for each entry after the snapshot whose index is at least from, in order, until visit returns an
// error, which it returns. One entry at a time is in memory; its payload is valid during the call only.
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

// scan reads the open log up to its last whole record.
func (s *Store) scan() (*logScanner, error) {
	return newLogScanner(s.log.Name(), io.NewSectionReader(s.log, 0, s.logEnd), s.owner, s.snapshotVersion)
}

// Append writes entries at the end of the log; they are durable after Sync. An entry that does not follow the last one gives
// an *OrderError, one that is too large a *SizeError, and nothing is written.
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

// undoAppend cuts off what a failed write left; if that fails too, the store writes nothing any more.
func (s *Store) undoAppend(err error) error {
	if undo := s.truncateLog(s.logEnd); undo != nil {
		s.failure = undo
	}
	return err
}

// Sync makes what was appended durable. After a failure the store writes nothing any more, as it is not known what is durable;
// it is to be opened again.
func (s *Store) Sync() error {
	if s.failure != nil {
		return s.failure
	}
	s.failure = s.log.Sync()
	return s.failure
}

// Truncate removes the entries from an index on, durably. Entries that the snapshot contains can not be removed: that is an
// *OrderError.
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

// Compact writes a snapshot of committed entries, durably, and then a log with only the entries after it, which are kept.
func (s *Store) Compact(table configtable.Table, version Version) error {
	if err := s.WriteSnapshot(table, version); err != nil {
		return err
	}
	return s.TrimLog(version)
}

// WriteSnapshot is the first step of Compact. It may run while other methods do, but TrimLog and Install; version must not be
// below that of the snapshot that is there.
func (s *Store) WriteSnapshot(table configtable.Table, version Version) error {
	if version.Index < s.snapshotVersion.Index || version.Term < s.snapshotVersion.Term {
		return &OrderError{Last: s.snapshotVersion, Next: version}
	}
	return replaceFile(s.path(snapshotName), func(to io.Writer) error {
		return writeSnapshot(to, s.owner, table, version)
	})
}

// TrimLog is the second step of Compact: it drops the log's entries that the snapshot of a version contains.
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

// InstallSnapshot replaces everything by a snapshot from another app server: no entry after it is kept. The vote stays. Entries that are
// not in the snapshot go first, so that an interrupted InstallSnapshot leaves none of them after it.
func (s *Store) InstallSnapshot(table configtable.Table, version Version) error {
	if version.Index < s.snapshotVersion.Index || version.Term < s.snapshotVersion.Term {
		return &OrderError{Last: s.snapshotVersion, Next: version}
	}
	if err := s.Truncate(version.Index + 1); err != nil {
		return err
	}
	return s.Compact(table, version)
}

// replaceLog replaces the log by one that goes on from the snapshot of a version, with the records that write writes.
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

// isLogCurrent reports whether the open log is still the one in the folder: what is written to another would be lost.
func (s *Store) isLogCurrent() bool {
	onDisk, err := os.Stat(s.path(logName))
	if err != nil {
		return false
	}
	opened, err := s.log.Stat()
	return err == nil && os.SameFile(onDisk, opened)
}

// SaveVote replaces the vote, durably.
func (s *Store) SaveVote(vote Vote) error {
	if len(vote.Candidate) > maxOwnerBytes {
		return &NameError{Name: vote.Candidate}
	}
	return replaceFile(s.path(voteName), func(to io.Writer) error {
		_, err := to.Write(encodeVote(s.owner, vote))
		return err
	})
}

// LogBytes returns the size of the log file, for the decision when to compact.
func (s *Store) LogBytes() int64 { return s.logEnd }

// Close closes the log file without making it durable.
func (s *Store) Close() error { return s.log.Close() }
