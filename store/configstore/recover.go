package configstore

import (
	"io"
	"os"
	"path/filepath"

	"valveglade/logic/configtable"
)

// Recovered is what Open found.
type Recovered struct {
	Table         configtable.Table // of the snapshot, without the log's entries
	Version       Version           // of the snapshot
	Last          Version           // of the last entry, or of the snapshot if there is none after it
	Entries       int               // after the snapshot
	Vote          Vote
	TornBytes     int64          // cut off the log's end
	RejectedFiles []RejectedFile // files moved aside
}

// RejectedFile is a file that was not taken, and where it is now. A voter with a refused file may have lost what it acknowledged:
// it must not vote or campaign before it has a snapshot from the current leader and a term that is newer.
type RejectedFile struct {
	Err     error // *CorruptionError, *FormatError, *OwnerError or *GapError
	MovedTo string
}

// Open reads the folder of the app server called name, which is created if absent. The error is that of the file system;
// refused files are no error but reported in Recovered. No other Store may have the folder open.
func Open(folder, name string) (*Store, *Recovered, error) {
	if len(name) > maxOwnerBytes {
		return nil, nil, &NameError{Name: name}
	}
	if err := os.MkdirAll(folder, folderPermissions); err != nil {
		return nil, nil, err
	}
	if err := removeTemporaryFiles(folder); err != nil {
		return nil, nil, err
	}
	s := &Store{folder: folder, owner: name}
	recovered := &Recovered{}
	if err := s.recoverSnapshot(recovered); err != nil {
		return nil, nil, err
	}
	if err := s.recoverVote(recovered); err != nil {
		return nil, nil, err
	}
	if err := s.recoverLog(recovered); err != nil {
		return nil, nil, err
	}
	return s, recovered, nil
}

func (s *Store) path(name string) string { return filepath.Join(s.folder, name) }

func (s *Store) recoverSnapshot(found *Recovered) error {
	path := s.path(snapshotName)
	_, err := readOrReject(path, &found.RejectedFiles, func(file *os.File) (err error) {
		found.Table, found.Version, err = readSnapshot(path, file, s.owner)
		return err
	})
	s.snapshotVersion = found.Version
	return err
}

func (s *Store) recoverVote(found *Recovered) error {
	path := s.path(voteName)
	_, err := readOrReject(path, &found.RejectedFiles, func(file *os.File) (err error) {
		found.Vote, err = readVote(path, file, s.owner)
		return err
	})
	return err
}

// recoverLog checks the log, cuts a torn record off, and opens it for writing; without one it begins one after the snapshot.
func (s *Store) recoverLog(found *Recovered) error {
	var state logState
	present, err := readOrReject(s.path(logName), &found.RejectedFiles, func(file *os.File) (err error) {
		state, err = checkLog(file, s.owner, s.snapshotVersion)
		return err
	})
	if err != nil {
		return err
	}
	if !present {
		if err := s.createLog(); err != nil {
			return err
		}
		found.Last = s.last
		return nil
	}
	if err := s.openLog(); err != nil {
		return err
	}
	s.last, s.logEnd = state.last, state.end
	found.Last, found.Entries, found.TornBytes = state.last, state.entries, state.tornBytes
	if state.tornBytes > 0 {
		return s.truncateLog(state.end)
	}
	return s.log.Sync() // what a process wrote that ended before Sync is to be durable before it counts
}

// createLog replaces the log by one without entries, after the snapshot.
func (s *Store) createLog() error {
	return s.replaceLog(s.snapshotVersion, func(io.Writer) error { return nil })
}

// openLog opens the log file, in place of the one that was open.
func (s *Store) openLog() error {
	file, err := os.OpenFile(s.path(logName), os.O_RDWR, 0)
	if err != nil {
		return err
	}
	if s.log != nil {
		s.log.Close() // replaced: nothing in it is wanted
	}
	s.log = file
	return nil
}

// truncateLog ends the log at an offset, durably.
func (s *Store) truncateLog(end int64) error {
	if err := s.log.Truncate(end); err != nil {
		return err
	}
	return s.log.Sync()
}
