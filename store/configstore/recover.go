package configstore

import (
	"io"
	"os"
	"path/filepath"

	"valveglade/logic/configtable"
)

// Recovered is the state that Open recovered from disk.
type Recovered struct {
	Table         configtable.Table // of the snapshot, without the log's entries
	Version       Version           // of the snapshot
	Last          Version           // of the last log entry, or of the snapshot if there is none after it
	Entries       int               // number of log entries after the snapshot
	Vote          Vote
	TornBytes     int64          // size of the torn record that was truncated from the log
	RejectedFiles []RejectedFile // files with rejected contents, moved aside
}

// RejectedFile describes a file that Open rejected and moved aside. A voter with a rejected file may have lost entries
// or votes that it acknowledged: it must not vote or campaign before it has a snapshot from the current leader and a
// newer term.
type RejectedFile struct {
	Err     error  // *CorruptionError, *FormatError, *OwnerError or *GapError
	MovedTo string // path of the moved file
}

// Open opens the store of the app server called name in a folder, which is created if absent. It returns a *NameError
// or a file system error; rejected files are not an error but listed in Recovered. Only one Store at a time may have a
// folder open.
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

func (s *Store) recoverSnapshot(recovered *Recovered) error {
	path := s.path(snapshotName)
	_, err := readOrReject(path, &recovered.RejectedFiles, func(file *os.File) (err error) {
		recovered.Table, recovered.Version, err = readSnapshot(path, file, s.owner)
		return err
	})
	s.snapshotVersion = recovered.Version
	return err
}

func (s *Store) recoverVote(recovered *Recovered) error {
	path := s.path(voteName)
	_, err := readOrReject(path, &recovered.RejectedFiles, func(file *os.File) (err error) {
		recovered.Vote, err = readVote(path, file, s.owner)
		return err
	})
	return err
}

// recoverLog checks the log, truncates a torn record and opens the log for writing. If there is no valid log, it
// creates one that begins after the snapshot.
func (s *Store) recoverLog(recovered *Recovered) error {
	var state logState
	accepted, err := readOrReject(s.path(logName), &recovered.RejectedFiles, func(file *os.File) (err error) {
		state, err = checkLog(file, s.owner, s.snapshotVersion)
		return err
	})
	if err != nil {
		return err
	}
	if !accepted {
		if err := s.createLog(); err != nil {
			return err
		}
		recovered.Last = s.last
		return nil
	}
	if err := s.openLog(); err != nil {
		return err
	}
	s.last, s.logEnd = state.last, state.end
	recovered.Last, recovered.Entries, recovered.TornBytes = state.last, state.entries, state.tornBytes
	if state.tornBytes > 0 {
		return s.truncateLog(state.end)
	}
	return s.log.Sync() // a previous process may have ended before Sync; its entries must be durable before use
}

// createLog replaces the log with an empty one that begins after the snapshot.
func (s *Store) createLog() error {
	return s.replaceLog(s.snapshotVersion, func(io.Writer) error { return nil })
}

// openLog opens the log file and closes the previously open one.
func (s *Store) openLog() error {
	file, err := os.OpenFile(s.path(logName), os.O_RDWR, 0)
	if err != nil {
		return err
	}
	if s.log != nil {
		s.log.Close() // the file was replaced, so an error does not matter
	}
	s.log = file
	return nil
}

// truncateLog truncates the log at an offset and fsyncs it.
func (s *Store) truncateLog(end int64) error {
	if err := s.log.Truncate(end); err != nil {
		return err
	}
	return s.log.Sync()
}
