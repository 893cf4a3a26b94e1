package configlog

import (
	"errors"
	"fmt"
)

// Errors of a proposal.
var (
	ErrNotLeader      = errors.New("configlog: this replica does not lead")
	ErrRecovering     = errors.New("configlog: the leader has not recovered the log yet")
	ErrNoService      = errors.New("configlog: a change without a service is reserved for the first entry of a term")
	ErrOutcomeUnknown = errors.New("configlog: leadership ended before the change was known to be committed")
)

// TooManyOpenError is returned while as many proposals wait for their commit, or lookups for their reply, as are allowed.
type TooManyOpenError struct{ Limit int }

func (e *TooManyOpenError) Error() string {
	return fmt.Sprintf("configlog: %d are open already, and no more are allowed", e.Limit)
}

// TooLargeError is returned by Propose for a change that fits in no message. Sizes are in bytes.
type TooLargeError struct{ Size, Limit int }

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("configlog: the change takes %d bytes of a message, %d are allowed", e.Size, e.Limit)
}

// StaleTermError tells of a leader whose term is over.
type StaleTermError struct{ Term, Known uint64 }

func (e *StaleTermError) Error() string {
	return fmt.Sprintf("configlog: term %d is over, %d is known", e.Term, e.Known)
}

// GapError tells of something missing before what came: a message of the stream, an entry of the service or of the log.
type GapError struct {
	Kind      string // "sequence", "service" or "index"
	Want, Got uint64
}

func (e *GapError) Error() string {
	return fmt.Sprintf("configlog: gap in %s: %d, not %d", e.Kind, e.Got, e.Want)
}

// DuplicateError tells of a stream message that came a second time.
type DuplicateError struct{ Sequence uint64 }

func (e *DuplicateError) Error() string {
	return fmt.Sprintf("configlog: message %d came a second time", e.Sequence)
}

// ReorderedError tells of a stream message that was missing when a later one came.
type ReorderedError struct{ Sequence, After uint64 }

func (e *ReorderedError) Error() string {
	return fmt.Sprintf("configlog: message %d came after %d", e.Sequence, e.After)
}

// StaleEntryError tells of an entry at or below what is applied.
type StaleEntryError struct{ Got, Applied Version }

func (e *StaleEntryError) Error() string {
	return fmt.Sprintf("configlog: entry %d of term %d is not above %d of term %d", e.Got.Index, e.Got.Term, e.Applied.Index, e.Applied.Term)
}

// MalformedError tells of a message that nobody who keeps the protocol sends at this point.
type MalformedError struct{ Reason string }

func (e *MalformedError) Error() string { return "configlog: malformed: " + e.Reason }

// DisconnectedError is how a lookup fails whose connection ended.
type DisconnectedError struct{ Distributor string }

func (e *DisconnectedError) Error() string {
	return "configlog: the connection to " + e.Distributor + " ended"
}

// StaleStreamError tells of a message of a former subscription.
type StaleStreamError struct{ Stream, Current uint64 }

func (e *StaleStreamError) Error() string {
	return fmt.Sprintf("configlog: a message of subscription %d, now is %d", e.Stream, e.Current)
}
