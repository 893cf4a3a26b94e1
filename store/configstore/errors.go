package configstore

import "fmt"

// CorruptionError reports a file whose contents do not match their checksum or their own rules.
type CorruptionError struct {
	Path   string
	Offset int64
	Reason string
}

func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s: byte %d: %s", e.Path, e.Offset, e.Reason)
}

// FormatError reports a file that is not of this kind or of a format that is not known.
type FormatError struct {
	Path   string
	Format uint32 // 0 if the file does not begin as one of ours
}

func (e *FormatError) Error() string {
	if e.Format == 0 {
		return e.Path + ": not a file of a configuration store"
	}
	return fmt.Sprintf("%s: format %d is not known", e.Path, e.Format)
}

// OwnerError reports a file that another app server wrote.
type OwnerError struct {
	Path, Owner, Want string
}

func (e *OwnerError) Error() string {
	return fmt.Sprintf("%s: written by app server %q, not %q", e.Path, e.Owner, e.Want)
}

// GapError reports a log that begins after the snapshot ends.
type GapError struct {
	Path                  string
	LogStart, SnapshotEnd Version // where the log begins, and how far the snapshot reaches
}

func (e *GapError) Error() string {
	return fmt.Sprintf("%s: begins after index %d, the snapshot ends at %d", e.Path, e.LogStart.Index, e.SnapshotEnd.Index)
}

// OrderError reports an entry that does not follow the last one.
type OrderError struct {
	Last, Next Version
}

func (e *OrderError) Error() string {
	return fmt.Sprintf("entry %d of term %d does not follow entry %d of term %d", e.Next.Index, e.Next.Term, e.Last.Index, e.Last.Term)
}

// SizeError reports an entry that is too large, by the bytes of its service and its payload.
type SizeError struct {
	Service, Payload int
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("a service of %d bytes or a payload of %d is too large", e.Service, e.Payload)
}

// NameError reports the name of an app server that is too long to be stored.
type NameError struct {
	Name string
}

func (e *NameError) Error() string { return fmt.Sprintf("a name of %d bytes is too long", len(e.Name)) }
