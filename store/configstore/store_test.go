package configstore

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"valveglade/logic/configtable"
)

// testOwner is the app server whose files the tests write.
const testOwner = "n1"

// committedChange returns the change at index: the changes spread over three services, their quotas increase, and every
// fifth change is a delete.
func committedChange(index int) configtable.CommittedChange {
	change := configtable.Change{Operation: configtable.Put, Kind: configtable.Tenant,
		Service: fmt.Sprintf("s%d", index%3), Name: fmt.Sprintf("t%d", index%7)}
	if index%5 == 4 {
		change.Operation = configtable.Delete
	} else {
		change.Value.Tenant.QuotaPerSecond = float64(index)
	}
	return configtable.CommittedChange{Index: uint64(index), Change: change}
}

// testEntry returns the log entry of the change at index. The term increases every ten entries.
func testEntry(t testing.TB, index int) Entry {
	change := committedChange(index).Change
	payload, err := change.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return Entry{Term: uint64(1 + index/10), Index: uint64(index), Previous: uint64(max(index-3, 0)),
		Service: change.Service, Payload: payload}
}

// tableAt returns the table after the changes from 1 to last.
func tableAt(t testing.TB, last int) configtable.Table {
	var table configtable.Table
	for index := 1; index <= last; index++ {
		var err error
		if table, err = table.Apply([]configtable.CommittedChange{committedChange(index)}); err != nil {
			t.Fatal(err)
		}
	}
	return table
}

// versionAt returns the version of the entry at index.
func versionAt(index int) Version { return Version{Term: uint64(1 + index/10), Index: uint64(index)} }

func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func openStore(t testing.TB, folder string) (*Store, *Recovered) {
	t.Helper()
	store, recovered, err := Open(folder, testOwner)
	must(t, err)
	t.Cleanup(func() { store.Close() })
	return store, recovered
}

// contents opens a folder and returns the table after all its entries and the last index. It checks that
// every entry read is equal to the entry written.
func contents(t testing.TB, folder string) (table configtable.Table, last int, recovered *Recovered) {
	t.Helper()
	store, recovered := openStore(t, folder)
	table, last = recovered.Table, int(recovered.Version.Index)
	must(t, store.ReadEntries(0, func(got Entry) error {
		want := testEntry(t, last+1)
		if got.Term != want.Term || got.Index != want.Index || got.Previous != want.Previous ||
			got.Service != want.Service || !bytes.Equal(got.Payload, want.Payload) {
			t.Fatalf("read entry %+v, want %+v", got, want)
		}
		change, err := configtable.Decode(got.Payload)
		must(t, err)
		last++
		table, err = table.Apply([]configtable.CommittedChange{{Index: got.Index, Change: change}})
		return err
	}))
	if recovered.Last.Index != uint64(last) || recovered.Entries != last-int(recovered.Version.Index) {
		t.Fatalf("recovered %+v, but the last entry read is %d", recovered, last)
	}
	return table, last, recovered
}

// checkPrefix checks that a folder holds the result of a prefix of the changes, and returns the length of the prefix.
func checkPrefix(t testing.TB, folder string) (int, *Recovered) {
	t.Helper()
	table, last, recovered := contents(t, folder)
	if want := tableAt(t, last); table.Digest() != want.Digest() || table.Len() != want.Len() {
		t.Fatalf("after %d entries the table is %v, want %v", last, table, want)
	}
	for service, index := range tableAt(t, last).Services() {
		if table.LastIndex(service) != index {
			t.Fatalf("last index of %s is %d, want %d", service, table.LastIndex(service), index)
		}
	}
	return last, recovered
}

// populatedFolder returns a folder with a snapshot of the entries up to snapshot, a log of the entries after it up to
// last, and a vote.
func populatedFolder(t testing.TB, snapshot, last int) string {
	folder := t.TempDir()
	store, _ := openStore(t, folder)
	for index := 1; index <= last; index++ {
		must(t, store.Append([]Entry{testEntry(t, index)}))
		if index == snapshot {
			must(t, store.Compact(tableAt(t, index), versionAt(index)))
		}
	}
	must(t, store.Sync())
	must(t, store.SaveVote(Vote{Term: 9, Candidate: "n2"}))
	return folder
}

// copyFolder returns the path of a copy of a folder.
func copyFolder(t testing.TB, folder string) string {
	target := filepath.Join(t.TempDir(), "copy")
	must(t, os.CopyFS(target, os.DirFS(folder)))
	return target
}

// A log truncated at any byte recovers a prefix of its entries and accepts further entries.
func TestLogTruncatedAtEveryByte(t *testing.T) {
	t.Parallel()
	folder := populatedFolder(t, 6, 12)
	original, err := os.ReadFile(filepath.Join(folder, logName))
	must(t, err)
	ends := recordEnds(t)
	target := copyFolder(t, folder)
	for cut := range original {
		must(t, os.WriteFile(filepath.Join(target, logName), original[:cut], 0o600))
		last, recovered := checkPrefix(t, target)
		if want := 6 + completeRecords(ends, cut); last != want {
			t.Fatalf("cut at %d: %d entries, want %d", cut, last, want)
		}
		if headerEnd := ends[0]; (cut < headerEnd) != (len(recovered.RejectedFiles) == 1) ||
			cut >= headerEnd && recovered.TornBytes != int64(cut-completeBytes(ends, cut)) {
			t.Fatalf("cut at %d: rejected %v, %d torn bytes", cut, recovered.RejectedFiles, recovered.TornBytes)
		}
		store, _ := openStore(t, target)
		must(t, store.Append([]Entry{testEntry(t, last+1)}))
		if afterAppend, _ := checkPrefix(t, target); afterAppend != last+1 {
			t.Fatalf("cut at %d: %d entries after one more was appended", cut, afterAppend)
		}
	}
}

// recordEnds returns the offsets after the header and after each record of the log of populatedFolder(t, 6, 12).
func recordEnds(t testing.TB) []int {
	ends := []int{len(header{logFile, testOwner, versionAt(6)}.encode())}
	for index := 7; index <= 12; index++ {
		ends = append(ends, ends[len(ends)-1]+len(appendRecord(nil, testEntry(t, index))))
	}
	return ends
}

// completeRecords returns the number of records that are complete in the first cut bytes of the log.
func completeRecords(ends []int, cut int) int {
	count := 0
	for _, end := range ends[1:] {
		if end <= cut {
			count++
		}
	}
	return count
}

// completeBytes returns the size of the header and of the records that are complete in the first cut bytes of the log.
func completeBytes(ends []int, cut int) int { return ends[completeRecords(ends, cut)] }

// A file with a changed byte is moved aside, except that a changed last record of the log is truncated, as it cannot be
// distinguished from a torn write.
func TestCorruptByte(t *testing.T) {
	t.Parallel()
	folder := populatedFolder(t, 6, 12)
	ends := recordEnds(t)
	lastBody := ends[len(ends)-2] + recordHeaderBytes
	for _, name := range []string{snapshotName, logName, voteName} {
		original, err := os.ReadFile(filepath.Join(folder, name))
		must(t, err)
		for offset := range original {
			target := copyFolder(t, folder)
			changed := bytes.Clone(original)
			changed[offset] ^= 0x10
			must(t, os.WriteFile(filepath.Join(target, name), changed, 0o600))
			last, recovered := checkPrefix(t, target)
			want, wantRejected := 12, name
			switch {
			case name == logName && offset >= lastBody:
				want, wantRejected = 11, ""
			case name == logName:
				want = 6
			case name == snapshotName:
				want, wantRejected = 0, snapshotName+logName // without the snapshot, the log has a gap before it
			}
			movedNames := ""
			for _, rejectedFile := range recovered.RejectedFiles {
				movedNames += filepath.Base(rejectedFile.MovedTo[:len(rejectedFile.MovedTo)-len(rejectedSuffix)])
			}
			if last != want || movedNames != wantRejected || (recovered.Vote == Vote{9, "n2"}) == (name == voteName) {
				t.Fatalf("%s byte %d: %d entries, vote %v, rejected %v",
					name, offset, last, recovered.Vote, recovered.RejectedFiles)
			}
		}
	}
}

// A compaction that is interrupted after any step loses no entries, and Open removes its temporary files. Appends may
// continue while a snapshot is written.
func TestInterruptedCompaction(t *testing.T) {
	folder := populatedFolder(t, 6, 18)
	store, _ := openStore(t, folder)
	check := func(step string, snapshot uint64) {
		t.Helper()
		target := copyFolder(t, folder)
		must(t, os.WriteFile(filepath.Join(target, "."+snapshotName+"123"), []byte("vgcs"), 0o600))
		last, recovered := checkPrefix(t, target)
		files, _ := filepath.Glob(filepath.Join(target, ".*"))
		if last != 18 || recovered.Version.Index != snapshot ||
			len(recovered.RejectedFiles) > 0 || recovered.Vote.Term != 9 || len(files) > 0 {
			t.Fatalf("%s: %d entries, recovered %+v, temporary files %v", step, last, recovered, files)
		}
	}
	check("before", 6)
	must(t, store.WriteSnapshot(tableAt(t, 12), versionAt(12)))
	check("snapshot written", 12)
	must(t, store.TrimLog(versionAt(12)))
	check("log trimmed", 12)
	must(t, store.Compact(tableAt(t, 18), versionAt(18)))
	check("all in the snapshot", 18)
	written := make(chan error)
	go func() { written <- store.WriteSnapshot(tableAt(t, 18), versionAt(18)) }()
	for index := 19; index <= 30; index++ { // concurrently with WriteSnapshot
		must(t, store.Append([]Entry{testEntry(t, index)}))
		must(t, store.Sync())
	}
	must(t, <-written)
	if last, _ := checkPrefix(t, copyFolder(t, folder)); last != 30 {
		t.Fatalf("%d entries after appends during a snapshot, want 30", last)
	}
}

// An installed snapshot replaces the table and the log, also after an interrupted InstallSnapshot and where the log has
// entries that the snapshot does not contain.
func TestInterruptedInstall(t *testing.T) {
	folder := populatedFolder(t, 6, 18)
	store, _ := openStore(t, folder)
	must(t, store.Truncate(13))
	if last, _ := checkPrefix(t, copyFolder(t, folder)); last != 12 {
		t.Fatalf("%d entries, want 12", last)
	}
	must(t, store.Truncate(13))
	must(t, store.WriteSnapshot(tableAt(t, 12), versionAt(12)))
	if last, recovered := checkPrefix(t, copyFolder(t, folder)); last != 12 || recovered.Entries != 0 {
		t.Fatalf("%d entries, want 12 in the snapshot alone; recovered %+v", last, recovered)
	}
	must(t, store.InstallSnapshot(tableAt(t, 30), versionAt(30)))
	if last, recovered := checkPrefix(t, copyFolder(t, folder)); last != 30 ||
		recovered.Entries != 0 || recovered.Vote.Term != 9 {
		t.Fatalf("%d entries, want 30 in the snapshot alone and a vote of term 9; recovered %+v", last, recovered)
	}
	var orderErr *OrderError
	for _, err := range []error{store.InstallSnapshot(tableAt(t, 6), versionAt(6)),
		store.Truncate(30), store.Append([]Entry{testEntry(t, 30)}),
		store.Append([]Entry{{Term: 1, Index: 31}}), store.Append([]Entry{testEntry(t, 32), testEntry(t, 31)})} {
		if !errors.As(err, &orderErr) {
			t.Errorf("%v is not an *OrderError", err)
		}
	}
	var sizeErr *SizeError
	if err := store.Append([]Entry{
		{Term: 9, Index: 31, Payload: make([]byte, MaxPayloadBytes+1)},
	}); !errors.As(err, &sizeErr) {
		t.Errorf("%v is not a *SizeError", err)
	}
	if last, _ := checkPrefix(t, folder); last != 30 {
		t.Errorf("%d entries after rejected calls, want 30", last)
	}
}

// Files of another app server or format, and a log without its snapshot, are moved aside, each with its typed error.
// The recovered state has no entries and no vote in their place.
func TestOpenForeignFiles(t *testing.T) {
	folder := populatedFolder(t, 6, 12)
	store, recovered, err := Open(copyFolder(t, folder), "n2")
	must(t, err)
	store.Close()
	var ownerErr *OwnerError
	if len(recovered.RejectedFiles) != 3 || recovered.Last != (Version{}) ||
		recovered.Vote != (Vote{}) || recovered.Table.Len() != 0 {
		t.Errorf("files of another app server: recovered %+v", recovered)
	}
	if !slices.ContainsFunc(recovered.RejectedFiles, func(rejectedFile RejectedFile) bool {
		return errors.As(rejectedFile.Err, &ownerErr) && ownerErr.Owner == testOwner
	}) {
		t.Errorf("no *OwnerError in the rejected files %v", recovered.RejectedFiles)
	}
	must(t, os.Remove(filepath.Join(folder, snapshotName)))
	must(t, os.WriteFile(filepath.Join(folder, voteName), []byte("vgcs\x02\x00\x00\x00V\x00"), 0o600))
	_, recovered = openStore(t, folder)
	var gapErr *GapError
	var formatErr *FormatError
	if len(recovered.RejectedFiles) != 2 || !errors.As(recovered.RejectedFiles[0].Err, &formatErr) ||
		formatErr.Format != 2 || !errors.As(recovered.RejectedFiles[1].Err, &gapErr) || recovered.Last != (Version{}) {
		t.Errorf("no snapshot and a vote of a later format: recovered %+v", recovered)
	}
}

// After a failed compaction the log accepts entries. Once the open log is no longer the file in the folder,
// writes fail.
func TestFailedCompaction(t *testing.T) {
	folder := populatedFolder(t, 6, 18)
	store, _ := openStore(t, folder)
	must(t, os.Rename(filepath.Join(folder, snapshotName), filepath.Join(folder, "aside")))
	must(t, os.Mkdir(filepath.Join(folder, snapshotName), 0o700))
	if err := store.Compact(tableAt(t, 18), versionAt(18)); err == nil {
		t.Fatal("a snapshot replaced a folder")
	}
	must(t, store.Append([]Entry{testEntry(t, 19)}))
	must(t, os.Remove(filepath.Join(folder, snapshotName)))
	must(t, os.Rename(filepath.Join(folder, "aside"), filepath.Join(folder, snapshotName)))
	if last, _ := checkPrefix(t, copyFolder(t, folder)); last != 19 {
		t.Fatalf("%d entries, want 19", last)
	}
	must(t, os.Remove(filepath.Join(folder, logName)))
	must(t, os.Mkdir(filepath.Join(folder, logName), 0o700))
	if store.Compact(tableAt(t, 18), versionAt(18)) == nil ||
		store.Append([]Entry{testEntry(t, 20)}) == nil || store.Sync() == nil {
		t.Fatal("a write succeeded, but the open log is not the file in the folder")
	}
}
