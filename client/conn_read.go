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

// read takes frames until the connection ends; its end is no error.
func (conn *connection) read() error {
	in := readbuffer.New(thrift.MaxFrame + 4)
	timed := false
	for {
		frame, size, err := thrift.Frame(in.Bytes())
		if err != nil {
			return &PeerError{Server: conn.server, Why: err.Error()}
		}
		if size == 0 {
			if partial := len(in.Bytes()) > 0; partial != timed {
				timed = partial
				var deadline time.Time
				if partial {
					deadline = time.Now().Add(frameTimeout)
				}
				conn.nc.SetReadDeadline(deadline)
			}
			switch err := in.Fill(conn.nc); {
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
		in.Take(size)
		if timed { // the frame that had begun is whole; another that has begun gets its own time
			timed = false
			conn.nc.SetReadDeadline(time.Time{})
		}
	}
}

// answerHandler passes one answer to the dispatcher.
type answerHandler struct {
	*connection
	err error
}

// removeTry removes and returns the try of a number. It reports false for one that was interrupted, and sets err for
// one that is not open.
func (a *answerHandler) removeTry(seq int32) (sent, bool) {
	if k := slices.IndexFunc(a.inFlight, func(s sent) bool { return s.seq == seq }); k >= 0 {
		s := a.inFlight[k]
		a.inFlight = slices.Delete(a.inFlight, k, k+1)
		return s, true
	}
	if k := slices.Index(a.interrupted, seq); k >= 0 {
		a.interrupted = slices.Delete(a.interrupted, k, k+1)
		return sent{}, false
	}
	reason := "it has been answered before"
	if seq > a.lastSeq || seq < 1 {
		reason = "it was never sent"
	} else if len(a.interrupted) == maxInterrupted && seq < a.interrupted[0] {
		return sent{}, false // interrupted long ago
	}
	a.err = &PeerError{Server: a.server, Number: seq, Why: reason}
	return sent{}, false
}

func (a *answerHandler) answered(seq int32, cause Cause, result []byte, noRetry bool, retryAfter, credit float64, reason string) {
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
		if k := a.calls[s.id.Index]; k != nil {
			if k.reason = reason; cause == attempt.Served {
				k.result = append([]byte(nil), result...)
				k.server = a.server
			}
		}
	}
	a.dispatcher.Answered(a.clock(), s.id, s.try, cause, noRetry, retryAfter, credit)
	a.performActions()
}

// Served is an RPC that was ok.
func (a *answerHandler) Served(seq int32, result []byte, credit float64) {
	a.answered(seq, attempt.Served, result, false, 0, credit, "")
}

// PushedBack is an RPC that never ran.
func (a *answerHandler) PushedBack(seq int32, noRetry bool, retryAfter, credit float64) {
	a.answered(seq, Refused, nil, noRetry, retryAfter, credit, "")
}

// Aborted is an RPC of which nothing is known.
func (a *answerHandler) Aborted(seq int32, reason string, credit float64) {
	a.answered(seq, Aborted, nil, false, 0, credit, reason)
}

// Checked is the answer to a health check.
func (a *answerHandler) Checked(seq int32, healthy bool, credit float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.ended:
	case seq != a.pendingCheck:
		a.err = &PeerError{Server: a.server, Number: seq, Why: "no health check has it"}
	default:
		a.pendingCheck = 0
		a.dispatcher.Checked(a.clock(), a.index, healthy, credit)
		a.performActions()
	}
}

// Draining asks for no new RPC on this connection.
func (a *answerHandler) Draining() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.ended {
		a.dispatcher.Draining(a.clock(), a.index)
		a.performActions()
	}
}
