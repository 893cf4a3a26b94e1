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

const owner = "n1"

// committed returns the k-th change of the tests: three services, increasing quotas, and every fifth change a delete.
func committed(k int) configtable.CommittedChange {
	change := configtable.Change{Operation: configtable.Put, Kind: configtable.Tenant, Service: fmt.Sprintf("s%d", k%3), Name: fmt.Sprintf("t%d", k%7)}
	if k%5 == 4 {
		change.Operation = configtable.Delete
	} else {
		change.Value.Tenant.QuotaPerSecond = float64(k)
	}
	return configtable.CommittedChange{Index: uint64(k), Change: change}
}

func entry(t testing.TB, k int) Entry {
	change := committed(k).Change
	payload, err := change.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return Entry{Term: uint64(1 + k/10), Index: uint64(k), Previous: uint64(max(k-3, 0)), Service: change.Service, Payload: payload}
}

// tableAt returns the table after the first changes, up to last.
func tableAt(t testing.TB, last int) configtable.Table {
	var table configtable.Table
	for k := 1; k <= last; k++ {
		var err error
		if table, err = table.Apply([]configtable.CommittedChange{committed(k)}); err != nil {
			t.Fatal(err)
		}
	}
	return table
}

func versionAt(k int) Version { return Version{Term: uint64(1 + k/10), Index: uint64(k)} }

func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func open(t testing.TB, folder string) (*Store, *Recovered) {
	t.Helper()
	store, found, err := Open(folder, owner)
	must(t, err)
	t.Cleanup(func() { store.Close() })
	return store, found
}

// contents opens a folder and returns the table after all its entries and the last index. It compares every entry with
// the one that was written.
func contents(t testing.TB, folder string) (table configtable.Table, last int, found *Recovered) {
	t.Helper()
	store, found := open(t, folder)
	table, last = found.Table, int(found.Version.Index)
	must(t, store.ReadEntries(0, func(got Entry) error {
		want := entry(t, last+1)
		if got.Term != want.Term || got.Index != want.Index || got.Previous != want.Previous || got.Service != want.Service || !bytes.Equal(got.Payload, want.Payload) {
			t.Fatalf("entry %+v, want %+v", got, want)
		}
		change, err := configtable.Decode(got.Payload)
		must(t, err)
		last++
		table, err = table.Apply([]configtable.CommittedChange{{Index: got.Index, Change: change}})
		return err
	}))
	if found.Last.Index != uint64(last) || found.Entries != last-int(found.Version.Index) {
		t.Fatalf("found %+v, read up to %d", found, last)
	}
	return table, last, found
}

// checkPrefix checks that a folder holds the result of a prefix of the changes, and returns the length of the prefix.
func checkPrefix(t testing.TB, folder string) (int, *Recovered) {
	t.Helper()
	table, last, found := contents(t, folder)
	if want := tableAt(t, last); table.Digest() != want.Digest() || table.Len() != want.Len() {
		t.Fatalf("after %d entries the table is %v, want %v", last, table, want)
	}
	for service, index := range tableAt(t, last).Services() {
		if table.LastIndex(service) != index {
			t.Fatalf("last index of %s is %d, want %d", service, table.LastIndex(service), index)
		}
	}
	return last, found
}

// filled returns a folder with a snapshot of the first entries, a vote, and a log of the entries after it up to last.
func filled(t testing.TB, snapshot, last int) string {
	folder := t.TempDir()
	store, _ := open(t, folder)
	for k := 1; k <= last; k++ {
		must(t, store.Append([]Entry{entry(t, k)}))
		if k == snapshot {
			must(t, store.Compact(tableAt(t, k), versionAt(k)))
		}
	}
	must(t, store.Sync())
	must(t, store.SaveVote(Vote{Term: 9, Candidate: "n2"}))
	return folder
}

func copied(t testing.TB, folder string) string {
	target := filepath.Join(t.TempDir(), "copy")
	must(t, os.CopyFS(target, os.DirFS(folder)))
	return target
}

// A log truncated at any byte recovers a prefix of its entries and accepts further ones.
func TestLogCutAtEveryByte(t *testing.T) {
	t.Parallel()
	folder := filled(t, 6, 12)
	original, err := os.ReadFile(filepath.Join(folder, logName))
	must(t, err)
	ends := recordEnds(t)
	target := copied(t, folder)
	for cut := range original {
		must(t, os.WriteFile(filepath.Join(target, logName), original[:cut], 0o600))
		last, found := checkPrefix(t, target)
		if want := 6 + countBelow(ends, cut); last != want {
			t.Fatalf("cut at %d: %d entries, want %d", cut, last, want)
		}
		if header := ends[0]; (cut < header) != (len(found.RejectedFiles) == 1) || cut >= header && found.TornBytes != int64(cut-largestBelow(ends, cut)) {
			t.Fatalf("cut at %d: rejected %v, torn %d", cut, found.RejectedFiles, found.TornBytes)
		}
		store, _ := open(t, target)
		must(t, store.Append([]Entry{entry(t, last+1)}))
		if again, _ := checkPrefix(t, target); again != last+1 {
			t.Fatalf("cut at %d: %d entries after one more", cut, again)
		}
	}
}

// recordEnds returns the offsets after the header and after each record of the log of filled(6, 12).
func recordEnds(t testing.TB) []int {
	ends := []int{len(header{logFile, owner, versionAt(6)}.encode())}
	for k := 7; k <= 12; k++ {
		ends = append(ends, ends[len(ends)-1]+len(appendRecord(nil, entry(t, k))))
	}
	return ends
}

func countBelow(ends []int, cut int) int {
	count := 0
	for _, end := range ends[1:] {
		if end <= cut {
			count++
		}
	}
	return count
}

func largestBelow(ends []int, cut int) int { return ends[countBelow(ends, cut)] }

// A file with a changed byte is moved aside, except that a changed last record of the log is truncated, as it cannot be
// distinguished from a torn write.
func TestEveryByteChanged(t *testing.T) {
	t.Parallel()
	folder := filled(t, 6, 12)
	ends := recordEnds(t)
	lastBody := ends[len(ends)-2] + recordHeaderBytes
	for _, name := range []string{snapshotName, logName, voteName} {
		original, err := os.ReadFile(filepath.Join(folder, name))
		must(t, err)
		for at := range original {
			target := copied(t, folder)
			changed := bytes.Clone(original)
			changed[at] ^= 0x10
			must(t, os.WriteFile(filepath.Join(target, name), changed, 0o600))
			last, found := checkPrefix(t, target)
			want, rejected := 12, name
			switch {
			case name == logName && at >= lastBody:
				want, rejected = 11, ""
			case name == logName:
				want = 6
			case name == snapshotName:
				want, rejected = 0, snapshotName+logName // the log follows the rejected snapshot
			}
			moved := ""
			for _, one := range found.RejectedFiles {
				moved += filepath.Base(one.MovedTo[:len(one.MovedTo)-len(rejectedSuffix)])
			}
			if last != want || moved != rejected || (found.Vote == Vote{9, "n2"}) == (name == voteName) {
				t.Fatalf("%s byte %d: %d entries, vote %v, rejected %v", name, at, last, found.Vote, found.RejectedFiles)
			}
		}
	}
}

// A compaction interrupted after any step loses no entries, and its temporary files are removed. Appends may continue
// while a snapshot is written.
func TestCompactionStopped(t *testing.T) {
	folder := filled(t, 6, 18)
	store, _ := open(t, folder)
	check := func(step string, snapshot uint64) {
		t.Helper()
		target := copied(t, folder)
		must(t, os.WriteFile(filepath.Join(target, "."+snapshotName+"123"), []byte("vgcs"), 0o600))
		last, found := checkPrefix(t, target)
		files, _ := filepath.Glob(filepath.Join(target, ".*"))
		if last != 18 || found.Version.Index != snapshot || len(found.RejectedFiles) > 0 || found.Vote.Term != 9 || len(files) > 0 {
			t.Fatalf("%s: %d entries, %+v, %v", step, last, found, files)
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
	for k := 19; k <= 30; k++ { // appends continue while a snapshot is written
		must(t, store.Append([]Entry{entry(t, k)}))
		must(t, store.Sync())
	}
	must(t, <-written)
	if last, _ := checkPrefix(t, copied(t, folder)); last != 30 {
		t.Fatalf("%d entries after more", last)
	}
}

// An installed snapshot replaces the table and the log, also after an interrupted InstallSnapshot and where the log has
// entries that the snapshot does not contain.
func TestInstallStopped(t *testing.T) {
	folder := filled(t, 6, 18)
	store, _ := open(t, folder)
	must(t, store.Truncate(13))
	if last, _ := checkPrefix(t, copied(t, folder)); last != 12 {
		t.Fatalf("%d entries, want 12", last)
	}
	must(t, store.Truncate(13))
	must(t, store.WriteSnapshot(tableAt(t, 12), versionAt(12)))
	if last, found := checkPrefix(t, copied(t, folder)); last != 12 || found.Entries != 0 {
		t.Fatalf("%d entries, %+v", last, found)
	}
	must(t, store.InstallSnapshot(tableAt(t, 30), versionAt(30)))
	if last, found := checkPrefix(t, copied(t, folder)); last != 30 || found.Entries != 0 || found.Vote.Term != 9 {
		t.Fatalf("%d entries, %+v", last, found)
	}
	var order *OrderError
	for _, err := range []error{store.InstallSnapshot(tableAt(t, 6), versionAt(6)), store.Truncate(30), store.Append([]Entry{entry(t, 30)}),
		store.Append([]Entry{{Term: 1, Index: 31}}), store.Append([]Entry{entry(t, 32), entry(t, 31)})} {
		if !errors.As(err, &order) {
			t.Errorf("%v is not an *OrderError", err)
		}
	}
	var size *SizeError
	if err := store.Append([]Entry{{Term: 9, Index: 31, Payload: make([]byte, MaxPayloadBytes+1)}}); !errors.As(err, &size) {
		t.Errorf("%v is not a *SizeError", err)
	}
	if last, _ := checkPrefix(t, folder); last != 30 {
		t.Errorf("%d entries after rejected ones", last)
	}
}

// Files of another app server or format, and a log without its snapshot, are moved aside, each with its typed error.
// The recovered state does not invent entries in their place.
func TestFilesOfOthers(t *testing.T) {
	folder := filled(t, 6, 12)
	store, found, err := Open(copied(t, folder), "n2")
	must(t, err)
	store.Close()
	var other *OwnerError
	if len(found.RejectedFiles) != 3 || found.Last != (Version{}) || found.Vote != (Vote{}) || found.Table.Len() != 0 {
		t.Errorf("of another app server: %+v", found)
	}
	if !slices.ContainsFunc(found.RejectedFiles, func(one RejectedFile) bool { return errors.As(one.Err, &other) && other.Owner == owner }) {
		t.Errorf("rejected: %v", found.RejectedFiles)
	}
	must(t, os.Remove(filepath.Join(folder, snapshotName)))
	must(t, os.WriteFile(filepath.Join(folder, voteName), []byte("vgcs\x02\x00\x00\x00V\x00"), 0o600))
	_, found = open(t, folder)
	var gap *GapError
	var format *FormatError
	if len(found.RejectedFiles) != 2 || !errors.As(found.RejectedFiles[0].Err, &format) || format.Format != 2 || !errors.As(found.RejectedFiles[1].Err, &gap) || found.Last != (Version{}) {
		t.Errorf("without the snapshot, with a vote of a later format: %+v", found)
	}
}

// After a failed compaction the log stays usable. Once the open log is no longer the file in the folder, writes fail.
func TestCompactionFails(t *testing.T) {
	folder := filled(t, 6, 18)
	store, _ := open(t, folder)
	must(t, os.Rename(filepath.Join(folder, snapshotName), filepath.Join(folder, "aside")))
	must(t, os.Mkdir(filepath.Join(folder, snapshotName), 0o700))
	if err := store.Compact(tableAt(t, 18), versionAt(18)); err == nil {
		t.Fatal("a snapshot takes the place of a folder")
	}
	must(t, store.Append([]Entry{entry(t, 19)}))
	must(t, os.Remove(filepath.Join(folder, snapshotName)))
	must(t, os.Rename(filepath.Join(folder, "aside"), filepath.Join(folder, snapshotName)))
	if last, _ := checkPrefix(t, copied(t, folder)); last != 19 {
		t.Fatalf("%d entries, want 19", last)
	}
	must(t, os.Remove(filepath.Join(folder, logName)))
	must(t, os.Mkdir(filepath.Join(folder, logName), 0o700))
	if store.Compact(tableAt(t, 18), versionAt(18)) == nil || store.Append([]Entry{entry(t, 20)}) == nil || store.Sync() == nil {
		t.Fatal("written to a log that is not in the folder")
	}
}
