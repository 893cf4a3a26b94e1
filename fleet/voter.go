package fleet

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/google/renameio/v2"
	"go.uber.org/zap"

	"valveglade/logic/owner"
)

// serveVotes answers candidates until ctx ends. It runs on its own goroutine, so a slow disk delays nothing but the
// voter's answers.
func (f *Fleet) serveVotes(ctx context.Context) {
	votes, complete, err := f.readVotes()
	if err != nil {
		f.log.Warn("votes not found whole: silent for the longest lease", zap.Error(err))
	}
	voter := owner.NewVoter(f.config.Name, votes, complete, uint64(max(f.config.Now().UnixMilli(), 1)),
		f.config.Clock(), f.config.Timing)
	persistFailing := false
	for {
		var m owner.Message
		select {
		case <-ctx.Done():
			return
		case m = <-f.voteRequests:
		}
		if m.To != f.config.Name {
			continue
		}
		answers := voter.HandleMessage(m, f.config.Clock())
		if f.config.Folder != "" && slices.ContainsFunc(answers, func(answer owner.Message) bool { return answer.Sync }) {
			err := f.writeVotes(voter.Votes())
			if persistFailing != (err != nil) {
				persistFailing = err != nil
				if persistFailing {
					f.log.Error("votes cannot be persisted: this voter is silent until they can", zap.Error(err))
				} else {
					f.log.Info("votes are persisted again")
				}
			}
			if persistFailing {
				continue
			}
		}
		for _, answer := range answers {
			f.transport.Send(answer.To, encodeVoteMessage(answer))
		}
	}
}

// A voter's votes are stored in one file: the magic "VGP" and version 1, a CRC-32C of the JSON text, and the JSON
// text of a voteFile. The file is replaced atomically and synced before any answer that depends on it is sent. The file
// name, the magic and the JSON keys, such as "offices", are kept for compatibility with existing files.
const (
	voteFileMagic = "VGP\x01"
	voteFileName  = "promises"
)

// voteFile is the JSON content of the vote file.
type voteFile struct {
	Name          string                `json:"name"`
	WrittenMillis int64                 `json:"wrote_ms"` // when the file was written, in Unix time
	Roles         map[string]owner.Vote `json:"offices"`
}

// crcTable is the polynomial table of CRC-32C.
var crcTable = crc32.MakeTable(crc32.Castagnoli)

// writeVotes replaces the vote file with the given votes, by role. It returns nil only after the content is
// synced; after an error the caller must treat the votes as not persisted. The configured Folder must exist and must not be
// empty: an empty Folder disables persistence, which the caller checks.
func (f *Fleet) writeVotes(votes map[string]owner.Vote) error {
	text, err := json.Marshal(voteFile{f.config.Name, f.config.Now().UnixMilli(), votes})
	if err != nil {
		return err
	}
	header := binary.BigEndian.AppendUint32([]byte(voteFileMagic), crc32.Checksum(text, crcTable))
	return renameio.WriteFile(filepath.Join(f.config.Folder, voteFileName), append(header, text...), 0o600,
		renameio.WithTempDir(f.config.Folder))
}

var errCorruptVoteFile = errors.New("vote file is corrupt")

// readVotes reads the persisted votes. They are complete only if the file was written less than half a lease ago: an
// older file may be a copy, or may precede votes that were lost since. Lost votes expire with the longest lease.
func (f *Fleet) readVotes() (votes map[string]owner.Vote, complete bool, err error) {
	if f.config.Folder == "" {
		return nil, false, nil
	}
	path := filepath.Join(f.config.Folder, voteFileName)
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, false, nil
	}
	if err != nil {
		return nil, false, err
	}
	rest, ok := bytes.CutPrefix(text, []byte(voteFileMagic))
	if !ok || len(rest) < 4 || binary.BigEndian.Uint32(rest) != crc32.Checksum(rest[4:], crcTable) {
		return nil, false, fmt.Errorf("%s: %w", path, errCorruptVoteFile)
	}
	var file voteFile
	if err := json.Unmarshal(rest[4:], &file); err != nil {
		return nil, false, fmt.Errorf("%s: %w", path, err)
	}
	if file.Name != f.config.Name {
		return nil, false, fmt.Errorf("%s: the votes belong to %s", path, file.Name)
	}
	age := f.config.Now().Sub(time.UnixMilli(file.WrittenMillis)).Seconds()
	return file.Roles, age >= 0 && age < f.config.Timing.Lease/2, nil
}
