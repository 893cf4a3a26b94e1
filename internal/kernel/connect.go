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
	maxBackoff             = 250 * time.Millisecond // low, as connecting on one machine is cheap
	defaultHandoverTimeout = 250 * time.Millisecond // the old address is served for 1.5 s after a move
)

// Serve keeps the link connected until ctx ends.
func (l *Link[K]) Serve(ctx context.Context) error {
	down := false
	onFailure := func(err error) {
		if !down && ctx.Err() == nil {
			l.log.Warn("kernel link down", zap.Error(err))
			down = true
		}
	}
	onBooted := func() {
		if down {
			l.log.Info("kernel link up again")
			down = false
		}
	}
	backoff := initialBackoff // for a kernel that accepts connections and closes them at once
	for {
		conn, err := l.dial(ctx, onFailure)
		for err == nil {
			connectedAt := time.Now()
			var next net.Conn
			if next, err = l.serveConnection(ctx, conn, onBooted); next != nil {
				l.log.Info("kernel link moved", zap.Stringer("to", next.RemoteAddr()))
				conn, err = next, nil
			}
			if time.Since(connectedAt) > maxBackoff {
				backoff = initialBackoff
			}
		}
		onFailure(err)
		if !sleep(ctx, backoff) {
			return nil
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// dial retries with exponential backoff until a connection is open or ctx ends.
func (l *Link[K]) dial(ctx context.Context, onFailure func(error)) (net.Conn, error) {
	var dialer net.Dialer
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		l.mu.Lock()
		address := l.address
		select {
		case <-l.addressChanged: // this attempt uses the new address already
		default:
		}
		l.mu.Unlock()
		attemptCtx, cancel := context.WithTimeout(ctx, ioTimeout)
		conn, err := dialer.DialContext(attemptCtx, "tcp", address.String())
		cancel()
		if err == nil {
			return conn, nil
		}
		onFailure(err)
		if !sleep(ctx, backoff) {
			return nil, ctx.Err()
		}
	}
}

// sleep waits for t; it returns false if ctx ended first.
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

// errMoved ends a connection that has been replaced by one to a new address.
var errMoved = errors.New("kernel link moved")

// serveConnection reads and writes on a connection until it fails, or until one to a new address, next, replaces
// it.
func (l *Link[K]) serveConnection(ctx context.Context, conn net.Conn, onBooted func()) (next net.Conn, err error) {
	l.mu.Lock()
	l.connectionNumber++
	open := fmt.Sprintf(`{"action":"OPEN","pos":%d}`+"\n", l.lastPos)
	l.mu.Unlock()
	group, groupCtx := errgroup.WithContext(ctx)
	defer context.AfterFunc(groupCtx, func() { conn.Close() })()
	group.Go(func() error {
		if _, err := conn.Write([]byte(open)); err != nil {
			return err
		}
		return l.write(groupCtx, conn)
	})
	group.Go(func() error { return l.read(conn, onBooted) })
	group.Go(func() error {
		select {
		case <-groupCtx.Done():
			return nil
		case <-l.addressChanged:
		}
		var err error
		if next, err = l.dial(groupCtx, func(error) {}); err != nil {
			return nil // the old connection has failed; Serve dials the new address anyway
		}
		l.flush(groupCtx)
		return errMoved
	})
	err = group.Wait()
	conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	// Commands that may not have been read are resent on the next connection, unless their run must not run twice.
	l.connectionNumber++
	l.synced, l.handover = false, noHandover
	l.unconfirmed = append(l.unconfirmed, l.commands.prepareReconnect()...)
	return next, err
}

// flush ends the use of a connection cleanly: it waits until the kernel has confirmed reading all that was
// written. Commands queued meanwhile wait for the next connection.
func (l *Link[K]) flush(ctx context.Context) {
	l.mu.Lock()
	synced := l.synced
	if synced {
		select {
		case <-l.flushAcknowledged:
		default:
		}
		l.handover = flushing
		l.push(l.commands.newQuery())
	}
	l.mu.Unlock()
	if !synced {
		return
	}
	timeout := time.NewTimer(l.handoverTimeout)
	defer timeout.Stop()
	select {
	case <-ctx.Done():
	case <-l.flushAcknowledged:
	case <-timeout.C:
	}
}

// write writes queued commands, batching those that are ready.
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

// batch is the commands that go out in one write.
type batch[K any] struct {
	bytes  []byte
	starts []firstStart[K]
}

// firstStart is a task whose command is written for the first time.
type firstStart[K any] struct {
	task   *task[K]
	offset int // where its line begins in the batch
}

// gather fills the batch with the commands that may be written now.
func (l *Link[K]) gather(out *batch[K]) {
	l.mu.Lock()
	defer l.mu.Unlock()
	out.bytes, out.starts = out.bytes[:0], out.starts[:0]
	now := time.Now()
	for c := l.commands.next(); c != nil && l.handover != flushed; c = l.commands.next() {
		if !l.synced && c.echo == "" {
			break // nothing else before the reply to the first query
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

// markUnwritten resets the tasks whose command lies past the first n bytes: the kernel cannot have read it.
func (out *batch[K]) markUnwritten(n int) {
	for _, s := range out.starts {
		if s.offset >= n {
			s.task.sent = false
		}
	}
}

// writeAll retries a write once after a timeout, as the cause may be that this process was paused.
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
