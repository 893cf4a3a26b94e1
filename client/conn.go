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
	healthCheck     bool
	interruptTarget int32 // of an interrupt, 0 if it is none
	id              attempt.ID
	try             int
	call            *call
	deadline        float64
	retry           bool
	frameEnd        int // where its frame ends in what is written
	seq             int32
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
	batchBuffer  []outgoing
	inFlight     []sent  // at most 32
	interrupted  []int32 // numbers of interrupted RPCs, whose answers may still come
	pendingCheck int32   // number of the health check that is not answered, 0 for none
	lastSeq      int32
	writeSignal  chan struct{}
}

const (
	maxInterrupted = 256                     // interrupted RPCs that are remembered; a server that leaves more open answers nothing
	writeTimeout   = time.Second             // for one write of at most maxWrite: an app server that reads takes microseconds
	maxWriteBytes  = 16 << 10                // bytes, gathered for one write
	frameTimeout   = 1500 * time.Millisecond // for the rest of a frame that has begun
)

func newConnection(c *Client, index int, server string) *connection {
	return &connection{Client: c, index: index, server: server, writeSignal: make(chan struct{}, 1)}
}

// connect dials and then reads until the connection ends. It runs in a goroutine of its own.
func (conn *connection) connect() {
	ctx, cancelDial := context.WithTimeout(conn.ctx, conn.Client.connectTimeout)
	nc, err := conn.dial(ctx, conn.server)
	cancelDial()
	conn.mu.Lock()
	if conn.closed || err != nil {
		if !conn.ended {
			conn.ended = true
			conn.dispatcher.ConnectFailed(conn.clock(), conn.index)
			conn.performActions()
		}
		conn.mu.Unlock()
		if nc != nil {
			nc.Close()
		}
		return
	}
	conn.nc = nc
	conn.dispatcher.Connected(conn.clock(), conn.index)
	conn.performActions()
	conn.mu.Unlock()
	connCtx, cancelConn := context.WithCancel(conn.ctx)
	stopClose := context.AfterFunc(connCtx, func() { nc.Close() })
	conn.goroutines.Go(func() {
		defer cancelConn()
		conn.supervise(func() error { return conn.write(connCtx) })
	})
	conn.supervise(conn.read)
	cancelConn()
	stopClose()
	nc.Close()
}

// supervise runs one side of the connection; its end or a panic ends the connection, and nothing else.
func (conn *connection) supervise(loop func() error) {
	err := func() (err error) {
		defer func() {
			if p := recover(); p != nil {
				err = fmt.Errorf("panic: %v", p)
				conn.log.Error("panic", zap.Any("panic", p), zap.Stack("stack"))
			}
		}()
		return loop()
	}()
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if !conn.ended {
		conn.handleEnd(err)
	}
}

// handleEnd reports the end of the connection to the dispatcher; what was not written has not been sent.
func (conn *connection) handleEnd(err error) {
	conn.ended = true
	var peerErr *PeerError
	faulty := errors.As(err, &peerErr)
	if faulty {
		conn.log.Warn("connection closed", zap.String("server", conn.server), zap.Error(err))
	}
	conn.nc.Close()
	now := conn.clock()
	queue := conn.queue
	conn.queue = nil
	for _, m := range queue {
		if m.call != nil {
			conn.dispatcher.Unsent(now, m.id, m.try)
		}
	}
	conn.dispatcher.Dropped(now, conn.index, faulty)
	conn.performActions()
}

// closeNow closes the connection as the dispatcher asked.
func (conn *connection) closeNow() {
	conn.ended = true
	if conn.nc != nil {
		conn.nc.Close()
	}
}

func (conn *connection) send(m outgoing) {
	conn.queue = append(conn.queue, m)
	conn.wakeWriter()
}

func (conn *connection) wakeWriter() {
	select {
	case conn.writeSignal <- struct{}{}:
	default:
	}
}

// interrupt withdraws a try. What has not been written yet never is.
func (conn *connection) interrupt(id attempt.ID, try int) {
	if k := slices.IndexFunc(conn.queue, func(m outgoing) bool { return m.call != nil && m.id == id && m.try == try }); k >= 0 {
		conn.queue = slices.Delete(conn.queue, k, k+1)
		return
	}
	k := slices.IndexFunc(conn.inFlight, func(s sent) bool { return s.id == id && s.try == try })
	if k < 0 || conn.ended {
		return
	}
	seq := conn.inFlight[k].seq
	conn.inFlight = slices.Delete(conn.inFlight, k, k+1)
	if conn.interrupted = append(conn.interrupted, seq); len(conn.interrupted) > maxInterrupted {
		conn.interrupted = slices.Delete(conn.interrupted, 0, 1)
	}
	conn.send(outgoing{interruptTarget: seq})
}
