package rig

import (
	"net"
	"sync/atomic"
	"time"
)

// proxiedConnection is one connection of a caller through a FaultProxy. It identifies the connection to the checker.
type proxiedConnection struct {
	*FaultProxy
	caller, server net.Conn
	endedLocally   atomic.Bool   // ended by the proxy or by the caller
	endedByServer  atomic.Bool   // ended by the app server
	writeStarted   atomic.Int64  // start of the pending write to the caller, in Unix nanoseconds; 0 for none
	callerStalled  atomic.Bool   // a write to the caller blocked because the caller did not read
	chunkCount     atomic.Uint64 // chunks written so far, which seed how the next one is split

	optionalReplies map[int32]int // count of allowed replies that are not due, by sequence number; guarded by the checker's lock
	countingLog     *requestLog   // the request log that counts the connection; guarded by the checker's lock
}

// watchRequest reports a message to the app server to the checker. If replyDue, the app server must reply under seq.
func (conn *proxiedConnection) watchRequest(message []byte) (seq int32, replyDue bool) {
	req, err := readRequest(message)
	return req.seq, conn.checker.observeRequest(conn, req, err)
}

// watchReply reports a message from the app server to the checker.
func (conn *proxiedConnection) watchReply(message []byte) {
	decoded, err := readReply(message)
	conn.checker.observeReply(conn, decoded, err)
}

// stalledWriteTimeout is the duration after which a blocked write shows that the caller does not read.
const stalledWriteTimeout = 50 * time.Millisecond

// write writes to one side. It records the start of writes to the caller and whether one of them stalled.
func (conn *proxiedConnection) write(to net.Conn, b []byte) error {
	if to != conn.caller {
		_, err := to.Write(b)
		return err
	}
	start := time.Now()
	conn.writeStarted.Store(start.UnixNano())
	_, err := to.Write(b)
	conn.writeStarted.Store(0)
	if time.Since(start) > stalledWriteTimeout {
		conn.callerStalled.Store(true)
	}
	return err
}

// callerNotReading reports whether a write to the caller has stalled. Later replies are then late or lost, which is not a
// violation of the app server.
func (conn *proxiedConnection) callerNotReading() bool {
	start := conn.writeStarted.Load()
	return conn.callerStalled.Load() || start > 0 && time.Since(time.Unix(0, start)) > stalledWriteTimeout
}
