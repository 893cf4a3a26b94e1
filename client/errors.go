package client

import (
	"context"
	"fmt"
	"time"

	"valveglade/logic/attempt"
)

// Progress is how far the furthest try of an RPC had come.
type Progress = attempt.Progress

// What Reach can be.
const (
	NeverSent  = attempt.NeverSent
	PushedBack = attempt.PushedBack
	Sent       = attempt.Sent
	Ran        = attempt.Ran
)

// Cause is why an RPC was not ok.
type Cause = attempt.Cause

// What Cause can be.
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

// Error is the outcome of an RPC that was not ok. Find it with errors.As.
type Error struct {
	Method   string
	Server   string // that had the last try, empty if there was none
	Cause    Cause
	Progress Progress
	Tries    int
	// SafeToRetry reports whether the RPC may be asked for again without the risk of a second effect: it never ran, or it is
	// idempotent, and no app server has forbidden it.
	SafeToRetry bool
	RetryAfter  time.Duration // and not before so long, 0 where nothing was said
	Why         string        // an app server's reason, or what was wrong with the call
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
		s += fmt.Sprintf("; again after %v", e.RetryAfter.Round(time.Millisecond))
	}
	return s
}

// Unwrap returns the context's error where that ended the RPC.
func (e *Error) Unwrap() error {
	switch e.Cause {
	case Late:
		return context.DeadlineExceeded
	case Canceled:
		return context.Canceled
	}
	return nil
}

// PeerError is a breach of the protocol by an app server. The connection that it came on is closed, nothing else is
// touched.
type PeerError struct {
	Server string
	Number int32 // the RPC's on that connection, 0 where it is about none
	Why    string
}

func (e *PeerError) Error() string {
	if e.Number != 0 {
		return fmt.Sprintf("app server %s: answer to number %d: %s", e.Server, e.Number, e.Why)
	}
	return fmt.Sprintf("app server %s: %s", e.Server, e.Why)
}
