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

// outgoing is a queued message: an RPC, an interrupt or a health check.
type outgoing struct {
	healthCheck     bool
	interruptTarget int32 // sequence number of the RPC to interrupt, 0 for other messages
	id              attempt.ID
	try             int
	call            *call // nil for interrupts and health checks
	deadline        float64
	retry           bool
	frameEnd        int // end of its frame in the batch that is written
	seq             int32
}

// sent is a try that has been written and not answered.
type sent struct {
	seq int32
	id  attempt.ID
	try int
}

// connection is a connection to an app server. The lock of the client guards all fields except batchBuffer, which only
// the writer uses.
type connection struct {
	*Client
	index        int        // index of the connection in the dispatcher
	server       string     // address
	nc           net.Conn   // nil until connected
	ended        bool       // closed by the dispatcher, or reported to it as ended
	queue        []outgoing // messages to be written
	batchBuffer  []outgoing // storage reused for batches
	inFlight     []sent     // at most attempt.MaxOpen
	interrupted  []int32    // sequence numbers of interrupted RPCs, whose answers may still arrive
	pendingCheck int32      // sequence number of the pending health check, 0 for none
	lastSeq      int32      // sequence number of the last message written
	writeSignal  chan struct{}
}

const (
	// maxInterrupted limits the interrupted RPCs whose answers are still expected. An app server that leaves more of
	// them unanswered is not responding at all.
	maxInterrupted = 256
	// writeTimeout is for one batch, which takes microseconds if the app server reads.
	writeTimeout = time.Second
	// maxWriteBytes is the size from which a batch takes no further message.
	maxWriteBytes = 16 << 10
	// frameTimeout is the time within which the rest of a frame must arrive after its first bytes.
	frameTimeout = 1500 * time.Millisecond
)

func newConnection(c *Client, connIndex int, server string) *connection {
	return &connection{Client: c, index: connIndex, server: server, writeSignal: make(chan struct{}, 1)}
}

// connect dials and then reads until the connection ends. It runs in its own goroutine.
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

// supervise runs the reader or the writer. An error, a return or a panic in it ends this connection and nothing else.
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

// handleEnd reports the end of the connection to the dispatcher. Messages still in the queue count as unsent.
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

// closeNow closes the connection at the request of the dispatcher.
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

// interrupt withdraws a try: it removes a try that is still queued, and sends an interrupt for one that was written.
func (conn *connection) interrupt(id attempt.ID, try int) {
	if position := slices.IndexFunc(conn.queue, func(m outgoing) bool {
		return m.call != nil && m.id == id && m.try == try
	}); position >= 0 {
		conn.queue = slices.Delete(conn.queue, position, position+1)
		return
	}
	position := slices.IndexFunc(conn.inFlight, func(s sent) bool { return s.id == id && s.try == try })
	if position < 0 || conn.ended {
		return
	}
	seq := conn.inFlight[position].seq
	conn.inFlight = slices.Delete(conn.inFlight, position, position+1)
	if conn.interrupted = append(conn.interrupted, seq); len(conn.interrupted) > maxInterrupted {
		conn.interrupted = slices.Delete(conn.interrupted, 0, 1)
	}
	conn.send(outgoing{interruptTarget: seq})
}
