package configstore

import (
	"errors"
	"io"
	"os"
)

// logScan reads a log from its beginning. Entries that the snapshot contains are passed over.
type logScan struct {
	*fileReader
	snapshot Version
	last     Version // of the last entry read, or of the snapshot
	begins   Version // from the header
	previous uint64  // index of the last record, passed over or not
}

// newLogScan reads the header of a log.
func newLogScan(path string, source io.Reader, owner string, snapshot Version) (*logScan, error) {
	scan := &logScan{fileReader: newFileReader(path, source), snapshot: snapshot, last: snapshot}
	begins, err := scan.header(logFile, owner)
	if err != nil {
		return nil, err
	}
	if begins.Index > snapshot.Index {
		return nil, &GapError{Path: path, Begins: begins, Reaches: snapshot}
	}
	scan.begins, scan.previous = begins, begins.Index
	return scan, nil
}

// next returns the next entry after the snapshot and the offset of its record. The error is io.EOF at the end, errTorn for a torn
// last record, which begins at the offset, a *DamageError, or that of the file system.
func (s *logScan) next() (Entry, int64, error) {
	for {
		at := s.offset
		entry, err := s.record()
		if err != nil {
			return Entry{}, at, err
		}
		if entry.Index <= s.previous {
			return Entry{}, at, s.damage("a record's index is not above that of the one before it")
		}
		s.previous = entry.Index
		if entry.Index <= s.snapshot.Index {
			continue
		}
		if entry.Term < s.last.Term {
			return Entry{}, at, s.damage("a record's term is below that of the one before it")
		}
		s.last = Version{Term: entry.Term, Index: entry.Index}
		return entry, at, nil
	}
}

// scanTo reads entries until one has at least an index, and returns the offset of its record, or of the log's end, and the
// version before it.
func (s *logScan) scanTo(index uint64) (int64, Version, error) {
	for {
		before := s.last
		entry, at, err := s.next()
		if err == io.EOF {
			return at, before, nil
		}
		if err != nil {
			return at, before, err
		}
		if entry.Index >= index {
			return at, before, nil
		}
	}
}

// logState is what a whole scan of a log found.
type logState struct {
	last    Version
	entries int
	end     int64 // of the last whole record
	torn    int64 // bytes after it
}

// checkLog reads a whole log.
func checkLog(file *os.File, owner string, snapshot Version) (logState, error) {
	scan, err := newLogScan(file.Name(), file, owner, snapshot)
	if err != nil {
		return logState{}, err
	}
	var state logState
	for {
		_, at, err := scan.next()
		if err == nil {
			state.entries++
			continue
		}
		if err != io.EOF && !errors.Is(err, errTorn) {
			return logState{}, err
		}
		info, statErr := file.Stat()
		if statErr != nil {
			return logState{}, statErr
		}
		state.last, state.end, state.torn = scan.last, at, info.Size()-at
		return state, nil
	}
}
