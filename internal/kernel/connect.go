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
	firstTry     = 5 * time.Millisecond
	lastTry      = 250 * time.Millisecond // a connection on one machine costs little
	handoverTime = 250 * time.Millisecond // of a second and a half in which an old address still serves
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
	pause := firstTry // against a kernel that takes connections and ends them at once
	for {
		conn, err := l.dial(ctx, failed)
		for err == nil {
			began := time.Now()
			var next net.Conn
			if next, err = l.hold(ctx, conn, up); next != nil {
				l.log.Info("kernel link moved", zap.Stringer("to", next.RemoteAddr()))
				conn, err = next, nil
			}
			if time.Since(began) > lastTry {
				pause = firstTry
			}
		}
		failed(err)
		if !sleep(ctx, pause) {
			return nil
		}
		pause = min(2*pause, lastTry)
	}
}

// dial tries until a connection stands or ctx ends.
func (l *Link[K]) dial(ctx context.Context, failed func(error)) (net.Conn, error) {
	var dialer net.Dialer
	for pause := firstTry; ; pause = min(2*pause, lastTry) {
		l.mu.Lock()
		at := l.at
		select {
		case <-l.moved: // it is this one
		default:
		}
		l.mu.Unlock()
		try, end := context.WithTimeout(ctx, silence)
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

// hold uses a connection until it ends, or until one to a new address stands: next.
func (l *Link[K]) hold(ctx context.Context, conn net.Conn, up func()) (next net.Conn, err error) {
	l.mu.Lock()
	l.session++
	open := fmt.Sprintf(`{"action":"OPEN","pos":%d}`+"\n", l.pos)
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
		case <-l.moved:
		}
		var err error
		if next, err = l.dial(live, func(error) {}); err != nil {
			return nil // the old connection has ended meanwhile; the new address is dialled anyway
		}
		l.handOver(live)
		return errMoved
	})
	err = sides.Wait()
	conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	// What may not have been read is sent again on the next connection, unless it must not run twice.
	l.session++
	l.up, l.handover = false, staying
	l.inDoubt = append(l.inDoubt, l.commands.reopen()...)
	return next, err
}

// handOver ends what goes on on a connection in good order: the kernel has read all that was written, and answers that it has.
// What is decided meanwhile waits for the next connection.
func (l *Link[K]) handOver(ctx context.Context) {
	l.mu.Lock()
	up := l.up
	if up {
		select {
		case <-l.handoverReady:
		default:
		}
		l.handover = finishing
		l.push(l.commands.question())
	}
	l.mu.Unlock()
	if !up {
		return
	}
	late := time.NewTimer(l.handoverFor)
	defer late.Stop()
	select {
	case <-ctx.Done():
	case <-l.handoverReady:
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
		case <-l.work:
		}
		l.gather(&out)
		if len(out.bytes) == 0 {
			continue
		}
		n, err := writeAll(conn, out.bytes)
		l.mu.Lock()
		l.writing = false
		if err != nil {
			out.unwritten(n)
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
	task *task[K]
	at   int // where its line begins
}

// gather takes up what may be written now.
func (l *Link[K]) gather(out *batch[K]) {
	l.mu.Lock()
	defer l.mu.Unlock()
	out.bytes, out.starts = out.bytes[:0], out.starts[:0]
	now := time.Now()
	for c := l.commands.next(); c != nil && l.handover != handedOver; c = l.commands.next() {
		if !l.up && c.echo == "" {
			break // until the question before it has been answered
		}
		if c.start && !c.task.asked {
			out.starts = append(out.starts, firstStart[K]{c.task, len(out.bytes)})
		}
		out.bytes = append(out.bytes, c.line...)
		if l.handover == finishing && c.echo != "" && l.commands.asked() == c {
			l.handover = handedOver
		}
		l.commands.take(now)
	}
	l.writing = len(out.bytes) > 0
}

// unwritten takes back what lies past the first n bytes: the kernel cannot have read of it.
func (out *batch[K]) unwritten(n int) {
	for _, s := range out.starts {
		if s.at >= n {
			s.task.asked = false
		}
	}
}

// writeAll gives a write that was late a second chance: it may be this process that stood still.
func writeAll(conn net.Conn, out []byte) (n int, err error) {
	for range 2 {
		conn.SetWriteDeadline(time.Now().Add(silence))
		var more int
		more, err = conn.Write(out[n:])
		if n += more; !errors.Is(err, os.ErrDeadlineExceeded) {
			break
		}
	}
	return n, err
}
