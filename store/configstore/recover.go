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
	Err     error // *DamageError, *FormatError, *OwnerError or *GapError
	MovedTo string
}

// Open reads the folder of the app server called name, which is created if absent. The error is that of the file system;
// refused files are no error but reported in Recovered. No other Store may have the folder open.
func Open(folder, name string) (*Store, *Recovered, error) {
	if len(name) > maxOwner {
		return nil, nil, &NameError{Name: name}
	}
	if err := os.MkdirAll(folder, folderPermissions); err != nil {
		return nil, nil, err
	}
	if err := removePending(folder); err != nil {
		return nil, nil, err
	}
	s := &Store{folder: folder, owner: name}
	found := &Recovered{}
	if err := s.recoverSnapshot(found); err != nil {
		return nil, nil, err
	}
	if err := s.recoverVote(found); err != nil {
		return nil, nil, err
	}
	if err := s.recoverLog(found); err != nil {
		return nil, nil, err
	}
	return s, found, nil
}

func (s *Store) path(name string) string { return filepath.Join(s.folder, name) }

func (s *Store) recoverSnapshot(found *Recovered) error {
	path := s.path(snapshotName)
	_, err := readFile(path, &found.RejectedFiles, func(file *os.File) (err error) {
		found.Table, found.Version, err = readSnapshot(path, file, s.owner)
		return err
	})
	s.version = found.Version
	return err
}

func (s *Store) recoverVote(found *Recovered) error {
	path := s.path(voteName)
	_, err := readFile(path, &found.RejectedFiles, func(file *os.File) (err error) {
		found.Vote, err = readVote(path, file, s.owner)
		return err
	})
	return err
}

// recoverLog checks the log, cuts a torn record off, and opens it for writing; without one it begins one after the snapshot.
func (s *Store) recoverLog(found *Recovered) error {
	var state logState
	present, err := readFile(s.path(logName), &found.RejectedFiles, func(file *os.File) (err error) {
		state, err = checkLog(file, s.owner, s.version)
		return err
	})
	if err != nil {
		return err
	}
	if !present {
		if err := s.beginLog(); err != nil {
			return err
		}
		found.Last = s.last
		return nil
	}
	if err := s.openLog(); err != nil {
		return err
	}
	s.last, s.end = state.last, state.end
	found.Last, found.Entries, found.TornBytes = state.last, state.entries, state.torn
	if state.torn > 0 {
		return s.cutLog(state.end)
	}
	return s.log.Sync() // what a process wrote that ended before Sync is to be durable before it counts
}

// beginLog replaces the log by one without entries, after the snapshot.
func (s *Store) beginLog() error {
	return s.replaceLog(s.version, func(io.Writer) error { return nil })
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

// cutLog ends the log at an offset, durably.
func (s *Store) cutLog(end int64) error {
	if err := s.log.Truncate(end); err != nil {
		return err
	}
	return s.log.Sync()
}
