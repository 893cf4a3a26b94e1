package member

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"valveglade/logic/view"
)

// kindStream is the kind of streams that carry frames between two members, served by a StreamHandler.
const kindStream = 's'

// MaxFrame is the largest payload of one frame, in bytes.
const MaxFrame = 64 << 10

// frameHeaderSize is the size of a frame's header in bytes: length and CRC-32C, four bytes each.
const frameHeaderSize = 8

// maxReason bounds the text of a rejection, in bytes.
const maxReason = 200

// streamOpenTimeout bounds how long the accepting end waits for the hello and the opening end for its answer.
const streamOpenTimeout = 2 * time.Second

// OutgoingStreams bounds the concurrent streams that a member opens; they count among its descriptors.
const OutgoingStreams = 8

// ErrFrameCorrupt is returned for a frame whose length or checksum is wrong. The stream is of no further use.
var ErrFrameCorrupt = errors.New("corrupt frame")

// ErrUnknownMember is returned by OpenStream for a member whose address is not known.
var ErrUnknownMember = errors.New("no address is known for this member")

// ErrTooManyStreams is returned by OpenStream while OutgoingStreams are open.
var ErrTooManyStreams = errors.New("too many outgoing streams")

// StreamRefusedError is returned when the accepting end rejects a stream.
type StreamRefusedError struct{ Reason string }

func (e *StreamRefusedError) Error() string { return "stream refused: " + e.Reason }

// StreamHandler serves one incoming stream. The stream is closed when it returns; ctx ends with the member.
type StreamHandler func(ctx context.Context, s *Stream)

// Stream is a connection between two members that carries frames. One goroutine may read while another writes.
type Stream struct {
	conn  net.Conn
	peer  string
	read  atomic.Int64
	wrote atomic.Int64
	once  sync.Once
	done  func()
	head  [frameHeaderSize]byte // of the frame being read
}

// Peer returns the name that the other end gave, or that was dialed.
func (s *Stream) Peer() string { return s.peer }

// Bytes returns the bytes read and written, including frame headers.
func (s *Stream) Bytes() (read, written int64) { return s.read.Load(), s.wrote.Load() }

// Close ends the stream; a read or write under way returns an error.
func (s *Stream) Close() error {
	err := s.conn.Close()
	s.once.Do(s.done)
	return err
}

// ReadFrame returns the next frame's payload, which the caller owns. It waits for at most timeout, or indefinitely if
// that is 0.
func (s *Stream) ReadFrame(timeout time.Duration) ([]byte, error) {
	s.conn.SetReadDeadline(deadlineAfter(timeout))
	if _, err := io.ReadFull(s.conn, s.head[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(s.head[:4])
	if size > MaxFrame {
		return nil, fmt.Errorf("%w: %d bytes", ErrFrameCorrupt, size)
	}
	payload := make([]byte, size)
	if _, err := io.ReadFull(s.conn, payload); err != nil {
		return nil, err
	}
	if crc32.Checksum(payload, castagnoli) != binary.BigEndian.Uint32(s.head[4:]) {
		return nil, fmt.Errorf("%w: wrong checksum", ErrFrameCorrupt)
	}
	s.read.Add(int64(frameHeaderSize + len(payload)))
	return payload, nil
}

func deadlineAfter(timeout time.Duration) time.Time {
	if timeout == 0 {
		return time.Time{}
	}
	return time.Now().Add(timeout)
}

// WriteFrame sends one frame. It waits for at most timeout; after an error the stream is of no further use.
func (s *Stream) WriteFrame(payload []byte, timeout time.Duration) error {
	if len(payload) > MaxFrame {
		return fmt.Errorf("frame of %d bytes: at most %d", len(payload), MaxFrame)
	}
	s.conn.SetWriteDeadline(time.Now().Add(timeout))
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, frameHeaderSize+len(payload)), uint32(len(payload)))
	frame = binary.BigEndian.AppendUint32(frame, crc32.Checksum(payload, castagnoli))
	frame = append(frame, payload...)
	n, err := s.conn.Write(frame)
	s.wrote.Add(int64(n))
	return err
}

// A hello holds the opening end's name and the name that it dialed. The answer is a byte, accepted or refused, and a
// reason.
const (
	streamAccepted = 0
	streamRefused  = 1
)

func appendHello(out []byte, from, to string) []byte { return appendText(appendText(out, from), to) }

func readHello(b []byte) (from, to string, err error) {
	r := reader{b: b}
	from, to = r.text(), r.text()
	switch {
	case r.truncated || len(r.b) > 0:
		return "", "", errTruncated
	case from == "" || len(from) > maxName || len(to) > maxName:
		return "", "", fmt.Errorf("hello from a name of %d bytes to a name of %d bytes is invalid", len(from), len(to))
	}
	return from, to, nil
}

// streams tracks the open streams of a member in both directions.
type streams struct {
	limit   int // bound on incoming streams
	handler atomic.Pointer[StreamHandler]
	ctx     context.Context
	cancel  context.CancelFunc

	mu       sync.Mutex
	closed   bool
	open     map[*Stream]bool // true for incoming ones
	incoming int
	outgoing int

	refused atomic.Int64
}

func newStreams(limit int) *streams {
	ctx, cancel := context.WithCancel(context.Background())
	return &streams{limit: limit, ctx: ctx, cancel: cancel, open: map[*Stream]bool{}}
}

// add registers a stream, or returns why it is rejected.
func (t *streams) add(s *Stream, incoming bool) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.closed:
		return net.ErrClosed
	case incoming && t.incoming >= t.limit:
		return fmt.Errorf("%d streams are open", t.incoming)
	case !incoming && t.outgoing >= OutgoingStreams:
		return ErrTooManyStreams
	}
	t.open[s] = incoming
	if incoming {
		t.incoming++
	} else {
		t.outgoing++
	}
	return nil
}

func (t *streams) remove(s *Stream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	incoming, ok := t.open[s]
	if !ok {
		return
	}
	delete(t.open, s)
	if incoming {
		t.incoming--
	} else {
		t.outgoing--
	}
}

// close closes all streams; further ones are rejected.
func (t *streams) close() {
	t.cancel()
	t.mu.Lock()
	t.closed = true
	var all []*Stream
	for s := range t.open {
		all = append(all, s)
	}
	t.mu.Unlock()
	for _, s := range all {
		s.Close()
	}
}

// HandleStreams sets the handler that serves each incoming stream in a goroutine of its own. Without a handler all
// streams are rejected.
func (m *Member) HandleStreams(h StreamHandler) { m.wire.frameStreams.handler.Store(&h) }

// StreamCounts returns the open streams in each direction, and the number of rejected incoming ones.
func (m *Member) StreamCounts() (incoming, outgoing int, refused int64) {
	t := m.wire.frameStreams
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.incoming, t.outgoing, t.refused.Load()
}

// OpenStream opens a stream to the named member. It returns a *StreamRefusedError if the other end rejects it. The
// caller closes the stream.
func (m *Member) OpenStream(ctx context.Context, to string) (*Stream, error) {
	if m.View().Certainty == view.Superseded {
		return nil, net.ErrClosed
	}
	m.addresses.Lock()
	at, known := m.addresses.byName[to]
	m.addresses.Unlock()
	if to == m.config.Name {
		at, known = m.wire.listen, true
	}
	if !known {
		return nil, fmt.Errorf("%w: %s", ErrUnknownMember, to)
	}
	s := &Stream{peer: to}
	s.done = func() { m.wire.frameStreams.remove(s) }
	if err := m.wire.frameStreams.add(s, false); err != nil {
		return nil, err
	}
	conn, err := m.wire.dial(ctx, at.String(), kindStream)
	if err != nil {
		m.wire.frameStreams.remove(s)
		return nil, err
	}
	s.conn = conn
	if err := s.exchangeHello(ctx, m.config.Name, to); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// DialStream opens a stream to a member for a process that is no member itself. The parameter to is the member's name,
// and address is where it listens. The parameter from is the name that this process gives; the member's end of the
// stream returns it as Peer. The parameter local is the local address of the connection, nil for any. DialStream
// returns a *StreamRefusedError if the member rejects the stream, for example because it has another name. The caller
// closes the stream.
func DialStream(ctx context.Context, local net.Addr, address netip.AddrPort, from, to string) (*Stream, error) {
	conn, err := (&net.Dialer{LocalAddr: local}).DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	s := &Stream{peer: to, conn: conn, done: func() { /* OutgoingStreams limits only the streams of members */ }}
	conn.SetDeadline(time.Now().Add(streamOpenTimeout)) // exchangeHello sets its own deadlines, then clears them
	// The kind tells the member that this connection carries frames, and not gossip or a probe.
	if _, err := conn.Write(append([]byte(magic), kindStream)); err != nil {
		conn.Close()
		return nil, err
	}
	if err := s.exchangeHello(ctx, from, to); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// exchangeHello sends the hello and reads its answer. Once the answer has arrived, it clears the connection's
// deadlines.
func (s *Stream) exchangeHello(ctx context.Context, from, to string) error {
	stop := context.AfterFunc(ctx, func() { s.conn.Close() })
	defer stop()
	if err := s.WriteFrame(appendHello(nil, from, to), streamOpenTimeout); err != nil {
		return err
	}
	answer, err := s.ReadFrame(streamOpenTimeout)
	if err != nil {
		return err
	}
	s.conn.SetDeadline(time.Time{})
	if len(answer) > 0 && answer[0] == streamAccepted {
		return nil
	}
	if len(answer) < 1 || answer[0] != streamRefused || len(answer) > 1+maxReason {
		return ErrFrameCorrupt
	}
	return &StreamRefusedError{Reason: string(answer[1:])}
}

// serveStream answers a hello and runs the handler. It calls release, which frees the connection's slot, once the
// stream is admitted or rejected: open streams are limited separately.
func (w *wire) serveStream(conn net.Conn, release func()) {
	s := &Stream{conn: conn}
	s.done = func() { w.frameStreams.remove(s) }
	defer s.Close()
	hello, err := s.ReadFrame(headerTimeout)
	if err != nil {
		w.countDropped(causeCorrupt, conn.RemoteAddr().String(), err)
		return
	}
	from, to, err := readHello(hello)
	if err != nil {
		w.countDropped(causeCorrupt, conn.RemoteAddr().String(), err)
		return
	}
	s.peer = from
	h, err := w.admitStream(s, to)
	release()
	if err != nil {
		w.frameStreams.refused.Add(1)
		w.countDropped(causeOverloaded, conn.RemoteAddr().String(), err)
		reason := err.Error()
		s.WriteFrame(append([]byte{streamRefused}, reason[:min(len(reason), maxReason)]...), headerTimeout)
		return
	}
	if s.WriteFrame([]byte{streamAccepted}, headerTimeout) != nil {
		return
	}
	conn.SetDeadline(time.Time{})
	h(w.frameStreams.ctx, s)
}

// admitStream returns the handler of a stream, or why the stream is rejected.
func (w *wire) admitStream(s *Stream, to string) (StreamHandler, error) {
	if _, here := w.onProbe(to); !here {
		return nil, fmt.Errorf("%s is not here", to)
	}
	h := w.frameStreams.handler.Load()
	if h == nil {
		return nil, errors.New("no stream handler is set")
	}
	if err := w.frameStreams.add(s, true); err != nil {
		w.log.Debug("stream refused", zap.String("from", s.peer), zap.Error(err))
		return nil, err
	}
	return *h, nil
}
