package server

import (
	"net"
	"time"

	"go.uber.org/zap"

	"valveglade/internal/readbuffer"
	"valveglade/internal/thrift"
)

// numbers are those under which RPCs came on one connection.
type numbers struct {
	last    int32
	skipped []numberRange // the first few below last that were never used
}

type numberRange struct{ first, last int32 }

// mostSkipped bounds numbers.skipped: a router's numbers rise by one.
const mostSkipped = 8

// rise takes note of a number above all before.
func (n *numbers) rise(to int32) {
	if to > n.last+1 && len(n.skipped) < mostSkipped {
		n.skipped = append(n.skipped, numberRange{n.last + 1, to - 1})
	}
	n.last = to
}

// unused reports whether no RPC came under a number, and takes note of it.
func (n *numbers) unused(seq int32) bool {
	if seq > n.last {
		n.rise(seq)
		return true
	}
	for k, s := range n.skipped {
		if seq >= s.first && seq <= s.last {
			n.skipped[k].first = seq + 1 // those below are given up: they were sent the wrong way round
			return true
		}
	}
	return false
}

// refuser answers what has been read on a connection that takes nothing in: no RPC of it runs. It is a thrift.Router.
type refuser struct {
	*Server
	numbers   *numbers
	say       func(reply)
	interrupt func(target int32)
}

// Execute refuses an RPC: pushed back, unless another try of it may have run, or none can. A second message under a number is no RPC.
func (r refuser) Execute(seq int32, op, _ []byte, _ int, recv, ttl, _ float64, _ bool, dedupe, _ []byte) {
	if !r.numbers.unused(seq) {
		return
	}
	method, known := r.methods[string(op)]
	if !known || r.mayHaveRun(method, dedupe, recv, ttl) {
		r.abort(seq)
		return
	}
	after := r.press.effects.Load().RetryAfter
	r.say(func(out []byte, load float64) []byte { return thrift.PushedBack(out, seq, false, after, load) })
}

// mayHaveRun reports whether another try of an RPC is in hand or has run.
func (r refuser) mayHaveRun(method int, token []byte, recv, ttl float64) bool {
	if !r.tokened(method) || len(token) == 0 {
		return false
	}
	_, came := r.clock.arrival(recv, r.longestWait(method, ttl))
	return r.gate.IsRepeat(method, string(token), came)
}

// Unreadable answers an RPC that could not have been run.
func (r refuser) Unreadable(seq int32, _ string) {
	if r.numbers.unused(seq) {
		r.abort(seq)
	}
}

func (r refuser) abort(seq int32) {
	r.say(func(out []byte, load float64) []byte { return thrift.Aborted(out, seq, load) })
}

// Interrupt passes on that nobody waits for an RPC any more.
func (r refuser) Interrupt(target int32) { r.interrupt(target) }

// Check answers a health check as ever.
func (r refuser) Check(seq int32) {
	r.say(func(out []byte, load float64) []byte { return thrift.Checked(out, seq, r.healthy(), load) })
}

// Unknown answers a call of a method that there is not.
func (r refuser) Unknown(seq int32, method string) {
	r.say(func(out []byte, _ float64) []byte { return thrift.Unknown(out, seq, method) })
}

// refuse answers the whole messages that lie in a buffer, and those that lie unread on the connection, up to lingerSize. It reads
// without waiting, and stops where nothing can be made of what came.
func (r refuser) refuse(in *readbuffer.Buffer, nc net.Conn) {
	for read := 0; ; {
		frame, size, err := thrift.Frame(in.Bytes())
		if err != nil {
			return
		}
		if size == 0 {
			had := len(in.Bytes())
			if read >= lingerSize || in.Fill(unread{nc}) != nil {
				return
			}
			read += len(in.Bytes()) - had
			continue
		}
		if thrift.Decode(frame, r) != nil {
			return
		}
		in.Take(size)
	}
}

// turnAway ends a new connection that is not served. What has come on it is answered; what comes later is not read, so that the
// close proves that nothing of it ran. It waits for nobody: behind this one others wait to be let in.
func (s *Server) turnAway(nc net.Conn) {
	defer nc.Close()
	var out []byte
	load := s.credit()
	r := refuser{Server: s, numbers: &numbers{}, say: func(r reply) { out = r(out, load) }, interrupt: func(int32) {}}
	err := s.stopPanic(func() error {
		r.refuse(readbuffer.New(thrift.MaxFrame+4), nc)
		return nil
	})
	if err != nil || len(out) == 0 {
		return
	}
	nc.SetWriteDeadline(time.Now().Add(giveBack))
	if _, err := nc.Write(out); err != nil {
		s.limited.Warn("answers lost", zap.Stringer("router", nc.RemoteAddr()), zap.Error(err))
	}
}
