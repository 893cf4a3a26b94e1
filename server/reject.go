package server

import (
	"net"
	"time"

	"go.uber.org/zap"

	"valveglade/internal/readbuffer"
	"valveglade/internal/thrift"
)

// seqTracker tracks the sequence numbers of the RPCs of one connection.
type seqTracker struct {
	lastSeq     int32
	skippedSeqs []seqRange // unused numbers below lastSeq, at most maxSkippedRanges ranges
}

// seqRange is a range of sequence numbers, both ends included. It is empty if first is above last.
type seqRange struct{ first, last int32 }

// maxSkippedRanges bounds seqTracker.skippedSeqs. A router's sequence numbers normally rise by one.
const maxSkippedRanges = 8

// advanceTo marks a sequence number above lastSeq as used. The numbers that it skips stay unused, so that
// they can still be claimed; if maxSkippedRanges are already kept, they count as used.
func (t *seqTracker) advanceTo(seq int32) {
	if seq > t.lastSeq+1 && len(t.skippedSeqs) < maxSkippedRanges {
		t.skippedSeqs = append(t.skippedSeqs, seqRange{t.lastSeq + 1, seq - 1})
	}
	t.lastSeq = seq
}

// claim reports whether a sequence number was unused, and marks it as used. Claiming a skipped number also
// gives up the lower numbers of its range: from then on they count as used, too. They were skipped before, and
// if they arrived now, they would be out of order a second time.
func (t *seqTracker) claim(seq int32) bool {
	if seq > t.lastSeq {
		t.advanceTo(seq)
		return true
	}
	for k, skipped := range t.skippedSeqs {
		if seq >= skipped.first && seq <= skipped.last {
			t.skippedSeqs[k].first = seq + 1 // gives up the lower numbers of the range
			return true
		}
	}
	return false
}

// rejecter rejects the RPCs that were read on a connection that processes no input; none of them runs. It
// implements thrift.Router.
type rejecter struct {
	*Server
	seqs      *seqTracker
	send      func(reply)
	interrupt func(target int32)
}

// Execute pushes an RPC back, or aborts it if another attempt of it may have run or it can never run. A
// second message with the same sequence number is ignored.
func (r rejecter) Execute(seq int32, op, _ []byte, _ int, recv, ttl, _ float64, _ bool, dedupe, _ []byte) {
	if !r.seqs.claim(seq) {
		return
	}
	method, known := r.methods[string(op)]
	if !known || r.mayHaveRun(method, dedupe, recv, ttl) {
		r.abort(seq)
		return
	}
	after := r.monitor.effects.Load().RetryAfter
	r.send(func(out []byte, load float64) []byte { return thrift.PushedBack(out, seq, false, after, load) })
}

// mayHaveRun reports whether another attempt of an RPC is pending or has run.
func (r rejecter) mayHaveRun(method int, token []byte, recv, ttl float64) bool {
	if !r.tokened(method) || len(token) == 0 {
		return false
	}
	_, arrivedAt := r.clock.arrival(recv, r.longestWait(method, ttl))
	return r.gate.IsRepeat(method, string(token), arrivedAt)
}

// Unreadable aborts an RPC that could not have been run.
func (r rejecter) Unreadable(seq int32, _ string) {
	if r.seqs.claim(seq) {
		r.abort(seq)
	}
}

// abort answers an RPC as aborted.
func (r rejecter) abort(seq int32) {
	r.send(func(out []byte, load float64) []byte { return thrift.Aborted(out, seq, load) })
}

// Interrupt forwards that nobody waits for an RPC any more.
func (r rejecter) Interrupt(target int32) { r.interrupt(target) }

// Check answers a health check as on a serving connection.
func (r rejecter) Check(seq int32) {
	r.send(func(out []byte, load float64) []byte { return thrift.Checked(out, seq, r.healthy(), load) })
}

// Unknown answers a call of an unknown method.
func (r rejecter) Unknown(seq int32, method string) {
	r.send(func(out []byte, _ float64) []byte { return thrift.Unknown(out, seq, method) })
}

// rejectAll answers the complete messages in a buffer and those unread on the connection, up to
// maxLingerBytes. It reads without waiting and stops at the first message that cannot be parsed.
func (r rejecter) rejectAll(in *readbuffer.Buffer, netConn net.Conn) {
	for read := 0; ; {
		frame, size, err := thrift.Frame(in.Bytes())
		if err != nil {
			return
		}
		if size == 0 {
			previousBytes := len(in.Bytes())
			if read >= maxLingerBytes || in.Fill(nonBlockingReader{netConn}) != nil {
				return
			}
			read += len(in.Bytes()) - previousBytes
			continue
		}
		if thrift.Decode(frame, r) != nil {
			return
		}
		in.Discard(size)
	}
}

// rejectConn closes a new connection without serving it. RPCs that have arrived are answered; later ones are
// not read, so the close proves that none of them ran. It does not wait, as other connections are queued
// behind this one.
func (s *Server) rejectConn(netConn net.Conn) {
	defer netConn.Close()
	var out []byte
	load := s.credit()
	r := rejecter{Server: s, seqs: &seqTracker{}, send: func(r reply) { out = r(out, load) }, interrupt: func(int32) {}}
	err := s.recoverPanic(func() error {
		r.rejectAll(readbuffer.New(thrift.MaxFrame+4), netConn)
		return nil
	})
	if err != nil || len(out) == 0 {
		return
	}
	netConn.SetWriteDeadline(time.Now().Add(closeWait))
	if _, err := netConn.Write(out); err != nil {
		s.limitedLog.Warn("replies of a rejected connection lost",
			zap.Stringer("router", netConn.RemoteAddr()), zap.Error(err))
	}
}
