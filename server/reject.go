package server

import (
	"net"
	"time"

	"go.uber.org/zap"

	"valveglade/internal/readbuffer"
	"valveglade/internal/thrift"
)

// seqTracker are those under which RPCs came on one connection.
type seqTracker struct {
	lastSeq     int32
	skippedSeqs []seqRange // the first few below last that were never used
}

type seqRange struct{ first, last int32 }

// maxSkippedRanges bounds numbers.skipped: a router's numbers rise by one.
const maxSkippedRanges = 8

// advanceTo takes note of a number above all before.
func (n *seqTracker) advanceTo(to int32) {
	if to > n.lastSeq+1 && len(n.skippedSeqs) < maxSkippedRanges {
		n.skippedSeqs = append(n.skippedSeqs, seqRange{n.lastSeq + 1, to - 1})
	}
	n.lastSeq = to
}

// claim reports whether no RPC came under a number, and takes note of it.
func (n *seqTracker) claim(seq int32) bool {
	if seq > n.lastSeq {
		n.advanceTo(seq)
		return true
	}
	for k, s := range n.skippedSeqs {
		if seq >= s.first && seq <= s.last {
			n.skippedSeqs[k].first = seq + 1 // those below are given up: they were sent the wrong way round
			return true
		}
	}
	return false
}

// rejecter answers what has been read on a connection that takes nothing in: no RPC of it runs. It is a thrift.Router.
type rejecter struct {
	*Server
	seqs      *seqTracker
	send      func(reply)
	interrupt func(target int32)
}

// Execute refuses an RPC: pushed back, unless another try of it may have run, or none can. A second message under a number is no RPC.
func (r rejecter) Execute(seq int32, op, _ []byte, _ int, recv, ttl, _ float64, _ bool, dedupe, _ []byte) {
	if !r.seqs.claim(seq) {
		return
	}
	method, known := r.methods[string(op)]
	if !known || r.mayHaveRun(method, dedupe, recv, ttl) {
		r.abort(seq)
		return
	}
	after := r.monitor.effects.Load().After
	r.send(func(out []byte, load float64) []byte { return thrift.PushedBack(out, seq, false, after, load) })
}

// mayHaveRun reports whether another try of an RPC is in hand or has run.
func (r rejecter) mayHaveRun(method int, token []byte, recv, ttl float64) bool {
	if !r.tokened(method) || len(token) == 0 {
		return false
	}
	_, arrivedAt := r.clock.arrival(recv, r.longestWait(method, ttl))
	return r.gate.Knows(method, string(token), arrivedAt)
}

// Unreadable answers an RPC that could not have been run.
func (r rejecter) Unreadable(seq int32, _ string) {
	if r.seqs.claim(seq) {
		r.abort(seq)
	}
}

func (r rejecter) abort(seq int32) {
	r.send(func(out []byte, load float64) []byte { return thrift.Aborted(out, seq, load) })
}

// Interrupt passes on that nobody waits for an RPC any more.
func (r rejecter) Interrupt(target int32) { r.interrupt(target) }

// Check answers a health check as ever.
func (r rejecter) Check(seq int32) {
	r.send(func(out []byte, load float64) []byte { return thrift.Checked(out, seq, r.healthy(), load) })
}

// Unknown answers a call of a method that there is not.
func (r rejecter) Unknown(seq int32, method string) {
	r.send(func(out []byte, _ float64) []byte { return thrift.Unknown(out, seq, method) })
}

// rejectAll answers the whole messages that lie in a buffer, and those that lie unread on the connection, up to lingerSize. It reads
// without waiting, and stops where nothing can be made of what came.
func (r rejecter) rejectAll(in *readbuffer.Buffer, nc net.Conn) {
	for read := 0; ; {
		frame, size, err := thrift.Frame(in.Bytes())
		if err != nil {
			return
		}
		if size == 0 {
			previousBytes := len(in.Bytes())
			if read >= maxLingerBytes || in.Fill(nonBlockingReader{nc}) != nil {
				return
			}
			read += len(in.Bytes()) - previousBytes
			continue
		}
		if thrift.Decode(frame, r) != nil {
			return
		}
		in.Take(size)
	}
}

// rejectConn ends a new connection that is not served. What has come on it is answered; what comes later is not read, so that the
// close proves that nothing of it ran. It waits for nobody: behind this one others wait to be let in.
func (s *Server) rejectConn(nc net.Conn) {
	defer nc.Close()
	var out []byte
	load := s.credit()
	r := rejecter{Server: s, seqs: &seqTracker{}, send: func(r reply) { out = r(out, load) }, interrupt: func(int32) {}}
	err := s.recoverPanic(func() error {
		r.rejectAll(readbuffer.New(thrift.MaxFrame+4), nc)
		return nil
	})
	if err != nil || len(out) == 0 {
		return
	}
	nc.SetWriteDeadline(time.Now().Add(closeWait))
	if _, err := nc.Write(out); err != nil {
		s.limitedLog.Warn("answers lost", zap.Stringer("router", nc.RemoteAddr()), zap.Error(err))
	}
}
