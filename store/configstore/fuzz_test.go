package configstore

import (
	"bytes"
	"errors"
	"io"
	"testing"
)

// A snapshot with valid checksums is either rejected, or equals the encoding of the table that is read from it.
func FuzzSnapshot(f *testing.F) {
	head := header{snapshotFile, owner, versionAt(9)}.encode()
	var file bytes.Buffer
	must(f, writeSnapshot(&file, owner, tableAt(f, 9), versionAt(9)))
	f.Add(file.Bytes()[len(head) : file.Len()-checksumBytes])
	f.Fuzz(func(t *testing.T, body []byte) {
		original := appendChecksum(append(bytes.Clone(head), body...))
		table, version, err := readSnapshot("f", bytes.NewReader(original), owner)
		if err != nil {
			if !isRejection(err) || table.Len() > 0 {
				t.Fatalf("%v with %v", table, err)
			}
			return
		}
		var again bytes.Buffer
		must(t, writeSnapshot(&again, owner, table, version))
		if !bytes.Equal(again.Bytes(), original) {
			t.Fatalf("%x is read, and written as %x", original, again.Bytes())
		}
	})
}

// Any bytes after a log's header yield entries in order, each with the same encoding as in the input, and then the end
// of the log or a rejection.
func FuzzLog(f *testing.F) {
	head := header{logFile, owner, Version{}}.encode()
	var records []byte
	for k := 1; k <= 3; k++ {
		records = appendRecord(records, entry(f, k))
	}
	f.Add(records, byte(0))
	f.Fuzz(func(t *testing.T, body []byte, start byte) {
		snapshot := Version{Index: uint64(start)}
		scan, err := newLogScanner("f", bytes.NewReader(append(bytes.Clone(head), body...)), owner, snapshot)
		must(t, err)
		for last := snapshot; ; last = scan.last {
			got, at, err := scan.next()
			if err != nil {
				if err != io.EOF && !errors.Is(err, errTornRecord) && !isRejection(err) {
					t.Fatal(err)
				}
				return
			}
			if got.Index <= last.Index || got.Term < last.Term {
				t.Fatalf("%+v after %+v", got, last)
			}
			if again := appendRecord(nil, got); !bytes.HasPrefix(body[int(at)-len(head):], again) {
				t.Fatalf("read %+v, written as %x", got, again)
			}
		}
	})
}
