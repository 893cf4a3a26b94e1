package client

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"time"

	"go.uber.org/zap"

	"valveglade/logic/attempt"
)

// outgoing is one message that waits to be written.
type outgoing struct {
	healthCheck bool
	target      int32 // of an interrupt, 0 if it is none
	id          attempt.ID
	try         int
	call        *call
	deadline    float64
	retry       bool
	frameEnd    int // where its frame ends in what is written
	seq         int32
}

// sent is a try that was written and not answered.
type sent struct {
	seq int32
	id  attempt.ID
	try int
}

// connection is one connection. All but the writer's buffer is guarded by the client's lock.
type connection struct {
	*Client
	index        int // the dispatcher's index
	server       string
	nc           net.Conn
	ended        bool // the dispatcher knows that it has ended, or has ended it
	queue        []outgoing
	spare        []outgoing
	open         []sent  // at most 32
	interrupted  []int32 // numbers of interrupted RPCs, whose answers may still come
	pendingCheck int32   // number of the health check that is not answered, 0 for none
	lastSeq      int32
	wake         chan struct{}
}

const (
	maxInterrupted = 256                     // interrupted RPCs that are remembered; a server that leaves more open answers nothing
	writeTimeout   = time.Second             // for one write of at most maxWrite: an app server that reads takes microseconds
	maxWrite       = 16 << 10                // bytes, gathered for one write
	frameTimeout   = 1500 * time.Millisecond // for the rest of a frame that has begun
)

func newConnection(c *Client, at int, server string) *connection {
	return &connection{Client: c, index: at, server: server, wake: make(chan struct{}, 1)}
}

// connect dials and then reads until the connection ends. It runs in a goroutine of its own.
func (l *connection) connect() {
	ctx, stop := context.WithTimeout(l.ctx, l.Client.connect)
	nc, err := l.dial(ctx, l.server)
	stop()
	l.mu.Lock()
	if l.closed || err != nil {
		if !l.ended {
			l.ended = true
			l.dispatcher.ConnectFailed(l.clock(), l.index)
			l.run()
		}
		l.mu.Unlock()
		if nc != nil {
			nc.Close()
		}
		return
	}
	l.nc = nc
	l.dispatcher.Connected(l.clock(), l.index)
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
func (l *connection) contain(side func() error) {
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
	if !l.ended {
		l.handleEnd(err)
	}
}

// handleEnd reports the end of the connection to the dispatcher; what was not written has not been sent.
func (l *connection) handleEnd(err error) {
	l.ended = true
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
			l.dispatcher.Unsent(now, m.id, m.try)
		}
	}
	l.dispatcher.Dropped(now, l.index, faulty)
	l.run()
}

// closeNow closes the connection as the dispatcher asked.
func (l *connection) closeNow() {
	l.ended = true
	if l.nc != nil {
		l.nc.Close()
	}
}

func (l *connection) send(m outgoing) {
	l.queue = append(l.queue, m)
	l.wakeWriter()
}

func (l *connection) wakeWriter() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// interrupt withdraws a try. What has not been written yet never is.
func (l *connection) interrupt(id attempt.ID, try int) {
	if k := slices.IndexFunc(l.queue, func(m outgoing) bool { return m.call != nil && m.id == id && m.try == try }); k >= 0 {
		l.queue = slices.Delete(l.queue, k, k+1)
		return
	}
	k := slices.IndexFunc(l.open, func(s sent) bool { return s.id == id && s.try == try })
	if k < 0 || l.ended {
		return
	}
	seq := l.open[k].seq
	l.open = slices.Delete(l.open, k, k+1)
	if l.interrupted = append(l.interrupted, seq); len(l.interrupted) > maxInterrupted {
		l.interrupted = slices.Delete(l.interrupted, 0, 1)
	}
	l.send(outgoing{target: seq})
}
