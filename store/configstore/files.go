package configstore

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/google/renameio/v2"
)

// Names of the files in a store's folder.
const (
	snapshotName   = "snapshot"
	logName        = "log"
	voteName       = "vote"
	rejectedSuffix = ".refused" // of a file that was moved aside; replaces an earlier one
)

const (
	filePermissions   = 0o600 // of all files; only the app server's user may access them
	folderPermissions = 0o700
)

// replaceFile replaces a file atomically and durably: it writes and fsyncs a temporary file and renames it. After a
// crash the file has either its old or its new contents.
func replaceFile(path string, write func(to io.Writer) error) error {
	pending, err := renameio.NewPendingFile(path,
		renameio.WithTempDir(filepath.Dir(path)), renameio.WithPermissions(filePermissions))
	if err != nil {
		return err
	}
	defer pending.Cleanup()
	if err := write(pending); err != nil {
		return err
	}
	if err := pending.CloseAtomicallyReplace(); err != nil {
		return err
	}
	return syncFolder(filepath.Dir(path))
}

// syncFolder fsyncs a folder, so that renames and new files in it are durable.
func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}

// removeTemporaryFiles removes the temporary files of interrupted replaceFile calls.
func removeTemporaryFiles(folder string) error {
	files, err := os.ReadDir(folder)
	if err != nil {
		return err
	}
	for _, file := range files {
		for _, name := range []string{snapshotName, logName, voteName} {
			if strings.HasPrefix(file.Name(), "."+name) {
				if err := os.Remove(filepath.Join(folder, file.Name())); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// readOrReject opens a file and calls read with it. It reports whether the file was read: if it is absent, or if read
// rejects its contents, the result is false. A rejected file is moved aside and appended to rejected; other errors
// are returned.
func readOrReject(path string, rejected *[]RejectedFile, read func(file *os.File) error) (accepted bool, err error) {
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	defer file.Close()
	err = read(file)
	if err == nil {
		return true, nil
	}
	if !isRejection(err) {
		return false, err
	}
	return false, moveAside(path, err, rejected)
}

// isRejection reports whether an error is about a file's contents rather than from the file system.
func isRejection(err error) bool {
	var corruption *CorruptionError
	var format *FormatError
	var owner *OwnerError
	var gap *GapError
	return errors.As(err, &corruption) || errors.As(err, &format) || errors.As(err, &owner) || errors.As(err, &gap)
}

// moveAside renames a rejected file and appends it to rejected.
func moveAside(path string, reason error, rejected *[]RejectedFile) error {
	aside := path + rejectedSuffix
	if err := os.Rename(path, aside); err != nil {
		return err
	}
	*rejected = append(*rejected, RejectedFile{Err: reason, MovedTo: aside})
	return syncFolder(filepath.Dir(path))
}
