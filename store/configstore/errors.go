package configstore

import "fmt"

// CorruptionError reports a file whose contents fail their checksum or are not valid.
type CorruptionError struct {
	Path   string
	Offset int64
	Reason string
}

func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s: byte %d: %s", e.Path, e.Offset, e.Reason)
}

// FormatError reports a file of another kind or of an unknown format version.
type FormatError struct {
	Path   string
	Format uint32 // 0 if the file does not begin with the magic bytes and the expected file kind
}

func (e *FormatError) Error() string {
	if e.Format == 0 {
		return e.Path + ": not a file of a configuration store"
	}
	return fmt.Sprintf("%s: unknown format version %d", e.Path, e.Format)
}

// OwnerError reports a file that another app server wrote.
type OwnerError struct {
	Path  string
	Owner string // the app server named in the file's header
	Want  string // the app server that opened the store
}

func (e *OwnerError) Error() string {
	return fmt.Sprintf("%s: written by app server %q, not %q", e.Path, e.Owner, e.Want)
}

// GapError reports a log that begins after the end of the snapshot, so that entries between them are missing.
type GapError struct {
	Path        string
	LogStart    Version // the log begins after it
	SnapshotEnd Version // the last version in the snapshot
}

func (e *GapError) Error() string {
	return fmt.Sprintf("%s: begins after index %d, the snapshot ends at %d", e.Path, e.LogStart.Index, e.SnapshotEnd.Index)
}

// OrderError reports an entry whose index or term is out of order.
type OrderError struct {
	Last Version // of the last entry, or of the snapshot
	Next Version // of the rejected entry
}

func (e *OrderError) Error() string {
	return fmt.Sprintf("entry %d of term %d does not follow entry %d of term %d",
		e.Next.Index, e.Next.Term, e.Last.Index, e.Last.Term)
}

// SizeError reports an entry that is too large.
type SizeError struct {
	Service int // bytes of the service's name
	Payload int // bytes of the payload
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("service of %d bytes or payload of %d bytes is too large", e.Service, e.Payload)
}

// NameError reports an app server's name that is too long to store.
type NameError struct {
	Name string
}

func (e *NameError) Error() string {
	return fmt.Sprintf("name of %d bytes is too long, the maximum is 255", len(e.Name))
}
