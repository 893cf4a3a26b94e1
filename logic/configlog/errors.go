package configlog

import (
	"errors"
	"fmt"
)

// Errors of Propose, and of the Result of a proposal.
var (
	ErrNotLeader      = errors.New("configlog: this replica is not the leader")
	ErrRecovering     = errors.New("configlog: the leader is still recovering the log")
	ErrNoService      = errors.New("configlog: only the first entry of a term has no service")
	ErrOutcomeUnknown = errors.New("configlog: leadership ended before the change was known to be committed")
)

// TooManyOpenError is returned while the number of uncommitted proposals, or of lookups without a reply,
// is at its limit.
type TooManyOpenError struct{ Limit int }

func (e *TooManyOpenError) Error() string {
	return fmt.Sprintf("configlog: %d requests are open, the limit is reached", e.Limit)
}

// TooLargeError is returned by Propose for a change that does not fit into a message. Sizes are in bytes.
type TooLargeError struct{ Size, Limit int }

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("configlog: the change takes %d bytes of a message, the limit is %d", e.Size, e.Limit)
}

// StaleTermError reports a stale term. Known is the highest known term; a new leader needs a higher one.
type StaleTermError struct{ Term, Known uint64 }

func (e *StaleTermError) Error() string {
	return fmt.Sprintf("configlog: term %d is stale, term %d is known", e.Term, e.Known)
}

// GapError reports that something before the received message or entry is missing: a message of the
// stream, an entry of the service or an entry of the log.
type GapError struct {
	Kind      string // "sequence", "service" or "index"
	Want, Got uint64
}

func (e *GapError) Error() string {
	return fmt.Sprintf("configlog: gap in %s: got %d, want %d", e.Kind, e.Got, e.Want)
}

// DuplicateError reports a message that was received before: of a stream, by its sequence number, or a
// lookup reply, by its ID.
type DuplicateError struct{ Sequence uint64 }

func (e *DuplicateError) Error() string {
	return fmt.Sprintf("configlog: message %d is a duplicate", e.Sequence)
}

// ReorderedError reports a stream message that arrived after a later one, at which it had already been
// reported as a gap. After is the sequence number of the later message.
type ReorderedError struct{ Sequence, After uint64 }

func (e *ReorderedError) Error() string {
	return fmt.Sprintf("configlog: message %d was received after message %d", e.Sequence, e.After)
}

// StaleEntryError reports an entry at or below the applied version.
type StaleEntryError struct{ Got, Applied Version }

func (e *StaleEntryError) Error() string {
	return fmt.Sprintf("configlog: entry %d of term %d is not above the applied entry %d of term %d",
		e.Got.Index, e.Got.Term, e.Applied.Index, e.Applied.Term)
}

// MalformedError reports a message that violates the protocol at this point.
type MalformedError struct{ Reason string }

func (e *MalformedError) Error() string { return "configlog: malformed: " + e.Reason }

// DisconnectedError is the error of a lookup without a connection, or whose connection or subscription
// ended before the reply.
type DisconnectedError struct{ Distributor string }

func (e *DisconnectedError) Error() string {
	return "configlog: no longer connected to " + e.Distributor
}

// StaleStreamError reports a message of an earlier subscription.
type StaleStreamError struct{ Stream, Current uint64 }

func (e *StaleStreamError) Error() string {
	return fmt.Sprintf("configlog: message of subscription %d, the current one is %d", e.Stream, e.Current)
}
