package client

import (
	"context"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"time"

	"go.uber.org/zap"

	"valveglade/internal/readbuffer"
	"valveglade/internal/thrift"
	"valveglade/logic/attempt"
)

// item is one message that waits to be written.
type item struct {
	check    bool
	target   int32 // of an interrupt, 0 if it is none
	id       attempt.ID
	try      int
	call     *call
	deadline float64
	again    bool
	at       int // where its frame ends in what is written
	seq      int32
}

// sent is a try whose answer is owed.
type sent struct {
	seq int32
	id  attempt.ID
	try int
}

// link is one connection. All but the writer's buffer is guarded by the client's lock.
type link struct {
	*Client
	at       int // the desk's index
	server   string
	nc       net.Conn
	over     bool // the desk knows that it has ended, or has ended it
	queue    []item
	spare    []item
	open     []sent  // at most 32
	let      []int32 // interrupted; an answer to one of these may still come
	checking int32   // number of the health check that is out, 0 if none is
	last     int32
	wake     chan struct{}
}

const (
	mostLet   = 256                     // interrupted RPCs whose answers may still come; who owes more answers nothing
	stuck     = time.Second             // for one write of at most writeSize: an app server that reads takes microseconds
	writeSize = 16 << 10                // gathered for one write
	halfFrame = 1500 * time.Millisecond // for a frame to come whole once it has begun: trickles end with it
)

func newLink(c *Client, at int, server string) *link {
	return &link{Client: c, at: at, server: server, wake: make(chan struct{}, 1)}
}

// connect is the link's life, in a goroutine of its own.
func (l *link) connect() {
	ctx, stop := context.WithTimeout(l.ctx, l.Client.connect)
	nc, err := l.dial(ctx, l.server)
	stop()
	l.mu.Lock()
	if l.closed || err != nil {
		if !l.over {
			l.over = true
			l.desk.NotConnected(l.clock(), l.at)
			l.run()
		}
		l.mu.Unlock()
		if nc != nil {
			nc.Close()
		}
		return
	}
	l.nc = nc
	l.desk.Connected(l.clock(), l.at)
	l.run()
	l.mu.Unlock()
	live, end := context.WithCancel(l.ctx)
	undo := context.AfterFunc(live, func() { nc.Close() })
	l.group.Go(func() {
		defer end()
		l.contain(func() error { return l.write(live) })
	})
	l.contain(l.read)
	end()
	undo()
	nc.Close()
}

// contain runs one side of the connection; its end or a panic ends the connection, and nothing else.
func (l *link) contain(side func() error) {
	err := func() (err error) {
		defer func() {
			if p := recover(); p != nil {
				err = fmt.Errorf("panic: %v", p)
				l.log.Error("panic", zap.Any("panic", p), zap.Stack("stack"))
			}
		}()
		return side()
	}()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.over {
		l.ended(err)
	}
}

// ended tells the desk that the connection is no more; what was not written has not been sent.
func (l *link) ended(err error) {
	l.over = true
	var peer *PeerError
	faulty := errors.As(err, &peer)
	if faulty {
		l.log.Warn("connection closed", zap.String("server", l.server), zap.Error(err))
	}
	l.nc.Close()
	now := l.clock()
	queue := l.queue
	l.queue = nil
	for _, m := range queue {
		if m.call != nil {
			l.desk.Unsent(now, m.id, m.try)
		}
	}
	l.desk.Dropped(now, l.at, faulty)
	l.run()
}

// hang closes the connection at the desk's word.
func (l *link) hang() {
	l.over = true
	if l.nc != nil {
		l.nc.Close()
	}
}

func (l *link) send(m item) {
	l.queue = append(l.queue, m)
	l.stir()
}

func (l *link) stir() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// interrupt takes a try back. What has not been written yet never is.
func (l *link) interrupt(id attempt.ID, try int) {
	if k := slices.IndexFunc(l.queue, func(m item) bool { return m.call != nil && m.id == id && m.try == try }); k >= 0 {
		l.queue = slices.Delete(l.queue, k, k+1)
		return
	}
	k := slices.IndexFunc(l.open, func(s sent) bool { return s.id == id && s.try == try })
	if k < 0 || l.over {
		return
	}
	seq := l.open[k].seq
	l.open = slices.Delete(l.open, k, k+1)
	if l.let = append(l.let, seq); len(l.let) > mostLet {
		l.let = slices.Delete(l.let, 0, 1)
	}
	l.send(item{target: seq})
}

// write sends what is queued, several messages at once where they are ready. A frame is made only when it is
// written, so nothing leaves after its deadline.
func (l *link) write(ctx context.Context) error {
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
			l.nc.SetWriteDeadline(time.Now().Add(stuck))
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
func (l *link) gather(out []byte) (batch []item, frames []byte, over bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.over {
		return nil, nil, true
	}
	now := l.clock()
	batch = l.spare[:0]
	k := 0
	for ; k < len(l.queue) && len(out) < writeSize; k++ {
		m := l.queue[k]
		if m.call != nil && now >= m.deadline {
			l.desk.Unsent(now, m.id, m.try)
			continue
		}
		l.last++
		m.seq = l.last
		switch {
		case m.check:
			l.checking = m.seq
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
				min(c.Criticality, 0.9999), m.again, c.token, c.row, c.body)
		}
		m.at = len(out)
		batch = append(batch, m)
	}
	l.queue = slices.Delete(l.queue, 0, k)
	l.spare = batch
	l.run()
	return batch, out, false
}

// unsent finds the tries of which not a byte was written before the connection ended: those never left.
func (l *link) unsent(batch []item, written int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	from := 0
	for _, m := range batch {
		if m.call != nil && from >= written {
			if k := slices.IndexFunc(l.open, func(s sent) bool { return s.seq == m.seq }); k >= 0 {
				l.open = slices.Delete(l.open, k, k+1)
				l.desk.Unsent(l.clock(), m.id, m.try)
			}
		}
		from = m.at
	}
	l.run()
}

// read takes frames until the connection ends; its end is no error.
func (l *link) read() error {
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
					until = time.Now().Add(halfFrame)
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
		to := asker{link: l}
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

// asker takes one answer to the desk.
type asker struct {
	*link
	err error
}

// owed gives the try that a number stands for, and takes it off. Nothing is owed to one that was interrupted.
func (a *asker) owed(seq int32) (sent, bool) {
	if k := slices.IndexFunc(a.open, func(s sent) bool { return s.seq == seq }); k >= 0 {
		s := a.open[k]
		a.open = slices.Delete(a.open, k, k+1)
		return s, true
	}
	if k := slices.Index(a.let, seq); k >= 0 {
		a.let = slices.Delete(a.let, k, k+1)
		return sent{}, false
	}
	why := "it has been answered before"
	if seq > a.last || seq < 1 {
		why = "it was never sent"
	} else if len(a.let) == mostLet && seq < a.let[0] {
		return sent{}, false // taken back long ago
	}
	a.err = &PeerError{Server: a.server, Number: seq, Why: why}
	return sent{}, false
}

func (a *asker) answered(seq int32, how Cause, result []byte, last bool, after, load float64, why string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.over {
		return
	}
	s, ok := a.owed(seq)
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
	a.desk.Answered(a.clock(), s.id, s.try, how, last, after, load)
	a.run()
}

// Served is an RPC that was ok.
func (a *asker) Served(seq int32, result []byte, load float64) {
	a.answered(seq, attempt.Served, result, false, 0, load, "")
}

// PushedBack is an RPC that never ran.
func (a *asker) PushedBack(seq int32, last bool, after, load float64) {
	a.answered(seq, Refused, nil, last, after, load, "")
}

// Aborted is an RPC of which nothing is known.
func (a *asker) Aborted(seq int32, why string, load float64) {
	a.answered(seq, Aborted, nil, false, 0, load, why)
}

// Checked is the answer to a health check.
func (a *asker) Checked(seq int32, good bool, load float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.over:
	case seq != a.checking:
		a.err = &PeerError{Server: a.server, Number: seq, Why: "no health check has it"}
	default:
		a.checking = 0
		a.desk.Checked(a.clock(), a.at, good, load)
		a.run()
	}
}

// Draining asks for no new RPC on this connection.
func (a *asker) Draining() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.over {
		a.desk.Draining(a.clock(), a.at)
		a.run()
	}
}
