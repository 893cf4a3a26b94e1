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
func (l *connection) read() error {
	in := readbuffer.New(thrift.MaxFrame + 4)
	timed := false
	for {
		frame, size, err := thrift.Frame(in.Bytes())
		if err != nil {
			return &PeerError{Server: l.server, Why: err.Error()}
		}
		if size == 0 {
			if half := len(in.Bytes()) > 0; half != timed {
				timed = half
				var until time.Time
				if half {
					until = time.Now().Add(frameTimeout)
				}
				l.nc.SetReadDeadline(until)
			}
			switch err := in.Fill(l.nc); {
			case err == nil:
			case errors.Is(err, readbuffer.ErrFull):
				return &PeerError{Server: l.server, Why: err.Error()}
			case errors.Is(err, os.ErrDeadlineExceeded):
				return &PeerError{Server: l.server, Why: "half a message"}
			default:
				return nil
			}
			continue
		}
		to := answerHandler{connection: l}
		if err := thrift.DecodeAnswer(frame, &to); err != nil {
			return &PeerError{Server: l.server, Why: err.Error()}
		}
		if to.err != nil {
			return to.err
		}
		in.Take(size)
		if timed { // the frame that had begun is whole; another that has begun gets its own time
			timed = false
			l.nc.SetReadDeadline(time.Time{})
		}
	}
}

// answerHandler passes one answer to the dispatcher.
type answerHandler struct {
	*connection
	err error
}

// takeTry removes and returns the try of a number. It reports false for one that was interrupted, and sets err for
// one that is not open.
func (a *answerHandler) takeTry(seq int32) (sent, bool) {
	if k := slices.IndexFunc(a.open, func(s sent) bool { return s.seq == seq }); k >= 0 {
		s := a.open[k]
		a.open = slices.Delete(a.open, k, k+1)
		return s, true
	}
	if k := slices.Index(a.interrupted, seq); k >= 0 {
		a.interrupted = slices.Delete(a.interrupted, k, k+1)
		return sent{}, false
	}
	why := "it has been answered before"
	if seq > a.lastSeq || seq < 1 {
		why = "it was never sent"
	} else if len(a.interrupted) == maxInterrupted && seq < a.interrupted[0] {
		return sent{}, false // interrupted long ago
	}
	a.err = &PeerError{Server: a.server, Number: seq, Why: why}
	return sent{}, false
}

func (a *answerHandler) answered(seq int32, how Cause, result []byte, last bool, after, load float64, why string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return
	}
	s, ok := a.takeTry(seq)
	if !ok {
		return
	}
	if s.id.Index < len(a.calls) {
		if k := a.calls[s.id.Index]; k != nil {
			if k.why = why; how == attempt.Served {
				k.result = append([]byte(nil), result...)
				k.server = a.server
			}
		}
	}
	a.dispatcher.Answered(a.clock(), s.id, s.try, how, last, after, load)
	a.run()
}

// Served is an RPC that was ok.
func (a *answerHandler) Served(seq int32, result []byte, load float64) {
	a.answered(seq, attempt.Served, result, false, 0, load, "")
}

// PushedBack is an RPC that never ran.
func (a *answerHandler) PushedBack(seq int32, last bool, after, load float64) {
	a.answered(seq, Refused, nil, last, after, load, "")
}

// Aborted is an RPC of which nothing is known.
func (a *answerHandler) Aborted(seq int32, why string, load float64) {
	a.answered(seq, Aborted, nil, false, 0, load, why)
}

// Checked is the answer to a health check.
func (a *answerHandler) Checked(seq int32, good bool, load float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.ended:
	case seq != a.pendingCheck:
		a.err = &PeerError{Server: a.server, Number: seq, Why: "no health check has it"}
	default:
		a.pendingCheck = 0
		a.dispatcher.Checked(a.clock(), a.index, good, load)
		a.run()
	}
}

// Draining asks for no new RPC on this connection.
func (a *answerHandler) Draining() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.ended {
		a.dispatcher.Draining(a.clock(), a.index)
		a.run()
	}
}
