package client

import (
	"context"
	"fmt"
	"time"

	"valveglade/logic/attempt"
)

// Progress is the furthest stage that any try of an RPC reached.
type Progress = attempt.Progress

// The values of Progress.
const (
	NeverSent  = attempt.NeverSent
	PushedBack = attempt.PushedBack
	Sent       = attempt.Sent
	Ran        = attempt.Ran
)

// Cause is the reason why an RPC was not ok.
type Cause = attempt.Cause

// The values of Cause.
const (
	Refused   = attempt.Refused
	Aborted   = attempt.Aborted
	Lost      = attempt.Lost
	Late      = attempt.Late
	Canceled  = attempt.Canceled
	QueueFull = attempt.QueueFull
	NoServer  = attempt.NoServer
	Closed    = attempt.Closed
)

// Error is the outcome of an RPC that was not ok. Use errors.As to obtain it from an error.
type Error struct {
	Method   string
	Server   string // address of the app server of the last try, empty if there was none
	Cause    Cause
	Progress Progress
	Tries    int
	// SafeToRetry reports whether the RPC may be called again without the risk of a second effect: it never ran or is
	// idempotent, and no app server forbade further tries.
	SafeToRetry bool
	RetryAfter  time.Duration // time to wait before calling again, 0 if none was given
	Why         string        // the app server's reason, or what is invalid about the call
}

func (e *Error) Error() string {
	s := fmt.Sprintf("%s: %s (%s, %d tries", e.Method, e.Cause, e.Progress, e.Tries)
	if e.Server != "" {
		s += ", last at " + e.Server
	}
	s += ")"
	if e.Why != "" {
		s += ": " + e.Why
	}
	if e.SafeToRetry && e.RetryAfter > 0 {
		s += fmt.Sprintf("; retry after %v", e.RetryAfter.Round(time.Millisecond))
	}
	return s
}

// Unwrap returns context.DeadlineExceeded or context.Canceled where one of them ended the RPC.
func (e *Error) Unwrap() error {
	switch e.Cause {
	case Late:
		return context.DeadlineExceeded
	case Canceled:
		return context.Canceled
	}
	return nil
}

// PeerError is a violation of the protocol by an app server. It closes the connection and nothing else.
type PeerError struct {
	Server string
	Number int32 // sequence number of the RPC on that connection, 0 if it is about none
	Why    string
}

func (e *PeerError) Error() string {
	if e.Number != 0 {
		return fmt.Sprintf("app server %s: answer with sequence number %d: %s", e.Server, e.Number, e.Why)
	}
	return fmt.Sprintf("app server %s: %s", e.Server, e.Why)
}
