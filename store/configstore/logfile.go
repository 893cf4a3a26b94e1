package configstore

import (
	"errors"
	"io"
	"os"
)

// logScanner reads a log from its beginning. It skips entries that the snapshot contains.
type logScanner struct {
	*fileReader
	snapshot Version
	last     Version // of the last entry read, or of the snapshot
	logStart Version // from the header
	previous uint64  // index of the last record, skipped or not
}

// newLogScanner reads the header of a log. It returns a *GapError if the log begins after the snapshot ends.
func newLogScanner(path string, source io.Reader, owner string, snapshot Version) (*logScanner, error) {
	scan := &logScanner{fileReader: newFileReader(path, source), snapshot: snapshot, last: snapshot}
	logStart, err := scan.header(logFile, owner)
	if err != nil {
		return nil, err
	}
	if logStart.Index > snapshot.Index {
		return nil, &GapError{Path: path, LogStart: logStart, SnapshotEnd: snapshot}
	}
	scan.logStart, scan.previous = logStart, logStart.Index
	return scan, nil
}

// next returns the next entry after the snapshot and the offset of its record. The error is io.EOF at the end of the
// log, errTornRecord for a torn last record, which begins at the offset, a *CorruptionError, or a file system error.
func (s *logScanner) next() (Entry, int64, error) {
	for {
		offset := s.offset
		entry, err := s.record()
		if err != nil {
			return Entry{}, offset, err
		}
		if entry.Index <= s.previous {
			return Entry{}, offset, s.corruption("a record's index is not above that of the previous record")
		}
		s.previous = entry.Index
		if entry.Index <= s.snapshot.Index {
			continue
		}
		if entry.Term < s.last.Term {
			return Entry{}, offset, s.corruption("a record's term is below that of the previous record")
		}
		s.last = Version{Term: entry.Term, Index: entry.Index}
		return entry, offset, nil
	}
}

// scanTo reads up to the first entry whose index is at least index. It returns the offset of the entry's record, or
// the end of the log if there is none, and the version before it.
func (s *logScanner) scanTo(index uint64) (int64, Version, error) {
	for {
		before := s.last
		entry, offset, err := s.next()
		if err == io.EOF {
			return offset, before, nil
		}
		if err != nil {
			return offset, before, err
		}
		if entry.Index >= index {
			return offset, before, nil
		}
	}
}

// logState is the result of reading a log to its end.
type logState struct {
	last      Version // of the last entry, or of the snapshot
	entries   int     // after the snapshot
	end       int64   // end of the last intact record
	tornBytes int64   // bytes of a torn record after end
}

// checkLog reads and checks a log to its end.
func checkLog(file *os.File, owner string, snapshot Version) (logState, error) {
	scan, err := newLogScanner(file.Name(), file, owner, snapshot)
	if err != nil {
		return logState{}, err
	}
	var state logState
	for {
		_, offset, err := scan.next()
		if err == nil {
			state.entries++
			continue
		}
		if err != io.EOF && !errors.Is(err, errTornRecord) {
			return logState{}, err
		}
		info, statErr := file.Stat()
		if statErr != nil {
			return logState{}, statErr
		}
		state.last, state.end, state.tornBytes = scan.last, offset, info.Size()-offset
		return state, nil
	}
}
