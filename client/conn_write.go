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

// write sends what is queued, several messages at once where they are ready. A frame is made only when it is
// written, so nothing leaves after its deadline.
func (l *connection) write(ctx context.Context) error {
	var out []byte
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.wake:
		}
		for {
			batch, bytes, over := l.gather(out[:0])
			if over {
				return nil
			}
			if out = bytes; len(out) == 0 {
				break
			}
			l.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
			if n, err := l.nc.Write(out); err != nil {
				l.unsent(batch, n)
				if errors.Is(err, os.ErrDeadlineExceeded) {
					return &PeerError{Server: l.server, Why: "it does not read"}
				}
				return nil
			}
		}
	}
}

// gather makes the frames of what waits, up to a bound, and leaves out what has become too late.
func (l *connection) gather(out []byte) (batch []outgoing, frames []byte, over bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return nil, nil, true
	}
	now := l.clock()
	batch = l.spare[:0]
	k := 0
	for ; k < len(l.queue) && len(out) < maxWrite; k++ {
		m := l.queue[k]
		if m.call != nil && now >= m.deadline {
			l.dispatcher.Unsent(now, m.id, m.try)
			continue
		}
		l.lastSeq++
		m.seq = l.lastSeq
		switch {
		case m.healthCheck:
			l.pendingCheck = m.seq
			out = thrift.Check(out, m.seq)
		case m.target != 0:
			out = thrift.Interrupt(out, m.seq, m.target)
		default:
			l.open = append(l.open, sent{m.seq, m.id, m.try})
			c := m.call
			// The number is new with every try, so that two are never taken for one.
			var uid [16]byte
			var raw [8]byte
			binary.BigEndian.PutUint64(raw[:], rand.Uint64())
			hex.Encode(uid[:], raw[:])
			out = thrift.Execute(out, m.seq, c.name, string(uid[:]), l.source, now, m.deadline-now, max(c.KB, 0.1),
				min(c.Criticality, 0.9999), m.retry, c.token, c.row, c.body)
		}
		m.frameEnd = len(out)
		batch = append(batch, m)
	}
	l.queue = slices.Delete(l.queue, 0, k)
	l.spare = batch
	l.run()
	return batch, out, false
}

// unsent finds the tries of which not a byte was written before the connection ended: those never left.
func (l *connection) unsent(batch []outgoing, written int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	from := 0
	for _, m := range batch {
		if m.call != nil && from >= written {
			if k := slices.IndexFunc(l.open, func(s sent) bool { return s.seq == m.seq }); k >= 0 {
				l.open = slices.Delete(l.open, k, k+1)
				l.dispatcher.Unsent(l.clock(), m.id, m.try)
			}
		}
		from = m.frameEnd
	}
	l.run()
}
