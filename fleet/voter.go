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

// vote answers candidates until ctx ends. It has a goroutine of its own: a slow disk keeps its answers, and nothing else.
func (f *Fleet) vote(ctx context.Context) {
	kept, whole, err := f.found()
	if err != nil {
		f.log.Warn("promises not found whole: silent for the longest lease", zap.Error(err))
	}
	voter := owner.NewVoter(f.seal.Name, kept, whole, uint64(max(f.seal.Now().UnixMilli(), 1)), f.seal.Clock(), f.seal.Span)
	failing := false
	for {
		var m owner.Message
		select {
		case <-ctx.Done():
			return
		case m = <-f.asked:
		}
		if m.To != f.seal.Name {
			continue
		}
		answers := voter.HandleMessage(m, f.seal.Clock())
		if f.seal.Folder != "" && slices.ContainsFunc(answers, func(a owner.Message) bool { return a.Sync }) {
			err := f.keep(voter.Votes())
			if failing != (err != nil) {
				failing = err != nil
				if failing {
					f.log.Error("promises cannot be kept: this voter is silent until they can", zap.Error(err))
				} else {
					f.log.Info("promises are kept again")
				}
			}
			if failing {
				continue
			}
		}
		for _, a := range answers {
			f.carrier.Send(a.To, encode(a))
		}
	}
}

// A voter's promises stand in one file: "VGP" 1, CRC-32C of the rest, and a JSON object. It is replaced whole, and synced
// before an answer that depends on it leaves.
const (
	promiseMagic = "VGP\x01"
	promiseFile  = "promises"
)

// promises is that object.
type promises struct {
	Name    string                `json:"name"`
	Wrote   int64                 `json:"wrote_ms"` // Unix time
	Offices map[string]owner.Vote `json:"offices"`
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func (f *Fleet) keep(kept map[string]owner.Vote) error {
	text, err := json.Marshal(promises{f.seal.Name, f.seal.Now().UnixMilli(), kept})
	if err != nil {
		return err
	}
	out := binary.BigEndian.AppendUint32([]byte(promiseMagic), crc32.Checksum(text, castagnoli))
	return renameio.WriteFile(filepath.Join(f.seal.Folder, promiseFile), append(out, text...), 0o600, renameio.WithTempDir(f.seal.Folder))
}

var errSpoilt = errors.New("the file is spoilt")

// found reads the promises from before. They are whole only if they were written less than a lease ago: what is older may be
// a copy, or may have been written before promises that were lost since; these are over once the longest lease is.
func (f *Fleet) found() (kept map[string]owner.Vote, whole bool, err error) {
	if f.seal.Folder == "" {
		return nil, false, nil
	}
	path := filepath.Join(f.seal.Folder, promiseFile)
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, false, nil
	}
	if err != nil {
		return nil, false, err
	}
	rest, ok := bytes.CutPrefix(text, []byte(promiseMagic))
	if !ok || len(rest) < 4 || binary.BigEndian.Uint32(rest) != crc32.Checksum(rest[4:], castagnoli) {
		return nil, false, fmt.Errorf("%s: %w", path, errSpoilt)
	}
	var p promises
	if err := json.Unmarshal(rest[4:], &p); err != nil {
		return nil, false, fmt.Errorf("%s: %w", path, err)
	}
	if p.Name != f.seal.Name {
		return nil, false, fmt.Errorf("%s: the promises are %s's", path, p.Name)
	}
	age := f.seal.Now().Sub(time.UnixMilli(p.Wrote)).Seconds()
	return p.Offices, age >= 0 && age < f.seal.Span.Lease/2, nil
}
