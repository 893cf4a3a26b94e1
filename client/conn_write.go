package client

import (
	"context"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"valveglade/internal/thrift"
)

// write writes queued messages in batches. A message is encoded only just before it is written, so that none is sent
// after its deadline.
func (conn *connection) write(ctx context.Context) error {
	var out []byte
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-conn.writeSignal:
		}
		for {
			batch, frames, ended := conn.encodeBatch(out[:0])
			if ended {
				return nil
			}
			if out = frames; len(out) == 0 {
				break
			}
			conn.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
			if n, err := conn.nc.Write(out); err != nil {
				conn.reportUnsent(batch, n)
				if errors.Is(err, os.ErrDeadlineExceeded) {
					return &PeerError{Server: conn.server, Why: "a write timed out, as it does not read"}
				}
				return nil
			}
		}
	}
}

// encodeBatch encodes queued messages up to maxWriteBytes and reports those past their deadline as unsent. ended means
// that the connection has ended.
func (conn *connection) encodeBatch(out []byte) (batch []outgoing, frames []byte, done bool) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.ended {
		return nil, nil, true
	}
	now := conn.clock()
	batch = conn.batchBuffer[:0]
	count := 0
	for ; count < len(conn.queue) && len(out) < maxWriteBytes; count++ {
		m := conn.queue[count]
		if m.call != nil && now >= m.deadline {
			conn.dispatcher.Unsent(now, m.id, m.try)
			continue
		}
		conn.lastSeq++
		m.seq = conn.lastSeq
		switch {
		case m.healthCheck:
			conn.pendingCheck = m.seq
			out = thrift.Check(out, m.seq)
		case m.interruptTarget != 0:
			out = thrift.Interrupt(out, m.seq, m.interruptTarget)
		default:
			conn.inFlight = append(conn.inFlight, sent{m.seq, m.id, m.try})
			pending := m.call
			// Every try has its own identifier, so that no two tries are taken for one.
			var attemptID [16]byte
			var raw [8]byte
			binary.BigEndian.PutUint64(raw[:], rand.Uint64())
			hex.Encode(attemptID[:], raw[:])
			out = thrift.Execute(out, m.seq, pending.name, string(attemptID[:]), conn.source, now, m.deadline-now,
				max(pending.KB, 0.1), min(pending.Criticality, 0.9999), m.retry, pending.token, pending.row,
				pending.body)
		}
		m.frameEnd = len(out)
		batch = append(batch, m)
	}
	conn.queue = slices.Delete(conn.queue, 0, count)
	conn.batchBuffer = batch
	conn.performActions()
	return batch, out, false
}

// reportUnsent reports the tries of a batch of which no byte was written before the connection ended.
func (conn *connection) reportUnsent(batch []outgoing, written int) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	frameStart := 0
	for _, m := range batch {
		if m.call != nil && frameStart >= written {
			if position := slices.IndexFunc(conn.inFlight, func(s sent) bool { return s.seq == m.seq }); position >= 0 {
				conn.inFlight = slices.Delete(conn.inFlight, position, position+1)
				conn.dispatcher.Unsent(conn.clock(), m.id, m.try)
			}
		}
		frameStart = m.frameEnd
	}
	conn.performActions()
}
