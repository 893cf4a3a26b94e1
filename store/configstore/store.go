// Package configstore keeps a configuration table on disk: a snapshot file, a log of the entries since, and the vote of a
// voter, in one folder of one app server. Every file carries the app server's name, a format and checksums. A file is taken
// whole or not at all; only a torn last record of the log, as an interrupted write leaves it, is cut off. A file that is
// damaged, of another format or of another app server is moved aside and reported, so that a start can go on without it.
package configstore

import (
	"valveglade/logic/configtable"
)

// Version is a place in the ordered log: the term of the leader that appended the entry, and its index.
type Version struct {
	Term, Index uint64
}

// Entry is one entry of the log as it is stored.
type Entry struct {
	Term     uint64
	Index    uint64 // above that of the entry before it; gaps are allowed, for an app server that takes some services only
	Previous uint64 // index of the previous entry of the service
	Service  string // may be empty, for an entry of the log's own
	Payload  []byte // at most MaxPayloadBytes
}

// MaxPayloadBytes bounds the payload of an entry; an encoded change is far below.
const MaxPayloadBytes = 16 << 10

// Vote is what a voter has promised.
type Vote struct {
	Term      uint64 // the highest term that it has seen
	Candidate string // for whom it voted in that term, or ""
}

// Recovered is what Open found.
type Recovered struct {
	Table     configtable.Table // of the snapshot, without the log's entries
	Version   Version           // of the snapshot
	Last      Version           // of the last entry, or of the snapshot if there is none after it
	Entries   int               // after the snapshot
	Vote      Vote
	TornBytes int64     // cut off the log's end
	Refused   []Refused // files moved aside
}

// Refused is a file that was not taken, and where it is now. A voter with a refused file may have lost what it acknowledged:
// it must not vote or campaign before it has a snapshot from the current leader and a term that is newer.
type Refused struct {
	Err     error // *DamageError, *FormatError, *OwnerError or *GapError
	MovedTo string
}

// Store is the folder of one app server. Its methods are not safe for concurrent use.
type Store struct {
}

// Open reads the folder of the app server called name, which is created if absent. The error is that of the file system;
// refused files are no error but reported in Recovered.
func Open(folder, name string) (*Store, *Recovered, error) { panic("not built yet") }

// ReadEntries calls visit for each entry after the snapshot whose index is at least from, in order, until visit returns an
// error, which it returns. One entry at a time is in memory; its payload is valid during the call only.
func (s *Store) ReadEntries(from uint64, visit func(Entry) error) error { panic("not built yet") }

// Append writes entries at the end of the log; they are durable after Sync. An entry that does not follow the last one gives
// an *OrderError and nothing is written.
func (s *Store) Append(entries []Entry) error { panic("not built yet") }

// Sync makes what was appended durable.
func (s *Store) Sync() error { panic("not built yet") }

// Truncate removes the entries from an index on, durably. Entries that the snapshot contains can not be removed.
func (s *Store) Truncate(from uint64) error { panic("not built yet") }

// Compact writes a snapshot, durably, and then a log with only the entries after it. Those are kept.
func (s *Store) Compact(table configtable.Table, version Version) error { panic("not built yet") }

// Install replaces everything by a snapshot from another app server: no entry after it is kept. The vote stays.
func (s *Store) Install(table configtable.Table, version Version) error { panic("not built yet") }

// SaveVote replaces the vote, durably.
func (s *Store) SaveVote(vote Vote) error { panic("not built yet") }

// LogBytes returns the size of the log file, for the decision when to compact.
func (s *Store) LogBytes() int64 { panic("not built yet") }

// Close closes the log file without making it durable.
func (s *Store) Close() error { panic("not built yet") }
