package configstore

import (
	"bytes"
	"errors"
	"io"
	"testing"
)

// A snapshot with valid checksums is either rejected, or equals the encoding of the table that is read from it.
func FuzzSnapshot(f *testing.F) {
	head := header{snapshotFile, testOwner, versionAt(9)}.encode()
	var file bytes.Buffer
	must(f, writeSnapshot(&file, testOwner, tableAt(f, 9), versionAt(9)))
	f.Add(file.Bytes()[len(head) : file.Len()-checksumBytes])
	f.Fuzz(func(t *testing.T, body []byte) {
		original := appendChecksum(append(bytes.Clone(head), body...))
		table, version, err := readSnapshot("f", bytes.NewReader(original), testOwner)
		if err != nil {
			if !isRejection(err) || table.Len() > 0 {
				t.Fatalf("read a table of %v with error %v", table, err)
			}
			return
		}
		var reencoded bytes.Buffer
		must(t, writeSnapshot(&reencoded, testOwner, table, version))
		if !bytes.Equal(reencoded.Bytes(), original) {
			t.Fatalf("%x is read, but written again as %x", original, reencoded.Bytes())
		}
	})
}

// Any bytes after a log's header yield entries in order, each with the same encoding as in the input, and then the end
// of the log or a rejection.
func FuzzLog(f *testing.F) {
	head := header{logFile, testOwner, Version{}}.encode()
	var records []byte
	for index := 1; index <= 3; index++ {
		records = appendRecord(records, testEntry(f, index))
	}
	f.Add(records, byte(0))
	f.Fuzz(func(t *testing.T, body []byte, start byte) {
		snapshot := Version{Index: uint64(start)}
		scan, err := newLogScanner("f", bytes.NewReader(append(bytes.Clone(head), body...)), testOwner, snapshot)
		must(t, err)
		for last := snapshot; ; last = scan.last {
			got, offset, err := scan.next()
			if err != nil {
				if err != io.EOF && !errors.Is(err, errTornRecord) && !isRejection(err) {
					t.Fatal(err)
				}
				return
			}
			if got.Index <= last.Index || got.Term < last.Term {
				t.Fatalf("entry %+v is out of order after %+v", got, last)
			}
			if reencoded := appendRecord(nil, got); !bytes.HasPrefix(body[int(offset)-len(head):], reencoded) {
				t.Fatalf("read %+v, but written again as %x", got, reencoded)
			}
		}
	})
}
