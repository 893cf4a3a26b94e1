package client

import (
	"errors"
	"os"
	"slices"
	"time"

	"valveglade/internal/readbuffer"
	"valveglade/internal/thrift"
	"valveglade/logic/attempt"
)

// read handles frames until the connection ends. The end itself is no error, a violation of the protocol is.
func (conn *connection) read() error {
	buffer := readbuffer.New(thrift.MaxFrame + 4)
	timed := false
	for {
		frame, size, err := thrift.Frame(buffer.Bytes())
		if err != nil {
			return &PeerError{Server: conn.server, Why: err.Error()}
		}
		if size == 0 {
			if partial := len(buffer.Bytes()) > 0; partial != timed {
				timed = partial
				var deadline time.Time
				if partial {
					deadline = time.Now().Add(frameTimeout)
				}
				conn.nc.SetReadDeadline(deadline)
			}
			switch err := buffer.Fill(conn.nc); {
			case err == nil:
			case errors.Is(err, readbuffer.ErrFull):
				return &PeerError{Server: conn.server, Why: err.Error()}
			case errors.Is(err, os.ErrDeadlineExceeded):
				return &PeerError{Server: conn.server, Why: "half a message"}
			default:
				return nil
			}
			continue
		}
		handler := answerHandler{connection: conn}
		if err := thrift.DecodeAnswer(frame, &handler); err != nil {
			return &PeerError{Server: conn.server, Why: err.Error()}
		}
		if handler.err != nil {
			return handler.err
		}
		buffer.Discard(size)
		if timed { // The frame is complete. If the next one has begun, it gets its own timeout.
			timed = false
			conn.nc.SetReadDeadline(time.Time{})
		}
	}
}

// answerHandler passes one answer to the dispatcher. err is set if the answer violates the protocol.
type answerHandler struct {
	*connection
	err error
}

// removeTry removes and returns the try with a sequence number. It returns false for a try that was interrupted, and
// also sets err if no such try is in flight.
func (a *answerHandler) removeTry(seq int32) (sent, bool) {
	if position := slices.IndexFunc(a.inFlight, func(s sent) bool { return s.seq == seq }); position >= 0 {
		s := a.inFlight[position]
		a.inFlight = slices.Delete(a.inFlight, position, position+1)
		return s, true
	}
	if position := slices.Index(a.interrupted, seq); position >= 0 {
		a.interrupted = slices.Delete(a.interrupted, position, position+1)
		return sent{}, false
	}
	reason := "it has already been answered"
	if seq > a.lastSeq || seq < 1 {
		reason = "it was never used"
	} else if len(a.interrupted) == maxInterrupted && seq < a.interrupted[0] {
		return sent{}, false // interrupted, and no longer among the last maxInterrupted
	}
	a.err = &PeerError{Server: a.server, Number: seq, Why: reason}
	return sent{}, false
}

func (a *answerHandler) answered(seq int32, cause Cause, result []byte, noRetry bool,
	retryAfter, credit float64, reason string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return
	}
	s, ok := a.removeTry(seq)
	if !ok {
		return
	}
	if s.id.Index < len(a.calls) {
		if pending := a.calls[s.id.Index]; pending != nil {
			if pending.reason = reason; cause == attempt.Served {
				pending.result = append([]byte(nil), result...)
				pending.server = a.server
			}
		}
	}
	a.dispatcher.Answered(a.clock(), s.id, s.try, cause, noRetry, retryAfter, credit)
	a.performActions()
}

// Served handles the answer to an RPC that was ok.
func (a *answerHandler) Served(seq int32, result []byte, credit float64) {
	a.answered(seq, attempt.Served, result, false, 0, credit, "")
}

// PushedBack handles the answer to an RPC that was rejected and did not run.
func (a *answerHandler) PushedBack(seq int32, noRetry bool, retryAfter, credit float64) {
	a.answered(seq, Refused, nil, noRetry, retryAfter, credit, "")
}

// Aborted handles the answer to an RPC that was aborted and may have run.
func (a *answerHandler) Aborted(seq int32, reason string, credit float64) {
	a.answered(seq, Aborted, nil, false, 0, credit, reason)
}

// Checked handles the answer to a health check.
func (a *answerHandler) Checked(seq int32, healthy bool, credit float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.ended:
	case seq != a.pendingCheck:
		a.err = &PeerError{Server: a.server, Number: seq, Why: "no health check with it is pending"}
	default:
		a.pendingCheck = 0
		a.dispatcher.Checked(a.clock(), a.index, healthy, credit)
		a.performActions()
	}
}

// Draining handles the app server's request for no new RPCs on this connection.
func (a *answerHandler) Draining() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.ended {
		a.dispatcher.Draining(a.clock(), a.index)
		a.performActions()
	}
}
