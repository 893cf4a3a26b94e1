package kernel

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

const (
	initialBackoff         = 5 * time.Millisecond
	maxBackoff             = 250 * time.Millisecond // a connection on one machine costs little
	defaultHandoverTimeout = 250 * time.Millisecond // of a second and a half in which an old address still serves
)

// Serve keeps the link up until ctx ends.
func (l *Link[K]) Serve(ctx context.Context) error {
	down := false
	failed := func(err error) {
		if !down && ctx.Err() == nil {
			l.log.Warn("kernel link down", zap.Error(err))
			down = true
		}
	}
	up := func() {
		if down {
			l.log.Info("kernel link up again")
			down = false
		}
	}
	pause := initialBackoff // against a kernel that takes connections and ends them at once
	for {
		conn, err := l.dial(ctx, failed)
		for err == nil {
			began := time.Now()
			var next net.Conn
			if next, err = l.serveConnection(ctx, conn, up); next != nil {
				l.log.Info("kernel link moved", zap.Stringer("to", next.RemoteAddr()))
				conn, err = next, nil
			}
			if time.Since(began) > maxBackoff {
				pause = initialBackoff
			}
		}
		failed(err)
		if !sleep(ctx, pause) {
			return nil
		}
		pause = min(2*pause, maxBackoff)
	}
}

// dial tries until a connection stands or ctx ends.
func (l *Link[K]) dial(ctx context.Context, failed func(error)) (net.Conn, error) {
	var dialer net.Dialer
	for pause := initialBackoff; ; pause = min(2*pause, maxBackoff) {
		l.mu.Lock()
		at := l.address
		select {
		case <-l.addressChanged: // it is this one
		default:
		}
		l.mu.Unlock()
		try, end := context.WithTimeout(ctx, ioTimeout)
		conn, err := dialer.DialContext(try, "tcp", at.String())
		end()
		if err == nil {
			return conn, nil
		}
		failed(err)
		if !sleep(ctx, pause) {
			return nil, ctx.Err()
		}
	}
}

func sleep(ctx context.Context, t time.Duration) bool {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// errMoved ends a connection in whose place another stands.
var errMoved = errors.New("kernel link moved")

// serveConnection uses a connection until it ends, or until one to a new address stands: next.
func (l *Link[K]) serveConnection(ctx context.Context, conn net.Conn, up func()) (next net.Conn, err error) {
	l.mu.Lock()
	l.connectionNumber++
	open := fmt.Sprintf(`{"action":"OPEN","pos":%d}`+"\n", l.lastPos)
	l.mu.Unlock()
	sides, live := errgroup.WithContext(ctx)
	defer context.AfterFunc(live, func() { conn.Close() })()
	sides.Go(func() error {
		if _, err := conn.Write([]byte(open)); err != nil {
			return err
		}
		return l.write(live, conn)
	})
	sides.Go(func() error { return l.read(conn, up) })
	sides.Go(func() error {
		select {
		case <-live.Done():
			return nil
		case <-l.addressChanged:
		}
		var err error
		if next, err = l.dial(live, func(error) {}); err != nil {
			return nil // the old connection has ended meanwhile; the new address is dialled anyway
		}
		l.flush(live)
		return errMoved
	})
	err = sides.Wait()
	conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	// What may not have been read is sent again on the next connection, unless it must not run twice.
	l.connectionNumber++
	l.synced, l.handover = false, noHandover
	l.unconfirmed = append(l.unconfirmed, l.commands.prepareReconnect()...)
	return next, err
}

// flush ends what goes on on a connection in good order: the kernel has read all that was written, and answers that it has.
// What is decided meanwhile waits for the next connection.
func (l *Link[K]) flush(ctx context.Context) {
	l.mu.Lock()
	up := l.synced
	if up {
		select {
		case <-l.flushAcknowledged:
		default:
		}
		l.handover = flushing
		l.push(l.commands.newQuery())
	}
	l.mu.Unlock()
	if !up {
		return
	}
	late := time.NewTimer(l.handoverTimeout)
	defer late.Stop()
	select {
	case <-ctx.Done():
	case <-l.flushAcknowledged:
	case <-late.C:
	}
}

// write sends what has been decided, several commands at once where they are ready.
func (l *Link[K]) write(ctx context.Context, conn net.Conn) error {
	var out batch[K]
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.commandReady:
		}
		l.gather(&out)
		if len(out.bytes) == 0 {
			continue
		}
		n, err := writeAll(conn, out.bytes)
		l.mu.Lock()
		l.writing = false
		if err != nil {
			out.markUnwritten(n)
		}
		l.mu.Unlock()
		if err != nil {
			return err
		}
	}
}

// batch is what goes out in one write.
type batch[K any] struct {
	bytes  []byte
	starts []firstStart[K]
}

// firstStart is a task whose command goes out for the first time.
type firstStart[K any] struct {
	task   *task[K]
	offset int // where its line begins
}

// gather takes up what may be written now.
func (l *Link[K]) gather(out *batch[K]) {
	l.mu.Lock()
	defer l.mu.Unlock()
	out.bytes, out.starts = out.bytes[:0], out.starts[:0]
	now := time.Now()
	for c := l.commands.next(); c != nil && l.handover != flushed; c = l.commands.next() {
		if !l.synced && c.echo == "" {
			break // until the question before it has been answered
		}
		if c.isSched && !c.task.sent {
			out.starts = append(out.starts, firstStart[K]{c.task, len(out.bytes)})
		}
		out.bytes = append(out.bytes, c.line...)
		if l.handover == flushing && c.echo != "" && l.commands.pendingQuery() == c {
			l.handover = flushed
		}
		l.commands.markWritten(now)
	}
	l.writing = len(out.bytes) > 0
}

// markUnwritten takes back what lies past the first n bytes: the kernel cannot have read of it.
func (out *batch[K]) markUnwritten(n int) {
	for _, s := range out.starts {
		if s.offset >= n {
			s.task.sent = false
		}
	}
}

// writeAll gives a write that was late a second chance: it may be this process that stood still.
func writeAll(conn net.Conn, out []byte) (n int, err error) {
	for range 2 {
		conn.SetWriteDeadline(time.Now().Add(ioTimeout))
		var more int
		more, err = conn.Write(out[n:])
		if n += more; !errors.Is(err, os.ErrDeadlineExceeded) {
			break
		}
	}
	return n, err
}
