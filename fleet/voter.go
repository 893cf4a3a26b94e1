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

// serveVotes answers candidates until ctx ends. It has a goroutine of its own: a slow disk keeps its answers, and nothing else.
func (f *Fleet) serveVotes(ctx context.Context) {
	votes, whole, err := f.readVotes()
	if err != nil {
		f.log.Warn("votes not found whole: silent for the longest lease", zap.Error(err))
	}
	voter := owner.NewVoter(f.config.Name, votes, whole, uint64(max(f.config.Now().UnixMilli(), 1)), f.config.Clock(), f.config.Timing)
	failing := false
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
		if f.config.Folder != "" && slices.ContainsFunc(answers, func(a owner.Message) bool { return a.Sync }) {
			err := f.writeVotes(voter.Votes())
			if failing != (err != nil) {
				failing = err != nil
				if failing {
					f.log.Error("votes cannot be persisted: this voter is silent until they can", zap.Error(err))
				} else {
					f.log.Info("votes are persisted again")
				}
			}
			if failing {
				continue
			}
		}
		for _, a := range answers {
			f.transport.Send(a.To, encode(a))
		}
	}
}

// A voter's votes are in one file: "VGP" 1, CRC-32C of the rest, and a JSON object. It is replaced whole, and synced
// before an answer that depends on it leaves.
const (
	voteFileMagic = "VGP\x01"
	voteFileName  = "promises"
)

// voteFile is that object.
type voteFile struct {
	Name  string                `json:"name"`
	Wrote int64                 `json:"wrote_ms"` // Unix time
	Roles map[string]owner.Vote `json:"offices"`
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func (f *Fleet) writeVotes(votes map[string]owner.Vote) error {
	text, err := json.Marshal(voteFile{f.config.Name, f.config.Now().UnixMilli(), votes})
	if err != nil {
		return err
	}
	out := binary.BigEndian.AppendUint32([]byte(voteFileMagic), crc32.Checksum(text, castagnoli))
	return renameio.WriteFile(filepath.Join(f.config.Folder, voteFileName), append(out, text...), 0o600, renameio.WithTempDir(f.config.Folder))
}

var errCorrupt = errors.New("the file is corrupt")

// readVotes reads the votes from before. They are whole only if they were written less than a lease ago: what is older may be
// a copy, or may have been written before votes that were lost since; these are over once the longest lease is.
func (f *Fleet) readVotes() (votes map[string]owner.Vote, whole bool, err error) {
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
	if !ok || len(rest) < 4 || binary.BigEndian.Uint32(rest) != crc32.Checksum(rest[4:], castagnoli) {
		return nil, false, fmt.Errorf("%s: %w", path, errCorrupt)
	}
	var p voteFile
	if err := json.Unmarshal(rest[4:], &p); err != nil {
		return nil, false, fmt.Errorf("%s: %w", path, err)
	}
	if p.Name != f.config.Name {
		return nil, false, fmt.Errorf("%s: the votes are %s's", path, p.Name)
	}
	age := f.config.Now().Sub(time.UnixMilli(p.Wrote)).Seconds()
	return p.Roles, age >= 0 && age < f.config.Timing.Lease/2, nil
}
